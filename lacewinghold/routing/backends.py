"""Tracks the slots, health and latency of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.ids import Incarnation
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.outcomes import OUTCOME_RULES, AttemptFailure, Observation
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
PROBE_TIMEOUT_S = 1.0
MAX_PROBE_FAILURES = 2
SILENCE_LIMIT_S = 0.9
INITIAL_LATENCY_S = 0.02
LATENCY_WEIGHT = 0.2
EJECTION_FAILURES = 5
EJECTION_S = 5.0
FAILURE_LATENCY_S = 1.0


class Exchange(Struct, eq=False):
    """One attempt of a request on a backend server.

    :param worker: Worker that runs the backend server.
    :param on_late_answer: Called with an answer that arrives after the requester has
        stopped waiting.
    :param sent_at: In seconds, on the owner's clock.
    :param cancel_reason: Result of the attempt if it was cancelled.
    :param missing_since: When the first of the consecutive probes that did not list
        the attempt was sent, in seconds; ``None`` if the last probe listed it.
    :param abandoned: Whether the requester has stopped waiting.
    """

    message: ServiceRequest
    request: BackendRequest
    worker: WorkerId
    on_late_answer: Callable[[ServiceAnswer], None]
    sent_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Result[BackendAnswer, AttemptFailure] | None = None
    cancel_reason: AttemptFailure | None = None
    missing_since: float | None = None
    abandoned: bool = False

    def cancel(self, reason: AttemptFailure) -> None:
        """Cancels the attempt and closes its connection."""
        self.cancel_reason = reason
        self.scope.cancel()


class Backend:
    """One backend server of a shard, as seen by the shard's owner.

    A slot counts as used until it is proved that the server does not run the
    attempt: by a complete answer, a refusal or a probe that does not list it.

    :ivar fenced: Whether the server has accepted the owner's epoch.
    :ivar exchanges: Attempts in progress.
    :ivar unsettled: Failed attempts that the server may still be running.
    :ivar inherited: Attempts found running that this owner did not start.
    :param on_slot_freed: Called when a slot may have become free.
    """

    def __init__(
        self,
        owner: ShardOwner,
        links: BackendLinks,
        record: WorkerRecord,
        on_slot_freed: Callable[[], None],
    ) -> None:
        self.owner = owner
        self.links = links
        self.record = record
        self.on_slot_freed = on_slot_freed
        self.services: set[ServiceId] = set()
        self.scope = anyio.CancelScope()
        self.fenced = False
        self.incarnation = Incarnation(0)
        self.leaving = False
        self.exchanges: dict[AttemptId, Exchange] = {}
        self.unsettled: set[AttemptId] = set()
        self.inherited: set[AttemptId] = set()
        self.probe_failures = 0
        self.latency_s = INITIAL_LATENCY_S
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.probe_requested = anyio.Event()

    @property
    def used_slots(self) -> int:
        """Returns how many slots may be in use, including by earlier owners."""
        return len(self.exchanges) + len(self.unsettled) + len(self.inherited)

    def is_usable(self) -> bool:
        """Returns whether the server accepts new requests if it has a free slot."""
        return (
            self.fenced
            and not self.leaving
            and self.record.state is WorkerState.LIVE
            and self.probe_failures < MAX_PROBE_FAILURES
        )

    def has_free_slot(self) -> bool:
        """Returns whether a slot is free."""
        return self.used_slots < self.record.slots

    def expected_latency_s(self) -> float:
        """Returns the expected latency of one more request, in seconds."""
        return self.latency_s * (1 + self.used_slots / max(1, self.record.slots))

    def assign_slot(self, exchange: Exchange) -> None:
        """Assigns a free slot to an attempt."""
        require(Invariant.SLOTS, self.has_free_slot(), self.record.worker)
        require(Invariant.VALID_LEASE, self.owner.may_start(), self.record.worker)
        self.exchanges[exchange.request.attempt] = exchange

    async def run_exchange(self, exchange: Exchange) -> None:
        """Sends an attempt that has a slot and records its result."""
        result: Result[BackendAnswer, AttemptFailure]
        result = Err(AttemptFailure(Observation.RESET_AFTER_SEND, "cancelled"))
        with exchange.scope:
            result = await self.links.exchange(self.record, exchange.request)
        if exchange.cancel_reason is not None and isinstance(result, Err):
            result = Err(exchange.cancel_reason)
        self.complete_exchange(exchange, result)

    def complete_exchange(
        self, exchange: Exchange, result: Result[BackendAnswer, AttemptFailure]
    ) -> None:
        """Records the result of an attempt.

        Its slot stays in use if the server may still be running the attempt.
        """
        attempt = exchange.request.attempt
        if isinstance(result, Ok):
            same_attempt = result.ok_value.attempt == attempt
            require(Invariant.WHOLE_ANSWER, same_attempt, attempt)
        self.exchanges.pop(attempt, None)
        if isinstance(result, Err) and self.may_still_run(result.err_value):
            self.unsettled.add(attempt)
            self.probe_requested.set()
        self.record_health(exchange, result)
        exchange.result = result
        exchange.done.set()
        self.on_slot_freed()

    def may_still_run(self, attempt_failure: AttemptFailure) -> bool:
        """Returns whether the server may still be running a failed attempt."""
        if attempt_failure.observation in (
            Observation.SILENT,
            Observation.BACKEND_GONE,
        ):
            return False
        return OUTCOME_RULES[attempt_failure.observation].may_have_run

    def record_health(
        self, exchange: Exchange, result: Result[BackendAnswer, AttemptFailure]
    ) -> None:
        """Updates latency, failure count and ejection from the result of an attempt."""
        now = self.owner.now()
        elapsed_s = now - exchange.sent_at
        if isinstance(result, Ok):
            self.consecutive_failures = 0
            self.leaving = self.leaving or result.ok_value.leaving
        else:
            elapsed_s = max(elapsed_s, FAILURE_LATENCY_S)
            self.record_failure(result.err_value.observation)
        self.latency_s += LATENCY_WEIGHT * (elapsed_s - self.latency_s)
        if self.consecutive_failures >= EJECTION_FAILURES:
            self.ejected_until = now + EJECTION_S
            self.consecutive_failures = 0

    def record_failure(self, observation: Observation) -> None:
        """Counts a failure and updates the state that it reveals."""
        self.consecutive_failures += 1
        if observation is Observation.BACKEND_LEAVING:
            self.leaving = True
        if observation is Observation.BACKEND_REFUSED:
            self.fenced = False
            self.probe_requested.set()

    async def run(self) -> None:
        """Probes the server regularly until it is removed."""
        with self.scope:
            while True:
                self.probe_requested = anyio.Event()
                await self.probe()
                with anyio.move_on_after(self.probe_interval_s()):
                    await self.probe_requested.wait()
                    await anyio.sleep(SETTLE_INTERVAL_S)

    def probe_interval_s(self) -> float:
        """Returns the time until the next probe, in seconds."""
        if self.unsettled or self.inherited:
            return SETTLE_INTERVAL_S
        return PROBE_INTERVAL_S if self.exchanges else IDLE_PROBE_INTERVAL_S

    async def probe(self) -> None:
        """Fences the server and settles attempts without a result.

        Settled are attempts that may still be running and those that have been
        missing from the probe replies for ``SILENCE_LIMIT_S``. The server refuses a
        settled attempt that arrives later.
        """
        now = self.owner.now()
        silent_attempts = [
            attempt
            for attempt, exchange in self.exchanges.items()
            if exchange.missing_since is not None
            and now - exchange.missing_since >= SILENCE_LIMIT_S
        ]
        probe = Probe(
            epoch=self.owner.ownership.epoch,
            settle=sorted({*self.unsettled, *silent_attempts}),
        )
        reply: Result[ProbeReply, object] = Err(None)
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            reply = await self.links.probe(self.record, probe)
        if isinstance(reply, Err):
            self.probe_failures += 1
            return
        self.probe_failures = 0
        if not reply.ok_value.accepted:
            self.fenced = False
            return
        self.apply_probe_reply(probe, reply.ok_value, now)
        self.on_slot_freed()

    def apply_probe_reply(
        self, probe: Probe, reply: ProbeReply, probed_at: float
    ) -> None:
        """Updates the attempts from a probe reply.

        :param probed_at: When the probe was sent, in seconds on the owner's clock.
        """
        self.leaving = reply.leaving
        if not self.accept_incarnation(reply):
            return
        running = set(reply.running)
        unseen = set(reply.unseen)
        for attempt in probe.settle:
            if attempt in running:
                continue
            self.unsettled.discard(attempt)
            exchange = self.exchanges.get(attempt)
            if exchange is None:
                continue
            # After a restart, the server no longer knows what it ran before: then
            # "unseen" does not prove that the attempt did not run.
            same_incarnation = exchange.request.incarnation == reply.incarnation
            never_arrived = same_incarnation and attempt in unseen
            observation = (
                Observation.SILENT_UNSEEN if never_arrived else Observation.SILENT
            )
            exchange.cancel(AttemptFailure(observation))
        self.inherited &= running
        for attempt, exchange in self.exchanges.items():
            if attempt in running or exchange.sent_at >= probed_at:
                exchange.missing_since = None
            elif exchange.missing_since is None:
                exchange.missing_since = probed_at

    def accept_incarnation(self, reply: ProbeReply) -> bool:
        """Accepts the server's incarnation if the owner's lease is valid.

        :returns: Whether the reply is from the accepted incarnation.
        """
        if self.fenced and reply.incarnation == self.incarnation:
            return True
        if not self.owner.ownership.held():
            self.fenced = False
            return False
        if reply.incarnation != self.incarnation:
            self.unsettled.clear()
        known_attempts = {*self.exchanges, *self.unsettled}
        self.inherited = set(reply.running) - known_attempts
        self.incarnation = reply.incarnation
        self.fenced = True
        return True

    def shut_down(self) -> None:
        """Stops the probes and cancels all attempts."""
        self.scope.cancel()
        self.fenced = False
        for exchange in list(self.exchanges.values()):
            exchange.cancel(AttemptFailure(Observation.BACKEND_GONE))
