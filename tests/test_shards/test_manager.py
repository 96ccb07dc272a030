"""Ownership when instances start, die, are replaced, and when their view lags."""

from __future__ import annotations

import anyio
from result import Ok

from lacewinghold.schema.generated.settings import LeaseSettings
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.chaos import TEAM
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import StoreFault
from tests.test_shards.test_whole_path import make_spec

SHARDS = 6
LEASE_S = LeaseSettings().ttl_s
# Beyond the lease: delay of its expiry in the store, one assignment round, reads
# and fencing.
TAKEOVER_MARGIN_S = 1.0


def run_scenario(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            cell = Cell(TERRASVUUR, tasks, 1)
            await cell.start()
            await cell.wait_ready(SHARDS)
            await scenario(cell)
            tasks.cancel_scope.cancel()

    run_paused(run, seed=1)


def claims(cell):
    return sum(
        item.key.startswith(cell.keys.owners)
        for batch in cell.state.history
        for item in batch.puts
    )


def owned(cell):
    return {
        running.instance.instance: len(running.instance.manager.owners)
        for running in cell.instances.values()
    }


def test_instances_that_start_together_acquire_each_shard_once():
    async def scenario(cell):
        await anyio.sleep(20.0)
        assert claims(cell) == SHARDS

    run_scenario(scenario)


def test_takeover_after_a_death_waits_for_the_lease_only():
    async def scenario(cell):
        await anyio.sleep(20.0)
        victim = max(owned(cell), key=owned(cell).get)
        cell.kill(victim)
        before = anyio.current_time()
        await anyio.sleep(0.1)
        await cell.wait_ready(SHARDS)
        assert anyio.current_time() - before < LEASE_S + TAKEOVER_MARGIN_S

    run_scenario(scenario)


def test_replacing_every_instance_keeps_serving_and_spreads_evenly():
    async def scenario(cell):
        await anyio.sleep(20.0)
        before = claims(cell)
        for instance in list(cell.instances):
            settings = cell.instances[instance].instance.settings
            cell.start_instance(settings.data_centre, settings.instance)
            await anyio.sleep(1.0)
            await cell.shut_down(instance)
            await cell.wait_ready(SHARDS)
            await anyio.sleep(10.0)
            submitted = await cell.any_instance().jobs.submit(TEAM, make_spec(), "")
            assert isinstance(submitted, Ok)
        assert max(owned(cell).values()) <= 1
        # A release and a claim for each shard that had to move.
        assert claims(cell) - before <= 6 * SHARDS

    run_scenario(scenario)


def test_release_with_a_store_fault_leaves_no_shard_without_an_owner():
    async def scenario(cell):
        await anyio.sleep(20.0)
        for fault in (StoreFault.REPLY_LOST, StoreFault.UNAVAILABLE):
            running = next(
                running
                for running in cell.instances.values()
                if running.instance.manager.owners
            )
            manager = running.instance.manager
            shard = next(iter(manager.owners))
            owner = manager.owners[shard]
            await owner.hand_over()
            running.store.faults = [fault]
            await manager.release(shard)
            await anyio.sleep(2.0)
            await cell.wait_ready(SHARDS)

    run_scenario(scenario)


def test_shards_are_kept_while_the_instance_list_lacks_their_workers():
    async def scenario(cell):
        await anyio.sleep(20.0)
        before = claims(cell)
        cell.instance_list.missing.update(cell.workers)
        await anyio.sleep(30.0)
        cell.instance_list.missing.clear()
        await anyio.sleep(5.0)
        assert claims(cell) == before
        await cell.wait_ready(SHARDS)

    run_scenario(scenario)
