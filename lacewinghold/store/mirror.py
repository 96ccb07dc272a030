"""Follows the keys under a prefix of the store: a snapshot, then its changes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, FailureError
from lacewinghold.events import Event
from lacewinghold.ids import Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.errors import Failure
    from lacewinghold.store.base import KeyValue, Store, WatchBatch

logger = structlog.get_logger(__name__)
RETRY_DELAY_S = 0.15  # Pause after a failed call, so that an outage is not hammered.
KEYS_PER_TURN = 50  # Keys told in one turn: a few milliseconds at most.
BURST_INTERVAL_S = (
    1.0  # Changes closer than this are a in_burst; three looks at the usual pace.
)


class Mirror:
    """A copy of the keys under a prefix that trails the store by its age.

    :param on_put: Called with each key that was written, oldest first.
    :param on_delete: Called with each key that is gone.
    :param min_poll_interval_s: Least time between two looks for changes, in seconds.
    :param newest_only: Reads what is newest in a in_burst of changes. Working off its
        history would carry every version over the link, and fall behind.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        on_put: Callable[[KeyValue], None],
        on_delete: Callable[[str], None],
        min_poll_interval_s: float = 0.0,
        *,
        newest_only: bool = False,
    ) -> None:
        self.newest_only = newest_only
        self.changed_at = -math.inf
        self.store = store
        self.prefix = prefix
        self.on_put = on_put
        self.on_delete = on_delete
        self.min_poll_interval_s = min_poll_interval_s
        self.revisions: dict[str, int] = {}
        self.revision = Revision(0)
        self.synced = anyio.Event()
        self.last_contact_at = -1.0
        self.failing = False

    async def load(self) -> Result[None, Failure]:
        """Reads all keys and tells what differs from the copy, by and by."""
        started = anyio.current_time()
        reply = await self.store.range(self.prefix, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found = {item.key for item in reply.ok_value.items}
        for key in set(self.revisions) - found:
            del self.revisions[key]
            self.on_delete(key)
        items = sorted(reply.ok_value.items, key=lambda item: item.mod_revision)
        for number, item in enumerate(items, 1):
            self.put(item)
            if number % KEYS_PER_TURN == 0:
                await anyio.sleep(0)
        self.revision = Revision(max(self.revision, reply.ok_value.revision))
        self.last_contact_at = started
        self.synced.set()
        return Ok(None)

    def put(self, item: KeyValue) -> None:
        """Tells a write, unless the copy has it or a later one."""
        if self.revisions.get(item.key, 0) >= item.mod_revision:
            return
        self.revisions[item.key] = item.mod_revision
        self.on_put(item)

    def apply(self, batch: WatchBatch) -> None:
        """Tells the changes of a batch."""
        self.last_contact_at = anyio.current_time()
        for item in batch.puts:
            self.put(item)
        for key in batch.deletes:
            if self.revisions.pop(key, None) is not None:
                self.on_delete(key)
        self.revision = Revision(max(self.revision, batch.revision))

    async def load_until_done(self) -> None:
        """Reads all keys, again and again until the store answers."""
        while True:
            loaded = await self.load()
            if isinstance(loaded, Ok):
                self.record_contact()
                return
            self.record_failure(loaded.err_value.detail)
            await anyio.sleep(RETRY_DELAY_S)

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            await self.load_until_done()
            await self.follow()

    async def run_after_load(self) -> None:
        """Follows until cancelled, after a load that is done already."""
        await self.follow()
        await self.run()

    async def follow(self) -> None:
        """Follows changes until the history is gone, or not worth reading."""
        while True:
            try:
                async with self.store.watch(self.prefix, self.revision) as batches:
                    async for batch in batches:
                        self.record_contact()
                        same_poll = batch.revision == self.revision
                        self.apply(batch)
                        if same_poll or not (batch.puts or batch.deletes):
                            continue
                        in_burst = self.record_change()
                        if self.min_poll_interval_s:
                            await anyio.sleep(self.min_poll_interval_s)
                        if in_burst and self.newest_only:
                            return
            except FailureError as error:
                if error.failure.kind is ErrorKind.HISTORY_GONE:
                    logger.warning(Event.HISTORY_GONE, prefix=self.prefix)
                    return
                self.record_failure(error.failure.detail)
                await anyio.sleep(RETRY_DELAY_S)

    def record_change(self) -> bool:
        """Notes that something has changed.

        :returns: Whether changes follow each other closely.
        """
        now = anyio.current_time()
        in_burst = now - self.changed_at < BURST_INTERVAL_S
        self.changed_at = now
        return in_burst

    def record_failure(self, detail: str) -> None:
        """Logs once that the store cannot be followed."""
        if not self.failing:
            logger.warning(Event.STORE_LOST, prefix=self.prefix, detail=detail)
        self.failing = True

    def record_contact(self) -> None:
        """Logs once that the store is followed again."""
        if self.failing:
            logger.info(Event.STORE_REGAINED, prefix=self.prefix)
        self.failing = False
