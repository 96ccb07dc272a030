"""Metrics of an entry instance of a standalone deployment."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
from prometheus_client import CollectorRegistry, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from lacewinghold.invariants import checks, violations
from lacewinghold.schema.generated.jobs import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from prometheus_client.metrics_core import Metric

    from lacewinghold.application import EntryInstance

# From an immediate start to a job that waits through an outage of one hour.
WAIT_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0, 3600.0)
# Prefix of a count: metric, label whose value is the count's last part, help.
LABELLED_COUNTERS = {
    "tasks.ended": ("lacewinghold_tasks_ended", "state", "Tasks ended, by state."),
    "requests": ("lacewinghold_requests", "outcome", "Requests to services."),
}
PLAIN_COUNTERS = {
    "tasks.started": ("lacewinghold_tasks_started", "Tasks seen running first."),
    "tasks.preempted": ("lacewinghold_tasks_preempted", "Stops for urgent work."),
}


class EntryMetrics(Collector):
    """Collects the metrics of one entry instance.

    The name of a metric includes its unit, if it has one.

    :param instance: Its counts are read at each collection.
    """

    def __init__(self, instance: EntryInstance) -> None:
        self.instance = instance
        self.registry = CollectorRegistry()
        self.task_wait = Histogram(
            "lacewinghold_task_wait_seconds",
            "From acceptance to the first report that a task runs.",
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.registry.register(self)

    def refresh(self) -> None:
        """Observes the start waits that the owners recorded since the last refresh."""
        for owner in self.instance.manager.owners.values():
            for wait_s in owner.start_waits_s:
                self.task_wait.observe(wait_s)
            owner.start_waits_s.clear()

    def collect(self) -> Iterable[Metric]:
        """Returns the present counters and gauges."""
        yield from self.collect_counts()
        yield from self.collect_calls()
        yield from self.collect_gauges()

    def collect_counts(self) -> Iterator[Metric]:
        """Returns the counters of the instance and its shard owners."""
        totals = Counter(self.instance.counts)
        totals.update(self.instance.manager.counts)
        for key, (name, label, text) in LABELLED_COUNTERS.items():
            values = {}
            for counted, total in totals.items():
                group, _, value = counted.rpartition(".")
                if group == key:
                    values[value] = total
            yield counter(name, text, label, values)
        for key, (name, text) in PLAIN_COUNTERS.items():
            yield CounterMetricFamily(name, text, value=totals[key])
        yield CounterMetricFamily(
            "lacewinghold_invariant_checks",
            "Checks inside the program.",
            value=checks.total(),
        )
        yield CounterMetricFamily(
            "lacewinghold_invariant_violations",
            "Acts stopped by a check.",
            value=violations.total(),
        )

    def collect_calls(self) -> Iterator[Metric]:
        """Returns the counters of store calls and of bytes sent to peers."""
        yield counter(
            "lacewinghold_store_calls",
            "Calls to the store.",
            "kind",
            {str(kind): n for kind, n in self.instance.ports.store.calls.items()},
        )
        yield counter(
            "lacewinghold_peer_bytes",
            "Bytes sent to other entry instances.",
            "kind",
            {str(kind): size for kind, size in self.instance.peers.bytes_sent.items()},
        )

    def collect_gauges(self) -> Iterator[Metric]:
        """Returns the gauges."""
        instance = self.instance
        for name, text, value in (
            ("tasks_queued", "Tasks that wait.", queue_length(instance)),
            (
                "lease_remaining_seconds",
                "Life of the lease.",
                lease_remaining_s(instance),
            ),
            ("shards_owned", "Shards owned here.", len(instance.manager.owners)),
            ("document_revision", "Revision seen here.", instance.view.revision),
        ):
            yield GaugeMetricFamily(f"lacewinghold_{name}", text, value=value)


def counter(name: str, text: str, label: str, values: Mapping[str, float]) -> Metric:
    """Returns a counter with one value for each value of a label."""
    family = CounterMetricFamily(name, text, labels=[label])
    for value, total in sorted(values.items()):
        family.add_metric([value], total)
    return family


def queue_length(instance: EntryInstance) -> int:
    """Returns the number of queued tasks in the shards that this instance owns."""
    total = 0
    for owner in instance.manager.owners.values():
        for task in owner.tasks.values():
            total += task.state is TaskState.QUEUED
    return total


def lease_remaining_s(instance: EntryInstance) -> float:
    """Returns the seconds for which the store lease is certain to last."""
    return max(0.0, instance.lease.expires_at - anyio.current_time())
