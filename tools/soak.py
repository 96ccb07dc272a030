"""Runs the real coordination code under random faults and checks its history.

Usage: ``python -m tools.soak --seed N [--steps N] [--minutes N]``. The run is divided
into episodes and ends with the one in which the time is over. Each has a new cell and
its own seed, so it can be repeated alone.
"""

from __future__ import annotations

import argparse
import logging
import sys
import time

import structlog

from lacewinghold.invariants import violations
from lacewinghold.testing.chaos import run_script
from lacewinghold.testing.chaos_script import CALLS, ChaosRun, draw_script
from lacewinghold.testing.clock import run_paused

STEPS = 200_000
MINUTES = 2.0
EPISODE_STEPS = 1_000
SEED_STRIDE = 1_000_000
SECONDS_PER_MINUTE = 60


def run_episode(seed: int, steps: int) -> ChaosRun:
    """Runs one episode; an unhandled exception counts as a violation."""
    try:
        return run_paused(run_script, seed, draw_script(seed, steps), seed=seed)
    except BaseExceptionGroup as group:
        return ChaosRun(violations=[f"crash: {leaf!r}" for leaf in leaves(group)])


def leaves(error: BaseException) -> list[BaseException]:
    """Returns all errors in nested exception groups that are not groups."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for inner in error.exceptions for leaf in leaves(inner)]


def report(total: ChaosRun, elapsed_s: float) -> None:
    """Prints the totals of a run.

    :param elapsed_s: Real time of the run.
    """
    faults = {a: n for a, n in total.actions.items() if a not in CALLS}
    print(f"steps {total.steps}  faults {sum(faults.values())}")
    for action, count in sorted(total.actions.items()):
        print(f"  {action:<30} {count}")
    print(f"starts {total.starts}  recoveries {total.recoveries}")
    print(f"simulated {total.simulated_s:.0f} s in {elapsed_s:.0f} s")
    inside = sum(violations.values())
    print(f"violations outside {len(total.violations)}  inside {inside}")


def main() -> int:
    """Runs episodes until the limit of steps or minutes is reached."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    parser.add_argument("--minutes", type=float, default=MINUTES)
    parser.add_argument("--episode", type=int, help="run only this episode")
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.DEBUG if options.episode is not None else logging.CRITICAL
        )
    )
    started = time.monotonic()
    total = ChaosRun()
    first = 0 if options.episode is None else options.episode
    for episode in range(first, first + -(-options.steps // EPISODE_STEPS)):
        seed = options.seed * SEED_STRIDE + episode
        steps = min(EPISODE_STEPS, options.steps)
        found = run_episode(seed, steps)
        for violation in found.violations:
            print(f"seed {options.seed} episode {episode}: {violation}", flush=True)
        total.add(found)
        elapsed_s = time.monotonic() - started
        print(
            f"{elapsed_s:.0f} s: episode {episode} of seed {options.seed} is played",
            flush=True,
        )
        if options.episode is not None:
            break
        if elapsed_s > options.minutes * SECONDS_PER_MINUTE:
            break
    report(total, time.monotonic() - started)
    return 1 if total.violations or violations else 0


if __name__ == "__main__":
    sys.exit(main())
