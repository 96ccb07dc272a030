"""Human-readable differences between two bodies of a section."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct

from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_DIFFERENCES = 100
MAX_VALUE_CHARS = 200
ABSENT = "(absent)"


class Difference(Struct, frozen=True):
    """A path at which two bodies differ.

    :param path: JSON path of the value.
    :param before: The old value as JSON, truncated to ``MAX_VALUE_CHARS``.
    :param after: The new value as JSON, truncated to ``MAX_VALUE_CHARS``.
    """

    path: str
    before: str
    after: str


def differences(before: Any, after: Any) -> list[Difference]:
    """Returns the first ``MAX_DIFFERENCES`` differences of two JSON values."""
    found: list[Difference] = []
    for difference in compare("$.body", before, after):
        found.append(difference)
        if len(found) == MAX_DIFFERENCES:
            break
    return found


def compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    """Yields the differences between two JSON values, recursively."""
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(before.keys() | after.keys()):
            old, new = member_or_missing(before, name), member_or_missing(after, name)
            yield from compare(f"{path}.{name}", old, new)
        return
    if isinstance(before, list) and isinstance(after, list):
        for index in range(max(len(before), len(after))):
            old = before[index] if index < len(before) else Missing()
            new = after[index] if index < len(after) else Missing()
            yield from compare(f"{path}[{index}]", old, new)
        return
    if before != after:
        yield Difference(path, format_value(before), format_value(after))


class Missing:
    """Placeholder for a value that exists on the other side only."""


def member_or_missing(values: dict[str, Any], name: str) -> Any:
    """Returns a member of an object, or ``Missing()``."""
    return values[name] if name in values else Missing()


def format_value(value: Any) -> str:
    """Returns a value as JSON, truncated to ``MAX_VALUE_CHARS``."""
    if isinstance(value, Missing):
        return ABSENT
    text = to_json(value).decode()
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return f"{text[:MAX_VALUE_CHARS]}... ({len(text)} characters)"


def format_differences(found: list[Difference]) -> str:
    """Formats differences as one line of text."""
    if not found:
        return "no difference in the body"
    return "; ".join(f"{item.path}: {item.before} -> {item.after}" for item in found)
