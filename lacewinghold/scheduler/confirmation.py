"""Confirms from the store that this instance owned the cell at a time in the past."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err

from lacewinghold.events import Event
from lacewinghold.scheduler.job_store import OWNER_KEY

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Job
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.schema.generated.cell import CellJob

logger = structlog.get_logger(__name__)
RETRY_DELAY_S = 0.1  # After a failed read.


class OwnershipConfirmations:
    """Reads the ownership record where the owner has to know that it stood.

    A lease cannot tell this: the store may drop the record before it ends. Any later
    owner has claimed after a time at which the record stood. So its load holds all jobs
    that were stored by then, and it cannot have kept a run that had ended by then.

    :param owner: The owner that needs the confirmations.
    :ivar confirmed_at: Latest time at which the record is known to have stood, on the
        runtime's clock.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.waiting: dict[str, Job] = {}
        self.confirmed_at = -math.inf
        self.needed_at = -math.inf
        self.requested = anyio.Event()
        self.advanced = anyio.Event()

    def request(self, job: Job) -> None:
        """Requests the confirmation of a new job, unless its record confirms it."""
        self.confirm_by_record(job, job.record)
        if not job.confirmed:
            self.waiting[job.id] = job
            self.requested.set()

    def confirm_by_record(self, job: Job, record: CellJob) -> None:
        """Confirms a job if it was stored on condition that this owner's record stood.

        :param record: The job's record, as a member or the store has told it.
        """
        if record.epoch == self.owner.epoch:
            self.confirm(job)

    def confirm(self, job: Job) -> None:
        """Marks a job as confirmed."""
        job.confirmed = True
        if self.waiting.pop(job.id, None) is not None:
            self.owner.planning.wake()

    def is_confirmed(self, moment: float) -> bool:
        """Returns whether the record is known to have stood at a moment or later.

        Requests a read if it is not.

        :param moment: A time that has passed, on the runtime's clock.
        """
        if self.confirmed_at >= moment:
            return True
        self.needed_at = max(self.needed_at, moment)
        self.requested.set()
        return False

    async def wait_until_confirmed(self, moment: float) -> None:
        """Waits until the record is known to have stood at a moment or later.

        :param moment: A time that has passed, on the runtime's clock.
        """
        while not self.is_confirmed(moment):
            await self.advanced.wait()

    async def run(self) -> None:
        """Reads the ownership record while it is needed, until it is gone."""
        while True:
            await self.requested.wait()
            self.requested = anyio.Event()
            while self.waiting or self.confirmed_at < self.needed_at:
                if not await self.read_owner():
                    return

    async def read_owner(self) -> bool:
        """Confirms what preceded the read, if this owner's record stands.

        :returns: Whether this instance may still be the owner.
        """
        learned = list(self.waiting.values())
        sent_at = anyio.current_time()
        store = self.owner.job_store
        reply = await store.store.range(store.prefix + OWNER_KEY)
        if isinstance(reply, Err):
            await anyio.sleep(RETRY_DELAY_S)
            return True
        epochs = [item.mod_revision for item in reply.ok_value.items]
        if epochs != [self.owner.epoch]:
            logger.warning(Event.SUPERSEDED, term=self.owner.ownership.term)
            self.owner.ownership.lost.set()
            return False
        for job in learned:
            self.confirm(job)
        self.confirmed_at = sent_at
        self.advanced.set()
        self.advanced = anyio.Event()
        return True
