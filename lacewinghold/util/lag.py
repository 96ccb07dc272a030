"""Measures the scheduling lag of this process."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct

from lacewinghold.events import Event

if TYPE_CHECKING:
    from prometheus_client import Histogram

Clock = Callable[[], float]
Details = Callable[[], Mapping[str, object]]

logger = structlog.get_logger(__name__)
SAMPLE_INTERVAL_S = 0.05  # A fifth of the shortest call time-out.
MIN_LAG_S = 0.02  # Wake-up jitter of a process without lag.
PEAK_DECAY_S = 1.0  # Time in which the smoothed lag decays to 1/e.
RECENT_WINDOW_S = 3.0  # Longer than loading the cell or a burst of requests takes.
RETENTION_S = 30.0  # Longer than any wait that lag may extend.
LAG_THRESHOLD_S = 0.1
LOG_INTERVAL_S = 1.0
TURNS_PER_CALL = 3.0  # Turns of the event loop to connect, send and receive.
# A call, its extension and a pause must fit into a member's lease.
MAX_TIMEOUT_EXTENSION_S = 1.5
MAX_EXTRA_PAUSE_S = 1.0


class LagPeriod(Struct, frozen=True):
    """A period in which the process was due to run but did not.

    :param start: Start, in seconds of the monitor's clock.
    :param end: End, in seconds of the monitor's clock.
    """

    start: float
    end: float


class LagMonitor:
    """Sleeps in short intervals and records how late each wake-up is.

    Callers check whether a peer's silence may be caused by this process's own lag.
    Without lag, time-outs and pauses keep their usual length.

    :param clock: Clock that measures waits, the runtime's if ``None``.
    :param details: Returns additional fields for the log lines.
    :param lags: Histogram of the lag of every wake-up, in seconds.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        details: Details = dict,
        lags: Histogram | None = None,
    ) -> None:
        self.clock = clock or anyio.current_time
        self.details = details
        self.lags = lags
        self.due_at = math.inf
        self.periods: deque[LagPeriod] = deque()
        self.peak_s = 0.0
        self.peak_at = -math.inf
        self.recent_s = 0.0
        self.recent_at = -math.inf
        self.logged_at = -math.inf
        self.max_unlogged_s = 0.0
        self.lag_reported = False

    async def run(self) -> None:
        """Measures until cancelled."""
        try:
            while True:
                self.due_at = self.clock() + SAMPLE_INTERVAL_S
                await anyio.sleep(SAMPLE_INTERVAL_S)
                self.record_wakeup(self.clock())
        finally:
            self.due_at = math.inf

    def record_wakeup(self, now: float) -> None:
        """Records the lag of a wake-up."""
        self.record_period(LagPeriod(min(self.due_at, now), now))

    def record_period(self, period: LagPeriod) -> None:
        """Records a period in which the process did not run."""
        now = period.end
        late_s = now - period.start
        if self.lags is not None:
            self.lags.observe(late_s)
        if late_s > MIN_LAG_S:
            self.periods.append(period)
            self.recent_s = max(self.recent_s, late_s)
        while self.periods and self.periods[0].end < now - RETENTION_S:
            self.periods.popleft()
        if late_s >= self.decayed_peak_s(now):
            self.peak_s, self.peak_at = late_s, now
        self.max_unlogged_s = max(self.max_unlogged_s, late_s)
        self.report(now)

    def report(self, now: float) -> None:
        """Logs lag every ``LOG_INTERVAL_S`` while it lasts, and once at its end."""
        lag_s = self.decayed_peak_s(now)
        if lag_s > LAG_THRESHOLD_S:
            if now - self.logged_at < LOG_INTERVAL_S:
                return
            logger.warning(
                Event.PROCESS_LATE,
                lag_s=round(lag_s, 3),
                worst_s=round(self.max_unlogged_s, 3),
                **self.details(),
            )
            self.lag_reported = True
        elif self.lag_reported:
            logger.info(
                Event.PROCESS_ON_TIME_AGAIN,
                worst_s=round(self.max_unlogged_s, 3),
                **self.details(),
            )
            self.lag_reported = False
        else:
            self.max_unlogged_s = 0.0
            return
        self.logged_at = now
        self.max_unlogged_s = 0.0

    def decayed_peak_s(self, now: float) -> float:
        """Returns the last peak in seconds, decayed exponentially by its age."""
        return self.peak_s * math.exp((self.peak_at - now) / PEAK_DECAY_S)

    def current_period(self, now: float) -> LagPeriod | None:
        """Returns the lag period still in progress, if any.

        It is also found by tasks that run before the monitor after a long turn of the
        event loop.
        """
        if now - self.due_at <= MIN_LAG_S:
            return None
        return LagPeriod(self.due_at, now)

    def periods_since(self, moment: float) -> Iterator[LagPeriod]:
        """Yields the lag periods that ended after a moment, newest first."""
        current = self.current_period(self.clock())
        if current is not None:
            yield current
        for period in reversed(self.periods):
            if period.end <= moment:
                return
            yield period

    @property
    def lag_s(self) -> float:
        """Returns the smoothed lag in seconds; it decays in about a second."""
        now = self.clock()
        current = self.current_period(now)
        current_s = current.end - current.start if current else 0.0
        return max(current_s, self.decayed_peak_s(now))

    def max_lag_since(self, moment: float) -> float:
        """Returns the longest lag period that ended after a moment, in seconds."""
        max_s = 0.0
        for period in self.periods_since(moment):
            max_s = max(max_s, period.end - period.start)
        return max_s

    def recent_max_s(self) -> float:
        """Returns the maximum lag within ``RECENT_WINDOW_S``, in seconds.

        Past periods are searched only once in ``SAMPLE_INTERVAL_S``, since this is
        called before every request.
        """
        now = self.clock()
        if now >= self.recent_at + SAMPLE_INTERVAL_S:
            self.recent_s = self.max_lag_since(now - RECENT_WINDOW_S)
            self.recent_at = now
        current = self.current_period(now)
        if current is None:
            return self.recent_s
        return max(self.recent_s, current.end - current.start)

    def lost_s(self, moment: float) -> float:
        """Returns the total lag since a moment, in seconds."""
        lost_s = 0.0
        for period in self.periods_since(moment):
            lost_s += max(0.0, period.end - max(period.start, moment))
        return lost_s

    def lagged_since(self, moment: float) -> bool:
        """Returns whether own lag may explain a peer's silence since a moment."""
        return self.max_lag_since(moment) > LAG_THRESHOLD_S

    def deadline(self, moment: float, timeout_s: float) -> float:
        """Returns the end of a wait that began at a moment, extended by own lag."""
        return moment + timeout_s + min(self.lost_s(moment), RETENTION_S)

    def allowance_s(self) -> float:
        """Returns the extension in seconds of time-outs of calls that start now."""
        return min(self.recent_max_s() * TURNS_PER_CALL, MAX_TIMEOUT_EXTENSION_S)

    def pause_s(self, base_s: float) -> float:
        """Returns the pause before a retry in seconds, lengthened by own lag.

        Frequent retries would increase the lag of an overloaded process.
        """
        return base_s + min(self.recent_max_s(), MAX_EXTRA_PAUSE_S)
