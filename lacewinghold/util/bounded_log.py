"""Log output that never blocks and whose volume has a bound."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import structlog

from lacewinghold.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

MAX_EVENT_LINES_PER_SECOND = 150  # Twice the starts a second at the planned size.
MAX_BUFFER_BYTES = 256 * 1024  # What waits for a reader that is slow.
SUPPRESSED = "suppressed"
DROPPED = "dropped_lines"


class EventRateLimiter:
    """Suppresses lines of an event beyond a number a second, and says how many.

    The first line of the event in a later second carries the number suppressed.

    :param clock: Seconds; the runtime's clock need not run yet when this is used.
    """

    def __init__(
        self,
        limit: int = MAX_EVENT_LINES_PER_SECOND,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.limit = limit
        self.clock = clock or time.monotonic
        self.second = 0
        self.lines: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Passes a line, or drops it."""
        name = str(event.get("event"))
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.lines.clear()
        self.lines[name] += 1
        if self.lines[name] > self.limit:
            self.suppressed[name] += 1
            raise structlog.DropEvent
        count = self.suppressed.pop(name, 0)
        if count:
            event[SUPPRESSED] = count
        return event


class NonBlockingWriter:
    """Writes lines to a file descriptor; what does not fit is dropped and counted.

    :param descriptor: Is set to non-blocking.
    """

    def __init__(self, descriptor: int, limit: int = MAX_BUFFER_BYTES) -> None:
        self.descriptor = descriptor
        self.limit = limit
        self.buffer = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Writes a line, after those that wait."""
        line = message.encode() + b"\n"
        self.flush()
        if len(self.buffer) + len(line) > self.limit:
            self.dropped += 1
        else:
            if self.dropped:
                notice = {"event": Event.LOG_LINES_DROPPED, DROPPED: self.dropped}
                self.buffer += json.dumps(notice).encode() + b"\n"
                self.dropped = 0
            self.buffer += line
        self.flush()

    debug = info = warning = error = critical = log = msg

    def flush(self) -> None:
        """Writes as much of what waits as the reader takes."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is nowhere left to say so.
                self.dropped += self.buffer.count(b"\n")
                self.buffer.clear()
                return
            del self.buffer[:written]
