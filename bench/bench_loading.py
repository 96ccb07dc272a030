"""Cost of loading the jobs by a new owner, by number of open and ended jobs."""

from __future__ import annotations

import gc
import math
import time

import anyio
from msgspec import Struct

from bench.base import Benchmark, Figure
from lacewinghold.ids import Epoch, LeaseId
from lacewinghold.scheduler.advice import AdviceBook
from lacewinghold.scheduler.election import Ownership
from lacewinghold.scheduler.end_log import EndLog
from lacewinghold.scheduler.job_store import OWNER_KEY, JobStore
from lacewinghold.scheduler.lateness import PlanningShare
from lacewinghold.scheduler.metrics import CellMetrics
from lacewinghold.scheduler.owner import CellOwner, CellState
from lacewinghold.schema.generated.cell import (
    CellJob,
    CellOwnerRecord,
    JobOutcome,
    QueueRules,
    StepSpec,
    TaskEndEntry,
)
from lacewinghold.store.base import Put, Transaction
from lacewinghold.store.mirror import Mirror
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.gate import Gate
from lacewinghold.testing.step_cell import JOB_IDS, StepCell
from lacewinghold.testing.step_worker import MemoryWorkerDialer
from lacewinghold.testing.store import MemoryStore, StoreState
from lacewinghold.util.clock import WallClock
from lacewinghold.util.lag import LagMonitor

PREFIX = "cell/"
OPEN_JOBS = 200
MAX_OPEN_JOBS = 300
ENDED_JOBS = (0, 400, 1_600, 8_600)
ENDED_JOBS_QUICK = (0, 40)
PROGRAM = "x" * 1_600  # The size of the users' programs.
STEPS = 3
TASKS = 10
START_TIME_S = 1_700_000_000.0
STATUS_S = 150.0
BYTES_PER_KB = 1_000
TARGET_S = 0.25  # A quarter of a lease; half a lease on a machine with half a core.
TARGET_TURN_MS = 20.0  # Lease renewals are due every 200 ms and must not be late.


class Loading(Struct):
    """Cost of loading.

    :param elapsed_s: CPU time until the owner can make decisions.
    :param size: Bytes read until then.
    :param outcomes_s: CPU time to read the job outcomes after that.
    :param outcomes_size: Bytes read for the outcomes.
    :param longest_turn_s: Longest CPU time during which no other task could run.
    """

    elapsed_s: float
    size: int
    outcomes_s: float
    outcomes_size: int
    longest_turn_s: float


class StoredCell:
    """A store with the records of an earlier owner.

    :param open_jobs: Number of jobs that have not ended; their first step is done.
    """

    def __init__(self, open_jobs: int, ended_jobs: int) -> None:
        self.open_jobs = open_jobs
        self.ended_jobs = ended_jobs
        self.state = StoreState(latency_s=0.0)
        self.store = MemoryStore(self.state)
        self.jobs = JobStore(self.store, PREFIX, JOB_IDS)
        self.state.apply(Transaction([], [Put(PREFIX + OWNER_KEY, b"{}")]))
        self.epoch = Epoch(self.state.revision)
        self.clock = WallClock(START_TIME_S)

    async def fill(self) -> None:
        """Stores accepted and ended jobs as an owner does."""
        log = EndLog(self.jobs, self.epoch, 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.run)
            for number in range(self.ended_jobs + self.open_jobs):
                await self.store_job(log, number)
            done = anyio.Event()
            log.call_when_stored(done.set)
            await done.wait()
            tasks.cancel_scope.cancel()

    async def store_job(self, log: EndLog, number: int) -> None:
        """Stores a job with its task ends, and its outcome if it has ended."""
        record = make_record(f"{number:016x}", self.clock.now())
        await self.jobs.accept(record)
        ends = number < self.ended_jobs
        for step in range(STEPS if ends else 1):
            for task in range(TASKS):
                name = f"{record.job}.0.{step}.{task}"
                log.append_end(TaskEndEntry(task=name, run=1, done=True))
            await anyio.sleep(0.01)
        if ends:
            outcome = JobOutcome(state="completed", at=self.clock.now())
            log.append_outcome(record.job, outcome, lambda: None)

    def make_owner(self, store: MemoryStore, workers: StepCell) -> CellOwner:
        """Returns the next owner."""
        metrics = CellMetrics()
        record = CellOwnerRecord(instance="i", address="a", term=2)
        ownership = Ownership(
            self.epoch, 2, LeaseId(0), math.inf, math.inf, anyio.Event(), record
        )
        return CellOwner(
            ownership,
            JobStore(store, PREFIX, JOB_IDS),
            MemoryWorkerDialer(workers.world, Gate()),
            CellState(),
            Mirror(store, "workers/", ignore, ignore),
            AdviceBook(metrics, LagMonitor()),
            self.clock,
            metrics,
            STATUS_S,
            PlanningShare(metrics),
            LagMonitor(),
        )

    async def load(self, *, watched: bool) -> Loading:
        """Loads the cell as its next owner does.

        :param watched: Whether to measure the longest turn, which adds CPU time.
        """
        store = MemoryStore(self.state)
        turn_monitor = TurnMonitor()
        async with anyio.create_task_group() as tasks:
            owner = self.make_owner(store, StepCell(tasks))
            if watched:
                tasks.start_soon(turn_monitor.run)
                await anyio.sleep(0)
            started = time.process_time()
            await owner.load()
            elapsed_s = time.process_time() - started
            size = store.bytes_moved
            started = time.process_time()
            await owner.ended.load(owner.clock.now())
            outcomes_s = time.process_time() - started
            outcomes_size = store.bytes_moved - size
            turn_monitor.record_turn()
            tasks.cancel_scope.cancel()
        open_jobs = [job for job in owner.table.jobs.values() if not job.ended()]
        assert len(open_jobs) == self.open_jobs
        return Loading(
            elapsed_s, size, outcomes_s, outcomes_size, turn_monitor.longest_s
        )


class TurnMonitor:
    """Measures the longest CPU time between two turns of an always ready task."""

    def __init__(self) -> None:
        self.last_turn_s = time.process_time()
        self.longest_s = 0.0

    def record_turn(self) -> None:
        """Records a turn of the task."""
        now = time.process_time()
        self.longest_s = max(self.longest_s, now - self.last_turn_s)
        self.last_turn_s = now

    async def run(self) -> None:
        """Records turns until cancelled."""
        self.last_turn_s = time.process_time()
        while True:
            await anyio.sleep(0)
            self.record_turn()


def make_record(job: str, accepted_at: float) -> CellJob:
    """Returns a job of three steps."""
    steps = [
        StepSpec(tasks=TASKS, cpu_millis=1000, memory_mb=500, expected_ms=2000)
        for _ in range(STEPS)
    ]
    return CellJob(
        job=job,
        queue="fast",
        host="jobs.example",
        path=f"/fast/{job}",
        program=PROGRAM,
        steps=steps,
        accepted_at=accepted_at,
        rules=QueueRules(service="service"),
    )


def ignore(what: object) -> None:
    """Does nothing."""


async def load_without_collection(cell: StoredCell, *, watched: bool) -> Loading:
    """Loads a cell while the fake store is exempt from garbage collection."""
    gc.collect()
    gc.freeze()
    loaded = await cell.load(watched=watched)
    gc.unfreeze()
    return loaded


async def measure(open_jobs: int, ended_jobs: int) -> Loading:
    """Fills a store and measures how it is loaded."""
    cell = StoredCell(open_jobs, ended_jobs)
    await cell.fill()
    plain = await load_without_collection(cell, watched=False)
    watched = await load_without_collection(cell, watched=True)
    plain.longest_turn_s = watched.longest_turn_s
    return plain


class LoadingBenchmark(Benchmark):
    """Loads cells of several sizes."""

    name = "loading"

    def run(self, *, quick: bool) -> list[Figure]:
        figures: list[Figure] = []
        sizes = [
            (OPEN_JOBS, ended) for ended in (ENDED_JOBS_QUICK if quick else ENDED_JOBS)
        ]
        if not quick:
            sizes.append((MAX_OPEN_JOBS, ENDED_JOBS[-1]))
        for open_jobs, ended in sizes:
            found = run_paused(measure, open_jobs, ended, seed=1)
            name = f"{open_jobs} open, {ended} ended:"
            figures += [
                Figure(f"{name} processor", found.elapsed_s, "s", target=TARGET_S),
                Figure(f"{name} read", found.size / BYTES_PER_KB, "KB"),
                Figure(f"{name} outcomes, processor", found.outcomes_s, "s"),
                Figure(
                    f"{name} outcomes, read", found.outcomes_size / BYTES_PER_KB, "KB"
                ),
                Figure(
                    f"{name} longest turn",
                    found.longest_turn_s * 1000,
                    "ms",
                    target=TARGET_TURN_MS,
                ),
            ]
        return figures
