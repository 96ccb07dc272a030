"""Answers operators' questions where a job would be placed now."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.scheduler.explanation import StepExplanation, explain_steps
from lacewinghold.scheduler.job_checks import check_job
from lacewinghold.scheduler.model import make_job
from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.model import Job
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.schema.generated.cell import CellJob

# An explanation costs as much as a plan, a few milliseconds of the owner's time.
MIN_INTERVAL_S = 1.0


class JobExplanation(Struct):
    """Where the tasks of a job would start now.

    :param refused: Why it would not be accepted, empty if it would be.
    :param retry_after_s: When a caller would be told to come back, in seconds.
    :param recovered: Whether the owner knows all runs of earlier owners.
    :param cap: Cap of its organisation, ``None`` if it has none; 0 is unlimited.
    :param used: What the organisation has running.
    :param assumed: What runs of earlier owners, which are not known yet, may take.
    :param step_count: Number of its steps; only the first ones are explained.
    """

    job: str
    queue: str
    organisation: str
    recovered: bool
    refused: str
    retry_after_s: float | None
    cap: Resources | None
    used: Resources
    assumed: Resources
    step_count: int
    steps: list[StepExplanation]


class PlacementQuery:
    """Explains placements on the instance that owns the cell; changes nothing.

    :param instance: The entry instance.
    """

    def __init__(self, instance: CellInstance) -> None:
        self.instance = instance
        self.last_at = -math.inf

    def find_owner(self) -> Result[CellOwner, Failure]:
        """Returns the owner if it is this instance and may explain a job now."""
        owner = self.instance.active_owner()
        if owner is None:
            known = self.instance.election.owner
            name = "unknown" if known is None else known.instance
            detail = f"this instance does not own the cell; the owner is {name}"
            return Err(Failure(ErrorKind.NOT_OWNER, detail))
        if anyio.current_time() < self.last_at + MIN_INTERVAL_S:
            detail = "the owner explains at most one job per second"
            return Err(
                Failure(ErrorKind.OVERLOADED, detail, retry_after_s=MIN_INTERVAL_S)
            )
        self.last_at = anyio.current_time()
        return Ok(owner)

    def explain_open(self, job_id: str) -> Result[JobExplanation, Failure]:
        """Explains a job that has been accepted and has not ended."""
        owner = self.find_owner()
        if isinstance(owner, Err):
            return Err(owner.err_value)
        job = owner.ok_value.table.jobs.get(job_id)
        if job is None or job.ended():
            return Err(Failure(ErrorKind.NOT_FOUND, f"no open job {job_id}", "job"))
        return Ok(self.explain(owner.ok_value, job, None))

    def explain_new(self, record: CellJob) -> Result[JobExplanation, Failure]:
        """Explains a job as if it were submitted now."""
        checked = check_job(record)
        if isinstance(checked, Err):
            return Err(checked.err_value)
        owner = self.find_owner()
        if isinstance(owner, Err):
            return Err(owner.err_value)
        table = owner.ok_value.table
        if record.job in table.jobs:
            detail = f"the job {record.job} is submitted already; ask for it by its id"
            return Err(Failure(ErrorKind.CONFLICT, detail, "job"))
        clock = self.instance.ports.clock
        job = make_job(
            record, table.find_queue(record), anyio.current_time(), clock.offset_s
        )
        return Ok(self.explain(owner.ok_value, job, self.refusal(record)))

    def refusal(self, record: CellJob) -> Failure | None:
        """Returns the failure with which a submission would be answered here."""
        front = self.instance.front
        capped = front.check_caps(record)
        if isinstance(capped, Err):
            return capped.err_value
        excess_s = self.instance.admission.excess_wait_s(record)
        return front.backlog_failure(excess_s) if excess_s > 0 else None

    def explain(
        self, owner: CellOwner, job: Job, refusal: Failure | None
    ) -> JobExplanation:
        """Returns the explanation of a job."""
        now = anyio.current_time()
        organisation = job.record.organisation
        budget = owner.planning.make_cap_budget(now)
        used = owner.caps.usage.used.get(organisation, Resources())
        return JobExplanation(
            job=job.id,
            queue=job.queue.name,
            organisation=organisation,
            recovered=owner.recovered,
            refused="" if refusal is None else refusal.detail,
            retry_after_s=None if refusal is None else refusal.retry_after_s,
            cap=owner.caps.caps.get(organisation),
            used=used,
            assumed=budget.used.get(organisation, used).minus(used),
            step_count=len(job.record.steps) * job.occurrence_count(),
            steps=explain_steps(owner.planning, job, now),
        )
