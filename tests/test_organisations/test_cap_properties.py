"""Caps over random series of starts, ends, losses, takeovers and manifests."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.planner_day import make_nodes
from lacewinghold.organisations.caps import CapPolicy, UsageAccount, task_demand
from lacewinghold.scheduler.model import Run, TaskState, make_job
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Manifest, Organisation, Queue, Resources
from lacewinghold.schema.generated.cell import CellJob, StepSpec

QUEUE = Queue("q", "h", "/q/", "s", 0, 2, 2.0, 1.0)
EVENTS = ["job", "plan", "end", "loss", "manifest", "takeover", "report", "recovery"]


class CappedCell:
    """Plans of successive owners; ``unheard`` are runs that the owner does not know."""

    def __init__(self):
        self.version, self.manifest = 0, Manifest(0, [], {})
        self.steps, self.unheard = [], []
        self.take_over()

    def take_over(self):
        """Begins a new term, which has heard of no run yet."""
        known = [
            run for node in getattr(self, "nodes", []) for run in node.runs.values()
        ]
        self.unheard += known
        for step in self.steps:
            step.job.from_earlier_owner = True
        for run in known:
            run.task.run, run.task.state = None, TaskState.WAITING
        self.policy, self.nodes, self.recovered = CapPolicy(), make_nodes(4), False
        for node in self.nodes:
            node.usage = self.policy.usage
        self.policy.update(self.manifest)

    def set_caps(self, caps):
        """Puts a manifest into force."""
        self.version += 1
        named = {name: Organisation(name, cap=Resources(*cap)) for name, cap in caps}
        self.manifest = Manifest(self.version, [], named)
        self.policy.update(self.manifest)

    def book(self, run):
        """Books a run at its worker, as at its start or when it is first listed."""
        next(node for node in self.nodes if node.id == run.worker).add(run)
        run.task.run, run.task.state = run, TaskState.PLACED

    def end(self, run, state):
        """Ends a run that the owner knows."""
        next(node for node in self.nodes if node.id == run.worker).remove(run)
        run.task.run, run.task.state = None, state

    def plan(self):
        """Makes a plan, carries it out and returns the organisations that started."""
        early = [step for step in self.steps if step.job.from_earlier_owner]
        budget = self.policy.make_budget([] if self.recovered else early)
        ids = frozenset(node.id for node in self.nodes)
        planner = Planner(
            0.0, self.nodes, lambda step: ids, lambda step, node: True, caps=budget
        )
        steps = [step for step in self.steps if self.recovered or step not in early]
        started = set()
        for placement in planner.make_plan(
            [step for step in steps if step.has_waiting_tasks()]
        ).placements:
            for task, node in placement.tasks:
                self.book(Run(task, 1, node.id, task.step.room, 0.0))
                started.add(task.step.job.record.organisation)
        return started

    def runs(self):
        """Returns the runs that the owner knows."""
        return [run for node in self.nodes for run in node.runs.values()]


def check_caps(cell, started):
    """Checks the caps of the organisations that a plan has started tasks of."""
    running = Counter(run.task.step.job.record.organisation for run in all_runs(cell))
    for name in started & cell.policy.caps.keys():
        total = Resources()
        for run in all_runs(cell):
            if run.task.step.job.record.organisation == name:
                total = total.plus(task_demand(run.task.step.spec))
        cap = cell.policy.caps[name]
        limit = Resources(cap.cpu_millis or 10**9, cap.memory_mb or 10**9, 10**9)
        assert total.within(limit) or running[name] == 1, (total, cap)


def all_runs(cell):
    """Returns what runs, whether the owner knows it or not."""
    return cell.runs() + cell.unheard


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_no_plan_exceeds_a_cap_and_the_account_equals_a_recomputation(data):
    """Guards against starts above a cap (CAP) and against drift of the account."""
    cell = CappedCell()
    for number in range(data.draw(st.integers(5, 40))):
        event = data.draw(st.sampled_from(EVENTS))
        if event == "job":
            cpu, memory = data.draw(
                st.sampled_from([(1000, 0), (3000, 500), (9000, 9)])
            )
            spec = StepSpec(
                tasks=data.draw(st.integers(1, 6)),
                cpu_millis=cpu,
                memory_mb=memory,
                expected_ms=1000,
                all_at_once=data.draw(st.booleans()),
                fills=data.draw(st.integers(0, 5)) == 0,
            )
            name = data.draw(st.sampled_from(["a", "b", ""]))
            record = CellJob(
                f"j{number}", "q", program="w", steps=[spec], accepted_at=0.0,
                rules=QUEUE.to_rules(), organisation=name,
            )  # fmt: skip
            cell.steps += make_job(record, QUEUE, 0.0, 0.0).steps
        elif event == "plan":
            check_caps(cell, cell.plan())
        elif event == "end" and cell.runs():
            cell.end(data.draw(st.sampled_from(cell.runs())), TaskState.DONE)
        elif event == "loss":
            worker = data.draw(st.sampled_from(cell.nodes))
            for run in list(worker.runs.values()):
                cell.end(run, TaskState.WAITING)
        elif event == "manifest":
            cap = st.tuples(
                st.sampled_from([0, 2000, 6000, 20_000]), st.sampled_from([0, 1100])
            )
            cell.set_caps([("a", data.draw(cap)), ("b", data.draw(cap))])
        elif event == "takeover":
            cell.take_over()
        elif event == "report" and cell.unheard:
            cell.book(cell.unheard.pop())
        elif event == "recovery":
            while cell.unheard:
                cell.book(cell.unheard.pop())
            cell.recovered = True
        recomputed = UsageAccount()
        for run in cell.runs():
            recomputed.add(run)
        assert cell.policy.usage.used == recomputed.used
        assert cell.policy.usage.used_by_service == recomputed.used_by_service
