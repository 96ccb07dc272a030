"""Merges log lines of several processes in causal order despite clock skew."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from lacewinghold.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.cmd.explain import Line

# Name of the cause ("epoch", "term" or "run") and its identifiers.
Cause = tuple[str, ...]


def produced_causes(line: Line) -> list[Cause]:
    """Returns the causes that a line provides for later lines of any process."""
    fields = line.fields
    found: list[Cause] = []
    if line.event == Event.OWNERSHIP_TAKEN:
        for name in ("epoch", "term"):
            if name in fields:
                found.append((name, str(fields[name])))
    if line.event == Event.TASK_PLACED:
        found.append(("run", str(fields.get("task")), str(fields.get("run"))))
    return found


def required_causes(line: Line) -> list[Cause]:
    """Returns the causes that must precede a line, if they are in the logs."""
    fields = line.fields
    if line.event == Event.OWNERSHIP_TAKEN:
        term = fields.get("term")
        return [("term", str(term - 1))] if isinstance(term, int) else []
    found: list[Cause] = []
    if "epoch" in fields:
        found.append(("epoch", str(fields["epoch"])))
    if "run" in fields and line.event != Event.TASK_PLACED:
        found.append(("run", str(fields.get("task")), str(fields["run"])))
    return found


def merge(lines: Iterable[Line]) -> list[Line]:
    """Returns the lines in an order that is consistent with causality.

    Lines of one process keep their order. Lines of different processes are ordered
    by timestamp, except that no line precedes one that caused it.
    """
    waiting: dict[str, deque[Line]] = {}
    pending_causes: Counter[Cause] = Counter()
    for line in lines:
        waiting.setdefault(line.instance, deque()).append(line)
        pending_causes.update(produced_causes(line))
    merged = []
    while waiting:
        heads = [queue[0] for queue in waiting.values()]
        unblocked = [
            line
            for line in heads
            if not any(pending_causes[cause] for cause in required_causes(line))
        ]
        # In a cycle of causes, the line with the earliest timestamp comes first.
        line = min(unblocked or heads, key=lambda line: line.timestamp)
        merged.append(line)
        pending_causes.subtract(produced_causes(line))
        queue = waiting[line.instance]
        queue.popleft()
        if not queue:
            del waiting[line.instance]
    return merged
