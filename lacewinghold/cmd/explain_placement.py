"""Asks the owner of the cell where a job would be placed now, and why."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lacewinghold.cmd import client
from lacewinghold.errors import ANSWERS, ErrorKind

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

    import httpx

EXPLAIN_PATH = "/explain"
USAGE_EXIT_CODE = 2
EXIT_CODES = {
    400: ANSWERS[ErrorKind.INVALID].exit_code,
    404: ANSWERS[ErrorKind.NOT_FOUND].exit_code,
    409: ANSWERS[ErrorKind.CONFLICT].exit_code,
    410: ANSWERS[ErrorKind.NOT_FOUND].exit_code,
}


def add_parsers(commands: Any) -> None:
    """Adds ``explain-placement`` to the parser."""
    parser = client.add_command(
        commands,
        "explain-placement",
        "show where a job would be placed now; --url is the owner's metrics address",
        run,
    )
    parser.add_argument("file", nargs="?", type=Path, help="the job as submitted")
    parser.add_argument("--host", help="host to which it would be submitted")
    parser.add_argument("--path", help="path to which it would be submitted")
    parser.add_argument("--organisation", default="", help="organisation of its caller")
    parser.add_argument("--job", help="id of an open job, in place of a file")


def run(options: argparse.Namespace) -> int:
    """Runs ``explain-placement``."""
    import httpx

    from lacewinghold.cmd import fail

    if not options.url:
        return fail(
            f"no metrics address given; set --url or {client.URL_VARIABLE}",
            USAGE_EXIT_CODE,
        )
    if bool(options.job) is bool(options.file):
        return fail("give either a file or --job", USAGE_EXIT_CODE)
    if options.file and not (options.host and options.path):
        return fail("a file needs --host and --path", USAGE_EXIT_CODE)
    try:
        content = options.file.read_bytes() if options.file else None
        connection = client.make_client(options)
    except OSError as error:
        return fail(str(error), USAGE_EXIT_CODE)
    try:
        with connection:
            response = request(connection, options, content)
    except httpx.HTTPError as error:
        code = ANSWERS[ErrorKind.UNREACHABLE].exit_code
        return fail(f"{options.url}: {error}", code)
    try:
        body = response.json()
    except ValueError:
        detail = f"status {response.status_code}, not from an entry instance"
        return fail(f"{options.url}: {detail}", ANSWERS[ErrorKind.INTERNAL].exit_code)
    if response.is_error:
        default = ANSWERS[ErrorKind.NOT_RUN].exit_code
        code = EXIT_CODES.get(response.status_code, default)
        return fail(str(body.get("error", response.status_code)), code)
    print(json.dumps(body) if options.json else "\n".join(describe(body)))
    return 0


def request(
    connection: httpx.Client, options: argparse.Namespace, content: bytes | None
) -> httpx.Response:
    """Sends the question.

    :param content: The job as callers submit it, ``None`` to ask for an open job.
    """
    if content is None:
        return connection.get(EXPLAIN_PATH, params={"job": options.job})
    target = {
        "host": options.host,
        "path": options.path,
        "organisation": options.organisation,
    }
    return connection.post(EXPLAIN_PATH, params=target, content=content)


def describe(body: dict[str, Any]) -> Iterator[str]:
    """Yields the lines of an explanation."""
    yield f"job {body.get('job')} of queue {body.get('queue')}"
    if body.get("refused"):
        yield f"refused: {body['refused']} (retry after {body['retry_after_s']} s)"
    if not body.get("recovered", True):
        yield "the owner does not know all runs of earlier owners yet"
    if body.get("organisation"):
        yield f"organisation {body['organisation']}: cap {amounts(body['cap'])}"
        yield f"  running: {amounts(body['used'])}"
        if any(body["assumed"].values()):
            yield f"  may run by earlier owners: {amounts(body['assumed'])}"
    steps = body.get("steps", [])
    for step in steps:
        yield from describe_step(step)
    if len(steps) < body.get("step_count", 0):
        yield f"{body['step_count'] - len(steps)} more steps are done or not shown"


def amounts(found: dict[str, int] | None) -> str:
    """Returns an amount of resources as readable text."""
    if found is None:
        return "none"
    return ", ".join(f"{name} {amount}" for name, amount in found.items())


def describe_step(step: dict[str, Any]) -> Iterator[str]:
    """Yields the lines of one step."""
    together = " all at once" if step["all_at_once"] else ""
    needs = {name: step[name] for name in ("cpu_millis", "memory_mb", "accelerators")}
    yield f"step {step['step']}: {step['state']}"
    yield f"  {step['tasks']} tasks{together}, each {amounts(needs)}"
    yield f"  urgency {step['urgency']}, {step['standing']}"
    if step["position"]:
        yield f"  position {step['position']} of {step['waiting_steps']} waiting steps"
    if step["below_cap"] is not None:
        yield f"  the cap allows {step['below_cap']} tasks in its turn"
    for worker, count in step["starts"].items():
        yield f"  chosen: {worker}, {count} tasks"
    if step["reserved"]:
        yield f"  reserved: {', '.join(step['reserved'])}"
    named = [f"{found['worker']} ({found['tasks']})" for found in step["candidates"]]
    listed = f": {', '.join(named)}" if named else ""
    yield f"  {step['candidate_count']} candidates{listed}"
    for reason, count in sorted(step["reasons"].items(), key=lambda item: -item[1]):
        yield f"  {count} not: {reason} ({', '.join(step['examples'][reason])})"
