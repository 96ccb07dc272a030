"""Loads and validates settings files."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.settings import Settings
from lacewinghold.util.codec import parse_json

if TYPE_CHECKING:
    import argparse

T = TypeVar("T")
MAX_PORT = 65535
MAX_SHOWN_CHARS = 100
PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+)\]")


def add_parsers(commands: Any) -> None:
    """Adds ``settings check`` to the parser."""
    parser = commands.add_parser("settings", help="check a settings file")
    parser.add_argument("action", choices=["check"])
    parser.add_argument("file", type=Path)
    parser.set_defaults(run=run)


def load(path: Path, kind: type[T]) -> Result[T, Failure]:
    """Reads a settings file and validates it against its schema.

    :returns: The settings, or a failure with the field, its value and the allowed
        values.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(Failure(ErrorKind.INVALID, f"{path}: {error.strerror}"))
    parsed = parse_json(data, kind)
    if isinstance(parsed, Ok):
        return parsed
    failure = parsed.err_value
    found = find_value(data, failure.field)
    if found is None:
        return parsed
    detail = f"found {found}; {failure.detail}"
    return Err(Failure(failure.kind, detail, failure.field))


def find_value(data: bytes, path: str) -> str | None:
    """Returns the scalar at a JSON path, truncated, or ``None`` if there is none."""
    try:
        node: Any = msgspec.json.decode(data)
        for name, index in PATH_STEP.findall(path):
            node = node[name] if name else node[int(index)]
    except (msgspec.DecodeError, LookupError, TypeError, RecursionError):
        return None
    if isinstance(node, dict | list):
        return None
    return msgspec.json.encode(node).decode()[:MAX_SHOWN_CHARS]


def invalid(field: str, detail: str) -> Err[Failure]:
    """Returns a failure that names a field of the settings."""
    return Err(Failure(ErrorKind.INVALID, detail, field))


def check_address(field: str, address: str) -> Result[None, Failure]:
    """Checks that an address is an IPv4 address with a valid port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        return invalid(field, f"found {address!r}; {error}")
    if not 0 < int(port) <= MAX_PORT:
        return invalid(field, f"found port {port}; allowed are 1 to {MAX_PORT}")
    return Ok(None)


def check_listen(settings: Settings) -> Result[None, Failure]:
    """Checks that the listen addresses are valid and differ."""
    listen = settings.listen
    for field, address in (("http", listen.http), ("peer", listen.peer)):
        checked = check_address(f"$.listen.{field}", address)
        if isinstance(checked, Err):
            return checked
    if listen.http == listen.peer:
        return invalid("$.listen.peer", f"found {listen.peer}, as in $.listen.http")
    return Ok(None)


def check_tls(settings: Settings) -> Result[None, Failure]:
    """Checks that either TLS or plaintext is configured, and not both."""
    from lacewinghold.util.tls import check_files

    if settings.tls is None and not settings.plaintext:
        detail = "found none; name the certificate files, or set plaintext to true"
        return invalid("$.tls", detail)
    if settings.tls is not None and settings.plaintext:
        return invalid("$.plaintext", "found true beside $.tls; keep one of them")
    return Ok(None) if settings.tls is None else check_files(settings.tls)


def check_times(settings: Settings) -> Result[None, Failure]:
    """Checks the constraints between lease and timeout durations."""
    lease = settings.lease
    if lease.renew_s + lease.margin_s >= lease.ttl_s:
        found = f"{lease.renew_s:g} and {lease.margin_s:g}"
        detail = f"found renew_s and margin_s {found}; together below {lease.ttl_s:g}"
        return invalid("$.lease", detail)
    if settings.store.timeout_s >= lease.ttl_s:
        detail = (
            f"found {settings.store.timeout_s:g}; below lease.ttl_s {lease.ttl_s:g}"
        )
        return invalid("$.store.timeout_s", detail)
    return Ok(None)


def check(settings: Settings) -> Result[Settings, Failure]:
    """Checks constraints that the JSON schema cannot express."""
    statsd = settings.statsd
    if statsd is not None:
        checked = check_address("$.statsd.host", f"{statsd.host}:{statsd.port}")
        if isinstance(checked, Err):
            return Err(checked.err_value)
    endpoints = settings.store.endpoints
    if len(set(endpoints)) < len(endpoints):
        return invalid("$.store.endpoints", "found the same endpoint twice")
    for rule in (check_listen, check_tls, check_times):
        checked = rule(settings)
        if isinstance(checked, Err):
            return Err(checked.err_value)
    return Ok(settings)


def load_checked(path: Path) -> Result[Settings, Failure]:
    """Reads and fully validates the settings of an entry instance."""
    loaded = load(path, Settings)
    if isinstance(loaded, Err):
        return loaded
    return check(loaded.ok_value)


def describe(path: Path, failure: Failure) -> str:
    """Returns a failure as a readable line."""
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
