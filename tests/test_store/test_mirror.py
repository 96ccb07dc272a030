"""Local copies of the store's keys."""

from __future__ import annotations

import anyio

from lacewinghold.store.base import Delete, KeyValue, Put, Transaction, WatchBatch
from lacewinghold.store.mirror import Mirror
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, StoreState

KEYS = 500


def test_load_of_many_keys_yields_to_other_tasks():
    """Reporting hundreds of worker entries in one turn delayed the owner's renewals."""

    async def program():
        state = StoreState()
        for number in range(KEYS):
            state.apply(Transaction([], [Put(f"w/{number}", b"")]))
        reported = []
        turns = [0]
        started = anyio.Event()

        def report(item):
            reported.append(item.key)
            started.set()

        async def count_per_turn():
            await started.wait()
            while True:
                turns.append(len(reported))
                await anyio.sleep(0)

        mirror = Mirror(MemoryStore(state), "w/", report, reported.remove)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(count_per_turn)
            await mirror.load_until_done()
            turns.append(len(reported))
            tasks.cancel_scope.cancel()
        assert len(reported) == KEYS
        assert max(b - a for a, b in zip(turns, turns[1:], strict=False)) <= 150

    run_paused(program, seed=1)


def test_load_completes_an_earlier_cancelled_load():
    """Keys already reported are not reported again; the others are."""

    async def program():
        state = StoreState()
        for number in range(KEYS):
            state.apply(Transaction([], [Put(f"w/{number}", b"")]))
        reported = []
        gone = []
        scope = anyio.CancelScope()

        def report(item):
            reported.append(item.key)
            if len(reported) == KEYS // 2:
                scope.cancel()

        mirror = Mirror(MemoryStore(state), "w/", report, gone.append)
        with scope:
            await mirror.load_until_done()
        assert KEYS // 2 <= len(reported) < KEYS
        state.apply(Transaction([], [Delete("w/0"), Delete("w/499")]))
        await mirror.load_until_done()
        assert sorted(reported) == sorted(f"w/{number}" for number in range(KEYS - 1))
        assert gone == ["w/0"]

    run_paused(program, seed=1)


def test_mirror_pauses_once_for_each_poll():
    """A pause after every batch delayed the last batch of a poll with several."""

    class RecreatingStore(MemoryStore):
        """Returns a key as deleted and recreated several times in one poll."""

        async def changes(self, prefix, after):
            for number in range(8):
                item = KeyValue("w/a", b"", number + 2, number + 2)
                yield WatchBatch(20, [item], ["w/a"])
            await anyio.sleep_forever()

    async def program():
        reported = []
        mirror = Mirror(
            RecreatingStore(StoreState()), "w/", reported.append, lambda key: None, 0.4
        )
        with anyio.move_on_after(0.5):
            await mirror.run()
        assert len(reported) == 8

    run_paused(program, seed=1)
