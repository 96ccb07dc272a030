"""The placement engine and simple baseline algorithms behind one interface."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

from lacewinghold.placement.capacity import fits, fitting_copies
from lacewinghold.placement.engine import PlacementEngine
from lacewinghold.placement.work import Placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.ids import JobId, TaskId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.document import PlacementSection

SEED = 7


class Decider(ABC):
    """Interface of placement algorithms."""

    name: ClassVar[str]

    def __init__(
        self, workers: list[WorkerCapacity], weights: PlacementSection
    ) -> None:
        self.workers = workers
        self.weights = weights

    @abstractmethod
    def add(self, work: Work, now: float) -> None:
        """Queues work."""

    @abstractmethod
    def begin_round(self, now: float) -> None:
        """Starts a round of ``place_next`` calls after work or workers have changed."""

    @abstractmethod
    def place_next(self, now: float) -> Placement | None:
        """Places the next work; returns ``None`` at the end of the round."""

    @abstractmethod
    def release(self, job: JobId, task: TaskId, worker: WorkerCapacity) -> None:
        """Frees the resources that a task has booked on a worker."""

    def observe(self, work: Work, run_s: float) -> None:
        """Records the actual run time of a task; ignored by default."""
        del work, run_s


class EngineDecider(Decider):
    """The placement engine of lacewinghold."""

    name = "engine"

    def __init__(
        self, workers: list[WorkerCapacity], weights: PlacementSection
    ) -> None:
        super().__init__(workers, weights)
        self.engine = PlacementEngine(weights)
        for worker in workers:
            self.engine.index.add(worker)

    def add(self, work: Work, now: float) -> None:
        self.engine.add(work, now)

    def begin_round(self, now: float) -> None:
        self.engine.begin_round(now)

    def place_next(self, now: float) -> Placement | None:
        return self.engine.place_next(now)

    def release(self, job: JobId, task: TaskId, worker: WorkerCapacity) -> None:
        self.engine.release(job, task, worker)

    def observe(self, work: Work, run_s: float) -> None:
        self.engine.run_times.observe(work.team, work.kind, work.run_s, run_s)


class ArrivalOrder(Decider):
    """Places work in arrival order, skipping work that does not fit."""

    def __init__(
        self, workers: list[WorkerCapacity], weights: PlacementSection
    ) -> None:
        super().__init__(workers, weights)
        self.queue: dict[str, Work] = {}
        self.pending: list[Work] = []
        self.unplaceable_sizes: set[tuple[float, int, int, int]] = set()

    @abstractmethod
    def candidate_workers(self, work: Work) -> Iterable[WorkerCapacity]:
        """Returns the workers in the order in which to try them."""

    def add(self, work: Work, now: float) -> None:
        self.queue[work.id] = work

    def begin_round(self, now: float) -> None:
        self.pending = list(reversed(self.queue.values()))
        self.unplaceable_sizes = set()

    def place_next(self, now: float) -> Placement | None:
        while self.pending:
            work = self.pending.pop()
            need = work.need
            size = (need.cores, need.memory_mb, need.accelerators, len(work.tasks))
            if size in self.unplaceable_sizes:
                continue
            workers = self.choose_workers(work)
            if workers is None:
                self.unplaceable_sizes.add(size)
                continue
            for task, worker in zip(work.tasks, workers, strict=True):
                worker.book(task, need)
            del self.queue[work.id]
            return Placement(work, workers)
        return None

    def choose_workers(self, work: Work) -> list[WorkerCapacity] | None:
        """Returns a worker for each task, or ``None`` if not all tasks fit."""
        chosen: list[WorkerCapacity] = []
        for worker in self.candidate_workers(work):
            if not worker.usable or not fits(work.need, worker.free):
                continue
            missing = len(work.tasks) - len(chosen)
            chosen += [worker] * min(missing, fitting_copies(work.need, worker.free))
            if len(chosen) == len(work.tasks):
                return chosen
        return None

    def release(self, job: JobId, task: TaskId, worker: WorkerCapacity) -> None:
        worker.release(task)


class FirstFit(ArrivalOrder):
    """Places work in arrival order on the first worker with room."""

    name = "first-fit"

    def candidate_workers(self, work: Work) -> Iterable[WorkerCapacity]:
        return self.workers


class RandomFit(ArrivalOrder):
    """Places work in arrival order on a random worker with room."""

    name = "random-fit"

    def __init__(
        self, workers: list[WorkerCapacity], weights: PlacementSection
    ) -> None:
        super().__init__(workers, weights)
        self.rng = random.Random(SEED)

    def candidate_workers(self, work: Work) -> Iterable[WorkerCapacity]:
        return self.rng.sample(self.workers, len(self.workers))


class BestFit(ArrivalOrder):
    """Places work in arrival order on the worker with the fewest free cores.

    It ignores deadlines.
    """

    name = "best-fit"

    def candidate_workers(self, work: Work) -> Iterable[WorkerCapacity]:
        return sorted(self.workers, key=lambda worker: worker.free.cores)


DECIDERS: list[type[Decider]] = [EngineDecider, FirstFit, RandomFit, BestFit]
