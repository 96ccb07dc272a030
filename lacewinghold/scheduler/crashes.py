"""Records which runs were lost when a worker crashed.

Only a worker's next incarnation shows that it has crashed: it answers in the place of
the earlier one, or registers. A silent worker may only be cut off.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct

from lacewinghold.events import Event
from lacewinghold.scheduler.crash_evidence import Doubt, WorkerCrash
from lacewinghold.scheduler.model import TaskState
from lacewinghold.scheduler.ports import ServerState
from lacewinghold.scheduler.verdicts import judge_crashes
from lacewinghold.schema.generated.cell import CrashEvidence

if TYPE_CHECKING:
    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Run, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import WorkerEntry

logger = structlog.get_logger(__name__)
MAX_REPORT_INTERVAL_S = 1.5  # A worker that is up reports at least as often.
MAX_SILENT_WORKERS = 200  # Removed workers whose next incarnation may still register.


class LostRun(Struct, frozen=True):
    """A run on a worker that has not been heard from since.

    :param age_s: How long it had been ordered when the worker was last heard from; 0
        if it was ordered later.
    :param doubt: Why it may not have been at work when the worker crashed, if it did.
    """

    run: Run
    age_s: float
    doubt: Doubt


def lost_runs(node: WorkerNode) -> list[LostRun]:
    """Returns the runs that a crash of a worker ends."""
    found = list(node.lapsed_runs)
    for run in node.runs.values():
        age_s = max(0.0, node.last_report_at - run.began_at)
        found.append(LostRun(run, round(age_s, 3), doubt_of(node, run)))
    return found


class CrashRecorder:
    """Records crashes of workers.

    :param owner: The owner that has started the runs.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.silent_workers: dict[WorkerId, WorkerNode] = {}

    def record_lapse(self, node: WorkerNode) -> None:
        """Keeps the runs of a worker whose leases have lapsed, before their release."""
        node.lapsed_runs = lost_runs(node)

    def record_removal(self, node: WorkerNode) -> None:
        """Keeps a removed worker until its next incarnation registers."""
        if not node.lapsed_runs:
            return
        self.silent_workers[node.id] = node
        if len(self.silent_workers) > MAX_SILENT_WORKERS:
            del self.silent_workers[next(iter(self.silent_workers))]

    def record_entry(self, entry: WorkerEntry) -> None:
        """Records a crash if a removed worker has registered as a new incarnation."""
        node = self.silent_workers.pop(entry.worker, None)
        if node is not None and node.entry.incarnation != entry.incarnation:
            self.record_crash(node)

    def record_crash(self, node: WorkerNode) -> None:
        """Records a crash; a worker that was draining has ended as planned."""
        lost = lost_runs(node)
        node.lapsed_runs = []
        if node.entry.state is not ServerState.READY or not lost:
            return
        logger.info(
            Event.WORKER_CRASHED,
            worker=node.id,
            incarnation=node.entry.incarnation,
            runs=len(lost),
        )
        jobs = {item.run.task.step.job.id for item in lost}
        alone = len(jobs) == 1 and not node.stray_runs
        for item in lost:
            self.record_lost_run(node, item, alone=alone)

    def record_lost_run(self, node: WorkerNode, item: LostRun, *, alone: bool) -> None:
        """Counts a crash for the task of a run, and gives up a task that causes them.

        :param alone: Whether only runs of its job were on the worker.
        """
        run = item.run
        task = run.task
        if task.state is TaskState.DONE or task.step.job.ended():
            return
        doubt = item.doubt
        crash = WorkerCrash(
            run.number,
            str(node.id),
            item.age_s,
            alone and doubt is Doubt.NONE,
            confirmed=doubt is Doubt.NONE,
            task=task.name,
            age_known=not run.adopted,
        )
        if not self.owner.suspects.add(task, crash) or task.crash_history is None:
            return
        self.owner.log.append_evidence(
            CrashEvidence(
                task=task.name,
                run=run.number,
                worker=crash.worker,
                age_s=crash.age_s,
                alone=crash.alone,
                confirmed=crash.confirmed,
                adopted=run.adopted,
            )
        )
        self.owner.metrics.lost_runs.labels(doubt.name.lower()).inc()
        logger.info(
            Event.RUN_LOST,
            task=task.name,
            run=run.number,
            worker=node.id,
            age_s=item.age_s,
            adopted=run.adopted,
            alone=crash.alone,
            confirmed=crash.confirmed,
            doubt=doubt.value,
            crashes=len(task.crashes),
            counted=[known.describe() for known in task.crash_history.total],
        )
        self.give_up_if_proved(task)

    def give_up_if_proved(self, task: Task) -> None:
        """Ends the job of a task that has been proved to crash its workers."""
        verdict = None if task.step.job.ended() else judge_crashes(task)
        if verdict is not None:
            self.owner.table.end_job(task.step.job, verdict)

    def replay(self, entry: CrashEvidence) -> None:
        """Applies what an earlier owner has stored about crashes under a task."""
        task = self.owner.table.find_task(entry.task)
        if task is None or task.state is TaskState.DONE:
            return
        task.last_run_number = max(task.last_run_number, entry.run)
        if entry.survived or entry.acquitted:
            if task.crash_history is not None:
                task.crash_history.clear(all_ages=entry.acquitted)
            return
        crash = WorkerCrash(
            entry.run,
            entry.worker,
            entry.age_s,
            entry.alone,
            entry.confirmed,
            entry.task,
            age_known=not entry.adopted,
        )
        self.owner.suspects.add(task, crash)

    def record_report(self, node: WorkerNode) -> None:
        """Records that a worker has reported: its runs have not been lost."""
        node.last_report_at = anyio.current_time()
        node.silent_since = math.inf
        node.lapsed_runs = []
        node.entry_current = self.owner.knows_current_entries()

    def record_start(self, node: WorkerNode, run: Run) -> None:
        """Records that a worker has answered that it started a run."""
        node.entry_current = self.owner.knows_current_entries()
        self.record_presence(run.task, run.number)

    def record_presence(self, task: Task, run: int, percent: float = 0) -> None:
        """Records that a worker has told of a run of a task.

        :param percent: How far the run has got.
        """
        presence = task.step.presence
        if presence is not None:
            now = anyio.current_time()
            presence.record(task.index, run, now, working=percent > 0)

    def record_progress(self, run: Run, percent: float) -> None:
        """Clears a task once its run has worked beyond the age at which it was lost."""
        self.record_presence(run.task, run.number, percent)
        history = run.task.crash_history
        if history is None:
            return
        age_s = anyio.current_time() - run.began_at
        if history.refuted_by(age_s):
            self.clear(run.task, run.number, all_ages=True)
        elif history.outlived_by(age_s):
            self.clear(run.task, run.number, all_ages=False)

    def clear(self, task: Task, run: int, *, all_ages: bool) -> None:
        """Clears a task of which a run has ended, or gone on, without a crash.

        :param all_ages: Whether crashes at other ages of the runs do not count either.
        """
        history = task.crash_history
        if history is None or not history.total or task.step.job.ended():
            return
        logger.info(
            Event.SUSPECT_CLEARED,
            task=task.name,
            run=run,
            kept=0 if all_ages else len(history.total),
        )
        history.clear(all_ages=all_ages)
        evidence = CrashEvidence(
            task=task.name, run=run, survived=True, acquitted=all_ages
        )
        self.owner.log.append_evidence(evidence)


def doubt_of(node: WorkerNode, run: Run) -> Doubt:
    """Returns why a crash of a worker may not have been under a run at work."""
    if not (run.confirmed or run.listed):
        return Doubt.START_UNCONFIRMED
    presence = run.task.step.presence
    crashed_by = min(node.silent_since, node.last_report_at + MAX_REPORT_INTERVAL_S)
    if presence is not None and not presence.is_complete(run.number, crashed_by):
        return Doubt.TASKS_MISSING
    if run.stop_ordered_at < node.last_report_at:
        return Doubt.STOP_ORDERED
    if not node.entry_current:
        return Doubt.END_ANNOUNCED
    return Doubt.NONE
