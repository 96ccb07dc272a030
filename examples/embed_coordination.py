"""Uses the coordination library in another program, without the daemons.

Three members share two shards of work under store leases. One fails without releasing
its lease. Another member takes its shard over under a higher epoch and finds the
accepted work in the ledger; a late write of the failed member is refused. The store is
the in-memory fake, in simulated time; the same code runs against a real store with
``lacewinghold.store.etcd.EtcdStore``.

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
CHECK_INTERVAL_S = 0.2


class Member:
    """A process of the program, with its lease, its view of the cell and its shards."""

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
        """Maintains the lease and the view, and takes over the assigned shards."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lease.run)
                tasks.start_soon(self.view.run)
                await self.view.loaded.wait()
                while True:
                    await anyio.sleep(CHECK_INTERVAL_S)
                    for shard in self.claimable_shards():
                        if await self.take_over(shard):
                            tasks.start_soon(self.ledgers[shard].run)

    def claimable_shards(self) -> list[ShardId]:
        """Returns the shards assigned to this member that have no live owner."""
        if not self.lease.valid():
            return []
        live = self.view.instances()
        claimable = []
        for shard, member in assign(SHARDS, list(live)).items():
            known = self.view.owner(shard)
            unowned = known is None or known[0].owner not in live
            if member == self.name and unowned:
                claimable.append(shard)
        return claimable

    async def take_over(self, shard: ShardId) -> bool:
        """Claims a shard and reads its ledger under the new epoch.

        :returns: Whether the claim succeeded.
        """
        claim = ShardOwnership(self.store, KEYS, self.lease, shard)
        taken = await claim.acquire(self.view.owner(shard))
        if isinstance(taken, Err):
            return False
        ledger = Ledger(self.store, KEYS, shard, taken.ok_value, self.name, self.rng)
        while isinstance(await ledger.load(), Err):
            await anyio.sleep(CHECK_INTERVAL_S)
        self.claims[shard] = claim
        self.ledgers[shard] = ledger
        known_intents = sorted(ledger.state.intents)
        print(
            f"{self.name} owns {shard} in epoch {claim.epoch} and knows {known_intents}"
        )
        return True

    async def run_operation(self, shard: ShardId, operation: str) -> None:
        """Stores an intent, then runs the operation if the lease is still held."""
        entry = LogEntry(
            kind=EntryKind.TASK_INTENT,
            at=anyio.current_time(),
            task_id=TaskId(operation),
        )
        written = await self.ledgers[shard].append([entry], timeout_s=5.0)
        # The lease is checked immediately before the operation that it protects.
        if isinstance(written, Ok) and self.claims[shard].held():
            print(f"{self.name} does {operation}")
        elif isinstance(written, Err):
            print(f"{self.name} may not do {operation}: {written.err_value.kind}")


async def main() -> None:
    """Demonstrates a takeover."""
    state = StoreState()
    async with anyio.create_task_group() as tasks:
        members = [Member(state, name) for name in ("ann", "ben", "cor")]
        for member in members:
            tasks.start_soon(member.run)
        await anyio.sleep(5.0)
        first = next(m for m in members if SHARDS[0] in m.ledgers)
        await first.run_operation(SHARDS[0], "order 1")
        old_ledger = first.ledgers[SHARDS[0]]
        first.scope.cancel()
        print(f"{first.name} dies")
        await anyio.sleep(10.0)
        next_owner = next(
            m for m in members if m is not first and SHARDS[0] in m.ledgers
        )
        await next_owner.run_operation(SHARDS[0], "order 2")
        late_ledger = Ledger(
            first.store, KEYS, SHARDS[0], old_ledger.epoch, first.name, first.rng
        )
        await late_ledger.load()
        first.ledgers[SHARDS[0]] = late_ledger
        tasks.start_soon(late_ledger.run)
        await first.run_operation(SHARDS[0], "order 3")
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_paused(main, seed=1)
