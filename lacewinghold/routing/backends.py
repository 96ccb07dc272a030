"""The owner's side of one backend server: its slots, probes and latency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.ids import Incarnation
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.outcomes import RULES, Observation, Unanswered
from lacewinghold.schema.generated.worker import Probe, ProbeReply, WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.ids import AttemptId, ServiceId, WorkerId
    from lacewinghold.routing.base import BackendAnswer, BackendLinks, BackendRequest
    from lacewinghold.schema.generated.messages import ServiceAnswer, ServiceRequest
    from lacewinghold.schema.generated.worker import WorkerRecord
    from lacewinghold.shards.owner import ShardOwner

logger = structlog.get_logger(__name__)
PROBE_INTERVAL_S = 1.0
IDLE_PROBE_INTERVAL_S = 2.0
SETTLE_INTERVAL_S = 0.1
PROBE_LIMIT_S = 1.0
PROBE_FAILURES_LIMIT = 2
SILENT_AFTER_S = 0.9
LATENCY_FIRST_S = 0.02
LATENCY_WEIGHT = 0.2
FAILURES_TO_EJECT = 5
EJECT_S = 5.0
FAILURE_LATENCY_S = 1.0


class Exchange(Struct, eq=False):
    """One attempt at a backend server.

    :param late: Takes an answer that comes after the requester has left.
    """

    message: ServiceRequest
    request: BackendRequest
    worker: WorkerId
    late: Callable[[ServiceAnswer], None]
    sent_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Result[BackendAnswer, Unanswered] | None = None
    cut_by: Unanswered | None = None
    missing_since: float | None = None
    abandoned: bool = False

    def cut(self, reason: Unanswered) -> None:
        """Ends the exchange and closes its connection."""
        self.cut_by = reason
        self.scope.cancel()


class Backend:
    """One backend server of a shard.

    A slot counts as used until the server surely does not run the attempt: by a
    whole answer, by a refusal, or by a probe that does not list it.

    :param freed: Called when a slot may have become free.
    """

    def __init__(
        self,
        owner: ShardOwner,
        links: BackendLinks,
        record: WorkerRecord,
        freed: Callable[[], None],
    ) -> None:
        self.owner = owner
        self.links = links
        self.record = record
        self.freed = freed
        self.services: set[ServiceId] = set()
        self.scope = anyio.CancelScope()
        self.fenced = False
        self.incarnation = Incarnation(0)
        self.leaving = False
        self.own: dict[AttemptId, Exchange] = {}
        self.doubtful: set[AttemptId] = set()
        self.foreign: set[AttemptId] = set()
        self.probe_failures = 0
        self.latency_s = LATENCY_FIRST_S
        self.failures = 0
        self.ejected_until = 0.0
        self.wanted = anyio.Event()

    @property
    def used(self) -> int:
        """Returns how many slots may be in use, by whichever owner."""
        return len(self.own) + len(self.doubtful) + len(self.foreign)

    def usable(self) -> bool:
        """Returns whether new work may be sent, slots aside."""
        return (
            self.fenced
            and not self.leaving
            and self.record.state is WorkerState.LIVE
            and self.probe_failures < PROBE_FAILURES_LIMIT
        )

    def has_room(self) -> bool:
        """Returns whether a slot is free."""
        return self.used < self.record.slots

    def cost(self) -> float:
        """Returns the expected latency of one more request, in seconds."""
        return self.latency_s * (1 + self.used / max(1, self.record.slots))

    def take(self, exchange: Exchange) -> None:
        """Takes a slot for an exchange."""
        require(Invariant.SLOTS, self.has_room(), self.record.worker)
        require(Invariant.VALID_LEASE, self.owner.may_start(), self.record.worker)
        self.own[exchange.request.attempt] = exchange

    async def run_exchange(self, exchange: Exchange) -> None:
        """Sends an attempt whose slot is taken and sees it through."""
        result: Result[BackendAnswer, Unanswered]
        result = Err(Unanswered(Observation.RESET_AFTER_SEND, "cancelled"))
        with exchange.scope:
            result = await self.links.exchange(self.record, exchange.request)
        if exchange.cut_by is not None and isinstance(result, Err):
            result = Err(exchange.cut_by)
        self.settle(exchange, result)

    def settle(
        self, exchange: Exchange, result: Result[BackendAnswer, Unanswered]
    ) -> None:
        """Notes how an exchange ended and frees its slot if that is proved."""
        attempt = exchange.request.attempt
        if isinstance(result, Ok):
            same = result.ok_value.attempt == attempt
            require(Invariant.WHOLE_ANSWER, same, attempt)
        self.own.pop(attempt, None)
        if isinstance(result, Err) and self.may_still_run(result.err_value):
            self.doubtful.add(attempt)
            self.wanted.set()
        self.note_health(exchange, result)
        exchange.result = result
        exchange.done.set()
        self.freed()

    def may_still_run(self, seen: Unanswered) -> bool:
        """Returns whether the server may go on with an unanswered attempt."""
        if seen.observation in (Observation.SILENT, Observation.BACKEND_GONE):
            return False
        return RULES[seen.observation].may_have_run

    def note_health(
        self, exchange: Exchange, result: Result[BackendAnswer, Unanswered]
    ) -> None:
        """Follows latency, failures and signs of leaving."""
        now = self.owner.now()
        elapsed_s = now - exchange.sent_at
        if isinstance(result, Ok):
            self.failures = 0
            self.leaving = self.leaving or result.ok_value.leaving
        else:
            elapsed_s = max(elapsed_s, FAILURE_LATENCY_S)
            self.note_failure(result.err_value.observation)
        self.latency_s += LATENCY_WEIGHT * (elapsed_s - self.latency_s)
        if self.failures >= FAILURES_TO_EJECT:
            self.ejected_until = now + EJECT_S
            self.failures = 0

    def note_failure(self, observation: Observation) -> None:
        """Draws conclusions from a failed attempt."""
        self.failures += 1
        if observation is Observation.BACKEND_LEAVING:
            self.leaving = True
        if observation is Observation.BACKEND_REFUSED:
            self.fenced = False
            self.wanted.set()

    async def run(self) -> None:
        """Probes until the server is removed."""
        with self.scope:
            while True:
                self.wanted = anyio.Event()
                await self.probe()
                with anyio.move_on_after(self.probe_interval_s()):
                    await self.wanted.wait()
                    await anyio.sleep(SETTLE_INTERVAL_S)

    def probe_interval_s(self) -> float:
        """Returns the time until the next probe, in seconds."""
        if self.doubtful or self.foreign:
            return SETTLE_INTERVAL_S
        return PROBE_INTERVAL_S if self.own else IDLE_PROBE_INTERVAL_S

    async def probe(self) -> None:
        """Fences the server, settles doubtful attempts and finds silent ones."""
        now = self.owner.now()
        silent = [
            attempt
            for attempt, exchange in self.own.items()
            if exchange.missing_since is not None
            and now - exchange.missing_since >= SILENT_AFTER_S
        ]
        probe = Probe(
            epoch=self.owner.ownership.epoch, settle=sorted({*self.doubtful, *silent})
        )
        reply: Result[ProbeReply, object] = Err(None)
        with anyio.move_on_after(PROBE_LIMIT_S):
            reply = await self.links.probe(self.record, probe)
        if isinstance(reply, Err):
            self.probe_failures += 1
            return
        self.probe_failures = 0
        if not reply.ok_value.accepted:
            self.fenced = False
            return
        self.apply(probe, reply.ok_value, now)
        self.freed()

    def apply(self, probe: Probe, reply: ProbeReply, asked_at: float) -> None:
        """Applies what a server says that it runs."""
        self.leaving = reply.leaving
        if not self.admit(reply):
            return
        running = set(reply.running)
        unseen = set(reply.unseen)
        for attempt in probe.settle:
            if attempt in running:
                continue
            self.doubtful.discard(attempt)
            exchange = self.own.get(attempt)
            if exchange is None:
                continue
            # A restarted server has forgotten what its last incarnation ran.
            same = exchange.request.incarnation == reply.incarnation
            never = same and attempt in unseen
            seen = Observation.SILENT_UNSEEN if never else Observation.SILENT
            exchange.cut(Unanswered(seen))
        self.foreign &= running
        for attempt, exchange in self.own.items():
            if attempt in running or exchange.sent_at >= asked_at:
                exchange.missing_since = None
            elif exchange.missing_since is None:
                exchange.missing_since = asked_at

    def admit(self, reply: ProbeReply) -> bool:
        """Accepts a server's incarnation, only under a valid lease.

        :returns: Whether the reply is of the accepted incarnation.
        """
        if self.fenced and reply.incarnation == self.incarnation:
            return True
        if not self.owner.ownership.held():
            self.fenced = False
            return False
        if reply.incarnation != self.incarnation:
            self.doubtful.clear()
        known = {*self.own, *self.doubtful}
        self.foreign = set(reply.running) - known
        self.incarnation = reply.incarnation
        self.fenced = True
        return True

    def remove(self) -> None:
        """Ends the service of a server that the platform removed."""
        self.scope.cancel()
        self.fenced = False
        for exchange in list(self.own.values()):
            exchange.cut(Unanswered(Observation.BACKEND_GONE))
