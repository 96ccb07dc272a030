"""What the runs of an ending job may still use of its organisation's cap."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lacewinghold.organisations.caps import task_demand
from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Job


def remaining_usage(job: Job, *, recovered: bool) -> Resources:
    """Returns what runs of an ending job may still use, for a later owner.

    Before the recovery, any waiting task of an earlier job may have a run as well.

    :param recovered: Whether the runs of earlier owners are known.
    """
    found = Resources()
    if not job.record.organisation:
        return found
    unknown = job.from_earlier_owner and not recovered
    for step in job.steps:
        count = len(step.active_runs())
        if unknown:
            count += step.waiting_count()
        found = found.plus(task_demand(step.spec).times(count))
    if unknown:
        for step in job.unbuilt_steps(anyio.current_time()):
            demand = task_demand(step.spec).times(step.waiting_count())
            found = found.plus(demand)
    return found
