"""The owner's log of task ends and job outcomes, written by group commit."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.events import Event
from lacewinghold.scheduler.job_store import OWNER_KEY, TASK_ENDS_PREFIX, JobKey
from lacewinghold.schema.generated.cell import (
    CrashEvidence,
    EndBatch,
    JobOutcome,
    TaskEndEntry,
)
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from lacewinghold.errors import Failure
    from lacewinghold.scheduler.job_store import JobStore

logger = structlog.get_logger(__name__)
# The store accepts 32 entries per write, of which the condition is one.
MAX_OPERATIONS_PER_WRITE = 28
# A link of low bandwidth carries it well within the timeout of a call.
MAX_WRITE_BYTES = 32 * 1024
MAX_ENDS_PER_KEY = 400  # About half of the bytes of a write.
MAX_EVIDENCE_PER_KEY = 100  # Takes more bytes than an end.
RETRY_DELAY_S = 0.1  # After a failed write.
MAX_WRITES_IN_FLIGHT = 4  # Concurrent writes to a slow store.
GROUP_DELAY_S = 0.03  # Ends that arrive within this time share a write.
OPERATIONS_PER_OUTCOME = 3  # Put the outcome, delete the record and the cancellation.
BATCHES_PER_TURN = 50  # Decoded without yielding: a few milliseconds at most.


class PendingBatch(Struct):
    """Changes that are stored together, by one or more writes.

    :param evidence: On tasks that may crash their workers, stored with the ends.
    :param values: Values of further keys.
    :param removals: Keys to delete.
    :param ends_key: Key of the ends in the current write, empty if it has none.
    :param on_stored: Called once this batch is durable.
    :param on_all_stored: Called once this batch and all earlier ones are durable.
    """

    ends: list[TaskEndEntry] = field(default_factory=list)
    evidence: list[CrashEvidence] = field(default_factory=list)
    outcomes: list[tuple[str, JobOutcome]] = field(default_factory=list)
    values: dict[str, bytes] = field(default_factory=dict)
    removals: list[str] = field(default_factory=list)
    ends_key: str = ""
    on_stored: list[Callable[[], None]] = field(default_factory=list)
    on_all_stored: list[Callable[[], None]] = field(default_factory=list)
    durable: bool = False

    def empty(self) -> bool:
        """Returns whether there is nothing to write."""
        return not (
            self.ends or self.evidence or self.outcomes or self.values or self.removals
        )


class EndLog:
    """Appends ends under the condition that this instance is still the owner.

    An unanswered write is retried unchanged. It is idempotent, since its keys and
    values are the same.

    :param owner_revision: Revision of the ownership record, the epoch.
    :param term: Number of the ownership, the prefix of this owner's batch keys.
    """

    def __init__(self, jobs: JobStore, owner_revision: int, term: int) -> None:
        self.jobs = jobs
        self.owner_revision = owner_revision
        self.term = term
        self.sequence = 0
        self.pending = PendingBatch()
        self.in_flight: deque[PendingBatch] = deque()
        self.slots = anyio.Semaphore(MAX_WRITES_IN_FLIGHT)
        self.wake = anyio.Event()
        self.superseded = anyio.Event()
        self.writes = 0
        self.failing = False
        self.open_jobs_by_batch: dict[str, set[str]] = {}
        self.batches_by_job: dict[str, set[str]] = {}
        self.unstored: set[str] = set()
        self.earlier_evidence: list[CrashEvidence] = []

    def key(self, sequence: int) -> str:
        """Returns the key of a batch of ends."""
        return f"{self.jobs.prefix}{TASK_ENDS_PREFIX}{self.term:08d}/{sequence:08d}"

    def append_end(self, entry: TaskEndEntry) -> None:
        """Queues the end of a task."""
        self.pending.ends.append(entry)
        self.wake.set()

    def append_evidence(self, entry: CrashEvidence) -> None:
        """Queues evidence on a task that may crash its workers."""
        self.pending.evidence.append(entry)
        self.wake.set()

    def append_outcome(
        self, job: str, outcome: JobOutcome, on_stored: Callable[[], None]
    ) -> None:
        """Queues a job's outcome.

        The same write removes the job's record, so that the next owner does not have
        to load it.

        :param on_stored: Called once the outcome is durable.
        """

        def on_job_stored() -> None:
            self.release_batches(job)
            on_stored()

        self.pending.outcomes.append((job, outcome))
        self.pending.on_stored.append(on_job_stored)
        self.wake.set()

    def append_value(
        self, key: str, value: bytes, on_stored: Callable[[], None]
    ) -> None:
        """Queues a value under a key that is never written with another value.

        Otherwise a delayed write could overwrite a newer one.

        :param on_stored: Called once the value is durable.
        """
        self.pending.values[key] = value
        self.pending.on_stored.append(on_stored)
        self.wake.set()

    def remove(self, keys: Iterable[str]) -> None:
        """Queues the removal of keys that are not needed any more."""
        self.remove_with_next_write(keys)
        self.wake.set()

    def remove_with_next_write(self, keys: Iterable[str]) -> None:
        """Queues the removal of keys without starting a write for it."""
        self.pending.removals += keys

    def flush(self) -> None:
        """Starts a write if changes are queued."""
        if not self.pending.empty():
            self.wake.set()

    def call_when_stored(self, on_all_stored: Callable[[], None]) -> None:
        """Calls ``on_all_stored`` once all changes queued so far are durable."""
        self.pending.on_all_stored.append(on_all_stored)
        self.wake.set()

    async def run(self) -> None:
        """Writes queued changes until cancelled; writes to a slow store overlap."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.wake.wait()
                await anyio.sleep(GROUP_DELAY_S)
                await self.slots.acquire()
                self.wake = anyio.Event()
                batch, self.pending = self.pending, PendingBatch()
                self.in_flight.append(batch)
                tasks.start_soon(self.write_batch, batch)

    async def write_batch(self, batch: PendingBatch) -> None:
        """Writes a batch and calls its callbacks; stops if ownership is lost."""
        while not batch.empty():
            if not await self.write(self.next_operations(batch)):
                return
            self.mark_ends_stored(batch)
        batch.durable = True
        self.slots.release()
        for call in batch.on_stored:
            call()
        while self.in_flight and self.in_flight[0].durable:
            for call in self.in_flight.popleft().on_all_stored:
                call()

    def next_operations(self, batch: PendingBatch) -> list[Put | Delete]:
        """Removes from a batch, and returns, as many operations as one write may carry.

        A write that the link cannot carry within the timeout would be retried forever.
        """
        operations: list[Put | Delete] = []
        remaining_bytes = MAX_WRITE_BYTES
        if batch.ends or batch.evidence:
            self.sequence += 1
            key = self.key(self.sequence)
            ends, batch.ends = (
                batch.ends[:MAX_ENDS_PER_KEY],
                batch.ends[MAX_ENDS_PER_KEY:],
            )
            room = min(MAX_EVIDENCE_PER_KEY, MAX_ENDS_PER_KEY - len(ends))
            evidence, batch.evidence = batch.evidence[:room], batch.evidence[room:]
            stored = EndBatch(ends=ends, evidence=evidence)
            self.index_batch(key, stored)
            self.unstored.add(key)
            batch.ends_key = key
            value = to_json(stored)
            remaining_bytes -= len(value)
            operations.append(Put(key, value))
        while batch.values and len(operations) < MAX_OPERATIONS_PER_WRITE:
            key, value = next(iter(batch.values.items()))
            if operations and len(value) > remaining_bytes:
                break
            remaining_bytes -= len(value)
            del batch.values[key]
            operations.append(Put(key, value))
        room = (MAX_OPERATIONS_PER_WRITE - len(operations)) // OPERATIONS_PER_OUTCOME
        for job, outcome in batch.outcomes[:room]:
            operations += [
                Put(self.jobs.ended_key(job), to_json(outcome)),
                Delete(self.jobs.key(job, JobKey.ACCEPTED)),
                Delete(self.jobs.key(job, JobKey.CANCELLED)),
            ]
        batch.outcomes = batch.outcomes[room:]
        room = MAX_OPERATIONS_PER_WRITE - len(operations)
        operations += [Delete(key) for key in batch.removals[:room]]
        batch.removals = batch.removals[room:]
        return operations

    def index_batch(self, key: str, batch: EndBatch) -> None:
        """Records which jobs need a batch of ends."""
        jobs = {entry.task.partition(".")[0] for entry in batch.ends}
        jobs |= {entry.task.partition(".")[0] for entry in batch.evidence}
        self.open_jobs_by_batch[key] = jobs
        for job in jobs:
            self.batches_by_job.setdefault(job, set()).add(key)

    def mark_ends_stored(self, batch: PendingBatch) -> None:
        """Marks the ends of the last write as durable, so that they may be removed."""
        key, batch.ends_key = batch.ends_key, ""
        self.unstored.discard(key)
        if key in self.open_jobs_by_batch and not self.open_jobs_by_batch[key]:
            self.drop_batch(key)

    def release_batches(self, job: str) -> None:
        """Removes the batches of ends that no other job needs after a job's end.

        The job's outcome must be durable: without outcome and ends it would run again.
        """
        for key in self.batches_by_job.pop(job, set()):
            self.open_jobs_by_batch[key].discard(job)
            if not self.open_jobs_by_batch[key]:
                self.drop_batch(key)

    def drop_batch(self, key: str) -> None:
        """Removes a batch of ends, unless its write is still pending."""
        if key in self.unstored:
            return
        del self.open_jobs_by_batch[key]
        self.remove_with_next_write([key])

    async def write(self, operations: list[Put | Delete]) -> bool:
        """Retries a write until it is durable or ownership is lost.

        :returns: Whether the operations are durable.
        """
        still_owner = Compare(
            self.jobs.prefix + OWNER_KEY,
            CompareTarget.MOD_REVISION,
            self.owner_revision,
        )
        while True:
            self.writes += 1
            reply = await self.jobs.store.commit(Transaction([still_owner], operations))
            if isinstance(reply, Err):
                if not self.failing:
                    logger.warning(Event.LOG_STALLED, detail=reply.err_value.detail)
                self.failing = True
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if self.failing:
                logger.info(Event.LOG_GOES_ON, term=self.term)
            self.failing = False
            if not reply.ok_value.succeeded:
                logger.warning(Event.SUPERSEDED, term=self.term)
                self.superseded.set()
                return False
            return True

    async def load(self) -> Result[list[TaskEndEntry], Failure]:
        """Returns the stored ends of all earlier owners, oldest first.

        Sets ``earlier_evidence`` to the stored evidence in the same order.
        """
        reply = await self.jobs.store.range(
            self.jobs.prefix + TASK_ENDS_PREFIX, prefix=True
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found: list[TaskEndEntry] = []
        evidence: list[CrashEvidence] = []
        items = sorted(reply.ok_value.items, key=lambda item: item.key)
        for number, item in enumerate(items):
            if number % BATCHES_PER_TURN == 0:
                await anyio.sleep(0)
            try:
                batch = from_json(item.value, EndBatch)
            except msgspec.DecodeError as error:
                logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
                continue
            found += batch.ends
            evidence += batch.evidence
            self.index_batch(item.key, batch)
        self.earlier_evidence = evidence
        return Ok(found)

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Removes the loaded batches of ends that none of the open jobs needs."""
        for job in [job for job in self.batches_by_job if job not in jobs]:
            self.release_batches(job)
