"""Command-line interface, with one module for each group of commands."""

from __future__ import annotations

import argparse
import os
import sys
from typing import TYPE_CHECKING

from lacewinghold import __version__

if TYPE_CHECKING:
    from collections.abc import Sequence


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser with all commands."""
    from lacewinghold.cmd import (
        audit,
        demo,
        document,
        explain,
        explain_placement,
        jobs,
        serve,
        settings,
        stand_in,
        workers,
    )

    parser = argparse.ArgumentParser(
        prog="lacewinghold", description="A cluster scheduler for mixed workloads."
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    modules = (serve, stand_in, demo, settings, jobs, workers, audit, document)
    for module in (*modules, explain, explain_placement):
        module.add_parsers(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Parses the command line and runs the selected command.

    :returns: The exit code.
    """
    options = build_parser().parse_args(arguments)
    try:
        code: int = options.run(options)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe. Standard output is redirected to the null
        # device so that the flush at interpreter exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    return code


def fail(message: str, code: int) -> int:
    """Prints an error message to standard error.

    :param code: The exit code of the command.
    :returns: ``code``.
    """
    print(f"lacewinghold: {message}", file=sys.stderr)
    return code
