"""Calls to the owners of shards that host parts of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from lacewinghold.ids import job_shard
from lacewinghold.schema.generated.messages import (
    MessageKind,
    PartAccept,
    PartCancel,
    PartLetGo,
    PartQuery,
    PartReply,
    PartReserve,
    PartReserveReply,
    SubmitReply,
)
from lacewinghold.schema.generated.records import JobRecord
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    from lacewinghold.errors import Failure
    from lacewinghold.ids import InstanceId, JobId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.shards.directory import Directory
    from lacewinghold.shards.part_host import PartHost

T = TypeVar("T")
CALL_TIMEOUT_S = 5.0


class PartCalls:
    """Calls the host of a part on this or another entry instance."""

    def __init__(self, directory: Directory, peers: PeerLinks) -> None:
        self.directory = directory
        self.peers = peers
        peers.on(MessageKind.PART_ACCEPT, self.on_accept)
        peers.on(MessageKind.PART_RESERVE, self.on_reserve)
        peers.on(MessageKind.PART_LET_GO, self.on_cancel_reservation)
        peers.on(MessageKind.PART_CANCEL, self.on_cancel)
        peers.on(MessageKind.PART_STATE, self.on_state)

    def host(self, job: JobId) -> Result[PartHost, Failure]:
        """Returns the host of a part if its shard is owned here."""
        local = self.directory.local_owner(job_shard(job))
        if isinstance(local, Err):
            return Err(local.err_value)
        return Ok(local.ok_value.part_host)

    async def call(
        self, job: JobId, kind: MessageKind, body: PackedStruct
    ) -> Result[bytes, Failure]:
        """Calls the owner of a part's shard on another entry instance."""
        return await self.directory.call_owner(
            job_shard(job), kind, body, CALL_TIMEOUT_S
        )

    async def accept(self, record: JobRecord) -> Result[JobId, Failure]:
        """Makes the host accept a part durably."""
        host = self.host(record.job)
        if isinstance(host, Ok):
            return await host.ok_value.accept(record)
        body = PartAccept(to_json(record))
        reply = await self.call(record.job, MessageKind.PART_ACCEPT, body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(unpack(reply.ok_value, SubmitReply).job)

    async def on_accept(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Accepts a part for another entry instance."""
        record = from_json(unpack(body, PartAccept).record, JobRecord)
        host = self.host(record.job)
        if isinstance(host, Err):
            return Err(host.err_value)
        accepted = await host.ok_value.accept(record)
        if isinstance(accepted, Err):
            return Err(accepted.err_value)
        return Ok(SubmitReply(accepted.ok_value, True))

    async def reserve(
        self, record: JobRecord, lease_s: float
    ) -> Result[PartReserveReply, Failure]:
        """Creates or renews the reservation of a part."""
        host = self.host(record.job)
        if isinstance(host, Ok):
            return host.ok_value.reserve(record, lease_s)
        body = PartReserve(to_json(record), lease_s)
        reply = await self.call(record.job, MessageKind.PART_RESERVE, body)
        return decode_reply(reply, PartReserveReply)

    async def on_reserve(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Reserves capacity for another entry instance."""
        message = unpack(body, PartReserve)
        record = from_json(message.record, JobRecord)
        host = self.host(record.job)
        if isinstance(host, Err):
            return Err(host.err_value)
        return to_peer_reply(host.ok_value.reserve(record, message.lease_s))

    async def cancel_reservation(self, job: JobId) -> None:
        """Cancels a reservation; if the call fails, its lease expires."""
        host = self.host(job)
        if isinstance(host, Ok):
            host.ok_value.cancel_reservation(job)
            return
        await self.call(job, MessageKind.PART_LET_GO, PartLetGo(job))

    async def on_cancel_reservation(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Cancels a reservation for another entry instance."""
        message = unpack(body, PartLetGo)
        host = self.host(message.job)
        if isinstance(host, Err):
            return Err(host.err_value)
        host.ok_value.cancel_reservation(message.job)
        return Ok(SubmitReply(message.job, False))

    async def cancel(self, job: JobId, actor: str) -> Result[PartReply, Failure]:
        """Cancels a part, whether or not it has been accepted."""
        host = self.host(job)
        if isinstance(host, Ok):
            return await host.ok_value.cancel(job, actor)
        body = PartCancel(job, actor)
        reply = await self.call(job, MessageKind.PART_CANCEL, body)
        return decode_reply(reply, PartReply)

    async def on_cancel(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Cancels a part for another entry instance."""
        message = unpack(body, PartCancel)
        host = self.host(message.job)
        if isinstance(host, Err):
            return Err(host.err_value)
        return to_peer_reply(await host.ok_value.cancel(message.job, message.actor))

    async def state(self, job: JobId) -> Result[PartReply, Failure]:
        """Returns the state of a part."""
        host = self.host(job)
        if isinstance(host, Ok):
            return host.ok_value.state(job)
        reply = await self.call(job, MessageKind.PART_STATE, PartQuery(job))
        return decode_reply(reply, PartReply)

    async def on_state(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Returns the state of a part to another entry instance."""
        message = unpack(body, PartQuery)
        host = self.host(message.job)
        if isinstance(host, Err):
            return Err(host.err_value)
        return to_peer_reply(host.ok_value.state(message.job))


def decode_reply(reply: Result[bytes, Failure], kind: type[T]) -> Result[T, Failure]:
    """Decodes a reply."""
    if isinstance(reply, Err):
        return Err(reply.err_value)
    return Ok(unpack(reply.ok_value, kind))  # type: ignore[type-var]


def to_peer_reply(result: Result[T, Failure]) -> Result[PackedStruct, Failure]:
    """Returns a result as the reply to a peer."""
    if isinstance(result, Err):
        return Err(result.err_value)
    return Ok(result.ok_value)  # type: ignore[arg-type]
