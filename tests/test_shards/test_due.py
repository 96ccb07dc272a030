"""Work that is due far ahead: kept, found after missed ticks, started once."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import anyio
import pytest

from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.pair import Pair
from lacewinghold.testing.store import Outage

AHEAD_S = 120.0
LATE_S = 2.0


def play(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            pair = Pair(tasks)
            await pair.start()
            due = datetime.fromtimestamp(pair.cell.clock.now(), UTC)
            due += timedelta(seconds=AHEAD_S)
            task = await pair.submit("due", start_after=due, repeatable=False)
            await scenario(pair, task, anyio.current_time() + AHEAD_S)
            tasks.cancel_scope.cancel()
        assert pair.recorder.violations == []
        assert pair.recorder.starts[task] == 1

    run_paused(run, seed=1)


def test_due_task_starts_on_time():
    async def scenario(pair, task, due):
        await anyio.sleep_until(due - 1.0)
        assert pair.recorder.starts[task] == 0
        await pair.until(lambda: pair.recorder.starts[task] == 1)
        assert due <= anyio.current_time() <= due + LATE_S

    play(scenario)


def test_due_task_is_found_by_a_new_owner_after_its_time():
    async def scenario(pair, task, due):
        await anyio.sleep_until(due - 10.0)
        pair.cell.state.outage = Outage.DOWN
        pair.cell.kill(pair.first.instance.instance)
        await anyio.sleep_until(due + 60.0)
        assert pair.recorder.starts[task] == 0
        pair.cell.state.outage = Outage.NONE
        await pair.until(lambda: pair.recorder.starts[task] == 1)
        await anyio.sleep(30.0)

    play(scenario)


@pytest.mark.parametrize("pause_s", [2.0, 20.0])
def test_owner_that_is_paused_over_the_time_starts_it_once(pause_s):
    async def scenario(pair, task, due):
        await anyio.sleep_until(due - 1.0)
        pair.first.gate.close()
        await anyio.sleep(pause_s)
        pair.first.gate.open()
        await pair.until(lambda: pair.recorder.starts[task] == 1)
        await anyio.sleep(60.0)

    play(scenario)
