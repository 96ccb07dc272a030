"""Helpers that run a test program on a simulated cell, on a paused clock."""

from __future__ import annotations

import math

import anyio

from lacewinghold.schema.generated.cell import StepSpec
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.step_cell import StepCell
from lacewinghold.util.containment import UNEXPECTED_ERRORS


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
    unexpected_errors=0,
    **shape,
):
    """Starts a cell, runs a program on it and checks that no invariant was violated.

    :param program: Coroutine function that gets the started cell.
    :param prepare: Coroutine function that gets the cell before its instances start.
    :param limit_s: Timeout of the program, on the paused clock.
    :param unexpected_errors: How many pieces of work end by an unexpected error.
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

    errors_before = count_unexpected_errors()
    result = run_paused(session, seed=seed)
    assert count_unexpected_errors() - errors_before == unexpected_errors
    return result


def count_unexpected_errors():
    """Returns how many pieces of work have ended by an unexpected error so far."""
    total = 0
    for metric in UNEXPECTED_ERRORS.collect():
        for sample in metric.samples:
            total += sample.value if sample.name.endswith("_total") else 0
    return total


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
