"""Rules that fence earlier epochs, each tested by a sequence that it prevents.

``pair`` is two entry instances that share a store and two workers.
"""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.pair import SHARD, Pair
from lacewinghold.testing.store import Outage, StoreFault


def run_scenario(scenario, hold_s=30.0, seed=1):
    async def run():
        async with anyio.create_task_group() as tasks:
            pair = Pair(tasks, hold_s)
            await pair.start()
            await scenario(pair)
            tasks.cancel_scope.cancel()
        assert pair.recorder.violations == []

    run_paused(run, seed=seed)


async def delayed_start(pair, delay_s):
    """Makes the first instance send a start that arrives late.

    :param delay_s: Delay of its commands in seconds.
    :returns: The task and the worker to which the start was sent.
    """
    pair.delay(pair.first, delay_s)
    task = await pair.submit("delayed")
    await anyio.sleep(0.1)
    return task, pair.target(task)


def test_fence_refuses_an_old_start():
    async def scenario(pair):
        task, target = await delayed_start(pair, 8.0)
        pair.cell.kill(pair.first.instance.instance)
        pair.leave(target)
        assert await pair.started(task) is pair.other(target)
        await anyio.sleep(10.0)

    run_scenario(scenario)


def test_incarnation_refuses_an_old_start_after_a_restart():
    async def scenario(pair):
        task, target = await delayed_start(pair, 8.0)
        pair.cell.kill(pair.first.instance.instance)
        pair.leave(target)
        assert await pair.started(task) is pair.other(target)
        pair.cut_worker(pair.second, target)
        target.restart()
        await anyio.sleep(10.0)

    run_scenario(scenario)


def test_cut_off_owner_does_not_admit_a_restarted_worker():
    async def scenario(pair):
        long = await pair.submit("long", expected_run_s=100.0)
        short = await pair.submit("short", expected_run_s=8.0)
        await pair.started(long)
        await pair.started(short)
        task = await pair.submit("queued", expected_run_s=40.0)
        pair.cut_off()
        place = await pair.started(task)
        other = pair.other(place)
        pair.cut_worker(pair.second, other)
        other.restart()
        await anyio.sleep(15.0)
        assert task not in other.running

    run_scenario(scenario, hold_s=60.0)


def test_start_that_arrives_after_the_hold_is_too_late():
    async def scenario(pair):
        task, target = await delayed_start(pair, 25.0)
        pair.cut_worker(pair.first, target)
        pair.cut_worker(pair.second, target)
        pair.cut_off()
        assert await pair.started(task) is pair.other(target)
        await anyio.sleep(25.0)

    run_scenario(scenario, hold_s=12.0)


def test_new_owner_waits_for_all_workers():
    async def scenario(pair):
        task = await pair.submit("running")
        place = await pair.started(task)
        pair.cut_worker(pair.second, place)
        pair.cell.kill(pair.first.instance.instance)
        await pair.taken_over()
        await anyio.sleep(15.0)
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario)


def test_worker_stops_at_the_end_of_the_hold_and_the_task_goes_on_elsewhere():
    async def scenario(pair):
        task = await pair.submit("running", expected_run_s=200.0)
        place = await pair.started(task)
        pair.cut_worker(pair.second, place)
        pair.cell.kill(pair.first.instance.instance)
        assert await pair.started(task, times=2) is pair.other(place)

    run_scenario(scenario, hold_s=10.0)


@pytest.mark.parametrize("repeatable", [True, False])
def test_outcome_is_kept_until_it_is_durable(repeatable):
    async def scenario(pair):
        task = await pair.submit("short", expected_run_s=1.0, repeatable=repeatable)
        await pair.started(task)
        pair.cell.state.outage = Outage.DOWN
        await anyio.sleep(2.5)
        pair.cell.kill(pair.first.instance.instance)
        pair.cell.state.outage = Outage.NONE
        owner = await pair.taken_over()
        await pair.until(lambda: task in pair.recorder.outcomes)
        assert pair.recorder.outcomes[task] is TaskState.SUCCEEDED
        assert pair.recorder.starts[task] == 1
        assert owner.tasks[task].state is TaskState.SUCCEEDED

    run_scenario(scenario)


def test_cut_off_owner_starts_nothing_a_second_time():
    async def scenario(pair):
        task = await pair.submit("running")
        place = await pair.started(task)
        pair.cut_worker(pair.second, pair.other(place))
        pair.cut_off()
        await pair.taken_over()
        await anyio.sleep(1.0)
        pair.cut_worker(pair.second, place)
        place.restart()
        await anyio.sleep(3.0)
        pair.second.worker_links.cut.discard(place.record.worker)
        assert await pair.started(task, times=2) is place
        await anyio.sleep(5.0)

    run_scenario(scenario)


def test_cut_off_owner_starts_what_it_accepted():
    async def scenario(pair):
        first = await pair.submit("short", expected_run_s=6.0)
        second = await pair.submit("long", expected_run_s=30.0)
        await pair.started(first)
        await pair.started(second)
        task = await pair.submit("queued")
        pair.cut_off()
        for worker in pair.cell.workers.values():
            pair.cut_worker(pair.second, worker)
        await pair.started(task)

    run_scenario(scenario, hold_s=60.0)


def test_late_command_of_the_same_epoch_is_refused():
    async def scenario(pair):
        pair.delay(pair.first, 3.0)
        task = await pair.submit("delayed", expected_run_s=0.2)
        await anyio.sleep(0.1)
        target = pair.target(task)
        target.fails_everything = True
        pair.leave(target)
        pair.cell.workers[pair.other(target).record.worker].run_time = lambda start: (
            30.0
        )
        assert await pair.started(task, times=2) is pair.other(target)
        await anyio.sleep(5.0)
        assert pair.recorder.starts[task] == 2

    run_scenario(scenario)


def test_start_with_a_lost_reply_stays_where_it_may_run():
    async def scenario(pair):
        for worker in pair.cell.workers:
            pair.first.worker_links.cut_replies.add(worker)
        task = await pair.submit("running")
        place = await pair.started(task)
        pair.cut_worker(pair.first, place)
        pair.first.worker_links.cut_replies.clear()
        await anyio.sleep(10.0)
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario)


def test_task_with_a_lost_reply_that_ended_is_not_sent_again(monkeypatch):
    # Write the outcome at once, so that its acknowledgement arrives before the
    # start that is sent again.
    monkeypatch.setattr("lacewinghold.shards.outcomes.GATHER_DELAY_S", 0.0)

    async def scenario(pair):
        pair.cut_once = pair.first.worker_links.cut_replies
        pair.cut_once.update(pair.cell.workers)
        task = await pair.submit("short", expected_run_s=0.5)
        await anyio.sleep(1.0)
        pair.cut_once.clear()
        await pair.until(lambda: task in pair.recorder.outcomes)
        await anyio.sleep(5.0)
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario)


def test_worker_missing_from_the_list_keeps_its_tasks():
    async def scenario(pair):
        task = await pair.submit("running")
        place = await pair.started(task)
        pair.cell.instance_list.missing.add(place.record.worker)
        await anyio.sleep(5.0)
        assert pair.recorder.starts[task] == 1
        pair.cell.kill(pair.first.instance.instance)
        await pair.taken_over()
        await anyio.sleep(5.0)
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario)


def test_gone_worker_frees_its_tasks():
    async def scenario(pair):
        task = await pair.submit("running")
        place = await pair.started(task)
        place.alive = False
        place.restart()
        place.record.state = WorkerState.GONE
        assert await pair.started(task, times=2) is pair.other(place)

    run_scenario(scenario)


def test_empty_instance_list_frees_no_tasks():
    async def scenario(pair):
        task = await pair.submit("running")
        await pair.started(task)
        pair.cell.instance_list.missing.update(pair.cell.workers)
        pair.cell.kill(pair.first.instance.instance)
        await anyio.sleep(10.0)
        assert pair.recorder.starts[task] == 1
        pair.cell.instance_list.missing.clear()
        await pair.taken_over()
        await anyio.sleep(5.0)
        assert pair.recorder.starts[task] == 1

    run_scenario(scenario)


def test_new_lease_does_not_extend_the_hold():
    async def scenario(pair):
        owner = pair.owner(pair.first)
        pair.cut_off()
        await anyio.sleep(8.0)
        end = owner.ownership.hold_end(12.0)
        pair.first.store.reachable = True
        pair.first.store.faults = [StoreFault.UNAVAILABLE] * 2
        await pair.until(pair.first.instance.lease.valid)
        assert owner.ownership.hold_end(12.0) == end
        await anyio.sleep(12.0)
        assert not owner.may_command()

    run_scenario(scenario, hold_s=12.0)


def test_owner_commands_nothing_after_its_hold():
    async def scenario(pair):
        owner = pair.owner(pair.first)
        pair.cut_off()
        await anyio.sleep(3.0)
        assert owner.may_command()
        assert not owner.ownership.held()
        await anyio.sleep(12.0)
        assert not owner.may_command()

    run_scenario(scenario, hold_s=12.0)


def test_planned_handover_settles_starts_and_loses_no_time():
    async def scenario(pair):
        tasks = [await pair.submit(f"job-{n}", expected_run_s=3.0) for n in range(4)]
        await pair.started(tasks[0])
        before = anyio.current_time()
        await pair.cell.shut_down(pair.first.instance.instance)
        await pair.until(lambda: len(pair.usable(pair.second)) == 2)
        assert anyio.current_time() - before < 1.0
        await pair.until(lambda: all(task in pair.recorder.outcomes for task in tasks))
        assert sum(pair.recorder.starts.values()) == 4
        assert SHARD in pair.second.instance.manager.owners

    run_scenario(scenario)
