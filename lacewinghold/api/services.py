"""Handlers of requests to standing services."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result
from starlette.responses import Response

from lacewinghold.api.common import Handlers, unwrap
from lacewinghold.api.problems import json_response
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import ServiceId

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.routing import Route

    from lacewinghold.api.common import Caller
    from lacewinghold.schema.generated.messages import ServiceAnswer

MAX_REQUEST_BYTES = 8 * 1024 * 1024
MAX_TIMEOUT_S = 600.0
MAX_KEY_CHARACTERS = 256
CALLER_LEFT_STATUS = 499
URGENT_UNTIL = 1
NORMAL_UNTIL = 4
URGENCY = re.compile(r"(?:^|[,\s])u=([0-7])(?:$|[,;\s])")


class ServiceHandlers(Handlers):
    """Requests to standing services."""

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
        """Passes a request to a standing service; drops it if its caller leaves."""
        caller = self.identify(request)
        data = await self.body(request, MAX_REQUEST_BYTES)
        result: Result[ServiceAnswer, Failure] | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_caller, request, tasks.cancel_scope)
            result = await self.pass_on(request, caller, data)
            tasks.cancel_scope.cancel()
        if result is None:
            return Response(status_code=CALLER_LEFT_STATUS)
        return to_response(unwrap(result))

    async def pass_on(
        self, request: Request, caller: Caller, data: bytes
    ) -> Result[ServiceAnswer, Failure]:
        """Checks a request's headers and passes it on."""
        service = ServiceId(request.path_params["service"])
        default_s = self.instance.requests.rules.rule(service).timeout_s
        timeout = parse_timeout(request.headers.get("lacewinghold-timeout"), default_s)
        if isinstance(timeout, Err):
            return timeout
        key = request.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS:
            detail = f"at most {MAX_KEY_CHARACTERS} characters"
            return Err(Failure(ErrorKind.INVALID, detail, "Idempotency-Key"))
        return await self.instance.requests.request(
            caller.team,
            service,
            request.method,
            request.path_params["path"],
            data,
            timeout.ok_value,
            request.headers.get("lacewinghold-repeatable", "yes") != "no",
            key,
            parse_priority(request.headers.get("priority", "")),
            request.headers.get("content-type", ""),
        )

    async def request_state(self, request: Request) -> Response:
        """Tells what became of a request that must not be repeated."""
        caller = self.identify(request)
        record = unwrap(
            await self.instance.requests.once.lookup(
                caller.team, request.path_params["key"]
            )
        )
        return json_response(record)


async def watch_caller(request: Request, scope: anyio.CancelScope) -> None:
    """Cancels a scope once the caller has closed its connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def to_response(answer: ServiceAnswer) -> Response:
    """Returns a backend server's answer for the caller."""
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
    """Returns the priority of an RFC 9218 header: 2 is urgent, 0 may wait."""
    found = URGENCY.search(text)
    if found is None:
        return 1
    urgency = int(found.group(1))
    if urgency <= URGENT_UNTIL:
        return 2
    return 1 if urgency <= NORMAL_UNTIL else 0
