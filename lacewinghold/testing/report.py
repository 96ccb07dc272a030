"""The result of a session and its table."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct, field

from lacewinghold.invariants import checks, violations

if TYPE_CHECKING:
    from lacewinghold.ids import TaskId
    from lacewinghold.schema.generated.jobs import JobView
    from lacewinghold.testing.cell import Cell


class Event(Struct, frozen=True):
    """One step of a session.

    :param at_s: Seconds since the session began.
    """

    at_s: float
    text: str


class SessionReport(Struct):
    """Result of a session."""

    deployment: str
    seed: int
    events: list[Event] = field(default_factory=list)
    jobs: dict[str, dict[str, int]] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    refusals_repeated: int = 0
    tasks_started: int = 0
    waiting_p50_s: float = 0.0
    waiting_p99_s: float = 0.0
    packing: float = 0.0
    store_calls: dict[str, int] = field(default_factory=dict)
    bytes_between_regions: dict[str, int] = field(default_factory=dict)
    invariant_checks: int = 0
    violations: int = 0


def percentile(values: list[float], share: float) -> float:
    """Returns the smallest value that a share of all does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def waits(cell: Cell, views: list[JobView]) -> list[float]:
    """Returns the seconds that each started task waited."""
    accepted: dict[TaskId, float] = {}
    for view in views:
        for task in view.tasks:
            accepted[task.task] = view.accepted_at
    return [
        started - accepted[task]
        for task, started in cell.first_started.items()
        if task in accepted
    ]


def packing(cell: Cell) -> float | None:
    """Returns the share of cores in use on the workers that run anything."""
    used = capacity = 0.0
    for worker in cell.workers.values():
        if not worker.running:
            continue
        used += worker.used().cores
        capacity += worker.record.capacity.cores
    return used / capacity if capacity else None


def fill(report: SessionReport, cell: Cell, views: list[JobView]) -> None:
    """Fills in the cell's figures; check counts become differences to the start."""
    for view in views:
        states = report.jobs.setdefault(view.kind, {})
        states[view.state] = states.get(view.state, 0) + 1
    waited = waits(cell, views)
    report.tasks_started = sum(cell.starts.values())
    report.waiting_p50_s = round(percentile(waited, 0.5), 3)
    report.waiting_p99_s = round(percentile(waited, 0.99), 3)
    calls: Counter[str] = Counter()
    for store in cell.stores.values():
        calls.update({str(kind): count for kind, count in store.calls.items()})
    report.store_calls = dict(sorted(calls.items()))
    report.bytes_between_regions = {
        "peers": sum(cell.network.bytes_between_regions.values()),
        "store": cell.remote_store_bytes(),
    }
    report.invariant_checks = checks.total() - report.invariant_checks
    report.violations = violations.total() - report.violations


def rows(report: SessionReport) -> list[tuple[str, str]]:
    """Returns the report as rows of a table."""
    found = [("deployment", f"{report.deployment}, seed {report.seed}")]
    for kind, states in sorted(report.jobs.items()):
        for state, count in sorted(states.items()):
            found.append((f"{kind} jobs {state}", str(count)))
    for outcome, count in sorted(report.requests.items()):
        found.append((f"requests {outcome}", str(count)))
    found += [
        ("refusals repeated", str(report.refusals_repeated)),
        ("tasks started", str(report.tasks_started)),
        ("waiting p50", f"{report.waiting_p50_s:.3f} s"),
        ("waiting p99", f"{report.waiting_p99_s:.3f} s"),
        ("packing of workers in use", f"{report.packing:.0%} of cores"),
    ]
    for kind, count in report.store_calls.items():
        found.append((f"store calls, {kind}", str(count)))
    for link, size in report.bytes_between_regions.items():
        found.append((f"bytes between regions, {link}", str(size)))
    found += [
        ("invariant checks", str(report.invariant_checks)),
        ("violations", str(report.violations)),
    ]
    return found
