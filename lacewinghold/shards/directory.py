"""Current owners of shards, on this and other entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import ShardId

if TYPE_CHECKING:
    from lacewinghold.coordination.view import LiveView
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.messages import MessageKind
    from lacewinghold.schema.generated.records import InstanceRecord
    from lacewinghold.shards.manager import ShardManager
    from lacewinghold.shards.owner import ShardOwner


class Directory:
    """Finds and calls the owners of shards.

    :param view: The watched copy of the live keys.
    :param manager: Manages the shards owned here.
    """

    def __init__(self, view: LiveView, peers: PeerLinks, manager: ShardManager) -> None:
        self.view = view
        self.peers = peers
        self.manager = manager

    def local_owner(self, shard: ShardId) -> Result[ShardOwner, Failure]:
        """Returns the owner of a shard if it is on this instance and ready."""
        owner = self.manager.owners.get(shard)
        if owner is None or not owner.ready.is_set():
            return Err(Failure(ErrorKind.NOT_OWNER, f"{shard} is not owned here"))
        return Ok(owner)

    def shard_owners(self) -> dict[ShardId, InstanceRecord]:
        """Returns the owning instance of each shard that has a live owner."""
        instances = self.view.instances()
        found: dict[ShardId, InstanceRecord] = {}
        for key in self.view.items:
            if not key.startswith(self.view.keys.owners):
                continue
            shard = ShardId(key.removeprefix(self.view.keys.owners))
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
