"""Permissions to run steps on workers, requested from the advice service."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct, field
from result import Err

from lacewinghold.events import Event
from lacewinghold.scheduler.ordering import urgency_key

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from anyio.abc import TaskGroup

    from lacewinghold.ids import Incarnation, WorkerId
    from lacewinghold.scheduler.metrics import CellMetrics
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import AdviceCalls, AdviceRules
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
MAX_WORKERS_PER_CALL = 100  # Limit of the advice service.
TICKET_MARGIN_S = 0.3  # Time in which a start order reaches its worker.
# Share of a ticket's validity; a longer margin would make short tickets unusable.
MAX_MARGIN_SHARE = 0.5
LANE_OVERHEAD_S = 0.2  # Usual wait for a free lane, and the network round trip.
CALL_SLACK_S = 1.0  # Added to the answer time that the queue's rules promise.
SLOW_CALL_THRESHOLD_S = 0.15  # Longer calls leave some lanes to quick calls.
MIN_QUICK_LANES = 2  # Lanes that slow calls must not use, if there are more.
RETRY_DELAY_S = 0.2  # After a failed call; longer while this process lags.
LANE_BLOCK_S = 2.0  # A lane is not used for this long after a failed call.


class Purpose(Enum):
    """The purpose of a call; a step may have calls for several purposes at once.

    The calls of a step are made in the order of these members.
    """

    RENEW = "renew"  # Renews the permissions on workers that have been chosen.
    SEARCH = "search"  # Asks which of the remaining workers may run the step.


class Permission(Struct):
    """A ticket for one incarnation of a worker.

    :param text: The ticket, sent along with the start order.
    :param start_until: Latest time at which a start with the ticket may be sent.
    """

    incarnation: Incarnation
    text: str
    start_until: float


class StepAdvice(Struct):
    """The answers about one step: workers asked about, and permissions.

    :param asked: Incarnations of the workers that an answer covers.
    :param valid_until: Time at which the last permission expires; some permissions
        may have been refused by their workers before.
    :param pending: Number of calls in flight, by purpose.
    :param renewal_started: Whether a renewal call has been made for the step; renewal
        calls that are still queued continue it.
    :param failing: Whether the last call about the step failed.
    :param retry_at: Earliest time of the next call about the step.
    """

    asked: dict[WorkerId, Incarnation] = field(default_factory=dict)
    permissions: dict[WorkerId, Permission] = field(default_factory=dict)
    valid_until: float = -math.inf
    pending: Counter[Purpose] = field(default_factory=Counter)
    renewal_started: bool = False
    failing: bool = False
    retry_at: float = 0.0


class QueuedCall(Struct, eq=False):
    """A call that waits for a lane."""

    step: Step
    nodes: list[WorkerNode]
    purpose: Purpose


class Lane:
    """One connection to the advice service; it carries one call at a time.

    After a failed call a lane is blocked for a while. If this process lagged during
    the call, the lane is only deprioritised: the others are used first.
    """

    def __init__(self, name: str, calls: AdviceCalls) -> None:
        self.name = name
        self.calls = calls
        self.busy = False
        self.slow = False
        self.far = False
        self.blocked_until = -math.inf
        self.deprioritised_until = -math.inf


class AdviceBook:
    """Caches the permissions of all steps and distributes calls over the lanes.

    The cell's owner sets ``on_answer``, called after each answer or failed call, and
    ``on_renewal_call``, called when a renewal call is made.
    """

    def __init__(self, metrics: CellMetrics, lag: LagMonitor) -> None:
        self.metrics = metrics
        self.lag = lag
        self.steps: dict[str, StepAdvice] = {}
        self.queued: dict[Purpose, dict[str, list[QueuedCall]]] = {
            purpose: {} for purpose in Purpose
        }
        self.lanes: list[Lane] = []
        self.changed = anyio.Event()
        self.on_answer: Callable[[], None] = lambda: None
        self.on_renewal_call: Callable[[Step], None] = lambda step: None

    def forget(self, step: Step) -> None:
        """Removes a step that needs no more starts."""
        self.steps.pop(step.name, None)
        for queued in self.queued.values():
            queued.pop(step.name, None)

    def permitted(self, step: Step) -> frozenset[WorkerId] | None:
        """Returns the workers that may run a step, ``None`` without an answer."""
        if not self.has_answer(step):
            return None
        return frozenset(self.steps[step.name].permissions)

    def has_answer(self, step: Step) -> bool:
        """Returns whether the advice service has answered about a step."""
        advice = self.steps.get(step.name)
        return advice is not None and bool(advice.asked)

    def ticket(self, step: Step, node: WorkerNode, now: float) -> str | None:
        """Returns a valid ticket for a step on a worker, or ``None``."""
        advice = self.steps.get(step.name)
        permission = advice.permissions.get(node.id) if advice else None
        if permission is None or permission.incarnation != node.entry.incarnation:
            return None
        if now > permission.start_until:
            return None
        return permission.text

    def may_have_ticket(self, step: Step, now: float) -> bool:
        """Returns whether any permission of a step may still be valid."""
        advice = self.steps.get(step.name)
        return advice is not None and now <= advice.valid_until

    def drop_ticket(self, step: Step, worker: WorkerId) -> None:
        """Invalidates a ticket that a worker has refused."""
        advice = self.steps.get(step.name)
        if advice is not None and worker in advice.permissions:
            advice.permissions[worker].start_until = -math.inf

    def unasked(self, step: Step, nodes: list[WorkerNode]) -> list[WorkerNode]:
        """Returns the workers that the answers about a step do not cover."""
        advice = self.steps.get(step.name)
        if advice is None:
            return nodes
        found = []
        for node in nodes:
            if advice.asked.get(node.id) != node.entry.incarnation:
                found.append(node)
        return found

    def search_pending(self, step: Step) -> bool:
        """Returns whether a search call for a step is in flight."""
        advice = self.steps.get(step.name)
        return advice is not None and advice.pending[Purpose.SEARCH] > 0

    def search_queued(self, step: Step) -> bool:
        """Returns whether a search call for a step waits for a lane."""
        return step.name in self.queued[Purpose.SEARCH]

    def renewal_pending(self, step: Step) -> bool:
        """Returns whether a renewal call for a step is in flight or partly made."""
        advice = self.steps.get(step.name)
        if advice is None:
            return False
        waits = advice.renewal_started and step.name in self.queued[Purpose.RENEW]
        return waits or advice.pending[Purpose.RENEW] > 0

    def failing(self, step: Step) -> bool:
        """Returns whether the last call about a step failed."""
        advice = self.steps.get(step.name)
        return advice is not None and advice.failing

    def can_ask(self, step: Step, count: int, now: float) -> bool:
        """Returns whether a renewal call can be made now and is likely to succeed.

        :param count: Number of workers that the call is about.
        """
        if self.failing(step) or self.renewal_pending(step):
            return False
        if self.is_slow(step, count) and not self.can_start_slow_call():
            return False
        return bool(self.free_lanes(now))

    def is_slow(self, step: Step, count: int) -> bool:
        """Returns whether a call about ``count`` workers is a slow call."""
        return self.expected_s(step, count) > SLOW_CALL_THRESHOLD_S

    def last_answer_due(self, step: Step, count: int, now: float) -> float:
        """Returns when the last answer about ``count`` workers is due over one lane."""
        due = now
        while count > 0:
            due += (
                self.expected_s(step, min(count, MAX_WORKERS_PER_CALL))
                + LANE_OVERHEAD_S
            )
            count -= MAX_WORKERS_PER_CALL
        return due

    def queue_calls(
        self, step: Step, nodes: list[WorkerNode], now: float, purpose: Purpose
    ) -> None:
        """Queues calls for permissions, unless one for the same purpose is in flight.

        The last call is the smallest and therefore the quickest, so that the
        permissions of the earlier ones are still valid when it is answered.
        """
        advice = self.steps.setdefault(step.name, StepAdvice())
        if advice.pending[purpose] or now < advice.retry_at or not nodes:
            return
        calls = []
        for first in range(0, len(nodes), MAX_WORKERS_PER_CALL):
            part = nodes[first : first + MAX_WORKERS_PER_CALL]
            calls.append(QueuedCall(step, part, purpose))
        self.queued[purpose][step.name] = calls
        if purpose is Purpose.RENEW:
            advice.renewal_started = False
        self.changed.set()

    def retain_renewals(self, steps: Set[str]) -> None:
        """Removes the queued renewal calls of all other steps."""
        queued = self.queued[Purpose.RENEW]
        for name in queued.keys() - steps:
            del queued[name]

    async def run(self, tasks: TaskGroup) -> None:
        """Dispatches queued calls to free lanes until cancelled."""
        while True:
            await self.changed.wait()
            self.changed = anyio.Event()
            self.dispatch(tasks)

    def dispatch(self, tasks: TaskGroup) -> None:
        """Starts as many calls as there are free lanes, most urgent first."""
        now = anyio.current_time()
        calls: list[QueuedCall] = []
        for queued in self.queued.values():
            for step_calls in queued.values():
                calls += step_calls
        # The sort is stable: calls of one step stay in the order of their purposes.
        for call in sorted(calls, key=lambda call: urgency_key(call.step, now)):
            step = call.step
            rules = step.job.queue.advice
            if rules is None or not step.has_waiting_tasks():
                self.dequeue(call)
                continue
            free = self.free_lanes(now)
            slow = self.is_slow(step, len(call.nodes))
            if not free:
                return
            if slow and not self.can_start_slow_call():
                continue
            self.dequeue(call)
            lane = free[0]
            lane.busy = True
            lane.slow = slow
            advice = self.steps[step.name]
            advice.pending[call.purpose] += 1
            if call.purpose is Purpose.RENEW:
                advice.renewal_started = True
                self.on_renewal_call(step)
            tasks.start_soon(self.ask, lane, advice, call, rules)

    def can_start_slow_call(self) -> bool:
        """Returns whether a slow call would leave enough lanes for quick calls.

        Lanes that are busy with quick calls count as lanes for quick calls.
        """
        reserved_lanes = MIN_QUICK_LANES if len(self.lanes) > MIN_QUICK_LANES else 0
        slow = sum(lane.busy and lane.slow for lane in self.lanes)
        return slow < len(self.lanes) - reserved_lanes

    def dequeue(self, call: QueuedCall) -> None:
        """Removes a call from the queue."""
        queued = self.queued[call.purpose]
        queued[call.step.name].remove(call)
        if not queued[call.step.name]:
            del queued[call.step.name]

    def free_lanes(self, now: float) -> list[Lane]:
        """Returns the idle lanes that are not blocked, or all idle ones if all are."""
        idle = [lane for lane in self.lanes if not lane.busy]
        unblocked = [lane for lane in idle if now >= lane.blocked_until]
        return sorted(
            unblocked or idle, key=lambda lane: now < lane.deprioritised_until
        )

    def expected_s(self, step: Step, count: int) -> float:
        """Returns the seconds that a call takes by the rules of the step's queue."""
        rules = step.job.queue.advice
        if rules is None:
            return 0.0
        return rules.decide_s + rules.per_worker_s * count

    def record_failure(self, lane: Lane, started: float) -> None:
        """Blocks a lane after a failed call, or deprioritises it after own lag."""
        until = anyio.current_time() + LANE_BLOCK_S
        if self.lag.lagged_since(started):
            self.metrics.excused_calls.labels("advice").inc()
            lane.deprioritised_until = until
        else:
            lane.blocked_until = until

    async def ask(
        self, lane: Lane, advice: StepAdvice, call: QueuedCall, rules: AdviceRules
    ) -> None:
        """Makes one call and records its answer."""
        started = anyio.current_time()
        step, nodes = call.step, call.nodes
        incarnations = {node.id: node.entry.incarnation for node in nodes}
        answer = await lane.calls.ask(
            step.name,
            list(incarnations),
            self.expected_s(step, len(nodes)) + CALL_SLACK_S,
        )
        now = anyio.current_time()
        lane.busy = False
        self.changed.set()
        result = "failed" if isinstance(answer, Err) else "answered"
        self.metrics.advice_seconds.labels(result).observe(now - started)
        if self.steps.get(step.name) is not advice:
            return
        advice.pending[call.purpose] -= 1
        advice.failing = isinstance(answer, Err)
        if isinstance(answer, Err):
            advice.retry_at = now + self.lag.pause_s(RETRY_DELAY_S)
            self.record_failure(lane, started)
            logger.info(
                Event.ADVICE_FAILED,
                step=step.name,
                lane=lane.name,
                detail=answer.err_value.detail,
                own_lag_s=round(self.lag.max_lag_since(started), 3),
            )
            self.on_answer()
            return
        advice.asked.update(incarnations)
        for worker in incarnations:
            advice.permissions.pop(worker, None)
        margin_s = min(TICKET_MARGIN_S, rules.valid_s * MAX_MARGIN_SHARE)
        start_until = now + rules.valid_s - margin_s
        for ticket in answer.ok_value:
            if ticket.worker not in incarnations:
                continue
            advice.valid_until = max(advice.valid_until, start_until)
            advice.permissions[ticket.worker] = Permission(
                incarnations[ticket.worker], ticket.text, start_until
            )
        logger.info(
            Event.ADVISED,
            step=step.name,
            lane=lane.name,
            asked=len(nodes),
            permitted=len(answer.ok_value),
            took_s=round(now - started, 3),
        )
        self.on_answer()
