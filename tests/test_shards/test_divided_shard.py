"""Owners of a shard on both sides of a cut, each of which reaches one worker.

``pair`` is two entry instances that share a store and two workers; a third instance
takes the shard over from the second.
"""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.pair import PLACE, SHARD
from tests.test_shards.test_epoch_partition import run_scenario

HOLD_S = 20.0
RENEWED_S = 5.0  # For which an owner renews its lease before it is cut off.


def divide(pair, running, far):
    """Cuts an instance off from the store, all instances and a worker.

    All other instances are cut off from the other worker.
    """
    pair.cell.cut_off(running.instance.instance, cut=True)
    pair.cut_worker(running, far)
    for other in pair.cell.instances.values():
        if other is not running:
            pair.cut_worker(other, pair.other(far))


async def take_over_without(pair, worker):
    """Has the second instance take over from the first without reaching a worker."""
    pair.cut_worker(pair.second, worker)
    pair.cell.kill(pair.first.instance.instance)
    owner = await pair.taken_over()
    await anyio.sleep(RENEWED_S)
    assert not owner.recovery.recovered
    assert owner.ownership.held()
    return owner


async def take_over_beyond_the_cut(pair, far):
    """Cuts the second instance off and has a third one take over and reach a worker."""
    third = pair.cell.instances[pair.cell.start_instance(PLACE, "third")]
    divide(pair, pair.second, far)
    await pair.until(lambda: far.record.worker in pair.usable(third))
    assert SHARD in pair.second.instance.manager.owners
    return third


@pytest.mark.parametrize("seconds", [13.0, 100.0])
def test_an_owner_that_recovers_without_the_store_starts_nothing_again(seconds):
    async def scenario(pair):
        task = await pair.submit("running", expected_run_s=seconds)
        place = await pair.started(task)
        second = await take_over_without(pair, place)
        await take_over_beyond_the_cut(pair, place)
        await pair.until(lambda: not second.may_command())
        assert pair.recorder.violations == []
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario, hold_s=HOLD_S)


def test_a_worker_that_is_gone_ends_no_recovery_without_the_store():
    async def scenario(pair):
        task = await pair.submit("short", expected_run_s=12.0)
        place = await pair.started(task)
        second = await take_over_without(pair, place)
        await take_over_beyond_the_cut(pair, place)
        await pair.until(lambda: task not in place.running and not place.ended)
        place.alive = False
        place.record.state = WorkerState.GONE
        assert second.may_command()
        await pair.until(lambda: not second.may_command())
        assert pair.recorder.violations == []
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario, hold_s=HOLD_S)


def test_a_task_whose_start_was_under_way_at_a_restart_may_have_run():
    async def scenario(pair):
        pair.first.worker_links.cut_replies.update(pair.cell.workers)
        task = await pair.submit("once", expected_run_s=30.0, repeatable=False)
        place = await pair.started(task)
        pair.first.worker_links.cut_replies.clear()
        place.restart()
        await pair.until(lambda: task in pair.recorder.outcomes)
        assert pair.recorder.violations == []
        assert pair.recorder.starts[task] == 1
        assert pair.recorder.outcomes[task] is TaskState.UNKNOWN

    run_scenario(scenario)


def test_an_owner_without_the_store_repeats_no_start_that_was_under_way():
    async def scenario(pair):
        first = pair.owner(pair.first)
        blocker = await pair.submit("short", expected_run_s=8.0)
        place = await pair.started(blocker)
        await pair.started(await pair.submit("longer", expected_run_s=8.3))
        task = await pair.submit("queued", expected_run_s=100.0)
        await anyio.sleep(6.4)
        pair.cut_off()
        pair.cut_worker(pair.second, pair.other(place))
        worker = first.workers[place.record.worker]
        while task not in worker.sending:
            await anyio.sleep(0.0005)
        pair.first.worker_links.cut_replies.add(place.record.worker)
        second = await pair.taken_over()
        await pair.until(lambda: second.tasks[task].state is TaskState.RUNNING)
        assert task in worker.sending
        pair.cut_worker(pair.second, place)
        place.restart()
        pair.first.worker_links.cut_replies.clear()
        await anyio.sleep(5.0)
        pair.second.worker_links.cut.discard(place.record.worker)
        assert await pair.started(task, times=2) is place
        assert pair.recorder.violations == []

    run_scenario(scenario)


@pytest.mark.parametrize("seconds", [10.0, 100.0])
def test_an_owner_without_the_store_restarts_no_task_of_a_silent_worker(seconds):
    async def scenario(pair):
        # Without an answer to its start, the owner goes on calling the worker.
        pair.first.worker_links.cut_replies.update(pair.cell.workers)
        task = await pair.submit("running", expected_run_s=seconds)
        place = await pair.started(task)
        first = pair.owner(pair.first)
        # The other worker may start tasks for longer than this one.
        pair.cut_worker(pair.first, place)
        pair.first.worker_links.cut_replies.clear()
        await anyio.sleep(RENEWED_S)
        divide(pair, pair.first, place)
        await pair.until(lambda: place.record.worker in pair.usable(pair.second))
        worker = first.workers[place.record.worker]
        assert worker.unconfirmed
        await pair.until(lambda: worker.worker_now() > worker.hold_until)
        assert first.may_command()
        await pair.until(lambda: not first.may_command())
        assert pair.recorder.violations == []
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario, hold_s=HOLD_S)
