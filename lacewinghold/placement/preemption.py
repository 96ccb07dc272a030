"""Preemption: chooses tasks to stop so that urgent work starts on a full cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.placement.capacity import add, fits, subtract
from lacewinghold.schema.generated.jobs import JobKind, Priority, Resources
from lacewinghold.util.victims import (
    Arithmetic,
    Victim,
    choose_victims,
    total_lost_core_s,
)

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.index import CapacityIndex

MAX_VICTIMS = 16  # Tasks stopped for one urgent task.


class CapacityArithmetic(Arithmetic[Resources]):
    """Arithmetic on the resources of workers."""

    def plus(self, left: Resources, right: Resources) -> Resources:
        return add(left, right)

    def minus(self, left: Resources, right: Resources) -> Resources:
        return subtract(left, right)

    def fits(self, need: Resources, free: Resources) -> bool:
        return fits(need, free)


class Preemption(Struct):
    """Tasks of one worker whose stop makes enough room there."""

    worker: WorkerCapacity
    victims: list[Victim[TaskId, Resources]]

    @property
    def lost_core_s(self) -> float:
        """Returns the core-seconds of work that would have to be repeated."""
        return total_lost_core_s(self.victims)


class RunningWork(Struct):
    """The properties of a placed task that decide whether it may be preempted."""

    kind: JobKind
    priority: Priority
    repeatable: bool
    started_at: float


class Preemptor:
    """Finds the tasks whose stop loses least work.

    Services, all-at-once jobs, urgent work and work that must not be repeated
    are never preempted.

    :param index: The workers.
    """

    def __init__(self, index: CapacityIndex) -> None:
        self.index = index
        self.running: dict[TaskId, RunningWork] = {}
        self.stopping: dict[TaskId, WorkerCapacity] = {}

    def record_started(self, task: TaskId, running: RunningWork) -> None:
        """Records a placed task."""
        self.running[task] = running

    def record_released(self, task: TaskId) -> None:
        """Removes a task whose booking was released."""
        self.running.pop(task, None)
        self.stopping.pop(task, None)

    def is_preemptible(self, task: TaskId) -> bool:
        """Returns whether a task may be stopped and is not being stopped yet."""
        known = self.running.get(task)
        if known is None or task in self.stopping:
            return False
        if known.kind is not JobKind.BATCH or not known.repeatable:
            return False
        return known.priority is not Priority.URGENT

    def choose(self, need: Resources, now: float, excluded: int) -> Preemption | None:
        """Returns the tasks to stop on the worker where least work is lost.

        :param need: The need of the urgent task.
        :param excluded: Mask of workers that are reserved for other work.
        :returns: ``None`` if no worker can make room.
        """
        best = None
        for worker_id in self.index.positions:
            worker = self.index.get(worker_id)
            if not worker.usable or not fits(need, worker.record.capacity):
                continue
            if self.index.mask_of(worker_id) & excluded:
                continue
            found = self.cheapest_on(worker, need, now)
            if found is not None and (
                best is None or found.lost_core_s < best.lost_core_s
            ):
                best = found
        return best

    def cheapest_on(
        self, worker: WorkerCapacity, need: Resources, now: float
    ) -> Preemption | None:
        """Returns the tasks to stop on one worker, ``None`` if that is not enough.

        The room of tasks that are being stopped already counts as free.
        """
        free = worker.free
        for task in worker.bookings:
            if self.stopping.get(task) is worker:
                free = add(free, worker.bookings[task])
        victims = choose_victims(
            self.candidates(worker, now), need, free, CapacityArithmetic(), MAX_VICTIMS
        )
        return None if victims is None else Preemption(worker, victims)

    def candidates(
        self, worker: WorkerCapacity, now: float
    ) -> list[Victim[TaskId, Resources]]:
        """Returns the preemptible tasks of a worker, by ascending lost work."""
        found = []
        for task, need in worker.bookings.items():
            if not self.is_preemptible(task):
                continue
            run_s = max(0.0, now - self.running[task].started_at)
            found.append(Victim(task, need, run_s * max(need.cores, 0.1)))
        return sorted(found, key=lambda victim: (victim.lost_core_s, victim.work))

    def record_stopping(self, chosen: Preemption) -> None:
        """Records that the chosen tasks are being stopped."""
        for victim in chosen.victims:
            self.stopping[victim.work] = chosen.worker
