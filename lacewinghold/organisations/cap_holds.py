"""Holds the room below a cap for work that needs more of it at once than becomes free.

The load that this answers: an organisation near its cap whose small tasks take up each
gap, so that its all-at-once steps, or tasks that exceed the cap by themselves, would
never start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# An accepted job must not stand still for 3 s while its organisation uses little of its
# cap; the runs that are under way have to end first.
HOLD_DELAY_S = 1.0
# Runs that last longer than this would hold up the organisation's other work.
MAX_HOLD_S = 10.0


class CapHolds:
    """Since when steps have been blocked by their caps, from plan to plan.

    A blocked step holds the room of its organisation for ``MAX_HOLD_S`` after
    ``HOLD_DELAY_S``, and then for as long not.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.blocked_since: dict[str, float] = {}

    def begin_plan(self, waiting: Collection[str], now: float) -> None:
        """Forgets the steps that do not wait any more.

        :param waiting: Names of the steps with waiting tasks.
        :param now: Time on the runtime's clock, in seconds.
        """
        self.now = now
        for name in [name for name in self.blocked_since if name not in waiting]:
            del self.blocked_since[name]

    def may_hold(self, step: str) -> bool:
        """Records that a step is blocked; returns whether it holds the room now."""
        since = self.blocked_since.setdefault(step, self.now)
        held_s = self.now - since - HOLD_DELAY_S
        return held_s >= 0 and held_s % (2 * MAX_HOLD_S) < MAX_HOLD_S
