"""Crowds whose small requests become much work, at one entry process.

What an instance has accepted it keeps, and its successor loads it. The bounds are those
of the settings in ``crowd``.
"""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from review import standin
from tests.test_clients import crowd
from tests.test_clients.crowd import ask, play

CLIENTS = 10
JOBS = 40
TASKS = 9000
SMALL_JOBS = 12_000
PIPELINES = 20
PIPELINE_S = 45.0
IN_AN_HOUR_MS = 3_600_000
STEP = {"count": 1, "cpu": 8000, "memMb": 16, "estRuntimeMs": 1000}
SPEC = json.dumps({"ms": 1000})


def wide():
    """Returns a job with many tasks in one step."""
    return {"spec": SPEC, "steps": [{**STEP, "count": TASKS}]}


def together():
    """Returns a job with many tasks that start together, which no cell can hold."""
    return {"spec": SPEC, "steps": [{**STEP, "count": TASKS, "gang": True}]}


def repeated():
    """Returns a job with many occurrences that are due later."""
    start_ms = round(time.time() * 1000) + IN_AN_HOUR_MS
    times = {"startAtMs": start_ms, "intervalMs": 60_000, "repeatCount": TASKS}
    return {"spec": SPEC, "steps": [STEP], **times}


def overdue():
    """Returns a job with many occurrences that are due at once."""
    times = {"startAtMs": 1, "intervalMs": 1, "repeatCount": TASKS}
    return {"spec": SPEC, "steps": [STEP], **times}


def long():
    """Returns a job of nearly the largest legal size, with many steps."""
    return {"spec": SPEC, "steps": [STEP] * 3900}


def pipeline(client):
    """Returns small jobs that a client sends ahead on one connection."""
    body = json.dumps({"spec": json.dumps({"ms": 10}), "steps": [crowd.STEP]}).encode()
    line = f"Content-Length: {len(body)}"
    for number in range(client, SMALL_JOBS, PIPELINES):
        yield crowd.head(line, path=f"{standin.PREFIX}{number + 16:016x}") + body


async def submit(entry, job, numbers):
    """Hands jobs in one after the other and reads the answers."""
    for number in numbers:
        path = f"{standin.PREFIX}{number + 16:016x}"
        status, _ = await standin.request(
            entry.front, "POST", path, job, 3.0, standin.HOST
        )
        assert status in (0, 200, 429, 503), status


async def replace(entry):
    """Kills the process and starts one that has to load the jobs."""
    await entry.kill()
    await entry.spawn()
    entry.watching = asyncio.create_task(entry.watch())
    await entry.cell.wait_until_ready()
    assert (await ask(entry, "GET", f"{standin.PREFIX}{16:016x}"))[0] == 200


def check(folder, make_job, jobs=JOBS, replaced=True):
    async def send(entry):
        job = make_job()
        shares = [range(first, jobs, CLIENTS) for first in range(CLIENTS)]
        await asyncio.gather(*(submit(entry, job, share) for share in shares))
        if replaced:
            await replace(entry)

    _, faults = asyncio.run(play(folder, send))
    assert not faults


@pytest.mark.parametrize("make_job", [wide, together, repeated, overdue, long])
def test_small_requests_for_much_work_stay_within_the_memory(tmp_path, make_job):
    """Guards against state in proportion to the tasks of a request."""
    check(tmp_path, make_job)


@pytest.mark.parametrize("listener", ["front", "ready"])
def test_jobs_sent_ahead_stay_within_the_memory(tmp_path, listener):
    """Guards against what jobs leave behind whose answers nobody reads."""

    async def send(entry):
        address = getattr(entry, listener)
        clients = [crowd.UnreadingClient(address) for _ in range(PIPELINES)]
        calls = [
            client.run(pipeline(number), PIPELINE_S)
            for number, client in enumerate(clients)
        ]
        await asyncio.gather(*calls)

    _, faults = asyncio.run(play(tmp_path, send))
    assert not faults
