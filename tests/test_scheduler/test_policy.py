"""The planner under the heaviest loads: value to callers, fairness, reservations."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from bench.planner_day import ArrivalOrder, PlannerDay, make_nodes
from lacewinghold.scheduler.model import Run, make_job
from lacewinghold.scheduler.plan import Plan
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Queue
from lacewinghold.scheduler.reservations import Reservations
from lacewinghold.schema.generated.cell import CellJob, StepSpec

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode

DAY_S = 30.0


@pytest.mark.parametrize("load", [0.8, 1.0, 1.2])
def test_callers_earn_no_less_than_by_arrival_order(load):
    planner_value = baseline_value = 0.0
    for seed in range(3):
        planner_value += PlannerDay(Planner, load, seed=seed).play(DAY_S).earned_worth
        baseline_value += (
            PlannerDay(ArrivalOrder, load, seed=seed).play(DAY_S).earned_worth
        )
    assert planner_value >= baseline_value


@pytest.mark.parametrize("seed", range(3))
def test_every_job_is_done_in_the_end(seed):
    """Reserved workers must not make any kind of work wait for ever."""
    day = PlannerDay(Planner, 1.5, seed=seed)
    day.play(DAY_S)
    assert day.steps == {}


def make_step(name, queue, tasks, cpu, **fields):
    """Returns a step that is ready."""
    spec = StepSpec(tasks=tasks, cpu_millis=cpu, memory_mb=100, **fields)
    record = CellJob(
        job=name,
        queue=queue.name,
        program="work",
        steps=[spec],
        accepted_at=0.0,
        rules=queue.to_rules(),
    )
    return make_job(record, queue, 0.0, 0.0).steps[0]


def test_no_workers_are_reserved_for_a_step_that_never_fits_where_permitted():
    """Other steps that are permitted only on the same worker must not wait for it."""
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(4)
    for node in nodes:
        node.listed = node.fenced = node.enrolled = True
    first_worker = frozenset({nodes[0].id})
    oversized = make_step("a", urgent, 4, 12_000, all_at_once=True)
    small = make_step("b", patient, 1, 1000)
    planner = Planner(0.0, nodes, lambda step: first_worker, lambda step, node: True)
    plan = planner.make_plan([oversized, small])
    assert [placement.step for placement in plan.placements] == [small]


def test_workers_are_reserved_for_a_step_that_fits_once_other_runs_have_ended():
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(2)
    running = make_step("c", patient, 1, 8000)
    nodes[0].add(Run(running.tasks[0], 1, nodes[0].id, running.room, 0.0))
    wide = make_step("a", urgent, 2, 12_000, all_at_once=True)
    small = make_step("b", patient, 1, 1000)
    all_workers = frozenset(node.id for node in nodes)
    planner = Planner(0.0, nodes, lambda step: all_workers, lambda step, node: True)
    assert planner.make_plan([wide, small]).placements == []


@pytest.mark.parametrize("may_ask", [False, True])
def test_a_step_without_permissions_holds_room_only_if_it_can_request_them(may_ask):
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(4)
    wide = make_step("a", urgent, 10, 5000, all_at_once=True)
    ready = make_step("b", patient, 6, 5000, all_at_once=True)
    all_workers = frozenset(node.id for node in nodes)
    planner = Planner(
        0.0,
        nodes,
        lambda step: all_workers,
        lambda step, node: step is ready,
        may_ask=lambda renewal: may_ask,
    )
    plan = planner.make_plan([wide, ready])
    assert [renewal.step for renewal in plan.renewals] == [wide]
    assert bool(plan.placements) is not may_ask


def test_reserved_workers_respect_the_limit_of_tasks_per_worker():
    """Tasks that may not share a worker need two, even if one has room for both."""
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(2)
    for node in nodes:
        node.listed = node.fenced = node.enrolled = True
    running = make_step("c", patient, 1, 12_000)
    nodes[0].add(Run(running.tasks[0], 1, nodes[0].id, running.room, 0.0))
    wide = make_step("a", urgent, 2, 8000, all_at_once=True, max_per_worker=1)
    small = make_step("b", patient, 1, 4000)
    all_workers = frozenset(node.id for node in nodes)
    planner = Planner(0.0, nodes, lambda step: all_workers, lambda step, node: True)
    assert planner.make_plan([wide, small]).placements == []


@pytest.mark.parametrize("seed", range(8))
def test_reservations_stay_on_the_same_workers_until_these_are_free(seed):
    """Reservations that move between plans never free enough workers at once.

    The all-at-once step must start once the runs of the first plan have ended.
    """
    longest_s, tick_s = 3.0, 0.1
    rng = random.Random(seed)
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(8)
    all_workers = frozenset(node.id for node in nodes)
    wide = make_step("a", urgent, 4, 16_000, all_at_once=True)
    running: list[tuple[float, WorkerNode, Run]] = []
    small: list[Step] = []
    plan = Plan()
    now = 0.0
    arrived = 0
    while now < 6 + longest_s + tick_s:
        for end, node, run in list(running):
            if end <= now:
                running.remove((end, node, run))
                node.remove(run)
        while len(small) < 40:
            arrived += 1
            cpu = rng.choice([1000, 2000, 4000, 8000])
            small.append(make_step(f"b{arrived}", patient, 1, cpu))
        planner = Planner(
            now,
            nodes,
            lambda step: all_workers,
            lambda step, node: True,
            reservations=Reservations(plan.reserved, now),
        )
        plan = planner.make_plan([*small, wide] if now > 6 else small)
        for placement in plan.placements:
            if placement.step is wide:
                return
            small.remove(placement.step)
            for task, node in placement.tasks:
                run = Run(task, 1, node.id, placement.step.room, now)
                node.add(run)
                running.append((now + rng.uniform(0.3, longest_s), node, run))
        now += tick_s
    raise AssertionError("not placed")
