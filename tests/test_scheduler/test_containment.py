"""One malformed message or unexpected error ends one piece of work, not a process."""

from __future__ import annotations

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from lacewinghold.platform.advice import PlatformAdvice
from lacewinghold.platform.http_connections import HttpReply
from lacewinghold.platform.manifest import read_manifest
from lacewinghold.platform.workers import PlatformWorkerCalls, read_worker
from lacewinghold.scheduler.driver import WorkerDriver
from lacewinghold.scheduler.fleet import Fleet
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import OrderOutcome, PollOrder, WorkerReport
from lacewinghold.scheduler.relay_host import RelayHost
from lacewinghold.schema.generated.messages import MessageKind
from lacewinghold.testing.clock import run_paused
from tests.test_platform.support import ScriptedClient, reply
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_relay_faults import other_member

NESTED = b'{"x":' + b"[" * 100_000
ENTRY = {
    "service": "s1",
    "address": "10.0.0.2:80",
    "zone": "dc-a",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "born": 1700000000000,
}
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(min_value=-(2**70), max_value=2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=12),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)


async def assert_cell_works(cell):
    """Checks that the cell still completes a job with its present owner."""
    await cell.submit("after", [step(2)])
    assert await cell.wait_for("after", JobState.COMPLETED, 15)


@pytest.mark.parametrize(
    "kind", [MessageKind.HEARTBEAT, MessageKind.FAILURE, MessageKind.REPLY]
)
def test_an_undecodable_control_message_does_not_end_the_process(kind):
    async def program(cell):
        owner = cell.owner()
        links = other_member(cell, owner).instance.peers
        for body in (b"\xc1", b"", b"\x91" * 100_000):
            links.queue(owner.instance.instance, kind, 1, body)
        await anyio.sleep(0.1)
        assert cell.owner() is owner
        await assert_cell_works(cell)

    run_cell(program, limit_s=30)


def test_an_unexpected_error_of_a_handler_ends_only_its_request(monkeypatch):
    async def program(cell):
        owner = cell.owner()
        links = owner.instance.peers

        async def fail(peer, body):
            raise KeyError("unexpected")

        links.on(MessageKind.CELL_WAITING, fail)
        count = await other_member(cell, owner).instance.peer_calls.fetch_waiting_count(
            "q"
        )
        assert count is None
        assert cell.owner() is owner
        await assert_cell_works(cell)

    run_cell(program, limit_s=30, unexpected_errors=1)


def fail_at_first(monkeypatch, owner_class, name, times):
    """Makes the first calls of a method raise an unexpected error.

    :returns: The failures so far, one item each.
    """
    method = getattr(owner_class, name)
    failures = []

    def fail_or_call(*args):
        if len(failures) < times:
            failures.append(name)
            raise ValueError("unexpected")
        return method(*args)

    monkeypatch.setattr(owner_class, name, fail_or_call)
    return failures


@pytest.mark.parametrize(
    ("owner_class", "name", "times"),
    [
        pytest.param(Fleet, "apply_report", 2, id="report"),
        pytest.param(WorkerDriver, "build_start_order", 1, id="start"),
        pytest.param(RelayHost, "connection_for", 2, id="relayed order"),
    ],
)
def test_an_unexpected_error_ends_only_one_piece_of_work(
    monkeypatch, owner_class, name, times
):
    async def program(cell):
        owner, members = cell.owner(), list(cell.members)
        assert owner.instance.owner.recovered
        failures = fail_at_first(monkeypatch, owner_class, name, times)
        await anyio.sleep(2)
        await assert_cell_works(cell)
        assert len(failures) == times
        assert cell.owner() is owner
        assert list(cell.members) == members

    run_cell(program, limit_s=40, unexpected_errors=times)


def read(**changes):
    """Returns the decoded entry with fields changed."""
    return read_worker("servers/i-1", msgspec.json.encode({**ENTRY, **changes}))


@pytest.mark.parametrize(
    "address", ["", "10.0.0.2", "10.0.0.2:x", "10.0.0.2:99999", "name:80", "a b:80"]
)
def test_an_entry_without_a_usable_address_names_no_worker(address):
    assert read() is not None
    assert read(address=address) is None


@pytest.mark.parametrize("amount", [-1, 2**63, 2**100, 1e300])
def test_an_entry_with_an_absurd_capacity_names_no_worker(amount):
    assert read(capacity={"cpu": amount, "memMb": 1, "gpus": 0}) is None


def test_deeply_nested_entries_are_set_aside():
    assert read_worker("servers/i-1", NESTED) is None
    assert read_manifest(NESTED) is None


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.dictionaries(st.sampled_from([*ENTRY, "other"]), VALUES, max_size=6))
def test_no_entry_of_another_writer_raises(changes):
    read(**changes)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | VALUES.map(msgspec.json.encode))
def test_no_bytes_in_the_store_raise(value):
    read_worker("servers/i-1", value)
    read_manifest(value)


def poll(body):
    """Polls a worker that answers with a body."""

    async def session():
        calls = PlatformWorkerCalls(read())
        calls.client = ScriptedClient(body)
        return await calls.poll(PollOrder(1, 0, None, 0.0), 1.0)

    return run_paused(session, seed=1)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.lists(VALUES, max_size=6), max_size=3), st.sampled_from([200, 409]))
def test_no_report_of_a_worker_raises(rows, status):
    for field in ("running", "ended"):
        body = {"clockMs": 5, field: rows, "reason": rows}
        answer = poll(reply(status, body))
        assert isinstance(answer, WorkerReport | OrderOutcome)


def test_deeply_nested_answers_are_unreadable():
    nested = Ok(HttpReply(200, NESTED))
    assert poll(nested) is OrderOutcome.UNKNOWN

    async def session():
        advice = PlatformAdvice("10.0.0.1:80")
        advice.client = ScriptedClient(nested)
        return await advice.ask("j.0.0", ["i-1"], 1.0)

    assert run_paused(session, seed=1).is_err()
