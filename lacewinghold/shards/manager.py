"""Decides which shards this entry instance acquires, keeps and releases."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err

from lacewinghold.coordination.assignment import assign
from lacewinghold.coordination.ledger import Ledger
from lacewinghold.coordination.ownership import ShardOwnership
from lacewinghold.events import Event
from lacewinghold.ids import ShardId
from lacewinghold.placement.split import ShardCapacity
from lacewinghold.schema.generated.document import PlacementSection
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.shards.drains import Drains
from lacewinghold.shards.owner import ShardOwner

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.coordination.lease import InstanceLease
    from lacewinghold.coordination.rules import RuleGate
    from lacewinghold.coordination.view import LiveView
    from lacewinghold.ids import DataCentreId, InstanceId
    from lacewinghold.schema.generated.jobs import Resources, Where
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.schema.generated.worker import InstanceList, WorkerRecord
    from lacewinghold.shards.part_calls import PartCalls
    from lacewinghold.store.base import Store
    from lacewinghold.util.clock import WallClock
    from lacewinghold.workers.base import InstanceListSource, WorkerLinks

logger = structlog.get_logger(__name__)
LIST_INTERVAL_S = 1.0
ADJUST_INTERVAL_S = 0.25
HAND_OVER_TIMEOUT_S = 5.0
# A shard moves only after the assignment has been stable for this time.
MOVE_DELAY_S = 2.0
MOVE_JITTER_S = 2.0
FIRST_ACQUIRE_DELAY_S = 0.5


def shard_of(record: WorkerRecord, shards_per_rack: int) -> ShardId:
    """Returns the shard of a worker: its rack, divided by position."""
    return ShardId(f"{record.rack}.{record.position % shards_per_rack}")


class ShardManager:
    """Owns shards of the instance's data centre.

    :param settings: Settings of the instance.
    :ivar move_at: Earliest time to hand over each shard assigned elsewhere.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        lease: InstanceLease,
        view: LiveView,
        source: InstanceListSource,
        links: WorkerLinks,
        clock: WallClock,
        rng: random.Random,
        rules: RuleGate | None = None,
    ) -> None:
        self.rules = rules
        self.settings = settings
        self.store = store
        self.lease = lease
        self.view = view
        self.source = source
        self.links = links
        self.clock = clock
        self.rng = rng
        self.keys = view.keys
        self.owners: dict[ShardId, ShardOwner] = {}
        self.scopes: dict[ShardId, anyio.CancelScope] = {}
        self.workers: dict[ShardId, list[WorkerRecord]] = {}
        self.instance_list: InstanceList | None = None
        self.leaving = False
        self.started_at = 0.0
        self.move_at: dict[ShardId, float] = {}
        self.counts: Counter[str] = Counter()
        self.part_calls: PartCalls
        self.current_weights: Callable[[], PlacementSection] = PlacementSection
        self.drains = Drains(store, view, clock)
        view.listeners.append(self.apply_drains)

    @property
    def data_centre(self) -> DataCentreId:
        """Returns the instance's data centre."""
        return self.settings.data_centre

    async def run(self) -> None:
        """Applies the instance list and the assignment until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.poll_instance_list)
            await self.view.loaded.wait()
            self.started_at = anyio.current_time()
            while True:
                await self.adjust(tasks)
                changed = self.view.changed
                with anyio.move_on_after(ADJUST_INTERVAL_S):
                    await changed.wait()

    async def poll_instance_list(self) -> None:
        """Fetches the instance list every ``LIST_INTERVAL_S``."""
        while True:
            reply = await self.source.fetch()
            if not isinstance(reply, Err):
                self.apply_list(reply.ok_value)
            await anyio.sleep(LIST_INTERVAL_S)

    def apply_list(self, listed: InstanceList) -> None:
        """Groups the data centre's workers into shards."""
        self.instance_list = listed
        shards: dict[ShardId, list[WorkerRecord]] = {}
        for record in listed.workers:
            if record.data_centre != self.data_centre:
                continue
            shard = shard_of(record, self.settings.shards_per_rack)
            shards.setdefault(shard, []).append(record)
        self.workers = shards
        for shard, owner in self.owners.items():
            if owner.ready.is_set():
                owner.update_workers(shards.get(shard, []))

    def apply_drains(self, changed: set[str]) -> None:
        """Passes the set of drained workers to the owners if it changed."""
        if not self.drains.changed_by(changed):
            return
        drained = self.drains.current()
        for owner in self.owners.values():
            owner.set_drained(drained)

    def shard_capacities(self, shards: list[ShardId]) -> list[ShardCapacity]:
        """Returns the capacities of the listed live workers, by shard."""
        workers: dict[ShardId, list[Resources]] = {shard: [] for shard in shards}
        for record in self.instance_list.workers if self.instance_list else []:
            shard = shard_of(record, self.settings.shards_per_rack)
            if shard in workers and record.state is WorkerState.LIVE:
                workers[shard].append(record.capacity)
        return [
            ShardCapacity(shard, found) for shard, found in workers.items() if found
        ]

    def listed_capacity(self, where: Where | None) -> list[Resources] | None:
        """Returns the capacities of the listed workers that a job may use.

        Workers that are leaving count, since they may be replaced.

        :param where: The job's constraints of place.
        :returns: ``None`` if the list has not been read or names no worker at all.
        """
        if self.instance_list is None or not self.instance_list.workers:
            return None
        found = []
        for record in self.instance_list.workers:
            if record.state is WorkerState.GONE:
                continue
            if where and where.region not in (None, record.region):
                continue
            if where and where.data_centre not in (None, record.data_centre):
                continue
            found.append(record.capacity)
        return found

    def apply_weights(self) -> None:
        """Sets the operators' placement weights in the shards owned here."""
        weights = self.current_weights()
        for owner in self.owners.values():
            owner.placer.engine.set_weights(weights)

    def desired_owners(self) -> dict[ShardId, InstanceId]:
        """Returns the assignment over the data centre's live instances."""
        instances = [
            instance
            for instance, record in self.view.instances().items()
            if record.data_centre == self.data_centre and not record.leaving
        ]
        return assign(self.workers, instances)

    async def adjust(self, tasks: TaskGroup) -> None:
        """Acquires and releases shards according to the assignment."""
        if not self.lease.valid() or self.leaving:
            return
        self.apply_weights()
        own_instance = self.lease.record.instance
        for shard, instance in sorted(self.desired_owners().items()):
            if shard in self.owners:
                if instance == own_instance:
                    self.move_at.pop(shard, None)
                elif self.may_move(shard):
                    # One per round, to avoid a burst of calls when many shards move.
                    await self.release(shard)
                    return
                continue
            if (
                instance == own_instance
                and self.appears_unowned(shard)
                and self.may_acquire(shard)
            ):
                await self.acquire(shard, tasks)
            elif instance != own_instance:
                await self.release_unserved(shard)

    def may_move(self, shard: ShardId) -> bool:
        """Returns whether a shard has been assigned elsewhere for long enough.

        Instances start one after the other, and the instance list and the view lag
        behind, so a shard is handed over only once the assignment is stable.
        """
        now = anyio.current_time()
        delay_s = MOVE_DELAY_S + self.rng.uniform(0.0, MOVE_JITTER_S)
        return now >= self.move_at.setdefault(shard, now + delay_s)

    def may_acquire(self, shard: ShardId) -> bool:
        """Returns whether a shard may be acquired now.

        A shard that has had an owner may be acquired at once. In a new cell,
        instances that start together first wait until they see each other.
        """
        if self.view.owner(shard) is not None:
            return True
        return anyio.current_time() >= self.started_at + FIRST_ACQUIRE_DELAY_S

    def appears_unowned(self, shard: ShardId) -> bool:
        """Returns whether a shard has no live owner as far as the view shows.

        A record that names this instance, although it does not serve the shard,
        was written by a call whose outcome remained unknown.
        """
        known = self.view.owner(shard)
        if known is None or known[0].owner is None:
            return True
        if known[0].owner == self.lease.record.instance:
            return True
        return known[0].owner not in self.view.instances()

    async def release_unserved(self, shard: ShardId) -> None:
        """Releases a shard that is recorded as owned here but is not served."""
        known = self.view.owner(shard)
        if known is None or known[0].owner != self.lease.record.instance:
            return
        ownership = ShardOwnership(self.store, self.keys, self.lease, shard)
        await ownership.release_record(
            known[1].mod_revision, known[0].change, self.clock.now()
        )

    async def acquire(self, shard: ShardId, tasks: TaskGroup) -> None:
        """Acquires a shard and starts to serve it."""
        ownership = ShardOwnership(self.store, self.keys, self.lease, shard)
        known = self.view.owner(shard)
        taken = await ownership.acquire(known, self.clock.now())
        if isinstance(taken, Err):
            logger.debug(
                Event.SHARD_NOT_TAKEN, shard=shard, detail=taken.err_value.detail
            )
            return
        ledger = Ledger(
            self.store,
            self.keys,
            shard,
            taken.ok_value,
            self.lease.record.instance,
            self.rng,
        )
        owner = ShardOwner(
            ownership,
            ledger,
            self.links,
            self.clock,
            self.settings.hold_s,
            self.rng,
            self.part_calls,
            self.rules,
        )
        owner.counts = self.counts
        owner.set_drained(self.drains.current())
        self.owners[shard] = owner
        tasks.start_soon(self.serve, shard, owner)

    async def serve(self, shard: ShardId, owner: ShardOwner) -> None:
        """Serves a shard until it is released or superseded."""
        with anyio.CancelScope() as scope:
            self.scopes[shard] = scope
            await owner.run(self.workers.get(shard, []))
        if self.owners.get(shard) is owner:
            del self.owners[shard]
        self.scopes.pop(shard, None)

    async def release(self, shard: ShardId) -> None:
        """Settles the work in progress on a shard and then releases it.

        If the store does not answer, the record still names this instance; it is
        then released by a later round or by the end of the instance's lease.
        """
        owner = self.owners[shard]
        self.move_at.pop(shard, None)
        with anyio.move_on_after(HAND_OVER_TIMEOUT_S):
            await owner.ready.wait()
            await owner.hand_over()
        if self.owners.pop(shard, None) is not owner:
            return
        owner.stopped = True
        scope = self.scopes.pop(shard, None)
        if scope is not None:
            scope.cancel()
        await owner.ownership.release(self.clock.now())

    async def release_all(self) -> None:
        """Releases all shards concurrently."""
        self.leaving = True
        async with anyio.create_task_group() as tasks:
            for shard in list(self.owners):
                tasks.start_soon(self.release, shard)
