"""Limits the number of costly operations started in one turn of the event loop."""

from __future__ import annotations

import math

import anyio

TURN_INTERVAL_S = 0.005  # 200 turns per second without lag.
MAX_CONNECTS_PER_TURN = 16  # About 15 ms of a core, far below any time-out.


class TurnGate:
    """Admits a limited number of tasks per turn of the event loop, in FIFO order.

    The limit hardly matters to a process without lag. Turns of a lagging process are
    long: without the limit, a burst of operations could make one turn exceed the
    time-outs of other tasks and of the burst's own operations.

    :param max_per_turn: Maximum number of tasks admitted per turn.
    """

    def __init__(self, max_per_turn: int) -> None:
        self.max_per_turn = max_per_turn
        self.lock = anyio.Lock()
        self.admitted = 0
        self.turn_started_at = -math.inf

    async def enter(self) -> None:
        """Waits for a turn that has capacity left."""
        async with self.lock:
            now = anyio.current_time()
            if now >= self.turn_started_at + TURN_INTERVAL_S:
                self.start_turn()
            if self.admitted >= self.max_per_turn:
                await anyio.sleep(TURN_INTERVAL_S)
                self.start_turn()
            self.admitted += 1

    def start_turn(self) -> None:
        """Starts a new turn and resets the count."""
        self.admitted = 0
        self.turn_started_at = anyio.current_time()
