"""Decides in which order the waiting steps get workers.

The load that this answers: a cell that is full, in which work of different urgency,
work that has missed its objective and organisations that submit more than their share
wait for the same workers.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from lacewinghold.scheduler.model import HOPELESS_MULTIPLE

if TYPE_CHECKING:
    from lacewinghold.organisations.shares import WeightedShares
    from lacewinghold.scheduler.model import Step

# Standing, urgency, whether the organisation is above its share, and the time at which
# the objective is missed.
UrgencyKey = tuple[int, int, bool, float]
# Sort position of a step in a plan: its urgency key and its name.
PlanPosition = tuple[UrgencyKey, str]


class Standing(IntEnum):
    """First criterion of the order; steps of a lower standing are planned first."""

    ON_TIME = 0
    LATE = 1
    EXCESS = 2
    HOPELESS = 3


def standing_of(step: Step, now: float) -> Standing:
    """Returns the standing of a step.

    Work in excess is behind late work within the rate of its organisation, also while
    it is on time itself.
    """
    job = step.job
    age = now - step.due_at
    if age > job.objective_s * HOPELESS_MULTIPLE:
        return Standing.HOPELESS
    if job.excess:
        return Standing.EXCESS
    return Standing.LATE if age > job.objective_s else Standing.ON_TIME


def urgency_key(
    step: Step, now: float, shares: WeightedShares | None = None
) -> UrgencyKey:
    """Returns the sort key of a step; lower keys are planned first.

    :param now: Time on the runtime's clock, in seconds.
    :param shares: What the organisations use of their shares; ``None`` ignores it.
    """
    job = step.job
    above = shares is not None and shares.is_above(
        job.queue.service, job.record.organisation
    )
    missed_at = step.due_at + job.objective_s
    return standing_of(step, now), job.queue.urgency, above, missed_at


def plan_position(
    step: Step, now: float, shares: WeightedShares | None = None
) -> PlanPosition:
    """Returns the sort position of a step; names make all positions distinct."""
    return urgency_key(step, now, shares), step.name
