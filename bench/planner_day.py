"""Simulates a day of mixed jobs on the planner alone, without input or output."""

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
from lacewinghold.scheduler.reservations import Reservations
from lacewinghold.schema.generated.cell import CellJob, StepSpec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.plan import Plan

WORKER_CAPACITY = Resources(cpu_millis=16_000, memory_mb=32_768)
WORKERS_PER_RACK = 8
ESTIMATE_ERROR_SHARE = 0.5  # Maximum relative error of declared run times.


class JobKind(Struct, frozen=True):
    """One kind of job, with the figures of the booking service's data sheet.

    :param tasks: Mean number of tasks.
    :param run_s: Mean run time of a task.
    :param worth: Value of a job that is completed in time.
    :param eligible_share: Share of the workers that may run a step.
    :param all_at_once: Share of the jobs whose tasks must start together.
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
    """Baseline: first fit in arrival order."""

    def make_plan(self, steps: Iterable[Step]) -> Plan:
        """Returns the plan in arrival order."""
        for step in sorted(steps, key=lambda step: step.due_at):
            if step.spec.all_at_once:
                self.place_together(step)
            else:
                self.place_singly(step)
        return self.plan

    def sort_key(self, worker: WorkerId) -> float:
        """Returns the same key for all workers, so that they are sorted by id."""
        return 0.0

    def reserve_workers(self, step: Step) -> None:
        """Reserves no workers."""


class DayResult(Struct):
    """Results of a simulated day.

    :param earned_worth: Worth of the completed jobs, less for late ones.
    :param offered_worth: Worth of all jobs if completed in time.
    :param in_time: Jobs completed in time, by queue.
    :param asked: Submitted jobs by queue.
    :param plan_s: Real time of each plan.
    """

    earned_worth: float = 0.0
    offered_worth: float = 0.0
    in_time: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    asked: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    plan_s: list[float] = field(default_factory=list)


class PlannerDay:
    """One simulated day; the seed determines jobs, run times and permissions.

    :param load: Arrival rates as a share of those in the data sheet, which are for
        24 workers.
    """

    def __init__(
        self, planner: type[Planner], load: float, workers: int = 24, seed: int = 1
    ) -> None:
        self.planner = planner
        self.rng = random.Random(seed)
        self.load = load * workers / 24
        self.nodes = {node.id: node for node in make_nodes(workers)}
        self.reservations = Reservations()
        self.steps: dict[str, Step] = {}
        self.eligible_workers: dict[str, frozenset[WorkerId]] = {}
        self.run_times_s: dict[str, float] = {}
        self.worth: dict[str, float] = {}
        self.events: list[tuple[float, int, str, object]] = []
        self.number = 0
        self.result = DayResult()

    def push_event(self, at: float, kind: str, payload: object) -> None:
        """Adds an event to the queue."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, kind, payload))

    def play(self, seconds: float) -> DayResult:
        """Simulates arrivals for some seconds, then runs until all jobs are done."""
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
        """Accepts a new job of a kind."""
        rng = self.rng
        seconds = kind.run_s * rng.lognormvariate(-0.125, 0.5)
        error = rng.uniform(1 - ESTIMATE_ERROR_SHARE, 1 + ESTIMATE_ERROR_SHARE)
        eligible_count = max(1, round(kind.eligible_share * len(self.nodes)))
        # All tasks of a step fit on the eligible workers at once.
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
        # Results depend on the real run time; the planner knows only the estimate.
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
        """Ends a run, and its job if it was the last one."""
        self.nodes[run.worker].remove(run)
        task = run.task
        task.run, task.state = None, TaskState.DONE
        task.step.remaining -= 1
        task.step.tasks.retire(task)
        if task.step.done():
            self.steps.pop(task.step.name, None)
            self.score_job(task.step.job, now)

    def score_job(self, job: Job, now: float) -> None:
        """Adds the worth of a completed job: a fifth if late, nothing if very late."""
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
            s for s in self.steps.values() if s.has_waiting_tasks() and is_ready(s, now)
        ]
        began = time.perf_counter()
        self.reservations.begin_plan(now)
        planner = self.planner(
            now,
            self.nodes.values(),
            lambda step: self.eligible_workers[step.name],
            lambda step, node: True,
            reservations=self.reservations,
        )
        plan = planner.make_plan(waiting)
        self.reservations.update(plan.reserved)
        self.result.plan_s.append(time.perf_counter() - began)
        for placement in plan.placements:
            for task, node in placement.tasks:
                self.start(task, node, now)

    def start(self, task: Task, node: WorkerNode, now: float) -> None:
        """Starts a task on a worker."""
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
