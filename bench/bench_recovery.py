"""Recovery time after an owner fails, and store calls of owners."""

from __future__ import annotations

import random
import time
import tracemalloc
from statistics import quantiles
from typing import TYPE_CHECKING

import anyio
from msgspec.structs import replace

from bench.base import Benchmark, Figure
from lacewinghold.coordination import ledger as ledger_module
from lacewinghold.coordination.keys import Keys
from lacewinghold.coordination.ledger import Ledger
from lacewinghold.coordination.ledger_state import LedgerState
from lacewinghold.ids import (
    DataCentreId,
    Epoch,
    InstanceId,
    JobId,
    RegionId,
    ShardId,
    TeamId,
)
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources
from lacewinghold.schema.generated.records import EntryKind, JobRecord, LogEntry
from lacewinghold.schema.generated.settings import LeaseSettings
from lacewinghold.shards.model import make_job
from lacewinghold.store.base import CallKind, Put, Transaction
from lacewinghold.testing.cell import TERRASVUUR, Cell, CellShape
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, StoreState
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

SHARDS = 6
LEASES_S = (2.0, 3.0, 6.0)
DEATHS = 40
DEATHS_QUICK = 3
PLACEMENTS = 1_000
PLACEMENTS_QUICK = 100
RATES = (1, 10, 81, 3_000)
QUEUES = (1_000, 5_000, 20_000)
PEAK_STARTS_PER_S = 81
JOB_TASKS = 20
STORE_WRITES_PER_S = 30.0
URGENT_START_S = 2.6
BYTES_PER_MB = 1_000_000
DAEMON_MB = 64
ONE_SHARD = CellShape(
    {DataCentreId("gent-a"): RegionId("vlaanderen")},
    capacity=Resources(cores=64, memory_mb=262144),
    instances=1,
    workers_per_data_centre=1,
)


def make_spec(run_s: float = 1.0) -> JobSpec:
    """Returns a small job of one task."""
    return JobSpec(
        kind=JobKind.BATCH,
        team=TeamId("operators"),
        resources=Resources(cores=0.01, memory_mb=1),
        expected_run_s=run_s,
    )


async def run_in_cell(
    shape: CellShape, work: Callable[[Cell], Awaitable[object]]
) -> None:
    """Runs work in a cell after a start-up period."""
    async with anyio.create_task_group() as tasks:
        cell = Cell(shape, tasks, 1)
        await cell.start()
        await anyio.sleep(20.0)
        await work(cell)
        close_cell(tasks)


def close_cell(tasks: TaskGroup) -> None:
    """Cancels the tasks of a cell."""
    tasks.cancel_scope.cancel()


def count_calls(cell: Cell, kind: CallKind) -> int:
    """Returns the number of store calls of a kind by all instances."""
    return sum(running.store.calls[kind] for running in cell.instances.values())


class OwnerDeaths:
    """Kills owners one after the other and measures the recovery."""

    def __init__(self, deaths: int) -> None:
        self.deaths = deaths
        self.recoveries_s: list[float] = []
        self.writes: list[int] = []
        self.reads: list[int] = []

    async def run(self, cell: Cell) -> None:
        """Repeatedly kills an owner, waits for recovery and starts a replacement."""
        rng = random.Random(1)
        for _ in range(self.deaths):
            owners = [i for i, r in cell.instances.items() if r.instance.manager.owners]
            victim = rng.choice(owners)
            settings = cell.instances[victim].instance.settings
            cell.kill(victim)
            before = anyio.current_time()
            writes, reads = (
                count_calls(cell, CallKind.WRITE),
                count_calls(cell, CallKind.READ),
            )
            await self.wait_usable(cell)
            self.recoveries_s.append(anyio.current_time() - before)
            self.writes.append(count_calls(cell, CallKind.WRITE) - writes)
            self.reads.append(count_calls(cell, CallKind.READ) - reads)
            cell.start_instance(settings.data_centre, settings.instance)
            await anyio.sleep(15.0 + rng.random())

    async def wait_usable(self, cell: Cell) -> None:
        """Waits until every worker is usable again."""
        while True:
            usable = 0
            for running in cell.instances.values():
                for owner in running.instance.manager.owners.values():
                    usable += sum(w.capacity.usable for w in owner.workers.values())
            if usable == len(cell.workers):
                return
            await anyio.sleep(0.01)


class Placements:
    """Starts tasks at a rate and counts store writes.

    :param job_tasks: Tasks of each job.
    """

    def __init__(self, rate: float, count: int, job_tasks: int = 1) -> None:
        self.rate = rate
        self.count = count
        self.job_tasks = job_tasks
        self.writes = 0
        self.reads = 0
        self.duration_s = 0.0

    async def run(self, cell: Cell) -> None:
        """Submits jobs and waits until all their tasks have ended."""
        running = next(iter(cell.instances.values()))
        writes, reads = (
            count_calls(cell, CallKind.WRITE),
            count_calls(cell, CallKind.READ),
        )
        before = anyio.current_time()
        owner = next(iter(running.instance.manager.owners.values()))
        async with anyio.create_task_group() as tasks:
            for _ in range(self.count // self.job_tasks):
                spec = replace(make_spec(), tasks=self.job_tasks)
                tasks.start_soon(owner.accept, spec, "")
                await anyio.sleep(self.job_tasks / self.rate)
        while len(owner.ledger.state.outcomes) < self.count:
            await anyio.sleep(0.1)
        self.duration_s = anyio.current_time() - before
        self.writes = count_calls(cell, CallKind.WRITE) - writes
        self.reads = count_calls(cell, CallKind.READ) - reads


async def store_snapshot(queue: int) -> StoreState:
    """Returns a store with the ledger snapshot of a shard with queued jobs."""
    state = StoreState()
    keys, shard = Keys("/cell"), ShardId("rack.0")
    ledger_state = LedgerState()
    for n in range(queue):
        job = JobRecord(
            job=JobId(f"{shard}~{n:016x}"), spec=make_spec(), accepted_at=0.0
        )
        ledger_state.apply(LogEntry(kind=EntryKind.JOB_ACCEPTED, at=0.0, job=job))
    head, *parts = ledger_state.to_snapshots(1)
    puts = [Put(keys.snapshot(shard), to_json(head))]
    for index, part in enumerate(parts):
        puts.append(Put(keys.snapshot_part(shard, 1, index), to_json(part)))
    for put in puts:
        state.apply(Transaction([], [put]))
    return state


async def take_over(queue: int) -> tuple[float, float]:
    """Measures a takeover of a queue.

    :returns: CPU time in seconds and memory in MB.
    """
    state = await store_snapshot(queue)
    store = MemoryStore(state)

    async def load() -> tuple[Ledger, list[object]]:
        ledger = Ledger(
            store,
            Keys("/cell"),
            ShardId("rack.0"),
            Epoch(1),
            InstanceId("entry"),
            random.Random(1),
        )
        await ledger.load()
        return ledger, [make_job(job, 0.0) for job in ledger.state.jobs.values()]

    started = time.process_time()
    loaded = await load()
    elapsed_s = time.process_time() - started
    assert len(loaded[0].state.jobs) == queue
    del loaded
    tracemalloc.start()
    loaded_again = await load()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del loaded_again
    return elapsed_s, size / BYTES_PER_MB


class RecoveryBenchmark(Benchmark):
    """Measures takeovers and counts store calls, in simulated time."""

    name = "recovery"

    def run(self, *, quick: bool) -> list[Figure]:
        figures: list[Figure] = []
        for ttl_s in LEASES_S:
            figures += self.death_figures(ttl_s, DEATHS_QUICK if quick else DEATHS)
        count = PLACEMENTS_QUICK if quick else PLACEMENTS
        for rate in RATES:
            figures += self.placement_figures(rate, count)
        for job_tasks in (1, JOB_TASKS):
            peak = Placements(PEAK_STARTS_PER_S, count, job_tasks)
            run_paused(run_in_cell, ONE_SHARD, peak.run, seed=1)
            name = f"{PEAK_STARTS_PER_S} starts/s in jobs of {job_tasks}: store writes"
            writes_per_s = peak.writes / peak.duration_s
            figures.append(
                Figure(name, writes_per_s, "writes/s", target=STORE_WRITES_PER_S)
            )
        for queue in QUEUES[: 1 if quick else None]:
            elapsed_s, size_mb = run_paused(take_over, queue, seed=1)
            name = f"takeover of {queue} tasks"
            figures.append(Figure(f"{name}, processor time", elapsed_s * 1000, "ms"))
            figures.append(Figure(f"{name}, memory", size_mb, "MB", target=DAEMON_MB))
        return figures

    def death_figures(self, ttl_s: float, deaths: int) -> list[Figure]:
        """Measures recoveries with one lease duration."""
        lease = LeaseSettings(ttl_s=ttl_s, renew_s=ttl_s / 4, margin_s=ttl_s / 10)
        run = OwnerDeaths(deaths)
        run_paused(run_in_cell, replace(TERRASVUUR, lease=lease), run.run, seed=1)
        cuts = quantiles(run.recoveries_s, n=100, method="inclusive")
        name = f"lease {ttl_s:g} s: death until all workers take tasks"
        return [
            Figure(f"{name}, p50", cuts[49], "s", baseline=ttl_s),
            Figure(f"{name}, p99", cuts[98], "s", target=URGENT_START_S),
            Figure("store writes during it, mean", sum(run.writes) / deaths, "writes"),
            Figure("store reads during it, mean", sum(run.reads) / deaths, "reads"),
        ]

    def placement_figures(self, rate: float, count: int) -> list[Figure]:
        """Measures store calls at one rate, with and without group commit."""
        run = Placements(rate, count)
        run_paused(run_in_cell, ONE_SHARD, run.run, seed=1)
        single = Placements(rate, count)
        saved = ledger_module.MAX_BATCH_APPENDS
        ledger_module.MAX_BATCH_APPENDS = 1
        try:
            run_paused(run_in_cell, ONE_SHARD, single.run, seed=1)
        finally:
            ledger_module.MAX_BATCH_APPENDS = saved
        name = f"{rate} starts/s:"
        return [
            Figure(
                f"{name} store writes per 1000 placements",
                run.writes * 1000 / count,
                "writes",
                baseline=single.writes * 1000 / count,
            ),
            Figure(
                f"{name} store reads per 1000 placements",
                run.reads * 1000 / count,
                "reads",
                baseline=single.reads * 1000 / count,
            ),
            Figure(
                f"{name} time until all are durable and ended",
                run.duration_s,
                "s",
                baseline=single.duration_s,
            ),
        ]
