"""Handlers of requests to standing services."""

from __future__ import annotations

import math
import re
from functools import partial
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result
from starlette.responses import Response

from lacewinghold.api.common import Handlers, traceparent, unwrap
from lacewinghold.api.problems import json_response
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import ServiceId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request
    from starlette.routing import Route

    from lacewinghold.api.common import Caller
    from lacewinghold.schema.generated.messages import ServiceAnswer

MAX_REQUEST_BYTES = 8 * 1024 * 1024
MAX_TIMEOUT_S = 600.0
SERVICE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
CLIENT_CLOSED_REQUEST_STATUS = 499
URGENT_MAX_URGENCY = 1
NORMAL_MAX_URGENCY = 4
URGENCY = re.compile(r"(?:^|[,\s])u=([0-7])(?:$|[,;\s])")


class ServiceHandlers(Handlers):
    """Handlers of requests to standing services and of their state."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route("/v1/requests/{key}", self.request_state, "GET"),
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
        """Forwards a request to a service; cancels it if the caller disconnects."""
        caller = self.identify(request)
        data = await self.body(request, MAX_REQUEST_BYTES)
        forward = self.prepare(request, caller, data)
        result: Result[ServiceAnswer, Failure] | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, request, tasks.cancel_scope)
            result = await forward()
            tasks.cancel_scope.cancel()
        if result is None:
            self.instance.counts["requests.caller_left"] += 1
            return Response(status_code=CLIENT_CLOSED_REQUEST_STATUS)
        outcome = result.err_value.kind if isinstance(result, Err) else "answered"
        self.instance.counts[f"requests.{outcome}"] += 1
        return to_response(unwrap(result))

    def prepare(
        self, request: Request, caller: Caller, data: bytes
    ) -> Callable[[], Awaitable[Result[ServiceAnswer, Failure]]]:
        """Checks a request's headers.

        :returns: A function that forwards the request.
        :raises FailureError: If a header is invalid.
        """
        service = unwrap(parse_service(request.path_params["service"]))
        repeatable = unwrap(
            parse_repeatable(request.headers.get("lacewinghold-repeatable"))
        )
        default_s = self.instance.requests.rules.rule(service).timeout_s
        timeout_s = unwrap(
            parse_timeout(request.headers.get("lacewinghold-timeout"), default_s)
        )
        return partial(
            self.instance.requests.request,
            caller.team,
            service,
            request.method,
            request.path_params["path"],
            data,
            timeout_s,
            repeatable,
            self.idempotency_key(request),
            parse_priority(request.headers.get("priority", "")),
            request.headers.get("content-type", ""),
            traceparent(request),
        )

    async def request_state(self, request: Request) -> Response:
        """Returns the record of a request that must not be repeated."""
        caller = self.identify(request)
        record = unwrap(
            await self.instance.requests.at_most_once.lookup(
                caller.team, request.path_params["key"]
            )
        )
        return json_response(record)


def parse_service(text: str) -> Result[ServiceId, Failure]:
    """Returns the service named in a path."""
    if SERVICE_ID.fullmatch(text) is None:
        detail = f"a service's name has the form {SERVICE_ID.pattern}"
        return Err(Failure(ErrorKind.INVALID, detail, "service"))
    return Ok(ServiceId(text))


def parse_repeatable(text: str | None) -> Result[bool, Failure]:
    """Returns whether a request may be repeated; the default is yes."""
    if text not in (None, "yes", "no"):
        detail = f"found {text!r}; allowed are yes and no"
        return Err(Failure(ErrorKind.INVALID, detail, "Lacewinghold-Repeatable"))
    return Ok(text != "no")


async def cancel_on_disconnect(request: Request, scope: anyio.CancelScope) -> None:
    """Cancels a scope once the caller has closed its connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def to_response(answer: ServiceAnswer) -> Response:
    """Converts a backend server's answer to a response to the caller."""
    headers = {"X-Worker": answer.worker, "X-Request-Id": answer.request}
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return Response(answer.body, answer.status, headers)


def parse_timeout(text: str | None, default_s: float) -> Result[float, Failure]:
    """Returns the caller's timeout in seconds."""
    if text is None:
        return Ok(default_s)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value <= MAX_TIMEOUT_S:
        detail = f"{text!r} is not between 0 and {MAX_TIMEOUT_S:g} seconds"
        return Err(Failure(ErrorKind.INVALID, detail, "Lacewinghold-Timeout"))
    return Ok(value)


def parse_priority(text: str) -> int:
    """Returns the priority from an RFC 9218 header: 0 is low, 2 is urgent."""
    found = URGENCY.search(text)
    if found is None:
        return 1
    urgency = int(found.group(1))
    if urgency <= URGENT_MAX_URGENCY:
        return 2
    return 1 if urgency <= NORMAL_MAX_URGENCY else 0
