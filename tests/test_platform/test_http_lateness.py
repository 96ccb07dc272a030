"""Calls over HTTP of a process that is late: own lateness ends no call."""

from __future__ import annotations

import anyio
import httpcore
import pytest
from result import Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.ids import Incarnation, WorkerId
from lacewinghold.platform.http import CONNECT_TIMEOUT_S, JsonClient, RateLimitedBackend
from lacewinghold.platform.workers import PlatformWorkerDialer
from lacewinghold.scheduler.ports import Resources, ServerState, WorkerEntry
from lacewinghold.testing.clock import run_paused
from lacewinghold.util.lag import LagMonitor, Stretch
from lacewinghold.util.turns import TurnGate

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class SlowBackend(httpcore.AsyncNetworkBackend):
    """Opens connections, each after the next of some times."""

    def __init__(self, takes_s):
        self.takes_s = takes_s
        self.tries = 0

    async def connect_tcp(self, host, port, timeout=None, **options):
        self.tries += 1
        with anyio.move_on_after(timeout) as scope:
            await anyio.sleep(self.takes_s.pop(0))
        if scope.cancelled_caught:
            raise httpcore.ConnectTimeout
        return httpcore.AsyncMockStream([ANSWER])


def call(takes_s, late_s):
    """Makes a call of a process that is late while it opens a connection.

    :returns: The reply, and how often a connection was tried to open.
    """

    async def session():
        lag = LagMonitor()
        backend = SlowBackend(list(takes_s))
        client = JsonClient("h:1", 1, lag)
        client.pool = httpcore.AsyncConnectionPool(network_backend=backend)

        async def be_late():
            await anyio.sleep(CONNECT_TIMEOUT_S / 2)
            now = anyio.current_time()
            lag.note_stretch(Stretch(now - late_s, now))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(be_late)
            reply = await client.call("GET", "/", 0.8)
        return reply, backend.tries

    return run_paused(session, seed=1)


def test_own_lag_is_not_taken_for_an_address_that_is_silent():
    reply, tries = call([0.6, 0.6], late_s=0.2)
    assert isinstance(reply, Ok)
    assert tries == 2


def test_an_address_that_is_silent_is_given_up_by_a_late_process_too():
    reply, tries = call([60.0, 60.0, 60.0], late_s=0.2)
    assert reply.err_value.kind is ErrorKind.UNREACHABLE
    assert tries == 2


def test_an_address_that_is_silent_is_given_up_at_once_by_a_process_on_time():
    reply, tries = call([0.6, 0.6], late_s=0.0)
    assert reply.err_value.kind is ErrorKind.UNREACHABLE
    assert tries == 1


@pytest.mark.parametrize(("late_s", "read_s"), [(0.0, 0.8), (0.2, 1.4)])
def test_calls_of_a_late_process_may_take_longer(late_s, read_s):
    async def session():
        lag = LagMonitor()
        if late_s:
            now = anyio.current_time()
            lag.note_stretch(Stretch(now - late_s, now))
        timeouts = JsonClient("h:1", 1, lag).timeouts(0.8)
        assert timeouts["read"] == pytest.approx(read_s)
        assert timeouts["connect"] == pytest.approx(CONNECT_TIMEOUT_S + read_s - 0.8)

    run_paused(session, seed=1)


def test_the_wait_for_a_turn_is_not_taken_for_an_address_that_is_silent():
    async def session():
        gate = TurnGate(1)
        await gate.enter()
        # Another opening keeps the gate for longer than one may take.
        await gate.lock.acquire()
        backend = RateLimitedBackend(gate, SlowBackend([CONNECT_TIMEOUT_S / 2]))
        client = JsonClient("h:1", 1)
        client.pool = httpcore.AsyncConnectionPool(network_backend=backend)
        replies = []

        async def call_once():
            replies.append(await client.call("GET", "/", 0.8))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_once)
            await anyio.sleep(3 * CONNECT_TIMEOUT_S)
            gate.lock.release()
        return replies

    replies = run_paused(session, seed=1)
    assert isinstance(replies[0], Ok)


def test_calls_to_all_workers_open_their_connections_through_one_gate():
    def entry(name):
        return WorkerEntry(
            worker=WorkerId(name),
            incarnation=Incarnation(1),
            service="service",
            address=f"{name}:1",
            data_centre="dc",
            state=ServerState.READY,
            capacity=Resources(),
            labels=frozenset(),
        )

    dialer = PlatformWorkerDialer()
    gates = {id(dialer.open(entry(name)).client.gate) for name in ("one", "two")}
    assert len(gates) == 1
