"""Preemption: stops less urgent runs so that urgent work starts on a full cell.

The load that this answers: a cell full of patient work whose runs last longer than an
urgent job may wait. The runs that lose least work are stopped, and only as many as
urgent work needs that has waited for half of the time that its objective leaves. The
module does no input or output.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.scheduler.model import RunState, TaskState
from lacewinghold.scheduler.ports import Resources
from lacewinghold.scheduler.room import fitting_count
from lacewinghold.util.victims import (
    Arithmetic,
    Victim,
    choose_victims,
    total_lost_core_s,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterable

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Run, Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.pace import ProgressMark
    from lacewinghold.scheduler.policy import Planner

PREEMPTING_URGENCY = 0  # Urgency of the queues whose steps may preempt.
# Share of the time that the objective leaves beside the critical path. The other half
# is for the stop, the permission and the start.
WAIT_SHARE = 0.5
# A stop order, the report of the end and the next plan take about so long, so that a
# run that ends within this time makes room no later than a stop would.
STOP_S = 0.5
STOP_LIMIT_S = 2.0  # A stop that takes longer no longer counts as room to come.
# A run without checkpoints may be stopped if it began less than this ago. The callers
# pay for work that is done twice.
JUST_STARTED_S = 0.5
RESTART_S = 1.0  # Until a stopped task runs again, if there is room.
# Runs beyond their estimate are expected to last for this share of their age.
OVERRUN_SHARE = 0.25
MIN_PERCENT = 5.0  # Less progress does not tell how long a run lasts.
MAX_STOPS_PER_PLAN = 8
MAX_PREEMPTING_STEPS = 4  # Steps of one plan; each is checked on all its workers.
MAX_LACKING_STEPS = 16  # Steps considered per plan; room to come goes to these first.
SEARCH_INTERVAL_S = 0.1  # Bounds the cost while no run may be stopped.

MIN_CORES = 0.1  # Counted for a task, so that one without CPU is not free to lose.


class RoomArithmetic(Arithmetic[Resources]):
    """Arithmetic on the room of tasks."""

    def plus(self, left: Resources, right: Resources) -> Resources:
        return left.plus(right)

    def minus(self, left: Resources, right: Resources) -> Resources:
        return left.minus(right)

    def fits(self, need: Resources, free: Resources) -> bool:
        return need.within(free)


class Stop(Struct):
    """A run to stop, and the step that is to start in its place."""

    run: Run
    step: Step
    lost_core_s: float


def wait_limit_s(step: Step) -> float:
    """Returns for how long a step waits before it may preempt, in seconds."""
    job = step.job
    path_s = (job.objective_s - job.queue.slack_s) / max(1.0, job.queue.stretch)
    spare_s = job.objective_s - path_s
    return max(0.0, WAIT_SHARE * spare_s)


def estimated_run_s(step: Step) -> float:
    """Returns the caller's estimate of a task's run time in seconds."""
    return step.spec.expected_ms / 1000


class Preemptor:
    """Decides which runs to stop, from plan to plan.

    :param run_s_of: Returns the expected run time of a step's tasks in seconds.
    :param waiting_since: Since when urgent steps have lacked room, by their names.
    :param checkpointed_at: When a new checkpoint of a run was seen, by task and number.
    :param preempted: Tasks that were stopped; they are not stopped again.
    :param stopped_at: When runs were stopped, by task and number.
    """

    def __init__(self, run_s_of: Callable[[Step], float] = estimated_run_s) -> None:
        self.run_s_of = run_s_of
        self.waiting_since: dict[str, float] = {}
        self.checkpointed_at: dict[tuple[str, int], float] = {}
        self.preempted: dict[str, Task] = {}
        self.stopped_at: dict[tuple[str, int], float] = {}
        self.next_search_at = -math.inf

    def record_checkpoint(self, run: Run, now: float) -> None:
        """Records that a run has written a new checkpoint."""
        self.checkpointed_at[(run.task.name, run.number)] = now

    def forget_run(self, run: Run) -> None:
        """Removes a run that has ended."""
        self.checkpointed_at.pop((run.task.name, run.number), None)
        self.stopped_at.pop((run.task.name, run.number), None)

    def forget_ended_tasks(self) -> None:
        """Removes tasks that will not run again."""
        for name, task in list(self.preempted.items()):
            if task.state is TaskState.DONE or task.step.job.ended():
                del self.preempted[name]

    def choose(
        self,
        planner: Planner,
        steps: Iterable[Step],
        missing_tasks: Callable[[Step], int],
        progress_of: Callable[[Run], ProgressMark | None],
    ) -> list[Stop]:
        """Returns the runs to stop now.

        :param planner: The plan that has just been carried out.
        :param steps: Steps with waiting tasks, most urgent first.
        :param missing_tasks: Returns for how many tasks of a step there is no room.
        :param progress_of: Returns the last reported progress of a run.
        """
        now = planner.now
        lacking: dict[str, tuple[Step, int]] = {}
        for step in steps:
            # Those that are on time come first; the others may not preempt.
            if step.job.queue.urgency != PREEMPTING_URGENCY:
                break
            if len(lacking) >= MAX_LACKING_STEPS:
                break
            missing = missing_tasks(step)
            if missing > 0:
                lacking[step.name] = step, missing
        self.waiting_since = {
            name: self.waiting_since.get(name, now) for name in lacking
        }
        overdue = {
            name for name, (step, _) in lacking.items() if self.is_due(step, now)
        }
        if not overdue or now < self.next_search_at:
            return []
        self.next_search_at = now + SEARCH_INTERVAL_S
        self.forget_ended_tasks()
        search = VictimSearch(self, planner, progress_of)
        for name, (step, missing) in lacking.items():
            if len(search.stops) >= MAX_STOPS_PER_PLAN or search.steps_left <= 0:
                break
            search.place(step, missing, may_stop=name in overdue)
        for stop in search.stops:
            self.preempted[stop.run.task.name] = stop.run.task
            self.stopped_at[(stop.run.task.name, stop.run.number)] = now
        return search.stops

    def is_due(self, step: Step, now: float) -> bool:
        """Returns whether a step has waited for too long, and may still be on time."""
        if now > step.due_at + step.job.objective_s:
            return False
        return now - self.waiting_since[step.name] >= wait_limit_s(step)

    def lost_s(self, run: Run, now: float) -> float | None:
        """Returns the work that a stop loses, in seconds; ``None`` if it is unknown.

        An earlier owner's run may have begun at any time.
        """
        checkpointed_at = self.checkpointed_at.get((run.task.name, run.number))
        if checkpointed_at is not None:
            return now - checkpointed_at
        return None if run.adopted else now - run.began_at


class VictimSearch:
    """Searches the runs to stop after one plan.

    Room that becomes free soon is given to the urgent steps in their order first, so
    that nothing is stopped where a run that ends makes the room.

    :param preemptor: What is known of earlier plans.
    """

    def __init__(
        self,
        preemptor: Preemptor,
        planner: Planner,
        progress_of: Callable[[Run], ProgressMark | None],
    ) -> None:
        self.preemptor = preemptor
        self.planner = planner
        self.now = planner.now
        self.progress_of = progress_of
        self.stops: list[Stop] = []
        self.steps_left = MAX_PREEMPTING_STEPS
        self.free: dict[WorkerId, Resources] = {}
        self.candidates: dict[WorkerId, list[Victim[Run, Resources]]] = {}

    def free_soon(self, node: WorkerNode) -> Resources:
        """Returns the room of a worker that is free, or will be within ``STOP_S``."""
        found = self.free.get(node.id)
        if found is None:
            found = self.planner.free[node.id]
            for run in node.runs.values():
                if self.ends_soon(run):
                    found = found.plus(run.room)
            self.free[node.id] = found
        return found

    def ends_soon(self, run: Run) -> bool:
        """Returns whether a run makes room no later than a further stop would."""
        if run.state is RunState.STOPPING:
            key = run.task.name, run.number
            stopped_at = self.preemptor.stopped_at.setdefault(key, self.now)
            return self.now - stopped_at < STOP_LIMIT_S
        return not run.task.step.spec.long_running and self.remaining_s(run) <= STOP_S

    def remaining_s(self, run: Run) -> float:
        """Returns how long a run is expected to last, in seconds."""
        age_s = self.now - run.began_at
        mark = self.progress_of(run)
        if mark is not None and mark.percent >= MIN_PERCENT and not run.adopted:
            total_s = (mark.at - run.began_at) * 100 / mark.percent
        else:
            total_s = self.preemptor.run_s_of(run.task.step)
        return max(total_s - age_s, OVERRUN_SHARE * age_s if age_s > total_s else 0.0)

    def place(self, step: Step, missing: int, *, may_stop: bool) -> None:
        """Gives a step room that becomes free, then room of runs to stop.

        :param missing: How many of its tasks have no room.
        :param may_stop: Whether runs may be stopped for it.
        """
        planner = self.planner
        limit = planner.caps.limit(step, missing)
        if limit <= 0 or (step.spec.all_at_once and limit < step.spec.tasks):
            return
        closed = planner.suspects.closed
        nodes = [
            node for node in planner.eligible_workers(step) if node.id not in closed
        ]
        placed = planner.runs_per_worker(step)
        before = dict(self.free)
        left = limit
        for node in nodes:
            count = min(left, planner.max_tasks_on(step, node, placed))
            count = fitting_count(step.room, self.free_soon(node), count)
            self.take(step, node, count, placed)
            left -= count
        stops: list[Stop] = []
        if left and may_stop:
            self.steps_left -= 1
            stops, left = self.find_stops(step, left, nodes, placed)
        if left and step.spec.all_at_once:
            self.free = before
            self.candidates.clear()
            return
        self.stops += stops

    def take(
        self, step: Step, node: WorkerNode, count: int, placed: Counter[WorkerId]
    ) -> None:
        """Deducts the room of tasks that are expected to start on a worker."""
        self.free[node.id] = self.free_soon(node).minus(step.room.times(count))
        placed[node.id] += count

    def find_stops(
        self,
        step: Step,
        left: int,
        nodes: list[WorkerNode],
        placed: Counter[WorkerId],
    ) -> tuple[list[Stop], int]:
        """Returns the runs to stop for a step, and how many tasks still have no room.

        For each task, the runs of the worker are taken where least work is lost. That
        must be less than the work that the task does.

        :param left: How many tasks need room.
        :param placed: How many tasks of the step each worker has, or is to get.
        """
        gain_core_s = core_s(step, self.preemptor.run_s_of(step))
        stops: list[Stop] = []
        offers: list[tuple[float, int, list[Victim[Run, Resources]]]] = []
        for number, node in enumerate(nodes):
            self.push_offer(offers, step, number, node, placed)
        while left and offers:
            lost_core_s, number, victims = heappop(offers)
            count = len(self.stops) + len(stops) + len(victims)
            if lost_core_s >= gain_core_s or count > MAX_STOPS_PER_PLAN:
                break
            node = nodes[number]
            for victim in victims:
                stops.append(Stop(victim.work, step, victim.lost_core_s))
                self.candidates[node.id].remove(victim)
                self.free[node.id] = self.free_soon(node).plus(victim.need)
            self.take(step, node, 1, placed)
            left -= 1
            self.push_offer(offers, step, number, node, placed)
        return stops, left

    def push_offer(
        self,
        offers: list[tuple[float, int, list[Victim[Run, Resources]]]],
        step: Step,
        number: int,
        node: WorkerNode,
        placed: Counter[WorkerId],
    ) -> None:
        """Adds what a worker would lose for one more task of a step, if it can run it.

        :param number: Number of the worker, which makes the offers distinct.
        """
        if self.planner.max_tasks_on(step, node, placed) <= 0:
            return
        free = self.free_soon(node)
        victims = choose_victims(
            self.candidates_on(node),
            step.room,
            free,
            RoomArithmetic(),
            MAX_STOPS_PER_PLAN,
        )
        if victims is not None:
            heappush(offers, (total_lost_core_s(victims), number, victims))

    def candidates_on(self, node: WorkerNode) -> list[Victim[Run, Resources]]:
        """Returns the runs of a worker that may be stopped, by ascending lost work."""
        found = self.candidates.get(node.id)
        if found is not None:
            return found
        found = []
        chosen = {id(stop.run) for stop in self.stops}
        for run in node.runs.values():
            lost_s = self.preemptor.lost_s(run, self.now)
            if lost_s is None or id(run) in chosen or not self.may_stop(run, lost_s):
                continue
            lost_core_s = core_s(run.task.step, lost_s)
            found.append(Victim(run, run.room, lost_core_s))
        found.sort(key=lambda victim: (victim.lost_core_s, victim.work.task.name))
        self.candidates[node.id] = found
        return found

    def may_stop(self, run: Run, lost_s: float) -> bool:
        """Returns whether a run may be stopped for urgent work.

        :param lost_s: The work that the stop loses, in seconds.
        """
        task = run.task
        step = task.step
        spec = step.spec
        if step.job.queue.urgency <= PREEMPTING_URGENCY or step.job.ended():
            return False
        if spec.long_running or spec.latency_target_ms > 0 or spec.fills:
            return False
        if spec.all_at_once or task.run is not run or run.state is not RunState.RUNNING:
            return False
        if task.crashes or task.name in self.preemptor.preempted:
            return False
        if not spec.checkpoints and lost_s > JUST_STARTED_S:
            return False
        return not self.ends_soon(run) and self.may_be_delayed(run, lost_s)

    def may_be_delayed(self, run: Run, lost_s: float) -> bool:
        """Returns whether a stopped run's job is still on time, or is late already."""
        step = run.task.step
        left_s = step.due_at + step.job.objective_s - self.now
        if left_s < 0:
            return True
        following_s = self.planner.speeds.remaining_chain_s(step)
        following_s -= estimated_run_s(step)
        return RESTART_S + lost_s + self.remaining_s(run) + following_s <= left_s


def core_s(step: Step, seconds: float) -> float:
    """Returns the core-seconds that a task of a step takes in some time."""
    return max(MIN_CORES, step.room.cpu_millis / 1000) * seconds
