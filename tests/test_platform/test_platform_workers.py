"""The platform's workers: entries, orders, polls."""

from __future__ import annotations

import msgspec
import pytest
from msgspec.structs import replace

from lacewinghold.ids import ANY_INCARNATION
from lacewinghold.platform.workers import PlatformWorkerCalls, read_worker
from lacewinghold.scheduler.ports import (
    EndKind,
    OrderOutcome,
    PollOrder,
    Resources,
    ServerState,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from lacewinghold.testing.clock import run_paused
from tests.test_platform.support import LOST, UNREACHABLE, ScriptedClient, reply

ENTRY = {
    "service": "s1",
    "address": "10.0.0.2:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 5,
    "seqNo": 4,
    "born": 1700000000000,
}
START = StartOrder("j.0.1.2", 3, "text", 1234.7, 9, "saved", "ticket")


def read(**changes):
    """Returns the decoded entry with fields changed; ``None`` removes a field."""
    fields = {**ENTRY, **changes}
    present = {name: value for name, value in fields.items() if value is not None}
    return read_worker("servers/i-1", msgspec.json.encode(present))


def use(program, answer):
    """Runs a program on a worker client with one scripted response."""

    async def session():
        calls = PlatformWorkerCalls(read())
        calls.client = ScriptedClient(answer)
        return await program(calls), calls.client.calls

    return run_paused(session, seed=1)


def test_entry_is_decoded():
    entry = read(state="draining", remainingMs=1500)
    assert entry.worker == "i-1"
    assert entry.incarnation == 1700000000000
    assert entry.state is ServerState.DRAINING
    assert entry.remaining_s == 1.5
    assert entry.capacity == Resources(16000, 32768, 0)
    assert entry.rack == "r1-3"


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"address": None},
        {"capacity": 3},
        {"service": 7},
        {"born": -1},
    ],
)
def test_entry_of_another_writer_is_ignored(changes):
    assert read(**changes) is None


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[1]", b"null"])
def test_malformed_entry_is_ignored(value):
    assert read_worker("servers/i-1", value) is None


def test_start_names_the_worker_and_sends_whole_milliseconds():
    reply_, calls = use(lambda c: c.start(START, 1), reply(200, {"clockMs": 11}))
    assert reply_.outcome is OrderOutcome.DONE
    assert reply_.clock_ms == 11
    assert calls == [
        (
            "POST",
            "/run-start",
            {
                "task": "j.0.1.2",
                "run": 3,
                "spec": "text",
                "untilMs": 1234,
                "fencingToken": 9,
                "checkpoint": "saved",
                "ticket": "ticket",
            },
            {"Lacewinghold-Expect-Instance": "i-1"},
        )
    ]


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (reply(409, {"reason": "fence"}), OrderOutcome.FENCED),
        (reply(409, {"reason": "old"}), OrderOutcome.OLD_RUN),
        (reply(409, {"reason": "late"}), OrderOutcome.LATE),
        (reply(409, {"reason": "room"}), OrderOutcome.NO_ROOM),
        (reply(409, {"reason": "ticket"}), OrderOutcome.NO_TICKET),
        (reply(400), OrderOutcome.INVALID),
        (reply(421), OrderOutcome.OTHER_INCARNATION),
        (reply(429), OrderOutcome.UNHEALTHY),
        (reply(503), OrderOutcome.UNHEALTHY),
        (reply(500), OrderOutcome.UNKNOWN),
        (LOST, OrderOutcome.UNKNOWN),
        (UNREACHABLE, OrderOutcome.NOT_SENT),
    ],
)
def test_outcomes_of_an_order(answer, outcome):
    found, _ = use(lambda c: c.stop(StopOrder("j.0.1.2", 3, 9), 1), answer)
    assert found.outcome is outcome


def test_poll_returns_runs_and_ends():
    body = {
        "clockMs": 482113,
        "running": [["j.0.1.17", 2, "saved", 41, 0.5]],
        "ended": [[58, "j.0.1.9", 1, "broken", ""]],
        "born": ENTRY["born"],
    }
    report, calls = use(
        lambda c: c.poll(PollOrder(9, 57, 500.9, 1.0), 1), reply(200, body)
    )
    assert isinstance(report, WorkerReport)
    assert report.runs[0].task == "j.0.1.17"
    assert report.ends[0].number == 58
    assert report.ends[0].kind is EndKind.BROKEN
    assert calls[0][2] == {
        "fencingToken": 9,
        "lastSeen": 57,
        "untilMs": 500,
        "waitMs": 1000,
    }


def test_report_of_any_incarnation_is_accepted_where_none_is_expected():
    async def program():
        calls = PlatformWorkerCalls(replace(read(), incarnation=ANY_INCARNATION))
        body = {"clockMs": 1, "running": [], "ended": [], "born": 5}
        calls.client = ScriptedClient(reply(200, body))
        return await calls.poll(PollOrder(9, 0), 1)

    assert isinstance(run_paused(program, seed=1), WorkerReport)


def test_report_of_another_incarnation_is_rejected():
    body = {"clockMs": 1, "running": [], "ended": [], "born": 5}
    found, _ = use(lambda c: c.poll(PollOrder(9, 0), 1), reply(200, body))
    assert found is OrderOutcome.OTHER_INCARNATION


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (reply(409, {"reason": "fence"}), OrderOutcome.FENCED),
        (reply(421), OrderOutcome.OTHER_INCARNATION),
        (reply(200, {"running": []}), OrderOutcome.UNKNOWN),
        (reply(200, {"clockMs": 1, "ended": [[1]]}), OrderOutcome.UNKNOWN),
        (reply(200, {"clockMs": 1e300}), OrderOutcome.UNKNOWN),
        (reply(200, {"clockMs": -1e300}), OrderOutcome.UNKNOWN),
        (LOST, OrderOutcome.UNKNOWN),
        (UNREACHABLE, OrderOutcome.NOT_SENT),
    ],
)
def test_outcomes_of_a_poll(answer, outcome):
    found, _ = use(lambda c: c.poll(PollOrder(9, 0), 1), answer)
    assert found is outcome


@pytest.mark.parametrize("number", [-1, 2**63, 2**64, "9" * 40])
@pytest.mark.parametrize(
    "body",
    [
        lambda number: {"running": [["j.0.0.0", number, "", 5]]},
        lambda number: {"ended": [[number, "j.0.0.0", 1, "done", ""]]},
        lambda number: {"ended": [[1, "j.0.0.0", number, "done", ""]]},
    ],
    ids=["run", "end", "run that ended"],
)
def test_a_report_with_a_number_that_no_message_carries_is_unreadable(body, number):
    """Guards against a worker whose answer ends or silences those who relay it."""
    fields = {"clockMs": 1, "running": [], "ended": [], **body(number)}
    found, _ = use(lambda c: c.poll(PollOrder(9, 0), 1), reply(200, fields))
    assert found is OrderOutcome.UNKNOWN


def test_an_order_whose_answer_has_an_absurd_clock_is_done_without_a_reading():
    """Guards against leases that no order can carry."""
    reply_, _ = use(lambda c: c.start(START, 1), reply(200, {"clockMs": 1e300}))
    assert reply_.outcome is OrderOutcome.DONE
    assert reply_.clock_ms is None
