"""Runs jobs whose tasks are divided into parts in several shards."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec.structs import replace
from result import Err, Ok

from lacewinghold.coordination.ledger_state import FINISHED_JOB_RETENTION_S
from lacewinghold.errors import ErrorKind
from lacewinghold.events import Event
from lacewinghold.ids import JobId
from lacewinghold.schema.generated.jobs import JobKind, JobState, TaskState
from lacewinghold.schema.generated.records import JobRecord
from lacewinghold.shards.model import ENDED

if TYPE_CHECKING:
    from lacewinghold.schema.generated.messages import PartReply
    from lacewinghold.shards.model import Job, Task
    from lacewinghold.shards.owner import ShardOwner
    from lacewinghold.shards.part_calls import PartCalls

logger = structlog.get_logger(__name__)
POLL_INTERVAL_S = 2.0
RESERVE_POLL_INTERVAL_S = 0.25
RESERVATION_LEASE_S = 10.0
# Part of the lease that must be left for the hosts to accept the parts.
RESERVATION_MARGIN_S = 5.0
FIRST_RESERVE_TIMEOUT_S = 120.0
MAX_TIMEOUT_DOUBLINGS = 10
RESERVE_RETRY_S = 2.0

PART_STATES = {
    JobState.ACCEPTED: TaskState.QUEUED,
    JobState.PARKED: TaskState.QUEUED,
    JobState.RUNNING: TaskState.RUNNING,
    JobState.CANCEL_PENDING: TaskState.STOPPING,
    JobState.SUCCEEDED: TaskState.SUCCEEDED,
    JobState.FAILED: TaskState.FAILED,
    JobState.CANCELLED: TaskState.CANCELLED,
    JobState.UNKNOWN: TaskState.UNKNOWN,
}


def part_record(job: Job, index: int) -> JobRecord:
    """Returns the record of a part, derived from the job's record alone."""
    part = job.record.parts[index]
    digest = hashlib.sha256(f"{job.id}/{index}".encode()).hexdigest()[:16]
    return JobRecord(
        job=JobId(f"{part.shard}~{digest}"),
        spec=replace(job.record.spec, tasks=part.tasks),
        accepted_at=job.record.accepted_at,
        parent=job.id,
    )


class Parts:
    """Starts, follows and cancels the parts of the jobs of a shard.

    Each part is represented by one task of the job, whose outcome is written to
    the ledger like that of any task. All other state is queried again after a
    failure: the record of a part is derived from the job's record alone, and
    accepting a part is idempotent.

    :ivar running: Jobs with a running task in this owner.
    :ivar accepted: Parts that their hosts are known to have accepted.
    """

    def __init__(self, owner: ShardOwner, calls: PartCalls) -> None:
        self.owner = owner
        self.calls = calls
        self.running: set[JobId] = set()
        self.accepted: set[JobId] = set()

    def resume(self) -> None:
        """Starts a task for each unfinished job that has parts."""
        for job in list(self.owner.jobs.values()):
            if job.record.parts:
                self.start(job)

    def start(self, job: Job) -> None:
        """Starts a task that runs a job, unless one is running."""
        if job.id not in self.running and not job.ended():
            self.running.add(job.id)
            self.owner.task_group.start_soon(self.run, job)

    async def run(self, job: Job) -> None:
        """Runs a job until all its parts have ended."""
        needs_reservation = job.record.spec.kind is JobKind.ALL_AT_ONCE
        attempts = 0
        while not job.ended():
            if job.cancelled:
                await self.cancel(job)
            elif needs_reservation and not await self.reserve_all(job, attempts):
                attempts += 1
                await anyio.sleep(RESERVE_RETRY_S * self.owner.rng.uniform(0.5, 1.5))
                continue
            else:
                needs_reservation = False
                await self.accept(job)
                await self.poll_states(job)
            if not job.ended():
                await self.wait_for_change(POLL_INTERVAL_S)
        self.running.discard(job.id)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until shortly after a change of the shard, or for ``timeout_s``."""
        changed = self.owner.changed
        with anyio.move_on_after(timeout_s):
            await changed.wait()
            await anyio.sleep(RESERVE_POLL_INTERVAL_S)

    def pending(self, job: Job) -> list[tuple[Task, JobRecord]]:
        """Returns the parts that have not ended, with their tasks."""
        found = []
        for index, task in enumerate(job.tasks):
            if task.state not in ENDED:
                found.append((task, part_record(job, index)))
        return found

    async def accept(self, job: Job) -> None:
        """Sends the parts that are not known as accepted to their hosts."""
        for task, record in self.pending(job):
            if record.job in self.accepted:
                continue
            if await self.may_have_run(record):
                self.owner.end_task(task, TaskState.UNKNOWN, "too old to tell")
                continue
            reply = await self.calls.accept(record)
            if isinstance(reply, Ok):
                self.accepted.add(record.job)
                continue
            if reply.err_value.kind is ErrorKind.CONFLICT:
                self.owner.end_task(task, TaskState.CANCELLED, "cancelled")

    async def may_have_run(self, record: JobRecord) -> bool:
        """Returns whether a part that must not run twice may have run already.

        A host that pruned the finished part from its ledger no longer knows it.
        """
        age_s = self.owner.clock.now() - record.accepted_at
        if record.spec.repeatable or age_s < FINISHED_JOB_RETENTION_S:
            return False
        known = await self.calls.state(record.job)
        return isinstance(known, Err) and known.err_value.kind is ErrorKind.NOT_FOUND

    async def poll_states(self, job: Job) -> None:
        """Queries the state of each accepted part."""
        for task, record in self.pending(job):
            if record.job not in self.accepted:
                continue
            reply = await self.calls.state(record.job)
            if isinstance(reply, Ok):
                self.apply(task, reply.ok_value)
            elif reply.err_value.kind is ErrorKind.NOT_FOUND:
                self.accepted.discard(record.job)

    async def cancel(self, job: Job) -> None:
        """Cancels all unfinished parts, including those that were never accepted."""
        for task, record in self.pending(job):
            reply = await self.calls.cancel(record.job, "owner of the job")
            if isinstance(reply, Ok):
                self.apply(task, reply.ok_value)

    def apply(self, task: Task, reply: PartReply) -> None:
        """Applies the state of a part to its task."""
        state = PART_STATES[JobState(reply.state)]
        if state in ENDED:
            self.owner.end_task(task, state, reply.reason)
            return
        task.state = state
        task.job.reason = reply.reason
        if state is TaskState.RUNNING and task.job.first_started_at is None:
            task.job.first_started_at = self.owner.now()

    async def reserve_all(self, job: Job, attempts: int) -> bool:
        """Reserves capacity for all parts, one shard after the other.

        All jobs reserve in the same order of shards, which prevents deadlock. After
        a timeout, which doubles with each attempt, the job releases its
        reservations and tries again; it keeps its place by age in the queues.

        :param attempts: Number of earlier attempts.
        :returns: Whether the parts may be accepted now.
        """
        timeout_s = FIRST_RESERVE_TIMEOUT_S * 2 ** min(attempts, MAX_TIMEOUT_DOUBLINGS)
        deadline = self.owner.now() + timeout_s
        records = [record for _, record in self.pending(job)]
        records.sort(key=lambda record: record.job)
        for count in range(1, len(records) + 1):
            while True:
                renewed_at = self.owner.now()
                granted = await self.renew(records[:count])
                if granted is None or job.cancelled or self.owner.now() > deadline:
                    await self.cancel_reservations(records)
                    return False
                if granted == count:
                    break
                await anyio.sleep(RESERVE_POLL_INTERVAL_S)
        limit = renewed_at + RESERVATION_LEASE_S - RESERVATION_MARGIN_S
        if self.owner.now() > limit:
            await self.cancel_reservations(records)
            return False
        logger.info(Event.ROOM_RESERVED_IN_ALL_SHARDS, job=job.id, parts=len(records))
        return True

    async def renew(self, records: list[JobRecord]) -> int | None:
        """Requests or renews the reservations of parts.

        :returns: Number of parts with reserved capacity; all of them if an earlier
            owner of the job had started it; ``None`` if a shard is unreachable or
            refuses.
        """
        granted = 0
        for record in records:
            reply = await self.calls.reserve(record, RESERVATION_LEASE_S)
            if isinstance(reply, Err):
                return None
            if reply.ok_value.accepted:
                return len(records)
            granted += reply.ok_value.granted
        return granted

    async def cancel_reservations(self, records: list[JobRecord]) -> None:
        """Releases the reservations of parts."""
        for record in records:
            await self.calls.cancel_reservation(record.job)
