"""Composes an entry instance from its components."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct

from lacewinghold.coordination.keys import Keys
from lacewinghold.coordination.lease import InstanceLease
from lacewinghold.coordination.view import LiveView
from lacewinghold.document.editor import Editor
from lacewinghold.document.force import ForceTracker
from lacewinghold.document.rules import DocumentRules
from lacewinghold.document.sections import Document
from lacewinghold.document.spread import DocumentSpread
from lacewinghold.ids import InstanceId
from lacewinghold.peers.links import PeerLinks
from lacewinghold.routing.front import RequestFront
from lacewinghold.routing.once import AtMostOnceRequests
from lacewinghold.routing.records import RequestRecords
from lacewinghold.routing.rules import ServiceRules
from lacewinghold.schema.generated.records import InstanceRecord
from lacewinghold.shards.directory import Directory
from lacewinghold.shards.jobs import JobFront
from lacewinghold.shards.manager import ShardManager
from lacewinghold.shards.part_calls import PartCalls
from lacewinghold.shards.workers import WorkerFront
from lacewinghold.store.guarded import GuardedStore

if TYPE_CHECKING:
    import random

    from lacewinghold.peers.base import PeerTransport
    from lacewinghold.routing.base import BackendLinks
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.store.base import Store
    from lacewinghold.util.clock import WallClock
    from lacewinghold.workers.base import InstanceListSource, WorkerLinks


class Ports(Struct):
    """The adapters to the outside of an entry instance; tests pass fakes."""

    store: Store
    transport: PeerTransport
    instance_list: InstanceListSource
    worker_links: WorkerLinks
    backend_links: BackendLinks
    clock: WallClock


class EntryInstance:
    """One entry instance.

    :param settings: Validated settings.
    :param boot: Id of this start of the process, unique for each start.
    """

    def __init__(
        self, settings: Settings, ports: Ports, boot: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.instance = InstanceId(f"{settings.instance}.{boot}")
        self.keys = Keys(settings.store.prefix)
        self.counts: Counter[str] = Counter()
        record = InstanceRecord(
            instance=self.instance,
            region=settings.region,
            data_centre=settings.data_centre,
            peer=settings.listen.peer,
            http=settings.listen.http,
        )
        self.store = GuardedStore(ports.store, rng)
        self.lease = InstanceLease(self.store, self.keys, settings.lease, record, rng)
        self.view = LiveView(self.store, self.keys, rng)
        self.document = Document(self.view)
        self.rules = DocumentRules(self.view, self.document, self.lease)
        self.editor = Editor(self.store, self.keys, ports.clock, self.document, rng)
        self.peers = PeerLinks(
            self.instance,
            ports.transport,
            self.address_of,
            self.is_in_other_region,
            rng,
        )
        self.manager = ShardManager(
            settings,
            self.store,
            self.lease,
            self.view,
            ports.instance_list,
            ports.worker_links,
            ports.clock,
            rng,
            self.rules,
        )
        self.spread = DocumentSpread(
            settings, self.view, self.rules, self.peers, self.is_removed, rng
        )
        self.force = ForceTracker(
            self.spread, self.document, self.editor.log, ports.clock
        )
        self.manager.current_weights = self.document.placement
        self.directory = Directory(self.view, self.peers, self.manager)
        self.manager.part_calls = PartCalls(self.directory, self.peers)
        self.jobs = JobFront(settings, self.directory, self.peers, rng)
        self.workers = WorkerFront(self.directory, self.peers)
        once = AtMostOnceRequests(
            self.instance,
            RequestRecords(self.store, self.keys),
            self.view,
            self.peers,
            ports.clock,
        )
        self.requests = RequestFront(
            settings,
            self.directory,
            self.peers,
            ports.backend_links,
            ServiceRules(self.document),
            once,
            rng,
        )

    def address_of(self, instance: InstanceId) -> str | None:
        """Returns the address of a peer, or ``None`` if it is unknown."""
        record = self.view.instance_record(instance)
        return None if record is None else record.peer

    def is_in_other_region(self, instance: InstanceId) -> bool:
        """Returns whether a peer is in another region."""
        record = self.view.instance_record(instance)
        return record is not None and record.region != self.settings.region

    def is_removed(self, instance: InstanceId) -> bool:
        """Returns whether the platform lists an entry instance as gone."""
        listed = self.manager.instance_list
        return listed is not None and instance in listed.gone

    def ready(self) -> bool:
        """Returns whether this instance is ready to serve requests.

        An instance whose lease lapses in a store outage stays ready, since
        requests that do not need the store are still served.
        """
        return (
            (self.lease.generation > 0 or self.rules.can_identify_callers())
            and bool(self.document.cell().teams)
            and not self.manager.leaving
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lease.run)
            tasks.start_soon(self.view.run)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.spread.run)
            tasks.start_soon(self.manager.run)
            tasks.start_soon(self.requests.run)

    async def shut_down(self) -> None:
        """Releases the shards, drains requests in progress and ends the lease."""
        await self.manager.release_all()
        await self.requests.drain(self.settings.shutdown_limit_s)
        await self.lease.close()
