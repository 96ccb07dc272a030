"""Handlers of requests to standing services."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from result import Err, Ok, Result
from starlette.responses import Response

from lacewinghold.api.common import Handlers, unwrap
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import ServiceId

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.routing import Route


MAX_REQUEST_BYTES = 8 * 1024 * 1024
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 600.0
SERVICE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class ServiceHandlers(Handlers):
    """Requests to standing services."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route(
                "/v1/services/{service}/{path:path}",
                self.request_service,
                "GET",
                "POST",
                "PUT",
                "DELETE",
                "PATCH",
            ),
        ]

    async def request_service(self, request: Request) -> Response:
        """Passes a request to a standing service."""
        caller = self.identify(request)
        data = await self.body(request, MAX_REQUEST_BYTES)
        timeout_s = unwrap(parse_timeout(request.headers.get("lacewinghold-timeout")))
        service = unwrap(parse_service(request.path_params["service"]))
        repeatable = unwrap(
            parse_repeatable(request.headers.get("lacewinghold-repeatable"))
        )
        result = await self.instance.requests.request(
            caller.team,
            service,
            request.method,
            request.path_params["path"],
            data,
            timeout_s,
            repeatable,
            self.idempotency_key(request),
        )
        outcome = result.err_value.kind if isinstance(result, Err) else "answered"
        self.instance.counts[f"requests.{outcome}"] += 1
        answer = unwrap(result)
        return Response(answer.body, answer.status, {"X-Worker": answer.worker})


def parse_service(text: str) -> Result[ServiceId, Failure]:
    """Returns the service that a path names."""
    if SERVICE_ID.fullmatch(text) is None:
        detail = f"a service's name has the form {SERVICE_ID.pattern}"
        return Err(Failure(ErrorKind.INVALID, detail, "service"))
    return Ok(ServiceId(text))


def parse_repeatable(text: str | None) -> Result[bool, Failure]:
    """Returns whether a request may be repeated; it may unless it says no."""
    if text not in (None, "yes", "no"):
        detail = f"found {text!r}; allowed are yes and no"
        return Err(Failure(ErrorKind.INVALID, detail, "Lacewinghold-Repeatable"))
    return Ok(text != "no")


def parse_timeout(text: str | None) -> Result[float, Failure]:
    """Returns the caller's timeout in seconds."""
    if text is None:
        return Ok(DEFAULT_TIMEOUT_S)
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= MAX_TIMEOUT_S:
        detail = f"{text!r} is not between 0 and {MAX_TIMEOUT_S:g} seconds"
        return Err(Failure(ErrorKind.INVALID, detail, "Lacewinghold-Timeout"))
    return Ok(value)
