"""Responses with problem details (RFC 9457)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from msgspec import Struct
from starlette.exceptions import HTTPException
from starlette.responses import Response

from lacewinghold.errors import ANSWERS, ErrorKind, Failure
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from starlette.requests import Request

PROBLEM_TYPE = "application/problem+json"


class Problem(Struct, omit_defaults=True):
    """The body of a response with problem details."""

    type: str
    title: str
    status: int
    detail: str
    field: str = ""
    may_repeat: bool = False


def problem_response(failure: Failure) -> Response:
    """Returns the problem response for a failure."""
    answer = failure.answer
    problem = Problem(
        type=f"urn:lacewinghold:error:{failure.kind}",
        title=answer.title,
        status=answer.status,
        detail=failure.detail,
        field=failure.field,
        may_repeat=answer.may_repeat,
    )
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    return Response(to_json(problem), answer.status, headers, media_type=PROBLEM_TYPE)


async def routing_problem(request: Request, error: Exception) -> Response:
    """Returns the problem response for an unknown path or method."""
    kind = ErrorKind.NOT_FOUND
    headers = None
    if isinstance(error, HTTPException):
        headers = error.headers
        if error.status_code == ANSWERS[ErrorKind.METHOD_NOT_ALLOWED].status:
            kind = ErrorKind.METHOD_NOT_ALLOWED
    detail = f"{request.method} {request.url.path}"
    response = problem_response(Failure(kind, detail, "path"))
    response.headers.update(headers or {})
    return response


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Returns a JSON response."""
    return Response(to_json(value), status, headers, media_type="application/json")
