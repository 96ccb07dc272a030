"""Who becomes the owner, keeps the ownership and hands it over."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.schema.generated.entry import EntryMachine
from tests.test_scheduler.support import run_cell

STRONG = EntryMachine(processor_share=0.717, speed=3, link_mbps=100)
WEAK = EntryMachine(processor_share=0.516, speed=1, link_mbps=5)
THIN = EntryMachine(processor_share=0.717, speed=3, link_mbps=5)
POLL_S = 0.001


async def age(seconds):
    """Lets the members grow old: of equal ones the young go first."""
    await anyio.sleep(seconds)


async def kill_owner(cell):
    """Kills the owner; returns the next one and how long nobody decided."""
    watcher = next(m for m in cell.members if m is not cell.owner())
    cell.kill(cell.owner())
    while watcher.instance.election.owner is not None:
        await anyio.sleep(POLL_S)
    free_at = anyio.current_time()
    return await cell.wait_for_owner(), anyio.current_time() - free_at


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("weak", [WEAK, THIN])
def test_an_old_strong_instance_owns_before_young_weak_ones(seed, weak):
    async def program(cell):
        strong = cell.add_member(STRONG)
        await age(70)
        for _ in range(8):
            cell.add_member(weak)
        await anyio.sleep(1)
        owner, _ = await kill_owner(cell)
        assert owner is strong

    run_cell(program, seed=seed, instances=1)


@pytest.mark.parametrize("seed", range(4))
def test_a_strong_instance_far_from_the_store_owns_before_weak_ones_near_it(seed):
    async def program(cell):
        far = cell.add_member(STRONG)
        far.instance.election.call_s = 0.06
        for _ in range(8):
            cell.add_member(WEAK)
        await age(70)
        owner, _ = await kill_owner(cell)
        assert owner is far

    run_cell(program, seed=seed, instances=1)


@pytest.mark.parametrize("seed", range(4))
def test_near_instances_own_before_far_ones_of_equal_strength(seed):
    async def program(cell):
        near = cell.add_member(STRONG)
        await age(70)
        for _ in range(8):
            cell.add_member(STRONG).instance.election.call_s = 0.06
        await anyio.sleep(1)
        owner, _ = await kill_owner(cell)
        assert owner is near

    run_cell(program, seed=seed, instances=1)


def test_weak_instances_alone_take_over_soon():
    async def program(cell):
        for _ in range(4):
            cell.add_member(WEAK)
        await age(70)
        for _ in range(4):
            owner, free_s = await kill_owner(cell)
            assert free_s < 0.5
        assert owner.instance.strength == pytest.approx(0.1)

    run_cell(program, instances=1)
