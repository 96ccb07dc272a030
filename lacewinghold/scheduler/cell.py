"""One entry instance: follows the store, answers callers and may become the owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct

from lacewinghold.events import Event
from lacewinghold.ids import Epoch
from lacewinghold.organisations.authentication import Authenticator, bound_organisation
from lacewinghold.organisations.revocation import ManifestConfirmation
from lacewinghold.peers.links import PeerLinks
from lacewinghold.scheduler.admission import Admission, BacklogMonitor
from lacewinghold.scheduler.advice import AdviceBook, Lane
from lacewinghold.scheduler.election import Election
from lacewinghold.scheduler.end_waits import may_end_soon
from lacewinghold.scheduler.front import JobFront
from lacewinghold.scheduler.hand_over import HandOver
from lacewinghold.scheduler.job_store import NO_EPOCH, JobStore
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
from lacewinghold.scheduler.tombstones import TombstoneBudget
from lacewinghold.schema.generated.cell import CellMember
from lacewinghold.store.health import HealthCheckedStore
from lacewinghold.store.mirror import Mirror
from lacewinghold.util.clock import lease_time
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lacewinghold.ids import InstanceId, WorkerId
    from lacewinghold.peers.base import PeerTransport
    from lacewinghold.scheduler.election import Ownership
    from lacewinghold.scheduler.job_ids import JobIds
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
RETENTION_MARGIN_S = 30.0  # For clock skew and a caller's last query under way.
MANIFEST_SYNC_INTERVAL_S = 0.3  # Far below the time limit for applying a manifest.
WORKER_SYNC_INTERVAL_S = 0.25  # A draining worker must get no new tasks after 3 s.


class OperatorKeys(Struct):
    """Store keys that operators and workers write, and their decoders.

    :param read_manifest: Decodes the manifest; ``None`` for a damaged one.
    :param read_worker: Decodes a worker's entry; ``None`` if it is of another kind.
    """

    manifest_key: str
    workers_prefix: str
    read_manifest: Callable[[bytes], Manifest | None]
    read_worker: Callable[[str, bytes], WorkerEntry | None]


class CellPorts(Struct):
    """What an instance is connected to; tests pass fakes.

    :param job_ids: Format of the ids that callers choose for their jobs.
    :param lag: Shared with the transports; a new one if ``None``.
    """

    store: Store
    transport: PeerTransport
    dialer: WorkerDialer
    advice: AdviceCalls | None
    keys: OperatorKeys
    clock: WallClock
    job_ids: JobIds
    lag: LagMonitor | None = None


class CellInstance:
    """One entry instance.

    :param instance: Id of this process; a restart gets a new one.
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
        self.store = HealthCheckedStore(ports.store, self.lag)
        self.jobs = JobStore(self.store, prefix, ports.job_ids)
        self.state = CellState()
        self.strength = strength_of(settings.machine)
        self.memory_mb = settings.machine.memory_mb if settings.machine else 0.0
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
            instance, ports.transport, self.address_of, self.is_remote, rng, self.lag
        )
        self.peers.on_round_trip = self.metrics.heartbeat_seconds.observe
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
            memory_mb=self.memory_mb,
        )
        self.membership = Membership(self.store, prefix, member, self.lag)
        self.members = Members(self.store, prefix, self.update_advice_lane)
        self.admission = Admission(self)
        self.tombstone_budget = TombstoneBudget()
        self.front = JobFront(self)
        bounds = settings.bounds
        self.confirmation = ManifestConfirmation(
            bounds.revoke_ms / 1000 if bounds.strict_revocation else math.inf
        )
        self.authenticator = Authenticator(self.confirmation, self.metrics)
        self.worker_keys: dict[str, WorkerId] = {}
        self.leaving = False
        keys = ports.keys
        self.manifest_mirror = Mirror(
            self.store,
            keys.manifest_key,
            self.apply_manifest,
            self.record_manifest_removed,
            MANIFEST_SYNC_INTERVAL_S,
            newest_only=True,
            confirm_s=self.confirmation.confirm_interval_s(),
        )
        self.manifest_mirror.on_confirmed = self.confirmation.confirm
        self.worker_mirror = Mirror(
            self.store,
            keys.workers_prefix,
            self.apply_worker_entry,
            self.remove_worker_entry,
            WORKER_SYNC_INTERVAL_S,
        )

    # Changes in the store

    def apply_manifest(self, item: KeyValue) -> None:
        """Puts a manifest into force unless a newer one is in force."""
        if item.key != self.ports.keys.manifest_key:
            return
        # A manifest that cannot be applied may have removed keys.
        self.confirmation.readable = False
        manifest = self.ports.keys.read_manifest(item.value)
        if manifest is None:
            return
        self.confirmation.readable = True
        current = self.state.manifest
        if current is not None and manifest.version <= current.version:
            logger.warning(
                Event.OLDER_MANIFEST_IGNORED,
                found=manifest.version,
                kept=current.version,
            )
            return
        self.state.manifest = manifest
        self.authenticator.update(manifest)
        logger.info(
            Event.MANIFEST_IN_FORCE,
            version=manifest.version,
            queues=len(manifest.queues),
        )
        if self.owner is not None:
            self.owner.table.update_queues()

    def record_manifest_removed(self, key: str) -> None:
        """Logs that the manifest's key was removed; the manifest stays in force."""
        logger.warning(Event.MANIFEST_REMOVED, key=key)

    def apply_worker_entry(self, item: KeyValue) -> None:
        """Applies a worker's entry."""
        entry = self.ports.keys.read_worker(item.key, item.value)
        if entry is None:
            self.remove_worker_entry(item.key)
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

    def remove_worker_entry(self, key: str) -> None:
        """Removes a worker whose entry has expired or was removed."""
        worker = self.worker_keys.pop(key, None)
        if worker is None:
            return
        del self.state.workers[worker]
        if self.owner is not None:
            self.owner.fleet.update_workers()

    # Job state, for callers and members

    def apply_accepted_job(self, record: CellJob) -> None:
        """Passes an accepted job to the owner if this instance is the owner.

        The owner must have loaded the ended jobs first: the notification may be late,
        and an ended job must not run again.
        """
        if self.owner is not None and self.owner.loaded and self.owner.ended.loaded:
            self.owner.table.accept(record)

    def apply_cancelled_job(self, job: str) -> None:
        """Cancels a job if this instance is the owner.

        The cancellation is stored already.
        """
        owner = self.owner
        if owner is not None and job in owner.table.jobs:
            owner.table.cancel(owner.table.jobs[job])

    def active_owner(self) -> CellOwner | None:
        """Returns the owner if it is this instance and its lease certainly holds."""
        owner = self.owner
        if owner is None or not owner.loaded or owner.ownership.lost.is_set():
            return None
        if lease_time() >= owner.ownership.valid_until:
            return None
        return owner

    def known_epoch(self) -> Epoch:
        """Returns the epoch of the newest owner that this instance knows."""
        followed = self.election.mirror.revisions.get(self.election.mirror.prefix, 0)
        own = NO_EPOCH if self.owner is None else self.owner.epoch
        return max(own, Epoch(followed))

    def organisation_of(self, job: str) -> str | None:
        """Returns the organisation to which a stored job is bound, empty if to none.

        :returns: ``None`` if this instance does not know the job.
        """
        owner = self.owner
        if owner is None:
            return None
        known = owner.table.jobs.get(job)
        if known is not None:
            return bound_organisation(known.record, self.state.manifest)
        ended = owner.ended.jobs.get(job)
        return None if ended is None else ended.organisation

    def owned_job(self, job: str) -> Job | None:
        """Returns an open job if this instance is the active owner."""
        owner = self.active_owner()
        return None if owner is None else owner.table.jobs.get(job)

    def owned_state(self, job: str) -> JobState | None:
        """Returns a job's state as callers may see it, if this is the active owner.

        Callers see a final state only once it is stored.
        """
        known = self.owned_job(job)
        if known is None:
            owner = self.active_owner()
            return None if owner is None else owner.ended.state(job)
        if not known.ended():
            return JobState.RUNNING if known.started else JobState.QUEUED
        if known.reported_state is known.state or known.state is JobState.CANCELLED:
            # Cancellations are stored before the owner applies them.
            return known.state
        return JobState.RUNNING

    async def wait_for_end(self, job: str) -> None:
        """Waits for a moment if a job is about to end and this is the active owner."""
        known = self.owned_job(job)
        limit_s = self.settings.state_wait_ms / 1000
        if known is not None and limit_s > 0 and may_end_soon(known):
            assert self.owner is not None
            await self.owner.end_waits.wait(job, limit_s)

    def owned_waiting(self, queue: str) -> int | None:
        """Returns how many jobs of a queue wait, if this is the active owner."""
        owner = self.active_owner()
        return None if owner is None else owner.table.count_waiting(queue)

    # Members

    def address_of(self, instance: InstanceId) -> str | None:
        """Returns the address of a member, or ``None`` if it is unknown."""
        address = self.members.addresses.get(instance)
        if address is not None:
            return address
        for record in (self.election.owner, self.election.predecessor):
            if record is not None and record.instance == instance:
                return record.address
        return None

    def is_remote(self, instance: InstanceId) -> bool:
        """Returns whether a member is known to be in another region."""
        member = self.members.members.get(instance)
        return member is not None and member.region != self.settings.region

    def update_advice_lane(self, instance: InstanceId) -> None:
        """Adds or removes a member as a relay and as a lane to the advice service."""
        if self.owner is None or instance == self.instance:
            return
        self.update_relay(instance)
        lanes = self.owner.advice_book.lanes
        if instance not in self.members.members:
            lanes[:] = [lane for lane in lanes if lane.name != instance]
            return
        if all(lane.name != instance for lane in lanes):
            lane = Lane(instance, MemberAdvice(self.peers, instance))
            lane.far = self.is_remote(instance)
            lanes.append(lane)
            lanes.sort(key=lambda lane: lane.far)

    def update_relay(self, instance: InstanceId) -> None:
        """Adds or removes a member as a relay for orders to workers."""
        if self.relays is None:
            return
        member = self.members.members.get(instance)
        if member is None:
            self.relays.remove_member(instance)
        elif instance not in self.relays.members:
            self.relays.add_member(member)

    def render_metrics(self) -> bytes:
        """Returns the metrics in text format."""
        owner = self.active_owner()
        self.metrics.deciding.set(owner is not None)
        self.metrics.workers.set(len(owner.fleet.nodes) if owner else 0)
        self.metrics.open_steps.set(len(owner.table.open_steps) if owner else 0)
        speeds = owner.learning.speed_summary() if owner else (1.0, 1.0, 0)
        self.metrics.update_worker_speeds(*speeds)
        self.metrics.lag_seconds.set(self.lag.lag_s)
        self.metrics.update_store_calls(self.store.calls)
        return self.metrics.render()

    def describe_lateness(self) -> dict[str, object]:
        """Returns the extra fields of log lines about this process's lateness."""
        owner = self.owner
        return {
            "deciding": self.active_owner() is not None,
            "term": owner.ownership.term if owner else None,
            "planning_share": round(self.planning_share.read_and_reset(), 2),
        }

    def ready(self) -> bool:
        """Returns whether this instance should receive requests."""
        if self.state.manifest is None or self.leaving:
            return False
        return self.authenticator.can_check_keys()

    # Lifecycle

    def apply_settings(self, settings: EntrySettings) -> None:
        """Applies changed time limits.

        The duration of the owner's lease stays: the current lease was granted with it.
        """
        self.settings = settings
        if self.owner is not None:
            self.owner.status_retention_s = (
                settings.bounds.status_s + RETENTION_MARGIN_S
            )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lag.run)
            tasks.start_soon(self.manifest_mirror.run)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.membership.run)
            tasks.start_soon(self.election.mirror.run)
            tasks.start_soon(self.relay_host.run)
            tasks.start_soon(self.run_elections)

    async def run_elections(self) -> None:
        """Claims the ownership whenever it is vacant, then acts as the owner."""
        while True:
            await self.election.wait_for_turn()
            ownership = await self.election.claim()
            if ownership is None:
                continue
            if self.leaving:
                # The claim was under way when this instance was stopped.
                await self.election.release(ownership)
                continue
            await self.run_as_owner(ownership)
            logger.info(Event.OWNERSHIP_GIVEN_UP, term=ownership.term)

    async def run_as_owner(self, ownership: Ownership) -> None:
        """Acts as the owner until the ownership is lost."""
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
            self.settings.bounds.status_s + RETENTION_MARGIN_S,
            self.planning_share,
            self.lag,
        )
        # From now on, a newer owner can ask this one to stop.
        self.owner = owner
        self.relays = relays
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.election.renew_until_lost, ownership)
            tasks.start_soon(relays.run)
            tasks.start_soon(self.members.mirror.run)
            tasks.start_soon(HandOver(self, owner).run)
            tasks.start_soon(BacklogMonitor(self, owner).run)
            predecessor = self.election.predecessor
            if predecessor is None:
                owner.record_earlier_owners_stopped()
            elif predecessor.instance == self.instance:
                owner.record_predecessor_stopped(predecessor)
            else:
                tasks.start_soon(self.peer_calls.stop_earlier_owner, owner, predecessor)
            for member in list(self.members.members):
                self.update_advice_lane(member)
            await owner.run()
            tasks.cancel_scope.cancel()
        self.owner = self.relays = None

    async def shut_down(self) -> None:
        """Releases the ownership, and claims it no more."""
        self.leaving = True
        self.election.leaving = True
        if self.owner is not None:
            await self.election.release(self.owner.ownership)
