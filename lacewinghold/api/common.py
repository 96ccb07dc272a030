"""Common parts of the handlers of the HTTP API."""

from __future__ import annotations

import re
import secrets
from typing import TYPE_CHECKING, TypeVar

import structlog
from msgspec import Struct
from result import Err, Result
from starlette.requests import ClientDisconnect
from starlette.responses import Response
from starlette.routing import Route
from structlog.contextvars import bind_contextvars

from lacewinghold.api.problems import problem_response
from lacewinghold.errors import (
    ErrorKind,
    Failure,
    FailureError,
    InvariantViolation,
)
from lacewinghold.events import Event
from lacewinghold.schema.generated.document import Role

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from lacewinghold.application import EntryInstance
    from lacewinghold.ids import TeamId

    Endpoint = Callable[[Request], Awaitable[Response]]

T = TypeVar("T")
logger = structlog.get_logger(__name__)
MAX_KEY_CHARS = 256
TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


class Caller(Struct, frozen=True):
    """The authenticated sender of a request.

    :param operator: Whether the team has the operator role.
    """

    team: TeamId
    operator: bool


class Handlers:
    """Base class of the handlers of an entry instance."""

    def __init__(self, instance: EntryInstance) -> None:
        self.instance = instance

    def route(self, path: str, endpoint: Endpoint, *methods: str) -> Route:
        """Returns a route whose failures are answered with problem details."""

        async def guarded(request: Request) -> Response:
            bind_contextvars(request=request_id(request))
            try:
                return await endpoint(request)
            except FailureError as error:
                return problem_response(error.failure)
            except ClientDisconnect:
                # The caller has disconnected and does not read this answer.
                return Response(status_code=400)
            except InvariantViolation as error:
                logger.error(Event.INVARIANT_VIOLATED, path=path, detail=str(error))
                failure = Failure(ErrorKind.INVARIANT_VIOLATED, str(error))
                return problem_response(failure)
            except Exception:
                # A bug: the traceback is logged and the caller gets an answer.
                logger.exception(Event.REQUEST_FAILED, path=path)
                detail = "see the log of this entry instance"
                return problem_response(Failure(ErrorKind.INTERNAL, detail))

        return Route(path, guarded, methods=list(methods))

    def identify(self, request: Request) -> Caller:
        """Authenticates the caller of a request by its bearer key.

        :raises FailureError: If the key is missing or unknown, or the document is
            not loaded or too old to check keys.
        """
        if not self.instance.document.cell().teams:
            detail = "this entry instance has not read the document yet"
            failure = Failure(ErrorKind.STORE_UNAVAILABLE, detail, retry_after_s=1.0)
            raise FailureError(failure)
        if not self.instance.rules.can_identify_callers():
            detail = "the keys known here are too old to authenticate callers"
            raise FailureError(Failure(ErrorKind.NOT_RUN, detail, "", 1.0))
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        found = None
        if scheme.lower() == "bearer":
            found = self.instance.document.team_of_key(key.strip())
        if found is None:
            detail = "send a known key as 'Authorization: Bearer KEY'"
            failure = Failure(ErrorKind.UNAUTHENTICATED, detail, "Authorization")
            raise FailureError(failure)
        return Caller(found[0], found[1] is Role.OPERATOR)

    def idempotency_key(self, request: Request) -> str:
        """Returns the Idempotency-Key of a request; empty if it has none.

        :raises FailureError: If it is empty, too long or not printable.
        """
        key = request.headers.get("idempotency-key")
        if key is None:
            return ""
        if 0 < len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable():
            return key
        detail = f"send 1 to {MAX_KEY_CHARS} printable ASCII characters"
        raise FailureError(Failure(ErrorKind.INVALID, detail, "Idempotency-Key"))

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
        """Checks that a caller may act for a team.

        :raises FailureError: If the caller is neither of the team nor an operator.
        """
        if caller.operator or caller.team == team:
            return
        detail = f"the key belongs to team {caller.team}"
        raise FailureError(Failure(ErrorKind.FORBIDDEN, detail))


def traceparent(request: Request) -> str:
    """Returns a request's traceparent header; empty if missing or malformed."""
    text = request.headers.get("traceparent", "")
    return "" if TRACEPARENT.fullmatch(text) is None else text


def request_id(request: Request) -> str:
    """Returns the trace id of a request, or a new id if it has none."""
    found = traceparent(request)
    return found.split("-")[1] if found else secrets.token_hex(8)


def unwrap(result: Result[T, Failure]) -> T:
    """Returns the value of a result.

    :raises FailureError: If the result is a failure.
    """
    if isinstance(result, Err):
        raise FailureError(result.err_value)
    return result.ok_value
