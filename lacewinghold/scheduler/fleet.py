"""The owner's workers: their nodes, their drivers and the runs that they report.

The owner keeps a lease on each worker and polls it. A report lists the runs on the
worker and the ends of runs that the owner has not acknowledged yet.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import ANY_INCARNATION, Incarnation, WorkerId
from lacewinghold.scheduler.driver import MISSED_POLLS_LIMIT, WorkerDriver
from lacewinghold.scheduler.job_store import ROSTER_PREFIX
from lacewinghold.scheduler.job_table import MAX_ORDER_DELAY_S
from lacewinghold.scheduler.model import JobState, Run, RunState, TaskState
from lacewinghold.scheduler.nodes import WorkerNode, unlisted_entry
from lacewinghold.scheduler.ports import (
    MAX_LISTED_ENDS,
    EndKind,
    WorkerEntry,
)
from lacewinghold.schema.generated.cell import EnrolledWorker, WorkerRoster
from lacewinghold.util.clock import lease_time
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import EndReport, RunReport, WorkerReport

logger = structlog.get_logger(__name__)
WORKER_LEASE_S = 4.0  # Longer than a takeover, shorter than the platform's limit.
MAX_LEASE_S = 10.0  # The platform shortens longer ones.
CONFIRMATION_WAIT_S = 0.4  # A silent worker is polled again after this time.
MIN_ROSTER_INTERVAL_S = 0.5  # A roster lists all workers; many join at the same time.


class Fleet:
    """Nodes and drivers by worker.

    A node is the owner's model of a worker; its driver makes the calls.

    :param owner: The owner that sends the orders.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.nodes: dict[WorkerId, WorkerNode] = {}
        self.drivers: dict[WorkerId, WorkerDriver] = {}
        self.earlier_workers: list[EnrolledWorker] = []
        self.stored_roster_keys: list[str] = []
        self.last_roster_number = 0
        self.roster_due = False
        self.roster_written_at = -math.inf

    def stop_run(self, run: Run) -> None:
        """Stops a run, unless its worker is gone."""
        driver = self.drivers.get(run.worker)
        if driver is not None:
            driver.stop_run(run)

    def update_workers(self) -> None:
        """Updates the nodes by the workers' entries in the store.

        Nothing happens before the jobs and stored ends are loaded: without them,
        workers' reports cannot be interpreted.
        """
        if not self.owner.loaded:
            return
        entries = self.owner.state.workers
        for enrolled in self.earlier_workers:
            self.add_unlisted_worker(enrolled)
        self.earlier_workers = []
        for worker, entry in entries.items():
            node = self.nodes.get(worker)
            if node is None:
                self.add_node(entry)
                continue
            node.listed = True
            if node.entry.incarnation != entry.incarnation:
                node.other_entry = entry
                self.drivers[worker].confirm_other_incarnation()
                continue
            node.other_entry = None
            self.roster_due = self.roster_due or node.entry.state is not entry.state
            node.entry = entry
        for worker, node in self.nodes.items():
            if worker not in entries and node.listed:
                node.listed = False
                node.other_entry = None
                logger.info(Event.WORKER_UNLISTED, worker=worker, runs=len(node.runs))
        self.write_roster_if_due()
        self.owner.planning.wake()

    def add_unlisted_worker(self, enrolled: EnrolledWorker) -> None:
        """Adds a worker of an earlier owner that has no entry in the store any more.

        Runs of the earlier owner may still be there. The worker counts as draining,
        so that nothing starts on it. An entry of another incarnation does not tell
        that this one has ended.
        """
        worker = WorkerId(enrolled.worker)
        listed = self.owner.state.workers.get(worker)
        if worker in self.nodes or (
            listed is not None and listed.incarnation == enrolled.incarnation
        ):
            return
        self.add_node(unlisted_entry(enrolled, Incarnation(enrolled.incarnation)))

    def write_roster_if_due(self) -> None:
        """Stores the roster: the workers that a later owner has to poll for runs.

        Runs start only on workers whose roster is stored. The roster leaves out workers
        on which nothing runs any more, as a later owner would wait for their leases.
        """
        now = anyio.current_time()
        if not self.roster_due or now < self.roster_written_at + MIN_ROSTER_INTERVAL_S:
            return
        self.roster_due = False
        self.roster_written_at = now
        self.last_roster_number += 1
        number = self.last_roster_number
        workers = []
        enrolled_nodes = []
        for node in self.nodes.values():
            if node.is_drained():
                node.enrolled = False
                node.last_roster_without = number
                continue
            enrolled_nodes.append(node)
            entry = node.entry
            workers.append(
                EnrolledWorker(
                    worker=entry.worker,
                    incarnation=entry.incarnation,
                    service=entry.service,
                    address=entry.address,
                    data_centre=entry.data_centre,
                )
            )

        term = self.owner.ownership.term
        key = f"{self.owner.job_store.prefix}{ROSTER_PREFIX}{term:08d}/{number:08d}"

        def on_stored() -> None:
            for node in enrolled_nodes:
                node.enrolled = node.enrolled or number > node.last_roster_without
            # Writes may finish out of order; only the newest roster is kept.
            newest = max([key, *self.stored_roster_keys])
            stored_keys = {key, *self.stored_roster_keys}
            self.owner.log.remove(sorted(stored_keys - {newest}))
            self.stored_roster_keys = [newest]
            self.owner.planning.wake()

        value = to_json(WorkerRoster(workers=workers))
        self.owner.log.append_value(key, value, on_stored)

    def add_node(self, entry: WorkerEntry, inherited_runs: Sequence[Run] = ()) -> None:
        """Starts the driver of a new worker.

        :param inherited_runs: Runs that were ordered from its earlier incarnation.
        """
        if self.owner.task_group is None:
            return
        self.owner.crashes.record_entry(entry)
        node = WorkerNode(entry, self.owner.caps.usage)
        for run in inherited_runs:
            run.missed_polls = 0
            node.add(run)
            latest_start = anyio.current_time() + MAX_ORDER_DELAY_S
            node.inherited_lease_until = latest_start + MAX_LEASE_S
        driver = WorkerDriver(
            self.owner, node, self.owner.dialer.open(entry), WORKER_LEASE_S
        )
        self.nodes[entry.worker] = node
        self.drivers[entry.worker] = driver
        self.owner.task_group.start_soon(driver.run)
        self.roster_due = True

    def replace_worker(self, driver: WorkerDriver) -> None:
        """Replaces an incarnation of a worker by a later one, which has answered.

        The later one inherits the runs that it may have been told to start: replies to
        starts do not tell which incarnation has carried them out. Until its entry is
        in the store, it counts as draining.
        """
        node = driver.node
        if node.dead:
            return
        self.owner.crashes.record_crash(node)
        answered = node.entry.incarnation
        entry = node.other_entry or unlisted_entry(node.entry, ANY_INCARNATION)
        inherited = []
        for run in list(node.runs.values()):
            if run.may_start_later() or answered == ANY_INCARNATION:
                node.remove(run)
                inherited.append(run)
        self.remove_worker(driver, "another incarnation answers")
        self.add_node(entry, inherited)
        self.nodes[node.id].listed = node.listed

    async def handle_silence(self, driver: WorkerDriver) -> None:
        """Handles a worker that did not answer a poll.

        Its runs are released once every lease that it was granted has expired, and the
        store has confirmed since that no later owner had claimed the cell by then. A
        later owner may have renewed the lease and acknowledged ends.
        """
        node = driver.node
        node.silent_since = min(node.silent_since, anyio.current_time())
        if node.unanswered_calls == 1:
            logger.info(Event.WORKER_SILENT, worker=node.id, runs=len(node.runs))
        if not node.listed and node.is_idle():
            # All runs that were ordered there have ended, so no lease has to expire.
            self.remove_worker(driver, "it is not listed and runs nothing")
            return
        if node.listed and not (node.runs or node.stray_runs or node.ends_cut_off):
            return
        ended_at = self.leases_end_at(node)
        if anyio.current_time() <= ended_at:
            return
        with anyio.move_on_after(CONFIRMATION_WAIT_S) as wait:
            await self.owner.confirmations.wait_until_confirmed(ended_at)
        if wait.cancelled_caught or node.dead or not node.unanswered_calls:
            return
        if anyio.current_time() <= self.leases_end_at(node):
            return
        self.release_silent_worker(driver)

    def leases_end_at(self, node: WorkerNode) -> float:
        """Returns by when the leases of a silent worker have certainly ended.

        :returns: A time on the runtime's clock.
        """
        ended_at = -math.inf if node.clock_ms is None else node.leases_lapse_at()
        if node.fenced:
            return ended_at
        # Leases by earlier orders are known from the first report on.
        ended_at = max(ended_at, node.inherited_lease_until)
        if node.listed:
            return ended_at
        return max(ended_at, self.owner.earlier_runs_ended_at())

    def release_silent_worker(self, driver: WorkerDriver) -> None:
        """Releases all runs of a silent worker, and removes it unless it is listed."""
        node = driver.node
        reason = "it never reported and is not listed"
        if node.fenced:
            reason = "its lease has expired and it is not listed"
            self.owner.crashes.record_lapse(node)
        self.release_lapsed_runs(node, "lease lapsed")
        node.stray_runs.clear()
        node.ends_cut_off = False
        if not node.listed:
            self.remove_worker(driver, reason)

    def release_lapsed_runs(self, node: WorkerNode, reason: str) -> None:
        """Releases all runs of a worker, which have ended without its report.

        :param reason: Why they count as ended, for the log.
        """
        if node.runs:
            confirmed_ago_s = lease_time() - self.owner.ownership.confirmed_at
            logger.info(
                Event.RUNS_RELEASED,
                worker=node.id,
                runs=len(node.runs),
                reason=reason,
                epoch=self.owner.epoch,
                confirmed_ago_s=round(confirmed_ago_s, 3),
            )
        for run in list(node.runs.values()):
            self.owner.runs.release(node, run, EndKind.LAPSED)

    def remove_worker(self, driver: WorkerDriver, reason: str) -> None:
        """Removes a worker on which nothing runs any more.

        :param reason: Why it is removed, for the log.
        """
        node = driver.node
        if node.dead:
            return
        node.dead = True
        self.owner.crashes.record_removal(node)
        logger.info(
            Event.WORKER_GONE, worker=node.id, reason=reason, runs=len(node.runs)
        )
        self.release_lapsed_runs(node, reason)
        if self.nodes.get(node.id) is node:
            self.owner.pace.forget(node.id)
            self.owner.speeds.forget(node.id)
            del self.nodes[node.id]
            del self.drivers[node.id]
            self.roster_due = True
        driver.cancel_scope.cancel()
        self.owner.planning.wake()

    def apply_report(
        self, driver: WorkerDriver, report: WorkerReport, sent_at: float
    ) -> None:
        """Applies a worker's report: first the ends of runs, then the current runs.

        :param sent_at: When the poll was sent, on the event loop's clock.
        """
        node = driver.node
        now = anyio.current_time()
        usable, used = node.usable(now), node.used
        node.record_clock(report.clock_ms, now)
        node.ends_cut_off = len(report.ends) >= MAX_LISTED_ENDS
        self.owner.crashes.record_report(node)
        if not node.fenced:
            self.record_first_report(node, report)
        running = {(item.task, item.run) for item in report.runs}
        listed = running | {(end.task, end.run) for end in report.ends}
        node.stray_runs &= running
        self.apply_ends(driver, report.ends)
        driver.unknown_tasks &= {task for task, _ in listed}
        for item in report.runs:
            run = node.runs.get((item.task, item.run))
            if run is None:
                self.adopt_run(driver, item.task, item.run)
            else:
                self.record_progress(node, run, item)
        node.fenced = True
        if not node.ends_cut_off:
            self.release_unlisted_runs(node, listed, sent_at)
        number = driver.last_processed_end
        if number > driver.last_acknowledged_end:
            self.owner.log.call_when_stored(lambda: driver.acknowledge(number))
        if usable is not node.usable(now) or used is not node.used:
            self.owner.planning.wake()

    def record_first_report(self, node: WorkerNode, report: WorkerReport) -> None:
        """Records a first answer: the worker refuses earlier owners from now on.

        The caller sets ``node.fenced`` once all of the report is applied.
        """
        # An earlier owner may have renewed the lease until just now.
        inherited_s = node.inherited_lease_until - anyio.current_time()
        node.lease_until_ms = max(
            node.lease_until_ms,
            report.clock_ms + max(WORKER_LEASE_S, inherited_s) * 1000,
        )
        logger.info(
            Event.WORKER_JOINED,
            worker=node.id,
            runs=len(report.runs),
            ends=len(report.ends),
        )

    def apply_ends(self, driver: WorkerDriver, ends: list[EndReport]) -> None:
        """Applies the new ends and withholds those of jobs that may still be loaded.

        Ends are acknowledged in order, so that a withheld end and all that follow it
        are listed again.
        """
        new = [end for end in ends if end.number > driver.last_processed_end]
        driver.node.withheld_ends = new  # In case that applying one of them fails.
        withheld = []
        for end in sorted(new, key=lambda end: end.number):
            if end.number not in driver.applied_ends:
                if self.may_still_load_job(driver, end.task):
                    withheld.append(end)
                    continue
                self.owner.runs.apply_end(driver.node, end)
                driver.applied_ends.add(end.number)
            if not withheld:
                driver.last_processed_end = end.number
        driver.forget_applied_ends()
        driver.node.withheld_ends = withheld
        driver.update_unstored_ends()
        self.request_roster_if_drained(driver.node)

    def request_roster_if_drained(self, node: WorkerNode) -> None:
        """Requests a roster if the present one lists a worker that has drained."""
        if node.enrolled and node.is_drained():
            self.roster_due = True
            self.owner.planning.wake()

    def apply_withheld_reports(self) -> None:
        """Applies what workers have listed of jobs that have become known since.

        A task of such a job must not start before: it may run or have ended already.
        """
        for driver in list(self.drivers.values()):
            node = driver.node
            if node.withheld_ends:
                self.apply_ends(driver, node.withheld_ends)
            for task_name, number in list(node.stray_runs):
                if self.owner.table.find_task(task_name) is not None:
                    self.adopt_run(driver, task_name, number)

    def record_progress(self, node: WorkerNode, run: Run, item: RunReport) -> None:
        """Updates a known run from a worker's report."""
        run.missed_polls = 0
        run.listed = True
        self.owner.crashes.record_progress(run, item.percent)
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self.owner.learning.record_progress(node, run, item.percent)
        if item.checkpoint and run.task.step.spec.checkpoints:
            if item.checkpoint != run.task.checkpoint:
                now = anyio.current_time()
                self.owner.planning.preemptor.record_checkpoint(run, now)
            self.owner.runs.save_checkpoint(run.task, item.checkpoint)

    def release_unlisted_runs(
        self, node: WorkerNode, listed: set[tuple[str, int]], sent_at: float
    ) -> None:
        """Releases runs that are missing from a worker's reports repeatedly.

        A run that began after the poll was sent cannot be in the report.
        """
        for key, run in list(node.runs.items()):
            if key in listed or not run.orders_settled or run.began_at >= sent_at:
                continue
            if not run.missed_polls:
                run.missed_since = anyio.current_time()
            run.missed_polls += 1
            if run.missed_polls < MISSED_POLLS_LIMIT:
                continue
            if not self.may_release_unlisted(node, run):
                continue
            logger.warning(
                Event.RUN_NOT_LISTED, task=key[0], run=key[1], worker=node.id
            )
            self.owner.runs.release(node, run, EndKind.LAPSED)

    def may_release_unlisted(self, node: WorkerNode, run: Run) -> bool:
        """Returns whether no later owner can have acknowledged the end of a run.

        A worker that has seen a later owner's epoch does not answer this one, unless it
        has restarted since. That goes unnoticed where the incarnation is unknown.
        """
        if node.entry.incarnation != ANY_INCARNATION:
            return True
        return self.owner.confirmations.is_confirmed(run.missed_since)

    def adopt_run(self, driver: WorkerDriver, task_name: str, number: int) -> None:
        """Adopts a run that an earlier owner has started, or stops it.

        It is stopped if its job has ended or its task needs no run.
        """
        node = driver.node
        task = self.owner.table.find_task(task_name)
        if task is None:
            node.stray_runs.add((task_name, number))
            if not self.may_still_load_job(driver, task_name):
                driver.stop_stray(task_name, number)
            return
        node.stray_runs.discard((task_name, number))
        run = Run(
            task=task,
            number=number,
            worker=node.id,
            room=task.step.room,
            began_at=anyio.current_time(),
            state=RunState.RUNNING,
            orders_settled=True,
            listed=True,
            confirmed=True,
            adopted=True,
        )
        node.add(run)
        task.last_run_number = max(task.last_run_number, number)
        self.owner.crashes.record_presence(task, number)
        if task.state is not TaskState.WAITING or task.step.job.ended():
            logger.info(
                Event.SUPERFLUOUS_RUN, task=task.name, run=number, worker=node.id
            )
            driver.stop_run(run)
            return
        task.run = run
        task.state = TaskState.PLACED
        task.step.job.started = True
        task.step.job.state = JobState.RUNNING

    def may_still_load_job(self, driver: WorkerDriver, task_name: str) -> bool:
        """Returns whether a task's unknown job may be in the store.

        Requests that the store be asked, unless it has told already.
        """
        if self.owner.table.find_task(task_name) is not None:
            return False
        if self.belongs_to_ended_job(task_name):
            return False
        job = self.owner.job_store.ids.job_of_task(task_name)
        if job is None or self.owner.unknown_jobs.is_absent(job):
            return False
        if task_name not in driver.unknown_tasks:
            driver.unknown_tasks.add(task_name)
            logger.info(
                Event.UNKNOWN_TASK_LISTED, task=task_name, worker=driver.node.id
            )
        self.owner.unknown_jobs.look_up(job)
        return True

    def unknown_listed_jobs(self) -> set[str]:
        """Returns the jobs that workers list and that are, or were, unknown."""
        found = set()
        for driver in self.drivers.values():
            found |= {task.partition(".")[0] for task in driver.unknown_tasks}
        return found

    def jobs_with_runs(self) -> set[str]:
        """Returns the jobs with runs that may not have ended."""
        found = set()
        for node in self.nodes.values():
            found |= {run.task.step.job.id for run in node.runs.values()}
        return found

    def belongs_to_ended_job(self, task_name: str) -> bool:
        """Returns whether a task's job is known to have ended."""
        return self.owner.ended.has_ended(task_name.partition(".")[0])

    def core_utilisation(self) -> float:
        """Returns the share of all workers' cores that runs use."""
        used = total = 0
        for node in self.nodes.values():
            used += node.used.cpu_millis
            total += node.entry.capacity.cpu_millis
        return used / total if total else 0.0

    def earlier_runs_known(self, leases_ended: bool) -> bool:
        """Returns whether all runs of earlier owners are known or have ended.

        Those of unknown jobs may still be of a job that is in the store. A worker that
        answers keeps its runs, so that only a silent one's end with its leases. Ends of
        unknown jobs need no wait: they are applied as soon as their jobs are known.

        :param leases_ended: Whether the leases of earlier owners have surely ended.
        """
        if not self.nodes and not leases_ended:
            return False
        for node in self.nodes.values():
            if not node.fenced and not leases_ended:
                return False
            if node.ends_cut_off:
                return False
            if not all(self.belongs_to_ended_job(task) for task, _ in node.stray_runs):
                return False
        return True
