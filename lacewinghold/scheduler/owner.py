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
from lacewinghold.scheduler.job_store import JOBS_PREFIX, ROSTER_PREFIX
from lacewinghold.scheduler.job_table import JobTable
from lacewinghold.scheduler.nodes import MAX_CLOCK_DRIFT_SHARE, WorkerNode
from lacewinghold.scheduler.pace import PaceTracker
from lacewinghold.scheduler.planning import PlanLoop
from lacewinghold.scheduler.runs import RunLifecycle
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
CUT_OFF_HOLD_S = 10.0  # An owner goes on this long without the store.
JOBS_PACE_S = 0.4  # Members tell of jobs at once; the store tells of those missed.
LOAD_RETRY_S = 0.1
FENCE_CHECK_S = 0.01
FORGET_INTERVAL_S = 5.0


class CellState(Struct):
    """What an instance knows whether or not it is the owner."""

    manifest: Manifest | None = None
    workers: dict[WorkerId, WorkerEntry] = {}


class CellOwner:
    """Decides under one ownership.

    :param state: Manifest and worker entries, kept up to date by the instance.
    :param workers: Follows the workers' entries into ``state`` while this decides.
    :param status_s: How long an ended job can be asked for, in seconds.
    :param lag: Tells when this process itself is late.
    """

    def __init__(
        self,
        ownership: Ownership,
        jobs: JobStore,
        dialer: WorkerDialer,
        state: CellState,
        workers: Mirror,
        book: AdviceBook,
        clock: WallClock,
        metrics: CellMetrics,
        status_s: float,
        planning_share: PlanningShare,
        lag: LagMonitor,
    ) -> None:
        self.ownership = ownership
        self.job_store = jobs
        self.dialer = dialer
        self.state = state
        self.workers = workers
        self.book = book
        self.clock = clock
        self.metrics = metrics
        self.status_s = status_s
        self.planning_share = planning_share
        self.lag = lag
        self.log = EndLog(jobs, ownership.epoch, ownership.term)
        self.pace = PaceTracker()
        self.ended = EndedJobs(jobs)
        self.table = JobTable(self)
        self.fleet = Fleet(self)
        self.runs = RunLifecycle(self)
        self.planning = PlanLoop(self)
        self.certain = False
        self.earlier_stopped = anyio.Event()
        self.loaded = False
        self.taken_at = anyio.current_time()
        self.tasks: TaskGroup | None = None
        self.stored_ends: list[TaskEndEntry] = []
        self.mirror = Mirror(
            jobs.store,
            jobs.prefix + JOBS_PREFIX,
            self.table.apply_job_key,
            self.table.apply_record_removal,
            JOBS_PACE_S,
        )

    @property
    def epoch(self) -> Epoch:
        """Returns the fencing token of all orders."""
        return self.ownership.epoch

    def may_hold(self) -> bool:
        """Returns whether leases on workers may be renewed."""
        now = anyio.current_time()
        return now < self.ownership.valid_until + CUT_OFF_HOLD_S

    def may_order(self) -> bool:
        """Returns whether workers may be given orders."""
        return self.may_hold() and not self.ownership.lost.is_set()

    async def run(self) -> None:
        """Recovers the cell and decides until the ownership is lost."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.stop_when_lost, tasks)
            await self.load()
            tasks.start_soon(self.mirror.run_loaded)
            tasks.start_soon(self.workers.run_loaded)
            tasks.start_soon(self.log.run)
            tasks.start_soon(self.book.run, tasks)
            self.book.on_answer = self.planning.wake
            self.book.on_renewal_call = self.planning.claim_room
            tasks.start_soon(self.ended.load)
            self.fleet.update_workers()
            tasks.start_soon(self.settle_uncertain)
            tasks.start_soon(SlowWorkers(self).run)
            tasks.start_soon(self.forget_old_jobs)
            await self.planning.run()

    async def forget_old_jobs(self) -> None:
        """Removes jobs from the store once nobody may ask for them any more."""
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            if anyio.current_time() >= self.ownership.valid_until:
                continue
            self.table.forget_ended(self.clock.now() - self.status_s)
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
            loads.start_soon(self.mirror.load_until_done)
            loads.start_soon(self.workers.load_until_done)
            loads.start_soon(self.read_ends)
            loads.start_soon(self.read_roster)
        await self.table.build(self.stored_ends)
        self.log.retain_jobs(self.table.jobs)
        self.loaded = True
        self.metrics.load_seconds.observe(anyio.current_time() - self.taken_at)
        self.metrics.loaded_jobs.observe(len(self.table.jobs))
        logger.info(
            Event.CELL_LOADED,
            jobs=len(self.table.jobs),
            ends=len(self.stored_ends),
            term=self.ownership.term,
            took_s=round(anyio.current_time() - self.taken_at, 3),
        )

    async def read_ends(self) -> None:
        """Reads the ends that earlier owners have stored."""
        while True:
            ends = await self.log.load()
            if isinstance(ends, Ok):
                self.stored_ends = ends.ok_value
                return
            await anyio.sleep(LOAD_RETRY_S)

    async def read_roster(self) -> None:
        """Reads which workers the earlier owner has used."""
        while True:
            roster = await self.job_store.store.range(
                self.job_store.prefix + ROSTER_PREFIX, prefix=True
            )
            if isinstance(roster, Ok):
                break
            await anyio.sleep(LOAD_RETRY_S)
        for item in sorted(roster.ok_value.items, key=lambda item: item.key):
            self.fleet.old_rosters.append(item.key)
            self.fleet.earlier_workers = from_json(item.value, WorkerRoster).workers

    def note_fenced(self, node: WorkerNode) -> None:
        """Notes that a worker has seen a newer owner."""
        logger.warning(Event.FENCED, worker=node.id, epoch=self.epoch)
        self.ownership.lost.set()

    def note_earlier_stopped(self, earlier: CellOwnerRecord) -> None:
        """Notes that the last owner has stopped.

        If it was not alone itself, owners before it may still hold workers.
        """
        if earlier.alone:
            self.earlier_stopped.set()
            self.tell_alone()

    def tell_alone(self) -> None:
        """Stores for the next owner that none before this one can go on."""
        record = self.ownership.record
        if record.alone:
            return
        record.alone = True
        key = self.job_store.prefix + TERM_KEY
        self.log.append_value(key, to_json(record), lambda: None)

    async def settle_uncertain(self) -> None:
        """Waits until no earlier owner's run can be where this one cannot see it."""
        while not self.fleet.all_fenced() and anyio.current_time() < self.certain_at():
            await anyio.sleep(FENCE_CHECK_S)
        self.certain = True
        self.tell_alone()
        self.metrics.takeover_seconds.observe(anyio.current_time() - self.taken_at)
        self.stop_incomplete()
        logger.info(
            Event.CELL_RECOVERED,
            term=self.ownership.term,
            took_s=round(anyio.current_time() - self.taken_at, 3),
            workers=len(self.fleet.nodes),
        )
        self.planning.wake()

    def stop_incomplete(self) -> None:
        """Stops all-at-once runs of which the earlier owner started only a part."""
        for step in self.table.open_steps.values():
            if step.spec.all_at_once and 0 < len(step.active_runs()) < step.spec.tasks:
                self.runs.stop_members(step)

    def certain_at(self) -> float:
        """Returns when runs of earlier owners surely have ended wherever they were.

        An owner that has stopped renews no lease after the takeover; one that may
        go on does so for its hold.
        """
        hold_s = 0.0 if self.earlier_stopped.is_set() else CUT_OFF_HOLD_S
        return self.taken_at + hold_s + WORKER_LEASE_S * (1 + 2 * MAX_CLOCK_DRIFT_SHARE)
