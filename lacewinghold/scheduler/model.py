"""Jobs, steps, tasks and runs in the memory of the cell's owner."""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING, overload

import msgspec
from msgspec import UNSET, Struct, field

from lacewinghold.scheduler.crash_evidence import CrashHistory
from lacewinghold.scheduler.ports import Resources
from lacewinghold.scheduler.presence import Presence

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.crash_evidence import WorkerCrash
    from lacewinghold.scheduler.durations import StepTimes
    from lacewinghold.scheduler.ports import Queue
    from lacewinghold.schema.generated.cell import CellJob, StepSpec

MAX_WAITING_STEPS = 64  # Of one scheduled job, beyond those of one occurrence.
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
    :param stop_ordered_at: When its first stop was ordered.
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
    stop_ordered_at: float = math.inf

    def may_start_later(self) -> bool:
        """Returns whether the worker's next incarnation may still start the run.

        A start order that an incarnation has carried out does not reach the next one.
        """
        return not self.listed or self.start_unanswered


class Task(Struct, eq=False):
    """One task of a step.

    :param failed_runs: Numbers of the failed runs, unless the step is all-at-once.
    :param failed_workers: Workers on which a run failed; other workers are preferred.
    :param crash_history: Crashes of workers under its own runs, ``None`` without any.
    """

    name: str
    step: Step
    index: int
    state: TaskState = TaskState.WAITING
    run: Run | None = None
    last_run_number: int = 0
    failed_runs: set[int] = field(default_factory=set)
    failed_workers: set[WorkerId] = field(default_factory=set)
    crash_history: CrashHistory | None = None
    checkpoint: str = ""

    @property
    def crashes(self) -> list[WorkerCrash]:
        """Returns the recent crashes under its runs, which make it a suspect."""
        return [] if self.crash_history is None else self.crash_history.recent

    def add_crash(self, crash: WorkerCrash) -> bool:
        """Adds a crash under one of its runs.

        :returns: Whether it is new.
        """
        if self.crash_history is None:
            self.crash_history = CrashHistory()
        return self.crash_history.add(crash)


class TaskList(Sequence[Task]):
    """The tasks of a step, as objects only while they differ from the others.

    A task that waits and has no history has no object, nor one that is done and has no
    run. An object that has been returned stays until its task is retired.

    :ivar size: Number of tasks.
    :ivar known: The tasks with an object, by index.
    :ivar retired: The tasks that are done and have no object, as bits.
    :ivar first: All tasks before this index are retired.
    """

    __slots__ = ("first", "known", "retired", "size", "step")

    def __init__(self, step: Step) -> None:
        self.step = step
        self.size = step.spec.tasks
        self.known: dict[int, Task] = {}
        self.retired = 0
        self.first = 0

    def __len__(self) -> int:
        return self.size

    @overload
    def __getitem__(self, index: int) -> Task: ...

    @overload
    def __getitem__(self, index: slice) -> list[Task]: ...

    def __getitem__(self, index: int | slice) -> Task | list[Task]:
        if isinstance(index, slice):
            return [self[at] for at in range(self.size)[index]]
        index = range(self.size)[index]
        task = self.known.get(index)
        if task is not None:
            return task
        task = Task(name=f"{self.step.name}.{index}", step=self.step, index=index)
        if self.is_retired(index):
            task.state = TaskState.DONE
        else:
            self.known[index] = task
        return task

    def is_retired(self, index: int) -> bool:
        """Returns whether a task is done and has no object."""
        return bool(self.retired >> index & 1)

    def retire(self, task: Task) -> None:
        """Drops the object of a task, if it is done and has no run."""
        if task.state is not TaskState.DONE or task.run is not None:
            return
        self.known.pop(task.index, None)
        self.retired |= 1 << task.index
        while self.is_retired(self.first):
            self.first += 1

    def retire_all(self) -> None:
        """Drops all objects; all tasks are done and have no runs."""
        self.known.clear()
        self.retired = (1 << self.size) - 1
        self.first = self.size

    def objects(self) -> list[Task]:
        """Returns the tasks with an object, in the order of their indices."""
        return [self.known[index] for index in sorted(self.known)]

    def waiting(self) -> Iterator[Task]:
        """Yields the tasks that have no run, in the order of their indices."""
        for index in range(self.first, self.size):
            if self.is_retired(index):
                continue
            task = self[index]
            if task.state is TaskState.WAITING:
                yield task

    def waiting_count(self) -> int:
        """Returns how many tasks have no run."""
        count = self.size - self.retired.bit_count()
        for task in self.known.values():
            count -= task.state is not TaskState.WAITING
        return count

    def has_history(self) -> bool:
        """Returns whether a waiting task avoids workers, or is avoided by them."""
        return any(
            task.state is TaskState.WAITING and (task.failed_workers or task.crashes)
            for task in self.known.values()
        )


class Step(Struct, eq=False):
    """One step of a job, or of one of its occurrences.

    :param room: The resources that each task takes.
    :param due_at: When its objective begins to count, on the runtime's clock in
        seconds; an occurrence starts no sooner.
    :param predecessors: Steps that must be done first.
    :param remaining: How many tasks are not done.
    :param failed_runs: Numbers of the failed runs of an all-at-once step.
    :param presence: Which tasks have been started, ``None`` unless all at once.
    :param times: Known run times of its tasks, ``None`` before the first progress.
    """

    name: str
    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    room: Resources
    due_at: float
    predecessors: list[Step]
    remaining: int = 0
    failed_runs: frozenset[int] = frozenset()
    presence: Presence | None = None
    last_run_number: int = 0
    times: StepTimes | None = None
    tasks: TaskList = UNSET  # type: ignore[assignment]  # Set on construction.

    def __post_init__(self) -> None:
        self.tasks = TaskList(self)
        if self.spec.all_at_once:
            self.presence = Presence(self.spec.tasks)

    def done(self) -> bool:
        """Returns whether all tasks are done."""
        return self.remaining == 0

    def waiting_count(self) -> int:
        """Returns how many tasks have no run."""
        return self.tasks.waiting_count()

    def waiting_tasks(self, limit: int | None = None) -> list[Task]:
        """Returns the first tasks that have no run, in the order of their indices."""
        return list(islice(self.tasks.waiting(), limit))

    def has_waiting_tasks(self) -> bool:
        """Returns whether any task has no run."""
        return self.waiting_count() > 0

    def active_runs(self) -> list[Run]:
        """Returns the runs that still hold resources."""
        return [task.run for task in self.tasks.objects() if task.run is not None]


class Job(Struct, eq=False):
    """One accepted job.

    :param steps: Steps of the occurrences that have been built and not dropped.
    :param objective_s: Time from acceptance to completion that callers expect.
    :param first_due_at: When its first occurrence is due, on the runtime's clock.
    :param confirmed: Whether it was certainly stored before any later owner's claim.
    :param record_removed: Whether the store has reported the removal of its record.
    :param from_earlier_owner: Whether an earlier owner may have started its tasks.
    :param excess: Whether it was accepted beyond the rate of its organisation.
    :param built: The occurrences in ``steps``, by number.
    :param dropped: The occurrences that are done and have no steps any more, as bits.
    :param next_occurrence: All occurrences before this one have been built.
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
    first_due_at: float = 0.0
    built: dict[int, list[Step]] = field(default_factory=dict)
    dropped: int = 0
    next_occurrence: int = 0

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

    def occurrence_count(self) -> int:
        """Returns how often the steps run."""
        return max(1, self.record.occurrences)

    def due_at(self, occurrence: int) -> float:
        """Returns when an occurrence is due, on the runtime's clock in seconds."""
        return self.first_due_at + occurrence * self.record.interval_ms / 1000

    def next_due_at(self) -> float:
        """Returns when the next occurrence to build is due, infinite without one."""
        if self.next_occurrence >= self.occurrence_count():
            return math.inf
        return self.due_at(self.next_occurrence)

    def is_dropped(self, occurrence: int) -> bool:
        """Returns whether an occurrence is done and has no steps any more."""
        return bool(self.dropped >> occurrence & 1)

    def build_occurrence(self, occurrence: int) -> list[Step]:
        """Builds the steps of an occurrence, unless that has been done before.

        :returns: The new steps.
        """
        known = occurrence in self.built or self.is_dropped(occurrence)
        if known or occurrence >= self.occurrence_count():
            return []
        steps = make_steps(self, occurrence, self.due_at(occurrence))
        self.built[occurrence] = steps
        self.steps += steps
        return steps

    def build_due(self, now: float) -> list[Step]:
        """Builds the occurrences that are due, and always one that is not done.

        While many of them wait, no further ones are built.

        :returns: The new steps.
        """
        found: list[Step] = []
        waiting = open_count = 0
        for steps in self.built.values():
            open_count += not all(step.done() for step in steps)
            waiting += any(step.has_waiting_tasks() for step in steps)
        while self.next_occurrence < self.occurrence_count():
            due = self.next_due_at() <= now
            full = waiting * len(self.record.steps) >= MAX_WAITING_STEPS
            if open_count and (not due or full):
                break
            steps = self.build_occurrence(self.next_occurrence)
            self.next_occurrence += 1
            open_count += bool(steps)
            waiting += bool(steps)
            found += steps
        return found

    def unbuilt_steps(self, now: float) -> list[Step]:
        """Returns a step for each one of the occurrences that are due and not built.

        Each occurrence is stood for by the same steps.
        """
        count = 0
        for occurrence in range(self.next_occurrence, self.occurrence_count()):
            if self.due_at(occurrence) > now:
                break
            count += occurrence not in self.built and not self.is_dropped(occurrence)
        return make_steps(self, 0, self.due_at(0)) * count

    def drop_occurrence(self, step: Step) -> list[Step]:
        """Drops the steps of a step's occurrence, if it is done and has no runs.

        :returns: The dropped steps.
        """
        steps = self.built.get(step.occurrence, [])
        if not self.is_scheduled() or not steps:
            return []
        if any(other.tasks.known or not other.done() for other in steps):
            return []
        del self.built[step.occurrence]
        self.dropped |= 1 << step.occurrence
        self.steps = [other for other in self.steps if other not in steps]
        return steps

    def find_step(self, occurrence: int, number: int) -> Step | None:
        """Returns a step of an occurrence that is built, or was and is done."""
        if self.is_dropped(occurrence):
            steps = make_steps(self, occurrence, self.due_at(occurrence))
            for step in steps:
                step.remaining = 0
                step.tasks.retire_all()
        else:
            steps = self.built.get(occurrence, [])
        return steps[number] if number < len(steps) else None


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


def share_equal_specs(steps: list[StepSpec]) -> list[StepSpec]:
    """Returns steps of which equal ones are the same object."""
    known: dict[bytes, StepSpec] = {}
    return [known.setdefault(msgspec.msgpack.encode(step), step) for step in steps]


def make_job(
    record: CellJob,
    queue: Queue,
    accepted_at: float,
    wall_clock_offset_s: float,
    run_times_s: Sequence[float] = (),
) -> Job:
    """Returns a job with all its tasks waiting; due occurrences are built.

    :param accepted_at: The runtime's clock in seconds.
    :param wall_clock_offset_s: Wall time minus the runtime's clock.
    :param run_times_s: Expected run time of each step; callers' estimates if empty.
    """
    record.steps = share_equal_specs(record.steps)
    path_s = critical_path_s(record.steps, run_times_s)
    objective_s = queue.stretch * path_s + queue.slack_s
    job = Job(record, queue, [], accepted_at, objective_s, first_due_at=accepted_at)
    if record.occurrences:
        job.first_due_at = record.first_due_ms / 1000 - wall_clock_offset_s
    job.build_due(accepted_at)
    return job


def make_steps(job: Job, occurrence: int, due_at: float) -> list[Step]:
    """Returns the steps of one occurrence."""
    steps: list[Step] = []
    for number, spec in enumerate(job.record.steps):
        step = Step(
            name=f"{job.id}.{occurrence}.{number}",
            job=job,
            occurrence=occurrence,
            number=number,
            spec=spec,
            room=task_room(spec),
            due_at=due_at,
            predecessors=[steps[earlier] for earlier in spec.after],
            remaining=spec.tasks,
        )
        steps.append(step)
    return steps


def is_ready(step: Step, now: float) -> bool:
    """Returns whether a step is due and all steps before it are done."""
    if step.job.is_scheduled() and now < step.due_at:
        return False
    return all(earlier.done() for earlier in step.predecessors)
