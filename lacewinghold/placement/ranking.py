"""The rank of waiting work: by priority, slack to the deadline and age."""

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
LONG_RUN_S = 3600.0  # Longer run times weigh no more.


class Tier(Enum):
    """Classes of work that are ranked before others regardless of age."""

    URGENT = 0
    SERVICE = 1
    OTHER = 2


def tier_of(work: Work) -> Tier:
    """Returns the tier of work; services come early, so that they restart at once."""
    if work.priority is Priority.URGENT:
        return Tier.URGENT
    return Tier.SERVICE if work.kind is JobKind.SERVICE else Tier.OTHER


class Ranking:
    """Ranks work by its latest start: the time by which it should start.

    The latest start does not change while the work waits. So the order of the queue
    stays valid as time passes, and work of low priority does not starve: in the end
    it comes before newer work of a higher priority.

    :param weights: The operators' weights.
    """

    def __init__(
        self, weights: PlacementSection, run_times: RunTimes, index: CapacityIndex
    ) -> None:
        self.weights = weights
        self.run_times = run_times
        self.index = index

    def rank(self, work: Work) -> tuple[int, float]:
        """Returns the sort key of work, lowest first."""
        return tier_of(work).value, self.latest_start(work)

    def latest_start(self, work: Work) -> float:
        """Returns when work should start at the latest.

        Work that is late is ranked ``LATE_PENALTY_S`` later, behind work that can
        still meet its deadline.
        """
        if work.deadline is None:
            return work.queued_at + self.target_wait_s(work)
        start = work.deadline - self.run_times.estimate_s(work)
        return start + LATE_PENALTY_S if work.late else start

    def target_wait_s(self, work: Work) -> float:
        """Returns the target wait of work without a deadline, in seconds.

        The waiting weight favours work of short run time, the packing weight favours
        work of large need.
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
        """Returns whether work most likely misses its deadline."""
        if work.deadline is None:
            return False
        return now + self.run_times.lower_bound_s(work) > work.deadline
