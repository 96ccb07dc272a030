"""The order of waiting work: priority, slack to the deadline, age."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from lacewinghold.placement.capacity import dominant_share
from lacewinghold.schema.generated.jobs import JobKind, Priority

if TYPE_CHECKING:
    from lacewinghold.placement.estimates import RunTimes
    from lacewinghold.placement.index import CapacityIndex
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.document import PlacementSection

TARGET_WAIT_S = {
    Priority.URGENT: 0.0,
    Priority.HIGH: 120.0,
    Priority.NORMAL: 1800.0,
    Priority.LOW: 14_400.0,
}
LATE_PENALTY_S = 1800.0
LONG_RUN_S = 3600.0


class Tier(Enum):
    """What goes before what, whatever its age."""

    URGENT = 0
    SERVICE = 1
    OTHER = 2


def tier_of(work: Work) -> Tier:
    """Returns the tier of a piece of work; a service restarts at once."""
    if work.priority is Priority.URGENT:
        return Tier.URGENT
    return Tier.SERVICE if work.kind is JobKind.SERVICE else Tier.OTHER


class Ranking:
    """Ranks work by the moment when it should start at the latest.

    That moment does not change while the work waits. So the order of the queue
    stays valid as time passes, and old work of low priority comes before new
    work of a higher one in the end.

    :param weights: The operators' weights.
    """

    def __init__(
        self, weights: PlacementSection, run_times: RunTimes, index: CapacityIndex
    ) -> None:
        self.weights = weights
        self.run_times = run_times
        self.index = index

    def rank(self, work: Work) -> tuple[int, float]:
        """Returns the sort key of a piece of work, lowest first."""
        return tier_of(work).value, self.latest_start(work)

    def latest_start(self, work: Work) -> float:
        """Returns when a piece of work should start at the latest."""
        if work.deadline is None:
            return work.queued_at + self.target_wait_s(work)
        start = work.deadline - self.run_times.estimate_s(work)
        return start + LATE_PENALTY_S if work.late else start

    def target_wait_s(self, work: Work) -> float:
        """Returns how long work without a deadline may wait.

        Short work comes first where waiting weighs more, large work where
        packing does.
        """
        target_wait_s = TARGET_WAIT_S[work.priority]
        run_time_share = min(1.0, self.run_times.estimate_s(work) / LONG_RUN_S)
        size_share = min(1.0, dominant_share(work.need, self.index.largest))
        weights = self.weights
        adjustment = (
            weights.waiting_weight * run_time_share
            - weights.packing_weight * size_share
        )
        return target_wait_s * (1 + adjustment)

    def is_late(self, work: Work, now: float) -> bool:
        """Returns whether work most likely misses its deadline.

        Such work goes behind work that can still meet its own.
        """
        if work.deadline is None:
            return False
        return now + self.run_times.lower_bound_s(work) > work.deadline
