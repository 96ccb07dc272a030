"""Writes what an owner learns to the ledger, then lets workers forget it."""

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

RETRY_S = 1.0
GATHER_S = 2.0
MAX_ENTRIES = 1_000


class OutcomeWriter:
    """Keeps outcomes and other facts until they are durable.

    Nobody waits for an outcome's record, as the worker keeps the outcome until
    then; so outcomes are gathered for a while and share one store write.

    :param owner: The owner of the shard.
    """

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.ended: dict[TaskId, LogEntry] = {}
        self.facts: list[LogEntry] = []
        self.wanted = anyio.Event()
        self.urgent = anyio.Event()
        self.draining = False

    def note_ended(self, task: Task, state: TaskState, detail: str) -> None:
        """Keeps a task's outcome until it is durable."""
        task.durable = False
        self.ended[task.id] = LogEntry(
            kind=EntryKind.TASK_ENDED,
            at=self.owner.clock.now(),
            task_id=task.id,
            state=state,
            detail=detail,
        )
        self.wanted.set()
        if len(self.ended) >= MAX_ENTRIES:
            self.urgent.set()

    def note_requeued(self, task: Task) -> None:
        """Notes an attempt, which counts against the job's limit."""
        at = self.owner.clock.now()
        self.facts.append(
            LogEntry(kind=EntryKind.TASK_REQUEUED, at=at, task_id=task.id)
        )
        self.wanted.set()

    def note_worker(self, kind: EntryKind, record: WorkerRecord) -> None:
        """Notes that a worker came or went; it is written at once."""
        self.facts.append(LogEntry(kind=kind, at=self.owner.clock.now(), worker=record))
        self.wanted.set()
        self.urgent.set()

    async def run(self) -> None:
        """Writes what is kept until cancelled."""
        while True:
            self.urgent = anyio.Event()
            if not await self.write():
                await anyio.sleep(RETRY_S)
                continue
            if not self.ended and not self.facts:
                self.wanted = anyio.Event()
                await self.wanted.wait()
            with anyio.move_on_after(0.0 if self.draining else GATHER_S):
                await self.urgent.wait()

    async def write(self) -> bool:
        """Writes once.

        :returns: Whether what was kept is durable now.
        """
        facts = self.facts[:MAX_ENTRIES]
        ended = list(self.ended.values())[:MAX_ENTRIES]
        if not facts and not ended:
            return True
        written = await self.owner.ledger.append(facts + ended)
        if isinstance(written, Err):
            return False
        del self.facts[: len(facts)]
        for entry in ended:
            self.ended.pop(entry.task_id, None)
            self.note_durable(entry.task_id)
        self.owner.note_change()
        return True

    def note_durable(self, task_id: TaskId) -> None:
        """Shows a task's outcome and lets its worker forget it."""
        task = self.owner.tasks.get(task_id)
        if task is not None:
            task.durable = True
        self.owner.acknowledge(task_id)

    async def drain(self) -> None:
        """Writes everything that is kept, and waits until it is durable."""
        self.draining = True
        self.urgent.set()
        while self.ended or self.facts:
            changed = self.owner.changed
            await changed.wait()
