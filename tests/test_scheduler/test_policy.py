"""The planner on the heaviest loads, by what callers get."""

from __future__ import annotations

import pytest

from bench.planner_day import ArrivalOrder, PlannerDay
from lacewinghold.scheduler.policy import Planner

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
