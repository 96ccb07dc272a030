"""Handlers of the probes and of the status of an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold import __version__
from lacewinghold.api.common import Handlers
from lacewinghold.api.problems import json_response
from lacewinghold.invariants import checks, violations
from lacewinghold.metrics import lease_remaining_s, queue_length

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.routing import Route

    from lacewinghold.ids import (
        DataCentreId,
        Epoch,
        InstanceId,
        RegionId,
        Revision,
        ShardId,
    )


class ShardStatus(Struct, frozen=True):
    """The status of a shard that this instance owns."""

    epoch: Epoch
    ready: bool
    jobs: int
    workers: int


class Status(Struct, frozen=True):
    """The status of an entry instance."""

    instance: InstanceId
    version: str
    region: RegionId
    data_centre: DataCentreId
    ready: bool
    leaving: bool
    lease_valid: bool
    lease_remaining_s: float
    store_revision: Revision
    store_calls: dict[str, int]
    tasks_queued: int
    shards: dict[ShardId, ShardStatus]
    invariant_checks: int
    invariant_violations: int


class StateHandlers(Handlers):
    """Handlers of liveness, readiness and status."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route("/live", self.live, "GET"),
            route("/ready", self.ready, "GET"),
            route("/status", self.status, "GET"),
        ]

    async def live(self, request: Request) -> Response:
        """Answers the liveness probe."""
        return json_response({"live": True})

    async def ready(self, request: Request) -> Response:
        """Answers the readiness probe with 200, or with 503 if not ready."""
        ready = self.instance.ready()
        return json_response({"ready": ready}, 200 if ready else 503)

    async def status(self, request: Request) -> Response:
        """Returns the instance's lease, shards and invariant checks."""
        instance = self.instance
        shards = {
            shard: ShardStatus(
                epoch=owner.ownership.epoch,
                ready=owner.ready.is_set(),
                jobs=len(owner.jobs),
                workers=len(owner.workers),
            )
            for shard, owner in instance.manager.owners.items()
        }
        return json_response(
            Status(
                instance=instance.instance,
                version=__version__,
                region=instance.settings.region,
                data_centre=instance.settings.data_centre,
                ready=instance.ready(),
                leaving=instance.manager.leaving,
                lease_valid=instance.lease.valid(),
                lease_remaining_s=round(lease_remaining_s(instance), 3),
                store_revision=instance.view.revision,
                store_calls={
                    str(call): count
                    for call, count in instance.ports.store.calls.items()
                },
                tasks_queued=queue_length(instance),
                shards=shards,
                invariant_checks=checks.total(),
                invariant_violations=violations.total(),
            )
        )
