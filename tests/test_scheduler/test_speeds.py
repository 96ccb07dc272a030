"""Speeds of workers are learned, and only workers that became slower are slow."""

from __future__ import annotations

import math
import random
from collections import Counter
from itertools import product
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinghold.scheduler.pace import PaceTracker
from lacewinghold.scheduler.slow_workers import MIN_MOVE_GAIN, SlowWorkers
from lacewinghold.scheduler.speeds import WorkerSpeeds

SPEEDS = [0.4, 1.0, 1.0, 1.3, 1.7] * 6
WORKERS = [f"w{number}" for number in range(len(SPEEDS))]
MEAN_LOG_SPEED = sum(math.log(speed) for speed in SPEEDS) / len(SPEEDS)
POLL_INTERVAL_S = 0.5


def learned_speeds():
    """Returns the speeds that many compared steps of 12 tasks give."""
    speeds, rng = WorkerSpeeds(), random.Random(1)
    for _ in range(300):
        work_s = math.exp(rng.gauss(0, 1))
        runs = []
        for worker in rng.sample(range(len(SPEEDS)), 12):
            run_s = work_s * math.exp(rng.gauss(0, 0.3)) / SPEEDS[worker]
            run_s *= 7 if rng.random() < 0.03 else 1
            runs.append((WORKERS[worker], math.log(run_s)))
        speeds.observe_step(runs)
    return speeds


def find_slow(actual, seconds, slots=4):
    """Plays runs with wrong estimates, and counts how often each worker is slow."""
    rng, tracker = random.Random(3), PaceTracker(learned_speeds())
    runs, found = {}, Counter()
    for tick in range(1, int(seconds / POLL_INTERVAL_S)):
        now = tick * POLL_INTERVAL_S
        for index, slot in product(range(len(WORKERS)), range(slots)):
            worker = WORKERS[index]
            run = runs.get((index, slot))
            if run is None or run.done_s >= run.work_s:
                work_s = rng.uniform(1.5, 5)
                run = SimpleNamespace(key=(f"j{tick}-{index}-{slot}", 1), done_s=0.0)
                run.expected_s = work_s * rng.uniform(0.5, 1.5)
                run.work_s = work_s * (7 if rng.random() < 0.03 else 1)
                runs[(index, slot)] = run
                tracker.record_start(worker, run.key, now)
                continue
            run.done_s += POLL_INTERVAL_S * actual(index, now)
            percent = min(99.0, 100 * run.done_s / run.work_s)
            tracker.record_progress(worker, run.key, percent, run.expected_s, now)
        found.update(list(tracker.find_slow(WORKERS, now)))
    return found


def test_speeds_are_learned_although_tasks_differ():
    """Guards against stragglers and unequal steps that hide the speeds."""
    speeds = learned_speeds()
    for worker, speed in zip(WORKERS, SPEEDS, strict=True):
        assert abs(math.log(speeds.speed_of(worker) / speed) + MEAN_LOG_SPEED) < 0.2


def test_few_samples_change_a_speed_little():
    """Guards against excluding a worker from placement because of one slow run."""
    speeds = WorkerSpeeds()
    speeds.observe_step([("a", 0.0), ("b", 0.0), ("c", math.log(7))])
    assert speeds.speed_of("c") > 0.8
    speeds.observe_step([("alone", 0.0), ("alone", 3.0)])
    assert speeds.speed_of("alone") == 1.0


def test_a_worker_that_has_left_or_is_new_has_the_typical_speed():
    """Guards against a ranking that prefers or avoids workers without a reason."""
    speeds = learned_speeds()
    speeds.forget("w4")
    assert speeds.speed_of("w4") == speeds.speed_of("new") == 1.0


RUN = st.tuples(st.sampled_from("abcdef"), st.floats(-20, 20))


@settings(max_examples=60)
@given(st.lists(st.lists(RUN, max_size=8), max_size=40))
def test_no_input_makes_a_speed_useless(steps):
    """Guards against speeds that run away to 0 or infinity."""
    speeds = WorkerSpeeds()
    for runs in steps:
        speeds.observe_step(runs)
    for worker in "abcdef":
        assert 0.01 < speeds.speed_of(worker) < 100


@pytest.mark.parametrize("slots", [1, 2, 4])
def test_workers_of_unequal_speed_are_not_held_to_be_slow(slots):
    """Guards against moving runs off sound workers, of which 27 were slow at once."""
    found = find_slow(lambda index, now: SPEEDS[index], 40, slots)
    assert sum(found.values()) < 0.01 * 80 * len(WORKERS)


def test_workers_that_suddenly_become_slower_are_slow():
    """Guards against a learned speed that hides a fault of the worker."""

    def actual(index, now):
        return SPEEDS[index] * (0.25 if index < 5 and now > 15 else 1.0)

    found = find_slow(actual, 22)
    assert sum(found[worker] >= 2 for worker in WORKERS[:5]) >= 4


@pytest.mark.parametrize(
    ("percent", "share", "moved"),
    [(0.0, 0.25, True), (80.0, 0.25, False), (99.0, 0.01, True), (0.0, 0.8, False)],
)
def test_a_run_is_moved_only_if_a_restart_finishes_sooner(percent, share, moved):
    """Guards against stopping runs that are nearly done, and keeping stuck ones."""
    pace = PaceTracker()
    pace.record_progress("w", ("t", 1), percent, 2.0, 1.0)
    owner = SimpleNamespace(pace=pace, speeds=pace.speeds)
    run = SimpleNamespace(task=SimpleNamespace(name="t"), number=1)
    node = SimpleNamespace(id="w")
    remaining_s = SlowWorkers(owner).remaining_s(node, run, share, 2.0)
    assert (remaining_s >= MIN_MOVE_GAIN * 2.0) is moved
