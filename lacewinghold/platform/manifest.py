"""The operators' manifest in the platform's store."""

from __future__ import annotations

import msgspec
import structlog
from msgspec import Struct, field

from lacewinghold.events import Event
from lacewinghold.scheduler.ports import AdviceRules, Manifest, Queue
from lacewinghold.util.codec import from_json

logger = structlog.get_logger(__name__)
MANIFEST_KEY = "op/config"


class WireAdviceRules(Struct):
    """Response times of the advice service and the validity of its tickets."""

    decide_ms: float = field(name="decideMs")
    per_worker_ms: float = field(name="perWorkerMs")
    valid_ms: float = field(name="validMs")


class WireRoute(Struct):
    """The route of a queue.

    :param target_latency_ms: Time that the latency objective adds to ``stretch``
        times the longest chain of steps; not a response time-out.
    """

    name: str
    host: str
    prefix: str = field(name="pathPrefix")
    service: str
    priority: int = 0
    max_attempts: int = field(name="maxAttempts", default=1)
    stretch: float = 1.0
    target_latency_ms: float = field(name="targetLatencyMs", default=0.0)
    advice: WireAdviceRules | None = None


class WireManifest(Struct):
    """One version of the manifest."""

    version: int
    routes: list[WireRoute]


def to_queue(route: WireRoute) -> Queue:
    """Returns the project's representation of a queue."""
    rules = None
    if route.advice is not None:
        rules = AdviceRules(
            decide_s=route.advice.decide_ms / 1000,
            per_worker_s=route.advice.per_worker_ms / 1000,
            valid_s=route.advice.valid_ms / 1000,
        )
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        urgency=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        slack_s=route.target_latency_ms / 1000,
        advice=rules,
    )


def read_manifest(value: bytes) -> Manifest | None:
    """Returns the decoded manifest, or ``None`` if it is malformed."""
    try:
        wire = from_json(value, WireManifest)
    except msgspec.DecodeError as error:
        logger.error(Event.MANIFEST_UNREADABLE, detail=str(error)[:200])
        return None
    return Manifest(
        version=wire.version,
        queues=[to_queue(route) for route in wire.routes],
    )
