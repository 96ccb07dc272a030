"""Tombstones: what keeps a job from being stored after it was cancelled.

A cancelled job that is not in the store may still be on its way there: a write without
an answer can take effect seconds later, and its submission can arrive again. Each such
write requires that the job has no outcome; a tombstone takes the outcome's place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from lacewinghold.scheduler.job_store import MAX_TOMBSTONES_PER_WRITE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.store.base import KeyValue

BUDGET_PER_S = 1.0  # Tombstones per second of one instance.
BUDGET_BURST = 30.0  # Tombstones that one instance may store at once.


class TombstoneBudget:
    """A token bucket for the tombstones that one instance stores.

    Callers choose the ids, so that nothing else bounds what they make it store.
    """

    def __init__(self) -> None:
        self.tokens = BUDGET_BURST
        self.filled_at = anyio.current_time()

    def try_spend(self) -> bool:
        """Takes a token for one tombstone, if there is one."""
        now = anyio.current_time()
        gained = (now - self.filled_at) * BUDGET_PER_S
        self.tokens = min(BUDGET_BURST, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def seconds_until_token(self) -> float:
        """Returns the seconds until a token is available."""
        return max(0.0, 1.0 - self.tokens) / BUDGET_PER_S


class TombstoneSweeper:
    """Removes tombstones that have stood for the retention period of outcomes.

    Each sweep removes what the sweep before it has already found, so that neither the
    clocks of other instances nor a store outage shortens the time.

    :param owner: The owner that sweeps.
    :ivar found: Revisions of the tombstones that the last sweep has found, by key.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.found: dict[str, int] = {}

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await self.sweep()
            await anyio.sleep(self.owner.status_retention_s)

    async def sweep(self) -> None:
        """Removes the tombstones that the last sweep has found, and finds new ones."""
        reply = await self.owner.job_store.list_tombstones()
        if isinstance(reply, Err):
            return
        items = reply.ok_value
        expired = [
            item for item in items if self.found.get(item.key) == item.mod_revision
        ]
        self.found = {item.key: item.mod_revision for item in items}
        for first in range(0, len(expired), MAX_TOMBSTONES_PER_WRITE):
            await self.remove(expired[first : first + MAX_TOMBSTONES_PER_WRITE])

    async def remove(self, items: Sequence[KeyValue]) -> None:
        """Removes tombstones; the next sweep finds those that a failed write leaves."""
        store = self.owner.job_store
        removed = await store.remove_tombstones(items)
        if isinstance(removed, Err) or removed.ok_value:
            return
        for item in items:
            if await store.remove_tombstones([item]) == Ok(False):
                await store.remove_tombstone_entry(item)
