"""One entry instance of the cell: follows the store, answers callers, may decide."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct

from lacewinghold.events import Event
from lacewinghold.peers.links import PeerLinks
from lacewinghold.scheduler.admission import Admission, BacklogMonitor
from lacewinghold.scheduler.advice import AdviceBook, Lane
from lacewinghold.scheduler.election import Election
from lacewinghold.scheduler.front import JobFront
from lacewinghold.scheduler.hand_over import HandOver
from lacewinghold.scheduler.job_store import JobStore
from lacewinghold.scheduler.lateness import (
    MonitoredDialer,
    PlanningShare,
    RenewalMonitor,
)
from lacewinghold.scheduler.members import MemberAdvice, Members, Membership
from lacewinghold.scheduler.metrics import CellMetrics
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.owner import CellOwner, CellState
from lacewinghold.scheduler.peer_calls import PeerCalls
from lacewinghold.scheduler.relay_host import RelayHost
from lacewinghold.scheduler.relays import OrderRelays
from lacewinghold.scheduler.strength import SUFFICIENT_STRENGTH, strength_of
from lacewinghold.schema.generated.cell import CellMember
from lacewinghold.store.health import WatchedStore
from lacewinghold.store.mirror import Mirror
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewinghold.ids import InstanceId, WorkerId
    from lacewinghold.peers.base import PeerTransport
    from lacewinghold.scheduler.election import Ownership
    from lacewinghold.scheduler.model import Job
    from lacewinghold.scheduler.ports import (
        AdviceCalls,
        Manifest,
        WorkerDialer,
        WorkerEntry,
    )
    from lacewinghold.schema.generated.cell import CellJob
    from lacewinghold.schema.generated.entry import EntrySettings
    from lacewinghold.store.base import KeyValue, Store
    from lacewinghold.util.clock import WallClock

logger = structlog.get_logger(__name__)
FORGET_MARGIN_S = 30.0  # Clocks differ, and a caller's last question takes a while.
MANIFEST_PACE_S = 0.3  # Far below the time in which a manifest has to be in force.
WORKERS_PACE_S = 0.25  # A draining worker has to be left alone within three seconds.


class OperatorKeys(Struct):
    """Where the operators and workers write, and how it is read.

    :param read_manifest: Decodes the manifest; ``None`` for a damaged one.
    :param read_worker: Decodes the entry of a worker; ``None`` for a foreign one.
    """

    manifest_key: str
    workers_prefix: str
    read_manifest: Callable[[bytes], Manifest | None]
    read_worker: Callable[[str, bytes], WorkerEntry | None]


class CellPorts(Struct):
    """What an instance is connected to; tests pass fakes.

    :param lag: Shared with what makes the calls; a new one if ``None``.
    """

    store: Store
    transport: PeerTransport
    dialer: WorkerDialer
    advice: AdviceCalls | None
    keys: OperatorKeys
    clock: WallClock
    lag: LagMonitor | None = None


class CellInstance:
    """One entry instance.

    :param instance: Id of this process; another start has another one.
    """

    def __init__(
        self,
        settings: EntrySettings,
        ports: CellPorts,
        instance: InstanceId,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.instance = instance
        self.rng = rng
        prefix = settings.store.prefix
        self.metrics = CellMetrics()
        self.planning_share = PlanningShare(self.metrics)
        self.lag = ports.lag or LagMonitor()
        self.lag.details = self.describe_lateness
        self.lag.lags = self.metrics.late_seconds
        self.store = WatchedStore(ports.store, self.lag)
        self.jobs = JobStore(self.store, prefix)
        self.state = CellState()
        self.strength = strength_of(settings.machine)
        self.election = Election(
            self.store,
            prefix,
            instance,
            settings.listen.peer,
            settings.store.lease_ms / 1000,
            rng,
            RenewalMonitor(self.lag, self.metrics),
            self.strength,
        )
        self.owner: CellOwner | None = None
        self.peers = PeerLinks(
            instance, ports.transport, self.address_of, self.is_paid, rng, self.lag
        )
        self.peers.narrow = self.strength < SUFFICIENT_STRENGTH
        self.peer_calls = PeerCalls(self)
        self.relay_host = RelayHost(self.peers, ports.dialer, self.lag)
        self.relays: OrderRelays | None = None
        member = CellMember(
            instance=instance,
            address=settings.listen.peer,
            region=settings.region,
            data_centre=settings.data_centre,
            strength=self.strength,
        )
        self.membership = Membership(self.store, prefix, member, self.lag)
        self.members = Members(self.store, prefix, self.update_lane)
        self.admission = Admission(self)
        self.front = JobFront(self)
        self.worker_keys: dict[str, WorkerId] = {}
        self.leaving = False
        keys = ports.keys
        self.manifest_mirror = Mirror(
            self.store,
            keys.manifest_key,
            self.note_manifest,
            self.note_manifest_gone,
            MANIFEST_PACE_S,
            newest_only=True,
        )
        self.worker_mirror = Mirror(
            self.store,
            keys.workers_prefix,
            self.note_worker,
            self.note_worker_gone,
            WORKERS_PACE_S,
        )

    # What the store says

    def note_manifest(self, item: KeyValue) -> None:
        """Puts a manifest into force, unless a newer one is."""
        if item.key != self.ports.keys.manifest_key:
            return
        manifest = self.ports.keys.read_manifest(item.value)
        if manifest is None:
            return
        current = self.state.manifest
        if current is not None and manifest.version <= current.version:
            logger.warning(
                Event.OLDER_MANIFEST_IGNORED,
                found=manifest.version,
                kept=current.version,
            )
            return
        self.state.manifest = manifest
        logger.info(
            Event.MANIFEST_IN_FORCE,
            version=manifest.version,
            queues=len(manifest.queues),
        )
        if self.owner is not None:
            self.owner.table.update_queues()

    def note_manifest_gone(self, key: str) -> None:
        """Keeps the manifest in force although its key is gone."""
        logger.warning(Event.MANIFEST_REMOVED, key=key)

    def note_worker(self, item: KeyValue) -> None:
        """Takes a worker's entry."""
        entry = self.ports.keys.read_worker(item.key, item.value)
        if entry is None:
            self.note_worker_gone(item.key)
            return
        known = self.state.workers.get(entry.worker)
        self.worker_keys[item.key] = entry.worker
        self.state.workers[entry.worker] = entry
        if known is None or known.state is not entry.state:
            logger.info(
                Event.WORKER_ENTRY, worker=entry.worker, state=entry.state.value
            )
        if self.owner is not None and known != entry:
            self.owner.fleet.update_workers()

    def note_worker_gone(self, key: str) -> None:
        """Notes that a worker's entry has lapsed or was removed."""
        worker = self.worker_keys.pop(key, None)
        if worker is None:
            return
        del self.state.workers[worker]
        if self.owner is not None:
            self.owner.fleet.update_workers()

    # What the front asks

    def note_accepted(self, record: CellJob) -> None:
        """Gives an accepted job to the owner at once if it is here.

        It must know which jobs have ended: one that is told of late is not new.
        """
        if self.owner is not None and self.owner.loaded and self.owner.ended.loaded:
            self.owner.table.accept(record)

    def note_cancelled(self, job: str) -> None:
        """Cancels a job if it is decided here; the cancellation is stored."""
        owner = self.owner
        if owner is not None and job in owner.table.jobs:
            owner.table.cancel(owner.table.jobs[job])

    def deciding(self) -> CellOwner | None:
        """Returns the owner if it is here and surely nobody else decides."""
        owner = self.owner
        if owner is None or not owner.loaded:
            return None
        if anyio.current_time() >= owner.ownership.valid_until:
            return None
        return owner

    def knows(self, job: str) -> bool:
        """Returns whether a job surely is stored, by what this instance has read."""
        owner = self.owner
        if owner is None:
            return False
        return job in owner.table.jobs or owner.ended.has_ended(job)

    def owned_job(self, job: str) -> Job | None:
        """Returns a job if this instance surely decides about it."""
        owner = self.deciding()
        return None if owner is None else owner.table.jobs.get(job)

    def owned_state(self, job: str) -> JobState | None:
        """Returns a job's state as callers may see it, if it is decided here."""
        known = self.owned_job(job)
        if known is None:
            owner = self.deciding()
            return None if owner is None else owner.ended.state(job)
        if not known.ended():
            return JobState.RUNNING if known.started else JobState.QUEUED
        if known.reported_state is known.state or known.state is JobState.CANCELLED:
            # The cancellation itself is stored before it comes here.
            return known.state
        return JobState.RUNNING

    def owned_waiting(self, queue: str) -> int | None:
        """Returns how many jobs of a queue wait, if they are decided here."""
        owner = self.deciding()
        return None if owner is None else owner.table.count_waiting(queue)

    # Members

    def address_of(self, instance: InstanceId) -> str | None:
        """Returns the address of a member, or ``None`` if it is unknown."""
        address = self.members.addresses.get(instance)
        if address is not None:
            return address
        for record in (self.election.owner, self.election.earlier):
            if record is not None and record.instance == instance:
                return record.address
        return None

    def is_paid(self, instance: InstanceId) -> bool:
        """Returns whether a member surely is in another region."""
        member = self.members.members.get(instance)
        return member is not None and member.region != self.settings.region

    def update_lane(self, instance: InstanceId) -> None:
        """Adds or removes the lane for advice over a member."""
        if self.owner is None or instance == self.instance:
            return
        self.update_relay(instance)
        lanes = self.owner.book.lanes
        if instance not in self.members.members:
            lanes[:] = [lane for lane in lanes if lane.name != instance]
            return
        if all(lane.name != instance for lane in lanes):
            lane = Lane(instance, MemberAdvice(self.peers, instance))
            lane.far = self.is_paid(instance)
            lanes.append(lane)
            lanes.sort(key=lambda lane: lane.far)

    def update_relay(self, instance: InstanceId) -> None:
        """Adds or removes a member that carries out orders."""
        if self.relays is None:
            return
        member = self.members.members.get(instance)
        if member is None:
            self.relays.remove_member(instance)
        elif instance not in self.relays.members:
            self.relays.add_member(member)

    def render_metrics(self) -> bytes:
        """Returns the metrics as text."""
        owner = self.deciding()
        self.metrics.deciding.set(owner is not None)
        self.metrics.workers.set(len(owner.fleet.nodes) if owner else 0)
        self.metrics.open_steps.set(len(owner.table.open_steps) if owner else 0)
        self.metrics.lag_seconds.set(self.lag.lag_s)
        self.metrics.update_store_calls(self.store.calls)
        return self.metrics.render()

    def describe_lateness(self) -> dict[str, object]:
        """Returns what a line about this process's lateness tells."""
        owner = self.owner
        return {
            "deciding": self.deciding() is not None,
            "term": owner.ownership.term if owner else None,
            "planning_share": round(self.planning_share.read_and_reset(), 2),
        }

    def ready(self) -> bool:
        """Returns whether this instance should get requests."""
        return self.state.manifest is not None and not self.leaving

    # Life

    def use_settings(self, settings: EntrySettings) -> None:
        """Takes changed time bounds into use.

        The life of the owner's lease stays: one in force was granted with it.
        """
        self.settings = settings
        if self.owner is not None:
            self.owner.status_s = settings.bounds.status_s + FORGET_MARGIN_S

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lag.run)
            tasks.start_soon(self.manifest_mirror.run)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.membership.run)
            tasks.start_soon(self.election.mirror.run)
            tasks.start_soon(self.relay_host.run)
            tasks.start_soon(self.decide)

    async def decide(self) -> None:
        """Becomes the owner again and again, whenever nobody else is."""
        while True:
            await self.election.wait_for_turn()
            ownership = await self.election.claim()
            if ownership is None:
                continue
            await self.decide_under(ownership)
            logger.info(Event.OWNERSHIP_GIVEN_UP, term=ownership.term)

    async def decide_under(self, ownership: Ownership) -> None:
        """Decides until the ownership is lost."""
        book = AdviceBook(self.metrics, self.lag)
        if self.ports.advice is not None:
            book.lanes.append(Lane(str(self.instance), self.ports.advice))
        data_centre = self.settings.data_centre
        relays = OrderRelays(
            self.peers, self.ports.dialer, data_centre, self.lag, ownership.epoch
        )
        owner = CellOwner(
            ownership,
            self.jobs,
            MonitoredDialer(relays, self.lag, self.metrics),
            self.state,
            self.worker_mirror,
            book,
            self.ports.clock,
            self.metrics,
            self.settings.bounds.status_s + FORGET_MARGIN_S,
            self.planning_share,
            self.lag,
        )
        # A newer owner that asks this one to stop must find it from now on.
        self.owner = owner
        self.relays = relays
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.election.keep, ownership)
            tasks.start_soon(relays.run)
            tasks.start_soon(self.members.mirror.run)
            tasks.start_soon(HandOver(self, owner).run)
            tasks.start_soon(BacklogMonitor(self, owner).run)
            earlier = self.election.earlier
            if earlier is None:
                owner.earlier_stopped.set()
            elif earlier.instance == self.instance:
                owner.note_earlier_stopped(earlier)
            else:
                tasks.start_soon(self.peer_calls.stop_earlier_owner, owner, earlier)
            for member in list(self.members.members):
                self.update_lane(member)
            await owner.run()
            tasks.cancel_scope.cancel()
        self.owner = self.relays = None

    async def shut_down(self) -> None:
        """Lets another instance decide."""
        self.leaving = True
        self.election.leaving = True
        if self.owner is not None:
            await self.election.release(self.owner.ownership)
