"""Jobs in the platform's store: acceptances, cancellations and outcomes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import structlog
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import Epoch
from lacewinghold.organisations.authentication import Caller, check_access
from lacewinghold.schema.generated.cell import CellJob, JobOutcome
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewinghold.scheduler.job_ids import JobIds
    from lacewinghold.store.base import KeyValue, Store

logger = structlog.get_logger(__name__)
JOBS_PREFIX = "j/"
ENDED_PREFIX = "e/"
TASK_ENDS_PREFIX = "l/"
OWNER_KEY = "owner"
MEMBERS_PREFIX = "m/"
ROSTER_PREFIX = "r/"
TOMBSTONES_PREFIX = "x/"
MAX_TOMBSTONES_PER_WRITE = 10  # The store accepts 32 entries; each takes three.
NO_EPOCH = Epoch(0)  # Store revisions begin at 1.


class JobKey(Enum):
    """The keys of one open job, by their last letter.

    Earlier versions kept the keys of an ended job, with its outcome beside them.
    """

    ACCEPTED = "a"
    CANCELLED = "c"
    OUTCOME = "e"


JOB_KEY_LETTERS = frozenset(kind.value for kind in JobKey)


class StoredJob(Struct):
    """One job as stored.

    :param record: The accepted job, ``None`` if no record is stored.
    :param revision: Store revision of the record.
    :param tombstone: Whether the job was cancelled before it was stored.
    """

    record: CellJob | None = None
    revision: int = 0
    cancelled: bool = False
    outcome: JobOutcome | None = None
    tombstone: bool = False

    def exists(self) -> bool:
        """Returns whether the job is open, or has an outcome that is still stored."""
        return self.record is not None or self.outcome is not None

    def organisation(self) -> str:
        """Returns the organisation of the job, empty if it has none."""
        if self.record is not None:
            return self.record.organisation
        return "" if self.outcome is None else self.outcome.organisation


class JobStore:
    """Reads and writes jobs.

    :param prefix: Prefix of all keys of this program.
    :param ids: Format of the jobs' ids.
    """

    def __init__(self, store: Store, prefix: str, ids: JobIds) -> None:
        self.store = store
        self.prefix = prefix
        self.ids = ids

    def key(self, job: str, kind: JobKey) -> str:
        """Returns the key of one kind of a job."""
        return f"{self.prefix}{JOBS_PREFIX}{job}/{kind.value}"

    def ended_key(self, job: str) -> str:
        """Returns the key of a job's outcome, the only key of an ended job."""
        return f"{self.prefix}{ENDED_PREFIX}{job}"

    def tombstone_entry_key(self, job: str) -> str:
        """Returns the key by which a tombstone is found, beside that of the outcome."""
        return f"{self.prefix}{TOMBSTONES_PREFIX}{job}"

    def ended_job_keys(self, job: str, legacy: bool) -> list[str]:
        """Returns the keys of an ended job.

        :param legacy: Whether an earlier version has kept its record.
        """
        kept = [self.key(job, kind) for kind in JobKey] if legacy else []
        return [self.ended_key(job), *kept]

    def parse_key(self, key: str) -> tuple[str, JobKey] | None:
        """Returns the job and kind of a key, ``None`` if it is not a job's key."""
        text, _, kind = key.removeprefix(f"{self.prefix}{JOBS_PREFIX}").partition("/")
        job = self.ids.parse(text)
        if job is None or kind not in JOB_KEY_LETTERS:
            logger.warning(Event.FOREIGN_KEY, key=key)
            return None
        return job, JobKey(kind)

    def decode_record(self, value: bytes, job: str | None = None) -> CellJob:
        """Decodes the record of an accepted job.

        :param job: The only job that it may be of; ``None`` allows any.
        :raises msgspec.DecodeError: If it is malformed, or of another job.
        """
        record = from_json(value, CellJob)
        if self.ids.parse(record.job) is None or job not in (None, record.job):
            raise msgspec.ValidationError(f"record of job {record.job[:80]!r}")
        return record

    async def accept(
        self, record: CellJob, epoch: Epoch = NO_EPOCH
    ) -> Result[CellJob, Failure]:
        """Stores a job, unless it is open, has ended or has a tombstone.

        The record names the epoch only if the owner's record stood as it was stored.

        :param epoch: Epoch of the newest owner known.
        :returns: The record, with the epoch that is certain; a failure of kind
            ``OUTCOME_UNKNOWN`` if the job may be stored or the write may still take
            effect, ``NOT_FOUND`` if it has a tombstone, ``FORBIDDEN`` if it is another
            organisation's.
        """
        stored = replace(record, epoch=epoch)
        reply = await self.put_if_new(stored)
        if epoch != NO_EPOCH and isinstance(reply, Ok) and not reply.ok_value:
            # The job is not new, or another instance owns the cell by now.
            stored = replace(record, epoch=NO_EPOCH)
            reply = await self.put_if_new(stored)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(stored) if reply.ok_value else await self.find_accepted(stored)

    async def find_accepted(self, record: CellJob) -> Result[CellJob, Failure]:
        """Returns the record of a job that was not stored because it is not new."""
        reply = await self.read(record.job)
        if isinstance(reply, Err):
            detail = f"the job may be stored: {reply.err_value.detail}"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        found = reply.ok_value
        if found.exists():
            denied = check_access(found.organisation(), Caller(record.organisation))
            return Ok(record) if denied is None else Err(denied)
        if found.tombstone:
            detail = "the job was cancelled before it was stored"
            return Err(Failure(ErrorKind.NOT_FOUND, detail, "job"))
        detail = "the job was removed meanwhile"
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))

    async def put_if_new(self, record: CellJob) -> Result[bool, Failure]:
        """Stores a job that is neither open nor ended, under its epoch if it has one.

        :returns: Whether the conditions held.
        """
        key = self.key(record.job, JobKey.ACCEPTED)
        conditions = [
            Compare(key, CompareTarget.MOD_REVISION, 0),
            Compare(self.ended_key(record.job), CompareTarget.MOD_REVISION, 0),
        ]
        if record.epoch != NO_EPOCH:
            owner_key = self.prefix + OWNER_KEY
            conditions.append(
                Compare(owner_key, CompareTarget.MOD_REVISION, record.epoch)
            )
        return await self.commit(Transaction(conditions, [Put(key, to_json(record))]))

    async def read(self, job: str) -> Result[StoredJob, Failure]:
        """Reads a job: the keys of an open job first, then the outcome.

        A job that ends between the two reads is found by the second one.
        """
        reply = await self.store.range(f"{self.prefix}{JOBS_PREFIX}{job}/", prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found = StoredJob()
        for item in reply.ok_value.items:
            self.merge(found, item)
        if found.record is not None:
            return Ok(found)
        reply = await self.store.range(self.ended_key(job))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        for item in reply.ok_value.items:
            outcome = self.read_outcome(item)
            if outcome is None:
                continue
            if outcome.tombstone:
                found.tombstone = True
                continue
            found.outcome = outcome
        return Ok(found)

    def read_outcome(self, item: KeyValue) -> JobOutcome | None:
        """Returns a decoded outcome, ``None`` if it is damaged."""
        try:
            return from_json(item.value, JobOutcome)
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
            return None

    def merge(self, found: StoredJob, item: KeyValue) -> None:
        """Merges the value of one key into a stored job."""
        parsed = self.parse_key(item.key)
        if parsed is None:
            return
        try:
            if parsed[1] is JobKey.ACCEPTED:
                found.record = self.decode_record(item.value, parsed[0])
                found.revision = item.mod_revision
            elif parsed[1] is JobKey.OUTCOME:
                found.outcome = self.read_outcome(item)
            else:
                found.cancelled = True
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))

    async def cancel(self, job: str, stored: StoredJob) -> Result[bool, Failure]:
        """Stores the cancellation of a job.

        :returns: Whether the job was still open, so that the cancellation is stored.
        """
        accepted = self.key(job, JobKey.ACCEPTED)
        still_open = Compare(accepted, CompareTarget.MOD_REVISION, stored.revision)
        put = Put(self.key(job, JobKey.CANCELLED), b"{}")
        return await self.commit(Transaction([still_open], [put]))

    async def put_tombstone(self, job: str, at: float) -> Result[bool, Failure]:
        """Stores a tombstone for a job that is not stored.

        :param at: Wall time in seconds.
        :returns: Whether the job was still not stored, so that the tombstone is.
        """
        accepted, ended = self.key(job, JobKey.ACCEPTED), self.ended_key(job)
        conditions = [
            Compare(key, CompareTarget.MOD_REVISION, 0) for key in (accepted, ended)
        ]
        outcome = JobOutcome(
            state="cancelled", at=at, reason="cancelled unstored", tombstone=True
        )
        puts = [
            Put(ended, to_json(outcome)),
            Put(self.tombstone_entry_key(job), b"{}"),
        ]
        return await self.commit(Transaction(conditions, [*puts]))

    async def list_tombstones(self) -> Result[list[KeyValue], Failure]:
        """Returns the entries of all tombstones."""
        reply = await self.store.range(self.prefix + TOMBSTONES_PREFIX, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(reply.ok_value.items)

    async def remove_tombstones(
        self, entries: Sequence[KeyValue]
    ) -> Result[bool, Failure]:
        """Removes tombstones, unless an outcome has taken the place of one of them.

        :returns: Whether they are removed; otherwise all of them are left.
        """
        conditions, removals = [], []
        for entry in entries:
            job = entry.key.removeprefix(self.prefix + TOMBSTONES_PREFIX)
            ended = self.ended_key(job)
            # One write has stored both keys, so that they have the same revision.
            conditions.append(
                Compare(ended, CompareTarget.MOD_REVISION, entry.mod_revision)
            )
            removals += [Delete(ended), Delete(entry.key)]
        return await self.commit(Transaction(conditions, [*removals]))

    async def remove_tombstone_entry(self, entry: KeyValue) -> Result[bool, Failure]:
        """Removes the entry of a tombstone that has gone."""
        unchanged = Compare(entry.key, CompareTarget.MOD_REVISION, entry.mod_revision)
        return await self.commit(Transaction([unchanged], [Delete(entry.key)]))

    async def commit(self, transaction: Transaction) -> Result[bool, Failure]:
        """Applies a transaction.

        :returns: Whether its conditions held.
        """
        reply = await self.store.commit(transaction)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(reply.ok_value.succeeded)


def is_outcome_unknown(failure: Failure) -> bool:
    """Returns whether a write may still take effect."""
    return failure.kind is ErrorKind.OUTCOME_UNKNOWN
