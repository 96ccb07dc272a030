"""Detects slow and stuck workers by the progress of their runs; does no I/O.

A worker may become slow or stop making progress while it still answers every poll.
Estimates of run times are far off, so workers are compared with each other.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.ids import WorkerId

DECAY_S = 1.5  # Time constant with which earlier progress loses weight.
MIN_OBSERVED_S = 1.5  # Observed run time before a worker is rated.
SLOW_SHARE = 0.33  # Share of the median speed below which a worker is slow.
RECOVERED_SHARE = 0.6  # Share from which a slow worker counts as recovered.
STUCK_SHARE = 0.05  # Share of the median speed below which a worker is stuck.
MIN_RATED_WORKERS = 4  # The median of fewer workers is not meaningful.
MAX_SLOW_SHARE = 0.34  # A larger share of slow workers is due to the load.
SLOW_RETRY_DELAY_S = 3.0  # After its last progress a slow worker is used again.


class ProgressMark(Struct):
    """The last observed progress of one run."""

    at: float
    percent: float


class WorkerPace(Struct):
    """Progress of one worker's runs, with exponentially decaying weights.

    :param work_s: Estimated seconds of work done.
    :param run_s: Seconds that its runs have taken for that work.
    """

    work_s: float = 0.0
    run_s: float = 0.0
    updated_at: float = -math.inf

    def add(self, work_s: float, run_s: float, now: float) -> None:
        """Adds the progress of one run."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / DECAY_S)
            self.work_s *= decay
            self.run_s *= decay
            self.updated_at = now
        self.work_s += work_s
        self.run_s += run_s

    def speed(self) -> float:
        """Returns the estimated seconds of work done per second of run time."""
        return self.work_s / self.run_s if self.run_s else 1.0


class PaceTracker:
    """Compares the progress of all workers with each other."""

    def __init__(self) -> None:
        self.progress_marks: dict[tuple[WorkerId, str, int], ProgressMark] = {}
        self.paces: dict[WorkerId, WorkerPace] = {}
        self.slow_until: dict[WorkerId, float] = {}

    def record_start(self, worker: WorkerId, run: tuple[str, int], now: float) -> None:
        """Records that a run starts without progress."""
        self.progress_marks[(worker, *run)] = ProgressMark(now, 0.0)

    def record_finish(
        self, worker: WorkerId, run: tuple[str, int], expected_s: float, now: float
    ) -> None:
        """Records that a run has finished all of its work."""
        mark = self.progress_marks.pop((worker, *run), None)
        if mark is None or now <= mark.at or expected_s <= 0:
            return
        done_s = (100 - mark.percent) / 100 * expected_s
        self.paces.setdefault(worker, WorkerPace()).add(done_s, now - mark.at, now)

    def record_progress(
        self,
        worker: WorkerId,
        run: tuple[str, int],
        percent: float,
        expected_s: float,
        now: float,
    ) -> None:
        """Records the progress of a run."""
        key = (worker, *run)
        mark = self.progress_marks.get(key)
        self.progress_marks[key] = ProgressMark(now, percent)
        if mark is None or now <= mark.at or expected_s <= 0:
            return
        if percent >= 100 or percent < mark.percent:
            return
        done = (percent - mark.percent) / 100 * expected_s
        self.paces.setdefault(worker, WorkerPace()).add(done, now - mark.at, now)

    def forget_run(self, worker: WorkerId, run: tuple[str, int]) -> None:
        """Removes a run that has ended."""
        self.progress_marks.pop((worker, *run), None)

    def forget(self, worker: WorkerId) -> None:
        """Removes a worker and its runs."""
        self.paces.pop(worker, None)
        self.slow_until.pop(worker, None)
        for key in [key for key in self.progress_marks if key[0] == worker]:
            del self.progress_marks[key]

    def relative_speeds(self) -> dict[WorkerId, float]:
        """Returns the speeds of all rated workers as shares of their median."""
        speeds = {}
        for worker, pace in self.paces.items():
            if pace.run_s >= MIN_OBSERVED_S:
                speeds[worker] = pace.speed()
        if len(speeds) < MIN_RATED_WORKERS:
            return {}
        middle = median(speeds.values())
        if middle <= 0:
            return {}
        return {worker: speed / middle for worker, speed in speeds.items()}

    def find_slow(
        self, workers: Iterable[WorkerId], now: float
    ) -> dict[WorkerId, float]:
        """Returns the slow workers and their speeds as shares of the median.

        A slow worker that is not rated any more keeps the share 1.0 until it may be
        used again.
        """
        known = set(workers)
        relative_speeds = self.relative_speeds()
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
