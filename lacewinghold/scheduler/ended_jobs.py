"""Jobs that have ended and may still be asked for, by their outcomes alone."""

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
from lacewinghold.schema.generated.cell import JobOutcome
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from lacewinghold.scheduler.job_store import JobStore

logger = structlog.get_logger(__name__)
RETRY_DELAY_S = 0.1  # Pause after a failed read.
OUTCOMES_PER_TURN = 200  # Outcomes decoded in one turn: under a millisecond.


class EndedJob(Struct):
    """An outcome that is durable.

    :param at: Wall time from which it could be asked for.
    :param old: Whether an earlier version has left the job's record there.
    :param leaving: Whether its removal is under way.
    """

    state: JobState
    at: float
    legacy: bool = False
    removal_pending: bool = False


class EndedJobs:
    """Outcomes by job; those of earlier owners come after the open jobs.

    :param loaded: Whether those of earlier owners are known.
    """

    def __init__(self, store: JobStore) -> None:
        self.store = store
        self.jobs: dict[str, EndedJob] = {}
        self.loaded = False

    def has_ended(self, job: str) -> bool:
        """Returns whether a job surely has ended."""
        return job in self.jobs

    def state(self, job: str) -> JobState | None:
        """Returns the final state of a job, ``None`` if it is not known."""
        found = self.jobs.get(job)
        return None if found is None else found.state

    def record(
        self, job: str, state: JobState, at: float, *, legacy: bool = False
    ) -> None:
        """Notes a durable outcome."""
        self.jobs.setdefault(job, EndedJob(state, at, legacy))

    async def load(self) -> None:
        """Reads the outcomes that earlier owners have stored."""
        prefix = self.store.prefix + ENDED_PREFIX
        while True:
            reply = await self.store.store.range(prefix, prefix=True)
            if isinstance(reply, Ok):
                break
            await anyio.sleep(RETRY_DELAY_S)
        for number, item in enumerate(reply.ok_value.items):
            if number % OUTCOMES_PER_TURN == 0:
                await anyio.sleep(0)
            try:
                outcome = from_json(item.value, JobOutcome)
                state = JobState(outcome.state)
            except (msgspec.DecodeError, ValueError) as error:
                logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
                continue
            self.record(item.key.removeprefix(prefix), state, outcome.at)
        self.loaded = True

    def forget(self, job: str) -> None:
        """Forgets a job that nobody may ask for any more."""
        self.jobs.pop(job, None)
