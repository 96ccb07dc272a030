"""Sends start and stop orders to one worker and polls it for its runs.

The worker numbers the ends of its runs and reports each one until the owner has
acknowledged it. An end is acknowledged once it is durable in the store. Each poll
renews the worker's lease; the worker stops its runs when the lease lapses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import ANY_INCARNATION
from lacewinghold.scheduler.model import Run, RunState
from lacewinghold.scheduler.ports import (
    OrderOutcome,
    PollOrder,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from lacewinghold.util.containment import contained

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import WorkerCalls

logger = structlog.get_logger(__name__)
POLL_WAIT_S = 0.6  # A lost poll delays ends by this and POLL_TIMEOUT_S.
MAX_POLL_WAIT_S = 1.8  # Workers hold a poll open for two seconds at most.
POLL_TIMEOUT_S = 0.4  # Beyond the poll's wait: several round trips between regions.
POLL_RETRY_S = 0.1
CONFIRM_RETRY_S = 0.5  # An entry that is late is replaced at the next heartbeat.
ACKNOWLEDGE_TIMEOUT_S = 0.3  # Longest pause between polls while ends are not durable.
END_BATCHING_S = 0.02  # Ends of about the same time are reported in one poll.
START_TIMEOUTS_S = (0.25, 0.5, 1.0)  # From two round trips to a slow worker's answer.
START_RETRY_S = 0.02
STOP_TIMEOUT_S = 0.6
STOP_RETRY_S = 0.2
RETRYABLE_OUTCOMES = (OrderOutcome.LATE, OrderOutcome.UNKNOWN)
MAX_EXCUSED_POLLS = 3  # In a row; further unanswered polls count against the worker.
MISSED_POLLS_LIMIT = 2  # A started run that so many polls do not list is given up.


class WorkerDriver:
    """Drives one incarnation of a worker: polls it, starts and stops runs on it.

    :param node: The owner's view of the worker.
    :param calls: Calls to the worker.
    :param lease_s: Length in seconds of the lease that each poll and start requests.
    """

    def __init__(
        self, owner: CellOwner, node: WorkerNode, calls: WorkerCalls, lease_s: float
    ) -> None:
        self.owner = owner
        self.node = node
        self.calls = calls
        self.lease_s = lease_s
        self.last_acknowledged_end = 0
        self.last_processed_end = 0  # All ends up to this number have been applied.
        self.applied_ends: set[int] = set()  # Numbers of further ones.
        self.ends_acknowledged = anyio.Event()
        self.stopping_strays: set[tuple[str, int]] = set()
        self.unknown_tasks: set[str] = set()  # Listed while their jobs were unknown.
        self.excused_polls = 0
        self.confirming = False
        self.cancel_scope = anyio.CancelScope()
        self.task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Serves the worker until it is certain that nothing runs there any more."""
        try:
            with self.cancel_scope:
                async with anyio.create_task_group() as task_group:
                    self.task_group = task_group
                    self.stop_inherited_runs()
                    await self.poll_until_dead()
                    task_group.cancel_scope.cancel()
        finally:
            # While an owner shuts down, the drivers end one after the other, and one
            # that still runs may request a stop from this one.
            self.task_group = None
            with anyio.CancelScope(shield=True):
                await self.calls.close()

    async def poll_until_dead(self) -> None:
        """Polls the worker until it is dead.

        Once the lease of a silent worker has lapsed, its runs have ended.
        """
        node = self.node
        while not node.dead:
            may_wait = (
                self.last_processed_end <= self.last_acknowledged_end
                and not node.stray_runs
                and not node.withheld_ends
            )
            sent_at = anyio.current_time()
            reply = await self.poll(self.poll_wait_s() if may_wait else 0.0)
            if isinstance(reply, WorkerReport):
                self.excused_polls = 0
                with contained("report of a worker", worker=node.id):
                    self.owner.fleet.apply_report(self, reply, sent_at)
                await self.pause_after_poll(reply)
                continue
            if reply is OrderOutcome.FENCED:
                self.owner.record_fenced(node)
                return
            if reply is OrderOutcome.OTHER_INCARNATION:
                await self.handle_other_incarnation()
                return
            if not self.is_silence_excused(sent_at):
                node.unanswered_calls += 1
                await self.owner.fleet.handle_silence(self)
            await anyio.sleep(self.owner.lag.pause_s(POLL_RETRY_S))

    async def handle_other_incarnation(self) -> None:
        """Handles an answer of another incarnation, or of another worker.

        Waits until the store has confirmed that no later owner had claimed the cell
        when it was heard. A later owner may have acknowledged ends of this incarnation.
        """
        node = self.node
        node.replaced = True
        heard_at = anyio.current_time()
        await self.owner.confirmations.wait_until_confirmed(heard_at)
        moved = node.other_entry and node.other_entry.address != node.entry.address
        if node.entry.incarnation == ANY_INCARNATION and not moved:
            reason = "another worker has its address"
            self.owner.fleet.remove_worker(self, reason)
            return
        self.owner.fleet.replace_worker(self)

    def stop_inherited_runs(self) -> None:
        """Stops runs that the worker may start on orders for an earlier incarnation."""
        for run in self.node.runs.values():
            if run.may_start_later() or run.state is RunState.STOPPING:
                run.state = RunState.STARTING
                self.stop_run(run)

    def confirm_other_incarnation(self) -> None:
        """Begins to ask whether the worker has restarted, in the background."""
        if self.confirming or self.owner.task_group is None:
            return
        self.confirming = True
        self.owner.task_group.start_soon(self.ask_other_incarnation)

    async def ask_other_incarnation(self) -> None:
        """Polls the other incarnation that the worker's entry names.

        Entries may be late or from another writer. Only the worker's answer tells that
        it has restarted, so that the runs of this incarnation have ended.
        """
        node = self.node
        while not node.dead and node.other_entry is not None:
            entry = node.other_entry
            calls = self.owner.dialer.open(entry)
            try:
                order = PollOrder(self.owner.epoch, 0)
                reply = await calls.poll(order, POLL_TIMEOUT_S)
            finally:
                with anyio.CancelScope(shield=True):
                    await calls.close()
            if reply is OrderOutcome.FENCED:
                self.owner.record_fenced(node)
                return
            if isinstance(reply, WorkerReport) and node.other_entry is entry:
                node.replaced = True
                heard_at = anyio.current_time()
                await self.owner.confirmations.wait_until_confirmed(heard_at)
                self.owner.fleet.replace_worker(self)
                return
            await anyio.sleep(self.owner.lag.pause_s(CONFIRM_RETRY_S))
        self.confirming = False

    def poll_wait_s(self) -> float:
        """Returns how long in seconds the worker may hold a poll open for an end.

        The first poll, which fences off earlier owners, does not wait. An owner whose
        event loop lags polls less often.
        """
        if not self.node.fenced:
            return 0.0
        return min(POLL_WAIT_S + self.owner.lag.allowance_s(), MAX_POLL_WAIT_S)

    def is_silence_excused(self, sent_at: float) -> bool:
        """Returns whether an unanswered poll may be due to lag of this process.

        Lag excuses at most ``MAX_EXCUSED_POLLS`` polls in a row, and none once the
        worker's lease has lapsed.

        :param sent_at: When the poll was sent, on the runtime's clock.
        """
        if (
            not self.owner.lag.lagged_since(sent_at)
            or self.excused_polls >= MAX_EXCUSED_POLLS
        ):
            return False
        self.excused_polls += 1
        return not self.node.leases_lapsed(anyio.current_time())

    async def poll(self, wait_s: float) -> WorkerReport | OrderOutcome:
        """Polls the worker once, renewing its lease if the worker's clock is known.

        Polls of a silent worker do not renew the lease, so that it lapses.

        :param wait_s: How long the worker may hold the poll open, in seconds.
        """
        until = None
        node = self.node
        if (
            node.clock_ms is not None
            and not node.unanswered_calls
            and self.owner.may_renew_leases()
        ):
            until = self.extend_lease()
        acknowledged = self.last_acknowledged_end
        if node.unanswered_calls or self.excused_polls:
            acknowledged = 0  # The worker may have restarted and count anew.
        return await self.calls.poll(
            PollOrder(self.owner.epoch, acknowledged, until, wait_s),
            POLL_TIMEOUT_S,
        )

    def extend_lease(self) -> float:
        """Returns the end of a lease that begins now, in ms on the worker's clock.

        From now on the worker counts as holding a lease until then, whether or not
        the order that requests it arrives.
        """
        until = self.node.lease_end_ms(self.lease_s, anyio.current_time())
        self.node.lease_until_ms = max(self.node.lease_until_ms, until)
        return until

    async def pause_after_poll(self, report: WorkerReport) -> None:
        """Waits before the next poll, so that polls do not spin.

        Polls do not wait at the worker while it has stray runs, or ends that are not
        acknowledged.
        """
        if self.node.stray_runs or self.node.withheld_ends:
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

    def forget_applied_ends(self) -> None:
        """Removes the numbers that ``last_processed_end`` covers."""
        covered = self.last_processed_end
        self.applied_ends = {n for n in self.applied_ends if n > covered}

    def update_unstored_ends(self) -> None:
        """Notes whether ends have been applied that are not durable yet."""
        self.node.ends_unstored = self.last_processed_end > self.last_acknowledged_end

    def acknowledge(self, number: int) -> None:
        """Records that all ends up to a number are durable."""
        if number > self.last_acknowledged_end:
            logger.info(Event.ENDS_ACKNOWLEDGED, worker=self.node.id, number=number)
        self.last_acknowledged_end = max(self.last_acknowledged_end, number)
        self.update_unstored_ends()
        self.owner.fleet.request_roster_if_drained(self.node)
        self.ends_acknowledged.set()
        self.ends_acknowledged = anyio.Event()

    def start_run(self, run: Run, ticket: str) -> None:
        """Begins to order the start of a run, in the background."""
        if self.task_group is not None:
            self.task_group.start_soon(self.order_start_contained, run, ticket)

    async def order_start_contained(self, run: Run, ticket: str) -> None:
        """Orders a start; gives the run up after an unexpected error."""
        with contained("start of a run", task=run.task.name, worker=self.node.id):
            await self.order_start(run, ticket)
            return
        self.stop_run(run)

    async def order_start(self, run: Run, ticket: str) -> None:
        """Orders a start until the worker has answered.

        A run whose start is not confirmed, or no longer fits on the worker, is given up
        and stopped, since a delayed order may still start it.

        :param ticket: Permission of the advice service to run the task there.
        """
        may_still_start = False
        for timeout_s in START_TIMEOUTS_S:
            if not self.is_current(run) or run.state is RunState.STOPPING:
                return
            if not self.owner.may_send_orders():
                break
            if run.state is RunState.STARTING and not self.node.is_within_capacity():
                break
            run.start_unanswered = True
            reply = await self.calls.start(
                self.build_start_order(run, ticket), timeout_s
            )
            may_still_start |= reply.outcome is OrderOutcome.UNKNOWN
            run.start_unanswered = may_still_start
            if reply.clock_ms is not None:
                self.node.record_clock(reply.clock_ms, anyio.current_time())
            if reply.outcome in RETRYABLE_OUTCOMES:
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
        """Returns the order to start a run, with a lease that begins now."""
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
        """Applies the outcome of a start order.

        :param may_still_start: Whether an earlier, unanswered attempt may still
            arrive and start the run.
        :returns: ``False`` if the run was refused but may still start, so that it
            has to be stopped.
        """
        if outcome in (OrderOutcome.DONE, OrderOutcome.OLD_RUN):
            run.orders_settled = True
        if outcome is OrderOutcome.DONE:
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            self.owner.runs.record_start(self.node, run)
        elif outcome is OrderOutcome.FENCED:
            self.owner.record_fenced(self.node)
        elif outcome is OrderOutcome.OTHER_INCARNATION:
            if self.task_group is not None:
                self.task_group.start_soon(self.handle_other_incarnation)
        elif outcome is not OrderOutcome.OLD_RUN:
            if may_still_start:
                return False
            self.owner.runs.apply_refusal(self, run, outcome)
        return True

    def is_current(self, run: Run) -> bool:
        """Returns whether the worker's resources are still booked for a run."""
        return self.node.runs.get((run.task.name, run.number)) is run

    def stop_run(self, run: Run) -> None:
        """Begins to stop a run, in the background.

        Its resources stay booked until it is certain that the run has ended.
        """
        if run.state is RunState.STOPPING or self.task_group is None:
            return
        run.state = RunState.STOPPING
        run.stop_ordered_at = min(run.stop_ordered_at, anyio.current_time())
        run.orders_settled = False
        self.task_group.start_soon(self.order_stop, run)

    async def order_stop(self, run: Run) -> None:
        """Orders a stop until it is confirmed or the run counts as ended."""
        while self.is_current(run):
            settled = await self.send_stop(run.task.name, run.number)
            if settled:
                run.orders_settled = True
                return
            await anyio.sleep(self.owner.lag.pause_s(STOP_RETRY_S))

    async def send_stop(self, task: str, number: int) -> bool:
        """Sends one stop order.

        :returns: Whether no further order is needed: the worker will not run it any
            more, or it follows a newer owner.
        """
        order = StopOrder(task, number, self.owner.epoch)
        reply = await self.calls.stop(order, STOP_TIMEOUT_S)
        if reply.clock_ms is not None:
            self.node.record_clock(reply.clock_ms, anyio.current_time())
        if reply.outcome is OrderOutcome.FENCED:
            self.owner.record_fenced(self.node)
            return True
        return reply.outcome in (
            OrderOutcome.DONE,
            OrderOutcome.OLD_RUN,
            OrderOutcome.OTHER_INCARNATION,
        )

    def stop_stray(self, task: str, number: int) -> None:
        """Begins to stop a stray run: one of a job that is not in the store."""
        if (task, number) in self.stopping_strays or self.task_group is None:
            return
        self.stopping_strays.add((task, number))
        logger.info(
            Event.STOPPING_A_STRAY_RUN, task=task, run=number, worker=self.node.id
        )
        self.task_group.start_soon(self.order_stray_stop, task, number)

    async def order_stray_stop(self, task: str, number: int) -> None:
        """Orders the stop of a stray run until it is confirmed."""
        while not await self.send_stop(task, number):
            await anyio.sleep(self.owner.lag.pause_s(STOP_RETRY_S))
        self.stopping_strays.discard((task, number))
