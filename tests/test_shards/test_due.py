"""Work with a start time far ahead starts once, even after missed timer ticks."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import anyio
import pytest

from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.pair import Pair
from lacewinghold.testing.store import Outage

START_DELAY_S = 120.0
MAX_LATENESS_S = 2.0


def run_scenario(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            pair = Pair(tasks)
            await pair.start()
            due = datetime.fromtimestamp(pair.cell.clock.now(), UTC)
            due += timedelta(seconds=START_DELAY_S)
            task = await pair.submit("due", start_after=due, repeatable=False)
            await scenario(pair, task, anyio.current_time() + START_DELAY_S)
            tasks.cancel_scope.cancel()
        assert pair.recorder.violations == []
        assert pair.recorder.starts[task] == 1

    run_paused(run, seed=1)


def test_due_task_starts_on_time():
    async def scenario(pair, task, due):
        await anyio.sleep_until(due - 1.0)
        assert pair.recorder.starts[task] == 0
        await pair.until(lambda: pair.recorder.starts[task] == 1)
        assert due <= anyio.current_time() <= due + MAX_LATENESS_S

    run_scenario(scenario)


def test_new_owner_starts_a_task_that_is_overdue():
    async def scenario(pair, task, due):
        await anyio.sleep_until(due - 10.0)
        pair.cell.state.outage = Outage.DOWN
        pair.cell.kill(pair.first.instance.instance)
        await anyio.sleep_until(due + 60.0)
        assert pair.recorder.starts[task] == 0
        pair.cell.state.outage = Outage.NONE
        await pair.until(lambda: pair.recorder.starts[task] == 1)
        await anyio.sleep(30.0)

    run_scenario(scenario)


@pytest.mark.parametrize("pause_s", [2.0, 20.0])
def test_owner_paused_at_the_start_time_starts_the_task_once(pause_s):
    async def scenario(pair, task, due):
        await anyio.sleep_until(due - 1.0)
        pair.first.gate.close()
        await anyio.sleep(pause_s)
        pair.first.gate.open()
        await pair.until(lambda: pair.recorder.starts[task] == 1)
        await anyio.sleep(60.0)

    run_scenario(scenario)
