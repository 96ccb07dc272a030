"""A watched copy of the live keys: instances, owners and document sections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err

from lacewinghold.errors import ErrorKind, FailureError
from lacewinghold.ids import InstanceId, Revision, ShardId
from lacewinghold.schema.generated.records import InstanceRecord, OwnerRecord
from lacewinghold.util.backoff import Backoff
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewinghold.coordination.keys import Keys
    from lacewinghold.store.base import KeyValue, Store, WatchBatch

logger = structlog.get_logger(__name__)
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 2.0


class LiveView:
    """Follows the live keys by one read and one watch.

    It never goes back: a store that answers from an older revision than one
    already seen is refused.

    :param listeners: Called after each change with the changed keys.
    """

    def __init__(self, store: Store, keys: Keys, rng: random.Random) -> None:
        self.store = store
        self.keys = keys
        self.revision = Revision(0)
        self.items: dict[str, KeyValue] = {}
        self.listeners: list[Callable[[set[str]], None]] = []
        self.changed = anyio.Event()
        self.loaded = anyio.Event()
        self.regressed = False
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, rng)

    async def run(self) -> None:
        """Reads, then watches, and starts over when the watch breaks."""
        while True:
            if await self.load():
                self.backoff.reset()
                await self.follow()
            await anyio.sleep(self.backoff.next_delay_s())

    async def load(self) -> bool:
        """Reads all live keys."""
        reply = await self.store.range(self.keys.live, prefix=True)
        if isinstance(reply, Err):
            self.regressed = reply.err_value.kind is ErrorKind.STORE_REGRESSED
            return False
        found = reply.ok_value
        if found.revision < self.revision:
            self.regressed = True
            logger.error("store regressed", found=found.revision, seen=self.revision)
            return False
        self.regressed = False
        items = {item.key: item for item in found.items}
        changed = set(self.items) ^ set(items)
        for key, item in items.items():
            old = self.items.get(key)
            if old is not None and old.mod_revision != item.mod_revision:
                changed.add(key)
        self.items = items
        self.advance(found.revision, changed)
        self.loaded.set()
        return True

    async def follow(self) -> None:
        """Applies changes until the watch breaks."""
        try:
            async with self.store.watch(self.keys.live, self.revision) as batches:
                async for batch in batches:
                    self.apply(batch)
        except FailureError as error:
            logger.info("watch broke", detail=error.failure.detail)

    def apply(self, batch: WatchBatch) -> None:
        """Applies the changes of one batch."""
        if batch.revision <= self.revision:
            return
        changed = set()
        for item in batch.puts:
            self.items[item.key] = item
            changed.add(item.key)
        for key in batch.deletes:
            self.items.pop(key, None)
            changed.add(key)
        self.advance(batch.revision, changed)

    def advance(self, revision: int, changed: set[str]) -> None:
        """Notes the revision and wakes those who wait for changes."""
        self.revision = Revision(max(self.revision, revision))
        if not changed:
            return
        for listener in self.listeners:
            listener(changed)
        self.changed.set()
        self.changed = anyio.Event()

    def instances(self) -> dict[InstanceId, InstanceRecord]:
        """Returns the entry instances whose lease the store holds."""
        found = {}
        for key, item in self.items.items():
            if not key.startswith(self.keys.instances):
                continue
            record = from_json(item.value, InstanceRecord)
            found[record.instance] = record
        return found

    def owner(self, shard: ShardId) -> tuple[OwnerRecord, KeyValue] | None:
        """Returns a shard's ownership record, or ``None`` if it never had one."""
        item = self.items.get(self.keys.owner(shard))
        if item is None:
            return None
        return from_json(item.value, OwnerRecord), item
