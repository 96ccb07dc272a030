"""The result of a plan: what starts now, and what waits for permissions or room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ordering import PlanPosition


class Placement(Struct):
    """Tasks of one step that start now, each with its worker."""

    step: Step
    tasks: list[tuple[Task, WorkerNode]]


class Renewal(Struct):
    """Workers chosen for a step that needs new permissions before it can start there.

    :param chosen: How many tasks wait for a permission on each worker. For an
        all-at-once step, this covers all its tasks, on workers with a valid ticket too.
    :param without_ticket: The workers in ``chosen`` without a valid ticket.
    """

    step: Step
    chosen: dict[WorkerId, int]
    without_ticket: list[WorkerId]

    def task_count(self) -> int:
        """Returns how many tasks wait for permissions."""
        return sum(self.chosen.values())


class Plan(Struct):
    """The starts, permission requests and reservations to carry out now.

    :param placements: Tasks that start now: there is room and a valid ticket.
    :param renewals: Workers chosen for steps that must request permissions first.
    :param reserved: Workers reserved for all-at-once steps, by the steps' names.
    :param skipped: Steps for which no workers were chosen because the work of the plan
        is limited.
    :param deferred: The skipped steps that were not considered at all.
    :param resume_at: The first deferred step; the next plan resumes there.
    :param task_limits: How many tasks may start of each step of which others wait
        because of the cap of their organisation.
    """

    placements: list[Placement] = field(default_factory=list)
    renewals: list[Renewal] = field(default_factory=list)
    reserved: dict[str, list[WorkerId]] = field(default_factory=dict)
    skipped: set[str] = field(default_factory=set)
    deferred: set[str] = field(default_factory=set)
    resume_at: PlanPosition | None = None
    task_limits: dict[str, int] = field(default_factory=dict)
