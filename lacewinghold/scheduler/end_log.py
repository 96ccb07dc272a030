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
from lacewinghold.scheduler.job_store import OWNER_KEY, TASK_ENDS_PREFIX, JobKey
from lacewinghold.schema.generated.cell import EndBatch, JobOutcome, TaskEndEntry
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from lacewinghold.errors import Failure
    from lacewinghold.scheduler.job_store import JobStore

logger = structlog.get_logger(__name__)
MAX_OPERATIONS_PER_WRITE = (
    28  # The store takes 32 entries a write; the condition is one.
)
MAX_WRITE_BYTES = 32 * 1024  # A thin link carries it well within a call's time-out.
MAX_ENDS_PER_KEY = 400  # Of one key; about half of the bytes of a write.
RETRY_DELAY_S = 0.1  # Pause after a failed write.
MAX_WRITES_IN_FLIGHT = 4  # Writes to a slow store that overlap.
GROUP_DELAY_S = 0.03  # Ends that arrive within this time share a write.
OPERATIONS_PER_OUTCOME = 3  # The outcome comes, the record and the cancellation go.
BATCHES_PER_TURN = 50  # Batches decoded in one turn: a few milliseconds at most.


class PendingBatch(Struct):
    """What one or more writes carry.

    :param ends_key: Key of the ends that the present write carries.
    :param stored: Called once this batch is durable.
    :param settled: Called once this batch and all before it are.
    """

    ends: list[TaskEndEntry] = field(default_factory=list)
    outcomes: list[tuple[str, JobOutcome]] = field(default_factory=list)
    values: dict[str, bytes] = field(default_factory=dict)
    removals: list[str] = field(default_factory=list)
    ends_key: str = ""
    on_stored: list[Callable[[], None]] = field(default_factory=list)
    on_all_stored: list[Callable[[], None]] = field(default_factory=list)
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
        self.slots = anyio.Semaphore(MAX_WRITES_IN_FLIGHT)
        self.wake = anyio.Event()
        self.superseded = anyio.Event()
        self.writes = 0
        self.failing = False
        self.open_jobs_by_batch: dict[str, set[str]] = {}
        self.batches_by_job: dict[str, set[str]] = {}
        self.unstored: set[str] = set()

    def key(self, sequence: int) -> str:
        """Returns the key of a batch of ends."""
        return f"{self.jobs.prefix}{TASK_ENDS_PREFIX}{self.term:08d}/{sequence:08d}"

    def append_end(self, entry: TaskEndEntry) -> None:
        """Queues an end."""
        self.pending.ends.append(entry)
        self.wake.set()

    def append_outcome(
        self, job: str, outcome: JobOutcome, on_stored: Callable[[], None]
    ) -> None:
        """Queues a job's outcome; ``stored`` is called once it is durable.

        The same write removes the job's record, so that the next owner need not
        read it.
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
        """Queues a key of its own, which is never written with another value.

        A write that is carried out late must not undo a newer one.
        """
        self.pending.values[key] = value
        self.pending.on_stored.append(on_stored)
        self.wake.set()

    def remove(self, keys: Iterable[str]) -> None:
        """Queues the removal of keys that nobody needs any more."""
        self.remove_with_next_write(keys)
        self.wake.set()

    def remove_with_next_write(self, keys: Iterable[str]) -> None:
        """Queues the removal of keys with whatever is written next."""
        self.pending.removals += keys

    def flush(self) -> None:
        """Has written what is queued."""
        if not self.pending.empty():
            self.wake.set()

    def call_when_stored(self, on_all_stored: Callable[[], None]) -> None:
        """Calls back once all that is queued now is durable."""
        self.pending.on_all_stored.append(on_all_stored)
        self.wake.set()

    async def run(self) -> None:
        """Writes until cancelled or superseded; a slow store gets several at once."""
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
        """Writes a batch, and tells what is durable by it."""
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
        """Returns as much of a batch as one write takes.

        A write that the link cannot carry in time would be sent again for ever.
        """
        operations: list[Put | Delete] = []
        remaining_bytes = MAX_WRITE_BYTES
        if batch.ends:
            self.sequence += 1
            key = self.key(self.sequence)
            ends, batch.ends = (
                batch.ends[:MAX_ENDS_PER_KEY],
                batch.ends[MAX_ENDS_PER_KEY:],
            )
            self.index_batch(key, ends)
            self.unstored.add(key)
            batch.ends_key = key
            value = to_json(EndBatch(ends=ends))
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

    def index_batch(self, key: str, ends: list[TaskEndEntry]) -> None:
        """Notes which jobs need a batch of ends."""
        jobs = {entry.task.partition(".")[0] for entry in ends}
        self.open_jobs_by_batch[key] = jobs
        for job in jobs:
            self.batches_by_job.setdefault(job, set()).add(key)

    def mark_ends_stored(self, batch: PendingBatch) -> None:
        """Notes that a batch's ends are durable, and can be removed from now on."""
        key, batch.ends_key = batch.ends_key, ""
        self.unstored.discard(key)
        if key in self.open_jobs_by_batch and not self.open_jobs_by_batch[key]:
            self.drop_batch(key)

    def release_batches(self, job: str) -> None:
        """Removes the batches of ends that no open job needs any more.

        The job's outcome has to be durable: without both it would run again.
        """
        for key in self.batches_by_job.pop(job, set()):
            self.open_jobs_by_batch[key].discard(job)
            if not self.open_jobs_by_batch[key]:
                self.drop_batch(key)

    def drop_batch(self, key: str) -> None:
        """Removes a batch of ends, unless its own write may still be carried out."""
        if key in self.unstored:
            return
        del self.open_jobs_by_batch[key]
        self.remove_with_next_write([key])

    async def write(self, operations: list[Put | Delete]) -> bool:
        """Writes operations until they are durable or ownership is lost."""
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
        """Reads the ends of all earlier owners, oldest first."""
        reply = await self.jobs.store.range(
            self.jobs.prefix + TASK_ENDS_PREFIX, prefix=True
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found: list[TaskEndEntry] = []
        items = sorted(reply.ok_value.items, key=lambda item: item.key)
        for number, item in enumerate(items):
            if number % BATCHES_PER_TURN == 0:
                await anyio.sleep(0)
            try:
                ends = from_json(item.value, EndBatch).ends
            except msgspec.DecodeError as error:
                logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
                continue
            found += ends
            self.index_batch(item.key, ends)
        return Ok(found)

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Removes the loaded batches of ends that no open job needs."""
        for job in [job for job in self.batches_by_job if job not in jobs]:
            self.release_batches(job)
