"""Handlers of the instance's own state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.api.common import Handlers
from lacewinghold.api.problems import json_response
from lacewinghold.invariants import checks, violations

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.routing import Route


class StateHandlers(Handlers):
    """Liveness, readiness and status."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route("/live", self.live, "GET"),
            route("/ready", self.ready, "GET"),
            route("/status", self.status, "GET"),
        ]

    async def live(self, request: Request) -> Response:
        """Answers as long as the process runs."""
        return json_response({"live": True})

    async def ready(self, request: Request) -> Response:
        """Answers whether this instance should get requests."""
        ready = self.instance.ready()
        return json_response({"ready": ready}, 200 if ready else 503)

    async def status(self, request: Request) -> Response:
        """Describes the instance's lease, shards and invariant checks."""
        instance = self.instance
        shards = {
            shard: {
                "epoch": owner.ownership.epoch,
                "ready": owner.ready.is_set(),
                "jobs": len(owner.jobs),
                "workers": len(owner.workers),
            }
            for shard, owner in instance.manager.owners.items()
        }
        return json_response(
            {
                "instance": instance.instance,
                "data_centre": instance.settings.data_centre,
                "lease_valid": instance.lease.valid(),
                "store_revision": instance.view.revision,
                "shards": shards,
                "invariant_checks": sum(checks.values()),
                "invariant_violations": sum(violations.values()),
            }
        )
