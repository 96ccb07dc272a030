"""Owners that die, are cut off or are paused."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step


async def take_over(cell):
    """Kills the owner and waits for the next one."""
    cell.kill(cell.owner())
    await cell.wait_for_owner()


def test_accepted_work_survives_a_killed_owner():
    async def program(cell):
        for number in range(10):
            await cell.submit(f"j{number}", [step(2), step(2, after=[0])])
        await anyio.sleep(0.3)
        await take_over(cell)
        for number in range(10):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 15)

    run_cell(program)


def test_first_start_after_a_kill_comes_soon():
    async def program(cell):
        await cell.submit("a", [step()])
        cell.kill(cell.owner())
        killed = anyio.current_time()
        await cell.submit("b", [step()])
        assert await cell.wait_for("b", JobState.COMPLETED, 10)
        start = next(s for s in cell.world.starts if s.task.startswith("b"))
        # The lease of the stand-in store lasts whole seconds: two here.
        assert start.at - killed < 2.6

    run_cell(program)


def test_a_superfluous_run_counts_until_it_has_ended():
    """A new owner finds runs of a job that was cancelled meanwhile."""

    async def program(cell):
        cell.behaviours["old"] = Behaviour(30)
        await cell.submit("old", [step(16)])
        await anyio.sleep(0.3)
        other = next(m for m in cell.members if m is not cell.owner())
        cell.kill(cell.owner())
        await other.instance.front.cancel("old")
        await cell.submit("new", [step(16)])
        await cell.wait_for_owner()
        assert await cell.wait_for("new", JobState.COMPLETED, 10)
        assert await cell.wait_for("old", JobState.CANCELLED, 1)

    run_cell(program)


def test_a_cancellation_is_not_lost_with_the_owner():
    async def program(cell):
        cell.behaviours["full"] = Behaviour(4)
        await cell.submit("full", [step(16)])
        await cell.submit("a", [step()])
        await anyio.sleep(0.2)
        other = next(m for m in cell.members if m is not cell.owner())
        cell.kill(cell.owner())
        await other.instance.front.cancel("a")
        await cell.wait_for_owner()
        await anyio.sleep(10)
        assert not [s for s in cell.world.starts if s.task.startswith("a.")]

    run_cell(program)


def test_a_failure_is_counted_once_over_a_takeover():
    """An end that was stored and not acknowledged is listed again."""

    async def program(cell):
        cell.behaviours["a.0.0.0#1"] = Behaviour(0.2, fails=True)
        await cell.submit("a", [step()])
        while not cell.world.failures["a.0.0.0"]:
            await anyio.sleep(0.001)
        # The end is listed: let it be stored, and die before it is acknowledged.
        owner = cell.owner()
        log = owner.instance.owner.log
        writes = log.writes
        while log.writes == writes:
            await anyio.sleep(0.001)
        await anyio.sleep(0.0015)
        cell.kill(owner)
        await cell.wait_for_owner()
        assert await cell.wait_for("a", JobState.COMPLETED, 10)

    run_cell(program)


@pytest.mark.parametrize("seed", range(4))
def test_an_owner_cut_from_the_store_gives_way(seed):
    async def program(cell):
        for number in range(8):
            await cell.submit(f"j{number}", [step(2), step(2, after=[0])])
        await anyio.sleep(0.3)
        owner = cell.owner()
        owner.store.reachable = False
        await anyio.sleep(6)
        owner.store.reachable = True
        for number in range(8):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 15)

    run_cell(program, seed=seed)


@pytest.mark.parametrize("seed", range(4))
def test_a_paused_owner_starts_nothing_late(seed):
    async def program(cell):
        for number in range(8):
            await cell.submit(f"j{number}", [step(2), step(2, after=[0])])
        await anyio.sleep(0.3)
        owner = cell.owner()
        owner.gate.close()
        await anyio.sleep(5)
        owner.gate.open()
        for number in range(8):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 15)

    run_cell(program, seed=seed)


def test_runs_of_a_worker_that_falls_silent_at_the_takeover_are_waited_for():
    """The earlier owner's lease counts until it has lapsed by the worker's clock."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(3.5)
        await cell.submit("a", [step(4, cpu=4000)])
        await anyio.sleep(0.5)
        worker = cell.world.workers[cell.world.starts[0].worker]
        hush_after_first_look(worker, worker.fence)
        await take_over(cell)
        await anyio.sleep(8)
        assert await cell.wait_for("a", JobState.COMPLETED, 10)

    run_cell(program, workers=8)


def hush_after_first_look(worker, epoch):
    """Makes a worker silent once it has answered a look of a newer owner."""
    answer = worker.look

    async def look(order):
        report = await answer(order)
        if order.epoch > epoch:
            worker.tasks.start_soon(hush_soon, worker)
        return report

    worker.look = look


async def hush_soon(worker):
    """Makes a worker silent after its answer has left."""
    await anyio.sleep(0.0001)
    worker.silent = True
