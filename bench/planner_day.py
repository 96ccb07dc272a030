"""Plays a day of unlike jobs on a planner alone, without input or output."""

from __future__ import annotations

import heapq
import random
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.ids import Incarnation, WorkerId
from lacewinghold.scheduler.model import Job, Run, TaskState, is_ready, make_job
from lacewinghold.scheduler.nodes import WorkerNode
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Queue, Resources, ServerState, WorkerEntry
from lacewinghold.schema.generated.cell import CellJob, StepSpec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.policy import Plan

WORKER_CAPACITY = Resources(cpu_millis=16_000, memory_mb=32_768)
WORKERS_PER_RACK = 8
ESTIMATE_ERROR_SHARE = 0.5  # Run times are declared this far off.


class JobKind(Struct, frozen=True):
    """One kind of job; the figures are those of the booking service's sheet.

    :param worth: What a job in time is worth.
    :param eligible_share: Part of the workers that may run a step.
    """

    queue: Queue
    arrivals_per_s: float
    tasks: float
    run_s: float
    cpu_millis: int
    memory_mb: int
    worth: float
    eligible_share: float
    all_at_once: float


JOB_KINDS = [
    JobKind(
        Queue("route-plan", "h", "/r/", "s", 1, 2, 2.2, 1.2),
        0.918, 8, 4.0, 4500, 4600, 8.61, 0.35, 1.0,
    ),
    JobKind(
        Queue("deposit-settle", "h", "/d/", "s", 2, 4, 4.0, 3.0),
        2.17, 10, 3.4, 980, 1000, 2.27, 0.45, 0.0,
    ),
    JobKind(
        Queue("stock-check", "h", "/q/", "s", 0, 2, 1.5, 0.6),
        15.4, 2, 1.0, 1400, 2000, 0.45, 0.7, 0.3,
    ),
]  # fmt: skip


class ArrivalOrder(Planner):
    """The simplest baseline: arrival order, the first worker with room."""

    def make_plan(self, steps: Iterable[Step]) -> Plan:
        """Returns the plan in arrival order."""
        for step in sorted(steps, key=lambda step: step.due_at):
            if step.spec.all_at_once:
                self.place_together(step)
            else:
                self.place_singly(step)
        return self.plan

    def sort_key(self, worker: WorkerId) -> float:
        """Returns the same for all, which leaves the order of their ids."""
        return 0.0

    def reserve_workers(self, step: Step) -> None:
        """Keeps no room free."""


class DayResult(Struct):
    """What callers got, and what deciding cost."""

    earned_worth: float = 0.0
    offered_worth: float = 0.0
    in_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    asked: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    plan_s: list[float] = field(default_factory=list)


class PlannerDay:
    """One day; the seed draws jobs, run times and permissions.

    :param load: Share of the sheet's rates.
    """

    def __init__(
        self, planner: type[Planner], load: float, workers: int = 24, seed: int = 1
    ) -> None:
        self.planner = planner
        self.rng = random.Random(seed)
        self.load = load * workers / 24
        self.nodes = {node.id: node for node in make_nodes(workers)}
        self.steps: dict[str, Step] = {}
        self.eligible_workers: dict[str, frozenset[WorkerId]] = {}
        self.run_times_s: dict[str, float] = {}
        self.worth: dict[str, float] = {}
        self.events: list[tuple[float, int, str, object]] = []
        self.number = 0
        self.result = DayResult()

    def push_event(self, at: float, kind: str, payload: object) -> None:
        """Adds an event."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, kind, payload))

    def play(self, seconds: float) -> DayResult:
        """Plays arrivals for some seconds, and then until all is done."""
        for kind in JOB_KINDS:
            at = 0.0
            while at < seconds:
                at += self.rng.expovariate(kind.arrivals_per_s * self.load)
                self.push_event(at, "job", kind)
        while self.events:
            now, _, event, payload = heapq.heappop(self.events)
            if event == "job":
                assert isinstance(payload, JobKind)
                self.accept_job(payload, now)
            else:
                assert isinstance(payload, Run)
                self.finish(payload, now)
            self.plan(now)
        return self.result

    def accept_job(self, kind: JobKind, now: float) -> None:
        """Takes a job of a kind."""
        rng = self.rng
        seconds = kind.run_s * rng.lognormvariate(-0.125, 0.5)
        error = rng.uniform(1 - ESTIMATE_ERROR_SHARE, 1 + ESTIMATE_ERROR_SHARE)
        eligible_count = max(1, round(kind.eligible_share * len(self.nodes)))
        # No step is wider than the workers that may run it.
        widest = eligible_count * (WORKER_CAPACITY.cpu_millis // kind.cpu_millis)
        tasks = round(rng.lognormvariate(-0.3, 0.8) * kind.tasks)
        spec = StepSpec(
            tasks=max(1, min(tasks, widest)),
            cpu_millis=kind.cpu_millis,
            memory_mb=kind.memory_mb,
            expected_ms=seconds * error * 1000,
            all_at_once=rng.random() < kind.all_at_once,
        )
        record = CellJob(
            job=f"j{self.number}-{now:.4f}",
            queue=kind.queue.name,
            program="",
            steps=[spec],
            accepted_at=now,
            rules=kind.queue.to_rules(),
        )
        job = make_job(record, kind.queue, now, 0.0)
        # Callers score_job by the real run time, the planner knows the estimate only.
        self.run_times_s[job.id] = seconds
        self.worth[job.id] = kind.worth
        self.result.offered_worth += kind.worth
        self.result.asked[kind.queue.name] += 1
        step = job.steps[0]
        self.steps[step.name] = step
        self.eligible_workers[step.name] = frozenset(
            rng.sample(list(self.nodes), eligible_count)
        )

    def finish(self, run: Run, now: float) -> None:
        """Ends a run, and its job with the last one."""
        self.nodes[run.worker].remove(run)
        task = run.task
        task.run, task.state = None, TaskState.DONE
        task.step.remaining -= 1
        if task.step.done():
            self.steps.pop(task.step.name, None)
            self.score_job(task.step.job, now)

    def score_job(self, job: Job, now: float) -> None:
        """Adds what a job has earned_worth."""
        bound = job.queue.stretch * self.run_times_s[job.id] + job.queue.slack_s
        age = now - job.accepted_at
        worth = self.worth[job.id]
        if age <= bound:
            self.result.earned_worth += worth
            self.result.in_time[job.queue.name] += 1
        elif age <= 3 * bound:
            self.result.earned_worth += worth / 5

    def plan(self, now: float) -> None:
        """Makes one plan and starts what it places."""
        waiting = [
            s for s in self.steps.values() if s.waiting_tasks() and is_ready(s, now)
        ]
        began = time.perf_counter()
        planner = self.planner(
            now,
            self.nodes.values(),
            lambda step: self.eligible_workers[step.name],
            lambda step, node: True,
        )
        plan = planner.make_plan(waiting)
        self.result.plan_s.append(time.perf_counter() - began)
        for placement in plan.placements:
            for task, node in placement.tasks:
                self.start(task, node, now)

    def start(self, task: Task, node: WorkerNode, now: float) -> None:
        """Starts a task."""
        run = Run(task, 1, node.id, task.step.room, now)
        task.run, task.state = run, TaskState.PLACED
        node.add(run)
        node.check_capacity()
        self.push_event(now + self.run_times_s[task.step.job.id], "end", run)


def make_nodes(count: int) -> list[WorkerNode]:
    """Returns empty workers."""
    nodes = []
    for number in range(count):
        entry = WorkerEntry(
            worker=WorkerId(f"w{number:03d}"),
            incarnation=Incarnation(1),
            service="s",
            address="",
            data_centre="dc",
            state=ServerState.READY,
            capacity=WORKER_CAPACITY,
            labels=frozenset(),
            rack=f"r{number // WORKERS_PER_RACK}",
        )
        nodes.append(WorkerNode(entry))
    return nodes
