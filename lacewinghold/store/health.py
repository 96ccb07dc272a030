"""Detects outages of the store, so that callers do not wait for it."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

import anyio
import structlog
from result import Err, Result

from lacewinghold.errors import ErrorKind, FailureError
from lacewinghold.events import Event
from lacewinghold.store.base import (
    RangeReply,
    Store,
    Transaction,
    TransactionReply,
)
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from lacewinghold.errors import Failure
    from lacewinghold.ids import LeaseId, Revision
    from lacewinghold.store.base import WatchBatch

T = TypeVar("T")
logger = structlog.get_logger(__name__)
OUTAGE_KINDS = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
FAILURE_THRESHOLD = 3  # One lost response is no outage; renewals are frequent.
SILENCE_TIMEOUT_S = 0.6  # Twice a cross-region call to a store slowed 60-fold.


class HealthCheckedStore(Store):
    """Forwards all calls and tracks whether the store responds.

    :param inner: The client that makes the calls.
    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.
    """

    name = "watched"

    def __init__(self, inner: Store, lag: LagMonitor | None = None) -> None:
        self.inner = inner
        self.lag = lag or LagMonitor()
        self.calls = inner.calls
        self.failures = 0
        self.last_answer_at = anyio.current_time()
        self.outstanding: dict[int, float] = {}
        self.next_call_number = 0
        inner.on_progress = self.record_progress

    @property
    def down(self) -> bool:
        """Returns whether the store is unavailable to this instance.

        The store is unavailable after ``FAILURE_THRESHOLD`` consecutive failures, or
        when a call has waited for ``SILENCE_TIMEOUT_S`` without any response in that
        time. Time that this process lost to its own lag does not count.
        """
        if self.failures >= FAILURE_THRESHOLD:
            return True
        if not self.silence_exceeded(self.last_answer_at):
            return False
        oldest = min(self.outstanding.values(), default=math.inf)
        return self.silence_exceeded(oldest)

    def silence_exceeded(self, moment: float) -> bool:
        """Returns whether ``SILENCE_TIMEOUT_S``, plus own lag, has passed."""
        return anyio.current_time() > self.lag.deadline(moment, SILENCE_TIMEOUT_S)

    def record_outcome(self, failure: Failure | None, started_at: float) -> None:
        """Records the outcome of a call.

        :param failure: ``None`` if the call succeeded.
        :param started_at: When the call was made, in seconds of the runtime's clock.
        """
        if failure is None or failure.kind not in OUTAGE_KINDS:
            if self.failures >= FAILURE_THRESHOLD:
                logger.info(
                    Event.STORE_SERVES_AGAIN,
                    silent_s=round(anyio.current_time() - self.last_answer_at, 3),
                )
            self.failures = 0
            self.last_answer_at = anyio.current_time()
            return
        if self.lag.lagged_since(started_at) and not self.silence_exceeded(
            self.last_answer_at
        ):
            return
        self.failures += 1
        if self.failures == FAILURE_THRESHOLD:
            logger.warning(Event.STORE_DOES_NOT_SERVE, detail=failure.detail)

    def record_progress(self) -> None:
        """Records that a part of a response has arrived: the store is not silent."""
        self.last_answer_at = anyio.current_time()

    async def track_call(
        self, call: Awaitable[Result[T, Failure]]
    ) -> Result[T, Failure]:
        """Makes one call and records its outcome."""
        number = self.next_call_number
        self.next_call_number += 1
        started_at = anyio.current_time()
        self.outstanding[number] = started_at
        try:
            reply = await call
        finally:
            del self.outstanding[number]
        self.record_outcome(
            reply.err_value if isinstance(reply, Err) else None, started_at
        )
        return reply

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        return await self.track_call(self.inner.range(key, prefix=prefix))

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        return await self.track_call(self.inner.commit(transaction))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        return await self.track_call(self.inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        return await self.track_call(self.inner.renew_lease(lease))

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        return await self.track_call(self.inner.revoke_lease(lease))

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: Revision,
        confirm_s: float | None = None,
        max_value_bytes: Callable[[], int] | None = None,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        try:
            async with self.inner.watch(
                prefix, after, confirm_s, max_value_bytes
            ) as batches:
                yield self.track_batches(batches)
        except FailureError as error:
            self.record_outcome(error.failure, self.last_answer_at)
            raise

    async def track_batches(
        self, batches: AsyncIterator[WatchBatch]
    ) -> AsyncIterator[WatchBatch]:
        """Yields batches and records a response of the store for each."""
        async for batch in batches:
            self.record_outcome(None, self.last_answer_at)
            yield batch
