"""Counters and latency histograms of one entry instance of the cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from lacewinghold.scheduler.ports import OrderOutcome

if TYPE_CHECKING:
    from collections import Counter as Counts

    from lacewinghold.store.base import CallKind

# From one call on one machine to the longest deadline of a caller.
CALL_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# From a start at once to a job that waits out an hour's outage.
JOB_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0, 3600.0)
# From a plan of few steps to one that costs the ownership.
TURN_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
# From an empty cell to the backlog of a day.
COUNT_BUCKETS = (10, 30, 100, 300, 1000, 3000, 10_000, 30_000, 100_000)


class CellMetrics:
    """The metrics, with a unit in each name that has one."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.submissions = Counter(
            "lacewinghold_submissions",
            "Submissions by their answer.",
            ["result"],
            registry=registry,
        )
        self.submission_seconds = Histogram(
            "lacewinghold_submission_seconds",
            "From a submission to its answer.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.first_start_seconds = Histogram(
            "lacewinghold_first_start_seconds",
            "From a job's acceptance to its first start.",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.job_seconds = Histogram(
            "lacewinghold_job_seconds",
            "From a job's acceptance to its end.",
            ["state"],
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.runs_ended = Counter(
            "lacewinghold_runs_ended",
            "Runs by how they ended.",
            ["how"],
            registry=registry,
        )
        self.starts = Counter(
            "lacewinghold_starts",
            "Orders to start by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.advice_seconds = Histogram(
            "lacewinghold_advice_seconds",
            "Calls to the advice service.",
            ["result"],
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.choices = Counter(
            "lacewinghold_choices",
            "Workers chosen without a permission, by what became of the choice.",
            ["change"],
            registry=registry,
        )
        self.store_calls = Gauge(
            "lacewinghold_store_calls",
            "Calls to the store since the start, by kind.",
            ["kind"],
            registry=registry,
        )
        self.takeover_seconds = Histogram(
            "lacewinghold_takeover_seconds",
            "From a claim of the ownership until all jobs may be placed.",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.load_seconds = Histogram(
            "lacewinghold_load_seconds",
            "From a claim of the ownership until the cell was loaded.",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.loaded_jobs = Histogram(
            "lacewinghold_loaded_jobs",
            "Jobs that a new owner has loaded.",
            buckets=COUNT_BUCKETS,
            registry=registry,
        )
        self.plan_seconds = Histogram(
            "lacewinghold_plan_seconds",
            "One plan, carried out.",
            buckets=TURN_BUCKETS_S,
            registry=registry,
        )
        self.late_seconds = Histogram(
            "lacewinghold_late_seconds",
            "By how much the process woke up late.",
            buckets=TURN_BUCKETS_S,
            registry=registry,
        )
        self.lag_seconds = Gauge(
            "lacewinghold_lag_seconds",
            "By how much the process is late now, smoothed.",
            registry=registry,
        )
        self.renewal_seconds = Histogram(
            "lacewinghold_renewal_seconds",
            "From when a renewal of the ownership was due to its answer.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.renewal_margin_seconds = Histogram(
            "lacewinghold_renewal_margin_seconds",
            "What was left of the ownership when a renewal was answered.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.excused_calls = Counter(
            "lacewinghold_excused_calls",
            "Calls without an answer while this process was late.",
            ["kind"],
            registry=registry,
        )
        self.hand_overs = Counter(
            "lacewinghold_hand_overs",
            "Ownerships handed to a better instance, by reason.",
            ["reason"],
            registry=registry,
        )
        self.deciding = Gauge(
            "lacewinghold_deciding", "Whether this instance decides.", registry=registry
        )
        self.workers = Gauge(
            "lacewinghold_workers", "Workers that the owner serves.", registry=registry
        )
        self.open_steps = Gauge(
            "lacewinghold_open_steps",
            "Steps that are ready and not done.",
            registry=registry,
        )

    def completed_starts(self) -> float:
        """Returns how many starts workers have carried out."""
        for family in self.starts.collect():
            for sample in family.samples:
                total = sample.name.endswith("_total")
                if total and sample.labels["outcome"] == OrderOutcome.DONE.value:
                    return sample.value
        return 0.0

    def update_store_calls(self, calls: Counts[CallKind]) -> None:
        """Takes over the store's counts."""
        for kind, count in calls.items():
            self.store_calls.labels(kind.value).set(count)

    def render(self) -> bytes:
        """Returns all metrics as text."""
        return generate_latest(self.registry)
