"""The slots of a shard's backend servers, counted exactly by its owner."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from lacewinghold.invariants import Invariant, require
from lacewinghold.schema.generated.jobs import TaskState

if TYPE_CHECKING:
    from lacewinghold.ids import ServiceId, WorkerId
    from lacewinghold.schema.generated.worker import WorkerRecord
    from lacewinghold.shards.owner import ShardOwner

BackendKey = tuple["ServiceId", "WorkerId"]


class SlotTable:
    """Slots in use by service and worker."""

    def __init__(self, owner: ShardOwner) -> None:
        self.owner = owner
        self.used: Counter[BackendKey] = Counter()
        self.freed = anyio.Event()

    def backends(self, service: ServiceId) -> list[WorkerRecord]:
        """Returns the workers on which a service runs and that are not leaving."""
        found = []
        for task in self.owner.tasks.values():
            if task.spec.service != service or task.state is not TaskState.RUNNING:
                continue
            worker = self.owner.workers.get(task.worker) if task.worker else None
            if worker is None or not worker.capacity.usable:
                continue
            found.append(worker.record)
        return found

    def take(
        self, service: ServiceId, avoid: frozenset[WorkerId]
    ) -> WorkerRecord | None:
        """Takes a slot of the least busy backend server.

        :param avoid: Workers that were tried already.
        """
        best = None
        for record in self.backends(service):
            used = self.used[(service, record.worker)]
            if used >= record.slots or record.worker in avoid:
                continue
            if best is None or used < self.used[(service, best.worker)]:
                best = record
        if best is None:
            return None
        key = (service, best.worker)
        require(Invariant.SLOTS, self.used[key] < best.slots, best.worker)
        self.used[key] += 1
        return best

    def release(self, service: ServiceId, worker: WorkerId) -> None:
        """Gives a slot back."""
        self.used[(service, worker)] -= 1
        self.freed.set()
        self.freed = anyio.Event()
