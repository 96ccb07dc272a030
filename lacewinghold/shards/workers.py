"""Operators' access to the workers of all shards, through any entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.schema.generated.jobs import WorkerView
from lacewinghold.schema.generated.messages import MessageKind, Views, WorkerQuery
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    from lacewinghold.errors import Failure
    from lacewinghold.ids import InstanceId, WorkerId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.shards.directory import Directory

CALL_TIMEOUT_S = 5.0


class WorkerFront:
    """Lists workers as the owners of their shards see them."""

    def __init__(self, directory: Directory, peers: PeerLinks) -> None:
        self.directory = directory
        self.peers = peers
        peers.on(MessageKind.WORKER_LIST, self.on_worker_list)

    def known(self, worker: WorkerId) -> bool:
        """Returns whether the platform's instance list names a worker."""
        listed = self.directory.manager.instance_list
        return listed is not None and any(
            record.worker == worker for record in listed.workers
        )

    def local_workers(self) -> list[WorkerView]:
        """Returns the workers of the shards owned here."""
        found = []
        for shard, owner in self.directory.manager.owners.items():
            for worker_id, worker in owner.workers.items():
                found.append(
                    WorkerView(
                        worker=worker_id,
                        shard=shard,
                        data_centre=worker.record.data_centre,
                        state=worker.record.state,
                        drained=worker_id in owner.drained,
                        usable=worker.capacity.usable,
                        tasks=len(worker.capacity.bookings),
                        free=worker.capacity.free,
                    )
                )
        return found

    async def workers(self) -> Result[list[WorkerView], Failure]:
        """Returns the workers of all shards that have an owner."""
        found = self.local_workers()
        owners = {record.instance for record in self.directory.shard_owners().values()}
        for instance in sorted(owners - {self.peers.instance}):
            reply = await self.peers.call(
                instance, MessageKind.WORKER_LIST, WorkerQuery(), CALL_TIMEOUT_S
            )
            if isinstance(reply, Err):
                return Err(reply.err_value)
            for view in unpack(reply.ok_value, Views).views:
                found.append(from_json(view, WorkerView))
        return Ok(sorted(found, key=lambda view: view.worker))

    async def on_worker_list(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Returns the workers of the shards owned here to another instance."""
        return Ok(Views([to_json(view) for view in self.local_workers()]))
