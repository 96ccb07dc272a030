"""Owners on both sides of a cut, each of which reaches only some of the workers."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.fleet import WORKER_LEASE_S
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.owner import STORE_OUTAGE_GRACE_S
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_earlier_owners import cut_off

TASKS = 8
JOB_LIMIT_S = 60


def divide(cell, member, workers):
    """Cuts a member and some workers off from the store and from all others."""
    cut_off(cell, member)
    member.dialer.unreachable |= cell.world.workers.keys() - workers
    for other in cell.members:
        if other is not member:
            other.dialer.unreachable |= workers


def move_across_the_cut(cell, member, worker):
    """Has a worker reach only the member that is cut off."""
    for other in cell.members:
        other.dialer.unreachable.add(worker)
    member.dialer.unreachable.discard(worker)


def heal(cell):
    """Ends the cut."""
    cell.network.cut.clear()
    for member in cell.members:
        member.store_gate.open()
        member.dialer.unreachable.clear()


async def start_job(cell, seconds):
    """Starts a job that leaves some workers idle.

    :returns: The idle workers.
    """
    cell.behaviours["a"] = Behaviour(seconds)
    await cell.submit("a", [step(TASKS)])
    while len(cell.world.starts) < TASKS:
        await anyio.sleep(0.01)
    await anyio.sleep(0.2)
    idle = cell.world.workers.keys() - {start.worker for start in cell.world.starts}
    assert idle
    return idle


async def outlast_the_hold_and_heal(cell):
    """Ends the cut once the earlier owner may order nothing any more."""
    await anyio.sleep(WORKER_LEASE_S + STORE_OUTAGE_GRACE_S)
    heal(cell)
    assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)


async def replace_owner_that_reaches_all(cell, idle):
    """Shuts the owner down; all others reach only the idle workers.

    :returns: The next owner, which may start tasks on the idle workers.
    """
    first = cell.owner()
    for member in cell.members:
        if member is not first:
            member.dialer.unreachable |= cell.world.workers.keys() - idle
    await first.instance.shut_down()
    while cell.owner() in (None, first):
        await anyio.sleep(0.001)
    second = cell.owner()
    owner = second.instance.owner
    while not owner.predecessor_stopped.is_set():
        await anyio.sleep(0.001)
    nodes = owner.fleet.nodes
    while not all(nodes[worker].usable(anyio.current_time()) for worker in idle):
        await anyio.sleep(0.001)
    return second


@pytest.mark.parametrize("seconds", [3.0, 7.0, 30.0])
def test_an_owner_without_the_store_restarts_no_task_of_a_silent_worker(seconds):
    async def program(cell):
        idle = await start_job(cell, seconds)
        divide(cell, cell.owner(), idle)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


def test_an_owner_without_the_store_restarts_no_task_of_a_restarted_worker():
    async def program(cell):
        idle = await start_job(cell, 2.5)
        first = cell.owner()
        divide(cell, first, idle)
        while cell.owner() in (None, first) or len(cell.world.done) < TASKS:
            await anyio.sleep(0.01)
        await anyio.sleep(0.2)
        for worker in cell.world.workers.keys() - idle:
            move_across_the_cut(cell, first, worker)
            await cell.restart_worker(cell.world.workers[worker])
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)


@pytest.mark.parametrize("seconds", [3.0, 5.0, 30.0])
def test_an_owner_that_recovers_without_the_store_restarts_no_task(seconds):
    async def program(cell):
        idle = await start_job(cell, seconds)
        second = await replace_owner_that_reaches_all(cell, idle)
        for member in cell.members:
            member.dialer.unreachable.clear()
        divide(cell, second, idle)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, limit_s=120)
