"""Submissions during store outages, partitions and lost store answers."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.errors import ErrorKind
from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.testing.store import Outage, StoreFault
from tests.test_scheduler.support import run_cell, step


def other_member(cell):
    """Returns a member that is not the owner."""
    owner = cell.owner()
    return next(member for member in cell.members if member is not owner)


def test_an_instance_without_the_store_submits_through_the_owner():
    async def program(cell):
        member = other_member(cell)
        member.store.reachable = False
        # Its membership lease expires meanwhile.
        for number in range(4):
            await anyio.sleep(3)
            record = cell.make_job(f"j{number}", [step()])
            assert (await member.instance.front.submit(record)).is_ok()
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 5)

    run_cell(program)


@pytest.mark.parametrize("seed", range(4))
def test_an_owner_without_the_store_submits_through_the_next_owner(seed):
    """It cannot read the ownership record; the next owner has told it to stop."""

    async def program(cell):
        earlier = cell.owner()
        earlier.store.reachable = False
        while cell.owner() in (None, earlier):
            await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        for number in range(4):
            record = cell.make_job(f"j{number}", [step()])
            assert (await earlier.instance.front.submit(record)).is_ok()
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 5)
        assert (await earlier.instance.front.cancel("j0")).is_ok()
        assert (await earlier.instance.front.state("j3")).is_ok()

    run_cell(program, seed=seed)


def test_submissions_fail_fast_while_the_store_is_down():
    async def program(cell):
        cell.state.outage = Outage.DOWN
        await anyio.sleep(3)
        asked = anyio.current_time()
        result = await cell.submit("a", [step()])
        assert result.err_value.kind is ErrorKind.NOT_RUN
        assert result.err_value.retry_after_s
        assert anyio.current_time() - asked < 0.5
        cell.state.outage = Outage.NONE
        await anyio.sleep(10)
        assert not cell.world.starts

    run_cell(program)


@pytest.mark.parametrize("fault", [StoreFault.REPLY_LOST, StoreFault.DELAYED])
def test_a_write_without_an_answer_is_retried(fault):
    async def program(cell):
        member = other_member(cell)
        member.store.faults = [fault]
        record = cell.make_job("a", [step()])
        assert (await member.instance.front.submit(record)).is_ok()
        assert await cell.wait_for("a", JobState.COMPLETED, 8)
        assert len(cell.world.starts) == 1

    run_cell(program)


def test_a_write_that_may_still_take_effect_is_not_reported_as_not_run():
    async def program(cell):
        member = other_member(cell)
        member.store.faults = [StoreFault.DELAYED]
        record = cell.make_job("a", [step()])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cut_soon, member)
            result = await member.instance.front.submit(record)
        assert result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN

    async def cut_soon(member):
        await anyio.sleep(0.5)
        member.store.reachable = False

    run_cell(program)


def test_submissions_fail_fast_at_the_onset_of_a_silent_outage():
    """Only calls in flight when the store stops answering end as unknown."""

    async def program(cell):
        for member in cell.members:
            member.store_gate.close()
        await anyio.sleep(1.2)
        asked = anyio.current_time()
        for number, member in enumerate(cell.members):
            record = cell.make_job(f"j{number}", [step()])
            result = await member.instance.front.submit(record)
            assert result.err_value.kind is ErrorKind.NOT_RUN
        assert anyio.current_time() - asked < 0.1
        for member in cell.members:
            member.store_gate.open()

    run_cell(program)


def test_a_repeated_submission_of_an_accepted_job_is_not_refused():
    """A refusal would mean that the job does not run, although it does."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(10)
        await cell.submit("a", [step()])
        await anyio.sleep(0.5)
        cell.state.outage = Outage.DOWN
        await anyio.sleep(3)
        for member in cell.members:
            result = await member.instance.front.submit(cell.jobs["a"])
            assert result.is_ok(), result.err_value
        cell.state.outage = Outage.NONE

    run_cell(program)


@pytest.mark.parametrize("reachable", [True, False])
def test_a_submission_whose_deadline_passes_unsent_is_reported_as_not_run(reachable):
    async def program(cell):
        member = other_member(cell)
        member.store.reachable = reachable
        await anyio.sleep(3)
        record = cell.make_job("a", [step()])
        result = await member.instance.front.submit(record, deadline_s=0.2)
        assert result.err_value.kind is ErrorKind.NOT_RUN
        assert result.err_value.retry_after_s
        await anyio.sleep(2)
        assert not cell.world.starts

    run_cell(program)
