"""Bounds the time for which a removed key can still be accepted."""

from __future__ import annotations

import math

# The rest of the time covers clocks that differ in rate.
USABLE_SHARE = 0.96
# The watch answers this often within the limit, so that one lost answer is harmless.
CONFIRMATIONS_PER_LIMIT = 4


class ManifestConfirmation:
    """The newest time at which the manifest in force was certainly the newest one.

    A confirmation counts from the sending of the read that brought it: what was
    confirmed to the operators before that, the read has seen.

    :param limit_s: Age in seconds beyond which a removed key might still be accepted;
        infinite if revocation is not strict.
    """

    def __init__(self, limit_s: float = math.inf) -> None:
        self.limit_s = limit_s
        self.confirmed_at = -math.inf
        self.readable = True

    def confirm(self, asked_at: float) -> None:
        """Records an answer of the store that is fully applied.

        :param asked_at: When the read was sent, as ``lease_time``.
        """
        if self.readable:
            self.confirmed_at = max(self.confirmed_at, asked_at)

    def age_s(self, now: float) -> float:
        """Returns the age of the newest confirmation in seconds."""
        return now - self.confirmed_at

    def is_current(self, now: float) -> bool:
        """Returns whether no key that is in force can have been removed too long ago.

        :param now: The time as ``lease_time``, which also runs while the machine is
            suspended.
        """
        return self.age_s(now) <= USABLE_SHARE * self.limit_s

    def confirm_interval_s(self) -> float | None:
        """Returns how often the store should confirm, ``None`` if it need not."""
        if math.isinf(self.limit_s):
            return None
        return self.limit_s / CONFIRMATIONS_PER_LIMIT
