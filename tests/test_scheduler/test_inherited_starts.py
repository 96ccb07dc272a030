"""Starts that the next incarnation of a worker may still carry out."""

from __future__ import annotations

import anyio

from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import OrderOutcome, OrderReply
from lacewinghold.testing.step_worker import Behaviour, MemoryWorkerCalls, OrderFault
from tests.test_scheduler.support import run_cell, step

NEXT_INCARNATION = 2
INHERITED_LIMIT_S = 40.0


def test_an_answered_stop_ends_no_other_start_on_a_silent_worker(monkeypatch):
    """A worker that has restarted answers one stop, and then nothing for a while."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(6)
        worker = next(iter(cell.world.workers.values()))
        worker.faults = [OrderFault.CARRIED_OUT_LATE] * 2
        await cell.submit("a", [step(2)])
        while len(cell.world.starts) < 2:
            await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        assert worker.late_starts == 2
        await cell.add_worker("other")
        lose_all_but_one_stop(monkeypatch, "a.0.0.0")
        await cell.restart_worker(worker)
        while worker.late_starts:
            await anyio.sleep(0.01)
        monkeypatch.undo()
        assert await cell.wait_for("a", JobState.COMPLETED, INHERITED_LIMIT_S)

    run_cell(program, workers=1, limit_s=60)


def lose_all_but_one_stop(monkeypatch, answered):
    """Has the next incarnations of workers answer nothing but the stop of a task."""
    stop, poll = MemoryWorkerCalls.stop, MemoryWorkerCalls.poll

    async def stop_one(calls, order, timeout_s):
        if calls.incarnation == NEXT_INCARNATION and order.task != answered:
            await anyio.sleep(timeout_s)
            return OrderReply(OrderOutcome.UNKNOWN)
        return await stop(calls, order, timeout_s)

    async def lose_poll(calls, order, timeout_s):
        if calls.incarnation == NEXT_INCARNATION:
            await anyio.sleep(order.wait_s + timeout_s)
            return OrderOutcome.UNKNOWN
        return await poll(calls, order, timeout_s)

    monkeypatch.setattr(MemoryWorkerCalls, "stop", stop_one)
    monkeypatch.setattr(MemoryWorkerCalls, "poll", lose_poll)
