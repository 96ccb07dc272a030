"""The guarded store during outages, after a restore, and on recovery."""

from __future__ import annotations

import copy
import random

import anyio
import pytest
from result import Ok

from lacewinghold.coordination.keys import Keys
from lacewinghold.coordination.view import LiveView
from lacewinghold.errors import ErrorKind
from lacewinghold.store.base import CallKind, Put, Transaction
from lacewinghold.store.guarded import (
    BREAKER_MAX_PAUSE_S,
    MAX_RETRY_TOKENS,
    GuardedStore,
)
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, Outage, StoreFault, StoreState

HOUR_S = 3600.0
WRITE = Transaction([], [Put("key", b"value")])
# The platform's store serves several hundred writes and 2,000 reads a second.
WRITES_PER_S = 300
READS_PER_S = 2000


def make_store():
    return GuardedStore(MemoryStore(StoreState()), random.Random(1))


def play(scenario):
    return run_paused(scenario, seed=1)


def test_read_is_retried_and_write_is_not():
    async def scenario():
        store = make_store()
        store.inner.faults = [StoreFault.UNAVAILABLE]
        assert (await store.range("key")).is_ok()
        assert store.calls[CallKind.READ] == 2
        store.inner.faults = [StoreFault.REPLY_LOST]
        written = await store.commit(WRITE)
        assert written.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
        assert store.calls[CallKind.WRITE] == 1

    play(scenario)


def test_retries_are_bounded_by_the_budget():
    async def scenario():
        store = make_store()
        store.breaker.admit = lambda: True
        store.inner.state.outage = Outage.ERRORS
        for _ in range(100):
            await store.range("key")
        assert store.retries == MAX_RETRY_TOKENS
        assert store.calls[CallKind.READ] == 100 + MAX_RETRY_TOKENS

    play(scenario)


@pytest.mark.parametrize("outage", [Outage.DOWN, Outage.ERRORS])
def test_breaker_opens_probes_and_closes(outage):
    async def scenario():
        store = make_store()
        store.inner.state.outage = outage
        ends = anyio.current_time() + HOUR_S
        while anyio.current_time() < ends:
            await store.commit(WRITE)
            await anyio.sleep(1.0)
        # One probe after each pause, which lasts at least half the maximum pause.
        assert store.calls[CallKind.WRITE] <= HOUR_S / (BREAKER_MAX_PAUSE_S / 2) + 20
        refusal = await store.commit(WRITE)
        assert refusal.err_value.kind is ErrorKind.STORE_UNAVAILABLE
        store.inner.state.outage = Outage.NONE
        recovered_at = anyio.current_time()
        while (await store.commit(WRITE)).is_err():
            await anyio.sleep(0.1)
        assert anyio.current_time() - recovered_at <= BREAKER_MAX_PAUSE_S + 0.2

    play(scenario)


def test_renewal_passes_an_open_breaker():
    async def scenario():
        store = make_store()
        lease = (await store.grant_lease(3.0)).ok_value
        store.inner.state.outage = Outage.DOWN
        for _ in range(20):
            await store.commit(WRITE)
        store.inner.state.outage = Outage.NONE
        assert (await store.renew_lease(lease)).is_ok()
        assert (await store.commit(WRITE)).is_ok()

    play(scenario)


def test_store_restored_from_an_older_state_is_refused():
    async def scenario():
        store = make_store()
        older = copy.copy(store.inner.state)
        older.keys = dict(older.keys)
        for _ in range(3):
            await store.commit(WRITE)
        view = LiveView(store, Keys("/cell"), random.Random(1))
        assert await view.load()
        store.inner.state = older
        found = await store.range("key")
        assert found.err_value.kind is ErrorKind.STORE_REGRESSED
        assert "revision 1" in found.err_value.detail
        written = await store.commit(WRITE)
        assert written.err_value.kind is ErrorKind.STORE_REGRESSED
        assert not await view.load()
        assert view.regressed

    play(scenario)


def test_replies_out_of_order_are_not_a_regression():
    async def scenario():
        store = make_store()

        async def read():
            assert isinstance(await store.range("key"), Ok)

        async with anyio.create_task_group() as tasks:
            for n in range(50):
                tasks.start_soon(read)
                if n % 5 == 0:
                    tasks.start_soon(store.commit, WRITE)

    play(scenario)


def test_recovery_of_the_store_causes_no_stampede():
    async def scenario():
        async with anyio.create_task_group() as tasks:
            cell = Cell(TERRASVUUR, tasks, 1)
            await cell.start()
            await cell.wait_ready(6)
            cell.state.outage = Outage.DOWN
            await anyio.sleep(60.0)
            cell.state.outage = Outage.NONE
            before = [running.store.calls.copy() for running in cell.instances.values()]
            max_calls = {CallKind.WRITE: 0, CallKind.READ: 0}
            for _ in range(10):
                await anyio.sleep(1.0)
                now = [
                    running.store.calls.copy() for running in cell.instances.values()
                ]
                for kind in max_calls:
                    made = sum(
                        n[kind] - b[kind] for n, b in zip(now, before, strict=True)
                    )
                    max_calls[kind] = max(max_calls[kind], made)
                before = now
            await cell.wait_ready(6)
            assert max_calls[CallKind.WRITE] < WRITES_PER_S
            assert max_calls[CallKind.READ] < READS_PER_S
            tasks.cancel_scope.cancel()

    play(scenario)
