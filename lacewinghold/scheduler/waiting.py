"""Says why steps wait, so that a late job can be explained afterwards."""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.scheduler.policy import fitting_count

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.policy import Renewal

logger = structlog.get_logger(__name__)
FIRST_TOLD_S = 2.0  # Longer than a step waits in a cell that has room.
TOLD_AGAIN_S = 4.0  # Several reasons of one long wait, without a line a plan.
TELL_PAUSE_S = 0.05  # However many steps wait, so many lines a second at most.


class ChoiceChange(StrEnum):
    """What became of a worker on which a step was to start."""

    KEPT = "kept"
    FULL = "full"
    UNUSABLE = "unusable"
    REPLACED = "replaced"


class ChoiceLog:
    """Logs how a step's choice of workers changes between calls for permissions.

    :param owner: The owner that plans the steps.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.chosen: dict[str, set[WorkerId]] = {}

    def note(self, renewal: Renewal) -> None:
        """Logs a choice that lacks permissions, and what it kept of the last one."""
        step = renewal.step
        changes: Counter[ChoiceChange] = Counter()
        chosen = set(renewal.chosen)
        for worker in self.chosen.get(step.name, set()):
            changes[self.change_of(step, worker, chosen)] += 1
        self.chosen[step.name] = chosen
        for change, count in changes.items():
            self.owner.metrics.choices.labels(change.value).inc(count)
        logger.info(
            Event.PERMISSIONS_LACKING,
            step=step.name,
            tasks=len(step.waiting()),
            chosen=len(chosen),
            lacking=len(renewal.without_ticket),
            **{change.value: changes[change] for change in ChoiceChange},
        )

    def change_of(
        self, step: Step, worker: WorkerId, chosen: set[WorkerId]
    ) -> ChoiceChange:
        """Returns what became of one worker of the last choice."""
        if worker in chosen:
            return ChoiceChange.KEPT
        node = self.owner.fleet.nodes.get(worker)
        if node is None or node.slow or not node.usable(anyio.current_time()):
            return ChoiceChange.UNUSABLE
        if not step.room.within(node.free()):
            return ChoiceChange.FULL
        return ChoiceChange.REPLACED

    def forget_others(self, steps: Container[str]) -> None:
        """Forgets the choices of all but some steps."""
        for name in [name for name in self.chosen if name not in steps]:
            del self.chosen[name]


class WaitLog:
    """Logs what steps lack that wait for long.

    :param owner: The owner that plans them.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.tell_at: dict[str, float] = {}
        self.next_at = -math.inf

    def note(
        self, waiting: Mapping[str, Step], usable: list[WorkerNode], now: float
    ) -> None:
        """Logs a step that has waited for too long, the one overdue for longest."""
        for name in self.tell_at.keys() - waiting.keys():
            del self.tell_at[name]
        for name in waiting.keys() - self.tell_at.keys():
            self.tell_at[name] = now + FIRST_TOLD_S
        if not self.tell_at or now < self.next_at:
            return
        name = min(waiting, key=self.tell_at.__getitem__)
        if now < self.tell_at[name]:
            return
        self.next_at = now + TELL_PAUSE_S
        self.tell_at[name] = now + TOLD_AGAIN_S
        self.tell(waiting[name], usable, now)

    def tell(self, step: Step, usable: list[WorkerNode], now: float) -> None:
        """Logs what one step lacks."""
        service = step.job.queue.service
        nodes = [node for node in usable if node.entry.service == service]
        permitted = self.owner.planning.permitted_by(nodes)(step)
        valid = self.owner.planning.ticket_valid_at(now)
        known = self.owner.advice_book.steps.get(step.name)
        allowed = [node for node in nodes if permitted and node.id in permitted]
        room_for = 0
        for node in allowed:
            room_for += fitting_count(step.room, node.free(), step.spec.tasks)
        logger.info(
            Event.STEP_WAITS,
            step=step.name,
            age_s=round(now - step.due_at, 3),
            tasks=len(step.waiting()),
            runs=len(step.runs()),
            together=step.spec.all_at_once,
            workers=len(nodes),
            asked=0 if known is None else len(known.asked),
            asking=known is not None and known.pending.total() > 0,
            permitted=len(allowed),
            tickets=sum(valid(step, node) for node in allowed),
            room_for=room_for,
            full=round(self.owner.fleet.core_utilisation(), 2),
        )
