"""All error kinds, with the HTTP status and exit code of each one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """The kinds of failures of an operation."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    PRECONDITION_FAILED = "precondition_failed"
    PRECONDITION_REQUIRED = "precondition_required"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    CANNOT_FIT = "cannot_fit"
    OVERLOADED = "overloaded"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_REGRESSED = "store_regressed"
    HISTORY_GONE = "history_gone"
    NOT_OWNER = "not_owner"
    LEASE_LAPSED = "lease_lapsed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UNREACHABLE = "unreachable"
    UNSUPPORTED_VERSION = "unsupported_version"
    INVARIANT_VIOLATED = "invariant_violated"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller for a kind of error.

    :param status: HTTP status code.
    :param exit_code: Exit code of the command line.
    :param may_repeat: Whether nothing ran, so that the caller may safely retry.
    :param title: Short human-readable text.
    """

    status: int
    exit_code: int
    may_repeat: bool
    title: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID: Answer(422, 2, False, "The request is invalid"),
    ErrorKind.UNAUTHENTICATED: Answer(401, 3, False, "The key is missing or unknown"),
    ErrorKind.FORBIDDEN: Answer(403, 3, False, "The key does not allow this"),
    ErrorKind.NOT_FOUND: Answer(404, 4, False, "There is no such thing"),
    ErrorKind.CONFLICT: Answer(
        409, 5, False, "The request clashes with an earlier one"
    ),
    ErrorKind.PRECONDITION_FAILED: Answer(412, 5, False, "It was changed meanwhile"),
    ErrorKind.PRECONDITION_REQUIRED: Answer(428, 2, False, "If-Match is required"),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, 2, False, "The method does not fit"),
    ErrorKind.TOO_LARGE: Answer(413, 2, False, "The request is too large"),
    ErrorKind.CANNOT_FIT: Answer(422, 6, False, "No worker can ever run this"),
    ErrorKind.OVERLOADED: Answer(503, 7, True, "Not run: too much work is waiting"),
    ErrorKind.NOT_RUN: Answer(503, 7, True, "Not run"),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, 8, False, "The outcome is unknown"),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, 7, True, "Not run: no store"),
    ErrorKind.STORE_REGRESSED: Answer(503, 9, False, "The store is behind its past"),
    ErrorKind.HISTORY_GONE: Answer(503, 9, False, "The store has dropped its history"),
    ErrorKind.NOT_OWNER: Answer(503, 7, True, "Not run: the owner is changing"),
    ErrorKind.LEASE_LAPSED: Answer(503, 7, True, "Not run: the lease has lapsed"),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, 8, True, "Not run before the deadline"),
    ErrorKind.UNREACHABLE: Answer(503, 7, True, "Not run: nobody could be reached"),
    ErrorKind.UNSUPPORTED_VERSION: Answer(505, 9, False, "Unknown message version"),
    ErrorKind.INVARIANT_VIOLATED: Answer(500, 10, False, "An invariant was violated"),
    ErrorKind.INTERNAL: Answer(500, 1, False, "Internal error"),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """One failed operation.

    :param kind: Kind of the failure.
    :param detail: The cause and, for invalid input, what is allowed.
    :param field: JSON path of the invalid field, or the empty string.
    :param retry_after_s: Seconds after which to retry, or ``None``.
    """

    kind: ErrorKind
    detail: str
    field: str = ""
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        """Returns the answer for this kind of failure."""
        return ANSWERS[self.kind]


class FailureError(Exception):
    """Raised with a failure where no ``Result`` can be returned."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind}: {failure.detail}")
        self.failure = failure


class InvariantViolation(Exception):
    """Raised before an action that would violate an invariant."""
