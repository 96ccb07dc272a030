"""Tells slow and stuck workers from their runs' progress; pure.

It answers the load of workers that turn slow or stand still while they answer every
look: estimates of run times are far off, so that workers are compared with each other.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.ids import WorkerId

DECAY_S = 1.5  # Progress further back hardly counts.
MIN_OBSERVED_S = 1.5  # Run seconds that have been seen before a worker is judged.
SLOW_SHARE = 0.33  # Speed against the median below which a worker counts as slow.
RECOVERED_SHARE = 0.6  # Speed from which a slow worker counts as sound again.
STUCK_SHARE = 0.05
MIN_RATED_WORKERS = 4  # Workers that are needed for a median to mean something.
MAX_SLOW_SHARE = 0.34  # More slow workers than this are the load, not a fault.
SLOW_RETRY_DELAY_S = 3.0  # A slow worker is tried again this long after its last run.


class ProgressMark(Struct):
    """What was last seen of one run."""

    at: float
    percent: float


class WorkerPace(Struct):
    """Progress of one worker's runs, weighted towards the last seconds.

    :param work_s: Estimated seconds of work done.
    :param run_s: Seconds that runs have spent on it.
    """

    work_s: float = 0.0
    run_s: float = 0.0
    updated_at: float = -math.inf

    def add(self, work_s: float, run_s: float, now: float) -> None:
        """Adds what one run has done."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / DECAY_S)
            self.work_s *= decay
            self.run_s *= decay
            self.updated_at = now
        self.work_s += work_s
        self.run_s += run_s

    def speed(self) -> float:
        """Returns estimated seconds of work in a second."""
        return self.work_s / self.run_s if self.run_s else 1.0


class PaceTracker:
    """Compares the progress of all workers."""

    def __init__(self) -> None:
        self.progress_marks: dict[tuple[WorkerId, str, int], ProgressMark] = {}
        self.paces: dict[WorkerId, WorkerPace] = {}
        self.slow_until: dict[WorkerId, float] = {}

    def record_start(self, worker: WorkerId, run: tuple[str, int], now: float) -> None:
        """Notes that a run begins from nothing."""
        self.progress_marks[(worker, *run)] = ProgressMark(now, 0.0)

    def record_finish(
        self, worker: WorkerId, run: tuple[str, int], expected_s: float, now: float
    ) -> None:
        """Notes that a run is done."""
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
        """Notes the progress of a run."""
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
        """Forgets a run that has ended."""
        self.progress_marks.pop((worker, *run), None)

    def forget(self, worker: WorkerId) -> None:
        """Forgets a worker."""
        self.paces.pop(worker, None)
        self.slow_until.pop(worker, None)
        for key in [key for key in self.progress_marks if key[0] == worker]:
            del self.progress_marks[key]

    def relative_speeds(self) -> dict[WorkerId, float]:
        """Returns the speed of each worker that can be judged against the median."""
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
        """Returns the slow workers with their speed against the median."""
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
            # Without runs nothing more is seen of it, and the hold runs out.
            self.slow_until[worker] = self.paces[worker].updated_at + SLOW_RETRY_DELAY_S
        for worker, until in list(self.slow_until.items()):
            if now >= until:
                # Its next runs are judged afresh.
                del self.slow_until[worker]
                self.paces.pop(worker, None)
            elif (
                worker in known and worker not in slow and worker not in relative_speeds
            ):
                slow[worker] = 1.0
        return slow
