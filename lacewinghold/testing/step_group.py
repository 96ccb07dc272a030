"""Runs of an all-at-once step on stand-in workers, which work and end together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lacewinghold.scheduler.ports import EndKind

if TYPE_CHECKING:
    from lacewinghold.testing.step_worker import Execution, StepWorker

JOIN_TIMEOUT_S = 3.0  # How long a member waits for the others.


class RunGroup:
    """All members of one run of a step.

    :param size: How many tasks the step has.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.members: dict[str, tuple[StepWorker, Execution]] = {}
        self.all_joined = anyio.Event()
        self.finished: set[str] = set()
        self.ended = False

    def join(self, worker: StepWorker, run: Execution) -> None:
        """Adds a member; with the last one all begin to work."""
        self.members[run.task] = (worker, run)
        if len(self.members) == self.size:
            self.all_joined.set()

    async def wait_for_others(self) -> bool:
        """Returns whether all members came in time."""
        with anyio.move_on_after(JOIN_TIMEOUT_S):
            await self.all_joined.wait()
            return True
        return False

    def finish(self, task: str) -> None:
        """Notes that a member has done its work; with the last one all are done."""
        self.finished.add(task)
        if len(self.finished) == self.size:
            self.end_all(EndKind.DONE)

    def leave(self, task: str) -> None:
        """Ends the other members after one has ended without being done."""
        self.members.pop(task, None)
        if not self.ended:
            self.end_all(EndKind.BROKEN)

    def end_all(self, kind: EndKind) -> None:
        """Ends all members in one way."""
        self.ended = True
        for worker, run in list(self.members.values()):
            worker.end(run, kind)
