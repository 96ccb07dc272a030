"""Lets only so many costly steps begin in one turn of the event loop."""

from __future__ import annotations

import math

import anyio

TURN_S = 0.005  # Of a process on time: two hundred turns in a second.
OPENINGS_A_TURN = 16  # Connections: some 15 ms of a core, far below any time-out.


class TurnGate:
    """Passed by so many in each turn of the event loop, in the order of arrival.

    A process on time hardly notices it. The turns of a late one are long; without the
    gate a burst makes one of them longer than other tasks may wait, and all that
    the burst has begun fails by its time-outs.

    :param per_turn: How many pass in a turn.
    """

    def __init__(self, per_turn: int) -> None:
        self.per_turn = per_turn
        self.lock = anyio.Lock()
        self.passed = 0
        self.turn_at = -math.inf

    async def enter(self) -> None:
        """Waits for a turn in which there is room."""
        async with self.lock:
            now = anyio.current_time()
            if now >= self.turn_at + TURN_S:
                self.begin_turn()
            if self.passed >= self.per_turn:
                await anyio.sleep(TURN_S)
                self.begin_turn()
            self.passed += 1

    def begin_turn(self) -> None:
        """Lets the next ones pass."""
        self.passed = 0
        self.turn_at = anyio.current_time()
