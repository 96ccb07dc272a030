"""Checks settings files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.settings import Settings
from lacewinghold.util.codec import parse_json

if TYPE_CHECKING:
    import argparse

T = TypeVar("T")


def add_parsers(commands: Any) -> None:
    """Adds ``settings check``."""
    parser = commands.add_parser("settings", help="check a settings file")
    parser.add_argument("action", choices=["check"])
    parser.add_argument("file", type=Path)
    parser.set_defaults(run=run)


def load(path: Path, kind: type[T]) -> Result[T, Failure]:
    """Reads and checks a settings file.

    :returns: The settings, or a failure that names the field, what was found
        and what is allowed.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(Failure(ErrorKind.INVALID, f"{path}: {error.strerror}"))
    return parse_json(data, kind)


def check(settings: Settings) -> Result[Settings, Failure]:
    """Checks what the schema of the settings cannot say."""
    if settings.tls is None and not settings.plaintext:
        detail = "found none; name the certificate files, or set plaintext to true"
        return Err(Failure(ErrorKind.INVALID, detail, "$.tls"))
    if settings.lease.renew_s + settings.lease.margin_s >= settings.lease.ttl_s:
        detail = "renew_s and margin_s together must be below ttl_s"
        return Err(Failure(ErrorKind.INVALID, detail, "$.lease"))
    return Ok(settings)


def load_checked(path: Path) -> Result[Settings, Failure]:
    """Reads and checks the settings of an entry instance."""
    loaded = load(path, Settings)
    if isinstance(loaded, Err):
        return loaded
    return check(loaded.ok_value)


def describe(path: Path, failure: Failure) -> str:
    """Returns a failure as a line for people."""
    return f"{path}: {failure.field or '$'}: {failure.detail}"


def run(options: argparse.Namespace) -> int:
    """Runs ``settings check``."""
    from lacewinghold.cmd import fail

    loaded = load_checked(options.file)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        return fail(describe(options.file, failure), failure.answer.exit_code)
    print(f"{options.file}: the settings are valid")
    return 0
