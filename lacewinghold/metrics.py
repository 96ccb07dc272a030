"""Metrics of an entry instance over statsd, computed at an interval."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
from statsd import StatsClient

from lacewinghold.invariants import checks, violations
from lacewinghold.schema.generated.jobs import TaskState

if TYPE_CHECKING:
    from lacewinghold.application import EntryInstance
    from lacewinghold.schema.generated.settings import Statsd

INTERVAL_S = 10.0
MAX_PACKET_BYTES = 1400
NAMES = (
    "tasks.wait",
    "tasks.started",
    "tasks.ended.{state}",
    "tasks.queued",
    "requests.{outcome}",
    "store.calls.{kind}",
    "peers.bytes.{kind}",
    "lease.remaining",
    "shards.owned",
    "document.revision",
    "invariants.checks",
    "invariants.violations",
)


class Reporter:
    """Sends what changed since the last time.

    :param settings: Where to send it; ``None`` drops it, so that nothing grows.
    """

    def __init__(self, instance: EntryInstance, settings: Statsd | None) -> None:
        self.instance = instance
        self.client: StatsClient | None = None
        if settings is not None:
            self.client = StatsClient(
                settings.host,
                settings.port,
                f"{settings.prefix}.{instance.settings.instance}",
                maxudpsize=MAX_PACKET_BYTES,
            )
        self.sent: Counter[str] = Counter()

    async def run(self) -> None:
        """Reports at an interval until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Sends one round in as few packets as possible."""
        waits = self.take_waits()
        if self.client is None:
            return
        totals = self.totals()
        with self.client.pipeline() as pipeline:
            for name, total in sorted(totals.items()):
                if total != self.sent[name]:
                    pipeline.incr(name, total - self.sent[name])
            for name, value in self.gauges().items():
                pipeline.gauge(name, value)
            for wait_s in waits:
                pipeline.timing("tasks.wait", wait_s * 1000)
        self.sent = totals

    def take_waits(self) -> list[float]:
        """Returns how long tasks waited that started since the last time."""
        found: list[float] = []
        for owner in self.instance.manager.owners.values():
            found += owner.waits
            owner.waits.clear()
        return found

    def totals(self) -> Counter[str]:
        """Returns the counts since the instance started."""
        instance = self.instance
        found: Counter[str] = Counter()
        found.update(instance.counts)
        found.update(instance.manager.counts)
        for call, count in instance.ports.store.calls.items():
            found[f"store.calls.{call}"] = count
        for kind, size in instance.peers.bytes_sent.items():
            found[f"peers.bytes.{kind}"] = size
        found["invariants.checks"] = checks.total()
        found["invariants.violations"] = violations.total()
        return found

    def gauges(self) -> dict[str, float]:
        """Returns the present values."""
        instance = self.instance
        return {
            "tasks.queued": queue_length(instance),
            "lease.remaining": lease_remaining_s(instance),
            "shards.owned": len(instance.manager.owners),
            "document.revision": instance.view.revision,
        }


def queue_length(instance: EntryInstance) -> int:
    """Returns how many tasks wait in the shards owned here."""
    total = 0
    for owner in instance.manager.owners.values():
        for task in owner.tasks.values():
            total += task.state is TaskState.QUEUED
    return total


def lease_remaining_s(instance: EntryInstance) -> float:
    """Returns how long the store lease surely stands, in seconds."""
    return max(0.0, instance.lease.expires_at - anyio.current_time())
