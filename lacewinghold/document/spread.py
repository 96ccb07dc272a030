"""Keeps an instance's document up to date with the store or with peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
import zstandard
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.document.rules import CLOCK_DRIFT_SHARE, UNREGISTERED_LEASE_S
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import InstanceId, Revision
from lacewinghold.schema.generated.messages import (
    DocumentPull,
    DocumentQuery,
    DocumentSections,
    DocumentState,
    MessageKind,
    SectionItem,
    SectionItems,
    SectionVersion,
)
from lacewinghold.store.base import (
    Compare,
    CompareTarget,
    Delete,
    KeyValue,
    Transaction,
)
from lacewinghold.util.codec import pack, unpack

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewinghold.coordination.view import LiveView
    from lacewinghold.document.rules import DocumentRules
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.settings import Settings

logger = structlog.get_logger(__name__)
CONFIRM_INTERVAL_S = 3.0
CALL_TIMEOUT_S = 1.0
MAX_QUERIED_PEERS = 3
NEVER_CONFIRMED_S = 1e9
COMPRESSION_LEVEL = 3
MAX_PULL_BYTES = 256 * 1024 * 1024


class DocumentFollower(Struct, frozen=True):
    """An instance off the roster that receives the document from this instance.

    :param at: When it last queried this instance, in seconds on the event loop's
        clock.
    """

    revision: Revision
    at: float


class DocumentSpread:
    """Confirms the document periodically and serves it to peers.

    :param is_removed: Returns whether the platform removed an entry instance.
    """

    def __init__(
        self,
        settings: Settings,
        view: LiveView,
        rules: DocumentRules,
        peers: PeerLinks,
        is_removed: Callable[[InstanceId], bool],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.view = view
        self.store = view.store
        self.keys = view.keys
        self.rules = rules
        self.peers = peers
        self.is_removed = is_removed
        self.rng = rng
        self.followers: dict[InstanceId, DocumentFollower] = {}
        self.confirmation_due = anyio.Event()
        peers.get_document_revision = lambda: view.document_revision
        peers.on_document_revision = self.on_announced_revision
        peers.on_reconnect = lambda peer: self.confirmation_due.set()
        peers.on(MessageKind.DOCUMENT_STATE, self.on_state)
        peers.on(MessageKind.DOCUMENT_PULL, self.on_pull)

    def on_announced_revision(self, revision: int) -> None:
        """Requests a confirmation if a peer announced a newer document version."""
        if self.view.record_announced(revision):
            self.confirmation_due.set()

    async def run(self) -> None:
        """Confirms the document periodically until cancelled."""
        while True:
            self.confirmation_due = anyio.Event()
            if not await self.confirm_with_store():
                await self.confirm_with_peers()
            await self.remove_gone_instances()
            with anyio.move_on_after(CONFIRM_INTERVAL_S):
                await self.confirmation_due.wait()

    async def confirm_with_store(self) -> bool:
        """Checks with the store that the local version is the latest.

        A watch that delivers nothing while the store has a later version is
        replaced.

        :returns: Whether the store answered and the watch makes progress.
        """
        if not self.view.loaded.is_set():
            return False
        started = anyio.current_time()
        reply = await self.store.range(self.keys.version)
        if isinstance(reply, Err):
            return False
        found = reply.ok_value
        latest = found.items[0].mod_revision if found.items else 0
        known = self.view.items.get(self.keys.version)
        behind = known is not None and latest < known.mod_revision
        if behind or found.revision < self.view.highest_revision():
            self.view.record_regression(found.revision)
            return False
        seen = self.view.revision
        if not await self.view.wait_document(latest):
            if self.view.revision > seen:
                # The watch lags on a busy link, but makes progress.
                return True
            logger.warning(Event.WATCH_IS_SILENT, latest=latest)
            self.view.reload()
            return False
        self.view.regressed = False
        self.rules.confirm(started)
        return True

    def nearby_peers(self) -> list[InstanceId]:
        """Returns peers of the same data centre, or else those in the settings."""
        near = []
        for instance, record in self.view.roster().items():
            same = record.data_centre == self.settings.data_centre
            if same and instance != self.peers.instance:
                near.append(instance)
        if not near:
            for address in self.settings.peers:
                peer = InstanceId(address)
                self.peers.learned_addresses[peer] = address
                near.append(peer)
        self.rng.shuffle(near)
        return near[:MAX_QUERIED_PEERS]

    async def confirm_with_peers(self) -> None:
        """Updates and confirms the document from peers if the store is unavailable."""
        for peer in self.nearby_peers():
            started = anyio.current_time()
            query = DocumentQuery(
                self.settings.listen.peer, self.view.document_revision
            )
            reply = await self.peers.call(
                peer, MessageKind.DOCUMENT_STATE, query, CALL_TIMEOUT_S
            )
            if isinstance(reply, Err):
                continue
            state = unpack(reply.ok_value, DocumentState)
            behind = state.revision > self.view.document_revision
            if (behind or not self.view.items) and not await self.pull(peer):
                continue
            if state.revision == self.view.document_revision:
                age_s = state.unconfirmed_s * (1 + CLOCK_DRIFT_SHARE)
                self.rules.confirm(started - age_s)

    async def pull(self, peer: InstanceId) -> bool:
        """Fetches the sections that differ from a peer's.

        :returns: False if the peer does not answer or has an older document.
        """
        have = []
        for key, item in self.view.items.items():
            if key.startswith(self.keys.sections):
                have.append(SectionVersion(key, item.mod_revision))
        message = DocumentPull(self.settings.listen.peer, have)
        reply = await self.peers.call(
            peer, MessageKind.DOCUMENT_PULL, message, CALL_TIMEOUT_S
        )
        if isinstance(reply, Err):
            return False
        found = unpack(reply.ok_value, DocumentSections)
        if found.revision < self.view.document_revision:
            return False
        data = zstandard.ZstdDecompressor().decompress(found.sections, MAX_PULL_BYTES)
        items = []
        for sent in unpack(data, SectionItems).items:
            items.append(
                KeyValue(sent.key, sent.value, sent.create_revision, sent.mod_revision)
            )
        self.view.apply_peer_items(items, found.live_revision)
        return True

    def unconfirmed_s(self) -> float:
        """Returns the seconds since the last confirmation, as a finite number."""
        return min(self.rules.unconfirmed_s(), NEVER_CONFIRMED_S)

    def applied(self) -> Revision:
        """Returns the oldest version of this instance and its followers."""
        now = anyio.current_time()
        revision = self.view.document_revision
        roster = self.view.roster()
        for instance, follower in list(self.followers.items()):
            over = now - follower.at > UNREGISTERED_LEASE_S * (1 + CLOCK_DRIFT_SHARE)
            if over or instance in roster:
                del self.followers[instance]
                continue
            revision = min(revision, follower.revision)
        return revision

    def record_follower(
        self, sender: InstanceId, address: str, revision: Revision
    ) -> None:
        """Records an instance that receives the document from this instance."""
        if self.peers.addresses(sender) is not None:
            return
        self.peers.learned_addresses[sender] = address
        self.followers[sender] = DocumentFollower(revision, anyio.current_time())

    async def on_state(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Answers a peer's query for the local document version."""
        query = unpack(body, DocumentQuery)
        if not self.view.readable.is_set():
            return Err(
                Failure(
                    ErrorKind.NOT_FOUND, "this instance has not loaded the document yet"
                )
            )
        if not query.address:
            return Ok(DocumentState(self.applied(), self.unconfirmed_s()))
        self.record_follower(sender, query.address, Revision(query.revision))
        return Ok(DocumentState(self.view.document_revision, self.unconfirmed_s()))

    async def on_pull(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Answers a peer's request with the live keys that it does not have."""
        message = unpack(body, DocumentPull)
        have = {version.key: version.revision for version in message.have}
        items = []
        for key, item in self.view.items.items():
            if have.get(key, 0) >= item.mod_revision:
                continue
            if have and not key.startswith(self.keys.sections):
                continue
            items.append(
                SectionItem(key, item.value, item.create_revision, item.mod_revision)
            )
        data = zstandard.compress(pack(SectionItems(items)), COMPRESSION_LEVEL)
        return Ok(
            DocumentSections(
                self.view.document_revision,
                self.unconfirmed_s(),
                data,
                self.view.revision,
            )
        )

    async def remove_gone_instances(self) -> None:
        """Deletes instances that the platform removed from the roster."""
        live = self.view.instances()
        if not live or min(live) != self.peers.instance:
            return
        for instance in self.view.roster():
            if instance in live or not self.is_removed(instance):
                continue
            key = self.keys.roster(instance)
            known = self.view.items.get(key)
            if known is None:
                # Another instance deleted the entry during an earlier commit.
                continue
            compare = Compare(key, CompareTarget.MOD_REVISION, known.mod_revision)
            await self.store.commit(Transaction([compare], [Delete(key)]))
