"""Shared code of the commands that call an entry instance over HTTP."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any

from lacewinghold.errors import ANSWERS, ErrorKind

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    import httpx

URL_VARIABLE = "LACEWINGHOLD_URL"
KEY_VARIABLE = "LACEWINGHOLD_KEY"
TIMEOUT_S = 30.0


def add_command(
    commands: Any, name: str, help_text: str, run: Callable[..., int]
) -> Any:
    """Adds a command with the common options.

    :param commands: The subparsers of the command line.
    :param run: Runs the command and returns the exit code.
    :returns: The parser of the command.
    """
    parser = commands.add_parser(name, help=help_text)
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
    attempts: int = 1,
) -> int:
    """Sends a request to the entry instance and prints the response.

    :param attempts: Maximum number of attempts while no response arrives; above 1
        only for idempotent requests.
    :returns: The exit code, for errors the one of its error kind.
    """
    import httpx

    from lacewinghold.cmd import fail

    if not options.url:
        return fail(f"no entry instance given; set --url or {URL_VARIABLE}", 2)
    request_headers = {"Authorization": f"Bearer {options.key}", **(headers or {})}
    error: httpx.HTTPError | None = None
    try:
        client = make_client(options)
    except OSError as read_error:
        return fail(f"{options.authority}: {read_error}", 2)
    with client:
        for _ in range(attempts):
            try:
                response = client.request(
                    method, path, content=content, headers=request_headers
                )
            except httpx.HTTPError as failure:
                error = failure
                continue
            return print_response(options, response)
    return fail(f"{options.url}: {error}", no_response_exit_code(error))


def make_client(options: argparse.Namespace) -> httpx.Client:
    """Returns an HTTP client for the entry instance.

    :raises OSError: If the file given by ``--authority`` cannot be read.
    """
    import ssl

    import httpx

    verify: ssl.SSLContext | bool = options.url.startswith("https:")
    if options.authority:
        verify = ssl.create_default_context(cafile=options.authority)
    return httpx.Client(
        base_url=options.url, timeout=TIMEOUT_S, trust_env=False, verify=verify
    )


def no_response_exit_code(error: httpx.HTTPError | None) -> int:
    """Returns the exit code for a request without a response.

    If the connection failed, the request did not run; otherwise its outcome is
    unknown.
    """
    import httpx

    if isinstance(error, httpx.ConnectError | httpx.ConnectTimeout):
        return ANSWERS[ErrorKind.UNREACHABLE].exit_code
    return ANSWERS[ErrorKind.OUTCOME_UNKNOWN].exit_code


def print_response(options: argparse.Namespace, response: httpx.Response) -> int:
    """Prints a response, or its error.

    :returns: The exit code.
    """
    from lacewinghold.cmd import fail

    try:
        body = response.json()
        kind = None
        if response.is_error:
            kind = ErrorKind(body["type"].rpartition(":")[2])
    except (ValueError, LookupError, TypeError):
        detail = f"status {response.status_code}, not from an entry instance"
        return fail(f"{options.url}: {detail}", ANSWERS[ErrorKind.INTERNAL].exit_code)
    if kind is not None:
        if options.json:
            print(json.dumps(body))
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
    """Prints JSON as a table with one row for each object of a list."""
    rows = body if isinstance(body, list) else [body]
    rows = [row if isinstance(row, dict) else {"value": row} for row in rows]
    if not rows:
        return
    names = list(rows[0])
    table = [names, *[[format_cell(row.get(name)) for name in names] for row in rows]]
    widths = [max(len(row[i]) for row in table) for i in range(len(names))]
    for row in table:
        line = "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=False)
        )
        sys.stdout.write(line.rstrip() + "\n")


def format_cell(value: Any) -> str:
    """Returns the text of a table cell."""
    if isinstance(value, str):
        return value
    return json.dumps(value)


def get_command(path: str) -> Callable[[argparse.Namespace], int]:
    """Returns a command that prints the resource at a path."""
    return lambda options: call(options, "GET", path)
