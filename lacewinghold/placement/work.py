"""Units of work that wait for a place."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.schema.generated.jobs import JobKind, Priority, Resources

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId, TeamId
    from lacewinghold.placement.capacity import WorkerCapacity


class Work(Struct, eq=False):
    """What is placed in one decision: a task, or the tasks of an all-at-once job.

    Times are seconds of the runtime's clock.

    :param tasks: Equal tasks, each of which needs ``need``.
    :param run_s: Declared run time.
    :param late: Whether the deadline was found to be out of reach.
    """

    id: TaskId | JobId
    job: JobId
    team: TeamId
    kind: JobKind
    need: Resources
    tasks: list[TaskId]
    queued_at: float
    run_s: float
    priority: Priority = Priority.NORMAL
    deadline: float | None = None
    not_before: float = 0.0
    repeatable: bool = True
    late: bool = False


class Placement(Struct, frozen=True):
    """A decision: one worker for each task, booked already."""

    work: Work
    workers: list[WorkerCapacity]
