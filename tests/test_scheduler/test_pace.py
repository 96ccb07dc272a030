"""Slow and stuck workers are told from far-off estimates."""

from __future__ import annotations

import random

from lacewinghold.scheduler.pace import SLOW_RETRY_DELAY_S, STUCK_SHARE, PaceTracker

LOOK_S = 0.25


def play(speeds, seconds=4.0, estimate_error=0.5, seed=1):
    """Plays runs on workers of given speeds.

    :returns: The book and the time at the end.
    """
    rng = random.Random(seed)
    book = PaceTracker()
    runs = {}
    now = 0.0
    while now < seconds:
        now += LOOK_S
        for worker, speed in enumerate(speeds):
            for slot in range(4):
                key = (worker, slot)
                real_s, expected_s, done_s, number = runs.get(key, (0, 0, 0, 0))
                done_s += LOOK_S * speed
                if done_s >= real_s:
                    book.forget_run(f"w{worker}", (f"t{slot}", number))
                    real_s = rng.uniform(1, 4)
                    error = rng.uniform(1 - estimate_error, 1 + estimate_error)
                    runs[key] = (real_s, real_s * error, 0.0, number + 1)
                    continue
                runs[key] = (real_s, expected_s, done_s, number)
                percent = 100 * done_s / real_s
                book.record_progress(
                    f"w{worker}", (f"t{slot}", number), percent, expected_s, now
                )
    return book, now


def names(count):
    """Returns the ids of workers."""
    return [f"w{number}" for number in range(count)]


def test_slow_workers_are_found_among_far_off_estimates():
    speeds = [1.0] * 21 + [0.22] * 3
    for seed in range(20):
        book, now = play(speeds, seed=seed)
        assert set(book.find_slow(names(24), now)) == {"w21", "w22", "w23"}


def test_no_worker_is_called_slow_when_all_are_alike():
    for seed in range(20):
        book, now = play([1.0] * 24, seed=seed)
        assert book.find_slow(names(24), now) == {}


def test_a_worker_that_stands_still_is_stuck():
    book, now = play([1.0] * 23 + [0.0])
    assert book.find_slow(names(24), now)["w23"] < STUCK_SHARE


def test_a_load_that_slows_most_workers_is_no_fault():
    book, now = play([1.0] * 12 + [0.2] * 12)
    assert book.find_slow(names(24), now) == {}


def judge_until(book, now, until):
    """Judges as often as the owner does.

    :returns: The times at which worker 23 counted as slow.
    """
    slow_at = []
    while now < until:
        now += LOOK_S
        if "w23" in book.find_slow(names(24), now):
            slow_at.append(now)
    return slow_at


def test_a_slow_worker_that_is_left_alone_is_tried_again():
    """Others are still judged; without runs of its own it must not stay out."""
    book, now = play([1.0] * 23 + [0.2])
    slow_at = judge_until(book, now, now + 10)
    assert slow_at[0] == now + LOOK_S
    assert slow_at[-1] <= now + SLOW_RETRY_DELAY_S


def test_a_worker_stays_slow_while_its_runs_are():
    book, now = play([1.0] * 23 + [0.2])
    for _ in range(40):
        now += LOOK_S
        book.record_progress("w23", ("t", 1), 1.0, 20.0, now)
        assert "w23" in book.find_slow(names(24), now)
