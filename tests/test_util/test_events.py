"""Log lines tell events of a closed list, and the list is documented."""

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
    """Yields each call that writes a log line, with its place."""
    for path in sorted(PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            if not isinstance(function, ast.Attribute) or function.attr not in METHODS:
                continue
            if ast.unparse(function.value).endswith("logger"):
                yield f"{path.name}:{node.lineno}", node.args[0]


def test_every_log_line_tells_an_event_of_the_list():
    used = set()
    for place, argument in logger_calls():
        text = ast.unparse(argument)
        assert text.startswith("Event."), f"{place}: {text}"
        used.add(Event[text.removeprefix("Event.")])
    # This one is written without a logger, when the logger's output stood still.
    assert used | {Event.LOG_LINES_DROPPED} == set(Event)


def test_the_table_of_events_is_whole():
    page = PAGE.read_text()
    table = page[page.index("| event |") : page.index("## Metrics")]
    named = []
    for row in table.splitlines()[2:]:
        if row:
            named += re.findall(r"`([^`]+)`", row.split("|")[1])
    assert sorted(named) == sorted(event.value for event in Event)
