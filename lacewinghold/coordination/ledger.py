"""A shard's ledger: a log in the store with group commit and snapshots."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.coordination.audit import cancel_puts
from lacewinghold.coordination.compaction import Compactor
from lacewinghold.coordination.ledger_state import LedgerState
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Epoch, JobId, ShardId
from lacewinghold.schema.generated.records import (
    JobRecord,
    LogBatch,
    LogEntry,
)
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.backoff import Backoff
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewinghold.coordination.keys import Keys
    from lacewinghold.ids import InstanceId
    from lacewinghold.store.base import RangeReply, Store

logger = structlog.get_logger(__name__)
MAX_BATCH_APPENDS = 100
MAX_BATCH_BYTES = 700_000
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
REFUSED_KINDS = (ErrorKind.INVALID, ErrorKind.TOO_LARGE)


class Append(Struct, eq=False):
    """Entries of one caller that wait to be written.

    :param digest: Idempotency digest, or the empty string.
    :param job: The job that the digest identifies.
    :param fingerprint: Hash of the submitted job.
    :param result: Set before ``done``.
    """

    entries: list[LogEntry]
    digest: str
    job: JobId | None
    fingerprint: str
    done: anyio.Event
    result: Result[JobId | None, Failure] | None = None


class Ledger:
    """The log of one shard under one epoch.

    Every write has two conditions. The epoch must still be current, so that an
    owner whose lease has lapsed cannot write. The batch number must be unused, so
    that a repeated write cannot take effect twice.

    :param writer: The owning instance.
    :ivar closed: Why all appends are refused, or ``None``.
    :ivar on_written: Called with each durable entry.
    :ivar on_pruned: Called with each job pruned from the ledger.
    """

    def __init__(
        self,
        store: Store,
        keys: Keys,
        shard: ShardId,
        epoch: Epoch,
        writer: InstanceId,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.keys = keys
        self.shard = shard
        self.epoch = epoch
        self.writer = writer
        self.state = LedgerState()
        self.next_number = 1
        self.pending: list[Append] = []
        self.in_flight: list[Append] = []
        self.work_pending = anyio.Event()
        self.closed: Failure | None = None
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, rng)
        self.compactor = Compactor(self)
        self.on_written: Callable[[LogEntry], None] = ignore_entry
        self.on_pruned: Callable[[JobRecord], None] = ignore_job

    async def load(self) -> Result[None, Failure]:
        """Reads the snapshot and the log from the store."""
        state = LedgerState()
        through = await self.compactor.load(state)
        if isinstance(through, Err):
            return Err(through.err_value)
        log = await self.store.range(self.keys.log(self.shard), prefix=True)
        if isinstance(log, Err):
            return Err(log.err_value)
        self.state = state
        self.next_number = through.ok_value + 1
        self.replay(log.ok_value)
        return Ok(None)

    def replay(self, log: RangeReply) -> None:
        """Applies the batches of the log that the snapshot does not contain."""
        for item in log.items:
            batch = from_json(item.value, LogBatch)
            if batch.number <= self.compactor.snapshot_through:
                self.compactor.obsolete_keys.append(item.key)
                continue
            for entry in batch.entries:
                self.state.apply(entry)
            self.compactor.log_bytes += len(item.value)
            self.next_number = batch.number + 1

    async def append(
        self,
        entries: list[LogEntry],
        digest: str = "",
        job: JobId | None = None,
        fingerprint: str = "",
        timeout_s: float = math.inf,
    ) -> Result[JobId | None, Failure]:
        """Makes entries durable.

        If the caller is cancelled, its entries are withdrawn unless a write that
        contains them has begun; in that case they may still become durable.

        :param digest: If set, the entries are written only if no job with this
            idempotency digest exists.
        :param job: The job that the digest identifies.
        :param fingerprint: Hash of the submitted job.
        :param timeout_s: Longest wait in seconds.
        :returns: ``job``, or the job that already has the digest; ``CONFLICT`` if
            that job was submitted with another fingerprint; ``NOT_RUN`` if the
            entries were not written in time; ``OUTCOME_UNKNOWN`` if they may have
            been written.
        """
        if self.closed is not None:
            return Err(self.closed)
        append = Append(entries, digest, job, fingerprint, anyio.Event())
        self.pending.append(append)
        self.work_pending.set()
        try:
            with anyio.move_on_after(timeout_s):
                await append.done.wait()
        finally:
            withdrawn = append in self.pending
            if withdrawn:
                self.pending.remove(append)
        if append.result is not None:
            return append.result
        if withdrawn:
            return Err(Failure(ErrorKind.NOT_RUN, "the store did not answer in time"))
        detail = "the store did not confirm the write in time"
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))

    async def run(self) -> None:
        """Writes pending entries, one store write at a time."""
        try:
            while self.closed is None:
                if not self.pending:
                    self.work_pending = anyio.Event()
                    await self.work_pending.wait()
                    continue
                self.in_flight = self.next_group()
                await self.write_group(self.in_flight)
                self.in_flight = []
                await self.compactor.compact_if_due()
        finally:
            self.fail_pending()

    def next_group(self) -> list[Append]:
        """Removes and returns the appends of the next write, within size limits."""
        count = self.count_distinct()
        while count > 1 and self.batch_size(self.pending[:count]) > MAX_BATCH_BYTES:
            count //= 2
        group = self.pending[:count]
        del self.pending[:count]
        return group

    def count_distinct(self) -> int:
        """Returns how many pending appends may share a write.

        An append whose idempotency digest is already in the group waits for the
        next write, which then finds that the digest is in use.
        """
        digests: set[str] = set()
        for count, append in enumerate(self.pending[:MAX_BATCH_APPENDS]):
            if append.digest in digests:
                return count
            if append.digest:
                digests.add(append.digest)
        return min(len(self.pending), MAX_BATCH_APPENDS)

    def batch_size(self, group: list[Append]) -> int:
        """Returns the size of a group's record in bytes."""
        return len(to_json([append.entries for append in group]))

    def fail_pending(self) -> None:
        """Fails all waiting appends once the ledger is no longer written."""
        failure = self.closed or Failure(
            ErrorKind.NOT_OWNER, f"{self.shard} was released"
        )
        self.close(failure)
        unknown = Failure(
            ErrorKind.OUTCOME_UNKNOWN, "the owner stopped during the write"
        )
        for append in self.in_flight:
            if append.result is None:
                self.complete(append, Err(unknown))

    async def write_group(self, group: list[Append]) -> None:
        """Writes a group, or each append by itself if a digest is already in use."""
        outcome = await self.write(group)
        if isinstance(outcome, Ok) and outcome.ok_value:
            for append in group:
                self.complete(append, Ok(append.job))
            return
        if isinstance(outcome, Err):
            for append in group:
                self.complete(append, Err(outcome.err_value))
            return
        for append in group:
            await self.write_alone(append)

    async def write_alone(self, append: Append) -> None:
        """Writes one append, or answers a repeat with the job first submitted."""
        if append.digest:
            reply = await self.store.range(self.keys.idempotency(append.digest))
            if isinstance(reply, Err):
                self.complete(append, Err(reply.err_value))
                return
            for item in reply.ok_value.items:
                self.complete(append, earlier_job(item.value, append.fingerprint))
                return
        outcome = await self.write([append])
        if isinstance(outcome, Err):
            self.complete(append, Err(outcome.err_value))
        elif outcome.ok_value:
            self.complete(append, Ok(append.job))
        else:
            failure = Failure(ErrorKind.CONFLICT, "the idempotency key is in use")
            self.complete(append, Err(failure))

    def complete(self, append: Append, result: Result[JobId | None, Failure]) -> None:
        """Sets the result of an append and wakes its caller."""
        append.result = result
        append.done.set()

    def epoch_holds(self) -> Compare:
        """Returns the store condition that the epoch is still current."""
        key = self.keys.owner(self.shard)
        return Compare(key, CompareTarget.MOD_REVISION, self.epoch)

    def transaction(self, group: list[Append]) -> Transaction:
        """Returns the transaction that makes a group durable."""
        key = self.keys.log_batch(self.shard, self.next_number)
        compares = [self.epoch_holds(), Compare(key, CompareTarget.CREATE_REVISION, 0)]
        entries = [entry for append in group for entry in append.entries]
        batch = LogBatch(
            writer=self.writer,
            number=self.next_number,
            epoch=self.epoch,
            entries=entries,
        )
        operations: list[Put | Delete] = [Put(key, to_json(batch))]
        operations += cancel_puts(self.keys, self.shard, self.next_number, entries)
        for append in group:
            if not append.digest or append.job is None:
                continue
            guard = self.keys.idempotency(append.digest)
            compares.append(Compare(guard, CompareTarget.CREATE_REVISION, 0))
            value = f"{append.job} {append.fingerprint}"
            operations.append(Put(guard, value.encode()))
        return Transaction(compares, operations)

    async def write(self, group: list[Append]) -> Result[bool, Failure]:
        """Writes a group, retrying until the outcome is known.

        :returns: Whether it was written; ``False`` if a digest is already in use.
        """
        transaction = self.transaction(group)
        uncertain = False
        self.backoff.reset()
        while True:
            written = await self.store.commit(transaction)
            if isinstance(written, Ok) and written.ok_value.succeeded:
                self.apply_written(group, transaction)
                return Ok(True)
            if isinstance(written, Ok):
                refusal = await self.explain_refusal(uncertain=uncertain)
                if refusal is None:
                    self.apply_written(group, transaction)
                    return Ok(True)
                return refusal
            kind = written.err_value.kind
            if kind is ErrorKind.STORE_UNAVAILABLE and not uncertain:
                return Err(written.err_value)
            if kind in REFUSED_KINDS:
                return Err(written.err_value)
            uncertain = True
            await anyio.sleep(self.backoff.next_delay_s())

    def apply_written(self, group: list[Append], transaction: Transaction) -> None:
        """Applies a durable group to the state and notifies the owner."""
        self.next_number += 1
        first = transaction.operations[0]
        assert isinstance(first, Put)
        self.compactor.log_bytes += len(first.value)
        for append in group:
            for entry in append.entries:
                self.state.apply(entry)
                self.on_written(entry)

    async def explain_refusal(self, *, uncertain: bool) -> Result[bool, Failure] | None:
        """Determines why the store refused a write.

        :param uncertain: Whether an earlier attempt may have taken effect.
        :returns: ``None`` if an earlier attempt took effect, otherwise the outcome
            of the write.
        """
        while True:
            # Read the owner first: once it has changed, no delayed write of this
            # epoch can take effect.
            owner = await self.store.range(self.keys.owner(self.shard))
            key = self.keys.log_batch(self.shard, self.next_number)
            own = await self.store.range(key)
            if isinstance(own, Err) or isinstance(owner, Err):
                await anyio.sleep(self.backoff.next_delay_s())
                continue
            break
        for item in own.ok_value.items:
            batch = from_json(item.value, LogBatch)
            if uncertain and (batch.writer, batch.epoch) == (self.writer, self.epoch):
                return None
        for item in owner.ok_value.items:
            if item.mod_revision == self.epoch:
                return Ok(False)
        detail = f"{self.shard} has a newer owner"
        self.close(Failure(ErrorKind.NOT_OWNER, detail))
        # The newer owner may have compacted the batch into a snapshot.
        kind = ErrorKind.OUTCOME_UNKNOWN if uncertain else ErrorKind.NOT_OWNER
        return Err(Failure(kind, detail))

    def close(self, failure: Failure) -> None:
        """Fails all pending and later appends."""
        self.closed = failure
        self.work_pending.set()
        for append in self.pending:
            self.complete(append, Err(failure))
        self.pending.clear()


def earlier_job(value: bytes, fingerprint: str) -> Result[JobId | None, Failure]:
    """Returns the job that was submitted with an idempotency key.

    :param value: The stored value of the key.
    :param fingerprint: Hash of the job submitted now.
    """
    job, _, known = value.decode().partition(" ")
    if known == fingerprint:
        return Ok(JobId(job))
    detail = "another job was submitted with this key"
    return Err(Failure(ErrorKind.CONFLICT, detail, "Idempotency-Key"))


def ignore_entry(entry: LogEntry) -> None:
    """Ignores a durable entry."""
    del entry


def ignore_job(job: JobRecord) -> None:
    """Ignores a pruned job."""
    del job
