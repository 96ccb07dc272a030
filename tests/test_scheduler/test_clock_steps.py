"""Steps of the wall clock: leases, ownership and jobs use the monotonic clock."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.cell import RETENTION_MARGIN_S
from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

RETENTION_S = 120.0


@pytest.mark.parametrize("jump_s", [20.0, -20.0, 3600.0, -3600.0])
def test_running_and_waiting_jobs_complete(jump_s):
    async def program(cell):
        owner = cell.owner()
        cell.behaviours["a"] = Behaviour(4)
        await cell.submit("a", [step(4), step(2, after=[0])])
        await anyio.sleep(0.5)
        cell.clock.fixed_offset_s += jump_s
        await cell.submit("b", [step(2)])
        assert await cell.wait_for("b", JobState.COMPLETED, 4)
        cell.kill(owner)
        assert await cell.wait_for("a", JobState.COMPLETED, 12)
        started = [start.task for start in cell.world.starts]
        assert len(started) == len(set(started))

    run_cell(program, workers=6)


@pytest.mark.parametrize("jump_s", [RETENTION_MARGIN_S - 5, 5 - RETENTION_MARGIN_S])
def test_an_ended_job_can_be_queried_for_its_whole_retention_period(jump_s):
    async def program(cell):
        await cell.submit("a", [step()])
        assert await cell.wait_for("a", JobState.COMPLETED, 4)
        cell.clock.fixed_offset_s += jump_s
        for _ in range(int(RETENTION_S / 10) - 1):
            await anyio.sleep(10)
            assert await cell.state_of("a") is JobState.COMPLETED

    run_cell(program)


def test_occurrences_start_at_their_planned_times():
    async def program(cell):
        record = cell.make_job("a", [step()])
        record.occurrences = 3
        record.first_due_ms = (cell.clock.now() + 2) * 1000
        record.interval_ms = 2000
        planned_at = anyio.current_time()
        assert (await cell.members[0].instance.front.submit(record)).is_ok()
        await anyio.sleep(1)
        cell.clock.fixed_offset_s += 60
        await anyio.sleep(8)
        assert await cell.state_of("a") is JobState.COMPLETED
        due = [planned_at + 2 * number for number in (1, 2, 3)]
        for start, due_at in zip(cell.world.starts, due, strict=True):
            assert due_at - 0.25 <= start.at <= due_at + 1

    run_cell(program)
