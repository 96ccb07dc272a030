"""Serves callers' requests on the entry instance that receives them."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId, RequestId, ShardId
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.budget import RetryBudget
from lacewinghold.routing.forwards import ForwardTracker
from lacewinghold.routing.loads import LoadTable
from lacewinghold.routing.outcomes import Observation, to_failure
from lacewinghold.routing.router import ShardRouter
from lacewinghold.routing.search import (
    OVERLOAD_RETRY_AFTER_S,
    discard_late_answer,
    final_failure,
    is_search_over,
)
from lacewinghold.schema.generated.messages import (
    MessageKind,
    ServiceAnswer,
    ServiceCancel,
    ServiceLate,
    ServiceLoads,
    ServiceRequest,
)
from lacewinghold.util.codec import unpack

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskGroup

    from lacewinghold.ids import ServiceId, TeamId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.routing.base import BackendLinks
    from lacewinghold.routing.forwards import ForwardedRequest
    from lacewinghold.routing.once import AtMostOnceRequests
    from lacewinghold.routing.router import LateAnswerCallback
    from lacewinghold.routing.rules import ServiceRules
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.shards.directory import Directory
    from lacewinghold.shards.owner import ShardOwner

ROUTER_SYNC_INTERVAL_S = 0.1
LOAD_PUBLISH_INTERVAL_S = 1.0
FORWARD_MARGIN_S = 0.2
ROUND_PAUSE_S = 0.1
MAX_IN_PROGRESS = 2000


class RequestFront:
    """Forwards requests to the owners of the shards that run the service.

    :param at_most_once: Serves the requests that must not be repeated.
    :param rng: Chooses among equally good shards.
    :ivar routers: Routers of the shards owned here.
    :ivar draining: Routers that still run, including closed ones.
    :ivar abandoned_requests: Requests that no caller waits for any more.
    """

    def __init__(
        self,
        settings: Settings,
        directory: Directory,
        peers: PeerLinks,
        links: BackendLinks,
        rules: ServiceRules,
        at_most_once: AtMostOnceRequests,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.peers = peers
        self.links = links
        self.rules = rules
        self.at_most_once = at_most_once
        self.loads = LoadTable(peers.instance, settings, rules, rng)
        self.forwards = ForwardTracker()
        self.budget = RetryBudget()
        self.routers: dict[ShardId, ShardRouter] = {}
        self.draining: set[ShardRouter] = set()
        self.in_progress = 0
        self.abandoned_requests: set[RequestId] = set()
        at_most_once.front = self
        peers.on(MessageKind.SERVICE_REQUEST, self.on_service_request)
        peers.on(MessageKind.SERVICE_CANCEL, self.on_service_cancel)
        peers.on(MessageKind.SERVICE_LATE, self.on_service_late)
        peers.on(MessageKind.SERVICE_LOADS, self.on_service_loads)

    async def run(self) -> None:
        """Serves requests and follows shard ownership until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.at_most_once.run)
            tasks.start_soon(self.publish_loads)
            while True:
                self.sync_routers(tasks)
                await anyio.sleep(ROUTER_SYNC_INTERVAL_S)

    def sync_routers(self, tasks: TaskGroup) -> None:
        """Opens a router for each owned shard and closes those of the others."""
        owners = self.directory.manager.owners
        for shard, router in list(self.routers.items()):
            if owners.get(shard) is router.owner and not router.owner.stopped:
                continue
            del self.routers[shard]
            router.close()
        for shard, owner in owners.items():
            if shard not in self.routers and owner.ready.is_set():
                self.routers[shard] = self.open_router(owner, tasks)

    def open_router(self, owner: ShardOwner, tasks: TaskGroup) -> ShardRouter:
        """Creates and starts the router of an owned shard."""
        router = ShardRouter(owner, self.links, self.rules)
        tasks.start_soon(self.run_router, router)
        return router

    async def run_router(self, router: ShardRouter) -> None:
        """Runs a router until it is closed and its attempts have ended."""
        self.draining.add(router)
        try:
            await router.run()
        finally:
            self.draining.discard(router)

    async def drain(self, limit_s: float) -> None:
        """Waits until no request or attempt is in progress.

        :param limit_s: Maximum wait, in seconds.
        """
        with anyio.move_on_after(limit_s):
            while self.in_progress or self.draining or self.at_most_once.busy():
                await anyio.sleep(ROUTER_SYNC_INTERVAL_S)

    async def request(
        self,
        team: TeamId,
        service: ServiceId,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        repeatable: bool,
        idempotency_key: str = "",
        priority: int = 1,
        content_type: str = "",
        traceparent: str = "",
    ) -> Result[ServiceAnswer, Failure]:
        """Serves a caller's request to a long-running service.

        :param timeout_s: Time until the caller's deadline, in seconds.
        :param repeatable: Whether the request may run more than once.
        :param priority: Higher priorities are served first.
        :returns: The complete answer of a backend server.
        """
        if self.in_progress >= MAX_IN_PROGRESS:
            detail = f"{MAX_IN_PROGRESS} requests are in progress here"
            return Err(
                to_failure(
                    Observation.SHED, detail, retry_after_s=OVERLOAD_RETRY_AFTER_S
                )
            )
        message = ServiceRequest(
            service,
            ShardId(""),
            RequestId(secrets.token_hex(8)),
            team,
            method,
            path,
            body,
            timeout_s,
            repeatable,
            "",
            priority,
            content_type,
            self.directory.view.document_revision,
            traceparent,
        )
        self.in_progress += 1
        try:
            if repeatable:
                return await self.route(message, discard_late_answer)
            return await self.at_most_once.request(message, idempotency_key)
        finally:
            self.in_progress -= 1

    async def route(
        self, message: ServiceRequest, on_late_answer: LateAnswerCallback
    ) -> Result[ServiceAnswer, Failure]:
        """Tries shards until one answers or the failure does not allow a retry.

        :param on_late_answer: Called with an answer that arrives after the time-out.
        """
        deadline = anyio.current_time() + message.timeout_s
        if (
            not self.directory.manager.lease.valid()
            and not self.rules.serves_when_cut_off(message.service)
        ):
            return Err(to_failure(Observation.OWNER_CHANGED, "platform unreachable"))
        tried_shards: set[ShardId] = set()
        failure: Failure | None = None
        may_have_run = False
        was_shed = False
        rounds = 0
        self.budget.record_request()
        while anyio.current_time() < deadline:
            shard = self.loads.choose(
                message, self.directory.shard_owners(), tried_shards
            )
            if shard is None:
                rounds += 1
                if was_shed or is_search_over(failure, rounds):
                    break
                tried_shards.clear()
                await anyio.sleep(ROUND_PAUSE_S)
                continue
            message.shard = shard
            message.timeout_s = max(0.001, deadline - anyio.current_time())
            result = await self.send_to_owner(message, on_late_answer)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            tried_shards.add(shard)
            if message.request in self.abandoned_requests:
                break
            if failure.answer.may_repeat:
                was_shed = was_shed or failure.kind is ErrorKind.OVERLOADED
                continue
            may_have_run = True
            if not message.repeatable or not self.budget.try_spend():
                break
        return Err(final_failure(message, failure, may_have_run=may_have_run))

    async def send_to_owner(
        self, message: ServiceRequest, on_late_answer: LateAnswerCallback
    ) -> Result[ServiceAnswer, Failure]:
        """Sends a request to the owner of its shard, which may be this instance."""
        router = self.routers.get(message.shard)
        if router is not None:
            permitted = await self.check_permit(router.owner, message)
            if isinstance(permitted, Err):
                return Err(permitted.err_value)
            return await router.serve(message, on_late_answer)
        record = self.directory.shard_owners().get(message.shard)
        if record is None or record.instance == self.peers.instance:
            return Err(to_failure(Observation.OWNER_CHANGED, message.shard))
        try:
            reply = await self.forward(record.instance, message)
        except anyio.get_cancelled_exc_class():
            self.forwards.end(message.request)
            with anyio.CancelScope(shield=True):
                await self.peers.notify(
                    record.instance,
                    MessageKind.SERVICE_CANCEL,
                    ServiceCancel(message.shard, message.request),
                )
            raise
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(unpack(reply.ok_value, ServiceAnswer))

    async def check_permit(
        self, owner: ShardOwner, message: ServiceRequest
    ) -> Result[None, Failure]:
        """Checks that the owner's copy of the rules permits a request and is recent.

        Waits for the document revision that the request was received under. The
        request gets the revision that permits it, and its time-out is limited to the
        time for which the copy remains valid.
        """
        if not await self.directory.view.wait_document(message.document_revision):
            detail = f"document version {message.document_revision} not received yet"
            return Err(Failure(ErrorKind.NOT_RUN, detail))
        team_of_service = owner.rules.team_of(message.service)
        for team in {message.team, team_of_service or message.team}:
            permit = owner.rules.permit(team)
            if isinstance(permit, Err):
                return Err(permit.err_value)
            message.document_revision = permit.ok_value
            message.timeout_s = min(message.timeout_s, owner.rules.remaining_s(team))
            allowed = owner.rules.allows(team, permit.ok_value)
            require(Invariant.RULE_LEASE, allowed, message.request)
        return Ok(None)

    async def cancel_if_queued(self, message: ServiceRequest) -> None:
        """Cancels an abandoned request that must not be repeated, if still queued.

        An attempt that was started continues, and its outcome is recorded.
        """
        self.abandoned_requests.add(message.request)
        router = self.routers.get(message.shard)
        if router is not None:
            router.cancel(message.request)
            return
        record = self.directory.shard_owners().get(message.shard)
        if record is not None:
            await self.peers.notify(
                record.instance,
                MessageKind.SERVICE_CANCEL,
                ServiceCancel(message.shard, message.request),
            )

    async def forward(
        self, instance: InstanceId, message: ServiceRequest
    ) -> Result[bytes, Failure]:
        """Forwards a request to another entry instance.

        Ends early if the instance is no longer live or the request is lost.
        """
        result: Result[bytes, Failure]
        result = Err(to_failure(Observation.FORWARD_LOST, instance))
        forward = self.forwards.begin(message.request, instance)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch_instance, instance, tasks.cancel_scope)
            tasks.start_soon(self.watch_forward, forward, tasks.cancel_scope)
            result = await self.peers.call(
                instance,
                MessageKind.SERVICE_REQUEST,
                message,
                message.timeout_s + FORWARD_MARGIN_S,
            )
            tasks.cancel_scope.cancel()
        self.forwards.end(message.request)
        return result

    async def watch_forward(
        self, forward: ForwardedRequest, scope: anyio.CancelScope
    ) -> None:
        """Cancels a scope once a forwarded request or its reply is lost."""
        await self.forwards.wait_until_lost(forward)
        scope.cancel()

    async def watch_instance(
        self, instance: InstanceId, scope: anyio.CancelScope
    ) -> None:
        """Cancels a scope once an entry instance is no longer live."""
        view = self.directory.view
        while instance in view.instances():
            await view.changed.wait()
        scope.cancel()

    async def on_service_request(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Serves a request that another entry instance has forwarded."""
        message = unpack(body, ServiceRequest)
        router = self.routers.get(message.shard)
        if router is None:
            return Err(to_failure(Observation.OWNER_CHANGED, message.shard))

        def on_late_answer(answer: ServiceAnswer) -> None:
            if not message.repeatable and router.tasks is not None:
                router.tasks.start_soon(self.send_late_answer, sender, answer)

        self.forwards.served_for[sender].add(message.request)
        try:
            permitted = await self.check_permit(router.owner, message)
            if isinstance(permitted, Err):
                return Err(permitted.err_value)
            served = await router.serve(message, on_late_answer)
        finally:
            self.forwards.served_for[sender].discard(message.request)
        if isinstance(served, Err):
            return Err(served.err_value)
        return Ok(served.ok_value)

    async def send_late_answer(
        self, instance: InstanceId, answer: ServiceAnswer
    ) -> None:
        """Sends a late answer to the instance that forwarded the request."""
        await self.peers.notify(instance, MessageKind.SERVICE_LATE, ServiceLate(answer))

    async def on_service_late(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Records a late answer to a request that must not be repeated."""
        message = unpack(body, ServiceLate)
        self.at_most_once.record_late_answer(message.answer)
        return Ok(message)

    async def on_service_cancel(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Cancels a queued request whose caller has disconnected."""
        message = unpack(body, ServiceCancel)
        router = self.routers.get(message.shard)
        if router is not None:
            router.cancel(message.request)
        return Ok(message)

    async def on_service_loads(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Records the loads and served requests reported by another instance."""
        message = unpack(body, ServiceLoads)
        self.loads.update(message.loads)
        self.forwards.record_report(sender, message.serving)
        return Ok(message)

    async def publish_loads(self) -> None:
        """Reports loads and served requests to the other instances periodically."""
        while True:
            loads = []
            for router in self.routers.values():
                loads.extend(router.loads())
            self.loads.update(loads)
            for instance in self.directory.view.instances():
                serving = sorted(self.forwards.served_for[instance])
                if instance == self.peers.instance or not (loads or serving):
                    continue
                message = ServiceLoads(loads, serving)
                await self.peers.notify(instance, MessageKind.SERVICE_LOADS, message)
            await anyio.sleep(LOAD_PUBLISH_INTERVAL_S)
