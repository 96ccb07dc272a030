"""A gate by which a test pauses all traffic of one entry instance."""

from __future__ import annotations

import anyio


class Gate:
    """Open or closed; what passes a closed gate waits until it opens.

    A paused process neither sends nor hears anything, while its clock goes on:
    closing the gate between a check and the act that follows has that effect.
    """

    def __init__(self) -> None:
        self.opened = anyio.Event()
        self.opened.set()

    @property
    def closed(self) -> bool:
        """Returns whether the gate is closed."""
        return not self.opened.is_set()

    def close(self) -> None:
        """Makes all that arrives wait."""
        if not self.closed:
            self.opened = anyio.Event()

    def open(self) -> None:
        """Lets everything pass."""
        self.opened.set()

    async def pass_through(self) -> None:
        """Waits while the gate is closed."""
        while self.closed:
            await self.opened.wait()
