"""What the handlers of the HTTP interface share."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from msgspec import Struct
from result import Err, Result
from starlette.routing import Route

from lacewinghold.api.problems import problem_response
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.schema.generated.document import Role

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request
    from starlette.responses import Response

    from lacewinghold.application import EntryInstance
    from lacewinghold.ids import TeamId

    Endpoint = Callable[[Request], Awaitable[Response]]

T = TypeVar("T")


class Caller(Struct, frozen=True):
    """Who sent a request."""

    team: TeamId
    operator: bool


class Handlers:
    """Base of the handlers over one entry instance."""

    def __init__(self, instance: EntryInstance) -> None:
        self.instance = instance

    def route(self, path: str, endpoint: Endpoint, *methods: str) -> Route:
        """Returns a route whose failures become problem answers."""

        async def guarded(request: Request) -> Response:
            try:
                return await endpoint(request)
            except FailureError as error:
                return problem_response(error.failure)

        return Route(path, guarded, methods=list(methods))

    def identify(self, request: Request) -> Caller:
        """Returns the caller of a request by its bearer key.

        :raises FailureError: If the key is missing or unknown.
        """
        if not self.instance.view.loaded.is_set():
            detail = "the document is not loaded yet"
            raise FailureError(Failure(ErrorKind.NOT_RUN, detail, "", 1.0))
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        found = None
        if scheme.lower() == "bearer":
            found = self.instance.document.team_of_key(key.strip())
        if found is None:
            detail = "send a known key as 'Authorization: Bearer KEY'"
            raise FailureError(Failure(ErrorKind.UNAUTHENTICATED, detail))
        return Caller(found[0], found[1] is Role.OPERATOR)

    async def body(self, request: Request, limit: int) -> bytes:
        """Returns a request's body.

        :raises FailureError: If it is larger than ``limit`` bytes.
        """
        data = bytearray()
        async for chunk in request.stream():
            data += chunk
            if len(data) > limit:
                detail = f"the body is larger than {limit} bytes"
                raise FailureError(Failure(ErrorKind.TOO_LARGE, detail, "$"))
        return bytes(data)

    def require_team(self, caller: Caller, team: TeamId) -> None:
        """Refuses callers of another team.

        :raises FailureError: If the caller may not act for the team.
        """
        if caller.operator or caller.team == team:
            return
        detail = f"the key belongs to {caller.team}"
        raise FailureError(Failure(ErrorKind.FORBIDDEN, detail))


def unwrap(result: Result[T, Failure]) -> T:
    """Returns the value of a result.

    :raises FailureError: If it is a failure.
    """
    if isinstance(result, Err):
        raise FailureError(result.err_value)
    return result.ok_value
