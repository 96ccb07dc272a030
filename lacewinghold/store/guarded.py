"""Bounds calls to a store that is slow, unreachable or failing."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.events import Event
from lacewinghold.store.base import (
    CallKind,
    RangeReply,
    Store,
    Transaction,
    TransactionReply,
)
from lacewinghold.util.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Awaitable, Callable

    from lacewinghold.ids import LeaseId, Revision
    from lacewinghold.store.base import WatchBatch

T = TypeVar("T")
logger = structlog.get_logger(__name__)
OUTAGE_KINDS = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
MAX_READ_ATTEMPTS = 3
RETRY_FIRST_DELAY_S = 0.05
RETRY_MAX_DELAY_S = 0.4
MAX_RETRY_TOKENS = 10.0
RETRY_TOKENS_PER_SUCCESS = 0.1
BREAKER_FAILURE_THRESHOLD = 5
BREAKER_FIRST_PAUSE_S = 0.5
BREAKER_MAX_PAUSE_S = 5.0
REFUSAL_DELAY_S = 0.05


class RetryBudget:
    """Limits retries to a share of the successful calls, to avoid overload."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def record_success(self) -> None:
        """Adds the share of a token that a successful call grants."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_TOKENS_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Takes a token for a retry; returns whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class CircuitBreaker:
    """Rejects calls for a pause after several consecutive failures.

    After the pause one probe at a time is admitted; a successful probe closes the
    breaker. Pauses back off exponentially with jitter, so that the instances
    return one after the other.
    """

    def __init__(self, rng: random.Random) -> None:
        self.failures = 0
        self.open_until = 0.0
        self.probing = False
        self.backoff = Backoff(BREAKER_FIRST_PAUSE_S, BREAKER_MAX_PAUSE_S, rng)

    def admit(self) -> bool:
        """Returns whether a call may be made now."""
        if self.failures < BREAKER_FAILURE_THRESHOLD:
            return True
        if self.probing or anyio.current_time() < self.open_until:
            return False
        self.probing = True
        return True

    def record_outcome(self, *, success: bool) -> None:
        """Records the outcome of a call."""
        self.probing = False
        if success:
            self.failures = 0
            self.backoff.reset()
            return
        self.failures += 1
        if self.failures >= BREAKER_FAILURE_THRESHOLD:
            self.open_until = anyio.current_time() + self.backoff.next_delay_s()


class GuardedStore(Store):
    """A store client with a retry budget, a circuit breaker and a revision check.

    Reads are retried. Writes are neither retried nor hedged: the writer resolves an
    unknown outcome by reading back. Lease calls pass an open breaker, since all
    other work depends on the lease.

    :param inner: The client that makes the calls.
    """

    name = "guarded"

    def __init__(self, inner: Store, rng: random.Random) -> None:
        self.inner = inner
        self.rng = rng
        self.calls = inner.calls
        self.budget = RetryBudget()
        self.breaker = CircuitBreaker(rng)
        self.revision = 0
        self.retries = 0
        self.refused = 0

    async def attempt(
        self, call: Callable[[], Awaitable[Result[T, Failure]]], *, kind: CallKind
    ) -> Result[T, Failure]:
        """Makes one call, unless the breaker is open.

        :param kind: Lease calls are made even if the breaker is open.
        """
        if not self.breaker.admit() and kind is not CallKind.LEASE:
            self.refused += 1
            # Keeps callers that retry immediately from busy-looping.
            await anyio.sleep(REFUSAL_DELAY_S)
            detail = "call rejected: circuit breaker open after repeated store failures"
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        try:
            result = await call()
        except BaseException:
            # A cancelled probe must also allow the next one.
            self.breaker.probing = False
            raise
        failed = isinstance(result, Err) and result.err_value.kind in OUTAGE_KINDS
        self.breaker.record_outcome(success=not failed)
        if not failed:
            self.budget.record_success()
        return result

    def check_revision(self, found: int, min_revision: int) -> Failure | None:
        """Returns a failure if the store's revision is lower than one seen before.

        :param found: The revision of a reply.
        :param min_revision: The highest revision seen before the call was made.
        """
        self.revision = max(self.revision, found)
        if found >= min_revision:
            return None
        detail = f"the store is at revision {found} and was at {min_revision} before"
        logger.error(Event.STORE_REGRESSED, found=found, seen=min_revision)
        return Failure(ErrorKind.STORE_REGRESSED, detail)

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        min_revision = self.revision
        backoff = Backoff(RETRY_FIRST_DELAY_S, RETRY_MAX_DELAY_S, self.rng)
        for attempt in range(MAX_READ_ATTEMPTS):
            if attempt:
                if not self.budget.try_spend():
                    break
                self.retries += 1
                await anyio.sleep(backoff.next_delay_s())
            reply = await self.attempt(
                lambda: self.inner.range(key, prefix=prefix), kind=CallKind.READ
            )
            if isinstance(reply, Ok):
                failure = self.check_revision(reply.ok_value.revision, min_revision)
                return reply if failure is None else Err(failure)
        return reply

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        min_revision = self.revision
        reply = await self.attempt(
            lambda: self.inner.commit(transaction), kind=CallKind.WRITE
        )
        if isinstance(reply, Ok):
            failure = self.check_revision(reply.ok_value.revision, min_revision)
            return reply if failure is None else Err(failure)
        return reply

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        return await self.attempt(
            lambda: self.inner.grant_lease(ttl_s), kind=CallKind.LEASE
        )

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        return await self.attempt(
            lambda: self.inner.renew_lease(lease), kind=CallKind.LEASE
        )

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        return await self.attempt(
            lambda: self.inner.revoke_lease(lease), kind=CallKind.LEASE
        )

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: Revision,
        confirm_s: float | None = None,
        max_value_bytes: Callable[[], int] | None = None,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        if not self.breaker.admit():
            self.refused += 1
            detail = "call rejected: circuit breaker open after repeated store failures"
            raise FailureError(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        self.breaker.probing = False
        async with self.inner.watch(
            prefix, after, confirm_s, max_value_bytes
        ) as changes:
            yield changes
