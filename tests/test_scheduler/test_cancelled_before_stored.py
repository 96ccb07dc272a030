"""Cancellations of jobs whose write is still under way: acknowledged, they last."""

from __future__ import annotations

import anyio
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.scheduler.cell import RETENTION_MARGIN_S
from lacewinghold.scheduler.job_store import ENDED_PREFIX, TOMBSTONES_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.tombstones import BUDGET_BURST, BUDGET_PER_S
from lacewinghold.schema.generated.cell import JobOutcome
from lacewinghold.store.base import Put, Transaction
from lacewinghold.testing.store import CALL_TIMEOUT_S, LateWrite, Outage
from lacewinghold.util.codec import to_json
from tests.test_scheduler.support import run_cell, step

JOB = "a"
DEADLINE_S = 1.0
RETENTION_S = 120 + RETENTION_MARGIN_S
RECORD = (f"/{JOB}/a",)
CANCELLATION = (f"/{JOB}/c", f"e/{JOB}")
LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost")


def key(cell, prefix, job=JOB):
    """Returns a key of a job."""
    return f"{cell.members[0].instance.jobs.prefix}{prefix}{job}"


def keys_of(cell, prefix):
    """Returns the stored keys under a prefix of the program."""
    return {
        found for found in cell.state.keys if found.startswith(key(cell, prefix, ""))
    }


def delay_writes(member, late_s, writes=1000, suffixes=RECORD):
    """Makes some of a member's writes unanswered, and carries them out late.

    :param late_s: How late a write is carried out; ``None`` answers are lost only.
    :param writes: How many writes are affected.
    :param suffixes: What a key of such a write ends with.
    """
    commit = member.store.commit
    left = [writes]

    async def late_commit(transaction):
        named = any(op.key.endswith(suffixes) for op in transaction.operations)
        if not named or not left[0]:
            return await commit(transaction)
        left[0] -= 1
        if late_s is None:
            await commit(transaction)
        else:
            due = anyio.current_time() + late_s
            late = LateWrite(due, lambda: member.store.apply(transaction))
            member.store.state.late_writes.append(late)
        await anyio.sleep(CALL_TIMEOUT_S)
        return Err(LOST)

    member.store.commit = late_commit


async def submit(cell, member, job=JOB, deadline_s=DEADLINE_S):
    """Submits the job at a member."""
    record = cell.make_job(job, [step(2, cpu=500)])
    return await member.instance.front.submit(record, deadline_s)


def kind_of(reply):
    """Returns the kind of a reply's failure, ``None`` if there is none."""
    return reply.err_value.kind if isinstance(reply, Err) else None


def assert_refused_for_good(reply):
    """Asserts that a reply says that there is no such job."""
    assert kind_of(reply) is ErrorKind.NOT_FOUND
    assert reply.err_value.field == "job"


async def assert_never_starts(cell, seconds=9.0):
    """Asserts that the job neither starts nor is shown."""
    await anyio.sleep(seconds)
    assert cell.world.starts == []
    for member in cell.members:
        assert_refused_for_good(await member.instance.front.state(JOB))


@pytest.mark.parametrize("late_s", [1.5, 3.0, 6.0])
@pytest.mark.parametrize("by", [0, 1, 2])
def test_late_write_of_a_cancelled_job_takes_no_effect(late_s, by):
    """Guards against a job that starts after its cancellation (review/8)."""

    async def program(cell):
        delay_writes(cell.members[0], late_s)
        assert kind_of(await submit(cell, cell.members[0])) is ErrorKind.OUTCOME_UNKNOWN
        assert_refused_for_good(await cell.members[by].instance.front.cancel(JOB))
        await assert_never_starts(cell)

    run_cell(program)


def test_late_writes_of_several_instances_take_no_effect():
    """Guards against a tombstone that outlasts only the first late write."""

    async def program(cell):
        for number, member in enumerate(cell.members):
            delay_writes(member, 4.0 + number, writes=2)
            assert kind_of(await submit(cell, member)) is ErrorKind.OUTCOME_UNKNOWN
        assert_refused_for_good(await cell.members[1].instance.front.cancel(JOB))
        await assert_never_starts(cell)

    run_cell(program)


@pytest.mark.parametrize("after_s", [0.0, 2.0, 20.0])
def test_submission_that_arrives_again_is_refused(after_s):
    """Guards against a cancelled job that its own repetition brings back."""

    async def program(cell):
        assert_refused_for_good(await cell.members[0].instance.front.cancel(JOB))
        await anyio.sleep(after_s)
        for member in cell.members:
            assert_refused_for_good(await submit(cell, member))
        await assert_never_starts(cell)

    run_cell(program)


def test_submission_under_way_hears_that_its_job_was_cancelled():
    """Guards against an acceptance that answers a job which will never run."""

    async def program(cell):
        replies = []

        async def submit_slowly():
            replies.append(await submit(cell, cell.members[0], deadline_s=3.0))

        delay_writes(cell.members[0], 6.0, writes=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit_slowly)
            await anyio.sleep(0.3)
            assert_refused_for_good(await cell.members[1].instance.front.cancel(JOB))
        assert_refused_for_good(replies[0])
        await assert_never_starts(cell)

    run_cell(program)


@pytest.mark.parametrize("late_s", [None, 0.5])
def test_cancellation_whose_answer_is_lost_holds(late_s):
    """Guards against a cancellation that is acknowledged without being stored."""

    async def program(cell):
        delay_writes(cell.members[0], 6.0)
        assert kind_of(await submit(cell, cell.members[0])) is ErrorKind.OUTCOME_UNKNOWN
        delay_writes(cell.members[1], late_s, 1, CANCELLATION)
        assert_refused_for_good(await cell.members[1].instance.front.cancel(JOB))
        await assert_never_starts(cell)

    run_cell(program)


def test_cancellation_without_any_answer_is_not_acknowledged():
    """Guards against a 410 from a guess."""

    async def program(cell):
        delay_writes(cell.members[1], 6.0, suffixes=CANCELLATION)
        reply = await cell.members[1].instance.front.cancel(JOB)
        assert kind_of(reply) is ErrorKind.STORE_UNAVAILABLE
        assert reply.err_value.retry_after_s is not None

    run_cell(program)


@pytest.mark.parametrize("outage", [Outage.DOWN, Outage.ERRORS])
def test_cancellation_without_the_store_is_not_acknowledged(outage):
    """Guards against a 410 while nobody can tell."""

    async def program(cell):
        cell.state.outage = outage
        for member in cell.members:
            reply = await member.instance.front.cancel(JOB)
            assert kind_of(reply) is ErrorKind.STORE_UNAVAILABLE
        cell.state.outage = Outage.NONE
        assert keys_of(cell, TOMBSTONES_PREFIX) == set()

    run_cell(program)


@pytest.mark.parametrize("everybody", [False, True])
def test_cancellation_outlasts_the_instances(everybody):
    """Guards against a tombstone in the memory of an instance."""

    async def program(cell):
        delay_writes(cell.members[0], 6.0)
        assert kind_of(await submit(cell, cell.members[0])) is ErrorKind.OUTCOME_UNKNOWN
        assert_refused_for_good(await cell.members[1].instance.front.cancel(JOB))
        gone = list(cell.members) if everybody else [await cell.wait_for_owner()]
        for member in gone:
            cell.kill(member)
            cell.add_member()
        owner = await cell.wait_for_owner()
        await assert_never_starts(cell)
        assert not owner.instance.owner.ended.has_ended(JOB)
        assert_refused_for_good(await submit(cell, owner))

    run_cell(program)


def test_job_that_is_stored_beside_its_cancellation_is_cancelled():
    """Guards against a cancellation that read the store just before the write."""

    async def program(cell):
        member = cell.members[0]
        put_tombstone = member.instance.jobs.put_tombstone

        async def put_after_submission(job, at):
            assert (await submit(cell, cell.members[1])).is_ok()
            return await put_tombstone(job, at)

        member.instance.jobs.put_tombstone = put_after_submission
        assert (await member.instance.front.cancel(JOB)) == Ok(None)
        assert await cell.state_of(JOB) is JobState.CANCELLED
        assert keys_of(cell, TOMBSTONES_PREFIX) == set()

    run_cell(program)


def test_cancellation_of_an_accepted_job_whose_answer_is_lost_is_acknowledged():
    """Guards against a 503 for a cancellation that is stored."""

    async def program(cell):
        assert (await submit(cell, cell.members[0])).is_ok()
        delay_writes(cell.members[1], None, 1, CANCELLATION)
        assert (await cell.members[1].instance.front.cancel(JOB)) == Ok(None)
        assert await cell.wait_for(JOB, JobState.CANCELLED, 2)

    run_cell(program)


def test_instance_without_the_store_learns_the_answer_from_the_owner():
    """Guards against a 503 where the owner has stored the cancellation."""

    async def program(cell):
        owner = await cell.wait_for_owner()
        member = next(member for member in cell.members if member is not owner)
        member.store.reachable = False
        await anyio.sleep(3)
        assert_refused_for_good(await member.instance.front.cancel(JOB))
        assert_refused_for_good(await submit(cell, member))
        assert keys_of(cell, TOMBSTONES_PREFIX) == {key(cell, TOMBSTONES_PREFIX)}

    run_cell(program)


def test_repeated_submission_that_the_store_does_not_explain_may_be_stored():
    """Guards against "not accepted" for a job that an earlier attempt has stored."""

    async def program(cell):
        assert (await submit(cell, cell.members[0])).is_ok()
        owner = await cell.wait_for_owner()
        member = next(member for member in cell.members if member is not owner)

        async def fail(job):
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "no answer"))

        member.instance.jobs.read = fail
        reply = await submit(cell, member)
        assert kind_of(reply) is ErrorKind.OUTCOME_UNKNOWN

    run_cell(program)


def test_cancellations_of_unknown_jobs_are_bounded():
    """Guards against a client that fills the store with ids of its own."""

    async def program(cell):
        front = cell.members[0].instance.front
        started = anyio.current_time()
        replies = [await front.cancel(f"unknown-{number}") for number in range(300)]
        elapsed_s = anyio.current_time() - started
        kinds = [kind_of(reply) for reply in replies]
        bound = BUDGET_BURST + elapsed_s * BUDGET_PER_S
        assert BUDGET_BURST <= kinds.count(ErrorKind.NOT_FOUND) <= bound
        assert set(kinds) == {ErrorKind.NOT_FOUND, ErrorKind.OVERLOADED}
        assert len(keys_of(cell, TOMBSTONES_PREFIX)) <= bound
        assert len(keys_of(cell, ENDED_PREFIX)) <= bound
        assert 0 < replies[-1].err_value.retry_after_s <= 1 / BUDGET_PER_S
        await anyio.sleep(1 / BUDGET_PER_S)
        assert_refused_for_good(await front.cancel("unknown-299"))
        assert (await submit(cell, cell.members[0])).is_ok()
        assert (await front.cancel(JOB)) == Ok(None)

    run_cell(program)


def test_tombstones_leave_the_store_after_the_retention():
    """Guards against tombstones that stay for good, or leave too early."""

    async def program(cell):
        await anyio.sleep(5)
        for number in range(25):
            reply = await cell.members[0].instance.front.cancel(f"unknown-{number}")
            assert_refused_for_good(reply)
        await anyio.sleep(RETENTION_S)
        assert len(keys_of(cell, TOMBSTONES_PREFIX)) == 25
        await anyio.sleep(RETENTION_S)
        assert keys_of(cell, TOMBSTONES_PREFIX) == set()
        assert keys_of(cell, ENDED_PREFIX) == set()
        assert (await submit(cell, cell.members[0], "unknown-3")).is_ok()
        assert await cell.wait_for("unknown-3", JobState.COMPLETED, 5)

    run_cell(program)


def test_sweep_leaves_an_outcome_that_took_the_place_of_a_tombstone():
    """Guards against an outcome that is removed before its time."""

    async def program(cell):
        outcome = to_json(JobOutcome(state="completed", at=cell.clock.now() + 400))
        entry = Put(key(cell, TOMBSTONES_PREFIX), b"{}")
        await cell.operator.commit(Transaction([], [entry]))
        await cell.operator.commit(
            Transaction([], [Put(key(cell, ENDED_PREFIX), outcome)])
        )
        assert_refused_for_good(await cell.members[0].instance.front.cancel("b"))
        await anyio.sleep(2 * RETENTION_S + 5)
        assert keys_of(cell, TOMBSTONES_PREFIX) == set()
        assert keys_of(cell, ENDED_PREFIX) == {key(cell, ENDED_PREFIX)}

    run_cell(program)
