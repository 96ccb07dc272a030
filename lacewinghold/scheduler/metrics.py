"""Counters and latency histograms of one entry instance of the cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from lacewinghold.peers.limits import PEER_COLLECTORS
from lacewinghold.peers.pending import UNMATCHED_MESSAGES
from lacewinghold.scheduler.ports import OrderOutcome
from lacewinghold.util.containment import UNEXPECTED_ERRORS
from lacewinghold.util.http_limits import CLIENT_COLLECTORS
from lacewinghold.util.transfer import DISCARDED_BYTES

if TYPE_CHECKING:
    from collections import Counter as Counts

    from lacewinghold.store.base import CallKind

# From a call within one machine to the longest deadline of a caller.
CALL_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# From an immediate start to a job that waits through an outage of an hour.
JOB_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0, 3600.0)
# From a plan of few steps to one so long that the ownership lapses.
TURN_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
# From a run that takes a tenth of what was expected to one that takes ten times that.
RATIO_BUCKETS = (0.1, 0.2, 0.33, 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 2.0, 3.0, 5.0, 10.0)
# From an empty cell to the backlog of one day.
COUNT_BUCKETS = (10, 30, 100, 300, 1000, 3000, 10_000, 30_000, 100_000)


class CellMetrics:
    """The metrics of the cell; each name carries its unit, if it has one."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        registry.register(UNEXPECTED_ERRORS)
        for collector in (*CLIENT_COLLECTORS, *PEER_COLLECTORS):
            registry.register(collector)
        for collector in (UNMATCHED_MESSAGES, DISCARDED_BYTES):
            registry.register(collector)
        self.submissions = Counter(
            "lacewinghold_submissions",
            "Submissions by result.",
            ["result"],
            registry=registry,
        )
        self.state_bytes = Gauge(
            "lacewinghold_state_bytes",
            "Approximate memory of the jobs that this instance holds as the owner.",
            registry=registry,
        )
        self.state_limit_bytes = Gauge(
            "lacewinghold_state_limit_bytes",
            "Memory of jobs beyond which further jobs are refused.",
            registry=registry,
        )
        self.tombstones = Counter(
            "lacewinghold_tombstones",
            "Cancellations of jobs that are not stored, by result.",
            ["result"],
            registry=registry,
        )
        self.authentications = Counter(
            "lacewinghold_authentications",
            "Checks of callers' keys by result.",
            ["result"],
            registry=registry,
        )
        self.lost_runs = Counter(
            "lacewinghold_lost_runs",
            "Runs on workers that crashed, by why the crash is in doubt as evidence.",
            ["doubt"],
            registry=registry,
        )
        self.jobs_given_up = Counter(
            "lacewinghold_jobs_given_up",
            "Jobs that were shown as failed, by the ground.",
            ["ground"],
            registry=registry,
        )
        self.excess_jobs = Counter(
            "lacewinghold_excess_jobs",
            "Accepted jobs beyond the rate of their organisation.",
            registry=registry,
        )
        self.excess_refusals = Counter(
            "lacewinghold_excess_refusals",
            "Submissions refused because their organisation exceeds its rate.",
            registry=registry,
        )
        self.excess_organisations = Gauge(
            "lacewinghold_excess_organisations",
            "Organisations of whose submissions a share is refused, by its size.",
            ["share"],
            registry=registry,
        )
        self.submission_seconds = Histogram(
            "lacewinghold_submission_seconds",
            "Time from a submission to its answer.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.heartbeat_seconds = Histogram(
            "lacewinghold_heartbeat_seconds",
            "Time from a heartbeat to a peer until its echo is handled.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.first_start_seconds = Histogram(
            "lacewinghold_first_start_seconds",
            "Time from a job's acceptance to its first start.",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.job_seconds = Histogram(
            "lacewinghold_job_seconds",
            "Time from a job's acceptance to its end.",
            ["state"],
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.runs_ended = Counter(
            "lacewinghold_runs_ended",
            "Ended runs by the way they ended.",
            ["how"],
            registry=registry,
        )
        self.starts = Counter(
            "lacewinghold_starts",
            "Start orders by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.preemptions = Counter(
            "lacewinghold_preemptions",
            "Runs stopped so that more urgent work starts.",
            registry=registry,
        )
        self.reservations_ended = Counter(
            "lacewinghold_reservations_ended",
            "Reservations for all-at-once steps that ended without their start.",
            registry=registry,
        )
        self.advice_seconds = Histogram(
            "lacewinghold_advice_seconds",
            "Duration of calls to the advice service.",
            ["result"],
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.choices = Counter(
            "lacewinghold_choices",
            "Workers chosen without a permission, by the later change of the choice.",
            ["change"],
            registry=registry,
        )
        self.store_calls = Gauge(
            "lacewinghold_store_calls",
            "Calls to the store since the process started, by kind.",
            ["kind"],
            registry=registry,
        )
        self.takeover_seconds = Histogram(
            "lacewinghold_takeover_seconds",
            "Time from a claim of the ownership until all jobs may be placed.",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.load_seconds = Histogram(
            "lacewinghold_load_seconds",
            "Time from a claim of the ownership until the cell was loaded.",
            buckets=JOB_BUCKETS_S,
            registry=registry,
        )
        self.loaded_jobs = Histogram(
            "lacewinghold_loaded_jobs",
            "Jobs loaded by a new owner.",
            buckets=COUNT_BUCKETS,
            registry=registry,
        )
        self.plan_seconds = Histogram(
            "lacewinghold_plan_seconds",
            "Duration of one plan, including its execution.",
            buckets=TURN_BUCKETS_S,
            registry=registry,
        )
        self.late_seconds = Histogram(
            "lacewinghold_late_seconds",
            "Delay of the event loop's wake-ups.",
            buckets=TURN_BUCKETS_S,
            registry=registry,
        )
        self.lag_seconds = Gauge(
            "lacewinghold_lag_seconds",
            "Current delay of the event loop, smoothed.",
            registry=registry,
        )
        self.renewal_seconds = Histogram(
            "lacewinghold_renewal_seconds",
            "Time from the due time of an ownership renewal to its answer.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.renewal_margin_seconds = Histogram(
            "lacewinghold_renewal_margin_seconds",
            "Remaining validity of the ownership when a renewal was answered.",
            buckets=CALL_BUCKETS_S,
            registry=registry,
        )
        self.excused_calls = Counter(
            "lacewinghold_excused_calls",
            "Calls without an answer while this process lagged.",
            ["kind"],
            registry=registry,
        )
        self.hand_overs = Counter(
            "lacewinghold_hand_overs",
            "Ownerships handed over to a better suited instance, by reason.",
            ["reason"],
            registry=registry,
        )
        self.run_time_ratio = Histogram(
            "lacewinghold_run_time_ratio",
            "Run times of finished runs relative to an estimate, by estimate.",
            ["estimate"],
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self.runs_moved = Counter(
            "lacewinghold_runs_moved",
            "Runs stopped on a slow worker to run elsewhere.",
            registry=registry,
        )
        self.worker_speed = Gauge(
            "lacewinghold_worker_speed",
            "Learned speed of the slowest and the fastest worker; 1 is typical.",
            ["worker"],
            registry=registry,
        )
        self.slow_workers = Gauge(
            "lacewinghold_slow_workers",
            "Workers that are left alone because they are slow.",
            registry=registry,
        )
        self.deciding = Gauge(
            "lacewinghold_deciding",
            "1 if this instance owns the cell and has loaded it.",
            registry=registry,
        )
        self.workers = Gauge(
            "lacewinghold_workers", "Workers managed by the owner.", registry=registry
        )
        self.open_steps = Gauge(
            "lacewinghold_open_steps",
            "Steps that are ready and not yet done.",
            registry=registry,
        )

    def completed_starts(self) -> float:
        """Returns the number of starts that workers have carried out."""
        for family in self.starts.collect():
            for sample in family.samples:
                total = sample.name.endswith("_total")
                if total and sample.labels["outcome"] == OrderOutcome.DONE.value:
                    return sample.value
        return 0.0

    def update_worker_speeds(self, slowest: float, fastest: float, slow: int) -> None:
        """Sets the range of the workers' speeds and the number of slow workers."""
        self.worker_speed.labels("slowest").set(slowest)
        self.worker_speed.labels("fastest").set(fastest)
        self.slow_workers.set(slow)

    def update_store_calls(self, calls: Counts[CallKind]) -> None:
        """Sets the number of store calls by kind."""
        for kind, count in calls.items():
            self.store_calls.labels(kind.value).set(count)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
