"""Decides which waiting work starts next, and on which workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.placement.capacity import fitting_copies
from lacewinghold.placement.estimates import RunTimes
from lacewinghold.placement.hold import Hold
from lacewinghold.placement.index import CapacityIndex
from lacewinghold.placement.policy import POLICIES, JobPlacements
from lacewinghold.placement.preemption import Preemptor, RunningWork
from lacewinghold.placement.queue import Blocked, WorkQueue
from lacewinghold.placement.ranking import Ranking
from lacewinghold.placement.work import Placement
from lacewinghold.schema.generated.document import PlacementSection
from lacewinghold.schema.generated.jobs import JobKind, Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.ids import JobId, TaskId, TeamId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.jobs import Resources

HOLD_AFTER_S = 1800.0  # After the latest start that the ranking aims at.
PREEMPTION_RETRY_S = 0.1
PERMIT_RETRY_S = 1.0


class PlacementEngine:
    """Places waiting work on the workers of an index.

    :param weights: The operators' weights.
    :param permits: Returns whether work of a team may start now.
    """

    def __init__(
        self,
        weights: PlacementSection | None = None,
        permits: Callable[[TeamId], bool] = lambda team: True,
    ) -> None:
        self.permits = permits
        self.index = CapacityIndex()
        self.run_times = RunTimes()
        self.placements = JobPlacements()
        self.hold = Hold(self.index)
        self.preemptor = Preemptor(self.index)
        self.reserved_workers: dict[TaskId | JobId, int] = {}
        self.pending_stops: list[TaskId] = []
        self.weights = weights or PlacementSection()
        self.ranking = Ranking(self.weights, self.run_times, self.index)
        self.queue = WorkQueue(self.ranking, self.index)
        self.policies = {
            kind: policy(self.weights) for kind, policy in POLICIES.items()
        }

    def set_weights(self, weights: PlacementSection) -> None:
        """Applies the weights of a changed operators' document."""
        if weights == self.weights:
            return
        self.weights = weights
        self.ranking.weights = weights
        for policy in self.policies.values():
            policy.weights = weights
        self.queue.rebuild()

    def add(self, work: Work, now: float) -> None:
        """Queues work, replacing queued work of the same id."""
        self.remove(work.id)
        self.queue.add(work, now)

    def remove(self, ident: TaskId | JobId) -> Work | None:
        """Removes waiting work and releases the workers held for it.

        :returns: The work, ``None`` if it does not wait.
        """
        work = self.queue.remove(ident)
        if work is not None:
            self.release_reservations(work)
        return work

    def adopt(
        self, job: JobId, task: TaskId, need: Resources, worker: WorkerCapacity
    ) -> None:
        """Books a task that already runs on a worker."""
        if task not in worker.bookings:
            worker.adopt(task, need)
            self.placements.add(job, worker)

    def release(self, job: JobId, task: TaskId, worker: WorkerCapacity) -> None:
        """Releases the booking of a task on a worker."""
        if worker.release(task):
            self.placements.remove(job, worker)
            self.hold.ends_at.pop(task, None)
            self.preemptor.record_released(task)

    def begin_round(self, now: float) -> None:
        """Begins a round of placements.

        Makes delayed work that is due, and blocked work that may fit again,
        candidates.
        """
        self.queue.release_delayed(now)
        self.queue.unblock(now)

    def place_next(self, now: float) -> Placement | None:
        """Books workers for the highest-ranked work that fits.

        :returns: The placement, ``None`` at the end of a round.
        """
        while (best := self.queue.peek_best(now)) is not None:
            shape, work = best
            if not self.permits(work.team):
                self.queue.postpone(shape, now + PERMIT_RETRY_S)
                continue
            placement = self.place(work, now)
            if placement is not None:
                self.queue.pop_head(shape)
                return placement
            if work.priority is Priority.URGENT and self.preempt_for(work, now):
                self.queue.postpone(shape, now + PREEMPTION_RETRY_S)
                continue
            self.queue.block(shape, self.block_or_hold(work, now))
        return None

    def place(self, work: Work, now: float) -> Placement | None:
        """Books workers for a unit of work.

        :returns: The placement, ``None`` if the work does not fit now.
        """
        ends_at = now + self.run_times.estimate_s(work)
        excluded = self.hold.excluded_workers(work, ends_at)
        for ident, mask in self.reserved_workers.items():
            if ident != work.id:
                excluded |= mask
        policy = self.policies[work.kind]
        workers = policy.choose(work, self.index, self.placements, excluded)
        if workers is None:
            return None
        for task, worker in zip(work.tasks, workers, strict=True):
            worker.book(task, work.need)
            self.placements.add(work.job, worker)
            if work.kind is not JobKind.SERVICE:
                self.hold.ends_at[task] = ends_at
            running = RunningWork(work.kind, work.priority, work.repeatable, now)
            self.preemptor.record_started(task, running)
        self.release_reservations(work)
        return Placement(work, workers)

    def preempt_for(self, work: Work, now: float) -> bool:
        """Preempts the tasks whose stop loses least work, so that urgent work starts.

        Their worker is reserved for the urgent work until it starts. An all-at-once
        job preempts nothing.

        :returns: Whether the work will fit once the tasks have stopped.
        """
        if work.id in self.reserved_workers:
            return True
        if work.kind is JobKind.ALL_AT_ONCE:
            return False
        reserved = 0
        for mask in self.reserved_workers.values():
            reserved |= mask
        chosen = self.preemptor.choose(work.need, now, reserved)
        if chosen is None:
            return False
        self.preemptor.record_stopping(chosen)
        self.reserved_workers[work.id] = self.index.mask_of(chosen.worker.record.worker)
        self.pending_stops += [victim.work for victim in chosen.victims]
        return True

    def drain_stops(self) -> list[TaskId]:
        """Returns the tasks that were chosen for preemption since the last call."""
        stops, self.pending_stops = self.pending_stops, []
        return stops

    def required_freed_cores(self, work: Work) -> float:
        """Returns the total of freed cores at which to try blocked work again.

        Only an all-at-once job has to wait for cores; the total counts all cores
        freed since the index was created.
        """
        if work.kind is not JobKind.ALL_AT_ONCE:
            return 0.0
        room = 0
        mask = self.index.candidates(work.need)
        for worker in self.index.iter_fitting(mask, work.need):
            room += fitting_copies(work.need, worker.free)
        missing = len(work.tasks) - room
        return self.index.freed_cores + max(0, missing) * work.need.cores

    def block_or_hold(self, work: Work, now: float) -> Blocked:
        """Begins a hold for work that does not fit, if it is long overdue.

        :returns: The conditions for another attempt.
        """
        hold_at = self.ranking.latest_start(work) + HOLD_AFTER_S
        if now >= hold_at:
            if self.hold.work is None:
                self.hold.begin(work, now)
            hold_at = now + HOLD_AFTER_S
        return Blocked(work, self.required_freed_cores(work), hold_at)

    def release_reservations(self, work: Work) -> None:
        """Releases the workers that are reserved or held for a unit of work."""
        if self.reserved_workers.pop(work.id, None) is not None:
            self.queue.unblock_all()
        if self.hold.work is work:
            self.hold.end()
            self.queue.unblock_all()
