"""Defines whether a request without an answer is retried, and how it is reported."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from lacewinghold.errors import ErrorKind, Failure


class Observation(StrEnum):
    """How an attempt ended without a complete answer."""

    REFUSED = "connection refused"
    CONNECT_TIMEOUT = "no connection in time"
    RESET_BEFORE_SEND = "connection reset before the first byte was sent"
    RESET_AFTER_SEND = "connection reset after the first byte was sent"
    HALF_ANSWER = "connection closed within the answer"
    WRONG_ANSWER = "answer for another request"
    ANSWER_TOO_LARGE = "answer over the size limit"
    SILENT = "connection silent after the request"
    SILENT_UNSEEN = "connection silent and the request refused from now on"
    BACKEND_LEAVING = "backend server leaving"
    BACKEND_REFUSED = "backend server refused a stale epoch or incarnation"
    BACKEND_GONE = "backend server removed by the platform"
    NO_BACKEND = "no backend server left to try"
    TIMEOUT_QUEUED = "time out in the queue"
    TIMEOUT_SENT = "time out after the request was sent"
    CALLER_LEFT_QUEUED = "caller left while the request was queued"
    CALLER_LEFT_SENT = "caller left after the request was sent"
    FORWARD_NOT_SENT = "entry instance unreachable"
    FORWARD_LOST = "entry instance died after the request was forwarded"
    OWNER_CHANGED = "shard without an owner that may send"
    SHED = "queue too long"
    STORE_DOWN = "intent not written"


class Verdict(StrEnum):
    """What happens to a request after an observation.

    :cvar RETRY: Another attempt may be made.
    :cvar NOT_RUN: The request ends and has not run.
    :cvar UNKNOWN: The request ends and may have run.
    """

    RETRY = "retry"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class OutcomeRule(Struct, frozen=True):
    """The consequences of an observation.

    :param may_have_run: Whether a backend server may have run the request.
    :param repeatable: Verdict for a request that may be repeated.
    :param non_repeatable: Verdict for a request that must not be repeated.
    """

    may_have_run: bool
    repeatable: Verdict
    non_repeatable: Verdict


RETRIED_ALWAYS = OutcomeRule(False, Verdict.RETRY, Verdict.RETRY)
ENDED_NOT_RUN = OutcomeRule(False, Verdict.NOT_RUN, Verdict.NOT_RUN)
RETRIED_IF_REPEATABLE = OutcomeRule(True, Verdict.RETRY, Verdict.UNKNOWN)
ENDED_UNKNOWN = OutcomeRule(True, Verdict.UNKNOWN, Verdict.UNKNOWN)

OUTCOME_RULES: dict[Observation, OutcomeRule] = {
    Observation.REFUSED: RETRIED_ALWAYS,
    Observation.CONNECT_TIMEOUT: RETRIED_ALWAYS,
    Observation.RESET_BEFORE_SEND: RETRIED_ALWAYS,
    Observation.RESET_AFTER_SEND: RETRIED_IF_REPEATABLE,
    Observation.HALF_ANSWER: RETRIED_IF_REPEATABLE,
    Observation.WRONG_ANSWER: RETRIED_IF_REPEATABLE,
    Observation.ANSWER_TOO_LARGE: ENDED_UNKNOWN,
    Observation.SILENT: RETRIED_IF_REPEATABLE,
    Observation.SILENT_UNSEEN: RETRIED_ALWAYS,
    Observation.BACKEND_LEAVING: RETRIED_ALWAYS,
    Observation.BACKEND_REFUSED: RETRIED_ALWAYS,
    Observation.BACKEND_GONE: RETRIED_IF_REPEATABLE,
    Observation.NO_BACKEND: ENDED_NOT_RUN,
    Observation.TIMEOUT_QUEUED: ENDED_NOT_RUN,
    Observation.TIMEOUT_SENT: ENDED_UNKNOWN,
    Observation.CALLER_LEFT_QUEUED: ENDED_NOT_RUN,
    Observation.CALLER_LEFT_SENT: ENDED_UNKNOWN,
    Observation.FORWARD_NOT_SENT: RETRIED_ALWAYS,
    Observation.FORWARD_LOST: RETRIED_IF_REPEATABLE,
    Observation.OWNER_CHANGED: RETRIED_ALWAYS,
    Observation.SHED: ENDED_NOT_RUN,
    Observation.STORE_DOWN: ENDED_NOT_RUN,
}

ERROR_KIND_BY_OBSERVATION: dict[Observation, ErrorKind] = {
    Observation.TIMEOUT_QUEUED: ErrorKind.DEADLINE_EXCEEDED,
    Observation.FORWARD_NOT_SENT: ErrorKind.UNREACHABLE,
    Observation.OWNER_CHANGED: ErrorKind.NOT_OWNER,
    Observation.SHED: ErrorKind.OVERLOADED,
}


class AttemptFailure(Struct, frozen=True):
    """Why an attempt has no complete answer."""

    observation: Observation
    detail: str = ""


def decide(observation: Observation, *, repeatable: bool) -> Verdict:
    """Returns the verdict for a request after an observation."""
    rule = OUTCOME_RULES[observation]
    return rule.repeatable if repeatable else rule.non_repeatable


def to_failure(
    observation: Observation,
    detail: str = "",
    *,
    may_have_run: bool = False,
    retry_after_s: float | None = None,
) -> Failure:
    """Returns the failure reported to the caller if no further attempt is made.

    :param may_have_run: Whether an earlier attempt of the request may have run.
    """
    text = f"{observation}: {detail}" if detail else str(observation)
    if may_have_run or OUTCOME_RULES[observation].may_have_run:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, text)
    kind = ERROR_KIND_BY_OBSERVATION.get(observation, ErrorKind.NOT_RUN)
    return Failure(kind, text, "", retry_after_s)
