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
from lacewinghold.schema.generated.cell import CellJob, JobOutcome
from lacewinghold.store.base import Compare, CompareTarget, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.scheduler.job_ids import JobIds
    from lacewinghold.store.base import KeyValue, Store

logger = structlog.get_logger(__name__)
JOBS_PREFIX = "j/"
ENDED_PREFIX = "e/"
TASK_ENDS_PREFIX = "l/"
OWNER_KEY = "owner"
MEMBERS_PREFIX = "m/"
ROSTER_PREFIX = "r/"
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
    """

    record: CellJob | None = None
    revision: int = 0
    cancelled: bool = False
    outcome: JobOutcome | None = None

    def exists(self) -> bool:
        """Returns whether the job is open, or has an outcome that is still stored."""
        return self.record is not None or self.outcome is not None


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
        """Stores a job, unless it is open or has ended.

        The record names the epoch only if the owner's record stood as it was stored.

        :param epoch: Epoch of the newest owner known.
        :returns: The record, with the epoch that is certain; a failure of kind
            ``OUTCOME_UNKNOWN`` if the write may still take effect.
        """
        stored = replace(record, epoch=epoch)
        reply = await self.put_if_new(stored)
        if epoch != NO_EPOCH and isinstance(reply, Ok) and not reply.ok_value:
            # The job is not new, or another instance owns the cell by now.
            stored = replace(record, epoch=NO_EPOCH)
            reply = await self.put_if_new(stored)
        return Err(reply.err_value) if isinstance(reply, Err) else Ok(stored)

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
        reply = await self.store.commit(
            Transaction(conditions, [Put(key, to_json(record))])
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(reply.ok_value.succeeded)

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
            found.outcome = self.read_outcome(item) or found.outcome
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
        reply = await self.store.commit(Transaction([still_open], [put]))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(reply.ok_value.succeeded)


def is_outcome_unknown(failure: Failure) -> bool:
    """Returns whether a write may still take effect."""
    return failure.kind is ErrorKind.OUTCOME_UNKNOWN
