"""The workers that the owner serves, and what they say runs there."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import Incarnation, WorkerId
from lacewinghold.scheduler.driver import MISSED_POLLS_LIMIT, WorkerDriver
from lacewinghold.scheduler.job_store import ROSTER_PREFIX
from lacewinghold.scheduler.model import JobState, Run, RunState, TaskState
from lacewinghold.scheduler.nodes import WorkerNode
from lacewinghold.scheduler.ports import (
    EndKind,
    Resources,
    ServerState,
    WorkerEntry,
)
from lacewinghold.schema.generated.cell import EnrolledWorker, WorkerRoster
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import EndReport, RunReport, WorkerReport

logger = structlog.get_logger(__name__)
WORKER_LEASE_S = 4.0  # Longer than a takeover, shorter than the platform's bound.
ROSTER_PACE_S = 0.5  # A roster names all workers; many come at the same time.
UNKNOWN_JOB_S = 2.0  # The store tells of a job within this time.


class Fleet:
    """Nodes and drivers by worker.

    :param owner: The owner that gives the orders.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.nodes: dict[WorkerId, WorkerNode] = {}
        self.drivers: dict[WorkerId, WorkerDriver] = {}
        self.earlier_workers: list[EnrolledWorker] = []
        self.old_rosters: list[str] = []
        self.rosters = 0
        self.roster_due = False
        self.roster_at = -math.inf

    def halt(self, run: Run) -> None:
        """Stops a run."""
        driver = self.drivers.get(run.worker)
        if driver is not None:
            driver.stop_run(run)

    def update_workers(self) -> None:
        """Follows the workers' entries in the store, once the jobs are loaded.

        What a worker says can be understood only by the jobs and stored ends.
        """
        if not self.owner.loaded:
            return
        entries = self.owner.state.workers
        for enrolled in self.earlier_workers:
            self.add_earlier(enrolled)
        self.earlier_workers = []
        for worker, entry in entries.items():
            node = self.nodes.get(worker)
            if node is not None and node.entry.incarnation != entry.incarnation:
                self.note_dead(self.drivers[worker], "it has started again")
                node = None
            if node is None:
                self.add_node(entry)
                continue
            node.listed = True
            self.roster_due = self.roster_due or node.entry.state is not entry.state
            node.entry = entry
        for worker, node in self.nodes.items():
            if worker not in entries and node.listed:
                node.listed = False
                logger.info(Event.WORKER_UNLISTED, worker=worker, runs=len(node.runs))
        self.write_due_roster()
        self.owner.planning.wake()

    def add_earlier(self, enrolled: EnrolledWorker) -> None:
        """Asks a worker of an earlier owner that is not listed any more."""
        worker = WorkerId(enrolled.worker)
        listed = self.owner.state.workers.get(worker)
        if listed is not None and listed.incarnation == enrolled.incarnation:
            return
        entry = WorkerEntry(
            worker=worker,
            incarnation=Incarnation(enrolled.incarnation),
            service=enrolled.service,
            address=enrolled.address,
            data_centre=enrolled.data_centre,
            state=ServerState.DRAINING,
            capacity=Resources(),
            labels=frozenset(),
        )
        if listed is None:
            self.add_node(entry)

    def write_due_roster(self) -> None:
        """Stores which workers a later owner has to ask; then they may be used.

        It leaves out those on which nothing runs any more: a later owner would wait
        for their leases.
        """
        now = anyio.current_time()
        if not self.roster_due or now < self.roster_at + ROSTER_PACE_S:
            return
        self.roster_due = False
        self.roster_at = now
        self.rosters += 1
        number = self.rosters
        workers = []
        enrolling = []
        for node in self.nodes.values():
            if node.is_drained():
                node.enrolled = False
                node.last_roster_without = number
                continue
            enrolling.append(node)
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

        def stored() -> None:
            for node in enrolling:
                node.enrolled = node.enrolled or number > node.last_roster_without
            # Writes overtake each other; the newest roster alone has to stay.
            newest = max([key, *self.old_rosters])
            found = {key, *self.old_rosters}
            self.owner.log.remove(sorted(found - {newest}))
            self.old_rosters = [newest]
            self.owner.planning.wake()

        value = to_json(WorkerRoster(workers=workers))
        self.owner.log.append_value(key, value, stored)

    def add_node(self, entry: WorkerEntry) -> None:
        """Begins to serve a worker."""
        if self.owner.tasks is None:
            return
        node = WorkerNode(entry)
        driver = WorkerDriver(
            self.owner, node, self.owner.dialer.open(entry), WORKER_LEASE_S
        )
        self.nodes[entry.worker] = node
        self.drivers[entry.worker] = driver
        self.owner.tasks.start_soon(driver.run)
        self.roster_due = True

    def note_silent(self, driver: WorkerDriver) -> None:
        """Notes that a worker did not answer; gives up what surely has lapsed."""
        node = driver.node
        now = anyio.current_time()
        if node.unanswered_calls == 1:
            logger.info(Event.WORKER_SILENT, worker=node.id, runs=len(node.runs))
        gone = not node.listed and now > self.owner.certain_at()
        if node.clock_ms is None:
            if gone:
                self.note_dead(driver, "never answered and is not listed")
            return
        if not node.listed and node.fenced and not node.runs and not node.stray_runs:
            # Whatever was ordered there has surely ended; there is nothing to wait for.
            self.note_dead(driver, "it is not listed and runs nothing")
            return
        if not node.leases_lapsed(now):
            return
        for run in list(node.runs.values()):
            self.owner.runs.release(node, run, EndKind.LAPSED)
        if not node.listed:
            self.note_dead(driver, "its lease has lapsed and it is not listed")

    def note_dead(self, driver: WorkerDriver, reason: str) -> None:
        """Forgets a worker on which nothing runs any more."""
        node = driver.node
        if node.dead:
            return
        node.dead = True
        logger.info(
            Event.WORKER_GONE, worker=node.id, reason=reason, runs=len(node.runs)
        )
        for run in list(node.runs.values()):
            self.owner.runs.release(node, run, EndKind.LAPSED)
        if self.nodes.get(node.id) is node:
            self.owner.pace.forget(node.id)
            del self.nodes[node.id]
            del self.drivers[node.id]
            self.roster_due = True
        driver.cancel_scope.cancel()
        self.owner.planning.wake()

    def apply_report(
        self, driver: WorkerDriver, report: WorkerReport, sent_at: float
    ) -> None:
        """Takes what a worker says: ends first, then what runs.

        :param sent_at: When the look was sent, on the runtime's clock.
        """
        node = driver.node
        now = anyio.current_time()
        usable, used = node.usable(now), node.used
        node.record_clock(report.clock_ms, now)
        if not node.fenced:
            self.note_first_look(node, report)
        listed = {(item.task, item.run) for item in report.runs}
        listed |= {(end.task, end.run) for end in report.ends}
        self.take_ends(driver, report.ends)
        node.stray_runs.intersection_update(listed)
        self.forget_unknown(driver, {task for task, _ in listed})
        for item in report.runs:
            run = node.runs.get((item.task, item.run))
            if run is None:
                self.adopt(driver, item.task, item.run)
            else:
                self.note_progress(node, run, item)
        self.release_missing(node, listed, sent_at)
        number = driver.last_processed_end
        if number > driver.last_acknowledged_end:
            self.owner.log.call_when_stored(lambda: driver.acknowledge(number))
        if usable is not node.usable(now) or used is not node.used:
            self.owner.planning.wake()

    def note_first_look(self, node: WorkerNode, report: WorkerReport) -> None:
        """Notes that a worker refuses earlier owners from now on."""
        node.fenced = True
        # An earlier owner may have renewed the lease until just now.
        node.lease_until_ms = max(
            node.lease_until_ms, report.clock_ms + WORKER_LEASE_S * 1000
        )
        logger.info(
            Event.WORKER_JOINED,
            worker=node.id,
            runs=len(report.runs),
            ends=len(report.ends),
        )

    def take_ends(self, driver: WorkerDriver, ends: list[EndReport]) -> None:
        """Takes the ends that are new, up to the first of a job not known yet."""
        for end in ends:
            if end.number <= driver.last_processed_end:
                continue
            if self.is_unknown(driver, end.task):
                return
            driver.last_processed_end = end.number
            self.owner.runs.apply_end(driver.node, end)

    def forget_unknown(self, driver: WorkerDriver, listed: set[str]) -> None:
        """Forgets unknown tasks that a worker lists no more."""
        for task in driver.unknown_since.keys() - listed:
            del driver.unknown_since[task]

    def note_progress(self, node: WorkerNode, run: Run, item: RunReport) -> None:
        """Takes what a worker says of a run that it was told to start."""
        run.missed_polls = 0
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        spec = run.task.step.spec
        self.owner.pace.record_progress(
            node.id,
            (item.task, item.run),
            item.percent,
            spec.expected_ms / 1000,
            anyio.current_time(),
        )
        if item.checkpoint and spec.checkpoints:
            self.owner.runs.save_checkpoint(run.task, item.checkpoint)

    def release_missing(
        self, node: WorkerNode, listed: set[tuple[str, int]], sent_at: float
    ) -> None:
        """Gives up runs that a worker repeatedly does not list any more."""
        for key, run in list(node.runs.items()):
            if key in listed or not run.orders_settled or run.began_at >= sent_at:
                continue
            run.missed_polls += 1
            if run.missed_polls < MISSED_POLLS_LIMIT:
                continue
            logger.warning(
                Event.RUN_NOT_LISTED, task=key[0], run=key[1], worker=node.id
            )
            self.owner.runs.release(node, run, EndKind.LAPSED)

    def adopt(self, driver: WorkerDriver, task_name: str, number: int) -> None:
        """Takes over a run that an earlier owner has started, or stops it."""
        node = driver.node
        task = self.owner.table.find_task(task_name)
        if task is None:
            node.stray_runs.add((task_name, number))
            if not self.is_unknown(driver, task_name):
                driver.stop_stray(task_name, number)
            return
        run = Run(
            task=task,
            number=number,
            worker=node.id,
            room=task.step.room,
            began_at=anyio.current_time(),
            state=RunState.RUNNING,
            orders_settled=True,
        )
        node.add(run)
        task.last_run_number = max(task.last_run_number, number)
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

    def is_unknown(self, driver: WorkerDriver, task_name: str) -> bool:
        """Returns whether a task's job may still come from the store.

        A job that was accepted while this owner took over is found a little later.
        """
        if self.owner.table.find_task(task_name) is not None:
            return False
        if self.of_ended_job(task_name):
            return False
        now = anyio.current_time()
        since = driver.unknown_since.setdefault(task_name, now)
        return now - since < UNKNOWN_JOB_S

    def jobs_with_runs(self) -> set[str]:
        """Returns the jobs with runs that have not surely ended."""
        found = set()
        for node in self.nodes.values():
            found |= {run.task.step.job.id for run in node.runs.values()}
        return found

    def of_ended_job(self, task_name: str) -> bool:
        """Returns whether a task's job surely has ended, so that it starts no more."""
        return self.owner.ended.has_ended(task_name.partition(".")[0])

    def fullness(self) -> float:
        """Returns the share of all workers' cores that runs take."""
        used = total = 0
        for node in self.nodes.values():
            used += node.used.cpu_millis
            total += node.entry.capacity.cpu_millis
        return used / total if total else 0.0

    def all_fenced(self) -> bool:
        """Returns whether every worker has told this owner all that runs there."""
        for node in self.nodes.values():
            if not node.fenced:
                return False
            if not all(self.of_ended_job(task) for task, _ in node.stray_runs):
                return False
        return bool(self.nodes)
