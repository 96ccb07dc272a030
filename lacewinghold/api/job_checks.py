"""Checks of a job that its schema cannot express."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.jobs import JobKind

if TYPE_CHECKING:
    from lacewinghold.schema.generated.jobs import JobSpec
    from lacewinghold.schema.generated.worker import InstanceList

LATEST_TIME = datetime(2200, 1, 1, tzinfo=UTC)


def invalid(field: str, detail: str) -> Err[Failure]:
    """Returns a failure that names a field of the job."""
    return Err(Failure(ErrorKind.INVALID, detail, field))


def check_kind(spec: JobSpec) -> Result[None, Failure]:
    """Checks that the fields fit the kind of the job."""
    if spec.kind is JobKind.SERVICE and spec.service is None:
        return invalid("$.service", "found none; a service job names its service")
    if spec.kind is not JobKind.SERVICE and spec.service is not None:
        return invalid("$.service", f"found one in a {spec.kind} job; leave it out")
    if spec.kind is JobKind.SERVICE and spec.deadline is not None:
        return invalid("$.deadline", "found one in a service job, which never ends")
    need = spec.resources
    if not need.cores and not need.memory_mb and not need.accelerators:
        return invalid("$.resources", "found nothing; a task needs cores or memory")
    return Ok(None)


def check_time(field: str, moment: datetime | None) -> Result[None, Failure]:
    """Checks that a time of a job has an offset and is not too far ahead."""
    if moment is None:
        return Ok(None)
    if moment.tzinfo is None:
        return invalid(field, f"found {moment} without an offset; add Z or +01:00")
    if moment >= LATEST_TIME:
        return invalid(field, f"found {moment}; the latest is {LATEST_TIME}")
    return Ok(None)


def check_times(spec: JobSpec, now: float) -> Result[None, Failure]:
    """Checks the deadline and the earliest start.

    :param now: Seconds since 1970.
    """
    for field, moment in (
        ("$.deadline", spec.deadline),
        ("$.start_after", spec.start_after),
    ):
        checked = check_time(field, moment)
        if isinstance(checked, Err):
            return checked
    if spec.deadline is None:
        return Ok(None)
    if spec.deadline <= datetime.fromtimestamp(now, UTC):
        return invalid("$.deadline", f"found {spec.deadline}, which has passed")
    if spec.start_after is not None and spec.start_after >= spec.deadline:
        return invalid(
            "$.start_after", "the earliest start must be before the deadline"
        )
    return Ok(None)


def check_where(spec: JobSpec, listed: InstanceList | None) -> Result[None, Failure]:
    """Checks that the requested region and data centre are on the instance list."""
    where = spec.where
    if where is None or listed is None:
        return Ok(None)
    places = {(record.region, record.data_centre) for record in listed.workers}
    if where.region is not None:
        places = {place for place in places if place[0] == where.region}
        if not places:
            return invalid("$.where.region", f"there is no region {where.region!r}")
    if where.data_centre is None:
        return Ok(None)
    if not any(place[1] == where.data_centre for place in places):
        detail = f"there is no data centre {where.data_centre!r} in the allowed regions"
        return invalid("$.where.data_centre", detail)
    return Ok(None)


def check_job(
    spec: JobSpec, now: float, listed: InstanceList | None
) -> Result[None, Failure]:
    """Checks a job except for its team, which is checked against the caller.

    :param now: Seconds since 1970.
    :param listed: The platform's instance list, or ``None`` if it has not been read.
    :returns: ``Ok``, or a failure whose field is the JSON path of the invalid value.
    """
    for checked in (
        check_kind(spec),
        check_times(spec, now),
        check_where(spec, listed),
    ):
        if isinstance(checked, Err):
            return checked
    return Ok(None)
