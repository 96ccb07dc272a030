"""Records which runs were lost when a worker crashed.

Only a worker's next incarnation shows that it has crashed: it answers in the place of
the earlier one, or registers. A silent worker may only be cut off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct

from lacewinghold.events import Event
from lacewinghold.scheduler.model import TaskState
from lacewinghold.scheduler.ports import ServerState
from lacewinghold.scheduler.suspects import WorkerCrash, crashes_of, outlives
from lacewinghold.schema.generated.cell import CrashEvidence

if TYPE_CHECKING:
    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Run, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import WorkerEntry

logger = structlog.get_logger(__name__)
MAX_SILENT_WORKERS = 200  # Removed workers whose next incarnation may still register.


class LostRun(Struct, frozen=True):
    """A run on a worker that has not been heard from since.

    :param age_s: How long it had been ordered when the worker was last heard from; 0
        if it was ordered later.
    """

    run: Run
    age_s: float


def lost_runs(node: WorkerNode) -> list[LostRun]:
    """Returns the runs that a crash of a worker ends."""
    found = list(node.lapsed_runs)
    for run in node.runs.values():
        age_s = max(0.0, node.last_answer_at - run.began_at)
        found.append(LostRun(run, round(age_s, 3)))
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
        # The tasks of an all-at-once step on one worker are one suspect.
        suspects = {id(crashes_of(item.run.task)) for item in lost}
        alone = len(suspects) == 1 and not node.stray_runs
        for item in lost:
            self.record_lost_run(node, item, alone=alone and item.run.confirmed)

    def record_lost_run(self, node: WorkerNode, item: LostRun, *, alone: bool) -> None:
        """Counts a crash for the task of a run, and gives up a task that causes them.

        A run that an earlier owner started is older than this owner can tell.
        """
        run = item.run
        task = run.task
        crash = WorkerCrash(
            run.number,
            str(node.id),
            item.age_s,
            alone,
            confirmed=run.confirmed,
            task=task.name,
        )
        if run.adopted or task.state is TaskState.DONE or task.step.job.ended():
            return
        if not self.owner.suspects.add(task, crash):
            return
        self.owner.log.append_evidence(
            CrashEvidence(
                task=task.name,
                run=run.number,
                worker=crash.worker,
                age_s=crash.age_s,
                alone=alone,
                confirmed=run.confirmed,
            )
        )
        logger.info(
            Event.RUN_LOST,
            task=task.name,
            run=run.number,
            worker=node.id,
            age_s=item.age_s,
            alone=alone,
            confirmed=run.confirmed,
            crashes=len(crashes_of(task)),
            counted=[known.describe() for known in crashes_of(task)],
        )
        self.owner.table.end_if_guilty(task)

    def record_progress(self, run: Run) -> None:
        """Clears a task once its run has worked beyond the age at which it was lost."""
        crashes = crashes_of(run.task)
        if crashes and outlives(crashes, anyio.current_time() - run.began_at):
            self.clear(run.task, run.number)

    def clear(self, task: Task, run: int) -> None:
        """Clears a task of which a run has ended, or gone on, without a crash."""
        if not crashes_of(task) or task.step.job.ended():
            return
        logger.info(Event.SUSPECT_CLEARED, task=task.name, run=run)
        crashes_of(task).clear()
        evidence = CrashEvidence(task=task.name, run=run, survived=True)
        self.owner.log.append_evidence(evidence)
