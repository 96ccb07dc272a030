"""Arithmetic on resource vectors, and the booked capacity of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.invariants import Invariant, require
from lacewinghold.schema.generated.jobs import Resources

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.placement.index import CapacityIndex
    from lacewinghold.schema.generated.worker import WorkerRecord

CORES_TOLERANCE = 1e-6  # Absorbs rounding errors of fractional cores.
MAX_COPIES = 10_000  # Bounds the count for tasks that need no resources.


def add(left: Resources, right: Resources) -> Resources:
    """Returns the sum of two resource vectors."""
    return Resources(
        cores=left.cores + right.cores,
        memory_mb=left.memory_mb + right.memory_mb,
        accelerators=left.accelerators + right.accelerators,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Returns the difference of two resource vectors."""
    return Resources(
        cores=left.cores - right.cores,
        memory_mb=left.memory_mb - right.memory_mb,
        accelerators=left.accelerators - right.accelerators,
    )


def fits(need: Resources, free: Resources) -> bool:
    """Returns whether the free resources cover a need."""
    return (
        need.cores <= free.cores + CORES_TOLERANCE
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


def fitting_copies(need: Resources, free: Resources) -> int:
    """Returns how many tasks of equal need fit into the free resources together."""
    bounds = [MAX_COPIES]
    if need.cores > 0:
        bounds.append(int((free.cores + CORES_TOLERANCE) / need.cores))
    if need.memory_mb > 0:
        bounds.append(free.memory_mb // need.memory_mb)
    if need.accelerators > 0:
        bounds.append(free.accelerators // need.accelerators)
    return max(0, min(bounds))


def dominant_share(part: Resources, whole: Resources) -> float:
    """Returns the dominant share: the largest share of any one resource."""
    share = 0.0
    if whole.cores > 0:
        share = part.cores / whole.cores
    if whole.memory_mb > 0:
        share = max(share, part.memory_mb / whole.memory_mb)
    if whole.accelerators > 0:
        share = max(share, part.accelerators / whole.accelerators)
    return share


class WorkerCapacity:
    """The free and booked resources of one worker.

    :param record: The worker's entry on the instance list.
    """

    def __init__(self, record: WorkerRecord) -> None:
        self.record = record
        self.free = record.capacity
        self.bookings: dict[TaskId, Resources] = {}
        self.index: CapacityIndex | None = None
        self._usable = False

    @property
    def usable(self) -> bool:
        """Returns whether new tasks may be placed here."""
        return self._usable

    @usable.setter
    def usable(self, usable: bool) -> None:
        if usable == self._usable:
            return
        self._usable = usable
        if self.index is not None:
            self.index.update(self)

    def set_free(self, free: Resources) -> None:
        """Sets the free resources, here and in the index."""
        self.free = free
        if self.index is not None:
            self.index.update(self)

    def book(self, task: TaskId, need: Resources) -> None:
        """Books resources for a task.

        :raises InvariantViolation: If the task is booked already, or the need exceeds
            the free resources.
        """
        require(Invariant.ONE_PLACE, task not in self.bookings, task)
        require(Invariant.CAPACITY, fits(need, self.free), self.record.worker)
        self.bookings[task] = need
        self.set_free(subtract(self.free, need))

    def adopt(self, task: TaskId, need: Resources) -> None:
        """Books a task that already runs on the worker, even beyond its capacity."""
        if task in self.bookings:
            return
        self.bookings[task] = need
        self.set_free(subtract(self.free, need))

    def release(self, task: TaskId) -> bool:
        """Releases the booking of a task.

        :returns: Whether the task had a booking.
        """
        need = self.bookings.pop(task, None)
        if need is None:
            return False
        self.set_free(add(self.free, need))
        if self.index is not None:
            self.index.record_freed(need.cores)
        return True
