"""Free resources of the workers within one plan, with indexes of those with room."""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.speed_ranking import SpeedPreference, SpeedRanking

# Sort key of a worker: the rank of its speed, and its fullness; the lowest is the best.
WorkerKey = tuple[int, float]


def fitting_count(room: Resources, free: Resources, limit: int) -> int:
    """Returns how many tasks of equal size fit into the free resources.

    :param room: The resources that each task takes.
    :param limit: The most to return.
    """
    if not room.within(free):
        return 0
    count = limit
    for size, available in (
        (room.cpu_millis, free.cpu_millis),
        (room.memory_mb, free.memory_mb),
        (room.accelerators, free.accelerators),
    ):
        if size > 0:
            count = min(count, available // size)
    return max(0, count)


def has_label(step: Step, node: WorkerNode) -> bool:
    """Returns whether a worker has the label that a step requires, if any."""
    label = step.spec.required_label
    return not label or label in node.entry.labels


def fullness(free: Resources, capacity: Resources) -> float:
    """Returns the used share, 0 to 1, of CPU or memory, whichever is higher."""
    shares = [0.0]
    if capacity.cpu_millis:
        shares.append(1 - free.cpu_millis / capacity.cpu_millis)
    if capacity.memory_mb:
        shares.append(1 - free.memory_mb / capacity.memory_mb)
    return max(shares)


def max_free_resources(free_resources: Iterable[Resources]) -> Resources:
    """Returns the maximum of each resource, which may be on different workers."""
    cpu = memory = accelerators = 0
    for free in free_resources:
        cpu = max(cpu, free.cpu_millis)
        memory = max(memory, free.memory_mb)
        accelerators = max(accelerators, free.accelerators)
    return Resources(cpu, memory, accelerators)


class WorkerIndex(Struct):
    """Index of the workers of a service that have room for tasks of one size.

    :param room: The resources that each task takes.
    :param preference: Which speeds come first.
    :param applied_changes: How many entries of ``RoomSnapshot.changed_workers`` the
        index reflects.
    :param order: Sort key and id of each worker, the best first.
    :param sort_keys: The sort key under which each worker is in ``order``.
    """

    room: Resources
    preference: SpeedPreference
    applied_changes: int
    order: list[tuple[WorkerKey, WorkerId]] = field(default_factory=list)
    sort_keys: dict[WorkerId, WorkerKey] = field(default_factory=dict)

    def update(self, worker: WorkerId, key: WorkerKey, free: Resources) -> None:
        """Moves a worker to its new position, or removes it if it has no room."""
        old = self.sort_keys.pop(worker, None)
        if old is not None:
            del self.order[bisect_left(self.order, (old, worker))]
        if self.room.within(free):
            self.sort_keys[worker] = key
            insort(self.order, (key, worker))


class RoomSnapshot:
    """The free resources of the workers, which a plan changes as it goes on.

    Steps of the same service, task size and speed preference share one index, so that
    the cost does not depend on how many steps wait.

    :param nodes: Workers on which tasks may be started now.
    :param speeds: Ranks the workers by their speed.
    """

    def __init__(self, nodes: Iterable[WorkerNode], speeds: SpeedRanking) -> None:
        self.speeds = speeds
        self.evaluations = 0
        self.nodes = {node.id: node for node in nodes}
        self.nodes_by_service: dict[str, list[WorkerNode]] = {}
        self.free: dict[WorkerId, Resources] = {}
        self.sort_keys: dict[WorkerId, float] = {}
        self.changed_workers: list[WorkerId] = []
        self.indexes: dict[tuple[str, Resources, SpeedPreference], WorkerIndex] = {}
        for worker, node in self.nodes.items():
            self.nodes_by_service.setdefault(node.entry.service, []).append(node)
            self.free[worker] = node.free()
        self.max_free = {
            service: max_free_resources(self.free[node.id] for node in nodes_of_service)
            for service, nodes_of_service in self.nodes_by_service.items()
        }

    def set_free(self, worker: WorkerId, free: Resources) -> None:
        """Sets the free resources of a worker in the snapshot."""
        self.free[worker] = free
        self.sort_keys.pop(worker, None)
        self.changed_workers.append(worker)

    def release(self, room: Resources, tasks: Mapping[WorkerId, int]) -> None:
        """Returns the resources of some tasks to the snapshot.

        :param room: The resources that each task takes.
        :param tasks: How many tasks there are on each worker.
        """
        for worker, count in tasks.items():
            if worker in self.free:
                self.set_free(worker, self.free[worker].plus(room.times(count)))

    def allocate(self, worker: WorkerId, room: Resources, count: int = 1) -> None:
        """Deducts the resources of tasks on one worker from the snapshot."""
        self.set_free(worker, self.free[worker].minus(room.times(count)))

    def worker_index(self, step: Step) -> WorkerIndex:
        """Returns the up-to-date index of the workers with room for one task."""
        service = step.job.queue.service
        preference = self.speeds.preference(step)
        index = self.indexes.get((service, step.room, preference))
        if index is None:
            index = self.build_index(service, step.room, preference)
            self.indexes[(service, step.room, preference)] = index
        for worker in set(self.changed_workers[index.applied_changes :]):
            if self.nodes[worker].entry.service == service:
                key = self.speeds.rank(worker, preference), self.sort_key(worker)
                index.update(worker, key, self.free[worker])
        index.applied_changes = len(self.changed_workers)
        return index

    def build_index(
        self, service: str, room: Resources, preference: SpeedPreference
    ) -> WorkerIndex:
        """Builds the index of the workers of a service with room for one task."""
        index = WorkerIndex(room, preference, len(self.changed_workers))
        if service not in self.max_free or not room.within(self.max_free[service]):
            return index
        nodes = self.nodes_by_service[service]
        self.evaluations += len(nodes)
        for node in nodes:
            worker = node.entry.worker
            if room.within(self.free[worker]):
                rank = self.speeds.rank(worker, preference)
                index.sort_keys[worker] = rank, self.sort_key(worker)
        index.order = sorted((key, worker) for worker, key in index.sort_keys.items())
        return index

    def sort_key(self, worker: WorkerId) -> float:
        """Returns the sort key among workers of equal speed, lowest for the fullest."""
        key = self.sort_keys.get(worker)
        if key is None:
            capacity = self.nodes[worker].entry.capacity
            key = self.sort_keys[worker] = -fullness(self.free[worker], capacity)
        return key
