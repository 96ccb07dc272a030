"""What an owner that is cut off has read before tells it nothing about later."""

from __future__ import annotations

import anyio
import msgspec
import pytest
from msgspec.structs import replace

from lacewinghold.ids import Incarnation
from lacewinghold.scheduler.fleet import WORKER_LEASE_S
from lacewinghold.scheduler.job_store import OWNER_KEY
from lacewinghold.scheduler.owner import STORE_OUTAGE_GRACE_S
from lacewinghold.testing.step_cell import WORKERS_PREFIX
from tests.test_scheduler.support import run_cell
from tests.test_scheduler.test_divided_cell import (
    TASKS,
    divide,
    move_across_the_cut,
    outlast_the_hold_and_heal,
    replace_owner_that_reaches_all,
    start_job,
)

RUN_S = 2.5
NEXT_INCARNATION = Incarnation(2)


async def confirm(member):
    """Has an owner learn from the store that it is the owner until now."""
    owner = member.instance.owner
    await owner.confirmations.wait_until_confirmed(anyio.current_time())


async def wait_for_ends_beyond_the_cut(cell, first):
    """Waits until the next owner has acknowledged the ends of all tasks."""
    while cell.owner() in (None, first) or len(cell.world.done) < TASKS:
        await anyio.sleep(0.01)
    await anyio.sleep(0.2)


async def restart_beyond_the_cut(cell, first, idle):
    """Restarts the workers beyond the cut, which only the earlier owner reaches."""
    for worker in cell.world.workers.keys() - idle:
        move_across_the_cut(cell, first, worker)
        await cell.restart_worker(cell.world.workers[worker])


@pytest.mark.parametrize("seconds", [3.0, 30.0])
def test_a_confirmation_before_the_lease_has_ended_releases_no_run(seconds):
    async def program(cell):
        idle = await start_job(cell, seconds)
        await confirm(cell.owner())
        divide(cell, cell.owner(), idle)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


def test_a_late_answer_of_the_store_confirms_no_time_after_its_question(monkeypatch):
    """The store has answered before the cut; the answer arrives after the leases."""

    async def program(cell):
        idle = await start_job(cell, 3.0)
        first = cell.owner()
        hold_answers_about_the_owner(monkeypatch, first, WORKER_LEASE_S + 0.5)
        confirmations = first.instance.owner.confirmations
        asked_at = anyio.current_time()
        assert not confirmations.is_confirmed(asked_at)
        await anyio.sleep(0.1)
        divide(cell, first, idle)
        await anyio.sleep(WORKER_LEASE_S + 1.0)
        assert confirmations.confirmed_at == asked_at
        monkeypatch.undo()
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


def hold_answers_about_the_owner(monkeypatch, member, seconds):
    """Has a member receive the store's answers about the owner late."""
    read = member.store.range

    async def read_late(key, *args, **kwargs):
        reply = await read(key, *args, **kwargs)
        if key.endswith(OWNER_KEY):
            await anyio.sleep(seconds)
        return reply

    monkeypatch.setattr(member.store, "range", read_late)


def test_a_failed_read_confirms_nothing():
    async def program(cell):
        idle = await start_job(cell, 3.0)
        first = cell.owner()
        divide(cell, first, idle)
        # Its calls to the store fail at once instead of waiting for the cut to end.
        first.store.reachable = False
        first.store_gate.open()
        await anyio.sleep(WORKER_LEASE_S + STORE_OUTAGE_GRACE_S)
        first.store.reachable = True
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


def test_nothing_starts_on_a_restarted_worker_before_the_confirmation():
    async def program(cell):
        owner = cell.owner()
        fleet = owner.instance.owner.fleet
        worker = next(iter(cell.world.workers.values()))
        node = fleet.nodes[worker.id]
        assert node.usable(anyio.current_time())
        owner.store_gate.close()
        await cell.restart_worker(worker)
        while not node.replaced:
            await anyio.sleep(0.01)
        await anyio.sleep(0.2)
        assert fleet.nodes[worker.id] is node
        assert not node.usable(anyio.current_time())
        owner.store_gate.open()
        while fleet.nodes[worker.id] is node:
            await anyio.sleep(0.01)
        while not fleet.nodes[worker.id].usable(anyio.current_time()):
            await anyio.sleep(0.01)

    run_cell(program, limit_s=30)


def test_a_confirmation_before_a_restart_releases_no_run():
    async def program(cell):
        idle = await start_job(cell, RUN_S)
        first = cell.owner()
        await confirm(first)
        divide(cell, first, idle)
        await wait_for_ends_beyond_the_cut(cell, first)
        await restart_beyond_the_cut(cell, first, idle)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


@pytest.mark.parametrize("confirmed_before", [False, True])
def test_an_entry_that_precedes_the_restart_releases_no_run(confirmed_before):
    """The owner asks the incarnation that an entry names, again and again."""

    async def program(cell):
        idle = await start_job(cell, RUN_S)
        first = cell.owner()
        busy = cell.world.workers.keys() - idle
        for worker in busy:
            entry = cell.world.workers[worker].entry
            entry = replace(entry, incarnation=NEXT_INCARNATION)
            await cell.put(WORKERS_PREFIX + worker, msgspec.json.encode(entry))
        nodes = first.instance.owner.fleet.nodes
        while not all(nodes[worker].other_entry for worker in busy):
            await anyio.sleep(0.01)
        if confirmed_before:
            await confirm(first)
        divide(cell, first, idle)
        await wait_for_ends_beyond_the_cut(cell, first)
        for worker in busy:
            # As if the earlier incarnation had had an address that nobody has now.
            first.instance.owner.fleet.drivers[worker].cancel_scope.cancel()
        await restart_beyond_the_cut(cell, first, idle)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


@pytest.mark.parametrize("seconds", [3.0, 30.0])
def test_a_confirmation_before_the_leases_have_ended_ends_no_recovery(seconds):
    async def program(cell):
        idle = await start_job(cell, seconds)
        second = await replace_owner_that_reaches_all(cell, idle)
        await confirm(second)
        for member in cell.members:
            member.dialer.unreachable.clear()
        divide(cell, second, idle)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)
