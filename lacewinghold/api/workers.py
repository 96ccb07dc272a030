"""Handlers of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.api.common import Handlers, unwrap
from lacewinghold.api.problems import json_response
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import WorkerId

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.routing import Route

MAX_COMMENT_CHARS = 1000


class WorkerHandlers(Handlers):
    """Handlers that list, drain and undrain workers."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route("/v1/workers", self.workers, "GET"),
            route("/v1/workers/{worker}/drain", self.drain, "PUT", "DELETE"),
        ]

    async def workers(self, request: Request) -> Response:
        """Lists the workers of all shards."""
        self.identify(request)
        return json_response(unwrap(await self.instance.workers.workers()))

    async def drain(self, request: Request) -> Response:
        """Drains a worker on ``PUT`` and undrains it on ``DELETE``."""
        caller = self.identify(request)
        if not caller.operator:
            detail = "only operators may drain workers"
            raise FailureError(Failure(ErrorKind.FORBIDDEN, detail))
        worker = WorkerId(request.path_params["worker"])
        if not self.instance.workers.known(worker):
            detail = f"worker {worker!r} is not on the instance list"
            raise FailureError(Failure(ErrorKind.NOT_FOUND, detail, "worker"))
        comment = request.query_params.get("comment", "")
        if len(comment) > MAX_COMMENT_CHARS:
            detail = f"the comment has at most {MAX_COMMENT_CHARS} characters"
            raise FailureError(Failure(ErrorKind.INVALID, detail, "comment"))
        changed = await self.instance.manager.drains.change(
            worker, caller.team, drained=request.method == "PUT", comment=comment
        )
        return json_response(unwrap(changed))
