"""Carries out the owner's orders on one worker and looks at what runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.scheduler.model import Run, RunState
from lacewinghold.scheduler.ports import (
    OrderOutcome,
    PollOrder,
    StartOrder,
    StopOrder,
    WorkerReport,
)

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import WorkerCalls

logger = structlog.get_logger(__name__)
LOOK_WAIT_S = 0.6  # A look that is lost hides ends for this and LOOK_TIMEOUT_S.
MAX_LOOK_WAIT_S = 1.8  # Workers answer after two seconds at the latest.
LOOK_TIMEOUT_S = 0.4  # Several round trips between regions.
LOOK_RETRY_S = 0.1
LISTED_AGAIN_S = 0.3  # Pause between looks while ends cannot be acknowledged.
GATHER_S = 0.02  # Ends that come together are taken with one look.
START_TIMEOUTS_S = (0.25, 0.5, 1.0)  # From two round trips to a slowed worker.
ORDER_RETRY_S = 0.02
STOP_TIMEOUT_S = 0.6
STOP_RETRY_S = 0.2
TRY_AGAIN = (OrderOutcome.LATE, OrderOutcome.UNKNOWN)
MAX_EXCUSED = 3  # Unanswered looks that own lateness explains; more are silence.
LOST_LOOKS = 2  # Looks that miss a run which had started before it is given up.


class WorkerDriver:
    """The task for one worker.

    :param lease_s: Length of the lease that each look and start asks for.
    """

    def __init__(
        self, owner: CellOwner, node: WorkerNode, calls: WorkerCalls, lease_s: float
    ) -> None:
        self.owner = owner
        self.node = node
        self.calls = calls
        self.lease_s = lease_s
        self.acknowledged = 0
        self.processed = 0
        self.ack_moved = anyio.Event()
        self.stopping_strays: set[tuple[str, int]] = set()
        self.unknown_since: dict[str, float] = {}
        self.excused_looks = 0
        self.scope = anyio.CancelScope()
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serves the worker until it surely runs nothing any more."""
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    await self.look_until_dead()
                    tasks.cancel_scope.cancel()
        finally:
            # Other workers' tasks may still want a stop here while all are cancelled.
            self.tasks = None
            with anyio.CancelScope(shield=True):
                await self.calls.close()

    async def look_until_dead(self) -> None:
        """Looks again and again; a silent worker is dead once its lease has lapsed."""
        node = self.node
        while not node.dead:
            waits = self.processed <= self.acknowledged and not node.strays
            sent_at = anyio.current_time()
            reply = await self.look(self.look_wait_s() if waits else 0.0)
            if isinstance(reply, WorkerReport):
                self.excused_looks = 0
                self.owner.fleet.apply_report(self, reply, sent_at)
                await self.pause_after_look(reply)
                continue
            if reply is OrderOutcome.FENCED:
                self.owner.record_fenced(node)
                return
            if reply is OrderOutcome.OTHER_INCARNATION:
                self.owner.fleet.remove_worker(self, "another incarnation answers")
                return
            if not self.excuses(sent_at):
                node.silent_calls += 1
                self.owner.fleet.handle_silence(self)
            await anyio.sleep(self.owner.lag.pause_s(LOOK_RETRY_S))

    def look_wait_s(self) -> float:
        """Returns how long a look may wait; a late owner looks less often."""
        if not self.node.fenced:
            return 0.0
        return min(LOOK_WAIT_S + self.owner.lag.allowance_s(), MAX_LOOK_WAIT_S)

    def excuses(self, sent_at: float) -> bool:
        """Returns whether the owner's own lateness explains an unanswered look.

        Not several times in a row, nor once the worker's lease has lapsed.
        """
        if not self.owner.lag.excused(sent_at) or self.excused_looks >= MAX_EXCUSED:
            return False
        self.excused_looks += 1
        return not self.node.lapsed(anyio.current_time())

    async def look(self, wait_s: float) -> WorkerReport | OrderOutcome:
        """Makes one look, with a lease once the worker's clock is known.

        Looks at a silent worker ask for no lease, so that the last one lapses.
        """
        until = None
        node = self.node
        if (
            node.clock_ms is not None
            and not node.silent_calls
            and self.owner.may_renew_leases()
        ):
            until = self.new_lease_end()
        return await self.calls.poll(
            PollOrder(self.owner.epoch, self.acknowledged, until, wait_s),
            LOOK_TIMEOUT_S,
        )

    def new_lease_end(self) -> float:
        """Returns the end of a lease from now, and counts on it."""
        until = self.node.lease_end(self.lease_s, anyio.current_time())
        self.node.lease_until_ms = max(self.node.lease_until_ms, until)
        return until

    async def pause_after_look(self, report: WorkerReport) -> None:
        """Waits until ends may be acknowledged, so that looks do not spin."""
        if self.node.strays:
            await anyio.sleep(LOOK_RETRY_S)
            return
        if self.processed <= self.acknowledged:
            if report.ends:
                await anyio.sleep(GATHER_S + self.owner.lag.lag_s)
            return
        with anyio.move_on_after(LISTED_AGAIN_S):
            while self.processed > self.acknowledged:
                event = self.ack_moved
                await event.wait()

    def acknowledge(self, number: int) -> None:
        """Notes that all ends up to a number are durable."""
        if number > self.acknowledged:
            logger.info(Event.ENDS_ACKNOWLEDGED, worker=self.node.id, number=number)
        self.acknowledged = max(self.acknowledged, number)
        self.ack_moved.set()
        self.ack_moved = anyio.Event()

    def begin(self, run: Run, ticket: str) -> None:
        """Starts a run."""
        if self.tasks is not None:
            self.tasks.start_soon(self.start, run, ticket)

    async def start(self, run: Run, ticket: str) -> None:
        """Orders a start until the worker has answered, or gives the run up."""
        may_come = False
        for timeout_s in START_TIMEOUTS_S:
            if not self.here(run) or run.state is RunState.STOPPING:
                return
            if not self.owner.may_send_orders():
                break
            reply = await self.calls.start(self.start_order(run, ticket), timeout_s)
            if reply.clock_ms is not None:
                self.node.note_clock(reply.clock_ms, anyio.current_time())
            if reply.outcome in TRY_AGAIN:
                may_come = may_come or reply.outcome is OrderOutcome.UNKNOWN
                await anyio.sleep(self.owner.lag.pause_s(ORDER_RETRY_S))
                continue
            if self.settle_start(run, reply.outcome, may_come=may_come):
                return
            break
        logger.info(
            Event.START_GIVEN_UP,
            task=run.task.name,
            run=run.number,
            worker=self.node.id,
        )
        self.halt(run)

    def start_order(self, run: Run, ticket: str) -> StartOrder:
        """Returns the order to start a run, with a lease from now."""
        task = run.task
        return StartOrder(
            task=task.name,
            run=run.number,
            program=task.step.job.record.program,
            lease_until_ms=self.new_lease_end(),
            epoch=self.owner.epoch,
            checkpoint=task.checkpoint,
            ticket=ticket,
        )

    def settle_start(self, run: Run, outcome: OrderOutcome, *, may_come: bool) -> bool:
        """Acts on the answer to a start.

        :param may_come: Whether an earlier try without an answer may still be
            carried out.
        :returns: Whether it settles what becomes of the run.
        """
        if outcome in (OrderOutcome.DONE, OrderOutcome.OLD_RUN):
            run.settled = True
        if outcome is OrderOutcome.DONE:
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            self.owner.runs.note_started(run)
        elif outcome is OrderOutcome.FENCED:
            self.owner.record_fenced(self.node)
        elif outcome is OrderOutcome.OTHER_INCARNATION:
            self.owner.fleet.remove_worker(self, "another incarnation answers")
        elif outcome is not OrderOutcome.OLD_RUN:
            if may_come:
                return False
            self.owner.runs.note_refused(self, run, outcome)
        return True

    def here(self, run: Run) -> bool:
        """Returns whether a run still counts on this worker."""
        return self.node.runs.get((run.task.name, run.number)) is run

    def halt(self, run: Run) -> None:
        """Stops a run; its room stays counted until it surely has ended."""
        if run.state is RunState.STOPPING or self.tasks is None:
            return
        run.state = RunState.STOPPING
        run.settled = False
        self.tasks.start_soon(self.stop, run)

    async def stop(self, run: Run) -> None:
        """Orders a stop until the worker has answered."""
        while self.here(run):
            done = await self.order_stop(run.task.name, run.number)
            if done:
                run.settled = True
                return
            await anyio.sleep(self.owner.lag.pause_s(STOP_RETRY_S))

    async def order_stop(self, task: str, number: int) -> bool:
        """Makes one call to stop a run.

        :returns: Whether the worker surely will not run it any more.
        """
        order = StopOrder(task, number, self.owner.epoch)
        reply = await self.calls.stop(order, STOP_TIMEOUT_S)
        if reply.clock_ms is not None:
            self.node.note_clock(reply.clock_ms, anyio.current_time())
        if reply.outcome is OrderOutcome.FENCED:
            self.owner.record_fenced(self.node)
            return True
        return reply.outcome in (
            OrderOutcome.DONE,
            OrderOutcome.OLD_RUN,
            OrderOutcome.OTHER_INCARNATION,
        )

    def stop_stray(self, task: str, number: int) -> None:
        """Stops a run of a job that nobody knows."""
        if (task, number) in self.stopping_strays or self.tasks is None:
            return
        self.stopping_strays.add((task, number))
        logger.info(
            Event.STOPPING_A_STRAY_RUN, task=task, run=number, worker=self.node.id
        )
        self.tasks.start_soon(self.stop_until_answered, task, number)

    async def stop_until_answered(self, task: str, number: int) -> None:
        """Orders a stop of a stray run until the worker has answered."""
        while not await self.order_stop(task, number):
            await anyio.sleep(self.owner.lag.pause_s(STOP_RETRY_S))
        self.stopping_strays.discard((task, number))
