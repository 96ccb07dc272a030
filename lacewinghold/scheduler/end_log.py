"""The owner's log of ends and outcomes, written in groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.scheduler.job_store import ENDS, OWNER, JobKey
from lacewinghold.schema.generated.cell import EndBatch, JobOutcome, TaskEndEntry
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.errors import Failure
    from lacewinghold.scheduler.job_store import JobStore

logger = structlog.get_logger(__name__)
MAX_OPERATIONS = 28  # The store takes 32 entries a write; the condition is one.
RETRY_S = 0.1  # Pause after a failed write.
GATHER_S = 0.03  # Ends that arrive within this time share a write.


class PendingBatch(Struct):
    """What waits for the next write."""

    ends: list[TaskEndEntry] = field(default_factory=list)
    outcomes: list[tuple[str, JobOutcome]] = field(default_factory=list)
    values: dict[str, bytes] = field(default_factory=dict)
    written: list[Callable[[], None]] = field(default_factory=list)


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
        self.wake = anyio.Event()
        self.superseded = anyio.Event()
        self.writes = 0
        self.removals: list[str] = []
        self.failing = False

    def key(self, sequence: int) -> str:
        """Returns the key of a batch."""
        return f"{self.jobs.prefix}{ENDS}{self.term:08d}/{sequence:08d}"

    def note_end(self, entry: TaskEndEntry, written: Callable[[], None]) -> None:
        """Queues an end; ``written`` is called once it is durable."""
        self.pending.ends.append(entry)
        self.pending.written.append(written)
        self.wake.set()

    def note_outcome(
        self, job: str, outcome: JobOutcome, written: Callable[[], None]
    ) -> None:
        """Queues a job's outcome."""
        self.pending.outcomes.append((job, outcome))
        self.pending.written.append(written)
        self.wake.set()

    def note_value(
        self, key: str, value: bytes, written: Callable[[], None] | None = None
    ) -> None:
        """Queues a key that only the owner may write."""
        self.pending.values[key] = value
        if written is not None:
            self.pending.written.append(written)
        self.wake.set()

    def after_written(self, written: Callable[[], None]) -> None:
        """Calls back once all that is queued now is durable."""
        self.pending.written.append(written)
        self.wake.set()

    async def run(self) -> None:
        """Writes until cancelled or superseded."""
        while True:
            await self.wake.wait()
            await anyio.sleep(GATHER_S)
            self.wake = anyio.Event()
            batch, self.pending = self.pending, PendingBatch()
            while batch.ends or batch.outcomes or batch.values or self.removals:
                if not await self.write_part(batch):
                    return
            for call in batch.written:
                call()

    async def write_part(self, batch: PendingBatch) -> bool:
        """Writes as much of a batch as one write takes.

        :returns: Whether this instance still is the owner.
        """
        operations: list[Put | Delete] = []
        if batch.ends:
            self.sequence += 1
            value = to_json(EndBatch(ends=batch.ends))
            operations.append(Put(self.key(self.sequence), value))
            batch.ends = []
        operations += [Put(key, value) for key, value in batch.values.items()]
        batch.values = {}
        room = MAX_OPERATIONS - len(operations)
        for job, outcome in batch.outcomes[:room]:
            key = self.jobs.key(job, JobKey.OUTCOME)
            operations.append(Put(key, to_json(outcome)))
        batch.outcomes = batch.outcomes[room:]
        room = MAX_OPERATIONS - len(operations)
        operations += [Delete(key) for key in self.removals[:room]]
        self.removals = self.removals[room:]
        return await self.write(operations)

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
                    logger.warning("log stalled", detail=reply.err_value.detail)
                self.failing = True
                await anyio.sleep(RETRY_S)
                continue
            if self.failing:
                logger.info("log goes on", term=self.term)
            self.failing = False
            if not reply.ok_value.succeeded:
                logger.warning("superseded", term=self.term)
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
                found += from_json(item.value, EndBatch).ends
            except msgspec.DecodeError as error:
                logger.error("damaged record", key=item.key, detail=str(error))
        return Ok(found)
