"""Time limits of a transfer that follow its size and progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from prometheus_client import Counter

if TYPE_CHECKING:
    from collections.abc import Callable

BYTES_PER_MEGABIT = 125_000
# A transfer may share its link with as many others as this, and their overheads.
MIN_LINK_SHARE = 1 / 8
MAX_REQUIRED_BYTES_PER_S = BYTES_PER_MEGABIT  # Links between regions are shared widely.

DISCARDED_BYTES = Counter(
    "lacewinghold_discarded_response_bytes",
    "Received bytes of responses that were given up before they were complete.",
    registry=None,
)


def required_rate(link_mbps: float | None) -> float:
    """Returns the average rate below which a transfer is given up, in bytes/s.

    :param link_mbps: Bandwidth of this machine's link in Mbit/s, ``None`` if unknown.
    """
    if link_mbps is None:
        return MAX_REQUIRED_BYTES_PER_S
    share = link_mbps * BYTES_PER_MEGABIT * MIN_LINK_SHARE
    return min(share, MAX_REQUIRED_BYTES_PER_S)


class TransferLimits(Struct, frozen=True):
    """Limits of a transfer after its first byte.

    :param stall_s: Maximum time without progress, in seconds.
    :param bytes_per_s: Average rate that the whole transfer must reach.
    """

    stall_s: float
    bytes_per_s: float


class Transfer:
    """Moves the deadline of a call while its response arrives.

    Until its original deadline, a call may be silent. After it, the call goes on as
    long as it makes progress, and its received bytes account for the additional time:
    a peer that sends a byte now and then gains nothing.

    :param scope: Cancel scope of the call; its deadline is the original one.
    :param on_progress: Called whenever bytes arrive.
    """

    def __init__(
        self,
        scope: anyio.CancelScope,
        limits: TransferLimits,
        on_progress: Callable[[], object],
    ) -> None:
        self.scope = scope
        self.limits = limits
        self.on_progress = on_progress
        self.first_deadline = scope.deadline
        self.started_at = anyio.current_time()
        self.received = 0

    def record(self, size: int) -> None:
        """Records received bytes and moves the deadline."""
        self.received += size
        earned = self.first_deadline + self.received / self.limits.bytes_per_s
        unless_stalled = anyio.current_time() + self.limits.stall_s
        self.scope.deadline = min(earned, max(self.first_deadline, unless_stalled))
        self.on_progress()

    def describe(self) -> str:
        """Returns how far the transfer has come."""
        took_s = anyio.current_time() - self.started_at
        return f"{self.received} bytes received in {took_s:.2f} s"
