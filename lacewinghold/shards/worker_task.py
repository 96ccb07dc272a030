"""One task for each worker: fences it, starts and stops tasks, hears reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Incarnation
from lacewinghold.invariants import Invariant, require
from lacewinghold.placement.capacity import WorkerCapacity
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.worker import (
    Command,
    RefusalKind,
    Report,
    Start,
    WorkerRecord,
    WorkerState,
)
from lacewinghold.shards.model import ON_WORKER
from lacewinghold.util.backoff import Backoff

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.shards.model import Task
    from lacewinghold.shards.owner import ShardOwner
    from lacewinghold.workers.base import WorkerLink

logger = structlog.get_logger(__name__)
POLL_WAIT_S = 10.0
START_WINDOW_S = 10.0
HOLD_EXTENSION_SHARE = 0.25
RETRY_FIRST_S = 0.2
RETRY_LIMIT_S = 2.0


class WorkerTask:
    """The owner's side of one worker.

    :param record: The worker's entry on the instance list.
    """

    def __init__(
        self, owner: ShardOwner, record: WorkerRecord, link: WorkerLink
    ) -> None:
        self.owner = owner
        self.record = record
        self.link = link
        self.capacity = WorkerCapacity(record)
        self.incarnation: Incarnation | None = None
        self.fenced = False
        self.number = 0
        self.hold_until = 0.0
        self.stamp = 0.0
        self.stamped_at = 0.0
        self.starts: dict[TaskId, Start] = {}
        self.stops: set[TaskId] = set()
        self.acknowledgements: set[TaskId] = set()
        self.wanted = anyio.Event()
        self.scope = anyio.CancelScope()
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, owner.rng)

    async def run(self) -> None:
        """Serves the worker until it is removed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.listen)
                await self.command()

    def update(self, record: WorkerRecord) -> None:
        """Follows the worker's entry on the instance list."""
        self.record = record
        self.capacity.record = record
        self.refresh_usable()

    def refresh_usable(self) -> None:
        """Decides whether new tasks may be placed here."""
        self.capacity.usable = (
            self.fenced
            and self.record.state is WorkerState.LIVE
            and self.record.worker not in self.owner.drained
        )

    def remove(self) -> None:
        """Ends the service of a worker that the platform removed."""
        self.scope.cancel()
        self.capacity.usable = False
        for task in self.booked_tasks():
            self.owner.note_lost(task, "its worker is gone")
        self.owner.part_host.worker_lost(self.capacity)

    def start(self, task: Task) -> None:
        """Queues a start; the task is booked here already."""
        spec = task.spec
        assert self.incarnation is not None
        self.starts[task.id] = Start(
            task=task.id,
            resources=spec.resources,
            incarnation=self.incarnation,
            not_after=0.0,
            hold_until=0.0,
            expected_run_s=spec.expected_run_s,
            service=spec.service,
            arguments=spec.arguments,
        )
        self.wanted.set()

    def stop(self, task_id: TaskId) -> None:
        """Queues a stop."""
        self.stops.add(task_id)
        self.wanted.set()

    def acknowledge(self, task_id: TaskId) -> None:
        """Lets the worker forget an outcome."""
        self.acknowledgements.add(task_id)
        self.wanted.set()

    async def command(self) -> None:
        """Sends what is queued, in batches, one at a time."""
        while True:
            if self.fenced and not self.has_work():
                self.wanted = anyio.Event()
                with anyio.move_on_after(self.extension_due_s()):
                    await self.wanted.wait()
                if not self.has_work() and self.extension_due_s() > 0:
                    continue
            if not await self.send():
                await anyio.sleep(self.backoff.next_delay_s())
                continue
            self.backoff.reset()

    def has_work(self) -> bool:
        """Returns whether anything is queued for the worker."""
        return bool(self.starts or self.stops or self.acknowledgements)

    def extension_due_s(self) -> float:
        """Returns the seconds until the worker's hold is to be extended."""
        if not self.owner.ownership.held():
            return RETRY_LIMIT_S
        left_s = self.hold_until - self.worker_now()
        return max(0.0, left_s - self.owner.hold_s * (1 - HOLD_EXTENSION_SHARE))

    def worker_now(self) -> float:
        """Returns the worker's clock as counted from its last stamp."""
        return self.stamp + (self.owner.now() - self.stamped_at)

    async def send(self) -> bool:
        """Sends one command.

        :returns: Whether the worker answered.
        """
        if not self.owner.may_start():
            return False
        if self.owner.ownership.held() and self.stamped_at:
            self.hold_until = self.stamp + self.owner.hold_s
        starts = list(self.starts.values()) if self.fenced else []
        for start in starts:
            start.hold_until = self.hold_until
            start.not_after = min(self.hold_until, self.stamp + START_WINDOW_S)
            require(Invariant.VALID_LEASE, self.owner.may_start(), start.task)
        command = Command(
            shard=self.owner.shard,
            epoch=self.owner.ownership.epoch,
            incarnation=self.incarnation or Incarnation(0),
            fence=not self.fenced,
            hold_until=self.hold_until if self.fenced else 0.0,
            starts=starts,
            stops=sorted(self.stops),
            acknowledge=sorted(self.acknowledgements),
        )
        reply = await self.link.send(command)
        return self.apply_reply(command, reply)

    def apply_reply(self, command: Command, reply: Result[Report, Failure]) -> bool:
        """Applies the answer to a command."""
        if isinstance(reply, Err):
            if reply.err_value.kind is ErrorKind.UNREACHABLE:
                self.give_back(command)
            return False
        report = reply.ok_value
        if not report.accepted:
            logger.info("worker has a newer owner", worker=self.record.worker)
            return False
        self.stops.difference_update(command.stops)
        self.acknowledgements.difference_update(command.acknowledge)
        refused = {refusal.task: refusal.reason for refusal in report.refusals}
        for start in command.starts:
            self.starts.pop(start.task, None)
            reason = refused.get(start.task)
            if reason in (None, RefusalKind.DUPLICATE):
                continue
            task = self.owner.tasks[start.task]
            if task.state is TaskState.STARTING and task.worker == self.record.worker:
                self.owner.release_start(task)
        self.apply(report, fencing=command.fence)
        return True

    def give_back(self, command: Command) -> None:
        """Lets starts go elsewhere that surely did not reach the worker."""
        for start in command.starts:
            if self.starts.pop(start.task, None) is None:
                continue
            task = self.owner.tasks[start.task]
            if task.state is TaskState.STARTING:
                self.owner.release_start(task)
        self.capacity.usable = False

    async def listen(self) -> None:
        """Waits for reports."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, self.owner.rng)
        while True:
            reply = await self.link.poll(self.number, POLL_WAIT_S)
            if isinstance(reply, Err):
                await anyio.sleep(backoff.next_delay_s())
                continue
            backoff.reset()
            if self.incarnation is None:
                self.note_stamp(reply.ok_value)
                await anyio.sleep(RETRY_FIRST_S)
                continue
            self.apply(reply.ok_value, fencing=False)

    def note_stamp(self, report: Report) -> None:
        """Notes the worker's clock, as of the receipt of its report."""
        self.stamp = report.clock
        self.stamped_at = self.owner.now()

    def apply(self, report: Report, *, fencing: bool) -> None:
        """Applies a report, unless a later one was applied already."""
        if fencing and not self.admit(report):
            return
        if report.incarnation != self.incarnation:
            self.restarted()
            return
        if report.number < self.number:
            return
        self.number = report.number
        self.note_stamp(report)
        for running in report.running:
            self.apply_running(running.task, running.resources)
        for ended in report.ended:
            self.owner.note_ended(ended)
            self.capacity.release(ended.task)
            if self.owner.recorded(ended.task):
                self.acknowledge(ended.task)
        self.find_lost(report)
        self.refresh_usable()
        self.owner.placer.wake()

    def admit(self, report: Report) -> bool:
        """Accepts a fenced worker's incarnation, only under a valid lease."""
        if not self.owner.ownership.held():
            return False
        require(
            Invariant.EPOCH_RISES,
            report.seen_epoch == self.owner.ownership.epoch,
            self.record.worker,
        )
        self.incarnation = report.incarnation
        self.fenced = True
        self.number = 0
        self.note_stamp(report)
        self.wanted.set()
        self.owner.note_change()
        return True

    def apply_running(self, task_id: TaskId, resources: object) -> None:
        """Adopts a running task or stops one that should not run."""
        del resources
        task = self.owner.adopt(task_id, self.record.worker)
        if task is None:
            self.stop(task_id)
            return
        self.owner.placer.engine.adopt(
            task.job.id, task_id, task.spec.resources, self.capacity
        )

    def find_lost(self, report: Report) -> None:
        """Finds booked tasks that the worker neither runs nor has ended."""
        present = {running.task for running in report.running}
        present.update(ended.task for ended in report.ended)
        for task in self.booked_tasks():
            if task.id in present or task.id in self.starts:
                continue
            if task.state in (TaskState.RUNNING, TaskState.STOPPING):
                self.owner.note_lost(task, "its worker lost it")

    def restarted(self) -> None:
        """Handles a restart: the tasks of the old incarnation run nowhere."""
        self.fenced = False
        self.incarnation = None
        self.capacity.usable = False
        self.starts.clear()
        self.wanted.set()
        for task in self.booked_tasks():
            self.owner.placer.release(task, self.capacity)
            if task.state in ON_WORKER:
                self.owner.note_lost(task, "its worker restarted")
        self.owner.part_host.worker_lost(self.capacity)

    def booked_tasks(self) -> list[Task]:
        """Returns the tasks booked here; room that is only reserved has none."""
        found = []
        for task_id in self.capacity.bookings:
            task = self.owner.tasks.get(task_id)
            if task is not None:
                found.append(task)
        return found
