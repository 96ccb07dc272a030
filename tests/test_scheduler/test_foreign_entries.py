"""Entries of other writers that the messages and records of the cell cannot carry."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.ids import Epoch
from lacewinghold.platform.workers import read_worker
from lacewinghold.scheduler.job_store import ROSTER_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import OrderOutcome
from lacewinghold.schema.generated.cell import EnrolledWorker, WorkerRoster
from lacewinghold.schema.generated.entry import PlatformStore
from lacewinghold.schema.generated.messages import RelayedOutcome, RelayedStop
from lacewinghold.store.base import Put, Transaction
from lacewinghold.util.codec import MAX_INTEGER, to_json
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_containment import ENTRY, assert_cell_works, read
from tests.test_scheduler.test_relay_faults import other_member

UNUSABLE_IDS = ["", "i 1", "i-\u00fc", "\u5de5", "i-1\r\nHost: x", "i-1\x00"]
ABSURD_INCARNATIONS = [2**63, 2**64, 10**21, -2]


@pytest.mark.parametrize("born", [*ABSURD_INCARNATIONS, -1])
def test_an_entry_whose_start_no_message_carries_names_no_worker(born):
    """Guards against one entry that ends one owner after the other (review/3)."""
    assert read(born=MAX_INTEGER) is not None
    assert read(born=born) is None


@pytest.mark.parametrize("field", ["service", "zone"])
def test_an_entry_with_a_text_that_would_fill_the_roster_names_no_worker(field):
    """Guards against a roster that the store refuses, and all writes behind it."""
    assert read(**{field: "x" * 200}) is not None
    assert read(**{field: "x" * 201}) is None


@pytest.mark.parametrize("worker", UNUSABLE_IDS)
def test_an_entry_under_an_id_that_no_header_carries_names_no_worker(worker):
    """Guards against members that count as silent for an error of their own."""
    value = msgspec.json.encode(ENTRY)
    assert read_worker("servers/i-1", value) is not None
    assert read_worker(f"servers/{worker}", value) is None


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


@pytest.mark.parametrize("worker", UNUSABLE_IDS)
def test_no_member_is_asked_to_poll_a_stored_worker_whose_id_no_header_carries(worker):
    """Guards against members that count as silent for an error of their own."""

    async def prepare(cell):
        await enroll(cell, worker=worker)

    async def program(cell):
        assert set(cell.owner().instance.owner.fleet.nodes) == set(cell.world.workers)
        await assert_cell_works(cell)

    run_cell(program, prepare=prepare, limit_s=30)


def relayed_stop(worker, number, run):
    """Returns an order for a member to relay."""
    return RelayedStop(
        number,
        worker.id,
        worker.incarnation,
        worker.entry.address,
        1.0,
        Epoch(1),
        "x.0.0.0",
        run,
    )


def test_an_order_that_cannot_be_encoded_ends_neither_the_owner_nor_other_orders():
    """Guards against one order that ends the owner's loop for all orders (review/3)."""

    async def program(cell):
        owner = cell.owner()
        relays = owner.instance.relays
        member = next(m for m in relays.members.values() if m.answering)
        worker = next(iter(cell.world.workers.values()))
        settled = {}

        async def send(run):
            order = relayed_stop(worker, next(relays.order_numbers), run)
            order.epoch = owner.instance.owner.epoch
            pending = await relays.call(member, order, 1.0)
            settled[run] = pending.reply

        async with anyio.create_task_group() as tasks:
            for run in (1, 2**64, 2):
                tasks.start_soon(send, run)
        assert settled[1].outcome is settled[2].outcome is OrderOutcome.DONE
        assert settled[2**64].outcome is OrderOutcome.NOT_SENT
        await assert_cell_works(cell)
        assert cell.owner() is owner

    run_cell(program, limit_s=40, unexpected_errors=2)


def test_replies_that_cannot_be_encoded_do_not_end_a_member():
    """Guards against a worker whose answer ends the instance that relays for it."""

    async def program(cell):
        owner = cell.owner()
        member = other_member(cell, owner)
        host = member.instance.relay_host
        replies = host.replies_for(owner.instance.instance)
        replies.outcomes.append(RelayedOutcome(2**64, "done", None))
        await assert_cell_works(cell)
        assert member in cell.members
        assert not member.scope.cancel_called
        assert host.task_group is not None

    run_cell(program, limit_s=40, unexpected_errors=1)
