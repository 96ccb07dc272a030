"""Orders that reach a worker's address after the worker has started again there."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.ids import Epoch, InstanceId, WorkerId
from lacewinghold.platform.workers import (
    PlatformWorkerCalls,
    PlatformWorkerDialer,
    read_worker,
)
from lacewinghold.scheduler.ports import (
    OrderOutcome,
    PollOrder,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from lacewinghold.scheduler.relay_host import RelayHost
from lacewinghold.schema.generated.messages import RelayedStart
from lacewinghold.util.lag import LagMonitor

BORN = 1700000000000
BORN_AGAIN = BORN + 60_000
EPOCH = Epoch(9)
OWNER = InstanceId("owner")
TIMEOUT_S = 2.0
START = StartOrder("j.0.0.0", 1, "text", 5000.0, EPOCH)
BARE_POLL = {"fencingToken": EPOCH, "lastSeen": 0}


class RestartingWorker:
    """A worker on a real socket; it may start again under its id and address.

    :param orders: The orders that the present incarnation has received.
    :param silent_paths: Paths that it does not answer.
    """

    def __init__(self, tasks):
        self.tasks = tasks
        self.born = BORN
        self.port = 0
        self.orders = []
        self.silent_paths = set()
        self.poll_status = 200
        self.poll_reason = ""
        self.scope = None

    async def start(self):
        """Begins to listen; the first port is kept."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port, reuse_port=True
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.scope = anyio.CancelScope()
        self.tasks.start_soon(self.listen, listener, self.scope)

    async def listen(self, listener, scope):
        """Serves connections until the worker crashes."""
        with scope:
            async with listener:
                await listener.serve(self.serve)

    async def restart(self):
        """Crashes and starts again: its connections break, and it knows nothing."""
        self.scope.cancel()
        await anyio.sleep(0.05)
        self.orders = []
        self.born = BORN_AGAIN
        await self.start()

    async def serve(self, stream):
        """Serves one connection."""
        async with stream:
            while True:
                try:
                    data = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                head, _, content = data.partition(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                self.orders.append((path, msgspec.json.decode(content)))
                if path in self.silent_paths:
                    await anyio.sleep_forever()
                body = {"clockMs": 1, "running": [], "ended": [], "born": self.born}
                if path == "/hold":
                    body["reason"] = self.poll_reason
                answer = msgspec.json.encode(body)
                status = self.poll_status if path == "/hold" else 200
                line = f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n"
                await stream.send(line.encode() + answer)

    def entry(self):
        """Returns the entry of the first incarnation."""
        fields = {
            "service": "s1",
            "address": f"127.0.0.1:{self.port}",
            "zone": "dc-a",
            "state": "ready",
            "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 0},
            "labels": ["a", "r1-3"],
            "born": BORN,
        }
        return read_worker("servers/i-1", msgspec.json.encode(fields))


def use(program):
    """Runs a program with a worker and calls to its first incarnation."""

    async def session():
        async with anyio.create_task_group() as tasks:
            worker = RestartingWorker(tasks)
            await worker.start()
            calls = PlatformWorkerCalls(worker.entry())
            result = await program(worker, calls)
            await calls.close()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(session, backend="trio")


@pytest.mark.parametrize("connected", [False, True])
def test_a_late_start_does_not_run_on_a_worker_that_has_restarted(connected):
    """Guards against a task that was done running again (review/1, issue 37)."""

    async def program(worker, calls):
        if connected:
            assert (await calls.start(START, TIMEOUT_S)).outcome is OrderOutcome.DONE
        await worker.restart()
        reply = await calls.start(START, TIMEOUT_S)
        assert reply.outcome is OrderOutcome.OTHER_INCARNATION
        assert worker.orders == [("/hold", BARE_POLL)]

    use(program)


@pytest.mark.parametrize(
    "poll", [PollOrder(EPOCH, 7), PollOrder(EPOCH, 0, lease_until_ms=60_000.0)]
)
def test_a_late_poll_leaves_ends_and_lease_of_a_restarted_worker_alone(poll):
    """Guards against ends forgotten unread and leases that nobody has granted."""

    async def program(worker, calls):
        assert isinstance(await calls.poll(poll, TIMEOUT_S), WorkerReport)
        await worker.restart()
        assert await calls.poll(poll, TIMEOUT_S) is OrderOutcome.OTHER_INCARNATION
        assert worker.orders == [("/hold", BARE_POLL)]

    use(program)


def test_a_start_that_waited_in_a_frozen_instance_does_not_run_on_a_restarted_worker():
    """Guards against tasks that run again when an instance wakes (issue 37)."""

    async def program(worker, calls):
        host = RelayHost(SilentLinks(), PlatformWorkerDialer(), LagMonitor())
        order = RelayedStart(
            1,
            WorkerId("i-1"),
            worker.entry().incarnation,
            worker.entry().address,
            TIMEOUT_S,
            EPOCH,
            START.task,
            START.run,
            START.program,
            START.lease_until_ms,
            "",
            "",
        )
        await host.execute(OWNER, order)
        await worker.restart()
        await host.execute(OWNER, order)
        outcomes = [relayed.outcome for relayed in host.replies[OWNER].outcomes]
        assert outcomes == [OrderOutcome.DONE, OrderOutcome.OTHER_INCARNATION]
        assert [path for path, _ in worker.orders] == ["/hold"]
        for connection in host.connections.values():
            await connection.calls.close()

    use(program)


def test_a_late_stop_reaches_a_restarted_worker():
    """It bars the worker from a start that instances of other versions send late."""

    async def program(worker, calls):
        await worker.restart()
        reply = await calls.stop(StopOrder(START.task, 1, EPOCH), TIMEOUT_S)
        assert reply.outcome is OrderOutcome.DONE
        assert [path for path, _ in worker.orders] == ["/run-stop"]

    use(program)


def test_a_connection_is_checked_once():
    async def program(worker, calls):
        for _ in range(3):
            assert (await calls.start(START, TIMEOUT_S)).outcome is OrderOutcome.DONE
        paths = [path for path, _ in worker.orders]
        assert paths == ["/hold", "/run-start", "/run-start", "/run-start"]

    use(program)


@pytest.mark.parametrize(
    ("status", "reason", "outcome"),
    [
        (409, "fence", OrderOutcome.FENCED),
        (409, "", OrderOutcome.NOT_SENT),
        (421, "", OrderOutcome.OTHER_INCARNATION),
        (503, "", OrderOutcome.UNHEALTHY),
        (500, "", OrderOutcome.NOT_SENT),
    ],
)
def test_a_start_is_not_sent_unless_the_worker_answers_the_check(
    status, reason, outcome
):
    async def program(worker, calls):
        worker.poll_status = status
        worker.poll_reason = reason
        reply = await calls.start(START, TIMEOUT_S)
        assert reply.outcome is outcome
        assert [path for path, _ in worker.orders] == ["/hold"]

    use(program)


def test_a_start_whose_check_gets_no_answer_in_time_was_not_sent():
    async def program(worker, calls):
        worker.silent_paths.add("/hold")
        assert (await calls.start(START, 0.1)).outcome is OrderOutcome.NOT_SENT
        assert [path for path, _ in worker.orders] == ["/hold"]

    use(program)


class SilentLinks:
    """Links to other instances that take no handler and send nothing."""

    def on(self, kind, handler):
        """Does nothing."""
