"""Entries of other writers that the messages and records of the cell cannot carry."""

from __future__ import annotations

import pytest

from lacewinghold.scheduler.job_store import ROSTER_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.schema.generated.cell import EnrolledWorker, WorkerRoster
from lacewinghold.schema.generated.entry import PlatformStore
from lacewinghold.store.base import Put, Transaction
from lacewinghold.util.codec import MAX_INTEGER, to_json
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_containment import read

ABSURD_INCARNATIONS = [2**63, 2**64, 10**21, -2]


@pytest.mark.parametrize("born", [*ABSURD_INCARNATIONS, -1])
def test_an_entry_whose_start_no_message_carries_names_no_worker(born):
    """Guards against one entry that ends one owner after the other (review/3)."""
    assert read(born=MAX_INTEGER) is not None
    assert read(born=born) is None


async def enroll(cell, **changes):
    """Stores a roster of an earlier owner that names a worker of another writer."""
    fields = {
        "worker": "w0",
        "incarnation": 1,
        "service": "monitor",
        "address": "w0",
        "data_centre": "office",
    }
    roster = WorkerRoster(workers=[EnrolledWorker(**{**fields, **changes})])
    key = f"{PlatformStore(address='s').prefix}{ROSTER_PREFIX}00000000/00000001"
    await cell.operator.commit(Transaction([], [Put(key, to_json(roster))]))


@pytest.mark.parametrize("incarnation", ABSURD_INCARNATIONS)
def test_an_owner_outlives_a_stored_roster_with_a_worker_that_no_message_carries(
    incarnation,
):
    """Guards against a roster that ends each owner that loads it (review/3)."""

    async def prepare(cell):
        await enroll(cell, incarnation=incarnation)

    async def program(cell):
        owner = cell.owner()
        await cell.submit("a", [step(2)])
        assert await cell.wait_for("a", JobState.COMPLETED, 10)
        assert cell.owner() is owner

    run_cell(program, prepare=prepare, limit_s=30)
