"""The platform's job requests: decoding, responses, refusals."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.platform.front import PlatformFront
from lacewinghold.platform.manifest import read_manifest
from lacewinghold.testing.step_cell import HOST
from lacewinghold.testing.store import Outage
from tests.test_scheduler.support import run_cell, step

JOB = {"spec": "work", "steps": [{"count": 2, "cpu": 500, "memMb": 10}]}


async def call(cell, method, path, body=None, host=HOST):
    """Sends one request to the first member.

    :returns: Status, headers, and the decoded body.
    """
    content = b"" if body is None else msgspec.json.encode(body)
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "headers": [(b"host", host.encode()), (b"lacewinghold-deadline-ms", b"3000")],
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": content}

    async def send(message):
        sent.append(message)

    await PlatformFront(cell.members[0].instance)(scope, receive, send)
    start, finish = sent
    headers = dict(start["headers"])
    decoded = msgspec.json.decode(finish["body"]) if finish["body"] else None
    return start["status"], headers, decoded


def test_job_is_accepted_queried_cancelled_and_counted():
    async def program(cell):
        cell.make_job("a", [step(2, cpu=500)])
        assert (await call(cell, "POST", "/fast/a", JOB))[0] == 200
        assert (await call(cell, "POST", "/fast/a", JOB))[0] == 200
        await anyio.sleep(0.3)
        shown = await call(cell, "GET", "/fast/a")
        assert shown[2] == {"state": "running"}
        assert (await call(cell, "GET", "/fast/"))[2] == {"waiting": 0}
        assert (await call(cell, "DELETE", "/fast/a"))[0] == 200
        assert (await call(cell, "GET", "/fast/a"))[2] == {"state": "cancelled"}

    run_cell(program)


@pytest.mark.parametrize("seed", range(1, 13))
def test_query_after_a_cancellation_returns_cancelled(seed):
    async def program(cell):
        cell.make_job("a", [step(2, cpu=500)])
        assert (await call(cell, "POST", "/fast/a", JOB))[0] == 200
        await anyio.sleep(0.3)
        assert (await call(cell, "DELETE", "/fast/a"))[0] == 200
        assert (await call(cell, "GET", "/fast/a"))[2] == {"state": "cancelled"}

    run_cell(program, seed=seed)


def test_unknown_job_is_gone_and_unknown_queue_is_not_found():
    async def program(cell):
        assert (await call(cell, "GET", "/fast/none"))[0] == 410
        assert (await call(cell, "DELETE", "/fast/none"))[0] == 410
        assert (await call(cell, "GET", "/other/none"))[0] == 404
        assert (await call(cell, "POST", "/fast/a", JOB, host="else"))[0] == 404

    run_cell(program)


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({"steps": []}, "spec"),
        ({"spec": "x", "steps": [{"count": "two"}]}, "Expected `int`"),
        ([1], "object"),
        ({"spec": "x", "steps": []}, "$.steps"),
        ({"spec": "x", "steps": [{"count": 0}]}, "$.steps[0].count"),
        ({"spec": "x", "steps": [{"count": 1, "after": [0]}]}, "$.steps[0].after"),
        ({"spec": "x", "steps": [{"count": 1, "cpu": -1}]}, "$.steps[0].cpu"),
    ],
)
def test_invalid_request_names_the_field(body, field):
    async def program(cell):
        status, _, answer = await call(cell, "POST", "/fast/a", body)
        assert status == 400
        assert field in answer["error"]

    run_cell(program)


def test_refusal_carries_a_retry_after_header():
    async def program(cell):
        cell.state.outage = Outage.DOWN
        await anyio.sleep(3)
        status, headers, _ = await call(cell, "POST", "/fast/a", JOB)
        assert status == 503
        assert int(headers[b"retry-after"]) >= 1

    run_cell(program)


def test_manifest_is_decoded():
    route = {
        "name": "r1",
        "host": "h",
        "pathPrefix": "/p/",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 1200,
        "priority": 1,
        "service": "s",
        "maxAttempts": 2,
        "stretch": 2.2,
        "advice": {"decideMs": 576.0, "perWorkerMs": 5.1, "validMs": 2500},
    }
    value = {"version": 7, "routes": [route], "services": [{"name": "s"}], "limits": {}}
    manifest = read_manifest(msgspec.json.encode(value))
    queue = manifest.find("h", "/p/job")
    assert queue.slack_s == 1.2
    assert queue.max_attempts == 2
    assert queue.advice.valid_s == 2.5
    assert manifest.find("h", "/q/") is None
    assert read_manifest(b"\xff") is None
    assert read_manifest(b"{}") is None


def test_cancelled_job_that_was_never_stored_stays_gone():
    """Guards against an acceptance after a cancellation was acknowledged (review/8)."""

    async def program(cell):
        assert (await call(cell, "DELETE", "/fast/a"))[0] == 410
        assert (await call(cell, "POST", "/fast/a", JOB))[0] == 410
        assert (await call(cell, "GET", "/fast/a"))[0] == 410
        assert (await call(cell, "DELETE", "/fast/a"))[0] == 410
        await anyio.sleep(2)
        assert cell.world.starts == []

    run_cell(program)


def test_cancelling_many_unknown_jobs_is_refused_with_a_time_to_return():
    """Guards against a client that fills the store with ids of its own."""

    async def program(cell):
        answers = [await call(cell, "DELETE", f"/fast/u{n}") for n in range(100)]
        assert {status for status, _, _ in answers} == {410, 429}
        assert answers[-1][0] == 429
        assert int(answers[-1][1][b"retry-after"]) >= 1

    run_cell(program)
