"""Requests to backend servers over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import RequestId
from lacewinghold.routing.base import BackendAnswer, BackendLinks

if TYPE_CHECKING:
    from lacewinghold.routing.base import BackendRequest
    from lacewinghold.schema.generated.worker import WorkerRecord

REQUEST_ID_HEADER = "x-request-id"
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpBackendLinks(BackendLinks):
    """Backend servers behind HTTP; they return the request's id in a header."""

    name = "http"

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[BackendAnswer, Failure]:
        url = f"{worker.url}/services/{request.service}/{request.path.lstrip('/')}"
        try:
            response = await self.client.request(
                request.method,
                url,
                content=request.body,
                headers={REQUEST_ID_HEADER: request.request},
                timeout=None,
            )
        except NOT_SENT as error:
            return Err(Failure(ErrorKind.NOT_RUN, str(error)))
        except httpx.HTTPError as error:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, repr(error)))
        echoed = RequestId(response.headers.get(REQUEST_ID_HEADER, ""))
        if echoed != request.request:
            detail = "the answer belongs to another request"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        return Ok(BackendAnswer(echoed, response.status_code, response.content))
