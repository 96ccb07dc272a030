"""Properties of plans for generated workers, steps and claims.

Resources are never allocated twice, and each step's own rules hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Struct

from bench.planner_day import make_nodes
from lacewinghold.ids import WorkerId
from lacewinghold.scheduler.claims import Claim
from lacewinghold.scheduler.model import Run, TaskState, make_job
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Queue, Resources
from lacewinghold.scheduler.reservations import Reservations
from lacewinghold.schema.generated.cell import CellJob, StepSpec

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.plan import Plan

NOW = 1.0


class Snapshot(Struct):
    """The input of one plan.

    :param awaiting_answer: Steps that wait for an answer and keep their claims.
    """

    nodes: dict[WorkerId, WorkerNode]
    steps: list[Step]
    awaiting_answer: set[str]
    claims: dict[str, Claim]
    permitted: dict[str, frozenset[WorkerId] | None]
    valid: set[tuple[str, WorkerId]]
    may_ask: dict[str, bool]
    last_reserved: dict[str, list[WorkerId]]

    def make_plan(self, **options) -> Plan:
        """Returns the plan.

        :param options: Further arguments of the planner.
        """
        planner = Planner(
            NOW,
            self.nodes.values(),
            lambda step: self.permitted[step.name],
            lambda step, node: (step.name, node.id) in self.valid,
            self.claims,
            lambda renewal: self.may_ask[renewal.step.name],
            Reservations(self.last_reserved, NOW),
            self.awaiting_answer,
            **options,
        )
        return planner.make_plan(self.steps)


@st.composite
def draw_step(draw, name):
    """Returns a generated step; none of its tasks has started."""
    spec = StepSpec(
        tasks=draw(st.integers(1, 6)),
        cpu_millis=draw(st.sampled_from([0, 1000, 4000, 5000, 12_000])),
        memory_mb=draw(st.sampled_from([0, 100, 16_000])),
        expected_ms=1000,
        all_at_once=draw(st.booleans()),
        one_rack=draw(st.booleans()),
        max_per_worker=draw(st.sampled_from([0, 0, 1, 2])),
        fills=draw(st.integers(0, 7)) == 0,
    )
    queue = Queue("q", "h", "/q/", "s", draw(st.integers(0, 2)), 2, 2.0, 1.0)
    record = CellJob(
        job=name,
        queue=queue.name,
        program="work",
        steps=[spec],
        accepted_at=0.0,
        rules=queue.to_rules(),
    )
    made = make_job(record, queue, draw(st.sampled_from([0.0, -4.0, -20.0])), 0.0)
    return made.steps[0]


@st.composite
def make_snapshot(draw):
    """Returns a generated cell whose claims fit into its free resources."""
    nodes = {node.id: node for node in make_nodes(draw(st.integers(1, 10)))}
    ids = sorted(nodes)
    count = draw(st.integers(1, 6))
    steps = [draw(draw_step(f"j{number}")) for number in range(count)]
    id_lists = st.lists(st.sampled_from(ids), unique=True)
    for step in steps:
        for task in step.tasks:
            node = nodes[draw(st.sampled_from(ids))]
            fits = step.room.within(node.free())
            if not step.spec.all_at_once and fits and draw(st.integers(0, 3)) == 0:
                task.run = Run(task, 1, node.id, step.room, 0.0)
                task.state = TaskState.PLACED
                node.add(task.run)
            elif draw(st.integers(0, 5)) == 0:
                task.failed_workers.update(draw(id_lists))
    free = {node.id: node.free() for node in nodes.values()}
    claims = {}
    for step in steps:
        if draw(st.booleans()):
            continue
        tasks: dict[WorkerId, int] = {}
        for _ in step.waiting_tasks():
            worker = draw(st.sampled_from(ids))
            if step.room.within(free[worker]):
                free[worker] = free[worker].minus(step.room)
                tasks[worker] = tasks.get(worker, 0) + 1
        # A worker may leave after it was claimed.
        tasks[WorkerId("gone")] = 1
        claims[step.name] = Claim(step, tasks, NOW)
    names = [step.name for step in steps]
    return Snapshot(
        nodes=nodes,
        steps=steps,
        awaiting_answer={name for name in claims if draw(st.booleans())},
        claims=claims,
        permitted={
            name: draw(
                st.one_of(st.none(), id_lists.map(frozenset), st.just(frozenset(ids)))
            )
            for name in names
        },
        valid={
            (name, worker)
            for name in names
            for worker in draw(st.one_of(id_lists, st.just(ids)))
        },
        may_ask={name: draw(st.booleans()) for name in names},
        last_reserved={name: draw(id_lists) for name in names if draw(st.booleans())},
    )


def allocate(taken, worker, room, count=1):
    """Adds resources to those taken on a worker."""
    taken[worker] = taken.get(worker, Resources()).plus(room.times(count))


def overcommitted(snapshot, taken):
    """Returns the workers on which more is taken than is free."""
    found = []
    for worker, room in taken.items():
        if worker in snapshot.nodes and not room.within(snapshot.nodes[worker].free()):
            found.append(worker)
    return found


@settings(max_examples=400, deadline=None, derandomize=True)
@given(make_snapshot())
def test_resources_are_never_allocated_twice(snapshot):
    plan = snapshot.make_plan()
    taken: dict[WorkerId, Resources] = {}
    for name in snapshot.awaiting_answer:
        claim = snapshot.claims[name]
        for worker, count in claim.tasks.items():
            allocate(taken, worker, claim.step.room, count)
    for placement in plan.placements:
        for _, node in placement.tasks:
            allocate(taken, node.id, placement.step.room)
    for renewal in plan.renewals:
        if not snapshot.may_ask[renewal.step.name]:
            continue
        for worker, count in renewal.chosen.items():
            allocate(taken, worker, renewal.step.room, count)
    assert overcommitted(snapshot, taken) == []


@settings(max_examples=400, deadline=None, derandomize=True)
@given(make_snapshot())
def test_a_plan_respects_the_rules_of_each_step(snapshot):
    plan = snapshot.make_plan()
    assert len({placement.step.name for placement in plan.placements}) == len(
        plan.placements
    )
    for placement in plan.placements:
        step = placement.step
        tasks = [task.name for task, _ in placement.tasks]
        assert len(set(tasks)) == len(tasks)
        assert set(tasks) <= {task.name for task in step.waiting_tasks()}
        claimed = 0
        if step.name in snapshot.awaiting_answer:
            claimed = snapshot.claims[step.name].task_count()
            assert not step.spec.all_at_once
        assert len(tasks) + claimed <= len(step.waiting_tasks())
        if step.spec.all_at_once:
            assert len(tasks) == step.spec.tasks
        used_workers = [run.worker for run in step.active_runs()]
        for _, node in placement.tasks:
            assert node.id in (snapshot.permitted[step.name] or ())
            assert (step.name, node.id) in snapshot.valid
            used_workers.append(node.id)
            if step.spec.max_per_worker:
                assert used_workers.count(node.id) <= step.spec.max_per_worker
    for renewal in plan.renewals:
        step = renewal.step
        assert step.name not in snapshot.awaiting_answer
        assert renewal.without_ticket
        assert set(renewal.without_ticket) <= set(renewal.chosen)
        for worker in renewal.without_ticket:
            assert (step.name, worker) not in snapshot.valid
        if step.spec.all_at_once:
            assert renewal.task_count() == step.spec.tasks
