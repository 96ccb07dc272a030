"""Queues a shard's tasks in the placement engine and applies its decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok

from lacewinghold.events import Event
from lacewinghold.invariants import Invariant, require
from lacewinghold.placement.engine import PlacementEngine
from lacewinghold.placement.preemption import RunningWork
from lacewinghold.placement.work import Work
from lacewinghold.schema.generated.jobs import JobKind, TaskState
from lacewinghold.schema.generated.records import EntryKind, LogEntry
from lacewinghold.shards.model import ON_WORKER
from lacewinghold.util.clock import until_tick

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId, TeamId
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.placement.work import Placement
    from lacewinghold.schema.generated.worker import EndedTask
    from lacewinghold.shards.model import Job, Task
    from lacewinghold.shards.owner import ShardOwner

logger = structlog.get_logger(__name__)
IDLE_CHECK_INTERVAL_S = 1.0


class Placer:
    """Places queued tasks after each change of the shard."""

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.engine = PlacementEngine(permits=self.permits)
        self.work_pending = anyio.Event()

    def permits(self, team: TeamId) -> bool:
        """Returns whether the rules allow a team's tasks to start now."""
        return isinstance(self.owner.rules.permit(team), Ok)

    def wake(self) -> None:
        """Requests another placement round."""
        self.work_pending.set()

    async def run(self) -> None:
        """Runs placement rounds until cancelled."""
        while True:
            self.work_pending = anyio.Event()
            await self.place_all()
            due_s = self.engine.queue.next_due() - self.owner.now()
            with anyio.move_on_after(
                max(0.0, min(until_tick(IDLE_CHECK_INTERVAL_S), due_s))
            ):
                await self.work_pending.wait()

    def queue_job(self, job: Job) -> None:
        """Queues those tasks of a job that may start."""
        if job.record.spec.kind is JobKind.ALL_AT_ONCE:
            self.queue_gang(job)
        else:
            for task in job.tasks:
                self.queue_task(task)
        self.wake()

    def queue_task(self, task: Task) -> None:
        """Queues a task unless another owner might still start it."""
        if task.state is not TaskState.QUEUED or not task.free_to_start:
            return
        if task.job.record.parts:
            # Each part is placed in its own shard.
            return
        if task.spec.kind is JobKind.ALL_AT_ONCE:
            self.queue_gang(task.job)
        else:
            self.engine.add(self.make_work(task.id, [task]), self.owner.now())
        self.wake()

    def queue_gang(self, job: Job, without: Task | None = None) -> None:
        """Queues the tasks of an all-at-once job as one unit of work.

        :param without: A task to leave out.
        """
        if job.record.parts:
            return
        self.engine.remove(job.id)
        queued = []
        for task in job.tasks:
            if task is without:
                continue
            if task.state is TaskState.QUEUED and task.free_to_start:
                queued.append(task)
        if queued:
            self.engine.add(self.make_work(job.id, queued), self.owner.now())

    def dequeue(self, task: Task) -> None:
        """Removes a task from the queue."""
        if task.spec.kind is not JobKind.ALL_AT_ONCE:
            self.engine.remove(task.id)
        elif task.state is TaskState.QUEUED and task.free_to_start:
            self.queue_gang(task.job, without=task)

    def make_work(self, work_id: TaskId | JobId, tasks: list[Task]) -> Work:
        """Returns tasks of one job as a unit of work for the engine."""
        first = tasks[0]
        spec = first.spec
        clock = self.owner.clock
        not_before = max(task.not_before for task in tasks)
        if spec.start_after is not None:
            not_before = max(not_before, clock.to_runtime(spec.start_after))
        deadline = None
        if spec.deadline is not None:
            deadline = clock.to_runtime(spec.deadline)
        return Work(
            id=work_id,
            job=first.job.id,
            team=spec.team,
            kind=spec.kind,
            need=spec.resources,
            tasks=[task.id for task in tasks],
            queued_at=first.queued_at,
            run_s=spec.expected_run_s,
            priority=spec.priority,
            deadline=deadline,
            not_before=not_before,
            repeatable=spec.repeatable,
        )

    def release(self, task: Task, worker: WorkerCapacity) -> None:
        """Releases the capacity that a task has booked on a worker."""
        self.engine.release(task.job.id, task.id, worker)

    def observe_run_time(self, task: Task, ended: EndedTask) -> None:
        """Adds the run time of a task that completed to the run-time estimates."""
        if ended.stopped or not ended.succeeded:
            return
        spec = task.spec
        self.engine.run_times.observe(
            spec.team, spec.kind, spec.expected_run_s, ended.run_s
        )

    async def place_all(self) -> None:
        """Runs one round: places every task that fits and preempts where decided."""
        if not self.owner.may_start():
            return
        now = self.owner.now()
        self.engine.begin_round(now)
        intended: list[Task] = []
        while (placement := self.engine.place_next(now)) is not None:
            intended += self.apply_placement(placement)
        for task_id in self.engine.drain_stops():
            self.preempt(self.owner.tasks[task_id])
        if intended:
            await self.write_intents_and_start(intended)

    def preempt(self, task: Task) -> None:
        """Checkpoints and stops a task, which is then queued again."""
        worker = self.owner.workers.get(task.worker) if task.worker else None
        if worker is None or task.state not in ON_WORKER:
            return
        logger.info(Event.STOPPED_FOR_URGENT_WORK, task=task.id, worker=task.worker)
        self.owner.counts["tasks.preempted"] += 1
        worker.checkpoint(task.id)

    def record_running(self, task: Task) -> None:
        """Registers a task that an earlier owner started with the preemptor."""
        spec = task.spec
        running = RunningWork(
            spec.kind, spec.priority, spec.repeatable, self.owner.now()
        )
        if task.id not in self.engine.preemptor.running:
            self.engine.preemptor.record_started(task.id, running)

    def apply_placement(self, placement: Placement) -> list[Task]:
        """Starts the tasks of a placement, or records it as a reservation.

        :returns: Tasks whose intent must be in the ledger before they start.
        """
        if self.owner.part_host.record_granted(placement):
            return []
        return self.start_booked(placement)

    def start_booked(self, placement: Placement) -> list[Task]:
        """Starts tasks on the workers booked for them.

        :returns: Tasks whose intent must be in the ledger before they start,
            because they must not run twice.
        """
        intended = []
        for task_id, worker in zip(
            placement.work.tasks, placement.workers, strict=True
        ):
            task = self.owner.tasks[task_id]
            require(Invariant.ONE_PLACE, task.state is TaskState.QUEUED, task_id)
            task.state = TaskState.STARTING
            task.worker = worker.record.worker
            if placement.work.repeatable:
                self.owner.workers[task.worker].start(task)
            else:
                intended.append(task)
        return intended

    async def write_intents_and_start(self, tasks: list[Task]) -> None:
        """Writes the intents of a round in one append, then starts the tasks."""
        at = self.owner.clock.now()
        entries = [
            LogEntry(kind=EntryKind.TASK_INTENT, at=at, task_id=task.id)
            for task in tasks
        ]
        booked = [task.worker for task in tasks]
        written = await self.owner.ledger.append(entries)
        for task, worker_id in zip(tasks, booked, strict=True):
            if task.state is not TaskState.STARTING or task.worker != worker_id:
                continue
            assert worker_id is not None
            if isinstance(written, Err) or task.job.cancelled:
                if task.id in self.owner.workers[worker_id].capacity.bookings:
                    self.owner.requeue_unstarted(task)
                continue
            intents = self.owner.ledger.state.intents
            require(Invariant.INTENT_FIRST, task.id in intents, task.id)
            self.owner.workers[worker_id].start(task)
