"""The owner of the cell: decides what runs where and sees it through."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Ok

from lacewinghold.ids import Incarnation, WorkerId
from lacewinghold.invariants import Invariant, require
from lacewinghold.scheduler.driver import LOST_LOOKS, WorkerDriver
from lacewinghold.scheduler.end_log import EndLog
from lacewinghold.scheduler.job_store import JOBS, ROSTER, JobKey
from lacewinghold.scheduler.model import (
    Job,
    JobState,
    Run,
    RunState,
    Step,
    Task,
    TaskState,
    is_ready,
    make_job,
)
from lacewinghold.scheduler.nodes import CLOCK_DRIFT, WorkerNode
from lacewinghold.scheduler.pace import STUCK_SHARE, PaceBook
from lacewinghold.scheduler.policy import Planner, fullness
from lacewinghold.scheduler.ports import (
    EndKind,
    OrderOutcome,
    Resources,
    ServerState,
    WorkerEntry,
    stored_queue,
)
from lacewinghold.schema.generated.cell import (
    CellJob,
    EnrolledWorker,
    JobOutcome,
    TaskEndEntry,
    WorkerRoster,
)
from lacewinghold.store.mirror import Mirror
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import Epoch
    from lacewinghold.scheduler.advice import AdviceBook
    from lacewinghold.scheduler.election import Ownership
    from lacewinghold.scheduler.job_store import JobStore
    from lacewinghold.scheduler.metrics import CellMetrics
    from lacewinghold.scheduler.ports import (
        EndReport,
        Manifest,
        Queue,
        WorkerDialer,
        WorkerReport,
    )
    from lacewinghold.store.base import KeyValue
    from lacewinghold.util.clock import WallClock

logger = structlog.get_logger(__name__)
WORKER_LEASE_S = 4.0  # Longer than a takeover, shorter than the platform's bound.
CUT_OFF_HOLD_S = 10.0  # An owner goes on this long without the store.
RUNS_PER_TERM = 1000  # Run numbers of a term; a task starts far less often.
PLAN_PAUSE_S = 0.008  # Events that come together are planned together.
PLAN_INTERVAL_S = 0.5  # Plans are made this often even without an event.
JOBS_PACE_S = 0.4  # Members tell of jobs at once; the store tells of those missed.
LOAD_RETRY_S = 0.1
PACE_INTERVAL_S = 0.25
MOVE_GAIN = 1.8  # A restart elsewhere has to save this much of a run.
UNKNOWN_JOB_S = 2.0  # The store tells of a job within this time.


class CellState(Struct):
    """What an instance knows whether or not it is the owner."""

    manifest: Manifest | None = None
    workers: dict[WorkerId, WorkerEntry] = {}


class CellOwner:
    """Decides under one ownership.

    :param state: Manifest and worker entries, kept up to date by the instance.
    """

    def __init__(
        self,
        ownership: Ownership,
        jobs: JobStore,
        dialer: WorkerDialer,
        state: CellState,
        book: AdviceBook,
        clock: WallClock,
        metrics: CellMetrics,
    ) -> None:
        self.ownership = ownership
        self.job_store = jobs
        self.dialer = dialer
        self.state = state
        self.book = book
        self.clock = clock
        self.metrics = metrics
        self.log = EndLog(jobs, ownership.epoch, ownership.term)
        self.jobs: dict[str, Job] = {}
        self.steps: dict[str, Step] = {}
        self.open_steps: dict[str, Step] = {}
        self.due_later: dict[str, Job] = {}
        self.earlier_workers: list[EnrolledWorker] = []
        self.nodes: dict[WorkerId, WorkerNode] = {}
        self.drivers: dict[WorkerId, WorkerDriver] = {}
        self.wake = anyio.Event()
        self.certain = False
        self.earlier_stopped = anyio.Event()
        self.loaded = False
        self.taken_at = anyio.current_time()
        self.tasks: TaskGroup | None = None
        self.pace = PaceBook()
        self.mirror = Mirror(
            jobs.store,
            jobs.prefix + JOBS,
            self.note_job_key,
            self.note_job_gone,
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
            tasks.start_soon(self.log.run)
            tasks.start_soon(self.book.run, tasks)
            self.book.on_arrival = self.wake_planner
            self.update_workers()
            tasks.start_soon(self.settle_uncertain)
            tasks.start_soon(self.watch_pace)
            await self.plan_forever()

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
        """Reads the jobs and the ends of earlier owners."""
        await self.mirror.load_until_done()
        while True:
            ends = await self.log.load()
            roster = await self.job_store.store.range(self.job_store.prefix + ROSTER)
            if isinstance(ends, Ok) and isinstance(roster, Ok):
                break
            await anyio.sleep(LOAD_RETRY_S)
        for entry in ends.ok_value:
            self.replay(entry)
        for item in roster.ok_value.items:
            self.earlier_workers = from_json(item.value, WorkerRoster).workers
        self.loaded = True
        for job in list(self.jobs.values()):
            if job.cancelled:
                self.cancel(job)
            self.refresh_job(job)
        logger.info(
            "cell loaded",
            jobs=len(self.jobs),
            ends=len(ends.ok_value),
            term=self.ownership.term,
            took_s=round(anyio.current_time() - self.taken_at, 3),
        )

    def replay(self, entry: TaskEndEntry) -> None:
        """Applies an end that an earlier owner has stored."""
        task = self.find_task(entry.task)
        if task is None or task.state is TaskState.DONE:
            return
        task.last_run = max(task.last_run, entry.run)
        if entry.done:
            self.complete(task)
        else:
            self.count_failure(task, entry.run)

    # Jobs

    def note_job_key(self, item: KeyValue) -> None:
        """Takes a job's key from the store."""
        parsed = self.job_store.parse_key(item.key)
        if parsed is None:
            return
        job_id, kind = parsed
        if kind is JobKey.ACCEPTED:
            self.accept(from_json(item.value, CellJob))
            return
        job = self.jobs.get(job_id)
        if job is None:
            logger.error("key of an unknown job", key=item.key)
            return
        if kind is JobKey.CANCELLED:
            self.cancel(job)
            return
        outcome = from_json(item.value, JobOutcome)
        job.state = job.reported = JobState(outcome.state)
        if not self.loaded:
            return
        self.close_job(job)

    def note_job_gone(self, key: str) -> None:
        """Forgets a job whose record was removed."""
        parsed = self.job_store.parse_key(key)
        if parsed is None or parsed[1] is not JobKey.ACCEPTED:
            return
        job = self.jobs.pop(parsed[0], None)
        if job is None:
            return
        for step in job.steps:
            self.steps.pop(step.name, None)
            self.open_steps.pop(step.name, None)
            self.book.forget(step)

    def accept(self, record: CellJob) -> None:
        """Takes an accepted job."""
        if record.job in self.jobs:
            return
        queue = self.find_queue(record)
        age = max(0.0, self.clock.now() - record.accepted_at)
        accepted_at = anyio.current_time() - age
        job = make_job(record, queue, accepted_at, self.clock.base)
        self.jobs[job.id] = job
        for step in job.steps:
            self.steps[step.name] = step
        if self.loaded:
            logger.info("job taken", job=job.id, queue=queue.name, steps=len(job.steps))
            self.refresh_job(job)

    def find_queue(self, record: CellJob) -> Queue:
        """Returns the queue of a job by the manifest, or as it was at acceptance."""
        manifest = self.state.manifest
        found = None if manifest is None else manifest.find(record.host, record.path)
        return found or stored_queue(record)

    def update_queues(self) -> None:
        """Applies a new manifest to the jobs that have not ended."""
        for job in self.jobs.values():
            if not job.ended():
                job.queue = self.find_queue(job.record)
        self.wake_planner()

    def refresh_job(self, job: Job) -> None:
        """Opens the steps that are ready, or ends the job."""
        if job.ended():
            return
        if all(step.done() for step in job.steps):
            self.end_job(job, JobState.COMPLETED, "")
            return
        now = anyio.current_time()
        for step in job.steps:
            if step.done() or step.name in self.open_steps:
                continue
            if is_ready(step, now):
                self.open_steps[step.name] = step
            elif now < step.due_at and job.timed():
                self.due_later.setdefault(step.job.id, step.job)
        self.wake_planner()

    def open_due(self) -> None:
        """Opens the steps of occurrences that have become due."""
        for job in list(self.due_later.values()):
            del self.due_later[job.id]
            self.refresh_job(job)

    def end_job(self, job: Job, state: JobState, reason: str) -> None:
        """Ends a job; callers see it once it is durable."""
        job.state = state
        age_s = anyio.current_time() - job.accepted_at
        self.metrics.job_seconds.labels(state.value).observe(age_s)
        outcome = JobOutcome(state=state.value, at=self.clock.now(), reason=reason)
        self.log.note_outcome(job.id, outcome, lambda: self.report(job))
        logger.info(
            "job ended",
            job=job.id,
            queue=job.queue.name,
            state=state.value,
            reason=reason,
            age_s=round(age_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        self.close_job(job)

    def report(self, job: Job) -> None:
        """Lets callers see a job's final state."""
        job.reported = job.state

    def close_job(self, job: Job) -> None:
        """Stops what still runs of a job that has ended."""
        for step in job.steps:
            self.open_steps.pop(step.name, None)
            self.book.forget(step)
            for run in step.runs():
                if run.task.state is not TaskState.DONE:
                    self.halt(run)

    def cancel(self, job: Job) -> None:
        """Cancels a job, unless it has ended."""
        job.cancelled = True
        if job.ended() or not self.loaded:
            return
        self.end_job(job, JobState.CANCELLED, "cancelled by its caller")

    def halt(self, run: Run) -> None:
        """Stops a run."""
        driver = self.drivers.get(run.worker)
        if driver is not None:
            driver.halt(run)

    # Workers

    def update_workers(self) -> None:
        """Follows the workers' entries in the store."""
        entries = self.state.workers
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
            node.entry = entry
        for worker, node in self.nodes.items():
            if worker not in entries and node.listed:
                node.listed = False
                logger.info("worker unlisted", worker=worker, runs=len(node.runs))
        self.wake_planner()

    def add_earlier(self, enrolled: EnrolledWorker) -> None:
        """Asks a worker of an earlier owner that is not listed any more."""
        worker = WorkerId(enrolled.worker)
        listed = self.state.workers.get(worker)
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

    def write_roster(self) -> None:
        """Stores which workers a later owner has to ask; then they may be used."""
        workers = []
        enrolling = list(self.nodes.values())
        for node in enrolling:
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

        def written() -> None:
            for node in enrolling:
                node.enrolled = True
            self.wake_planner()

        value = to_json(WorkerRoster(workers=workers))
        self.log.note_value(self.job_store.prefix + ROSTER, value, written)

    def add_node(self, entry: WorkerEntry) -> None:
        """Begins to serve a worker."""
        if self.tasks is None:
            return
        node = WorkerNode(entry)
        driver = WorkerDriver(self, node, self.dialer.open(entry), WORKER_LEASE_S)
        self.nodes[entry.worker] = node
        self.drivers[entry.worker] = driver
        self.tasks.start_soon(driver.run)
        self.write_roster()

    def note_fenced(self, node: WorkerNode) -> None:
        """Notes that a worker has seen a newer owner."""
        logger.warning("fenced", worker=node.id, epoch=self.epoch)
        self.ownership.lost.set()

    def note_silent(self, driver: WorkerDriver) -> None:
        """Notes that a worker did not answer; gives up what surely has lapsed."""
        node = driver.node
        now = anyio.current_time()
        if node.silent_calls == 1:
            logger.info("worker silent", worker=node.id, runs=len(node.runs))
        gone = not node.listed and now > self.certain_at()
        if node.clock_ms is None:
            if gone:
                self.note_dead(driver, "never answered and is not listed")
            return
        if not node.lapsed(now):
            return
        for run in list(node.runs.values()):
            self.release(node, run, EndKind.LAPSED)
        if not node.listed:
            self.note_dead(driver, "its lease has lapsed and it is not listed")

    def note_dead(self, driver: WorkerDriver, reason: str) -> None:
        """Forgets a worker on which nothing runs any more."""
        node = driver.node
        if node.dead:
            return
        node.dead = True
        logger.info("worker gone", worker=node.id, reason=reason, runs=len(node.runs))
        for run in list(node.runs.values()):
            self.release(node, run, EndKind.LAPSED)
        if self.nodes.get(node.id) is node:
            self.pace.forget(node.id)
            del self.nodes[node.id]
            del self.drivers[node.id]
        driver.scope.cancel()
        self.wake_planner()

    def apply_report(
        self, driver: WorkerDriver, report: WorkerReport, sent_at: float
    ) -> None:
        """Takes what a worker says: ends first, then what runs."""
        node = driver.node
        now = anyio.current_time()
        node.note_clock(report.clock_ms, now)
        if not node.fenced:
            node.fenced = True
            # An earlier owner may have renewed the lease until just now.
            node.lease_until_ms = max(
                node.lease_until_ms, report.clock_ms + WORKER_LEASE_S * 1000
            )
            logger.info(
                "worker joined",
                worker=node.id,
                runs=len(report.runs),
                ends=len(report.ends),
            )
        listed = set()
        for item in report.runs:
            listed.add((item.task, item.run))
        for end in report.ends:
            listed.add((end.task, end.run))
            if end.number <= driver.processed:
                continue
            if self.is_unknown(driver, end.task):
                break
            driver.processed = end.number
            self.note_end(node, end)
        node.strays.intersection_update(listed)
        for item in report.runs:
            run = node.runs.get((item.task, item.run))
            if run is None:
                self.adopt(driver, item.task, item.run)
                continue
            run.seen = True
            run.missed_looks = 0
            self.pace.note(
                node.id,
                (item.task, item.run),
                item.percent,
                run.task.step.spec.expected_ms / 1000,
                now,
            )
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            if item.checkpoint and run.task.step.spec.checkpoints:
                self.note_checkpoint(run.task, item.checkpoint)
        self.release_missing(node, listed, sent_at)
        number = driver.processed
        if number > driver.acknowledged:
            self.log.after_written(lambda: driver.acknowledge(number))
        self.wake_planner()

    def release_missing(
        self, node: WorkerNode, listed: set[tuple[str, int]], sent_at: float
    ) -> None:
        """Gives up runs that a worker repeatedly does not list any more."""
        for key, run in list(node.runs.items()):
            if key in listed or not run.settled or run.began_at >= sent_at:
                continue
            run.missed_looks += 1
            if run.missed_looks < LOST_LOOKS:
                continue
            logger.warning("run not listed", task=key[0], run=key[1], worker=node.id)
            self.release(node, run, EndKind.LAPSED)

    def adopt(self, driver: WorkerDriver, task_name: str, number: int) -> None:
        """Takes over a run that an earlier owner has started, or stops it."""
        node = driver.node
        task = self.find_task(task_name)
        if task is None:
            node.strays.add((task_name, number))
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
            seen=True,
            settled=True,
        )
        node.add(run)
        task.last_run = max(task.last_run, number)
        if task.state is not TaskState.WAITING or task.step.job.ended():
            logger.info("superfluous run", task=task.name, run=number, worker=node.id)
            driver.halt(run)
            return
        task.run = run
        task.state = TaskState.PLACED
        task.step.job.started = True
        task.step.job.state = JobState.RUNNING

    def is_unknown(self, driver: WorkerDriver, task_name: str) -> bool:
        """Returns whether a task's job may still come from the store.

        A job that was accepted while this owner took over is found a little later.
        """
        now = anyio.current_time()
        if self.find_task(task_name) is not None:
            driver.unknown_since = None
            return False
        if driver.unknown_since is None:
            driver.unknown_since = now
        return now - driver.unknown_since < UNKNOWN_JOB_S

    def find_task(self, name: str) -> Task | None:
        """Returns a task by its name."""
        step_name, _, index = name.rpartition(".")
        step = self.steps.get(step_name)
        if step is None or not index.isdecimal() or int(index) >= len(step.tasks):
            return None
        return step.tasks[int(index)]

    # Runs

    def note_started(self, run: Run) -> None:
        """Notes that a worker has begun a run."""
        self.metrics.starts.labels(OrderOutcome.DONE.value).inc()
        job = run.task.step.job
        if not job.started:
            job.started = True
            waited_s = anyio.current_time() - job.accepted_at
            self.metrics.first_start_seconds.observe(waited_s)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING

    def note_refused(
        self, driver: WorkerDriver, run: Run, outcome: OrderOutcome
    ) -> None:
        """Takes back a run that a worker surely did not begin."""
        node = driver.node
        logger.info(
            "start refused",
            task=run.task.name,
            run=run.number,
            worker=node.id,
            outcome=outcome.value,
        )
        self.metrics.starts.labels(outcome.value).inc()
        if outcome is OrderOutcome.NO_TICKET:
            self.book.drop_ticket(run.task.step, node.id)
        if outcome in (OrderOutcome.NOT_SENT, OrderOutcome.UNHEALTHY):
            node.silent_calls += 1
        if driver.here(run):
            self.release(node, run, EndKind.STOPPED)

    def note_end(self, node: WorkerNode, end: EndReport) -> None:
        """Takes one end from a worker's list."""
        self.metrics.runs_ended.labels(end.kind.value).inc()
        logger.info(
            "run ended",
            task=end.task,
            run=end.run,
            worker=node.id,
            how=end.kind.value,
            number=end.number,
        )
        run = node.runs.get((end.task, end.run))
        task = self.find_task(end.task)
        if task is None:
            return
        if end.checkpoint and task.step.spec.checkpoints:
            self.note_checkpoint(task, end.checkpoint)
        if run is not None:
            if end.kind is EndKind.DONE and not task.checkpoint:
                self.pace.finish(
                    node.id,
                    (end.task, end.run),
                    task.step.spec.expected_ms / 1000,
                    anyio.current_time(),
                )
            self.release(node, run, end.kind)
        if task.state is TaskState.DONE or task.step.job.ended():
            return
        if end.kind is EndKind.DONE and not task.step.spec.long_running:
            entry = TaskEndEntry(task=end.task, run=end.run, done=True)
            self.log.note_end(entry, lambda: None)
            node.note_success()
            self.complete(task)
            self.refresh_job(task.step.job)
        elif end.kind is EndKind.FAILED and not task.step.spec.long_running:
            entry = TaskEndEntry(task=end.task, run=end.run, done=False)
            self.log.note_end(entry, lambda: None)
            self.fail(node, task, end.run)

    def complete(self, task: Task) -> None:
        """Notes that a task is done; all at once they are done together."""
        step = task.step
        done = step.tasks if step.spec.all_at_once else [task]
        for member in done:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                step.remaining -= 1
        if step.done():
            self.open_steps.pop(step.name, None)
            self.book.forget(step)

    def count_failure(self, task: Task, run: int) -> int:
        """Counts a failed attempt, once however often it is told.

        :returns: The attempts that have failed.
        """
        failed_runs = task.failed_runs
        if task.step.spec.all_at_once:
            failed_runs = task.step.failed_runs
        failed_runs.add(run)
        return len(failed_runs)

    def fail(self, node: WorkerNode, task: Task, run: int) -> None:
        """Takes a failed run: another attempt, or the end of the job."""
        now = anyio.current_time()
        job = task.step.job
        task.failed_on.add(node.id)
        if node.note_failure(job.id, now):
            logger.warning("worker quarantined", worker=node.id)
        failures = self.count_failure(task, run)
        logger.info(
            "run failed", task=task.name, run=run, worker=node.id, failures=failures
        )
        if failures >= job.queue.max_attempts:
            self.end_job(job, JobState.FAILED, f"{task.name} failed {failures} times")

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keeps the newest checkpoint, of all members if they run together."""
        members = task.step.tasks if task.step.spec.all_at_once else [task]
        for member in members:
            member.checkpoint = checkpoint

    def release(self, node: WorkerNode, run: Run, kind: EndKind) -> None:
        """Gives a run's room back and queues its task again, unless it is done."""
        node.remove(run)
        self.pace.forget_run(node.id, (run.task.name, run.number))
        task = run.task
        if task.run is not run:
            return
        task.run = None
        if task.state is TaskState.PLACED:
            task.state = TaskState.WAITING
        step = task.step
        if step.spec.all_at_once and kind is not EndKind.DONE:
            self.stop_members(step)
        if step.job.ended() or step.done():
            return
        self.open_steps[step.name] = step
        self.wake_planner()

    def stop_members(self, step: Step) -> None:
        """Stops the other tasks of an all-at-once run that cannot go on."""
        if step.done():
            return
        for run in step.runs():
            self.halt(run)

    # Planning

    def wake_planner(self) -> None:
        """Has a plan made soon."""
        self.wake.set()

    async def plan_forever(self) -> None:
        """Makes plans whenever something has changed."""
        while True:
            with anyio.move_on_after(PLAN_INTERVAL_S):
                await self.wake.wait()
            await anyio.sleep(PLAN_PAUSE_S)
            self.wake = anyio.Event()
            if self.may_order() and self.state.manifest is not None:
                self.plan()

    def plan(self) -> None:
        """Makes one plan and carries it out."""
        now = anyio.current_time()
        self.open_due()
        usable = [node for node in self.nodes.values() if node.usable(now)]
        usable = [node for node in usable if not node.slow] or usable
        steps = []
        for step in list(self.open_steps.values()):
            if not self.certain and step.job.accepted_at < self.taken_at:
                continue
            if not step.waiting():
                del self.open_steps[step.name]
                continue
            self.want_advice(step, usable, now)
            steps.append(step)
        planner = Planner(
            now, usable, self.permitted_by(usable), self.ticket_valid_at(now)
        )
        plan = planner.make(steps)
        self.make_way(steps)
        for step, workers in plan.renewals:
            self.book.want(step, [self.nodes[worker] for worker in workers], now)
        for placement in plan.placements:
            self.start(placement.step, placement.tasks, now)

    def make_way(self, steps: list[Step]) -> None:
        """Stops work that fills where it keeps work that serves from starting."""
        for step in steps:
            if step.spec.latency_target_ms <= 0 or not step.waiting():
                continue
            for node in self.nodes.values():
                if not node.filling or not step.room.within(node.free()):
                    continue
                for run in list(node.runs.values()):
                    if run.task.step.spec.fills:
                        self.halt(run)
                break

    def want_advice(self, step: Step, usable: list[WorkerNode], now: float) -> None:
        """Asks about workers of which nothing is known for a step."""
        if step.job.queue.advice is None:
            return
        service = step.job.queue.service
        nodes = [node for node in usable if node.entry.service == service]
        unasked = self.book.unasked(step, nodes)
        if unasked:
            self.book.want(step, unasked, now)

    def permitted_by(
        self, usable: list[WorkerNode]
    ) -> Callable[[Step], frozenset[WorkerId] | None]:
        """Returns the lookup of the workers that may run a step."""
        everyone = frozenset(node.id for node in usable)

        def permitted(step: Step) -> frozenset[WorkerId] | None:
            if step.job.queue.advice is None:
                return everyone
            return self.book.permitted(step)

        return permitted

    def ticket_valid_at(self, now: float) -> Callable[[Step, WorkerNode], bool]:
        """Returns the check for a valid ticket."""

        def valid(step: Step, node: WorkerNode) -> bool:
            if step.job.queue.advice is None:
                return True
            return self.book.ticket(step, node, now) is not None

        return valid

    def start(
        self, step: Step, tasks: list[tuple[Task, WorkerNode]], now: float
    ) -> None:
        """Starts tasks of a step on the workers chosen."""
        floor = (self.ownership.term - 1) * RUNS_PER_TERM
        number = 0
        for task, _ in tasks:
            number = max(number, task.last_run + 1, floor + 1)
        for task, node in tasks:
            require(Invariant.ONE_PLACE, task.run is None, task.name)
            if not step.spec.all_at_once:
                number = max(task.last_run + 1, floor + 1)
            run = Run(task, number, node.id, step.room, now)
            task.run = run
            task.last_run = number
            task.state = TaskState.PLACED
            node.add(run)
            node.check_capacity()
            if not task.checkpoint:
                self.pace.start(node.id, (task.name, number), now)
            ticket = self.book.ticket(step, node, now) or ""
            logger.info(
                "task placed",
                task=task.name,
                run=number,
                worker=node.id,
                waited_s=round(now - step.job.accepted_at, 3),
                epoch=self.epoch,
                full=round(fullness(node.free(), node.entry.capacity), 2),
            )
            self.drivers[node.id].begin(run, ticket)

    # Slow and stuck workers

    async def watch_pace(self) -> None:
        """Leaves slow workers alone and moves work off them, until cancelled."""
        while True:
            await anyio.sleep(PACE_INTERVAL_S)
            slow = self.pace.judge(self.nodes, anyio.current_time())
            for node in self.nodes.values():
                if node.slow is not (node.id in slow):
                    node.slow = node.id in slow
                    logger.info(
                        "worker pace",
                        worker=node.id,
                        slow=node.slow,
                        share=round(slow.get(node.id, 1.0), 3),
                    )
                if node.slow:
                    self.move_off(node, slow[node.id])
            self.wake_planner()

    def move_off(self, node: WorkerNode, share: float) -> None:
        """Stops the runs of a slow worker that are done sooner elsewhere."""
        now = anyio.current_time()
        for run in list(node.runs.values()):
            step = run.task.step
            if run.state is not RunState.RUNNING or step.done() or step.job.ended():
                continue
            if step.spec.long_running:
                continue
            if share > STUCK_SHARE and (step.spec.all_at_once or share >= 1.0):
                continue
            expected_s = step.spec.expected_ms / 1000
            left_s = expected_s / max(share, STUCK_SHARE) - (now - run.began_at)
            if left_s < MOVE_GAIN * expected_s:
                continue
            logger.info(
                "run moved",
                task=run.task.name,
                run=run.number,
                worker=node.id,
                share=round(share, 3),
            )
            self.halt(run)

    # Recovery

    async def settle_uncertain(self) -> None:
        """Waits until no earlier owner's run can be where this one cannot see it."""
        while not self.all_fenced() and anyio.current_time() < self.certain_at():
            await anyio.sleep(PLAN_PAUSE_S)
        self.certain = True
        self.metrics.takeover_seconds.observe(anyio.current_time() - self.taken_at)
        self.stop_incomplete()
        logger.info(
            "cell recovered",
            term=self.ownership.term,
            took_s=round(anyio.current_time() - self.taken_at, 3),
            workers=len(self.nodes),
        )
        self.wake_planner()

    def stop_incomplete(self) -> None:
        """Stops all-at-once runs of which the earlier owner started only a part."""
        for step in self.open_steps.values():
            if step.spec.all_at_once and 0 < len(step.runs()) < step.spec.tasks:
                self.stop_members(step)

    def certain_at(self) -> float:
        """Returns when runs of earlier owners surely have ended wherever they were.

        An owner that has stopped renews no lease after the takeover; one that may
        go on does so for its hold.
        """
        hold_s = 0.0 if self.earlier_stopped.is_set() else CUT_OFF_HOLD_S
        return self.taken_at + hold_s + WORKER_LEASE_S * (1 + 2 * CLOCK_DRIFT)

    def all_fenced(self) -> bool:
        """Returns whether every worker known has seen this owner's epoch."""
        return bool(self.nodes) and all(node.fenced for node in self.nodes.values())

    def count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue wait for their first start."""
        count = 0
        for job in self.jobs.values():
            if job.queue.name != queue or job.started or job.ended() or job.timed():
                continue
            count += 1
        return count
