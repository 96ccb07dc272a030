"""Leader election among entry instances: an ownership record under a short lease."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from msgspec import Struct
from result import Err, Result

from lacewinghold.events import Event
from lacewinghold.ids import Epoch
from lacewinghold.scheduler.job_store import OWNER_KEY
from lacewinghold.scheduler.strength import SUFFICIENT_STRENGTH
from lacewinghold.schema.generated.cell import CellOwnerRecord
from lacewinghold.store.base import Compare, CompareTarget, Put, Transaction
from lacewinghold.store.mirror import Mirror
from lacewinghold.util.clock import lease_time
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    import random

    from lacewinghold.errors import Failure
    from lacewinghold.ids import InstanceId, LeaseId
    from lacewinghold.scheduler.lateness import RenewalMonitor
    from lacewinghold.store.base import KeyValue, RangeReply, Store

logger = structlog.get_logger(__name__)
RENEWALS_PER_LEASE = 5  # A lease survives three unanswered renewals.
WEAK_LEASE_FACTOR = 2.0  # A weak machine is more often late than dead.
LEASE_MARGIN_SHARE = 0.1  # Share of a lease's duration that is not relied on.
MAX_CLAIM_JITTER_S = 0.02  # Spreads the claims of equal instances.
REMOTE_CLAIM_DELAY_S = 0.15  # Instances in the store's region claim first.
WEAK_CLAIM_DELAY_S = 0.3  # Longer than strong instances in other regions wait.
REMOTE_CALL_S = 0.03  # Store calls from another region take longer.
MAX_AGE_DELAY_S = 0.1  # More than the jitter, less than a lease.
# The delay grows up to this age. A rolling restart of seven instances takes less.
MAX_DELAY_AGE_S = 60.0
LATE_THRESHOLD_S = 0.3  # About the timeout of a call to a worker.
HANDED_OVER_DELAY_S = 1.0  # After a hand-over, all other instances claim first.
INVITATION_VALID_S = 3.0
# Time between two hand-overs that one instance takes part in.
MIN_HAND_OVER_INTERVAL_S = 10.0
CLAIM_RETRY_DELAY_S = 0.1
TERM_KEY = "term"  # The last owner's record; it outlives the lease.


class Ownership(Struct):
    """One term of ownership of the cell.

    :param epoch: Store revision of the claim, used as the fencing token.
    :param term: Number of the term, from 1.
    :param valid_until: Until when the lease holds, by ``lease_time``, unless the store
        ends it early.
    :param confirmed_at: When the last call was made by which the store has confirmed
        the lease, by ``lease_time``. Any later owner has claimed after it.
    :param lost: Set once the ownership is lost or given up.
    :param record: The record in the store.
    """

    epoch: Epoch
    term: int
    lease: LeaseId
    valid_until: float
    confirmed_at: float
    lost: anyio.Event
    record: CellOwnerRecord


class Invitation(Struct, frozen=True):
    """An owner's request that this instance takes over from it.

    :param term: Number of the term that is to end.
    :param late: Whether the reason is that the owner's process is late.
    :param at: Time of receipt, on the event loop's clock.
    """

    term: int = 0
    late: bool = False
    at: float = -math.inf


class Election:
    """Claims the ownership record while it is vacant, and renews its lease.

    :param instance: Id of this process; a restart gets a new one.
    :param address: Address at which peers reach this instance.
    :param lease_s: Duration of the lease in seconds on a machine that is strong enough.
    :param strength: Strength of this instance's machine.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        instance: InstanceId,
        address: str,
        lease_s: float,
        rng: random.Random,
        renewals: RenewalMonitor,
        strength: float = SUFFICIENT_STRENGTH,
    ) -> None:
        self.strength = strength
        self.invitation = Invitation()
        self.handed_over_at = -math.inf
        self.store = store
        self.prefix = prefix
        self.instance = instance
        self.address = address
        self.lease_s = lease_s
        if strength < SUFFICIENT_STRENGTH:
            self.lease_s *= WEAK_LEASE_FACTOR
        self.rng = rng
        self.renewals = renewals
        self.owner: CellOwnerRecord | None = None
        self.predecessor: CellOwnerRecord | None = None
        self.min_call_s = 0.0
        self.started_at = anyio.current_time()
        self.vacant = anyio.Event()
        self.leaving = False
        self.mirror = Mirror(
            store, prefix + OWNER_KEY, self.record_owner, self.record_vacancy
        )

    def record_owner(self, item: KeyValue) -> None:
        """Records the owner."""
        try:
            self.owner = from_json(item.value, CellOwnerRecord)
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
            return
        logger.info(
            Event.OWNER,
            owner=self.owner.instance,
            term=self.owner.term,
            revision=item.mod_revision,
        )

    def record_vacancy(self, key: str) -> None:
        """Records that there is no owner."""
        logger.info(Event.OWNER_GONE, owner=self.owner.instance if self.owner else "")
        self.owner = None
        self.vacant.set()

    async def wait_for_turn(self) -> None:
        """Waits until this instance may claim the ownership."""
        while True:
            await self.mirror.synced.wait()
            if self.owner is not None or self.leaving:
                self.vacant = anyio.Event()
                with anyio.move_on_after(1.0):
                    await self.vacant.wait()
                continue
            await anyio.sleep(self.claim_delay_s())
            if self.owner is None and not self.leaving:
                return

    def claim_delay_s(self) -> float:
        """Returns how long this instance waits before its claim, in seconds.

        Strong instances claim first, then those in the store's region, then those that
        started last, as a rolling restart stops the oldest first. An instance that the
        owner has invited does not wait.
        """
        now = anyio.current_time()
        if now - self.invitation.at < INVITATION_VALID_S:
            return 0.0
        delay_s = self.rng.random() * MAX_CLAIM_JITTER_S
        if now - self.handed_over_at < MIN_HAND_OVER_INTERVAL_S:
            delay_s += HANDED_OVER_DELAY_S
        if self.strength < SUFFICIENT_STRENGTH:
            delay_s += WEAK_CLAIM_DELAY_S * (1 - self.strength / 2)
        if self.min_call_s > REMOTE_CALL_S:
            delay_s += REMOTE_CLAIM_DELAY_S
        age_s = now - self.started_at
        return delay_s + min(1.0, age_s / MAX_DELAY_AGE_S) * MAX_AGE_DELAY_S

    def accept_invitation(self, invitation: Invitation) -> bool:
        """Accepts or declines an owner's request to take over from it.

        An instance that has taken part in a hand-over recently declines, so that the
        ownership does not flap. So does one that is late itself.

        :returns: Whether the invitation is accepted.
        """
        now = invitation.at
        owner = self.owner
        if self.leaving or owner is None or owner.term != invitation.term:
            return False
        if (
            now - max(self.handed_over_at, self.invitation.at)
            < MIN_HAND_OVER_INTERVAL_S
        ):
            return False
        if self.renewals.lag.recent_max_s() > LATE_THRESHOLD_S:
            return False
        self.invitation = invitation
        return True

    async def claim(self) -> Ownership | None:
        """Tries to become the owner.

        :returns: The ownership, or ``None`` if another instance was first or the store
            failed.
        """
        started = anyio.current_time()
        requested_at = lease_time()
        granted, term_reply = await self.grant_lease_and_read_term()
        if isinstance(granted, Err) or isinstance(term_reply, Err):
            await anyio.sleep(CLAIM_RETRY_DELAY_S)
            return None
        # The fastest call shows the distance; others may meet a slow store.
        call_s = anyio.current_time() - started
        self.min_call_s = min(self.min_call_s or call_s, call_s)
        term_key = self.prefix + TERM_KEY
        items = term_reply.ok_value.items
        term_revision = items[0].mod_revision if items else 0
        self.predecessor = from_json(items[0].value, CellOwnerRecord) if items else None
        term = self.predecessor.term + 1 if self.predecessor else 1
        record = CellOwnerRecord(
            instance=self.instance,
            address=self.address,
            term=term,
            alone=self.predecessor is None,
        )
        key = self.prefix + OWNER_KEY
        reply = await self.store.commit(
            Transaction(
                [
                    Compare(key, CompareTarget.MOD_REVISION, 0),
                    Compare(term_key, CompareTarget.MOD_REVISION, term_revision),
                ],
                [
                    Put(key, to_json(record), granted.ok_value),
                    Put(term_key, to_json(record)),
                ],
            )
        )
        if isinstance(reply, Err) or not reply.ok_value.succeeded:
            # A claim whose reply was lost ends with its lease.
            await self.store.revoke_lease(granted.ok_value)
            await anyio.sleep(CLAIM_RETRY_DELAY_S)
            return None
        ownership = Ownership(
            epoch=Epoch(reply.ok_value.revision),
            term=term,
            lease=granted.ok_value,
            valid_until=requested_at + self.lease_s * (1 - LEASE_MARGIN_SHARE),
            confirmed_at=requested_at,
            lost=anyio.Event(),
            record=record,
        )
        logger.info(Event.OWNERSHIP_TAKEN, term=term, epoch=ownership.epoch)
        return ownership

    async def grant_lease_and_read_term(
        self,
    ) -> tuple[Result[LeaseId, Failure], Result[RangeReply, Failure]]:
        """Opens a lease and reads the last owner's record, both concurrently."""
        found: list[Result[RangeReply, Failure]] = []

        async def read_term() -> None:
            found.append(await self.store.range(self.prefix + TERM_KEY))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_term)
            granted = await self.store.grant_lease(self.lease_s)
        return granted, found[0]

    async def renew_until_lost(self, ownership: Ownership) -> None:
        """Renews the lease until the ownership is lost.

        Renewals overlap, so that one without a reply does not cost the ownership.
        """
        async with anyio.create_task_group() as tasks:
            due = anyio.current_time()
            while not ownership.lost.is_set():
                tasks.start_soon(self.renew, ownership, due)
                due = anyio.current_time() + self.lease_s / RENEWALS_PER_LEASE
                await anyio.sleep(self.lease_s / RENEWALS_PER_LEASE)
            tasks.cancel_scope.cancel()

    async def renew(self, ownership: Ownership, due: float) -> None:
        """Renews the lease once.

        :param due: When the renewal was due, on the event loop's clock.
        """
        requested_at = lease_time()
        reply = await self.store.renew_lease(ownership.lease)
        if isinstance(reply, Err):
            return
        if reply.ok_value <= 0:
            if not ownership.lost.is_set():
                logger.warning(
                    Event.OWNERSHIP_LAPSED,
                    term=ownership.term,
                    **self.renewals.log_fields(),
                )
            ownership.lost.set()
            return
        if ownership.lost.is_set():
            return
        self.renewals.record_renewal(due, ownership.valid_until - lease_time())
        valid_until = requested_at + self.lease_s * (1 - LEASE_MARGIN_SHARE)
        ownership.valid_until = max(ownership.valid_until, valid_until)
        ownership.confirmed_at = max(ownership.confirmed_at, requested_at)

    async def release(self, ownership: Ownership) -> None:
        """Gives up the ownership; others need not wait for the lease to expire."""
        ownership.lost.set()
        ownership.valid_until = ownership.confirmed_at = -math.inf
        await self.store.revoke_lease(ownership.lease)
