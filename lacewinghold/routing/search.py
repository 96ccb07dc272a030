"""When the search for a shard ends, and what the caller is told then."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.routing.outcomes import Observation, to_failure

if TYPE_CHECKING:
    from lacewinghold.schema.generated.messages import ServiceAnswer, ServiceRequest

MAX_ROUNDS_WITHOUT_BACKEND = 3
OVERLOAD_RETRY_AFTER_S = 1.0


def is_search_over(failure: Failure | None, rounds: int) -> bool:
    """Returns whether another round over the shards would be of no use."""
    if failure is None:
        return rounds >= MAX_ROUNDS_WITHOUT_BACKEND
    if failure.kind in (ErrorKind.NOT_OWNER, ErrorKind.UNREACHABLE):
        return False
    if failure.kind is ErrorKind.NOT_RUN:
        return rounds >= MAX_ROUNDS_WITHOUT_BACKEND
    return True


def final_failure(
    message: ServiceRequest, failure: Failure | None, *, may_have_run: bool
) -> Failure:
    """Returns what the caller is told, given all that was tried."""
    if failure is None:
        return to_failure(
            Observation.NO_BACKEND,
            f"{message.service} runs nowhere that may be used",
            retry_after_s=OVERLOAD_RETRY_AFTER_S,
        )
    if may_have_run and failure.answer.may_repeat:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
    return failure


def discard_late_answer(answer: ServiceAnswer) -> None:
    """Drops an answer that nobody waits for."""
    del answer
