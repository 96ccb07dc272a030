"""Reconstructs the timeline of one job from the logs of several processes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from lacewinghold.cmd.causal_order import merge
from lacewinghold.events import Event

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable, Iterator

JOB_FIELDS = ("job", "task", "step")
# Cell-wide events that can explain what happened to a job.
CELL_EVENTS = frozenset(
    {
        Event.STARTED,
        Event.STOPPING,
        Event.OWNERSHIP_TAKEN,
        Event.OWNERSHIP_GIVEN_UP,
        Event.OWNERSHIP_LAPSED,
        Event.CELL_RECOVERED,
        Event.MANIFEST_IN_FORCE,
        Event.STORE_DOES_NOT_SERVE,
        Event.STORE_SERVES_AGAIN,
        Event.FENCED,
        Event.SUPERSEDED,
        Event.LOG_STALLED,
        Event.LOG_GOES_ON,
        Event.LOG_LINES_DROPPED,
    }
)
WORKER_EVENTS = frozenset(
    {
        Event.WORKER_SILENT,
        Event.WORKER_GONE,
        Event.WORKER_CRASHED,
        Event.WORKER_QUARANTINED,
        Event.WORKER_PACE,
        Event.WORKER_UNLISTED,
    }
)
HEADER_FIELDS = ("event", "instance", "level", "timestamp")
NOT_FOUND_EXIT_CODE = 4


class Line(Struct, frozen=True):
    """One log line."""

    timestamp: str
    instance: str
    event: str
    fields: dict[str, Any]


class JobTimeline(Struct):
    """Log lines that explain one job, in causal order.

    :param missing: Descriptions of the lines that the logs should have but lack.
    """

    job: str
    lines: list[Line]
    missing: list[str]


def add_parsers(commands: Any) -> None:
    """Adds ``explain`` to the parser."""
    parser = commands.add_parser("explain", help="show a job's timeline from logs")
    parser.add_argument("job", help="id of the job")
    parser.add_argument(
        "files", nargs="+", type=Path, help="log files; - for standard input"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the parsed log lines, ignoring any prefix before the JSON object."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        yield Line(
            str(fields.get("timestamp", "")),
            str(fields.get("instance", "?")),
            str(fields["event"]),
            {
                name: value
                for name, value in fields.items()
                if name not in HEADER_FIELDS
            },
        )


def is_about(line: Line, job: str) -> bool:
    """Returns whether a line is about a job."""
    for name in JOB_FIELDS:
        value = str(line.fields.get(name, ""))
        if value == job or value.startswith(job + "."):
            return True
    return False


def build_timeline(job: str, lines: Iterable[Line]) -> JobTimeline:
    """Returns the timeline of a job.

    It has all lines about the job. Between the first and the last of them it also
    has the events of the cell and of the job's workers. It also has the lines that
    acknowledge the ends of the job's runs to the workers.
    """
    all_lines = list(lines)
    job_lines = [line for line in all_lines if is_about(line, job)]
    if not job_lines:
        return JobTimeline(job, [], ["no line names the job"])
    timestamps = [line.timestamp for line in job_lines]
    first, last = min(timestamps), max(timestamps)
    workers = {line.fields["worker"] for line in job_lines if "worker" in line.fields}
    selected = []
    unacknowledged: dict[str, int] = {}
    for line in all_lines:
        if is_about(line, job):
            selected.append(line)
            if line.event == Event.RUN_ENDED:
                record_end(line, unacknowledged)
            continue
        if line.event == Event.ENDS_ACKNOWLEDGED:
            if match_acknowledgement(line, unacknowledged):
                selected.append(line)
            continue
        if not first <= line.timestamp <= last:
            continue
        worker_involved = line.fields.get("worker") in workers
        if line.event in CELL_EVENTS or (
            worker_involved and line.event in WORKER_EVENTS
        ):
            selected.append(line)
    return JobTimeline(job, merge(selected), find_missing(job_lines, selected))


def record_end(line: Line, unacknowledged: dict[str, int]) -> None:
    """Records the number of a run's end.

    The worker keeps reporting the end until the owner acknowledges that number.
    """
    worker = str(line.fields.get("worker"))
    number = int(line.fields.get("number", 0))
    unacknowledged[worker] = max(number, unacknowledged.get(worker, 0))


def match_acknowledgement(line: Line, unacknowledged: dict[str, int]) -> bool:
    """Returns whether a line acknowledges the recorded ends of the job on a worker.

    If so, the worker is removed from ``unacknowledged``.
    """
    worker = str(line.fields.get("worker"))
    number = unacknowledged.get(worker)
    if number is None or int(line.fields.get("number", 0)) < number:
        return False
    del unacknowledged[worker]
    return True


def find_missing(job_lines: list[Line], selected: list[Line]) -> list[str]:
    """Returns descriptions of the lines that are missing from a timeline."""
    events = {line.event for line in job_lines}
    missing = []
    if not events & {Event.JOB_ACCEPTED, Event.JOB_NOT_ACCEPTED}:
        missing.append("the submission: the log of the instance that was asked")
    if Event.JOB_ACCEPTED in events and Event.JOB_TAKEN not in events:
        missing.append("the owner's side: the log of the owner at that time")
    if Event.JOB_TAKEN in events and Event.JOB_ENDED not in events:
        missing.append("the end: it had not come when the logs end")
    for line in selected:
        if "suppressed" in line.fields or line.event == Event.LOG_LINES_DROPPED:
            missing.append(f"lines: '{line.event}' says that some were left out")
            break
    return missing


def describe(line: Line) -> str:
    """Returns a log line as readable text."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.timestamp}  {line.instance:<22} {line.event:<20} {fields}"


def run(options: argparse.Namespace) -> int:
    """Runs ``explain``."""
    from lacewinghold.cmd import fail

    lines: list[Line] = []
    for path in options.files:
        try:
            texts = sys.stdin if str(path) == "-" else path.read_text().splitlines()
        except OSError as error:
            return fail(f"{path}: {error.strerror}", 2)
        lines += read_lines(texts)
    timeline = build_timeline(options.job, lines)
    if options.json:
        shown = [
            {
                "timestamp": line.timestamp,
                "instance": line.instance,
                "event": line.event,
                **line.fields,
            }
            for line in timeline.lines
        ]
        print(
            json.dumps(
                {"job": timeline.job, "lines": shown, "missing": timeline.missing}
            )
        )
    else:
        for line in timeline.lines:
            print(describe(line))
        for text in timeline.missing:
            print(f"missing: {text}")
    return 0 if timeline.lines else NOT_FOUND_EXIT_CODE
