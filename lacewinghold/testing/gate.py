"""A gate by which a test pauses all traffic of one entry instance."""

from __future__ import annotations

import anyio


class Gate:
    """Blocks ``pass_through`` while it is closed.

    Simulates a paused process: it neither sends nor receives, but its clock
    advances, so a pause may fall between a check and the action that relies on it.
    """

    def __init__(self) -> None:
        self.opened = anyio.Event()
        self.opened.set()

    @property
    def closed(self) -> bool:
        """Returns whether the gate is closed."""
        return not self.opened.is_set()

    def close(self) -> None:
        """Closes the gate."""
        if not self.closed:
            self.opened = anyio.Event()

    def open(self) -> None:
        """Opens the gate and releases all waiters."""
        self.opened.set()

    async def pass_through(self) -> None:
        """Waits while the gate is closed."""
        while self.closed:
            await self.opened.wait()
