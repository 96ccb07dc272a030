"""Compacts a shard's log into a snapshot and removes the replaced records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err, Ok, Result

from lacewinghold.events import Event
from lacewinghold.schema.generated.records import Snapshot
from lacewinghold.store.base import Delete, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.ledger import Ledger
    from lacewinghold.coordination.ledger_state import LedgerState
    from lacewinghold.errors import Failure

logger = structlog.get_logger(__name__)
MIN_COMPACTION_BATCHES = 50
MAX_LOG_BATCHES = 2_000
DELETES_PER_WRITE = 100


class Compactor:
    """Compacts the log of one ledger.

    A snapshot is written once the log has grown as large as the last snapshot, so
    that the total bytes written are at most twice those of the log.

    :ivar snapshot_through: Number of the last batch that the snapshot contains.
    :ivar part_keys: Keys of the snapshot's further records.
    :ivar obsolete_keys: Keys to delete.
    """

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.snapshot_through = 0
        self.log_bytes = 0
        self.snapshot_bytes = 0
        self.part_keys: list[str] = []
        self.obsolete_keys: list[str] = []

    async def load(self, state: LedgerState) -> Result[int, Failure]:
        """Reads the snapshot into a state.

        :returns: Number of the last batch that it contains.
        """
        ledger = self.ledger
        head = await ledger.store.range(ledger.keys.snapshot(ledger.shard))
        if isinstance(head, Err):
            return Err(head.err_value)
        self.snapshot_through = self.log_bytes = self.snapshot_bytes = 0
        self.part_keys = []
        self.obsolete_keys = []
        for item in head.ok_value.items:
            snapshot = from_json(item.value, Snapshot)
            state.load(snapshot)
            self.snapshot_through = snapshot.through
            self.snapshot_bytes = len(item.value)
            if snapshot.parts:
                loaded = await self.load_parts(state)
                if isinstance(loaded, Err):
                    return Err(loaded.err_value)
        return Ok(self.snapshot_through)

    async def load_parts(self, state: LedgerState) -> Result[None, Failure]:
        """Reads the further records of a snapshot."""
        ledger = self.ledger
        prefix = ledger.keys.snapshot_parts(ledger.shard)
        reply = await ledger.store.range(prefix, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        for item in reply.ok_value.items:
            part = from_json(item.value, Snapshot)
            if part.through != self.snapshot_through:
                self.obsolete_keys.append(item.key)
                continue
            state.load(part)
            self.part_keys.append(item.key)
            self.snapshot_bytes += len(item.value)
        return Ok(None)

    def due(self) -> bool:
        """Returns whether the log is long enough to be compacted."""
        batches = self.ledger.next_number - 1 - self.snapshot_through
        if batches >= MAX_LOG_BATCHES:
            return True
        return (
            batches >= MIN_COMPACTION_BATCHES and self.log_bytes >= self.snapshot_bytes
        )

    async def compact_if_due(self) -> None:
        """Writes a snapshot if one is due, otherwise removes obsolete records."""
        if self.due():
            await self.compact()
        elif self.obsolete_keys:
            await self.remove_garbage()

    async def compact(self) -> None:
        """Replaces the log by a snapshot."""
        ledger = self.ledger
        through = ledger.next_number - 1
        for job in ledger.state.prune():
            ledger.on_pruned(job)
            if job.idempotency_digest:
                self.obsolete_keys.append(
                    ledger.keys.idempotency(job.idempotency_digest)
                )
        head, *parts = ledger.state.to_snapshots(through)
        keys = []
        size = 0
        for index, part in enumerate(parts):
            key = ledger.keys.snapshot_part(ledger.shard, through, index)
            data = to_json(part)
            keys.append(key)
            size += len(data)
            if not await self.commit([Put(key, data)]):
                self.obsolete_keys += keys
                return
        data = to_json(head)
        if not await self.commit([Put(ledger.keys.snapshot(ledger.shard), data)]):
            # If the outcome is unknown, the next snapshot or takeover resolves it.
            return
        logs = range(self.snapshot_through + 1, through + 1)
        self.obsolete_keys += [ledger.keys.log_batch(ledger.shard, n) for n in logs]
        self.obsolete_keys += self.part_keys
        self.part_keys = keys
        self.snapshot_through = through
        self.snapshot_bytes = size + len(data)
        self.log_bytes = 0
        logger.info(Event.LOG_FOLDED, shard=ledger.shard, bytes=self.snapshot_bytes)
        await self.remove_garbage()

    async def commit(self, operations: list[Put | Delete]) -> bool:
        """Writes under the condition that the epoch is still current.

        :returns: Whether the write is known to have succeeded.
        """
        ledger = self.ledger
        written = await ledger.store.commit(
            Transaction([ledger.epoch_holds()], operations)
        )
        return isinstance(written, Ok) and written.ok_value.succeeded

    async def remove_garbage(self) -> None:
        """Deletes obsolete records; after a failure, the next write tries again."""
        while self.obsolete_keys:
            keys = self.obsolete_keys[:DELETES_PER_WRITE]
            if not await self.commit([Delete(key) for key in keys]):
                return
            del self.obsolete_keys[: len(keys)]
