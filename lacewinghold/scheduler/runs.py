"""Lifecycle of runs, from their start to the end that a worker reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.scheduler.model import JobState, TaskState
from lacewinghold.scheduler.ports import EndKind, OrderOutcome
from lacewinghold.scheduler.verdicts import judge_attempts
from lacewinghold.schema.generated.cell import TaskEndEntry

if TYPE_CHECKING:
    from lacewinghold.scheduler.driver import WorkerDriver
    from lacewinghold.scheduler.job_table import JobTable
    from lacewinghold.scheduler.model import Run, Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import EndReport

logger = structlog.get_logger(__name__)


class RunLifecycle:
    """Applies the starts, refusals and ends of runs to jobs and workers.

    :param owner: The cell's owner that has started the runs.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner

    @property
    def table(self) -> JobTable:
        """Returns the owner's jobs."""
        return self.owner.table

    def record_start(self, node: WorkerNode, run: Run) -> None:
        """Records that a worker has started a run."""
        run.confirmed = True
        self.owner.crashes.record_start(node, run)
        self.owner.metrics.starts.labels(OrderOutcome.DONE.value).inc()
        logger.info(
            Event.RUN_STARTED,
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            took_s=round(anyio.current_time() - run.began_at, 3),
        )
        job = run.task.step.job
        if not job.started:
            job.started = True
            waited_s = anyio.current_time() - job.accepted_at
            self.owner.metrics.first_start_seconds.observe(waited_s)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING

    def apply_refusal(
        self, driver: WorkerDriver, run: Run, outcome: OrderOutcome
    ) -> None:
        """Releases a run that its worker has certainly not started."""
        node = driver.node
        logger.info(
            Event.START_REFUSED,
            task=run.task.name,
            run=run.number,
            worker=node.id,
            outcome=outcome.value,
        )
        self.owner.metrics.starts.labels(outcome.value).inc()
        if outcome is OrderOutcome.NO_TICKET:
            self.owner.advice_book.drop_ticket(run.task.step, node.id)
        if outcome in (OrderOutcome.NOT_SENT, OrderOutcome.UNHEALTHY):
            node.unanswered_calls += 1
        if outcome is OrderOutcome.NO_ROOM:
            node.record_no_room(anyio.current_time())
        if driver.is_current(run):
            self.release(node, run, EndKind.STOPPED)

    def apply_end(self, node: WorkerNode, end: EndReport) -> None:
        """Applies the end of a run that a worker has reported."""
        self.owner.metrics.runs_ended.labels(end.kind.value).inc()
        logger.info(
            Event.RUN_ENDED,
            task=end.task,
            run=end.run,
            worker=node.id,
            how=end.kind.value,
            number=end.number,
        )
        run = node.runs.get((end.task, end.run))
        task = self.table.find_task(end.task)
        if task is None:
            logger.info(
                Event.END_PASSED_OVER, task=end.task, run=end.run, worker=node.id
            )
            return
        if end.checkpoint and task.step.spec.checkpoints:
            self.save_checkpoint(task, end.checkpoint)
        self.owner.crashes.record_presence(task, end.run)
        if run is not None:
            self.owner.learning.record_end(node, run, end.kind)
            self.release(node, run, end.kind)
        if task.state is TaskState.DONE or task.step.job.ended():
            return
        if end.kind is EndKind.DONE and not task.step.spec.long_running:
            entry = TaskEndEntry(task=end.task, run=end.run, done=True)
            self.owner.log.append_end(entry)
            node.record_success()
            self.table.complete(task)
            self.table.refresh_job(task.step.job)
        elif end.kind is EndKind.FAILED and not task.step.spec.long_running:
            entry = TaskEndEntry(task=end.task, run=end.run, done=False)
            self.owner.log.append_end(entry)
            self.owner.crashes.clear(task, end.run, all_ages=True)
            self.apply_failure(node, task, end.run)

    def apply_failure(self, node: WorkerNode, task: Task, run: int) -> None:
        """Applies a failed run: the task is retried, or its job fails."""
        now = anyio.current_time()
        job = task.step.job
        # A task that has failed on other workers as well is likely at fault itself.
        suspect = not task.failed_workers
        task.failed_workers.add(node.id)
        if suspect and node.record_failure(job.id, now):
            logger.warning(Event.WORKER_QUARANTINED, worker=node.id)
        failures = self.table.count_failure(task, run)
        logger.info(
            Event.RUN_FAILED, task=task.name, run=run, worker=node.id, failures=failures
        )
        verdict = judge_attempts(task.step, [task])
        if verdict is not None:
            self.table.end_job(job, verdict)

    def save_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Saves the newest checkpoint of a task.

        All tasks of an all-at-once step share the checkpoint.
        """
        members = task.step.tasks if task.step.spec.all_at_once else [task]
        for member in members:
            member.checkpoint = checkpoint

    def release(self, node: WorkerNode, run: Run, kind: EndKind) -> None:
        """Frees a run's resources and requeues its task, unless it is done."""
        node.remove(run)
        self.owner.planning.preemptor.forget_run(run)
        if node.is_drained():
            self.owner.fleet.roster_due = True
        self.owner.pace.forget_run(node.id, (run.task.name, run.number))
        task = run.task
        if task.run is not run:
            return
        task.run = None
        step = task.step
        if task.state is TaskState.PLACED:
            task.state = TaskState.WAITING
        step.tasks.retire(task)
        if step.done():
            self.table.drop_occurrence(step)
        if step.spec.all_at_once and kind is not EndKind.DONE:
            self.stop_members(step)
        if step.job.ended() or step.done():
            return
        self.table.open_steps[step.name] = step
        self.owner.planning.wake()

    def stop_members(self, step: Step) -> None:
        """Stops the other runs of an all-at-once step that cannot continue."""
        if step.done():
            return
        for run in step.active_runs():
            self.owner.fleet.stop_run(run)
