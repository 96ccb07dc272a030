"""ASGI application that serves the platform's job requests through the cell's front."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.organisations.authentication import UNCHECKED, Caller
from lacewinghold.schema.generated.cell import CellJob, StepSpec
from lacewinghold.util.bearer import read_bearer
from lacewinghold.util.codec import parse_json
from lacewinghold.util.http_limits import MAX_BODY_BYTES

if TYPE_CHECKING:
    from lacewinghold.ids import JobId
    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.ports import Queue

READY_PATH = b"/ready"
DEADLINE_HEADER = b"lacewinghold-deadline-ms"
AUTHORIZATION_HEADER = b"authorization"
# A body that is not read is discarded for this long: closing a connection with unread
# bytes resets it, and the reset could destroy the response.
DISCARD_TIMEOUT_S = 1.0
JOB_ID_PATTERN = "[0-9A-Fa-f]{16}"  # Chosen by the caller.
METHODS = ("GET", "POST", "DELETE")
STATUS_BY_KIND = {
    ErrorKind.INVALID: HTTPStatus.BAD_REQUEST,
    ErrorKind.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    ErrorKind.FORBIDDEN: HTTPStatus.FORBIDDEN,
    ErrorKind.CONFLICT: HTTPStatus.CONFLICT,
    ErrorKind.METHOD_NOT_ALLOWED: HTTPStatus.METHOD_NOT_ALLOWED,
    ErrorKind.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorKind.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorKind.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorKind.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorKind.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


class WireStep(Struct):
    """One step as callers send it; omitted fields are 0, false or empty.

    :param near: Rack that holds the step's data (``affinity``).
    :param apart: Maximum number of the step's tasks on one worker
        (``antiAffinity``).
    """

    count: int
    cpu: int = 0
    mem_mb: int = field(name="memMb", default=0)
    gpus: int = 0
    est_runtime_ms: float = field(name="estRuntimeMs", default=0)
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = field(name="sameRack", default=False)
    requires: str = ""
    near: str = field(name="affinity", default="")
    apart: int = field(name="antiAffinity", default=0)
    speculative: bool = False
    long_running: bool = field(name="longRunning", default=False)
    image: str = ""
    target_ms: float = field(name="targetMs", default=0)
    fills: bool = False
    may_miss: int = field(name="mayMiss", default=0)


class WireJob(Struct):
    """A job submission."""

    spec: str
    steps: list[WireStep]
    start_at_ms: float = field(name="startAtMs", default=0)
    repeat_count: int = field(name="repeatCount", default=0)
    interval_ms: float = field(name="intervalMs", default=0)


def to_step(wire: WireStep) -> StepSpec:
    """Returns the project's representation of a step."""
    return StepSpec(
        tasks=wire.count,
        cpu_millis=wire.cpu,
        memory_mb=wire.mem_mb,
        accelerators=wire.gpus,
        expected_ms=wire.est_runtime_ms,
        after=wire.after,
        checkpoints=wire.checkpointing,
        all_at_once=wire.gang,
        one_rack=wire.same_rack,
        required_label=wire.requires,
        data_rack=wire.near,
        max_per_worker=wire.apart,
        copies_allowed=wire.speculative,
        long_running=wire.long_running,
        image=wire.image,
        latency_target_ms=wire.target_ms,
        fills=wire.fills,
        may_miss=wire.may_miss,
    )


class Call(Struct):
    """One request.

    :param deadline_s: The caller's remaining deadline in seconds, if it sent one.
    :param key: The caller's key, if it sent one.
    """

    method: str
    host: str
    path: str
    body: bytes = b""
    deadline_s: float | None = None
    key: str | None = None
    caller: Caller = UNCHECKED


def read_head(scope: dict[str, Any]) -> Call:
    """Returns a request without its body."""
    call = Call(scope["method"], "", scope["path"])
    for name, value in scope["headers"]:
        if name == b"host":
            call.host = value.decode("latin-1").partition(":")[0]
        elif name == DEADLINE_HEADER and value.isdigit():
            call.deadline_s = int(value) / 1000
        elif name == AUTHORIZATION_HEADER:
            call.key = read_bearer(value)
    return call


def to_record(
    wire: WireJob, call: Call, queue: Queue, job: JobId, accepted_at: float
) -> CellJob:
    """Returns the record of a submitted job.

    :param accepted_at: Wall time in seconds.
    """
    return CellJob(
        job=job,
        queue=queue.name,
        rules=queue.to_rules(),
        host=call.host,
        path=call.path,
        program=wire.spec,
        steps=[to_step(step) for step in wire.steps],
        accepted_at=accepted_at,
        first_due_ms=wire.start_at_ms,
        occurrences=wire.repeat_count,
        interval_ms=wire.interval_ms,
        organisation=call.caller.organisation,
    )


class PlatformFront:
    """Decodes requests, passes them to the cell's front and encodes the responses.

    :param instance: The entry instance that serves the requests.
    """

    def __init__(self, instance: CellInstance) -> None:
        self.instance = instance

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serves one HTTP request or the ASGI lifespan protocol."""
        if scope["type"] == "lifespan":
            await self.run_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if scope["raw_path"] == READY_PATH and scope["method"] == "GET":
            status = 200 if self.instance.ready() else 503
            await self.send_response(send, status, None, None)
            return
        call = read_head(scope)
        authenticated = self.authenticate(call)
        if isinstance(authenticated, Err):
            await self.send_result(send, authenticated, receive)
            return
        body = await self.read_body(receive)
        if isinstance(body, Err):
            await self.send_result(send, body)
            return
        call.body = body.ok_value
        del body
        # Meanwhile a manifest may have removed the key, or added the queue.
        authenticated = self.authenticate(call, repeated=True)
        if isinstance(authenticated, Err):
            await self.send_result(send, authenticated)
            return
        await self.send_result(send, await self.serve(call))

    def authenticate(
        self, call: Call, *, repeated: bool = False
    ) -> Result[None, Failure]:
        """Identifies the caller of a request; its body is not needed.

        :param repeated: Whether the call was accepted before.
        """
        found = self.instance.front.find_queue(call.host, call.path)
        if isinstance(found, Err):
            return Ok(None)
        checked = self.instance.authenticator.authenticate(
            found.ok_value, call.key, repeated=repeated
        )
        if isinstance(checked, Err):
            return Err(checked.err_value)
        call.caller = checked.ok_value
        return Ok(None)

    async def run_lifespan(self, receive: Any, send: Any) -> None:
        """Acknowledges the lifespan events until the server shuts down."""
        while True:
            message = await receive()
            await send({"type": message["type"] + ".complete"})
            if message["type"] == "lifespan.shutdown":
                return

    async def read_body(self, receive: Any) -> Result[bytes, Failure]:
        """Reads the complete body of a request."""
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Err(
                    Failure(
                        ErrorKind.INVALID,
                        "client disconnected before sending the full request",
                    )
                )
            body += message.get("body", b"")
            if len(body) > MAX_BODY_BYTES:
                return Err(
                    Failure(ErrorKind.TOO_LARGE, "request body exceeds the size limit")
                )
            if not message.get("more_body", False):
                break
        return Ok(bytes(body))

    async def discard_body(self, receive: Any) -> None:
        """Discards the body of a request that has been answered without it."""
        size = 0
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            while size <= MAX_BODY_BYTES:
                message = await receive()
                size += len(message.get("body", b""))
                if message["type"] == "http.disconnect" or not message.get("more_body"):
                    return

    async def serve(self, call: Call) -> Result[object, Failure]:
        """Serves one request to submit, cancel or query a job, or to count a queue."""
        if call.method not in METHODS:
            detail = f"method {call.method[:20]}, expected one of {', '.join(METHODS)}"
            return Err(Failure(ErrorKind.METHOD_NOT_ALLOWED, detail))
        front = self.instance.front
        found = front.find_queue(call.host, call.path)
        if isinstance(found, Err):
            return Err(found.err_value)
        queue = found.ok_value
        if call.method == "GET" and call.path == queue.prefix:
            count = await front.count_waiting(queue)
            if isinstance(count, Err):
                return Err(count.err_value)
            return Ok({"waiting": count.ok_value})
        named = front.find_job(queue, call.path)
        if isinstance(named, Err):
            return Err(named.err_value)
        job = named.ok_value
        if call.method == "POST":
            return await self.submit(call, queue, job)
        if call.method == "DELETE":
            cancelled = await front.cancel(job, call.caller)
            if isinstance(cancelled, Err):
                return Err(cancelled.err_value)
            return Ok({})
        state = await front.state(job, call.caller)
        if isinstance(state, Err):
            return Err(state.err_value)
        return Ok({"state": state.ok_value.value})

    async def submit(
        self, call: Call, queue: Queue, job: JobId
    ) -> Result[object, Failure]:
        """Decodes a job and submits it."""
        record = self.read_job(call, queue, job)
        if isinstance(record, Err):
            return Err(record.err_value)
        call.body = b""  # Not kept while the job is being stored.
        accepted = await self.instance.front.submit(record.ok_value, call.deadline_s)
        if isinstance(accepted, Err):
            return Err(accepted.err_value)
        return Ok({})

    def read_job(
        self, call: Call, queue: Queue, job: JobId
    ) -> Result[CellJob, Failure]:
        """Decodes a job."""
        parsed = parse_json(call.body, WireJob)
        if isinstance(parsed, Err):
            return Err(parsed.err_value)
        accepted_at = self.instance.ports.clock.now()
        return Ok(to_record(parsed.ok_value, call, queue, job, accepted_at))

    async def send_result(
        self, send: Any, result: Result[object, Failure], unread: Any = None
    ) -> None:
        """Sends a result with the status codes that the platform expects.

        :param unread: Receives the body of a request that has not been read.
        """
        if isinstance(result, Ok):
            await self.send_response(send, 200, result.ok_value, None)
            return
        failure = result.err_value
        status = STATUS_BY_KIND.get(failure.kind, HTTPStatus.SERVICE_UNAVAILABLE)
        if failure.kind is ErrorKind.NOT_FOUND:
            # No queue or no job id gives 404, an unknown job in a queue gives 410.
            status = HTTPStatus.NOT_FOUND
            if failure.field == "job":
                status = HTTPStatus.GONE
        await self.send_response(
            send, status, {"error": failure.detail}, failure.retry_after_s, unread
        )

    async def send_response(
        self,
        send: Any,
        status: int,
        body: object,
        retry_after_s: float | None,
        unread: Any = None,
    ) -> None:
        """Sends a response.

        :param body: Encoded as JSON; ``None`` sends an empty body.
        :param unread: Receives the body of a request that has not been read.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        headers = [(b"content-length", str(len(content)).encode())]
        if content:
            headers.append((b"content-type", b"application/json"))
        if status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append((b"allow", ", ".join(METHODS).encode()))
        if status == HTTPStatus.UNAUTHORIZED:
            headers.append((b"www-authenticate", b"Bearer"))
        if retry_after_s is not None:
            headers.append((b"retry-after", str(math.ceil(retry_after_s)).encode()))
        await send(
            {"type": "http.response.start", "status": int(status), "headers": headers}
        )
        if unread is not None:
            part = {"type": "http.response.body", "body": content, "more_body": True}
            await send(part)
            await self.discard_body(unread)
            content = b""
        await send({"type": "http.response.body", "body": content})
