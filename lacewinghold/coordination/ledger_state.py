"""State of a shard's ledger and its snapshot in records of bounded size."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct, field

from lacewinghold.ids import JobId, TaskId, WorkerId, make_task_id
from lacewinghold.schema.generated.records import (
    EntryKind,
    JobRecord,
    LogEntry,
    Snapshot,
    TaskIntent,
    TaskOutcome,
)
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewinghold.schema.generated.worker import WorkerRecord

FINISHED_JOB_RETENTION_S = 86_400.0
INTENT_RETENTION_S = 86_400.0
MAX_FINISHED_JOBS = 1_000
MAX_RECORD_BYTES = 700_000
# Upper estimate of the encoded size of one task id with its attempt count.
ATTEMPT_SIZE_BYTES = 80


class LedgerState(Struct):
    """State of a shard's jobs and tasks according to the ledger.

    :param intents: Wall times of the intents to start tasks or send requests that
        must not be repeated.
    :param attempts: Number of times that each task was queued again.
    :param workers: Workers on which tasks of the shard may have been started.
    :param latest_at: Wall time of the latest entry.
    """

    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    outcomes: dict[TaskId, TaskOutcome] = field(default_factory=dict)
    cancelled: set[JobId] = field(default_factory=set)
    intents: dict[TaskId, float] = field(default_factory=dict)
    attempts: dict[TaskId, int] = field(default_factory=dict)
    workers: dict[WorkerId, WorkerRecord] = field(default_factory=dict)
    latest_at: float = 0.0

    def apply(self, entry: LogEntry) -> None:
        """Applies one entry of the log."""
        self.latest_at = max(self.latest_at, entry.at)
        match entry.kind:
            case EntryKind.JOB_ACCEPTED:
                assert entry.job is not None
                self.jobs[entry.job.job] = entry.job
            case EntryKind.TASK_INTENT:
                self.intents[entry.task_id] = entry.at
            case EntryKind.TASK_ENDED:
                assert entry.state is not None
                self.outcomes[entry.task_id] = TaskOutcome(
                    task_id=entry.task_id,
                    state=entry.state,
                    detail=entry.detail,
                    at=entry.at,
                )
            case EntryKind.TASK_REQUEUED:
                self.attempts[entry.task_id] = self.attempts.get(entry.task_id, 0) + 1
            case EntryKind.JOB_CANCELLED:
                self.cancelled.add(entry.job_id)
            case EntryKind.WORKER_ADDED:
                assert entry.worker is not None
                self.workers[entry.worker.worker] = entry.worker
            case EntryKind.WORKER_REMOVED:
                assert entry.worker is not None
                self.workers.pop(entry.worker.worker, None)

    def ended_at(self, job: JobRecord) -> float | None:
        """Returns when the last task of a job ended, or ``None`` if one has not."""
        latest = 0.0
        for index in range(len(job.parts) or job.spec.tasks):
            outcome = self.outcomes.get(make_task_id(job.job, index))
            if outcome is None:
                return None
            latest = max(latest, outcome.at)
        return latest

    def prune(self) -> list[JobRecord]:
        """Removes jobs that ended long ago, and old intents of requests.

        :returns: The removed jobs.
        """
        finished = []
        for job in self.jobs.values():
            ended_at = self.ended_at(job)
            if ended_at is not None:
                finished.append((ended_at, job.job))
        finished.sort()
        surplus = len(finished) - MAX_FINISHED_JOBS
        removed = []
        for index, (ended_at, job_id) in enumerate(finished):
            if (
                index >= surplus
                and ended_at > self.latest_at - FINISHED_JOB_RETENTION_S
            ):
                break
            removed.append(self.remove_job(job_id))
        self.prune_intents()
        return removed

    def remove_job(self, job_id: JobId) -> JobRecord:
        """Removes a job and all records of its tasks."""
        job = self.jobs.pop(job_id)
        self.cancelled.discard(job_id)
        for index in range(len(job.parts) or job.spec.tasks):
            task_id = make_task_id(job_id, index)
            self.outcomes.pop(task_id, None)
            self.intents.pop(task_id, None)
            self.attempts.pop(task_id, None)
        return job

    def prune_intents(self) -> None:
        """Removes old intents that belong to no job."""
        before = self.latest_at - INTENT_RETENTION_S
        for task_id, at in list(self.intents.items()):
            if at < before and TaskId("/") not in task_id:
                del self.intents[task_id]

    def records(self) -> Iterator[tuple[str, Any, int]]:
        """Yields each item with its field of the snapshot and its size in bytes."""
        for job in self.jobs.values():
            yield "jobs", job, len(to_json(job))
        for outcome in self.outcomes.values():
            yield "outcomes", outcome, len(to_json(outcome))
        for job_id in self.cancelled:
            yield "cancelled", job_id, ATTEMPT_SIZE_BYTES
        for task_id, at in self.intents.items():
            yield "intents", TaskIntent(task_id=task_id, at=at), 2 * ATTEMPT_SIZE_BYTES
        for worker in self.workers.values():
            yield "workers", worker, len(to_json(worker))

    def to_snapshots(self, through: int) -> list[Snapshot]:
        """Returns the state as snapshot records.

        :param through: Number of the last batch that the snapshot replaces.
        :returns: The head record, which contains the number of further records,
            followed by these; each is below the store's size limit.
        """
        parts = [Snapshot(through=through)]
        size = 0
        for name, item, length in self.records():
            if size + length > MAX_RECORD_BYTES:
                parts.append(Snapshot(through=through))
                size = 0
            getattr(parts[-1], name).append(item)
            size += length + 1
        for task_id, count in self.attempts.items():
            if size + ATTEMPT_SIZE_BYTES > MAX_RECORD_BYTES:
                parts.append(Snapshot(through=through))
                size = 0
            parts[-1].attempts[str(task_id)] = count
            size += ATTEMPT_SIZE_BYTES
        parts[0].parts = len(parts) - 1
        return parts

    def load(self, snapshot: Snapshot) -> None:
        """Adds the items of one snapshot record to the state."""
        self.jobs.update({job.job: job for job in snapshot.jobs})
        for outcome in snapshot.outcomes:
            self.outcomes[outcome.task_id] = outcome
            self.latest_at = max(self.latest_at, outcome.at)
        self.cancelled.update(snapshot.cancelled)
        for intent in snapshot.intents:
            self.intents[intent.task_id] = intent.at
        for task, count in snapshot.attempts.items():
            self.attempts[TaskId(task)] = count
        for worker in snapshot.workers:
            self.workers[worker.worker] = worker
