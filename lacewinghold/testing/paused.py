"""Runs a program on a started cell, on a paused clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
import msgspec

from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused

T = TypeVar("T")

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lacewinghold.application import EntryInstance
    from lacewinghold.ids import TeamId
    from lacewinghold.testing.cell import CellShape

    Program = Callable[[Cell, list[EntryInstance]], Awaitable[T]]

SETTLE_S = 1.0
SMALL = msgspec.structs.replace(TERRASVUUR, workers_per_data_centre=0, instances=3)


def run_session(
    program: Program[T],
    teams: dict[TeamId, str],
    *,
    shape: CellShape = SMALL,
    seed: int = 1,
) -> T:
    """Starts a cell and runs a program on it and its entry instances.

    :param teams: Bearer keys by team; the first team is the operators'.
    :returns: What the program returned.
    """

    async def session() -> T:
        async with anyio.create_task_group() as tasks:
            cell = Cell(shape, tasks, seed, teams)
            cell.rules = {}
            await cell.start()
            await anyio.sleep(SETTLE_S)
            running = [entry.instance for entry in cell.instances.values()]
            result = await program(cell, running)
            tasks.cancel_scope.cancel()
        return result

    return run_paused(session, seed=seed)
