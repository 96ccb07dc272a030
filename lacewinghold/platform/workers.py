"""Decodes the platform's worker entries in the store and calls its workers."""

from __future__ import annotations

import math
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Annotated

import msgspec
import structlog
from msgspec import Meta, Struct, field
from result import Err

from lacewinghold.errors import ErrorKind
from lacewinghold.events import Event
from lacewinghold.ids import ANY_INCARNATION, Incarnation, WorkerId
from lacewinghold.platform.http import JsonClient
from lacewinghold.platform.http_connections import ConnectionCheck
from lacewinghold.scheduler.ports import (
    EndKind,
    EndReport,
    OrderOutcome,
    OrderReply,
    Resources,
    RunReport,
    ServerState,
    WorkerCalls,
    WorkerDialer,
    WorkerEntry,
    WorkerReport,
    is_addressable,
)
from lacewinghold.util.codec import MAX_INTEGER, from_json, to_json
from lacewinghold.util.turns import MAX_CONNECTS_PER_TURN, TurnGate

if TYPE_CHECKING:
    from lacewinghold.errors import Failure
    from lacewinghold.ids import Epoch
    from lacewinghold.platform.http_connections import HttpReply
    from lacewinghold.scheduler.ports import PollOrder, StartOrder, StopOrder
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
WORKERS_PREFIX = "servers/"
MAX_PORT = 65535
MAX_AMOUNT = 2**40  # Of one resource of a worker; more is a mistake of the writer.
MAX_NAME_LENGTH = 200  # In characters; the stored roster repeats names of workers.
MAX_CLOCK_MS = 2**53  # Greater floats skip whole milliseconds.
MAX_CONNECTIONS = 24  # The platform allows 64 connections to each worker.
EXPECT_INSTANCE_HEADER = "Lacewinghold-Expect-Instance"
OUTCOME_BY_REASON = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OLD_RUN,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.NO_TICKET,
}
OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    400: OrderOutcome.INVALID,
    421: OrderOutcome.OTHER_INCARNATION,
    429: OrderOutcome.UNHEALTHY,
    503: OrderOutcome.UNHEALTHY,
}


Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
ClockReading = Annotated[float, Meta(ge=-MAX_CLOCK_MS, le=MAX_CLOCK_MS)]


class WireCapacity(Struct):
    """The capacity of a worker."""

    cpu: Amount = 0
    mem_mb: Amount = field(name="memMb", default=0)
    gpus: Amount = 0


class WireWorker(Struct):
    """A worker's entry; its labels are its kind, then its rack."""

    service: Name
    address: Name
    zone: Name
    state: str
    capacity: WireCapacity
    labels: list[str] = []
    born: Annotated[int, Meta(ge=0)] = 0
    remaining_ms: float | None = field(name="remainingMs", default=None)


class WireReply(Struct):
    """The response to an order."""

    clock_ms: ClockReading | None = field(name="clockMs", default=None)
    reason: str = ""


class WirePollReply(Struct):
    """The response to a poll: rows of current runs and of ended runs."""

    clock_ms: ClockReading = field(name="clockMs")
    running: list[list[object]] = []
    ended: list[list[object]] = []
    born: int | None = None


def read_worker(key: str, value: bytes) -> WorkerEntry | None:
    """Returns a worker's entry, or ``None`` if another program wrote the value."""
    try:
        wire = from_json(value, WireWorker)
        state = ServerState(wire.state)
        check_address(wire.address)
        worker = WorkerId(key.removeprefix(WORKERS_PREFIX))
        if not is_addressable(worker, wire.born):
            raise ValueError("no order can name this worker")
    except (msgspec.DecodeError, ValueError) as error:
        logger.warning(Event.FOREIGN_WORKER_ENTRY, key=key, detail=str(error)[:200])
        return None
    room = wire.capacity
    remaining = None if wire.remaining_ms is None else wire.remaining_ms / 1000
    return WorkerEntry(
        worker=worker,
        incarnation=Incarnation(wire.born),
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        state=state,
        capacity=Resources(room.cpu, room.mem_mb, room.gpus),
        labels=frozenset(wire.labels),
        rack=wire.labels[1] if len(wire.labels) > 1 else "",
        remaining_s=remaining,
    )


def check_address(address: str) -> None:
    """Checks that an address is an IPv4 address and a port.

    :raises ValueError: If it is not.
    """
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"no usable port in address {address!r}")


def decode_number(value: object) -> int:
    """Decodes the number of a run or of an end.

    :raises ValueError: If it is none, or if no message carries it.
    """
    number = int(str(value))
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError(f"number {number} is out of range")
    return number


def decode_run(row: list[object]) -> RunReport:
    """Decodes a current run: task, run, checkpoint, percent; a fifth is ignored."""
    return RunReport(
        str(row[0]), decode_number(row[1]), str(row[2]), float(str(row[3]))
    )


def decode_end(row: list[object]) -> EndReport:
    """Decodes an ended run: number, task, run, kind of end and checkpoint."""
    return EndReport(
        decode_number(row[0]),
        str(row[1]),
        decode_number(row[2]),
        EndKind(str(row[3])),
        str(row[4]) if len(row) > 4 else "",
    )


class IncarnationCheck(ConnectionCheck):
    """Asks over a new connection which incarnation of the worker has accepted it.

    A restarted worker keeps its id, and nothing else in an order tells it that the
    order was meant for its earlier incarnation.

    :param outcome: Outcome of an order that was not sent since the check failed.
    """

    def __init__(self, calls: PlatformWorkerCalls, epoch: Epoch) -> None:
        self.calls = calls
        self.epoch = epoch
        self.outcome = OrderOutcome.NOT_SENT

    def request(self) -> bytes:
        content = to_json({"fencingToken": self.epoch, "lastSeen": 0})
        return self.calls.client.encode("POST", "/hold", content, self.calls.headers)

    def accepts(self, reply: HttpReply) -> bool:
        found = self.calls.decode_poll(reply)
        if isinstance(found, WorkerReport):
            return True
        if found is not OrderOutcome.UNKNOWN:
            self.outcome = found
        if found is OrderOutcome.OTHER_INCARNATION:
            logger.info(
                Event.OTHER_INCARNATION_ANSWERED,
                worker=self.calls.entry.worker,
                incarnation=self.calls.entry.incarnation,
            )
        return False


class PlatformWorkerCalls(WorkerCalls):
    """Calls to one incarnation of a worker.

    Whatever a later incarnation must not carry out is sent over connections that this
    incarnation has accepted.
    """

    name = "platform"

    def __init__(
        self,
        entry: WorkerEntry,
        lag: LagMonitor | None = None,
        gate: TurnGate | None = None,
        link_mbps: float | None = None,
    ) -> None:
        self.entry = entry
        self.client = JsonClient(entry.address, MAX_CONNECTIONS, lag, gate, link_mbps)
        self.headers = {EXPECT_INSTANCE_HEADER: str(entry.worker)}

    async def send_order(
        self,
        path: str,
        body: object,
        timeout_s: float,
        check: IncarnationCheck | None = None,
    ) -> OrderReply:
        """Sends an order that changes the worker's state."""
        reply = await self.client.call(
            "POST", path, timeout_s, body, self.headers, check
        )
        if isinstance(reply, Err):
            return OrderReply(outcome_of_failure(reply.err_value, check))
        found = reply.ok_value
        try:
            wire = from_json(found.body, WireReply)
        except msgspec.DecodeError:
            wire = WireReply()
        if found.status == 409:
            outcome = OUTCOME_BY_REASON.get(wire.reason, OrderOutcome.INVALID)
        else:
            outcome = OUTCOME_BY_STATUS.get(found.status, OrderOutcome.UNKNOWN)
        if outcome is OrderOutcome.INVALID:
            logger.error(Event.ORDER_INVALID, path=path, status=found.status, body=body)
        return OrderReply(outcome, wire.clock_ms)

    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        body: dict[str, object] = {
            "task": order.task,
            "run": order.run,
            "spec": order.program,
            "untilMs": math.floor(order.lease_until_ms),
            "fencingToken": order.epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        check = IncarnationCheck(self, order.epoch)
        return await self.send_order("/run-start", body, timeout_s, check)

    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        # Not checked: a later incarnation that gets it refuses a late start.
        body = {"task": order.task, "run": order.run, "fencingToken": order.epoch}
        return await self.send_order("/run-stop", body, timeout_s)

    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        body: dict[str, object] = {
            "fencingToken": order.epoch,
            "lastSeen": order.acknowledged,
        }
        if order.lease_until_ms is not None:
            body["untilMs"] = math.floor(order.lease_until_ms)
        if order.wait_s > 0:
            body["waitMs"] = round(order.wait_s * 1000)
        check = None
        if order.acknowledged or order.lease_until_ms is not None:
            # Ends are numbered, and leases timed, anew by each incarnation.
            check = IncarnationCheck(self, order.epoch)
        reply = await self.client.call(
            "POST", "/hold", order.wait_s + timeout_s, body, self.headers, check
        )
        if isinstance(reply, Err):
            return outcome_of_failure(reply.err_value, check)
        return self.decode_poll(reply.ok_value)

    def decode_poll(self, reply: HttpReply) -> WorkerReport | OrderOutcome:
        """Decodes the response to a poll."""
        if reply.status == 409:
            return self.decode_refusal(reply.body)
        if reply.status != 200:
            return OUTCOME_BY_STATUS.get(reply.status, OrderOutcome.UNKNOWN)
        try:
            decoded = from_json(reply.body, WirePollReply)
            expected = self.entry.incarnation
            if expected != ANY_INCARNATION and decoded.born not in (None, expected):
                return OrderOutcome.OTHER_INCARNATION
            return WorkerReport(
                decoded.clock_ms,
                [decode_run(row) for row in decoded.running],
                [decode_end(row) for row in decoded.ended],
            )
        except (msgspec.DecodeError, ValueError, IndexError) as error:
            logger.error(
                Event.REPORT_UNREADABLE, worker=self.entry.worker, detail=str(error)
            )
            return OrderOutcome.UNKNOWN

    def decode_refusal(self, body: bytes) -> OrderOutcome:
        """Returns the reason for which a poll was refused."""
        try:
            reason = from_json(body, WireReply).reason
        except msgspec.DecodeError:
            return OrderOutcome.UNKNOWN
        return OUTCOME_BY_REASON.get(reason, OrderOutcome.UNKNOWN)

    async def close(self) -> None:
        await self.client.close()


def outcome_of_failure(
    failure: Failure, check: IncarnationCheck | None
) -> OrderOutcome:
    """Returns the outcome of an order that got no response."""
    if failure.kind is not ErrorKind.UNREACHABLE:
        return OrderOutcome.UNKNOWN
    return OrderOutcome.NOT_SENT if check is None else check.outcome


class PlatformWorkerDialer(WorkerDialer):
    """Creates clients for the platform's workers.

    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.
    :param link_mbps: Bandwidth of this machine's link in Mbit/s, ``None`` if unknown.
    """

    name = "platform"

    def __init__(
        self, lag: LagMonitor | None = None, link_mbps: float | None = None
    ) -> None:
        self.lag = lag
        self.link_mbps = link_mbps
        self.gate = TurnGate(MAX_CONNECTS_PER_TURN)

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return PlatformWorkerCalls(entry, self.lag, self.gate, self.link_mbps)
