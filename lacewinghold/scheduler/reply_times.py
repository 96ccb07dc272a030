"""How long answers over this instance's link take; pure.

It answers the load of a link that is full: everybody's answers are late then, and
asking again fills it further.
"""

from __future__ import annotations

from collections import OrderedDict

MEAN_GAIN = (
    0.125  # Of an answer's time in the mean, as usual for retransmission timers.
)
SPREAD_GAIN = 0.25
SPREAD_FACTOR = 4.0  # Answers later than so many spreads are lost.
MAX_LIMIT_S = 3.0  # Less than a worker's lease.
MAX_OVERDUE_ORDERS = 4096


class ReplyTimes:
    """Estimates the time in which an order is answered, as TCP does.

    The link is this instance's own, so that one estimate serves all members.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.spread_s = 0.0
        self.overdue: OrderedDict[int, float] = OrderedDict()

    def record(self, took_s: float) -> None:
        """Notes how long an answer took."""
        error_s = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error_s
        self.spread_s += SPREAD_GAIN * (abs(error_s) - self.spread_s)

    def limit_s(self, usual_s: float) -> float:
        """Returns how long to wait for an answer, at least as long as usual."""
        needed_s = self.mean_s + SPREAD_FACTOR * self.spread_s
        return max(usual_s, min(needed_s, MAX_LIMIT_S))

    def record_overdue(self, number: int, sent_at: float) -> None:
        """Notes an order whose answer has not come in time."""
        self.overdue[number] = sent_at
        while len(self.overdue) > MAX_OVERDUE_ORDERS:
            self.overdue.popitem(last=False)

    def record_late_reply(self, number: int, now: float) -> None:
        """Notes an answer that comes after all."""
        sent_at = self.overdue.pop(number, None)
        if sent_at is not None:
            self.record(now - sent_at)
