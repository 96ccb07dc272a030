"""Limits retries to a share of the requests, so that they cannot cause overload."""

from __future__ import annotations

RETRY_SHARE = 0.1
RETRY_BURST = 20.0


class RetryBudget:
    """A token bucket, filled by requests and drained by retries.

    Each request adds ``RETRY_SHARE`` tokens, up to ``RETRY_BURST``; each retry takes
    one.
    """

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def record_request(self) -> None:
        """Adds the tokens of one request."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def try_spend(self) -> bool:
        """Takes a token for one retry, if there is one.

        :returns: Whether the retry is within the budget.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
