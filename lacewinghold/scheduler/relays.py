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
ORDER_BATCHING_S = 0.004  # Orders that come together share a message.
MAX_DIRECT_CALLS = 16  # Of this process at a time; more only wait for its processor.
MAX_POLL_ATTEMPTS = 3  # Members that a look is tried over.
RELAY_OVERHEAD_S = (
    0.2  # Ways to a member in another region and back, and two gatherings.
)
FIRST_PROBE_TIMEOUT_S = 0.2  # Orders wait this long for members that were just asked.
PROBE_INTERVAL_S = 1.0  # Members that do not answer are asked again this often.
MEMBER_AVOIDANCE_S = 2.0  # A member that did not reach a worker calls others meanwhile.
ORDER_NUMBERS_PER_EPOCH = (
    2**24
)  # More than a process sends while an old reply is under way.


RelayedOrder: TypeAlias = RelayedLook | RelayedStart | RelayedStop
RelayedReply: TypeAlias = WorkerReport | OrderReply
UNREADABLE_REPLY = OrderReply(OrderOutcome.UNKNOWN)  # A reply that says nothing.


class PendingOrder(Struct, eq=False):
    """An order whose reply is to come.

    :param unsent: Whether it surely has not left this instance.
    """

    settled: anyio.Event
    reply: RelayedReply | None = None
    unsent: bool = False


class RelayMember:
    """One member that carries out orders, and those that wait to be sent to it.

    It gets orders only while it is known to answer: dead members stay listed for a
    while.

    :param first_probed_at: When it was first asked whether it answers.
    """

    def __init__(self, record: CellMember, first_probed_at: float) -> None:
        self.name = InstanceId(record.instance)
        self.region = record.region
        self.data_centre = record.data_centre
        self.first_probed_at = first_probed_at
        self.answering = False
        self.probe_due = True
        self.queued_orders = CellOrders([], [], [])

    def add(self, order: RelayedOrder) -> None:
        """Adds an order to the next message."""
        if isinstance(order, RelayedLook):
            self.queued_orders.looks.append(order)
        elif isinstance(order, RelayedStart):
            self.queued_orders.starts.append(order)
        else:
            self.queued_orders.stops.append(order)

    def drain_orders(self) -> CellOrders:
        """Returns the orders that wait, and begins a new message."""
        orders, self.queued_orders = self.queued_orders, CellOrders([], [], [])
        return orders


class OrderRelays(WorkerDialer):
    """Has members call the workers; calls those itself that no member is left for.

    :param direct_dialer: Opens calls from this instance.
    :param data_centre: Where this instance is.
    :param lag: Tells when this process itself is late.
    :param epoch: Of the ownership: replies to an earlier one find nothing, even of
        another process at the same address.
    """

    name = "relays"

    def __init__(
        self,
        links: PeerLinks,
        direct_dialer: WorkerDialer,
        data_centre: str,
        lag: LagMonitor,
        epoch: Epoch,
    ) -> None:
        self.order_numbers = itertools.count(epoch * ORDER_NUMBERS_PER_EPOCH)
        self.links = links
        self.data_centre = data_centre
        self.direct_dialer = direct_dialer
        self.lag = lag
        self.members: dict[InstanceId, RelayMember] = {}
        self.members_version = 0
        self.member_answered = anyio.Event()
        self.pending_orders: dict[int, PendingOrder] = {}
        self.send_requested = anyio.Event()
        self.reply_times = ReplyTimes()
        self.direct_slots = anyio.CapacityLimiter(MAX_DIRECT_CALLS)

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return RelayedWorkerCalls(self, entry)

    # Members

    def add_member(self, record: CellMember) -> None:
        """Uses a member as soon as it answers."""
        member = RelayMember(record, anyio.current_time())
        self.members[member.name] = member
        self.members_version += 1
        self.send_requested.set()

    def remove_member(self, instance: InstanceId) -> None:
        """Uses a member no more."""
        if self.members.pop(instance, None) is not None:
            self.members_version += 1

    def rank_members(self, entry: WorkerEntry) -> list[RelayMember]:
        """Returns the members by preference: near the worker, spread evenly."""
        regions = {
            member.data_centre: member.region for member in self.members.values()
        }
        region = regions.get(entry.data_centre)

        def preference(member: RelayMember) -> tuple[bool, bool, int]:
            return (
                member.data_centre != entry.data_centre,
                member.region != region,
                crc32(f"{entry.worker}/{member.name}".encode()),
            )

        return sorted(self.members.values(), key=preference)

    # Messages

    async def run(self) -> None:
        """Sends gathered orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.probe_silent_members)
            while True:
                await self.send_requested.wait()
                await anyio.sleep(ORDER_BATCHING_S)
                self.send_requested = anyio.Event()
                for member in list(self.members.values()):
                    await self.send_queued(member)

    async def probe_silent_members(self) -> None:
        """Has members asked again that do not answer."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S + self.lag.allowance_s())
            for member in self.members.values():
                member.probe_due = not member.answering
            self.send_requested.set()

    async def send_queued(self, member: RelayMember) -> None:
        """Sends the orders that wait for one member, or asks whether it answers."""
        orders = member.drain_orders()
        numbers = [
            order.number
            for group in (orders.looks, orders.starts, orders.stops)
            for order in group
        ]
        if not numbers and not member.probe_due:
            return
        member.probe_due = False
        if not await self.send_orders(member, orders):
            for number in numbers:
                self.settle(number, None, unsent=True)

    async def send_orders(self, member: RelayMember, orders: CellOrders) -> bool:
        """Sends one message.

        :returns: Whether it may have left this instance.
        """
        sent = await self.links.notify(member.name, MessageKind.CELL_ORDERS, orders)
        return not isinstance(sent, Err)

    def apply_replies(self, instance: InstanceId, body: bytes) -> None:
        """Hands the replies of a member to those who wait for them."""
        member = self.members.get(instance)
        if member is not None and not member.answering:
            member.answering = True
            self.notify_member_answered()
        replies = unpack(body, CellOrderReplies)
        for report in replies.reports:
            self.settle(report.number, decode_report(report) or UNREADABLE_REPLY)
        for relayed in replies.outcomes:
            outcome = decode_outcome(relayed.outcome)
            self.settle(relayed.number, OrderReply(outcome, relayed.clock_ms))

    def mark_silent(self, member: RelayMember) -> None:
        """Uses a member no more until it answers again."""
        member.answering = False
        member.probe_due = True
        self.send_requested.set()

    def notify_member_answered(self) -> None:
        """Wakes those who wait for a member that answers."""
        self.member_answered.set()
        self.member_answered = anyio.Event()

    def settle(
        self, number: int, reply: RelayedReply | None, *, unsent: bool = False
    ) -> None:
        """Ends the wait for one reply."""
        pending = self.pending_orders.get(number)
        if pending is None:
            self.reply_times.record_late_reply(number, anyio.current_time())
            return
        pending.reply = reply
        pending.unsent = unsent
        pending.settled.set()

    async def call(
        self, member: RelayMember, order: RelayedOrder, limit_s: float
    ) -> PendingOrder:
        """Has a member carry out an order, and waits for its reply.

        :returns: The order; without a reply the member has not answered in time.
        """
        pending = PendingOrder(anyio.Event())
        self.pending_orders[order.number] = pending
        member.add(order)
        self.send_requested.set()
        wait_s = order.wait_s if isinstance(order, RelayedLook) else 0.0
        usual_limit_s = limit_s - wait_s + RELAY_OVERHEAD_S + self.lag.allowance_s()
        sent_at = anyio.current_time()
        try:
            limit_s = min(wait_s + self.reply_times.limit_s(usual_limit_s), MAX_LIMIT_S)
            with anyio.move_on_after(limit_s):
                await pending.settled.wait()
        finally:
            del self.pending_orders[order.number]
        if pending.reply is None:
            self.reply_times.record_overdue(order.number, sent_at + wait_s)
        elif not wait_s and worker_answered(pending.reply):
            self.reply_times.record(anyio.current_time() - sent_at)
        return pending


class RelayedWorkerCalls(WorkerCalls):
    """Calls to one worker over the members near it."""

    name = "relayed"

    def __init__(self, relays: OrderRelays, entry: WorkerEntry) -> None:
        self.relays = relays
        self.entry = entry
        self.ranked_members: list[RelayMember] = []
        self.ranked_version = -1
        self.avoided_until: dict[InstanceId, float] = {}
        self.direct_calls: WorkerCalls | None = None

    def usable_members(self) -> list[RelayMember]:
        """Returns the members that may call this worker, the preferred ones first."""
        if self.ranked_version != self.relays.members_version:
            self.ranked_version = self.relays.members_version
            self.ranked_members = self.relays.rank_members(self.entry)
            self.avoided_until = {}
        now = anyio.current_time()
        near = self.relays.data_centre == self.entry.data_centre
        found = []
        for member in self.ranked_members:
            if near and member.data_centre != self.entry.data_centre:
                break
            if now >= self.avoided_until.get(member.name, -math.inf):
                found.append(member)
        return found

    async def choose_member(self) -> RelayMember | None:
        """Returns the member to use, ``None`` if none is left but this instance.

        Waits a little for members that have been asked just now.
        """
        while True:
            for member in self.usable_members():
                if member.answering:
                    return member
                probe_deadline = member.first_probed_at + FIRST_PROBE_TIMEOUT_S
                if anyio.current_time() < probe_deadline:
                    with anyio.move_on_at(probe_deadline):
                        await self.relays.member_answered.wait()
                    break
            else:
                return None

    def open_direct_calls(self) -> WorkerCalls:
        """Returns the calls from this instance."""
        if self.direct_calls is None:
            self.direct_calls = self.relays.direct_dialer.open(self.entry)
        return self.direct_calls

    async def relay_order(
        self, order: RelayedOrder, limit_s: float
    ) -> RelayedReply | OrderOutcome | None:
        """Has a member carry out an order.

        :returns: ``None`` if no member can be asked, so that nothing was sent.
        """
        while (member := await self.choose_member()) is not None:
            began_at = anyio.current_time()
            pending = await self.relays.call(member, order, limit_s)
            if pending.unsent:
                self.relays.mark_silent(member)
                continue
            if pending.reply is None:
                self.handle_unanswered(member, began_at)
                return OrderOutcome.UNKNOWN
            if not isinstance(pending.reply, WorkerReport):
                self.avoid_after_failure(member, pending.reply.outcome)
            return pending.reply
        return None

    def handle_unanswered(self, member: RelayMember, began_at: float) -> None:
        """Asks a member whether it answers at all, before others use it.

        Silence while this process was late says nothing of the member.
        """
        if not member.answering or self.relays.lag.excused(began_at):
            return
        logger.info(Event.RELAY_SILENT, member=member.name, worker=self.entry.worker)
        self.relays.mark_silent(member)

    def avoid_after_failure(self, member: RelayMember, outcome: OrderOutcome) -> None:
        """Tries another member next, after one did not reach the worker."""
        if outcome in (OrderOutcome.NOT_SENT, OrderOutcome.UNKNOWN):
            self.avoided_until[member.name] = anyio.current_time() + MEMBER_AVOIDANCE_S

    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        relayed = RelayedStart(
            next(self.relays.order_numbers),
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
        reply = await self.relay_order(relayed, timeout_s)
        if reply is None:
            async with self.relays.direct_slots:
                return await self.open_direct_calls().start(order, timeout_s)
        return to_order_reply(reply)

    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        relayed = RelayedStop(
            next(self.relays.order_numbers),
            self.entry.worker,
            self.entry.incarnation,
            self.entry.address,
            timeout_s,
            order.epoch,
            order.task,
            order.run,
        )
        reply = await self.relay_order(relayed, timeout_s)
        if reply is None:
            async with self.relays.direct_slots:
                return await self.open_direct_calls().stop(order, timeout_s)
        return to_order_reply(reply)

    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        relayed = RelayedLook(
            next(self.relays.order_numbers),
            self.entry.worker,
            self.entry.incarnation,
            self.entry.address,
            timeout_s,
            order.epoch,
            order.acknowledged,
            order.lease_until_ms,
            order.wait_s,
        )
        for _ in range(MAX_POLL_ATTEMPTS):
            reply = await self.relay_order(relayed, relayed.wait_s + timeout_s)
            if reply is None:
                return await self.poll_directly(order, timeout_s)
            if isinstance(reply, WorkerReport):
                return reply
            if isinstance(reply, OrderReply):
                return reply.outcome
            # The member did not answer, which says nothing of the worker.
            relayed.number = next(self.relays.order_numbers)
            relayed.wait_s = 0.0
            order = replace(order, wait_s=0.0)
        return OrderOutcome.UNKNOWN

    async def poll_directly(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        """Looks from this instance; a look that waits for an end keeps no slot."""
        if order.wait_s > 0:
            return await self.open_direct_calls().poll(order, timeout_s)
        async with self.relays.direct_slots:
            return await self.open_direct_calls().poll(order, timeout_s)

    async def close(self) -> None:
        if self.direct_calls is not None:
            await self.direct_calls.close()


def worker_answered(reply: RelayedReply) -> bool:
    """Returns whether the worker itself has answered, and not the member for it."""
    return isinstance(reply, WorkerReport) or reply.clock_ms is not None


def to_order_reply(reply: RelayedReply | OrderOutcome) -> OrderReply:
    """Returns the reply to a start or stop; a report answers neither."""
    if isinstance(reply, OrderReply):
        return reply
    if isinstance(reply, OrderOutcome):
        return OrderReply(reply)
    return OrderReply(OrderOutcome.UNKNOWN)


def decode_outcome(name: str) -> OrderOutcome:
    """Returns an outcome by its name; one of another version says nothing."""
    try:
        return OrderOutcome(name)
    except ValueError:
        logger.warning(Event.DAMAGED_MESSAGE, detail=f"outcome {name}")
        return OrderOutcome.UNKNOWN


def decode_report(report: RelayedReport) -> WorkerReport | None:
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
