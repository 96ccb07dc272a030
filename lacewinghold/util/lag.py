"""Measures by how much this process itself is late."""

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
INTERVAL_S = 0.05  # A fifth of the shortest time-out of a call.
NOISE_S = 0.02  # A process with time to spare wakes up this exactly.
DECAY_S = 1.0  # The smoothed lag falls to a third in this time.
RECENT_S = 3.0  # Longer than one loading of the cell or one burst of callers.
KEPT_S = 30.0  # Longer than any wait that is excused.
LOG_ABOVE_S = 0.1
LOG_PACE_S = 1.0
TURNS_A_CALL = 3.0  # A call needs the loop to connect, to send and to be answered.
MAX_ALLOWANCE_S = 1.5  # With the call and a pause less than a member's lease.
MAX_PAUSE_S = 1.0


class Stretch(Struct, frozen=True):
    """A stretch of time in which the process was due to run and did not."""

    start: float
    end: float


class LagMonitor:
    """Sleeps in short intervals and notes by how much it wakes up late.

    Others ask it whether silence during a wait may be this process's own fault.
    While it is not late all answers are 0 and false.

    :param clock: The clock on which waits are measured, the runtime's if ``None``.
    :param details: Further fields of the log lines.
    :param lags: Observes the lag of every waking, in seconds.
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
        self.due = math.inf
        self.stretches: deque[Stretch] = deque()
        self.peak_s = 0.0
        self.peak_at = -math.inf
        self.recent_s = 0.0
        self.recent_at = -math.inf
        self.logged_at = -math.inf
        self.worst_unlogged_s = 0.0
        self.reported = False

    async def run(self) -> None:
        """Measures until cancelled."""
        try:
            while True:
                self.due = self.clock() + INTERVAL_S
                await anyio.sleep(INTERVAL_S)
                self.note(self.clock())
        finally:
            self.due = math.inf

    def note(self, now: float) -> None:
        """Notes a waking."""
        self.note_stretch(Stretch(min(self.due, now), now))

    def note_stretch(self, stretch: Stretch) -> None:
        """Notes a stretch of time that the process has missed."""
        now = stretch.end
        late_s = now - stretch.start
        if self.lags is not None:
            self.lags.observe(late_s)
        if late_s > NOISE_S:
            self.stretches.append(stretch)
            self.recent_s = max(self.recent_s, late_s)
        while self.stretches and self.stretches[0].end < now - KEPT_S:
            self.stretches.popleft()
        if late_s >= self.faded_s(now):
            self.peak_s, self.peak_at = late_s, now
        self.worst_unlogged_s = max(self.worst_unlogged_s, late_s)
        self.report(now)

    def report(self, now: float) -> None:
        """Writes a line now and then while the process is late, and one after."""
        lag_s = self.faded_s(now)
        if lag_s > LOG_ABOVE_S:
            if now - self.logged_at < LOG_PACE_S:
                return
            logger.warning(
                Event.PROCESS_LATE,
                lag_s=round(lag_s, 3),
                worst_s=round(self.worst_unlogged_s, 3),
                **self.details(),
            )
            self.reported = True
        elif self.reported:
            logger.info(
                Event.PROCESS_ON_TIME_AGAIN,
                worst_s=round(self.worst_unlogged_s, 3),
                **self.details(),
            )
            self.reported = False
        else:
            self.worst_unlogged_s = 0.0
            return
        self.logged_at = now
        self.worst_unlogged_s = 0.0

    def faded_s(self, now: float) -> float:
        """Returns the last peak, less the longer ago it was."""
        return self.peak_s * math.exp((self.peak_at - now) / DECAY_S)

    def overdue(self, now: float) -> Stretch | None:
        """Returns the present stretch of lateness, if there is one.

        Whoever runs before the monitor after a long turn of the loop sees it too.
        """
        if now - self.due <= NOISE_S:
            return None
        return Stretch(self.due, now)

    def known_since(self, moment: float) -> Iterator[Stretch]:
        """Yields the stretches that ended after a moment, the newest first."""
        present = self.overdue(self.clock())
        if present is not None:
            yield present
        for stretch in reversed(self.stretches):
            if stretch.end <= moment:
                return
            yield stretch

    @property
    def lag_s(self) -> float:
        """Returns the smoothed lag in seconds; it decays in about a second."""
        now = self.clock()
        present = self.overdue(now)
        present_s = present.end - present.start if present else 0.0
        return max(present_s, self.faded_s(now))

    def worst_since(self, moment: float) -> float:
        """Returns the largest lag of those that ended after a moment, in seconds."""
        worst_s = 0.0
        for stretch in self.known_since(moment):
            worst_s = max(worst_s, stretch.end - stretch.start)
        return worst_s

    def late_s(self) -> float:
        """Returns the largest lag of the last seconds.

        Asked before each call; the past is looked through once an interval.
        """
        now = self.clock()
        if now >= self.recent_at + INTERVAL_S:
            self.recent_s = self.worst_since(now - RECENT_S)
            self.recent_at = now
        present = self.overdue(now)
        if present is None:
            return self.recent_s
        return max(self.recent_s, present.end - present.start)

    def lost_s(self, moment: float) -> float:
        """Returns how many of the seconds since a moment the process has missed."""
        lost_s = 0.0
        for stretch in self.known_since(moment):
            lost_s += max(0.0, stretch.end - max(stretch.start, moment))
        return lost_s

    def excused(self, moment: float) -> bool:
        """Returns whether silence since a moment is no evidence against others."""
        return self.worst_since(moment) > LOG_ABOVE_S

    def deadline(self, moment: float, timeout_s: float) -> float:
        """Returns when a wait since a moment is over: own lateness does not count."""
        return moment + timeout_s + min(self.lost_s(moment), KEPT_S)

    def allowance_s(self) -> float:
        """Returns by how much time-outs of calls that begin now are longer."""
        return min(self.late_s() * TURNS_A_CALL, MAX_ALLOWANCE_S)

    def pause_s(self, usual_s: float) -> float:
        """Returns the pause before another try: the later, the longer.

        Tries of a process that can't keep up would make it later still.
        """
        return usual_s + min(self.late_s(), MAX_PAUSE_S)
