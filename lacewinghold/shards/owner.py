"""The owner of a shard: accepts its jobs and runs their tasks to their ends."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.coordination.rules import OpenRules
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import JobId, job_shard, task_job
from lacewinghold.invariants import Invariant, require
from lacewinghold.placement.capacity import fits
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.records import EntryKind, JobRecord, LogEntry
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.shards.model import ENDED, ON_WORKER, Job, Task, make_job
from lacewinghold.shards.outcomes import OutcomeWriter
from lacewinghold.shards.part_host import PartHost
from lacewinghold.shards.parts import Parts
from lacewinghold.shards.placer import Placer
from lacewinghold.shards.recovery import DRIFT_SHARE, Recovery
from lacewinghold.shards.worker_task import WorkerTask
from lacewinghold.util.clock import until_tick
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    import random

    from lacewinghold.coordination.ledger import Ledger
    from lacewinghold.coordination.ownership import ShardOwnership
    from lacewinghold.coordination.rules import RuleGate
    from lacewinghold.ids import ShardId, TaskId, WorkerId
    from lacewinghold.schema.generated.jobs import JobSpec
    from lacewinghold.schema.generated.records import PartRecord
    from lacewinghold.schema.generated.worker import EndedTask, WorkerRecord
    from lacewinghold.shards.part_calls import PartCalls
    from lacewinghold.util.clock import WallClock
    from lacewinghold.workers.base import WorkerLinks

logger = structlog.get_logger(__name__)
CONFIRM_INTERVAL_S = 1.0
LOAD_RETRY_S = 0.2
STORE_TIMEOUT_S = 4.0
HAND_OVER_POLL_S = 0.05
JOB_ID_BITS = 64


class ShardOwner:
    """Owns one shard under one epoch.

    :param ownership: The acquired claim on the shard.
    :param ledger: The shard's ledger under the claim's epoch.
    :param links: Opens the connections to workers.
    :param hold_s: How long workers keep running the tasks of an epoch whose owner
        they cannot reach, in seconds.
    :param rng: Source of jitter and of job ids.
    :param part_calls: Calls the hosts of job parts in other shards.
    :param rules: Permits starts and requests by the operators' document; the
        default permits everything.
    :ivar start_waits_s: Seconds from queueing to start of the tasks started since
        the metrics last read them.
    :ivar suspended: Tasks that wait until the epoch is known to be current.
    """

    def __init__(
        self,
        ownership: ShardOwnership,
        ledger: Ledger,
        links: WorkerLinks,
        clock: WallClock,
        hold_s: float,
        rng: random.Random,
        part_calls: PartCalls,
        rules: RuleGate | None = None,
    ) -> None:
        self.rules = rules or OpenRules()
        self.ownership = ownership
        self.ledger = ledger
        self.links = links
        self.clock = clock
        self.hold_s = hold_s
        self.rng = rng
        self.jobs: dict[JobId, Job] = {}
        self.tasks: dict[TaskId, Task] = {}
        self.workers: dict[WorkerId, WorkerTask] = {}
        self.drained: frozenset[WorkerId] = frozenset()
        self.placer = Placer(self)
        self.part_host = PartHost(self)
        self.parts = Parts(self, part_calls)
        self.start_waits_s: list[float] = []
        self.suspended: set[TaskId] = set()
        self.recovery = Recovery(self)
        self.outcomes = OutcomeWriter(self)
        self.counts: Counter[str] = Counter()
        self.ready = anyio.Event()
        self.changed = anyio.Event()
        self.acquired_at = anyio.current_time()
        self.stopped = False
        self.handing_over = False
        ledger.on_written = self.apply_written_entry
        ledger.on_pruned = self.remove_job

    @property
    def shard(self) -> ShardId:
        """Returns the shard's id."""
        return self.ownership.shard

    async def run(self, workers: list[WorkerRecord]) -> None:
        """Recovers the shard and serves it until cancelled or superseded."""
        async with anyio.create_task_group() as tasks:
            while isinstance(await self.ledger.load(), Err):
                await anyio.sleep(LOAD_RETRY_S)
            self.recovery.rebuild()
            self.task_group = tasks
            self.update_workers(workers)
            tasks.start_soon(self.ledger.run)
            tasks.start_soon(self.recovery.run)
            tasks.start_soon(self.placer.run)
            tasks.start_soon(self.outcomes.run)
            tasks.start_soon(self.part_host.run)
            self.parts.resume()
            self.ready.set()
            await self.wait_until_superseded()
            self.stopped = True
            tasks.cancel_scope.cancel()

    async def wait_until_superseded(self) -> None:
        """Waits until a newer epoch is known to exist or the ledger is closed."""
        lease = self.ownership.lease
        while self.ledger.closed is None:
            await anyio.sleep(until_tick(CONFIRM_INTERVAL_S))
            if not lease.valid() or self.ownership.generation == lease.generation:
                continue
            confirmed = await self.ownership.confirm()
            if isinstance(confirmed, Ok) and not confirmed.ok_value:
                return

    def to_runtime(self, wall: float) -> float:
        """Converts a wall time to the runtime's clock.

        :param wall: Seconds since 1970.
        :returns: Seconds on the runtime's clock.
        """
        return wall - self.clock.offset_s

    def update_workers(self, records: list[WorkerRecord]) -> None:
        """Applies the instance list to the shard's workers.

        The list lags behind. A worker that is missing from it therefore gets no
        new tasks, but its tasks count as running until the platform reports the
        worker as gone or its hold has ended.
        """
        listed = {record.worker: record for record in records}
        for worker_id, record in listed.items():
            if record.state is WorkerState.GONE:
                self.remove_worker(worker_id)
                continue
            known = self.workers.get(worker_id)
            if known is None:
                known = self.add_worker(record)
            known.update(record)
        for worker_id, record in list(self.ledger.state.workers.items()):
            if worker_id not in self.workers and worker_id not in listed:
                self.add_worker(record)
        for worker_id in set(self.workers) - set(listed):
            self.workers[worker_id].mark_unlisted()
        self.placer.wake()

    def set_drained(self, drained: frozenset[WorkerId]) -> None:
        """Replaces the set of workers that operators have drained."""
        self.drained = drained
        for worker in self.workers.values():
            worker.refresh_usable()
        self.placer.wake()

    def add_worker(self, record: WorkerRecord) -> WorkerTask:
        """Adds a worker to the placement index and starts its task."""
        worker = WorkerTask(self, record, self.links.open(record))
        self.workers[record.worker] = worker
        self.placer.engine.index.add(worker.capacity)
        self.task_group.start_soon(worker.run)
        return worker

    def remove_worker(self, worker_id: WorkerId) -> None:
        """Removes a worker on which no task can be running any more."""
        record = self.ledger.state.workers.get(worker_id)
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            worker.remove()
            self.placer.engine.index.remove(worker.capacity)
        if record is not None and worker is not None:
            self.outcomes.add_worker_change(EntryKind.WORKER_REMOVED, record)
        self.notify_changed()

    def now(self) -> float:
        """Returns the runtime's clock in seconds."""
        return anyio.current_time()

    def notify_changed(self) -> None:
        """Wakes all tasks that wait for a change of the shard."""
        self.changed.set()
        self.changed = anyio.Event()

    def may_command(self) -> bool:
        """Returns whether commands may be sent: under the lease or during its hold."""
        if self.stopped or self.ledger.closed is not None:
            return False
        if self.ownership.held():
            return True
        return self.now() < self.ownership.hold_end(self.hold_s * (1 - DRIFT_SHARE))

    def may_start(self) -> bool:
        """Returns whether tasks may be placed now."""
        return not self.handing_over and self.may_command()

    async def accept(
        self, spec: JobSpec, digest: str, parts: list[PartRecord] | None = None
    ) -> Result[JobId, Failure]:
        """Accepts a job once its record is durable.

        :param digest: Idempotency digest, or the empty string.
        :param parts: Division of the tasks over shards, for a job that spans
            several.
        :returns: The job's id, or that of an earlier job with the same digest;
            ``CANNOT_FIT`` if no worker of the shard is large enough for a task.
        """
        held = self.ownership.check()
        if isinstance(held, Err):
            return Err(held.err_value)
        if self.handing_over:
            return Err(
                Failure(ErrorKind.NOT_OWNER, f"{self.shard} is being handed over")
            )
        if not any(
            fits(spec.resources, w.record.capacity) for w in self.workers.values()
        ):
            detail = f"no worker of {self.shard} is large enough"
            return Err(Failure(ErrorKind.CANNOT_FIT, detail, "$.resources"))
        job_id = JobId(f"{self.shard}~{self.rng.getrandbits(JOB_ID_BITS):016x}")
        at = self.clock.now()
        record = JobRecord(
            job=job_id,
            spec=spec,
            accepted_at=at,
            idempotency_digest=digest,
            parts=parts or [],
        )
        entry = LogEntry(kind=EntryKind.JOB_ACCEPTED, at=at, job=record)
        fingerprint = hashlib.sha256(to_json(spec)).hexdigest()[:32]
        written = await self.ledger.append(
            [entry], digest, job_id, fingerprint, STORE_TIMEOUT_S
        )
        if isinstance(written, Err):
            return Err(written.err_value)
        assert written.ok_value is not None
        return Ok(written.ok_value)

    def apply_written_entry(self, entry: LogEntry) -> None:
        """Applies a durable entry, even if its caller no longer waits."""
        if entry.kind is EntryKind.JOB_ACCEPTED and entry.job is not None:
            if entry.job.parent:
                self.part_host.apply_accepted(entry.job)
            else:
                self.enqueue(make_job(entry.job, self.now()))
        elif entry.kind is EntryKind.JOB_CANCELLED:
            if entry.job_id in self.jobs:
                self.apply_cancel(self.jobs[entry.job_id])
        elif entry.kind is EntryKind.WORKER_ADDED and entry.worker is not None:
            worker = self.workers.get(entry.worker.worker)
            if worker is not None:
                worker.refresh_usable()

    def remove_job(self, record: JobRecord) -> None:
        """Removes a job that the ledger has pruned."""
        job = self.jobs.pop(record.job)
        for task in job.tasks:
            del self.tasks[task.id]

    def enqueue(self, job: Job) -> None:
        """Queues the tasks of a job whose record is durable."""
        require(Invariant.LEDGER_FIRST, job.id in self.ledger.state.jobs, job.id)
        self.jobs[job.id] = job
        for task in job.tasks:
            self.tasks[task.id] = task
        if job.record.parts:
            self.parts.start(job)
        self.placer.queue_job(job)

    async def cancel(self, job_id: JobId, actor: str) -> Result[Job, Failure]:
        """Cancels a job and stops its running tasks.

        :param actor: The requester's name, for the audit trail.
        :returns: The job, which is ``cancel_pending`` until every task has ended.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no job {job_id}", "job"))
        if job.ended() or job.cancelled:
            return Ok(job)
        entry = LogEntry(
            kind=EntryKind.JOB_CANCELLED,
            at=self.clock.now(),
            job_id=job_id,
            detail=actor,
        )
        written = await self.ledger.append([entry], timeout_s=STORE_TIMEOUT_S)
        if isinstance(written, Err):
            return Err(written.err_value)
        return Ok(job)

    def apply_cancel(self, job: Job) -> None:
        """Ends the queued tasks of a cancelled job and stops the running ones."""
        job.cancelled = True
        if job.record.parts:
            self.notify_changed()
            return
        for task in job.tasks:
            if task.state is TaskState.QUEUED and task.free_to_start:
                self.end_task(task, TaskState.CANCELLED, "cancelled")
            elif task.state in ON_WORKER:
                self.stop_task(task)

    def stop_task(self, task: Task) -> None:
        """Sends a stop to the worker that runs a task."""
        worker = self.workers.get(task.worker) if task.worker else None
        if worker is None:
            return
        if task.state is TaskState.RUNNING:
            task.state = TaskState.STOPPING
        worker.stop(task.id)

    def adopt(self, task_id: TaskId, worker_id: WorkerId) -> Task | None:
        """Records a task that a worker reports as running.

        :returns: The task, or ``None`` if it must not run on this worker.
        """
        task = self.tasks.get(task_id)
        if task is None or task.state in ENDED:
            return None
        if task.worker is not None and task.worker != worker_id:
            require(Invariant.ONE_PLACE, task.state not in ON_WORKER, task_id)
        task.free_to_start = True
        task.worker = worker_id
        if task.state in (TaskState.QUEUED, TaskState.STARTING):
            self.placer.dequeue(task)
            self.placer.record_running(task)
            self.record_started(task)
        if task.job.cancelled:
            self.stop_task(task)
        return task

    def record_started(self, task: Task) -> None:
        """Marks a task as running and records how long it was queued."""
        task.state = TaskState.RUNNING
        self.counts["tasks.started"] += 1
        if task.started_at is None:
            task.started_at = self.now()
            self.start_waits_s.append(task.started_at - task.queued_at)
        if task.job.first_started_at is None:
            task.job.first_started_at = task.started_at
        self.notify_changed()

    def record_outcome(self, ended: EndedTask, worker_id: WorkerId) -> None:
        """Ends or requeues a task according to the outcome its worker reports."""
        task = self.tasks.get(ended.task)
        if task is None or task.state in ENDED:
            return
        if task.state in ON_WORKER and task.worker != worker_id:
            logger.info(Event.LATE_OUTCOME_OF_AN_EARLIER_RUN, task=task.id)
            return
        self.placer.observe_run_time(task, ended)
        if ended.succeeded:
            self.end_task(task, TaskState.SUCCEEDED, ended.detail)
        elif not ended.stopped and not task.job.cancelled and not self.may_retry(task):
            self.end_task(task, TaskState.FAILED, ended.detail)
        else:
            self.requeue(task, ended.detail or "stopped or failed")

    def may_retry(self, task: Task) -> bool:
        """Returns whether a failed task may run again."""
        retry = task.spec.retry
        limit = retry.attempts if retry is not None else 1
        return task.spec.repeatable and task.attempts + 1 < limit

    def requeue(self, task: Task, detail: str) -> None:
        """Queues a task that runs on no worker again.

        A task with a recorded intent, which must not run twice, ends as unknown.
        """
        if task.state in ENDED:
            return
        self.placer.dequeue(task)
        self.release_booking(task)
        task.state = TaskState.QUEUED
        task.worker = None
        task.detail = detail
        if self.recovery.suspend(task):
            return
        if task.job.cancelled:
            self.end_task(task, TaskState.CANCELLED, detail)
            return
        if task.id in self.ledger.state.intents:
            self.end_task(task, TaskState.UNKNOWN, detail)
            return
        task.attempts += 1
        self.outcomes.add_requeue(task)
        backoff_s = task.spec.retry.backoff_s if task.spec.retry else 0.0
        task.not_before = self.now() + backoff_s * min(task.attempts, 10)
        self.notify_changed()
        self.placer.queue_task(task)

    def requeue_unstarted(self, task: Task) -> None:
        """Queues a task again whose start no worker has carried out."""
        self.release_booking(task)
        task.worker = None
        task.state = TaskState.QUEUED
        if task.job.cancelled and task.free_to_start:
            self.end_task(task, TaskState.CANCELLED, "cancelled")
            return
        self.placer.queue_task(task)

    def release_booking(self, task: Task) -> None:
        """Releases the capacity that a task has booked."""
        worker = self.workers.get(task.worker) if task.worker else None
        if worker is not None:
            self.placer.release(task, worker.capacity)

    def end_task(self, task: Task, state: TaskState, detail: str) -> None:
        """Ends a task and queues its outcome for the ledger."""
        self.placer.dequeue(task)
        self.release_booking(task)
        self.counts[f"tasks.ended.{state}"] += 1
        task.state = state
        task.detail = detail
        self.outcomes.add_outcome(task, state, detail)
        self.notify_changed()
        self.placer.wake()

    def acknowledge(self, task_id: TaskId) -> None:
        """Acknowledges a durable outcome to the worker, which then discards it."""
        task = self.tasks.get(task_id)
        worker = self.workers.get(task.worker) if task and task.worker else None
        if worker is not None:
            worker.acknowledge(task_id)

    def may_acknowledge(self, task_id: TaskId) -> bool:
        """Returns whether a worker may discard an outcome that it reported.

        If the worker has moved here from another shard, that shard's owner
        acknowledges the outcomes of its own tasks.
        """
        if job_shard(task_job(task_id)) != self.shard:
            return False
        return task_id not in self.outcomes.pending_outcomes

    async def hand_over(self) -> None:
        """Prepares the release of the shard: settles starts and writes outcomes.

        From the start of the hand-over, new jobs and requests are refused here and
        go to the next owner.
        """
        self.handing_over = True
        for worker in self.workers.values():
            worker.withdraw_starts()
        while any(worker.starts for worker in self.workers.values()):
            await anyio.sleep(HAND_OVER_POLL_S)
        await self.outcomes.drain()
