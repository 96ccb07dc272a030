"""Carries out relayed orders of the owner on the workers near this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from msgspec.structs import replace
from result import Ok, Result

from lacewinghold.ids import Epoch
from lacewinghold.scheduler.ports import (
    OrderOutcome,
    PollOrder,
    Resources,
    ServerState,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)
from lacewinghold.schema.generated.messages import (
    CellOrderReplies,
    CellOrders,
    MessageKind,
    RelayedEnd,
    RelayedLook,
    RelayedOutcome,
    RelayedReport,
    RelayedRun,
    RelayedStart,
)
from lacewinghold.util.codec import unpack
from lacewinghold.util.containment import contained

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.errors import Failure
    from lacewinghold.ids import Incarnation, InstanceId, WorkerId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.scheduler.ports import WorkerCalls, WorkerDialer
    from lacewinghold.scheduler.relays import RelayedOrder
    from lacewinghold.util.lag import LagMonitor

UNANSWERED_OUTCOMES = (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT)
REPLY_BATCHING_S = 0.004  # Replies of about the same time share a message.
MAX_POLL_ATTEMPTS = 2  # The second only if lag of this process explains the failure.
IDLE_CHECK_INTERVAL_S = 5.0
IDLE_TIMEOUT_S = 20.0  # Longer than the keep-alive of connections to workers.


class WorkerConnection(Struct, eq=False):
    """Calls to one incarnation of a worker.

    :param last_used_at: When the last order was answered, on the runtime's clock.
    :param in_flight: Number of orders that have not been answered.
    """

    incarnation: Incarnation
    address: str
    calls: WorkerCalls
    last_used_at: float = 0.0
    in_flight: int = 0


class RelayHost:
    """Calls workers for the owner and sends it their replies in batches.

    :param dialer: Opens calls from this instance.
    :param lag: Measures the lag of this process.
    """

    def __init__(self, links: PeerLinks, dialer: WorkerDialer, lag: LagMonitor) -> None:
        self.links = links
        self.lag = lag
        self.dialer = dialer
        self.epoch = Epoch(0)
        self.connections: dict[WorkerId, WorkerConnection] = {}
        self.closing: list[WorkerConnection] = []
        self.replies: dict[InstanceId, CellOrderReplies] = {}
        self.send_requested = anyio.Event()
        self.task_group: TaskGroup | None = None
        links.on(MessageKind.CELL_ORDERS, self.serve_orders)

    async def run(self) -> None:
        """Carries out orders until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            task_group.start_soon(self.close_idle_connections)
            await self.send_replies()

    async def serve_orders(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellOrderReplies, Failure]:
        """Begins to carry out the orders of one message, in the background.

        Their replies follow in messages of their own. A message without orders is a
        probe and is answered by a message without replies.
        """
        orders = unpack(body, CellOrders)
        if not (orders.starts or orders.stops or orders.looks):
            self.replies_for(peer)
        if self.task_group is not None:
            for group in (orders.starts, orders.stops, orders.looks):
                for order in group:
                    self.task_group.start_soon(self.execute_contained, peer, order)
        return Ok(CellOrderReplies([], []))

    async def execute_contained(self, peer: InstanceId, order: RelayedOrder) -> None:
        """Carries out one order; after an unexpected error it stays unanswered."""
        with contained("relayed order", worker=order.worker, peer=peer):
            await self.execute(peer, order)

    async def execute(self, peer: InstanceId, order: RelayedOrder) -> None:
        """Carries out one order and queues the reply.

        An order of an earlier epoch than the highest seen is refused.
        """
        if order.epoch < self.epoch:
            self.queue_outcome(peer, order, OrderOutcome.FENCED, None)
            return
        self.epoch = order.epoch
        connection = self.connection_for(order)
        connection.in_flight += 1
        try:
            if isinstance(order, RelayedLook):
                await self.poll(peer, connection, order)
                return
            if isinstance(order, RelayedStart):
                reply = await connection.calls.start(
                    StartOrder(
                        order.task,
                        order.run,
                        order.program,
                        order.lease_until_ms,
                        order.epoch,
                        order.checkpoint,
                        order.ticket,
                    ),
                    order.timeout_s,
                )
            else:
                stop = StopOrder(order.task, order.run, order.epoch)
                reply = await connection.calls.stop(stop, order.timeout_s)
            self.queue_outcome(peer, order, reply.outcome, reply.clock_ms)
        finally:
            connection.in_flight -= 1
            connection.last_used_at = anyio.current_time()

    async def poll(
        self, peer: InstanceId, connection: WorkerConnection, order: RelayedLook
    ) -> None:
        """Polls a worker, and once more if lag of this process delayed the answer."""
        poll = PollOrder(
            order.epoch, order.acknowledged, order.lease_until_ms, order.wait_s
        )
        for _ in range(MAX_POLL_ATTEMPTS):
            began_at = anyio.current_time()
            reply = await connection.calls.poll(poll, order.timeout_s)
            if reply not in UNANSWERED_OUTCOMES or not self.lag.lagged_since(began_at):
                break
            poll = replace(poll, wait_s=0.0, acknowledged=0)  # As after a restart.
        if isinstance(reply, OrderOutcome):
            self.queue_outcome(peer, order, reply, None)
            return
        self.replies_for(peer).reports.append(encode_report(order.number, reply))

    def queue_outcome(
        self,
        peer: InstanceId,
        order: RelayedOrder,
        outcome: OrderOutcome,
        clock_ms: float | None,
    ) -> None:
        """Queues the outcome of an order for the owner."""
        relayed = RelayedOutcome(order.number, outcome.value, clock_ms)
        self.replies_for(peer).outcomes.append(relayed)

    def replies_for(self, peer: InstanceId) -> CellOrderReplies:
        """Returns the next message to an owner and requests that it be sent."""
        self.send_requested.set()
        return self.replies.setdefault(peer, CellOrderReplies([], []))

    async def send_replies(self) -> None:
        """Sends batches of queued replies until cancelled."""
        while True:
            await self.send_requested.wait()
            await anyio.sleep(REPLY_BATCHING_S)
            self.send_requested = anyio.Event()
            replies, self.replies = self.replies, {}
            for peer, message in replies.items():
                kind = MessageKind.CELL_ORDER_REPLIES
                # Lost replies need no retry: the owner's time limit ends the order.
                with contained("replies to an owner", peer=peer):
                    await self.links.notify(peer, kind, message)

    def connection_for(self, order: RelayedOrder) -> WorkerConnection:
        """Returns the calls to the worker of an order.

        If the worker has restarted or moved, the earlier calls are closed once their
        orders have been answered.
        """
        known = self.connections.get(order.worker)
        if known is not None:
            if (known.incarnation, known.address) == (order.incarnation, order.address):
                return known
            self.closing.append(known)
        entry = WorkerEntry(
            worker=order.worker,
            incarnation=order.incarnation,
            service="",
            address=order.address,
            data_centre="",
            state=ServerState.READY,
            capacity=Resources(),
            labels=frozenset(),
        )
        connection = WorkerConnection(
            order.incarnation, order.address, self.dialer.open(entry)
        )
        self.connections[order.worker] = connection
        return connection

    async def close_idle_connections(self) -> None:
        """Closes idle calls until cancelled.

        Calls become idle when the owner reaches their worker through another member.
        """
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            idle_before = anyio.current_time() - IDLE_TIMEOUT_S
            for worker, connection in list(self.connections.items()):
                if connection.last_used_at <= idle_before and not connection.in_flight:
                    del self.connections[worker]
                    self.closing.append(connection)
            idle = [
                connection for connection in self.closing if not connection.in_flight
            ]
            self.closing = [
                connection for connection in self.closing if connection.in_flight
            ]
            for connection in idle:
                await connection.calls.close()


def encode_report(number: int, report: WorkerReport) -> RelayedReport:
    """Returns a worker's report as the message to the owner."""
    runs = []
    for run in report.runs:
        runs.append(RelayedRun(run.task, run.run, run.checkpoint, run.percent))
    ends = []
    for end in report.ends:
        ends.append(
            RelayedEnd(end.number, end.task, end.run, end.kind.value, end.checkpoint)
        )
    return RelayedReport(number, report.clock_ms, runs, ends)
