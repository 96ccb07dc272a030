"""Slow and stuck workers are detected although run time estimates are far off."""

from __future__ import annotations

import random

from lacewinghold.scheduler.pace import SLOW_RETRY_DELAY_S, STUCK_SHARE, PaceTracker

POLL_INTERVAL_S = 0.25


def simulate(speeds, seconds=4.0, estimate_error=0.5, seed=1):
    """Simulates runs on workers of given speeds.

    :returns: The tracker and the time at the end in seconds.
    """
    rng = random.Random(seed)
    tracker = PaceTracker()
    runs = {}
    now = 0.0
    while now < seconds:
        now += POLL_INTERVAL_S
        for worker, speed in enumerate(speeds):
            for slot in range(4):
                key = (worker, slot)
                real_s, expected_s, done_s, number = runs.get(key, (0, 0, 0, 0))
                done_s += POLL_INTERVAL_S * speed
                if done_s >= real_s:
                    tracker.forget_run(f"w{worker}", (f"t{slot}", number))
                    real_s = rng.uniform(1, 4)
                    error = rng.uniform(1 - estimate_error, 1 + estimate_error)
                    runs[key] = (real_s, real_s * error, 0.0, number + 1)
                    continue
                runs[key] = (real_s, expected_s, done_s, number)
                percent = 100 * done_s / real_s
                tracker.record_progress(
                    f"w{worker}", (f"t{slot}", number), percent, expected_s, now
                )
    return tracker, now


def names(count):
    """Returns the ids of workers."""
    return [f"w{number}" for number in range(count)]


def test_slow_workers_are_detected_despite_wrong_estimates():
    speeds = [1.0] * 21 + [0.22] * 3
    for seed in range(20):
        tracker, now = simulate(speeds, seed=seed)
        assert set(tracker.find_slow(names(24), now)) == {"w21", "w22", "w23"}


def test_no_worker_is_slow_if_all_have_the_same_speed():
    for seed in range(20):
        tracker, now = simulate([1.0] * 24, seed=seed)
        assert tracker.find_slow(names(24), now) == {}


def test_a_worker_without_progress_is_stuck():
    tracker, now = simulate([1.0] * 23 + [0.0])
    assert tracker.find_slow(names(24), now)["w23"] < STUCK_SHARE


def test_no_worker_is_slow_if_load_slows_half_of_them():
    tracker, now = simulate([1.0] * 12 + [0.2] * 12)
    assert tracker.find_slow(names(24), now) == {}


def slow_times_until(tracker, now, until):
    """Looks for slow workers at the interval of the owner.

    :returns: The times in seconds at which worker 23 was slow.
    """
    slow_at = []
    while now < until:
        now += POLL_INTERVAL_S
        if "w23" in tracker.find_slow(names(24), now):
            slow_at.append(now)
    return slow_at


def test_a_slow_worker_is_used_again_after_a_while():
    """An excluded worker has no runs that could show its recovery."""
    tracker, now = simulate([1.0] * 23 + [0.2])
    slow_at = slow_times_until(tracker, now, now + 10)
    assert slow_at[0] == now + POLL_INTERVAL_S
    assert slow_at[-1] <= now + SLOW_RETRY_DELAY_S


def test_a_worker_stays_slow_while_its_runs_are_slow():
    tracker, now = simulate([1.0] * 23 + [0.2])
    for _ in range(40):
        now += POLL_INTERVAL_S
        tracker.record_progress("w23", ("t", 1), 1.0, 20.0, now)
        assert "w23" in tracker.find_slow(names(24), now)
