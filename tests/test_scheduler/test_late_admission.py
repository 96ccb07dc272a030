"""Submissions to a lagging owner that still starts all tasks that fit."""

from __future__ import annotations

import anyio
import msgspec
from result import Ok

from lacewinghold.util.lag import LagMonitor
from tests.test_scheduler.support import run_cell, step


def test_a_step_that_does_not_fit_causes_no_refusals_of_other_jobs(monkeypatch):
    monkeypatch.setattr(LagMonitor, "lag_s", property(lambda monitor: 0.5))

    async def program(cell):
        gang = step(tasks=22, cpu=4000, all_at_once=True)
        await cell.submit("gang", [msgspec.structs.replace(gang, expected_ms=60_000)])
        for number in range(40):
            assert isinstance(await cell.submit(f"job-{number}", [step()]), Ok)
            await anyio.sleep(0.5)

    run_cell(program, limit_s=60)
