"""Writes outcomes to the ledger and then acknowledges them to the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from lacewinghold.schema.generated.records import EntryKind, LogEntry

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.schema.generated.jobs import TaskState
    from lacewinghold.schema.generated.worker import WorkerRecord
    from lacewinghold.shards.model import Task
    from lacewinghold.shards.owner import ShardOwner

RETRY_DELAY_S = 1.0
GATHER_DELAY_S = 2.0
MAX_BATCH_ENTRIES = 1_000


class OutcomeWriter:
    """Buffers outcomes and other ledger entries and writes them in batches.

    No caller waits for an outcome to become durable, because the worker keeps it
    until it is acknowledged. Outcomes are therefore gathered for
    ``GATHER_DELAY_S`` and share one store write.

    :param owner: The owner of the shard.
    :ivar write_now: Set to end the gathering delay early.
    """

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.pending_outcomes: dict[TaskId, LogEntry] = {}
        self.pending_entries: list[LogEntry] = []
        self.work_pending = anyio.Event()
        self.write_now = anyio.Event()
        self.draining = False

    def add_outcome(self, task: Task, state: TaskState, detail: str) -> None:
        """Queues a task's outcome for the ledger."""
        task.durable = False
        self.pending_outcomes[task.id] = LogEntry(
            kind=EntryKind.TASK_ENDED,
            at=self.owner.clock.now(),
            task_id=task.id,
            state=state,
            detail=detail,
        )
        self.work_pending.set()
        if len(self.pending_outcomes) >= MAX_BATCH_ENTRIES:
            self.write_now.set()

    def add_requeue(self, task: Task) -> None:
        """Queues the record of an attempt, which counts against the job's limit."""
        at = self.owner.clock.now()
        self.pending_entries.append(
            LogEntry(kind=EntryKind.TASK_REQUEUED, at=at, task_id=task.id)
        )
        self.work_pending.set()

    def add_worker_change(self, kind: EntryKind, record: WorkerRecord) -> None:
        """Queues the record of an added or removed worker, to be written at once."""
        self.pending_entries.append(
            LogEntry(kind=kind, at=self.owner.clock.now(), worker=record)
        )
        self.work_pending.set()
        self.write_now.set()

    async def run(self) -> None:
        """Writes queued entries until cancelled."""
        while True:
            self.write_now = anyio.Event()
            if not await self.write():
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if not self.pending_outcomes and not self.pending_entries:
                self.work_pending = anyio.Event()
                await self.work_pending.wait()
            with anyio.move_on_after(0.0 if self.draining else GATHER_DELAY_S):
                await self.write_now.wait()

    async def write(self) -> bool:
        """Writes one batch of queued entries.

        :returns: Whether the batch is durable; also true if nothing was queued.
        """
        entries = self.pending_entries[:MAX_BATCH_ENTRIES]
        ended = list(self.pending_outcomes.values())[:MAX_BATCH_ENTRIES]
        if not entries and not ended:
            return True
        written = await self.owner.ledger.append(entries + ended)
        if isinstance(written, Err):
            return False
        del self.pending_entries[: len(entries)]
        for entry in ended:
            self.pending_outcomes.pop(entry.task_id, None)
            self.mark_durable(entry.task_id)
        self.owner.notify_changed()
        return True

    def mark_durable(self, task_id: TaskId) -> None:
        """Makes a task's outcome visible to callers and acknowledges it."""
        task = self.owner.tasks.get(task_id)
        if task is not None:
            task.durable = True
        self.owner.acknowledge(task_id)

    async def drain(self) -> None:
        """Writes all queued entries and waits until they are durable."""
        self.draining = True
        self.write_now.set()
        while self.pending_outcomes or self.pending_entries:
            changed = self.owner.changed
            await changed.wait()
