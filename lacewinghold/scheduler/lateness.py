"""Measures planning time, and renewals and calls while this process lags."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from lacewinghold.scheduler.ports import (
    OrderOutcome,
    WorkerCalls,
    WorkerDialer,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewinghold.scheduler.metrics import CellMetrics
    from lacewinghold.scheduler.ports import (
        OrderReply,
        PollOrder,
        StartOrder,
        StopOrder,
        WorkerEntry,
        WorkerReport,
    )
    from lacewinghold.util.lag import LagMonitor

UNANSWERED = (OrderOutcome.NOT_SENT, OrderOutcome.UNKNOWN)


class PlanningShare:
    """Measures the share of real time that is spent on planning."""

    def __init__(self, metrics: CellMetrics) -> None:
        self.metrics = metrics
        self.spent_s = 0.0
        self.reset_at = time.perf_counter()

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Measures the duration of one plan."""
        started = time.perf_counter()
        try:
            yield
        finally:
            took_s = time.perf_counter() - started
            self.spent_s += took_s
            self.metrics.plan_seconds.observe(took_s)

    def read_and_reset(self) -> float:
        """Returns the share since the previous call, and starts a new period."""
        now = time.perf_counter()
        elapsed_s = max(now - self.reset_at, 1e-6)
        share = min(1.0, self.spent_s / elapsed_s)
        self.reset_at, self.spent_s = now, 0.0
        return share


class RenewalMonitor:
    """Measures the delay and the remaining margin of ownership renewals."""

    def __init__(self, lag: LagMonitor, metrics: CellMetrics) -> None:
        self.lag = lag
        self.metrics = metrics
        self.last_answered_at: float | None = None

    def record_renewal(self, due: float, margin_s: float) -> None:
        """Records an answered renewal.

        :param due: When the renewal was due, on the runtime's clock.
        :param margin_s: Seconds until the ownership would have lapsed.
        """
        self.last_answered_at = anyio.current_time()
        self.metrics.renewal_seconds.observe(self.last_answered_at - due)
        self.metrics.renewal_margin_seconds.observe(max(0.0, margin_s))

    def log_fields(self) -> dict[str, float | None]:
        """Returns the fields of a log line about a lost ownership."""
        elapsed_s = None
        if self.last_answered_at is not None:
            elapsed_s = round(anyio.current_time() - self.last_answered_at, 3)
        return {"renewed_ago_s": elapsed_s, "lag_s": round(self.lag.recent_max_s(), 3)}


class MonitoredCalls(WorkerCalls):
    """Forwards calls, and counts those unanswered while this process lagged."""

    name = "watched"

    def __init__(
        self, inner: WorkerCalls, lag: LagMonitor, metrics: CellMetrics
    ) -> None:
        self.inner = inner
        self.lag = lag
        self.metrics = metrics

    def count_unanswered(self, kind: str, outcome: OrderOutcome, began: float) -> None:
        """Counts a call if it was unanswered while this process lagged."""
        if outcome in UNANSWERED and self.lag.lagged_since(began):
            self.metrics.excused_calls.labels(kind).inc()

    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        began = anyio.current_time()
        reply = await self.inner.start(order, timeout_s)
        self.count_unanswered("start", reply.outcome, began)
        return reply

    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        began = anyio.current_time()
        reply = await self.inner.stop(order, timeout_s)
        self.count_unanswered("stop", reply.outcome, began)
        return reply

    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        began = anyio.current_time()
        reply = await self.inner.poll(order, timeout_s)
        if isinstance(reply, OrderOutcome):
            self.count_unanswered("look", reply, began)
        return reply

    async def close(self) -> None:
        await self.inner.close()


class MonitoredDialer(WorkerDialer):
    """Opens calls that are monitored."""

    name = "watched"

    def __init__(
        self, inner: WorkerDialer, lag: LagMonitor, metrics: CellMetrics
    ) -> None:
        self.inner = inner
        self.lag = lag
        self.metrics = metrics

    def open(self, entry: WorkerEntry) -> WorkerCalls:
        return MonitoredCalls(self.inner.open(entry), self.lag, self.metrics)
