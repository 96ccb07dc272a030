"""Runs a placement algorithm on a workload with faults, in simulated time."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from heapq import heappop, heappush
from itertools import count
from time import perf_counter
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field

from bench.profiles import Arrival, Generator, Profile, make_workers

if TYPE_CHECKING:
    from bench.deciders import Decider
    from lacewinghold.ids import TaskId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.work import Work
    from lacewinghold.schema.generated.jobs import JobKind

TICK_S = 0.5
SAMPLE_INTERVAL_S = 5.0
FAULT_INTERVAL_S = 3600.0
REPAIR_S = 600.0


class RunningTask(Struct):
    """A task that runs on a worker."""

    task: TaskId
    work: Work
    worker: WorkerCapacity
    ends_at: float
    started_at: float


class Outcome(Struct):
    """Measurements of a run.

    :param waits_s: Queueing times by kind of job.
    :param decisions_s: Real time of each decision.
    :param rounds_s: Real time of all decisions.
    :param bookkeeping_s: Real time of queueing, release and observation.
    :param missed: Work that missed its deadline.
    :param requeued: Tasks queued again after their worker failed.
    :param cores_used: Samples of the booked share of all cores.
    :param memory_used: Samples of the booked share of all memory.
    """

    waits_s: dict[JobKind, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    decisions_s: list[float] = field(default_factory=list)
    rounds_s: float = 0.0
    bookkeeping_s: float = 0.0
    placed: int = 0
    with_deadline: int = 0
    missed: int = 0
    requeued: int = 0
    cores_used: list[float] = field(default_factory=list)
    memory_used: list[float] = field(default_factory=list)


class Driver:
    """Runs one decider on one workload.

    :param load: Offered cores as a share of all cores.
    """

    def __init__(
        self, profile: Profile, decider: type[Decider], load: float, seed: int
    ) -> None:
        self.profile = profile
        self.workers = make_workers(profile)
        self.decider = decider(self.workers, profile.weights)
        self.generator = Generator(profile, load, seed)
        self.rng = random.Random(seed + 1)
        self.outcome = Outcome()
        self.running: dict[TaskId, RunningTask] = {}
        self.end_heap: list[tuple[float, int, TaskId]] = []
        self.repair_heap: list[tuple[float, int, WorkerCapacity]] = []
        self.run_times: dict[str, float] = {}
        self.pending_deadlines: dict[str, float] = {}
        self.sequence = count()
        capacities = [worker.record.capacity for worker in self.workers]
        self.cores = sum(capacity.cores for capacity in capacities)
        self.memory_mb = sum(capacity.memory_mb for capacity in capacities)
        self.changed = False

    async def run(self, duration_s: float, *, faults: bool) -> Outcome:
        """Runs the workload.

        :param faults: Whether workers fail and are repaired.
        """
        started = anyio.current_time()
        for arrival in self.generator.services():
            self.add_arrival(arrival, 0.0)
        arrivals = self.generator.batch(duration_s)
        next_arrival = next(arrivals, None)
        next_fault = FAULT_INTERVAL_S if faults else math.inf
        now = next_sample = 0.0
        while now < duration_s:
            while next_arrival is not None and next_arrival.at <= now:
                self.add_arrival(next_arrival, now)
                next_arrival = next(arrivals, None)
            self.end_due_tasks(now)
            if now >= next_fault:
                self.fail_worker(self.rng.choice(self.workers), now)
                next_fault += FAULT_INTERVAL_S
            self.repair_due_workers(now)
            self.decide(now)
            while next_sample <= now:
                self.record_utilisation()
                next_sample += SAMPLE_INTERVAL_S
            due = min(next_fault, next_sample, duration_s)
            due = min(due, self.end_heap[0][0] if self.end_heap else math.inf)
            due = min(due, self.repair_heap[0][0] if self.repair_heap else math.inf)
            due = min(due, next_arrival.at if next_arrival is not None else math.inf)
            await anyio.sleep(max(TICK_S, due - now))
            now = anyio.current_time() - started
        self.count_unfinished(now)
        return self.outcome

    def add_arrival(self, arrival: Arrival, now: float) -> None:
        """Queues work that has arrived."""
        work = arrival.work
        self.run_times[work.id] = arrival.run_s
        if work.deadline is not None:
            self.outcome.with_deadline += 1
            self.pending_deadlines[work.id] = work.deadline
        before = perf_counter()
        self.decider.add(work, now)
        self.outcome.bookkeeping_s += perf_counter() - before
        self.changed = True

    def decide(self, now: float) -> None:
        """Runs one round and times each decision."""
        if not self.changed:
            return
        self.changed = False
        before = perf_counter()
        self.decider.begin_round(now)
        while True:
            placement = self.decider.place_next(now)
            after = perf_counter()
            self.outcome.decisions_s.append(after - before)
            self.outcome.rounds_s += after - before
            if placement is None:
                break
            self.start(placement.work, placement.workers, now)
            before = perf_counter()

    def record_utilisation(self) -> None:
        """Records the booked shares of cores and memory."""
        cores = sum(worker.free.cores for worker in self.workers)
        memory_mb = sum(worker.free.memory_mb for worker in self.workers)
        self.outcome.cores_used.append(1 - cores / self.cores)
        self.outcome.memory_used.append(1 - memory_mb / self.memory_mb)

    def start(self, work: Work, workers: list[WorkerCapacity], now: float) -> None:
        """Starts the tasks of placed work."""
        run_s = self.run_times[work.id]
        for task, worker in zip(work.tasks, workers, strict=True):
            self.running[task] = RunningTask(task, work, worker, now + run_s, now)
            if run_s < math.inf:
                heappush(self.end_heap, (now + run_s, next(self.sequence), task))
        self.outcome.waits_s[work.kind].append(now - work.queued_at)
        self.outcome.placed += len(work.tasks)

    def end_due_tasks(self, now: float) -> None:
        """Ends the tasks whose run time has elapsed."""
        while self.end_heap and self.end_heap[0][0] <= now:
            ends_at, _, task = heappop(self.end_heap)
            run = self.running.get(task)
            if run is None or run.ends_at != ends_at:
                continue
            del self.running[task]
            before = perf_counter()
            self.decider.release(run.work.job, task, run.worker)
            self.decider.observe(run.work, ends_at - run.started_at)
            self.outcome.bookkeeping_s += perf_counter() - before
            self.changed = True
            deadline = self.pending_deadlines.pop(run.work.id, None)
            if deadline is not None and ends_at > deadline:
                self.outcome.missed += 1

    def fail_worker(self, worker: WorkerCapacity, now: float) -> None:
        """Marks a worker as failed and requeues the work that ran on it."""
        if not worker.usable:
            return
        worker.usable = False
        heappush(self.repair_heap, (now + REPAIR_S, next(self.sequence), worker))
        lost: dict[str, Work] = {}
        for task in list(worker.bookings):
            lost[self.running[task].work.id] = self.running[task].work
        for work in lost.values():
            for task in work.tasks:
                run = self.running.pop(task, None)
                if run is not None:
                    self.decider.release(work.job, task, run.worker)
            work.queued_at = now
            self.decider.add(work, now)
            self.outcome.requeued += len(work.tasks)
        self.changed = True

    def repair_due_workers(self, now: float) -> None:
        """Makes failed workers usable again after the repair time."""
        while self.repair_heap and self.repair_heap[0][0] <= now:
            _, _, worker = heappop(self.repair_heap)
            worker.usable = True
            self.changed = True

    def count_unfinished(self, now: float) -> None:
        """Counts work that has not ended and is past its deadline."""
        for deadline in self.pending_deadlines.values():
            if deadline < now:
                self.outcome.missed += 1
