"""Carries out the owner's orders on one worker and looks at what runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.scheduler.model import Run, RunState
from lacewinghold.scheduler.ports import (
    LookOrder,
    OrderOutcome,
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
POLL_WAIT_S = 0.6  # A look that is lost hides ends for this and POLL_TIMEOUT_S.
MAX_POLL_WAIT_S = 1.8  # Workers answer after two seconds at the latest.
POLL_TIMEOUT_S = 0.4  # Several round trips between regions.
POLL_RETRY_S = 0.1
ACKNOWLEDGE_TIMEOUT_S = 0.3  # Pause between looks while ends cannot be acknowledged.
END_BATCHING_S = 0.02  # Ends that come together are taken with one look.
START_TIMEOUTS_S = (0.25, 0.5, 1.0)  # From two round trips to a slowed worker.
START_RETRY_S = 0.02
STOP_TIMEOUT_S = 0.6
STOP_RETRY_S = 0.2
RETRYABLE_OUTCOMES = (OrderOutcome.LATE, OrderOutcome.UNKNOWN)
MAX_EXCUSED_POLLS = 3  # Unanswered looks that own lateness explains; more are silence.
MISSED_POLLS_LIMIT = 2  # Looks that miss a run which had started before it is given up.


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
        self.last_acknowledged_end = 0
        self.last_processed_end = 0
        self.ends_acknowledged = anyio.Event()
        self.stopping_strays: set[tuple[str, int]] = set()
        self.unknown_since: dict[str, float] = {}
        self.excused_polls = 0
        self.cancel_scope = anyio.CancelScope()
        self.task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Serves the worker until it surely runs nothing any more."""
        try:
            with self.cancel_scope:
                async with anyio.create_task_group() as task_group:
                    self.task_group = task_group
                    await self.poll_until_dead()
                    task_group.cancel_scope.cancel()
        finally:
            # Other workers' tasks may still want a stop here while all are cancelled.
            self.task_group = None
            with anyio.CancelScope(shield=True):
                await self.calls.close()

    async def poll_until_dead(self) -> None:
        """Looks again and again; a silent worker is dead once its lease has lapsed."""
        node = self.node
        while not node.dead:
            may_wait = (
                self.last_processed_end <= self.last_acknowledged_end
                and not node.strays
            )
            sent_at = anyio.current_time()
            reply = await self.poll(self.poll_wait_s() if may_wait else 0.0)
            if isinstance(reply, WorkerReport):
                self.excused_polls = 0
                self.owner.fleet.apply_report(self, reply, sent_at)
                await self.pause_after_poll(reply)
                continue
            if reply is OrderOutcome.FENCED:
                self.owner.note_fenced(node)
                return
            if reply is OrderOutcome.OTHER_INCARNATION:
                self.owner.fleet.note_dead(self, "another incarnation answers")
                return
            if not self.is_silence_excused(sent_at):
                node.silent_calls += 1
                self.owner.fleet.note_silent(self)
            await anyio.sleep(self.owner.lag.pause_s(POLL_RETRY_S))

    def poll_wait_s(self) -> float:
        """Returns how long a look may wait; a late owner looks less often."""
        if not self.node.fenced:
            return 0.0
        return min(POLL_WAIT_S + self.owner.lag.allowance_s(), MAX_POLL_WAIT_S)

    def is_silence_excused(self, sent_at: float) -> bool:
        """Returns whether the owner's own lateness explains an unanswered look.

        Not several times in a row, nor once the worker's lease has lapsed.
        """
        if (
            not self.owner.lag.excused(sent_at)
            or self.excused_polls >= MAX_EXCUSED_POLLS
        ):
            return False
        self.excused_polls += 1
        return not self.node.lapsed(anyio.current_time())

    async def poll(self, wait_s: float) -> WorkerReport | OrderOutcome:
        """Makes one look, with a lease once the worker's clock is known.

        Looks at a silent worker ask for no lease, so that the last one lapses.
        """
        until = None
        node = self.node
        if (
            node.clock_ms is not None
            and not node.silent_calls
            and self.owner.may_hold()
        ):
            until = self.extend_lease()
        return await self.calls.look(
            LookOrder(self.owner.epoch, self.last_acknowledged_end, until, wait_s),
            POLL_TIMEOUT_S,
        )

    def extend_lease(self) -> float:
        """Returns the end of a lease from now, and counts on it."""
        until = self.node.lease_end(self.lease_s, anyio.current_time())
        self.node.lease_until_ms = max(self.node.lease_until_ms, until)
        return until

    async def pause_after_poll(self, report: WorkerReport) -> None:
        """Waits until ends may be acknowledged, so that looks do not spin."""
        if self.node.strays:
            await anyio.sleep(POLL_RETRY_S)
            return
        if self.last_processed_end <= self.last_acknowledged_end:
            if report.ends:
                await anyio.sleep(END_BATCHING_S + self.owner.lag.lag_s)
            return
        with anyio.move_on_after(ACKNOWLEDGE_TIMEOUT_S):
            while self.last_processed_end > self.last_acknowledged_end:
                event = self.ends_acknowledged
                await event.wait()

    def acknowledge(self, number: int) -> None:
        """Notes that all ends up to a number are durable."""
        if number > self.last_acknowledged_end:
            logger.info(Event.ENDS_ACKNOWLEDGED, worker=self.node.id, number=number)
        self.last_acknowledged_end = max(self.last_acknowledged_end, number)
        self.ends_acknowledged.set()
        self.ends_acknowledged = anyio.Event()

    def start_run(self, run: Run, ticket: str) -> None:
        """Starts a run."""
        if self.task_group is not None:
            self.task_group.start_soon(self.order_start, run, ticket)

    async def order_start(self, run: Run, ticket: str) -> None:
        """Orders a start until the worker has answered, or gives the run up."""
        may_still_start = False
        for timeout_s in START_TIMEOUTS_S:
            if not self.is_current(run) or run.state is RunState.STOPPING:
                return
            if not self.owner.may_order():
                break
            reply = await self.calls.start(
                self.build_start_order(run, ticket), timeout_s
            )
            if reply.clock_ms is not None:
                self.node.note_clock(reply.clock_ms, anyio.current_time())
            if reply.outcome in RETRYABLE_OUTCOMES:
                may_still_start = (
                    may_still_start or reply.outcome is OrderOutcome.UNKNOWN
                )
                await anyio.sleep(self.owner.lag.pause_s(START_RETRY_S))
                continue
            if self.apply_start_outcome(
                run, reply.outcome, may_still_start=may_still_start
            ):
                return
            break
        logger.info(
            Event.START_GIVEN_UP,
            task=run.task.name,
            run=run.number,
            worker=self.node.id,
        )
        self.stop_run(run)

    def build_start_order(self, run: Run, ticket: str) -> StartOrder:
        """Returns the order to start a run, with a lease from now."""
        task = run.task
        return StartOrder(
            task=task.name,
            run=run.number,
            program=task.step.job.record.program,
            lease_until_ms=self.extend_lease(),
            epoch=self.owner.epoch,
            checkpoint=task.checkpoint,
            ticket=ticket,
        )

    def apply_start_outcome(
        self, run: Run, outcome: OrderOutcome, *, may_still_start: bool
    ) -> bool:
        """Acts on the answer to a start.

        :param may_still_start: Whether an earlier try without an answer may still be
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
            self.owner.note_fenced(self.node)
        elif outcome is OrderOutcome.OTHER_INCARNATION:
            self.owner.fleet.note_dead(self, "another incarnation answers")
        elif outcome is not OrderOutcome.OLD_RUN:
            if may_still_start:
                return False
            self.owner.runs.note_refused(self, run, outcome)
        return True

    def is_current(self, run: Run) -> bool:
        """Returns whether a run still counts on this worker."""
        return self.node.runs.get((run.task.name, run.number)) is run

    def stop_run(self, run: Run) -> None:
        """Stops a run; its room stays counted until it surely has ended."""
        if run.state is RunState.STOPPING or self.task_group is None:
            return
        run.state = RunState.STOPPING
        run.settled = False
        self.task_group.start_soon(self.order_stop, run)

    async def order_stop(self, run: Run) -> None:
        """Orders a stop until the worker has answered."""
        while self.is_current(run):
            settled = await self.send_stop(run.task.name, run.number)
            if settled:
                run.settled = True
                return
            await anyio.sleep(self.owner.lag.pause_s(STOP_RETRY_S))

    async def send_stop(self, task: str, number: int) -> bool:
        """Makes one call to stop a run.

        :returns: Whether the worker surely will not run it any more.
        """
        order = StopOrder(task, number, self.owner.epoch)
        reply = await self.calls.stop(order, STOP_TIMEOUT_S)
        if reply.clock_ms is not None:
            self.node.note_clock(reply.clock_ms, anyio.current_time())
        if reply.outcome is OrderOutcome.FENCED:
            self.owner.note_fenced(self.node)
            return True
        return reply.outcome in (
            OrderOutcome.DONE,
            OrderOutcome.OLD_RUN,
            OrderOutcome.OTHER_INCARNATION,
        )

    def stop_stray(self, task: str, number: int) -> None:
        """Stops a run of a job that nobody knows."""
        if (task, number) in self.stopping_strays or self.task_group is None:
            return
        self.stopping_strays.add((task, number))
        logger.info(
            Event.STOPPING_A_STRAY_RUN, task=task, run=number, worker=self.node.id
        )
        self.task_group.start_soon(self.order_stray_stop, task, number)

    async def order_stray_stop(self, task: str, number: int) -> None:
        """Orders a stop of a stray run until the worker has answered."""
        while not await self.send_stop(task, number):
            await anyio.sleep(self.owner.lag.pause_s(STOP_RETRY_S))
        self.stopping_strays.discard((task, number))
