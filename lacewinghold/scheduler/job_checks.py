"""Checks of a submitted job beyond those of its schema."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from lacewinghold.schema.generated.cell import CellJob, StepSpec

MAX_TASKS = 10_000  # Per job, of all occurrences; an owner keeps them in memory.
NON_NEGATIVE_AMOUNTS = {
    "cpu_millis": "cpu",
    "memory_mb": "memory",
    "accelerators": "accelerators",
    "expected_ms": "expected time",
    "max_per_worker": "tasks per worker",
    "may_miss": "tasks that may be missing",
}


def invalid(field: str, detail: str) -> Err[Failure]:
    """Returns a failure that names the invalid field of the job."""
    return Err(Failure(ErrorKind.INVALID, f"{field}: {detail}", field))


def check_step(number: int, step: StepSpec) -> Result[None, Failure]:
    """Returns a failure that names the first invalid field of a step."""
    path = f"$.steps[{number}]"
    if step.tasks < 1:
        return invalid(f"{path}.count", f"found {step.tasks}, expected at least 1")
    for name, label in NON_NEGATIVE_AMOUNTS.items():
        amount = getattr(step, name)
        if amount < 0:
            field = "cpu" if name == "cpu_millis" else name
            return invalid(
                f"{path}.{field}", f"found {label} {amount}, expected at least 0"
            )
    for earlier in step.after:
        if not 0 <= earlier < number:
            detail = f"found {earlier}, expected an earlier step, below {number}"
            return invalid(f"{path}.after", detail)
    return Ok(None)


def check_job(record: CellJob) -> Result[None, Failure]:
    """Returns a failure that names the first invalid field of a job."""
    if not record.steps:
        return invalid("$.steps", "found none, expected at least one step")
    total = 0
    for number, step in enumerate(record.steps):
        checked = check_step(number, step)
        if isinstance(checked, Err):
            return checked
        total += step.tasks
    if total > MAX_TASKS:
        return invalid("$.steps", f"found {total} tasks, expected at most {MAX_TASKS}")
    if record.occurrences < 0 or record.interval_ms < 0:
        return invalid(
            "$.occurrences", "found a negative number of occurrences or interval"
        )
    if total * max(1, record.occurrences) > MAX_TASKS:
        detail = f"found {record.occurrences} times {total} tasks, at most {MAX_TASKS}"
        return invalid("$.occurrences", detail)
    return Ok(None)
