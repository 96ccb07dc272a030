"""Runs of an all-at-once step on stand-in workers, which start and end together."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from lacewinghold.scheduler.ports import EndKind

if TYPE_CHECKING:
    from lacewinghold.testing.step_worker import Execution, StepWorker

JOIN_TIMEOUT_S = 3.0


class RunGroup:
    """The members (gang) of one run of an all-at-once step.

    :param size: Number of tasks of the step.
    :ivar working_since: When the last member joined; the members work from then on.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.members: dict[str, tuple[StepWorker, Execution]] = {}
        self.all_joined = anyio.Event()
        self.working_since = math.inf
        self.finished: set[str] = set()
        self.ended = False

    def join(self, worker: StepWorker, run: Execution) -> None:
        """Adds a member; the last one releases all members to work."""
        self.members[run.task] = (worker, run)
        if len(self.members) == self.size:
            self.working_since = anyio.current_time()
            self.all_joined.set()

    async def wait_for_others(self) -> bool:
        """Returns whether all members joined within ``JOIN_TIMEOUT_S``."""
        with anyio.move_on_after(JOIN_TIMEOUT_S):
            await self.all_joined.wait()
            return True
        return False

    def finish(self, task: str) -> None:
        """Records that a member has finished; the last one ends all as done."""
        self.finished.add(task)
        if len(self.finished) == self.size:
            self.end_all(EndKind.DONE)

    def leave(self, task: str) -> None:
        """Removes a member that ended without success and ends the others as broken."""
        self.members.pop(task, None)
        if not self.ended:
            self.end_all(EndKind.BROKEN)

    def end_all(self, kind: EndKind) -> None:
        """Ends all members with the same kind."""
        self.ended = True
        for worker, run in list(self.members.values()):
            worker.end(run, kind)
