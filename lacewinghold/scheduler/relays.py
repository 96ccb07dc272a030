"""Orders to workers that instances near the workers carry out for the owner.

It answers the load of a cell that is larger than one process can call: the owner
sends a few gathered messages to the members in place of a call to each worker.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, TypeAlias
from zlib import crc32

import anyio
import structlog
from msgspec import Struct
from result import Err

from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.scheduler.ports import (
    EndKind,
    EndReport,
    OrderOutcome,
    OrderReply,
    RunReport,
    WorkerCalls,
    WorkerDialer,
    WorkerReport,
)
from lacewinghold.schema.generated.messages import (
    CellOrderReplies,
    CellOrders,
    MessageKind,
    RelayedLook,
    RelayedStart,
    RelayedStop,
)
from lacewinghold.util.codec import unpack

if TYPE_CHECKING:
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.scheduler.ports import (
        LookOrder,
        StartOrder,
        StopOrder,
        WorkerEntry,
    )
    from lacewinghold.schema.generated.cell import CellMember
    from lacewinghold.schema.generated.messages import RelayedReport
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
GATHER_S = 0.004  # Orders that come together share a message.
SLACK_S = 0.2  # Ways to a member in another region and back, and two gatherings.
AVOID_S = 2.0  # A member that did not answer, or did not reach a worker, rests.
AVOID_LIMIT_S = 16.0  # One that never answers costs an order this rarely.

RelayedOrder: TypeAlias = RelayedLook | RelayedStart | RelayedStop
RelayedReply: TypeAlias = WorkerReport | OrderReply


class PendingOrder(Struct, eq=False):
    """An order whose reply is to come.

    :param unsent: Whether it surely has not left this instance.
    """

    settled: anyio.Event
    reply: RelayedReply | None = None
    unsent: bool = False


class RelayLane:
    """One member that carries out orders, and those that wait to be sent to it.

    A member that did not answer gets one order after a rest, and the others again
    once that is answered.
    """

    def __init__(self, member: CellMember) -> None:
        self.name = InstanceId(member.instance)
        self.region = member.region
        self.data_centre = member.data_centre
        self.orders = CellOrders([], [], [])
        self.avoided_until = -math.inf
        self.failures = 0
        self.under_way = 0

    def usable(self, now: float) -> bool:
        """Returns whether the member is to be asked."""
        if self.failures:
            return now >= self.avoided_until and not self.under_way
        return True

    def note_failure(self) -> None:
        """Leaves the member alone for a while, longer each time."""
        rest_s = min(AVOID_S * 2**self.failures, AVOID_LIMIT_S)
        self.avoided_until = anyio.current_time() + rest_s
        self.failures += 1

    def add(self, order: RelayedOrder) -> None:
        """Adds an order to the next message."""
        if isinstance(order, RelayedLook):
            self.orders.looks.append(order)
        elif isinstance(order, RelayedStart):
            self.orders.starts.append(order)
        else:
            self.orders.stops.append(order)

    def take(self) -> CellOrders:
        """Returns the orders that wait, and begins a new message."""
        orders, self.orders = self.orders, CellOrders([], [], [])
        return orders


class OrderRelays(WorkerDialer):
    """Has members call the workers; calls those itself that no member is left for.

    :param direct: Opens calls from this instance.
    :param data_centre: Where this instance is.
    :param lag: Tells when this process itself is late.
    """

    name = "relays"
    numbers = itertools.count(1)  # Replies to an earlier ownership find nothing.

    def __init__(
        self,
        links: PeerLinks,
        direct: WorkerDialer,
        data_centre: str,
        lag: LagMonitor,
    ) -> None:
        self.links = links
        self.data_centre = data_centre
        self.direct = direct
        self.lag = lag
        self.lanes: dict[InstanceId, RelayLane] = {}
        self.version = 0
        self.pending: dict[int, PendingOrder] = {}
        self.wanted = anyio.Event()

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return RelayedWorkerCalls(self, entry)

    # Members

    def add_member(self, member: CellMember) -> None:
        """Uses a member from now on."""
        self.lanes[InstanceId(member.instance)] = RelayLane(member)
        self.version += 1

    def remove_member(self, instance: InstanceId) -> None:
        """Uses a member no more."""
        if self.lanes.pop(instance, None) is not None:
            self.version += 1

    def rank_for(self, entry: WorkerEntry) -> list[RelayLane]:
        """Returns the members by preference: near the worker, spread evenly."""
        regions = {lane.data_centre: lane.region for lane in self.lanes.values()}
        region = regions.get(entry.data_centre)

        def preference(lane: RelayLane) -> tuple[bool, bool, int]:
            return (
                lane.data_centre != entry.data_centre,
                lane.region != region,
                crc32(f"{entry.worker}/{lane.name}".encode()),
            )

        return sorted(self.lanes.values(), key=preference)

    # Messages

    async def run(self) -> None:
        """Sends gathered orders until cancelled."""
        while True:
            await self.wanted.wait()
            await anyio.sleep(GATHER_S)
            self.wanted = anyio.Event()
            for lane in list(self.lanes.values()):
                await self.send(lane)

    async def send(self, lane: RelayLane) -> None:
        """Sends the orders that wait for one member."""
        orders = lane.take()
        numbers = [
            order.number
            for some in (orders.looks, orders.starts, orders.stops)
            for order in some
        ]
        if not numbers:
            return
        sent = await self.links.notify(lane.name, MessageKind.CELL_ORDERS, orders)
        if isinstance(sent, Err):
            for number in numbers:
                self.settle(number, None, unsent=True)

    def note_replies(self, body: bytes) -> None:
        """Hands the replies of a member to those who wait for them."""
        replies = unpack(body, CellOrderReplies)
        for report in replies.reports:
            self.settle(report.number, read_report(report))
        for found in replies.outcomes:
            outcome = OrderOutcome(found.outcome)
            self.settle(found.number, OrderReply(outcome, found.clock_ms))

    def settle(
        self, number: int, reply: RelayedReply | None, *, unsent: bool = False
    ) -> None:
        """Ends the wait for one reply."""
        pending = self.pending.get(number)
        if pending is None:
            return
        pending.reply = reply
        pending.unsent = unsent
        pending.settled.set()

    async def call(
        self, lane: RelayLane, order: RelayedOrder, limit_s: float
    ) -> PendingOrder:
        """Has a member carry out an order, and waits for its reply.

        :returns: The order; without a reply the member has not answered in time.
        """
        pending = PendingOrder(anyio.Event())
        self.pending[order.number] = pending
        lane.add(order)
        lane.under_way += 1
        self.wanted.set()
        limit_s += SLACK_S + self.lag.allowance_s()
        try:
            with anyio.move_on_after(limit_s):
                await pending.settled.wait()
        finally:
            lane.under_way -= 1
            del self.pending[order.number]
        if pending.reply is not None:
            lane.failures = 0
        return pending


class RelayedWorkerCalls(WorkerCalls):
    """Calls to one worker over the members near it."""

    name = "relayed"

    def __init__(self, relays: OrderRelays, entry: WorkerEntry) -> None:
        self.relays = relays
        self.entry = entry
        self.ranking: list[RelayLane] = []
        self.version = -1
        self.avoided: dict[InstanceId, float] = {}
        self.direct: WorkerCalls | None = None

    def lane(self) -> RelayLane | None:
        """Returns the member to use now, ``None`` if there is none."""
        if self.version != self.relays.version:
            self.version = self.relays.version
            self.ranking = self.relays.rank_for(self.entry)
            self.avoided = {}
        now = anyio.current_time()
        near = self.relays.data_centre == self.entry.data_centre
        for lane in self.ranking:
            if near and lane.data_centre != self.entry.data_centre:
                return None
            if lane.usable(now) and now >= self.avoided.get(lane.name, -math.inf):
                return lane
        return None

    def open_direct(self) -> WorkerCalls:
        """Returns the calls from this instance."""
        if self.direct is None:
            self.direct = self.relays.direct.open(self.entry)
        return self.direct

    async def relay(
        self, order: RelayedOrder, limit_s: float
    ) -> RelayedReply | OrderOutcome | None:
        """Has a member carry out an order.

        :returns: ``None`` if no member can be asked, so that nothing was sent.
        """
        while (lane := self.lane()) is not None:
            pending = await self.relays.call(lane, order, limit_s)
            if pending.unsent:
                lane.note_failure()
                continue
            if pending.reply is None:
                self.note_unanswered(lane)
                return OrderOutcome.UNKNOWN
            if not isinstance(pending.reply, WorkerReport):
                self.note_outcome(lane, pending.reply.outcome)
            return pending.reply
        return None

    def note_unanswered(self, lane: RelayLane) -> None:
        """Leaves a member alone that did not answer, for all workers."""
        if anyio.current_time() < lane.avoided_until:
            return
        lane.note_failure()
        logger.info(
            Event.RELAY_SILENT,
            member=lane.name,
            worker=self.entry.worker,
            failures=lane.failures,
        )

    def note_outcome(self, lane: RelayLane, outcome: OrderOutcome) -> None:
        """Tries another member next, after one did not reach the worker."""
        if outcome in (OrderOutcome.NOT_SENT, OrderOutcome.UNKNOWN):
            self.avoided[lane.name] = anyio.current_time() + AVOID_S

    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        relayed = RelayedStart(
            next(self.relays.numbers),
            self.entry.worker,
            self.entry.incarnation,
            self.entry.address,
            timeout_s,
            order.epoch,
            order.task,
            order.run,
            order.program,
            order.lease_until_ms,
            order.checkpoint,
            order.ticket,
        )
        reply = await self.relay(relayed, timeout_s)
        if reply is None:
            return await self.open_direct().start(order, timeout_s)
        return as_order_reply(reply)

    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        relayed = RelayedStop(
            next(self.relays.numbers),
            self.entry.worker,
            self.entry.incarnation,
            self.entry.address,
            timeout_s,
            order.epoch,
            order.task,
            order.run,
        )
        reply = await self.relay(relayed, timeout_s)
        if reply is None:
            return await self.open_direct().stop(order, timeout_s)
        return as_order_reply(reply)

    async def look(
        self, order: LookOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        relayed = RelayedLook(
            next(self.relays.numbers),
            self.entry.worker,
            self.entry.incarnation,
            self.entry.address,
            timeout_s,
            order.epoch,
            order.acknowledged,
            order.lease_until_ms,
            order.wait_s,
        )
        reply = await self.relay(relayed, order.wait_s + timeout_s)
        if reply is None:
            return await self.open_direct().look(order, timeout_s)
        return reply.outcome if isinstance(reply, OrderReply) else reply

    async def close(self) -> None:
        if self.direct is not None:
            await self.direct.close()


def as_order_reply(reply: RelayedReply | OrderOutcome) -> OrderReply:
    """Returns the reply to a start or stop; a report answers neither."""
    if isinstance(reply, OrderReply):
        return reply
    if isinstance(reply, OrderOutcome):
        return OrderReply(reply)
    return OrderReply(OrderOutcome.UNKNOWN)


def read_report(report: RelayedReport) -> WorkerReport:
    """Returns a worker's report as a member has sent it."""
    runs = []
    for run in report.runs:
        runs.append(RunReport(run.task, run.run, run.checkpoint, run.percent))
    ends = []
    for end in report.ends:
        kind = EndKind(end.kind)
        ends.append(EndReport(end.number, end.task, end.run, kind, end.checkpoint))
    return WorkerReport(report.clock_ms, runs, ends)
