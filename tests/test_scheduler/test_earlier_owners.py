"""Owners before the predecessor, which may still renew leases on workers."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.owner import STORE_OUTAGE_GRACE_S
from tests.test_scheduler.support import run_cell


def cut_off(cell, member):
    """Cuts a member off from the store and its peers; it still reaches workers."""
    member.store_gate.close()
    name = member.instance.instance
    for other in cell.members:
        if other is not member:
            cell.network.cut.add((name, other.instance.instance))
            cell.network.cut.add((other.instance.instance, name))


@pytest.mark.parametrize("instances", [2, 3])
def test_an_owner_waits_for_the_hold_of_the_owner_before_its_predecessor(instances):
    async def program(cell):
        first = cell.owner()
        leases_until = first.instance.owner.ownership.valid_until + STORE_OUTAGE_GRACE_S
        cut_off(cell, first)
        while cell.owner() in (None, first):
            await anyio.sleep(0.01)
        second = cell.owner()
        ownership = second.instance.owner.ownership
        await second.instance.election.release(ownership)
        while cell.owner() in (None, first):
            await anyio.sleep(0.01)
        third = cell.owner().instance.owner
        assert third.ownership.term == ownership.term + 1
        await anyio.sleep(0.5)
        assert third.earlier_runs_ended_at() > leases_until

    run_cell(program, instances=instances, limit_s=60)
