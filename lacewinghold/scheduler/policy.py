"""Decides which waiting tasks start where; pure, without input or output.

It answers the load of a cell that is nearly full of unlike work: urgent steps go
first, steps that need all tasks at once get room kept free for them, and small work
fills the workers that are fullest already.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.model import HOPELESS_MULTIPLE

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.claims import Claim
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Resources

MAX_RESERVING = 2  # All-at-once steps that may keep room free at the same time.
RESERVED_SHARE = 0.6  # Most of the workers that may be kept free for them.


class Placement(Struct):
    """Tasks of one step that start together, each with its worker."""

    step: Step
    tasks: list[tuple[Task, WorkerNode]]


class Renewal(Struct):
    """A step that has room, but not on workers with a valid permission.

    :param chosen: Workers on which tasks wait for a permission, with their number;
        all tasks of a step that starts all at once.
    :param lacking: Those of them without a valid permission.
    """

    step: Step
    chosen: dict[WorkerId, int]
    lacking: list[WorkerId]

    def task_count(self) -> int:
        """Returns how many tasks wait for permissions on the workers chosen."""
        return sum(self.chosen.values())


class Plan(Struct):
    """What to do now.

    :param placements: Starts that have room and permission.
    :param reserved: Workers kept free for steps that need all tasks at once.
    """

    placements: list[Placement] = field(default_factory=list)
    renewals: list[Renewal] = field(default_factory=list)
    reserved: dict[str, list[WorkerId]] = field(default_factory=dict)


def urgency_key(step: Step, now: float) -> tuple[int, int, float]:
    """Returns the sort key of a step: hopeless work last, then late, then urgent."""
    job = step.job
    age = now - step.due_at
    lateness = 0
    if age > job.objective_s:
        lateness = 1
    if age > job.objective_s * HOPELESS_MULTIPLE:
        lateness = 2
    return lateness, job.queue.urgency, step.due_at + job.objective_s


def fitting_count(room: Resources, free: Resources, limit: int) -> int:
    """Returns how many equal tasks fit into a room."""
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
    """Returns how full a worker is by its scarcest resource, from 0 to 1."""
    shares = [0.0]
    if capacity.cpu_millis:
        shares.append(1 - free.cpu_millis / capacity.cpu_millis)
    if capacity.memory_mb:
        shares.append(1 - free.memory_mb / capacity.memory_mb)
    return max(shares)


class Planner:
    """Makes one plan over a snapshot of the free room.

    :param nodes: Workers on which tasks may be started now.
    :param permitted: Workers that may run a step; ``None`` if not known yet.
    :param valid: Whether a valid ticket for a step and worker is at hand.
    :param claims: Room that is kept for steps, by their names.
    :param may_ask: Whether the permissions that are lacking can be asked for at once.
    :param last_reserved: Workers kept free for steps by the last plan.
    :param held: Steps that wait for an answer and keep their claims.
    """

    def __init__(
        self,
        now: float,
        nodes: Iterable[WorkerNode],
        permitted: Callable[[Step], frozenset[WorkerId] | None],
        valid: Callable[[Step, WorkerNode], bool],
        claims: Mapping[str, Claim] | None = None,
        may_ask: Callable[[Renewal], bool] = lambda renewal: True,
        last_reserved: Mapping[str, Collection[WorkerId]] | None = None,
        held: Collection[str] = (),
    ) -> None:
        self.now = now
        self.permitted = permitted
        self.valid = valid
        self.claims = claims or {}
        self.may_ask = may_ask
        self.last_reserved = last_reserved or {}
        self.held = held
        self.services: dict[str, list[WorkerNode]] = {}
        self.free: dict[WorkerId, Resources] = {}
        for node in nodes:
            self.services.setdefault(node.entry.service, []).append(node)
            self.free[node.id] = node.free()
        for claim in self.claims.values():
            self.take_claimed(claim)
        self.reserved: dict[WorkerId, int] = {}
        self.reserving = 0
        self.plan = Plan()

    def add_room(self, tasks: Mapping[WorkerId, int], room: Resources) -> None:
        """Gives the room of so many tasks on each worker back to the snapshot."""
        for worker, count in tasks.items():
            if worker in self.free:
                self.free[worker] = self.free[worker].plus(room.times(count))

    def take_claimed(self, claim: Claim) -> None:
        """Takes the room of a claim from the snapshot."""
        for worker, count in claim.tasks.items():
            if worker in self.free:
                room = claim.step.room.times(count)
                self.free[worker] = self.free[worker].minus(room)

    def make(self, steps: Iterable[Step]) -> Plan:
        """Returns the plan for all steps that are ready, most urgent first."""
        for step in sorted(steps, key=lambda step: urgency_key(step, self.now)):
            held = step.name in self.held
            if held and step.spec.all_at_once:
                continue
            if step.name in self.claims and not held:
                # Its answer has come, and the step may choose again.
                self.add_room(self.claims[step.name].tasks, step.room)
            nodes = self.candidates(step)
            if not nodes:
                continue
            if step.spec.all_at_once:
                self.place_together(step, nodes)
            else:
                self.place_singly(step, nodes)
        return self.plan

    def candidates(self, step: Step) -> list[WorkerNode]:
        """Returns the workers that may run a step and are not kept for others."""
        permitted = self.permitted(step)
        if permitted is None:
            return []
        urgency = step.job.queue.urgency
        found = []
        for node in self.services.get(step.job.queue.service, []):
            if node.id not in permitted:
                continue
            if not has_label(step, node):
                continue
            if self.reserved.get(node.id, urgency) < urgency:
                continue
            if self.disturbs(step, node):
                continue
            found.append(node)
        return found

    def disturbs(self, step: Step, node: WorkerNode) -> bool:
        """Returns whether work that fills and work that serves would meet there."""
        if step.spec.fills:
            return node.serving > 0
        return step.spec.latency_target_ms > 0 and node.filling > 0

    def rank(self, step: Step, node: WorkerNode) -> tuple[bool, bool, float, str]:
        """Returns the sort key of a worker: near the data, permitted now, fullest."""
        remote = bool(step.spec.data_rack) and node.entry.rack != step.spec.data_rack
        full = fullness(self.free[node.id], node.entry.capacity)
        return remote, not self.valid(step, node), -full, str(node.id)

    def limit_on(self, step: Step, node: WorkerNode) -> int:
        """Returns how many more tasks of a step a worker may take by its rules."""
        if step.name in self.held and not self.valid(step, node):
            return 0
        if not step.spec.max_per_worker:
            return step.spec.tasks
        there = 0
        for run in step.runs():
            there += run.worker == node.id
        return max(0, step.spec.max_per_worker - there)

    def place_singly(self, step: Step, nodes: list[WorkerNode]) -> None:
        """Places each task of a step for itself, as many as there is room for."""
        waiting = step.waiting()
        chosen: list[tuple[Task, WorkerNode]] = []
        limits = {node.id: self.limit_on(step, node) for node in nodes}
        if step.name in self.held:
            # The last tasks have their room in the claim.
            waiting = waiting[: -self.claims[step.name].task_count()]
        for task in waiting:
            node = self.best_node(step, task, nodes, limits)
            if node is None:
                if task.failed_on:
                    continue
                break
            limits[node.id] -= 1
            self.take(node, step.room)
            chosen.append((task, node))
        self.emit(step, chosen)

    def best_node(
        self,
        step: Step,
        task: Task,
        nodes: list[WorkerNode],
        limits: dict[WorkerId, int],
    ) -> WorkerNode | None:
        """Returns the worker for one task, or ``None`` if none has room."""
        best: WorkerNode | None = None
        best_rank: tuple[bool, bool, float, str] | None = None
        for node in nodes:
            if limits[node.id] <= 0 or not step.room.within(self.free[node.id]):
                continue
            if node.id in task.failed_on and len(task.failed_on) < len(nodes):
                continue
            rank = self.rank(step, node)
            if best_rank is None or rank < best_rank:
                best, best_rank = node, rank
        return best

    def place_together(self, step: Step, nodes: list[WorkerNode]) -> None:
        """Places all tasks of a step, or keeps room free for them."""
        tasks = step.waiting()
        if len(tasks) < step.spec.tasks:
            return
        avoided = set().union(*(task.failed_on for task in tasks))
        usable = [node for node in nodes if node.id not in avoided] or nodes
        chosen = self.choose_together(step, tasks, usable)
        if chosen is None and usable is not nodes:
            chosen = self.choose_together(step, tasks, nodes)
        if chosen is None:
            self.reserve(step, nodes)
            return
        for _, node in chosen:
            self.take(node, step.room)
        self.emit(step, chosen)

    def choose_together(
        self, step: Step, tasks: list[Task], nodes: list[WorkerNode]
    ) -> list[tuple[Task, WorkerNode]] | None:
        """Returns a worker for each task, or ``None`` if not all have room."""
        groups = [nodes]
        if step.spec.one_rack:
            racks: dict[str, list[WorkerNode]] = {}
            for node in nodes:
                racks.setdefault(node.entry.rack, []).append(node)
            groups = [*racks.values(), nodes]
        for group in groups:
            chosen: list[tuple[Task, WorkerNode]] = []
            for node in sorted(group, key=lambda node: self.rank(step, node)):
                left = min(len(tasks) - len(chosen), self.limit_on(step, node))
                count = fitting_count(step.room, self.free[node.id], left)
                for _ in range(count):
                    chosen.append((tasks[len(chosen)], node))
                if len(chosen) == len(tasks):
                    return chosen
        return None

    def reserve(self, step: Step, nodes: list[WorkerNode]) -> None:
        """Keeps enough workers free of less urgent work for a step.

        Those of the last plan come first, so that they do get free.
        """
        if self.reserving >= MAX_RESERVING or not self.may_ever_run(step, nodes):
            return
        self.reserving += 1
        bound = RESERVED_SHARE * len(self.free)
        needed = step.spec.tasks
        earlier = frozenset(self.last_reserved.get(step.name, ()))
        by_room = sorted(
            nodes,
            key=lambda node: (node.id not in earlier, -self.free[node.id].cpu_millis),
        )
        reserved = self.plan.reserved.setdefault(step.name, [])
        for node in by_room:
            if needed <= 0 or len(self.reserved) >= bound:
                return
            limit = min(needed, step.spec.max_per_worker or needed)
            count = fitting_count(step.room, node.entry.capacity, limit)
            if count == 0:
                continue
            needed -= count
            reserved.append(node.id)
            urgency = step.job.queue.urgency
            self.reserved[node.id] = min(self.reserved.get(node.id, urgency), urgency)

    def may_ever_run(self, step: Step, nodes: list[WorkerNode]) -> bool:
        """Returns whether all tasks would have room if nothing else ran."""
        count = 0
        for node in nodes:
            limit = step.spec.max_per_worker or step.spec.tasks
            count += fitting_count(step.room, node.entry.capacity, limit)
        return count >= step.spec.tasks

    def take(self, node: WorkerNode, room: Resources) -> None:
        """Takes room from the snapshot."""
        self.free[node.id] = self.free[node.id].minus(room)

    def emit(self, step: Step, chosen: list[tuple[Task, WorkerNode]]) -> None:
        """Adds starts with valid tickets to the plan, and asks for the others."""
        missing = {node.id for _, node in chosen if not self.valid(step, node)}
        together = step.spec.all_at_once
        if missing:
            waiting = [node.id for _, node in chosen if together or node.id in missing]
            renewal = Renewal(step, dict(Counter(waiting)), sorted(missing))
            self.plan.renewals.append(renewal)
            if not self.may_ask(renewal):
                self.add_room(renewal.chosen, step.room)
        if together and missing:
            return
        ready = [(task, node) for task, node in chosen if node.id not in missing]
        if ready:
            self.plan.placements.append(Placement(step, ready))
