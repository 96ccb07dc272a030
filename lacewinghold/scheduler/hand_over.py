"""Hands the ownership over to a better member if this instance is weak or late."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.scheduler.election import LATE_THRESHOLD_S, MIN_HAND_OVER_INTERVAL_S
from lacewinghold.scheduler.strength import SUFFICIENT_STRENGTH

if TYPE_CHECKING:
    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.schema.generated.cell import CellMember

logger = structlog.get_logger(__name__)
CHECK_INTERVAL_S = 0.5
MIN_LATE_DURATION_S = 3.0  # A burst of calls or a load of the cell takes less.
# If the successor of a late owner is late too, the cause is the load, not the machine.
LATE_FOLLOWER_MIN_TERM_S = 30.0
MIN_STRENGTH_RATIO = 2.0  # Less is not worth the time without an owner.
MAX_OFFERS_PER_CHECK = 3
RELEASE_TIMEOUT_S = 1.0


class HandOver:
    """Checks during one term whether to hand the ownership over.

    :param instance: The instance that is the owner.
    """

    def __init__(self, instance: CellInstance, owner: CellOwner) -> None:
        self.instance = instance
        self.owner = owner
        self.ownership = owner.ownership
        self.acquired_at = anyio.current_time()
        self.late_since = math.inf

    async def run(self) -> None:
        """Checks periodically whether a better member can take over."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            self.record_lateness(now)
            if not self.is_sole_owner():
                continue
            late = self.is_late_too_long(now)
            for member in self.better_members(late=late)[:MAX_OFFERS_PER_CHECK]:
                if await self.offer(member, late=late):
                    return

    def is_sole_owner(self) -> bool:
        """Returns whether no owner before this one is active any more.

        A hand-over waits for this, as the next owner only makes sure that its direct
        predecessor has stopped.
        """
        return self.owner.recovered or self.owner.predecessor_stopped.is_set()

    def record_lateness(self, now: float) -> None:
        """Records since when this process has been late without a break."""
        if self.instance.lag.lag_s <= LATE_THRESHOLD_S:
            self.late_since = math.inf
            return
        self.late_since = min(self.late_since, now)

    def is_late_too_long(self, now: float) -> bool:
        """Returns whether to hand over to another instance of the same strength."""
        invitation = self.instance.election.invitation
        followed_late = invitation.late and invitation.term == self.ownership.term - 1
        stay_s = LATE_FOLLOWER_MIN_TERM_S if followed_late else MIN_HAND_OVER_INTERVAL_S
        if now - self.acquired_at < stay_s:
            return False
        return now - self.late_since >= MIN_LATE_DURATION_S

    def better_members(self, *, late: bool) -> list[CellMember]:
        """Returns the members that may take over, best first.

        :param late: Whether members of the same strength count, too.
        """
        instance = self.instance
        if (
            anyio.current_time() - instance.election.handed_over_at
            < MIN_HAND_OVER_INTERVAL_S
        ):
            return []
        own = min(instance.strength, SUFFICIENT_STRENGTH)
        members = []
        for member in instance.members.members.values():
            strength = min(member.strength, SUFFICIENT_STRENGTH)
            if member.instance == instance.instance:
                continue
            much_stronger = strength > own and (
                strength >= SUFFICIENT_STRENGTH or strength >= own * MIN_STRENGTH_RATIO
            )
            if much_stronger or (late and strength >= own):
                members.append(member)
        instance.rng.shuffle(members)
        # A member in the same region is as near to the store as this owner.
        members.sort(key=lambda m: m.region != instance.settings.region)
        members.sort(key=lambda m: -min(m.strength, SUFFICIENT_STRENGTH))
        return members

    async def offer(self, member: CellMember, *, late: bool) -> bool:
        """Gives up the ownership if a member accepts to take over.

        :returns: Whether it accepts.
        """
        peer = InstanceId(member.instance)
        term = self.ownership.term
        calls = self.instance.peer_calls
        if not await calls.request_takeover(peer, term, late=late):
            return False
        logger.info(
            Event.OWNERSHIP_HANDED_OVER,
            term=term,
            to=peer,
            late=late,
            lag_s=round(self.instance.lag.recent_max_s(), 3),
            strength=round(self.instance.strength, 2),
        )
        self.instance.metrics.hand_overs.labels("late" if late else "weak").inc()
        election = self.instance.election
        election.handed_over_at = anyio.current_time()
        # This task is cancelled once the ownership is lost; the release must complete.
        with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
            await election.release(self.ownership)
        return True
