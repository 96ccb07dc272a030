"""Wall-clock time based on the runtime's clock."""

from __future__ import annotations

import time
from datetime import UTC, datetime

import anyio


class WallClock:
    """Wall time as an offset of the runtime's monotonic clock.

    The offset is computed from the system clock at each read, since the monotonic
    clock does not advance while the machine is suspended.

    :param start: Wall time at construction in seconds since 1970, or ``None``
        for the system's time. Tests pass a fixed time.
    """

    def __init__(self, start: float | None = None) -> None:
        self.fixed_offset_s = None if start is None else start - anyio.current_time()

    @property
    def offset_s(self) -> float:
        """Returns wall time minus the runtime's clock, in seconds."""
        if self.fixed_offset_s is not None:
            return self.fixed_offset_s
        return time.time() - anyio.current_time()

    def now(self) -> float:
        """Returns the wall time in seconds since 1970."""
        return self.offset_s + anyio.current_time()

    def to_runtime(self, moment: datetime) -> float:
        """Returns the value of the runtime's clock at a wall time."""
        return moment.timestamp() - self.offset_s

    def now_text(self) -> str:
        """Returns the time in RFC 3339 form."""
        return datetime.fromtimestamp(self.now(), UTC).isoformat()


def suspended_s() -> float:
    """Returns how long the machine has been suspended since it booted, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(
        time.CLOCK_MONOTONIC
    )


def lease_time() -> float:
    """Returns the runtime's clock, advanced by the time that the machine was suspended.

    The runtime's clock stands still meanwhile, but a lease that others hold against
    this process runs on.

    :returns: Seconds; comparable only with other values of this function.
    """
    return anyio.current_time() + suspended_s()


def until_tick(interval_s: float) -> float:
    """Returns the seconds until the next multiple of an interval.

    Loops that wait for a common tick wake the runtime once instead of once each.
    """
    now = anyio.current_time()
    return (now // interval_s + 1) * interval_s - now
