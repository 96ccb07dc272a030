"""Run times are learned where callers' estimates mislead, and only from sound runs."""

from __future__ import annotations

import math
import random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinghold.scheduler.durations import (
    MAX_GROUPS,
    MAX_QUEUES,
    DurationModel,
    StepTimes,
)
from lacewinghold.scheduler.model import JobState, critical_path_s, make_job
from lacewinghold.scheduler.ports import stored_queue
from lacewinghold.schema.generated.cell import CellJob, QueueRules, StepSpec
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

TIMES_S = st.floats(allow_nan=True, allow_infinity=True)


def make_step(expected_s, tasks=1, queue="q", organisation="", image=""):
    """Returns a step of a job of its own."""
    spec = StepSpec(tasks=tasks, expected_ms=1000 * expected_s, image=image)
    rules = QueueRules(service="s")
    record = CellJob("j", queue, "", [spec], 0.0, rules, organisation=organisation)
    return make_job(record, stored_queue(record), 0.0, 0.0).steps[0]


def play_queue(low, high, steps=400, tasks=3):
    """Returns callers' and learned mean errors, and the runs above the upper bound."""
    rng, model = random.Random(1), DurationModel()
    caller = learned = above = 0.0
    for _ in range(steps):
        work_s = 3 * math.exp(rng.gauss(0, 0.5))
        made = make_step(work_s * rng.uniform(low, high), tasks)
        found = model.expected(made)
        caller += abs(math.log(made.spec.expected_ms / 1000 / work_s)) / steps
        learned += abs(math.log(found.mean_s / work_s)) / steps
        for _ in range(tasks):
            run_s = work_s * math.exp(rng.gauss(0, 0.3))
            run_s *= 7 if rng.random() < 0.03 else 1
            above += (run_s > found.upper_s) / (steps * tasks)
            model.observe(made, run_s)
    return caller, learned, above


@given(st.floats(0.001, 1e6), st.integers(1, 50))
def test_without_data_the_callers_estimate_is_used_unchanged(expected_s, tasks):
    """Guards against a shift of objectives that no run justifies."""
    made = make_step(expected_s, tasks)
    model = DurationModel()
    assert model.expected(made).mean_s == made.spec.expected_ms / 1000
    record = made.job.record
    path_s = critical_path_s(record.steps, model.expected_path_s(record))
    assert path_s == critical_path_s(record.steps)


@settings(max_examples=60)
@given(st.lists(st.tuples(TIMES_S, TIMES_S, st.floats(0.1, 3)), max_size=40))
def test_no_input_makes_an_estimate_useless(runs):
    """Guards against infinite, negative or unbounded objectives after wrong data."""
    model = DurationModel()
    for expected_s, run_s, speed in runs:
        model.observe(make_step(expected_s), run_s, speed)
        assert model.expected(make_step(expected_s)).mean_s >= 0
    found = model.expected(make_step(1.0))
    assert 0.0499 < found.mean_s < 20.01
    assert found.mean_s < found.upper_s < math.inf


@pytest.mark.parametrize(("low", "high", "share"), [(0.1, 1.9, 0.7), (0.8, 1.2, 1.1)])
def test_estimates_count_for_what_they_are_worth(low, high, share):
    """Guards against following estimates that mislead, and discarding good ones."""
    caller, learned, above = play_queue(low, high)
    assert learned < share * caller
    assert 0.05 < above < 0.15


def test_a_shift_of_the_work_is_learned_but_not_from_one_step():
    """Guards against an average over past work, and against one wide step's error."""
    model, wide = DurationModel(), make_step(1.0, tasks=200)
    for _ in range(200):
        model.observe(wide, 5.0)
    assert model.expected(make_step(1.0)).mean_s < 1.3
    for run_s in [1.0] * 1000 + [3.0] * 300:
        model.observe(make_step(1.0), run_s)
    assert model.expected(make_step(1.0)).mean_s == pytest.approx(3.0, rel=0.15)


def test_organisations_and_images_of_one_queue_are_told_apart():
    """Guards against one organisation's wrong estimates delaying another's jobs."""
    model = DurationModel()
    for _ in range(100):
        model.observe(make_step(1.0, organisation="a"), 4.0)
        model.observe(make_step(1.0, organisation="b"), 1.0)
    assert model.expected(make_step(1.0, organisation="a")).mean_s > 3.0
    assert model.expected(make_step(1.0, organisation="b")).mean_s < 1.4


def test_the_number_of_keys_is_bounded():
    """Guards against callers who fill the memory with names of images."""
    model = DurationModel()
    for number in range(MAX_GROUPS + 50):
        model.observe(make_step(1.0, queue=f"q{number}", image=f"i{number}"), 1.0)
    assert len(model.queues) == MAX_QUEUES
    assert len(model.groups) == MAX_GROUPS


def test_the_pace_of_a_step_tells_more_than_its_queue():
    """Guards against moving sound runs of a step whose estimate is far too low."""
    model = DurationModel()
    for _ in range(100):
        model.observe(make_step(1.0), 1.0)
    made = make_step(1.0, tasks=20)
    made.times = StepTimes()
    made.times.add_progress(4.0, 4 * 8.0)
    assert model.expected(made).mean_s > 6.0


def test_the_owner_learns_from_sound_runs_only_and_sets_objectives_by_them():
    """Guards against failed and stopped runs that make all work look short."""

    async def program(cell):
        cell.behaviours["f"] = Behaviour(0.05, fails=True)
        await cell.submit("f", [step(8)])
        cell.behaviours["c"] = Behaviour(60.0)
        await cell.submit("c", [step(1)])
        await anyio.sleep(3)
        owner = cell.owner().instance.owner
        await cell.members[0].instance.front.cancel("c")
        await anyio.sleep(2)
        assert owner.durations.queues == {}
        for number in range(20):
            cell.behaviours[f"j{number}"] = Behaviour(4.0)
            await cell.submit(f"j{number}", [step(2, max_per_worker=1)])
        assert await cell.wait_for("j19", JobState.COMPLETED, 120)
        assert owner.speeds.logs
        await cell.submit("late", [step(2)])
        await anyio.sleep(0.5)
        assert owner.table.jobs["j0"].objective_s == pytest.approx(3.0)
        assert owner.table.jobs["late"].objective_s > 4.5

    run_cell(program)
