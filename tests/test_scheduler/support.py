"""Runs a program on a started cell, on a paused clock."""

from __future__ import annotations

import anyio

from lacewinghold.schema.generated.cell import StepSpec
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.step_cell import StepCell


def run_cell(program, *, seed=1, instances=3, workers=4, queues=None):
    """Starts a cell, runs a program on it and checks what the workers saw."""

    async def session():
        async with anyio.create_task_group() as tasks:
            cell = StepCell(tasks, seed, queues)
            await cell.start(instances, workers)
            result = await program(cell)
            tasks.cancel_scope.cancel()
        assert not cell.world.violations, cell.world.violations[:5]
        return result

    return run_paused(session, seed=seed)


def step(tasks=1, cpu=1000, after=(), **fields):
    """Returns a step of small tasks."""
    return StepSpec(
        tasks=tasks,
        cpu_millis=cpu,
        memory_mb=100,
        expected_ms=1000,
        after=list(after),
        **fields,
    )
