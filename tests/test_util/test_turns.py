"""The gate that spreads a burst over several turns of the event loop."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.testing.clock import run_paused
from lacewinghold.util.turns import TURN_INTERVAL_S, TurnGate

BURST = 40


async def enter_at_once(gate, count):
    """Starts many tasks that enter the gate at once.

    :returns: Number and time of each task, in order of admission.
    """
    passed = []

    async def enter(number):
        await gate.enter()
        passed.append((number, anyio.current_time()))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(enter, number)
    return passed


def test_burst_is_spread_over_turns():
    async def session():
        started_at = anyio.current_time()
        passed = await enter_at_once(TurnGate(16), BURST)
        return [at - started_at for _, at in passed]

    times = run_paused(session, seed=1)
    assert len(times) == BURST
    for turn, first in enumerate(range(0, BURST, 16)):
        for at in times[first : first + 16]:
            assert at == pytest.approx(turn * TURN_INTERVAL_S)


def test_burst_is_admitted_although_earlier_waiters_were_cancelled():
    async def session():
        gate = TurnGate(4)
        async with anyio.create_task_group() as tasks:
            with anyio.CancelScope() as scope:
                scope.cancel()
                await enter_at_once(gate, 4)
            for _ in range(6):
                tasks.start_soon(gate.enter)
        passed = await enter_at_once(gate, BURST)
        return len(passed)

    assert run_paused(session, seed=1) == BURST


def test_rare_operations_never_wait():
    async def session():
        gate = TurnGate(2)
        for _ in range(20):
            started_at = anyio.current_time()
            await gate.enter()
            assert anyio.current_time() == started_at
            await anyio.sleep(TURN_INTERVAL_S)

    run_paused(session, seed=1)


def test_other_tasks_run_between_parts_of_a_burst():
    async def session():
        gate = TurnGate(16)
        order = []

        async def renew():
            for _ in range(3):
                order.append("renewal")
                await anyio.sleep(TURN_INTERVAL_S / 2)

        async def open_one():
            await gate.enter()
            order.append("opening")

        async with anyio.create_task_group() as tasks:
            for _ in range(BURST):
                tasks.start_soon(open_one)
            tasks.start_soon(renew)
        return order

    order = run_paused(session, seed=1)
    last = len(order) - 1 - order[::-1].index("renewal")
    assert order[last:].count("opening") >= BURST - 32
