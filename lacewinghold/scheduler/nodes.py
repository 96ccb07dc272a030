"""The owner's view of a worker: resources, clock, lease and health."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING
from zlib import crc32

from lacewinghold.ids import WorkerId
from lacewinghold.invariants import Invariant, require
from lacewinghold.organisations.caps import UsageAccount
from lacewinghold.scheduler.ports import Resources, ServerState, WorkerEntry

if TYPE_CHECKING:
    from lacewinghold.ids import Incarnation
    from lacewinghold.scheduler.crashes import LostRun
    from lacewinghold.scheduler.model import Run
    from lacewinghold.scheduler.ports import EndReport
    from lacewinghold.schema.generated.cell import EnrolledWorker

MAX_CLOCK_DRIFT_SHARE = 0.02  # Most that workers' clocks lose, by the platform's rules.
LAPSE_MARGIN_MS = 100  # A worker may notice the end of its lease a little late.
SUSPECT_AFTER_FAILURES = 2  # Consecutive failed runs of different jobs.
REFUSED_PAUSE_S = 0.5  # Until the entry, which tells the capacity, is likely known.
QUARANTINE_S = 4.0  # Faults that make a worker fail its runs last about this long.


class UnusableReason(StrEnum):
    """Why tasks may not be started on a worker."""

    SILENT = "silent"
    DRAINING = "draining"
    REPLACED = "replaced"
    NOT_IN_ROSTER = "not in the stored roster"
    UNKNOWN_RUNS = "runs of unknown jobs"
    QUARANTINED = "quarantined"
    REFUSED_A_START = "has refused a start for want of room"


class WorkerNode:
    """One incarnation of a worker.

    :param entry: The worker's own description of itself.
    :param usage: Account of what organisations have running on all workers.
    """

    def __init__(self, entry: WorkerEntry, usage: UsageAccount | None = None) -> None:
        self.entry = entry
        self.usage = usage or UsageAccount()
        self.id_hash = crc32(entry.worker.encode())
        self.listed = True
        self.fenced = False  # Whether a report to this owner has been applied.
        self.enrolled = False  # Whether a stored roster lists it.
        self.last_roster_without = 0  # Number of that roster; 0 if there was none.
        self.stray_runs: set[tuple[str, int]] = set()
        # Listed ends that cannot be applied yet, since their jobs are unknown.
        self.withheld_ends: list[EndReport] = []
        self.ends_unstored = False  # Whether ends have been applied but not stored.
        self.ends_cut_off = False  # Whether the last report had no room for all ends.
        # The present entry in the store, if it is of another incarnation.
        self.other_entry: WorkerEntry | None = None
        self.replaced = False  # Whether another incarnation has answered.
        self.dead = False
        self.runs: dict[tuple[str, int], Run] = {}
        self.lapsed_runs: list[LostRun] = []  # Released since the last answer.
        self.used = Resources()
        self.lasting = Resources()  # Used by long-running tasks.
        self.clock_ms: float | None = None
        self.clock_read_at = 0.0
        self.lease_until_ms = 0.0
        # Until when a start order for the earlier incarnation may hold a lease here.
        self.inherited_lease_until = -math.inf
        # Replies to starts and stops may be of its next incarnation, reports are not.
        self.last_report_at = -math.inf
        self.silent_since = math.inf
        # Whether its entry was known to be current at the last report or start.
        self.entry_current = False
        self.unanswered_calls = 0
        self.failed_jobs: list[str] = []
        self.quarantined_until = -math.inf
        self.full_until = -math.inf
        self.slow = False
        self.serving_runs = 0
        self.filling_runs = 0

    @property
    def id(self) -> WorkerId:
        """Returns the worker's id."""
        return self.entry.worker

    def free(self) -> Resources:
        """Returns the resources that no run has taken."""
        return self.entry.capacity.minus(self.used)

    def usable(self, now: float) -> bool:
        """Returns whether tasks may be started on the worker."""
        return self.unusable_reason(now) is None

    def unusable_reason(self, now: float) -> UnusableReason | None:
        """Returns why no tasks may be started on the worker, ``None`` if they may."""
        if self.dead or self.replaced or self.other_entry is not None:
            return UnusableReason.REPLACED
        if not self.listed or self.entry.state is not ServerState.READY:
            return UnusableReason.DRAINING
        if not self.fenced or self.unanswered_calls != 0:
            return UnusableReason.SILENT
        if not self.enrolled:
            return UnusableReason.NOT_IN_ROSTER
        if self.stray_runs:
            return UnusableReason.UNKNOWN_RUNS
        if now < self.quarantined_until:
            return UnusableReason.QUARANTINED
        if now < self.full_until:
            return UnusableReason.REFUSED_A_START
        return None

    def is_idle(self) -> bool:
        """Returns whether nothing runs, and all that the worker listed is stored."""
        if not self.fenced or self.withheld_ends or self.ends_cut_off:
            return False
        if self.ends_unstored:
            return False
        return not self.runs and not self.stray_runs

    def is_drained(self) -> bool:
        """Returns whether nothing runs, nor can start before the worker is ready."""
        return self.is_idle() and self.entry.state is not ServerState.READY

    def add(self, run: Run) -> None:
        """Books the resources of a run.

        :raises InvariantViolation: If it exceeds the capacity.
        """
        self.runs[(run.task.name, run.number)] = run
        self.used = self.used.plus(run.room)
        self.update_kinds(run, 1)
        self.usage.add(run)

    def update_kinds(self, run: Run, change: int) -> None:
        """Adjusts what is known of latency-sensitive, filler and long-running runs.

        :param change: 1 for a run that was added, -1 for one that was removed.
        """
        spec = run.task.step.spec
        self.serving_runs += change * (spec.latency_target_ms > 0)
        self.filling_runs += change * spec.fills
        if spec.long_running:
            self.lasting = self.lasting.plus(run.room.times(change))

    def is_within_capacity(self) -> bool:
        """Returns whether the runs fit; the capacity may have shrunk beneath them."""
        return self.used.within(self.entry.capacity)

    def check_capacity(self) -> None:
        """Asserts that the runs fit on the worker."""
        require(Invariant.CAPACITY, self.is_within_capacity(), str(self.id))

    def remove(self, run: Run) -> None:
        """Releases the resources of a run."""
        del self.runs[(run.task.name, run.number)]
        self.used = self.used.minus(run.room)
        self.update_kinds(run, -1)
        self.usage.remove(run)

    def record_clock(self, clock_ms: float, now: float) -> None:
        """Records the worker's clock from an answer that has just arrived.

        A reading below the earliest possible time is ignored: its answer was delayed.

        :param clock_ms: The reading, in ms on the worker's clock.
        :param now: Time on the runtime's clock, in seconds.
        """
        self.unanswered_calls = 0
        if self.clock_ms is not None and clock_ms < self.earliest_clock_ms(now):
            return
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def earliest_clock_ms(self, now: float) -> float:
        """Returns the time in ms that the worker's clock has reached at least."""
        assert self.clock_ms is not None
        return self.clock_ms + (now - self.clock_read_at) * 1000 * (
            1 - MAX_CLOCK_DRIFT_SHARE
        )

    def lease_end_ms(self, lease_s: float, now: float) -> float:
        """Returns when a lease that begins now ends, in ms on the worker's clock."""
        return math.floor(self.earliest_clock_ms(now) + lease_s * 1000)

    def leases_lapsed(self, now: float) -> bool:
        """Returns whether all leases requested for the worker have certainly ended."""
        return self.clock_ms is not None and now > self.leases_lapse_at()

    def leases_lapse_at(self) -> float:
        """Returns by when all leases requested for the worker have certainly ended.

        :returns: A time on the runtime's clock.
        """
        assert self.clock_ms is not None
        remaining_ms = self.lease_until_ms + LAPSE_MARGIN_MS - self.clock_ms
        slowest = 1000 * (1 - MAX_CLOCK_DRIFT_SHARE)  # In ms per second.
        return self.clock_read_at + max(0.0, remaining_ms) / slowest

    def record_failure(self, job: str, now: float) -> bool:
        """Records a failed run.

        :returns: Whether the worker is now quarantined.
        """
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
        if len(self.failed_jobs) < SUSPECT_AFTER_FAILURES:
            return False
        self.failed_jobs.clear()
        self.quarantined_until = now + QUARANTINE_S
        return True

    def record_no_room(self, now: float) -> None:
        """Records a refused start: the worker has less room than is known."""
        self.full_until = now + REFUSED_PAUSE_S

    def record_success(self) -> None:
        """Records a run that succeeded."""
        self.failed_jobs.clear()


def unlisted_entry(
    known: EnrolledWorker | WorkerEntry, incarnation: Incarnation
) -> WorkerEntry:
    """Returns an entry for a worker without one. It counts as draining."""
    return WorkerEntry(
        worker=WorkerId(known.worker),
        incarnation=incarnation,
        service=known.service,
        address=known.address,
        data_centre=known.data_centre,
        state=ServerState.DRAINING,
        capacity=Resources(),
        labels=frozenset(),
    )
