"""Jobs, steps, tasks and runs in the memory of the cell's owner."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.durations import StepTimes
    from lacewinghold.scheduler.ports import Queue
    from lacewinghold.scheduler.suspects import WorkerCrash
    from lacewinghold.schema.generated.cell import CellJob, StepSpec

HOPELESS_MULTIPLE = 3.0  # A job later than this many times its objective is worthless.


class JobState(Enum):
    """State of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunState(Enum):
    """State of one run of a task on a worker."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run(Struct, eq=False):
    """One run of a task; it holds resources until it has certainly ended.

    :param began_at: When the start was decided, on the runtime's clock in seconds.
    :param orders_settled: Whether no start or stop order of the run is in flight.
    :param missed_polls: Consecutive polls of the worker that did not list the run.
    :param missed_since: When the first of them was answered, on the runtime's clock.
    :param listed: Whether the worker has listed the run.
    :param start_unanswered: Whether a start order of the run has no answer.
    :param confirmed: Whether the worker has answered that it started the run.
    :param adopted: Whether an earlier owner has started it.
    """

    task: Task
    number: int
    worker: WorkerId
    room: Resources
    began_at: float
    state: RunState = RunState.STARTING
    orders_settled: bool = False
    missed_polls: int = 0
    missed_since: float = 0.0
    listed: bool = False
    start_unanswered: bool = False
    confirmed: bool = False
    adopted: bool = False

    def may_start_later(self) -> bool:
        """Returns whether the worker's next incarnation may still start the run.

        A start order that an incarnation has carried out does not reach the next one.
        """
        return not self.listed or self.start_unanswered


class Task(Struct, eq=False):
    """One task of a step.

    :param failed_runs: Numbers of the failed runs, unless the step is all-at-once.
    :param failed_workers: Workers on which a run failed; other workers are preferred.
    :param crashes: Crashes of workers under its runs, unless the step is all-at-once.
    """

    name: str
    step: Step
    index: int
    state: TaskState = TaskState.WAITING
    run: Run | None = None
    last_run_number: int = 0
    failed_runs: set[int] = field(default_factory=set)
    failed_workers: set[WorkerId] = field(default_factory=set)
    crashes: list[WorkerCrash] = field(default_factory=list)
    checkpoint: str = ""


class Step(Struct, eq=False):
    """One step of a job, or of one of its occurrences.

    :param room: The resources that each task takes.
    :param due_at: When its objective begins to count, on the runtime's clock in
        seconds; an occurrence starts no sooner.
    :param predecessors: Steps that must be done first.
    :param remaining: How many tasks are not done.
    :param failed_runs: Numbers of the failed runs of an all-at-once step.
    :param crashes: Crashes of workers under the runs of an all-at-once step.
    :param times: Known run times of its tasks, ``None`` before the first progress.
    """

    name: str
    job: Job
    number: int
    spec: StepSpec
    tasks: list[Task]
    room: Resources
    due_at: float
    predecessors: list[Step]
    remaining: int = 0
    failed_runs: set[int] = field(default_factory=set)
    crashes: list[WorkerCrash] = field(default_factory=list)
    last_run_number: int = 0
    times: StepTimes | None = None

    def done(self) -> bool:
        """Returns whether all tasks are done."""
        return self.remaining == 0

    def waiting_tasks(self) -> list[Task]:
        """Returns the tasks that have no run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    def has_waiting_tasks(self) -> bool:
        """Returns whether any task has no run."""
        return any(task.state is TaskState.WAITING for task in self.tasks)

    def active_runs(self) -> list[Run]:
        """Returns the runs that still hold resources."""
        return [task.run for task in self.tasks if task.run is not None]


class Job(Struct, eq=False):
    """One accepted job.

    :param objective_s: Time from acceptance to completion that callers expect.
    :param confirmed: Whether it was certainly stored before any later owner's claim.
    :param record_removed: Whether the store has reported the removal of its record.
    :param from_earlier_owner: Whether an earlier owner may have started its tasks.
    :param excess: Whether it was accepted beyond the rate of its organisation.
    """

    record: CellJob
    queue: Queue
    steps: list[Step]
    accepted_at: float
    objective_s: float
    confirmed: bool = False
    record_removed: bool = False
    from_earlier_owner: bool = False
    excess: bool = False
    state: JobState = JobState.QUEUED
    reported_state: JobState = JobState.QUEUED
    started: bool = False

    @property
    def id(self) -> str:
        """Returns the job's id."""
        return self.record.job

    def ended(self) -> bool:
        """Returns whether the job has reached a final state."""
        return self.state not in (JobState.QUEUED, JobState.RUNNING)

    def is_scheduled(self) -> bool:
        """Returns whether the job has occurrences that are due at set times."""
        return self.record.occurrences > 0


def task_room(spec: StepSpec) -> Resources:
    """Returns the resources that one task of a step takes.

    Filler tasks (``fills``) take no CPU: they use what other tasks leave idle.
    """
    cpu = 0 if spec.fills else spec.cpu_millis
    return Resources(cpu, spec.memory_mb, spec.accelerators)


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Returns the name of a task."""
    return f"{job}.{occurrence}.{step}.{index}"


def critical_path_s(steps: list[StepSpec], run_times_s: Sequence[float] = ()) -> float:
    """Returns the estimated duration of the longest chain of steps, in seconds.

    :param run_times_s: Expected run time of each step; callers' estimates if empty.
    """
    finish: list[float] = []
    for number, spec in enumerate(steps):
        run_s = run_times_s[number] if run_times_s else spec.expected_ms / 1000
        ready = max((finish[i] for i in spec.after if i < len(finish)), default=0.0)
        finish.append(ready + run_s)
    return max(finish, default=0.0)


def make_job(
    record: CellJob,
    queue: Queue,
    accepted_at: float,
    wall_clock_offset_s: float,
    run_times_s: Sequence[float] = (),
) -> Job:
    """Returns a job with all its tasks waiting.

    :param accepted_at: The runtime's clock in seconds.
    :param wall_clock_offset_s: Wall time minus the runtime's clock.
    :param run_times_s: Expected run time of each step; callers' estimates if empty.
    """
    path_s = critical_path_s(record.steps, run_times_s)
    objective_s = queue.stretch * path_s + queue.slack_s
    job = Job(record, queue, [], accepted_at, objective_s)
    for occurrence in range(max(1, record.occurrences)):
        due_at = accepted_at
        if record.occurrences:
            due_ms = record.first_due_ms + occurrence * record.interval_ms
            due_at = due_ms / 1000 - wall_clock_offset_s
        job.steps += make_steps(job, occurrence, due_at)
    return job


def make_steps(job: Job, occurrence: int, due_at: float) -> list[Step]:
    """Returns the steps of one occurrence."""
    steps: list[Step] = []
    for number, spec in enumerate(job.record.steps):
        step = Step(
            name=f"{job.id}.{occurrence}.{number}",
            job=job,
            number=number,
            spec=spec,
            tasks=[],
            room=task_room(spec),
            due_at=due_at,
            predecessors=[steps[earlier] for earlier in spec.after],
            remaining=spec.tasks,
        )
        for index in range(spec.tasks):
            name = task_name(job.id, occurrence, number, index)
            step.tasks.append(Task(name=name, step=step, index=index))
        steps.append(step)
    return steps


def is_ready(step: Step, now: float) -> bool:
    """Returns whether a step is due and all steps before it are done."""
    if step.job.is_scheduled() and now < step.due_at:
        return False
    return all(earlier.done() for earlier in step.predecessors)
