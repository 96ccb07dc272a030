"""Lets queries of a job's state wait for a moment if the job is about to end.

Callers query a job most often just as its last task ends, before the outcome is
durable. Answered at once, they learn of the outcome only with their next query.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lacewinghold.scheduler.model import JobState

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Job


def may_end_soon(job: Job) -> bool:
    """Returns whether all that is left of a job is running, or its outcome unstored."""
    if job.state is not JobState.RUNNING:
        return job.ended() and job.reported_state is not job.state
    if job.is_scheduled():
        return False
    for step in job.steps:
        if step.done():
            continue
        if step.spec.long_running:
            return False
        if step.has_waiting_tasks():
            return False
    return True


class EndWaits:
    """Wakes the queries that wait until the outcomes of jobs are durable."""

    def __init__(self) -> None:
        self.events: dict[str, anyio.Event] = {}

    async def wait(self, job: str, limit_s: float) -> None:
        """Waits until the outcome of a job is durable.

        :param limit_s: Maximum time to wait in seconds.
        """
        event = self.events.setdefault(job, anyio.Event())
        with anyio.move_on_after(limit_s):
            await event.wait()

    def wake(self, job: str) -> None:
        """Wakes the queries of a job that is not open any more."""
        event = self.events.pop(job, None)
        if event is not None:
            event.set()
