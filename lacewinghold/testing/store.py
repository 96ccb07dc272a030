"""An in-memory store with the outcomes and outages of the platform's."""

from __future__ import annotations

from contextlib import asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import LeaseId, Revision
from lacewinghold.store.base import (
    CallKind,
    CompareTarget,
    KeyValue,
    Put,
    RangeReply,
    Store,
    Transaction,
    TransactionReply,
    WatchBatch,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

WATCH_BUFFER = 10_000
MAX_OPERATIONS = 128
LEASE_CHECK_S = 0.25


class StoreFault(StrEnum):
    """How the next call goes wrong."""

    UNAVAILABLE = "unavailable"
    REPLY_LOST = "reply_lost"


class FakeLease(Struct):
    """A lease in the fake."""

    ttl_s: float
    expires_at: float
    keys: set[str]


class StoreState:
    """The contents that all clients of one fake store share.

    :param latency_s: Time that each call takes, in seconds.
    """

    def __init__(self, latency_s: float = 0.002) -> None:
        self.latency_s = latency_s
        self.revision = 1
        self.keys: dict[str, KeyValue] = {}
        self.leases: dict[LeaseId, FakeLease] = {}
        self.next_lease = 1
        self.history: list[WatchBatch] = []
        self.changed = anyio.Event()

    def expire_leases(self) -> None:
        """Removes the keys of lapsed leases."""
        now = anyio.current_time()
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at > now:
                continue
            self.drop_lease(lease_id)

    def drop_lease(self, lease_id: LeaseId) -> None:
        """Ends a lease and removes its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        gone = [key for key in lease.keys if key in self.keys]
        if not gone:
            return
        self.revision += 1
        for key in gone:
            del self.keys[key]
        self.publish([], gone)

    def publish(self, puts: list[KeyValue], deletes: list[str]) -> None:
        """Tells watchers of the changes of the present revision."""
        self.history.append(WatchBatch(self.revision, puts, deletes))
        del self.history[:-WATCH_BUFFER]
        self.changed.set()
        self.changed = anyio.Event()

    def holds(self, transaction: Transaction) -> bool:
        """Returns whether all conditions of a transaction hold."""
        for compare in transaction.compares:
            item = self.keys.get(compare.key)
            if item is None:
                found = 0
            elif compare.target is CompareTarget.CREATE_REVISION:
                found = item.create_revision
            else:
                found = item.mod_revision
            if found != compare.revision:
                return False
        return True

    def apply(self, transaction: Transaction) -> TransactionReply:
        """Applies a transaction if its conditions hold."""
        if not self.holds(transaction):
            return TransactionReply(False, self.revision)
        if not transaction.operations:
            return TransactionReply(True, self.revision)
        self.revision += 1
        puts: list[KeyValue] = []
        deletes: list[str] = []
        for operation in transaction.operations:
            old = self.keys.get(operation.key)
            if old is not None and old.lease in self.leases:
                self.leases[LeaseId(old.lease)].keys.discard(operation.key)
            if not isinstance(operation, Put):
                if self.keys.pop(operation.key, None) is not None:
                    deletes.append(operation.key)
                continue
            created = self.revision if old is None else old.create_revision
            item = KeyValue(
                operation.key, operation.value, created, self.revision, operation.lease
            )
            self.keys[operation.key] = item
            if operation.lease:
                self.leases[LeaseId(operation.lease)].keys.add(operation.key)
            puts.append(item)
        self.publish(puts, deletes)
        return TransactionReply(True, self.revision)


class MemoryStore(Store):
    """One client of a fake store; each client can be cut off by itself.

    :param state: The shared contents.
    :param latency_s: Time that each call takes, in seconds, if other than the
        shared one.
    """

    name = "memory"

    def __init__(self, state: StoreState, latency_s: float | None = None) -> None:
        super().__init__()
        self.state = state
        self.latency_s = latency_s
        self.bytes_moved = 0
        self.reachable = True
        self.faults: list[StoreFault] = []

    async def enter_call(self, kind: CallKind) -> Failure | None:
        """Counts a call, lets its time pass and returns why it fails, if so."""
        self.calls[kind] += 1
        await anyio.sleep(self.call_s())
        self.state.expire_leases()
        if not self.reachable:
            return Failure(ErrorKind.STORE_UNAVAILABLE, "the store is unreachable")
        if self.faults and self.faults[0] is StoreFault.UNAVAILABLE:
            self.faults.pop(0)
            return Failure(ErrorKind.STORE_UNAVAILABLE, "the store is down")
        return None

    def call_s(self) -> float:
        """Returns the time that a call takes, in seconds."""
        return self.state.latency_s if self.latency_s is None else self.latency_s

    def count_bytes(self, items: Iterable[KeyValue | Put]) -> None:
        """Counts the keys and values that a call carries."""
        self.bytes_moved += sum(len(item.key) + len(item.value) for item in items)

    def reply_lost(self) -> bool:
        """Returns whether the reply of the present call is lost."""
        if not self.reachable:
            return True
        if self.faults and self.faults[0] is StoreFault.REPLY_LOST:
            self.faults.pop(0)
            return True
        return False

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        failure = await self.enter_call(CallKind.READ)
        if failure is not None:
            return Err(failure)
        if prefix:
            keys = sorted(k for k in self.state.keys if k.startswith(key))
        else:
            keys = [key] if key in self.state.keys else []
        items = [self.state.keys[k] for k in keys]
        self.count_bytes(items)
        return Ok(RangeReply(self.state.revision, items))

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        failure = await self.enter_call(CallKind.WRITE)
        if failure is not None:
            return Err(failure)
        self.count_bytes(op for op in transaction.operations if isinstance(op, Put))
        if len(transaction.operations) > MAX_OPERATIONS:
            return Err(Failure(ErrorKind.TOO_LARGE, "too many operations"))
        for operation in transaction.operations:
            if not isinstance(operation, Put) or not operation.lease:
                continue
            if operation.lease not in self.state.leases:
                return Err(Failure(ErrorKind.LEASE_LAPSED, "no such lease"))
        reply = self.state.apply(transaction)
        if self.reply_lost():
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost"))
        return Ok(reply)

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        failure = await self.enter_call(CallKind.LEASE)
        if failure is not None:
            return Err(failure)
        lease_id = LeaseId(self.state.next_lease)
        self.state.next_lease += 1
        expires_at = anyio.current_time() + ttl_s
        self.state.leases[lease_id] = FakeLease(ttl_s, expires_at, set())
        return Ok(lease_id)

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        failure = await self.enter_call(CallKind.LEASE)
        if failure is not None:
            return Err(failure)
        record = self.state.leases.get(lease)
        if record is None:
            return Ok(0.0)
        record.expires_at = anyio.current_time() + record.ttl_s
        if self.reply_lost():
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost"))
        return Ok(record.ttl_s)

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        failure = await self.enter_call(CallKind.LEASE)
        if failure is not None:
            return Err(failure)
        self.state.drop_lease(lease)
        return Ok(None)

    @asynccontextmanager
    async def watch(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        self.calls[CallKind.WATCH] += 1
        yield self.changes(prefix, after)

    async def changes(self, prefix: str, after: int) -> AsyncIterator[WatchBatch]:
        """Yields the batches under a prefix after a revision, in order."""
        while True:
            changed = self.state.changed
            for batch in list(self.state.history):
                if batch.revision <= after:
                    continue
                after = batch.revision
                if not self.reachable:
                    break
                puts = [item for item in batch.puts if item.key.startswith(prefix)]
                deletes = [key for key in batch.deletes if key.startswith(prefix)]
                if puts or deletes:
                    await anyio.sleep(self.call_s() / 2)
                    self.count_bytes(puts)
                    yield WatchBatch(batch.revision, puts, deletes)
            if not self.reachable:
                detail = "the watch broke"
                raise FailureError(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
            with anyio.move_on_after(LEASE_CHECK_S):
                await changed.wait()
            self.state.expire_leases()
