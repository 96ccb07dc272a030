"""Identifier types."""

from __future__ import annotations

from typing import NewType

RegionId = NewType("RegionId", str)
DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
WorkerId = NewType("WorkerId", str)
InstanceId = NewType("InstanceId", str)
ShardId = NewType("ShardId", str)
TeamId = NewType("TeamId", str)
OrganisationId = TeamId  # The operators' document calls an organisation a team.
ServiceId = NewType("ServiceId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
SectionName = NewType("SectionName", str)
LeaseId = NewType("LeaseId", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
Incarnation = NewType("Incarnation", int)
ANY_INCARNATION = Incarnation(-1)  # Whichever answers.


def job_shard(job: JobId) -> ShardId:
    """Returns the shard whose ledger holds a job."""
    return ShardId(job.rpartition("~")[0])


def task_job(task: TaskId) -> JobId:
    """Returns the job that a task belongs to."""
    return JobId(task.rpartition("/")[0])


def make_task_id(job: JobId, index: int) -> TaskId:
    """Returns the id of a job's task, whose index counts from zero."""
    return TaskId(f"{job}/{index}")
