"""Wires the parts of one entry instance together."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.coordination.keys import Keys
from lacewinghold.coordination.lease import InstanceLease
from lacewinghold.coordination.view import LiveView
from lacewinghold.document.editor import Editor
from lacewinghold.document.sections import Document
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId, JobId, RequestId, ShardId, job_shard
from lacewinghold.peers.links import PeerLinks
from lacewinghold.routing.router import ShardRouter
from lacewinghold.schema.generated.jobs import JobSpec, JobView
from lacewinghold.schema.generated.messages import (
    JobCancel,
    JobList,
    JobQuery,
    MessageKind,
    ServiceAnswer,
    ServiceRequest,
    Submit,
    SubmitReply,
    Views,
)
from lacewinghold.schema.generated.records import InstanceRecord
from lacewinghold.shards.manager import ShardManager
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    import random

    from lacewinghold.ids import ServiceId, TeamId
    from lacewinghold.peers.base import PeerTransport
    from lacewinghold.routing.base import BackendLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.shards.owner import ShardOwner
    from lacewinghold.store.base import Store
    from lacewinghold.util.clock import WallClock
    from lacewinghold.workers.base import InstanceListSource, WorkerLinks

logger = structlog.get_logger(__name__)
CALL_TIMEOUT_S = 5.0
REGION_HOP_S = 0.5


class Ports(Struct):
    """What an entry instance is connected to; tests pass fakes."""

    store: Store
    transport: PeerTransport
    instance_list: InstanceListSource
    worker_links: WorkerLinks
    backend_links: BackendLinks
    clock: WallClock


class EntryInstance:
    """One entry instance.

    :param settings: Checked settings.
    :param boot: Unique for each start of the process.
    """

    def __init__(
        self, settings: Settings, ports: Ports, boot: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.instance = InstanceId(f"{settings.instance}.{boot}")
        self.keys = Keys(settings.store.prefix)
        record = InstanceRecord(
            instance=self.instance,
            region=settings.region,
            data_centre=settings.data_centre,
            peer=settings.listen.peer,
            http=settings.listen.http,
        )
        self.lease = InstanceLease(ports.store, self.keys, settings.lease, record, rng)
        self.view = LiveView(ports.store, self.keys, rng)
        self.document = Document(self.view)
        self.editor = Editor(ports.store, self.keys, ports.clock)
        self.peers = PeerLinks(self.instance, ports.transport, self.address_of)
        self.manager = ShardManager(
            settings,
            ports.store,
            self.lease,
            self.view,
            ports.instance_list,
            ports.worker_links,
            ports.clock,
            rng,
        )
        self.routers: dict[ShardId, ShardRouter] = {}
        self.rng = rng
        self.register_handlers()

    def register_handlers(self) -> None:
        """Registers what other entry instances may ask of this one."""
        self.peers.on(MessageKind.SUBMIT, self.on_submit)
        self.peers.on(MessageKind.JOB_QUERY, self.on_job_query)
        self.peers.on(MessageKind.JOB_CANCEL, self.on_job_cancel)
        self.peers.on(MessageKind.JOB_LIST, self.on_job_list)
        self.peers.on(MessageKind.SERVICE_REQUEST, self.on_service_request)

    def address_of(self, instance: InstanceId) -> str | None:
        """Returns the address of a peer, or ``None`` if it is unknown."""
        record = self.view.instances().get(instance)
        return None if record is None else record.peer

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lease.run)
            tasks.start_soon(self.view.run)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.manager.run)

    async def shut_down(self) -> None:
        """Hands shards over and ends the lease."""
        await self.manager.release_all()
        await self.lease.close()

    def local_owner(self, shard: ShardId) -> Result[ShardOwner, Failure]:
        """Returns the owner of a shard if it is this instance and ready."""
        owner = self.manager.owners.get(shard)
        if owner is None or not owner.ready.is_set():
            return Err(Failure(ErrorKind.NOT_OWNER, f"{shard} is not owned here"))
        return Ok(owner)

    def shard_owners(self) -> dict[ShardId, InstanceRecord]:
        """Returns the shards that have a live owner."""
        instances = self.view.instances()
        found: dict[ShardId, InstanceRecord] = {}
        for key in self.view.items:
            if not key.startswith(self.keys.owners):
                continue
            shard = ShardId(key.removeprefix(self.keys.owners))
            known = self.view.owner(shard)
            if known is None or known[0].owner not in instances:
                continue
            found[shard] = instances[known[0].owner]
        return found

    async def call_owner(
        self, shard: ShardId, kind: MessageKind, body: PackedStruct, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Calls the owner of a shard on another entry instance."""
        record = self.shard_owners().get(shard)
        if record is None:
            return Err(Failure(ErrorKind.NOT_OWNER, f"{shard} has no owner now"))
        return await self.peers.call(record.instance, kind, body, timeout_s)

    def candidate_shards(self, spec: JobSpec) -> list[ShardId]:
        """Returns the shards that a job's wishes allow, the own data centre first."""
        where = spec.where
        found = []
        for shard, record in self.shard_owners().items():
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

        :param idempotency_key: The caller's key, or the empty string.
        :returns: The job, durable.
        """
        digest = ""
        if idempotency_key:
            digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()
        failure = Failure(ErrorKind.NOT_RUN, "no shard has an owner", "", 1.0)
        for shard in self.candidate_shards(spec):
            result = await self.submit_to(shard, spec, digest)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
                return Err(failure)
        return Err(failure)

    async def submit_to(
        self, shard: ShardId, spec: JobSpec, digest: str
    ) -> Result[JobId, Failure]:
        """Submits a job to the owner of one shard."""
        local = self.local_owner(shard)
        if isinstance(local, Ok):
            return await local.ok_value.accept(spec, digest)
        body = Submit(shard, to_json(spec), digest)
        reply = await self.call_owner(shard, MessageKind.SUBMIT, body, CALL_TIMEOUT_S)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(unpack(reply.ok_value, SubmitReply).job)

    async def on_submit(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Accepts a job for another entry instance."""
        message = unpack(body, Submit)
        local = self.local_owner(message.shard)
        if isinstance(local, Err):
            return Err(local.err_value)
        spec = from_json(message.spec, JobSpec)
        accepted = await local.ok_value.accept(spec, message.idempotency_digest)
        if isinstance(accepted, Err):
            return Err(accepted.err_value)
        return Ok(SubmitReply(accepted.ok_value, True))

    async def job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Returns a job."""
        local = self.local_owner(job_shard(job_id))
        if isinstance(local, Ok):
            job = local.ok_value.jobs.get(job_id)
            if job is None:
                return Err(Failure(ErrorKind.NOT_FOUND, f"no job {job_id}"))
            return Ok(job.to_view())
        shard = job_shard(job_id)
        body = JobQuery(job_id)
        reply = await self.call_owner(
            shard, MessageKind.JOB_QUERY, body, CALL_TIMEOUT_S
        )
        return first_view(reply)

    async def on_job_query(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Returns a job to another entry instance."""
        message = unpack(body, JobQuery)
        local = self.local_owner(job_shard(message.job))
        if isinstance(local, Err):
            return Err(local.err_value)
        job = local.ok_value.jobs.get(message.job)
        if job is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no job {message.job}"))
        return Ok(Views([to_json(job.to_view())]))

    async def cancel(self, job_id: JobId, actor: str) -> Result[JobView, Failure]:
        """Cancels a job."""
        shard = job_shard(job_id)
        local = self.local_owner(shard)
        if isinstance(local, Ok):
            cancelled = await local.ok_value.cancel(job_id)
            if isinstance(cancelled, Err):
                return Err(cancelled.err_value)
            return Ok(cancelled.ok_value.to_view())
        body = JobCancel(job_id, actor)
        reply = await self.call_owner(
            shard, MessageKind.JOB_CANCEL, body, CALL_TIMEOUT_S
        )
        return first_view(reply)

    async def on_job_cancel(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Cancels a job for another entry instance."""
        message = unpack(body, JobCancel)
        local = self.local_owner(job_shard(message.job))
        if isinstance(local, Err):
            return Err(local.err_value)
        cancelled = await local.ok_value.cancel(message.job)
        if isinstance(cancelled, Err):
            return Err(cancelled.err_value)
        return Ok(Views([to_json(cancelled.ok_value.to_view())]))

    def local_jobs(self, team: str) -> list[JobView]:
        """Returns a team's jobs in the shards owned here; all if it is empty."""
        found = []
        for owner in self.manager.owners.values():
            for job in owner.jobs.values():
                if not team or job.record.spec.team == team:
                    found.append(job.to_view())
        return found

    async def jobs(self, team: str) -> Result[list[JobView], Failure]:
        """Returns a team's jobs in all shards; all teams' if it is empty."""
        found = self.local_jobs(team)
        owners = {record.instance for record in self.shard_owners().values()}
        for instance in sorted(owners - {self.instance}):
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

    def router(self, owner: ShardOwner) -> ShardRouter:
        """Returns the router of an owned shard."""
        router = self.routers.get(owner.shard)
        if router is None or router.owner is not owner:
            router = ShardRouter(owner, self.ports.backend_links)
            self.routers[owner.shard] = router
        return router

    async def request(
        self,
        team: TeamId,
        service: ServiceId,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        repeatable: bool,
        idempotency_key: str = "",
    ) -> Result[ServiceAnswer, Failure]:
        """Serves a caller's request to a standing service.

        :returns: The whole answer of a backend server.
        """
        digest = ""
        if idempotency_key:
            digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()
        message = ServiceRequest(
            service,
            ShardId(""),
            RequestId(secrets.token_hex(8)),
            team,
            method,
            path,
            body,
            timeout_s,
            repeatable,
            digest,
        )
        failure = Failure(ErrorKind.NOT_RUN, f"{service} runs nowhere", "", 1.0)
        for shard in self.request_shards(digest):
            message.shard = shard
            result = await self.request_at(message)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            if not failure.answer.may_repeat:
                return Err(failure)
        return Err(failure)

    def request_shards(self, digest: str) -> list[ShardId]:
        """Returns the shards to try, near ones first.

        A request with a key always goes to the same shard first, whose ledger
        knows whether it ran before.
        """
        found = []
        for shard, record in self.shard_owners().items():
            remote = record.region != self.settings.region
            far = record.data_centre != self.settings.data_centre
            if digest:
                order = hashlib.sha256(f"{digest}{shard}".encode()).hexdigest()
                found.append((False, False, order, shard))
                continue
            found.append((remote, far, f"{self.rng.random():.6f}", shard))
        return [shard for _, _, _, shard in sorted(found)]

    async def request_at(
        self, message: ServiceRequest
    ) -> Result[ServiceAnswer, Failure]:
        """Has the owner of one shard serve a request."""
        local = self.local_owner(message.shard)
        if isinstance(local, Ok):
            return await self.router(local.ok_value).serve(message)
        reply = await self.call_owner(
            message.shard,
            MessageKind.SERVICE_REQUEST,
            message,
            message.timeout_s + REGION_HOP_S,
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(unpack(reply.ok_value, ServiceAnswer))

    async def on_service_request(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Serves a request for another entry instance."""
        message = unpack(body, ServiceRequest)
        local = self.local_owner(message.shard)
        if isinstance(local, Err):
            return Err(local.err_value)
        served = await self.router(local.ok_value).serve(message)
        if isinstance(served, Err):
            return Err(served.err_value)
        return Ok(served.ok_value)


def first_view(reply: Result[bytes, Failure]) -> Result[JobView, Failure]:
    """Returns the only job of a reply."""
    if isinstance(reply, Err):
        return Err(reply.err_value)
    return Ok(from_json(unpack(reply.ok_value, Views).views[0], JobView))
