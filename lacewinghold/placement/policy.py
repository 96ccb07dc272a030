"""Policies that choose a worker for a task, one for each kind of work."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING, ClassVar

from lacewinghold.placement.capacity import fits
from lacewinghold.schema.generated.jobs import JobKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from lacewinghold.ids import WorkerId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.schema.generated.jobs import Resources


class PlacementPolicy(ABC):
    """Chooses among the workers of a shard."""

    name: ClassVar[str]

    @abstractmethod
    def choose(
        self, need: Resources, workers: Iterable[WorkerCapacity]
    ) -> WorkerCapacity | None:
        """Returns the worker for one task, or ``None`` if it fits nowhere now."""


class SpreadPolicy(PlacementPolicy):
    """Puts a service's tasks where the most is free."""

    name = "spread"

    def choose(
        self, need: Resources, workers: Iterable[WorkerCapacity]
    ) -> WorkerCapacity | None:
        best = None
        for worker in workers:
            if not worker.usable or not fits(need, worker.free):
                continue
            if best is None or worker.free.cores > best.free.cores:
                best = worker
        return best


class TightPolicy(PlacementPolicy):
    """Fills workers up, so that large tasks still find room."""

    name = "tight"

    def choose(
        self, need: Resources, workers: Iterable[WorkerCapacity]
    ) -> WorkerCapacity | None:
        best = None
        for worker in workers:
            if not worker.usable or not fits(need, worker.free):
                continue
            if best is None or worker.free.cores < best.free.cores:
                best = worker
        return best


POLICIES: dict[JobKind, PlacementPolicy] = {
    JobKind.SERVICE: SpreadPolicy(),
    JobKind.BATCH: TightPolicy(),
    JobKind.ALL_AT_ONCE: TightPolicy(),
}


def fits_together(
    need: Resources, count: int, workers: Sequence[WorkerCapacity]
) -> bool:
    """Returns whether ``count`` equal tasks fit the workers at the same time."""
    return sum(copies(need, worker) for worker in workers) >= count


def copies(need: Resources, worker: WorkerCapacity) -> int:
    """Returns how many tasks of a size fit what is free on a worker."""
    if not worker.usable:
        return 0
    bounds = [10_000]
    if need.cores > 0:
        bounds.append(int((worker.free.cores + 1e-6) / need.cores))
    if need.memory_mb > 0:
        bounds.append(worker.free.memory_mb // need.memory_mb)
    if need.accelerators > 0:
        bounds.append(worker.free.accelerators // need.accelerators)
    return max(0, min(bounds))


def count_by_worker(workers: Iterable[WorkerCapacity]) -> Counter[WorkerId]:
    """Returns the number of booked tasks of each worker."""
    return Counter({w.record.worker: len(w.bookings) for w in workers})
