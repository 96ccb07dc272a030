"""Requests of callers, at whichever entry instance they arrive."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId, RequestId, ShardId
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.router import ShardRouter
from lacewinghold.schema.generated.messages import (
    MessageKind,
    ServiceAnswer,
    ServiceRequest,
)
from lacewinghold.util.codec import unpack

if TYPE_CHECKING:
    import random

    from lacewinghold.ids import ServiceId, TeamId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.routing.base import BackendLinks
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.schema.generated.settings import Settings
    from lacewinghold.shards.directory import Directory
    from lacewinghold.shards.owner import ShardOwner

REGION_HOP_S = 0.5


class RequestFront:
    """Hands requests to the owners of the shards that serve them.

    :param rng: Spreads requests over equally near shards.
    """

    def __init__(
        self,
        settings: Settings,
        directory: Directory,
        peers: PeerLinks,
        backend_links: BackendLinks,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.backend_links = backend_links
        self.rng = rng
        self.routers: dict[ShardId, ShardRouter] = {}
        peers.on(MessageKind.SERVICE_REQUEST, self.on_service_request)

    def router(self, owner: ShardOwner) -> ShardRouter:
        """Returns the router of an owned shard."""
        router = self.routers.get(owner.shard)
        if router is None or router.owner is not owner:
            router = ShardRouter(owner, self.backend_links)
            self.routers[owner.shard] = router
        return router

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
    ) -> Result[ServiceAnswer, Failure]:
        """Serves a caller's request to a standing service.

        :returns: The whole answer of a backend server.
        """
        digest = ""
        if idempotency_key:
            digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()
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
            digest,
            self.directory.view.document_revision,
        )
        failure = Failure(ErrorKind.NOT_RUN, f"{service} runs nowhere", "", 1.0)
        for shard in self.request_shards(digest):
            message.shard = shard
            result = await self.request_at(message)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            if not failure.answer.may_repeat:
                return Err(failure)
        return Err(failure)

    def request_shards(self, digest: str) -> list[ShardId]:
        """Returns the shards to try, near ones first.

        A request with a key always goes to the same shard first, whose ledger
        knows whether it ran before.
        """
        found = []
        for shard, record in self.directory.shard_owners().items():
            remote = record.region != self.settings.region
            far = record.data_centre != self.settings.data_centre
            if digest:
                order = hashlib.sha256(f"{digest}{shard}".encode()).hexdigest()
                found.append((False, False, order, shard))
                continue
            found.append((remote, far, f"{self.rng.random():.6f}", shard))
        return [shard for _, _, _, shard in sorted(found)]

    async def request_at(
        self, message: ServiceRequest
    ) -> Result[ServiceAnswer, Failure]:
        """Has the owner of one shard serve a request."""
        local = self.directory.local_owner(message.shard)
        if isinstance(local, Ok):
            return await self.serve(local.ok_value, message)
        reply = await self.directory.call_owner(
            message.shard,
            MessageKind.SERVICE_REQUEST,
            message,
            message.timeout_s + REGION_HOP_S,
        )
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(unpack(reply.ok_value, ServiceAnswer))

    async def serve(
        self, owner: ShardOwner, message: ServiceRequest
    ) -> Result[ServiceAnswer, Failure]:
        """Serves a request at its owner, if the rules permit it there."""
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
        return await self.router(owner).serve(message)

    async def on_service_request(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Serves a request for another entry instance."""
        message = unpack(body, ServiceRequest)
        local = self.directory.local_owner(message.shard)
        if isinstance(local, Err):
            return Err(local.err_value)
        served = await self.serve(local.ok_value, message)
        if isinstance(served, Err):
            return Err(served.err_value)
        return Ok(served.ok_value)
