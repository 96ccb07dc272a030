"""Routes requests to the backend servers of a shard, on the shard's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.ids import AttemptId
from lacewinghold.routing.backends import INITIAL_LATENCY_S, Backend, Exchange
from lacewinghold.routing.base import BackendRequest
from lacewinghold.routing.budget import RetryBudget
from lacewinghold.routing.outcomes import (
    OUTCOME_RULES,
    AttemptFailure,
    Observation,
    Verdict,
    decide,
    to_failure,
)
from lacewinghold.routing.queue import FairQueue, PendingRequest
from lacewinghold.schema.generated.jobs import TaskState
from lacewinghold.schema.generated.messages import ServiceAnswer, ServiceLoad
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.util.clock import until_tick

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.errors import Failure
    from lacewinghold.ids import RequestId, ServiceId, WorkerId
    from lacewinghold.routing.base import BackendAnswer, BackendLinks
    from lacewinghold.routing.rules import ServiceRules
    from lacewinghold.schema.generated.messages import ServiceRequest
    from lacewinghold.shards.owner import ShardOwner

    LateAnswerCallback = Callable[[ServiceAnswer], None]

SYNC_INTERVAL_S = 0.25
IDLE_SYNC_INTERVAL_S = 5.0
MAX_EJECTED_SHARE = 0.34
MIN_SHED_RETRY_AFTER_S = 1.0


class ShardRouter:
    """Queues the requests to one shard and dispatches them to its backend servers.

    It runs on the entry instance that owns the shard.

    :param links: Connections to the backend servers.
    :param rules: Rules of the services in the operators' document.
    """

    def __init__(
        self, owner: ShardOwner, links: BackendLinks, rules: ServiceRules
    ) -> None:
        self.owner = owner
        self.links = links
        self.rules = rules
        self.backends: dict[WorkerId, Backend] = {}
        self.queues: dict[ServiceId, FairQueue] = {}
        self.pending: dict[RequestId, PendingRequest] = {}
        self.budget = RetryBudget()
        self.attempt_count = 0
        self.closing = False
        self.attempt_ended = anyio.Event()
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Dispatches requests until closed, then waits for the attempts to end."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while not self.closing:
                self.sync_backends(tasks)
                self.dispatch()
                changed = self.owner.changed
                idle = not self.backends and not self.pending
                interval_s = IDLE_SYNC_INTERVAL_S if idle else SYNC_INTERVAL_S
                with anyio.move_on_after(until_tick(interval_s)):
                    await changed.wait()
            while self.has_running_attempts():
                await self.attempt_ended.wait()
            tasks.cancel_scope.cancel()
        for backend in self.backends.values():
            await self.links.close(backend.record)

    def close(self) -> None:
        """Refuses queued and new requests; attempts in progress continue.

        The refusal, ``OWNER_CHANGED``, lets the caller's entry instance try the new
        owner of the shard.
        """
        self.closing = True
        for pending in list(self.pending.values()):
            pending.refuse(AttemptFailure(Observation.OWNER_CHANGED))
        self.attempt_ended.set()
        self.owner.notify_changed()

    def has_running_attempts(self) -> bool:
        """Returns whether attempts are in progress; if so, resets ``attempt_ended``."""
        busy = any(backend.exchanges for backend in self.backends.values())
        if busy:
            self.attempt_ended = anyio.Event()
        return busy

    def sync_backends(self, tasks: TaskGroup) -> None:
        """Updates the backend servers from the running service tasks of the shard.

        A server without services is kept until its slots are free, unless the
        platform has removed it.
        """
        services_by_worker: dict[WorkerId, set[ServiceId]] = {}
        for task in self.owner.tasks.values():
            if task.spec.service is None or task.state is not TaskState.RUNNING:
                continue
            if task.worker in self.owner.workers:
                services_by_worker.setdefault(task.worker, set()).add(task.spec.service)
        for worker_id in services_by_worker:
            if worker_id not in self.backends:
                record = self.owner.workers[worker_id].record
                backend = Backend(self.owner, self.links, record, self.dispatch)
                self.backends[worker_id] = backend
                tasks.start_soon(backend.run)
        for worker_id, backend in list(self.backends.items()):
            worker = self.owner.workers.get(worker_id)
            backend.services = services_by_worker.get(worker_id, set())
            if worker is not None:
                backend.record = worker.record
            if worker is None or not (backend.services or backend.used_slots):
                self.backends.pop(worker_id).shut_down()

    def usable_backends(self, service: ServiceId) -> list[Backend]:
        """Returns the usable backend servers of a service, including ejected ones."""
        return [
            backend
            for backend in self.backends.values()
            if service in backend.services and backend.is_usable()
        ]

    def candidates(self, service: ServiceId) -> list[Backend]:
        """Returns the usable backend servers of a service without the ejected ones.

        At most ``MAX_EJECTED_SHARE`` of the servers are left out: those whose
        ejection ends last.
        """
        usable = self.usable_backends(service)
        now = self.owner.now()
        ejected = sorted(
            (backend for backend in usable if backend.ejected_until > now),
            key=lambda backend: -backend.ejected_until,
        )
        max_ejected = int(len(usable) * MAX_EJECTED_SHARE)
        return [backend for backend in usable if backend not in ejected[:max_ejected]]

    async def serve(
        self, message: ServiceRequest, on_late_answer: LateAnswerCallback
    ) -> Result[ServiceAnswer, Failure]:
        """Sends one request, with retries on other backend servers.

        :param on_late_answer: Called with an answer that arrives after this method
            has returned.
        :returns: The complete answer, or a failure. The failure allows a repeat only
            if no attempt can have run; otherwise it is ``OUTCOME_UNKNOWN``.
        """
        deadline = self.owner.now() + message.timeout_s
        max_attempts = self.rules.rule(message.service).attempts
        tried_workers: set[WorkerId] = set()
        may_have_run = False
        self.budget.record_request()
        while True:
            attempt_result = await self.attempt(
                message, deadline, tried_workers, on_late_answer
            )
            if isinstance(attempt_result, Ok):
                return Ok(attempt_result.ok_value)
            observation = attempt_result.err_value.observation
            may_have_run = may_have_run or OUTCOME_RULES[observation].may_have_run
            verdict = decide(observation, repeatable=message.repeatable)
            if (
                verdict is not Verdict.RETRY
                or observation is Observation.OWNER_CHANGED
                or len(tried_workers) >= max_attempts
                or not self.budget.try_spend()
            ):
                return Err(
                    self.to_final_failure(
                        message, attempt_result.err_value, may_have_run
                    )
                )

    def to_final_failure(
        self,
        message: ServiceRequest,
        attempt_failure: AttemptFailure,
        may_have_run: bool,
    ) -> Failure:
        """Returns the failure reported to the requester after the last attempt."""
        retry_after_s = None
        if attempt_failure.observation is Observation.SHED:
            retry_after_s = max(MIN_SHED_RETRY_AFTER_S, self.expected_wait_s(message))
        return to_failure(
            attempt_failure.observation,
            attempt_failure.detail,
            may_have_run=may_have_run,
            retry_after_s=retry_after_s,
        )

    async def attempt(
        self,
        message: ServiceRequest,
        deadline: float,
        tried_workers: set[WorkerId],
        on_late_answer: LateAnswerCallback,
    ) -> Result[ServiceAnswer, AttemptFailure]:
        """Queues a request, then waits for a slot and for the answer.

        :param deadline: In seconds, on the owner's clock.
        :param tried_workers: Workers of earlier attempts; the chosen one is added.
        """
        pending = PendingRequest(message, deadline, tried_workers, on_late_answer)
        self.enqueue(pending)
        self.dispatch()
        try:
            with anyio.move_on_after(deadline - self.owner.now()):
                await pending.done.wait()
                if pending.exchange is not None:
                    await pending.exchange.done.wait()
        finally:
            self.remove_from_queue(pending)
            if pending.exchange is not None:
                pending.exchange.abandoned = True
        return self.attempt_outcome(pending)

    def attempt_outcome(
        self, pending: PendingRequest
    ) -> Result[ServiceAnswer, AttemptFailure]:
        """Returns the result of an attempt, or a time-out if it has not ended."""
        if pending.exchange is None:
            return Err(pending.refused or AttemptFailure(Observation.TIMEOUT_QUEUED))
        result = pending.exchange.result
        if result is None:
            return Err(AttemptFailure(Observation.TIMEOUT_SENT))
        if isinstance(result, Err):
            return Err(result.err_value)
        return Ok(self.to_answer(pending.exchange, result.ok_value))

    def enqueue(self, pending: PendingRequest) -> None:
        """Queues a request, or refuses it.

        If the queue is full, either this request or a queued one is shed.
        """
        message = pending.message
        self.pending[message.request] = pending
        if self.closing or not self.owner.may_start():
            pending.refuse(AttemptFailure(Observation.OWNER_CHANGED))
            return
        if self.expected_wait_s(message) > message.timeout_s:
            pending.refuse(
                AttemptFailure(Observation.SHED, "expected wait exceeds the time-out")
            )
            return
        queue = self.queues.setdefault(message.service, FairQueue())
        if len(queue) < max(1, self.rules.rule(message.service).queue_limit):
            queue.push(pending)
            return
        victim = queue.choose_victim(message.team, message.priority)
        if victim is None:
            pending.refuse(AttemptFailure(Observation.SHED, "the queue is full"))
            return
        queue.remove(victim)
        victim.refuse(AttemptFailure(Observation.SHED, "the queue is full"))
        queue.push(pending)

    def remove_from_queue(self, pending: PendingRequest) -> None:
        """Removes a request from the pending ones and from its queue."""
        message = pending.message
        if self.pending.get(message.request) is pending:
            del self.pending[message.request]
        queue = self.queues.get(message.service)
        if queue is not None:
            queue.remove(pending)

    def expected_wait_s(self, message: ServiceRequest) -> float:
        """Returns the expected time in the queue and at the server, in seconds.

        It is zero if no request is queued or no backend server is usable.
        """
        queue = self.queues.get(message.service)
        usable = self.usable_backends(message.service)
        slots = sum(backend.record.slots for backend in usable)
        if queue is None or not len(queue) or not slots:
            return 0.0
        ahead = queue.count_ahead(message.team, message.priority)
        return (1 + ahead / slots) * self.mean_latency_s(message.service)

    def mean_latency_s(self, service: ServiceId) -> float:
        """Returns the mean latency of a service's usable servers, in seconds."""
        usable = self.usable_backends(service)
        if not usable:
            return INITIAL_LATENCY_S
        return sum(backend.latency_s for backend in usable) / len(usable)

    def cancel(self, request: RequestId) -> None:
        """Refuses a queued request whose caller has disconnected."""
        pending = self.pending.get(request)
        if pending is not None and pending.exchange is None:
            pending.refuse(AttemptFailure(Observation.CALLER_LEFT_QUEUED))

    def dispatch(self) -> None:
        """Assigns free slots to queued requests, or refuses all if none may start."""
        if self.closing or not self.owner.may_start():
            for pending in list(self.pending.values()):
                if pending.exchange is None:
                    pending.refuse(AttemptFailure(Observation.OWNER_CHANGED))
            return
        for service, queue in self.queues.items():
            while len(queue) and self.dispatch_next(service, queue):
                continue

    def dispatch_next(self, service: ServiceId, queue: FairQueue) -> bool:
        """Starts or refuses the next request that can be decided.

        :returns: Whether a request left the queue.
        """
        backends = self.candidates(service)
        now = self.owner.now()
        for pending in queue.next_by_team():
            if pending.refused is not None or pending.deadline <= now:
                queue.remove(pending)
                if pending.refused is None:
                    pending.refuse(AttemptFailure(Observation.TIMEOUT_QUEUED))
                return True
            if len(queue) > 1 and pending.deadline < now + self.mean_latency_s(service):
                queue.remove(pending)
                pending.refuse(
                    AttemptFailure(Observation.SHED, "no answer expected in time")
                )
                return True
            untried = [
                b for b in backends if b.record.worker not in pending.tried_workers
            ]
            if not untried and not self.has_untried_backend(pending):
                queue.remove(pending)
                pending.refuse(AttemptFailure(Observation.NO_BACKEND, str(service)))
                return True
            free = [backend for backend in untried if backend.has_free_slot()]
            if free:
                queue.mark_served(pending)
                self.start_attempt(min(free, key=Backend.expected_latency_s), pending)
                return True
        return False

    def has_untried_backend(self, pending: PendingRequest) -> bool:
        """Returns whether an untried backend server is up, even if not usable yet."""
        return any(
            pending.message.service in backend.services
            and not backend.leaving
            and backend.record.state is WorkerState.LIVE
            and worker_id not in pending.tried_workers
            for worker_id, backend in self.backends.items()
        )

    def start_attempt(self, backend: Backend, pending: PendingRequest) -> None:
        """Starts an attempt of a queued request on a backend server."""
        assert self.tasks is not None
        message = pending.message
        self.attempt_count += 1
        epoch = self.owner.ownership.epoch
        request = BackendRequest(
            AttemptId(f"{message.request}.{epoch}.{self.attempt_count}"),
            message.service,
            message.method,
            message.path,
            message.body,
            epoch,
            backend.incarnation,
            max(0.0, pending.deadline - self.owner.now()),
            message.content_type,
            message.traceparent,
        )
        exchange = Exchange(
            message,
            request,
            backend.record.worker,
            pending.on_late_answer,
            self.owner.now(),
        )
        backend.assign_slot(exchange)
        pending.tried_workers.add(backend.record.worker)
        pending.exchange = exchange
        pending.done.set()
        self.tasks.start_soon(self.run_exchange, backend, exchange)

    async def run_exchange(self, backend: Backend, exchange: Exchange) -> None:
        """Runs an attempt to its end, even if the requester no longer waits."""
        await backend.run_exchange(exchange)
        self.attempt_ended.set()
        if exchange.abandoned and isinstance(exchange.result, Ok):
            exchange.on_late_answer(self.to_answer(exchange, exchange.result.ok_value))

    def to_answer(self, exchange: Exchange, answer: BackendAnswer) -> ServiceAnswer:
        """Returns a backend server's answer as the message to the requester."""
        return ServiceAnswer(
            exchange.message.request,
            answer.status,
            answer.body,
            exchange.worker,
            answer.content_type,
        )

    def loads(self) -> list[ServiceLoad]:
        """Returns the current load of each service in the shard."""
        services = {s for backend in self.backends.values() for s in backend.services}
        service_loads = []
        for service in sorted(services):
            usable = self.usable_backends(service)
            service_loads.append(
                ServiceLoad(
                    self.owner.shard,
                    service,
                    sum(backend.record.slots for backend in usable),
                    sum(backend.used_slots for backend in usable),
                    len(self.queues.get(service, ())),
                    self.mean_latency_s(service),
                )
            )
        return service_loads
