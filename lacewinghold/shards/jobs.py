"""Callers' access to jobs, through any entry instance."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId, JobId, ShardId, job_shard
from lacewinghold.placement.split import count_copies, plan_parts
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, JobView, TaskView
from lacewinghold.schema.generated.messages import (
    JobCancel,
    JobList,
    JobQuery,
    MessageKind,
    PartPlan,
    Submit,
    SubmitReply,
    Views,
)
from lacewinghold.schema.generated.records import PartRecord
from lacewinghold.shards.parts import part_record
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    import random

    from lacewinghold.ids import TeamId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.shards.directory import Directory
    from lacewinghold.shards.model import Job

CALL_TIMEOUT_S = 5.0
# The instance list is read once a second; one answer may be lost.
UNKNOWN_WORKERS_TIMEOUT_S = 2.0
UNKNOWN_WORKERS_RETRY_S = 0.1


class JobFront:
    """Submits, finds and cancels jobs at the owners of their shards.

    :param rng: Spreads jobs over shards at the same distance.
    """

    def __init__(
        self,
        settings: Settings,
        directory: Directory,
        peers: PeerLinks,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.peers = peers
        self.rng = rng
        peers.on(MessageKind.SUBMIT, self.on_submit)
        peers.on(MessageKind.JOB_QUERY, self.on_job_query)
        peers.on(MessageKind.JOB_CANCEL, self.on_job_cancel)
        peers.on(MessageKind.JOB_LIST, self.on_job_list)

    def candidate_shards(self, spec: JobSpec) -> list[ShardId]:
        """Returns the shards that a job's constraints allow, the nearest first."""
        where = spec.where
        found = []
        for shard, record in self.directory.shard_owners().items():
            if where and where.region not in (None, record.region):
                continue
            if where and where.data_centre not in (None, record.data_centre):
                continue
            far = record.data_centre != self.settings.data_centre
            remote = record.region != self.settings.region
            found.append((remote, far, self.rng.random(), shard))
        return [shard for _, _, _, shard in sorted(found)]

    async def submit(
        self, team: TeamId, spec: JobSpec, idempotency_key: str
    ) -> Result[JobId, Failure]:
        """Submits a job to a shard that can run it.

        A job that the known shards cannot hold waits until all workers and the owners
        of their shards are known, for at most ``UNKNOWN_WORKERS_TIMEOUT_S``.

        :param idempotency_key: The caller's key, or the empty string.
        :returns: The id of the job, whose record is durable.
        """
        digest = ""
        if idempotency_key:
            digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()
        give_up_at = anyio.current_time() + UNKNOWN_WORKERS_TIMEOUT_S
        while True:
            result = await self.submit_to_any(spec, digest)
            if isinstance(result, Ok):
                return result
            if result.err_value.kind is not ErrorKind.CANNOT_FIT:
                return result
            if self.is_impossible(spec):
                return result
            if anyio.current_time() >= give_up_at:
                detail = "the workers, or the owners of their shards, are not all known"
                return Err(Failure(ErrorKind.NOT_RUN, detail, retry_after_s=1.0))
            await anyio.sleep(UNKNOWN_WORKERS_RETRY_S)

    async def submit_to_any(self, spec: JobSpec, digest: str) -> Result[JobId, Failure]:
        """Submits a job to the nearest shard that accepts it.

        :returns: ``CANNOT_FIT`` if no shard whose owner is known here can hold the job.
        """
        failure = Failure(ErrorKind.NOT_RUN, "no shard has an owner", "", 1.0)
        impossible, possible = None, False
        candidates = self.candidate_shards(spec)
        for shard in candidates:
            others = [other for other in candidates if other != shard]
            capacities = self.directory.manager.shard_capacities([shard, *others])
            parts = plan_parts(spec, capacities)
            if isinstance(parts, Err):
                return Err(parts.err_value)
            result = await self.submit_to(shard, spec, digest, parts.ok_value)
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
                return Err(refusal)
            if refusal.kind is ErrorKind.CANNOT_FIT:
                impossible = refusal
                continue
            failure, possible = refusal, True
        return Err(failure if impossible is None or possible else impossible)

    def is_impossible(self, spec: JobSpec) -> bool:
        """Returns whether the listed workers could not hold a job even if idle.

        The instance list and the view of the shards' owners lag behind, above all
        while instances start, so that the known shards alone do not decide this.
        """
        listed = self.directory.manager.listed_capacity(spec.where)
        if listed is None:
            return False
        needed = spec.tasks if spec.kind is JobKind.ALL_AT_ONCE else 1
        return count_copies(spec.resources, listed) < needed

    async def submit_to(
        self, shard: ShardId, spec: JobSpec, digest: str, parts: list[PartRecord]
    ) -> Result[JobId, Failure]:
        """Submits a job to the owner of one shard."""
        local = self.directory.local_owner(shard)
        if isinstance(local, Ok):
            return await local.ok_value.accept(spec, digest, parts)
        plans = [PartPlan(part.shard, part.tasks) for part in parts]
        body = Submit(shard, to_json(spec), digest, plans)
        reply = await self.directory.call_owner(
            shard, MessageKind.SUBMIT, body, CALL_TIMEOUT_S
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(unpack(reply.ok_value, SubmitReply).job)

    async def on_submit(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Accepts a job for another entry instance."""
        message = unpack(body, Submit)
        local = self.directory.local_owner(message.shard)
        if isinstance(local, Err):
            return Err(local.err_value)
        spec = from_json(message.spec, JobSpec)
        parts = [PartRecord(shard=p.shard, tasks=p.tasks) for p in message.parts]
        accepted = await local.ok_value.accept(spec, message.idempotency_digest, parts)
        if isinstance(accepted, Err):
            return Err(accepted.err_value)
        return Ok(SubmitReply(accepted.ok_value, True))

    async def job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Returns a job."""
        shard = job_shard(job_id)
        if isinstance(self.directory.local_owner(shard), Ok):
            return await self.local_job(job_id)
        reply = await self.directory.call_owner(
            shard, MessageKind.JOB_QUERY, JobQuery(job_id), CALL_TIMEOUT_S
        )
        return decode_view(reply)

    async def local_job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Returns a job of a shard that is owned here."""
        local = self.directory.local_owner(job_shard(job_id))
        if isinstance(local, Err):
            return Err(local.err_value)
        job = local.ok_value.jobs.get(job_id)
        if job is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no job {job_id}", "job"))
        return Ok(await self.full_view(job))

    async def on_job_query(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Returns a job to another entry instance."""
        return encode_view(await self.local_job(unpack(body, JobQuery).job))

    async def full_view(self, job: Job) -> JobView:
        """Returns a job in which the tasks of its parts replace the parts."""
        view = job.to_view()
        if not job.record.parts:
            return view
        tasks: list[TaskView] = []
        for index, part in enumerate(view.tasks):
            known = await self.job(part_record(job, index).job)
            if isinstance(known, Err):
                tasks.append(part)
                continue
            tasks += known.ok_value.tasks
        view.tasks = tasks
        return view

    async def cancel(self, job_id: JobId, actor: str) -> Result[JobView, Failure]:
        """Cancels a job."""
        shard = job_shard(job_id)
        if isinstance(self.directory.local_owner(shard), Ok):
            return await self.cancel_local(job_id, actor)
        body = JobCancel(job_id, actor)
        reply = await self.directory.call_owner(
            shard, MessageKind.JOB_CANCEL, body, CALL_TIMEOUT_S
        )
        return decode_view(reply)

    async def cancel_local(self, job_id: JobId, actor: str) -> Result[JobView, Failure]:
        """Cancels a job of a shard that is owned here."""
        local = self.directory.local_owner(job_shard(job_id))
        if isinstance(local, Err):
            return Err(local.err_value)
        cancelled = await local.ok_value.cancel(job_id, actor)
        if isinstance(cancelled, Err):
            return Err(cancelled.err_value)
        return Ok(cancelled.ok_value.to_view())

    async def on_job_cancel(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Cancels a job for another entry instance."""
        message = unpack(body, JobCancel)
        return encode_view(await self.cancel_local(message.job, message.actor))

    def local_jobs(self, team: str) -> list[JobView]:
        """Returns the jobs in the shards owned here.

        :param team: Selects the jobs of one team; empty for all teams.
        """
        found = []
        for owner in self.directory.manager.owners.values():
            for job in owner.jobs.values():
                if job.record.parent:
                    continue
                if not team or job.record.spec.team == team:
                    found.append(job.to_view())
        return found

    async def jobs(self, team: str) -> Result[list[JobView], Failure]:
        """Returns the jobs in all shards, by time of acceptance.

        :param team: Selects the jobs of one team; empty for all teams.
        """
        found = self.local_jobs(team)
        owners = {record.instance for record in self.directory.shard_owners().values()}
        for instance in sorted(owners - {self.peers.instance}):
            reply = await self.peers.call(
                instance, MessageKind.JOB_LIST, JobList(team), CALL_TIMEOUT_S
            )
            if isinstance(reply, Err):
                return Err(reply.err_value)
            for view in unpack(reply.ok_value, Views).views:
                found.append(from_json(view, JobView))
        return Ok(sorted(found, key=lambda view: (view.accepted_at, view.job)))

    async def on_job_list(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Returns a team's jobs to another entry instance."""
        message = unpack(body, JobList)
        return Ok(Views([to_json(view) for view in self.local_jobs(message.team)]))


def encode_view(view: Result[JobView, Failure]) -> Result[PackedStruct, Failure]:
    """Encodes one job as the reply to another entry instance."""
    if isinstance(view, Err):
        return Err(view.err_value)
    return Ok(Views([to_json(view.ok_value)]))


def decode_view(reply: Result[bytes, Failure]) -> Result[JobView, Failure]:
    """Decodes a reply that contains one job."""
    if isinstance(reply, Err):
        return Err(reply.err_value)
    return Ok(from_json(unpack(reply.ok_value, Views).views[0], JobView))
