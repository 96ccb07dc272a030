"""Learns from finished runs how long tasks take; does no I/O.

Callers' estimates are informative in some queues and misleading in others. For each
queue, the logarithm of the ratio of run time to estimate is regressed on the logarithm
of the estimate, with the caller's estimate as prior.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from msgspec import Struct, field

from lacewinghold.util.running_stats import RunningRegression, WeightedMoments

if TYPE_CHECKING:
    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step
    from lacewinghold.schema.generated.cell import CellJob, StepSpec

MAX_QUEUES = 256  # The least recently observed ones are dropped.
MAX_GROUPS = 2048  # Pairs of organisation and image within the queues.
MAX_COMPARED_RUNS = 64  # Runs of one step that are kept to compare their workers.
# Weight of the caller's estimate. A step counts as one sample, whatever its width,
# since its tasks share the error of the estimate.
PRIOR_WEIGHT = 8.0
MAX_WEIGHT = 100.0  # Older samples lose weight; a shift of the work is learned so.
PRIOR_ESTIMATE_VARIANCE = 0.25  # Of the logarithms of a queue's estimates.
PRIOR_VARIANCE = 0.25  # Of the logarithm of the ratio, before there is data.
WITHIN_STEP_VARIANCE = 0.09  # Tasks of one step differ by about 30 %.
# Steps of one queue differ at least by so much in what the regression cannot explain.
MIN_BETWEEN_STEPS_VARIANCE = 0.01
# A few runs take many times as long as the others; their deviation is limited.
MAX_DEVIATIONS = 2.5
MIN_LOG_RATIO = math.log(0.05)
MAX_LOG_RATIO = math.log(20.0)
UPPER_DEVIATIONS = 1.28  # The 90 % quantile of a normal distribution.
MIN_STEP_FRACTION = 0.5  # Work of a step, in tasks, from which its pace is used.

Key = TypeVar("Key")
Value = TypeVar("Value")
GroupKey = tuple[str, str, str]


class Duration(Struct, frozen=True):
    """Expected run time of a task on a worker of typical speed.

    :param mean_s: Expected run time in seconds, as a mean of logarithms, in which the
        few runs that take many times as long hardly count. Exactly the caller's
        estimate while there is no data.
    :param upper_s: Run time in seconds that nine tenths of the runs do not exceed.
    :param samples: Weight of the observations, in steps; the caller's estimate has
        ``PRIOR_WEIGHT``.
    """

    mean_s: float
    upper_s: float
    samples: float


class StepTimes(Struct):
    """What is known of the run times of one step's tasks.

    :param fraction: Work done, in tasks, as runs ended or reported progress.
    :param run_s: Seconds in which it was done, on a worker of typical speed.
    :param ended: Logarithms of the run times of ended runs, by their workers.
    :param compared: Whether the workers' speeds were learned from the step.
    """

    fraction: float = 0.0
    run_s: float = 0.0
    ended: list[tuple[WorkerId, float]] = field(default_factory=list)
    compared: bool = False

    def add_progress(self, fraction: float, run_s: float) -> None:
        """Adds work that a run has done.

        :param run_s: Seconds that a worker of typical speed takes for it.
        """
        self.fraction += fraction
        self.run_s += run_s

    def record_end(self, worker: WorkerId, run_s: float) -> None:
        """Records the run time of an ended run, as measured on its worker."""
        if len(self.ended) < MAX_COMPARED_RUNS and run_s > 0:
            self.ended.append((worker, math.log(run_s)))


class QueueTimes(Struct):
    """Run times of one queue.

    :param regression: Of the logarithm of the ratio of run time to estimate on the
        logarithm of the estimate.
    :param residuals: Deviations of the ratio from what was predicted.
    """

    regression: RunningRegression = field(default_factory=RunningRegression)
    residuals: WeightedMoments = field(default_factory=WeightedMoments)

    def predict(self, log_estimate: float) -> float:
        """Returns the expected logarithm of the ratio."""
        return self.regression.predict(
            log_estimate, PRIOR_WEIGHT, PRIOR_ESTIMATE_VARIANCE
        )

    def variance(self) -> float:
        """Returns the variance of the logarithm of the ratio, drawn to the prior."""
        moments, weight = self.residuals.moments, self.residuals.weight
        found = moments.variance + moments.mean**2
        total = found * weight + PRIOR_VARIANCE * PRIOR_WEIGHT
        return total / (weight + PRIOR_WEIGHT)


class Prediction(Struct):
    """Prediction of the logarithm of the ratio of run time to estimate."""

    log_ratio: float = 0.0
    variance: float = PRIOR_VARIANCE
    samples: float = 0.0


class DurationModel:
    """Expected run times by queue, and by organisation and image within a queue."""

    def __init__(self) -> None:
        self.queues: dict[str, QueueTimes] = {}
        self.groups: dict[GroupKey, WeightedMoments] = {}

    def observe(self, step: Step, run_s: float, speed: float = 1.0) -> None:
        """Adds the run time of a run that did all of its task's work.

        Runs that failed, were stopped, or continued from a checkpoint must not be
        added.

        :param run_s: Measured run time in seconds.
        :param speed: Speed of the run's worker relative to a typical one.
        """
        spec, record = step.spec, step.job.record
        work_s = run_s * speed
        if not (0 < work_s < math.inf and 0 < spec.expected_ms < math.inf):
            return
        log_estimate = math.log(spec.expected_ms / 1000)
        log_ratio = math.log(work_s) - log_estimate
        log_ratio = min(MAX_LOG_RATIO, max(MIN_LOG_RATIO, log_ratio))
        expected = self.predict(record, spec)
        margin = MAX_DEVIATIONS * math.sqrt(expected.variance)
        log_ratio = min(log_ratio, expected.log_ratio + margin)
        log_ratio = max(log_ratio, expected.log_ratio - margin)
        weight = 1 / max(1, spec.tasks)
        queue = renewed(self.queues, record.queue, QueueTimes(), MAX_QUEUES)
        queue.residuals.add(log_ratio - expected.log_ratio, weight, MAX_WEIGHT)
        key = group_key(record, spec)
        if key is not None:
            group = renewed(self.groups, key, WeightedMoments(), MAX_GROUPS)
            group.add(log_ratio - queue.predict(log_estimate), weight, MAX_WEIGHT)
        queue.regression.add(log_estimate, log_ratio, weight, MAX_WEIGHT)

    def predict(self, record: CellJob, spec: StepSpec) -> Prediction:
        """Returns the prediction by queue, organisation and image."""
        queue = self.queues.get(record.queue)
        if queue is None:
            return Prediction()
        log_ratio = queue.predict(math.log(spec.expected_ms / 1000))
        key = group_key(record, spec)
        group = None if key is None else self.groups.get(key)
        if group is not None:
            log_ratio += group.shrunk_mean(PRIOR_WEIGHT)
        return Prediction(
            min(MAX_LOG_RATIO, max(MIN_LOG_RATIO, log_ratio)),
            queue.variance(),
            queue.residuals.weight,
        )

    def expected_by_queue(self, record: CellJob, spec: StepSpec) -> Duration:
        """Returns the run time of a step of which no run is known.

        Without an estimate of the caller the run time is 0, which means unknown.
        """
        if not 0 < spec.expected_ms < math.inf:
            return Duration(0.0, 0.0, 0.0)
        return to_duration(spec, self.predict(record, spec))

    def expected(self, step: Step) -> Duration:
        """Returns the expected run time of a step's tasks.

        The pace of the step's other tasks counts more than the queue, the more of
        their work is done.
        """
        record, spec, times = step.job.record, step.spec, step.times
        known = times is not None and times.fraction >= MIN_STEP_FRACTION
        if not known or times is None or not 0 < spec.expected_ms < math.inf:
            return self.expected_by_queue(record, spec)
        found = self.predict(record, spec)
        measured_ms = 1000 * times.run_s / times.fraction
        measured = math.log(max(measured_ms, 1.0) / spec.expected_ms)
        deviation = measured - found.log_ratio
        noise = WITHIN_STEP_VARIANCE / times.fraction
        # A pace beyond two standard deviations shows that the queue tells little of
        # this step, however alike its earlier steps were.
        between = max(
            MIN_BETWEEN_STEPS_VARIANCE,
            found.variance - WITHIN_STEP_VARIANCE,
            deviation**2 / 4 - noise,
        )
        share = between / (between + noise)
        found.log_ratio += share * deviation
        found.variance = (1 - share) * between + WITHIN_STEP_VARIANCE
        found.samples += times.fraction
        return to_duration(spec, found)

    def expected_path_s(self, record: CellJob) -> list[float]:
        """Returns the expected run time of each step of a new job, in seconds."""
        return [self.expected_by_queue(record, spec).mean_s for spec in record.steps]


def group_key(record: CellJob, spec: StepSpec) -> GroupKey | None:
    """Returns the key of a step's group, ``None`` if only its queue is known."""
    if not record.organisation and not spec.image:
        return None
    return record.queue, record.organisation, spec.image


def to_duration(spec: StepSpec, found: Prediction) -> Duration:
    """Returns the run time that a prediction stands for."""
    estimate_s = spec.expected_ms / 1000
    upper = found.log_ratio + UPPER_DEVIATIONS * math.sqrt(found.variance)
    return Duration(
        estimate_s * math.exp(found.log_ratio),
        estimate_s * math.exp(upper),
        found.samples,
    )


def renewed(kept: dict[Key, Value], key: Key, new: Value, limit: int) -> Value:
    """Returns the value of a key as the most recently used one.

    :param new: The value of an unknown key.
    :param limit: Number of keys beyond which the least recently used is dropped.
    """
    value = kept.pop(key, new)
    kept[key] = value
    if len(kept) > limit:
        del kept[next(iter(kept))]
    return value
