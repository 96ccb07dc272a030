"""Takeovers from owners that die, lose the store or are paused."""

from __future__ import annotations

import math

import anyio
import msgspec
import pytest

from lacewinghold.ids import WorkerId
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import ServerState
from lacewinghold.schema.generated.cell import EndBatch, TaskEndEntry, WorkerRoster
from lacewinghold.store.base import Delete, Transaction
from lacewinghold.testing.step_cell import WORKERS_PREFIX
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.testing.store import StoreFault
from lacewinghold.util.codec import from_json, to_json
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
    """A new owner finds runs of a job that was cancelled during the takeover.

    They use resources until they have ended; ignoring them would overcommit workers.
    """

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
    """An end that was stored but not acknowledged is reported to the next owner."""

    async def program(cell):
        cell.behaviours["a.0.0.0#1"] = Behaviour(0.2, fails=True)
        await cell.submit("a", [step()])
        while not cell.world.failures["a.0.0.0"]:
            await anyio.sleep(0.001)
        # Kill the owner after it has stored the end and before it acknowledges it.
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
    """The worker's lease from the earlier owner holds until the worker's clock says
    that it has expired.
    """

    async def program(cell):
        cell.behaviours["a"] = Behaviour(3.5)
        await cell.submit("a", [step(4, cpu=4000)])
        await anyio.sleep(0.5)
        worker = cell.world.workers[cell.world.starts[0].worker]
        silence_after_first_poll(worker, worker.highest_epoch)
        await take_over(cell)
        await anyio.sleep(8)
        assert await cell.wait_for("a", JobState.COMPLETED, 10)

    run_cell(program, workers=8)


def silence_after_first_poll(worker, epoch):
    """Makes a worker silent once it has answered a poll of a newer owner."""
    answer = worker.poll

    async def poll(order):
        report = await answer(order)
        if order.epoch > epoch:
            worker.tasks.start_soon(silence_soon, worker)
        return report

    worker.poll = poll


async def silence_soon(worker):
    """Makes a worker silent after its reply was sent."""
    await anyio.sleep(0.0001)
    worker.silent = True


@pytest.mark.parametrize("seed", range(6))
def test_workers_are_looked_at_only_once_the_jobs_are_loaded(seed):
    """Worker entries that change during a takeover must not start polls too early.

    The owner would take reported runs for runs of unknown jobs.
    """

    async def rewrite_entries(cell):
        while True:
            for worker in list(cell.world.workers.values()):
                remaining_s = 1000 - anyio.current_time()
                entry = msgspec.structs.replace(worker.entry, remaining_s=remaining_s)
                key = WORKERS_PREFIX + str(worker.id)
                await cell.put(key, msgspec.json.encode(entry))
            await anyio.sleep(0.002)

    async def program(cell):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rewrite_entries, cell)
            for number in range(20):
                cell.behaviours[f"j{number}"] = Behaviour(3.0)
                await cell.submit(f"j{number}", [step(1)])
            await anyio.sleep(0.5)
            cell.state.latency_s = 0.05
            await take_over(cell)
            await anyio.sleep(3)
            cell.state.latency_s = 0.002
            tasks.cancel_scope.cancel()
        for number in range(20):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 20)

    run_cell(program, seed=seed, workers=6)


def test_attempts_that_are_used_up_end_the_job_at_the_next_owner():
    """The owner died after it had stored the ends and before it stored the outcome."""

    async def program(cell):
        cell.behaviours["full"] = Behaviour(6)
        await cell.submit("full", [step(16)])
        await cell.submit("a", [step()])
        await anyio.sleep(0.2)
        ends = [TaskEndEntry(task="a.0.0.0", run=run, done=False) for run in (1, 2)]
        await cell.put("lacewinghold/l/00000001/99999999", to_json(EndBatch(ends=ends)))
        await take_over(cell)
        assert await cell.wait_for("a", JobState.FAILED, 5)
        await anyio.sleep(8)
        assert not [s for s in cell.world.starts if s.task.startswith("a.")]

    run_cell(program)


def test_a_large_cell_is_taken_over_within_the_stores_limits():
    """Many workers and ends do not fit into one transaction of the store."""

    async def program(cell):
        for number in range(90):
            cell.behaviours[f"j{number}"] = Behaviour(2.0)
            await cell.submit(f"j{number}", [step(1)])
        await anyio.sleep(0.5)
        await take_over(cell)
        for number in range(90):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 6)

    run_cell(program, workers=40)


def test_a_worker_that_is_silent_during_a_takeover_is_waited_for():
    """Its runs go on until its lease has expired, and no owner can see them."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(3.5)
        await cell.submit("a", [step(1)])
        await anyio.sleep(0.5)
        cell.world.workers[cell.world.starts[0].worker].silent = True
        await take_over(cell)
        assert await cell.wait_for("a", JobState.COMPLETED, 30)

    run_cell(program)


def test_a_stop_that_is_wanted_while_an_owner_ends_does_not_end_the_process():
    """While an owner ends, some drivers have ended and others still stop runs."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        await cell.submit("a", [step(4)])
        await anyio.sleep(0.5)
        owner = cell.owner().instance.owner
        run = owner.table.jobs["a"].steps[0].active_runs()[0]
        driver = owner.fleet.drivers[run.worker]
        owner.ownership.lost.set()
        with anyio.move_on_after(1):
            while driver.task_group is not None:
                await anyio.sleep(0.001)
        owner.fleet.stop_run(run)
        await cell.wait_for_owner()

    run_cell(program)


async def kill_owner_of_a_full_cell(cell, tasks, cpu):
    """Kills the owner while job ``a`` waits for the end of another, 2.3 s later."""
    cell.behaviours["long"] = Behaviour(3)
    await cell.submit("long", [step(tasks, cpu=cpu)])
    await anyio.sleep(0.5)
    await cell.submit("a", [step(tasks, cpu=cpu)])
    await anyio.sleep(0.2)
    killed_at = anyio.current_time()
    cell.kill(cell.owner())
    return killed_at


@pytest.mark.parametrize("gone_s", [8, 2])
def test_a_worker_that_has_left_holds_no_takeover_up(gone_s):
    """The roster must not list it any more: a new owner would wait for its lease.

    It ran nothing when it left, so that its lease need not expire either.
    """

    async def program(cell):
        gone = cell.world.workers[WorkerId("w0")]
        gone.silent = True
        await cell.operator.commit(Transaction([], [Delete(WORKERS_PREFIX + "w0")]))
        await anyio.sleep(gone_s)
        killed_at = await kill_owner_of_a_full_cell(cell, 2, 4000)
        assert await cell.wait_for("a", JobState.COMPLETED, 12)
        first = min(s.at for s in cell.world.starts if s.task.startswith("a."))
        # "long" ends 2.3 s after the kill; the takeover is over by then.
        assert first - killed_at < 3

    run_cell(program, workers=3)


async def set_state(cell, worker, state):
    """Writes a worker's entry with a new state."""
    worker.entry = msgspec.structs.replace(worker.entry, state=state)
    await cell.put(WORKERS_PREFIX + str(worker.id), msgspec.json.encode(worker.entry))


@pytest.mark.parametrize("busy", [False, True])
def test_a_drained_worker_that_leaves_while_nobody_decides(busy):
    """A takeover waits for it only if it ran something in its last report."""

    async def program(cell):
        worker = cell.world.workers[WorkerId("w0")]
        if busy:
            cell.behaviours["held"] = Behaviour(60)
            await cell.submit("held", [step(cpu=4000)])
            await anyio.sleep(0.5)
            worker = cell.world.workers[cell.world.starts[0].worker]
        await set_state(cell, worker, ServerState.DRAINING)
        await anyio.sleep(1)
        killed_at = await kill_owner_of_a_full_cell(cell, 4, 2000)
        worker.silent = True
        key = WORKERS_PREFIX + str(worker.id)
        await cell.operator.commit(Transaction([], [Delete(key)]))
        assert await cell.wait_for("a", JobState.COMPLETED, 30)
        first = min(s.at for s in cell.world.starts if s.task.startswith("a."))
        assert (first - killed_at > 4) is busy

    run_cell(program, workers=3)


def test_a_worker_that_drains_no_more_is_used_again():
    async def program(cell):
        worker = cell.world.workers[WorkerId("w0")]
        for _ in range(3):
            await set_state(cell, worker, ServerState.DRAINING)
            await anyio.sleep(1)
            await set_state(cell, worker, ServerState.READY)
            await anyio.sleep(1)
        await cell.submit("a", [step(3, cpu=4000)])
        assert await cell.wait_for("a", JobState.COMPLETED, 3)
        await cell.submit("b", [step(3, cpu=4000)])
        await anyio.sleep(0.3)
        worker.silent = True
        await cell.operator.commit(Transaction([], [Delete(WORKERS_PREFIX + "w0")]))
        await take_over(cell)
        assert await cell.wait_for("b", JobState.COMPLETED, 30)

    run_cell(program, workers=3)


def test_the_newest_roster_stays_when_writes_overtake_each_other():
    async def program(cell):
        owner = cell.owner().instance.owner
        written = []
        removed = []
        owner.log.append_value = lambda key, value, stored: written.append(
            (key, stored)
        )
        owner.log.remove = removed.extend
        for _ in range(3):
            owner.fleet.roster_due = True
            owner.fleet.roster_written_at = -math.inf
            owner.fleet.write_roster_if_due()
        assert len(written) == 3
        for _, stored in reversed(written):
            stored()
        keys = [key for key, _ in written]
        assert keys == sorted(keys)
        assert keys[-1] not in removed
        assert set(keys[:-1]) <= set(removed)
        assert owner.fleet.stored_roster_keys == [keys[-1]]

    run_cell(program)


@pytest.mark.parametrize("seed", range(10))
def test_the_newest_roster_stays_however_its_writes_overtake_each_other(seed):
    async def program(cell):
        for number in range(12):
            owner = await cell.wait_for_owner()
            owner.store.faults += [StoreFault.REPLY_LOST] * cell.rng.randint(0, 1)
            await cell.add_worker(f"v{number}")
            await anyio.sleep(cell.rng.uniform(0.02, 0.2))
        await anyio.sleep(5)
        rosters = await cell.operator.range("lacewinghold/r/", prefix=True)
        newest = max(rosters.ok_value.items, key=lambda item: item.key)
        roster = from_json(newest.value, WorkerRoster)
        named = {worker.worker for worker in roster.workers}
        assert named == {str(worker) for worker in cell.world.workers}

    run_cell(program, seed=seed, workers=2)
