"""Carries out the owner's orders on the workers near this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
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

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.errors import Failure
    from lacewinghold.ids import Incarnation, InstanceId, WorkerId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.scheduler.ports import WorkerCalls, WorkerDialer
    from lacewinghold.scheduler.relays import RelayedOrder
    from lacewinghold.util.lag import LagMonitor

UNANSWERED = (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT)
GATHER_S = 0.004  # Replies that come together share a message.
LOOK_TRIES = 2
SWEEP_S = 5.0
IDLE_S = 20.0  # Longer than an idle connection to a worker is kept.


class CalledWorker(Struct, eq=False):
    """Calls to one incarnation of a worker.

    :param used_at: When an order last went there, on the runtime's clock.
    :param under_way: Orders that have not been answered.
    """

    incarnation: Incarnation
    address: str
    calls: WorkerCalls
    used_at: float = 0.0
    under_way: int = 0


class RelayHost:
    """Calls workers for the owner, and gathers what they answer.

    :param dialer: Opens calls from this instance.
    :param lag: Tells when this process itself is late.
    """

    def __init__(self, links: PeerLinks, dialer: WorkerDialer, lag: LagMonitor) -> None:
        self.links = links
        self.lag = lag
        self.dialer = dialer
        self.epoch = Epoch(0)
        self.workers: dict[WorkerId, CalledWorker] = {}
        self.replaced: list[CalledWorker] = []
        self.replies: dict[InstanceId, CellOrderReplies] = {}
        self.wanted = anyio.Event()
        self.tasks: TaskGroup | None = None
        links.on(MessageKind.CELL_ORDERS, self.serve)

    async def run(self) -> None:
        """Carries out orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.close_idle)
            await self.send_replies()

    async def serve(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellOrderReplies, Failure]:
        """Takes the orders of one message; the replies go out by themselves.

        A message without orders asks whether this instance answers.
        """
        orders = unpack(body, CellOrders)
        if not (orders.starts or orders.stops or orders.looks):
            self.replies_to(peer)
        if self.tasks is not None:
            for some in (orders.starts, orders.stops, orders.looks):
                for order in some:
                    self.tasks.start_soon(self.carry_out, peer, order)
        return Ok(CellOrderReplies([], []))

    async def carry_out(self, peer: InstanceId, order: RelayedOrder) -> None:
        """Carries out one order and queues the reply."""
        if order.epoch < self.epoch:
            self.reply(peer, order, OrderOutcome.FENCED, None)
            return
        self.epoch = order.epoch
        worker = self.called(order)
        worker.under_way += 1
        try:
            if isinstance(order, RelayedLook):
                await self.look(peer, worker, order)
                return
            if isinstance(order, RelayedStart):
                reply = await worker.calls.start(
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
                reply = await worker.calls.stop(stop, order.timeout_s)
            self.reply(peer, order, reply.outcome, reply.clock_ms)
        finally:
            worker.under_way -= 1
            worker.used_at = anyio.current_time()

    async def look(
        self, peer: InstanceId, worker: CalledWorker, order: RelayedLook
    ) -> None:
        """Makes one look, and another if this process was late for the answer."""
        wait_s = order.wait_s
        for _ in range(LOOK_TRIES):
            began = anyio.current_time()
            found = await worker.calls.poll(
                PollOrder(
                    order.epoch, order.acknowledged, order.lease_until_ms, wait_s
                ),
                order.timeout_s,
            )
            if found not in UNANSWERED or not self.lag.excused(began):
                break
            wait_s = 0.0
        if isinstance(found, OrderOutcome):
            self.reply(peer, order, found, None)
            return
        self.replies_to(peer).reports.append(write_report(order.number, found))

    def reply(
        self,
        peer: InstanceId,
        order: RelayedOrder,
        outcome: OrderOutcome,
        clock_ms: float | None,
    ) -> None:
        """Queues what became of an order."""
        found = RelayedOutcome(order.number, outcome.value, clock_ms)
        self.replies_to(peer).outcomes.append(found)

    def replies_to(self, peer: InstanceId) -> CellOrderReplies:
        """Returns the next message to an owner."""
        self.wanted.set()
        return self.replies.setdefault(peer, CellOrderReplies([], []))

    async def send_replies(self) -> None:
        """Sends gathered replies until cancelled."""
        while True:
            await self.wanted.wait()
            await anyio.sleep(GATHER_S)
            self.wanted = anyio.Event()
            replies, self.replies = self.replies, {}
            for peer, message in replies.items():
                kind = MessageKind.CELL_ORDER_REPLIES
                # An owner that is not reached finds the order unanswered.
                await self.links.notify(peer, kind, message)

    def called(self, order: RelayedOrder) -> CalledWorker:
        """Returns the calls to the worker that an order is for."""
        known = self.workers.get(order.worker)
        if known is not None:
            if (known.incarnation, known.address) == (order.incarnation, order.address):
                return known
            self.replaced.append(known)
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
        called = CalledWorker(order.incarnation, order.address, self.dialer.open(entry))
        self.workers[order.worker] = called
        return called

    async def close_idle(self) -> None:
        """Closes calls to workers that the owner reaches another way now."""
        while True:
            await anyio.sleep(SWEEP_S)
            before = anyio.current_time() - IDLE_S
            for worker, called in list(self.workers.items()):
                if called.used_at <= before and not called.under_way:
                    del self.workers[worker]
                    self.replaced.append(called)
            idle = [called for called in self.replaced if not called.under_way]
            self.replaced = [called for called in self.replaced if called.under_way]
            for called in idle:
                await called.calls.close()


def write_report(number: int, report: WorkerReport) -> RelayedReport:
    """Returns a worker's report as it goes to the owner."""
    runs = []
    for run in report.runs:
        runs.append(RelayedRun(run.task, run.run, run.checkpoint, run.percent))
    ends = []
    for end in report.ends:
        ends.append(
            RelayedEnd(end.number, end.task, end.run, end.kind.value, end.checkpoint)
        )
    return RelayedReport(number, report.clock_ms, runs, ends)
