"""Runs a complete cell in one process on in-memory stand-ins."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from result import Err

if TYPE_CHECKING:
    import argparse

    from lacewinghold.testing.report import Event

DEPLOYMENTS = ("terrasvuur", "tanjung-kompas")
VIOLATION_EXIT_CODE = 10


def add_parsers(commands: Any) -> None:
    """Adds ``demo`` to the parser."""
    parser = commands.add_parser("demo", help="run a complete cell in one process")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default=DEPLOYMENTS[0])
    parser.add_argument(
        "--examples", type=Path, help="folder with the example deployments"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs ``demo``."""
    from lacewinghold.cmd import fail
    from lacewinghold.errors import FailureError, InvariantViolation
    from lacewinghold.testing.deployment import EXAMPLES, load_deployment
    from lacewinghold.testing.report import rows
    from lacewinghold.util.codec import to_json
    from lacewinghold.util.logging import configure_logging
    from lacewinghold.util.runtime import load_trio

    load_trio()
    from lacewinghold.testing.clock import run_paused
    from lacewinghold.testing.session import play_session

    configure_logging("error")
    folder = (options.examples or EXAMPLES) / options.deployment
    loaded = load_deployment(folder)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        return fail(f"{failure.field} {failure.detail}", failure.answer.exit_code)
    try:
        report = run_paused(
            play_session, loaded.ok_value, options.seed, print_event, seed=options.seed
        )
    except ExceptionGroup as group:
        failures = group.subgroup((FailureError, InvariantViolation, TimeoutError))
        if failures is None:
            raise
        return fail(
            f"the session failed: {first_leaf(failures)!r}", VIOLATION_EXIT_CODE
        )
    if options.json:
        print(to_json(report).decode())
    else:
        for name, value in rows(report):
            print(f"{name:<32}{value}")
    return VIOLATION_EXIT_CODE if report.violations else 0


def print_event(event: Event) -> None:
    """Prints a session event to standard error as soon as it occurs."""
    print(f"{event.at_s:7.1f} s  {event.text}", file=sys.stderr, flush=True)


def first_leaf(error: BaseException) -> BaseException:
    """Returns the first error in an exception group that is not itself a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
