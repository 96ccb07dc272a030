"""Watches whether the store answers, so that nobody waits for one that is down."""

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
    from collections.abc import AsyncIterator, Awaitable

    from lacewinghold.errors import Failure
    from lacewinghold.ids import LeaseId, Revision
    from lacewinghold.store.base import WatchBatch

T = TypeVar("T")
logger = structlog.get_logger(__name__)
OUTAGE_KINDS = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
FAILURES_DOWN = 3  # One lost answer is not an outage; the lease is renewed often.
SILENT_S = 0.6  # Twice a call across regions to a store 60 times slower.


class WatchedStore(Store):
    """Passes all calls on and notes whether they are answered.

    :param inner: The client that makes the calls.
    :param lag: Tells how late this process is; never if ``None``.
    """

    name = "watched"

    def __init__(self, inner: Store, lag: LagMonitor | None = None) -> None:
        self.inner = inner
        self.lag = lag or LagMonitor()
        self.calls = inner.calls
        self.failures = 0
        self.last_answer = anyio.current_time()
        self.outstanding: dict[int, float] = {}
        self.next_call = 0

    @property
    def down(self) -> bool:
        """Returns whether the store does not serve this instance now.

        Either several calls in a row have failed, or one has been waiting for long
        and nothing was answered meanwhile. Time that this process has missed does
        not count.
        """
        if self.failures >= FAILURES_DOWN:
            return True
        if not self.silent_since(self.last_answer):
            return False
        oldest = min(self.outstanding.values(), default=math.inf)
        return self.silent_since(oldest)

    def silent_since(self, moment: float) -> bool:
        """Returns whether a silence since a moment is too long."""
        return anyio.current_time() > self.lag.deadline(moment, SILENT_S)

    def note(self, failure: Failure | None, began: float) -> None:
        """Notes the outcome of a call.

        :param began: When it was made.
        """
        if failure is None or failure.kind not in OUTAGE_KINDS:
            if self.failures >= FAILURES_DOWN:
                logger.info(
                    Event.STORE_SERVES_AGAIN,
                    silent_s=round(anyio.current_time() - self.last_answer, 3),
                )
            self.failures = 0
            self.last_answer = anyio.current_time()
            return
        if self.lag.excused(began) and not self.silent_since(self.last_answer):
            return
        self.failures += 1
        if self.failures == FAILURES_DOWN:
            logger.warning(Event.STORE_DOES_NOT_SERVE, detail=failure.detail)

    async def watched(self, call: Awaitable[Result[T, Failure]]) -> Result[T, Failure]:
        """Makes one call."""
        number = self.next_call
        self.next_call += 1
        began = anyio.current_time()
        self.outstanding[number] = began
        try:
            reply = await call
        finally:
            del self.outstanding[number]
        self.note(reply.err_value if isinstance(reply, Err) else None, began)
        return reply

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        return await self.watched(self.inner.range(key, prefix=prefix))

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        return await self.watched(self.inner.commit(transaction))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        return await self.watched(self.inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        return await self.watched(self.inner.renew_lease(lease))

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        return await self.watched(self.inner.revoke_lease(lease))

    @asynccontextmanager
    async def watch(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        try:
            async with self.inner.watch(prefix, after) as batches:
                yield self.noted(batches)
        except FailureError as error:
            self.note(error.failure, self.last_answer)
            raise

    async def noted(
        self, batches: AsyncIterator[WatchBatch]
    ) -> AsyncIterator[WatchBatch]:
        """Yields batches and notes that the store has answered."""
        async for batch in batches:
            self.note(None, self.last_answer)
            yield batch
