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
from msgspec.structs import replace
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
from lacewinghold.scheduler.reply_times import MAX_LIMIT_S, ReplyTimes
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
    from lacewinghold.ids import Epoch
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.scheduler.ports import (
        PollOrder,
        StartOrder,
        StopOrder,
        WorkerEntry,
    )
    from lacewinghold.schema.generated.cell import CellMember
    from lacewinghold.schema.generated.messages import RelayedReport
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
GATHER_S = 0.004  # Orders that come together share a message.
DIRECT_CALLS = 16  # Of this process at a time; more only wait for its processor.
LOOK_TRIES = 3  # Members that a look is tried over.
SLACK_S = 0.2  # Ways to a member in another region and back, and two gatherings.
FIRST_ANSWER_S = 0.2  # Orders wait this long for members that were just asked.
ASK_AGAIN_S = 1.0  # Members that do not answer are asked again this often.
AVOID_S = 2.0  # A member that did not reach a worker calls others meanwhile.
NUMBERS_AN_EPOCH = 2**24  # More than a process sends while an old reply is under way.


RelayedOrder: TypeAlias = RelayedLook | RelayedStart | RelayedStop
RelayedReply: TypeAlias = WorkerReport | OrderReply
UNREADABLE = OrderReply(OrderOutcome.UNKNOWN)  # A reply that says nothing.


class PendingOrder(Struct, eq=False):
    """An order whose reply is to come.

    :param unsent: Whether it surely has not left this instance.
    """

    settled: anyio.Event
    reply: RelayedReply | None = None
    unsent: bool = False


class RelayLane:
    """One member that carries out orders, and those that wait to be sent to it.

    It gets orders only while it is known to answer: dead members stay listed for a
    while.

    :param asked_at: When it was first asked whether it answers.
    """

    def __init__(self, member: CellMember, asked_at: float) -> None:
        self.name = InstanceId(member.instance)
        self.region = member.region
        self.data_centre = member.data_centre
        self.asked_at = asked_at
        self.answers = False
        self.ask = True
        self.orders = CellOrders([], [], [])

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
    :param epoch: Of the ownership: replies to an earlier one find nothing, even of
        another process at the same address.
    """

    name = "relays"

    def __init__(
        self,
        links: PeerLinks,
        direct: WorkerDialer,
        data_centre: str,
        lag: LagMonitor,
        epoch: Epoch,
    ) -> None:
        self.numbers = itertools.count(epoch * NUMBERS_AN_EPOCH)
        self.links = links
        self.data_centre = data_centre
        self.direct = direct
        self.lag = lag
        self.lanes: dict[InstanceId, RelayLane] = {}
        self.version = 0
        self.changed = anyio.Event()
        self.pending: dict[int, PendingOrder] = {}
        self.wanted = anyio.Event()
        self.times = ReplyTimes()
        self.direct_slots = anyio.CapacityLimiter(DIRECT_CALLS)

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return RelayedWorkerCalls(self, entry)

    # Members

    def add_member(self, member: CellMember) -> None:
        """Uses a member as soon as it answers."""
        lane = RelayLane(member, anyio.current_time())
        self.lanes[lane.name] = lane
        self.version += 1
        self.wanted.set()

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
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ask_again)
            while True:
                await self.wanted.wait()
                await anyio.sleep(GATHER_S)
                self.wanted = anyio.Event()
                for lane in list(self.lanes.values()):
                    await self.send(lane)

    async def ask_again(self) -> None:
        """Has members asked again that do not answer."""
        while True:
            await anyio.sleep(ASK_AGAIN_S + self.lag.allowance_s())
            for lane in self.lanes.values():
                lane.ask = not lane.answers
            self.wanted.set()

    async def send(self, lane: RelayLane) -> None:
        """Sends the orders that wait for one member, or asks whether it answers."""
        orders = lane.take()
        numbers = [
            order.number
            for some in (orders.looks, orders.starts, orders.stops)
            for order in some
        ]
        if not numbers and not lane.ask:
            return
        lane.ask = False
        if not await self.notify(lane, orders):
            for number in numbers:
                self.settle(number, None, unsent=True)

    async def notify(self, lane: RelayLane, orders: CellOrders) -> bool:
        """Sends one message.

        :returns: Whether it may have left this instance.
        """
        sent = await self.links.notify(lane.name, MessageKind.CELL_ORDERS, orders)
        return not isinstance(sent, Err)

    def note_replies(self, member: InstanceId, body: bytes) -> None:
        """Hands the replies of a member to those who wait for them."""
        lane = self.lanes.get(member)
        if lane is not None and not lane.answers:
            lane.answers = True
            self.note_change()
        replies = unpack(body, CellOrderReplies)
        for report in replies.reports:
            self.settle(report.number, read_report(report) or UNREADABLE)
        for found in replies.outcomes:
            outcome = read_outcome(found.outcome)
            self.settle(found.number, OrderReply(outcome, found.clock_ms))

    def note_silent(self, lane: RelayLane) -> None:
        """Uses a member no more until it answers again."""
        lane.answers = False
        lane.ask = True
        self.wanted.set()

    def note_change(self) -> None:
        """Wakes those who wait for a member that answers."""
        self.changed.set()
        self.changed = anyio.Event()

    def settle(
        self, number: int, reply: RelayedReply | None, *, unsent: bool = False
    ) -> None:
        """Ends the wait for one reply."""
        pending = self.pending.get(number)
        if pending is None:
            self.times.note_late(number, anyio.current_time())
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
        self.wanted.set()
        waits_s = order.wait_s if isinstance(order, RelayedLook) else 0.0
        usual_s = limit_s - waits_s + SLACK_S + self.lag.allowance_s()
        sent_at = anyio.current_time()
        try:
            limit_s = min(waits_s + self.times.limit_s(usual_s), MAX_LIMIT_S)
            with anyio.move_on_after(limit_s):
                await pending.settled.wait()
        finally:
            del self.pending[order.number]
        if pending.reply is None:
            self.times.note_overdue(order.number, sent_at + waits_s)
        elif not waits_s and answered(pending.reply):
            self.times.note(anyio.current_time() - sent_at)
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

    def lanes(self) -> list[RelayLane]:
        """Returns the members that may call this worker, the preferred ones first."""
        if self.version != self.relays.version:
            self.version = self.relays.version
            self.ranking = self.relays.rank_for(self.entry)
            self.avoided = {}
        now = anyio.current_time()
        near = self.relays.data_centre == self.entry.data_centre
        found = []
        for lane in self.ranking:
            if near and lane.data_centre != self.entry.data_centre:
                break
            if now >= self.avoided.get(lane.name, -math.inf):
                found.append(lane)
        return found

    async def choose_lane(self) -> RelayLane | None:
        """Returns the member to use, ``None`` if none is left but this instance.

        Waits a little for members that have been asked just now.
        """
        while True:
            for lane in self.lanes():
                if lane.answers:
                    return lane
                first_answer_by = lane.asked_at + FIRST_ANSWER_S
                if anyio.current_time() < first_answer_by:
                    with anyio.move_on_at(first_answer_by):
                        await self.relays.changed.wait()
                    break
            else:
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
        while (lane := await self.choose_lane()) is not None:
            began = anyio.current_time()
            pending = await self.relays.call(lane, order, limit_s)
            if pending.unsent:
                self.relays.note_silent(lane)
                continue
            if pending.reply is None:
                self.note_unanswered(lane, began)
                return OrderOutcome.UNKNOWN
            if not isinstance(pending.reply, WorkerReport):
                self.note_outcome(lane, pending.reply.outcome)
            return pending.reply
        return None

    def note_unanswered(self, lane: RelayLane, began: float) -> None:
        """Asks a member whether it answers at all, before others use it.

        Silence while this process was late says nothing of the member.
        """
        if not lane.answers or self.relays.lag.excused(began):
            return
        logger.info(Event.RELAY_SILENT, member=lane.name, worker=self.entry.worker)
        self.relays.note_silent(lane)

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
            async with self.relays.direct_slots:
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
            async with self.relays.direct_slots:
                return await self.open_direct().stop(order, timeout_s)
        return as_order_reply(reply)

    async def poll(
        self, order: PollOrder, timeout_s: float
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
        for _ in range(LOOK_TRIES):
            reply = await self.relay(relayed, relayed.wait_s + timeout_s)
            if reply is None:
                return await self.look_directly(order, timeout_s)
            if isinstance(reply, WorkerReport):
                return reply
            if isinstance(reply, OrderReply):
                return reply.outcome
            # The member did not answer, which says nothing of the worker.
            relayed.number = next(self.relays.numbers)
            relayed.wait_s = 0.0
            order = replace(order, wait_s=0.0)
        return OrderOutcome.UNKNOWN

    async def look_directly(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        """Looks from this instance; a look that waits for an end keeps no slot."""
        if order.wait_s > 0:
            return await self.open_direct().poll(order, timeout_s)
        async with self.relays.direct_slots:
            return await self.open_direct().poll(order, timeout_s)

    async def close(self) -> None:
        if self.direct is not None:
            await self.direct.close()


def answered(reply: RelayedReply) -> bool:
    """Returns whether the worker itself has answered, and not the member for it."""
    return isinstance(reply, WorkerReport) or reply.clock_ms is not None


def as_order_reply(reply: RelayedReply | OrderOutcome) -> OrderReply:
    """Returns the reply to a start or stop; a report answers neither."""
    if isinstance(reply, OrderReply):
        return reply
    if isinstance(reply, OrderOutcome):
        return OrderReply(reply)
    return OrderReply(OrderOutcome.UNKNOWN)


def read_outcome(name: str) -> OrderOutcome:
    """Returns an outcome by its name; one of another version says nothing."""
    try:
        return OrderOutcome(name)
    except ValueError:
        logger.warning(Event.DAMAGED_MESSAGE, detail=f"outcome {name}")
        return OrderOutcome.UNKNOWN


def read_report(report: RelayedReport) -> WorkerReport | None:
    """Returns a worker's report as a member has sent it.

    :returns: ``None`` if it names a kind of end of another version: ends that are
        left out would be acknowledged.
    """
    runs = []
    for run in report.runs:
        runs.append(RunReport(run.task, run.run, run.checkpoint, run.percent))
    ends = []
    for end in report.ends:
        try:
            kind = EndKind(end.kind)
        except ValueError:
            logger.warning(Event.DAMAGED_MESSAGE, detail=f"kind of end {end.kind}")
            return None
        ends.append(EndReport(end.number, end.task, end.run, kind, end.checkpoint))
    return WorkerReport(report.clock_ms, runs, ends)
