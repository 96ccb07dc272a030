"""Embeds the coordination parts in a program of one's own, without the daemons.

Three members share two shards of work under store leases. One dies without a word;
another takes its shard over under a higher epoch, finds in the ledger what had been
accepted, and the dead member's late write is refused. The store is the in-memory fake,
on a paused clock; with ``lacewinghold.store.etcd.EtcdStore`` the same code runs against
a real one.

Usage: ``python examples/embed_coordination.py``.
"""

from __future__ import annotations

import random

import anyio
from result import Err, Ok

from lacewinghold.coordination.assignment import assign
from lacewinghold.coordination.keys import Keys
from lacewinghold.coordination.lease import InstanceLease
from lacewinghold.coordination.ledger import Ledger
from lacewinghold.coordination.ownership import ShardOwnership
from lacewinghold.coordination.view import LiveView
from lacewinghold.ids import DataCentreId, InstanceId, RegionId, ShardId, TaskId
from lacewinghold.schema.generated.records import EntryKind, InstanceRecord, LogEntry
from lacewinghold.schema.generated.settings import LeaseSettings
from lacewinghold.store.guarded import GuardedStore
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, StoreState

KEYS = Keys("/example")
SHARDS = [ShardId("orders"), ShardId("prints")]
CHECK_S = 0.2


class Member:
    """One process of the program: a lease, a view of the others, and its shards."""

    def __init__(self, state: StoreState, name: str) -> None:
        self.name = InstanceId(name)
        self.rng = random.Random(name)
        self.store = GuardedStore(MemoryStore(state), self.rng)
        record = InstanceRecord(
            instance=self.name,
            region=RegionId("region"),
            data_centre=DataCentreId("place"),
            peer="",
            http="",
        )
        self.lease = InstanceLease(self.store, KEYS, LeaseSettings(), record, self.rng)
        self.view = LiveView(self.store, KEYS, self.rng)
        self.claims: dict[ShardId, ShardOwnership] = {}
        self.ledgers: dict[ShardId, Ledger] = {}
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Keeps the lease and the view, and takes what is assigned to it."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lease.run)
                tasks.start_soon(self.view.run)
                await self.view.loaded.wait()
                while True:
                    await anyio.sleep(CHECK_S)
                    for shard in self.wanted():
                        if await self.take(shard):
                            tasks.start_soon(self.ledgers[shard].run)

    def wanted(self) -> list[ShardId]:
        """Returns the shards that this member should take now."""
        if not self.lease.valid():
            return []
        live = self.view.instances()
        found = []
        for shard, member in assign(SHARDS, list(live)).items():
            known = self.view.owner(shard)
            free = known is None or known[0].owner not in live
            if member == self.name and free:
                found.append(shard)
        return found

    async def take(self, shard: ShardId) -> bool:
        """Claims a shard and reads its ledger under the new epoch."""
        claim = ShardOwnership(self.store, KEYS, self.lease, shard)
        taken = await claim.acquire(self.view.owner(shard))
        if isinstance(taken, Err):
            return False
        ledger = Ledger(self.store, KEYS, shard, taken.ok_value, self.name, self.rng)
        while isinstance(await ledger.load(), Err):
            await anyio.sleep(CHECK_S)
        self.claims[shard] = claim
        self.ledgers[shard] = ledger
        known = sorted(ledger.state.intents)
        print(f"{self.name} owns {shard} in epoch {claim.epoch} and knows {known}")
        return True

    async def act(self, shard: ShardId, what: str) -> None:
        """Records an intent durably, and acts only under the lease."""
        entry = LogEntry(
            kind=EntryKind.TASK_INTENT, at=anyio.current_time(), task_id=TaskId(what)
        )
        written = await self.ledgers[shard].append([entry], timeout_s=5.0)
        # The check stands right before the act that it protects.
        if isinstance(written, Ok) and self.claims[shard].held():
            print(f"{self.name} does {what}")
        elif isinstance(written, Err):
            print(f"{self.name} may not do {what}: {written.err_value.kind}")


async def main() -> None:
    """Shows a takeover."""
    state = StoreState()
    async with anyio.create_task_group() as tasks:
        members = [Member(state, name) for name in ("ann", "ben", "cor")]
        for member in members:
            tasks.start_soon(member.run)
        await anyio.sleep(5.0)
        first = next(m for m in members if SHARDS[0] in m.ledgers)
        await first.act(SHARDS[0], "order 1")
        old = first.ledgers[SHARDS[0]]
        first.scope.cancel()
        print(f"{first.name} dies")
        await anyio.sleep(10.0)
        next_owner = next(
            m for m in members if m is not first and SHARDS[0] in m.ledgers
        )
        await next_owner.act(SHARDS[0], "order 2")
        late = Ledger(first.store, KEYS, SHARDS[0], old.epoch, first.name, first.rng)
        await late.load()
        first.ledgers[SHARDS[0]] = late
        tasks.start_soon(late.run)
        await first.act(SHARDS[0], "order 3")
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_paused(main, seed=1)
