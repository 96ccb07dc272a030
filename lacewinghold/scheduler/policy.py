"""Decides which waiting tasks start where; pure, without input or output.

It answers the load of a cell that is nearly full of unlike work: urgent steps go
first, steps that need all tasks at once get room kept free for them, and small work
fills the workers that are fullest already.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.model import HOPELESS_MULTIPLE
from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.claims import Claim
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode

Turn = tuple[tuple[int, int, float], str]  # A step's place in the order of a plan.
MAX_RESERVING = 2  # All-at-once steps that may keep room free at the same time.
RESERVED_SHARE = 0.6  # Most of the workers that may be kept free for them.
MAX_LOOKS = 4000  # Looks at workers in one plan: a few milliseconds of a core.
URGENT_SHARE = 0.5  # Part of the looks for the most urgent; others take turns.
TASK_LOOKS = 10  # A start costs as much as so many looks.
MAX_UNABLE = 8  # Steps of a queue that choose before their call can be made.


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
    :param skipped: Steps whose choices are not known now.
    :param left: Those of them that had no turn.
    :param resume: Where the next plan goes on with these.
    """

    placements: list[Placement] = field(default_factory=list)
    renewals: list[Renewal] = field(default_factory=list)
    reserved: dict[str, list[WorkerId]] = field(default_factory=dict)
    skipped: set[str] = field(default_factory=set)
    left: set[str] = field(default_factory=set)
    resume: Turn | None = None


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


def turn_of(step: Step, now: float) -> Turn:
    """Returns a step's place in the order of a plan; no two are equal."""
    return urgency_key(step, now), step.name


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


def most_room(amounts: Iterable[Resources]) -> Resources:
    """Returns the most that is free of each resource, not all on one worker."""
    cpu = memory = accelerators = 0
    for free in amounts:
        cpu = max(cpu, free.cpu_millis)
        memory = max(memory, free.memory_mb)
        accelerators = max(accelerators, free.accelerators)
    return Resources(cpu, memory, accelerators)


class Planner:
    """Makes one plan over a snapshot of the free room.

    Its work is bounded, whatever waits: steps of equal room share the search for
    workers that have it, the most urgent steps are planned first, and the others take
    turns over the plans.

    :param nodes: Workers on which tasks may be started now.
    :param permitted: Workers that may run a step; ``None`` if not known yet.
    :param valid: Whether a valid ticket for a step and worker is at hand.
    :param claims: Room that is kept for steps, by their names.
    :param may_ask: Whether the permissions that are lacking can be asked for at once.
    :param last_reserved: Workers kept free for steps by the last plan.
    :param held: Steps that wait for an answer and keep their claims.
    :param able: Whether a step may have a valid ticket, or can ask for one at once.
    :param resume: Where the last plan stopped.
    :param max_looks: How many workers are looked at before the plan stops.
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
        able: Callable[[Step], bool] = lambda step: True,
        resume: Turn | None = None,
        max_looks: int = MAX_LOOKS,
    ) -> None:
        self.now = now
        self.permitted = permitted
        self.valid = valid
        self.claims = claims or {}
        self.may_ask = may_ask
        self.last_reserved = last_reserved or {}
        self.held = held
        self.able = able
        self.resume = resume
        self.max_looks = max_looks
        self.looks = 0
        self.unable: Counter[str] = Counter()
        self.services: dict[str, list[WorkerNode]] = {}
        self.free: dict[WorkerId, Resources] = {}
        self.full: dict[WorkerId, float] = {}
        self.shapes: dict[tuple[str, Resources], dict[WorkerId, WorkerNode]] = {}
        self.nodes = {node.id: node for node in nodes}
        for worker, node in self.nodes.items():
            self.services.setdefault(node.entry.service, []).append(node)
            self.free[worker] = node.free()
        self.most = {
            service: most_room(self.free[node.id] for node in some)
            for service, some in self.services.items()
        }
        for claim in self.claims.values():
            self.take_claimed(claim)
        self.reserved: dict[WorkerId, int] = {}
        self.reserving = 0
        self.order: list[Step] = []
        self.plan = Plan()

    def give_back(self, step: Step, tasks: Mapping[WorkerId, int]) -> None:
        """Gives the room of so many tasks on each worker back to the snapshot."""
        for worker, count in tasks.items():
            if worker in self.free:
                self.free[worker] = self.free[worker].plus(step.room.times(count))
                self.full.pop(worker, None)
                node = self.nodes[worker]
                for (service, room), roomy in self.shapes.items():
                    fits = room.within(self.free[worker])
                    if fits and service == node.entry.service:
                        roomy[worker] = node

    def take_claimed(self, claim: Claim) -> None:
        """Takes the room of a claim from the snapshot."""
        for worker, count in claim.tasks.items():
            if worker in self.free:
                self.take(worker, claim.step.room, count)

    def take(self, worker: WorkerId, room: Resources, count: int = 1) -> None:
        """Takes the room of some tasks from the snapshot."""
        self.free[worker] = self.free[worker].minus(room.times(count))
        self.full.pop(worker, None)

    def has_room_for(self, renewal: Renewal) -> bool:
        """Returns whether the room of a choice is free."""
        for worker, count in renewal.chosen.items():
            room = renewal.step.room.times(count)
            if worker not in self.free or not room.within(self.free[worker]):
                return False
        return True

    def make(self, steps: Iterable[Step]) -> Plan:
        """Returns the plan for the steps that are ready, most urgent first."""
        urgent_looks = self.max_looks * URGENT_SHARE
        left = []
        turns = sorted((turn_of(step, self.now), step) for step in steps)
        self.order = [step for _, step in turns]
        for turn, step in turns:
            # An answer has come for a claim, and is of use for a short while only.
            if self.looks < urgent_looks or step.name in self.claims:
                self.visit(step)
            else:
                left.append((turn, step))
        self.take_turns(left)
        return self.plan

    def take_turns(self, left: list[tuple[Turn, Step]]) -> None:
        """Visits the less urgent steps from where the last plan stopped."""
        first = 0
        if self.resume is not None:
            first = bisect_left(left, self.resume, key=lambda item: item[0])
        for turn, step in left[first:] + left[:first]:
            if self.looks < self.max_looks:
                self.visit(step)
                continue
            self.plan.skipped.add(step.name)
            self.plan.left.add(step.name)
            if self.plan.resume is None:
                self.plan.resume = turn

    def visit(self, step: Step) -> None:
        """Plans one step."""
        held = step.name in self.held
        if held and step.spec.all_at_once:
            return
        if step.name in self.claims and not held:
            # Its answer has come, and the step may choose again.
            self.give_back(step, self.claims[step.name].tasks)
        if not self.roomy(step):
            if step.spec.all_at_once:
                self.reserve(step)
            return
        if step.name not in self.claims and not self.able(step):
            queue = step.job.queue.name
            self.unable[queue] += 1
            if self.unable[queue] > MAX_UNABLE:
                self.plan.skipped.add(step.name)
                return
        if step.spec.all_at_once:
            self.place_together(step)
        else:
            self.place_singly(step)

    def roomy(self, step: Step) -> dict[WorkerId, WorkerNode]:
        """Returns the workers that had room for a task when last looked at."""
        service = step.job.queue.service
        shape = service, step.room
        found = self.shapes.get(shape)
        if found is not None:
            return found
        found = {}
        if service in self.most and step.room.within(self.most[service]):
            nodes = self.services[service]
            self.looks += len(nodes)
            for node in nodes:
                if step.room.within(self.free[node.id]):
                    found[node.id] = node
        self.shapes[shape] = found
        return found

    def with_room(self, step: Step) -> list[WorkerNode]:
        """Returns the workers that may run a step and have room for a task."""
        roomy = self.roomy(step)
        permitted = self.permitted(step) if roomy else None
        if not permitted:
            return []
        if len(permitted) < len(roomy):
            some = [roomy[worker] for worker in permitted if worker in roomy]
            self.looks += len(permitted)
        else:
            some = list(roomy.values())
            self.looks += len(roomy)
        found = []
        for node in some:
            worker = node.entry.worker
            if not step.room.within(self.free[worker]):
                del roomy[worker]
                continue
            if worker in permitted and self.may_take(step, node):
                found.append(node)
        return found

    def candidates(self, step: Step) -> list[WorkerNode]:
        """Returns the workers that may run a step, with or without room."""
        permitted = self.permitted(step)
        if permitted is None:
            return []
        nodes = self.services.get(step.job.queue.service, [])
        self.looks += len(nodes)
        found = []
        for node in nodes:
            if node.id in permitted and self.may_take(step, node):
                found.append(node)
        return found

    def may_take(self, step: Step, node: WorkerNode) -> bool:
        """Returns whether a worker is fit for a step and not kept for others."""
        urgency = step.job.queue.urgency
        if self.reserved and self.reserved.get(node.id, urgency) < urgency:
            return False
        return has_label(step, node) and not self.disturbs(step, node)

    def disturbs(self, step: Step, node: WorkerNode) -> bool:
        """Returns whether work that fills and work that serves would meet there."""
        if step.spec.fills:
            return node.serving > 0
        return step.spec.latency_target_ms > 0 and node.filling > 0

    def rank(self, step: Step, node: WorkerNode) -> tuple[bool, bool, float, str]:
        """Returns the sort key of a worker: near the data, permitted now, fullest."""
        worker = node.entry.worker
        full = self.full.get(worker)
        if full is None:
            full = fullness(self.free[worker], node.entry.capacity)
            self.full[worker] = full
        remote = bool(step.spec.data_rack) and node.entry.rack != step.spec.data_rack
        return remote, not self.valid(step, node), -full, worker

    def limits(self, step: Step, nodes: list[WorkerNode]) -> dict[WorkerId, int]:
        """Returns how many more tasks of a step workers may take by its rules."""
        limits = dict.fromkeys((node.id for node in nodes), step.spec.tasks)
        if step.spec.max_per_worker:
            there = Counter(run.worker for run in step.runs())
            for worker in limits:
                limits[worker] = max(0, step.spec.max_per_worker - there[worker])
        if step.name in self.held:
            for node in nodes:
                if not self.valid(step, node):
                    limits[node.id] = 0
        return limits

    def place_singly(self, step: Step) -> None:
        """Places each task of a step for itself, as many as there is room for."""
        waiting = step.waiting()
        if step.name in self.held:
            # The last tasks have their room in the claim.
            waiting = waiting[: -self.claims[step.name].task_count()]
        nodes = self.with_room(step) if waiting else []
        if not nodes:
            return
        if any(task.failed_on for task in waiting):
            chosen = self.choose_each(step, waiting, nodes)
        else:
            chosen = self.choose_fullest(step, waiting, nodes)
        self.emit(step, chosen)

    def choose_fullest(
        self, step: Step, tasks: list[Task], nodes: list[WorkerNode]
    ) -> list[tuple[Task, WorkerNode]]:
        """Returns workers for as many tasks as there is room for.

        A worker that has taken a task is fuller and thus still the best one.
        """
        limits = self.limits(step, nodes)
        ranked = [(self.rank(step, node), node) for node in nodes]
        heapq.heapify(ranked)
        chosen: list[tuple[Task, WorkerNode]] = []
        while ranked and len(chosen) < len(tasks):
            _, node = heapq.heappop(ranked)
            left = min(len(tasks) - len(chosen), limits[node.id])
            for _ in range(fitting_count(step.room, self.free[node.id], left)):
                chosen.append((tasks[len(chosen)], node))
        return chosen

    def choose_each(
        self, step: Step, tasks: list[Task], nodes: list[WorkerNode]
    ) -> list[tuple[Task, WorkerNode]]:
        """Returns workers for tasks of which some have failed somewhere."""
        limits = self.limits(step, nodes)
        count = len(self.candidates(step))
        chosen: list[tuple[Task, WorkerNode]] = []
        for task in tasks:
            avoided = task.failed_on if len(task.failed_on) < count else ()
            node = self.best_node(step, nodes, limits, avoided)
            if node is None:
                if task.failed_on:
                    continue
                break
            limits[node.id] -= 1
            self.take(node.id, step.room)
            chosen.append((task, node))
        self.give_back(step, Counter(node.id for _, node in chosen))
        return chosen

    def best_node(
        self,
        step: Step,
        nodes: list[WorkerNode],
        limits: dict[WorkerId, int],
        avoided: Collection[WorkerId],
    ) -> WorkerNode | None:
        """Returns the worker for one task, or ``None`` if none has room."""
        self.looks += len(nodes)
        best: WorkerNode | None = None
        best_rank: tuple[bool, bool, float, str] | None = None
        for node in nodes:
            if limits[node.id] <= 0 or not step.room.within(self.free[node.id]):
                continue
            if node.id in avoided:
                continue
            rank = self.rank(step, node)
            if best_rank is None or rank < best_rank:
                best, best_rank = node, rank
        return best

    def place_together(self, step: Step) -> None:
        """Places all tasks of a step, or keeps room free for them."""
        tasks = step.waiting()
        if len(tasks) < step.spec.tasks:
            return
        nodes = self.with_room(step)
        avoided = set().union(*(task.failed_on for task in tasks))
        chosen = None
        if avoided:
            sound = [node for node in nodes if node.id not in avoided]
            chosen = self.choose_together(step, tasks, sound)
        if chosen is None:
            chosen = self.choose_together(step, tasks, nodes)
        if chosen is None:
            self.reserve(step)
            return
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
            groups = [*(racks[rack] for rack in sorted(racks)), nodes]
        for group in groups:
            chosen = self.choose_fullest(step, tasks, group)
            if len(chosen) == len(tasks):
                return chosen
        return None

    def reserve(self, step: Step) -> None:
        """Keeps enough workers free of less urgent work for a step.

        Those of the last plan come first, so that they do get free.
        """
        if self.reserving >= MAX_RESERVING or len(step.waiting()) < step.spec.tasks:
            return
        nodes = self.candidates(step)
        if not nodes or not self.may_ever_run(step, nodes):
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

    def emit(self, step: Step, chosen: list[tuple[Task, WorkerNode]]) -> None:
        """Adds starts with valid tickets to the plan, and asks for the others."""
        self.looks += TASK_LOOKS * len(chosen)
        counts = Counter(node.id for _, node in chosen)
        nodes = {node.id: node for _, node in chosen}
        missing = {node.id for node in nodes.values() if not self.valid(step, node)}
        together = step.spec.all_at_once
        if missing:
            waiting = {
                worker: count
                for worker, count in counts.items()
                if together or worker in missing
            }
            renewal = Renewal(step, waiting, sorted(missing))
            self.plan.renewals.append(renewal)
            if not self.may_ask(renewal):
                for worker in waiting:
                    del counts[worker]
        for worker, count in counts.items():
            self.take(worker, step.room, count)
        if together and missing:
            return
        ready = [(task, node) for task, node in chosen if node.id not in missing]
        if ready:
            self.plan.placements.append(Placement(step, ready))
