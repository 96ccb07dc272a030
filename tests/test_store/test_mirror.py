"""Copies of keys that trail the store."""

from __future__ import annotations

import anyio

from lacewinghold.store.base import Delete, KeyValue, Put, Transaction, WatchBatch
from lacewinghold.store.mirror import Mirror
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, StoreState

KEYS = 500


def test_others_have_their_turns_while_many_keys_are_read():
    """Hundreds of workers' entries in one turn held the owner's renewals up."""

    async def program():
        state = StoreState()
        for number in range(KEYS):
            state.apply(Transaction([], [Put(f"w/{number}", b"")]))
        told = []
        turns = [0]
        begun = anyio.Event()

        def tell(item):
            told.append(item.key)
            begun.set()

        async def take_turns():
            await begun.wait()
            while True:
                turns.append(len(told))
                await anyio.sleep(0)

        mirror = Mirror(MemoryStore(state), "w/", tell, told.remove)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(take_turns)
            await mirror.load_until_done()
            turns.append(len(told))
            tasks.cancel_scope.cancel()
        assert len(told) == KEYS
        assert max(b - a for a, b in zip(turns, turns[1:], strict=False)) <= 150

    run_paused(program, seed=1)


def test_a_load_that_is_broken_off_is_made_up_for():
    """What it has told is not told again, and what it has not is told."""

    async def program():
        state = StoreState()
        for number in range(KEYS):
            state.apply(Transaction([], [Put(f"w/{number}", b"")]))
        told = []
        gone = []
        scope = anyio.CancelScope()

        def tell(item):
            told.append(item.key)
            if len(told) == KEYS // 2:
                scope.cancel()

        mirror = Mirror(MemoryStore(state), "w/", tell, gone.append)
        with scope:
            await mirror.load_until_done()
        assert KEYS // 2 <= len(told) < KEYS
        state.apply(Transaction([], [Delete("w/0"), Delete("w/499")]))
        await mirror.load_until_done()
        assert sorted(told) == sorted(f"w/{number}" for number in range(KEYS - 1))
        assert gone == ["w/0"]

    run_paused(program, seed=1)


def test_a_mirror_pauses_once_for_each_look():
    """A look in several batches held the last of them up by a pause for each."""

    class Looking(MemoryStore):
        """Finds a key that is gone and back again and again, in one look."""

        async def changes(self, prefix, after):
            for number in range(8):
                item = KeyValue("w/a", b"", number + 2, number + 2)
                yield WatchBatch(20, [item], ["w/a"])
            await anyio.sleep_forever()

    async def program():
        told = []
        mirror = Mirror(Looking(StoreState()), "w/", told.append, lambda key: None, 0.4)
        with anyio.move_on_after(0.5):
            await mirror.run()
        assert len(told) == 8

    run_paused(program, seed=1)
