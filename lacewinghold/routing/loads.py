"""Chooses the shard for a request by distance, queue and latency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from msgspec import Struct

if TYPE_CHECKING:
    import random

    from lacewinghold.ids import InstanceId, ServiceId, ShardId
    from lacewinghold.routing.rules import ServiceRules
    from lacewinghold.schema.generated.messages import ServiceLoad, ServiceRequest
    from lacewinghold.schema.generated.records import InstanceRecord
    from lacewinghold.schema.generated.settings import Settings

LOAD_LIFETIME_S = 5.0
REGION_LINK_ROUND_TRIP_S = 0.1
FORWARD_COST_S = 0.002


class KnownLoad(Struct):
    """The load of a service in one shard.

    :param received_at: In seconds, on the event loop's clock.
    :param sent_since: Number of requests sent to the shard since then.
    """

    load: ServiceLoad
    received_at: float
    sent_since: int = 0


class LoadTable:
    """The latest known loads of all shards, from which a shard is chosen.

    :param instance: The entry instance that chooses.
    :param rng: Spreads requests over equally good shards.
    """

    def __init__(
        self,
        instance: InstanceId,
        settings: Settings,
        rules: ServiceRules,
        rng: random.Random,
    ) -> None:
        self.instance = instance
        self.settings = settings
        self.rules = rules
        self.rng = rng
        self.loads: dict[tuple[ShardId, ServiceId], KnownLoad] = {}

    def update(self, loads: list[ServiceLoad]) -> None:
        """Replaces the known loads by new ones."""
        now = anyio.current_time()
        for load in loads:
            self.loads[(load.shard, load.service)] = KnownLoad(load, now)

    def current_load(self, shard: ShardId, service: ServiceId) -> KnownLoad | None:
        """Returns a load, or ``None`` if it is unknown or too old."""
        found = self.loads.get((shard, service))
        if found is None or anyio.current_time() - found.received_at > LOAD_LIFETIME_S:
            return None
        return found

    def choose(
        self,
        message: ServiceRequest,
        owners: dict[ShardId, InstanceRecord],
        tried_shards: set[ShardId],
    ) -> ShardId | None:
        """Returns the shard to try next, or ``None`` if none remains.

        Shards in the own data centre are preferred, then those in the own region,
        then those in another region if the service's rule and the time-out allow
        it. Within a region, shards without usable backend servers come last, and
        before them those whose expected wait exceeds the time-out.
        """
        best_rank = None
        served = {
            shard for shard, name in self.loads if name == message.service
        } & owners.keys()
        for shard, record in owners.items():
            if shard in tried_shards:
                continue
            other_region = record.region != self.settings.region
            if other_region and not self.may_cross_regions(message):
                continue
            if served and shard not in served:
                continue
            other_data_centre = record.data_centre != self.settings.data_centre
            known = self.current_load(shard, message.service)
            wait_s = 0.0 if known is None else expected_wait_s(known)
            if record.instance != self.instance:
                wait_s += FORWARD_COST_S
            misses_deadline = wait_s > message.timeout_s
            unserved = known is None or known.load.slots == 0
            rank = (
                other_region,
                unserved,
                misses_deadline,
                other_data_centre,
                wait_s,
                self.rng.random(),
                shard,
            )
            if best_rank is None or rank < best_rank:
                best_rank = rank
        if best_rank is None:
            return None
        chosen = self.current_load(best_rank[-1], message.service)
        if chosen is not None:
            chosen.sent_since += 1
        return best_rank[-1]

    def may_cross_regions(self, message: ServiceRequest) -> bool:
        """Returns whether a request may use the link between regions."""
        rule = self.rules.rule(message.service)
        return rule.cross_region and message.timeout_s > 2 * REGION_LINK_ROUND_TRIP_S


def expected_wait_s(known: KnownLoad) -> float:
    """Returns the expected time to serve a new request at a shard, in seconds."""
    load = known.load
    ahead = load.queued + load.used + known.sent_since
    return load.latency_s * (1 + ahead / max(1, load.slots))
