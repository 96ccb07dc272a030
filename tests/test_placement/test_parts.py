"""Jobs that span several shards, also while shard owners fail."""

from __future__ import annotations

import anyio
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.ids import JobId, ServiceId, TeamId, job_shard
from lacewinghold.invariants import violations
from lacewinghold.placement.split import ShardCapacity, plan_parts
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, JobState, Resources
from lacewinghold.schema.generated.records import JobRecord
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.shards.parts import RESERVATION_LEASE_S
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused

TEAM = TeamId("operators")
SHARDS = 6
WHOLE_WORKER = Resources(cores=16, memory_mb=1024)


def make_spec(kind=JobKind.BATCH, tasks=10, **changes):
    fields = {
        "kind": kind,
        "team": TEAM,
        "tasks": tasks,
        "resources": WHOLE_WORKER,
        "expected_run_s": 20.0,
    }
    return JobSpec(**{**fields, **changes})


async def started_cell(tasks, seed):
    cell = Cell(TERRASVUUR, tasks, seed)
    await cell.start()
    await cell.wait_ready(SHARDS)
    await anyio.sleep(2)
    return cell


async def submit(cell, spec):
    submitted = await cell.any_instance().jobs.submit(TEAM, spec, "")
    assert isinstance(submitted, Ok), submitted
    return submitted.ok_value


async def wait_state(cell, job, state, limit_s=300.0):
    with anyio.fail_after(limit_s):
        while True:
            view = await cell.any_instance().jobs.job(job)
            if isinstance(view, Ok) and view.ok_value.state is state:
                return view.ok_value
            await anyio.sleep(0.5)


def owner_of(cell, shard):
    for instance_id, running in cell.instances.items():
        owner = running.instance.manager.owners.get(shard)
        if owner is not None:
            return instance_id, owner
    raise AssertionError(f"{shard} has no owner")


def owners(cell):
    found = []
    for running in cell.instances.values():
        found += running.instance.manager.owners.values()
    return found


def booked(cell):
    return sum(
        len(worker.capacity.bookings)
        for owner in owners(cell)
        for worker in owner.workers.values()
    )


def run_session(scenario, seed):
    async def program():
        async with anyio.create_task_group() as tasks:
            cell = await started_cell(tasks, seed)
            await scenario(cell)
            tasks.cancel_scope.cancel()

    violations.clear()
    run_paused(program, seed=seed)
    assert not violations


async def service_on_every_worker(cell):
    spec = make_spec(
        JobKind.SERVICE,
        24,
        service=ServiceId("booking"),
        resources=Resources(cores=4, memory_mb=1024),
    )
    job = await submit(cell, spec)
    await anyio.sleep(6)
    view = await wait_state(cell, job, JobState.RUNNING)
    assert len(view.tasks) == 24
    assert len({task.worker for task in view.tasks}) == 24
    listed = await cell.any_instance().jobs.jobs(TEAM)
    assert [view.job for view in listed.ok_value] == [job]
    await cell.any_instance().jobs.cancel(job, "test")
    await wait_state(cell, job, JobState.CANCELLED)
    assert not any(worker.running for worker in cell.workers.values())


async def batch_with_killed_owners(cell):
    job = await submit(cell, make_spec(tasks=18))
    await anyio.sleep(0.05)
    cell.kill(owner_of(cell, job_shard(job))[0])
    await anyio.sleep(12)
    for running in list(cell.instances)[:2]:
        cell.kill(running)
    view = await wait_state(cell, job, JobState.SUCCEEDED)
    assert len(view.tasks) == 18
    assert set(cell.starts.values()) == {1}
    assert sum(cell.starts.values()) == 18


async def two_large_jobs_at_once(cell):
    spec = make_spec(JobKind.ALL_AT_ONCE, 14)
    jobs = [await submit(cell, spec), await submit(cell, spec)]
    views = [await wait_state(cell, job, JobState.SUCCEEDED, 500.0) for job in jobs]
    starts = [
        min(cell.first_started[task.task] for task in view.tasks) for view in views
    ]
    last = [max(cell.first_started[task.task] for task in view.tasks) for view in views]
    assert all(after - before < 3 for before, after in zip(starts, last, strict=True))
    assert sum(cell.starts.values()) == 28
    assert booked(cell) == 0


def instances_in(cell, data_centre):
    found = []
    for instance_id, running in cell.instances.items():
        if running.instance.settings.data_centre == data_centre:
            found.append(instance_id)
    return found


async def owner_dies_between_reservations(cell):
    last = sorted(owner.shard for owner in owners(cell))[-1]
    filler = make_spec(tasks=1, expected_run_s=400.0)
    await owner_of(cell, last)[1].accept(filler, "")
    await anyio.sleep(1)
    spec = make_spec(JobKind.ALL_AT_ONCE, 24)
    home = cell.instances[instances_in(cell, "gent-a")[0]].instance
    job = (await home.jobs.submit(TEAM, spec, "")).ok_value
    assert job_shard(job).startswith("gent-a")
    await anyio.sleep(4)
    assert booked(cell) > 8
    for instance_id in instances_in(cell, "gent-a"):
        cell.kill(instance_id)
    await anyio.sleep(RESERVATION_LEASE_S + 1)
    assert booked(cell) == 1
    assert sum(cell.starts.values()) == 1
    cell.start_instance("gent-a", "entry-new")
    view = await wait_state(cell, job, JobState.SUCCEEDED, 1500.0)
    assert len(view.tasks) == 24
    assert sum(cell.starts.values()) == 25


async def cancelled_while_reserving(cell):
    _, last = owner_of(cell, sorted(owner.shard for owner in owners(cell))[-1])
    await last.accept(make_spec(tasks=1, expected_run_s=400.0), "")
    await anyio.sleep(1)
    job = await submit(cell, make_spec(JobKind.ALL_AT_ONCE, 24))
    await anyio.sleep(4)
    assert booked(cell) > 1
    await cell.any_instance().jobs.cancel(job, "test")
    await wait_state(cell, job, JobState.CANCELLED)
    assert booked(cell) == 1
    assert sum(cell.starts.values()) == 1


async def worker_restarts_while_reserved(cell):
    shards = sorted(owner.shard for owner in owners(cell))
    _, last = owner_of(cell, shards[-1])
    await last.accept(make_spec(tasks=1, expected_run_s=30.0), "")
    await anyio.sleep(1)
    job = await submit(cell, make_spec(JobKind.ALL_AT_ONCE, 24))
    await anyio.sleep(4)
    _, first = owner_of(cell, shards[0])
    for worker_id in first.workers:
        assert cell.workers[worker_id].record.state is WorkerState.LIVE
        cell.workers[worker_id].restart()
    await wait_state(cell, job, JobState.SUCCEEDED)
    assert sum(cell.starts.values()) == 25


async def part_accepted_by_several_instances(cell):
    owner = sorted(owners(cell), key=lambda owner: owner.shard)[0]
    record = JobRecord(
        job=JobId(f"{owner.shard}~part"),
        spec=make_spec(JobKind.ALL_AT_ONCE, 3, repeatable=False),
        accepted_at=cell.clock.now(),
        parent=JobId("elsewhere~job"),
    )
    assert owner.part_host.reserve(record, 10.0).ok_value.granted is False
    await anyio.sleep(1)
    assert owner.part_host.reserve(record, 10.0).ok_value.granted is True
    async with anyio.create_task_group() as tasks:
        for instance_id in sorted(cell.instances)[:3]:
            calls = cell.instances[instance_id].instance.manager.part_calls
            tasks.start_soon(calls.accept, record)
    await wait_state(cell, record.job, JobState.SUCCEEDED)
    assert set(cell.starts.values()) == {1}
    assert sum(cell.starts.values()) == 3
    assert len(owner.ledger.state.intents) == 3
    late = JobRecord(job=JobId(f"{owner.shard}~late"), spec=record.spec, accepted_at=0)
    await owner.part_host.cancel(late.job, "test")
    refused = await owner.part_host.accept(late)
    assert refused.err_value.kind is ErrorKind.CONFLICT


SCENARIOS = [
    part_accepted_by_several_instances,
    service_on_every_worker,
    batch_with_killed_owners,
    two_large_jobs_at_once,
    owner_dies_between_reservations,
    cancelled_while_reserving,
    worker_restarts_while_reserved,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_scenario(scenario):
    run_session(scenario, seed=5)


def make_shards(*counts):
    return [
        ShardCapacity(f"s{n}", [WHOLE_WORKER] * count) for n, count in enumerate(counts)
    ]


@pytest.mark.parametrize(
    ("kind", "tasks", "counts", "expected"),
    [
        (JobKind.BATCH, 4, (4, 4), []),
        (JobKind.BATCH, 5, (4, 4), [3, 2]),
        (JobKind.BATCH, 100, (4, 3, 3), [40, 30, 30]),
        (JobKind.ALL_AT_ONCE, 11, (4, 4, 4), [4, 4, 3]),
        (JobKind.SERVICE, 6, (4, 4), [3, 3]),
    ],
)
def test_parts_of_a_job(kind, tasks, counts, expected):
    planned = plan_parts(make_spec(kind, tasks), make_shards(*counts))
    assert [part.tasks for part in planned.ok_value] == expected


def test_an_all_at_once_job_that_can_never_fit_is_refused():
    planned = plan_parts(make_spec(JobKind.ALL_AT_ONCE, 13), make_shards(4, 4, 4))
    assert isinstance(planned, Err)
    assert planned.err_value.kind is ErrorKind.CANNOT_FIT
