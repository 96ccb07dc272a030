"""Jobs that an owner knows, and that a reload, a removal or a look-up shows again."""

from __future__ import annotations

from collections import Counter

import anyio
import pytest
from result import Ok

from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.scheduler.job_store import JOBS_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.store.base import RangeReply
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

PAGE_KEYS = 3
JOBS = 10
RELOAD_S = 0.05
JOB_LIMIT_S = 20


def read_in_pages(member, before_page):
    """Has a member read the jobs in pages, which are no snapshot."""
    whole = member.store.range
    jobs_key = member.instance.jobs.prefix + JOBS_PREFIX

    async def read(key, *, prefix=False):
        if key != jobs_key:
            return await whole(key, prefix=prefix)
        items, revision, after = [], None, ""
        while True:
            await before_page()
            found = await whole(key, prefix=True)
            if not isinstance(found, Ok):
                return found
            left = [item for item in found.ok_value.items if item.key > after]
            revision = revision or found.ok_value.revision
            items += left[:PAGE_KEYS]
            if len(left) <= PAGE_KEYS:
                return Ok(RangeReply(revision, items))
            after = items[-1].key

    member.store.range = read


def lose_history(member, reloads):
    """Has the store drop its history soon after each load of the jobs."""
    watch = member.store.changes
    jobs_key = member.instance.jobs.prefix + JOBS_PREFIX

    async def changes(prefix, after):
        if prefix == jobs_key:
            await anyio.sleep(RELOAD_S)
            reloads.append(after)
            raise FailureError(Failure(ErrorKind.HISTORY_GONE, "compacted"))
        async for batch in watch(prefix, after):
            yield batch

    member.store.changes = changes


def watch_removals(owner):
    """Returns the list of open jobs that the owner is to drop as removed."""
    dropped = []
    apply = owner.job_mirror.on_delete

    def on_delete(key):
        job = owner.table.jobs.get(owner.job_store.parse_key(key)[0])
        if job is not None and not job.ended():
            dropped.append(job.id)
        apply(key)

    owner.job_mirror.on_delete = on_delete
    return dropped


@pytest.mark.parametrize("seed", range(3))
def test_reloads_in_pages_that_are_no_snapshot_bring_no_done_task_back(seed):
    async def program(cell):
        submitted = []
        reloads = []

        async def before_page():
            # Jobs before and behind the page come, while others end.
            await anyio.sleep(cell.rng.choice([0.0, 0.01, 0.1]))
            if len(submitted) < 3 * JOBS:
                job = f"{cell.rng.choice('akz')}{len(submitted)}"
                submitted.append(job)
                cell.behaviours[job] = Behaviour(cell.rng.choice([0.05, 0.3]))
                steps = [step(2, cpu=300), step(2, cpu=300, after=[0])]
                assert (await cell.submit(job, steps)).is_ok()

        first = cell.owner()
        for member in cell.members:
            if member is not first:
                read_in_pages(member, before_page)
                lose_history(member, reloads)
        for number in range(JOBS):
            cell.behaviours[f"j{number}"] = Behaviour(0.5)
            steps = [step(2, cpu=300), step(2, cpu=300, after=[0])]
            await cell.submit(f"j{number}", steps)
        await anyio.sleep(0.3)
        cell.kill(first)
        second = await cell.wait_for_owner()
        dropped = watch_removals(second.instance.owner)
        while len(submitted) < 3 * JOBS:
            await anyio.sleep(0.05)
        for job in list(cell.jobs):
            assert await cell.wait_for(job, JobState.COMPLETED, JOB_LIMIT_S)
        assert cell.owner() is second
        assert len(reloads) > 3
        assert dropped == []
        starts = Counter(start.task for start in cell.world.starts)
        assert set(starts.values()) == {1}

    run_cell(program, seed=seed, limit_s=120)


def test_a_reload_without_a_job_whose_outcome_is_unanswered_does_not_run_it_again():
    async def program(cell):
        member = cell.owner()
        owner = member.instance.owner
        dropped = watch_removals(owner)
        record = cell.make_job("a", [step(4, cpu=300)])
        cell.behaviours["a"] = Behaviour(0.3)
        assert (await cell.members[0].instance.front.submit(record)).is_ok()
        key = owner.job_store.ended_key("a")
        while key not in cell.state.keys:
            await anyio.sleep(0.0005)
        member.store_gate.close()
        await anyio.sleep(0.3)
        member.store_gate.open()
        await owner.job_mirror.load()
        for each in cell.members:
            assert (await each.instance.front.submit(record)).is_ok()
        await anyio.sleep(15)
        await owner.job_mirror.load()
        for each in cell.members:
            assert (await each.instance.front.submit(record)).is_ok()
        await anyio.sleep(2)
        assert dropped == []
        assert len(cell.world.starts) == 4

    run_cell(program, limit_s=60)


@pytest.mark.parametrize("held_s", [2.0, 15.0])
def test_a_look_up_answered_after_the_jobs_end_does_not_run_it_again(held_s):
    """The answer still shows the record; the job has ended, and may be dropped."""

    async def program(cell):
        owner = cell.owner().instance.owner
        record = cell.make_job("a", [step(4, cpu=300)])
        cell.behaviours["a"] = Behaviour(0.3)
        answer = anyio.Event()
        read = owner.job_store.read

        async def read_late(job):
            reply = await read(job)
            answer.set()
            await anyio.sleep(held_s)
            return reply

        owner.job_store.read = read_late
        owner.job_mirror.on_put = lambda item: None
        assert (await owner.job_store.accept(record)).is_ok()
        owner.unknown_jobs.look_up("a")
        await answer.wait()
        owner.table.accept(record)
        assert await cell.wait_for("a", JobState.COMPLETED, 1.9)
        job = owner.table.jobs["a"]
        job.record_removed = True
        await anyio.sleep(held_s + 15)
        assert "a" not in owner.table.jobs
        assert len(cell.world.starts) == 4

    run_cell(program, limit_s=90)
