"""Units of work that wait for placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.schema.generated.jobs import JobKind, Priority, Resources

if TYPE_CHECKING:
    from lacewinghold.ids import JobId, TaskId, TeamId
    from lacewinghold.placement.capacity import WorkerCapacity


class Work(Struct, eq=False):
    """A unit of placement: one task, or all tasks of an all-at-once job.

    Times are in seconds of the runtime's clock.

    :param need: The resources that each task needs.
    :param tasks: The tasks, all of equal need.
    :param run_s: Declared run time.
    :param not_before: The earliest start.
    :param late: Whether the work was found to miss its deadline.
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
    """A decision: one worker for each task, already booked."""

    work: Work
    workers: list[WorkerCapacity]
