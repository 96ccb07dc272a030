"""Jobs, steps, tasks and runs as the owner of the cell holds them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.ports import Queue
    from lacewinghold.schema.generated.cell import CellJob, StepSpec

HOPELESS_MULTIPLE = 3.0  # A job is worth nothing after three times its objective.


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
    """One run of a task; it takes room until it surely has ended.

    :param seen: Whether the worker has confirmed the start.
    :param began_at: When the start was decided, on the runtime's clock.
    :param settled: Whether no order of this run is under way any more.
    """

    task: Task
    number: int
    worker: WorkerId
    room: Resources
    began_at: float
    state: RunState = RunState.STARTING
    seen: bool = False
    settled: bool = False
    missed_looks: int = 0


class Task(Struct, eq=False):
    """One task of a step."""

    name: str
    step: Step
    index: int
    state: TaskState = TaskState.WAITING
    run: Run | None = None
    last_run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    failed_on: set[WorkerId] = field(default_factory=set)
    checkpoint: str = ""


class Step(Struct, eq=False):
    """One step of a job, or of one of its occurrences."""

    name: str
    job: Job
    number: int
    spec: StepSpec
    tasks: list[Task]
    room: Resources
    remaining: int = 0
    failed_runs: set[int] = field(default_factory=set)
    last_run: int = 0

    def done(self) -> bool:
        """Returns whether all tasks are done."""
        return self.remaining == 0

    def waiting(self) -> list[Task]:
        """Returns the tasks that have no run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    def runs(self) -> list[Run]:
        """Returns the runs that still take room."""
        return [task.run for task in self.tasks if task.run is not None]


class Job(Struct, eq=False):
    """One accepted job.

    :param objective_s: Seconds from acceptance to completion that callers expect.
    """

    record: CellJob
    queue: Queue
    steps: list[Step]
    accepted_at: float
    objective_s: float
    state: JobState = JobState.QUEUED
    reported: JobState = JobState.QUEUED
    cancelled: bool = False
    started: bool = False

    @property
    def id(self) -> str:
        """Returns the job's id."""
        return self.record.job

    def ended(self) -> bool:
        """Returns whether no task of the job is to be started any more."""
        return self.state not in (JobState.QUEUED, JobState.RUNNING)

    def due_at(self) -> float:
        """Returns when the job should be complete, on the runtime's clock."""
        return self.accepted_at + self.objective_s


def room_of(spec: StepSpec) -> Resources:
    """Returns the room that one task of a step takes."""
    cpu = 0 if spec.fills else spec.cpu_millis
    return Resources(cpu, spec.memory_mb, spec.accelerators)


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Returns the name of a task."""
    return f"{job}.{occurrence}.{step}.{index}"


def chain_s(steps: list[StepSpec]) -> float:
    """Returns the estimated seconds of the longest chain of steps."""
    finish: list[float] = []
    for spec in steps:
        ready = max((finish[i] for i in spec.after if i < len(finish)), default=0.0)
        finish.append(ready + spec.expected_ms / 1000)
    return max(finish, default=0.0)


def make_job(record: CellJob, queue: Queue, accepted_at: float) -> Job:
    """Returns a job with all its tasks waiting.

    :param accepted_at: The runtime's clock in seconds.
    """
    objective_s = queue.stretch * chain_s(record.steps) + queue.slack_s
    job = Job(record, queue, [], accepted_at, objective_s)
    for number, spec in enumerate(record.steps):
        step = Step(
            name=f"{record.job}.0.{number}",
            job=job,
            number=number,
            spec=spec,
            tasks=[],
            room=room_of(spec),
            remaining=spec.tasks,
        )
        for index in range(spec.tasks):
            name = task_name(record.job, 0, number, index)
            step.tasks.append(Task(name=name, step=step, index=index))
        job.steps.append(step)
    return job


def is_ready(step: Step) -> bool:
    """Returns whether all steps before a step are done."""
    return all(step.job.steps[number].done() for number in step.spec.after)
