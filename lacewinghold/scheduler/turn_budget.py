"""Divides long work of the owner into turns of the event loop."""

from __future__ import annotations

import anyio

MAX_WORK_PER_TURN = 200  # Steps built without yielding: under a millisecond.
RECORD_WORK = 9  # To decode a record, compared with building a step.


class TurnBudget:
    """Yields to the event loop each time a limited amount of work is done."""

    def __init__(self) -> None:
        self.spent = 0

    async def spend(self, work: int) -> None:
        """Counts work, and yields once it reaches the limit of one turn."""
        self.spent += work
        if self.spent >= MAX_WORK_PER_TURN:
            self.spent = 0
            await anyio.sleep(0)
