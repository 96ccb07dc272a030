"""Exponential backoff between attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class Backoff:
    """Exponential backoff with jitter: each delay is 50 to 100 % of its upper bound.

    :param first_s: Upper bound of the first delay in seconds.
    :param limit_s: Upper bound of every delay in seconds.
    :param rng: Source of jitter.
    """

    def __init__(self, first_s: float, limit_s: float, rng: random.Random) -> None:
        self.first_s = first_s
        self.limit_s = limit_s
        self.rng = rng
        self.attempt = 0

    def next_delay_s(self) -> float:
        """Returns the next delay in seconds."""
        bound = min(self.limit_s, self.first_s * 2.0 ** min(self.attempt, 30))
        self.attempt += 1
        return bound * self.rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Resets the delay to the first one after a success."""
        self.attempt = 0
