"""Helpers that run a test program on a simulated cell, on a paused clock."""

from __future__ import annotations

import math

import anyio

from lacewinghold.schema.generated.cell import StepSpec
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.step_cell import StepCell


async def no_preparation(cell):
    """Prepares nothing: the default for ``prepare``."""


def run_cell(
    program,
    *,
    seed=1,
    instances=3,
    workers=4,
    queues=None,
    prepare=no_preparation,
    limit_s=math.inf,
    **shape,
):
    """Starts a cell, runs a program on it and checks that no invariant was violated.

    :param program: Coroutine function that gets the started cell.
    :param prepare: Coroutine function that gets the cell before its instances start.
    :param limit_s: Timeout of the program, on the paused clock.
    :param shape: Further arguments of the cell.
    :returns: What the program returns.
    """

    async def session():
        async with anyio.create_task_group() as tasks:
            cell = StepCell(tasks, seed, queues, **shape)
            await prepare(cell)
            with anyio.fail_after(limit_s):
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
