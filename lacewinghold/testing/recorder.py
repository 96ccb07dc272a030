"""Checks a whole run: compares what workers ran with what was recorded."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.ids import task_job
from lacewinghold.placement.capacity import fits
from lacewinghold.schema.generated.records import EntryKind, LogBatch
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId, WorkerId
    from lacewinghold.schema.generated.jobs import JobSpec, TaskState
    from lacewinghold.schema.generated.records import JobRecord, LogEntry
    from lacewinghold.store.base import WatchBatch
    from lacewinghold.testing.cell import Cell

MAX_VIOLATIONS = 100


class Submission(Struct):
    """Submissions and answers of one idempotency key.

    :param job: The accepted job, if an answer said so.
    :param attempts: How often it was sent.
    :param refused: How often the answer stated that nothing ran.
    """

    spec: JobSpec
    job: JobId | None = None
    attempts: int = 0
    refused: int = 0


class Recorder(Struct):
    """The history of one cell, from its workers, its store and its callers.

    It shares no state with the program, and records violations rather than
    raising, so that a fault cannot hide in the handling of an exception.
    """

    cell: Cell
    submissions: dict[str, Submission] = field(default_factory=dict)
    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    intents: set[TaskId] = field(default_factory=set)
    outcomes: dict[TaskId, TaskState] = field(default_factory=dict)
    cancelled: set[JobId] = field(default_factory=set)
    epochs: dict[str, int] = field(default_factory=dict)
    places: dict[TaskId, Counter[WorkerId]] = field(default_factory=dict)
    starts: Counter[TaskId] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def attach(self) -> None:
        """Starts to observe the cell."""
        self.cell.observers.append(self.observe)
        self.cell.state.listeners.append(self.note_writes)

    def blame(self, text: str) -> None:
        """Records a violation."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(text)

    def observe(self, worker: WorkerId, task: TaskId, change: int) -> None:
        """Records a start or an end on a worker."""
        places = self.places.setdefault(task, Counter())
        places[worker] += change
        if change > 0:
            self.starts[task] += 1
            self.check_start(worker, task)

    def check_start(self, worker: WorkerId, task: TaskId) -> None:
        """Checks everything that must hold when a task starts."""
        running = [place for place, count in self.places[task].items() if count]
        if len(running) > 1 or self.places[task][worker] > 1:
            self.blame(f"{task} runs on {running}")
        if task in self.outcomes:
            self.blame(f"{task} starts again after {self.outcomes[task]}")
        record = self.jobs.get(task_job(task))
        if record is None:
            self.blame(f"{task} starts before its job is durable")
            return
        fake = self.cell.workers[worker]
        if not fits(fake.used(), fake.record.capacity):
            self.blame(f"{worker} is over its capacity")
        if record.spec.repeatable:
            return
        if task not in self.intents:
            self.blame(f"{task} starts without its intent")
        if self.starts[task] > 1:
            self.blame(f"{task} must not be repeated and runs again")

    def note_writes(self, batch: WatchBatch) -> None:
        """Reads the log batches among the changes of the store."""
        for item in batch.puts:
            if "/log/" not in item.key:
                continue
            written = from_json(item.value, LogBatch)
            shard = item.key.rpartition("/log/")[0]
            if written.epoch < self.epochs.get(shard, 0):
                self.blame(f"{item.key} is written in an older epoch")
            self.epochs[shard] = written.epoch
            for entry in written.entries:
                self.note_entry(entry)

    def note_entry(self, entry: LogEntry) -> None:
        """Records a durable entry."""
        match entry.kind:
            case EntryKind.JOB_ACCEPTED:
                assert entry.job is not None
                self.jobs[entry.job.job] = entry.job
            case EntryKind.TASK_INTENT:
                self.intents.add(entry.task_id)
            case EntryKind.JOB_CANCELLED:
                self.cancelled.add(entry.job_id)
            case EntryKind.TASK_ENDED:
                assert entry.state is not None
                earlier = self.outcomes.setdefault(entry.task_id, entry.state)
                if earlier is not entry.state:
                    self.blame(f"{entry.task_id} ends as {entry.state} after {earlier}")

    def note_accepted(self, spec: JobSpec, job: JobId) -> None:
        """Records an answer that names the accepted job."""
        submission = self.submissions[spec.name]
        if submission.job not in (None, job):
            self.blame(f"{spec.name} was accepted as {submission.job} and {job}")
        submission.job = job
        if job not in self.jobs:
            self.blame(f"{job} was accepted before it was durable")

    def check_end(self) -> None:
        """Checks a run after all faults are healed and all jobs had time to end."""
        by_name = {
            record.spec.name: job
            for job, record in self.jobs.items()
            if not record.parent
        }
        for name, submission in self.submissions.items():
            durable = by_name.get(name)
            refused = submission.refused == submission.attempts
            if refused and durable is not None:
                self.blame(f"{durable} was refused as not run and is durable")
            if submission.job is not None and durable != submission.job:
                self.blame(f"{submission.job} was accepted and is lost")
        for job, record in self.jobs.items():
            if record.spec.service is not None and job not in self.cancelled:
                continue
            self.check_parts(job, record)
            for index in range(len(record.parts) or record.spec.tasks):
                if f"{job}/{index}" not in self.outcomes:
                    self.blame(f"{job}/{index} never ended")

    def check_parts(self, job: JobId, record: JobRecord) -> None:
        """Checks that the parts of a divided job have all of its tasks."""
        if not record.parts or job in self.cancelled:
            return
        parts = [part for part in self.jobs.values() if part.parent == job]
        tasks = sum(part.spec.tasks for part in parts)
        if tasks != record.spec.tasks or len(parts) != len(record.parts):
            self.blame(f"{job} has {len(parts)} parts with {tasks} tasks")
