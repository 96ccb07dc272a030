"""Placement policy: decides which waiting tasks start on which workers.

The module does no input or output. It is made for a cell that is nearly full of work
of different kinds: urgent steps are planned first, workers are reserved for steps that
need all tasks at once (gang scheduling), and small tasks are packed onto the fullest
workers.

The advice service decides which workers may run a step. Its permission for a step and
a worker is a ticket that is valid for a short time.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

from lacewinghold.organisations.caps import CapBudget
from lacewinghold.scheduler.all_at_once import choose_for_all, isolated_tasks
from lacewinghold.scheduler.ordering import plan_position
from lacewinghold.scheduler.plan import Placement, Plan, Renewal
from lacewinghold.scheduler.reservations import (
    MAX_RESERVED_SHARE,
    PlanReservations,
    Reservations,
)
from lacewinghold.scheduler.room import RoomSnapshot, fitting_count, has_label
from lacewinghold.scheduler.speed_ranking import SpeedRanking, any_speed
from lacewinghold.scheduler.suspects import Suspects, is_idle, isolates, suspects_first

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.organisations.shares import WeightedShares
    from lacewinghold.scheduler.claims import Claim
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ordering import PlanPosition

# Work limit of one plan, counted in workers checked for a step: 4000 take a few
# milliseconds of a core.
MAX_EVALUATIONS = 4000
URGENT_EVALUATION_SHARE = 0.5  # For the most urgent steps; the others take turns.
EVALUATIONS_PER_START = 30  # Starting a task costs as much as 30 evaluations.
# Steps of a queue that get workers chosen although their call to the advice service
# cannot be made yet.
MAX_BLOCKED_STEPS = 8


class Planner(RoomSnapshot):
    """Makes one plan over a snapshot of the free resources.

    The cost of a plan is bounded, however many steps wait: steps share indexes of the
    workers with room, the most urgent steps are planned first, and the others take
    turns over successive plans.

    :param now: Time on the runtime's clock, in seconds.
    :param nodes: Workers on which tasks may be started now.
    :param permitted: Returns the workers that may run a step, or ``None`` if the
        advice service has not answered about it yet.
    :param has_valid_ticket: Returns whether there is a valid ticket for a step and a
        worker.
    :param claims: Resources claimed for steps, by the steps' names.
    :param may_ask: Returns whether the permissions of a renewal can be requested at
        once.
    :param reservations: What the last plans have reserved.
    :param awaiting_answer: Names of the steps that wait for an answer of the advice
        service; their claims stay.
    :param can_get_ticket: Returns whether a step may have a valid ticket, or can
        request one at once.
    :param resume_at: ``Plan.resume_at`` of the last plan.
    :param max_evaluations: Work limit of the plan, in evaluations.
    :param suspects: Tasks that are suspected of crashing their workers.
    :param caps: What each organisation may still start.
    :param shares: What the organisations use of their shares.
    :param speed_of: Returns the lasting speed of a worker relative to the usual one.
    """

    def __init__(
        self,
        now: float,
        nodes: Iterable[WorkerNode],
        permitted: Callable[[Step], frozenset[WorkerId] | None],
        has_valid_ticket: Callable[[Step, WorkerNode], bool],
        claims: Mapping[str, Claim] | None = None,
        may_ask: Callable[[Renewal], bool] = lambda renewal: True,
        reservations: Reservations | None = None,
        awaiting_answer: Collection[str] = (),
        can_get_ticket: Callable[[Step], bool] = lambda step: True,
        resume_at: PlanPosition | None = None,
        max_evaluations: int = MAX_EVALUATIONS,
        suspects: Suspects | None = None,
        caps: CapBudget | None = None,
        shares: WeightedShares | None = None,
        speed_of: Callable[[WorkerId], float] = any_speed,
    ) -> None:
        nodes = list(nodes)
        super().__init__(nodes, SpeedRanking(now, nodes, speed_of))
        self.now = now
        self.permitted = permitted
        self.has_valid_ticket = has_valid_ticket
        self.claims = claims or {}
        self.may_ask = may_ask
        self.awaiting_answer = awaiting_answer
        self.can_get_ticket = can_get_ticket
        self.resume_at = resume_at
        self.max_evaluations = max_evaluations
        self.suspects = suspects or Suspects()
        self.caps = caps or CapBudget()
        self.shares = shares
        self.blocked_steps: Counter[str] = Counter()
        for claim in self.claims.values():
            self.allocate_claim(claim)
        max_reserved = MAX_RESERVED_SHARE * len(self.free)
        self.reservations = PlanReservations(
            reservations or Reservations(), max_reserved
        )
        self.order: list[Step] = []
        self.plan = Plan(reserved=self.reservations.reserved)

    def allocate_claim(self, claim: Claim) -> None:
        """Deducts the resources of a claim from the snapshot.

        Workers of the claim that are no longer usable are ignored.
        """
        self.caps.take(claim.step, claim.task_count())
        for worker, count in claim.tasks.items():
            if worker in self.free:
                self.allocate(worker, claim.step.room, count)

    def has_room_for(self, renewal: Renewal) -> bool:
        """Returns whether the chosen workers still have room for their tasks."""
        for worker, count in renewal.chosen.items():
            room = renewal.step.room.times(count)
            if worker not in self.free or not room.within(self.free[worker]):
                return False
        return True

    def make_plan(self, steps: Iterable[Step]) -> Plan:
        """Returns the plan.

        :param steps: The steps that are ready, in any order.
        """
        urgent_evaluations = self.max_evaluations * URGENT_EVALUATION_SHARE
        deferred = []
        ordered = sorted(
            (plan_position(step, self.now, self.shares), step) for step in steps
        )
        self.order = [step for _, step in ordered]
        for position, step in ordered:
            # Steps with a claim or a reservation are never deferred: their permissions
            # would expire, and other steps would take the reserved workers.
            due = step.name in self.claims or self.was_reserving(step)
            if due or self.evaluations < urgent_evaluations:
                self.plan_step(step)
            else:
                deferred.append((position, step))
        self.plan_deferred(deferred)
        return self.plan

    def plan_deferred(self, deferred: list[tuple[PlanPosition, Step]]) -> None:
        """Plans the less urgent steps, beginning where the last plan stopped."""
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
            # The claim is over: the answer has arrived, or is too late. The step can
            # use the claimed resources, or choose other workers.
            self.release(step.room, self.claims[step.name].tasks)
            self.caps.take(step, -self.claims[step.name].task_count())
        self.place_step(step)

    def place_step(self, step: Step) -> None:
        """Places the tasks of one step, or reserves workers for them."""
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

    def ranked_workers(
        self, step: Step, *, alone: bool = False
    ) -> Iterator[WorkerNode]:
        """Yields the permitted, eligible workers with room, the best first.

        Workers that need no fallback (right rack, valid ticket) are yielded while the
        index is scanned, those of the preferred speed first and of these the fullest;
        the others follow in the order of ``preference_key``.

        :param alone: Whether to yield only idle workers, also those that are kept free.
        """
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
            if alone and not is_idle(node, self.free[worker]):
                continue
            if not alone and worker in self.suspects.closed:
                continue
            preference = self.preference_key(step, node)
            if any(preference):
                less_preferred.append((*preference, number))
            else:
                yield node
        for _, _, number in sorted(less_preferred):
            yield self.nodes[order[number][1]]

    def eligible_workers(self, step: Step) -> list[WorkerNode]:
        """Returns the permitted, eligible workers, with or without free room."""
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
        """Returns whether a worker suits a step and no more urgent one reserved it."""
        if self.reservations.keeps_out(node.id, step):
            return False
        return has_label(step, node) and not self.mixes_serving_and_filling(step, node)

    def mixes_serving_and_filling(self, step: Step, node: WorkerNode) -> bool:
        """Returns whether filler and latency-sensitive work would share the worker.

        Filler steps (``fills``) take CPU time that is not set aside for them, so they
        never run beside steps with a latency target.
        """
        if step.spec.fills:
            return node.serving_runs > 0
        return step.spec.latency_target_ms > 0 and node.filling_runs > 0

    def preference_key(self, step: Step, node: WorkerNode) -> tuple[bool, bool]:
        """Returns the sort key that precedes speed and fullness; ``False`` sorts first.

        :returns: Whether the worker is outside the rack of the step's data, and whether
            there is no valid ticket for it.
        """
        rack = step.spec.data_rack
        return bool(rack) and node.entry.rack != rack, not self.has_valid_ticket(
            step, node
        )

    def max_tasks_on(
        self, step: Step, node: WorkerNode, placed: Counter[WorkerId]
    ) -> int:
        """Returns how many more tasks of a step may be placed on a worker.

        While the step waits for an answer, only workers with a valid ticket count.

        :param placed: How many tasks of the step each worker has already.
        """
        if step.name in self.awaiting_answer and not self.has_valid_ticket(step, node):
            return 0
        if not step.spec.max_per_worker:
            return step.spec.tasks
        return max(0, step.spec.max_per_worker - placed[node.id])

    def runs_per_worker(self, step: Step) -> Counter[WorkerId]:
        """Counts the runs of a step on each worker if it has a limit per worker."""
        if not step.spec.max_per_worker:
            return Counter()
        return Counter(run.worker for run in step.active_runs())

    def place_singly(self, step: Step) -> None:
        """Places as many tasks of a step as there is room for, each on its own."""
        count = step.waiting_count()
        claimed = 0
        if step.name in self.awaiting_answer:
            # The claim holds the resources of the last tasks.
            claimed = self.claims[step.name].task_count()
            count = max(0, count - claimed)
        count = self.within_cap(step, count, claimed)
        if count and step.tasks.has_history():
            self.add_to_plan(step, self.choose_worker_per_task(step, count))
        elif count:
            nodes = self.choose_workers(step, count, self.ranked_workers(step))
            tasks = step.waiting_tasks(len(nodes))
            self.add_to_plan(step, list(zip(tasks, nodes, strict=True)))

    def within_cap(self, step: Step, count: int, claimed: int = 0) -> int:
        """Returns how many tasks the cap of the step's organisation lets start.

        :param count: How many tasks wait.
        :param claimed: How many other tasks of the step have claims.
        """
        allowed = min(count, self.caps.limit(step, count))
        if allowed < count:
            if not allowed or step.spec.all_at_once:
                self.caps.record_blocked(step)
            self.plan.task_limits[step.name] = claimed + allowed
        return allowed

    def choose_workers(
        self, step: Step, count: int, ranked: Iterable[WorkerNode]
    ) -> list[WorkerNode]:
        """Chooses workers for as many of a number of tasks as there is room for.

        Each worker gets as many tasks as fit before the next one is used: with every
        task it becomes fuller, and so remains the best choice.
        """
        placed = self.runs_per_worker(step)
        chosen: list[WorkerNode] = []
        for node in ranked:
            limit = min(count - len(chosen), self.max_tasks_on(step, node, placed))
            chosen += [node] * fitting_count(step.room, self.free[node.id], limit)
            if len(chosen) == count:
                break
        return chosen

    def choose_worker_per_task(
        self, step: Step, count: int
    ) -> list[tuple[Task, WorkerNode]]:
        """Chooses a worker for each task separately, avoiding those on which it failed.

        A task that has failed on as many workers as are eligible avoids none.

        :param count: For how many tasks at the most.
        """
        placed = self.runs_per_worker(step)
        eligible = len(self.eligible_workers(step))
        chosen: list[tuple[Task, WorkerNode]] = []
        for task in islice(suspects_first(step), count):
            failed = task.failed_workers
            avoided = failed if len(failed) < eligible else set()
            node = self.choose_worker(step, task, avoided, placed)
            if node is not None:
                placed[node.id] += 1
                self.allocate(node.id, step.room)
                self.suspects.record_placement(task, node)
                chosen.append((task, node))
            elif not task.failed_workers and not task.crashes:
                break
        self.release(step.room, Counter(node.id for _, node in chosen))
        return chosen

    def choose_worker(
        self,
        step: Step,
        task: Task,
        avoided: Collection[WorkerId],
        placed: Counter[WorkerId],
    ) -> WorkerNode | None:
        """Returns the best worker for one task, ``None`` if there is none.

        Suspected tasks are kept apart, so that the next crash tells them apart. One
        that has waited too long for an idle worker starts beside the fewest runs.
        """
        alone = self.suspects.must_be_alone(task)
        if alone and not self.suspects.may_isolate(step.job.queue.service):
            return None
        found = []
        for node in self.ranked_workers(step, alone=alone):
            if node.id in avoided or self.max_tasks_on(step, node, placed) <= 0:
                continue
            if not task.crashes or (
                not self.suspects.is_avoided(node.id) and not isolates(task)
            ):
                return node
            found.append(node)
        if not isolates(task):
            return found[0] if found else None
        return min(
            found,
            key=lambda node: (self.suspects.is_avoided(node.id), len(node.runs)),
            default=None,
        )

    def place_together(self, step: Step) -> None:
        """Places all tasks of a step, or reserves workers for them.

        Workers on which a task of the step failed are used only if the tasks do not fit
        elsewhere.
        """
        count = step.spec.tasks
        if step.waiting_count() < count or self.within_cap(step, count) < count:
            return
        avoided = set().union(*(task.failed_workers for task in step.tasks.objects()))
        worker_groups: list[Iterable[WorkerNode]] = [self.ranked_workers(step)]
        isolated = isolated_tasks(step, self.suspects)
        if avoided or isolated or step.spec.one_rack:
            nodes = list(self.ranked_workers(step))
            not_avoided = [node for node in nodes if node.id not in avoided]
            worker_groups = [
                *self.worker_groups(step, not_avoided),
                *self.worker_groups(step, nodes),
            ]
        idle = list(self.ranked_workers(step, alone=True)) if isolated else []
        for group in worker_groups:
            chosen = choose_for_all(self, step, group, isolated, idle)
            if len(chosen) == count:
                for task, node in chosen:
                    self.suspects.record_placement(task, node)
                self.add_to_plan(step, chosen)
                return
        self.reserve_workers(step)

    def worker_groups(
        self, step: Step, nodes: list[WorkerNode]
    ) -> list[list[WorkerNode]]:
        """Returns the groups of workers to try for all tasks of a step, in order.

        For a step with ``one_rack`` each rack is a group; all workers are the last one.
        """
        if not step.spec.one_rack:
            return [nodes]
        racks: dict[str, list[WorkerNode]] = {}
        for node in nodes:
            racks.setdefault(node.entry.rack, []).append(node)
        return [*(racks[rack] for rack in sorted(racks)), nodes]

    def was_reserving(self, step: Step) -> bool:
        """Returns whether workers have been reserved for a step until now."""
        return step.name in self.reservations.earlier.workers

    def reserve_workers(self, step: Step) -> None:
        """Reserves workers for an all-at-once step that cannot start yet."""
        if (
            not self.reservations.may_reserve(step)
            or step.waiting_count() < step.spec.tasks
            or self.caps.limit(step, step.spec.tasks) < step.spec.tasks
        ):
            return
        self.reservations.reserve(step, self.eligible_workers(step), self.free)

    def add_to_plan(self, step: Step, chosen: list[tuple[Task, WorkerNode]]) -> None:
        """Adds the chosen workers to the plan, as a placement or a renewal.

        Tasks on workers with a valid ticket start; for the others a renewal is added.
        An all-at-once step starts only if no ticket is missing. If the permissions
        cannot be requested at once, the tasks that wait for them get no resources.
        """
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
        self.caps.take(step, counts.total())
        for worker, count in counts.items():
            self.allocate(worker, step.room, count)
        if all_at_once and without_ticket:
            return
        ready = [(task, node) for task, node in chosen if node.id not in without_ticket]
        self.evaluations += EVALUATIONS_PER_START * len(ready)
        if ready:
            self.plan.placements.append(Placement(step, ready))
