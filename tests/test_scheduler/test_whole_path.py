"""Jobs from submission to their end, in a cell without faults."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import Queue
from lacewinghold.store.base import CallKind
from lacewinghold.testing.step_cell import HOST, advised
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

FAST = Queue("fast", HOST, "/fast/", "service", 0, 2, 2.0, 1)


def test_steps_run_in_order():
    async def program(cell):
        await cell.submit("a", [step(3), step(2, after=[0])])
        assert await cell.wait_for("a", JobState.COMPLETED, 5)
        ends_of_first = min(s.at for s in cell.world.starts if ".0.0." in s.task) + 1.0
        for start in cell.world.starts:
            if ".0.1." in start.task:
                assert start.at >= ends_of_first

    run_cell(program)


@pytest.mark.parametrize("advice", [False, True])
def test_all_at_once_starts_together(advice):
    queues = [advised(FAST, 0.1, 2.5)] if advice else [FAST]

    async def program(cell):
        await cell.submit("a", [step(6, cpu=2000, all_at_once=True)])
        assert await cell.wait_for("a", JobState.COMPLETED, 5)
        at = [start.at for start in cell.world.starts]
        assert len(at) == 6
        assert max(at) - min(at) < 0.1

    run_cell(program, queues=queues)


def test_capacity_is_reserved_for_all_at_once_steps():
    """Small steps of less urgent queues must not starve a step with large needs."""
    slow = Queue("slow", HOST, "/slow/", "service", 5, 2, 2.0, 1)

    async def program(cell):
        for number in range(60):
            await cell.submit(f"s{number}", [step(2, cpu=1500)], queue=1)
        await anyio.sleep(0.5)
        await cell.submit("big", [step(4, cpu=4000, all_at_once=True)])
        assert await cell.wait_for("big", JobState.COMPLETED, 5)

    run_cell(program, queues=[FAST, slow])


def test_failed_attempts_end_the_job():
    async def program(cell):
        cell.behaviours["a"] = Behaviour(0.2, fails=True)
        await cell.submit("a", [step()])
        assert await cell.wait_for("a", JobState.FAILED, 5)
        assert cell.world.failures["a.0.0.0"] == 2
        workers = {start.worker for start in cell.world.starts}
        assert len(workers) == 2

    run_cell(program)


def test_repeated_submissions_of_an_id_are_one_job():
    async def program(cell):
        for _ in range(3):
            assert (await cell.submit("a", [step()])).is_ok()
        assert await cell.wait_for("a", JobState.COMPLETED, 5)
        assert len(cell.world.starts) == 1

    run_cell(program)


def test_a_cancelled_job_stops_and_frees_its_resources():
    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        await cell.submit("a", [step(8, cpu=2000)])
        await anyio.sleep(0.5)
        await cell.members[0].instance.front.cancel("a")
        assert await cell.wait_for("a", JobState.CANCELLED, 1)
        await cell.submit("b", [step(8, cpu=2000)])
        assert await cell.wait_for("b", JobState.COMPLETED, 3)

    run_cell(program)


def test_waiting_jobs_are_counted_at_every_instance():
    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        await cell.submit("a", [step(16)])
        await cell.submit("b", [step(1)])
        await cell.submit("c", [step(1)])
        await anyio.sleep(0.5)
        for member in cell.members:
            count = await member.instance.front.count_waiting(cell.queues[0])
            assert count.ok_value == 2

    run_cell(program)


def test_counting_waiting_jobs_does_not_read_all_jobs():
    """All jobs of a busy cell would congest the link between regions for seconds."""

    async def program(cell):
        for number in range(8):
            await cell.submit(f"j{number}", [step(4)])
        cell.kill(cell.owner())
        for member in cell.members:
            before = member.store.calls[CallKind.READ]
            asked_at = anyio.current_time()
            count = await member.instance.front.count_waiting(cell.queues[0])
            assert count.err_value.retry_after_s
            assert member.store.calls[CallKind.READ] == before
            assert anyio.current_time() - asked_at < 0.6
        await cell.wait_for_owner()
        await anyio.sleep(0.5)
        for member in cell.members:
            assert (await member.instance.front.count_waiting(cell.queues[0])).is_ok()

    run_cell(program)


def test_ended_jobs_are_removed_from_the_store_after_their_retention():
    async def program(cell):
        for number in range(40):
            await cell.submit(f"j{number}", [step(1)])
        for number in range(40):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 30)
        await anyio.sleep(100)
        assert await cell.state_of("j0") is JobState.COMPLETED
        await anyio.sleep(100)
        assert await cell.state_of("j0") is None
        prefixes = ("/j/", "/l/", "/e/")
        kept = [key for key in cell.state.keys if any(p in key for p in prefixes)]
        assert kept == []
        assert len([key for key in cell.state.keys if "/r/" in key]) <= 2

    run_cell(program)
