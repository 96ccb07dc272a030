"""Acquiring, confirming and releasing the ownership of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err, Ok, Result

from lacewinghold.coordination.audit import ownership_put
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import Epoch, Revision
from lacewinghold.invariants import Invariant, require
from lacewinghold.schema.generated.records import OwnerRecord
from lacewinghold.store.base import Compare, CompareTarget, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.keys import Keys
    from lacewinghold.coordination.lease import InstanceLease
    from lacewinghold.ids import InstanceId, ShardId
    from lacewinghold.store.base import KeyValue, Store

logger = structlog.get_logger(__name__)


class ShardOwnership:
    """One instance's claim on one shard.

    The store revision of the ownership record is the epoch.

    :param lease: The lease of the claiming instance.
    :ivar generation: Generation of the lease under which the ownership was last
        confirmed.
    :ivar change_number: Number of the change of ownership that made the record.
    :ivar valid_until: Latest lease end under which the shard was owned, on the
        runtime's clock.
    """

    def __init__(
        self, store: Store, keys: Keys, lease: InstanceLease, shard: ShardId
    ) -> None:
        self.store = store
        self.keys = keys
        self.lease = lease
        self.shard = shard
        self.epoch = Epoch(0)
        self.generation = 0
        self.change_number = 0
        self.valid_until = 0.0

    @property
    def instance(self) -> InstanceId:
        """Returns the claiming instance."""
        return self.lease.record.instance

    def held(self) -> bool:
        """Returns whether the shard is certainly still owned under this lease."""
        if self.epoch == 0 or self.generation != self.lease.generation:
            return False
        self.valid_until = max(self.valid_until, self.lease.expires_at)
        return self.lease.valid()

    def hold_end(self, hold_s: float) -> float:
        """Returns until when an owner that is cut off from the store may start tasks.

        The hold begins with the end of the lease under which the ownership was
        last confirmed. A lease opened later does not extend it.

        :param hold_s: Length of the hold in seconds.
        """
        self.held()
        return self.valid_until + hold_s

    def check(self) -> Result[None, Failure]:
        """Returns a failure unless the shard is certainly still owned."""
        if self.held():
            return Ok(None)
        return Err(
            Failure(
                ErrorKind.LEASE_LAPSED,
                f"the ownership of {self.shard} is not confirmed",
            )
        )

    async def acquire(
        self, known: tuple[OwnerRecord, KeyValue] | None, at: float = 0.0
    ) -> Result[Epoch, Failure]:
        """Acquires the shard if its owner released it or that owner's lease lapsed.

        :param known: The ownership record as last seen.
        :param at: Seconds since 1970, for the audit trail.
        :returns: The new epoch; ``CONFLICT`` if another instance owns the shard.
        """
        generation = self.lease.generation
        own_lease = Compare(
            self.keys.instance(self.instance),
            CompareTarget.MOD_REVISION,
            self.lease.revision,
        )
        revision = known[1].mod_revision if known else 0
        key = self.keys.owner(self.shard)
        compares = [own_lease, Compare(key, CompareTarget.MOD_REVISION, revision)]
        if known and known[0].owner is not None and known[0].owner != self.instance:
            holder = self.keys.instance(known[0].owner)
            compares.append(Compare(holder, CompareTarget.CREATE_REVISION, 0))
        number = known[0].change + 1 if known else 1
        record = OwnerRecord(
            owner=self.instance, lease=self.lease.lease or 0, change=number
        )
        audit = ownership_put(
            self.keys, self.shard, number, self.instance, "take shard", at
        )
        written = await self.store.commit(
            Transaction(compares, [Put(key, to_json(record)), audit])
        )
        if isinstance(written, Err):
            if written.err_value.kind is not ErrorKind.OUTCOME_UNKNOWN:
                return Err(written.err_value)
            return await self.read_back_claim(revision, generation)
        if not written.ok_value.succeeded:
            return Err(Failure(ErrorKind.CONFLICT, f"{self.shard} has another owner"))
        self.apply_claim(Epoch(written.ok_value.revision), generation, number)
        return Ok(self.epoch)

    async def read_back_claim(
        self, revision: int, generation: int
    ) -> Result[Epoch, Failure]:
        """Reads whether a claim with a lost reply took effect.

        :param revision: Store revision of the record before the claim.
        :param generation: Generation of the lease at the time of the claim.
        """
        reply = await self.store.range(self.keys.owner(self.shard))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        for item in reply.ok_value.items:
            record = from_json(item.value, OwnerRecord)
            if record.owner != self.instance or item.mod_revision <= revision:
                continue
            self.apply_claim(Epoch(item.mod_revision), generation, record.change)
            return Ok(self.epoch)
        return Err(Failure(ErrorKind.CONFLICT, f"{self.shard} was not acquired"))

    def apply_claim(self, epoch: Epoch, generation: int, change: int) -> None:
        """Records a new epoch and the number of its change of ownership."""
        require(Invariant.EPOCH_RISES, epoch > self.epoch, f"{epoch} {self.epoch}")
        self.change_number = change
        self.epoch = epoch
        self.generation = generation
        logger.info(Event.SHARD_TAKEN, shard=self.shard, epoch=epoch)

    async def confirm(self) -> Result[bool, Failure]:
        """Reads whether the epoch is still current after a new lease was opened.

        :returns: Whether the shard is still owned.
        """
        generation = self.lease.generation
        reply = await self.store.range(self.keys.owner(self.shard))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        for item in reply.ok_value.items:
            if item.mod_revision != self.epoch:
                continue
            self.generation = generation
            return Ok(True)
        return Ok(False)

    async def release(self, at: float = 0.0) -> Result[bool, Failure]:
        """Releases the shard, so that another instance may acquire it at once.

        :param at: Seconds since 1970, for the audit trail.
        :returns: Whether the record still belonged to this epoch. After a failure
            the outcome is unknown and the record must be read again.
        """
        self.generation = 0
        return await self.release_record(self.epoch, self.change_number, at)

    async def release_record(
        self, epoch: int, change: int, at: float
    ) -> Result[bool, Failure]:
        """Releases the ownership record if it belongs to an epoch.

        :param change: Number of the change of ownership that made the record.
        :param at: Seconds since 1970, for the audit trail.
        """
        key = self.keys.owner(self.shard)
        number = change + 1
        record = OwnerRecord(owner=None, released=True, change=number)
        audit = ownership_put(
            self.keys, self.shard, number, self.instance, "release shard", at
        )
        compare = Compare(key, CompareTarget.MOD_REVISION, Revision(epoch))
        written = await self.store.commit(
            Transaction([compare], [Put(key, to_json(record)), audit])
        )
        if isinstance(written, Err):
            return Err(written.err_value)
        logger.info(Event.SHARD_RELEASED, shard=self.shard, epoch=epoch)
        return Ok(written.ok_value.succeeded)
