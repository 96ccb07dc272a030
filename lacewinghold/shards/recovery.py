"""Decides when the tasks of a shard may be started under a new epoch."""

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
# Largest relative difference in rate between the clocks of two hosts.
DRIFT_SHARE = 0.001
HOLD_MARGIN_S = 0.5
CHECK_INTERVAL_S = 1.0


class Recovery:
    """Rebuilds an owner's tasks from the ledger and frees them for starting.

    :ivar recovered: Whether no earlier owner of the shard can start a task.
    """

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.recovered = False

    def rebuild(self) -> None:
        """Builds jobs and tasks from the ledger; no task may be started yet."""
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
        """Waits until no other owner can start a task, then queues the tasks."""
        ends_at = self.owner.acquired_at + add_clock_margin(self.owner.hold_s)
        while not self.others_excluded(ends_at):
            changed = self.owner.changed
            remaining_s = ends_at - self.owner.now()
            wait_s = CHECK_INTERVAL_S
            if 0 < remaining_s < CHECK_INTERVAL_S:
                wait_s = remaining_s
            with anyio.move_on_after(wait_s):
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

    def others_excluded(self, ends_at: float) -> bool:
        """Returns whether no other owner can start a task or keep one running.

        An owner that is cut off from the store may have been replaced. The next owner
        may reach workers that this one does not, and extend their holds.

        :param ends_at: When the holds of earlier owners are certainly over.
        """
        if not self.all_fenced() and self.owner.now() < ends_at:
            return False
        return self.owner.ownership.held()

    def all_fenced(self) -> bool:
        """Returns whether every worker of the shard refuses earlier epochs.

        The workers are those of the instance list, which lags behind, and those on
        which an earlier owner may have started tasks.
        """
        return all(worker.fenced_once for worker in self.owner.workers.values())

    def free_task(self, task: Task) -> None:
        """Queues or ends a task that no other owner can start any more."""
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
        """Suspends a task that is to run again until no other owner can start it.

        An owner that is cut off from the store may start a task once. If it also
        restarted a lost or failed task, a newer owner that saw the same loss would
        start the task as well. During recovery, a worker that is not fenced yet
        may still be running the task.

        :returns: Whether the task is suspended.
        """
        held = self.owner.ownership.held()
        if task.free_to_start and held:
            return False
        task.free_to_start = False
        if self.recovered or not held:
            self.owner.suspended.add(task.id)
        return True

    def resume(self) -> None:
        """Frees suspended tasks once the epoch is known to be current."""
        if not self.owner.suspended or not self.owner.ownership.held():
            return
        for task_id in self.owner.suspended:
            task = self.owner.tasks.get(task_id)
            if task is not None and not task.free_to_start:
                self.free_task(task)
        self.owner.suspended.clear()
        self.owner.placer.wake()


def add_clock_margin(duration_s: float) -> float:
    """Returns a wait that is longer than a duration on another host's clock.

    :param duration_s: Seconds on the other clock.
    :returns: Seconds on the local clock, with both drifts and a margin included.
    """
    return duration_s * (1 + 2 * DRIFT_SHARE) + HOLD_MARGIN_S
