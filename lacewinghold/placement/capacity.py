"""Arithmetic on resources and the booked capacity of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.invariants import Invariant, require
from lacewinghold.schema.generated.jobs import Resources

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.schema.generated.worker import WorkerRecord

CORES_TOLERANCE = 1e-6


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
    """Returns whether a need fits into what is free."""
    return (
        need.cores <= free.cores + CORES_TOLERANCE
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


class WorkerCapacity:
    """What is booked on one worker.

    :param record: The worker's entry on the instance list.
    """

    def __init__(self, record: WorkerRecord) -> None:
        self.record = record
        self.free = record.capacity
        self.bookings: dict[TaskId, Resources] = {}
        self.usable = False

    def book(self, task: TaskId, need: Resources) -> None:
        """Books resources for a task.

        :raises InvariantViolation: If they exceed what is free.
        """
        require(Invariant.ONE_PLACE, task not in self.bookings, task)
        require(Invariant.CAPACITY, fits(need, self.free), self.record.worker)
        self.bookings[task] = need
        self.free = subtract(self.free, need)

    def adopt(self, task: TaskId, need: Resources) -> None:
        """Books a task that already runs on the worker."""
        if task in self.bookings:
            return
        self.bookings[task] = need
        self.free = subtract(self.free, need)

    def release(self, task: TaskId) -> bool:
        """Frees what a task had booked.

        :returns: Whether it had booked anything.
        """
        need = self.bookings.pop(task, None)
        if need is None:
            return False
        self.free = add(self.free, need)
        return True
