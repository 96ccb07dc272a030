"""The owner of the cell: recovers its state, then schedules until it loses ownership.

One entry instance at a time is the owner. While another may still believe that it is,
workers refuse orders that carry an older epoch (fencing token).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Ok

from lacewinghold.events import Event
from lacewinghold.organisations.caps import CapPolicy
from lacewinghold.organisations.rates import RateAccount
from lacewinghold.scheduler.confirmation import OwnershipConfirmations
from lacewinghold.scheduler.crashes import CrashRecorder
from lacewinghold.scheduler.durations import DurationModel
from lacewinghold.scheduler.election import TERM_KEY
from lacewinghold.scheduler.end_log import EndLog
from lacewinghold.scheduler.end_waits import EndWaits
from lacewinghold.scheduler.ended_jobs import EndedJobs
from lacewinghold.scheduler.fleet import WORKER_LEASE_S, Fleet
from lacewinghold.scheduler.job_store import JOBS_PREFIX, ROSTER_PREFIX
from lacewinghold.scheduler.job_table import JobTable
from lacewinghold.scheduler.nodes import (
    LAPSE_MARGIN_MS,
    MAX_CLOCK_DRIFT_SHARE,
    WorkerNode,
)
from lacewinghold.scheduler.pace import PaceTracker
from lacewinghold.scheduler.planning import PlanLoop
from lacewinghold.scheduler.ports import is_addressable
from lacewinghold.scheduler.run_learning import RunLearning
from lacewinghold.scheduler.runs import RunLifecycle
from lacewinghold.scheduler.slow_workers import SlowWorkers
from lacewinghold.scheduler.speeds import WorkerSpeeds
from lacewinghold.scheduler.state_account import StateAccount
from lacewinghold.scheduler.suspects import Suspects
from lacewinghold.scheduler.tombstones import TombstoneSweeper
from lacewinghold.scheduler.unknown_jobs import UnknownJobs
from lacewinghold.schema.generated.cell import WorkerRoster
from lacewinghold.store.mirror import Mirror
from lacewinghold.util.clock import lease_time
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.ids import Epoch, WorkerId
    from lacewinghold.scheduler.advice import AdviceBook
    from lacewinghold.scheduler.election import Ownership
    from lacewinghold.scheduler.job_store import JobStore
    from lacewinghold.scheduler.lateness import PlanningShare
    from lacewinghold.scheduler.metrics import CellMetrics
    from lacewinghold.scheduler.ports import Manifest, WorkerDialer, WorkerEntry
    from lacewinghold.schema.generated.cell import (
        CellOwnerRecord,
        EnrolledWorker,
        TaskEndEntry,
    )
    from lacewinghold.store.base import KeyValue
    from lacewinghold.util.clock import WallClock
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
STORE_OUTAGE_GRACE_S = 10.0  # An owner that cannot reach the store goes on this long.
# Members notify the owner of new jobs at once; the store shows those that it missed.
JOB_SYNC_INTERVAL_S = 0.4
LOAD_RETRY_DELAY_S = 0.1
FENCE_CHECK_INTERVAL_S = 0.01
EXPIRY_CHECK_INTERVAL_S = 5.0
MAX_ENTRY_AGE_S = 2.0  # Workers announce their end earlier than that.


class CellState(Struct):
    """State that every instance follows in the store, owner or not."""

    manifest: Manifest | None = None
    workers: dict[WorkerId, WorkerEntry] = {}


class CellOwner:
    """Schedules the cell during one term of ownership.

    :param ownership: The term, with its lease and epoch.
    :param state: Manifest and worker entries, kept up to date by the instance.
    :param worker_mirror: Updates ``state.workers`` while this instance is the owner.
    :param advice_book: Permissions of the advice service to run steps on workers.
    :param status_retention_s: How long an ended job can be queried, in seconds.
    :param planning_share: Measures the share of time that planning takes.
    :param lag: Measures how late this process runs its own timers.
    """

    def __init__(
        self,
        ownership: Ownership,
        jobs: JobStore,
        dialer: WorkerDialer,
        state: CellState,
        worker_mirror: Mirror,
        advice_book: AdviceBook,
        clock: WallClock,
        metrics: CellMetrics,
        status_retention_s: float,
        planning_share: PlanningShare,
        lag: LagMonitor,
    ) -> None:
        self.ownership = ownership
        self.job_store = jobs
        self.dialer = dialer
        self.state = state
        self.worker_mirror = worker_mirror
        self.advice_book = advice_book
        self.clock = clock
        self.metrics = metrics
        self.status_retention_s = status_retention_s
        self.planning_share = planning_share
        self.lag = lag
        self.log = EndLog(jobs, ownership.epoch, ownership.term)
        self.durations = DurationModel()
        self.speeds = WorkerSpeeds()
        self.pace = PaceTracker(self.speeds)
        self.learning = RunLearning(self)
        self.state_account = StateAccount()
        self.ended = EndedJobs(jobs, self.state_account)
        self.table = JobTable(self)
        self.unknown_jobs = UnknownJobs(self)
        self.confirmations = OwnershipConfirmations(self)
        self.suspects = Suspects()
        self.caps = CapPolicy()
        self.end_waits = EndWaits()
        self.rates = RateAccount()
        self.crashes = CrashRecorder(self)
        self.fleet = Fleet(self)
        self.runs = RunLifecycle(self)
        self.planning = PlanLoop(self, speed_of=self.speeds.speed_of)
        self.recovered = False
        self.predecessor_stopped = anyio.Event()
        self.loaded = False
        self.acquired_at = anyio.current_time()
        # No earlier owner renews leases on workers after this time.
        self.earlier_renewals_end_at = self.acquired_at + STORE_OUTAGE_GRACE_S
        self.task_group: TaskGroup | None = None
        self.stored_ends: list[TaskEndEntry] = []
        self.job_mirror = Mirror(
            jobs.store,
            jobs.prefix + JOBS_PREFIX,
            self.table.apply_job_key,
            self.table.apply_record_removal,
            JOB_SYNC_INTERVAL_S,
        )

    @property
    def epoch(self) -> Epoch:
        """Returns the fencing token that all orders to workers carry."""
        return self.ownership.epoch

    def may_renew_leases(self) -> bool:
        """Returns whether leases on workers may be renewed.

        They may also during a store outage, for ``STORE_OUTAGE_GRACE_S``. That counts
        from what the store has confirmed, as it may end the lease before its time.
        """
        return lease_time() < self.ownership.confirmed_at + STORE_OUTAGE_GRACE_S

    def may_send_orders(self) -> bool:
        """Returns whether orders may be sent to workers."""
        return self.may_renew_leases() and not self.ownership.lost.is_set()

    def knows_current_entries(self) -> bool:
        """Returns whether the workers' entries are known as the store has them."""
        if self.worker_mirror.failing:
            return False
        return lease_time() < self.ownership.confirmed_at + MAX_ENTRY_AGE_S

    async def run(self) -> None:
        """Recovers the cell and schedules until the ownership is lost."""
        async with anyio.create_task_group() as tasks:
            self.task_group = tasks
            tasks.start_soon(self.stop_when_lost, tasks)
            await self.load()
            tasks.start_soon(self.job_mirror.run_after_load)
            tasks.start_soon(self.worker_mirror.run_after_load)
            tasks.start_soon(self.log.run)
            tasks.start_soon(self.advice_book.run, tasks)
            self.advice_book.on_answer = self.planning.wake
            self.advice_book.on_renewal_call = self.planning.claim_room
            tasks.start_soon(self.find_unknown_jobs)
            tasks.start_soon(self.confirmations.run)
            self.fleet.update_workers()
            tasks.start_soon(self.wait_for_earlier_runs)
            tasks.start_soon(SlowWorkers(self).run)
            tasks.start_soon(self.delete_expired_jobs)
            tasks.start_soon(TombstoneSweeper(self).run)
            await self.planning.run()

    async def find_unknown_jobs(self) -> None:
        """Loads the outcomes of ended jobs, then looks up what workers list besides."""
        await self.ended.load(self.clock.now())
        self.fleet.apply_withheld_reports()
        self.planning.wake()
        await self.unknown_jobs.run()

    async def delete_expired_jobs(self) -> None:
        """Removes ended jobs from the store after their retention period."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if lease_time() >= self.ownership.valid_until:
                continue
            self.unknown_jobs.retain(self.fleet.unknown_listed_jobs())
            self.table.forget_ended(self.clock.now() - self.status_retention_s)
            self.log.flush()

    async def stop_when_lost(self, tasks: TaskGroup) -> None:
        """Cancels all work of this owner once another instance may be the owner."""
        async with anyio.create_task_group() as waits:
            waits.start_soon(self.cancel_after, self.ownership.lost, waits)
            waits.start_soon(self.cancel_after, self.log.superseded, waits)
        self.ownership.lost.set()
        tasks.cancel_scope.cancel()

    async def cancel_after(self, event: anyio.Event, waits: TaskGroup) -> None:
        """Cancels a group of waits once an event is set."""
        await event.wait()
        waits.cancel_scope.cancel()

    async def load(self) -> None:
        """Loads open jobs, ends of runs, workers and the roster concurrently."""
        async with anyio.create_task_group() as loads:
            loads.start_soon(self.job_mirror.load_until_done)
            loads.start_soon(self.worker_mirror.load_until_done)
            loads.start_soon(self.read_ends)
            loads.start_soon(self.read_roster)
        await self.table.build(self.stored_ends)
        self.log.retain_jobs(self.table.jobs)
        self.loaded = True
        self.metrics.load_seconds.observe(anyio.current_time() - self.acquired_at)
        self.metrics.loaded_jobs.observe(len(self.table.jobs))
        logger.info(
            Event.CELL_LOADED,
            jobs=len(self.table.jobs),
            ends=len(self.stored_ends),
            term=self.ownership.term,
            took_s=round(anyio.current_time() - self.acquired_at, 3),
        )

    async def read_ends(self) -> None:
        """Reads the ends of runs that earlier owners have stored."""
        while True:
            ends = await self.log.load()
            if isinstance(ends, Ok):
                self.stored_ends = ends.ok_value
                return
            await anyio.sleep(LOAD_RETRY_DELAY_S)

    async def read_roster(self) -> None:
        """Reads the roster: the workers on which the predecessor may have runs."""
        while True:
            roster = await self.job_store.store.range(
                self.job_store.prefix + ROSTER_PREFIX, prefix=True
            )
            if isinstance(roster, Ok):
                break
            await anyio.sleep(LOAD_RETRY_DELAY_S)
        for item in sorted(roster.ok_value.items, key=lambda item: item.key):
            self.fleet.stored_roster_keys.append(item.key)
            self.fleet.earlier_workers = read_enrolled_workers(item)

    def record_fenced(self, node: WorkerNode) -> None:
        """Gives up the ownership: a worker has seen a newer owner's epoch."""
        logger.warning(Event.FENCED, worker=node.id, epoch=self.epoch)
        self.ownership.lost.set()

    def record_predecessor_stopped(self, predecessor: CellOwnerRecord) -> None:
        """Records that the previous owner is known, from now on, to have stopped.

        Unless its record says that it was the sole owner, owners before it may still
        renew leases on workers.

        :param predecessor: The stored record of the previous owner.
        """
        if predecessor.alone:
            self.record_earlier_owners_stopped()
            self.record_sole_owner()

    def record_earlier_owners_stopped(self) -> None:
        """Records that all earlier owners are known, from now on, to have stopped."""
        self.predecessor_stopped.set()
        self.earlier_renewals_end_at = min(
            self.earlier_renewals_end_at, anyio.current_time()
        )

    def record_sole_owner(self) -> None:
        """Stores, for the next owner, that no owner before this one is active."""
        record = self.ownership.record
        if record.alone:
            return
        record.alone = True
        key = self.job_store.prefix + TERM_KEY
        self.log.append_value(key, to_json(record), lambda: None)

    async def wait_for_earlier_runs(self) -> None:
        """Waits until all runs of earlier owners are known or have ended.

        They are known once all workers have reported. Runs on workers that do not
        answer have ended once their leases have expired.
        """
        while not self.fleet.earlier_runs_known(
            leases_ended=self.earlier_runs_have_ended()
        ):
            await anyio.sleep(FENCE_CHECK_INTERVAL_S)
        self.recovered = True
        self.record_sole_owner()
        self.metrics.takeover_seconds.observe(anyio.current_time() - self.acquired_at)
        self.stop_partial_gangs()
        logger.info(
            Event.CELL_RECOVERED,
            term=self.ownership.term,
            took_s=round(anyio.current_time() - self.acquired_at, 3),
            workers=len(self.fleet.nodes),
            silent=[node.id for node in self.fleet.nodes.values() if not node.fenced],
        )
        self.planning.wake()

    def earlier_runs_have_ended(self) -> bool:
        """Returns whether all runs on silent workers have certainly ended.

        The store has to confirm it: an owner after this one may have kept them running.
        """
        ended_at = self.earlier_runs_ended_at()
        if anyio.current_time() < ended_at:
            return False
        return self.confirmations.is_confirmed(ended_at)

    def stop_partial_gangs(self) -> None:
        """Stops all-at-once steps of which an earlier owner started only some tasks."""
        for step in self.table.open_steps.values():
            if step.spec.all_at_once and 0 < len(step.active_runs()) < step.spec.tasks:
                self.runs.stop_members(step)

    def earlier_runs_ended_at(self) -> float:
        """Returns the time at which all runs of earlier owners have ended.

        A worker ends its runs when its lease expires. Earlier owners may have renewed
        leases until they were known to have stopped, which can be long after the
        takeover, but for no longer than ``STORE_OUTAGE_GRACE_S``.

        :returns: A time on the event loop's clock.
        """
        lease_s = WORKER_LEASE_S + LAPSE_MARGIN_MS / 1000
        lease_s *= 1 + 2 * MAX_CLOCK_DRIFT_SHARE
        return self.earlier_renewals_end_at + lease_s


def read_enrolled_workers(item: KeyValue) -> list[EnrolledWorker]:
    """Returns the workers of a stored roster to which orders can be sent.

    The previous program version enrolled whatever an entry named.
    """
    found = []
    for enrolled in from_json(item.value, WorkerRoster).workers:
        if not is_addressable(enrolled.worker, enrolled.incarnation):
            logger.warning(
                Event.FOREIGN_WORKER_ENTRY, key=item.key, worker=enrolled.worker
            )
            continue
        found.append(enrolled)
    return found
