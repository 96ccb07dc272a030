"""Workers that an owner gives up: answers that are late or of another worker."""

from __future__ import annotations

from collections import Counter

import anyio
import msgspec
import pytest
from msgspec.structs import replace

from lacewinghold.ids import WorkerId
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import OrderOutcome, OrderReply, WorkerReport
from lacewinghold.store.base import Delete, Transaction
from lacewinghold.testing.step_cell import WORKERS_PREFIX
from lacewinghold.testing.step_worker import Behaviour, MemoryWorkerCalls
from tests.test_scheduler.support import run_cell, step

TASKS = 6
RUN_S = 5.0
SETTLE_S = 1.0
JOB_LIMIT_S = 60


async def run_job(cell, job, seconds=RUN_S, tasks=TASKS):
    """Starts all tasks of a job."""
    cell.behaviours[job] = Behaviour(seconds)
    before = len(cell.world.starts)
    await cell.submit(job, [step(tasks, cpu=500)])
    while len(cell.world.starts) < before + tasks:
        await anyio.sleep(0.01)


def starts_per_task(cell, job):
    """Returns how often each task of a job has started."""
    counts = Counter(start.task for start in cell.world.starts)
    return {count for task, count in counts.items() if task.startswith(job + ".")}


@pytest.mark.parametrize("times", [1, 3])
def test_a_late_answer_of_another_incarnation_releases_no_run_of_the_next(times):
    """Each call to the earlier incarnation may be refused, one after the other."""

    async def program(cell):
        worker = cell.world.workers[WorkerId("w0")]
        fleet = cell.owner().instance.owner.fleet
        earlier = fleet.drivers[worker.id]
        await cell.restart_worker(worker)
        while fleet.drivers[worker.id].node.entry.incarnation != worker.incarnation:
            await anyio.sleep(0.01)
        await anyio.sleep(SETTLE_S)
        await run_job(cell, "a")
        assert worker.runs
        for _ in range(times):
            await earlier.handle_other_incarnation()
            earlier.node.other_entry = worker.entry
            await earlier.ask_other_incarnation()
        node = fleet.nodes[worker.id]
        assert node.runs
        assert not node.dead
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        assert starts_per_task(cell, "a") == {1}

    run_cell(program, workers=1, limit_s=120)


def test_a_late_refusal_of_a_start_releases_no_run_of_the_next_incarnation(
    monkeypatch,
):
    """The refusal comes once the next incarnation has the tasks."""
    refuse = anyio.Event()
    start = MemoryWorkerCalls.start
    held = []

    async def start_and_wait(calls, order, timeout_s):
        if calls.incarnation == 1 and order.task.startswith("late."):
            held.append(order.task)
            await refuse.wait()
            return OrderReply(OrderOutcome.OTHER_INCARNATION)
        return await start(calls, order, timeout_s)

    async def program(cell):
        monkeypatch.setattr(MemoryWorkerCalls, "start", start_and_wait)
        worker = cell.world.workers[WorkerId("w0")]
        cell.behaviours["late"] = Behaviour(RUN_S)
        await cell.submit("late", [step(TASKS, cpu=500)])
        while len(held) < TASKS:
            await anyio.sleep(0.01)
        await cell.restart_worker(worker)
        while len(cell.world.starts) < TASKS:
            await anyio.sleep(0.01)
        refuse.set()
        assert await cell.wait_for("late", JobState.COMPLETED, JOB_LIMIT_S)
        assert starts_per_task(cell, "late") == {1}

    run_cell(program, workers=1, limit_s=120)


def test_a_late_report_of_an_incarnation_that_was_given_up_ends_no_task():
    """It lists nothing, as after a restart."""

    async def program(cell):
        worker = cell.world.workers[WorkerId("w0")]
        owner = cell.owner().instance.owner
        earlier = owner.fleet.drivers[worker.id]
        await cell.restart_worker(worker)
        await anyio.sleep(SETTLE_S)
        await run_job(cell, "a")
        await anyio.sleep(SETTLE_S)
        assert len(worker.runs) == TASKS
        for _ in range(4):
            report = WorkerReport(worker.clock_ms(), [], [])
            owner.fleet.apply_report(earlier, report, anyio.current_time())
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        assert starts_per_task(cell, "a") == {1}

    run_cell(program, workers=1, limit_s=120)


async def remove_entry(cell, worker):
    """Removes a worker's entry, as the store does after a silence."""
    await cell.operator.commit(Transaction([], [Delete(WORKERS_PREFIX + worker.id)]))


async def write_unreadable_entry(cell, worker):
    """Has another writer replace a worker's entry."""
    await cell.put(WORKERS_PREFIX + worker.id, b"?")


@pytest.mark.parametrize("takeover", ["none", "before", "after"])
@pytest.mark.parametrize("remove", [remove_entry, write_unreadable_entry])
@pytest.mark.parametrize("seconds", [2.0, 12.0])
def test_workers_that_are_not_listed_keep_their_runs(takeover, remove, seconds):
    """All entries go at once, and are back later."""

    async def program(cell):
        await run_job(cell, "a", seconds)
        await anyio.sleep(SETTLE_S)
        if takeover == "before":
            cell.kill(cell.owner())
        for worker in cell.world.workers.values():
            await remove(cell, worker)
        if takeover == "after":
            await anyio.sleep(0.1)
            cell.kill(cell.owner())
        await anyio.sleep(6)
        for worker in cell.world.workers.values():
            await cell.put(
                WORKERS_PREFIX + worker.id, msgspec.json.encode(worker.entry)
            )
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        assert starts_per_task(cell, "a") == {1}

    run_cell(program, limit_s=120)


async def entry_at(cell, worker, address, incarnation):
    """Writes an entry of a worker that names another address."""
    entry = replace(worker.entry, address=address, incarnation=incarnation)
    await cell.put(WORKERS_PREFIX + worker.id, msgspec.json.encode(entry))


def answer_for_the_worker_at_an_address(monkeypatch):
    """Has calls reach whichever worker has the address, which refuses another's."""

    async def connect(calls, timeout_s):
        await calls.gate.pass_through()
        await anyio.sleep(0.002)
        for worker in calls.worker.world.workers.values():
            if worker.entry.address != calls.address:
                continue
            if worker is not calls.worker:
                return OrderOutcome.OTHER_INCARNATION
            if not calls.is_unreachable():
                return None
        await anyio.sleep(timeout_s)
        return OrderOutcome.UNKNOWN

    monkeypatch.setattr(MemoryWorkerCalls, "connect", connect)


@pytest.mark.parametrize("takeover", [False, True])
@pytest.mark.parametrize("incarnation", [0, 2, 7])
def test_an_entry_at_the_address_of_another_worker_releases_no_run(
    takeover, incarnation, monkeypatch
):
    """A late entry, of an incarnation at an address that another worker has by now."""
    answer_for_the_worker_at_an_address(monkeypatch)

    async def program(cell):
        await run_job(cell, "a")
        await anyio.sleep(SETTLE_S)
        workers = cell.world.workers.values()
        others = {"w0": "w1", "w1": "w2", "w2": "w3", "w3": "w0"}
        if takeover:
            cell.kill(cell.owner())
        for worker in workers:
            await entry_at(cell, worker, others[worker.id], incarnation)
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        assert starts_per_task(cell, "a") == {1}

    run_cell(program, limit_s=120)


@pytest.mark.parametrize("takeover", [False, True])
def test_runs_of_a_worker_whose_address_another_has_start_again_once(
    takeover, monkeypatch
):
    """The worker is gone, so that its runs have ended; those of others go on."""
    answer_for_the_worker_at_an_address(monkeypatch)

    async def program(cell):
        await run_job(cell, "a")
        await anyio.sleep(SETTLE_S)
        gone = cell.world.workers[cell.world.starts[0].worker]
        lost = {task for task, _ in gone.runs}
        if takeover:
            cell.kill(cell.owner())
        gone.silent = True
        gone.crash()
        await remove_entry(cell, gone)
        address = gone.entry.address
        gone.entry = replace(gone.entry, address="nowhere")
        new = await cell.add_worker("new")
        new.entry = replace(new.entry, address=address)
        await cell.put(WORKERS_PREFIX + "new", msgspec.json.encode(new.entry))
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        counts = Counter(start.task for start in cell.world.starts)
        assert {task for task, count in counts.items() if count > 1} == lost
        assert max(counts.values()) == 2

    run_cell(program, limit_s=120)
