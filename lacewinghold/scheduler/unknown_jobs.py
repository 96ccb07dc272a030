"""Looks up jobs that workers list and that the owner does not know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from lacewinghold.scheduler.model import JobState
from lacewinghold.util.containment import contained

if TYPE_CHECKING:
    from collections.abc import Container

    from lacewinghold.scheduler.job_store import StoredJob
    from lacewinghold.scheduler.owner import CellOwner

RETRY_DELAY_S = 0.1  # After a failed read.
ERROR_DELAY_S = 1.0  # After an answer that could not be applied.
MAX_READS_IN_FLIGHT = 4


class UnknownJobs:
    """Jobs of listed runs and ends, until the store has told what they are.

    A job is stored before any of its tasks starts, and its outcome is kept long after.
    So only the store can tell that a job does not exist; silence of its news cannot.

    :param owner: The owner whose workers list the jobs.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.pending: set[str] = set()
        self.being_read: set[str] = set()
        self.absent: set[str] = set()
        self.requested = anyio.Event()
        self.slots = anyio.CapacityLimiter(MAX_READS_IN_FLIGHT)

    def look_up(self, job: str) -> None:
        """Requests that the store be asked about a job; returns at once."""
        if job not in self.pending:
            self.pending.add(job)
            self.requested.set()

    def is_absent(self, job: str) -> bool:
        """Returns whether the store has confirmed that it does not hold a job."""
        return job in self.absent

    def retain(self, listed: Container[str]) -> None:
        """Forgets the absent jobs that no worker lists any more."""
        self.absent = {job for job in self.absent if job in listed}

    async def run(self) -> None:
        """Looks up the requested jobs until cancelled.

        Begins once the outcomes of ended jobs are loaded, which explain most of them.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await self.requested.wait()
                self.requested = anyio.Event()
                for job in self.pending - self.being_read:
                    if self.is_known(job):
                        self.pending.discard(job)
                        continue
                    self.being_read.add(job)
                    tasks.start_soon(self.read, job)

    async def read(self, job: str) -> None:
        """Asks the store about a job until it answers, and applies the answer."""
        async with self.slots:
            while not self.is_known(job):
                reply = await self.owner.job_store.read(job)
                if isinstance(reply, Err):
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
                with contained("look-up of a job", job=job):
                    self.apply(job, reply.ok_value)
                break
        if not self.is_known(job) and not self.is_absent(job):
            await anyio.sleep(ERROR_DELAY_S)
        self.pending.discard(job)
        self.being_read.discard(job)
        self.owner.fleet.apply_withheld_reports()
        self.owner.planning.wake()

    def is_known(self, job: str) -> bool:
        """Returns whether the owner has learned of a job meanwhile."""
        return job in self.owner.table.jobs or self.owner.ended.has_ended(job)

    def apply(self, job: str, stored: StoredJob) -> None:
        """Applies what the store holds of a job."""
        if stored.outcome is not None:
            state = JobState(stored.outcome.state)
            self.owner.ended.record(job, state, stored.outcome.at)
            return
        if stored.record is None:
            self.absent.add(job)
            return
        self.owner.table.accept(stored.record, stored.revision)
        if stored.cancelled:
            self.owner.table.cancel(self.owner.table.jobs[job])
