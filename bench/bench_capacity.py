"""Cost per worker, start and task, as slopes over three sizes or more."""

from __future__ import annotations

import gc
import time
import tracemalloc
from statistics import fmean, linear_regression
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from msgspec.structs import replace

from bench.base import Benchmark, Figure
from bench.bench_placement import percentile
from bench.deciders import EngineDecider
from bench.profiles import TWO_YEAR, Generator, make_workers
from lacewinghold.ids import TeamId
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources
from lacewinghold.store.base import CallKind
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lacewinghold.placement.work import Placement

SEED = 1
TEAM = TeamId("operators")
WARM_UP_S = 20.0
TASKS_PER_JOB = 4
RUN_S = 5.0
TWO_YEAR_STARTS_PER_S = 81.0
TWO_YEAR_INSTANCES = 42
TWO_YEAR_WORKERS = 760
TWO_YEAR_TASKS = 20_000
STORE_WRITES_PER_S = 30.0
DAEMON_BYTES_PER_S = 8_000.0
DAEMON_CORE_SHARE = 0.018


class Sample(Struct):
    """Cost of a cell per second of simulated time.

    :param core_share: Share of a core used by the whole process, which runs all
        entry instances, their fakes and the runtime.
    """

    core_share: float
    store_writes: float
    store_reads: float
    lease_calls: float
    peer_bytes: float
    instances: int


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns the slope and the intercept of the least squares line."""
    line = linear_regression([x for x, _ in points], [y for _, y in points])
    return line.slope, line.intercept


def measure_cell(workers: int, starts_per_s: float, seconds: float) -> Sample:
    """Runs a cell under a steady load."""

    async def submit(cell: Cell) -> None:
        spec = JobSpec(
            kind=JobKind.BATCH,
            team=TEAM,
            tasks=TASKS_PER_JOB,
            resources=Resources(cores=0.5, memory_mb=64),
            expected_run_s=RUN_S,
        )
        while True:
            cell.tasks.start_soon(cell.any_instance().jobs.submit, TEAM, spec, "")
            await anyio.sleep(TASKS_PER_JOB / starts_per_s)

    async def session() -> Sample:
        async with anyio.create_task_group() as tasks:
            shape = replace(TERRASVUUR, workers_per_data_centre=workers // 3)
            cell = Cell(shape, tasks, SEED)
            await cell.start()
            await cell.wait_ready(max(1, workers // 4))
            if starts_per_s:
                tasks.start_soon(submit, cell)
            await anyio.sleep(WARM_UP_S)
            before, spent = count_totals(cell), time.process_time()
            await anyio.sleep(seconds)
            spent = time.process_time() - spent
            after = count_totals(cell)
            tasks.cancel_scope.cancel()
        writes, reads, leases, sent = (
            (last - first) / seconds for first, last in zip(before, after, strict=True)
        )
        return Sample(spent / seconds, writes, reads, leases, sent, len(cell.instances))

    return run_paused(session, seed=SEED)


def count_totals(cell: Cell) -> tuple[int, int, int, int]:
    """Returns the store writes, reads and lease calls, and the peer bytes so far."""
    writes = reads = leases = sent = 0
    for running in cell.instances.values():
        calls = running.store.calls
        writes += calls[CallKind.WRITE]
        reads += calls[CallKind.READ]
        leases += calls[CallKind.LEASE]
        sent += sum(running.instance.peers.bytes_sent.values())
    return writes, reads, leases, sent


class EngineCost(Struct):
    """Decision time and memory of the placement engine at one size."""

    mean_us: float
    p99_us: float
    kilobytes: float


def measure_engine(workers: int, running: int, placements: int) -> EngineCost:
    """Fills an engine with running tasks, then replaces them one by one."""
    gc.collect()
    tracemalloc.start()
    profile = replace(TWO_YEAR, workers=workers)
    decider = EngineDecider(make_workers(profile), profile.weights)
    arrivals = Generator(profile, 0.85, SEED).batch(float("inf"))
    booked: list[Placement] = []
    while len(booked) < running:
        work = next(arrivals).work
        if work.kind is not JobKind.BATCH:
            continue
        decider.add(work, 0.0)
        decider.begin_round(0.0)
        placement = decider.place_next(0.0)
        if placement is not None:
            booked.append(placement)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    spent = []
    for placement in booked[:placements]:
        old = placement.work
        decider.release(old.job, old.tasks[0], placement.workers[0])
        started = time.perf_counter()
        decider.add(old, 0.0)
        decider.begin_round(0.0)
        decider.place_next(0.0)
        spent.append((time.perf_counter() - started) * 1e6)
    return EngineCost(fmean(spent), percentile(spent, 99), kilobytes)


class CapacityBenchmark(Benchmark):
    """Measures slopes and extrapolates to the size planned in two years."""

    name = "capacity"

    def run(self, *, quick: bool) -> list[Figure]:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        seconds = 20.0 if quick else 60.0
        figures = self.engine_figures(quick=quick)
        figures += self.load_figures(seconds)
        figures += self.idle_figures(seconds)
        return figures

    def engine_figures(self, *, quick: bool) -> list[Figure]:
        """Measures decision time by workers and memory by running tasks."""
        sizes = (95, 190, 380) if quick else (190, 380, 760, 1520)
        figures, times, memory = [], [], []
        for workers in sizes:
            found = measure_engine(workers, workers * 20, 2000)
            times.append((float(workers), found.mean_us))
            memory.append((workers * 20.0, found.kilobytes))
            name = f"engine, {workers} workers, {workers * 20} running"
            figures.append(Figure(f"{name}: decision mean", found.mean_us, "us"))
            figures.append(Figure(f"{name}: decision p99", found.p99_us, "us"))
        per_worker, _ = fit_line(times)
        per_task, _ = fit_line(memory)
        return [
            *figures,
            Figure("engine: decision time per worker", per_worker * 1000, "ns"),
            Figure("engine: memory per running task", per_task, "KB"),
            Figure(
                "engine: memory, two-year share of one instance",
                per_task * TWO_YEAR_TASKS / TWO_YEAR_INSTANCES,
                "KB",
            ),
        ]

    def load_figures(self, seconds: float) -> list[Figure]:
        """Measures a cell by its rate of task starts."""
        rates = (4.0, 8.0, 16.0, 32.0)
        samples = [measure_cell(24, rate, seconds) for rate in rates]
        figures = []
        for rate, sample in zip(rates, samples, strict=True):
            figures.append(
                Figure(f"cell, {rate:g} starts/s: writes", sample.store_writes, "1/s")
            )
        instances = samples[0].instances

        def fit_samples(value: Callable[[Sample], float]) -> tuple[float, float]:
            return fit_line(
                [(r, value(sample)) for r, sample in zip(rates, samples, strict=True)]
            )

        writes = fit_samples(lambda sample: sample.store_writes)
        sent = fit_samples(lambda sample: sample.peer_bytes)
        core = fit_samples(lambda sample: sample.core_share)
        per_instance = TWO_YEAR_STARTS_PER_S / TWO_YEAR_INSTANCES
        return [
            *figures,
            Figure("cell: store writes per start", writes[0], "1"),
            Figure(
                "cell: store writes at 81 starts/s, from the slope",
                writes[1] + writes[0] * TWO_YEAR_STARTS_PER_S,
                "1/s",
                STORE_WRITES_PER_S,
            ),
            Figure("cell: peer bytes per start", sent[0], "B"),
            Figure(
                "instance: peer bytes, idle share and two-year share of starts",
                sent[1] / instances + sent[0] * per_instance,
                "B/s",
                DAEMON_BYTES_PER_S,
            ),
            Figure("cell: processor time per start, fakes too", core[0] * 1e3, "ms"),
            Figure(
                "instance: core, idle and two-year share of starts, fakes too",
                core[1] / instances + core[0] * per_instance,
                "cores",
                DAEMON_CORE_SHARE,
            ),
        ]

    def idle_figures(self, seconds: float) -> list[Figure]:
        """Measures an idle cell by its number of workers."""
        sizes = (24, 48, 96)
        samples = [measure_cell(size, 0.0, seconds) for size in sizes]
        core = fit_line(
            [
                (float(n), sample.core_share)
                for n, sample in zip(sizes, samples, strict=True)
            ]
        )
        writes = fit_line(
            [
                (float(n), sample.store_writes + sample.lease_calls)
                for n, sample in zip(sizes, samples, strict=True)
            ]
        )
        workers = TWO_YEAR_WORKERS / TWO_YEAR_INSTANCES
        return [
            Figure("idle cell: store and lease calls", samples[0].lease_calls, "1/s"),
            Figure("idle cell: store calls per worker", writes[0], "1/s"),
            Figure("idle cell: core per worker, fakes too", core[0] * 1e3, "mcores"),
            Figure(
                "instance: idle core at its two-year share of workers, fakes too",
                core[1] / samples[0].instances + core[0] * workers,
                "cores",
                DAEMON_CORE_SHARE,
            ),
        ]
