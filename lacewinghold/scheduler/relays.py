"""Relays the owner's orders to workers through members near the workers.

One process cannot call every worker of a large cell itself. So the owner sends each
member a few messages with batches of orders, and the member calls the workers. The
owner calls a worker itself only if no member is available for it.
"""

from __future__ import annotations

import math
from itertools import chain, count
from typing import TYPE_CHECKING, TypeAlias

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
from lacewinghold.scheduler.relay_choice import RelayChoice
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
from lacewinghold.util.containment import contained

if TYPE_CHECKING:
    from collections.abc import Iterator

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
ORDER_BATCHING_S = 0.004  # Orders of about the same time share a message.
MAX_DIRECT_CALLS = 16  # At a time; more would only wait for this process's CPU.
MAX_POLL_ATTEMPTS = 3  # Through other members where one has not answered.
RELAY_OVERHEAD_S = 0.2  # A round trip between regions, and batching at both ends.
FIRST_PROBE_TIMEOUT_S = 0.2  # Orders wait this long for a new member's first answer.
PROBE_INTERVAL_S = 1.0
MEMBER_AVOIDANCE_S = 2.0  # Per worker that the member did not reach.
# More orders than a process sends while a reply of an earlier epoch is in transit.
ORDER_NUMBERS_PER_EPOCH = 2**24

RelayedOrder: TypeAlias = RelayedLook | RelayedStart | RelayedStop
RelayedReply: TypeAlias = WorkerReport | OrderReply
UNREADABLE_REPLY = OrderReply(OrderOutcome.UNKNOWN)


class PendingOrder(Struct, eq=False):
    """An order that waits for its reply.

    :param settled: Set once the reply is there, or the order could not be sent.
    :param unsent: Whether the order certainly has not left this instance.
    """

    settled: anyio.Event
    reply: RelayedReply | None = None
    unsent: bool = False


class RelayMember:
    """A member that relays orders, with its queue of orders to send.

    Orders are sent only to members that are known to answer, since a dead member
    stays listed for a while. A probe is a message without orders, which a member
    answers at once.

    :param record: The member's entry in the store.
    :param first_probed_at: When the first probe was requested, on the runtime's
        clock.
    """

    def __init__(self, record: CellMember, first_probed_at: float) -> None:
        self.name = InstanceId(record.instance)
        self.region = record.region
        self.data_centre = record.data_centre
        self.strength = record.strength
        self.first_probed_at = first_probed_at
        self.answering = False
        self.probe_due = True
        self.queued_orders: list[RelayedOrder] = []


class OrderRelays(WorkerDialer):
    """Opens calls to workers that are relayed through the members.

    :param direct_dialer: Opens direct calls from this instance.
    :param data_centre: This instance's data centre.
    :param lag: Measures the lag of this process.
    :param epoch: Epoch of the ownership. Order numbers begin with it, so that a reply
        to an order of an earlier epoch matches no order of this one, even if another
        process sent that order from the same address.
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
        self.order_numbers = count(epoch * ORDER_NUMBERS_PER_EPOCH)
        self.links = links
        self.data_centre = data_centre
        self.direct_dialer = direct_dialer
        self.lag = lag
        self.choice = RelayChoice()
        self.member_answered = anyio.Event()
        self.pending_orders: dict[int, PendingOrder] = {}
        self.send_requested = anyio.Event()
        self.reply_times = ReplyTimes()
        self.direct_slots = anyio.CapacityLimiter(MAX_DIRECT_CALLS)

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return RelayedWorkerCalls(self, entry)

    # Members

    @property
    def members(self) -> dict[InstanceId, RelayMember]:
        """Returns the members by their ids."""
        return self.choice.members

    def add_member(self, record: CellMember) -> None:
        """Adds a member and probes it; it is used once it has answered."""
        self.choice.add_member(RelayMember(record, anyio.current_time()))
        self.send_requested.set()

    def remove_member(self, instance: InstanceId) -> None:
        """Removes a member."""
        self.choice.remove_member(instance)

    # Messages

    async def run(self) -> None:
        """Sends batches of queued orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.probe_silent_members)
            while True:
                await self.send_requested.wait()
                await anyio.sleep(ORDER_BATCHING_S)
                self.send_requested = anyio.Event()
                for member in list(self.members.values()):
                    await self.send_queued(member)

    async def probe_silent_members(self) -> None:
        """Probes the members that do not answer, until cancelled."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S + self.lag.allowance_s())
            for member in self.members.values():
                member.probe_due = not member.answering
            self.send_requested.set()

    async def send_queued(self, member: RelayMember) -> None:
        """Sends a member its queued orders, or a probe if one is due."""
        orders = member.queued_orders
        if not orders and not member.probe_due:
            return
        member.queued_orders = []
        member.probe_due = False
        await self.send_orders(member, orders)

    async def send_orders(
        self, member: RelayMember, orders: list[RelayedOrder]
    ) -> None:
        """Sends orders in one message, or each by itself if one cannot be encoded."""
        with contained("orders to a member", member=member.name):
            message = group_orders(orders)
            sent = await self.links.notify(
                member.name, MessageKind.CELL_ORDERS, message
            )
            if isinstance(sent, Err):
                for order in orders:
                    self.settle(order.number, None, unsent=True)
            return
        if len(orders) == 1:
            self.settle(orders[0].number, OrderReply(OrderOutcome.NOT_SENT))
            return
        for order in orders:
            await self.send_orders(member, [order])

    def apply_replies(self, instance: InstanceId, body: bytes) -> None:
        """Settles the orders that a message of replies answers."""
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
        """Stops using a member until it answers a probe."""
        member.answering = False
        member.probe_due = True
        self.send_requested.set()

    def notify_member_answered(self) -> None:
        """Wakes the calls that wait for a member to answer its first probe."""
        self.member_answered.set()
        self.member_answered = anyio.Event()

    def settle(
        self, number: int, reply: RelayedReply | None, *, unsent: bool = False
    ) -> None:
        """Ends the wait for the reply to an order.

        :param reply: The reply, ``None`` if there is none.
        :param unsent: Whether the order certainly has not left this instance.
        """
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
        """Sends an order to a member and waits for its reply.

        :param limit_s: Time limit of the worker's answer, in seconds. The time for
            the relaying is added.
        :returns: The order, without a reply if it was not sent or if the member did
            not answer in time.
        """
        pending = PendingOrder(anyio.Event())
        self.pending_orders[order.number] = pending
        member.queued_orders.append(order)
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
    """Calls to one worker through the members near it."""

    name = "relayed"

    def __init__(self, relays: OrderRelays, entry: WorkerEntry) -> None:
        self.relays = relays
        self.entry = entry
        self.ranked_relays: list[RelayMember] = []
        self.ranked_version = -1
        relays.choice.count_worker(entry.data_centre, 1)
        self.avoided_until: dict[InstanceId, float] = {}
        self.direct_calls: WorkerCalls | None = None

    def usable_members(self) -> Iterator[RelayMember]:
        """Yields the members that may relay to this worker, the preferred ones first.

        If this instance is in the worker's data centre, members elsewhere are left
        out: a direct call is nearer.
        """
        choice = self.relays.choice
        if self.ranked_version != choice.version:
            self.ranked_version = choice.version
            self.ranked_relays = choice.ranked_relays(self.entry)
            self.avoided_until = {}
        near = self.relays.data_centre == self.entry.data_centre
        for member in chain(self.ranked_relays, choice.fallbacks(self.entry)):
            if near and member.data_centre != self.entry.data_centre:
                return
            until = self.avoided_until.get(member.name, -math.inf)
            if anyio.current_time() >= until:
                yield member

    async def choose_member(self) -> RelayMember | None:
        """Returns the member to use.

        Waits up to ``FIRST_PROBE_TIMEOUT_S`` for a new member's first answer.

        :returns: ``None`` if this instance has to call the worker itself.
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
        """Returns the direct calls from this instance to the worker."""
        if self.direct_calls is None:
            self.direct_calls = self.relays.direct_dialer.open(self.entry)
        return self.direct_calls

    async def relay_order(
        self, order: RelayedOrder, limit_s: float
    ) -> RelayedReply | OrderOutcome | None:
        """Has a member carry out an order.

        :returns: The worker's reply, ``UNKNOWN`` if the member did not answer, or
            ``None`` if no member is available, so that nothing was sent.
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
        """Marks a member that did not answer as silent, until it answers a probe.

        Silence during a lag of this process is no evidence against the member.

        :param began_at: When the order was queued, on the runtime's clock.
        """
        if not member.answering or self.relays.lag.lagged_since(began_at):
            return
        logger.info(Event.RELAY_SILENT, member=member.name, worker=self.entry.worker)
        self.relays.mark_silent(member)

    def avoid_after_failure(self, member: RelayMember, outcome: OrderOutcome) -> None:
        """Avoids a member for a while if it did not reach the worker."""
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
            # The member did not answer, so the worker may still be well. The next
            # attempt asks for an answer at once. It acknowledges nothing, as the
            # worker may have restarted and count anew.
            order = replace(order, wait_s=0.0, acknowledged=0)
            number = next(self.relays.order_numbers)
            relayed = replace(relayed, number=number, wait_s=0.0, acknowledged=0)
        return OrderOutcome.UNKNOWN

    async def poll_directly(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        """Polls the worker from this instance.

        A poll that the worker holds open occupies no slot, since it would block the
        other calls for up to its whole wait.
        """
        if order.wait_s > 0:
            return await self.open_direct_calls().poll(order, timeout_s)
        async with self.relays.direct_slots:
            return await self.open_direct_calls().poll(order, timeout_s)

    async def close(self) -> None:
        self.relays.choice.count_worker(self.entry.data_centre, -1)
        if self.direct_calls is not None:
            await self.direct_calls.close()


def group_orders(orders: list[RelayedOrder]) -> CellOrders:
    """Returns the message with some orders."""
    message = CellOrders([], [], [])
    for order in orders:
        if isinstance(order, RelayedLook):
            message.looks.append(order)
        elif isinstance(order, RelayedStart):
            message.starts.append(order)
        else:
            message.stops.append(order)
    return message


def worker_answered(reply: RelayedReply) -> bool:
    """Returns whether a reply came from the worker and not from the member alone."""
    return isinstance(reply, WorkerReport) or reply.clock_ms is not None


def to_order_reply(reply: RelayedReply | OrderOutcome) -> OrderReply:
    """Returns the reply to a start or stop order.

    A report, which answers neither, counts as an unknown outcome.
    """
    if isinstance(reply, OrderReply):
        return reply
    if isinstance(reply, OrderOutcome):
        return OrderReply(reply)
    return OrderReply(OrderOutcome.UNKNOWN)


def decode_outcome(name: str) -> OrderOutcome:
    """Returns an outcome by its name, ``UNKNOWN`` for a name of another version."""
    try:
        return OrderOutcome(name)
    except ValueError:
        logger.warning(Event.DAMAGED_MESSAGE, detail=f"outcome {name}")
        return OrderOutcome.UNKNOWN


def decode_report(report: RelayedReport) -> WorkerReport | None:
    """Decodes a worker's report from a member's message.

    :returns: ``None`` if it names a kind of end of another version. Such an end must
        not be left out of the report, as it would then be acknowledged unread.
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
