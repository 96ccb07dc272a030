"""The cost of a plan is bounded, however many steps wait."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest
import structlog.testing

from bench.plan_cell import (
    ADVICE,
    FAR_FUTURE_S,
    PlanCell,
    Scenario,
    make_ready_step,
    make_scenario,
)
from bench.planner_day import make_nodes
from lacewinghold.events import Event
from lacewinghold.scheduler.claims import Claim
from lacewinghold.scheduler.model import JobState, Run
from lacewinghold.scheduler.planning import MAX_PAUSE_S, MAX_PLANNING_SHARE, PlanLoop
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Queue
from lacewinghold.scheduler.reservations import Reservations
from lacewinghold.schema.generated.cell import StepSpec
from lacewinghold.testing.clock import run_paused
from tests.test_scheduler.support import run_cell, step

if TYPE_CHECKING:
    from collections.abc import Callable

WORKERS = 100
MAX_LINES_PER_STEP = 90  # Fewer than workers: no step is checked on each of them.
URGENT = Queue("urgent", "h", "/u/", "s", 0, 2, 2.0, 1)
PATIENT = Queue("patient", "h", "/p/", "s", 2, 2, 2.0, 1)


def count_lines(function: Callable[[], object]) -> int:
    """Returns how many lines a call executes, a cost that is equal on all machines."""
    lines = 0

    def count_line(frame, event, argument):
        nonlocal lines
        lines += event == "line"
        return count_line

    before = sys.gettrace()
    sys.settrace(count_line)
    try:
        function()
    finally:
        sys.settrace(before)
    return lines


def lines_of_plan(scenario: Scenario, waiting: int, workers: int = WORKERS) -> int:
    """Returns the lines of a second plan in an unchanged cell."""

    async def program():
        cell = make_scenario(scenario, waiting, workers)
        cell.planning.plan()
        return count_lines(cell.planning.plan)

    return run_paused(program, seed=1)


@pytest.mark.parametrize(
    "scenario", [Scenario.NO_ROOM, Scenario.NO_TICKET, Scenario.NOT_ASKED]
)
def test_a_plan_checks_no_step_on_all_workers(scenario):
    """With 200 steps and 176 workers, plans that do so take a whole core."""
    few, many = lines_of_plan(scenario, 200), lines_of_plan(scenario, 600)
    assert many - few < 400 * MAX_LINES_PER_STEP


def test_plan_without_room_does_not_grow_with_waiting_steps():
    """The cost of each waiting step does not depend on the number of workers."""
    costs = []
    for workers in (50, 200):
        base = lines_of_plan(Scenario.NO_ROOM, 40, workers)
        costs.append(lines_of_plan(Scenario.NO_ROOM, 400, workers) - base)
    assert costs[1] < 1.2 * costs[0]


def test_a_step_that_can_start_is_not_checked_on_all_workers():
    """The first worker with room and a ticket is used, however many there are."""
    costs = []
    for workers in (100, 400):

        def plan(count, workers=workers):
            cell = PlanCell(workers)
            for number in range(count):
                step = make_single(f"a{number}")
                step.job.queue = msgspec.structs.replace(URGENT, advice=ADVICE)
                cell.table.open_steps[step.name] = step
                cell.add_tickets(step, 0.5, FAR_FUTURE_S)
            lines = count_lines(cell.planning.plan)
            assert cell.started_task_counts().total() == count
            return lines

        async def program(plan=plan):
            return plan(60) - plan(20)

        costs.append(run_paused(program, seed=1))
    assert costs[1] < 1.2 * costs[0]


def test_a_plan_that_can_place_nothing_is_the_cheapest():
    others = [Scenario.NO_TICKET, Scenario.NOT_ASKED]
    cheapest = min(lines_of_plan(scenario, 400) for scenario in others)
    assert lines_of_plan(Scenario.NO_ROOM, 400) < 1.1 * cheapest


def make_single(name: str, queue: Queue = URGENT, cpu: int = 1000):
    """Returns a step of one task."""
    return make_ready_step(name, queue, StepSpec(tasks=1, cpu_millis=cpu))


def plan_until_placed(steps, has_valid_ticket, max_evaluations):
    """Makes plans until a step is placed.

    :returns: How many were made, and the steps that each of them skipped.
    """
    nodes = make_nodes(10)
    all_workers = frozenset(node.id for node in nodes)
    resume_at = None
    skipped = []
    for number in range(1, 100):
        planner = Planner(
            0.0,
            nodes,
            lambda step: all_workers,
            has_valid_ticket,
            may_ask=lambda renewal: False,
            resume_at=resume_at,
            max_evaluations=max_evaluations,
        )
        plan = planner.make_plan(steps)
        skipped.append(plan.skipped)
        resume_at = plan.resume_at
        if plan.placements:
            return number, skipped
    raise AssertionError("not placed")


def test_steps_beyond_the_work_limit_of_a_plan_take_turns():
    """Urgent steps that wait for permissions could use up the work of every plan."""

    async def program():
        steps = [make_single(f"a{number:03d}") for number in range(60)]
        last = make_single("b", PATIENT)
        count, skipped = plan_until_placed(
            [*steps, last], lambda step, node: step is last, 400
        )
        assert 1 < count <= 8
        assert all(step.name not in skipped[0] for step in steps[:8])
        assert not any(steps[0].name in names for names in skipped)

    run_paused(program, seed=1)


def test_all_steps_of_equal_urgency_get_their_turn():
    """Such steps are ordered by their names alone."""

    async def program():
        steps = [make_single(f"a{number:03d}") for number in range(60)]
        for chosen in steps[::7]:
            plan_until_placed(
                steps, lambda step, node, chosen=chosen: step is chosen, 100
            )

    run_paused(program, seed=1)


def test_a_step_with_new_permissions_is_not_deferred():
    """Its permissions expire soon, and its claim is dropped after the plan."""

    async def program():
        nodes = make_nodes(10)
        all_workers = frozenset(node.id for node in nodes)
        steps = [make_single(f"a{number:03d}") for number in range(60)]
        last = make_single("b", PATIENT)
        planner = Planner(
            0.0,
            nodes,
            lambda step: all_workers,
            lambda step, node: step is last,
            {last.name: Claim(last, {nodes[0].id: 1}, 0.0)},
            lambda renewal: False,
            max_evaluations=50,
        )
        plan = planner.make_plan([*steps, last])
        assert plan.skipped
        assert [placement.step for placement in plan.placements] == [last]

    run_paused(program, seed=1)


def test_a_reservation_outlasts_a_plan_whose_work_limit_is_reached():
    """Otherwise small work takes the workers, and the step starts to wait anew."""

    async def program():
        nodes = make_nodes(10)
        for node in nodes[:4]:
            full = make_single("full", PATIENT, cpu=16_000)
            node.add(Run(full.tasks[0], 1, node.id, full.room, 0.0))
        all_workers = frozenset(node.id for node in nodes)
        steps = [make_single(f"a{number:03d}") for number in range(60)]
        queue = msgspec.structs.replace(PATIENT, urgency=1)
        spec = StepSpec(tasks=10, cpu_millis=16_000, all_at_once=True)
        wide = make_ready_step("wide", queue, spec)
        planner = Planner(
            0.0,
            nodes,
            lambda step: all_workers,
            lambda step, node: False,
            may_ask=lambda renewal: False,
            reservations=Reservations({wide.name: [node.id for node in nodes[:6]]}),
            max_evaluations=50,
        )
        plan = planner.make_plan([*steps, wide])
        assert plan.deferred
        assert plan.reserved[wide.name]

    run_paused(program, seed=1)


class Timer:
    """A clock that advances by the length of a plan at every second reading."""

    def __init__(self, took_s: float) -> None:
        self.took_s = took_s
        self.readings = 0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        self.readings += 1
        return self.readings // 2 * self.took_s


async def plans_made(took_s: float, seconds: float) -> int:
    """Returns how many plans are made while the cell changes all the time."""
    cell = PlanCell(1)
    cell.planning.timer = Timer(took_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cell.planning.run)
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            cell.planning.wake()
            await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()
    return cell.planning.timer.readings // 2


@pytest.mark.parametrize("took_s", [0.002, 0.02, 0.1])
def test_planning_never_takes_the_whole_process(took_s):
    """On a weak machine, lease renewals and polls would be late."""
    plans = run_paused(plans_made, took_s, 10.0, seed=1)
    assert plans > 10
    assert plans * took_s <= MAX_PLANNING_SHARE * (10.0 + plans * took_s) + took_s


def test_a_process_that_was_stopped_plans_again_soon():
    plans = run_paused(plans_made, 60.0, 10.0, seed=1)
    assert plans >= 10 / (MAX_PAUSE_S + 0.1)


def test_log_lines_about_long_waits_are_spread_over_plans():
    """Each line costs a count of the workers and permissions of its step."""

    async def program():
        cell = make_scenario(Scenario.NO_ROOM, 200, 10)
        with structlog.testing.capture_logs() as lines:
            for _ in range(100):
                cell.planning.plan()
                await anyio.sleep(0.1)
        logged = [line["step"] for line in lines if line["event"] == Event.STEP_WAITS]
        assert 50 < len(logged) <= 100
        assert len(set(logged)) == len(logged)

    run_paused(program, seed=1)


def test_a_skipped_step_keeps_its_choice_of_workers():
    """Otherwise its call would lose its place in the queue for a lane."""

    async def program():
        cell = make_scenario(Scenario.NO_TICKET, 400, WORKERS)
        cell.planning.plan()
        first = dict(cell.planning.renewals)
        assert len(first) > 8
        cell.planning.plan()
        assert first.keys() <= cell.planning.renewals.keys()

    run_paused(program, seed=1)


def test_permissions_that_come_are_used_while_all_lanes_are_busy():
    """Only steps that can neither request permissions nor start are skipped."""

    async def program():
        cell = make_scenario(Scenario.NO_TICKET, 400, WORKERS)
        names = list(cell.table.open_steps)
        single = [
            name for name in names if not cell.table.open_steps[name].spec.all_at_once
        ]
        last = cell.table.open_steps[single[-1]]
        cell.add_tickets(last, 1.0, FAR_FUTURE_S)
        for _ in range(20):
            cell.planning.plan()
        assert cell.started_task_counts()[last.name] == last.spec.tasks

    run_paused(program, seed=1)


def test_all_steps_have_a_turn_soon_without_another_event():
    """One plan cannot start them all within its work limit."""

    async def program():
        cell = PlanCell(400)
        cell.add_waiting(150)
        cell.add_all_tickets(FAR_FUTURE_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cell.planning.run)
            cell.planning.wake()
            await anyio.sleep(0.2)
            tasks.cancel_scope.cancel()
        assert len(cell.started_task_counts()) == 150

    run_paused(program, seed=1)


def test_steps_that_cannot_start_are_not_planned_repeatedly():
    """Each step is considered once after an event."""

    async def program():
        cell = PlanCell(WORKERS, busy=False)
        cell.add_waiting(300)
        cell.add_all_tickets(-FAR_FUTURE_S)
        cell.advice_book.free_lanes = lambda now: cell.advice_book.lanes
        cell.advice_book.can_ask = lambda step, count, now: False
        cell.planning.timer = Timer(0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cell.planning.run)
            await anyio.sleep(10)
            tasks.cancel_scope.cancel()
        plans = cell.planning.timer.readings // 2
        assert plans > 25
        assert plans < 500

    run_paused(program, seed=1)


def count_plans(monkeypatch):
    """Returns a list to which each plan of any owner adds its time."""
    plans = []
    original = PlanLoop.plan

    def plan(self):
        plans.append(anyio.current_time())
        return original(self)

    monkeypatch.setattr(PlanLoop, "plan", plan)
    return plans


def test_polls_without_news_trigger_no_plans(monkeypatch):
    """176 idle workers answer 300 polls per second."""
    plans = count_plans(monkeypatch)

    async def program(cell):
        for number in range(30):
            await cell.add_worker(f"a{number}")
            await anyio.sleep(0.13)
        await anyio.sleep(3)
        before = len(plans)
        await anyio.sleep(10)
        assert len(plans) - before < 80

    run_cell(program)


def test_a_job_that_is_due_later_triggers_no_plans_until_then(monkeypatch):
    """Without the limit, plans would follow each other without a pause."""
    plans = count_plans(monkeypatch)

    async def program(cell):
        record = cell.make_job("timed", [step()])
        record.occurrences = 1
        record.first_due_ms = (cell.clock.now() + 11) * 1000
        due_at = anyio.current_time() + 11
        assert (await cell.members[0].instance.front.submit(record)).is_ok()
        await anyio.sleep(1)
        before = len(plans)
        await anyio.sleep(9)
        assert len(plans) - before < 80
        assert await cell.wait_for("timed", JobState.COMPLETED, 3)
        assert 0 <= cell.world.starts[0].at - due_at < 0.1

    run_cell(program)
