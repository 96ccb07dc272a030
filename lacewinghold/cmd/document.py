"""The ``document`` commands: get, edit, diff, history, revert, status."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lacewinghold.cmd.client import add_command, call

if TYPE_CHECKING:
    import argparse

PATH = "/v1/document"


def add_parsers(commands: Any) -> None:
    """Adds the ``document`` commands to the parser."""
    document = commands.add_parser("document", help="the operators' document")
    actions = document.add_subparsers(dest="action", required=True)
    get = add_command(actions, "get", "show all sections, or one", run_get)
    get.add_argument("section", nargs="?", default="")
    edit = add_command(actions, "edit", "replace a section from a JSON file", run_edit)
    edit.add_argument("section")
    edit.add_argument("file", type=Path, help="kind, body and comment as JSON")
    add_change_options(edit)
    diff = add_command(
        actions, "diff", "show the differences between two revisions", run_diff
    )
    diff.add_argument("section")
    diff.add_argument("first", type=int)
    diff.add_argument("second", type=int)
    history = add_command(actions, "history", "list the latest changes", run_history)
    history.add_argument("section")
    history.add_argument("--show", type=int, help="show the body of a revision")
    status = add_command(
        actions, "status", "show which instances apply a change", run_status
    )
    status.add_argument("section")
    status.add_argument(
        "--revision", type=int, help="revision of the change; default: the latest"
    )
    revert = add_command(
        actions, "revert", "restore the body of an earlier revision", run_revert
    )
    revert.add_argument("section")
    revert.add_argument("to", type=int, help="the revision to restore")
    revert.add_argument("--comment", default="")
    add_change_options(revert)


def add_change_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options common to all changes of a section."""
    parser.add_argument(
        "--revision",
        type=int,
        required=True,
        help="current revision, on which the change is based",
    )
    parser.add_argument("--dry-run", action="store_true")
    parser.add_argument(
        "--idempotency-key", help="key of the change; a repeat has no further effect"
    )


def change_headers(options: argparse.Namespace) -> dict[str, str]:
    """Returns the request headers of a change."""
    return {
        "If-Match": f'"{options.revision}"',
        "Idempotency-Key": options.idempotency_key or secrets.token_hex(16),
    }


def dry_run_query(options: argparse.Namespace) -> str:
    """Returns the query string of a change."""
    return "?dry_run=true" if options.dry_run else ""


def run_get(options: argparse.Namespace) -> int:
    """Runs ``document get``."""
    section = f"/{options.section}" if options.section else ""
    return call(options, "GET", PATH + section)


def run_edit(options: argparse.Namespace) -> int:
    """Runs ``document edit``."""
    from lacewinghold.cmd import fail

    try:
        content = options.file.read_bytes()
    except OSError as error:
        return fail(f"{options.file}: {error.strerror}", 2)
    path = f"{PATH}/{options.section}{dry_run_query(options)}"
    return call(options, "PUT", path, content, change_headers(options))


def run_revert(options: argparse.Namespace) -> int:
    """Runs ``document revert``."""
    body = {"revision": options.to, "comment": options.comment}
    path = f"{PATH}/{options.section}/revert{dry_run_query(options)}"
    content = json.dumps(body).encode()
    return call(options, "POST", path, content, change_headers(options))


def run_diff(options: argparse.Namespace) -> int:
    """Runs ``document diff``."""
    query = f"from={options.first}&to={options.second}"
    return call(options, "GET", f"{PATH}/{options.section}/diff?{query}")


def run_history(options: argparse.Namespace) -> int:
    """Runs ``document history``."""
    query = "" if options.show is None else f"?revision={options.show}"
    return call(options, "GET", f"{PATH}/{options.section}/history{query}")


def run_status(options: argparse.Namespace) -> int:
    """Runs ``document status``."""
    query = "" if options.revision is None else f"?revision={options.revision}"
    return call(options, "GET", f"{PATH}/{options.section}/status{query}")
