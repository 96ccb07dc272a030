"""Mirrors the keys under a prefix of the store: a snapshot, then its changes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, FailureError
from lacewinghold.events import Event
from lacewinghold.ids import Revision
from lacewinghold.util.clock import lease_time
from lacewinghold.util.containment import contained

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.errors import Failure
    from lacewinghold.store.base import KeyValue, Store, WatchBatch

logger = structlog.get_logger(__name__)
RETRY_DELAY_S = 0.15  # Bounds the load of retries on a failing store.
KEYS_PER_TURN = 50  # Keeps a turn of the event loop to a few milliseconds.
# Changes closer together than this are a burst: three polls at the usual interval.
BURST_INTERVAL_S = 1.0
# With ``newest_only``, larger changes are not received: they are likely to hold several
# versions, and loading transfers one.
MAX_CHANGES_RATIO = 1.5
MAX_CHANGES_BYTES = 128 * 1024
RETRY_PAUSE_SHARE = 0.25  # Of the failed load, so that others can use the link.
MAX_RETRY_DELAY_S = 2.0


class Mirror:
    """A local copy of the keys under a prefix, which lags behind the store.

    :param on_put: Called with each key that was written, in order of revision.
    :param on_delete: Called with each key that was deleted.
    :param min_poll_interval_s: Minimum time between two polls for changes, in seconds.
    :param newest_only: Whether to load the current state in a burst of changes.
        Following the history would transfer every version, and fall behind.
    :param confirm_s: How often the store confirms that the copy is complete; ``None``
        if that is not needed.
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
        confirm_s: float | None = None,
    ) -> None:
        self.newest_only = newest_only
        self.confirm_s = confirm_s
        self.on_confirmed: Callable[[float], None] = lambda asked_at: None
        self.changed_at = -math.inf
        self.store = store
        self.prefix = prefix
        self.on_put = on_put
        self.on_delete = on_delete
        self.min_poll_interval_s = min_poll_interval_s
        self.revisions: dict[str, int] = {}
        self.value_sizes: dict[str, int] = {}
        self.revision = Revision(0)
        self.synced = anyio.Event()
        self.last_contact_at = -1.0
        self.failing = False

    async def load(self) -> Result[None, Failure]:
        """Reads all keys and reports differences from the copy.

        Yields to other tasks after every ``KEYS_PER_TURN`` keys.
        """
        started, asked_at = anyio.current_time(), lease_time()
        reply = await self.store.range(self.prefix, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found = {item.key for item in reply.ok_value.items}
        for key in set(self.revisions) - found:
            self.delete(key)
        items = sorted(reply.ok_value.items, key=lambda item: item.mod_revision)
        for number, item in enumerate(items, 1):
            self.put(item)
            if number % KEYS_PER_TURN == 0:
                await anyio.sleep(0)
        self.revision = Revision(max(self.revision, reply.ok_value.revision))
        self.last_contact_at = started
        self.synced.set()
        self.on_confirmed(asked_at)
        return Ok(None)

    def put(self, item: KeyValue) -> None:
        """Reports a write, unless the copy has this revision or a later one."""
        if self.revisions.get(item.key, 0) >= item.mod_revision:
            return
        self.revisions[item.key] = item.mod_revision
        if self.newest_only:
            self.value_sizes[item.key] = len(item.value)
        with contained("entry in the store", key=item.key):
            self.on_put(item)

    def delete(self, key: str) -> None:
        """Reports a removal, unless the copy does not have the key."""
        if self.revisions.pop(key, None) is None:
            return
        self.value_sizes.pop(key, None)
        with contained("entry in the store", key=key):
            self.on_delete(key)

    def max_value_bytes(self) -> int:
        """Returns the size of changes beyond which the state is loaded, in bytes."""
        return round(
            MAX_CHANGES_RATIO * sum(self.value_sizes.values()) + MAX_CHANGES_BYTES
        )

    def apply(self, batch: WatchBatch) -> None:
        """Applies a batch of changes to the copy and reports them."""
        self.last_contact_at = anyio.current_time()
        for item in batch.puts:
            self.put(item)
        for key in batch.deletes:
            self.delete(key)
        self.revision = Revision(max(self.revision, batch.revision))
        self.on_confirmed(batch.asked_at)

    async def load_until_done(self) -> None:
        """Reads all keys, retrying until the store responds."""
        while True:
            started_at = anyio.current_time()
            loaded = await self.load()
            if isinstance(loaded, Ok):
                self.record_contact()
                return
            self.record_failure(loaded.err_value.detail)
            pause_s = RETRY_PAUSE_SHARE * (anyio.current_time() - started_at)
            await anyio.sleep(min(max(pause_s, RETRY_DELAY_S), MAX_RETRY_DELAY_S))

    async def run(self) -> None:
        """Loads the keys and follows their changes until cancelled."""
        while True:
            await self.load_until_done()
            await self.follow()

    async def run_after_load(self) -> None:
        """Follows changes until cancelled; the keys have been loaded already."""
        await self.follow()
        await self.run()

    async def follow(self) -> None:
        """Follows changes until a full load is needed.

        That is when the store has compacted the history, in a burst or a large answer
        of changes with ``newest_only``, or after a failure if the copy has to be
        confirmed.
        """
        while True:
            try:
                watch = self.store.watch(
                    self.prefix,
                    self.revision,
                    self.confirm_s,
                    self.max_value_bytes if self.newest_only else None,
                )
                async with watch as batches:
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
                if error.failure.kind is ErrorKind.TOO_LARGE:
                    logger.info(
                        Event.CHANGES_SKIPPED,
                        prefix=self.prefix,
                        detail=error.failure.detail,
                    )
                    return
                if error.failure.kind is ErrorKind.HISTORY_GONE:
                    logger.warning(Event.HISTORY_GONE, prefix=self.prefix)
                    return
                self.record_failure(error.failure.detail)
                await anyio.sleep(RETRY_DELAY_S)
                if self.confirm_s is not None:
                    # A load is answered, and thereby confirms, without a delay.
                    return

    def record_change(self) -> bool:
        """Records the time of a change.

        :returns: Whether the previous change was less than ``BURST_INTERVAL_S`` ago.
        """
        now = anyio.current_time()
        in_burst = now - self.changed_at < BURST_INTERVAL_S
        self.changed_at = now
        return in_burst

    def record_failure(self, detail: str) -> None:
        """Logs the first of consecutive failures to follow the store."""
        if not self.failing:
            logger.warning(Event.STORE_LOST, prefix=self.prefix, detail=detail)
        self.failing = True

    def record_contact(self) -> None:
        """Logs that the store is followed again after a failure."""
        if self.failing:
            logger.info(Event.STORE_REGAINED, prefix=self.prefix)
        self.failing = False
