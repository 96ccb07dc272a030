"""The grounds on which jobs end: every final state goes through a verdict.

The module does no input or output. A job is never ended for its age, for a lack of
workers, or for what happened to other tasks than the one that the verdict names.

=================  =========  =======================================================
ground             state      the platform's rule
=================  =========  =======================================================
all tasks done     completed  "all tasks have ended as done"
attempts used up   failed     "a task, or a gang, has failed" as often as its queue
                              allows; only ends that a worker reports as failed count
crashed workers    failed     "A task under which two workers have crashed may be given
                              up": see ``crash_evidence``
cancelled          cancelled  a caller's DELETE, which is stored
=================  =========  =======================================================
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.scheduler.crash_evidence import find_proof
from lacewinghold.scheduler.model import JobState, TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.scheduler.crash_evidence import WorkerCrash
    from lacewinghold.scheduler.model import Step, Task


class Ground(Enum):
    """Why a job ends."""

    ALL_DONE = "all tasks done"
    ATTEMPTS_USED_UP = "attempts used up"
    CRASHED_WORKERS = "crashed workers"
    CANCELLED = "cancelled"


STATE_OF_GROUND = {
    Ground.ALL_DONE: JobState.COMPLETED,
    Ground.ATTEMPTS_USED_UP: JobState.FAILED,
    Ground.CRASHED_WORKERS: JobState.FAILED,
    Ground.CANCELLED: JobState.CANCELLED,
}


class Verdict(Struct, frozen=True):
    """The end of a job.

    :param reason: For the job's outcome and for the log.
    :param crashes: The crashes that count against the task that is given up.
    """

    ground: Ground
    reason: str = ""
    crashes: tuple[WorkerCrash, ...] = ()

    @property
    def state(self) -> JobState:
        """Returns the job's final state."""
        return STATE_OF_GROUND[self.ground]


COMPLETION = Verdict(Ground.ALL_DONE)
CANCELLATION = Verdict(Ground.CANCELLED, "cancelled by its caller")


def judge_attempts(step: Step, tasks: Iterable[Task]) -> Verdict | None:
    """Returns the end of a job of which a task has used up its attempts, or ``None``.

    Each task has attempts of its own. Those of an all-at-once step fail together, and
    count once for a run.

    :param tasks: Those of the step to look at.
    """
    if step.done():
        return None
    name, failures = step.name, len(step.failed_runs)
    for task in tasks:
        if task.state is not TaskState.DONE and len(task.failed_runs) > failures:
            name, failures = task.name, len(task.failed_runs)
    if not failures or failures < step.job.queue.max_attempts:
        return None
    return Verdict(Ground.ATTEMPTS_USED_UP, f"{name} failed {failures} times")


def judge_crashes(task: Task) -> Verdict | None:
    """Returns the end of a job of which a task crashes its workers, or ``None``."""
    history = task.crash_history
    if history is None or task.state is TaskState.DONE:
        return None
    earlier = task.step.job.from_earlier_owner
    proof = find_proof(history, from_earlier_owner=earlier)
    if proof is None:
        return None
    crashes = tuple(history.total)
    found = ", ".join(f"{crash.worker} in run {crash.run}" for crash in crashes)
    reason = f"{task.name} crashed its workers {proof.value}: {found}"
    return Verdict(Ground.CRASHED_WORKERS, reason, crashes)
