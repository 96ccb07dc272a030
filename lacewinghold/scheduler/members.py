"""The cell's members (its entry instances), and advice calls through them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import InstanceId, WorkerId
from lacewinghold.scheduler.job_store import MEMBERS_PREFIX
from lacewinghold.scheduler.ports import AdviceCalls, Ticket
from lacewinghold.schema.generated.cell import CellMember
from lacewinghold.schema.generated.messages import (
    CellAdvice,
    CellAdviseCall,
    MessageKind,
)
from lacewinghold.store.base import Put, Transaction
from lacewinghold.store.mirror import Mirror
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lacewinghold.ids import LeaseId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.store.base import KeyValue, Store
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
MEMBER_LEASE_S = 4.0  # A dead member is still called for this long.
RENEW_INTERVAL_S = 0.5  # Also detects soon that the store does not reply.
RENEW_RETRY_DELAY_S = 0.3  # Longer while this process is late.
SYNC_INTERVAL_S = 0.5
MAX_KNOWN_ADDRESSES = 1000  # Instance starts within a few days.
LINK_ROUND_TRIP_S = 0.3  # Added to the timeout of the call that a member makes.


class Membership:
    """This instance's member entry in the store, under a lease of its own."""

    def __init__(
        self, store: Store, prefix: str, member: CellMember, lag: LagMonitor
    ) -> None:
        self.store = store
        self.lag = lag
        self.key = f"{prefix}{MEMBERS_PREFIX}{member.instance}"
        self.member = member
        self.lease: LeaseId | None = None

    async def run(self) -> None:
        """Registers this instance and renews its lease until cancelled."""
        while True:
            kept = await (self.register() if self.lease is None else self.renew())
            await anyio.sleep(
                RENEW_INTERVAL_S if kept else self.lag.pause_s(RENEW_RETRY_DELAY_S)
            )

    async def register(self) -> bool:
        """Opens a lease and writes the member entry under it."""
        granted = await self.store.grant_lease(MEMBER_LEASE_S)
        if isinstance(granted, Err):
            return False
        put = Put(self.key, to_json(self.member), granted.ok_value)
        written = await self.store.commit(Transaction([], [put]))
        if isinstance(written, Err):
            return False
        self.lease = granted.ok_value
        logger.info(Event.MEMBER_ENTERED, lease=self.lease)
        return True

    async def renew(self) -> bool:
        """Renews the lease, or drops it once it has expired.

        :returns: Whether it is renewed.
        """
        assert self.lease is not None
        renewed = await self.store.renew_lease(self.lease)
        if isinstance(renewed, Err):
            return False
        if renewed.ok_value <= 0:
            logger.warning(Event.MEMBER_LAPSED, lease=self.lease)
            self.lease = None
            return False
        return True


class Members:
    """The members of the cell, as a copy of their entries in the store.

    :param on_change: Called with a member that was added, changed or removed.
    """

    def __init__(
        self, store: Store, prefix: str, on_change: Callable[[InstanceId], None]
    ) -> None:
        self.prefix = prefix + MEMBERS_PREFIX
        self.members: dict[InstanceId, CellMember] = {}
        self.addresses: dict[InstanceId, str] = {}
        self.on_change = on_change
        self.mirror = Mirror(
            store, self.prefix, self.apply_entry, self.remove_entry, SYNC_INTERVAL_S
        )

    def apply_entry(self, item: KeyValue) -> None:
        """Applies a member's entry."""
        try:
            member = from_json(item.value, CellMember)
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
            return
        instance = InstanceId(member.instance)
        self.members[instance] = member
        self.remember_address(instance, member.address)
        self.on_change(instance)

    def remember_address(self, instance: InstanceId, address: str) -> None:
        """Remembers an address longer than the lease lasts.

        A member that cannot reach the store still calls peers.
        """
        self.addresses[instance] = address
        while len(self.addresses) > MAX_KNOWN_ADDRESSES:
            del self.addresses[next(iter(self.addresses))]

    def remove_entry(self, key: str) -> None:
        """Removes a member whose lease has expired."""
        instance = InstanceId(key.removeprefix(self.prefix))
        if self.members.pop(instance, None) is not None:
            self.on_change(instance)


class MemberAdvice(AdviceCalls):
    """Calls the advice service through another member."""

    name = "member"

    def __init__(self, links: PeerLinks, member: InstanceId) -> None:
        self.links = links
        self.member = member

    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        call = CellAdviseCall(step, list(workers), timeout_s, by_position=True)
        reply = await self.links.call(
            self.member, MessageKind.CELL_ADVISE, call, timeout_s + LINK_ROUND_TRIP_S
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        try:
            return Ok(decode_advice(reply.ok_value, workers))
        except (msgspec.DecodeError, IndexError, ValueError) as error:
            logger.warning(Event.DAMAGED_MESSAGE, detail=str(error))
            return Err(Failure(ErrorKind.INVALID, f"malformed advice: {error}"))


def decode_advice(body: bytes, workers: Sequence[WorkerId]) -> list[Ticket]:
    """Returns the tickets in a member's answer.

    :param workers: The workers that were asked about.
    :raises msgspec.DecodeError: If the answer is malformed.
    :raises IndexError: If it names a position of no worker.
    :raises ValueError: If workers and tickets differ in number.
    """
    advice = unpack(body, CellAdvice)
    permitted = advice.workers
    if advice.positions:
        permitted = [workers[position] for position in advice.positions]
    tickets = []
    for worker, text in zip(permitted, advice.tickets, strict=True):
        tickets.append(Ticket(worker, text))
    return tickets


async def advise_for_peer(
    advice: AdviceCalls | None, body: bytes
) -> Result[CellAdvice, Failure]:
    """Calls the advice service on behalf of the owner.

    :param body: The packed call.
    :returns: Permitted workers, by position in the call if the caller supports it.
    """
    call = unpack(body, CellAdviseCall)
    if advice is None:
        return Err(Failure(ErrorKind.UNREACHABLE, "no advice service is configured"))
    answer = await advice.ask(call.step, call.workers, call.timeout_s)
    if isinstance(answer, Err):
        return Err(answer.err_value)
    workers = [ticket.worker for ticket in answer.ok_value]
    texts = [ticket.text for ticket in answer.ok_value]
    if not call.by_position:
        return Ok(CellAdvice(workers, texts))
    positions = {worker: position for position, worker in enumerate(call.workers)}
    named = [positions[worker] for worker in workers if worker in positions]
    if len(named) < len(workers):
        return Ok(CellAdvice(workers, texts))
    return Ok(CellAdvice([], texts, named))
