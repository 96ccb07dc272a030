"""A simulated machine of an instance: its processor share and network link."""

from __future__ import annotations

from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING, TypeVar
from unittest.mock import patch

import anyio
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.peers.base import PeerTransport
from lacewinghold.scheduler.job_table import JobTable
from lacewinghold.scheduler.planning import PlanLoop
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import (
    AdviceCalls,
    OrderOutcome,
    OrderReply,
    WorkerCalls,
    WorkerDialer,
    WorkerReport,
)
from lacewinghold.store.base import Put, RangeReply, Store, TransactionReply, WatchBatch
from lacewinghold.util.lag import LagMonitor
from lacewinghold.util.turns import MAX_CONNECTS_PER_TURN, TurnGate

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Iterable,
        Iterator,
        Sequence,
    )

    from lacewinghold.ids import InstanceId, LeaseId, Revision, WorkerId
    from lacewinghold.scheduler.cell import CellPorts
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.plan import Plan
    from lacewinghold.scheduler.ports import (
        PollOrder,
        StartOrder,
        StopOrder,
        Ticket,
        WorkerEntry,
    )
    from lacewinghold.schema.generated.cell import CellJob
    from lacewinghold.store.base import KeyValue, Transaction

T = TypeVar("T")

# Processor time, in seconds of a whole core.
SEND_S = 0.0003  # One side of a call over HTTP.
CONNECT_S = 0.0009
CLOSE_S = 0.0002
MESSAGE_S = 0.00015  # Between instances.
HANDLE_S = 0.0002  # An owner's handling of a worker's answer.
EVALUATION_S = 1e-6  # A planner's evaluation of one worker for one step.
NODE_S = 2e-6  # Each worker in a plan.
STEP_S = 4e-6  # Each waiting step in a plan.
JOB_S = 0.0003  # Decoding and accepting a job with its tasks.

CONNECT_LIMIT_S = 0.5
STORE_CALL_S = 0.8
HTTP_BYTES = 300  # A call or an answer with its headers, without long lists.
LISTED_BYTES = 80  # A run or an end in a worker's answer, a worker in an advice call.
KEY_BYTES = 60  # Overhead of a key and value of the store.
ENCODED_SHARE = 4 / 3  # Values are sent to the store as text.
CHUNK_BYTES = 8192
BYTES_PER_MEGABIT = 125_000


class Machine:
    """The processor and link of one instance, used first come first served.

    :param cores: Share of one core that the instance may use.
    :param link_mbps: Bandwidth in each direction, in megabits per second.
    """

    def __init__(self, cores: float, link_mbps: float) -> None:
        self.cores = cores
        self.bytes_per_s = link_mbps * BYTES_PER_MEGABIT
        self.processor = anyio.Lock()
        self.busy_until = 0.0
        self.sending = anyio.Lock()
        self.receiving = anyio.Lock()

    def charge(self, core_s: float) -> None:
        """Reserves processor time for work that cannot be interrupted."""
        self.busy_until = max(anyio.current_time(), self.busy_until)
        self.busy_until += core_s / self.cores

    async def compute(self, core_s: float = 0.0) -> None:
        """Waits for the processor and then for the work to finish."""
        async with self.processor:
            self.charge(core_s)
            await anyio.sleep_until(self.busy_until)

    async def send(self, size: int) -> None:
        """Waits until ``size`` bytes are sent."""
        await self.transfer(size, self.sending)

    async def receive(self, size: int) -> None:
        """Waits until ``size`` bytes are received."""
        await self.transfer(size, self.receiving)

    async def transfer(self, size: int, direction: anyio.Lock) -> None:
        """Transfers bytes in chunks, interleaved with other transfers."""
        while size > 0:
            chunk = min(size, CHUNK_BYTES)
            size -= chunk
            async with direction:
                await anyio.sleep_until(anyio.current_time() + chunk / self.bytes_per_s)


RUNNING_ON: ContextVar[Machine | None] = ContextVar("RUNNING_ON", default=None)


@contextmanager
def off_machine() -> Iterator[None]:
    """Runs code that belongs to another machine."""
    token = RUNNING_ON.set(None)
    try:
        yield
    finally:
        RUNNING_ON.reset(token)


@contextmanager
def charged_work() -> Iterator[None]:
    """Charges machines for plans, accepted jobs and wakeups.

    A task whose sleep is over waits for the processor, as in a busy event loop.
    """
    sleep = anyio.sleep
    make_plan = Planner.make_plan
    init = PlanLoop.__init__
    accept = JobTable.accept

    async def late_sleep(delay: float) -> None:
        await sleep(delay)
        machine = RUNNING_ON.get()
        if machine is not None:
            await machine.compute()

    def charge(core_s: float) -> None:
        machine = RUNNING_ON.get()
        if machine is not None:
            machine.charge(core_s)

    def machine_time() -> float:
        """Returns when the processor finishes all work so far."""
        machine = RUNNING_ON.get()
        now = anyio.current_time()
        return now if machine is None else max(now, machine.busy_until)

    def timed_init(
        loop: PlanLoop, owner: CellOwner, speed_of: Callable[[WorkerId], float]
    ) -> None:
        init(loop, owner, machine_time, speed_of)

    def charged_make(planner: Planner, steps: Iterable[Step]) -> Plan:
        plan = make_plan(planner, steps)
        charge(EVALUATION_S * planner.evaluations)
        charge(NODE_S * len(planner.free) + STEP_S * len(planner.order))
        return plan

    def charged_accept(table: JobTable, record: CellJob, revision: int = 0) -> None:
        if record.job not in table.jobs:
            charge(JOB_S)
        accept(table, record, revision)

    with (
        patch.object(anyio, "sleep", late_sleep),
        patch.object(Planner, "make_plan", charged_make),
        patch.object(PlanLoop, "__init__", timed_init),
        patch.object(JobTable, "accept", charged_accept),
    ):
        yield


class MachineClient:
    """An HTTP client on a machine: its timeouts include the wait for the processor.

    A connection whose answer times out is closed, and the next call opens another.
    Like the platform's client its timeouts grow with the lag of its process.

    :param answer_handling_s: Cost of handling an answer, in seconds of a core.
    :param gate: Passed before a connection is opened.
    """

    def __init__(
        self,
        machine: Machine,
        lag: LagMonitor,
        answer_handling_s: float = 0.0,
        gate: TurnGate | None = None,
    ) -> None:
        self.machine = machine
        self.lag = lag
        self.gate = gate
        self.answer_handling_s = answer_handling_s
        self.idle_connections = 0

    async def call(
        self,
        timeout_s: float,
        operation: Callable[[], Awaitable[T]],
        sent_bytes: int,
        size_of: Callable[[T], int],
    ) -> Result[T, ErrorKind]:
        """Makes one call.

        :param operation: Performs the call at the other end.
        :param size_of: Returns the bytes of an answer.
        :returns: ``UNREACHABLE`` if it was not sent, ``OUTCOME_UNKNOWN`` if no
            answer was handled in time.
        """
        started_at = anyio.current_time()
        if not await self.connect(timeout_s):
            reconnected = self.lag.lagged_since(started_at) and await self.connect(
                timeout_s
            )
            if not reconnected:
                return Err(ErrorKind.UNREACHABLE)
        timeout_s += self.lag.allowance_s()
        answers: list[T] = []
        with anyio.move_on_after(timeout_s):
            await self.machine.compute(SEND_S)
            await self.machine.send(sent_bytes)
            with off_machine():
                answers.append(await operation())
        if answers:
            # The timeout restarts whenever bytes arrive.
            await self.machine.receive(size_of(answers[0]))
            with anyio.move_on_after(timeout_s):
                await self.machine.compute(SEND_S + self.answer_handling_s)
                self.idle_connections += 1
                return Ok(answers[0])
        self.machine.charge(CLOSE_S)
        return Err(ErrorKind.OUTCOME_UNKNOWN)

    async def connect(self, timeout_s: float) -> bool:
        """Reuses an idle connection or opens one."""
        if self.idle_connections:
            self.idle_connections -= 1
            return True
        if self.gate is not None:
            await self.gate.enter()
        limit_s = min(CONNECT_LIMIT_S, timeout_s) + self.lag.allowance_s()
        with anyio.move_on_after(limit_s):
            await self.machine.compute(CONNECT_S)
            return True
        self.machine.charge(CLOSE_S)
        return False


class MachineWorkerCalls(WorkerCalls):
    """Calls to a worker from a machine.

    :param inner: What reaches the stand-in worker.
    """

    name = "machine"

    def __init__(
        self, inner: WorkerCalls, machine: Machine, lag: LagMonitor, gate: TurnGate
    ) -> None:
        self.inner = inner
        self.client = MachineClient(machine, lag, HANDLE_S, gate)

    async def order(
        self, timeout_s: float, operation: Callable[[], Awaitable[OrderReply]]
    ) -> OrderReply:
        """Sends one order."""
        reply = await self.client.call(
            timeout_s, operation, HTTP_BYTES, lambda _: HTTP_BYTES
        )
        if isinstance(reply, Ok):
            return reply.ok_value
        return OrderReply(outcome_of(reply.err_value))

    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        return await self.order(timeout_s, lambda: self.inner.start(order, timeout_s))

    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        return await self.order(timeout_s, lambda: self.inner.stop(order, timeout_s))

    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        reply = await self.client.call(
            order.wait_s + timeout_s,
            lambda: self.inner.poll(order, timeout_s),
            HTTP_BYTES,
            report_bytes,
        )
        if isinstance(reply, Ok):
            return reply.ok_value
        return outcome_of(reply.err_value)

    async def close(self) -> None:
        await self.inner.close()


def outcome_of(kind: ErrorKind) -> OrderOutcome:
    """Returns the outcome of an order whose call failed."""
    if kind is ErrorKind.UNREACHABLE:
        return OrderOutcome.NOT_SENT
    return OrderOutcome.UNKNOWN


def report_bytes(report: WorkerReport | OrderOutcome) -> int:
    """Returns the size in bytes of a worker's answer to a poll."""
    if not isinstance(report, WorkerReport):
        return HTTP_BYTES
    return HTTP_BYTES + LISTED_BYTES * (len(report.runs) + len(report.ends))


class MachineWorkerDialer(WorkerDialer):
    """Opens calls to workers from a machine."""

    name = "machine"

    def __init__(self, inner: WorkerDialer, machine: Machine, lag: LagMonitor) -> None:
        self.inner = inner
        self.machine = machine
        self.lag = lag
        self.gate = TurnGate(MAX_CONNECTS_PER_TURN)

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        calls = self.inner.open(entry)
        return MachineWorkerCalls(calls, self.machine, self.lag, self.gate)


class MachineAdvice(AdviceCalls):
    """Calls to the advice service from a machine."""

    name = "machine"

    def __init__(self, inner: AdviceCalls, machine: Machine, lag: LagMonitor) -> None:
        self.inner = inner
        self.client = MachineClient(machine, lag)

    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        size = HTTP_BYTES + LISTED_BYTES * len(workers)
        reply = await self.client.call(
            timeout_s,
            lambda: self.inner.ask(step, workers, timeout_s),
            size,
            lambda _: size,
        )
        if isinstance(reply, Err):
            return Err(Failure(reply.err_value, "the answer was late"))
        return reply.ok_value


class MachineTransport(PeerTransport):
    """One instance's end of the network, on a machine."""

    name = "machine"

    def __init__(self, inner: PeerTransport, machine: Machine) -> None:
        self.inner = inner
        self.max_message_bytes = inner.max_message_bytes
        self.machine = machine

    async def run(self) -> None:
        with off_machine():
            await self.inner.run()

    async def receive(self) -> bytes | bytearray:
        message = await self.inner.receive()
        await self.machine.receive(len(message))
        await self.machine.compute(MESSAGE_S)
        return message

    def confirm_sender(self) -> None:
        self.inner.confirm_sender()

    async def send(
        self, peer: InstanceId, address: str, message: bytes
    ) -> Result[None, Failure]:
        await self.machine.compute(MESSAGE_S)
        await self.machine.send(len(message))
        return await self.inner.send(peer, address, message)

    async def close(self, peer: InstanceId) -> None:
        await self.inner.close(peer)


def stored_bytes(items: Iterable[KeyValue | Put]) -> int:
    """Returns the size of keys and values on their way to or from the store."""
    size = 0.0
    for item in items:
        size += len(item.key) + KEY_BYTES + ENCODED_SHARE * len(item.value)
    return round(size)


class MachineStore(Store):
    """A client of the store on a machine."""

    name = "machine"

    def __init__(self, inner: Store, machine: Machine, lag: LagMonitor) -> None:
        self.inner = inner
        self.calls = inner.calls
        self.machine = machine
        self.client = MachineClient(machine, lag)

    async def call(
        self,
        operation: Callable[[], Awaitable[Result[T, Failure]]],
        sent_bytes: int = HTTP_BYTES,
        size_of: Callable[[Result[T, Failure]], int] = lambda _: HTTP_BYTES,
    ) -> Result[T, Failure]:
        """Makes one call."""
        reply = await self.client.call(STORE_CALL_S, operation, sent_bytes, size_of)
        if isinstance(reply, Ok):
            return reply.ok_value
        kind = reply.err_value
        if kind is ErrorKind.UNREACHABLE:
            kind = ErrorKind.STORE_UNAVAILABLE
        return Err(Failure(kind, "the answer was late"))

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        def size_of(reply: Result[RangeReply, Failure]) -> int:
            found = reply.ok_value.items if isinstance(reply, Ok) else []
            return HTTP_BYTES + stored_bytes(found)

        reply = await self.call(
            lambda: self.inner.range(key, prefix=prefix), HTTP_BYTES, size_of
        )
        if isinstance(reply, Err):
            detail = reply.err_value.detail
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        return reply

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        puts = [item for item in transaction.operations if isinstance(item, Put)]
        size = HTTP_BYTES + stored_bytes(puts)
        return await self.call(lambda: self.inner.commit(transaction), size)

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        return await self.call(lambda: self.inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        return await self.call(lambda: self.inner.renew_lease(lease))

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        return await self.call(lambda: self.inner.revoke_lease(lease))

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: Revision,
        confirm_s: float | None = None,
        max_value_bytes: Callable[[], int] | None = None,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        watch = self.inner.watch(prefix, after, confirm_s, max_value_bytes)
        async with watch as batches:
            yield self.receive_batches(batches)

    async def receive_batches(
        self, batches: AsyncIterator[WatchBatch]
    ) -> AsyncIterator[WatchBatch]:
        """Yields batches once the machine has received them."""
        while True:
            with off_machine():
                batch = await anext(batches)
            await self.machine.receive(HTTP_BYTES + stored_bytes(batch.puts))
            await self.machine.compute(2 * SEND_S)
            yield batch


def put_on_machine(ports: CellPorts, machine: Machine) -> None:
    """Routes all calls of an instance through its machine."""
    lag = LagMonitor()
    ports.lag = lag
    ports.store = MachineStore(ports.store, machine, lag)
    ports.transport = MachineTransport(ports.transport, machine)
    ports.dialer = MachineWorkerDialer(ports.dialer, machine, lag)
    if ports.advice is not None:
        ports.advice = MachineAdvice(ports.advice, machine, lag)
