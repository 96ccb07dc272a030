"""An in-memory store that simulates the outcomes and outages of the platform's."""

from __future__ import annotations

import math
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
from lacewinghold.testing.gate import Gate
from lacewinghold.util.clock import lease_time

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable
    from typing import TypeVar

    T = TypeVar("T")

WATCH_BUFFER = 10_000
MAX_OPERATIONS = 128
MAX_REQUEST_BYTES = 1_048_576
LEASE_CHECK_S = 0.25
CALL_TIMEOUT_S = 1.0
LATE_BY_S = 3.0


class StoreFault(StrEnum):
    """Fault injected into the next call."""

    UNAVAILABLE = "unavailable"
    REPLY_LOST = "reply_lost"
    DELAYED = "delayed"


class Outage(StrEnum):
    """Failure of the whole store."""

    NONE = "none"
    DOWN = "down"
    ERRORS = "errors"


class LateWrite(Struct):
    """A write that takes effect after its caller timed out."""

    due: float
    act: Callable[[], object]


class FakeLease(Struct):
    """A lease in the fake."""

    ttl_s: float
    expires_at: float
    keys: set[str]


class StoreState:
    """The contents that all clients of one fake store share.

    :param latency_s: Time that each call takes, in seconds.
    :param coalesces_changes: Whether watchers receive all pending changes in one
        batch, as from the platform's store; otherwise one batch per revision.
    """

    def __init__(
        self, latency_s: float = 0.002, *, coalesces_changes: bool = False
    ) -> None:
        self.coalesces_changes = coalesces_changes
        self.latency_s = latency_s
        self.revision = 1
        self.keys: dict[str, KeyValue] = {}
        self.leases: dict[LeaseId, FakeLease] = {}
        self.next_lease = 1
        self.history: list[WatchBatch] = []
        self.changed = anyio.Event()
        self.outage = Outage.NONE
        self.late_writes: list[LateWrite] = []
        self.max_operations = MAX_OPERATIONS
        self.listeners: list[Callable[[WatchBatch], None]] = []

    def advance(self) -> None:
        """Applies late writes that are due and expires lapsed leases."""
        now = anyio.current_time()
        for write in [write for write in self.late_writes if write.due <= now]:
            self.late_writes.remove(write)
            write.act()
        self.expire_leases()

    def copy(self) -> StoreState:
        """Returns an independent copy, as a backup restores it."""
        copied = StoreState(self.latency_s, coalesces_changes=self.coalesces_changes)
        copied.revision = self.revision
        copied.keys = dict(self.keys)
        copied.leases = {
            ident: FakeLease(lease.ttl_s, lease.expires_at, set(lease.keys))
            for ident, lease in self.leases.items()
        }
        copied.next_lease = self.next_lease
        copied.history = list(self.history)
        return copied

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
        removed = [key for key in lease.keys if key in self.keys]
        if not removed:
            return
        self.revision += 1
        for key in removed:
            del self.keys[key]
        self.publish([], removed)

    def publish(self, puts: list[KeyValue], deletes: list[str]) -> None:
        """Publishes the changes of the present revision to watchers."""
        batch = WatchBatch(self.revision, puts, deletes)
        self.history.append(batch)
        del self.history[:-WATCH_BUFFER]
        for listener in self.listeners:
            listener(batch)
        self.changed.set()
        self.changed = anyio.Event()

    def changes_after(self, revision: int, prefix: str) -> list[WatchBatch]:
        """Returns the changes under a prefix after a revision, oldest first."""
        changes = []
        for change in self.history:
            if change.revision <= revision:
                continue
            puts = [item for item in change.puts if item.key.startswith(prefix)]
            deletes = [key for key in change.deletes if key.startswith(prefix)]
            changes.append(WatchBatch(change.revision, puts, deletes))
        return self.coalesce(changes) if self.coalesces_changes else changes

    def coalesce(self, changes: list[WatchBatch]) -> list[WatchBatch]:
        """Returns changes merged, with a new batch where a removed key is put again."""
        batches: list[WatchBatch] = []
        for change in changes:
            puts, deletes = change.puts, change.deletes
            last = batches.pop() if batches else WatchBatch(0, [], [])
            if any(item.key in last.deletes for item in puts):
                batches.append(last)
                last = WatchBatch(0, [], [])
            batches.append(
                WatchBatch(change.revision, last.puts + puts, last.deletes + deletes)
            )
        return batches

    def conditions_hold(self, transaction: Transaction) -> bool:
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
        if not self.conditions_hold(transaction):
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
    """One client of a fake store; each client can be cut off separately.

    :param state: The shared contents.
    :param latency_s: Time that each call takes, in seconds, if other than the
        shared one.
    """

    name = "memory"

    def __init__(
        self,
        state: StoreState,
        gate: Gate | None = None,
        latency_s: float | None = None,
    ) -> None:
        super().__init__()
        self.state = state
        self.gate = gate or Gate()
        self.latency_s = latency_s
        self.bytes_moved = 0
        self.reachable = True
        self.watch_silent = False
        self.watch_timeout_s = math.inf  # After which a silent watch fails.
        self.faults: list[StoreFault] = []

    async def call(
        self, kind: CallKind, act: Callable[[], Result[T, Failure]]
    ) -> Result[T, Failure]:
        """Makes one call with the next injected fault."""
        self.calls[kind] += 1
        await self.gate.pass_through()
        await anyio.sleep(self.call_s() / 2)
        self.state.advance()
        result = await self.perform(act, self.next_fault())
        await self.gate.pass_through()
        return result

    def next_fault(self) -> StoreFault | None:
        """Returns the fault of the present call, if it has one."""
        return self.faults.pop(0) if self.faults else None

    async def perform(
        self, act: Callable[[], Result[T, Failure]], fault: StoreFault | None
    ) -> Result[T, Failure]:
        """Carries out a call at the store, or fails it."""
        if not self.reachable or self.state.outage is Outage.DOWN:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "the store is unreachable"))
        if fault is StoreFault.UNAVAILABLE:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, "the store is down"))
        if self.state.outage is Outage.ERRORS:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "internal error"))
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost")
        if fault is StoreFault.DELAYED:
            due = anyio.current_time() + LATE_BY_S
            self.state.late_writes.append(LateWrite(due, act))
            await anyio.sleep(CALL_TIMEOUT_S)
            return Err(lost)
        result = act()
        await anyio.sleep(self.call_s() / 2)
        if fault is StoreFault.REPLY_LOST or not self.reachable:
            return Err(lost)
        return result

    def call_s(self) -> float:
        """Returns the time that a call takes, in seconds."""
        return self.state.latency_s if self.latency_s is None else self.latency_s

    def count_bytes(self, items: Iterable[KeyValue | Put]) -> None:
        """Counts the keys and values that a call carries."""
        self.bytes_moved += sum(len(item.key) + len(item.value) for item in items)

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        def act() -> Result[RangeReply, Failure]:
            if prefix:
                keys = sorted(k for k in self.state.keys if k.startswith(key))
            else:
                keys = [key] if key in self.state.keys else []
            items = [self.state.keys[k] for k in keys]
            self.count_bytes(items)
            return Ok(RangeReply(self.state.revision, items))

        reply = await self.call(CallKind.READ, act)
        if isinstance(reply, Err):
            detail = reply.err_value.detail
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        return reply

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        return await self.call(CallKind.WRITE, lambda: self.apply(transaction))

    def apply(self, transaction: Transaction) -> Result[TransactionReply, Failure]:
        """Applies a transaction within the limits of the store."""
        if len(transaction.operations) > self.state.max_operations:
            return Err(Failure(ErrorKind.TOO_LARGE, "too many operations"))
        keys = {operation.key for operation in transaction.operations}
        if len(keys) < len(transaction.operations):
            return Err(Failure(ErrorKind.INVALID, "duplicate key in transaction"))
        size = 0
        for operation in transaction.operations:
            if not isinstance(operation, Put):
                continue
            size += len(operation.key) + len(operation.value)
            if operation.lease and operation.lease not in self.state.leases:
                return Err(Failure(ErrorKind.LEASE_LAPSED, "no such lease"))
        if size > MAX_REQUEST_BYTES:
            return Err(Failure(ErrorKind.TOO_LARGE, "the request is too large"))
        self.bytes_moved += size
        return Ok(self.state.apply(transaction))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        def act() -> Result[LeaseId, Failure]:
            lease_id = LeaseId(self.state.next_lease)
            self.state.next_lease += 1
            whole_s = float(math.ceil(ttl_s))
            expires_at = anyio.current_time() + whole_s
            self.state.leases[lease_id] = FakeLease(whole_s, expires_at, set())
            return Ok(lease_id)

        return await self.call(CallKind.LEASE, act)

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        def act() -> Result[float, Failure]:
            record = self.state.leases.get(lease)
            if record is None:
                return Ok(0.0)
            record.expires_at = anyio.current_time() + record.ttl_s
            return Ok(record.ttl_s)

        return await self.call(CallKind.LEASE, act)

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        def act() -> Result[None, Failure]:
            self.state.drop_lease(lease)
            return Ok(None)

        return await self.call(CallKind.LEASE, act)

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: Revision,
        confirm_s: float | None = None,
        max_value_bytes: Callable[[], int] | None = None,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        self.calls[CallKind.WATCH] += 1
        if confirm_s is None:
            yield self.changes(prefix, after)
        else:
            yield self.changes(prefix, after, confirms=True)

    def is_cut_off(self) -> bool:
        """Returns whether this client's watch streams break."""
        return not self.reachable or self.state.outage is not Outage.NONE

    async def changes(
        self, prefix: str, after: int, *, confirms: bool = False
    ) -> AsyncIterator[WatchBatch]:
        """Yields the batches under a prefix after a revision, in order.

        :param confirms: Whether an empty batch follows when all changes are delivered.
        """
        while True:
            changed = self.state.changed
            asked_at = lease_time()
            if self.watch_silent:
                await anyio.sleep(self.watch_timeout_s)
                detail = "the watch was silent"
                raise FailureError(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
            for batch in self.state.changes_after(after, prefix):
                after = batch.revision
                if self.is_cut_off():
                    break
                await self.gate.pass_through()
                if batch.puts or batch.deletes:
                    await anyio.sleep(self.call_s() / 2)
                    self.count_bytes(batch.puts)
                    yield batch
            if self.is_cut_off():
                detail = "the watch broke"
                raise FailureError(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
            if confirms:
                yield WatchBatch(after, [], [], asked_at)
            with anyio.move_on_after(LEASE_CHECK_S):
                await changed.wait()
            await self.gate.pass_through()
            self.state.advance()
