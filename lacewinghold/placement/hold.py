"""Holds workers for work that has waited too long, with backfilling."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.placement.capacity import add, fitting_copies

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.index import CapacityIndex
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.jobs import Resources


class Hold:
    """Holds workers for one unit of work, so that it starts once they are free.

    Only one unit of work holds workers at a time, so that two large jobs cannot
    deadlock. Backfilling is allowed: work that most likely ends before all held
    workers are free may still use them.

    :param index: The workers.
    """

    def __init__(self, index: CapacityIndex) -> None:
        self.index = index
        self.work: Work | None = None
        self.held_workers = 0
        self.ready_at = 0.0
        self.ends_at: dict[TaskId, float] = {}

    def excluded_workers(self, work: Work, ends_at: float) -> int:
        """Returns the mask of the held workers that work must not use.

        :param ends_at: When the work most likely ends at the latest.
        """
        if work is self.work or ends_at <= self.ready_at:
            return 0
        return self.held_workers

    def begin(self, work: Work, now: float) -> None:
        """Holds the workers that are expected to have room soonest.

        Holds nothing if the usable workers together cannot fit the work.
        """
        forecasts = []
        for worker_id in self.index.positions:
            worker = self.index.get(worker_id)
            fitting = fitting_copies(work.need, worker.record.capacity)
            if not worker.usable or not fitting:
                continue
            fitting, ready_at = self.forecast_room(
                worker, work.need, len(work.tasks), now
            )
            if fitting:
                forecasts.append((ready_at, worker_id, fitting))
        missing = len(work.tasks)
        mask = 0
        for ready_at, worker_id, fitting in sorted(forecasts):
            mask |= self.index.mask_of(worker_id)
            missing -= fitting
            if missing > 0:
                continue
            self.work, self.held_workers, self.ready_at = work, mask, ready_at
            return

    def forecast_room(
        self, worker: WorkerCapacity, need: Resources, needed: int, now: float
    ) -> tuple[int, float]:
        """Forecasts a worker's room from the expected ends of its tasks.

        :param needed: How many tasks are to be placed.
        :returns: How many of them will fit on the worker, and from when on.
        """
        free = worker.free
        fitting = fitting_copies(need, free)
        ready_at = now
        ends = sorted(
            (self.ends_at[task], task)
            for task in worker.bookings
            if task in self.ends_at
        )
        for ends_at, task in ends:
            if fitting >= needed:
                break
            free = add(free, worker.bookings[task])
            fitting_then = fitting_copies(need, free)
            if fitting_then > fitting:
                fitting, ready_at = fitting_then, max(now, ends_at)
        return min(fitting, needed), ready_at

    def end(self) -> None:
        """Releases the held workers."""
        self.work, self.held_workers, self.ready_at = None, 0, 0.0
