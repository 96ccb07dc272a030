"""Queries of jobs that are about to end."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step


@pytest.mark.parametrize("member", [0, 1, 2])
def test_query_at_the_end_of_a_job_returns_its_outcome(member):
    """Guards against callers that learn of an outcome only with their next query."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(1.0)
        assert (await cell.submit("a", [step()])).is_ok()
        while not cell.world.starts:
            await anyio.sleep(0.01)
        await anyio.sleep(0.95)
        found = await cell.members[member].instance.front.state("a")
        assert found.ok_value is JobState.COMPLETED

    run_cell(program, state_wait_ms=250)


@pytest.mark.parametrize("wait_ms", [0, 250])
def test_query_waits_no_longer_than_configured_nor_for_waiting_tasks(wait_ms):
    async def program(cell):
        cell.behaviours["a"] = Behaviour(5.0)
        assert (await cell.submit("a", [step()])).is_ok()
        assert (await cell.submit("b", [step(), step(after=[0])])).is_ok()
        await anyio.sleep(0.5)
        for job, limit_s in (("a", wait_ms / 1000), ("b", 0.0)):
            began = anyio.current_time()
            found = await cell.owner().instance.front.state(job)
            assert found.ok_value is JobState.RUNNING
            assert anyio.current_time() - began == pytest.approx(limit_s, abs=0.02)

    run_cell(program, state_wait_ms=wait_ms)
