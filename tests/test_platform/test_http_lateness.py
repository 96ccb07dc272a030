"""HTTP calls while the calling process lags: its own lag must not fail a call."""

from __future__ import annotations

import anyio
import pytest
from result import Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.platform.http import CONNECT_TIMEOUT_S, JsonClient
from lacewinghold.platform.http_connections import (
    Connection,
    ConnectionPool,
    HttpReply,
)
from lacewinghold.platform.workers import PlatformWorkerDialer
from lacewinghold.testing.clock import run_paused
from lacewinghold.util.lag import LagMonitor, LagPeriod
from lacewinghold.util.turns import TurnGate
from tests.test_platform.support import make_entry


class AnsweringConnection(Connection):
    """A connection that answers each request at once."""

    def __init__(self):
        self.reusable = False

    async def exchange(self, request, transfer, max_bytes):
        return HttpReply(200, b"{}")

    async def close(self):
        """Does nothing; there is no socket."""


class SlowPool(ConnectionPool):
    """Opens connections, each after the next delay of a list."""

    def __init__(self, delays_s, gate=None):
        super().__init__("10.0.0.1:1", 1, gate)
        self.delays_s = delays_s
        self.attempts = 0

    async def connect(self, host, port):
        self.attempts += 1
        await anyio.sleep(self.delays_s.pop(0))
        return AnsweringConnection()


def call(delays_s, late_s):
    """Makes a call from a process that lags while it opens a connection.

    :returns: The reply, and the number of attempts to connect.
    """

    async def session():
        lag = LagMonitor()
        client = JsonClient("10.0.0.1:1", 1, lag)
        client.pool = SlowPool(list(delays_s))

        async def cause_lag():
            await anyio.sleep(CONNECT_TIMEOUT_S / 2)
            now = anyio.current_time()
            lag.record_period(LagPeriod(now - late_s, now))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cause_lag)
            reply = await client.call("GET", "/", 0.8)
        return reply, client.pool.attempts

    return run_paused(session, seed=1)


def test_connect_timeout_caused_by_own_lag_is_retried():
    reply, attempts = call([0.6, 0.6], late_s=0.2)
    assert isinstance(reply, Ok)
    assert attempts == 2


def test_lagging_process_reports_a_silent_address_after_one_retry():
    reply, attempts = call([60.0, 60.0, 60.0], late_s=0.2)
    assert reply.err_value.kind is ErrorKind.UNREACHABLE
    assert attempts == 2


def test_process_without_lag_reports_a_silent_address_at_once():
    reply, attempts = call([0.6, 0.6], late_s=0.0)
    assert reply.err_value.kind is ErrorKind.UNREACHABLE
    assert attempts == 1


@pytest.mark.parametrize(("late_s", "read_s"), [(0.0, 0.8), (0.2, 1.4)])
def test_lag_extends_the_timeouts(late_s, read_s):
    async def session():
        lag = LagMonitor()
        if late_s:
            now = anyio.current_time()
            lag.record_period(LagPeriod(now - late_s, now))
        timeouts = JsonClient("10.0.0.1:1", 1, lag).timeouts(0.8)
        assert timeouts.exchange_s == pytest.approx(read_s)
        assert timeouts.connect_s == pytest.approx(CONNECT_TIMEOUT_S + read_s - 0.8)

    run_paused(session, seed=1)


def test_waiting_at_the_gate_does_not_count_towards_the_connect_timeout():
    async def session():
        gate = TurnGate(1)
        await gate.enter()
        # Another caller holds the gate for longer than the connect time-out.
        await gate.lock.acquire()
        client = JsonClient("10.0.0.1:1", 1)
        client.pool = SlowPool([CONNECT_TIMEOUT_S / 2], gate)
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


def test_all_worker_clients_share_one_connection_gate():
    dialer = PlatformWorkerDialer()
    gates = {id(dialer.open(make_entry(name)).client.gate) for name in ("one", "two")}
    assert len(gates) == 1
