"""Links to workers and to the instance list over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import httpx
from result import Err, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.worker import InstanceList, Report
from lacewinghold.util.codec import parse_json, to_json
from lacewinghold.workers.base import InstanceListSource, WorkerLink, WorkerLinks

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.schema.generated.worker import Command, WorkerRecord

T = TypeVar("T")
REPLY_TIMEOUT_S = 2.0
MAX_CONNECTIONS_PER_WORKER = 4
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


async def exchange(
    client: httpx.AsyncClient, request: httpx.Request, kind: type[T]
) -> Result[T, Failure]:
    """Sends a request and decodes the JSON response.

    :returns: The response, or a failure: ``UNREACHABLE`` if nothing was sent or the
        status was not 200, ``INVALID`` if the body does not decode, else
        ``OUTCOME_UNKNOWN``.
    """
    try:
        response = await client.send(request)
    except NOT_SENT_ERRORS as error:
        return Err(Failure(ErrorKind.UNREACHABLE, str(error)))
    except httpx.HTTPError as error:
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, repr(error)))
    if response.status_code != httpx.codes.OK:
        return Err(Failure(ErrorKind.UNREACHABLE, f"status {response.status_code}"))
    return parse_json(response.content, kind)


class HttpWorkerLink(WorkerLink):
    """A link to a worker over HTTP.

    :param client: Client for this worker only: the cost of a request grows with the
        number of connections in its pool.
    :param url: Base URL of the worker.
    """

    name = "http"

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self.client = client
        self.url = url

    async def send(self, command: Command) -> Result[Report, Failure]:
        request = self.client.build_request(
            "POST",
            f"{self.url}/commands",
            content=to_json(command),
            timeout=REPLY_TIMEOUT_S,
        )
        return await exchange(self.client, request, Report)

    async def poll(self, after: int, wait_s: float) -> Result[Report, Failure]:
        request = self.client.build_request(
            "GET",
            f"{self.url}/reports",
            params={"after": after, "wait_s": wait_s},
            timeout=wait_s + REPLY_TIMEOUT_S,
        )
        return await exchange(self.client, request, Report)

    async def close(self) -> None:
        await self.client.aclose()


class HttpWorkerLinks(WorkerLinks):
    """Opens links over HTTP.

    :param make_client: Returns a client with the given limits.
    """

    name = "http"

    def __init__(
        self, make_client: Callable[[httpx.Limits], httpx.AsyncClient]
    ) -> None:
        self.make_client = make_client

    def open(self, record: WorkerRecord) -> WorkerLink:
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS_PER_WORKER)
        return HttpWorkerLink(self.make_client(limits), record.url)


class HttpInstanceList(InstanceListSource):
    """The instance list over HTTP.

    :param url: URL of the list.
    """

    name = "http"

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self.client = client
        self.url = url

    async def fetch(self) -> Result[InstanceList, Failure]:
        request = self.client.build_request("GET", self.url, timeout=REPLY_TIMEOUT_S)
        return await exchange(self.client, request, InstanceList)
