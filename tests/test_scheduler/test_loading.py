"""Loading of jobs by a new owner, and the retention of ended jobs."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.job_store import JobKey
from lacewinghold.scheduler.model import JobState
from lacewinghold.schema.generated.cell import EndBatch, JobOutcome, TaskEndEntry
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.testing.store import StoreFault
from lacewinghold.util.codec import to_json
from tests.test_scheduler.support import run_cell, step

PREFIX = "lacewinghold/"
ENDED_KEYS = (f"{PREFIX}j/", f"{PREFIX}l/", f"{PREFIX}e/")


def other_member(cell):
    """Returns a member that is not the owner."""
    owner = cell.owner()
    return next(member for member in cell.members if member is not owner)


async def complete(cell, count):
    """Submits jobs and waits until they are completed."""
    for number in range(count):
        cell.behaviours[f"j{number}"] = Behaviour(0.1)
        await cell.submit(f"j{number}", [step(2), step(2, after=[0])])
    for number in range(count):
        assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 20)


def owner_elsewhere(cell, owner):
    """Returns the new owner, ``None`` while there is none besides the earlier one."""
    for member in cell.members:
        found = member.instance.owner
        if found is not None and found is not owner:
            return found
    return None


def bytes_for_a_takeover(ended):
    """Returns the bytes that the next owner loads, after some jobs have ended."""

    async def program(cell):
        await complete(cell, ended)
        cell.behaviours["open"] = Behaviour(30)
        await cell.submit("open", [step(2)])
        await anyio.sleep(6)
        cell.kill(cell.owner())
        sizes = []
        for member in cell.members:
            count_reads(member, sizes)
        await cell.wait_for_owner()
        owner = cell.owner().instance.owner
        assert list(owner.table.jobs) == ["open"]
        return sum(sizes)

    return run_cell(program)


def count_reads(member, sizes):
    """Records the sizes of values that a member reads as an owner while it loads."""
    read = member.store.range

    async def range_counted(key, *, prefix=False):
        reply = await read(key, prefix=prefix)
        owner = member.instance.owner
        if owner is not None and not owner.loaded:
            sizes.extend(len(item.value) for item in reply.ok_value.items)
        return reply

    member.store.range = range_counted


def test_loaded_bytes_do_not_grow_with_the_number_of_ended_jobs():
    assert bytes_for_a_takeover(40) <= bytes_for_a_takeover(2)


def watch_first_accept(table):
    """Returns an event that is set when a table accepts its first job."""
    accept = table.accept
    building = anyio.Event()

    def accept_watched(record):
        building.set()
        accept(record)

    table.accept = accept_watched
    return building


def test_renewals_go_on_while_jobs_are_loaded():
    """Building all jobs without yielding would block the event loop for seconds."""
    count = 300

    async def program(cell):
        member = other_member(cell)
        for number in range(count):
            record = cell.make_job(f"j{number}", [step(10)])
            await member.instance.jobs.accept(record)
        earlier = cell.owner().instance.owner
        cell.state.latency_s = 0.05
        cell.kill(cell.owner())
        while (owner := owner_elsewhere(cell, earlier)) is None:
            await anyio.sleep(0.01)
        building = watch_first_accept(owner.table)
        await building.wait()
        turns = [0]
        while not owner.loaded:
            turns.append(len(owner.table.jobs))
            await anyio.sleep(0)
        turns.append(len(owner.table.jobs))
        assert turns[-1] == count
        built = [later - turn for turn, later in zip(turns, turns[1:], strict=False)]
        assert max(built) <= 50

    run_cell(program)


@pytest.mark.parametrize("seed", range(4))
def test_an_ended_job_submitted_again_is_the_same_job(seed):
    async def program(cell):
        await complete(cell, 3)
        starts = len(cell.world.starts)
        cell.kill(cell.owner())
        for _ in range(40):
            for number in range(3):
                record = cell.jobs[f"j{number}"]
                assert (
                    await cell.rng.choice(cell.members).instance.front.submit(record)
                ).is_ok()
            await anyio.sleep(0.1)
        cell.kill(cell.owner())
        await cell.wait_for_owner()
        await anyio.sleep(5)
        for number in range(3):
            assert await cell.state_of(f"j{number}") is JobState.COMPLETED
        assert len(cell.world.starts) == starts

    run_cell(program, seed=seed)


def test_a_late_notice_of_an_ended_job_does_not_run_it_again():
    async def program(cell):
        await complete(cell, 3)
        starts = len(cell.world.starts)
        cell.kill(cell.owner())
        for _ in range(4000):
            for member in cell.members:
                member.instance.apply_accepted_job(cell.jobs["j0"])
            await anyio.sleep(0.001)
        assert cell.owner() is not None
        assert len(cell.world.starts) == starts

    run_cell(program)


def test_an_acceptance_that_takes_effect_after_the_jobs_end_runs_nothing():
    """The first write was unanswered and delayed; the retry took effect before it."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(0.2)
        member = other_member(cell)
        member.store.faults = [StoreFault.DELAYED]
        record = cell.make_job("a", [step()])
        assert (await member.instance.front.submit(record)).is_ok()
        assert await cell.wait_for("a", JobState.COMPLETED, 1)
        assert cell.state.late_writes
        await anyio.sleep(5)
        assert not cell.state.late_writes
        cell.kill(cell.owner())
        await cell.wait_for_owner()
        await anyio.sleep(5)
        assert len(cell.world.starts) == 1
        assert await cell.state_of("a") is JobState.COMPLETED

    run_cell(program)


def test_an_ended_job_is_known_while_there_is_no_owner():
    async def program(cell):
        await complete(cell, 3)
        cell.kill(cell.owner())
        asked = 0
        while cell.owner() is None:
            for member in cell.members:
                state = await member.instance.front.state("j0")
                assert state.ok_value is JobState.COMPLETED
                assert (await member.instance.front.cancel("j0")).is_ok()
                asked += 1
            await anyio.sleep(0.01)
        assert asked > 20
        assert await cell.state_of("j0") is JobState.COMPLETED
        assert await cell.state_of("unknown") is None

    run_cell(program)


def test_a_job_that_ends_during_a_query_is_found():
    """Between the two reads its record is replaced by its outcome."""

    async def program(cell):
        store = other_member(cell).instance.jobs
        cell.behaviours["a"] = Behaviour(0.5)
        await cell.submit("a", [step()])
        ended = cell.wait_for("a", JobState.COMPLETED, 5)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(query_repeatedly, store, tasks.cancel_scope)
            assert await ended
            tasks.cancel_scope.cancel()

    async def query_repeatedly(store, scope):
        while True:
            assert (await store.read("a")).ok_value.exists()

    run_cell(program)


def hold_acknowledgements(cell):
    """Prevents the owner from acknowledging stored ends to the workers."""
    for driver in cell.owner().instance.owner.fleet.drivers.values():
        driver.acknowledge = lambda number: None


def test_ends_of_an_ended_job_do_not_delay_a_worker_after_a_takeover():
    """Workers list unacknowledged ends again.

    Later ends waited 2 s for the job of an earlier end to be loaded.
    """

    async def program(cell):
        hold_acknowledgements(cell)
        cell.behaviours["b"] = Behaviour(3.0)
        await cell.submit("b", [step(4, cpu=1000)])
        await complete(cell, 3)
        await anyio.sleep(0.5)
        cell.kill(cell.owner())
        listing = [w.id for w in cell.world.workers.values() if w.ends]
        assert listing
        await cell.wait_for_owner()
        fleet = cell.owner().instance.owner.fleet
        await anyio.sleep(0.5)
        assert all(fleet.drivers[worker].last_processed_end for worker in listing)
        assert await cell.wait_for("b", JobState.COMPLETED, 4)

    run_cell(program)


def test_runs_of_a_cancelled_job_are_stopped_soon_after_a_takeover():
    """The cancellation is durable, but the owner died before it stopped the runs."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        await cell.submit("a", [step(4)])
        await anyio.sleep(0.5)
        owner = cell.owner()
        owner.instance.owner.fleet.stop_run = lambda run: None
        assert (await owner.instance.front.cancel("a")).is_ok()
        await anyio.sleep(0.3)
        assert f"{PREFIX}j/a/a" not in cell.state.keys
        cell.kill(owner)
        await cell.wait_for_owner()
        await anyio.sleep(1)
        assert not any(worker.runs for worker in cell.world.workers.values())
        assert await cell.state_of("a") is JobState.CANCELLED

    run_cell(program)


def slow_stops(cell, seconds):
    """Delays the stops of runs on all workers by some seconds."""

    def slow(stop):
        async def stop_slowly(order):
            await anyio.sleep(seconds)
            return await stop(order)

        return stop_slowly

    for worker in cell.world.workers.values():
        worker.stop = slow(worker.stop)


def test_a_slow_stop_of_an_ended_jobs_run_does_not_delay_a_takeover():
    """The run holds resources of its worker, but nothing else waits for it."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        cell.behaviours["b"] = Behaviour(60)
        await cell.submit("a", [step(1)])
        await cell.submit("b", [step(1)])
        await anyio.sleep(0.5)
        owner = cell.owner()
        owner.instance.owner.fleet.stop_run = lambda run: None
        assert (await owner.instance.front.cancel("a")).is_ok()
        await anyio.sleep(0.3)
        slow_stops(cell, 3.0)
        cell.kill(owner)
        await cell.wait_for_owner()
        await anyio.sleep(0.5)
        assert cell.owner().instance.owner.recovered
        runs = [run for w in cell.world.workers.values() for run in w.runs]
        assert {task.partition(".")[0] for task, _ in runs} == {"a", "b"}

    run_cell(program)


def test_a_cancellation_after_the_jobs_end_leaves_no_key():
    async def program(cell):
        store = other_member(cell).instance.jobs
        cell.behaviours["a"] = Behaviour(0.2)
        await cell.submit("a", [step()])
        stored = (await store.read("a")).ok_value
        assert await cell.wait_for("a", JobState.COMPLETED, 5)
        assert (await store.cancel("a", stored)).ok_value is False
        assert [key for key in cell.state.keys if "/a" in key] == [f"{PREFIX}e/a"]

    run_cell(program)


def test_the_ends_of_an_open_job_stay_until_its_outcome_is_durable():
    """Without ends and outcome, the next owner would run the tasks again."""

    async def program(cell):
        lasting = []

        def check(batch):
            ended = f"{PREFIX}e/a" in cell.state.keys
            stored = [key for key in cell.state.keys if key.startswith(f"{PREFIX}l/")]
            done = len(cell.world.done)
            lasting.append((done, len(stored), ended))

        cell.state.listeners.append(check)
        cell.behaviours["a"] = Behaviour(0.2)
        await cell.submit("a", [step(2), step(2, after=[0]), step(2, after=[1])])
        assert await cell.wait_for("a", JobState.COMPLETED, 5)
        seen = [(done, stored) for done, stored, ended in lasting if not ended]
        assert max(stored for _, stored in seen) >= 2
        kept = [stored for _, stored in seen]
        assert kept == sorted(kept)
        await anyio.sleep(10)
        assert not [key for key in cell.state.keys if key.startswith(f"{PREFIX}l/")]

    run_cell(program)


@pytest.mark.parametrize("seed", range(6))
def test_ends_are_removed_in_any_order_of_the_writes(seed):
    """The next owner removes ends whose write took effect after their removal."""

    async def program(cell):
        for number in range(30):
            cell.behaviours[f"j{number}"] = Behaviour(cell.rng.uniform(0.05, 0.4))
            await cell.submit(f"j{number}", [step(2), step(1, after=[0])])
            owner = cell.owner()
            if owner is not None and number % 3 == 0:
                fault = cell.rng.choice([StoreFault.REPLY_LOST, StoreFault.DELAYED])
                owner.store.faults.append(fault)
        for number in range(30):
            assert await cell.wait_for(f"j{number}", JobState.COMPLETED, 30)
        await anyio.sleep(5)
        cell.kill(cell.owner())
        await cell.wait_for_owner()
        await anyio.sleep(10)
        kept = [key for key in cell.state.keys if key.startswith(ENDED_KEYS[:2])]
        assert kept == []

    run_cell(program, seed=seed)


def test_a_store_of_the_previous_version_is_loaded():
    """It stored an ended job's record, cancellation and outcome side by side."""

    async def program(cell):
        owner = cell.owner()
        keys = owner.instance.jobs
        for name in ("done", "cancelled", "open"):
            record = cell.make_job(name, [step(2)])
            await cell.put(keys.key(name, JobKey.ACCEPTED), to_json(record))
        cell.kill(owner)
        await cell.put(keys.key("cancelled", JobKey.CANCELLED), b"{}")
        for name, state in (("done", "completed"), ("cancelled", "cancelled")):
            outcome = JobOutcome(state=state, at=cell.clock.now())
            await cell.put(keys.key(name, JobKey.OUTCOME), to_json(outcome))
        ends = [TaskEndEntry(task=f"done.0.0.{i}", run=1, done=True) for i in (0, 1)]
        await cell.put(f"{PREFIX}l/00000000/00000001", to_json(EndBatch(ends=ends)))
        starts = len(cell.world.starts)
        await cell.wait_for_owner()
        table = cell.owner().instance.owner.table
        assert list(table.jobs) == ["open"]
        for _ in range(10):
            assert await cell.state_of("done") is JobState.COMPLETED
            assert await cell.state_of("cancelled") is JobState.CANCELLED
            assert (
                await cell.members[0].instance.front.submit(cell.jobs["done"])
            ).is_ok()
        assert await cell.wait_for("open", JobState.COMPLETED, 10)
        late = {start.task.partition(".")[0] for start in cell.world.starts[starts:]}
        assert late <= {"open"}
        await anyio.sleep(170)
        assert [key for key in cell.state.keys if key.startswith(ENDED_KEYS)] == []

    run_cell(program)


def test_an_owner_drops_the_tasks_of_ended_jobs():
    """Counts, plans and manifest updates iterated over all jobs of the last 150 s."""

    async def program(cell):
        await complete(cell, 20)
        cell.behaviours["open"] = Behaviour(60)
        await cell.submit("open", [step(2)])
        await anyio.sleep(20)
        table = cell.owner().instance.owner.table
        assert list(table.jobs) == ["open"]
        assert len(table.steps) == 1
        starts = len(cell.world.starts)
        for number in range(20):
            assert await cell.state_of(f"j{number}") is JobState.COMPLETED
            assert (await cell.submit(f"j{number}", [step(2)])).is_ok()
        await anyio.sleep(5)
        assert len(cell.world.starts) == starts

    run_cell(program)


def test_a_late_store_event_of_an_ended_job_does_not_run_it_again():
    """The event arrives after the job's retention period."""

    async def program(cell):
        owner = cell.owner().instance.owner
        cell.behaviours["a"] = Behaviour(0.2)
        owner.job_mirror.min_poll_interval_s = 1000
        await cell.submit("first", [step()])
        await cell.submit("a", [step()])
        accepted = cell.state.keys[f"{PREFIX}j/a/a"]
        assert await cell.wait_for("a", JobState.COMPLETED, 5)
        await anyio.sleep(200)
        assert cell.owner().instance.owner is owner
        owner.table.apply_job_key(accepted)
        await anyio.sleep(5)
        assert len([s for s in cell.world.starts if s.task.startswith("a.")]) == 1

    run_cell(program)


def test_a_busy_owner_does_not_lag_behind_the_store():
    """A pause per change let it lag by minutes while records were added and removed."""

    async def program(cell):
        owner = cell.owner().instance.owner
        for number in range(60):
            cell.behaviours[f"j{number}"] = Behaviour(0.1)
            await cell.submit(f"j{number}", [step()])
            await anyio.sleep(0.1)
        await anyio.sleep(1.5)
        assert owner.job_mirror.revisions == {}
        for job in owner.table.jobs.values():
            assert job.record_removed

    run_cell(program)


def test_an_ended_job_with_active_runs_is_kept():
    """A run holds resources until it is known to have ended."""

    async def program(cell):
        cell.behaviours["a"] = Behaviour(60)
        await cell.submit("a", [step(4, cpu=4000)])
        await anyio.sleep(0.5)
        owner = cell.owner().instance.owner
        owner.fleet.stop_run = lambda run: None
        assert (await cell.members[0].instance.front.cancel("a")).is_ok()
        await anyio.sleep(20)
        assert "a" in owner.table.jobs
        del owner.fleet.stop_run
        owner.table.close_job(owner.table.jobs["a"])
        await anyio.sleep(20)
        assert "a" not in owner.table.jobs
        assert not any(node.runs for node in owner.fleet.nodes.values())
        assert await cell.state_of("a") is JobState.CANCELLED

    run_cell(program)


def test_a_damaged_record_does_not_prevent_loading_the_others():
    async def program(cell):
        owner = cell.owner()
        cell.kill(owner)
        keys = owner.instance.jobs
        await cell.put(keys.key("a", JobKey.ACCEPTED), b"?")
        await cell.put(keys.key("b", JobKey.ACCEPTED), to_json(cell.make_job("c", [])))
        record = cell.make_job("good", [step(2)])
        await cell.put(keys.key("good", JobKey.ACCEPTED), to_json(record))
        await cell.wait_for_owner()
        assert await cell.wait_for("good", JobState.COMPLETED, 10)

    run_cell(program)


def test_ended_jobs_of_earlier_owners_are_removed_after_their_retention():
    async def program(cell):
        await complete(cell, 4)
        cell.kill(cell.owner())
        await cell.wait_for_owner()
        await anyio.sleep(100)
        assert await cell.state_of("j0") is JobState.COMPLETED
        await anyio.sleep(70)
        assert await cell.state_of("j0") is None
        assert [key for key in cell.state.keys if key.startswith(ENDED_KEYS)] == []

    run_cell(program)
