"""Chooses what to stop so that urgent work starts on a full cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.placement.capacity import add, fits, subtract
from lacewinghold.schema.generated.jobs import JobKind, Priority

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.index import CapacityIndex
    from lacewinghold.schema.generated.jobs import Resources

MAX_VICTIMS = 16


class Victim(Struct):
    """A running task that may be stopped.

    :param lost_core_s: Core-seconds of work that would be done again.
    """

    task: TaskId
    need: Resources
    lost_core_s: float


class Preemption(Struct):
    """Tasks whose end makes room on one worker."""

    worker: WorkerCapacity
    victims: list[Victim]

    @property
    def lost_core_s(self) -> float:
        """Returns the core-seconds that would be done again."""
        return sum(victim.lost_core_s for victim in self.victims)


class RunningWork(Struct):
    """What is known of a placed task."""

    kind: JobKind
    priority: Priority
    repeatable: bool
    started_at: float


class Preemptor:
    """Finds the cheapest tasks to stop.

    Services, all-at-once jobs, urgent work and work that must not be repeated
    are never stopped.

    :param index: The workers.
    """

    def __init__(self, index: CapacityIndex) -> None:
        self.index = index
        self.running: dict[TaskId, RunningWork] = {}
        self.stopping: dict[TaskId, WorkerCapacity] = {}

    def record_started(self, task: TaskId, running: RunningWork) -> None:
        """Remembers a placed task."""
        self.running[task] = running

    def record_released(self, task: TaskId) -> None:
        """Forgets a task whose room is free again."""
        self.running.pop(task, None)
        self.stopping.pop(task, None)

    def is_preemptible(self, task: TaskId) -> bool:
        """Returns whether a task may be stopped for urgent work."""
        known = self.running.get(task)
        if known is None or task in self.stopping:
            return False
        if known.kind is not JobKind.BATCH or not known.repeatable:
            return False
        return known.priority is not Priority.URGENT

    def choose(self, need: Resources, now: float, excluded: int) -> Preemption | None:
        """Returns the tasks to stop for one task that needs room, or ``None``.

        Of all workers it takes the one on which least work is lost.

        :param excluded: Mask of workers that are promised to other work.
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
        """Returns the tasks to stop on one worker, those with least work first."""
        free = worker.free
        for task in worker.bookings:
            if self.stopping.get(task) is worker:
                free = add(free, worker.bookings[task])
        victims: list[Victim] = []
        for victim in self.candidates(worker, now):
            if fits(need, free):
                break
            victims.append(victim)
            free = add(free, victim.need)
        if not fits(need, free) or len(victims) > MAX_VICTIMS:
            return None
        return Preemption(worker, drop_unneeded(victims, need, free))

    def candidates(self, worker: WorkerCapacity, now: float) -> list[Victim]:
        """Returns the tasks of a worker that may be stopped, cheapest first."""
        found = []
        for task, need in worker.bookings.items():
            if not self.is_preemptible(task):
                continue
            run_s = max(0.0, now - self.running[task].started_at)
            found.append(Victim(task, need, run_s * max(need.cores, 0.1)))
        return sorted(found, key=lambda victim: (victim.lost_core_s, victim.task))

    def record_stopping(self, chosen: Preemption) -> None:
        """Notes that the chosen tasks are being stopped."""
        for victim in chosen.victims:
            self.stopping[victim.task] = chosen.worker


def drop_unneeded(
    victims: list[Victim], need: Resources, free: Resources
) -> list[Victim]:
    """Leaves out victims without which there is room too, dearest first."""
    kept = list(victims)
    for victim in sorted(victims, key=lambda victim: -victim.lost_core_s):
        remaining = subtract(free, victim.need)
        if fits(need, remaining):
            kept.remove(victim)
            free = remaining
    return kept
