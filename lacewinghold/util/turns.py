"""Lets only so many costly steps begin in one turn of the event loop."""

from __future__ import annotations

import math

import anyio

TURN_INTERVAL_S = 0.005  # Of a process on time: two hundred turns in a second.
MAX_CONNECTS_PER_TURN = 16  # Connections: some 15 ms of a core, far below any time-out.


class TurnGate:
    """Passed by so many in each turn of the event loop, in the order of arrival.

    A process on time hardly notices it. The turns of a late one are long; without the
    gate a burst makes one of them longer than other tasks may wait, and all that
    the burst has begun fails by its time-outs.

    :param max_per_turn: How many pass in a turn.
    """

    def __init__(self, max_per_turn: int) -> None:
        self.max_per_turn = max_per_turn
        self.lock = anyio.Lock()
        self.admitted = 0
        self.turn_started_at = -math.inf

    async def enter(self) -> None:
        """Waits for a turn in which there is room."""
        async with self.lock:
            now = anyio.current_time()
            if now >= self.turn_started_at + TURN_INTERVAL_S:
                self.start_turn()
            if self.admitted >= self.max_per_turn:
                await anyio.sleep(TURN_INTERVAL_S)
                self.start_turn()
            self.admitted += 1

    def start_turn(self) -> None:
        """Lets the next ones pass."""
        self.admitted = 0
        self.turn_started_at = anyio.current_time()
