"""The owner's log of ends and outcomes, written in groups."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.events import Event
from lacewinghold.scheduler.job_store import ENDS, OWNER, JobKey
from lacewinghold.schema.generated.cell import EndBatch, JobOutcome, TaskEndEntry
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewinghold.errors import Failure
    from lacewinghold.scheduler.job_store import JobStore

logger = structlog.get_logger(__name__)
MAX_OPERATIONS = 28  # The store takes 32 entries a write; the condition is one.
RETRY_S = 0.1  # Pause after a failed write.
MAX_IN_FLIGHT = 4  # Writes to a slow store that overlap.
GATHER_S = 0.03  # Ends that arrive within this time share a write.


class PendingBatch(Struct):
    """What one or more writes carry.

    :param stored: Called once this batch is durable.
    :param settled: Called once this batch and all before it are.
    """

    ends: list[TaskEndEntry] = field(default_factory=list)
    outcomes: list[tuple[str, JobOutcome]] = field(default_factory=list)
    values: dict[str, bytes] = field(default_factory=dict)
    removals: list[str] = field(default_factory=list)
    stored: list[Callable[[], None]] = field(default_factory=list)
    settled: list[Callable[[], None]] = field(default_factory=list)
    durable: bool = False

    def empty(self) -> bool:
        """Returns whether there is nothing to write."""
        return not (self.ends or self.outcomes or self.values or self.removals)


class EndLog:
    """Appends ends under the condition that this instance still is the owner.

    A write that got no answer is sent again unchanged: keys and values are the
    same, so that it takes effect once.

    :param owner_revision: Revision of the ownership record, the epoch.
    :param term: Number of the ownership, the prefix of this owner's entries.
    """

    def __init__(self, jobs: JobStore, owner_revision: int, term: int) -> None:
        self.jobs = jobs
        self.owner_revision = owner_revision
        self.term = term
        self.sequence = 0
        self.pending = PendingBatch()
        self.in_flight: deque[PendingBatch] = deque()
        self.slots = anyio.Semaphore(MAX_IN_FLIGHT)
        self.wake = anyio.Event()
        self.superseded = anyio.Event()
        self.writes = 0
        self.failing = False
        self.open_jobs: dict[str, set[str]] = {}

    def key(self, sequence: int) -> str:
        """Returns the key of a batch of ends."""
        return f"{self.jobs.prefix}{ENDS}{self.term:08d}/{sequence:08d}"

    def note_end(self, entry: TaskEndEntry) -> None:
        """Queues an end."""
        self.pending.ends.append(entry)
        self.wake.set()

    def note_outcome(
        self, job: str, outcome: JobOutcome, stored: Callable[[], None]
    ) -> None:
        """Queues a job's outcome; ``stored`` is called once it is durable."""
        self.pending.outcomes.append((job, outcome))
        self.pending.stored.append(stored)
        self.wake.set()

    def note_value(self, key: str, value: bytes, stored: Callable[[], None]) -> None:
        """Queues a key of its own, which is never written with another value.

        A write that is carried out late must not undo a newer one.
        """
        self.pending.values[key] = value
        self.pending.stored.append(stored)
        self.wake.set()

    def remove(self, keys: Iterable[str]) -> None:
        """Queues the removal of keys that nobody needs any more."""
        self.pending.removals += keys
        self.wake.set()

    def after_written(self, settled: Callable[[], None]) -> None:
        """Calls back once all that is queued now is durable."""
        self.pending.settled.append(settled)
        self.wake.set()

    async def run(self) -> None:
        """Writes until cancelled or superseded; a slow store gets several at once."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.wake.wait()
                await anyio.sleep(GATHER_S)
                await self.slots.acquire()
                self.wake = anyio.Event()
                batch, self.pending = self.pending, PendingBatch()
                self.in_flight.append(batch)
                tasks.start_soon(self.write_batch, batch)

    async def write_batch(self, batch: PendingBatch) -> None:
        """Writes a batch, and tells what is durable by it."""
        while not batch.empty():
            if not await self.write(self.next_operations(batch)):
                return
        batch.durable = True
        self.slots.release()
        for call in batch.stored:
            call()
        while self.in_flight and self.in_flight[0].durable:
            for call in self.in_flight.popleft().settled:
                call()

    def next_operations(self, batch: PendingBatch) -> list[Put | Delete]:
        """Returns as much of a batch as one write takes."""
        operations: list[Put | Delete] = []
        if batch.ends:
            self.sequence += 1
            key = self.key(self.sequence)
            self.open_jobs[key] = {entry.task.partition(".")[0] for entry in batch.ends}
            operations.append(Put(key, to_json(EndBatch(ends=batch.ends))))
            batch.ends = []
        while batch.values and len(operations) < MAX_OPERATIONS:
            operations.append(Put(*batch.values.popitem()))
        room = MAX_OPERATIONS - len(operations)
        for job, outcome in batch.outcomes[:room]:
            key = self.jobs.key(job, JobKey.OUTCOME)
            operations.append(Put(key, to_json(outcome)))
        batch.outcomes = batch.outcomes[room:]
        room = MAX_OPERATIONS - len(operations)
        operations += [Delete(key) for key in batch.removals[:room]]
        batch.removals = batch.removals[room:]
        return operations

    def forget_job(self, job: str) -> None:
        """Removes a job's keys, and the batches of ends that no job needs any more."""
        keys = [self.jobs.key(job, kind) for kind in JobKey]
        for key, jobs in list(self.open_jobs.items()):
            jobs.discard(job)
            if not jobs:
                del self.open_jobs[key]
                keys.append(key)
        self.remove(keys)

    async def write(self, operations: list[Put | Delete]) -> bool:
        """Writes operations until they are durable or ownership is lost."""
        mine = Compare(
            self.jobs.prefix + OWNER, CompareTarget.MOD_REVISION, self.owner_revision
        )
        while True:
            self.writes += 1
            reply = await self.jobs.store.commit(Transaction([mine], operations))
            if isinstance(reply, Err):
                if not self.failing:
                    logger.warning(Event.LOG_STALLED, detail=reply.err_value.detail)
                self.failing = True
                await anyio.sleep(RETRY_S)
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
        """Reads the ends of all earlier owners, oldest first."""
        reply = await self.jobs.store.range(self.jobs.prefix + ENDS, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found: list[TaskEndEntry] = []
        for item in sorted(reply.ok_value.items, key=lambda item: item.key):
            try:
                ends = from_json(item.value, EndBatch).ends
                found += ends
                self.open_jobs[item.key] = {e.task.partition(".")[0] for e in ends}
            except msgspec.DecodeError as error:
                logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
        return Ok(found)
