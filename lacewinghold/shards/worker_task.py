"""The owner's task for each worker: fences it, sends commands, reads reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import Incarnation, job_shard, task_job
from lacewinghold.invariants import Invariant, require
from lacewinghold.placement.capacity import WorkerCapacity
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.records import EntryKind
from lacewinghold.schema.generated.worker import (
    Command,
    EndedTask,
    RefusalKind,
    Report,
    RunningTask,
    Start,
    WorkerRecord,
    WorkerState,
)
from lacewinghold.shards.model import ON_WORKER
from lacewinghold.shards.recovery import add_clock_margin
from lacewinghold.util.backoff import Backoff

if TYPE_CHECKING:
    from lacewinghold.ids import Revision, TaskId
    from lacewinghold.shards.model import Task
    from lacewinghold.shards.owner import ShardOwner
    from lacewinghold.workers.base import WorkerLink

logger = structlog.get_logger(__name__)
POLL_WAIT_S = 30.0
# Longest time between the worker's last report and a start that it still accepts.
START_WINDOW_S = 10.0
HOLD_EXTENSION_SHARE = 0.25
RETRY_FIRST_S = 0.2
RETRY_LIMIT_S = 2.0
IGNORED_REPORT_DELAY_S = 0.5


class WorkerTask:
    """The owner's side of one worker.

    :param record: The worker's entry on the instance list.
    :ivar fenced_once: Whether this owner has fenced the worker, even if it restarted
        since.
    :ivar hold_until: End of the worker's hold, on its own clock, in seconds.
    :ivar worker_clock: The worker's clock in its latest report, in seconds.
    :ivar worker_clock_read_at: When that report arrived, on the runtime's clock.
    :ivar starts: Starts that the worker has not answered.
    :ivar unconfirmed: Starts that were sent without a reply and may have run.
    :ivar sending: Starts of the command in flight.
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
        self.fenced_once = False
        self.listed = True
        self.report_number = 0
        self.command_number = 0
        self.hold_until = 0.0
        self.worker_clock = 0.0
        self.worker_clock_read_at = 0.0
        self.starts: dict[TaskId, Start] = {}
        self.unconfirmed: set[TaskId] = set()
        self.sending: set[TaskId] = set()
        self.stops: set[TaskId] = set()
        self.checkpoints: set[TaskId] = set()
        self.acknowledgements: set[TaskId] = set()
        self.work_pending = anyio.Event()
        self.scope = anyio.CancelScope()
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, owner.rng)

    async def run(self) -> None:
        """Serves the worker until it is removed."""
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.poll_reports)
                    await self.send_commands()
        finally:
            with anyio.CancelScope(shield=True):
                await self.link.close()

    def update(self, record: WorkerRecord) -> None:
        """Applies the worker's current entry on the instance list."""
        self.listed = True
        self.record = record
        self.capacity.record = record
        self.refresh_usable()

    def mark_unlisted(self) -> None:
        """Excludes the worker from placement while the instance list lacks it."""
        self.listed = False
        self.refresh_usable()

    def refresh_usable(self) -> None:
        """Updates whether new tasks may be placed on the worker.

        The worker must be recorded in the ledger first, so that a later owner
        queries it even if the instance list lacks it at that time.
        """
        self.capacity.usable = (
            self.fenced
            and self.listed
            and self.record.state is WorkerState.LIVE
            and self.record.worker in self.owner.ledger.state.workers
            and self.record.worker not in self.owner.drained
        )

    def remove(self) -> None:
        """Stops serving a worker on which no task runs any more."""
        self.scope.cancel()
        self.requeue_all("its worker is gone")

    def requeue_all(self, detail: str) -> None:
        """Queues again all tasks booked on this worker, none of which runs any more."""
        self.capacity.usable = False
        unsent = set(self.starts) - self.unconfirmed - self.sending
        self.starts.clear()
        self.unconfirmed.clear()
        self.owner.part_host.requeue_reservations(self.capacity)
        for task_id in list(self.capacity.bookings):
            self.release(task_id)
            task = self.owner.tasks.get(task_id)
            if task is None or task.state not in ON_WORKER:
                continue
            if task_id in unsent:
                self.owner.requeue_unstarted(task)
            else:
                self.owner.requeue(task, detail)

    def release(self, task_id: TaskId) -> None:
        """Releases the capacity that a task has booked on this worker."""
        self.owner.placer.engine.release(task_job(task_id), task_id, self.capacity)

    def withdraw_starts(self) -> None:
        """Queues the tasks again whose starts have not been sent."""
        for task_id in set(self.starts) - self.unconfirmed - self.sending:
            del self.starts[task_id]
            self.owner.requeue_unstarted(self.owner.tasks[task_id])

    def start(self, task: Task) -> None:
        """Queues the start of a task that is booked on this worker.

        Does nothing if the worker was lost since the booking: the task has then
        been queued again.
        """
        if task.state is not TaskState.STARTING or self.incarnation is None:
            return
        if task.id not in self.capacity.bookings:
            return
        spec = task.spec
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
        self.work_pending.set()

    def stop(self, task_id: TaskId) -> None:
        """Queues a stop command."""
        self.stops.add(task_id)
        self.work_pending.set()

    def checkpoint(self, task_id: TaskId) -> None:
        """Queues a checkpoint command, after which the worker stops the task."""
        self.checkpoints.add(task_id)
        self.work_pending.set()

    def acknowledge(self, task_id: TaskId) -> None:
        """Queues an acknowledgement, on which the worker discards an outcome."""
        self.acknowledgements.add(task_id)
        self.work_pending.set()

    async def send_commands(self) -> None:
        """Sends queued commands in batches, one batch at a time."""
        while True:
            if self.fenced and not self.has_work():
                self.work_pending = anyio.Event()
                with anyio.move_on_after(self.extension_due_s()):
                    await self.work_pending.wait()
                if not self.has_work() and self.extension_due_s() > 0:
                    continue
            if not await self.send():
                self.requeue_if_hold_ended()
                await anyio.sleep(self.backoff.next_delay_s())
                continue
            self.backoff.reset()

    def requeue_if_hold_ended(self) -> None:
        """Requeues the tasks of a silent worker once its hold has certainly ended."""
        held_s = max(0.0, self.hold_until - self.worker_clock)
        since = self.worker_clock_read_at
        if not self.fenced_once:
            held_s, since = self.owner.hold_s, self.owner.acquired_at
        if self.owner.now() < since + add_clock_margin(held_s):
            return
        if not self.owner.ownership.held():
            return
        self.requeue_all("its worker was silent past its hold")
        if not self.listed:
            self.owner.remove_worker(self.record.worker)

    def has_work(self) -> bool:
        """Returns whether anything is queued for the worker."""
        return bool(
            self.starts or self.stops or self.checkpoints or self.acknowledgements
        )

    def extension_due_s(self) -> float:
        """Returns the seconds until the worker's hold must be extended."""
        if not self.owner.ownership.held():
            return RETRY_LIMIT_S
        remaining_s = self.hold_until - self.worker_now()
        return max(0.0, remaining_s - self.owner.hold_s * (1 - HOLD_EXTENSION_SHARE))

    def worker_now(self) -> float:
        """Returns an estimate of the worker's clock from its latest report."""
        return self.worker_clock + (self.owner.now() - self.worker_clock_read_at)

    def due_starts(self) -> list[Start]:
        """Returns the starts to send, with their time limits set.

        A start waits until an earlier outcome of its task is acknowledged;
        otherwise a repeated acknowledgement could discard the later outcome. It
        also waits until the rules permit it. A start that was sent before is sent
        again, and the worker reports whether it has run.
        """
        if not self.fenced:
            return []
        starts = []
        for start in list(self.starts.values()):
            if start.task in self.acknowledgements:
                continue
            task = self.owner.tasks[start.task]
            permit = self.owner.rules.permit(task.spec.team)
            if isinstance(permit, Ok):
                self.limit_start(start, task, permit.ok_value)
            elif not start.not_after:
                del self.starts[start.task]
                self.owner.requeue_unstarted(task)
                continue
            starts.append(start)
        return starts

    def limit_start(self, start: Start, task: Task, revision: Revision) -> None:
        """Sets the time limits of a start and the document revision it relies on."""
        rules, team = self.owner.rules, task.spec.team
        window_s = min(START_WINDOW_S, rules.remaining_s(team))
        start.document_revision = revision
        start.hold_until = self.hold_until
        start.not_after = min(self.hold_until, self.worker_clock + window_s)
        require(Invariant.RULE_LEASE, rules.allows(team, revision), start.task)

    async def send(self) -> bool:
        """Sends one command.

        :returns: Whether the worker answered and accepted it.
        """
        if not self.owner.may_command():
            return False
        if self.owner.ownership.held() and self.worker_clock_read_at:
            self.hold_until = self.worker_clock + self.owner.hold_s
        starts = self.due_starts()
        for start in starts:
            require(Invariant.VALID_LEASE, self.owner.may_command(), start.task)
        self.command_number += 1
        command = Command(
            shard=self.owner.shard,
            epoch=self.owner.ownership.epoch,
            incarnation=self.incarnation or Incarnation(0),
            fence=not self.fenced,
            hold_until=self.hold_until if self.fenced else 0.0,
            starts=starts,
            stops=sorted(self.stops),
            checkpoints=sorted(self.checkpoints),
            acknowledge=sorted(self.acknowledgements),
            number=self.command_number,
        )
        self.sending = {start.task for start in starts}
        reply = await self.link.send(command)
        self.sending = set()
        return self.apply_reply(command, reply)

    def apply_reply(self, command: Command, reply: Result[Report, Failure]) -> bool:
        """Applies the answer to a command.

        :returns: Whether the worker accepted the command.
        """
        if isinstance(reply, Err):
            if reply.err_value.kind is ErrorKind.UNREACHABLE:
                self.requeue_unsent(command)
            else:
                self.unconfirmed.update(s.task for s in command.starts)
            return False
        report = reply.ok_value
        if report.accepted:
            self.stops.difference_update(command.stops)
            self.checkpoints.difference_update(command.checkpoints)
            self.acknowledgements.difference_update(command.acknowledge)
        refused = {refusal.task: refusal.reason for refusal in report.refusals}
        for start in command.starts:
            self.apply_start_reply(start, refused.get(start.task), report)
        if not report.accepted:
            logger.info(Event.WORKER_HAS_A_NEWER_OWNER, worker=self.record.worker)
            self.capacity.usable = False
            return False
        self.apply(report, fencing=command.fence)
        return True

    def apply_start_reply(
        self, start: Start, reason: RefusalKind | None, report: Report
    ) -> None:
        """Applies the worker's answer to one start.

        :param reason: Why the worker refused it, or ``None``.
        """
        if start.task not in self.starts:
            return
        was_unconfirmed = start.task in self.unconfirmed
        if was_unconfirmed and not report.accepted:
            return
        del self.starts[start.task]
        self.unconfirmed.discard(start.task)
        if reason in (None, RefusalKind.DUPLICATE):
            return
        task = self.owner.tasks[start.task]
        if task.state is not TaskState.STARTING or task.worker != self.record.worker:
            return
        if was_unconfirmed and reason is RefusalKind.WRONG_INCARNATION:
            self.owner.requeue(task, "its worker restarted")
        else:
            self.owner.requeue_unstarted(task)

    def requeue_unsent(self, command: Command) -> None:
        """Queues the tasks again whose starts did not reach the worker."""
        for start in command.starts:
            if start.task in self.unconfirmed or start.task not in self.starts:
                continue
            del self.starts[start.task]
            task = self.owner.tasks[start.task]
            if task.state is TaskState.STARTING:
                self.owner.requeue_unstarted(task)
        self.capacity.usable = False

    async def poll_reports(self) -> None:
        """Polls the worker for reports until cancelled."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, self.owner.rng)
        while True:
            reply = await self.link.poll(self.report_number, POLL_WAIT_S)
            if isinstance(reply, Err):
                await anyio.sleep(backoff.next_delay_s())
                continue
            backoff.reset()
            if self.incarnation is None:
                self.record_worker_clock(reply.ok_value)
                await anyio.sleep(RETRY_FIRST_S)
                continue
            number = reply.ok_value.number
            self.apply(reply.ok_value, fencing=False)
            if self.report_number != number:
                await anyio.sleep(IGNORED_REPORT_DELAY_S)

    def record_worker_clock(self, report: Report) -> None:
        """Records the worker's clock together with the time of receipt."""
        self.worker_clock = report.clock
        self.worker_clock_read_at = self.owner.now()

    def apply(self, report: Report, *, fencing: bool) -> None:
        """Applies a report unless a later one has been applied.

        :param fencing: Whether it answers a command that fences the worker.
        """
        if report.seen_epoch > self.owner.ownership.epoch:
            # A newer owner is responsible for this worker's reports.
            self.capacity.usable = False
            if self.owner.ownership.held():
                logger.error(
                    Event.STORE_BEHIND_ITS_PAST,
                    worker=self.record.worker,
                    seen=report.seen_epoch,
                    epoch=self.owner.ownership.epoch,
                )
            return
        if self.incarnation is not None and report.incarnation < self.incarnation:
            return
        if fencing and not self.accept_incarnation(report):
            return
        if report.incarnation != self.incarnation:
            self.handle_restart()
            return
        if report.number < self.report_number:
            return
        self.report_number = report.number
        self.record_worker_clock(report)
        for running in report.running:
            self.apply_running(running)
        for ended in report.ended:
            self.apply_ended(ended)
        self.requeue_lost(report)
        self.refresh_usable()
        self.owner.placer.wake()

    def accept_incarnation(self, report: Report) -> bool:
        """Accepts the incarnation of a fenced worker if the lease is valid."""
        if not self.owner.ownership.held():
            return False
        require(
            Invariant.EPOCH_RISES,
            report.seen_epoch == self.owner.ownership.epoch,
            self.record.worker,
        )
        self.incarnation = report.incarnation
        self.fenced = True
        self.fenced_once = True
        self.report_number = 0
        self.record_worker_clock(report)
        if self.record.worker not in self.owner.ledger.state.workers:
            self.owner.outcomes.add_worker_change(EntryKind.WORKER_ADDED, self.record)
        self.work_pending.set()
        self.owner.notify_changed()
        return True

    def apply_running(self, running: RunningTask) -> None:
        """Records a running task, or stops it if it must not run here."""
        task_id = running.task
        self.starts.pop(task_id, None)
        self.unconfirmed.discard(task_id)
        if job_shard(task_job(task_id)) != self.owner.shard:
            self.capacity.adopt(task_id, running.resources)
            return
        if self.owner.adopt(task_id, self.record.worker) is None:
            self.stop(task_id)
        self.owner.placer.engine.adopt(
            task_job(task_id), task_id, running.resources, self.capacity
        )

    def apply_ended(self, ended: EndedTask) -> None:
        """Records an outcome and acknowledges it if it is durable."""
        if ended.task in self.acknowledgements:
            return
        self.starts.pop(ended.task, None)
        self.unconfirmed.discard(ended.task)
        self.release(ended.task)
        self.owner.record_outcome(ended, self.record.worker)
        if self.owner.may_acknowledge(ended.task):
            self.acknowledge(ended.task)

    def requeue_lost(self, report: Report) -> None:
        """Requeues booked tasks that the worker neither runs nor has ended."""
        present = {running.task for running in report.running}
        present.update(ended.task for ended in report.ended)
        for task_id in list(self.capacity.bookings):
            task = self.owner.tasks.get(task_id)
            if task_id in present or task_id in self.starts:
                continue
            if self.owner.part_host.is_reserved(task_id):
                continue
            if task is None or task.worker != self.record.worker:
                self.release(task_id)
            elif task.state in (TaskState.RUNNING, TaskState.STOPPING):
                self.owner.requeue(task, "its worker lost it")

    def handle_restart(self) -> None:
        """Requeues all tasks after a restart, which ended the old incarnation's."""
        self.fenced = False
        self.incarnation = None
        self.stops.clear()
        self.checkpoints.clear()
        self.acknowledgements.clear()
        self.work_pending.set()
        self.requeue_all("its worker restarted")
