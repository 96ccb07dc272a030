"""Admission control: only jobs that cannot start in time are refused."""

from __future__ import annotations

import anyio
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.scheduler.admission import BACKLOG_VALID_S
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import Queue
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.util.lag import LagPeriod
from tests.test_scheduler.support import run_cell, step

QUEUES = [
    Queue("urgent", "jobs.example", "/urgent/", "service", 0, 2, 2.0, 4),
    Queue("usual", "jobs.example", "/usual/", "service", 1, 2, 2.0, 4),
    Queue("other", "jobs.example", "/other/", "other service", 1, 2, 2.0, 4),
]
USUAL = 1
BURST = 6  # Jobs a second, each of which fills the cell for a second.


async def overload(cell, seconds, replies):
    """Submits more jobs than the cell can run, to all instances in turn."""
    for second in range(seconds):
        for number in range(BURST):
            job = f"o{second}-{number}"
            replies[job] = await cell.submit(job, [step(16)], USUAL)
        await anyio.sleep(1)


def refused(replies):
    """Returns the refusals among the replies."""
    return {job: reply for job, reply in replies.items() if isinstance(reply, Err)}


@pytest.mark.parametrize("seed", range(3))
def test_a_job_that_would_start_too_late_is_refused_and_not_stored(seed):
    async def program(cell):
        replies = {}
        await overload(cell, 15, replies)
        refusals = refused(replies)
        # A backlog must last some seconds before jobs are refused.
        assert not {job for job in refusals if int(job[1:].split("-")[0]) < 3}
        assert 10 < len(refusals) < 80
        for reply in refusals.values():
            assert reply.err_value.kind is ErrorKind.NOT_RUN
            assert reply.err_value.retry_after_s >= 1
        await anyio.sleep(10)
        for job in refusals:
            stored = await cell.members[0].instance.jobs.read(job)
            assert stored.ok_value.record is None
        assert not {start.task.split(".")[0] for start in cell.world.starts} & set(
            refusals
        )

    run_cell(program, seed=seed, queues=QUEUES)


def test_urgent_and_known_jobs_are_accepted_despite_a_long_backlog():
    async def program(cell):
        replies = {}
        await overload(cell, 10, replies)
        assert refused(replies)
        assert isinstance(await cell.submit("u", [step()], 0), Ok)
        record = cell.jobs["o0-0"]
        for member in cell.members:
            assert isinstance(await member.instance.front.submit(record), Ok)
        assert await cell.wait_for("u", JobState.COMPLETED, 5)

    run_cell(program, queues=QUEUES)


def test_long_running_and_timed_jobs_are_accepted_despite_a_long_backlog():
    async def program(cell):
        await overload(cell, 10, {})
        lasting = [step(1, cpu=100, long_running=True)]
        assert isinstance(await cell.submit("l", lasting, USUAL), Ok)
        timed = cell.make_job("t", [step()], USUAL)
        timed.occurrences = 1
        timed.first_due_ms = (cell.clock.now() + 60) * 1000
        assert isinstance(await cell.members[0].instance.front.submit(timed), Ok)

    run_cell(program, queues=QUEUES)


def test_jobs_are_accepted_again_after_the_retry_time_of_a_refusal():
    async def program(cell):
        replies = {}
        await overload(cell, 10, replies)
        last = list(refused(replies).values())[-1].err_value
        await anyio.sleep(last.retry_after_s + 1)
        assert isinstance(await cell.submit("again", [step(16)], USUAL), Ok)
        assert await cell.wait_for("again", JobState.COMPLETED, 20)

    run_cell(program, queues=QUEUES)


def test_no_job_is_refused_while_the_cell_has_room():
    """The waiting steps require a label that no worker has."""

    async def program(cell):
        for number in range(60):
            stuck = [step(16, required_label="none")]
            assert isinstance(await cell.submit(f"s{number}", stuck, USUAL), Ok)
        for number in range(20):
            reply = await cell.submit(f"j{number}", [step()], USUAL)
            assert isinstance(reply, Ok)
            await anyio.sleep(0.5)

    run_cell(program, queues=QUEUES)


def test_no_job_is_refused_in_a_full_cell_without_backlog():
    async def program(cell):
        for number in range(30):
            cell.behaviours[f"j{number}"] = Behaviour(1.0)
            reply = await cell.submit(f"j{number}", [step(16)], USUAL)
            assert isinstance(reply, Ok)
            await anyio.sleep(1.05)

    run_cell(program, queues=QUEUES)


def test_the_backlog_of_a_former_owner_refuses_no_job():
    async def program(cell):
        owner = cell.owner()
        other = next(member for member in cell.members if member is not owner)
        record = cell.make_job("j", [step()], USUAL)
        admission = other.instance.admission
        admission.update_backlog(owner.instance.owner.ownership.term, {"usual": 60.0})
        assert admission.excess_wait_s(record) > 30
        await anyio.sleep(BACKLOG_VALID_S + 0.1)
        assert admission.excess_wait_s(record) == 0
        admission.update_backlog(owner.instance.owner.ownership.term, {"usual": 60.0})
        owner.instance.owner.ownership.lost.set()
        await owner.instance.election.release(owner.instance.owner.ownership)
        await anyio.sleep(0.5)
        assert other.instance.election.owner is not None
        assert admission.excess_wait_s(record) == 0

    run_cell(program, queues=QUEUES)


@pytest.mark.parametrize("late", [False, True])
def test_a_lagging_owner_that_starts_nothing_refuses_jobs(late):
    async def be_late(cell):
        while True:
            now = anyio.current_time()
            for member in cell.members:
                member.instance.lag.record_period(LagPeriod(now - 0.5, now))
            await anyio.sleep(0.25)

    async def program(cell):
        async with anyio.create_task_group() as tasks:
            if late:
                tasks.start_soon(be_late, cell)
            replies = {}
            for number in range(100):
                stuck = [step(required_label="none")]
                replies[number] = await cell.submit(f"s{number}", stuck, USUAL)
                await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()
        assert bool(refused(replies)) is late

    run_cell(program, queues=QUEUES)


def test_no_backlog_notice_is_sent_while_jobs_start_in_time():
    async def program(cell):
        sent = []
        for member in cell.members:
            member.instance.peer_calls.broadcast_waits = lambda *told: sent.append(told)
        for number in range(20):
            await cell.submit(f"j{number}", [step(4)], USUAL)
            await anyio.sleep(0.5)
        assert sent == []

    run_cell(program, queues=QUEUES)
