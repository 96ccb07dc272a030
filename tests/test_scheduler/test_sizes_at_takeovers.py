"""Takeovers at the edges of a list of ends, a batch of ends and a page of the store."""

from __future__ import annotations

from collections import Counter

import anyio
import pytest
from result import Ok

from lacewinghold.scheduler.end_log import MAX_ENDS_PER_KEY
from lacewinghold.scheduler.job_store import (
    ENDED_PREFIX,
    JOBS_PREFIX,
    TASK_ENDS_PREFIX,
    JobKey,
)
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import MAX_LISTED_ENDS, Resources
from lacewinghold.schema.generated.cell import EndBatch, JobOutcome, TaskEndEntry
from lacewinghold.store.base import Put, RangeReply, Transaction
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.util.codec import from_json, to_json
from tests.test_scheduler.support import run_cell, step

LARGE = Resources(cpu_millis=2_000_000, memory_mb=2_000_000)
PAGE_KEYS = 500
FAST_STORE_S = 0.002
SLOW_STORE_S = 0.25
BETWEEN_WRITES_S = 0.2  # The first write is answered, the second has no effect yet.
RUN_S = 1.0
JOB_LIMIT_S = 30


async def add_large_worker(cell):
    """Adds a worker on which all tasks of a job fit at once."""
    await cell.add_worker("w0", capacity=LARGE)


async def gather_ends(cell, tasks):
    """Has one worker end so many tasks of a job while nobody hears of it."""
    cell.behaviours["a"] = Behaviour(RUN_S)
    await cell.submit("a", [step(tasks), step(after=[0])])
    while len(cell.world.starts) < tasks:
        await anyio.sleep(0.001)
    (worker,) = cell.world.workers.values()
    worker.silent = True
    while worker.runs:
        await anyio.sleep(0.001)
    return worker


def started_twice(cell):
    """Returns the tasks that have started more than once."""
    counts = Counter(start.task for start in cell.world.starts)
    return {task for task, count in counts.items() if count > 1}


@pytest.mark.parametrize("more", [0, 1, MAX_LISTED_ENDS + 1])
def test_ends_beyond_a_full_list_start_no_second_run_at_a_takeover(more):
    async def program(cell):
        worker = await gather_ends(cell, MAX_LISTED_ENDS + more)
        assert len(worker.ends) >= MAX_LISTED_ENDS + more - 1
        cell.kill(cell.owner())
        worker.silent = False
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        assert started_twice(cell) == set()

    run_cell(program, workers=0, prepare=add_large_worker, limit_s=60)


async def kill_between_writes(cell, worker):
    """Kills the owner once the first of two writes of a batch of ends is stored."""
    cell.state.latency_s = SLOW_STORE_S
    owner = cell.owner()
    prefix = owner.instance.jobs.prefix + TASK_ENDS_PREFIX
    before = {key for key in cell.state.keys if key.startswith(prefix)}
    worker.silent = False
    stored = set()
    while not stored:
        await anyio.sleep(0.001)
        stored = {key for key in cell.state.keys if key.startswith(prefix)} - before
    await anyio.sleep(BETWEEN_WRITES_S)
    cell.kill(owner)
    cell.state.latency_s = FAST_STORE_S
    (key,) = {key for key in cell.state.keys if key.startswith(prefix)} - before
    return {end.task for end in from_json(cell.state.keys[key].value, EndBatch).ends}


@pytest.mark.parametrize("more", [0, 1])
@pytest.mark.parametrize("crashes", [False, True])
def test_a_takeover_between_two_writes_of_a_batch_restarts_no_stored_end(more, crashes):
    async def program(cell):
        tasks = MAX_ENDS_PER_KEY + more
        worker = await gather_ends(cell, tasks)
        listed = {end.task for end in worker.ends}
        assert len(listed) == tasks
        stored = await kill_between_writes(cell, worker)
        assert len(stored) == MAX_ENDS_PER_KEY
        if crashes:
            worker.crash()
            await add_next_incarnation(cell, worker)
        assert await cell.wait_for("a", JobState.COMPLETED, JOB_LIMIT_S)
        # The crash also ends a run of the second step.
        again = started_twice(cell) & listed
        assert again == (listed - stored if crashes else set())

    run_cell(program, workers=0, prepare=add_large_worker, limit_s=60)


async def add_next_incarnation(cell, worker):
    """Adds the next incarnation of a worker with the same capacity."""
    await cell.add_worker(str(worker.id), worker.incarnation + 1, LARGE)


def put(cell, key, value):
    """Stores a key at once, as an earlier owner or an instance did before."""
    cell.state.apply(Transaction([], [Put(key, to_json(value))]))


def read_in_pages(cell, member, between):
    """Has a member read prefixes in pages, which are no snapshot.

    :param between: Coroutine function that is called with the prefix between pages.
    """

    async def read(key, *, prefix=False):
        if not prefix:
            return await whole(key)
        items, revision, after, pages = [], None, "", 0
        while True:
            found = await whole(key, prefix=True)
            if not isinstance(found, Ok):
                return found
            page = found.ok_value
            left = [item for item in page.items if item.key > after]
            revision = page.revision if revision is None else revision
            items += left[:PAGE_KEYS]
            pages += 1
            if len(left) <= PAGE_KEYS:
                cell.pages[key] = pages
                return Ok(RangeReply(revision, items))
            after = items[-1].key
            await between(key)

    whole = member.store.range
    member.store.range = read


def test_done_tasks_of_jobs_on_several_pages_start_no_second_time():
    """One task of each job is done by a stored end; a batch holds the ends of one."""
    jobs = 2 * PAGE_KEYS + 1

    async def program(cell):
        cell.pages = {}
        first = cell.owner()
        keys = first.instance.jobs
        late = []

        async def between(key):
            # A job of each side of the page is accepted.
            if key != keys.prefix + JOBS_PREFIX:
                return
            for job in (f"0late{len(late)}", f"zlate{len(late)}"):
                late.append(job)
                cell.behaviours[job] = Behaviour(0.05)
                record = cell.make_job(job, [step()])
                assert (await first.instance.jobs.accept(record)).is_ok()

        for member in cell.members:
            if member is not first:
                read_in_pages(cell, member, between)
        cell.kill(first)
        done = set()
        for number in range(jobs):
            job = f"j{number:05d}"
            cell.behaviours[job] = Behaviour(0.05)
            record = cell.make_job(job, [step(2)])
            put(cell, keys.key(job, JobKey.ACCEPTED), record)
            end = TaskEndEntry(task=f"{job}.0.0.0", run=1, done=True)
            done.add(end.task)
            key = f"{keys.prefix}{TASK_ENDS_PREFIX}{0:08d}/{number:08d}"
            put(cell, key, EndBatch(ends=[end]))
            outcome = JobOutcome(state="completed", at=cell.clock.now())
            put(cell, keys.ended_key(f"e{number:05d}"), outcome)
        await cell.wait_for_owner()
        while len(cell.world.done) < jobs + len(late) or not late:
            await anyio.sleep(0.05)
        for prefix in (JOBS_PREFIX, ENDED_PREFIX, TASK_ENDS_PREFIX):
            assert cell.pages[keys.prefix + prefix] >= 3
        for number in (0, PAGE_KEYS, jobs - 1):
            record = cell.make_job(f"e{number:05d}", [step()])
            for member in cell.members:
                assert (await member.instance.front.submit(record)).is_ok()
        await anyio.sleep(1)
        started = [start.task for start in cell.world.starts]
        assert not done & set(started)
        assert len(started) == jobs + len(late)
        assert started_twice(cell) == set()

    run_cell(program, workers=0, prepare=add_large_worker, limit_s=60)
