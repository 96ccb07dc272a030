"""The queue of a shard and the loop that places its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from lacewinghold.invariants import Invariant, require
from lacewinghold.placement.policy import POLICIES, fits_together
from lacewinghold.schema.generated.jobs import JobKind, Priority, TaskState
from lacewinghold.schema.generated.records import EntryKind, LogEntry
from lacewinghold.util.clock import until_tick

if TYPE_CHECKING:
    from lacewinghold.placement.capacity import WorkerCapacity
    from lacewinghold.shards.model import Job, Task
    from lacewinghold.shards.owner import ShardOwner

PRIORITY_ORDER = {
    Priority.URGENT: 0,
    Priority.HIGH: 1,
    Priority.NORMAL: 2,
    Priority.LOW: 3,
}
IDLE_CHECK_S = 1.0
NO_DEADLINE = float("inf")


class Placer:
    """Places queued tasks whenever something changed."""

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.wanted = anyio.Event()

    def wake(self) -> None:
        """Asks for another round."""
        self.wanted.set()

    async def run(self) -> None:
        """Places until cancelled."""
        while True:
            self.wanted = anyio.Event()
            await self.place_all()
            with anyio.move_on_after(until_tick(IDLE_CHECK_S)):
                await self.wanted.wait()

    def queue(self) -> list[Task]:
        """Returns the tasks that may start now, most pressing first."""
        now = self.owner.now()
        ready = []
        for task in self.owner.tasks.values():
            if task.state is not TaskState.QUEUED or not task.proved:
                continue
            if task.not_before > now or self.start_after(task) > now:
                continue
            if isinstance(self.owner.rules.permit(task.spec.team), Err):
                continue
            ready.append(task)
        ready.sort(key=self.rank)
        return ready

    def start_after(self, task: Task) -> float:
        """Returns the earliest start on the runtime's clock."""
        moment = task.spec.start_after
        return 0.0 if moment is None else self.owner.clock.to_runtime(moment)

    def rank(self, task: Task) -> tuple[int, float, float]:
        """Orders by priority, then slack to the deadline, then arrival."""
        slack = NO_DEADLINE
        if task.spec.deadline is not None:
            slack = self.owner.clock.to_runtime(task.spec.deadline)
            slack -= task.spec.expected_run_s
        return (PRIORITY_ORDER[task.spec.priority], slack, task.queued_at)

    def capacities(self) -> list[WorkerCapacity]:
        """Returns the workers of the shard."""
        return [worker.capacity for worker in self.owner.workers.values()]

    async def place_all(self) -> None:
        """Places every task that fits."""
        if not self.owner.may_start():
            return
        seen: set[str] = set()
        for task in self.queue():
            if task.spec.kind is not JobKind.ALL_AT_ONCE:
                await self.place(task)
                continue
            if task.job.id in seen:
                continue
            seen.add(task.job.id)
            await self.place_together(task.job)

    async def place_together(self, job: Job) -> None:
        """Places all tasks of a job, or none."""
        queued = [task for task in job.tasks if task.state is TaskState.QUEUED]
        need = job.record.spec.resources
        if not fits_together(need, len(queued), self.capacities()):
            return
        for task in queued:
            await self.place(task)

    async def place(self, task: Task) -> bool:
        """Books a worker for a task and queues its start.

        :returns: Whether the task was placed.
        """
        if task.state is not TaskState.QUEUED:
            return False
        policy = POLICIES[task.spec.kind]
        chosen = policy.choose(task.spec.resources, self.capacities())
        if chosen is None:
            return False
        chosen.book(task.id, task.spec.resources)
        task.state = TaskState.STARTING
        task.worker = chosen.record.worker
        worker = self.owner.workers[chosen.record.worker]
        if not task.spec.repeatable and not await self.record_intent(task):
            if task.id in chosen.bookings:
                self.owner.release_start(task)
            return False
        worker.start(task)
        return True

    async def record_intent(self, task: Task) -> bool:
        """Writes the intent of a start that must not be repeated."""
        entry = LogEntry(
            kind=EntryKind.TASK_INTENT, at=self.owner.clock.now(), task_id=task.id
        )
        written = await self.owner.ledger.append([entry])
        if isinstance(written, Err):
            return False
        require(
            Invariant.INTENT_FIRST,
            task.id in self.owner.ledger.state.intents,
            task.id,
        )
        return True
