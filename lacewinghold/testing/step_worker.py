"""Stand-in workers that run the tasks of steps, with injected faults."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import anyio
from msgspec import Struct, field
from msgspec.structs import replace

from lacewinghold.ids import ANY_INCARNATION
from lacewinghold.scheduler.ports import (
    MAX_LISTED_ENDS,
    EndKind,
    EndReport,
    OrderOutcome,
    OrderReply,
    Resources,
    RunReport,
    WorkerCalls,
    WorkerDialer,
    WorkerReport,
)
from lacewinghold.testing.step_group import RunGroup

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from anyio.abc import TaskGroup

    from lacewinghold.ids import Incarnation, WorkerId
    from lacewinghold.scheduler.ports import (
        PollOrder,
        StartOrder,
        StopOrder,
        WorkerEntry,
    )
    from lacewinghold.testing.gate import Gate

CALL_S = 0.002
LATE_START_DELAY_S = 2.0
STOP_S = 0.05


class OrderFault(StrEnum):
    """Fault injected into an order."""

    REPLY_LOST = "reply_lost"
    CARRIED_OUT_LATE = "carried_out_late"
    NOT_SENT = "not_sent"


class Behaviour(Struct, frozen=True):
    """What a run of a task does.

    :param seconds: Run time in seconds.
    :param crashes: Whether the worker crashes at its end, and comes back later.
    :param checkpoint_s: Interval of its checkpoints in seconds; 0 if it writes none.
    """

    seconds: float
    fails: bool = False
    crashes: bool = False
    checkpoint_s: float = 0.0


class Execution(Struct, eq=False):
    """A run in progress.

    :param checkpoint: Number of the checkpoint from which it has gone on.
    """

    task: str
    run: int
    room: Resources
    started_at: float
    behaviour: Behaviour
    scope: anyio.CancelScope
    group: RunGroup | None = None
    kind: EndKind | None = None
    checkpoint: int = 0

    def restored_s(self) -> float:
        """Returns the work of earlier runs that it need not repeat, in seconds."""
        return self.checkpoint * self.behaviour.checkpoint_s

    def working_since(self) -> float:
        """Returns when its work began, infinity while it waits for its group."""
        return self.started_at if self.group is None else self.group.working_since


class StartRecord(Struct, frozen=True):
    """A start recorded by the world."""

    at: float
    task: str
    run: int
    worker: WorkerId


class CrashRecord(Struct, frozen=True):
    """A run that ended with a crash of its worker, as recorded by the world.

    :param working: Whether its work had begun.
    """

    at: float
    task: str
    run: int
    worker: WorkerId
    working: bool


class World(Struct):
    """State that all stand-in workers share, with the violations that they detected.

    :param behaviour_of: Returns what a run of a task does.
    :param room_of: Returns the resources that a task uses.
    :param is_long_running: Returns whether a task is restarted whatever its end.
    :param gang_size: Returns the number of tasks that must run all at once, 0 for a
        task that runs by itself.
    :param accepts_ticket: Returns whether a ticket permits a step on a worker.
    :param shrink_grace_s: How long the capacity of a worker that has shrunk still
        counts for starts, in seconds.
    :param done: Tasks that must not start again.
    :param finished: Tasks of which a run has been done, whether or not it was heard.
    :param guards_capacity: Whether the workers refuse what does not fit.
    :param refusals: How many starts they have refused for that.
    :param binds_orders: Whether orders reach only the incarnation that they are meant
        for. Otherwise they reach any, as those of the previous program version do.
    :param crash_worker: Crashes a worker and brings it back later.
    """

    behaviour_of: Callable[[str, int], Behaviour]
    room_of: Callable[[str], Resources]
    is_long_running: Callable[[str], bool]
    gang_size: Callable[[str], int]
    accepts_ticket: Callable[[str, WorkerId, str], bool]
    crash_worker: Callable[[StepWorker], Coroutine[Any, Any, None]]
    groups: dict[tuple[str, int], RunGroup] = field(default_factory=dict)
    workers: dict[WorkerId, StepWorker] = field(default_factory=dict)
    starts: list[StartRecord] = field(default_factory=list)
    crashes: list[CrashRecord] = field(default_factory=list)
    done: set[str] = field(default_factory=set)
    finished: set[str] = field(default_factory=set)
    failures: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    shrink_grace_s: float = 0.0
    guards_capacity: bool = False
    refusals: int = 0
    binds_orders: bool = False

    def group_of(self, task: str, run: int) -> RunGroup | None:
        """Returns the gang of a task's run, ``None`` if it runs by itself."""
        size = self.gang_size(task)
        if not size:
            return None
        step, _, _ = task.rpartition(".")
        return self.groups.setdefault((step, run), RunGroup(size))

    def check_start(self, worker: StepWorker, task: str, run: int) -> None:
        """Records the invariants that a start violates."""
        if task in self.done:
            self.violations.append(f"{task} run {run} starts after it was done")
        for other in self.workers.values():
            for (name, number), _ in other.runs.items():
                if name == task:
                    self.violations.append(
                        f"{task} run {run} on {worker.id} beside {number} on {other.id}"
                    )
        used = worker.used().plus(self.room_of(task))
        counted = worker.counted_capacities(self.shrink_grace_s)
        if not any(used.within(capacity) for capacity in counted):
            self.violations.append(f"{worker.id} is over its capacity by {task}")


class StepWorker:
    """A worker that fences old epochs, checks its lease and lists unacknowledged ends.

    :param clock_rate: Seconds of the worker's clock per second of the runtime's.
    """

    def __init__(
        self,
        world: World,
        entry: WorkerEntry,
        tasks: TaskGroup,
        clock_rate: float = 1.0,
    ) -> None:
        self.world = world
        self.entry = entry
        self.tasks = tasks
        self.clock_rate = clock_rate
        self.highest_epoch = 0
        self.lease_until_ms = 0.0
        self.runs: dict[tuple[str, int], Execution] = {}
        self.highest_runs: dict[str, int] = {}
        self.ends: list[EndReport] = []
        self.next_end = 1
        self.changed = anyio.Event()
        self.silent = False
        self.faults: list[OrderFault] = []
        self.earlier_capacities: list[tuple[float, Resources]] = []
        self.crash_count = 0
        self.late_starts = 0  # Orders that are still to be carried out late.
        world.workers[entry.worker] = self
        tasks.start_soon(self.expire)

    @property
    def id(self) -> WorkerId:
        """Returns the worker's id."""
        return self.entry.worker

    @property
    def incarnation(self) -> Incarnation:
        """Returns the present incarnation."""
        return self.entry.incarnation

    def clock_ms(self) -> float:
        """Returns the worker's own steady clock."""
        return anyio.current_time() * 1000 * self.clock_rate

    def used(self) -> Resources:
        """Returns the resources that runs use."""
        total = Resources()
        for run in self.runs.values():
            total = total.plus(run.room)
        return total

    def change_capacity(self, capacity: Resources) -> None:
        """Changes the capacity; runs that exceed it go on."""
        now = anyio.current_time()
        self.earlier_capacities.append((now, self.entry.capacity))
        self.entry = replace(self.entry, capacity=capacity)

    def counted_capacities(self, grace_s: float) -> list[Resources]:
        """Returns the present capacity and those that it had within the grace."""
        since = anyio.current_time() - grace_s
        counted = [self.entry.capacity]
        for changed_at, capacity in self.earlier_capacities:
            if changed_at > since:
                counted.append(capacity)
        return counted

    def has_room(self, task: str) -> bool:
        """Returns whether a task fits beside the runs."""
        used = self.used().plus(self.world.room_of(task))
        return used.within(self.entry.capacity)

    def crash(self) -> None:
        """Ends all runs and loses the worker's state, as a crash does."""
        self.crash_count += 1
        self.discard_unacknowledged_ends()
        runs = list(self.runs.values())
        self.runs.clear()
        now = anyio.current_time()
        for run in runs:
            working = run.working_since() <= now
            self.world.crashes.append(
                CrashRecord(now, run.task, run.run, self.id, working)
            )
            run.kind = EndKind.LAPSED
            run.scope.cancel()
            if run.group is not None:
                run.group.leave(run.task)
        self.ends.clear()
        self.highest_runs.clear()
        self.earlier_capacities.clear()
        self.highest_epoch = 0
        self.next_end = 1

    async def expire(self) -> None:
        """Ends all runs whenever the lease has lapsed."""
        while True:
            await anyio.sleep(0.05)
            if self.clock_ms() > self.lease_until_ms:
                self.discard_unacknowledged_ends()
                for run in list(self.runs.values()):
                    self.end(run, EndKind.LAPSED)

    def discard_unacknowledged_ends(self) -> None:
        """Removes unacknowledged ends of tasks from the tasks that are done.

        After the lease has lapsed their owner may start them again.
        """
        for end in self.ends:
            if end.kind is EndKind.DONE:
                self.world.done.discard(end.task)

    def extend(self, until_ms: float) -> None:
        """Extends the lease; it never shortens."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def accept_epoch(self, epoch: int) -> bool:
        """Returns whether an epoch is at least the highest seen, and records it."""
        if epoch < self.highest_epoch:
            return False
        self.highest_epoch = epoch
        return True

    def start(self, order: StartOrder) -> OrderOutcome:
        """Carries out a start."""
        if not self.accept_epoch(order.epoch):
            return OrderOutcome.FENCED
        if order.lease_until_ms < self.clock_ms():
            return OrderOutcome.LATE
        self.extend(order.lease_until_ms)
        key = (order.task, order.run)
        if key in self.runs:
            return OrderOutcome.DONE
        if order.run <= self.highest_runs.get(order.task, 0):
            return OrderOutcome.OLD_RUN
        step, _, _ = order.task.rpartition(".")
        if not self.world.accepts_ticket(step, self.id, order.ticket):
            return OrderOutcome.NO_TICKET
        if self.world.guards_capacity and not self.has_room(order.task):
            self.world.refusals += 1
            return OrderOutcome.NO_ROOM
        self.world.check_start(self, order.task, order.run)
        self.highest_runs[order.task] = order.run
        now = anyio.current_time()
        self.world.starts.append(StartRecord(now, order.task, order.run, self.id))
        run = Execution(
            order.task,
            order.run,
            self.world.room_of(order.task),
            now,
            self.world.behaviour_of(order.task, order.run),
            anyio.CancelScope(),
            self.world.group_of(order.task, order.run),
            checkpoint=int(order.checkpoint or 0),
        )
        self.runs[key] = run
        if run.group is not None:
            run.group.join(self, run)
        self.tasks.start_soon(self.work, run)
        return OrderOutcome.DONE

    async def work(self, run: Execution) -> None:
        """Works until the run is done or ended."""
        with run.scope:
            if run.group is not None and not await run.group.wait_for_others():
                self.end(run, EndKind.ALONE)
                return
            await anyio.sleep(run.behaviour.seconds - run.restored_s())
        if run.kind is not None:
            return
        if run.behaviour.crashes:
            self.tasks.start_soon(self.world.crash_worker, self)
        elif run.behaviour.fails:
            self.end(run, EndKind.FAILED)
        elif run.group is not None:
            run.group.finish(run.task)
        else:
            self.end(run, EndKind.DONE)

    def end(self, run: Execution, kind: EndKind) -> None:
        """Ends a run and lists its end."""
        run.kind = kind
        run.scope.cancel()
        if self.runs.pop((run.task, run.run), None) is None:
            return
        if run.group is not None and kind is not EndKind.DONE:
            run.group.leave(run.task)
        if kind is EndKind.DONE and not self.world.is_long_running(run.task):
            self.world.done.add(run.task)
            self.world.finished.add(run.task)
        if kind is EndKind.FAILED:
            self.world.failures[run.task] += 1
        self.ends.append(EndReport(self.next_end, run.task, run.run, kind, ""))
        self.next_end += 1
        self.changed.set()
        self.changed = anyio.Event()

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Carries out a stop."""
        if not self.accept_epoch(order.epoch):
            return OrderOutcome.FENCED
        run = self.runs.get((order.task, order.run))
        self.highest_runs[order.task] = max(
            order.run, self.highest_runs.get(order.task, 0)
        )
        if run is not None:
            await anyio.sleep(STOP_S)
            self.end(run, EndKind.STOPPED)
        return OrderOutcome.DONE

    async def poll(self, order: PollOrder) -> WorkerReport | OrderOutcome:
        """Answers a poll."""
        if not self.accept_epoch(order.epoch):
            return OrderOutcome.FENCED
        if order.lease_until_ms is not None:
            self.extend(order.lease_until_ms)
        self.ends = [end for end in self.ends if end.number > order.acknowledged]
        if order.wait_s and not self.ends:
            with anyio.move_on_after(order.wait_s):
                await self.changed.wait()
        runs = [self.report(run) for run in self.runs.values()]
        return WorkerReport(self.clock_ms(), runs, self.ends[:MAX_LISTED_ENDS])

    def report(self, run: Execution) -> RunReport:
        """Returns the progress of a run."""
        worked_s = max(0.0, anyio.current_time() - run.working_since())
        worked_s += run.restored_s()
        percent = 100 * worked_s / run.behaviour.seconds
        checkpoint = ""
        if run.behaviour.checkpoint_s:
            checkpoint = str(int(worked_s // run.behaviour.checkpoint_s))
        return RunReport(run.task, run.run, checkpoint, min(99.0, percent))


class MemoryWorkerCalls(WorkerCalls):
    """Calls to a stand-in worker, with faults."""

    name = "memory"

    def __init__(
        self, worker: StepWorker, entry: WorkerEntry, dialer: MemoryWorkerDialer
    ) -> None:
        self.worker = worker
        self.incarnation = entry.incarnation
        self.address = entry.address
        self.dialer = dialer
        self.gate = dialer.gate

    def is_unreachable(self) -> bool:
        """Returns whether the worker does not answer the calling instance."""
        return (
            self.worker.silent
            or self.worker.id in self.dialer.unreachable
            or self.address != self.worker.entry.address
        )

    async def connect(self, timeout_s: float) -> OrderOutcome | None:
        """Returns why the worker cannot be reached, ``None`` if it can."""
        await self.gate.pass_through()
        if self.is_unreachable():
            await anyio.sleep(timeout_s)
            return OrderOutcome.UNKNOWN
        await anyio.sleep(CALL_S)
        return None

    def is_for_other_incarnation(self) -> bool:
        """Returns whether the worker has restarted since its entry was read."""
        return self.incarnation not in (ANY_INCARNATION, self.worker.incarnation)

    def next_fault(self) -> OrderFault | None:
        """Returns the fault of the present order, if it has one."""
        return self.worker.faults.pop(0) if self.worker.faults else None

    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        failure = await self.connect(timeout_s)
        if failure is not None:
            return OrderReply(failure)
        if self.worker.world.binds_orders and self.is_for_other_incarnation():
            return OrderReply(OrderOutcome.OTHER_INCARNATION)
        fault = self.next_fault()
        if fault is OrderFault.NOT_SENT:
            return OrderReply(OrderOutcome.NOT_SENT)
        if fault is OrderFault.CARRIED_OUT_LATE:
            self.worker.late_starts += 1
            self.worker.tasks.start_soon(self.start_late, order)
            await anyio.sleep(timeout_s)
            return OrderReply(OrderOutcome.UNKNOWN)
        outcome = self.worker.start(order)
        await self.gate.pass_through()
        if fault is OrderFault.REPLY_LOST:
            await anyio.sleep(timeout_s)
            return OrderReply(OrderOutcome.UNKNOWN)
        return OrderReply(outcome, self.worker.clock_ms())

    async def start_late(self, order: StartOrder) -> None:
        """Carries out a start after its sender timed out."""
        crash_count = self.worker.crash_count
        await anyio.sleep(LATE_START_DELAY_S)
        self.worker.late_starts -= 1
        if not self.worker.world.binds_orders or crash_count == self.worker.crash_count:
            self.worker.start(order)

    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        failure = await self.connect(timeout_s)
        if failure is not None:
            return OrderReply(failure)
        outcome = await self.worker.stop(order)
        await self.gate.pass_through()
        return OrderReply(outcome, self.worker.clock_ms())

    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        failure = await self.connect(timeout_s)
        if failure is not None:
            return failure
        if self.worker.world.binds_orders and self.is_for_other_incarnation():
            return OrderOutcome.OTHER_INCARNATION
        report = await self.worker.poll(order)
        await self.gate.pass_through()
        if self.is_unreachable():
            return OrderOutcome.UNKNOWN
        if self.is_for_other_incarnation():
            return OrderOutcome.OTHER_INCARNATION
        return report

    async def close(self) -> None:
        return


class MemoryWorkerDialer(WorkerDialer):
    """Opens calls to stand-in workers.

    :param gate: Gate of the calling entry instance.
    :ivar unreachable: Workers that this instance alone does not reach.
    """

    name = "memory"

    def __init__(self, world: World, gate: Gate) -> None:
        self.world = world
        self.gate = gate
        self.unreachable: set[WorkerId] = set()

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return MemoryWorkerCalls(self.world.workers[entry.worker], entry, self)
