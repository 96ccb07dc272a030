"""Decides when a shard's tasks are free to be started under a new epoch."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.shards.model import make_job
from lacewinghold.util.clock import until_tick

if TYPE_CHECKING:
    from lacewinghold.shards.model import Task
    from lacewinghold.shards.owner import ShardOwner

logger = structlog.get_logger(__name__)
DRIFT_SHARE = 0.001
HOLD_MARGIN_S = 0.5
CHECK_INTERVAL_S = 1.0


class Recovery:
    """Rebuilds an owner's tasks from the ledger and proves them free."""

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.recovered = False

    def rebuild(self) -> None:
        """Makes jobs and tasks from the ledger; none is proved free yet."""
        owner = self.owner
        state = owner.ledger.state
        for record in state.jobs.values():
            job = make_job(record, owner.to_runtime(record.accepted_at))
            job.cancelled = record.job in state.cancelled
            owner.jobs[job.id] = job
            for task in job.tasks:
                owner.tasks[task.id] = task
                task.free_to_start = False
                task.attempts = state.attempts.get(task.id, 0)
                outcome = state.outcomes.get(task.id)
                if outcome is None:
                    continue
                task.state = outcome.state
                task.detail = outcome.detail

    async def run(self) -> None:
        """Waits until no earlier holder can start a task, then queues the rest."""
        ends_at = self.owner.acquired_at + add_clock_margin(self.owner.hold_s)
        while not self.all_fenced() and self.owner.now() < ends_at:
            changed = self.owner.changed
            with anyio.move_on_after(min(CHECK_INTERVAL_S, ends_at - self.owner.now())):
                await changed.wait()
        self.recovered = True
        for task in list(self.owner.tasks.values()):
            if not task.free_to_start and task.id not in self.owner.suspended:
                self.free_task(task)
        logger.info(Event.SHARD_RECOVERED, shard=self.owner.shard)
        self.owner.placer.wake()
        while True:
            await anyio.sleep(until_tick(CHECK_INTERVAL_S))
            self.resume()

    def all_fenced(self) -> bool:
        """Returns whether every worker of the shard has refused earlier epochs.

        The workers are those of the instance list, which lags, and those on
        which an earlier owner may have started tasks.
        """
        return all(worker.fenced_once for worker in self.owner.workers.values())

    def free_task(self, task: Task) -> None:
        """Frees a task that no other holder can start any more."""
        task.free_to_start = True
        if task.state is not TaskState.QUEUED or task.job.record.parts:
            return
        if task.id in self.owner.ledger.state.intents:
            self.owner.end_task(task, TaskState.UNKNOWN, "its start may have run")
        elif task.job.cancelled:
            self.owner.end_task(task, TaskState.CANCELLED, "cancelled")
        else:
            self.owner.placer.queue_task(task)

    def suspend(self, task: Task) -> bool:
        """Withholds a task that is to run again until that is surely allowed.

        An owner that is cut off from the store may start a task once; were it to
        start one again that was lost or failed, a newer owner that saw the same
        loss would start it too. During recovery a worker that is not fenced yet
        may run it.

        :returns: Whether the task is withheld.
        """
        held = self.owner.ownership.held()
        if task.free_to_start and held:
            return False
        task.free_to_start = False
        if self.recovered or not held:
            self.owner.suspended.add(task.id)
        return True

    def resume(self) -> None:
        """Frees withheld tasks once the epoch is known to stand."""
        if not self.owner.suspended or not self.owner.ownership.held():
            return
        for task_id in self.owner.suspended:
            task = self.owner.tasks.get(task_id)
            if task is not None and not task.free_to_start:
                self.free_task(task)
        self.owner.suspended.clear()
        self.owner.placer.wake()


def add_clock_margin(duration_s: float) -> float:
    """Returns a wait that outlasts a duration on any clock of the stated drift."""
    return duration_s * (1 + 2 * DRIFT_SHARE) + HOLD_MARGIN_S
