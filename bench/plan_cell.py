"""A stand-in for the cell owner with the state that planning uses."""

from __future__ import annotations

import math
import random
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import msgspec
from msgspec import Struct, field

from bench.planner_day import JOB_KINDS, WORKER_CAPACITY, make_nodes
from lacewinghold.ids import Epoch, WorkerId
from lacewinghold.organisations.caps import CapPolicy
from lacewinghold.scheduler.advice import AdviceBook, Lane, Permission, StepAdvice
from lacewinghold.scheduler.durations import DurationModel
from lacewinghold.scheduler.lateness import PlanningShare
from lacewinghold.scheduler.metrics import CellMetrics
from lacewinghold.scheduler.model import Run, make_job
from lacewinghold.scheduler.pace import PaceTracker
from lacewinghold.scheduler.planning import PlanLoop
from lacewinghold.scheduler.ports import AdviceCalls, AdviceRules, Manifest, Queue
from lacewinghold.scheduler.suspects import Suspects
from lacewinghold.schema.generated.cell import CellJob, StepSpec
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from bench.planner_day import JobKind
    from lacewinghold.errors import Failure
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Ticket

ADVICE = AdviceRules(decide_s=0.1, per_worker_s=0.002, valid_s=2.0)
LANE_COUNT = 10  # The number of instances of a site near its advice service.
FAR_FUTURE_S = 1e12


class Scenario(StrEnum):
    """State of the cell when a plan is made."""

    NO_ROOM = "nothing has room, tickets valid"
    NO_TICKET = "half empty, no valid ticket"
    NOT_ASKED = "half empty, nobody asked yet"
    ALL_START = "empty, tickets valid"


class SilentCalls(AdviceCalls):
    """An advice service that is never called, since all lanes are busy."""

    name = "silent"

    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        raise AssertionError(step)


class IdleDriver:
    """A worker driver that only records the started runs."""

    def __init__(self) -> None:
        self.started_runs: list[Run] = []

    def start_run(self, run: Run, ticket: str) -> None:
        """Records a started run."""
        self.started_runs.append(run)


class IdleFleet:
    """A fleet whose workers run nothing."""

    def __init__(self, nodes: list[WorkerNode]) -> None:
        self.nodes = {node.id: node for node in nodes}
        self.drivers = {node.id: IdleDriver() for node in nodes}
        self.stopped_runs: list[Run] = []

    def write_roster_if_due(self) -> None:
        """Does nothing; there is no store."""

    def stop_run(self, run: Run) -> None:
        """Records a stopped run."""
        self.stopped_runs.append(run)

    def core_utilisation(self) -> float:
        """Returns the share of all workers' cores that are in use."""
        used = sum(node.used.cpu_millis for node in self.nodes.values())
        return used / sum(
            node.entry.capacity.cpu_millis for node in self.nodes.values()
        )


class IdleTable:
    """A job table with open steps only."""

    def __init__(self) -> None:
        self.open_steps: dict[str, Step] = {}

    def open_due_steps(self) -> None:
        """Does nothing; all steps are open already."""

    def seconds_until_due(self) -> float:
        """Returns infinity, since no occurrence is scheduled."""
        return math.inf


class PermanentOwnership(Struct):
    """An ownership that never expires."""

    term: int = 1


class SharedState(Struct):
    """State shared by all instances of the cell."""

    manifest: Manifest = field(default_factory=lambda: Manifest(1, []))


class PlanCell:
    """Stand-in for the cell owner that can make plans.

    :param workers: Number of workers.
    :param busy: Whether all lanes to the advice service are busy.
    """

    def __init__(self, workers: int, *, busy: bool = True, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        nodes = make_nodes(workers)
        for node in nodes:
            node.listed = node.fenced = node.enrolled = True
        self.nodes = nodes
        self.fleet = IdleFleet(nodes)
        self.table = IdleTable()
        self.metrics = CellMetrics()
        self.advice_book = AdviceBook(self.metrics, LagMonitor())
        for number in range(LANE_COUNT):
            lane = Lane(f"lane-{number}", SilentCalls())
            lane.busy = busy
            self.advice_book.lanes.append(lane)
        self.pace = PaceTracker()
        self.suspects = Suspects()
        self.caps = CapPolicy()
        self.durations = DurationModel()
        self.planning_share = PlanningShare(self.metrics)
        self.ownership = PermanentOwnership()
        self.state = SharedState()
        self.epoch = Epoch(1)
        self.recovered = True
        self.planning = PlanLoop(self)  # type: ignore[arg-type]

    def may_send_orders(self) -> bool:
        """Returns whether orders may be sent to workers; always true here."""
        return True

    def fill(self, share: float) -> None:
        """Fills a share of the workers completely."""
        for number, node in enumerate(self.nodes):
            if int((number + 1) * share) == int(number * share):
                continue
            step = self.make_step(JOB_KINDS[0], WORKER_CAPACITY.cpu_millis)
            step.room = WORKER_CAPACITY
            node.add(Run(step.tasks[0], 1, node.id, step.room, 0.0))

    def make_step(self, kind: JobKind, cpu: int = 0, *, together: bool = False) -> Step:
        """Returns a waiting step.

        :param cpu: Millicores of the step's only task; 0 for tasks as in its kind.
        :param together: Whether all tasks must start together.
        """
        number = self.rng.randrange(2**40)
        queue = msgspec.structs.replace(kind.queue, advice=ADVICE)
        spec = StepSpec(
            tasks=1 if cpu else max(1, round(self.rng.uniform(0.3, 1.5) * kind.tasks)),
            cpu_millis=cpu or kind.cpu_millis,
            memory_mb=kind.memory_mb,
            expected_ms=kind.run_s * 1000,
            all_at_once=together,
        )
        return make_ready_step(f"j{number}", queue, spec)

    def add_waiting(self, count: int) -> None:
        """Adds waiting steps in the mix of the booking service."""
        rates = [kind.arrivals_per_s for kind in JOB_KINDS]
        for kind in self.rng.choices(JOB_KINDS, rates, k=count):
            together = self.rng.random() < kind.all_at_once
            step = self.make_step(kind, together=together)
            self.table.open_steps[step.name] = step

    def add_tickets(self, step: Step, share: float, until: float) -> None:
        """Adds tickets of a step for a random share of the workers."""
        advice = self.advice_book.steps.setdefault(step.name, StepAdvice())
        advice.valid_until = until
        advice.asked = {node.id: node.entry.incarnation for node in self.nodes}
        count = max(1, round(share * len(self.nodes)))
        for node in self.rng.sample(self.nodes, count):
            advice.permissions[node.id] = Permission(node.entry.incarnation, "", until)

    def add_all_tickets(self, until: float) -> None:
        """Adds tickets of all steps for the eligible share of workers of each kind."""
        shares = {kind.queue.name: kind.eligible_share for kind in JOB_KINDS}
        for step in self.table.open_steps.values():
            self.add_tickets(step, shares[step.job.queue.name], until)

    def started_task_counts(self) -> Counter[str]:
        """Returns the number of started tasks by step."""
        count: Counter[str] = Counter()
        for driver in self.fleet.drivers.values():
            for run in driver.started_runs:
                count[run.task.step.name] += 1
        return count


def make_ready_step(name: str, queue: Queue, spec: StepSpec) -> Step:
    """Returns the step of a newly accepted job with one step."""
    record = CellJob(
        job=name,
        queue=queue.name,
        program="",
        steps=[spec],
        accepted_at=0.0,
        rules=queue.to_rules(),
    )
    job = make_job(record, queue, anyio.current_time(), 0.0)
    job.confirmed = True
    return job.steps[0]


def make_scenario(scenario: Scenario, waiting: int, workers: int) -> PlanCell:
    """Returns a cell in which only ``Scenario.ALL_START`` lets tasks start."""
    cell = PlanCell(workers)
    cell.add_waiting(waiting)
    if scenario is Scenario.NO_ROOM:
        cell.fill(1.0)
        cell.add_all_tickets(FAR_FUTURE_S)
    elif scenario is Scenario.NO_TICKET:
        cell.fill(0.5)
        cell.add_all_tickets(-FAR_FUTURE_S)
    elif scenario is Scenario.NOT_ASKED:
        cell.fill(0.5)
    else:
        cell.add_all_tickets(FAR_FUTURE_S)
    return cell
