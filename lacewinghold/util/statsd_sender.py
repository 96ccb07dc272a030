"""Sends the metrics of a registry to statsd."""

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

SEND_INTERVAL_S = 10.0  # Flush interval of statsd servers.
MAX_PACKET_BYTES = 1400  # Fits one Ethernet frame.
NAMESPACE = "lacewinghold_"


class StatsdSender:
    """Sends gauges, and the increases of counters since the previous round.

    :param settings: Statsd server; ``None`` disables sending.
    :param refresh: Updates the registry. It is called in each round even if sending
        is disabled, so that unprocessed values do not accumulate.
    :param instance: Name of the instance, part of the prefix of each metric.
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
        """Sends periodically until cancelled."""
        while True:
            await anyio.sleep(SEND_INTERVAL_S)
            self.send()

    def send(self) -> None:
        """Sends one round, batched into as few packets as possible."""
        self.refresh()
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for family in self.registry.collect():
                for sample in family.samples:
                    self.send_sample(pipeline, family.type, sample)

    def send_sample(self, pipeline: Any, kind: str, sample: Sample) -> None:
        """Adds one gauge value, or the increase of a counter."""
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
    """Returns the statsd name: the metric's name, then its label values."""
    parts = [sample.name.removeprefix(NAMESPACE)]
    for _, value in sorted(sample.labels.items()):
        parts.append(value.replace(".", "_"))
    return ".".join(parts)
