"""Log lines use only members of ``Event``, and all members are documented."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import lacewinghold
from lacewinghold.events import Event

PACKAGE = Path(lacewinghold.__file__).parent
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
METHODS = {"debug", "info", "warning", "error", "exception", "critical"}


def logger_calls():
    """Yields the location and first argument of each logger call."""
    for path in sorted(PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            if not isinstance(function, ast.Attribute) or function.attr not in METHODS:
                continue
            if ast.unparse(function.value).endswith("logger"):
                yield f"{path.name}:{node.lineno}", node.args[0]


def test_every_log_line_uses_an_event():
    used = set()
    for place, argument in logger_calls():
        text = ast.unparse(argument)
        assert text.startswith("Event."), f"{place}: {text}"
        used.add(Event[text.removeprefix("Event.")])
    # LOG_LINES_DROPPED is written without a logger, after its output has stalled.
    assert used | {Event.LOG_LINES_DROPPED} == set(Event)


def test_table_of_events_is_complete():
    page = PAGE.read_text()
    table = page[page.index("| event |") : page.index("## Metrics")]
    named = []
    for row in table.splitlines()[2:]:
        if row:
            named += re.findall(r"`([^`]+)`", row.split("|")[1])
    assert sorted(named) == sorted(event.value for event in Event)
