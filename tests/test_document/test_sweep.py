"""Removal of roster entries that another instance removes at the same time."""

from __future__ import annotations

import anyio

from lacewinghold.ids import InstanceId
from lacewinghold.store.base import CallKind
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused


async def session():
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, 1)
        await cell.start()
        await anyio.sleep(5.0)
        running = cell.instances[min(cell.instances)]
        spread = running.instance.spread
        struck = InstanceId("struck.boot0")
        spread.view.roster = lambda: {struck: None}
        spread.is_removed = lambda instance: True
        writes = running.store.calls[CallKind.WRITE]
        await spread.remove_gone_instances()
        assert running.store.calls[CallKind.WRITE] == writes
        tasks.cancel_scope.cancel()


def test_roster_entry_already_deleted_is_skipped():
    run_paused(session, seed=1)
