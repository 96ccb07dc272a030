"""Callers' and operators' commands over the HTTP interface."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lacewinghold.errors import ANSWERS, ErrorKind

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    import httpx

URL_VARIABLE = "LACEWINGHOLD_URL"
KEY_VARIABLE = "LACEWINGHOLD_KEY"
TIMEOUT_S = 30.0


def add_parsers(commands: Any) -> None:
    """Adds the commands that talk to an entry instance."""
    submit = add(commands, "submit", "submit a job from a JSON file", run_submit)
    submit.add_argument("file", type=Path)
    submit.add_argument("--idempotency-key", default="")
    add(commands, "jobs", "list jobs", get("/v1/jobs"))
    job = add(commands, "job", "show a job", run_job)
    job.add_argument("job")
    cancel = add(commands, "cancel", "cancel a job", run_cancel)
    cancel.add_argument("job")
    add(commands, "workers", "list workers", get("/v1/workers"))
    add(commands, "audit", "show the audit trail", get("/v1/audit"))
    add(commands, "status", "show an entry instance's status", get("/status"))


def add(commands: Any, name: str, text: str, run: Callable[..., int]) -> Any:
    """Adds one command with the options that all of them share."""
    parser = commands.add_parser(name, help=text)
    parser.add_argument("--url", default=os.environ.get(URL_VARIABLE, ""))
    parser.add_argument("--key", default=os.environ.get(KEY_VARIABLE, ""))
    parser.add_argument("--authority", help="certificate file to trust")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)
    return parser


def call(
    options: argparse.Namespace,
    method: str,
    path: str,
    content: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> int:
    """Makes one call and prints its answer.

    :returns: The exit code from the table of errors.
    """
    import httpx

    from lacewinghold.cmd import fail

    if not options.url:
        return fail(f"name an entry instance with --url or {URL_VARIABLE}", 2)
    sent = {"Authorization": f"Bearer {options.key}", **(headers or {})}
    try:
        response = httpx.request(
            method,
            options.url + path,
            content=content,
            headers=sent,
            timeout=TIMEOUT_S,
            trust_env=False,
            verify=options.authority or True,
        )
    except httpx.HTTPError as error:
        unreachable = ANSWERS[ErrorKind.UNREACHABLE].exit_code
        return fail(f"{options.url}: {error}", unreachable)
    return show(options, response)


def show(options: argparse.Namespace, response: httpx.Response) -> int:
    """Prints an answer.

    :returns: The exit code.
    """
    from lacewinghold.cmd import fail

    body = response.json()
    if response.is_error:
        if options.json:
            print(json.dumps(body))
        kind = ErrorKind(body["type"].rpartition(":")[2])
        where = f"{body['field']}: " if body.get("field") else ""
        return fail(
            f"{body['title']}: {where}{body['detail']}", ANSWERS[kind].exit_code
        )
    if options.json:
        print(json.dumps(body))
    else:
        print_table(body)
    return 0


def print_table(body: Any) -> None:
    """Prints JSON as a table: a row for each object of a list."""
    rows = body if isinstance(body, list) else [body]
    rows = [row if isinstance(row, dict) else {"value": row} for row in rows]
    if not rows:
        return
    names = list(rows[0])
    table = [names, *[[cell(row.get(name)) for name in names] for row in rows]]
    widths = [max(len(row[i]) for row in table) for i in range(len(names))]
    for row in table:
        line = "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=False)
        )
        sys.stdout.write(line.rstrip() + "\n")


def cell(value: Any) -> str:
    """Returns one cell of a table."""
    if isinstance(value, str):
        return value
    return json.dumps(value)


def get(path: str) -> Callable[[argparse.Namespace], int]:
    """Returns a command that shows what is at a path."""
    return lambda options: call(options, "GET", path)


def run_submit(options: argparse.Namespace) -> int:
    """Runs ``submit``."""
    from lacewinghold.cmd import fail

    try:
        content = options.file.read_bytes()
    except OSError as error:
        return fail(f"{options.file}: {error.strerror}", 2)
    headers = {}
    if options.idempotency_key:
        headers["Idempotency-Key"] = options.idempotency_key
    return call(options, "POST", "/v1/jobs", content, headers)


def run_job(options: argparse.Namespace) -> int:
    """Runs ``job``."""
    return call(options, "GET", f"/v1/jobs/{options.job}")


def run_cancel(options: argparse.Namespace) -> int:
    """Runs ``cancel``."""
    return call(options, "POST", f"/v1/jobs/{options.job}/cancel")
