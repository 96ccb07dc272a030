"""Workers whose capacity shrinks and grows again while they run."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from bench.planner_day import make_nodes
from lacewinghold.scheduler.admission import BacklogMonitor
from lacewinghold.scheduler.cell import WORKER_SYNC_INTERVAL_S
from lacewinghold.scheduler.model import JobState, TaskState
from lacewinghold.scheduler.ports import Queue, Resources
from lacewinghold.scheduler.room import fitting_count, fullness
from lacewinghold.testing.step_cell import CAPACITY, HOST, advised
from lacewinghold.testing.step_worker import Behaviour, OrderFault
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_policy_properties import make_snapshot

# For the owner to learn of changed entries. Far less than the grace of the platform,
# which counts a capacity that has shrunk for SHRINK_GRACE_S.
NEWS_S = WORKER_SYNC_INTERVAL_S + 0.1
SHRINK_GRACE_S = 4.0
NOTICE_S = NEWS_S + 0.1  # For the start to reach the worker as well.
CALL_S = 0.7
MAX_TRIES_PER_S = 2  # Of a task; the platform prices starts that are refused.
HALF = Resources(cpu_millis=2000, memory_mb=8000)
QUARTER = Resources(cpu_millis=1000, memory_mb=8000)
PLAIN = Queue("plain", HOST, "/plain/", "service", 1, 2, 2.0, 60)
URGENT = Queue("urgent", HOST, "/urgent/", "service", 0, 2, 2.0, 60)
ADVISED = advised(Queue("asks", HOST, "/asks/", "service", 0, 2, 2.0, 60), CALL_S, 2.0)


def starts_of(cell, job):
    """Returns the starts of the tasks of a job."""
    return [start for start in cell.world.starts if start.task.startswith(f"{job}.")]


def workers_of(cell):
    """Returns the workers in order of their ids."""
    return [cell.world.workers[worker] for worker in sorted(cell.world.workers)]


async def change_all(cell, capacity):
    """Changes the capacity of all workers."""
    for worker in workers_of(cell):
        await cell.change_capacity(worker, capacity)


@pytest.mark.parametrize("takeover", [False, True], ids=["same owner", "new owner"])
def test_runs_beyond_a_smaller_capacity_go_on_and_nothing_starts_beside_them(takeover):
    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        for index, seconds in enumerate((6, 7, 8, 9)):
            cell.behaviours[f"a.0.0.{index}"] = Behaviour(seconds)
        await cell.submit("a", [step(4)])
        await anyio.sleep(0.5)
        began_at = anyio.current_time()
        await cell.change_capacity(workers_of(cell)[0], HALF)
        await cell.submit("b", [step(2)])
        if takeover:
            cell.kill(cell.owner())
        assert await cell.wait_for("a", JobState.COMPLETED, 12)
        assert await cell.wait_for("b", JobState.COMPLETED, 4)
        assert len(starts_of(cell, "a")) == 4
        ended_s = [6.5, 7.5, 8.5]
        # Three tasks must end before one more fits beside the last.
        first, second = [start.at - began_at for start in starts_of(cell, "b")]
        assert ended_s[1] < first < ended_s[2] + NOTICE_S
        assert second > ended_s[2] - 1

    run_cell(program, workers=1, limit_s=40)


def test_work_starts_soon_after_the_capacity_has_grown_from_zero():
    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        await cell.submit("a", [step(4, cpu=1000)])
        await anyio.sleep(0.3)
        await change_all(cell, Resources())
        await anyio.sleep(NEWS_S)
        await cell.submit("b", [step(3)])
        await cell.submit("c", [step(1, cpu=4000)])
        assert await cell.wait_for("a", JobState.COMPLETED, 3)
        await anyio.sleep(10)
        assert not starts_of(cell, "b") + starts_of(cell, "c")
        for job in ("b", "c"):
            assert await cell.state_of(job) is JobState.QUEUED
        grown_at = anyio.current_time()
        await change_all(cell, CAPACITY)
        for job in ("b", "c"):
            assert await cell.wait_for(job, JobState.COMPLETED, 4)
            for start in starts_of(cell, job):
                assert start.at - grown_at < NOTICE_S

    run_cell(program, limit_s=40)


@pytest.mark.parametrize("together", [False, True])
def test_a_step_that_fits_nowhere_any_more_waits_until_it_fits_again(together):
    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        cell.behaviours["full"] = Behaviour(3)
        await cell.submit("full", [step(4, cpu=4000)])
        await cell.submit("t", [step(4, cpu=3000, all_at_once=together)])
        await anyio.sleep(1)
        await change_all(cell, HALF)
        # Smaller work has the cell meanwhile: nothing is reserved in vain.
        assert await cell.wait_for("full", JobState.COMPLETED, 4)
        asked_at = anyio.current_time()
        await cell.submit("small", [step(8)])
        assert await cell.wait_for("small", JobState.COMPLETED, 4)
        assert max(s.at for s in starts_of(cell, "small")) - asked_at < NOTICE_S
        assert await cell.state_of("t") is JobState.QUEUED
        cell.kill(cell.owner())
        await anyio.sleep(8)
        assert await cell.state_of("t") is JobState.QUEUED
        grown_at = anyio.current_time()
        await change_all(cell, CAPACITY)
        assert await cell.wait_for("t", JobState.COMPLETED, 4)
        assert max(s.at for s in starts_of(cell, "t")) - grown_at < NOTICE_S

    run_cell(program, limit_s=40)


@pytest.mark.parametrize("together", [False, True])
@pytest.mark.parametrize("shrunk_after_s", [0.05, 0.4, 0.65, 0.72, 1.0])
def test_a_choice_that_no_longer_fits_is_not_started_on_its_permissions(
    shrunk_after_s, together
):
    """Before the first call, during it, as it answers, and during a second one."""
    queues = [PLAIN, ADVISED]

    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        cell.behaviours["full"] = Behaviour(4)
        await cell.submit("full", [step(4, cpu=4000)])
        await anyio.sleep(3.5)
        await cell.submit("t", [step(4, cpu=3000, all_at_once=together)], queue=1)
        await anyio.sleep(shrunk_after_s)
        shrunk = workers_of(cell)[:2]
        for worker in shrunk:
            await cell.change_capacity(worker, HALF)
        shrunk_at = anyio.current_time()
        await cell.submit("small", [step(2, cpu=2000)])
        await anyio.sleep(4)
        late = {s.worker for s in starts_of(cell, "t") if s.at > shrunk_at + NEWS_S}
        assert not late & {worker.id for worker in shrunk}
        assert starts_of(cell, "small")
        grown_at = anyio.current_time()
        await change_all(cell, CAPACITY)
        assert await cell.wait_for("t", JobState.COMPLETED, 2 * CALL_S + 4)
        assert max(s.at for s in starts_of(cell, "t")) - grown_at < 3.0

    run_cell(program, queues=queues, limit_s=40)


@pytest.mark.parametrize("together", [False, True])
@pytest.mark.parametrize(
    "faults",
    [
        [OrderFault.CARRIED_OUT_LATE],
        [OrderFault.CARRIED_OUT_LATE] * 2,
        [OrderFault.CARRIED_OUT_LATE] * 3,
    ],
    ids=len,
)
def test_a_start_that_no_longer_fits_is_not_sent_again(faults, together):
    """The late orders are carried out two seconds after they were sent."""

    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        first, second = workers_of(cell)
        await cell.change_capacity(second, QUARTER)
        await anyio.sleep(0.5)
        first.faults = list(faults)
        cell.behaviours["t"] = Behaviour(3)
        await cell.submit("t", [step(1, cpu=3000, all_at_once=together)])
        await anyio.sleep(0.15)
        assert not first.faults[len(faults) - 1 :]
        await cell.change_capacity(first, HALF)
        await anyio.sleep(5)
        assert not starts_of(cell, "t")
        first.faults.clear()
        grown_at = anyio.current_time()
        await cell.change_capacity(first, CAPACITY)
        assert await cell.wait_for("t", JobState.COMPLETED, 6)
        assert starts_of(cell, "t")[0].at - grown_at < NOTICE_S

    run_cell(program, workers=2, limit_s=40)


def test_a_run_that_is_listed_goes_on_though_its_start_was_not_confirmed():
    """The end of another run brings a report before the start is sent again."""

    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        worker = workers_of(cell)[0]
        cell.behaviours["short"] = Behaviour(0.3)
        cell.behaviours["t"] = Behaviour(3)
        await cell.submit("short", [step(1)])
        await anyio.sleep(0.1)
        worker.faults = [OrderFault.REPLY_LOST]
        await cell.submit("t", [step(1, cpu=3000)])
        await anyio.sleep(0.1)
        assert not worker.faults
        await cell.change_capacity(worker, HALF)
        assert await cell.wait_for("t", JobState.COMPLETED, 8)
        assert len(starts_of(cell, "t")) == 1

    run_cell(program, workers=1, limit_s=40)


def test_a_reservation_moves_from_workers_that_have_become_too_small():
    """Otherwise small work would take the workers that an all-at-once step needs."""
    queues = [PLAIN, URGENT]

    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        cell.behaviours["full"] = Behaviour(4)
        await cell.submit("full", [step(8, cpu=4000)])
        await anyio.sleep(0.5)
        await cell.submit("t", [step(4, cpu=4000, all_at_once=True)], queue=1)
        await anyio.sleep(0.5)
        planning = cell.owner().instance.owner.planning
        reserved = planning.reserved["t.0.0"]
        for worker in reserved[:3]:
            await cell.change_capacity(cell.world.workers[worker], QUARTER)
        await anyio.sleep(0.6)
        assert not set(planning.reserved["t.0.0"]) & set(reserved[:3])
        assert len(planning.reserved["t.0.0"]) == 4
        for number in range(12):
            await cell.submit(f"s{number}", [step(2)])
        assert await cell.wait_for("full", JobState.COMPLETED, 8)
        room_at = anyio.current_time()
        assert await cell.wait_for("t", JobState.COMPLETED, 8)
        assert max(s.at for s in starts_of(cell, "t")) - room_at < NOTICE_S

    run_cell(program, workers=8, queues=queues, limit_s=40)


@pytest.mark.parametrize(
    ("before", "after", "fitting"), [(CAPACITY, HALF, 2), (HALF, CAPACITY, 4)]
)
def test_a_worker_that_restarts_with_another_capacity_is_filled_up_to_it(
    before, after, fitting
):
    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        worker = workers_of(cell)[0]
        await cell.change_capacity(worker, before)
        await anyio.sleep(1)
        cell.behaviours["a"] = Behaviour(3)
        await cell.submit("a", [step(4)])
        await anyio.sleep(0.5)
        worker.crash()
        await cell.add_worker(str(worker.id), 2, capacity=after)
        await anyio.sleep(1)
        assert len(worker.runs) == fitting
        assert await cell.wait_for("a", JobState.COMPLETED, 8)

    run_cell(program, workers=1, limit_s=40)


def test_latency_sensitive_work_waits_beside_fillers_on_a_worker_that_is_too_full():
    """A filler takes no CPU, and a worker over its capacity gets none."""

    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        cell.behaviours["a"] = Behaviour(4)
        cell.behaviours["serve"] = Behaviour(2)
        await cell.submit("a", [step(3)])
        await cell.submit("fill", [step(2, fills=True)])
        await anyio.sleep(0.5)
        await cell.change_capacity(workers_of(cell)[0], QUARTER)
        await anyio.sleep(NEWS_S)
        await cell.submit("fill2", [step(2, fills=True)])
        await cell.submit("serve", [step(1, latency_target_ms=50)])
        await anyio.sleep(2)
        assert not starts_of(cell, "serve") + starts_of(cell, "fill2")
        assert await cell.wait_for("a", JobState.COMPLETED, 4)
        for job in ("serve", "fill2"):
            assert await cell.wait_for(job, JobState.COMPLETED, 8)

    run_cell(program, workers=1, limit_s=40)


def test_the_backlog_is_computed_with_the_present_capacity():
    async def program(cell):
        cell.world.shrink_grace_s = NEWS_S
        instance = cell.owner().instance
        monitor = BacklogMonitor(instance, instance.owner)
        cell.behaviours["a"] = cell.behaviours["b"] = Behaviour(8)
        await cell.submit("a", [step(8)])
        await cell.submit("b", [step(20, cpu=2000)])
        await anyio.sleep(0.5)
        now = anyio.current_time()
        assert monitor.used_share("service", now) == 1
        for capacity, share in ((HALF, 2), (QUARTER, 4), (CAPACITY, 1)):
            await change_all(cell, capacity)
            await anyio.sleep(NEWS_S)
            now = anyio.current_time()
            found, used = monitor.capacity("service", now)
            assert found == capacity.times(4)
            assert used.cpu_millis == CAPACITY.times(4).cpu_millis
            assert monitor.used_share("service", now) == share
            for _ in range(3):
                monitor.record_check()
            waits_s = monitor.expected_wait_s(cell.queues[0])
            ahead_s = monitor.pools["service"].work_ahead(0).cpu_milli_s / 1000
            assert waits_s == ahead_s / (capacity.cpu_millis * 4 / 1000) > 0
            utilisation = instance.owner.fleet.core_utilisation()
            assert utilisation == share
        await change_all(cell, Resources())
        await anyio.sleep(NEWS_S)
        monitor.record_check()
        assert monitor.expected_wait_s(cell.queues[0]) == 0
        assert instance.owner.fleet.core_utilisation() == 0

    run_cell(program, limit_s=40)


def test_a_worker_that_refuses_for_want_of_room_is_not_asked_again_at_once():
    """Its entry, which would tell the owner of the smaller capacity, comes late."""

    async def program(cell):
        cell.world.guards_capacity = True
        small = workers_of(cell)[0]
        small.change_capacity(QUARTER)
        cell.behaviours["t"] = Behaviour(10)
        await cell.submit("t", [step(16)])
        await anyio.sleep(3)
        assert len(starts_of(cell, "t")) >= 12
        assert cell.world.refusals <= 3 * (1 + 3 * MAX_TRIES_PER_S)
        await cell.change_capacity(small, QUARTER)
        await anyio.sleep(1)
        refusals = cell.world.refusals
        await anyio.sleep(2)
        assert cell.world.refusals == refusals
        assert len(starts_of(cell, "t")) == 13

    run_cell(program, limit_s=40)


AMOUNTS = st.builds(
    Resources,
    st.sampled_from([0, 1000, 4000]),
    st.sampled_from([0, 100, 8000]),
    st.sampled_from([0, 1, 4]),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(AMOUNTS, AMOUNTS, AMOUNTS, st.integers(0, 5))
def test_no_task_fits_on_a_worker_that_is_over_its_capacity(
    room, used, capacity, limit
):
    (node,) = make_nodes(1)
    node.entry = replace(node.entry, capacity=capacity)
    node.used = used
    count = fitting_count(room, node.free(), limit)
    assert 0 <= count <= limit
    if count:
        assert used.plus(room.times(count)).within(capacity)
    elif limit:
        assert not used.plus(room).within(capacity)
    assert fullness(node.free(), capacity) >= 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(make_snapshot(), st.data())
def test_a_plan_brings_no_worker_over_a_capacity_that_has_shrunk(snapshot, data):
    """The claims and the runs are those of the larger capacity."""
    shares = st.sampled_from([0, 0.1, 0.3, 0.7, 1, 1])
    for node in snapshot.nodes.values():
        share = data.draw(shares)
        capacity = node.entry.capacity
        smaller = Resources(
            int(capacity.cpu_millis * share),
            int(capacity.memory_mb * data.draw(st.sampled_from([share, 1]))),
        )
        node.entry = replace(node.entry, capacity=smaller)
    used = {node.id: node.used for node in snapshot.nodes.values()}
    plan = snapshot.make_plan()
    for placement in plan.placements:
        for task, node in placement.tasks:
            assert task.state is TaskState.WAITING
            used[node.id] = used[node.id].plus(placement.step.room)
            assert used[node.id].within(node.entry.capacity)
    for name, workers in plan.reserved.items():
        room = next(s.room for s in snapshot.steps if s.name == name)
        for worker in workers:
            assert room.within(snapshot.nodes[worker].entry.capacity)


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["shrink", "grow", "zero", "kill", "lose", "late", "restart"]),
        st.integers(0, 2),
        st.sampled_from([0.05, 0.3, 1.0, 2.2]),
    ),
    min_size=4,
    max_size=12,
)


async def make_change(cell, kind, worker):
    """Makes one drawn change of the cell."""
    if kind == "shrink":
        await cell.change_capacity(worker, QUARTER)
    elif kind == "grow":
        await cell.change_capacity(worker, CAPACITY)
    elif kind == "zero":
        await cell.change_capacity(worker, Resources())
    elif kind == "kill":
        cell.kill(await cell.wait_for_owner())
        cell.add_member()
    elif kind == "lose":
        worker.faults = [OrderFault.REPLY_LOST] * 2
    elif kind == "late":
        worker.faults = [OrderFault.CARRIED_OUT_LATE] * 2
    else:
        worker.crash()
        await cell.add_worker(str(worker.id), worker.incarnation + 1, HALF)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(CHANGES, st.integers(0, 5))
def test_no_start_exceeds_a_changing_capacity_in_drawn_sequences(changes, seed):
    """With the platform's grace, as late orders and takeovers are among the changes."""
    queues = [PLAIN, ADVISED]

    async def program(cell):
        cell.world.shrink_grace_s = SHRINK_GRACE_S
        jobs = []
        for number, (kind, index, pause_s) in enumerate(changes):
            job = f"j{number}"
            cell.behaviours[job] = Behaviour(cell.rng.choice([0.4, 1.5, 4.0]))
            spec = step(
                cell.rng.randint(1, 3),
                cpu=cell.rng.choice([500, 1000, 3000]),
                all_at_once=cell.rng.random() < 0.3,
            )
            if (await cell.submit(job, [spec], cell.rng.randrange(2))).is_ok():
                jobs.append(job)
            await make_change(cell, kind, workers_of(cell)[index])
            await anyio.sleep(pause_s)
        await change_all(cell, CAPACITY)
        for job in jobs:
            assert await cell.wait_for(job, JobState.COMPLETED, 60), job

    run_cell(program, seed=seed, workers=3, queues=queues)
