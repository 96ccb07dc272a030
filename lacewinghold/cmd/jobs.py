"""The commands ``submit``, ``jobs``, ``job`` and ``cancel``."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from lacewinghold.cmd.client import add_command, call, get_command

if TYPE_CHECKING:
    import argparse

SUBMIT_ATTEMPTS = 3


def add_parsers(commands: Any) -> None:
    """Adds ``submit``, ``jobs``, ``job`` and ``cancel`` to the parser."""
    submit = add_command(
        commands, "submit", "submit a job from a JSON file", run_submit
    )
    submit.add_argument("file", type=Path)
    submit.add_argument(
        "--idempotency-key", help="key of the submission; a repeat returns the same job"
    )
    add_command(commands, "jobs", "list jobs", get_command("/v1/jobs"))
    job = add_command(commands, "job", "show a job", run_job)
    job.add_argument("job")
    cancel = add_command(commands, "cancel", "cancel a job", run_cancel)
    cancel.add_argument("job")


def run_submit(options: argparse.Namespace) -> int:
    """Runs ``submit``; retries under the same key if no response arrives."""
    from lacewinghold.cmd import fail

    try:
        content = options.file.read_bytes()
    except OSError as error:
        return fail(f"{options.file}: {error.strerror}", 2)
    key = options.idempotency_key or secrets.token_hex(16)
    headers = {"Idempotency-Key": key}
    return call(options, "POST", "/v1/jobs", content, headers, SUBMIT_ATTEMPTS)


def run_job(options: argparse.Namespace) -> int:
    """Runs ``job``."""
    return call(options, "GET", f"/v1/jobs/{quote(options.job)}")


def run_cancel(options: argparse.Namespace) -> int:
    """Runs ``cancel``."""
    return call(options, "POST", f"/v1/jobs/{quote(options.job)}/cancel")
