"""Bounds retries to a share of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
RETRY_BURST = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def record_request(self) -> None:
        """Counts a request's first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def try_spend(self) -> bool:
        """Takes a token for one retry.

        :returns: Whether the retry is within the budget.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
