"""The planner on the heaviest loads, by what callers get."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from bench.planner_day import ArrivalOrder, PlannerDay, make_nodes
from lacewinghold.scheduler.model import Run, make_job
from lacewinghold.scheduler.policy import Plan, Planner
from lacewinghold.scheduler.ports import Queue
from lacewinghold.schema.generated.cell import CellJob, StepSpec

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode

SECONDS = 30.0


@pytest.mark.parametrize("load", [0.8, 1.0, 1.2])
def test_callers_earn_no_less_than_by_arrival_order(load):
    ours = plain = 0.0
    for seed in range(3):
        ours += PlannerDay(Planner, load, seed=seed).play(SECONDS).earned
        plain += PlannerDay(ArrivalOrder, load, seed=seed).play(SECONDS).earned
    assert ours >= plain


@pytest.mark.parametrize("seed", range(3))
def test_every_job_is_done_in_the_end(seed):
    """Room kept free must let no kind of work wait for ever."""
    day = PlannerDay(Planner, 1.5, seed=seed)
    day.play(SECONDS)
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


def test_no_room_is_kept_for_work_that_can_never_run_where_it_may():
    """Work that may run only there must not wait for it."""
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(4)
    for node in nodes:
        node.listed = node.fenced = node.enrolled = True
    only = frozenset({nodes[0].id})
    hopeless = make_step("a", urgent, 4, 12_000, all_at_once=True)
    small = make_step("b", patient, 1, 1000)
    planner = Planner(0.0, nodes, lambda step: only, lambda step, node: True)
    plan = planner.make_plan([hopeless, small])
    assert [placement.step for placement in plan.placements] == [small]


def test_room_is_kept_for_work_that_fits_once_others_have_ended():
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(2)
    running = make_step("c", patient, 1, 8000)
    nodes[0].add(Run(running.tasks[0], 1, nodes[0].id, running.room, 0.0))
    wide = make_step("a", urgent, 2, 12_000, all_at_once=True)
    small = make_step("b", patient, 1, 1000)
    everywhere = frozenset(node.id for node in nodes)
    planner = Planner(0.0, nodes, lambda step: everywhere, lambda step, node: True)
    assert planner.make_plan([wide, small]).placements == []


@pytest.mark.parametrize("may_ask", [False, True])
def test_a_step_that_cannot_be_permitted_soon_keeps_no_room_from_others(may_ask):
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(4)
    wide = make_step("a", urgent, 10, 5000, all_at_once=True)
    ready = make_step("b", patient, 6, 5000, all_at_once=True)
    everywhere = frozenset(node.id for node in nodes)
    planner = Planner(
        0.0,
        nodes,
        lambda step: everywhere,
        lambda step, node: step is ready,
        may_ask=lambda renewal: may_ask,
    )
    plan = planner.make_plan([wide, ready])
    assert [renewal.step for renewal in plan.renewals] == [wide]
    assert bool(plan.placements) is not may_ask


def test_room_is_kept_on_as_many_workers_as_a_step_has_to_be_spread_over():
    """One large empty worker does not do for tasks that may not share it."""
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(2)
    for node in nodes:
        node.listed = node.fenced = node.enrolled = True
    running = make_step("c", patient, 1, 12_000)
    nodes[0].add(Run(running.tasks[0], 1, nodes[0].id, running.room, 0.0))
    wide = make_step("a", urgent, 2, 8000, all_at_once=True, max_per_worker=1)
    small = make_step("b", patient, 1, 4000)
    everywhere = frozenset(node.id for node in nodes)
    planner = Planner(0.0, nodes, lambda step: everywhere, lambda step, node: True)
    assert planner.make_plan([wide, small]).placements == []


@pytest.mark.parametrize("seed", range(8))
def test_room_is_kept_on_the_same_workers_until_they_are_free(seed):
    """Work that runs when the first plan is made has ended by then."""
    longest_s, tick_s = 3.0, 0.1
    rng = random.Random(seed)
    urgent = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
    patient = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)
    nodes = make_nodes(8)
    everywhere = frozenset(node.id for node in nodes)
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
            lambda step: everywhere,
            lambda step, node: True,
            last_reserved=plan.reserved,
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
