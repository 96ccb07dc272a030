"""Preemption: urgent work starts on a full cell and least work is lost."""

from __future__ import annotations

import anyio
import pytest
from result import Ok

from lacewinghold.ids import ServiceId
from lacewinghold.schema.generated.jobs import JobKind, Priority, Resources
from tests.test_placement.builders import make_engine, make_work, make_worker, run_round
from tests.test_placement.test_parts import (
    make_spec,
    run_session,
    submit,
)

URGENT_START_S = 2.6


def full_engine(*workers, **changes):
    """Returns an engine with one 8 core task started on it every 10 s."""
    engine = make_engine(workers)
    for number in range(2 * len(workers)):
        work = make_work(f"b{number}", cores=8.0, **changes)
        engine.add(work, 0.0)
        assert len(run_round(engine, 10.0 * number)) == 1
    return engine


def test_preemption_loses_least_work_and_reserves_the_worker():
    engine = full_engine(make_worker("w0"), make_worker("w1"))
    engine.add(make_work("u", cores=6.0, priority=Priority.URGENT), 100.0)
    assert not run_round(engine, 100.0)
    assert engine.drain_stops() == ["b3/0"]
    (worker,) = [w for w in engine.index.workers if "b3/0" in w.bookings]
    engine.release("s~b3", "b3/0", worker)
    engine.add(make_work("small", queued_at=-90_000.0), 100.05)
    assert not run_round(engine, 100.05)
    placed = run_round(engine, 100.2)
    assert [p.work.id for p in placed] == ["u", "small"]
    assert not engine.reserved_workers
    assert not engine.drain_stops()


@pytest.mark.parametrize(
    "changes",
    [
        {"repeatable": False},
        {"kind": JobKind.SERVICE},
        {"kind": JobKind.ALL_AT_ONCE},
        {"priority": Priority.URGENT},
    ],
)
def test_work_that_must_not_be_preempted_is_never_stopped(changes):
    engine = full_engine(make_worker("w0"), **changes)
    engine.add(make_work("u", cores=2.0, priority=Priority.URGENT), 100.0)
    assert not run_round(engine, 100.0)
    assert engine.drain_stops() == []


def test_each_urgent_task_preempts_tasks_of_its_own():
    workers = [make_worker(f"w{n}") for n in range(4)]
    engine = full_engine(*workers)
    for number in range(3):
        work = make_work(f"u{number}", cores=8.0, priority=Priority.URGENT)
        engine.add(work, 100.0)
    assert not run_round(engine, 100.0)
    stops = engine.drain_stops()
    assert len(set(stops)) == 3
    for stop in stops:
        for worker in workers:
            engine.release(f"s~{stop[:-2]}", stop, worker)
    assert len(run_round(engine, 100.2)) == 3


async def urgent_on_a_full_cell(cell):
    await submit(cell, make_spec(JobKind.BATCH, 24, expected_run_s=3000.0))
    await anyio.sleep(20)
    assert sum(len(worker.running) for worker in cell.workers.values()) == 24
    for number in range(6):
        spec = make_spec(
            JobKind.SERVICE if number % 2 else JobKind.BATCH,
            1,
            service=ServiceId("booking") if number % 2 else None,
            priority=Priority.URGENT,
            resources=Resources(cores=4, memory_mb=1024),
            expected_run_s=5.0,
        )
        at = cell.clock.now()
        job = await submit(cell, spec)
        await anyio.sleep(URGENT_START_S)
        view = await cell.any_instance().jobs.job(job)
        assert isinstance(view, Ok)
        (task,) = view.ok_value.tasks
        assert cell.first_started[task.task] - at <= URGENT_START_S


def test_urgent_work_starts_on_a_full_cell():
    run_session(urgent_on_a_full_cell, seed=6)
