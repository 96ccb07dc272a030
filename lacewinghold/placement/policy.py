"""Policies that choose workers, one for each kind of work."""

from __future__ import annotations

from abc import ABC, abstractmethod
from itertools import islice
from typing import TYPE_CHECKING, ClassVar

from lacewinghold.placement.capacity import fitting_copies
from lacewinghold.schema.generated.jobs import JobKind

if TYPE_CHECKING:
    from lacewinghold.ids import JobId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.index import CapacityIndex
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.document import PlacementSection
    from lacewinghold.schema.generated.jobs import Resources

MAX_CANDIDATES = 8  # Workers that are scored for one task.


class JobPlacements:
    """Counts the tasks of jobs on workers, for spreading."""

    def __init__(self) -> None:
        self.counts: dict[JobId, dict[WorkerCapacity, int]] = {}

    def add(self, job: JobId, worker: WorkerCapacity) -> None:
        """Counts a task of a job that was placed on a worker."""
        counts = self.counts.setdefault(job, {})
        counts[worker] = counts.get(worker, 0) + 1

    def remove(self, job: JobId, worker: WorkerCapacity) -> None:
        """Uncounts a task of a job that was released from a worker."""
        counts = self.counts.get(job, {})
        remaining = counts.get(worker, 0) - 1
        if remaining > 0:
            counts[worker] = remaining
            return
        counts.pop(worker, None)
        if not counts:
            self.counts.pop(job, None)

    def masks(self, job: JobId, index: CapacityIndex) -> tuple[int, int]:
        """Returns masks of the workers with tasks of a job, and of their racks."""
        workers = racks = 0
        for worker in self.counts.get(job, ()):
            workers |= index.mask_of(worker.record.worker)
            racks |= index.rack_mask(worker)
        return workers, racks


class PlacementPolicy(ABC):
    """Chooses workers for work of one kind.

    :param weights: The operators' weights.
    """

    name: ClassVar[str]

    def __init__(self, weights: PlacementSection) -> None:
        self.weights = weights

    @abstractmethod
    def choose(
        self, work: Work, index: CapacityIndex, placements: JobPlacements, excluded: int
    ) -> list[WorkerCapacity] | None:
        """Returns a worker for each task, or ``None`` if they do not fit now.

        :param excluded: Mask of workers that are held or reserved for other work.
        """


class SpreadPolicy(PlacementPolicy):
    """Spreads a service over racks first, then over workers."""

    name = "spread"

    def choose(
        self, work: Work, index: CapacityIndex, placements: JobPlacements, excluded: int
    ) -> list[WorkerCapacity] | None:
        mask = index.candidates(work.need) & ~excluded
        if not mask:
            return None
        workers, racks = placements.masks(work.job, index)
        prefer_empty = self.weights.waiting_weight >= self.weights.packing_weight
        for preferred in (mask & ~racks, mask & racks & ~workers, mask & workers):
            order = index.loosest_first if prefer_empty else index.tightest_first
            for worker in order(preferred, work.need):
                return [worker]
        return None


class BestFitPolicy(PlacementPolicy):
    """Best fit: fills workers up and strands little of any resource."""

    name = "tight"

    def choose(
        self, work: Work, index: CapacityIndex, placements: JobPlacements, excluded: int
    ) -> list[WorkerCapacity] | None:
        del placements
        mask = index.candidates(work.need) & ~excluded
        if not mask:
            return None
        for group in accelerators_last(mask, index, work.need):
            best = best_fit_worker(group, index, work.need)
            if best is not None:
                return [best]
        return None


class GangPolicy(PlacementPolicy):
    """Gang scheduling: places all tasks of a job at the same time, or none."""

    name = "together"

    def choose(
        self, work: Work, index: CapacityIndex, placements: JobPlacements, excluded: int
    ) -> list[WorkerCapacity] | None:
        del placements
        mask = index.candidates(work.need) & ~excluded
        chosen: list[WorkerCapacity] = []
        for group in accelerators_last(mask, index, work.need):
            for worker in index.tightest_first(group, work.need):
                missing = len(work.tasks) - len(chosen)
                chosen += [worker] * min(
                    missing, fitting_copies(work.need, worker.free)
                )
                if len(chosen) == len(work.tasks):
                    return chosen
        return None


POLICIES: dict[JobKind, type[PlacementPolicy]] = {
    JobKind.SERVICE: SpreadPolicy,
    JobKind.BATCH: BestFitPolicy,
    JobKind.ALL_AT_ONCE: GangPolicy,
}


def accelerators_last(mask: int, index: CapacityIndex, need: Resources) -> list[int]:
    """Splits a mask into groups of workers, in order of preference.

    Work that needs no accelerators uses workers with free ones last.
    """
    if need.accelerators:
        return [mask]
    with_accelerators = mask & index.accelerators.mask_at_least(1)
    return [mask & ~with_accelerators, with_accelerators]


def best_fit_worker(
    mask: int, index: CapacityIndex, need: Resources
) -> WorkerCapacity | None:
    """Returns the worker that the task would leave fullest and most evenly used."""
    best = None
    best_score = 0.0
    for worker in islice(index.tightest_first(mask, need), MAX_CANDIDATES):
        score = remainder_score(need, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def remainder_score(need: Resources, worker: WorkerCapacity) -> float:
    """Returns the score of a placement; lower is better.

    The score is the mean free share of cores and memory after the placement, plus
    the difference of the two shares.
    """
    capacity = worker.record.capacity
    cores = (worker.free.cores - need.cores) / (capacity.cores or 1.0)
    memory = (worker.free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    return (cores + memory) / 2 + abs(cores - memory)
