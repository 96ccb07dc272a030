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

PlanPosition = tuple[
    tuple[int, int, float], str
]  # A step's place in the order of a plan.
MAX_RESERVING_STEPS = 2  # All-at-once steps that may keep room free at the same time.
MAX_RESERVED_SHARE = 0.6  # Most of the workers that may be kept free for them.
MAX_EVALUATIONS = 4000  # Looks at workers in one plan: a few milliseconds of a core.
URGENT_EVALUATION_SHARE = (
    0.5  # Part of the looks for the most urgent; others take turns.
)
EVALUATIONS_PER_START = 30  # A start costs as much as so many looks.
MAX_BLOCKED_STEPS = 8  # Steps of a queue that choose before their call can be made.


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
    without_ticket: list[WorkerId]

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
    deferred: set[str] = field(default_factory=set)
    resume_at: PlanPosition | None = None


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


def plan_position(step: Step, now: float) -> PlanPosition:
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


def max_free_resources(free_resources: Iterable[Resources]) -> Resources:
    """Returns the most that is free of each resource, not all on one worker."""
    cpu = memory = accelerators = 0
    for free in free_resources:
        cpu = max(cpu, free.cpu_millis)
        memory = max(memory, free.memory_mb)
        accelerators = max(accelerators, free.accelerators)
    return Resources(cpu, memory, accelerators)


class WorkerIndex(Struct):
    """The workers of a service that have room for tasks of one size.

    :param order: Sort key and id of each, fullest first.
    :param keys: The sort keys in use.
    :param followed: How many of the planner's changes it has followed.
    """

    room: Resources
    applied_changes: int
    order: list[tuple[float, WorkerId]] = field(default_factory=list)
    sort_keys: dict[WorkerId, float] = field(default_factory=dict)

    def update(self, worker: WorkerId, key: float, free: Resources) -> None:
        """Puts a worker in its place, or leaves it out if it has no room."""
        old = self.sort_keys.pop(worker, None)
        if old is not None:
            del self.order[bisect_left(self.order, (old, worker))]
        if self.room.within(free):
            self.sort_keys[worker] = key
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
        has_valid_ticket: Callable[[Step, WorkerNode], bool],
        claims: Mapping[str, Claim] | None = None,
        may_ask: Callable[[Renewal], bool] = lambda renewal: True,
        last_reserved: Mapping[str, Collection[WorkerId]] | None = None,
        awaiting_answer: Collection[str] = (),
        can_get_ticket: Callable[[Step], bool] = lambda step: True,
        resume_at: PlanPosition | None = None,
        max_evaluations: int = MAX_EVALUATIONS,
    ) -> None:
        self.now = now
        self.permitted = permitted
        self.has_valid_ticket = has_valid_ticket
        self.claims = claims or {}
        self.may_ask = may_ask
        self.last_reserved = last_reserved or {}
        self.awaiting_answer = awaiting_answer
        self.can_get_ticket = can_get_ticket
        self.resume_at = resume_at
        self.max_evaluations = max_evaluations
        self.evaluations = 0
        self.blocked_steps: Counter[str] = Counter()
        self.nodes_by_service: dict[str, list[WorkerNode]] = {}
        self.free: dict[WorkerId, Resources] = {}
        self.sort_keys: dict[WorkerId, float] = {}
        self.changed_workers: list[WorkerId] = []
        self.indexes: dict[tuple[str, Resources], WorkerIndex] = {}
        self.nodes = {node.id: node for node in nodes}
        for worker, node in self.nodes.items():
            self.nodes_by_service.setdefault(node.entry.service, []).append(node)
            self.free[worker] = node.free()
        self.max_free = {
            service: max_free_resources(self.free[node.id] for node in nodes_of_service)
            for service, nodes_of_service in self.nodes_by_service.items()
        }
        for claim in self.claims.values():
            self.allocate_claim(claim)
        self.reserved_urgency: dict[WorkerId, int] = {}
        self.reserving_steps = 0
        self.order: list[Step] = []
        self.plan = Plan()

    def set_free(self, worker: WorkerId, free: Resources) -> None:
        """Notes how much room a worker has from now on."""
        self.free[worker] = free
        self.sort_keys.pop(worker, None)
        self.changed_workers.append(worker)

    def release(self, room: Resources, tasks: Mapping[WorkerId, int]) -> None:
        """Gives the room of so many tasks on each worker back to the snapshot."""
        for worker, count in tasks.items():
            if worker in self.free:
                self.set_free(worker, self.free[worker].plus(room.times(count)))

    def allocate_claim(self, claim: Claim) -> None:
        """Takes the room of a claim from the snapshot."""
        for worker, count in claim.tasks.items():
            if worker in self.free:
                self.allocate(worker, claim.step.room, count)

    def allocate(self, worker: WorkerId, room: Resources, count: int = 1) -> None:
        """Takes the room of some tasks from the snapshot."""
        self.set_free(worker, self.free[worker].minus(room.times(count)))

    def has_room_for(self, renewal: Renewal) -> bool:
        """Returns whether the room of a choice is free."""
        for worker, count in renewal.chosen.items():
            room = renewal.step.room.times(count)
            if worker not in self.free or not room.within(self.free[worker]):
                return False
        return True

    def make_plan(self, steps: Iterable[Step]) -> Plan:
        """Returns the plan for the steps that are ready, most urgent first."""
        urgent_evaluations = self.max_evaluations * URGENT_EVALUATION_SHARE
        deferred = []
        ordered = sorted((plan_position(step, self.now), step) for step in steps)
        self.order = [step for _, step in ordered]
        for position, step in ordered:
            # Permissions are valid for a short while only, and room that is kept for
            # a step would go to others.
            due = step.name in self.claims or step.name in self.last_reserved
            if due or self.evaluations < urgent_evaluations:
                self.plan_step(step)
            else:
                deferred.append((position, step))
        self.plan_deferred(deferred)
        return self.plan

    def plan_deferred(self, deferred: list[tuple[PlanPosition, Step]]) -> None:
        """Visits the less urgent steps from where the last plan stopped."""
        first = 0
        if self.resume_at is not None:
            first = bisect_left(deferred, self.resume_at, key=lambda item: item[0])
        for position, step in deferred[first:] + deferred[:first]:
            if self.evaluations < self.max_evaluations:
                self.plan_step(step)
                continue
            self.plan.skipped.add(step.name)
            self.plan.deferred.add(step.name)
            if self.plan.resume_at is None:
                self.plan.resume_at = position

    def plan_step(self, step: Step) -> None:
        """Plans one step."""
        awaiting_answer = step.name in self.awaiting_answer
        if awaiting_answer and step.spec.all_at_once:
            return
        if step.name in self.claims and not awaiting_answer:
            # Its answer has come, and the step may choose again.
            self.release(step.room, self.claims[step.name].tasks)
        if not self.worker_index(step).order:
            if step.spec.all_at_once:
                self.reserve_workers(step)
            return
        if step.name not in self.claims and not self.can_get_ticket(step):
            queue = step.job.queue.name
            self.blocked_steps[queue] += 1
            if self.blocked_steps[queue] > MAX_BLOCKED_STEPS:
                self.plan.skipped.add(step.name)
                return
        if step.spec.all_at_once:
            self.place_together(step)
        else:
            self.place_singly(step)

    def worker_index(self, step: Step) -> WorkerIndex:
        """Returns the workers that have room for a task, as of now."""
        service = step.job.queue.service
        index = self.indexes.get((service, step.room))
        if index is None:
            index = self.build_index(service, step.room)
            self.indexes[(service, step.room)] = index
        for worker in set(self.changed_workers[index.applied_changes :]):
            if self.nodes[worker].entry.service == service:
                index.update(worker, self.sort_key(worker), self.free[worker])
        index.applied_changes = len(self.changed_workers)
        return index

    def build_index(self, service: str, room: Resources) -> WorkerIndex:
        """Returns the workers of a service that have room for tasks of a size."""
        index = WorkerIndex(room, len(self.changed_workers))
        if service not in self.max_free or not room.within(self.max_free[service]):
            return index
        nodes = self.nodes_by_service[service]
        self.evaluations += len(nodes)
        for node in nodes:
            worker = node.entry.worker
            if room.within(self.free[worker]):
                index.sort_keys[worker] = self.sort_key(worker)
        index.order = sorted((key, worker) for worker, key in index.sort_keys.items())
        return index

    def sort_key(self, worker: WorkerId) -> float:
        """Returns the sort key of a worker: the fullest comes first."""
        key = self.sort_keys.get(worker)
        if key is None:
            capacity = self.nodes[worker].entry.capacity
            key = self.sort_keys[worker] = -fullness(self.free[worker], capacity)
        return key

    def ranked_workers(self, step: Step) -> Iterator[WorkerNode]:
        """Returns the workers that may run a step and have room, the best first."""
        order = self.worker_index(step).order
        permitted = self.permitted(step)
        if not permitted:
            return
        less_preferred: list[tuple[bool, bool, int]] = []
        for number, (_, worker) in enumerate(order):
            self.evaluations += 1
            node = self.nodes[worker]
            if worker not in permitted or not self.is_eligible(step, node):
                continue
            preference = self.preference_key(step, node)
            if any(preference):
                less_preferred.append((*preference, number))
            else:
                yield node
        for _, _, number in sorted(less_preferred):
            yield self.nodes[order[number][1]]

    def eligible_workers(self, step: Step) -> list[WorkerNode]:
        """Returns the workers that may run a step, with or without room."""
        permitted = self.permitted(step)
        if permitted is None:
            return []
        nodes = self.nodes_by_service.get(step.job.queue.service, [])
        self.evaluations += len(nodes)
        found = []
        for node in nodes:
            if node.id in permitted and self.is_eligible(step, node):
                found.append(node)
        return found

    def is_eligible(self, step: Step, node: WorkerNode) -> bool:
        """Returns whether a worker is fit for a step and not kept for others."""
        urgency = step.job.queue.urgency
        if (
            self.reserved_urgency
            and self.reserved_urgency.get(node.id, urgency) < urgency
        ):
            return False
        return has_label(step, node) and not self.mixes_serving_and_filling(step, node)

    def mixes_serving_and_filling(self, step: Step, node: WorkerNode) -> bool:
        """Returns whether work that fills and work that serves would meet there."""
        if step.spec.fills:
            return node.serving_runs > 0
        return step.spec.latency_target_ms > 0 and node.filling_runs > 0

    def preference_key(self, step: Step, node: WorkerNode) -> tuple[bool, bool]:
        """Returns what counts before fullness: far from the data, not permitted now."""
        rack = step.spec.data_rack
        return bool(rack) and node.entry.rack != rack, not self.has_valid_ticket(
            step, node
        )

    def max_tasks_on(
        self, step: Step, node: WorkerNode, placed: Counter[WorkerId]
    ) -> int:
        """Returns how many more tasks of a step a worker may take by its rules.

        :param there: How many it has of the step by now.
        """
        if step.name in self.awaiting_answer and not self.has_valid_ticket(step, node):
            return 0
        if not step.spec.max_per_worker:
            return step.spec.tasks
        return max(0, step.spec.max_per_worker - placed[node.id])

    def runs_per_worker(self, step: Step) -> Counter[WorkerId]:
        """Returns how many tasks of a step run on each worker, if there is a limit."""
        if not step.spec.max_per_worker:
            return Counter()
        return Counter(run.worker for run in step.active_runs())

    def place_singly(self, step: Step) -> None:
        """Places each task of a step for itself, as many as there is room for."""
        waiting = step.waiting_tasks()
        if step.name in self.awaiting_answer:
            # The last tasks have their room in the claim.
            waiting = waiting[: -self.claims[step.name].task_count()]
        if any(task.failed_workers for task in waiting):
            self.add_to_plan(step, self.choose_worker_per_task(step, waiting))
        elif waiting:
            self.add_to_plan(
                step, self.choose_workers(step, waiting, self.ranked_workers(step))
            )

    def choose_workers(
        self, step: Step, tasks: list[Task], ranked: Iterable[WorkerNode]
    ) -> list[tuple[Task, WorkerNode]]:
        """Returns workers for as many tasks as there is room for.

        A worker that has taken a task is fuller and thus still the best one.
        """
        placed = self.runs_per_worker(step)
        chosen: list[tuple[Task, WorkerNode]] = []
        for node in ranked:
            limit = min(len(tasks) - len(chosen), self.max_tasks_on(step, node, placed))
            for _ in range(fitting_count(step.room, self.free[node.id], limit)):
                chosen.append((tasks[len(chosen)], node))
            if len(chosen) == len(tasks):
                break
        return chosen

    def choose_worker_per_task(
        self, step: Step, tasks: list[Task]
    ) -> list[tuple[Task, WorkerNode]]:
        """Returns workers for tasks of which some have failed somewhere."""
        placed = self.runs_per_worker(step)
        count = len(self.eligible_workers(step))
        chosen: list[tuple[Task, WorkerNode]] = []
        for task in tasks:
            avoided = task.failed_workers if len(task.failed_workers) < count else set()
            for node in self.ranked_workers(step):
                if node.id in avoided or self.max_tasks_on(step, node, placed) <= 0:
                    continue
                placed[node.id] += 1
                self.allocate(node.id, step.room)
                chosen.append((task, node))
                break
            else:
                if not task.failed_workers:
                    break
        self.release(step.room, Counter(node.id for _, node in chosen))
        return chosen

    def place_together(self, step: Step) -> None:
        """Places all tasks of a step, or keeps room free for them."""
        tasks = step.waiting_tasks()
        if len(tasks) < step.spec.tasks:
            return
        avoided = set().union(*(task.failed_workers for task in tasks))
        worker_groups: list[Iterable[WorkerNode]] = [self.ranked_workers(step)]
        if avoided or step.spec.one_rack:
            nodes = list(self.ranked_workers(step))
            not_avoided = [node for node in nodes if node.id not in avoided]
            worker_groups = [
                *self.worker_groups(step, not_avoided),
                *self.worker_groups(step, nodes),
            ]
        for group in worker_groups:
            chosen = self.choose_workers(step, tasks, group)
            if len(chosen) == len(tasks):
                self.add_to_plan(step, chosen)
                return
        self.reserve_workers(step)

    def worker_groups(
        self, step: Step, nodes: list[WorkerNode]
    ) -> list[list[WorkerNode]]:
        """Returns workers that may run all tasks of a step, those of one rack first."""
        if not step.spec.one_rack:
            return [nodes]
        racks: dict[str, list[WorkerNode]] = {}
        for node in nodes:
            racks.setdefault(node.entry.rack, []).append(node)
        return [*(racks[rack] for rack in sorted(racks)), nodes]

    def reserve_workers(self, step: Step) -> None:
        """Keeps enough workers free of less urgent work for a step.

        Those of the last plan come first, so that they do get free.
        """
        if (
            self.reserving_steps >= MAX_RESERVING_STEPS
            or len(step.waiting_tasks()) < step.spec.tasks
        ):
            return
        nodes = self.eligible_workers(step)
        if not nodes or not self.fits_idle_workers(step, nodes):
            return
        self.reserving_steps += 1
        max_reserved = MAX_RESERVED_SHARE * len(self.free)
        needed = step.spec.tasks
        last_reserved = frozenset(self.last_reserved.get(step.name, ()))
        by_preference = sorted(
            nodes,
            key=lambda node: (
                node.id not in last_reserved,
                -self.free[node.id].cpu_millis,
            ),
        )
        reserved = self.plan.reserved.setdefault(step.name, [])
        for node in by_preference:
            if needed <= 0 or len(self.reserved_urgency) >= max_reserved:
                return
            limit = min(needed, step.spec.max_per_worker or needed)
            count = fitting_count(step.room, node.entry.capacity, limit)
            if count == 0:
                continue
            needed -= count
            reserved.append(node.id)
            urgency = step.job.queue.urgency
            self.reserved_urgency[node.id] = min(
                self.reserved_urgency.get(node.id, urgency), urgency
            )

    def fits_idle_workers(self, step: Step, nodes: list[WorkerNode]) -> bool:
        """Returns whether all tasks would have room if nothing else ran."""
        count = 0
        for node in nodes:
            limit = step.spec.max_per_worker or step.spec.tasks
            count += fitting_count(step.room, node.entry.capacity, limit)
        return count >= step.spec.tasks

    def add_to_plan(self, step: Step, chosen: list[tuple[Task, WorkerNode]]) -> None:
        """Adds starts with valid tickets to the plan, and asks for the others."""
        self.evaluations += len(chosen)
        counts = Counter(node.id for _, node in chosen)
        nodes = {node.id: node for _, node in chosen}
        without_ticket = {
            node.id for node in nodes.values() if not self.has_valid_ticket(step, node)
        }
        all_at_once = step.spec.all_at_once
        if without_ticket:
            waiting = {
                worker: count
                for worker, count in counts.items()
                if all_at_once or worker in without_ticket
            }
            renewal = Renewal(step, waiting, sorted(without_ticket))
            self.plan.renewals.append(renewal)
            if not self.may_ask(renewal):
                for worker in waiting:
                    del counts[worker]
        for worker, count in counts.items():
            self.allocate(worker, step.room, count)
        if all_at_once and without_ticket:
            return
        ready = [(task, node) for task, node in chosen if node.id not in without_ticket]
        self.evaluations += EVALUATIONS_PER_START * len(ready)
        if ready:
            self.plan.placements.append(Placement(step, ready))
