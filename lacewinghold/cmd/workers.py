"""The commands ``workers``, ``drain`` and ``undrain``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from lacewinghold.cmd.client import add_command, call, get_command

if TYPE_CHECKING:
    import argparse

ATTEMPTS = 3


def add_parsers(commands: Any) -> None:
    """Adds ``workers``, ``drain`` and ``undrain`` to the parser."""
    add_command(commands, "workers", "list workers", get_command("/v1/workers"))
    drain = add_command(
        commands, "drain", "stop placing new tasks on a worker", run_drain
    )
    drain.add_argument("worker")
    drain.add_argument("--comment", default="")
    undrain = add_command(
        commands, "undrain", "place tasks on a worker again", run_undrain
    )
    undrain.add_argument("worker")
    undrain.add_argument("--comment", default="")


def drain_path(options: argparse.Namespace) -> str:
    """Returns the URL path and query of a worker's drain."""
    worker = quote(options.worker, safe="")
    return f"/v1/workers/{worker}/drain?comment={quote(options.comment)}"


def run_drain(options: argparse.Namespace) -> int:
    """Runs ``drain``."""
    return call(options, "PUT", drain_path(options), attempts=ATTEMPTS)


def run_undrain(options: argparse.Namespace) -> int:
    """Runs ``undrain``."""
    return call(options, "DELETE", drain_path(options), attempts=ATTEMPTS)
