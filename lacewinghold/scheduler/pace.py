"""Detects slow and stuck workers by the progress of their runs; does no I/O.

A worker may become slow or stop making progress while it still answers every poll.
Each worker is compared with the others and with its own learned speed: one that is
always slower than the others is not held to be slow.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.speeds import WorkerSpeeds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.ids import WorkerId

DECAY_S = 1.5  # Time constant with which earlier progress loses weight.
MIN_OBSERVED_S = 1.5  # Observed run time before a worker is rated.
# Share of the usual speed below which a worker is slow. In a trial, workers that became
# four times slower were noticed after 3.8 s with 0.4, and after 2.4 s with 0.45.
SLOW_SHARE = 0.45
RECOVERED_SHARE = 0.6  # Share from which a slow worker counts as recovered.
STUCK_SHARE = 0.05  # Share of the usual speed below which a worker is stuck.
MIN_RATED_WORKERS = 4  # The median of fewer workers is not meaningful.
MAX_SLOW_SHARE = 0.34  # A larger share of slow workers is due to the load.
SLOW_RETRY_DELAY_S = 3.0  # After its last progress a slow worker is used again.
MAX_RATED_RUNS = 32  # Runs of one worker of which the progress is kept.
MIN_RUN_OBSERVED_S = 0.3  # Observed time, decayed, from which a run is rated.
# Observed time, decayed, from which a speed may be the best of its run.
MIN_PEAK_OBSERVED_S = 0.75
FALLEN_SHARE = 0.5  # Share of its best speed below which a run has slowed down.
# A run of a few takes many times as long as expected on a sound worker. Two such runs
# at a time are common where a worker has few runs.
MIN_SLOW_STEPS = 3
MIN_EXTRAPOLATED_PERCENT = 20.0  # Progress from which a run time is extrapolated.


class ProgressMark(Struct):
    """The last observed progress of one run.

    :param began_at: When the run was first observed, on the runtime's clock.
    :param whole: Whether it was observed from its start, without a checkpoint.
    """

    at: float
    percent: float
    began_at: float
    whole: bool = False


class ProgressGain(Struct, frozen=True):
    """Progress of a run between two observations.

    :param fraction: Share of the task's work that was done.
    :param run_s: Seconds that it took.
    """

    fraction: float
    run_s: float


class DecayingPace(Struct):
    """Work done and time taken, with exponentially decaying weights.

    :param work: Work done, in estimated seconds or in shares of a task.
    :param run_s: Seconds that it took.
    """

    work: float = 0.0
    run_s: float = 0.0
    updated_at: float = -math.inf

    def add(self, work: float, run_s: float, now: float) -> None:
        """Adds the progress of one run."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / DECAY_S)
            self.work *= decay
            self.run_s *= decay
            self.updated_at = now
        self.work += work
        self.run_s += run_s

    def speed(self) -> float:
        """Returns the work done per second of run time."""
        return self.work / self.run_s if self.run_s else 1.0


class RunPace(DecayingPace):
    """Progress of one run, in shares of its task.

    :param expected_s: Expected run time of the task in seconds, as last known.
    :param peak: Highest speed that the run has had.
    """

    expected_s: float = 0.0
    peak: float = 0.0

    def record(self, gain: ProgressGain, expected_s: float, now: float) -> None:
        """Adds progress of the run."""
        self.add(gain.fraction, gain.run_s, now)
        self.expected_s = expected_s
        if self.run_s >= MIN_PEAK_OBSERVED_S:
            self.peak = max(self.peak, self.speed())

    def observed_s(self, now: float) -> float:
        """Returns the seconds of observation, decayed until now."""
        return self.run_s * math.exp((self.updated_at - now) / DECAY_S)

    def has_slowed_down(self) -> bool:
        """Returns whether the run is far slower than it has been before."""
        return self.speed() < FALLEN_SHARE * self.peak


class WorkerPace(DecayingPace):
    """Progress of one worker's runs, in estimated seconds of work.

    :param runs: Its latest runs, the most recently observed one last.
    """

    runs: dict[tuple[str, int], RunPace] = field(default_factory=dict)

    def record(
        self, run: tuple[str, int], gain: ProgressGain, expected_s: float, now: float
    ) -> None:
        """Adds progress of a run."""
        self.add(gain.fraction * expected_s, gain.run_s, now)
        pace = self.runs.pop(run, None) or RunPace()
        self.runs[run] = pace
        pace.record(gain, expected_s, now)
        if len(self.runs) > MAX_RATED_RUNS:
            del self.runs[next(iter(self.runs))]

    def most_runs_slow(self, usual: float, min_steps: int, now: float) -> bool:
        """Returns whether the worker, rather than some of its runs, is slow.

        :param usual: Usual speed of the worker, in estimated seconds of work per
            second.
        :param min_steps: Number of steps whose runs must be slow, unless a run has
            slowed down.
        """
        slow = others = 0
        slowed_down = False
        steps = set()
        for (task, _), pace in self.runs.items():
            if pace.observed_s(now) < MIN_RUN_OBSERVED_S:
                continue
            if pace.speed() * pace.expected_s >= RECOVERED_SHARE * usual:
                others += 1
                continue
            slow += 1
            steps.add(task.rpartition(".")[0] or task)
            slowed_down = slowed_down or pace.has_slowed_down()
        if slowed_down:
            return slow > others
        # A single sound run shows that the others are slow for reasons of their own.
        return not others and len(steps) >= min_steps


class PaceTracker:
    """Compares the progress of all workers with each other.

    :param speeds: The workers' usual speeds.
    """

    def __init__(self, speeds: WorkerSpeeds | None = None) -> None:
        self.speeds = speeds or WorkerSpeeds()
        self.progress_marks: dict[tuple[WorkerId, str, int], ProgressMark] = {}
        self.paces: dict[WorkerId, WorkerPace] = {}
        self.slow_until: dict[WorkerId, float] = {}

    def record_start(self, worker: WorkerId, run: tuple[str, int], now: float) -> None:
        """Records that a run starts without progress."""
        self.progress_marks[(worker, *run)] = ProgressMark(now, 0.0, now, whole=True)

    def record_finish(
        self, worker: WorkerId, run: tuple[str, int], expected_s: float, now: float
    ) -> ProgressGain | None:
        """Records that a run has finished all of its work.

        :returns: Its progress since it was last observed, ``None`` if unknown.
        """
        mark = self.progress_marks.pop((worker, *run), None)
        if mark is None or now <= mark.at or expected_s <= 0:
            return None
        gain = ProgressGain((100 - mark.percent) / 100, now - mark.at)
        self.paces.setdefault(worker, WorkerPace()).record(run, gain, expected_s, now)
        return gain

    def record_progress(
        self,
        worker: WorkerId,
        run: tuple[str, int],
        percent: float,
        expected_s: float,
        now: float,
    ) -> ProgressGain | None:
        """Records the progress of a run.

        :returns: Its progress since it was last observed, ``None`` if unknown.
        """
        key = (worker, *run)
        mark = self.progress_marks.get(key)
        if mark is None:
            self.progress_marks[key] = ProgressMark(now, percent, now)
            return None
        earlier_at, earlier_percent = mark.at, mark.percent
        mark.at, mark.percent = now, percent
        if now <= earlier_at or expected_s <= 0:
            return None
        if percent >= 100 or percent < earlier_percent:
            return None
        gain = ProgressGain((percent - earlier_percent) / 100, now - earlier_at)
        self.paces.setdefault(worker, WorkerPace()).record(run, gain, expected_s, now)
        return gain

    def observed_run_s(
        self, worker: WorkerId, run: tuple[str, int], now: float
    ) -> float | None:
        """Returns how long a run has taken since its start, in seconds.

        :returns: ``None`` if it was not observed from its start, without a checkpoint.
        """
        mark = self.progress_marks.get((worker, *run))
        return now - mark.began_at if mark is not None and mark.whole else None

    def extrapolated_run_s(
        self, worker: WorkerId, run: tuple[str, int]
    ) -> float | None:
        """Returns the run time of an active run by its progress so far, in seconds.

        :returns: ``None`` if it is too early, or the run continued from a checkpoint.
        """
        mark = self.progress_marks.get((worker, *run))
        if mark is None or not mark.whole or mark.percent < MIN_EXTRAPOLATED_PERCENT:
            return None
        return (mark.at - mark.began_at) * 100 / mark.percent

    def progress_percent(self, worker: WorkerId, run: tuple[str, int]) -> float:
        """Returns the last observed progress of a run, 0 if there is none."""
        mark = self.progress_marks.get((worker, *run))
        return 0.0 if mark is None else mark.percent

    def forget_run(self, worker: WorkerId, run: tuple[str, int]) -> None:
        """Removes a run that has ended."""
        self.progress_marks.pop((worker, *run), None)

    def forget(self, worker: WorkerId) -> None:
        """Removes a worker and its runs."""
        self.paces.pop(worker, None)
        self.slow_until.pop(worker, None)
        for key in [key for key in self.progress_marks if key[0] == worker]:
            del self.progress_marks[key]

    def relative_speeds(self, now: float) -> dict[WorkerId, float]:
        """Returns the speeds of all rated workers as shares of their usual speeds.

        The median is that of all workers, so that a general shift of run times makes
        no worker slow.
        """
        speeds = {}
        for worker, pace in self.paces.items():
            if pace.run_s >= MIN_OBSERVED_S:
                speeds[worker] = pace.speed() / self.speeds.speed_of(worker)
        if len(speeds) < MIN_RATED_WORKERS:
            return {}
        middle = median(speeds.values())
        if middle <= 0:
            return {}
        shares = {worker: speed / middle for worker, speed in speeds.items()}
        for worker, share in shares.items():
            if STUCK_SHARE <= share < RECOVERED_SHARE:
                usual = middle * self.speeds.speed_of(worker)
                min_steps = 1 if worker in self.slow_until else MIN_SLOW_STEPS
                if not self.paces[worker].most_runs_slow(usual, min_steps, now):
                    shares[worker] = 1.0
        return shares

    def find_slow(
        self, workers: Iterable[WorkerId], now: float
    ) -> dict[WorkerId, float]:
        """Returns the slow workers and their speeds as shares of their usual speeds.

        A slow worker that is not rated any more keeps the share 1.0 until it may be
        used again.
        """
        known = set(workers)
        relative_speeds = self.relative_speeds(now)
        slow = {}
        for worker, share in relative_speeds.items():
            bound = RECOVERED_SHARE if worker in self.slow_until else SLOW_SHARE
            if worker in known and share < bound:
                slow[worker] = share
        behind = [
            worker
            for worker in known
            if relative_speeds.get(worker, 1.0) < RECOVERED_SHARE
        ]
        if len(behind) > MAX_SLOW_SHARE * len(known):
            return {}
        for worker in slow:
            # Without further runs there is no progress, and the delay expires.
            self.slow_until[worker] = self.paces[worker].updated_at + SLOW_RETRY_DELAY_S
        for worker, until in list(self.slow_until.items()):
            if now >= until:
                # Its next runs are rated without the earlier progress.
                del self.slow_until[worker]
                self.paces.pop(worker, None)
            elif (
                worker in known and worker not in slow and worker not in relative_speeds
            ):
                slow[worker] = 1.0
        return slow
