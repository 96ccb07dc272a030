"""Waiting time of urgent work in a cell full of batch work."""

from __future__ import annotations

import anyio
import structlog
from result import Ok

from bench.base import Benchmark, Figure
from bench.bench_placement import percentile
from lacewinghold.ids import TaskId, TeamId, make_task_id
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Priority, Resources
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused

SEED = 1
TEAM = TeamId("operators")
URGENT_START_S = 2.6
BATCH_TASKS = 200
WARM_UP_S = 20.0


def make_spec(cores: float, tasks: int, run_s: float, priority: Priority) -> JobSpec:
    """Returns the specification of a batch job."""
    return JobSpec(
        kind=JobKind.BATCH,
        team=TEAM,
        tasks=tasks,
        resources=Resources(cores=cores, memory_mb=256),
        priority=priority,
        expected_run_s=run_s,
    )


async def submit_urgent(cell: Cell, count: int) -> list[float]:
    """Submits urgent tasks one after the other.

    :returns: Seconds from each submission to its start; infinite if not started.
    """
    submitted: list[tuple[TaskId, float]] = []
    for number in range(count):
        spec = make_spec(1 + number % 4, 1, 5.0, Priority.URGENT)
        at = cell.clock.now()
        accepted = await cell.any_instance().jobs.submit(TEAM, spec, "")
        if isinstance(accepted, Ok):
            submitted.append((make_task_id(accepted.ok_value, 0), at))
        await anyio.sleep(cell.rng.uniform(0.0, 1.0))
    await anyio.sleep(URGENT_START_S)
    waits = []
    for task, at in submitted:
        waits.append(cell.first_started.get(task, float("inf")) - at)
    return waits


async def run_session(count: int) -> tuple[list[float], int]:
    """Fills a cell with batch work, then submits urgent work.

    :returns: The waiting times in seconds, and the number of preempted tasks.
    """
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, SEED)
        await cell.start()
        await cell.wait_ready(6)
        for cores in (2.0, 2.0):
            spec = make_spec(cores, BATCH_TASKS, 1e6, Priority.NORMAL)
            await cell.any_instance().jobs.submit(TEAM, spec, "")
        await anyio.sleep(WARM_UP_S)
        waits = await submit_urgent(cell, count)
        stopped = 0
        for running in cell.instances.values():
            stopped += running.instance.manager.counts["tasks.preempted"]
        tasks.cancel_scope.cancel()
    return waits, stopped


class UrgentBenchmark(Benchmark):
    """Urgent work in a full cell."""

    name = "urgent"

    def run(self, *, quick: bool) -> list[Figure]:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        waits, stopped = run_paused(run_session, 100 if quick else 1000, seed=SEED)
        waits.sort()
        last = waits[min(len(waits) - 1, int(len(waits) * 0.999))]
        return [
            Figure("urgent tasks", len(waits), "tasks"),
            Figure("batch tasks stopped for them", stopped, "tasks"),
            Figure("urgent waiting p50", percentile(waits, 50), "s"),
            Figure("urgent waiting p99.9", last, "s", URGENT_START_S),
        ]
