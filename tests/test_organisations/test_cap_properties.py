"""Caps over random series of starts, ends, losses, takeovers and manifests."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.planner_day import make_nodes
from lacewinghold.organisations.caps import CapPolicy, UsageAccount, task_demand
from lacewinghold.scheduler.model import Run, TaskState
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Manifest, Organisation, Queue, Resources
from tests.test_scheduler.test_policy import make_step

QUEUE = Queue("q", "h", "/q/", "s", 0, 2, 2.0, 1.0)
EVENTS = ["job", "plan", "end", "loss", "manifest", "takeover", "report", "recovery"]
UNLIMITED = 10**9


class CappedCell:
    """Plans of successive owners; ``unheard`` are runs that the owner does not know."""

    def __init__(self):
        self.manifest = Manifest(0, [], {})
        self.steps, self.nodes, self.unheard = [], [], []
        self.take_over()

    def runs(self):
        """Returns the runs that the owner knows."""
        return [run for node in self.nodes for run in node.runs.values()]

    def take_over(self):
        """Begins a new term, which has heard of no run yet."""
        self.unheard += self.runs()
        for step in self.steps:
            step.job.from_earlier_owner = True
        for run in self.unheard:
            run.task.run, run.task.state = None, TaskState.WAITING
        self.policy, self.nodes, self.recovered = CapPolicy(), make_nodes(4), False
        for node in self.nodes:
            node.usage = self.policy.usage
        self.policy.update(self.manifest)

    def book(self, run, state=TaskState.PLACED):
        """Books a run that starts or is listed, or in another state one that ends."""
        placed = state is TaskState.PLACED
        node = next(node for node in self.nodes if node.id == run.worker)
        (node.add if placed else node.remove)(run)
        run.task.run, run.task.state = run if placed else None, state

    def plan(self):
        """Makes a plan, carries it out and checks the caps of those that started."""
        early = [step for step in self.steps if step.job.from_earlier_owner]
        budget = self.policy.make_budget([] if self.recovered else early)
        ids = frozenset(node.id for node in self.nodes)
        planner = Planner(0.0, self.nodes, lambda _: ids, lambda *_: True, caps=budget)
        steps = [step for step in self.steps if self.recovered or step not in early]
        waiting = [step for step in steps if step.has_waiting_tasks()]
        for placement in planner.make_plan(waiting).placements:
            for task, node in placement.tasks:
                self.book(Run(task, 1, node.id, task.step.room, 0.0))
            self.check_cap(placement.step.job.record.organisation)

    def check_cap(self, name):
        """Checks the cap of an organisation against all that really runs."""
        cap = self.policy.caps.get(name, Resources())
        limit = Resources(cap.cpu_millis or UNLIMITED, cap.memory_mb or UNLIMITED)
        found = [run.task.step for run in self.runs() + self.unheard]
        found = [step for step in found if step.job.record.organisation == name]
        total = Resources()
        for step in found:
            total = total.plus(task_demand(step.spec))
        assert total.within(limit) or len(found) == 1, (total, cap)


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_no_plan_exceeds_a_cap_and_the_account_equals_a_recomputation(data):
    """Guards against starts above a cap (CAP) and against drift of the account."""
    cell = CappedCell()
    for number in range(data.draw(st.integers(5, 40))):
        event = data.draw(st.sampled_from(EVENTS))
        if event == "job":
            tasks, cpu = (
                data.draw(st.integers(1, 6)),
                st.sampled_from([1000, 3000, 9000]),
            )
            kind = {name: data.draw(st.booleans()) for name in ("all_at_once", "fills")}
            step = make_step(f"j{number}", QUEUE, tasks, data.draw(cpu), **kind)
            step.job.record.organisation = data.draw(st.sampled_from(["a", "b", ""]))
            cell.steps.append(step)
        elif event == "plan":
            cell.plan()
        elif event == "end" and cell.runs():
            cell.book(data.draw(st.sampled_from(cell.runs())), TaskState.DONE)
        elif event == "loss":
            for run in list(data.draw(st.sampled_from(cell.nodes)).runs.values()):
                cell.book(run, TaskState.WAITING)
        elif event == "manifest":
            named = {}
            for name in ("a", "b"):
                cpu = data.draw(st.sampled_from([0, 2000, 6000, 20_000]))
                cap = Resources(cpu, data.draw(st.sampled_from([0, 0, 350])))
                named[name] = Organisation(name, cap=cap)
            cell.manifest = Manifest(cell.manifest.version + 1, [], named)
            cell.policy.update(cell.manifest)
        elif event in ("report", "recovery"):
            while cell.unheard:
                cell.book(cell.unheard.pop())
                if event == "report":
                    break
            cell.recovered = cell.recovered or not cell.unheard
        elif event == "takeover":
            cell.take_over()
        recomputed = UsageAccount()
        for run in cell.runs():
            recomputed.add(run)
        assert cell.policy.usage.used == recomputed.used
        assert cell.policy.usage.used_by_service == recomputed.used_by_service
