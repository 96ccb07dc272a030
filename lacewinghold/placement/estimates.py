"""Estimates of run times, learned from earlier tasks of the same team and kind."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lacewinghold.util.running_stats import RunningMoments

if TYPE_CHECKING:
    from lacewinghold.ids import TeamId
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.jobs import JobKind

LEARNING_RATE = 0.1
MIN_SAMPLES = 5
MIN_RATIO = 0.05
MAX_RATIO = 20.0
UPPER_DEVIATIONS = 1.0  # In standard deviations above the mean.
LOWER_DEVIATIONS = 2.0  # In standard deviations below the mean.
DEFAULT_LOWER_RATIO = 0.2  # Before there are enough samples.


class RatioEstimate(RunningMoments):
    """Moving mean and variance of the logarithm of a ratio.

    The ratio is the observed run time over the declared one.
    """

    def observe(self, ratio: float) -> None:
        """Adds one observation, limited to ``MIN_RATIO`` and ``MAX_RATIO``."""
        value = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        self.add(value, LEARNING_RATE)

    def upper_ratio(self) -> float:
        """Returns the ratio that most tasks do not exceed.

        It is 1 before there are enough samples.
        """
        if self.samples < MIN_SAMPLES:
            return 1.0
        margin = UPPER_DEVIATIONS * math.sqrt(self.variance)
        return min(MAX_RATIO, math.exp(self.mean + margin))

    def lower_ratio(self) -> float:
        """Returns the ratio that most tasks reach."""
        if self.samples < MIN_SAMPLES:
            return DEFAULT_LOWER_RATIO
        margin = LOWER_DEVIATIONS * math.sqrt(self.variance)
        return max(MIN_RATIO, math.exp(self.mean - margin))


class RunTimes:
    """Corrects declared run times by team and kind."""

    def __init__(self) -> None:
        self.ratios: dict[tuple[TeamId, JobKind], RatioEstimate] = {}

    def observe(
        self, team: TeamId, kind: JobKind, declared_s: float, run_s: float
    ) -> None:
        """Adds the run time of a task that ended by itself."""
        if declared_s <= 0 or run_s <= 0:
            return
        estimate = self.ratios.setdefault((team, kind), RatioEstimate())
        estimate.observe(run_s / declared_s)

    def estimate_s(self, work: Work) -> float:
        """Returns the run time that work most likely does not exceed, in seconds."""
        estimate = self.ratios.get((work.team, work.kind))
        if estimate is None:
            return work.run_s
        return work.run_s * estimate.upper_ratio()

    def lower_bound_s(self, work: Work) -> float:
        """Returns the run time that work most likely reaches, in seconds."""
        estimate = self.ratios.get((work.team, work.kind))
        if estimate is None:
            return work.run_s * DEFAULT_LOWER_RATIO
        return work.run_s * estimate.lower_ratio()
