"""Sends requests to backend servers over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
from msgspec import MsgspecError, Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import AttemptId
from lacewinghold.routing.base import BackendAnswer, BackendLinks
from lacewinghold.routing.outcomes import AttemptFailure, Observation
from lacewinghold.schema.generated.worker import ProbeReply
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.ids import WorkerId
    from lacewinghold.routing.base import BackendRequest
    from lacewinghold.schema.generated.worker import Probe, WorkerRecord

REQUEST_ID_HEADER = "x-request-id"
EPOCH_HEADER = "x-epoch"
INCARNATION_HEADER = "x-incarnation"
TRACE_HEADER = "traceparent"
TIMEOUT_HEADER = "x-timeout-s"
REFUSAL_HEADER = "x-not-run"
LEAVING_HEADER = "x-leaving"
CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
KEEPALIVE_EXPIRY_S = 10.0
PROBE_CONNECTIONS = 1
MAX_ANSWER_BYTES = 8 * 1024 * 1024

OBSERVATION_BY_REFUSAL = {
    "leaving": Observation.BACKEND_LEAVING,
    "epoch": Observation.BACKEND_REFUSED,
    "incarnation": Observation.BACKEND_REFUSED,
    "absent": Observation.REFUSED,
    "settled": Observation.BACKEND_REFUSED,
}
OBSERVATION_BY_ERROR: tuple[tuple[type[httpx.HTTPError], Observation], ...] = (
    (httpx.ConnectTimeout, Observation.CONNECT_TIMEOUT),
    (httpx.PoolTimeout, Observation.CONNECT_TIMEOUT),
    (httpx.ConnectError, Observation.REFUSED),
)


class Progress(Struct):
    """How far an HTTP exchange has progressed.

    :param sending: Whether sending the request has begun.
    :param answering: Whether the header of the answer has arrived.
    """

    sending: bool = False
    answering: bool = False

    async def on_trace_event(self, event: str, details: dict[str, Any]) -> None:
        """Handles a trace event of the HTTP library."""
        del details
        if event.endswith("send_request_headers.started"):
            self.sending = True


class HttpBackendLinks(BackendLinks):
    """Sends requests over HTTP; each answer must echo the attempt's id in a header.

    Each backend server has its own connection pool, no larger than its slots and the
    probe need, to stay within the server's connection limit.

    :param make_client: Returns a client with the given limits.
    """

    name = "http"

    def __init__(
        self, make_client: Callable[[httpx.Limits], httpx.AsyncClient]
    ) -> None:
        self.make_client = make_client
        self.clients: dict[WorkerId, httpx.AsyncClient] = {}

    def client(self, worker: WorkerRecord) -> httpx.AsyncClient:
        """Returns the client of a backend server, created on first use."""
        client = self.clients.get(worker.worker)
        if client is None:
            max_connections = min(worker.connections, worker.slots + PROBE_CONNECTIONS)
            limits = httpx.Limits(
                max_connections=max_connections,
                max_keepalive_connections=max_connections,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            )
            client = self.make_client(limits)
            self.clients[worker.worker] = client
        return client

    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[BackendAnswer, AttemptFailure]:
        url = f"{worker.url}/services/{request.service}/{request.path.lstrip('/')}"
        headers = {
            REQUEST_ID_HEADER: request.attempt,
            EPOCH_HEADER: str(request.epoch),
            INCARNATION_HEADER: str(request.incarnation),
            TIMEOUT_HEADER: f"{request.timeout_s:.3f}",
        }
        if request.content_type:
            headers["content-type"] = request.content_type
        if request.traceparent:
            headers[TRACE_HEADER] = request.traceparent
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S, pool=CONNECT_TIMEOUT_S)
        body = bytearray()
        progress = Progress()
        try:
            async with self.client(worker).stream(
                request.method,
                url,
                content=request.body,
                headers=headers,
                timeout=timeout,
                extensions={"trace": progress.on_trace_event},
            ) as response:
                progress.answering = True
                async for chunk in response.aiter_bytes():
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        return Err(AttemptFailure(Observation.ANSWER_TOO_LARGE))
        except httpx.HTTPError as error:
            return Err(AttemptFailure(classify_error(error, progress), repr(error)))
        return to_answer(request, response, bytes(body))

    async def probe(
        self, worker: WorkerRecord, probe: Probe
    ) -> Result[ProbeReply, Failure]:
        try:
            response = await self.client(worker).post(
                f"{worker.url}/requests/probe",
                content=to_json(probe),
                timeout=PROBE_TIMEOUT_S,
            )
            response.raise_for_status()
            return Ok(from_json(response.content, ProbeReply))
        except (httpx.HTTPError, MsgspecError) as error:
            return Err(Failure(ErrorKind.UNREACHABLE, repr(error)))

    async def close(self, worker: WorkerRecord) -> None:
        client = self.clients.pop(worker.worker, None)
        if client is not None:
            await client.aclose()


def classify_error(error: httpx.HTTPError, progress: Progress) -> Observation:
    """Returns the observation for an error of the HTTP client."""
    for kind, observation in OBSERVATION_BY_ERROR:
        if isinstance(error, kind):
            return observation
    if progress.answering:
        return Observation.HALF_ANSWER
    if progress.sending:
        return Observation.RESET_AFTER_SEND
    return Observation.RESET_BEFORE_SEND


def to_answer(
    request: BackendRequest, response: httpx.Response, body: bytes
) -> Result[BackendAnswer, AttemptFailure]:
    """Converts a response to an answer, or to a failure if the request was refused."""
    echoed_attempt = AttemptId(response.headers.get(REQUEST_ID_HEADER, ""))
    if echoed_attempt != request.attempt:
        return Err(AttemptFailure(Observation.WRONG_ANSWER, echoed_attempt))
    refusal = OBSERVATION_BY_REFUSAL.get(response.headers.get(REFUSAL_HEADER, ""))
    if refusal is not None:
        return Err(AttemptFailure(refusal))
    leaving = LEAVING_HEADER in response.headers
    content_type = response.headers.get("content-type", "")
    return Ok(
        BackendAnswer(echoed_attempt, response.status_code, body, leaving, content_type)
    )
