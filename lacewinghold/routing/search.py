"""Decides when the search for a shard ends, and the caller's failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.routing.outcomes import Observation, to_failure

if TYPE_CHECKING:
    from lacewinghold.schema.generated.messages import ServiceAnswer, ServiceRequest

MAX_ROUNDS_WITHOUT_BACKEND = 3
OVERLOAD_RETRY_AFTER_S = 1.0


def is_search_over(failure: Failure | None, rounds: int) -> bool:
    """Returns whether no further round over the shards is to be tried.

    :param failure: The last failure, or ``None`` if no shard could be tried.
    :param rounds: Number of rounds over all shards so far.
    """
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
    """Returns the failure reported to the caller after all attempts.

    :param failure: The last failure, or ``None`` if no shard could be tried.
    :param may_have_run: Whether any attempt may have run.
    """
    if failure is None:
        return to_failure(
            Observation.NO_BACKEND,
            f"no usable shard runs {message.service}",
            retry_after_s=OVERLOAD_RETRY_AFTER_S,
        )
    if may_have_run and failure.answer.may_repeat:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
    return failure


def discard_late_answer(answer: ServiceAnswer) -> None:
    """Discards a late answer to a repeatable request."""
    del answer
