"""Learns how fast each worker is, relative to a typical one; does no I/O.

Runs of one step on different workers are compared with each other, so that errors of
the caller's estimate cancel out.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from lacewinghold.util.running_stats import WeightedMoments

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewinghold.ids import WorkerId

# Tasks of one step differ by about 30 %, so that the speed of a worker is known to
# about 10 % after 10 comparisons.
PRIOR_WEIGHT = 4.0
MAX_WEIGHT = 60.0  # Older comparisons lose weight: a worker's speed may change.
MAX_LOG_DEVIATION = math.log(2.0)  # Runs beyond it are slow for other reasons.
MIN_COMPARED_WORKERS = 2
CENTRE_INTERVAL = 16  # Compared steps after which the typical speed is updated.


class WorkerSpeeds:
    """Relative speeds of all workers; the mean of their logarithms is 0."""

    def __init__(self) -> None:
        self.logs: dict[WorkerId, WeightedMoments] = {}
        self.centre = 0.0
        self.compared_steps = 0

    def speed_of(self, worker: WorkerId) -> float:
        """Returns a worker's speed relative to a typical one; 1.0 while unknown."""
        known = self.logs.get(worker)
        if known is None:
            return 1.0
        share = known.weight / (known.weight + PRIOR_WEIGHT)
        return math.exp(share * (known.moments.mean - self.centre))

    def observe_step(self, runs: Sequence[tuple[WorkerId, float]]) -> None:
        """Compares runs of one step.

        :param runs: Worker and logarithm of the run time in seconds of each run.
        """
        if len({worker for worker, _ in runs}) < MIN_COMPARED_WORKERS:
            return
        usual = [math.log(self.speed_of(worker)) for worker, _ in runs]
        works = [log_s + speed for (_, log_s), speed in zip(runs, usual, strict=True)]
        middle = median(works)
        # The few runs that take many times as long hardly move the median.
        low, high = middle - MAX_LOG_DEVIATION, middle + MAX_LOG_DEVIATION
        works = [min(high, max(low, work)) for work in works]
        total, others = sum(works), len(runs) - 1
        for (worker, _), speed, work in zip(runs, usual, works, strict=True):
            found = speed + (total - work) / others - work
            known = self.logs.setdefault(worker, WeightedMoments())
            # The fewer other runs there are, the less is known of the step's work.
            known.add(found, others / len(runs), MAX_WEIGHT)
        self.compared_steps += 1
        if self.compared_steps % CENTRE_INTERVAL == 0:
            self.update_centre()

    def forget(self, worker: WorkerId) -> None:
        """Removes a worker that has left."""
        self.logs.pop(worker, None)

    def update_centre(self) -> None:
        """Sets the typical speed to the mean of all workers' logarithms.

        A few comparisons of a new worker count less than many of a known one.
        """
        weight = sum(known.weight for known in self.logs.values())
        total = sum(known.weight * known.moments.mean for known in self.logs.values())
        self.centre = total / weight if weight else 0.0

    def range(self) -> tuple[float, float]:
        """Returns the lowest and the highest speed of all workers."""
        speeds = [self.speed_of(worker) for worker in self.logs] or [1.0]
        return min(speeds), max(speeds)
