"""Outcomes of ended jobs, kept for queries until their retention period passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from msgspec import Struct
from result import Ok

from lacewinghold.events import Event
from lacewinghold.scheduler.job_store import ENDED_PREFIX
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import Resources
from lacewinghold.schema.generated.cell import JobOutcome
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from lacewinghold.scheduler.job_store import JobStore
    from lacewinghold.scheduler.state_account import StateAccount

logger = structlog.get_logger(__name__)
RETRY_DELAY_S = 0.1  # After a failed read.
# Remaining runs end by then: an earlier owner renews leases for 10 s at most, they last
# 4 s, and the clocks of two instances differ.
MAX_REMAINING_RUN_S = 30.0
OUTCOMES_PER_TURN = 200  # Decoded without yielding: under a millisecond.


class EndedJob(Struct):
    """The durable outcome of a job.

    :param at: Wall time in seconds from which callers could query it.
    :param legacy: Whether an earlier version has kept the job's record beside it.
    :param removal_pending: Whether its removal from the store is queued.
    :param organisation: Organisation that submitted it, empty if none was identified.
    :param group: Whose memory it is counted as.
    """

    state: JobState
    at: float
    legacy: bool = False
    removal_pending: bool = False
    organisation: str = ""
    group: str = ""


class EndedJobs:
    """Outcomes by job; those of earlier owners are loaded after the open jobs.

    :ivar loaded: Whether the outcomes stored by earlier owners have been loaded.
    :ivar running: What runs of jobs that ended shortly before may use of the caps, by
        organisation.
    """

    def __init__(self, store: JobStore, account: StateAccount) -> None:
        self.store = store
        self.account = account
        self.jobs: dict[str, EndedJob] = {}
        self.loaded = False
        self.running: dict[str, Resources] = {}

    def has_ended(self, job: str) -> bool:
        """Returns whether a job is known to have ended."""
        return job in self.jobs

    def state(self, job: str) -> JobState | None:
        """Returns the final state of a job, ``None`` if it is not known."""
        found = self.jobs.get(job)
        return None if found is None else found.state

    def record(
        self,
        job: str,
        state: JobState,
        at: float,
        *,
        legacy: bool = False,
        organisation: str = "",
        group: str = "",
    ) -> None:
        """Records a durable outcome, unless one is known already."""
        if job in self.jobs:
            return
        ended = EndedJob(state, at, legacy, False, organisation, group or organisation)
        self.jobs[job] = ended
        self.account.add_ended(ended)

    def add_running(self, outcome: JobOutcome, now: float) -> None:
        """Counts the runs of an ended job that may not have ended.

        :param now: Wall time in seconds.
        """
        if not outcome.running_of or outcome.at < now - MAX_REMAINING_RUN_S:
            return
        used = self.running.get(outcome.running_of, Resources())
        self.running[outcome.running_of] = used.plus(
            Resources(
                outcome.running_cpu_millis,
                outcome.running_memory_mb,
                outcome.running_accelerators,
            )
        )

    async def load(self, now: float) -> None:
        """Loads the outcomes that earlier owners have stored; retries until read.

        :param now: Wall time in seconds.
        """
        prefix = self.store.prefix + ENDED_PREFIX
        while True:
            reply = await self.store.store.range(prefix, prefix=True)
            if isinstance(reply, Ok):
                break
            await anyio.sleep(RETRY_DELAY_S)
        for number, item in enumerate(reply.ok_value.items):
            if number % OUTCOMES_PER_TURN == 0:
                await anyio.sleep(0)
            job = self.store.ids.parse(item.key.removeprefix(prefix))
            if job is None:
                logger.warning(Event.FOREIGN_KEY, key=item.key)
                continue
            try:
                outcome = from_json(item.value, JobOutcome)
                state = JobState(outcome.state)
            except (msgspec.DecodeError, ValueError) as error:
                logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
                continue
            self.add_running(outcome, now)
            if not outcome.tombstone:
                self.record(job, state, outcome.at, organisation=outcome.organisation)
        self.loaded = True

    def forget(self, job: str) -> None:
        """Removes a job whose retention period has passed."""
        ended = self.jobs.pop(job, None)
        if ended is not None:
            self.account.remove_ended(ended)
