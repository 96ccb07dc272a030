"""Repeated jobs, long-running tasks, and tasks that fill unused capacity."""

from __future__ import annotations

import anyio

from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step


async def submit_repeated(cell, job, steps, first_s, interval_s, count):
    """Submits a repeated job whose first occurrence is due in some seconds.

    :returns: The time of the submission on the runtime's clock.
    """
    record = cell.make_job(job, steps)
    record.first_due_ms = (cell.clock.now() + first_s) * 1000
    record.interval_ms = interval_s * 1000
    record.occurrences = count
    result = await cell.members[0].instance.front.submit(record)
    assert result.is_ok()
    return anyio.current_time()


def starts_by_occurrence(cell, job):
    """Returns the first start of each occurrence of a job."""
    found = {}
    for start in cell.world.starts:
        name, occurrence, _, _ = start.task.split(".")
        if name == job:
            found.setdefault(int(occurrence), start.at)
    return found


def test_occurrences_start_when_due_and_may_overlap():
    async def program(cell):
        cell.behaviours["r"] = Behaviour(3)
        began = await submit_repeated(cell, "r", [step(1), step(1, after=[0])], 2, 2, 3)
        assert await cell.wait_for("r", JobState.COMPLETED, 20)
        found = starts_by_occurrence(cell, "r")
        assert set(found) == {0, 1, 2}
        for occurrence, at in found.items():
            assert 0 <= at - began - 2 - 2 * occurrence < 0.7

    run_cell(program)


def test_occurrences_survive_a_takeover():
    async def program(cell):
        began = await submit_repeated(cell, "r", [step(1)], 1, 3, 4)
        await anyio.sleep(2.5)
        cell.kill(cell.owner())
        assert await cell.wait_for("r", JobState.COMPLETED, 20)
        found = starts_by_occurrence(cell, "r")
        assert set(found) == {0, 1, 2, 3}
        for occurrence, at in found.items():
            assert at - began - 1 - 3 * occurrence >= -0.001

    run_cell(program)


def test_long_running_tasks_are_restarted_after_success_and_failure():
    async def program(cell):
        cell.behaviours["s.0.0.0#1"] = Behaviour(0.5)
        cell.behaviours["s.0.0.0#2"] = Behaviour(0.5, fails=True)
        cell.behaviours["s.0.0.0#3"] = Behaviour(0.5, fails=True)
        cell.behaviours["s"] = Behaviour(1000)
        await cell.submit("s", [step(1, long_running=True)])
        await anyio.sleep(4)
        assert [s.run for s in cell.world.starts] == [1, 2, 3, 4]
        assert await cell.state_of("s") is JobState.RUNNING

    run_cell(program)


def test_filling_tasks_leave_the_workers_of_latency_critical_tasks():
    async def program(cell):
        cell.behaviours["serve"] = Behaviour(1000)
        cell.behaviours["fill"] = Behaviour(1000)
        serving = step(2, long_running=True, latency_target_ms=100)
        await cell.submit("fill", [step(4, cpu=1000, fills=True, long_running=True)])
        await anyio.sleep(1)
        await cell.submit("serve", [serving])
        await anyio.sleep(2)
        where = {"serve": set(), "fill": set()}
        for worker in cell.world.workers.values():
            for task, _ in worker.runs:
                where[task.partition(".")[0]].add(worker.id)
        assert where["serve"]
        assert not where["serve"] & where["fill"]

    run_cell(program, workers=2)
