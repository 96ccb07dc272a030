"""Explains where the steps of a job would start now, by a trial plan.

The module does no input or output. The trial plan is made by the planner itself over
the present state of the cell and is not carried out, so that an explanation cannot
differ from what the next plan does.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.organisations.caps import task_demand, tasks_below
from lacewinghold.scheduler.model import is_ready
from lacewinghold.scheduler.ordering import standing_of
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.room import fitting_count, has_label

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Job, Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.planning import PlanLoop

MAX_EXPLAINED_STEPS = 8  # Each one checks all workers, like a step of a plan.
MAX_LISTED_WORKERS = 20
MAX_EXAMPLES = 3  # Workers named for each reason.


class WorkerReason(StrEnum):
    """Why a usable worker gets no task of a step."""

    SLOW = "slow"
    LABEL = "lacks the required label"
    FILLER = "filler and latency-sensitive work would share it"
    RESERVED = "reserved for a more urgent step"
    NO_ROOM = "no room"
    PER_WORKER = "has as many tasks of the step as allowed"
    SUSPECTED_TASK = "kept free for a task that is suspected of crashing workers"
    NO_PERMISSION = "no permission"
    NOT_ASKED = "no answer about permissions yet"


class StepState(StrEnum):
    """What the trial plan does with a step."""

    DONE = "done"
    RUNNING = "all tasks run"
    NOT_READY = "waits for earlier steps or for its due time"
    NOT_STARTABLE = "waits until runs of earlier owners are known"
    STARTS = "starts"
    ASKS = "asks for permissions"
    CAPPED = "waits for its organisation's cap"
    RESERVES = "waits for reserved workers"
    DEFERRED = "its turn comes in a later plan"
    WAITS = "waits for a worker"


class Candidate(Struct):
    """A worker on which tasks of a step may start.

    :param tasks: How many of them it has room for.
    """

    worker: WorkerId
    tasks: int


class StepExplanation(Struct):
    """Where the tasks of one step would start.

    :param tasks: Number of tasks that have no run.
    :param cpu_millis: CPU that each task takes, in thousandths of a core.
    :param memory_mb: Memory that each task takes, in MB.
    :param accelerators: Accelerators that each task takes.
    :param position: Position among the waiting steps, 1 for the first; 0 if it does not
        wait for workers.
    :param waiting_steps: Number of waiting steps.
    :param urgency: The queue's urgency; 0 is the most urgent.
    :param standing: First criterion of its order, such as on time or late.
    :param below_cap: How many of its tasks the cap allows in its turn, ``None`` without
        a limit.
    :param starts: Tasks by worker that start, or ask for a permission, in this plan.
    :param reserved: Workers that are reserved for it.
    :param candidates: The first ``MAX_LISTED_WORKERS`` candidates, fullest first.
    :param candidate_count: Number of all candidates.
    :param reasons: Number of the other workers of the service by the reason against
        them.
    :param examples: The first workers of each reason.
    """

    step: str
    state: StepState
    tasks: int
    cpu_millis: int
    memory_mb: int
    accelerators: int
    all_at_once: bool
    urgency: int
    standing: str
    position: int = 0
    waiting_steps: int = 0
    below_cap: int | None = None
    starts: dict[WorkerId, int] = field(default_factory=dict)
    reserved: list[WorkerId] = field(default_factory=list)
    candidates: list[Candidate] = field(default_factory=list)
    candidate_count: int = 0
    reasons: dict[str, int] = field(default_factory=dict)
    examples: dict[str, list[WorkerId]] = field(default_factory=dict)

    def add_reason(self, reason: str, worker: WorkerId) -> None:
        """Counts a worker that gets no task of the step."""
        self.reasons[reason] = self.reasons.get(reason, 0) + 1
        examples = self.examples.setdefault(reason, [])
        if len(examples) < MAX_EXAMPLES:
            examples.append(worker)


class ExplainingPlanner(Planner):
    """A planner that notes what it knows of some steps when their turn comes.

    :ivar explained: The steps to explain, by their names.
    :ivar all_nodes: All workers, usable or not.
    """

    explained: dict[str, Step]
    all_nodes: list[WorkerNode]
    found: dict[str, StepExplanation]

    def place_step(self, step: Step) -> None:
        """Notes the state of the cell, then places the step."""
        if step.name in self.explained:
            self.found[step.name] = self.examine(step)
        super().place_step(step)

    def examine(self, step: Step) -> StepExplanation:
        """Returns the candidates of a step and the reasons against other workers."""
        found = describe_step(step, self.now)
        cap = self.caps.caps.get(step.job.record.organisation)
        if cap is not None:
            used = self.caps.used[step.job.record.organisation]
            if tasks_below(cap, used, task_demand(step.spec)) is not None:
                found.below_cap = self.caps.limit(step, step.spec.tasks)
        placed = self.runs_per_worker(step)
        candidates = []
        for node in self.all_nodes:
            if node.entry.service != step.job.queue.service:
                continue
            reason = self.reason_against(step, node, placed)
            if reason is not None:
                found.add_reason(reason, node.id)
                continue
            limit = self.max_tasks_on(step, node, placed)
            tasks = fitting_count(step.room, self.free[node.id], limit)
            candidates.append((self.sort_key(node.id), node.id, tasks))
        found.candidate_count = len(candidates)
        for _, worker, tasks in sorted(candidates)[:MAX_LISTED_WORKERS]:
            found.candidates.append(Candidate(worker, tasks))
        return found

    def reason_against(
        self, step: Step, node: WorkerNode, placed: Counter[WorkerId]
    ) -> str | None:
        """Returns why a worker gets no task of a step, ``None`` for a candidate."""
        unusable = node.unusable_reason(self.now)
        if unusable is not None:
            return unusable.value
        if node.id not in self.nodes:
            return WorkerReason.SLOW.value
        if not self.is_eligible(step, node):
            if not has_label(step, node):
                return WorkerReason.LABEL.value
            if self.mixes_serving_and_filling(step, node):
                return WorkerReason.FILLER.value
            return WorkerReason.RESERVED.value
        if not step.room.within(self.free[node.id]):
            return WorkerReason.NO_ROOM.value
        if node.id in self.suspects.closed:
            return WorkerReason.SUSPECTED_TASK.value
        permitted = self.permitted(step)
        if permitted is None:
            return WorkerReason.NOT_ASKED.value
        if node.id not in permitted:
            return WorkerReason.NO_PERMISSION.value
        if self.max_tasks_on(step, node, placed) <= 0:
            return WorkerReason.PER_WORKER.value
        return None


def describe_step(step: Step, now: float) -> StepExplanation:
    """Returns what is known of a step without a plan."""
    state = StepState.WAITS
    if step.done():
        state = StepState.DONE
    elif not step.has_waiting_tasks():
        state = StepState.RUNNING
    elif not is_ready(step, now):
        state = StepState.NOT_READY
    return StepExplanation(
        step=step.name,
        state=state,
        tasks=step.waiting_count(),
        cpu_millis=step.room.cpu_millis,
        memory_mb=step.room.memory_mb,
        accelerators=step.room.accelerators,
        all_at_once=step.spec.all_at_once,
        urgency=step.job.queue.urgency,
        standing=standing_of(step, now).name.lower(),
    )


def explain_steps(planning: PlanLoop, job: Job, now: float) -> list[StepExplanation]:
    """Explains the first steps of a job that are not done.

    :param job: An open job, or one that is not submitted.
    :param now: Time on the runtime's clock, in seconds.
    """
    table = planning.owner.table
    submitted = table.jobs.get(job.id) is job
    open_steps = [step for step in job.steps if not step.done()][:MAX_EXPLAINED_STEPS]
    waiting = {
        step.name: step
        for step in table.open_steps.values()
        if planning.may_start(step.job) and step.has_waiting_tasks()
    }
    if not submitted:
        for step in open_steps:
            if is_ready(step, now):
                waiting[step.name] = step
    planner = make_trial_planner(planning, waiting, open_steps, now)
    planner.make_plan(waiting.values())
    explained = []
    for step in open_steps:
        found = planner.found.get(step.name) or planner.examine(step)
        if step.name in waiting:
            add_outcome(found, step, planner)
        elif found.state is StepState.WAITS:
            found.state = StepState.NOT_STARTABLE
        explained.append(found)
    return explained


def make_trial_planner(
    planning: PlanLoop, waiting: dict[str, Step], steps: Iterable[Step], now: float
) -> ExplainingPlanner:
    """Returns a planner whose plan is not carried out.

    :param waiting: All steps of the trial plan, by their names.
    :param steps: The steps to explain.
    """
    usable = planning.usable_workers(now)
    finished = {
        claim.step.name
        for claim in planning.claims.expired_or_answered(
            now, planning.owner.advice_book.renewal_pending
        )
    }
    planner = planning.make_planner(
        ExplainingPlanner,
        now,
        usable,
        waiting.values(),
        planning.permission_lookup(usable),
        (planning.claims.claims.keys() & waiting.keys()) - finished,
        planning.owner.suspects.copy(),
    )
    planner.explained = {step.name: step for step in steps}
    planner.all_nodes = list(planning.owner.fleet.nodes.values())
    planner.found = {}
    return planner


def add_outcome(found: StepExplanation, step: Step, planner: ExplainingPlanner) -> None:
    """Adds the position of a step and what the trial plan does with it."""
    plan = planner.plan
    found.position = planner.order.index(step) + 1
    found.waiting_steps = len(planner.order)
    found.reserved = plan.reserved.get(step.name, [])[:MAX_LISTED_WORKERS]
    counts: Counter[WorkerId] = Counter()
    if step.name in plan.skipped:
        found.state = StepState.DEFERRED
    elif plan.task_limits.get(step.name) == 0:
        found.state = StepState.CAPPED
    elif found.reserved:
        found.state = StepState.RESERVES
    for renewal in plan.renewals:
        if renewal.step is step:
            found.state = StepState.ASKS
            counts.update(renewal.chosen)
    for placement in plan.placements:
        if placement.step is step:
            found.state = StepState.STARTS
            counts.update(node.id for _, node in placement.tasks)
    found.starts = dict(counts.most_common(MAX_LISTED_WORKERS))
