"""Wall time that follows the runtime's clock."""

from __future__ import annotations

import time
from datetime import UTC, datetime

import anyio


class WallClock:
    """Wall time as an offset of the runtime's monotonic clock.

    The system's is read anew each time: the monotonic clock does not count the time
    in which a machine is suspended.

    :param start: Wall time at construction in seconds since 1970, or ``None``
        for the system's. Tests pass a fixed one.
    """

    def __init__(self, start: float | None = None) -> None:
        self.fixed_offset_s = None if start is None else start - anyio.current_time()

    @property
    def offset_s(self) -> float:
        """Returns the offset in seconds."""
        if self.fixed_offset_s is not None:
            return self.fixed_offset_s
        return time.time() - anyio.current_time()

    def now(self) -> float:
        """Returns seconds since 1970."""
        return self.offset_s + anyio.current_time()

    def to_runtime(self, moment: datetime) -> float:
        """Returns the runtime's clock at a wall time."""
        return moment.timestamp() - self.offset_s

    def now_text(self) -> str:
        """Returns the time in RFC 3339 form."""
        return datetime.fromtimestamp(self.now(), UTC).isoformat()


def until_tick(interval_s: float) -> float:
    """Returns the seconds until the next multiple of an interval.

    Loops that wait for the same tick wake the runtime once, not once each.
    """
    now = anyio.current_time()
    return (now // interval_s + 1) * interval_s - now
