"""Jobs and tasks in the memory of a shard's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.ids import make_task_id
from lacewinghold.schema.generated.jobs import (
    JobSpec,
    JobState,
    JobView,
    TaskState,
    TaskView,
)

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId, WorkerId
    from lacewinghold.schema.generated.records import JobRecord

ENDED = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED, TaskState.UNKNOWN}
)
RESULTS = frozenset({TaskState.SUCCEEDED, TaskState.FAILED})
ON_WORKER = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING})


class Task(Struct):
    """One task of a job.

    :param free_to_start: False while another owner might start the task: one of an
        earlier epoch, or a newer one that this owner has not learned of.
    :param durable: False while the task's outcome is not yet in the ledger.
    """

    id: TaskId
    job: Job
    queued_at: float
    state: TaskState = TaskState.QUEUED
    worker: WorkerId | None = None
    attempts: int = 0
    not_before: float = 0.0
    started_at: float | None = None
    detail: str = ""
    free_to_start: bool = True
    durable: bool = True

    @property
    def shown_state(self) -> TaskState:
        """Returns the state that callers see.

        A result that is not durable could be lost with its worker, so the task is
        shown as running until then.
        """
        if self.state in RESULTS and not self.durable:
            return TaskState.RUNNING
        return self.state

    @property
    def spec(self) -> JobSpec:
        """Returns the specification of the task's job."""
        return self.job.record.spec

    def to_view(self) -> TaskView:
        """Returns the task as its team sees it."""
        return TaskView(
            task=self.id,
            state=self.shown_state,
            worker=self.worker,
            attempts=self.attempts,
            detail=self.detail,
        )


class Job(Struct):
    """One accepted job."""

    record: JobRecord
    tasks: list[Task]
    cancelled: bool = False
    reason: str = ""
    first_started_at: float | None = None

    @property
    def id(self) -> JobId:
        """Returns the job's id."""
        return self.record.job

    def ended(self) -> bool:
        """Returns whether all tasks have ended."""
        return all(task.state in ENDED for task in self.tasks)

    def state(self) -> JobState:
        """Returns the job's state as callers see it, derived from its tasks."""
        states = {task.shown_state for task in self.tasks}
        if not states <= ENDED:
            if self.cancelled:
                return JobState.CANCEL_PENDING
            if self.reason:
                return JobState.PARKED
            if states & (ON_WORKER | ENDED):
                return JobState.RUNNING
            return JobState.ACCEPTED
        for task_state, job_state in (
            (TaskState.UNKNOWN, JobState.UNKNOWN),
            (TaskState.FAILED, JobState.FAILED),
            (TaskState.CANCELLED, JobState.CANCELLED),
        ):
            if task_state in states:
                return job_state
        return JobState.SUCCEEDED

    def to_view(self) -> JobView:
        """Returns the job as its team sees it."""
        waited_s = None
        if self.first_started_at is not None:
            waited_s = self.first_started_at - self.tasks[0].queued_at
        spec = self.record.spec
        return JobView(
            job=self.id,
            team=spec.team,
            name=spec.name,
            kind=spec.kind,
            state=self.state(),
            accepted_at=self.record.accepted_at,
            waited_s=waited_s,
            deadline=spec.deadline,
            tasks=[task.to_view() for task in self.tasks],
            reason=self.reason,
        )


def make_job(record: JobRecord, queued_at: float) -> Job:
    """Returns a job with all its tasks, or one task for each part, queued.

    :param queued_at: The runtime's clock in seconds.
    """
    job = Job(record=record, tasks=[])
    for index in range(len(record.parts) or record.spec.tasks):
        task_id = make_task_id(record.job, index)
        job.tasks.append(Task(id=task_id, job=job, queued_at=queued_at))
    return job
