"""A shard's ledger: group commit into the store, folded by snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.coordination.audit import cancel_puts
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Epoch, JobId, ShardId, TaskId
from lacewinghold.schema.generated.records import (
    EntryKind,
    JobRecord,
    LogBatch,
    LogEntry,
    Snapshot,
    TaskOutcome,
)
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.backoff import Backoff
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    import random

    from lacewinghold.coordination.keys import Keys
    from lacewinghold.ids import InstanceId
    from lacewinghold.store.base import RangeReply, Store

logger = structlog.get_logger(__name__)
MAX_BATCH_APPENDS = 100
SNAPSHOT_EVERY_BATCHES = 50
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0


class LedgerState(Struct):
    """What the ledger says of a shard's jobs."""

    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    outcomes: dict[TaskId, TaskOutcome] = field(default_factory=dict)
    cancelled: set[JobId] = field(default_factory=set)
    intents: set[TaskId] = field(default_factory=set)
    attempts: dict[TaskId, int] = field(default_factory=dict)

    def fold(self, entry: LogEntry) -> None:
        """Applies one entry."""
        match entry.kind:
            case EntryKind.JOB_ACCEPTED:
                assert entry.job is not None
                self.jobs[entry.job.job] = entry.job
            case EntryKind.TASK_INTENT:
                self.intents.add(entry.task_id)
            case EntryKind.TASK_ENDED:
                assert entry.state is not None
                self.outcomes[entry.task_id] = TaskOutcome(
                    task_id=entry.task_id,
                    state=entry.state,
                    detail=entry.detail,
                    at=entry.at,
                )
            case EntryKind.TASK_REQUEUED:
                self.attempts[entry.task_id] = self.attempts.get(entry.task_id, 0) + 1
            case EntryKind.JOB_CANCELLED:
                self.cancelled.add(entry.job_id)

    def to_snapshot(self, through: int) -> Snapshot:
        """Returns the state as a record that folds the log up to a number."""
        return Snapshot(
            through=through,
            jobs=list(self.jobs.values()),
            outcomes=list(self.outcomes.values()),
            cancelled=sorted(self.cancelled),
            intents=sorted(self.intents),
            attempts={str(task): count for task, count in self.attempts.items()},
        )

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> LedgerState:
        """Returns the state that a snapshot holds."""
        return cls(
            jobs={job.job: job for job in snapshot.jobs},
            outcomes={outcome.task_id: outcome for outcome in snapshot.outcomes},
            cancelled=set(snapshot.cancelled),
            intents=set(snapshot.intents),
            attempts={TaskId(task): n for task, n in snapshot.attempts.items()},
        )


class Append(Struct):
    """Entries of one caller that wait for the next write."""

    entries: list[LogEntry]
    digest: str
    job: JobId | None
    fingerprint: str
    done: anyio.Event
    result: Result[JobId | None, Failure] | None = None


class Ledger:
    """The log of one shard under one epoch.

    Every write carries the condition that the epoch still stands, so that an
    owner whose lease lapsed cannot write, and a number that nobody wrote yet,
    so that a repeated write recognises its own effect.

    :param writer: The owning instance.
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
        self.folded_through = 0
        self.pending: list[Append] = []
        self.wanted = anyio.Event()
        self.closed: Failure | None = None
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, rng)

    async def load(self) -> Result[None, Failure]:
        """Reads the snapshot and the log."""
        snapshots = await self.store.range(self.keys.snapshot(self.shard))
        if isinstance(snapshots, Err):
            return Err(snapshots.err_value)
        log = await self.store.range(self.keys.log(self.shard), prefix=True)
        if isinstance(log, Err):
            return Err(log.err_value)
        self.state = LedgerState()
        for item in snapshots.ok_value.items:
            snapshot = from_json(item.value, Snapshot)
            self.state = LedgerState.from_snapshot(snapshot)
            self.folded_through = snapshot.through
        self.next_number = self.folded_through + 1
        self.replay(log.ok_value)
        return Ok(None)

    def replay(self, log: RangeReply) -> None:
        """Folds the batches that the snapshot does not hold."""
        for item in log.items:
            batch = from_json(item.value, LogBatch)
            if batch.number <= self.folded_through:
                continue
            for entry in batch.entries:
                self.state.fold(entry)
            self.next_number = batch.number + 1

    async def append(
        self,
        entries: list[LogEntry],
        digest: str = "",
        job: JobId | None = None,
        fingerprint: str = "",
    ) -> Result[JobId | None, Failure]:
        """Makes entries durable.

        :param digest: If set, the entries are written only if no job with this
            idempotency digest exists.
        :param job: The job that the digest stands for.
        :param fingerprint: Hash of what was submitted.
        :returns: ``job``, or the job that already has the digest; ``CONFLICT`` if
            that was submitted with another fingerprint.
        """
        if self.closed is not None:
            return Err(self.closed)
        append = Append(entries, digest, job, fingerprint, anyio.Event())
        self.pending.append(append)
        self.wanted.set()
        await append.done.wait()
        assert append.result is not None
        return append.result

    async def run(self) -> None:
        """Writes what is pending, one store write at a time."""
        while self.closed is None:
            if not self.pending:
                self.wanted = anyio.Event()
                await self.wanted.wait()
                continue
            group = self.pending[:MAX_BATCH_APPENDS]
            del self.pending[:MAX_BATCH_APPENDS]
            await self.write_group(group)
            if self.next_number - 1 - self.folded_through >= SNAPSHOT_EVERY_BATCHES:
                await self.compact()

    async def write_group(self, group: list[Append]) -> None:
        """Writes a group, alone where an idempotency digest is taken already."""
        outcome = await self.write(group)
        if isinstance(outcome, Ok) and outcome.ok_value:
            for append in group:
                self.settle(append, Ok(append.job))
            return
        if isinstance(outcome, Err):
            for append in group:
                self.settle(append, Err(outcome.err_value))
            return
        for append in group:
            await self.write_alone(append)

    async def write_alone(self, append: Append) -> None:
        """Answers a repeat with the job of its first submission, or writes it."""
        if append.digest:
            reply = await self.store.range(self.keys.idempotency(append.digest))
            if isinstance(reply, Err):
                self.settle(append, Err(reply.err_value))
                return
            for item in reply.ok_value.items:
                self.settle(append, earlier_job(item.value, append.fingerprint))
                return
        outcome = await self.write([append])
        if isinstance(outcome, Err):
            self.settle(append, Err(outcome.err_value))
        elif outcome.ok_value:
            self.settle(append, Ok(append.job))
        else:
            failure = Failure(ErrorKind.CONFLICT, "the idempotency key is in use")
            self.settle(append, Err(failure))

    def settle(self, append: Append, result: Result[JobId | None, Failure]) -> None:
        """Gives the caller of an append its result."""
        append.result = result
        append.done.set()

    def transaction(self, group: list[Append]) -> Transaction:
        """Returns the write that makes a group durable."""
        key = self.keys.log_batch(self.shard, self.next_number)
        owner = self.keys.owner(self.shard)
        compares = [
            Compare(owner, CompareTarget.MOD_REVISION, self.epoch),
            Compare(key, CompareTarget.CREATE_REVISION, 0),
        ]
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
        """Writes a group until its outcome is known.

        :returns: Whether it was written; ``False`` if a digest is taken.
        """
        transaction = self.transaction(group)
        uncertain = False
        self.backoff.reset()
        while True:
            written = await self.store.commit(transaction)
            if isinstance(written, Ok) and written.ok_value.succeeded:
                self.note_written(group)
                return Ok(True)
            if isinstance(written, Ok):
                refusal = await self.explain_refusal(uncertain=uncertain)
                if refusal is None:
                    self.note_written(group)
                    return Ok(True)
                return refusal
            kind = written.err_value.kind
            if kind is ErrorKind.STORE_UNAVAILABLE and not uncertain:
                return Err(written.err_value)
            uncertain = True
            await anyio.sleep(self.backoff.next_delay_s())

    def note_written(self, group: list[Append]) -> None:
        """Folds a durable group into the state."""
        self.next_number += 1
        for append in group:
            for entry in append.entries:
                self.state.fold(entry)

    async def explain_refusal(self, *, uncertain: bool) -> Result[bool, Failure] | None:
        """Finds out why a write was refused.

        :param uncertain: Whether an earlier try may have taken effect.
        :returns: ``None`` if the earlier try did, else the outcome.
        """
        while True:
            # The owner first: once it changed, no delayed write can land.
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
        return Err(Failure(ErrorKind.NOT_OWNER, detail))

    def close(self, failure: Failure) -> None:
        """Refuses this and all later appends."""
        self.closed = failure
        self.wanted.set()
        for append in self.pending:
            self.settle(append, Err(failure))
        self.pending.clear()

    async def compact(self) -> None:
        """Replaces the log by a snapshot."""
        through = self.next_number - 1
        snapshot = self.state.to_snapshot(through)
        owner = self.keys.owner(self.shard)
        compare = Compare(owner, CompareTarget.MOD_REVISION, self.epoch)
        operations: list[Put | Delete] = [
            Put(self.keys.snapshot(self.shard), to_json(snapshot))
        ]
        first = self.folded_through + 1
        for number in range(first, min(through, first + MAX_BATCH_APPENDS) + 1):
            operations.append(Delete(self.keys.log_batch(self.shard, number)))
        written = await self.store.commit(Transaction([compare], operations))
        if isinstance(written, Ok) and written.ok_value.succeeded:
            self.folded_through = through


def earlier_job(value: bytes, fingerprint: str) -> Result[JobId | None, Failure]:
    """Returns the job that an idempotency key stands for.

    :param value: What the store has under the key.
    :param fingerprint: Hash of what is submitted now.
    """
    job, _, known = value.decode().partition(" ")
    if known == fingerprint:
        return Ok(JobId(job))
    detail = "another job was submitted with this key"
    return Err(Failure(ErrorKind.CONFLICT, detail, "Idempotency-Key"))
