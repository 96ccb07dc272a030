"""A fake worker that runs tasks by sleeping on the runtime's clock."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Epoch, Incarnation
from lacewinghold.placement.capacity import add, fits, subtract
from lacewinghold.schema.generated.jobs import Resources
from lacewinghold.schema.generated.worker import (
    EndedTask,
    InstanceList,
    Refusal,
    RefusalKind,
    Report,
    RunningTask,
    WorkerRecord,
    WorkerState,
)
from lacewinghold.testing.gate import Gate
from lacewinghold.workers.base import InstanceListSource, WorkerLink, WorkerLinks

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import InstanceId, TaskId, WorkerId
    from lacewinghold.schema.generated.worker import Command, Start

LINK_LATENCY_S = 0.001
REPLY_TIMEOUT_S = 2.0


class Execution(Struct):
    """A running task and the scope that cancels it."""

    view: RunningTask
    hold_until: float
    scope: anyio.CancelScope


class FakeWorker:
    """A worker as the platform provides it.

    :param record: Its entry on the instance list.
    :param tasks: Task group in which tasks run.
    :param run_time: Returns the true run time of a start in seconds;
        infinite for a standing service.
    :param observe: Called with the task and +1 when it starts, -1 when it ends.
    :param clock_rate: Seconds of the worker's clock per second.
    """

    def __init__(
        self,
        record: WorkerRecord,
        tasks: TaskGroup,
        run_time: Callable[[Start], float] | None = None,
        observe: Callable[[WorkerId, TaskId, int], None] | None = None,
        clock_rate: float = 1.0,
    ) -> None:
        self.record = record
        self.tasks = tasks
        self.run_time = run_time or declared_run_time
        self.observe = observe or ignore_change
        self.clock_rate = clock_rate
        self.incarnation = Incarnation(1)
        self.seen_epoch = Epoch(0)
        self.seen_command = 0
        self.number = 1
        self.running: dict[TaskId, Execution] = {}
        self.ended: dict[TaskId, EndedTask] = {}
        self.changed = anyio.Event()
        self.alive = True
        self.fails_everything = False

    def clock(self) -> float:
        """Returns the worker's own clock in seconds."""
        return anyio.current_time() * self.clock_rate

    def used(self) -> Resources:
        """Returns the sum of the declared resources of the running tasks."""
        total = Resources()
        for execution in self.running.values():
            total = add(total, execution.view.resources)
        return total

    def publish_change(self) -> None:
        """Increments the report number and wakes waiters."""
        self.number += 1
        self.changed.set()
        self.changed = anyio.Event()

    def restart(self) -> None:
        """Restarts the worker: its tasks, outcomes and highest epoch are lost."""
        for execution in list(self.running.values()):
            execution.scope.cancel()
            self.observe(self.record.worker, execution.view.task, -1)
        self.running.clear()
        self.ended.clear()
        self.seen_epoch = Epoch(0)
        self.seen_command = 0
        self.incarnation = Incarnation(self.incarnation + 1)
        self.publish_change()

    def handle(self, command: Command) -> Report:
        """Carries out a batch of commands.

        :returns: The state after it, with the starts that were refused.
        """
        stale = self.find_stale(command)
        if stale is not None:
            refusals = [Refusal(task=s.task, reason=stale) for s in command.starts]
            return self.report(accepted=False, refusals=refusals)
        self.seen_epoch = command.epoch
        self.seen_command = command.number
        self.extend_holds(command)
        for task in command.acknowledge:
            self.ended.pop(task, None)
        for task in (*command.stops, *command.checkpoints):
            self.stop(task)
        refusals = []
        for start in command.starts:
            reason = self.refusal_reason(command, start)
            if reason is not None:
                refusals.append(Refusal(task=start.task, reason=reason))
                continue
            self.start(command, start)
        self.publish_change()
        return self.report(refusals=refusals)

    def find_stale(self, command: Command) -> RefusalKind | None:
        """Returns why a command is stale, or ``None``."""
        if command.epoch < self.seen_epoch:
            return RefusalKind.STALE_EPOCH
        if command.epoch == self.seen_epoch and command.number <= self.seen_command:
            return RefusalKind.STALE_COMMAND
        return None

    def extend_holds(self, command: Command) -> None:
        """Adopts the running tasks under the command's epoch and extends holds."""
        if not command.hold_until:
            return
        for execution in self.running.values():
            execution.view.epoch = command.epoch
            execution.hold_until = command.hold_until

    def refusal_reason(self, command: Command, start: Start) -> RefusalKind | None:
        """Returns why a start is refused, or ``None``."""
        if start.incarnation != self.incarnation:
            return RefusalKind.WRONG_INCARNATION
        if start.task in self.running or start.task in self.ended:
            return RefusalKind.DUPLICATE
        if self.clock() > min(start.not_after, start.hold_until):
            return RefusalKind.TOO_LATE
        free = subtract(self.record.capacity, self.used())
        if not fits(start.resources, free):
            return RefusalKind.NO_CAPACITY
        return None

    def start(self, command: Command, start: Start) -> None:
        """Starts a task."""
        view = RunningTask(
            task=start.task,
            epoch=command.epoch,
            resources=start.resources,
            used=start.resources,
            service=start.service,
            started_at=self.clock(),
        )
        execution = Execution(view, start.hold_until, anyio.CancelScope())
        self.running[start.task] = execution
        self.observe(self.record.worker, start.task, 1)
        self.tasks.start_soon(self.execute, execution, self.run_time(start))

    async def execute(self, execution: Execution, run_s: float) -> None:
        """Runs a task until it ends, is stopped or its hold expires."""
        incarnation = self.incarnation
        ends_at = self.clock() + run_s
        with execution.scope:
            while self.clock() < ends_at and self.clock() < execution.hold_until:
                until = min(ends_at, execution.hold_until) - self.clock()
                if math.isinf(until):
                    await anyio.sleep_forever()
                await anyio.sleep(until / self.clock_rate)
        if self.incarnation != incarnation:
            return
        task = execution.view.task
        if self.running.get(task) is not execution:
            return
        stopped = self.clock() < ends_at
        self.finish(task, stopped=stopped)

    def stop(self, task: TaskId) -> None:
        """Stops a task if it runs here."""
        execution = self.running.get(task)
        if execution is None:
            return
        self.finish(task, stopped=True)
        execution.scope.cancel()

    def finish(self, task: TaskId, *, stopped: bool) -> None:
        """Records the outcome of a task, which is listed until acknowledged."""
        execution = self.running.pop(task)
        run_s = self.clock() - execution.view.started_at
        succeeded = not stopped and not self.fails_everything
        self.ended[task] = EndedTask(
            task=task, succeeded=succeeded, stopped=stopped, run_s=run_s
        )
        self.observe(self.record.worker, task, -1)
        self.publish_change()

    def report(
        self, *, accepted: bool = True, refusals: list[Refusal] | None = None
    ) -> Report:
        """Returns the present state."""
        return Report(
            worker=self.record.worker,
            incarnation=self.incarnation,
            clock=self.clock(),
            number=self.number,
            seen_epoch=self.seen_epoch,
            accepted=accepted,
            refusals=refusals or [],
            running=[execution.view for execution in self.running.values()],
            ended=list(self.ended.values()),
            leaving=self.record.state is WorkerState.LEAVING,
        )

    async def wait_report(self, after: int, wait_s: float) -> Report:
        """Waits for a change after a report number."""
        if self.number <= after:
            with anyio.move_on_after(wait_s):
                await self.changed.wait()
        return self.report()


def declared_run_time(start: Start) -> float:
    """Returns the declared run time; a standing service runs until stopped."""
    if start.service is not None:
        return math.inf
    return start.expected_run_s


def ignore_change(worker: WorkerId, task: TaskId, change: int) -> None:
    """Ignores a task's start or end."""
    del worker, task, change


class MemoryWorkerLink(WorkerLink):
    """A link to a fake worker of the same process, which can be cut."""

    name = "memory"

    def __init__(self, links: MemoryWorkerLinks, worker: FakeWorker) -> None:
        self.links = links
        self.worker = worker

    @property
    def worker_id(self) -> WorkerId:
        """Returns the worker's id."""
        return self.worker.record.worker

    def is_cut(self) -> bool:
        """Returns whether the worker cannot be reached."""
        cut = self.links.cut | self.links.shared_cut
        return not self.worker.alive or self.worker_id in cut

    def are_replies_cut(self) -> bool:
        """Returns whether replies from the worker are lost."""
        return self.is_cut() or self.worker_id in self.links.cut_replies

    async def send(self, command: Command) -> Result[Report, Failure]:
        await self.links.gate.pass_through()
        delay_s = self.links.delays.pop(self.worker_id, None)
        if delay_s is not None:
            self.worker.tasks.start_soon(self.deliver_late, command, delay_s)
            await anyio.sleep(REPLY_TIMEOUT_S)
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "no reply in time"))
        await anyio.sleep(LINK_LATENCY_S)
        if self.is_cut():
            return Err(Failure(ErrorKind.UNREACHABLE, "the worker is unreachable"))
        report = self.worker.handle(command)
        await anyio.sleep(LINK_LATENCY_S)
        await self.links.gate.pass_through()
        if self.are_replies_cut():
            await anyio.sleep(REPLY_TIMEOUT_S)
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost"))
        return Ok(report)

    async def deliver_late(self, command: Command, delay_s: float) -> None:
        """Delivers a command after its sender timed out."""
        await anyio.sleep(delay_s)
        if self.worker.alive:
            self.worker.handle(command)

    async def poll(self, after: int, wait_s: float) -> Result[Report, Failure]:
        await self.links.gate.pass_through()
        await anyio.sleep(LINK_LATENCY_S)
        if self.is_cut():
            await anyio.sleep(wait_s)
            return Err(Failure(ErrorKind.UNREACHABLE, "the worker is unreachable"))
        report = await self.worker.wait_report(after, wait_s)
        await anyio.sleep(LINK_LATENCY_S)
        await self.links.gate.pass_through()
        if self.are_replies_cut():
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost"))
        return Ok(report)


class MemoryWorkerLinks(WorkerLinks):
    """Opens links of one entry instance to fake workers.

    :param workers: The fakes by id; shared with the test.
    :param shared_cut: Workers that no instance can reach.
    """

    name = "memory"

    def __init__(
        self,
        workers: dict[WorkerId, FakeWorker],
        gate: Gate | None = None,
        shared_cut: set[WorkerId] | None = None,
    ) -> None:
        self.workers = workers
        self.gate = gate or Gate()
        self.shared_cut = shared_cut if shared_cut is not None else set()
        self.cut: set[WorkerId] = set()
        self.cut_replies: set[WorkerId] = set()
        self.delays: dict[WorkerId, float] = {}

    def open(self, record: WorkerRecord) -> WorkerLink:
        return MemoryWorkerLink(self, self.workers[record.worker])


class MemoryInstanceList(InstanceListSource):
    """An instance list of the fake workers except the ``missing`` ones."""

    name = "memory"

    def __init__(self, workers: dict[WorkerId, FakeWorker]) -> None:
        self.workers = workers
        self.removed_instances: list[InstanceId] = []
        self.missing: set[WorkerId] = set()
        self.reachable = True

    async def fetch(self) -> Result[InstanceList, Failure]:
        await anyio.sleep(LINK_LATENCY_S)
        if not self.reachable:
            return Err(Failure(ErrorKind.UNREACHABLE, "the list is unreachable"))
        records = [
            worker.record
            for worker in self.workers.values()
            if worker.record.worker not in self.missing
        ]
        return Ok(InstanceList(workers=records, gone=list(self.removed_instances)))


class InstanceListClient(InstanceListSource):
    """One entry instance's client of the shared instance list.

    :param source: The shared list.
    """

    name = "memory-client"

    def __init__(self, source: MemoryInstanceList, gate: Gate) -> None:
        self.source = source
        self.gate = gate
        self.reachable = True

    async def fetch(self) -> Result[InstanceList, Failure]:
        await self.gate.pass_through()
        reply = await self.source.fetch()
        await self.gate.pass_through()
        if not self.reachable:
            return Err(Failure(ErrorKind.UNREACHABLE, "the list is unreachable"))
        return reply
