"""The owner of a shard: accepts its jobs, places its tasks, sees them through."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import JobId, task_job
from lacewinghold.invariants import Invariant, require
from lacewinghold.placement.capacity import fits
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.records import EntryKind, JobRecord, LogEntry
from lacewinghold.shards.model import ENDED, ON_WORKER, Job, Task, make_job
from lacewinghold.shards.part_host import PartHost
from lacewinghold.shards.parts import Parts
from lacewinghold.shards.placer import Placer
from lacewinghold.shards.worker_task import WorkerTask
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewinghold.coordination.ledger import Ledger
    from lacewinghold.coordination.ownership import ShardOwnership
    from lacewinghold.ids import ShardId, TaskId, WorkerId
    from lacewinghold.schema.generated.jobs import JobSpec
    from lacewinghold.schema.generated.records import PartRecord
    from lacewinghold.schema.generated.worker import EndedTask, WorkerRecord
    from lacewinghold.shards.part_calls import PartCalls
    from lacewinghold.util.clock import WallClock
    from lacewinghold.workers.base import WorkerLinks

logger = structlog.get_logger(__name__)
RECORD_RETRY_S = 1.0
LOAD_RETRY_S = 0.2
CLOCK_DRIFT = 0.001
HOLD_MARGIN_S = 0.5


class ShardOwner:
    """Owns one shard under one epoch.

    :param ownership: The claim, taken already.
    :param ledger: The shard's ledger under the claim's epoch.
    :param hold_s: How long workers keep tasks of an epoch whose owner is cut off.
    :param holder_gone: Tells whether the platform removed an entry instance.
    """

    def __init__(
        self,
        ownership: ShardOwnership,
        ledger: Ledger,
        links: WorkerLinks,
        clock: WallClock,
        hold_s: float,
        holder_gone: Callable[[], bool],
        rng: random.Random,
        part_calls: PartCalls,
    ) -> None:
        self.ownership = ownership
        self.ledger = ledger
        self.links = links
        self.clock = clock
        self.hold_s = hold_s
        self.holder_gone = holder_gone
        self.rng = rng
        self.jobs: dict[JobId, Job] = {}
        self.tasks: dict[TaskId, Task] = {}
        self.workers: dict[WorkerId, WorkerTask] = {}
        self.drained: frozenset[WorkerId] = frozenset()
        self.placer = Placer(self)
        self.part_host = PartHost(self)
        self.parts = Parts(self, part_calls)
        self.waits: list[float] = []
        self.unrecorded: dict[TaskId, LogEntry] = {}
        self.ready = anyio.Event()
        self.changed = anyio.Event()
        self.taken_at = anyio.current_time()
        self.stopped = False

    @property
    def shard(self) -> ShardId:
        """Returns the shard's id."""
        return self.ownership.shard

    async def run(self, workers: list[WorkerRecord]) -> None:
        """Recovers the shard and serves it until cancelled or superseded."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ledger.run)
            while isinstance(await self.ledger.load(), Err):
                await anyio.sleep(LOAD_RETRY_S)
            self.rebuild()
            self.tasks_group = tasks
            self.update_workers(workers)
            tasks.start_soon(self.prove_free)
            tasks.start_soon(self.placer.run)
            tasks.start_soon(self.record_outcomes)
            tasks.start_soon(self.part_host.run)
            self.parts.resume()
            self.ready.set()
            await self.wait_until_superseded()
            self.stopped = True
            tasks.cancel_scope.cancel()

    async def wait_until_superseded(self) -> None:
        """Returns once the epoch surely no longer stands."""
        lease = self.ownership.lease
        while self.ledger.closed is None:
            await anyio.sleep(lease.settings.renew_s)
            if not lease.valid() or self.ownership.generation == lease.generation:
                continue
            confirmed = await self.ownership.confirm()
            if isinstance(confirmed, Ok) and not confirmed.ok_value:
                return

    def rebuild(self) -> None:
        """Makes jobs and tasks from the ledger; none is proved free yet."""
        state = self.ledger.state
        for record in state.jobs.values():
            job = make_job(record, self.runtime_time(record.accepted_at))
            job.cancelled = record.job in state.cancelled
            self.jobs[job.id] = job
            for task in job.tasks:
                self.tasks[task.id] = task
                task.proved = False
                task.attempts = state.attempts.get(task.id, 0)
                outcome = state.outcomes.get(task.id)
                if outcome is None:
                    continue
                task.state = outcome.state
                task.detail = outcome.detail

    def runtime_time(self, wall: float) -> float:
        """Returns the runtime's clock at a wall time in seconds since 1970."""
        return wall - self.clock.base

    def update_workers(self, records: list[WorkerRecord]) -> None:
        """Follows the instance list: new workers, leaving ones, gone ones."""
        listed = {record.worker: record for record in records}
        for worker_id, record in listed.items():
            known = self.workers.get(worker_id)
            if known is None:
                worker = WorkerTask(self, record, self.links.open(record))
                self.workers[worker_id] = worker
                self.placer.engine.index.add(worker.capacity)
                self.tasks_group.start_soon(worker.run)
                continue
            known.update(record)
        for worker_id in set(self.workers) - set(listed):
            worker = self.workers.pop(worker_id)
            worker.remove()
            self.placer.engine.index.remove(worker.capacity)
        self.placer.wake()

    def set_drained(self, drained: frozenset[WorkerId]) -> None:
        """Follows which workers operators have drained."""
        self.drained = drained
        for worker in self.workers.values():
            worker.refresh_usable()
        self.placer.wake()

    async def prove_free(self) -> None:
        """Waits until no earlier holder can start a task, then queues the rest."""
        hold_s = self.hold_s * (1 + 2 * CLOCK_DRIFT) + HOLD_MARGIN_S
        with anyio.move_on_after(max(0.0, self.taken_at + hold_s - self.now())):
            while not self.all_fenced() and not self.holder_let_go():
                changed = self.changed
                with anyio.move_on_after(1.0):
                    await changed.wait()
        for task in list(self.tasks.values()):
            if task.proved:
                continue
            task.proved = True
            if task.state is not TaskState.QUEUED or task.job.record.parts:
                continue
            if task.id in self.ledger.state.intents:
                self.end_task(task, TaskState.UNKNOWN, "its start may have run")
            elif task.job.cancelled:
                self.end_task(task, TaskState.CANCELLED, "cancelled")
        for job in list(self.jobs.values()):
            self.placer.queue_job(job)
        logger.info("shard recovered", shard=self.shard, tasks=len(self.tasks))
        self.placer.wake()

    def all_fenced(self) -> bool:
        """Returns whether every worker of the shard has refused earlier epochs."""
        return all(worker.fenced for worker in self.workers.values())

    def holder_let_go(self) -> bool:
        """Returns whether the last holder cannot start anything any more."""
        previous = self.ownership.previous
        if previous is None or previous.released:
            return self.all_reached()
        return self.holder_gone() and self.all_reached()

    def all_reached(self) -> bool:
        """Returns whether every worker told what runs on it."""
        return self.all_fenced()

    def now(self) -> float:
        """Returns the runtime's clock in seconds."""
        return anyio.current_time()

    def note_change(self) -> None:
        """Wakes those who wait for a change of the shard."""
        self.changed.set()
        self.changed = anyio.Event()

    def may_start(self) -> bool:
        """Returns whether starts are allowed now: under the lease or its hold."""
        if self.stopped or self.ledger.closed is not None:
            return False
        if self.ownership.held():
            return True
        hold_end = self.ownership.lease.expires_at + self.hold_s * (1 - CLOCK_DRIFT)
        return self.now() < hold_end

    async def accept(
        self, spec: JobSpec, digest: str, parts: list[PartRecord] | None = None
    ) -> Result[JobId, Failure]:
        """Accepts a job once its record is durable.

        :param digest: Idempotency digest, or the empty string.
        :param parts: How its tasks are divided over shards, if they are.
        :returns: The job; an earlier one if the digest is known. ``CANNOT_FIT``
            if no worker of the shard could ever run a task.
        """
        held = self.ownership.check()
        if isinstance(held, Err):
            return Err(held.err_value)
        if not any(
            fits(spec.resources, w.record.capacity) for w in self.workers.values()
        ):
            detail = f"no worker of {self.shard} is large enough"
            return Err(Failure(ErrorKind.CANNOT_FIT, detail, "$.resources"))
        job_id = JobId(f"{self.shard}~{secrets.token_hex(8)}")
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
        written = await self.ledger.append([entry], digest, job_id, fingerprint)
        if isinstance(written, Err):
            return Err(written.err_value)
        if written.ok_value != job_id:
            assert written.ok_value is not None
            return Ok(written.ok_value)
        self.enqueue(make_job(record, self.now()))
        return Ok(job_id)

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
        """Cancels a job; its running tasks are stopped.

        :param actor: Who cancels it, for the audit trail.
        :returns: The job; it is ``cancel_pending`` until every task has ended.
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
        written = await self.ledger.append([entry])
        if isinstance(written, Err):
            return Err(written.err_value)
        job.cancelled = True
        if job.record.parts:
            self.note_change()
            return Ok(job)
        for task in job.tasks:
            if task.state is TaskState.QUEUED and task.proved:
                self.end_task(task, TaskState.CANCELLED, "cancelled")
            elif task.state in ON_WORKER:
                self.stop_task(task)
        return Ok(job)

    def stop_task(self, task: Task) -> None:
        """Asks the task's worker to stop it."""
        worker = self.workers.get(task.worker) if task.worker else None
        if worker is None:
            return
        if task.state is TaskState.RUNNING:
            task.state = TaskState.STOPPING
        worker.stop(task.id)

    def adopt(self, task_id: TaskId, worker_id: WorkerId) -> Task | None:
        """Takes over a task that a worker reports as running.

        :returns: The task, or ``None`` if it should not run there.
        """
        task = self.tasks.get(task_id)
        if task is None or task.state in ENDED:
            return None
        if task.worker is not None and task.worker != worker_id:
            require(Invariant.ONE_PLACE, task.state not in ON_WORKER, task_id)
        task.proved = True
        task.worker = worker_id
        if task.state in (TaskState.QUEUED, TaskState.STARTING):
            was_queued = task.state is TaskState.QUEUED
            self.note_started(task)
            if was_queued:
                self.placer.drop(task)
        if task.job.cancelled:
            self.stop_task(task)
        return task

    def note_started(self, task: Task) -> None:
        """Notes that a task runs."""
        task.state = TaskState.RUNNING
        if task.started_at is None:
            task.started_at = self.now()
            self.waits.append(task.started_at - task.queued_at)
        if task.job.first_started_at is None:
            task.job.first_started_at = task.started_at
        self.note_change()

    def note_ended(self, ended: EndedTask) -> None:
        """Takes a task's outcome from its worker."""
        task = self.tasks.get(ended.task)
        if task is None or task.state in ENDED:
            return
        task.proved = True
        self.placer.note_ended(task, ended)
        if task.job.cancelled:
            self.end_task(task, TaskState.CANCELLED, "cancelled")
        elif ended.succeeded:
            self.end_task(task, TaskState.SUCCEEDED, ended.detail)
        elif ended.stopped or self.may_retry(task):
            self.requeue(task, ended.detail or "stopped or failed")
        else:
            self.end_task(task, TaskState.FAILED, ended.detail)

    def may_retry(self, task: Task) -> bool:
        """Returns whether a failed task may run again."""
        retry = task.spec.retry
        limit = retry.attempts if retry is not None else 1
        return task.spec.repeatable and task.attempts + 1 < limit

    def note_lost(self, task: Task, detail: str) -> None:
        """Takes note that a task surely runs nowhere, without an outcome."""
        if task.state in ENDED:
            return
        if task.job.cancelled:
            self.end_task(task, TaskState.CANCELLED, detail)
        elif task.id in self.ledger.state.intents:
            self.end_task(task, TaskState.UNKNOWN, detail)
        else:
            self.requeue(task, detail)

    def requeue(self, task: Task, detail: str) -> None:
        """Queues a task again, if it may be repeated."""
        if not task.spec.repeatable and task.id in self.ledger.state.intents:
            self.end_task(task, TaskState.UNKNOWN, detail)
            return
        self.free_worker(task)
        task.state = TaskState.QUEUED
        task.worker = None
        task.attempts += 1
        task.detail = detail
        backoff_s = task.spec.retry.backoff_s if task.spec.retry else 0.0
        task.not_before = self.now() + backoff_s * min(task.attempts, 10)
        self.note_change()
        self.placer.queue_task(task)

    def release_start(self, task: Task) -> None:
        """Queues a task again whose start surely did not run."""
        self.free_worker(task)
        task.worker = None
        if task.job.cancelled:
            self.end_task(task, TaskState.CANCELLED, "cancelled")
            return
        task.state = TaskState.QUEUED
        self.placer.queue_task(task)

    def free_worker(self, task: Task) -> None:
        """Releases what the task had booked."""
        worker = self.workers.get(task.worker) if task.worker else None
        if worker is not None:
            self.placer.release(task, worker.capacity)

    def end_task(self, task: Task, state: TaskState, detail: str) -> None:
        """Ends a task; its outcome is written to the ledger next."""
        self.free_worker(task)
        was_queued = task.state is TaskState.QUEUED
        task.state = state
        task.detail = detail
        if was_queued:
            self.placer.drop(task)
        self.unrecorded[task.id] = LogEntry(
            kind=EntryKind.TASK_ENDED,
            at=self.clock.now(),
            task_id=task.id,
            state=state,
            detail=detail,
        )
        self.note_change()
        self.placer.wake()

    async def record_outcomes(self) -> None:
        """Writes outcomes to the ledger, then lets workers forget them."""
        while True:
            if not self.unrecorded:
                changed = self.changed
                await changed.wait()
                continue
            entries = list(self.unrecorded.values())[:1000]
            written = await self.ledger.append(entries)
            if isinstance(written, Err):
                await anyio.sleep(RECORD_RETRY_S)
                continue
            for entry in entries:
                self.unrecorded.pop(entry.task_id, None)
                self.acknowledge(entry.task_id)

    def acknowledge(self, task_id: TaskId) -> None:
        """Lets the worker forget an outcome that is durable."""
        task = self.tasks[task_id]
        worker = self.workers.get(task.worker) if task.worker else None
        if worker is not None:
            worker.acknowledge(task_id)

    def recorded(self, task_id: TaskId) -> bool:
        """Returns whether a task's outcome is durable, or nobody waits for it."""
        if task_job(task_id) not in self.jobs:
            return True
        return task_id in self.ledger.state.outcomes
