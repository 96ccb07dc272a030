"""Estimates how long answers over this instance's link take; does no I/O.

On a congested link all answers are late, and retries would add to the congestion.
"""

from __future__ import annotations

from collections import OrderedDict

# Weights of the newest answer, as in the retransmission timer of TCP (RFC 6298).
MEAN_GAIN = 0.125
SPREAD_GAIN = 0.25
SPREAD_FACTOR = 4.0  # An answer later than the mean by this many spreads is lost.
MAX_LIMIT_S = 3.0  # Less than a worker's lease.
MAX_OVERDUE_ORDERS = 4096


class ReplyTimes:
    """Estimates the time in which orders are answered, as TCP does.

    All calls use this instance's own link, so that one estimate covers all members.

    :param mean_s: Smoothed answer time in seconds.
    :param spread_s: Smoothed deviation from the mean in seconds.
    :param overdue: Send times of unanswered orders by their number.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.spread_s = 0.0
        self.overdue: OrderedDict[int, float] = OrderedDict()

    def record(self, took_s: float) -> None:
        """Records the time that an answer took."""
        error_s = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error_s
        self.spread_s += SPREAD_GAIN * (abs(error_s) - self.spread_s)

    def limit_s(self, usual_s: float) -> float:
        """Returns the timeout of an answer in seconds.

        :param usual_s: The lower limit of the timeout.
        """
        needed_s = self.mean_s + SPREAD_FACTOR * self.spread_s
        return max(usual_s, min(needed_s, MAX_LIMIT_S))

    def record_overdue(self, number: int, sent_at: float) -> None:
        """Records an order whose answer has not arrived in time."""
        self.overdue[number] = sent_at
        while len(self.overdue) > MAX_OVERDUE_ORDERS:
            self.overdue.popitem(last=False)

    def record_late_reply(self, number: int, now: float) -> None:
        """Records an answer that has arrived after its timeout."""
        sent_at = self.overdue.pop(number, None)
        if sent_at is not None:
            self.record(now - sent_at)
