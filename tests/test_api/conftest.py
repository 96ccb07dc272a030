"""A running cell of the terrasvuur example for tests of the HTTP interface."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.ids import TeamId
from lacewinghold.testing.caller import FakeCaller
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.deployment import EXAMPLES, load_deployment

SHARDS = 6


class ApiCell:
    """A running cell, with callers of its teams."""

    def __init__(self, cell):
        self.cell = cell

    def caller(self, team="operators", key=None):
        return FakeCaller(self.cell, TeamId(team), key or f"{team}-demo-key", 0.003)


async def run_with_cell(program, seed):
    deployment = load_deployment(EXAMPLES / "terrasvuur").unwrap()
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, seed, deployment=deployment)
        await cell.start()
        await cell.wait_ready(SHARDS)
        await anyio.sleep(2)
        result = await program(ApiCell(cell))
        tasks.cancel_scope.cancel()
    return result


@pytest.fixture(scope="session")
def play():
    """Runs a program against a new cell on the simulated clock."""
    return lambda program, seed=1: run_paused(run_with_cell, program, seed, seed=seed)
