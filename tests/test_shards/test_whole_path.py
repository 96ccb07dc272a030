"""The path of a job in a simulated cell: submit, place, run, query, cancel."""

from __future__ import annotations

import anyio
from result import Ok

from lacewinghold.ids import ServiceId, TeamId, job_shard
from lacewinghold.invariants import violations
from lacewinghold.schema.generated.jobs import (
    JobKind,
    JobSpec,
    JobState,
    Resources,
)
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused

TEAM = TeamId("operators")
SHARDS = 6


def make_spec(**changes: object) -> JobSpec:
    fields = {
        "kind": JobKind.BATCH,
        "team": TEAM,
        "tasks": 3,
        "resources": Resources(cores=2, memory_mb=1024),
        "expected_run_s": 5.0,
    }
    return JobSpec(**{**fields, **changes})


async def session(seed):
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, seed)
        await cell.start()
        await cell.wait_ready(SHARDS)
        await anyio.sleep(1)
        batch = await cell.any_instance().jobs.submit(TEAM, make_spec(), "a")
        again = await cell.any_instance().jobs.submit(TEAM, make_spec(), "a")
        assert batch == again
        booking = make_spec(kind=JobKind.SERVICE, tasks=2, service=ServiceId("booking"))
        service = await cell.any_instance().jobs.submit(TEAM, booking, "")
        together = make_spec(kind=JobKind.ALL_AT_ONCE, tasks=8)
        gang = await cell.any_instance().jobs.submit(TEAM, together, "")
        await anyio.sleep(2)
        answer = await cell.any_instance().requests.request(
            TEAM, ServiceId("booking"), "POST", "/deposits", b"5 euro", 5.0, False
        )
        assert isinstance(answer, Ok), answer
        assert answer.ok_value.body == b"5 euro"
        victim = next(iter(cell.instances))
        cell.kill(victim)
        await anyio.sleep(10)
        states = {}
        for name, job in (("batch", batch), ("service", service), ("gang", gang)):
            view = await cell.any_instance().jobs.job(job.ok_value)
            states[name] = view.ok_value.state
        cancelled = await cell.any_instance().jobs.cancel(service.ok_value, "test")
        assert isinstance(cancelled, Ok)
        await anyio.sleep(2)
        view = await cell.any_instance().jobs.job(service.ok_value)
        states["cancelled"] = view.ok_value.state
        starts = sum(cell.starts.values())
        tasks.cancel_scope.cancel()
    return states, starts


def test_whole_path_through_the_death_of_an_instance():
    states, starts = run_paused(session, 1, seed=1)
    assert states == {
        "batch": JobState.SUCCEEDED,
        "service": JobState.RUNNING,
        "gang": JobState.SUCCEEDED,
        "cancelled": JobState.CANCELLED,
    }
    assert starts == 13
    assert not violations


def test_same_seed_gives_same_session():
    assert run_paused(session, 2, seed=2) == run_paused(session, 2, seed=2)


async def states_around_an_outage(seed):
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, seed)
        await cell.start()
        await cell.wait_ready(SHARDS)
        await anyio.sleep(1)
        spec = make_spec(tasks=1, expected_run_s=1.0)
        job = (await cell.any_instance().jobs.submit(TEAM, spec, "")).ok_value
        await anyio.sleep(0.5)
        shown = []
        for reachable in (False, True):
            for running in cell.instances.values():
                running.store.reachable = reachable
            await anyio.sleep(8)
            ended = not any(worker.running for worker in cell.workers.values())
            owner = next(
                running.instance.manager.owners[job_shard(job)]
                for running in cell.instances.values()
                if job_shard(job) in running.instance.manager.owners
            )
            shown.append((ended, owner.jobs[job].to_view().state))
        tasks.cancel_scope.cancel()
    return shown


def test_result_is_shown_only_once_it_is_durable():
    assert run_paused(states_around_an_outage, 3, seed=3) == [
        (True, JobState.RUNNING),
        (True, JobState.SUCCEEDED),
    ]
