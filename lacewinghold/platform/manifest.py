"""The operators' manifest in the platform's store."""

from __future__ import annotations

import msgspec
import structlog
from msgspec import Struct, field

from lacewinghold.events import Event
from lacewinghold.ids import OrganisationId
from lacewinghold.scheduler.ports import (
    AdviceRules,
    Manifest,
    Organisation,
    Queue,
    Resources,
)
from lacewinghold.util.bearer import hash_key
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
    allow_anonymous: bool = field(name="allowAnonymous", default=False)


class WireCap(Struct):
    """The most that an organisation may have running; 0 is unlimited."""

    cpu: int = 0
    mem_mb: int = field(name="memMb", default=0)
    gpus: int = 0


class WireTenant(Struct):
    """An organisation with its keys, share and cap."""

    name: str
    keys: list[str] = field(name="apiKeys", default_factory=list)
    weight: float = 0.0
    cap: WireCap = field(default_factory=WireCap)


class WireManifest(Struct):
    """One version of the manifest."""

    version: int
    routes: list[WireRoute]
    tenants: list[WireTenant] | None = None


def to_organisation(tenant: WireTenant) -> Organisation:
    """Returns the project's representation of an organisation."""
    return Organisation(
        name=OrganisationId(tenant.name),
        key_hashes=frozenset(hash_key(key) for key in tenant.keys),
        weight=tenant.weight,
        cap=Resources(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpus),
    )


def to_queue(route: WireRoute, *, has_organisations: bool = False) -> Queue:
    """Returns the project's representation of a queue.

    :param has_organisations: Whether the manifest has organisations, so that callers
        need keys.
    """
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
        requires_key=has_organisations and not route.allow_anonymous,
    )


def read_manifest(value: bytes) -> Manifest | None:
    """Returns the decoded manifest, or ``None`` if it is malformed."""
    try:
        wire = from_json(value, WireManifest)
    except msgspec.DecodeError as error:
        logger.error(Event.MANIFEST_UNREADABLE, detail=str(error)[:200])
        return None
    organisations = None
    if wire.tenants is not None:
        found = [to_organisation(tenant) for tenant in wire.tenants]
        organisations = {organisation.name: organisation for organisation in found}
    has_organisations = organisations is not None
    return Manifest(
        version=wire.version,
        queues=[
            to_queue(route, has_organisations=has_organisations)
            for route in wire.routes
        ],
        organisations=organisations,
    )
