"""Hands requests to backend servers from the owner of their shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.ids import AttemptId
from lacewinghold.routing.backends import LATENCY_FIRST_S, Backend, Exchange
from lacewinghold.routing.base import BackendRequest
from lacewinghold.routing.budget import RetryBudget
from lacewinghold.routing.outcomes import (
    RULES,
    Observation,
    Unanswered,
    Verdict,
    decide,
    to_failure,
)
from lacewinghold.routing.queue import FairQueue, Waiting
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

    LateAnswer = Callable[[ServiceAnswer], None]

SYNC_INTERVAL_S = 0.25
IDLE_SYNC_INTERVAL_S = 5.0
EJECTED_SHARE_LIMIT = 0.34
SHED_RETRY_AFTER_S = 1.0


class ShardRouter:
    """Serves the requests to the backend servers of one shard."""

    def __init__(
        self, owner: ShardOwner, links: BackendLinks, rules: ServiceRules
    ) -> None:
        self.owner = owner
        self.links = links
        self.rules = rules
        self.backends: dict[WorkerId, Backend] = {}
        self.queues: dict[ServiceId, FairQueue] = {}
        self.waiting: dict[RequestId, Waiting] = {}
        self.budget = RetryBudget()
        self.attempts = 0
        self.closing = False
        self.idle = anyio.Event()
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Follows the shard's backend servers until closed and drained."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while not self.closing:
                self.sync(tasks)
                self.dispatch()
                changed = self.owner.changed
                idle = not self.backends and not self.waiting
                interval_s = IDLE_SYNC_INTERVAL_S if idle else SYNC_INTERVAL_S
                with anyio.move_on_after(until_tick(interval_s)):
                    await changed.wait()
            while self.in_progress():
                await self.idle.wait()
            tasks.cancel_scope.cancel()
        for backend in self.backends.values():
            await self.links.close(backend.record)

    def close(self) -> None:
        """Takes no new work; attempts in progress go on."""
        self.closing = True
        for waiting in list(self.waiting.values()):
            waiting.refuse(Unanswered(Observation.OWNER_CHANGED))
        self.idle.set()
        self.owner.note_change()

    def in_progress(self) -> bool:
        """Returns whether attempts are in progress, and arms the idle event."""
        busy = any(backend.own for backend in self.backends.values())
        if busy:
            self.idle = anyio.Event()
        return busy

    def sync(self, tasks: TaskGroup) -> None:
        """Follows which services run where."""
        found: dict[WorkerId, set[ServiceId]] = {}
        for task in self.owner.tasks.values():
            if task.spec.service is None or task.state is not TaskState.RUNNING:
                continue
            if task.worker in self.owner.workers:
                found.setdefault(task.worker, set()).add(task.spec.service)
        for worker_id in found:
            if worker_id not in self.backends:
                record = self.owner.workers[worker_id].record
                backend = Backend(self.owner, self.links, record, self.dispatch)
                self.backends[worker_id] = backend
                tasks.start_soon(backend.run)
        for worker_id, backend in list(self.backends.items()):
            worker = self.owner.workers.get(worker_id)
            backend.services = found.get(worker_id, set())
            if worker is not None:
                backend.record = worker.record
            if worker is None or not (backend.services or backend.used):
                self.backends.pop(worker_id).remove()

    def serving(self, service: ServiceId) -> list[Backend]:
        """Returns the usable backend servers of a service, ejection aside."""
        return [
            backend
            for backend in self.backends.values()
            if service in backend.services and backend.usable()
        ]

    def candidates(self, service: ServiceId) -> list[Backend]:
        """Returns the backend servers of a service without the ejected ones."""
        serving = self.serving(service)
        now = self.owner.now()
        ejected = sorted(
            (backend for backend in serving if backend.ejected_until > now),
            key=lambda backend: -backend.ejected_until,
        )
        most = int(len(serving) * EJECTED_SHARE_LIMIT)
        return [backend for backend in serving if backend not in ejected[:most]]

    async def serve(
        self, message: ServiceRequest, late: LateAnswer
    ) -> Result[ServiceAnswer, Failure]:
        """Runs one request.

        :param late: Takes an answer that comes after this has returned.
        :returns: The whole answer; a failure that may be repeated only if the
            request surely did not run; else ``OUTCOME_UNKNOWN``.
        """
        deadline = self.owner.now() + message.timeout_s
        limit = self.rules.rule(message.service).attempts
        avoid: set[WorkerId] = set()
        may_have_run = False
        self.budget.note_request()
        while True:
            seen = await self.attempt(message, deadline, avoid, late)
            if isinstance(seen, Ok):
                return Ok(seen.ok_value)
            observation = seen.err_value.observation
            may_have_run = may_have_run or RULES[observation].may_have_run
            verdict = decide(observation, repeatable=message.repeatable)
            if (
                verdict is not Verdict.RETRY
                or observation is Observation.OWNER_CHANGED
                or len(avoid) >= limit
                or not self.budget.spend()
            ):
                return Err(self.failure(message, seen.err_value, may_have_run))

    def failure(
        self, message: ServiceRequest, seen: Unanswered, may_have_run: bool
    ) -> Failure:
        """Returns what the requester is told after the last attempt."""
        retry_after_s = None
        if seen.observation is Observation.SHED:
            retry_after_s = max(SHED_RETRY_AFTER_S, self.expected_wait_s(message))
        return to_failure(
            seen.observation,
            seen.detail,
            may_have_run=may_have_run,
            retry_after_s=retry_after_s,
        )

    async def attempt(
        self,
        message: ServiceRequest,
        deadline: float,
        avoid: set[WorkerId],
        late: LateAnswer,
    ) -> Result[ServiceAnswer, Unanswered]:
        """Waits for a slot, then for the answer."""
        waiting = Waiting(message, deadline, avoid, late)
        self.enqueue(waiting)
        self.dispatch()
        try:
            with anyio.move_on_after(deadline - self.owner.now()):
                await waiting.done.wait()
                if waiting.exchange is not None:
                    await waiting.exchange.done.wait()
        finally:
            self.leave_queue(waiting)
            if waiting.exchange is not None:
                waiting.exchange.abandoned = True
        return self.outcome(waiting)

    def outcome(self, waiting: Waiting) -> Result[ServiceAnswer, Unanswered]:
        """Returns how an attempt ended, as far as its requester waited."""
        if waiting.exchange is None:
            return Err(waiting.refused or Unanswered(Observation.TIMEOUT_QUEUED))
        result = waiting.exchange.result
        if result is None:
            return Err(Unanswered(Observation.TIMEOUT_SENT))
        if isinstance(result, Err):
            return Err(result.err_value)
        return Ok(self.to_answer(waiting.exchange, result.ok_value))

    def enqueue(self, waiting: Waiting) -> None:
        """Queues a request, or sheds it or one with a weaker claim."""
        message = waiting.message
        self.waiting[message.request] = waiting
        if self.closing or not self.owner.may_start():
            waiting.refuse(Unanswered(Observation.OWNER_CHANGED))
            return
        if self.expected_wait_s(message) > message.timeout_s:
            waiting.refuse(Unanswered(Observation.SHED, "the deadline would pass"))
            return
        queue = self.queues.setdefault(message.service, FairQueue())
        if len(queue) < max(1, self.rules.rule(message.service).queue_limit):
            queue.push(waiting)
            return
        victim = queue.victim_for(message.team, message.priority)
        if victim is None:
            waiting.refuse(Unanswered(Observation.SHED, "the queue is full"))
            return
        queue.remove(victim)
        victim.refuse(Unanswered(Observation.SHED, "the queue is full"))
        queue.push(waiting)

    def leave_queue(self, waiting: Waiting) -> None:
        """Takes a request out of the queue if it still waits there."""
        message = waiting.message
        if self.waiting.get(message.request) is waiting:
            del self.waiting[message.request]
        queue = self.queues.get(message.service)
        if queue is not None:
            queue.remove(waiting)

    def expected_wait_s(self, message: ServiceRequest) -> float:
        """Returns how long a new request behind a queue would take."""
        queue = self.queues.get(message.service)
        serving = self.serving(message.service)
        slots = sum(backend.record.slots for backend in serving)
        if queue is None or not len(queue) or not slots:
            return 0.0
        ahead = queue.ahead_of(message.team, message.priority)
        return (1 + ahead / slots) * self.latency_s(message.service)

    def latency_s(self, service: ServiceId) -> float:
        """Returns the mean latency of a service's backend servers."""
        serving = self.serving(service)
        if not serving:
            return LATENCY_FIRST_S
        return sum(backend.latency_s for backend in serving) / len(serving)

    def cancel(self, request: RequestId) -> None:
        """Drops a queued request whose caller has left."""
        waiting = self.waiting.get(request)
        if waiting is not None and waiting.exchange is None:
            waiting.refuse(Unanswered(Observation.CALLER_LEFT_QUEUED))

    def dispatch(self) -> None:
        """Gives free slots to the requests whose turn it is."""
        if self.closing or not self.owner.may_start():
            for waiting in list(self.waiting.values()):
                if waiting.exchange is None:
                    waiting.refuse(Unanswered(Observation.OWNER_CHANGED))
            return
        for service, queue in self.queues.items():
            while len(queue) and self.dispatch_next(service, queue):
                continue

    def dispatch_next(self, service: ServiceId, queue: FairQueue) -> bool:
        """Handles the request whose turn it is.

        :returns: Whether a request left the queue.
        """
        backends = self.candidates(service)
        now = self.owner.now()
        for waiting in queue.in_order():
            if waiting.refused is not None or waiting.deadline <= now:
                queue.remove(waiting)
                if waiting.refused is None:
                    waiting.refuse(Unanswered(Observation.TIMEOUT_QUEUED))
                return True
            if len(queue) > 1 and waiting.deadline < now + self.latency_s(service):
                queue.remove(waiting)
                waiting.refuse(Unanswered(Observation.SHED, "no answer in time"))
                return True
            untried = [b for b in backends if b.record.worker not in waiting.avoid]
            if not untried and not self.may_recover(waiting):
                queue.remove(waiting)
                waiting.refuse(Unanswered(Observation.NO_BACKEND, str(service)))
                return True
            free = [backend for backend in untried if backend.has_room()]
            if free:
                queue.served(waiting)
                self.send(min(free, key=Backend.cost), waiting)
                return True
        return False

    def may_recover(self, waiting: Waiting) -> bool:
        """Returns whether an untried backend server may become usable soon."""
        return any(
            waiting.message.service in backend.services
            and not backend.leaving
            and backend.record.state is WorkerState.LIVE
            and worker_id not in waiting.avoid
            for worker_id, backend in self.backends.items()
        )

    def send(self, backend: Backend, waiting: Waiting) -> None:
        """Begins an attempt."""
        assert self.tasks is not None
        message = waiting.message
        self.attempts += 1
        epoch = self.owner.ownership.epoch
        request = BackendRequest(
            AttemptId(f"{message.request}.{epoch}.{self.attempts}"),
            message.service,
            message.method,
            message.path,
            message.body,
            epoch,
            backend.incarnation,
            max(0.0, waiting.deadline - self.owner.now()),
            message.content_type,
            message.traceparent,
        )
        exchange = Exchange(
            message, request, backend.record.worker, waiting.late, self.owner.now()
        )
        backend.take(exchange)
        waiting.avoid.add(backend.record.worker)
        waiting.exchange = exchange
        waiting.done.set()
        self.tasks.start_soon(self.run_exchange, backend, exchange)

    async def run_exchange(self, backend: Backend, exchange: Exchange) -> None:
        """Sees an attempt through, also after its requester has left."""
        await backend.run_exchange(exchange)
        self.idle.set()
        if exchange.abandoned and isinstance(exchange.result, Ok):
            exchange.late(self.to_answer(exchange, exchange.result.ok_value))

    def to_answer(self, exchange: Exchange, answer: BackendAnswer) -> ServiceAnswer:
        """Returns a backend server's answer for the requester."""
        return ServiceAnswer(
            exchange.message.request,
            answer.status,
            answer.body,
            exchange.worker,
            answer.content_type,
        )

    def loads(self) -> list[ServiceLoad]:
        """Returns the load of each service."""
        services = {s for backend in self.backends.values() for s in backend.services}
        found = []
        for service in sorted(services):
            serving = self.serving(service)
            found.append(
                ServiceLoad(
                    self.owner.shard,
                    service,
                    sum(backend.record.slots for backend in serving),
                    sum(backend.used for backend in serving),
                    len(self.queues.get(service, ())),
                    self.latency_s(service),
                )
            )
        return found
