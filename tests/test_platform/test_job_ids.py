"""Job ids of callers, peers, workers and stored keys: whatever is none is refused."""

from __future__ import annotations

import anyio
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lacewinghold.platform.front import JOB_ID_PATTERN
from lacewinghold.scheduler.job_ids import JobIds
from lacewinghold.scheduler.job_store import JOBS_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import EndKind, EndReport, Queue
from lacewinghold.schema.generated.messages import (
    CellAccepted,
    CellJobCall,
    CellSubmitCall,
    MessageKind,
)
from lacewinghold.store.base import Put, Transaction
from lacewinghold.testing.step_cell import HOST, MANIFEST_KEY, StoredManifest
from lacewinghold.util.codec import to_json
from tests.test_platform.test_platform_front import JOB, call
from tests.test_scheduler.support import run_cell, step

JOB_IDS = JobIds(JOB_ID_PATTERN)
ID = "00000000000000aa"
OUTER = Queue("print", HOST, "/print/", "service", 0, 2, 2.0, 1)
INNER = Queue("fast", HOST, "/print/fast/", "service", 0, 2, 2.0, 1)
ODD_IDS = [
    ID[:-1],
    ID + "a",
    ID[:-1] + "g",
    ID[:-1] + "\u0661",
    ID + "/",
    "/" + ID,
    f"fast/{ID}",
    f"{ID}/a",
    f"../e/{ID}",
    f"fast%2F{ID}",
    f" {ID[1:]}",
    f"{ID[:-1]}\n",
    f"{ID}\n",
    f"{ID}.0.0.0",
    "owner",
    "x" * 300,
]


def run(program, **shape):
    """Runs a program on a cell with the ids of the platform's callers."""
    return run_cell(program, queues=[OUTER], job_ids=JOB_IDS, **shape)


def stored_jobs(cell):
    """Returns the keys of jobs in the store."""
    prefix = cell.members[0].instance.jobs.prefix
    return [key for key in cell.state.keys if key.startswith(prefix + JOBS_PREFIX)]


async def assert_nothing_began(cell, keys_before):
    """Asserts that no request changed the store or started a task."""
    await anyio.sleep(2)
    assert cell.world.starts == []
    assert stored_jobs(cell) == []
    assert set(cell.state.keys) <= keys_before


def test_repeated_submission_after_its_queue_was_removed_starts_nothing():
    """Guards against a second run of a job as another one (review/10)."""

    async def program(cell):
        both = StoredManifest(2, [OUTER, INNER])
        await cell.put(MANIFEST_KEY, msgspec.json.encode(both))
        await anyio.sleep(1)
        cell.make_job(ID, [step(2, cpu=500)])
        path = f"{INNER.prefix}{ID}"
        assert (await call(cell, "POST", path, JOB))[0] == 200
        assert await cell.wait_for(ID, JobState.COMPLETED, 5)
        starts = len(cell.world.starts)
        outer = StoredManifest(3, [OUTER])
        await cell.put(MANIFEST_KEY, msgspec.json.encode(outer))
        await anyio.sleep(1)
        assert (await call(cell, "POST", path, JOB))[0] == 404
        await anyio.sleep(2)
        assert len(cell.world.starts) == starts
        assert stored_jobs(cell) == []

    run(program)


def test_job_goes_on_by_its_own_rules_after_its_queue_was_removed():
    """Guards against tasks on the workers of a queue whose prefix remains."""

    async def program(cell):
        inner = Queue("fast", HOST, INNER.prefix, "service", 0, 2, 2.0, 1)
        outer = Queue("print", HOST, OUTER.prefix, "elsewhere", 0, 2, 2.0, 1)
        both = StoredManifest(2, [outer, inner])
        await cell.put(MANIFEST_KEY, msgspec.json.encode(both))
        await anyio.sleep(1)
        cell.make_job(ID, [step(), step(after=[0])])
        body = {"spec": "work", "steps": [{"count": 1}, {"count": 1, "after": [0]}]}
        assert (await call(cell, "POST", f"{INNER.prefix}{ID}", body))[0] == 200
        await anyio.sleep(0.3)
        only = StoredManifest(3, [outer])
        await cell.put(MANIFEST_KEY, msgspec.json.encode(only))
        assert await cell.wait_for(ID, JobState.COMPLETED, 8)

    run(program)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize("text", ODD_IDS)
def test_path_that_names_no_job_is_not_found(method, text):
    """Guards against callers' text in keys of the store and in names of tasks."""

    async def program(cell):
        keys = set(cell.state.keys)
        body = JOB if method == "POST" else None
        status, _, answer = await call(cell, method, f"/print/{text}", body)
        assert status == 404
        assert "no job id" in answer["error"]
        await assert_nothing_began(cell, keys)

    run(program)


@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(texts=st.lists(st.text(max_size=40), min_size=10, max_size=40))
def test_any_other_text_after_the_prefix_stores_nothing(texts):
    """Guards against ways around the list of odd ids above."""

    async def program(cell):
        keys = set(cell.state.keys)
        for text in texts:
            if not text or JOB_IDS.parse(text) is not None:
                continue
            for method in ("POST", "GET", "DELETE"):
                status, _, _ = await call(cell, method, f"/print/{text}", JOB)
                assert status == 404
        await assert_nothing_began(cell, keys)

    run(program)


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_queue_itself_is_no_job(method):
    """Guards against a submission without an id that is answered as accepted."""

    async def program(cell):
        assert (await call(cell, method, "/print/", JOB))[0] == 404
        assert (await call(cell, "GET", "/print/"))[2] == {"waiting": 0}

    run(program)


@pytest.mark.parametrize("method", ["PUT", "PATCH", "HEAD", "OPTIONS", "get"])
@pytest.mark.parametrize("path", ["/print/", f"/print/{ID}", "/elsewhere/"])
def test_other_methods_are_refused(method, path):
    """Guards against a method with another meaning that is served as a query."""

    async def program(cell):
        status, headers, _ = await call(cell, method, path, JOB)
        assert status == 405
        assert headers[b"allow"] == b"GET, POST, DELETE"

    run(program)


@pytest.mark.parametrize("job", [ID, ID.upper(), "0123456789abcdef"])
def test_ids_of_either_case_are_served(job):
    """Guards against a check that refuses what the platform's callers may send."""

    async def program(cell):
        cell.make_job(job, [step(2, cpu=500)])
        assert (await call(cell, "POST", f"/print/{job}", JOB))[0] == 200
        assert await cell.wait_for(job, JobState.COMPLETED, 5)

    run(program)


@pytest.mark.parametrize("text", ODD_IDS)
def test_peers_calls_that_name_no_job_are_refused(text):
    """Guards against an instance of an earlier version that passes such text on."""

    async def program(cell):
        keys = set(cell.state.keys)
        owner = await cell.wait_for_owner()
        handlers = owner.instance.peers.handlers
        record = cell.make_job(text, [step()])
        calls = {
            MessageKind.CELL_SUBMIT: CellSubmitCall(to_json(record), 1.0),
            MessageKind.CELL_ACCEPTED: CellAccepted(to_json(record)),
            MessageKind.CELL_STATE: CellJobCall(text),
            MessageKind.CELL_CANCEL: CellJobCall(text),
            MessageKind.CELL_CANCELLED: CellJobCall(text),
        }
        for kind, message in calls.items():
            reply = await handlers[kind]("peer", msgspec.msgpack.encode(message))
            assert reply.is_err(), kind
        assert owner.instance.owner.table.jobs == {}
        await assert_nothing_began(cell, keys)

    run(program)


@pytest.mark.parametrize("text", ["owner", f"fast/{ID}", ID + "a", ID])
def test_stored_record_that_its_key_does_not_name_is_not_loaded(text):
    """Guards against a record of another id that a takeover brings to life."""

    async def program(cell):
        owner = await cell.wait_for_owner()
        record = cell.make_job("f" * 16, [step()])
        key = f"{owner.instance.jobs.prefix}{JOBS_PREFIX}{text}/a"
        await cell.operator.commit(Transaction([], [Put(key, to_json(record))]))
        cell.kill(owner)
        await cell.wait_for_owner()
        await anyio.sleep(3)
        assert cell.world.starts == []

    run(program)


@pytest.mark.parametrize(
    "task",
    [
        "x" * 300,
        f"fast/{ID}.0.0.0",
        f"{ID}.0.0",
        f"{ID}.0.0.00",
        f"{ID}.0.0.{'9' * 5000}",
    ],
)
def test_worker_that_lists_a_name_of_no_task_causes_no_look_up(task):
    """Guards against names of workers in keys, and against endless look-ups."""

    async def program(cell):
        owner = await cell.wait_for_owner()
        assert (await call(cell, "POST", f"/print/{ID}", JOB))[0] == 200
        cell.make_job(ID, [step(2, cpu=500)])
        assert await cell.wait_for(ID, JobState.COMPLETED, 5)
        driver = next(iter(owner.instance.owner.fleet.drivers.values()))
        end = EndReport(10**6, task, 1, EndKind.DONE, "")
        owner.instance.owner.fleet.apply_ends(driver, [end])
        assert driver.node.withheld_ends == []
        assert owner.instance.owner.unknown_jobs.pending == set()

    run(program)
