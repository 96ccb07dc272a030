"""Non-blocking log output of bounded volume."""

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

MAX_EVENT_LINES_PER_SECOND = 150  # Twice the task starts per second at full size.
MAX_BUFFER_BYTES = 256 * 1024  # Buffers output for a slow reader.
SUPPRESSED = "suppressed"
DROPPED = "dropped_lines"


class EventRateLimiter:
    """Limits the log lines of each event per second and reports the number suppressed.

    The first line of the event in a later second carries the number suppressed.

    :param limit: Maximum lines per second of each event.
    :param clock: Returns seconds. The default is the system's monotonic clock, since
        log lines may be written before the asynchronous runtime starts.
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
        """Returns the line to log.

        :raises structlog.DropEvent: If the limit of the event is reached.
        """
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
    """Writes lines to a file descriptor; lines beyond the buffer are dropped.

    :param descriptor: File descriptor, which is set to non-blocking.
    :param limit: Maximum size of the buffer in bytes.
    """

    def __init__(self, descriptor: int, limit: int = MAX_BUFFER_BYTES) -> None:
        self.descriptor = descriptor
        self.limit = limit
        self.buffer = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Writes a line after the buffered ones, and the number dropped before it."""
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
        """Writes buffered bytes until the descriptor would block."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be reported.
                self.dropped += self.buffer.count(b"\n")
                self.buffer.clear()
                return
            del self.buffer[:written]
