"""A watched copy of the live keys: instances, owners and document sections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err

from lacewinghold.errors import ErrorKind, FailureError
from lacewinghold.events import Event
from lacewinghold.ids import InstanceId, Revision, ShardId
from lacewinghold.invariants import Invariant, require
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
DOCUMENT_WAIT_S = 1.0


class LiveView:
    """Maintains a copy of the live keys with one read and one watch.

    Revisions never decrease: an answer of the store with an older revision than
    one already seen is rejected.

    :ivar listeners: Called after each change with the changed keys.
    :ivar loaded: Set once the store has been read.
    :ivar readable: Set once keys are known, from the store or from a peer.
    :ivar regressed: Whether the store's latest answer was from an older state.
    :ivar announced_revision: Highest document revision that a peer has reported.
    :ivar read_at: Start of the latest full read, on the runtime's clock.
    """

    def __init__(self, store: Store, keys: Keys, rng: random.Random) -> None:
        self.store = store
        self.keys = keys
        self.revision = Revision(0)
        self.items: dict[str, KeyValue] = {}
        self.listeners: list[Callable[[set[str]], None]] = []
        self.changed = anyio.Event()
        self.loaded = anyio.Event()
        self.readable = anyio.Event()
        self.regressed = False
        self.announced_revision = Revision(0)
        self.document_revision = Revision(0)
        self.read_at = -math.inf
        self.scope = anyio.CancelScope()
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, rng)

    async def run(self) -> None:
        """Reads the keys and watches them; starts over when the watch breaks."""
        while True:
            self.scope = anyio.CancelScope()
            with self.scope:
                if await self.load():
                    self.backoff.reset()
                    await self.follow()
            await anyio.sleep(self.backoff.next_delay_s())

    def reload(self) -> None:
        """Replaces a watch that may have stopped reporting, and reads again."""
        self.scope.cancel()

    def highest_revision(self) -> int:
        """Returns the highest store revision seen here or reported by a peer."""
        return max(self.revision, self.announced_revision)

    def misses_known(self, items: dict[str, KeyValue]) -> bool:
        """Returns whether a read lacks a section or version that was seen here.

        The store revision is not enough to detect this: a store restored from a
        backup may have advanced past the revisions seen here.
        """
        for key, known in self.items.items():
            if not key.startswith(self.keys.sections) and key != self.keys.version:
                continue
            item = items.get(key)
            if item is None or item.mod_revision < known.mod_revision:
                return True
        return False

    def record_regression(self, found: int) -> None:
        """Records that the store answered from an older state than one seen."""
        self.regressed = True
        logger.error(Event.STORE_REGRESSED, found=found, seen=self.highest_revision())

    def record_announced(self, revision: int) -> bool:
        """Records a document revision that a peer reports.

        :returns: Whether it is higher than the local one.
        """
        self.announced_revision = Revision(max(self.announced_revision, revision))
        return revision > self.document_revision

    async def load(self) -> bool:
        """Reads all live keys.

        :returns: Whether the store answered with a state that is not older.
        """
        started = anyio.current_time()
        reply = await self.store.range(self.keys.live, prefix=True)
        if isinstance(reply, Err):
            self.regressed = reply.err_value.kind is ErrorKind.STORE_REGRESSED
            return False
        found = reply.ok_value
        items = {item.key: item for item in found.items}
        if found.revision < self.highest_revision() or self.misses_known(items):
            self.record_regression(found.revision)
            return False
        self.regressed = False
        changed = set(self.items) ^ set(items)
        for key, item in items.items():
            old = self.items.get(key)
            if old is not None and old.mod_revision != item.mod_revision:
                changed.add(key)
        for key in changed & items.keys():
            self.check_version(items[key])
        self.items = items
        self.advance(found.revision, changed)
        self.read_at = started
        self.loaded.set()
        self.readable.set()
        return True

    async def follow(self) -> None:
        """Applies changes until the watch breaks."""
        try:
            async with self.store.watch(self.keys.live, self.revision) as batches:
                async for batch in batches:
                    self.apply(batch)
        except FailureError as error:
            logger.info(Event.WATCH_BROKE, detail=error.failure.detail)

    def apply(self, batch: WatchBatch) -> None:
        """Applies the changes of one batch."""
        if batch.revision <= self.revision:
            return
        changed = set()
        for item in batch.puts:
            if self.has_revision(item.key, item.mod_revision):
                continue
            self.check_version(item)
            self.items[item.key] = item
            changed.add(item.key)
        for key in batch.deletes:
            if self.has_revision(key, batch.revision):
                continue
            self.items.pop(key, None)
            changed.add(key)
        self.advance(batch.revision, changed)

    def apply_peer_items(self, items: list[KeyValue], revision: int) -> None:
        """Applies items from a peer that the store has not delivered yet.

        Newer sections are always applied. Other live keys are applied only while
        the store has never been read.

        :param revision: Store revision of the peer's copy of the live keys.
        """
        changed = set()
        for item in items:
            section = item.key.startswith(self.keys.sections)
            if self.loaded.is_set() and not section:
                continue
            if self.has_revision(item.key, item.mod_revision):
                continue
            self.check_version(item)
            self.items[item.key] = item
            self.record_announced(item.mod_revision)
            changed.add(item.key)
        known = self.revision if self.loaded.is_set() else revision
        self.advance(max(known, self.revision), changed)
        self.readable.set()

    async def wait_document(self, revision: int) -> bool:
        """Waits up to ``DOCUMENT_WAIT_S`` for a document revision.

        :returns: Whether the revision has arrived.
        """
        self.record_announced(revision)
        with anyio.move_on_after(DOCUMENT_WAIT_S):
            while self.document_revision < revision:
                await self.changed.wait()
        return self.document_revision >= revision

    def has_revision(self, key: str, revision: int) -> bool:
        """Returns whether the copy has a key at a revision or a later one."""
        item = self.items.get(key)
        return item is not None and item.mod_revision >= revision

    def check_version(self, item: KeyValue) -> None:
        """Checks that a section's revision rises; updates the document's revision."""
        if not item.key.startswith(self.keys.sections):
            return
        old = self.items.get(item.key)
        rises = old is None or item.mod_revision > old.mod_revision
        require(Invariant.VERSION_RISES, rises, item.key)
        self.document_revision = Revision(
            max(self.document_revision, item.mod_revision)
        )

    def advance(self, revision: int, changed: set[str]) -> None:
        """Updates the revision and notifies listeners and waiting tasks."""
        self.revision = Revision(max(self.revision, revision))
        if not changed:
            return
        for listener in self.listeners:
            listener(changed)
        self.changed.set()
        self.changed = anyio.Event()

    def instances(self) -> dict[InstanceId, InstanceRecord]:
        """Returns the entry instances that have a lease in the store."""
        found = {}
        for key, item in self.items.items():
            if not key.startswith(self.keys.instances):
                continue
            record = from_json(item.value, InstanceRecord)
            found[record.instance] = record
        return found

    def instance_record(self, instance: InstanceId) -> InstanceRecord | None:
        """Returns the record of an entry instance with a lease or on the roster."""
        for key in (self.keys.instance(instance), self.keys.roster(instance)):
            item = self.items.get(key)
            if item is not None:
                return from_json(item.value, InstanceRecord)
        return None

    def roster(self) -> dict[InstanceId, InstanceRecord]:
        """Returns the entry instances that may act, including those not answering."""
        found = {}
        for key, item in self.items.items():
            if not key.startswith(self.keys.rosters):
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
