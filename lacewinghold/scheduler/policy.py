"""Decides which waiting tasks start where; pure, without input or output.

It answers the load of a cell that is nearly full of unlike work: urgent steps go
first, steps that need all tasks at once get room kept free for them, and small work
fills the workers that are fullest already.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.scheduler.model import HOPELESS_MULTIPLE
from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.claims import Claim
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode

Turn = tuple[tuple[int, int, float], str]  # A step's place in the order of a plan.
MAX_RESERVING = 2  # All-at-once steps that may keep room free at the same time.
RESERVED_SHARE = 0.6  # Most of the workers that may be kept free for them.
MAX_LOOKS = 4000  # Looks at workers in one plan: a few milliseconds of a core.
URGENT_SHARE = 0.5  # Part of the looks for the most urgent; others take turns.
TASK_LOOKS = 30  # A start costs as much as so many looks.
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


class Shape(Struct):
    """The workers of a service that have room for tasks of one size.

    :param order: Sort key and id of each, fullest first.
    :param keys: The sort keys in use.
    :param followed: How many of the planner's changes it has followed.
    """

    room: Resources
    followed: int
    order: list[tuple[float, WorkerId]] = field(default_factory=list)
    keys: dict[WorkerId, float] = field(default_factory=dict)

    def put(self, worker: WorkerId, key: float, free: Resources) -> None:
        """Puts a worker in its place, or leaves it out if it has no room."""
        old = self.keys.pop(worker, None)
        if old is not None:
            del self.order[bisect_left(self.order, (old, worker))]
        if self.room.within(free):
            self.keys[worker] = key
            insort(self.order, (key, worker))


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
        self.keys: dict[WorkerId, float] = {}
        self.changes: list[WorkerId] = []
        self.shapes: dict[tuple[str, Resources], Shape] = {}
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

    def change(self, worker: WorkerId, free: Resources) -> None:
        """Notes how much room a worker has from now on."""
        self.free[worker] = free
        self.keys.pop(worker, None)
        self.changes.append(worker)

    def give_back(self, room: Resources, tasks: Mapping[WorkerId, int]) -> None:
        """Gives the room of so many tasks on each worker back to the snapshot."""
        for worker, count in tasks.items():
            if worker in self.free:
                self.change(worker, self.free[worker].plus(room.times(count)))

    def take_claimed(self, claim: Claim) -> None:
        """Takes the room of a claim from the snapshot."""
        for worker, count in claim.tasks.items():
            if worker in self.free:
                self.take(worker, claim.step.room, count)

    def take(self, worker: WorkerId, room: Resources, count: int = 1) -> None:
        """Takes the room of some tasks from the snapshot."""
        self.change(worker, self.free[worker].minus(room.times(count)))

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
            # Permissions are valid for a short while only, and room that is kept for
            # a step would go to others.
            due = step.name in self.claims or step.name in self.last_reserved
            if due or self.looks < urgent_looks:
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
            self.give_back(step.room, self.claims[step.name].tasks)
        if not self.shape_of(step).order:
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

    def shape_of(self, step: Step) -> Shape:
        """Returns the workers that have room for a task, as of now."""
        service = step.job.queue.service
        shape = self.shapes.get((service, step.room))
        if shape is None:
            shape = self.make_shape(service, step.room)
            self.shapes[(service, step.room)] = shape
        for worker in set(self.changes[shape.followed :]):
            if self.nodes[worker].entry.service == service:
                shape.put(worker, self.sort_key(worker), self.free[worker])
        shape.followed = len(self.changes)
        return shape

    def make_shape(self, service: str, room: Resources) -> Shape:
        """Returns the workers of a service that have room for tasks of a size."""
        shape = Shape(room, len(self.changes))
        if service not in self.most or not room.within(self.most[service]):
            return shape
        nodes = self.services[service]
        self.looks += len(nodes)
        for node in nodes:
            worker = node.entry.worker
            if room.within(self.free[worker]):
                shape.keys[worker] = self.sort_key(worker)
        shape.order = sorted((key, worker) for worker, key in shape.keys.items())
        return shape

    def sort_key(self, worker: WorkerId) -> float:
        """Returns the sort key of a worker: the fullest comes first."""
        key = self.keys.get(worker)
        if key is None:
            capacity = self.nodes[worker].entry.capacity
            key = self.keys[worker] = -fullness(self.free[worker], capacity)
        return key

    def ranked(self, step: Step) -> Iterator[WorkerNode]:
        """Returns the workers that may run a step and have room, the best first."""
        order = self.shape_of(step).order
        permitted = self.permitted(step)
        if not permitted:
            return
        others: list[tuple[bool, bool, int]] = []
        for number, (_, worker) in enumerate(order):
            self.looks += 1
            node = self.nodes[worker]
            if worker not in permitted or not self.may_take(step, node):
                continue
            rank = self.rank(step, node)
            if any(rank):
                others.append((*rank, number))
            else:
                yield node
        for _, _, number in sorted(others):
            yield self.nodes[order[number][1]]

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

    def rank(self, step: Step, node: WorkerNode) -> tuple[bool, bool]:
        """Returns what counts before fullness: far from the data, not permitted now."""
        rack = step.spec.data_rack
        return bool(rack) and node.entry.rack != rack, not self.valid(step, node)

    def limit_on(self, step: Step, node: WorkerNode, there: Counter[WorkerId]) -> int:
        """Returns how many more tasks of a step a worker may take by its rules.

        :param there: How many it has of the step by now.
        """
        if step.name in self.held and not self.valid(step, node):
            return 0
        if not step.spec.max_per_worker:
            return step.spec.tasks
        return max(0, step.spec.max_per_worker - there[node.id])

    def runs_on(self, step: Step) -> Counter[WorkerId]:
        """Returns how many tasks of a step run on each worker, if there is a limit."""
        if not step.spec.max_per_worker:
            return Counter()
        return Counter(run.worker for run in step.runs())

    def place_singly(self, step: Step) -> None:
        """Places each task of a step for itself, as many as there is room for."""
        waiting = step.waiting()
        if step.name in self.held:
            # The last tasks have their room in the claim.
            waiting = waiting[: -self.claims[step.name].task_count()]
        if any(task.failed_on for task in waiting):
            self.emit(step, self.choose_each(step, waiting))
        elif waiting:
            self.emit(step, self.choose(step, waiting, self.ranked(step)))

    def choose(
        self, step: Step, tasks: list[Task], ranked: Iterable[WorkerNode]
    ) -> list[tuple[Task, WorkerNode]]:
        """Returns workers for as many tasks as there is room for.

        A worker that has taken a task is fuller and thus still the best one.
        """
        there = self.runs_on(step)
        chosen: list[tuple[Task, WorkerNode]] = []
        for node in ranked:
            left = min(len(tasks) - len(chosen), self.limit_on(step, node, there))
            for _ in range(fitting_count(step.room, self.free[node.id], left)):
                chosen.append((tasks[len(chosen)], node))
            if len(chosen) == len(tasks):
                break
        return chosen

    def choose_each(
        self, step: Step, tasks: list[Task]
    ) -> list[tuple[Task, WorkerNode]]:
        """Returns workers for tasks of which some have failed somewhere."""
        there = self.runs_on(step)
        count = len(self.candidates(step))
        chosen: list[tuple[Task, WorkerNode]] = []
        for task in tasks:
            avoided = task.failed_on if len(task.failed_on) < count else set()
            for node in self.ranked(step):
                if node.id in avoided or self.limit_on(step, node, there) <= 0:
                    continue
                there[node.id] += 1
                self.take(node.id, step.room)
                chosen.append((task, node))
                break
            else:
                if not task.failed_on:
                    break
        self.give_back(step.room, Counter(node.id for _, node in chosen))
        return chosen

    def place_together(self, step: Step) -> None:
        """Places all tasks of a step, or keeps room free for them."""
        tasks = step.waiting()
        if len(tasks) < step.spec.tasks:
            return
        avoided = set().union(*(task.failed_on for task in tasks))
        groups: list[Iterable[WorkerNode]] = [self.ranked(step)]
        if avoided or step.spec.one_rack:
            nodes = list(self.ranked(step))
            sound = [node for node in nodes if node.id not in avoided]
            groups = [*self.groups(step, sound), *self.groups(step, nodes)]
        for group in groups:
            chosen = self.choose(step, tasks, group)
            if len(chosen) == len(tasks):
                self.emit(step, chosen)
                return
        self.reserve(step)

    def groups(self, step: Step, nodes: list[WorkerNode]) -> list[list[WorkerNode]]:
        """Returns workers that may run all tasks of a step, those of one rack first."""
        if not step.spec.one_rack:
            return [nodes]
        racks: dict[str, list[WorkerNode]] = {}
        for node in nodes:
            racks.setdefault(node.entry.rack, []).append(node)
        return [*(racks[rack] for rack in sorted(racks)), nodes]

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
        self.looks += len(chosen)
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
        self.looks += TASK_LOOKS * len(ready)
        if ready:
            self.plan.placements.append(Placement(step, ready))
