"""Ended jobs at the end of their retention: nothing of them starts again."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.scheduler.cell import RETENTION_MARGIN_S
from lacewinghold.scheduler.job_store import ENDED_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.testing.store import StoreFault
from tests.test_scheduler.support import run_cell, step

STATUS_S = 1.0
RETENTION_S = STATUS_S + RETENTION_MARGIN_S
EXPIRY_S = RETENTION_S + 12.0  # Two checks of the owner, and a write.
GUARDED_S = 25.0  # Less than the margin, much more than a write can be late.
CHECK_S = 6.0  # After a check of the owner for jobs to forget.
TASKS = 6
JOB_LIMIT_S = 30


def shorten_retention(cell):
    """Applies settings by which ended jobs are kept for the shortest time."""
    for member in cell.members:
        settings = member.instance.settings
        bounds = msgspec.structs.replace(settings.bounds, status_s=STATUS_S)
        member.instance.apply_settings(msgspec.structs.replace(settings, bounds=bounds))


def outcomes(cell):
    """Returns the keys of the outcomes that the store holds."""
    prefix = cell.members[0].instance.jobs.prefix + ENDED_PREFIX
    return [key for key in cell.state.keys if key.startswith(prefix)]


async def take_over(cell):
    """Kills the owner and waits for the next one."""
    cell.kill(cell.owner())
    await cell.wait_for_owner()


@pytest.mark.parametrize("takeover", [False, True])
@pytest.mark.parametrize("seconds", [0.3, 2.0, 10.0])
def test_a_worker_that_lists_a_job_after_its_retention_starts_nothing(
    takeover, seconds
):
    """It was out of reach, with its lease lapsed, or renewed by nobody's poll."""

    async def program(cell):
        shorten_retention(cell)
        cell.behaviours["a"] = Behaviour(0.5)
        for index in range(TASKS):
            cell.behaviours[f"a.0.0.{index}#1"] = Behaviour(seconds)
        await cell.submit("a", [step(TASKS, cpu=3000)])
        while not cell.world.starts:
            await anyio.sleep(0.001)
        silent = cell.world.workers[cell.world.starts[0].worker]
        await anyio.sleep(0.2)
        silent.silent = True
        assert await cell.wait_for("a", JobState.COMPLETED, 120)
        while outcomes(cell):
            await anyio.sleep(1)
        starts = len(cell.world.starts)
        assert silent.ends
        if takeover:
            cell.kill(cell.owner())
        silent.silent = False
        await anyio.sleep(10)
        assert len(cell.world.starts) == starts
        assert not silent.ends
        assert cell.owner().instance.owner.recovered

    run_cell(program, limit_s=300)


@pytest.mark.parametrize("takeover", [False, True])
def test_a_run_that_is_listed_after_its_jobs_retention_is_stopped_only(takeover):
    async def program(cell):
        shorten_retention(cell)
        cell.behaviours["a"] = Behaviour(600)
        await cell.submit("a", [step(TASKS, cpu=3000)])
        await anyio.sleep(0.5)
        silent = cell.world.workers[cell.world.starts[0].worker]
        silent.silent = True
        assert (await cell.members[0].instance.front.cancel("a")).is_ok()
        # Another keeps its lease up meanwhile.
        left_s = EXPIRY_S + 10
        silent.extend(silent.clock_ms() + left_s * 1000)
        await anyio.sleep(EXPIRY_S)
        starts = len(cell.world.starts)
        assert outcomes(cell) == []
        assert silent.runs
        if takeover:
            await take_over(cell)
        silent.silent = False
        await anyio.sleep(5)
        assert not silent.runs
        assert not silent.ends
        assert len(cell.world.starts) == starts

    run_cell(program, limit_s=300)


@pytest.mark.parametrize("late_s", [3.0, GUARDED_S])
@pytest.mark.parametrize("takeover", [False, True])
def test_an_acceptance_that_is_late_finds_the_outcome_of_a_short_retention(
    late_s, takeover
):
    """Shortest retention, and a job that ends at once."""

    async def program(cell):
        shorten_retention(cell)
        cell.behaviours["a"] = Behaviour(0.05)
        member = next(each for each in cell.members if each is not cell.owner())
        member.store.faults = [StoreFault.DELAYED]
        record = cell.make_job("a", [step(TASKS, cpu=500)])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(member.instance.front.submit, record)
            while not cell.state.late_writes:
                await anyio.sleep(0.001)
            cell.state.late_writes[0].due = anyio.current_time() + late_s
        assert await cell.wait_for("a", JobState.COMPLETED, 2)
        assert cell.state.late_writes
        await anyio.sleep(late_s)
        if takeover:
            await take_over(cell)
        await anyio.sleep(RETENTION_S + 15)
        assert not cell.state.late_writes
        assert outcomes(cell) == []
        assert len(cell.world.starts) == TASKS

    run_cell(program, limit_s=300)


@pytest.mark.parametrize("takeover", [False, True])
def test_a_job_that_is_handed_in_again_until_its_retention_ends_runs_once(takeover):
    async def program(cell):
        shorten_retention(cell)
        cell.behaviours["a"] = Behaviour(0.05)
        await cell.submit("a", [step(TASKS, cpu=500)])
        assert await cell.wait_for("a", JobState.COMPLETED, 2)
        ended_at = anyio.current_time()
        # By then the next write has removed the ends of its tasks.
        await anyio.sleep(CHECK_S)
        if takeover:
            cell.kill(cell.owner())
        while anyio.current_time() < ended_at + STATUS_S + GUARDED_S:
            for member in list(cell.members):
                front = member.instance.front
                assert (await front.submit(cell.jobs["a"])).is_ok()
            await anyio.sleep(0.25)
        assert len(cell.world.starts) == TASKS
        while outcomes(cell):
            await anyio.sleep(0.5)
        await anyio.sleep(10)
        assert len(cell.world.starts) == TASKS
        assert await cell.state_of("a") is None

    run_cell(program, limit_s=300)


def test_done_tasks_of_an_open_job_outlast_the_retention_of_its_neighbours():
    """They share batches of ends; the batches go with the last of their jobs."""

    async def program(cell):
        shorten_retention(cell)
        cell.behaviours["long"] = Behaviour(0.3)
        cell.behaviours["long.0.0.0"] = Behaviour(EXPIRY_S + 30)
        await cell.submit("long", [step(TASKS, cpu=300)])
        for number in range(TASKS):
            cell.behaviours[f"j{number}"] = Behaviour(0.3)
            await cell.submit(f"j{number}", [step(2, cpu=300)])
        await anyio.sleep(EXPIRY_S)
        assert outcomes(cell) == []
        await take_over(cell)
        await anyio.sleep(EXPIRY_S)
        await take_over(cell)
        assert await cell.wait_for("long", JobState.COMPLETED, 120)
        assert len(cell.world.starts) == 3 * TASKS

    run_cell(program, limit_s=300)
