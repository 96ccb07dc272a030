"""Crashes of workers under the tasks of all-at-once steps, which do not add up."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_cell import WORKERS_PREFIX
from lacewinghold.testing.step_worker import Behaviour, OrderFault
from lacewinghold.testing.store import Outage
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_deadly_tasks import (
    LIMIT_S,
    MAX_STARTS,
    find_task,
    starts_of,
)

ALONE_CPU = 3000  # One task on a worker.
PAIR_CPU = 2000  # Two of them.


async def wait_until_all_run(cell, jobs):
    """Waits until all tasks of some jobs run at the same time."""
    expected = sum(spec.tasks for job in jobs for spec in cell.jobs[job].steps)
    while True:
        running = [
            task for worker in cell.world.workers.values() for task in worker.runs
        ]
        if sum(name.partition(".")[0] in jobs for name, _ in running) == expected:
            return
        await anyio.sleep(0.05)


def crash_next(cell, met, job):
    """Crashes a worker that runs a task of a job, under tasks that met no crash yet."""
    for worker in cell.world.workers.values():
        names = {name for name, _ in worker.runs}
        of_job = any(name.startswith(f"{job}.") for name in names)
        if of_job and not names & met:
            met |= names
            cell.tasks.start_soon(cell.crash_worker, worker)
            return
    raise AssertionError("each worker runs a task that has met a crash")


@pytest.mark.parametrize("takeovers", [False, True])
@pytest.mark.parametrize("ages_s", [[1.5] * 4, [0.6, 4.5, 2.5, 3.5], [2.3, 2.9, 2.9]])
@pytest.mark.parametrize(("tasks", "cpu"), [(7, ALONE_CPU), (8, PAIR_CPU)])
def test_crashes_under_different_tasks_of_a_gang_do_not_fail_its_job(
    tasks, cpu, ages_s, takeovers
):
    """Guards against a gang that fails though no task met two crashes (review/13)."""

    async def program(cell):
        cell.behaviours["gang"] = Behaviour(20)
        await cell.submit("gang", [step(tasks, cpu, all_at_once=True)])
        met = set()
        for age_s in ages_s:
            await wait_until_all_run(cell, ["gang"])
            await anyio.sleep(age_s)
            crash_next(cell, met, "gang")
            await anyio.sleep(4)
            if takeovers:
                cell.kill(cell.owner())
                cell.add_member()
                await cell.wait_for_owner()
        assert await cell.wait_for("gang", JobState.COMPLETED, LIMIT_S)

    run_cell(program, workers=8, limit_s=3 * LIMIT_S)


def test_crashes_under_two_gangs_in_turn_fail_neither_job():
    async def program(cell):
        jobs = ["one", "two"]
        for job in jobs:
            cell.behaviours[job] = Behaviour(20)
            await cell.submit(job, [step(3, ALONE_CPU, all_at_once=True)])
        met = set()
        for turn in range(6):
            await wait_until_all_run(cell, [jobs[turn % 2]])
            await anyio.sleep(1.5)
            crash_next(cell, met, jobs[turn % 2])
            await anyio.sleep(3.5)
        for job in jobs:
            assert await cell.wait_for(job, JobState.COMPLETED, LIMIT_S), job

    run_cell(program, workers=8, limit_s=3 * LIMIT_S)


def test_only_the_suspected_task_of_a_gang_waits_for_an_idle_worker():
    """Guards against a gang that waits for as many idle workers as it has tasks."""

    async def program(cell):
        cell.behaviours["lasting"] = Behaviour(1000)
        lasting = step(3, 1000, long_running=True, max_per_worker=1)
        await cell.submit("lasting", [lasting])
        cell.behaviours["gang"] = Behaviour(8)
        await cell.submit("gang", [step(4, ALONE_CPU, all_at_once=True)])
        for _ in range(2):
            await wait_until_all_run(cell, ["gang"])
            await anyio.sleep(1)
            run = find_task(cell, "gang.0.0.0").run
            cell.tasks.start_soon(cell.crash_worker, cell.world.workers[run.worker])
            await anyio.sleep(3.5)
        await anyio.sleep(1.5)  # Less than a task waits for an idle worker.
        found = find_task(cell, "gang.0.0.0")
        assert len(found.crashes) == 2
        assert find_task(cell, "gang.0.0.1").crashes == []
        beside = cell.world.workers[found.run.worker].runs
        assert [name for name, _ in beside] == ["gang.0.0.0"]
        assert await cell.wait_for("gang", JobState.COMPLETED, LIMIT_S)

    run_cell(program, workers=6)


@pytest.mark.parametrize("takeovers", [0, 2])
@pytest.mark.parametrize("ages_s", [[1.0], [0.05], [3.0, 0.1, 6.0, 1.0, 4.5]])
@pytest.mark.parametrize(("tasks", "cpu"), [(1, 1000), (4, ALONE_CPU), (8, PAIR_CPU)])
def test_a_task_that_crashes_its_workers_is_given_up(tasks, cpu, ages_s, takeovers):
    """Guards against more than two starts after three crashes, single or in a gang."""

    async def program(cell):
        cell.behaviours["bad"] = Behaviour(30)
        # The numbers of the runs begin anew, higher, with each owner.
        for number in range(8000):
            age_s = ages_s[number % len(ages_s)]
            cell.behaviours[f"bad.0.0.0#{number}"] = Behaviour(age_s, crashes=True)
        shape = {"all_at_once": True} if tasks > 1 else {}
        await cell.submit("bad", [step(tasks, cpu, **shape)])
        await cell.submit("plain", [step(2)])
        for number in range(takeovers):
            while starts_of(cell, "bad").get("bad.0.0.0", 0) < number + 2:
                await anyio.sleep(0.05)
            await anyio.sleep(0.5)
            cell.kill(cell.owner())
            cell.add_member()
        assert await cell.wait_for("bad", JobState.FAILED, 2 * LIMIT_S)
        assert starts_of(cell, "bad")["bad.0.0.0"] <= MAX_STARTS
        assert await cell.wait_for("plain", JobState.COMPLETED, LIMIT_S)

    run_cell(program, workers=6)


def test_crashes_under_tasks_that_wait_for_their_gang_are_in_doubt():
    """Guards against a job that fails though none of its tasks ever worked."""

    async def program(cell):
        late = cell.world.workers["w2"]
        await cell.submit("gang", [step(3, ALONE_CPU, all_at_once=True)])
        for _ in range(6):
            late.faults = [OrderFault.CARRIED_OUT_LATE]  # The other tasks wait for it.
            while not late.late_starts:
                await anyio.sleep(0.02)
            await anyio.sleep(0.2)
            busy = next(w for w in cell.world.workers.values() if w.runs)
            cell.tasks.start_soon(cell.crash_worker, busy)
            await anyio.sleep(2.5)
        for index in range(3):
            found = find_task(cell, f"gang.0.0.{index}").crash_history
            assert found is None or not any(c.confirmed for c in found.total)
        assert await cell.wait_for("gang", JobState.COMPLETED, LIMIT_S)

    run_cell(program, workers=3, limit_s=2 * LIMIT_S)


def test_a_crash_while_the_store_is_away_is_in_doubt():
    """Guards against a planned restart that counts, as its notice was not seen."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        await cell.submit("a", [step(1)])
        await anyio.sleep(1)
        worker = cell.world.workers[cell.world.starts[-1].worker]
        cell.state.outage = Outage.DOWN
        await anyio.sleep(1.2)
        worker.crash()
        worker.entry = msgspec.structs.replace(
            worker.entry, incarnation=worker.incarnation + 1
        )
        await anyio.sleep(0.3)
        cell.state.outage = Outage.NONE
        key = WORKERS_PREFIX + str(worker.id)
        await cell.put(key, msgspec.json.encode(worker.entry))
        await anyio.sleep(2)
        [crash] = find_task(cell, "a.0.0.0").crash_history.total
        assert not crash.confirmed

    run_cell(program)


def test_a_reply_of_the_next_incarnation_does_not_excuse_a_crash():
    """Guards against a crash in doubt, as its gang was stopped at the new worker."""

    async def program(cell):
        cell.behaviours["gang"] = Behaviour(20)
        await cell.submit("gang", [step(3, ALONE_CPU, all_at_once=True)])
        await wait_until_all_run(cell, ["gang"])
        await anyio.sleep(1.2)
        run = find_task(cell, "gang.0.0.0").run
        worker = cell.world.workers[run.worker]
        began_at = run.began_at
        crashed_at = anyio.current_time()
        await cell.restart_worker(worker)
        await anyio.sleep(3)
        [crash] = find_task(cell, "gang.0.0.0").crash_history.total
        assert crash.confirmed
        assert crash.age_s <= crashed_at - began_at

    run_cell(program, workers=3)


def test_a_crash_before_the_reply_to_a_start_is_in_doubt():
    async def program(cell):
        await cell.submit("a", [step(1)])
        for worker in cell.world.workers.values():
            worker.faults = [OrderFault.CARRIED_OUT_LATE]
        while not cell.world.workers["w0"].late_starts:
            await anyio.sleep(0.01)
        await cell.restart_worker(cell.world.workers["w0"])
        await anyio.sleep(1)
        [crash] = find_task(cell, "a.0.0.0").crash_history.total
        assert not crash.confirmed
        assert await cell.wait_for("a", JobState.COMPLETED, LIMIT_S)

    run_cell(program, workers=1)
