"""Sends a registry of metrics over statsd."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio
from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry
    from prometheus_client.samples import Sample

    from lacewinghold.schema.generated.settings import Statsd

SEND_INTERVAL_S = 10.0  # The interval at which statsd servers gather.
MAX_PACKET_BYTES = 1400  # Fits one Ethernet frame.
NAMESPACE = "lacewinghold_"


class StatsdSender:
    """Sends what has changed in a registry since the last time.

    :param settings: Where to send it; ``None`` sends nothing.
    :param refresh: Brings the registry up to date; called at each interval, so that
        nothing grows while nothing is sent.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        refresh: Callable[[], None],
        settings: Statsd | None,
        instance: str,
    ) -> None:
        self.registry = registry
        self.refresh = refresh
        self.client: StatsClient | None = None
        if settings is not None:
            self.client = StatsClient(
                settings.host,
                settings.port,
                f"{settings.prefix}.{instance}",
                maxudpsize=MAX_PACKET_BYTES,
            )
        self.sent_values: Counter[str] = Counter()

    async def run(self) -> None:
        """Sends at an interval until cancelled."""
        while True:
            await anyio.sleep(SEND_INTERVAL_S)
            self.send()

    def send(self) -> None:
        """Sends one round in as few packets as possible."""
        self.refresh()
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for family in self.registry.collect():
                for sample in family.samples:
                    self.send_sample(pipeline, family.type, sample)

    def send_sample(self, pipeline: Any, kind: str, sample: Sample) -> None:
        """Adds one value; of what only grows, by how much it has increased."""
        if sample.name.endswith("_created"):
            return
        name = statsd_name(sample)
        if kind == "gauge":
            pipeline.gauge(name, sample.value)
            return
        increase = sample.value - self.sent_values[name]
        if increase:
            pipeline.incr(
                name, int(increase) if increase == int(increase) else increase
            )
        self.sent_values[name] = sample.value  # type: ignore[assignment]


def statsd_name(sample: Sample) -> str:
    """Returns the name of a value: the metric's, then the values of its labels."""
    parts = [sample.name.removeprefix(NAMESPACE)]
    for _, value in sorted(sample.labels.items()):
        parts.append(value.replace(".", "_"))
    return ".".join(parts)
