"""Outage detection of the store, also while this process itself lags."""

from __future__ import annotations

import anyio
import trio

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import LeaseId
from lacewinghold.store.health import (
    FAILURE_THRESHOLD,
    SILENCE_TIMEOUT_S,
    HealthCheckedStore,
)
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, Outage, StoreState
from lacewinghold.util.lag import SAMPLE_INTERVAL_S, LagMonitor

LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "no answer in time")


def run_health_checked(program):
    """Runs a program on a health-checked store with a running lag monitor."""

    async def session():
        state = StoreState()
        lag = LagMonitor()
        store = HealthCheckedStore(MemoryStore(state), lag)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lag.run)
            await anyio.sleep(1.0)
            lease = (await store.grant_lease(100)).ok_value
            await program(state, store, lease)
            tasks.cancel_scope.cancel()

    run_paused(session, seed=1)


def stall_process(seconds):
    """Blocks the process while the clock advances."""
    trio.lowlevel.current_clock().jump(seconds)


async def keep_renewing(store, lease):
    while True:
        await store.renew_lease(lease)
        await anyio.sleep(0.1)


def test_own_lag_is_not_reported_as_a_silent_store():
    async def program(state, store, lease):
        state.latency_s = 0.2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_renewing, store, lease)
            for _ in range(5):
                while not store.outstanding:
                    await anyio.sleep(0.01)
                stall_process(SILENCE_TIMEOUT_S + 0.5)
                assert not store.down
                await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()

    run_health_checked(program)


def test_calls_lost_to_own_lag_are_not_an_outage():
    async def program(state, store, lease):
        for _ in range(FAILURE_THRESHOLD):
            started_at = anyio.current_time()
            stall_process(0.4)
            store.record_outcome(LOST, started_at)
            await anyio.sleep(2 * SAMPLE_INTERVAL_S)
        assert not store.down

    run_health_checked(program)


def test_lagging_process_detects_an_outage():
    async def program(state, store, lease):
        state.outage = Outage.DOWN
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_renewing, store, lease)
            for _ in range(20):
                stall_process(0.3)
                await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()
        assert store.down

    run_health_checked(program)


def test_process_without_lag_detects_an_outage_at_once():
    async def program(state, store, lease):
        state.outage = Outage.DOWN
        for _ in range(FAILURE_THRESHOLD):
            assert not store.down
            await store.renew_lease(LeaseId(lease))
        assert store.down

    run_health_checked(program)
