"""The owner of the cell: recovers it and decides until it no longer may."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Ok

from lacewinghold.events import Event
from lacewinghold.scheduler.election import TERM_KEY
from lacewinghold.scheduler.end_log import EndLog
from lacewinghold.scheduler.ended_jobs import EndedJobs
from lacewinghold.scheduler.fleet import WORKER_LEASE_S, Fleet
from lacewinghold.scheduler.job_store import JOBS, ROSTER
from lacewinghold.scheduler.job_table import JobTable
from lacewinghold.scheduler.nodes import CLOCK_DRIFT, WorkerNode
from lacewinghold.scheduler.pace import PaceBook
from lacewinghold.scheduler.planning import PlanLoop
from lacewinghold.scheduler.runs import Runs
from lacewinghold.scheduler.slow_workers import SlowWorkers
from lacewinghold.schema.generated.cell import WorkerRoster
from lacewinghold.store.mirror import Mirror
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
    from lacewinghold.schema.generated.cell import CellOwnerRecord, TaskEndEntry
    from lacewinghold.util.clock import WallClock
    from lacewinghold.util.lag import LagMonitor

logger = structlog.get_logger(__name__)
STORE_OUTAGE_GRACE_S = 10.0  # An owner goes on this long without the store.
JOB_SYNC_INTERVAL_S = (
    0.4  # Members tell of jobs at once; the store tells of those missed.
)
LOAD_RETRY_DELAY_S = 0.1
FENCE_CHECK_INTERVAL_S = 0.01
EXPIRY_CHECK_INTERVAL_S = 5.0


class CellState(Struct):
    """What an instance knows whether or not it is the owner."""

    manifest: Manifest | None = None
    workers: dict[WorkerId, WorkerEntry] = {}


class CellOwner:
    """Decides under one ownership.

    :param state: Manifest and worker entries, kept up to date by the instance.
    :param worker_mirror: Updates ``state.workers`` while this instance decides.
    :param status_retention_s: How long an ended job can be asked for, in seconds.
    :param lag: Tells when this process itself is late.
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
        self.pace = PaceBook()
        self.ended = EndedJobs(jobs)
        self.table = JobTable(self)
        self.fleet = Fleet(self)
        self.runs = Runs(self)
        self.planning = PlanLoop(self)
        self.recovered = False
        self.predecessor_stopped = anyio.Event()
        self.loaded = False
        self.acquired_at = anyio.current_time()
        self.task_group: TaskGroup | None = None
        self.stored_ends: list[TaskEndEntry] = []
        self.job_mirror = Mirror(
            jobs.store,
            jobs.prefix + JOBS,
            self.table.note_job_key,
            self.table.note_job_gone,
            JOB_SYNC_INTERVAL_S,
        )

    @property
    def epoch(self) -> Epoch:
        """Returns the fencing token of all orders."""
        return self.ownership.epoch

    def may_renew_leases(self) -> bool:
        """Returns whether leases on workers may be renewed."""
        now = anyio.current_time()
        return now < self.ownership.valid_until + STORE_OUTAGE_GRACE_S

    def may_send_orders(self) -> bool:
        """Returns whether workers may be given orders."""
        return self.may_renew_leases() and not self.ownership.lost.is_set()

    async def run(self) -> None:
        """Recovers the cell and decides until the ownership is lost."""
        async with anyio.create_task_group() as tasks:
            self.task_group = tasks
            tasks.start_soon(self.stop_when_lost, tasks)
            await self.load()
            tasks.start_soon(self.job_mirror.run_loaded)
            tasks.start_soon(self.worker_mirror.run_loaded)
            tasks.start_soon(self.log.run)
            tasks.start_soon(self.advice_book.run, tasks)
            self.advice_book.on_arrival = self.planning.wake
            self.advice_book.on_renewal = self.planning.claim
            tasks.start_soon(self.ended.load)
            self.fleet.update_workers()
            tasks.start_soon(self.wait_for_earlier_runs)
            tasks.start_soon(SlowWorkers(self).run)
            tasks.start_soon(self.delete_expired_jobs)
            await self.planning.run()

    async def delete_expired_jobs(self) -> None:
        """Removes jobs from the store once nobody may ask for them any more."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if anyio.current_time() >= self.ownership.valid_until:
                continue
            self.table.forget_ended(self.clock.now() - self.status_retention_s)
            self.log.flush()

    async def stop_when_lost(self, tasks: TaskGroup) -> None:
        """Ends everything once another instance may decide."""
        async with anyio.create_task_group() as waits:
            waits.start_soon(self.cancel_after, self.ownership.lost, waits)
            waits.start_soon(self.cancel_after, self.log.superseded, waits)
        self.ownership.lost.set()
        tasks.cancel_scope.cancel()

    async def cancel_after(self, event: anyio.Event, waits: TaskGroup) -> None:
        """Ends a group of waits once one event has come."""
        await event.wait()
        waits.cancel_scope.cancel()

    async def load(self) -> None:
        """Reads open jobs, stored ends, workers and the roster at the same time."""
        async with anyio.create_task_group() as loads:
            loads.start_soon(self.job_mirror.load_until_done)
            loads.start_soon(self.worker_mirror.load_until_done)
            loads.start_soon(self.read_ends)
            loads.start_soon(self.read_roster)
        await self.table.build(self.stored_ends)
        self.log.keep_only(self.table.jobs)
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
        """Reads the ends that earlier owners have stored."""
        while True:
            ends = await self.log.load()
            if isinstance(ends, Ok):
                self.stored_ends = ends.ok_value
                return
            await anyio.sleep(LOAD_RETRY_DELAY_S)

    async def read_roster(self) -> None:
        """Reads which workers the earlier owner has used."""
        while True:
            roster = await self.job_store.store.range(
                self.job_store.prefix + ROSTER, prefix=True
            )
            if isinstance(roster, Ok):
                break
            await anyio.sleep(LOAD_RETRY_DELAY_S)
        for item in sorted(roster.ok_value.items, key=lambda item: item.key):
            self.fleet.stored_roster_keys.append(item.key)
            self.fleet.earlier_workers = from_json(item.value, WorkerRoster).workers

    def record_fenced(self, node: WorkerNode) -> None:
        """Notes that a worker has seen a newer owner."""
        logger.warning(Event.FENCED, worker=node.id, epoch=self.epoch)
        self.ownership.lost.set()

    def record_predecessor_stopped(self, earlier: CellOwnerRecord) -> None:
        """Notes that the last owner has stopped.

        If it was not alone itself, owners before it may still hold workers.
        """
        if earlier.alone:
            self.predecessor_stopped.set()
            self.record_sole_owner()

    def record_sole_owner(self) -> None:
        """Stores for the next owner that none before this one can go on."""
        record = self.ownership.record
        if record.alone:
            return
        record.alone = True
        key = self.job_store.prefix + TERM_KEY
        self.log.note_value(key, to_json(record), lambda: None)

    async def wait_for_earlier_runs(self) -> None:
        """Waits until no earlier owner's run can be where this one cannot see it."""
        while (
            not self.fleet.all_workers_reported()
            and anyio.current_time() < self.earlier_runs_ended_at()
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
        )
        self.planning.wake()

    def stop_partial_gangs(self) -> None:
        """Stops all-at-once runs of which the earlier owner started only a part."""
        for step in self.table.open_steps.values():
            if step.spec.all_at_once and 0 < len(step.runs()) < step.spec.tasks:
                self.runs.stop_members(step)

    def earlier_runs_ended_at(self) -> float:
        """Returns when runs of earlier owners surely have ended wherever they were.

        An owner that has stopped renews no lease after the takeover; one that may
        go on does so for its hold.
        """
        hold_s = 0.0 if self.predecessor_stopped.is_set() else STORE_OUTAGE_GRACE_S
        return self.acquired_at + hold_s + WORKER_LEASE_S * (1 + 2 * CLOCK_DRIFT)
