"""Whose jobs are refused when the owner's jobs take too much memory."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.errors import ErrorKind
from lacewinghold.scheduler.ended_jobs import EndedJob
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.state_account import StateAccount, job_bytes
from lacewinghold.schema.generated.cell import CellJob, QueueRules
from tests.test_scheduler.support import run_cell, step

RULES = QueueRules(service="s", urgency=0, max_attempts=2, stretch=2.0, slack_s=1.0)


def make_record(queue="q", organisation="", steps=1):
    record = CellJob("j", queue, "work", [step()] * steps, 0.0, RULES)
    record.organisation = organisation
    return record


def fill(account, record):
    while account.total < account.limit:
        account.add_job(record)


def test_the_group_that_fills_the_memory_is_refused():
    """Guards against a refusal that falls on other organisations or queues."""
    account = StateAccount()
    account.add_job(make_record(organisation="small"))
    fill(account, make_record(organisation="large"))
    assert list(account.update(1.0)) == ["large"]
    assert not account.is_full("small")
    assert not account.is_full("new")


def test_large_jobs_leave_room_for_small_ones():
    account = StateAccount()
    large = make_record(steps=4000)
    while not account.is_full("q", job_bytes(large)):
        account.add_job(large)
    assert not account.is_full("q", job_bytes(make_record()))


def test_outcomes_of_an_earlier_owner_count_for_no_group():
    account = StateAccount()
    account.add_job(make_record())
    ended = EndedJob(JobState.COMPLETED, 0.0)
    while account.total < account.limit:
        account.add_ended(ended)
    assert list(account.update(1.0)) == ["q"]


def test_the_smallest_machine_decides():
    account = StateAccount()
    account.set_limit([0.0, 1000.0])
    unknown = account.limit
    account.set_limit([0.0, 40.0, 1000.0])
    assert account.limit == unknown // 4


def test_the_wait_follows_from_what_is_freed():
    account = StateAccount()
    record = make_record()
    fill(account, record)
    assert account.wait_s() == 10.0
    for _ in range(30):
        for _ in range(10):
            account.add_job(record)
            account.remove_job(record)
        account.update(1.0)
    assert account.wait_s() < 2.0


@pytest.mark.parametrize("at_owner", [True, False])
def test_a_refused_job_is_not_stored_and_the_same_one_is_accepted_later(at_owner):
    """Guards against refusals after the acceptance, and of what is stored already."""

    async def program(cell):
        owner = cell.owner()
        member = next(found for found in cell.members if found is not owner)
        asked = owner if at_owner else member
        accepted = cell.make_job("a", [step()])
        assert (await asked.instance.front.submit(accepted)).is_ok()
        account = owner.instance.owner.state_account
        account.add(accepted.queue, 10 * account.limit)
        await anyio.sleep(2.0)
        record = cell.make_job("b", [step()])
        refused = (await asked.instance.front.submit(record)).err_value
        assert refused.kind is ErrorKind.NOT_RUN
        assert 1.0 <= refused.retry_after_s <= 10.0
        stored = await asked.instance.jobs.read("b")
        assert not stored.ok_value.exists()
        assert (await asked.instance.front.submit(accepted)).is_ok()
        account.add(accepted.queue, -10 * account.limit)
        await anyio.sleep(4.0)
        assert (await asked.instance.front.submit(record)).is_ok()

    run_cell(program)


def test_the_account_is_empty_once_all_jobs_are_forgotten():
    """Guards against drift of the account, with steps that are built and dropped."""

    async def program(cell):
        account = cell.owner().instance.owner.state_account
        before = account.total
        record = cell.make_job("timed", [step(2), step(after=[0])])
        record.occurrences, record.interval_ms = 5, 500
        record.first_due_ms = 1000 * cell.owner().instance.ports.clock.now()
        assert (await cell.owner().instance.front.submit(record)).is_ok()
        assert account.total > before
        assert await cell.wait_for("timed", JobState.COMPLETED, 60.0)
        table = cell.owner().instance.owner.table
        assert table.jobs["timed"].steps == []
        await anyio.sleep(400.0)
        assert "timed" not in table.jobs
        assert account.total == before

    run_cell(program)
