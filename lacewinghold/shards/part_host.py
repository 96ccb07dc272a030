"""Parts of jobs that are recorded in another shard, and their reservations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import task_job
from lacewinghold.schema.generated.jobs import JobState
from lacewinghold.schema.generated.messages import PartReply, PartReserveReply
from lacewinghold.schema.generated.records import EntryKind, LogEntry
from lacewinghold.shards.model import make_job
from lacewinghold.util.clock import until_tick

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.work import Placement, Work
    from lacewinghold.schema.generated.records import JobRecord
    from lacewinghold.shards.model import Job, Task
    from lacewinghold.shards.owner import ShardOwner

logger = structlog.get_logger(__name__)
EXPIRY_CHECK_INTERVAL_S = 0.5
MAX_RESERVATION_LEASE_S = 30.0
STORE_TIMEOUT_S = 4.0


class Reservation(Struct):
    """Capacity for all tasks of a part, requested or booked.

    :param expires_at: End of its lease, on the runtime's clock.
    :param placement: The booked workers; ``None`` while it is queued.
    """

    job: Job
    work: Work
    expires_at: float
    placement: Placement | None = None


class PartHost:
    """Accepts parts for a shard and reserves capacity for gang-scheduled ones.

    A reservation is kept in memory only and ends with its lease, so that a job
    whose owner died does not block capacity for long.
    """

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.reservations: dict[JobId, Reservation] = {}

    async def run(self) -> None:
        """Releases reservations whose lease has ended."""
        while True:
            now = self.owner.now()
            for job_id, reservation in list(self.reservations.items()):
                if reservation.expires_at < now:
                    logger.info(Event.RESERVATION_ENDED, job=job_id)
                    self.cancel_reservation(job_id)
            await anyio.sleep(until_tick(EXPIRY_CHECK_INTERVAL_S))

    def reserve(
        self, record: JobRecord, lease_s: float
    ) -> Result[PartReserveReply, Failure]:
        """Creates or renews the reservation of a part.

        :param lease_s: Requested lease in seconds, limited to the maximum.
        """
        refused = self.check(record)
        if refused is not None:
            return Err(refused)
        if record.job in self.owner.jobs:
            return Ok(PartReserveReply(True, True))
        expires_at = self.owner.now() + min(lease_s, MAX_RESERVATION_LEASE_S)
        known = self.reservations.get(record.job)
        if known is None:
            known = self.queue(record, expires_at)
        known.expires_at = max(known.expires_at, expires_at)
        return Ok(PartReserveReply(known.placement is not None, False))

    def queue(self, record: JobRecord, expires_at: float) -> Reservation:
        """Queues a reservation for a part."""
        placer = self.owner.placer
        job = make_job(record, self.owner.to_runtime(record.accepted_at))
        work = placer.make_work(record.job, job.tasks)
        reservation = Reservation(job, work, expires_at)
        self.reservations[record.job] = reservation
        placer.engine.add(work, self.owner.now())
        placer.wake()
        return reservation

    def record_granted(self, placement: Placement) -> bool:
        """Records a placement that books capacity for a reservation.

        :returns: Whether the placement belongs to a reservation.
        """
        reservation = self.reservations.get(placement.work.job)
        if reservation is None or reservation.work is not placement.work:
            return False
        reservation.placement = placement
        self.owner.notify_changed()
        return True

    def cancel_reservation(self, job_id: JobId) -> None:
        """Cancels the reservation of a part and releases its bookings."""
        reservation = self.reservations.pop(job_id, None)
        if reservation is None:
            return
        self.owner.placer.engine.remove(job_id)
        self.release_bookings(reservation)
        self.owner.placer.wake()

    def release_bookings(self, reservation: Reservation) -> None:
        """Releases the bookings of a reservation."""
        if reservation.placement is None:
            return
        for task, worker in booked_workers(reservation):
            self.owner.placer.release(task, worker)
        reservation.placement = None

    def requeue_reservations(self, worker: WorkerCapacity) -> None:
        """Queues the reservations again that had booked a lost worker."""
        for reservation in self.reservations.values():
            placement = reservation.placement
            if placement is None or worker not in placement.workers:
                continue
            self.release_bookings(reservation)
            self.owner.placer.engine.add(reservation.work, self.owner.now())

    def is_reserved(self, task_id: TaskId) -> bool:
        """Returns whether a task's booking belongs to a reservation."""
        return task_job(task_id) in self.reservations

    async def accept(self, record: JobRecord) -> Result[JobId, Failure]:
        """Accepts a part once its record is durable. The call is idempotent."""
        refused = self.check(record)
        if refused is not None:
            return Err(refused)
        if record.job in self.owner.jobs:
            return Ok(record.job)
        reservation = self.reservations.get(record.job)
        if reservation is not None:
            reservation.expires_at = float("inf")
        entry = LogEntry(
            kind=EntryKind.JOB_ACCEPTED, at=self.owner.clock.now(), job=record
        )
        written = await self.owner.ledger.append([entry], timeout_s=STORE_TIMEOUT_S)
        if isinstance(written, Err):
            self.cancel_reservation(record.job)
            return Err(written.err_value)
        return Ok(record.job)

    def check(self, record: JobRecord) -> Failure | None:
        """Returns why a part cannot be accepted now, or ``None``."""
        held = self.owner.ownership.check()
        if isinstance(held, Err):
            return held.err_value
        if self.owner.handing_over or not self.owner.ready.is_set():
            return Failure(
                ErrorKind.NOT_OWNER, "the shard is being handed over", "", 1.0
            )
        if record.job in self.owner.jobs:
            return None
        if record.job in self.owner.ledger.state.cancelled:
            return Failure(ErrorKind.CONFLICT, "the part was cancelled")
        return None

    def apply_accepted(self, record: JobRecord) -> None:
        """Starts a durable part on its reserved workers, or queues it."""
        if record.job in self.owner.jobs:
            return
        reservation = self.reservations.pop(record.job, None)
        self.owner.placer.engine.remove(record.job)
        if reservation is None or reservation.placement is None:
            queued_at = self.owner.to_runtime(record.accepted_at)
            self.owner.enqueue(make_job(record, queued_at))
            return
        for task in reservation.job.tasks:
            self.owner.tasks[task.id] = task
        intended = self.owner.placer.start_booked(reservation.placement)
        self.owner.enqueue(reservation.job)
        if intended:
            start_soon = self.owner.task_group.start_soon
            start_soon(self.owner.placer.write_intents_and_start, intended)

    async def cancel(self, job_id: JobId, actor: str) -> Result[PartReply, Failure]:
        """Cancels a part; an unknown one is recorded, so that it is never accepted."""
        self.cancel_reservation(job_id)
        if job_id in self.owner.jobs:
            cancelled = await self.owner.cancel(job_id, actor)
            if isinstance(cancelled, Err):
                return Err(cancelled.err_value)
            return self.state(job_id)
        if job_id not in self.owner.ledger.state.cancelled:
            entry = LogEntry(
                kind=EntryKind.JOB_CANCELLED,
                at=self.owner.clock.now(),
                job_id=job_id,
                detail=actor,
            )
            append = self.owner.ledger.append
            written = await append([entry], timeout_s=STORE_TIMEOUT_S)
            if isinstance(written, Err):
                return Err(written.err_value)
        if job_id in self.owner.jobs:
            return self.state(job_id)
        return Ok(PartReply(job_id, JobState.CANCELLED))

    def state(self, job_id: JobId) -> Result[PartReply, Failure]:
        """Returns the state of a part."""
        job = self.owner.jobs.get(job_id)
        if job is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no job {job_id}"))
        return Ok(PartReply(job_id, job.state(), job.reason))


def booked_workers(reservation: Reservation) -> list[tuple[Task, WorkerCapacity]]:
    """Returns the tasks of a granted reservation with their workers."""
    assert reservation.placement is not None
    workers = reservation.placement.workers
    return list(zip(reservation.job.tasks, workers, strict=True))
