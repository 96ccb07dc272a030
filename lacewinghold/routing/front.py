"""Requests of callers, at whichever entry instance they arrive."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId, RequestId, ShardId
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.budget import RetryBudget
from lacewinghold.routing.forwards import Forwards
from lacewinghold.routing.loads import LoadTable
from lacewinghold.routing.outcomes import Observation, to_failure
from lacewinghold.routing.router import ShardRouter
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
    from lacewinghold.routing.forwards import Forward
    from lacewinghold.routing.once import OnceRequests
    from lacewinghold.routing.router import LateAnswer
    from lacewinghold.routing.rules import ServiceRules
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.shards.directory import Directory
    from lacewinghold.shards.owner import ShardOwner

FOLLOW_INTERVAL_S = 0.1
LOAD_INTERVAL_S = 1.0
FORWARD_MARGIN_S = 0.2
ROUND_PAUSE_S = 0.1
MAX_ROUNDS_WITHOUT_BACKEND = 3
MAX_IN_PROGRESS = 2000
OVERLOAD_RETRY_AFTER_S = 1.0


class RequestFront:
    """Hands requests to the owners of the shards that serve them.

    :param once: Serves the requests that must not be repeated.
    :param rng: Spreads requests over equally near shards.
    """

    def __init__(
        self,
        settings: Settings,
        directory: Directory,
        peers: PeerLinks,
        links: BackendLinks,
        rules: ServiceRules,
        once: OnceRequests,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.peers = peers
        self.links = links
        self.rules = rules
        self.once = once
        self.loads = LoadTable(peers.instance, settings, rules, rng)
        self.forwards = Forwards()
        self.budget = RetryBudget()
        self.routers: dict[ShardId, ShardRouter] = {}
        self.draining: set[ShardRouter] = set()
        self.in_progress = 0
        self.left: set[RequestId] = set()
        once.front = self
        peers.on(MessageKind.SERVICE_REQUEST, self.on_service_request)
        peers.on(MessageKind.SERVICE_CANCEL, self.on_service_cancel)
        peers.on(MessageKind.SERVICE_LATE, self.on_service_late)
        peers.on(MessageKind.SERVICE_LOADS, self.on_service_loads)

    async def run(self) -> None:
        """Serves the shards owned here until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.once.run)
            tasks.start_soon(self.publish_loads)
            while True:
                self.follow_owners(tasks)
                await anyio.sleep(FOLLOW_INTERVAL_S)

    def follow_owners(self, tasks: TaskGroup) -> None:
        """Opens a router for each owned shard and closes those of lost ones."""
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
        """Starts the router of an owned shard."""
        router = ShardRouter(owner, self.links, self.rules)
        tasks.start_soon(self.run_router, router)
        return router

    async def run_router(self, router: ShardRouter) -> None:
        """Runs a router until it is closed and drained."""
        self.draining.add(router)
        try:
            await router.run()
        finally:
            self.draining.discard(router)

    async def drain(self, limit_s: float) -> None:
        """Waits for callers' requests and attempts in progress."""
        with anyio.move_on_after(limit_s):
            while self.in_progress or self.draining or self.once.busy():
                await anyio.sleep(FOLLOW_INTERVAL_S)

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
        """Serves a caller's request to a standing service.

        :returns: The whole answer of a backend server.
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
                return await self.route(message, ignore_late)
            return await self.once.request(message, idempotency_key)
        finally:
            self.in_progress -= 1

    async def route(
        self, message: ServiceRequest, late: LateAnswer
    ) -> Result[ServiceAnswer, Failure]:
        """Tries shards until one answers or the outcome rules end the request."""
        deadline = anyio.current_time() + message.timeout_s
        if not self.directory.manager.lease.valid() and not self.rules.goes_on(
            message.service
        ):
            return Err(to_failure(Observation.OWNER_CHANGED, "cut off"))
        tried: set[ShardId] = set()
        failure: Failure | None = None
        may_have_run = False
        shed = False
        rounds = 0
        self.budget.note_request()
        while anyio.current_time() < deadline:
            shard = self.loads.choose(message, self.directory.shard_owners(), tried)
            if shard is None:
                rounds += 1
                if shed or ends_search(failure, rounds):
                    break
                tried.clear()
                await anyio.sleep(ROUND_PAUSE_S)
                continue
            message.shard = shard
            message.timeout_s = max(0.001, deadline - anyio.current_time())
            result = await self.request_at(message, late)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            tried.add(shard)
            if message.request in self.left:
                break
            if failure.answer.may_repeat:
                shed = shed or failure.kind is ErrorKind.OVERLOADED
                continue
            may_have_run = True
            if not message.repeatable or not self.budget.spend():
                break
        return Err(final_failure(message, failure, may_have_run=may_have_run))

    async def request_at(
        self, message: ServiceRequest, late: LateAnswer
    ) -> Result[ServiceAnswer, Failure]:
        """Has the owner of one shard serve a request."""
        router = self.routers.get(message.shard)
        if router is not None:
            permitted = await self.permit(router.owner, message)
            if isinstance(permitted, Err):
                return Err(permitted.err_value)
            return await router.serve(message, late)
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

    async def permit(
        self, owner: ShardOwner, message: ServiceRequest
    ) -> Result[None, Failure]:
        """Decides a request under the rules of its owner, if they are recent."""
        if not await self.directory.view.wait_document(message.document_revision):
            detail = f"version {message.document_revision} is not here yet"
            return Err(Failure(ErrorKind.NOT_RUN, detail))
        team_of_service = owner.rules.team_of(message.service)
        for team in {message.team, team_of_service or message.team}:
            permit = owner.rules.permit(team)
            if isinstance(permit, Err):
                return Err(permit.err_value)
            message.document_revision = permit.ok_value
            message.timeout_s = min(message.timeout_s, owner.rules.left_s(team))
            allowed = owner.rules.allows(team, permit.ok_value)
            require(Invariant.RULE_LEASE, allowed, message.request)
        return Ok(None)

    async def drop(self, message: ServiceRequest) -> None:
        """Drops a request that must not be repeated if it is still queued.

        Its serving goes on, and ends as not run or with its outcome.
        """
        self.left.add(message.request)
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
        """Forwards a request; ends early if the instance or its link is gone."""
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

    async def watch_forward(self, forward: Forward, scope: anyio.CancelScope) -> None:
        """Cancels a scope once a forwarded request is lost."""
        await self.forwards.wait_lost(forward)
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
        """Serves a request for another entry instance."""
        message = unpack(body, ServiceRequest)
        router = self.routers.get(message.shard)
        if router is None:
            return Err(to_failure(Observation.OWNER_CHANGED, message.shard))

        def late(answer: ServiceAnswer) -> None:
            if not message.repeatable and router.tasks is not None:
                router.tasks.start_soon(self.send_late, sender, answer)

        self.forwards.serving[sender].add(message.request)
        try:
            permitted = await self.permit(router.owner, message)
            if isinstance(permitted, Err):
                return Err(permitted.err_value)
            served = await router.serve(message, late)
        finally:
            self.forwards.serving[sender].discard(message.request)
        if isinstance(served, Err):
            return Err(served.err_value)
        return Ok(served.ok_value)

    async def send_late(self, instance: InstanceId, answer: ServiceAnswer) -> None:
        """Hands a late answer to the instance that took the request."""
        await self.peers.notify(instance, MessageKind.SERVICE_LATE, ServiceLate(answer))

    async def on_service_late(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Takes a late answer to a request that must not be repeated."""
        message = unpack(body, ServiceLate)
        self.once.note_late(message.answer)
        return Ok(message)

    async def on_service_cancel(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Drops a queued request whose caller has left."""
        message = unpack(body, ServiceCancel)
        router = self.routers.get(message.shard)
        if router is not None:
            router.cancel(message.request)
        return Ok(message)

    async def on_service_loads(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Takes the loads of another entry instance's shards."""
        message = unpack(body, ServiceLoads)
        self.loads.note(message.loads)
        self.forwards.note(sender, message.serving)
        return Ok(message)

    async def publish_loads(self) -> None:
        """Tells the other entry instances the loads of the shards owned here."""
        while True:
            loads = []
            for router in self.routers.values():
                loads.extend(router.loads())
            self.loads.note(loads)
            for instance in self.directory.view.instances():
                serving = sorted(self.forwards.serving[instance])
                if instance == self.peers.instance or not (loads or serving):
                    continue
                message = ServiceLoads(loads, serving)
                await self.peers.notify(instance, MessageKind.SERVICE_LOADS, message)
            await anyio.sleep(LOAD_INTERVAL_S)


def ends_search(failure: Failure | None, rounds: int) -> bool:
    """Returns whether another round over the shards would be of no use."""
    if failure is None:
        return rounds >= MAX_ROUNDS_WITHOUT_BACKEND
    if failure.kind in (ErrorKind.NOT_OWNER, ErrorKind.UNREACHABLE):
        return False
    if failure.kind is ErrorKind.NOT_RUN:
        return rounds >= MAX_ROUNDS_WITHOUT_BACKEND
    return True


def final_failure(
    message: ServiceRequest, failure: Failure | None, *, may_have_run: bool
) -> Failure:
    """Returns what the caller is told, given all that was tried."""
    if failure is None:
        return to_failure(
            Observation.NO_BACKEND,
            f"{message.service} runs nowhere that may be used",
            retry_after_s=OVERLOAD_RETRY_AFTER_S,
        )
    if may_have_run and failure.answer.may_repeat:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
    return failure


def ignore_late(answer: ServiceAnswer) -> None:
    """Drops an answer that nobody waits for."""
    del answer
