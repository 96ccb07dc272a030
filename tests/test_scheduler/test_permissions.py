"""Steps whose permissions expire while the cell keeps changing."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.scheduler.advice import MAX_WORKERS_PER_CALL
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import Queue, Resources
from lacewinghold.testing.step_cell import (
    HOST,
    MANIFEST_KEY,
    StoredManifest,
    advised,
)
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

WORKERS = 24
PLAIN = Queue("plain", HOST, "/plain/", "service", 0, 2, 2.0, 1)
SMALL = Queue("small", HOST, "/small/", "service", 0, 2, 2.0, 1)
TOGETHER = Queue("together", HOST, "/together/", "service", 1, 4, 2.0, 1)
CALL_S = 0.7
NOTICE_S = 0.3  # For the owner to learn of an end and a start to reach the worker.
MAX_WAIT_S = 3.0  # The platform counts a job as lost if it waits longer despite room.


async def keep_busy(cell, per_s):
    """Submits small jobs at a steady rate until cancelled."""
    number = 0
    while True:
        number += 1
        cell.behaviours[f"s{number}"] = Behaviour(cell.rng.uniform(0.3, 1.5))
        await cell.submit(f"s{number}", [step(cell.rng.randint(1, 3))], queue=1)
        await anyio.sleep(1 / per_s)


async def keep_adding_full_workers(cell):
    """Adds workers that have no room for any job until cancelled."""
    number = 0
    while True:
        number += 1
        await cell.add_worker(f"a{number}", capacity=Resources())
        await anyio.sleep(0.3)


def starts_of(cell, job):
    """Returns when the tasks of a job have started."""
    return [start.at for start in cell.world.starts if start.task.startswith(job)]


async def start_in_changing_cell(cell, *changes):
    """Submits an all-at-once job to a full cell that empties and keeps changing.

    :param changes: What changes the cell, called with it until the job has ended.
    :returns: Seconds from the time at which there is room until the last start.
    """
    cell.advice.permitted_share = 0.5
    cell.behaviours["full"] = Behaviour(5)
    cell.behaviours["t"] = Behaviour(2)
    await cell.submit("full", [step(WORKERS, cpu=4000)])
    await anyio.sleep(0.5)
    await cell.submit("t", [step(12, all_at_once=True)], queue=2)
    async with anyio.create_task_group() as tasks:
        await anyio.sleep(1)
        for change in changes:
            tasks.start_soon(change, cell)
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        room_at = anyio.current_time()
        await cell.wait_for("t", JobState.COMPLETED, 40)
        tasks.cancel_scope.cancel()
    assert starts_of(cell, "t")
    return max(starts_of(cell, "t")) - room_at


async def keep_a_third_busy(cell):
    """Keeps about a third of the cell busy with small jobs until cancelled."""
    await keep_busy(cell, 20)


@pytest.mark.parametrize("seed", range(4))
def test_an_all_at_once_step_starts_although_permissions_keep_expiring(seed):
    """There is always enough room, but on different workers each time."""
    queues = [PLAIN, advised(SMALL, 0.01, 2.0), advised(TOGETHER, 0.7, 2.0, 0.006)]

    async def program(cell):
        assert await start_in_changing_cell(cell, keep_a_third_busy) < MAX_WAIT_S

    run_cell(program, seed=seed, workers=WORKERS, queues=queues)


def test_claimed_room_is_not_taken_while_permissions_are_requested():
    queues = [PLAIN, SMALL, advised(TOGETHER, 0.7, 2.0)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(4)
        cell.behaviours["other"] = Behaviour(10)
        await cell.submit("full", [step(4, cpu=4000)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(4, cpu=4000, all_at_once=True)], queue=2)
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        await anyio.sleep(0.3)
        await cell.submit("other", [step(1, cpu=1000)])
        assert await cell.wait_for("t", JobState.COMPLETED, 4)
        assert max(starts_of(cell, "t")) < min(starts_of(cell, "other"))

    run_cell(program, queues=queues)


@pytest.mark.parametrize("urgency", [0, 2])
def test_no_room_is_claimed_while_the_advice_service_does_not_answer(urgency):
    others = msgspec.structs.replace(PLAIN, urgency=urgency)
    never_late = msgspec.structs.replace(TOGETHER, slack_s=60)
    queues = [others, SMALL, advised(never_late, 0.7, 2.0)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(4)
        await cell.submit("full", [step(4, cpu=4000)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(4, cpu=4000, all_at_once=True)], queue=2)
        await anyio.sleep(2.5)
        cell.advice.silent = True
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        # The first call that fails still has a claim.
        await anyio.sleep(2)
        for number in range(10):
            job = f"o{number}"
            asked_at = anyio.current_time()
            await cell.submit(job, [step(1, cpu=4000)])
            assert await cell.wait_for(job, JobState.COMPLETED, 4)
            assert max(starts_of(cell, job)) - asked_at < 0.1

    run_cell(program, queues=queues)


def test_permissions_that_expire_one_by_one_do_not_prevent_a_start():
    """A call takes longer than the permissions of the previous one remain valid."""
    queues = [advised(TOGETHER, 0.7, 0.8)]

    async def program(cell):
        await cell.submit("t", [step(5, cpu=4000, all_at_once=True)])
        await anyio.sleep(3)
        await cell.add_worker("w4")
        assert await cell.wait_for("t", JobState.COMPLETED, 4)

    run_cell(program, workers=4, queues=queues)


def test_an_all_at_once_step_that_needs_two_calls_gets_both_answers_in_time():
    """Both calls together take less time than a permission is valid."""
    count = MAX_WORKERS_PER_CALL + 50
    queues = [PLAIN, advised(TOGETHER, 0.7, 2.0, 0.006)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(5)
        await cell.submit("full", [step(count, cpu=4000)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(count, cpu=4000, all_at_once=True)], queue=1)
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        room_at = anyio.current_time()
        await cell.wait_for("t", JobState.COMPLETED, 10)
        assert starts_of(cell, "t")
        assert max(starts_of(cell, "t")) - room_at < MAX_WAIT_S

    run_cell(program, instances=1, workers=count, queues=queues)


@pytest.mark.parametrize(("call_s", "valid_s"), [(0.05, 0.25), (0.7, 0.25), (0.7, 0.5)])
@pytest.mark.parametrize("together", [False, True])
def test_work_starts_on_permissions_that_are_valid_for_a_short_while(
    call_s, valid_s, together
):
    """The validity is shorter than the margin for a start order, or than the call."""
    queues = [PLAIN, advised(TOGETHER, call_s, valid_s)]

    async def program(cell):
        await cell.submit("t", [step(4, all_at_once=together)], queue=1)
        assert await cell.wait_for("t", JobState.COMPLETED, MAX_WAIT_S + 1)

    run_cell(program, queues=queues)


@pytest.mark.parametrize("seed", range(4))
def test_searches_for_new_workers_do_not_delay_a_renewal(seed):
    """Workers join one after the other, and the owner asks about each."""
    queues = [PLAIN, advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(5)
        await cell.submit("full", [step(4, cpu=4000)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(4, cpu=4000, all_at_once=True)], queue=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_adding_full_workers, cell)
            assert await cell.wait_for("full", JobState.COMPLETED, 8)
            room_at = anyio.current_time()
            await cell.wait_for("t", JobState.COMPLETED, 10)
            tasks.cancel_scope.cancel()
        assert starts_of(cell, "t")
        assert max(starts_of(cell, "t")) - room_at < CALL_S + NOTICE_S

    run_cell(program, seed=seed, instances=5, queues=queues)


def test_a_claim_lasts_for_a_call_that_had_to_wait_for_a_lane():
    queues = [PLAIN, advised(TOGETHER, 0.7, 2.0)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(5)
        cell.behaviours["other"] = Behaviour(10)
        await cell.submit("full", [step(4, cpu=4000)])
        await cell.submit("t", [step(4, cpu=4000, all_at_once=True)], queue=1)
        await anyio.sleep(4.8)
        await cell.submit("x", [step(5, cpu=4000, all_at_once=True)], queue=1)
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        await anyio.sleep(0.8)
        await cell.submit("other", [step()])
        assert await cell.wait_for("t", JobState.COMPLETED, 4)
        assert max(starts_of(cell, "t")) < min(starts_of(cell, "other"))

    run_cell(program, instances=1, queues=queues)


def test_no_search_is_made_for_a_step_that_has_found_enough_workers():
    queues = [PLAIN, advised(TOGETHER, 0.7, 2.0)]
    count = MAX_WORKERS_PER_CALL + 20

    async def program(cell):
        await cell.submit("t", [step(2)], queue=1)
        assert await cell.wait_for("t", JobState.COMPLETED, 6)
        assert cell.advice.calls == 1

    run_cell(program, instances=1, workers=count, queues=queues)


@pytest.mark.parametrize("seed", range(4))
def test_claims_last_while_new_workers_are_searched(seed):
    """Without the claim, small work takes the room before the permissions arrive."""
    queues = [PLAIN, advised(SMALL, 0.01, 2.0), advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        waited_s = await start_in_changing_cell(
            cell, keep_adding_full_workers, keep_a_third_busy
        )
        assert waited_s < MAX_WAIT_S

    run_cell(program, seed=seed, workers=WORKERS, queues=queues)


def test_no_call_is_made_for_a_step_that_has_been_placed():
    """Such a call would occupy a lane that waiting steps need."""
    queues = [PLAIN, advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        cell.behaviours["t"] = Behaviour(3)
        await cell.submit("t", [step(2)], queue=1)
        await anyio.sleep(CALL_S / 2)
        await cell.add_worker("new")
        assert await cell.wait_for("t", JobState.COMPLETED, 6)
        assert cell.advice.calls == 1

    run_cell(program, queues=queues)


def test_the_owner_survives_a_queue_that_stops_using_advice():
    """A call about one of its steps is waiting for a lane when the manifest changes."""
    queues = [PLAIN, SMALL, advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(3)
        await cell.submit("full", [step(4, cpu=4000)])
        for job in ("t", "u"):
            await cell.submit(job, [step(4)], queue=2)
        await anyio.sleep(CALL_S / 2)
        cell.queues = [PLAIN, SMALL, TOGETHER]
        manifest = StoredManifest(2, cell.queues)
        await cell.put(MANIFEST_KEY, msgspec.json.encode(manifest))
        for job in ("t", "u"):
            assert await cell.wait_for(job, JobState.COMPLETED, 6)

    run_cell(program, instances=1, queues=queues)


@pytest.mark.parametrize("seed", range(4))
def test_a_steady_flow_of_quick_calls_does_not_starve_slow_ones(seed):
    """All lanes are hardly ever free at the same time."""
    queues = [PLAIN, advised(SMALL, 0.1, 2.0), advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_busy, cell, 22)
            await anyio.sleep(1)
            await cell.submit("t", [step(4, all_at_once=True)], queue=2)
            asked_at = anyio.current_time()
            await cell.wait_for("t", JobState.COMPLETED, 10)
            tasks.cancel_scope.cancel()
        assert starts_of(cell, "t")
        assert max(starts_of(cell, "t")) - asked_at < MAX_WAIT_S

    run_cell(program, seed=seed, workers=WORKERS, queues=queues)


@pytest.mark.parametrize("seed", range(4))
def test_claimed_room_is_not_taken_in_the_plan_that_uses_the_permissions(seed):
    """More urgent work waits for the same room, in a cell that is nearly empty."""
    queues = [PLAIN, SMALL, advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        cell.behaviours["t"] = Behaviour(1)
        await cell.submit("t", [step(2, cpu=4000, all_at_once=True)], queue=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_busy, cell, 2)
            await cell.wait_for("t", JobState.COMPLETED, 20)
            tasks.cancel_scope.cancel()
        assert starts_of(cell, "t")

    run_cell(program, seed=seed, workers=2, queues=queues)


def test_valid_permissions_are_used_while_the_step_requests_others():
    """Unless a step is all-at-once, its tasks do not wait for each other's workers."""
    queues = [PLAIN, advised(TOGETHER, CALL_S, 4.0)]
    task_s = 1.0

    async def program(cell):
        cell.behaviours["early"] = Behaviour(2.5)
        cell.behaviours["late"] = Behaviour(6.95)
        cell.behaviours["t"] = Behaviour(task_s)
        await cell.submit("early", [step(cpu=4000)])
        await cell.submit("late", [step(cpu=4000)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(12, cpu=4000)], queue=1)
        assert await cell.wait_for("late", JobState.COMPLETED, 10)
        ended_at = anyio.current_time()
        before = [at for at in starts_of(cell, "t") if at < ended_at]
        assert await cell.wait_for("t", JobState.COMPLETED, 12)
        next_at = starts_of(cell, "t")[len(before)]
        assert next_at < before[-1] + task_s + NOTICE_S
        assert next_at < ended_at + CALL_S

    run_cell(program, workers=2, queues=queues)


def test_no_call_is_made_for_chosen_workers_without_room():
    """Such a call would occupy a lane that startable steps need."""
    patient = Queue("patient", HOST, "/patient/", "service", 2, 2, 2.0, 60)
    queues = [PLAIN, patient, advised(TOGETHER, CALL_S, 2.0)]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(4.8)
        cell.behaviours["other"] = Behaviour(10)
        await cell.submit("full", [step(4, cpu=4000)])
        await anyio.sleep(0.1)
        await cell.submit("t", [step(4, cpu=4000, all_at_once=True)], queue=2)
        await anyio.sleep(4.2)
        # Its call occupies the only lane while room for "t" becomes free and is taken.
        await cell.submit("x", [step(5, cpu=4000, all_at_once=True)], queue=2)
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        assert cell.advice.calls == 2
        await cell.submit("other", [step()], queue=1)
        await anyio.sleep(2 * CALL_S)
        assert starts_of(cell, "other")
        assert cell.advice.calls == 2

    run_cell(program, instances=1, queues=queues)


def test_workers_that_lack_the_label_of_a_step_are_not_asked_about():
    queues = [advised(TOGETHER, 0.1, 2.0, 0.01)]

    async def program(cell):
        await cell.add_worker("fits", labels=frozenset({"press"}))
        await anyio.sleep(1)
        asked_at = anyio.current_time()
        await cell.submit("t", [step(required_label="press")])
        assert await cell.wait_for("t", JobState.COMPLETED, 4)
        assert starts_of(cell, "t")[0] - asked_at < 0.2

    run_cell(program, workers=40, queues=queues)


async def submit_small_jobs(cell, pause_s):
    """Submits small jobs, each of which needs a call, until cancelled."""
    number = 0
    while True:
        number += 1
        await cell.submit(f"s{number}", [step()], queue=2)
        await anyio.sleep(pause_s)


def test_a_claim_lasts_while_its_last_call_waits_behind_calls_of_other_steps():
    """Other calls occupy the only lane for a quarter of the time."""
    count = MAX_WORKERS_PER_CALL + 50
    queues = [
        PLAIN,
        advised(TOGETHER, CALL_S, 2.0, 0.006),
        advised(SMALL, 0.5, 2.0),
    ]

    async def program(cell):
        cell.behaviours["full"] = Behaviour(5)
        await cell.submit("full", [step(count, cpu=3900)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(count, cpu=3900, all_at_once=True)], queue=1)
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(3)
            tasks.start_soon(submit_small_jobs, cell, 2.0)
            assert await cell.wait_for("full", JobState.COMPLETED, 8)
            room_at = anyio.current_time()
            await cell.wait_for("t", JobState.COMPLETED, 16)
            tasks.cancel_scope.cancel()
        assert starts_of(cell, "t")
        assert max(starts_of(cell, "t")) - room_at < MAX_WAIT_S

    run_cell(program, instances=1, workers=count + 12, queues=queues)
