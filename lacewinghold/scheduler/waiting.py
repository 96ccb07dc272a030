"""Logs why steps wait, so that a late job can be explained afterwards."""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.scheduler.room import fitting_count

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.plan import Renewal

logger = structlog.get_logger(__name__)
FIRST_LOG_DELAY_S = 2.0  # Longer than a step waits in a cell that has room.
REPEAT_LOG_INTERVAL_S = 4.0  # Per step; shows how the reasons of a long wait change.
MIN_LOG_INTERVAL_S = 0.05  # Limits the lines per second, however many steps wait.


class ChoiceChange(StrEnum):
    """Why a worker of a step's last choice is, or is not, in its new choice."""

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
        self.last_chosen: dict[str, set[WorkerId]] = {}

    def log_choice(self, renewal: Renewal) -> None:
        """Logs a choice that needs permissions, compared with the step's last one."""
        step = renewal.step
        changes: Counter[ChoiceChange] = Counter()
        chosen = set(renewal.chosen)
        for worker in self.last_chosen.get(step.name, set()):
            changes[self.classify_change(step, worker, chosen)] += 1
        self.last_chosen[step.name] = chosen
        for change, count in changes.items():
            self.owner.metrics.choices.labels(change.value).inc(count)
        logger.info(
            Event.PERMISSIONS_LACKING,
            step=step.name,
            tasks=step.waiting_count(),
            chosen=len(chosen),
            lacking=len(renewal.without_ticket),
            **{change.value: changes[change] for change in ChoiceChange},
        )

    def classify_change(
        self, step: Step, worker: WorkerId, chosen: set[WorkerId]
    ) -> ChoiceChange:
        """Returns how one worker of the last choice fared in the new one."""
        if worker in chosen:
            return ChoiceChange.KEPT
        node = self.owner.fleet.nodes.get(worker)
        if node is None or node.slow or not node.usable(anyio.current_time()):
            return ChoiceChange.UNUSABLE
        if not step.room.within(node.free()):
            return ChoiceChange.FULL
        return ChoiceChange.REPLACED

    def retain(self, steps: Container[str]) -> None:
        """Forgets the choices of all steps but those given."""
        for name in [name for name in self.last_chosen if name not in steps]:
            del self.last_chosen[name]


class WaitLog:
    """Logs the state of steps that have waited for a long time.

    :param owner: The owner that plans the steps.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.log_due_at: dict[str, float] = {}
        self.next_log_at = -math.inf

    def log_longest_overdue(
        self, waiting: Mapping[str, Step], usable: list[WorkerNode], now: float
    ) -> None:
        """Logs the step whose line is overdue for longest, if any is due.

        :param waiting: All steps with waiting tasks, by their names.
        :param usable: Workers on which tasks may be started now.
        """
        for name in self.log_due_at.keys() - waiting.keys():
            del self.log_due_at[name]
        for name in waiting.keys() - self.log_due_at.keys():
            self.log_due_at[name] = now + FIRST_LOG_DELAY_S
        if not self.log_due_at or now < self.next_log_at:
            return
        name = min(waiting, key=self.log_due_at.__getitem__)
        if now < self.log_due_at[name]:
            return
        self.next_log_at = now + MIN_LOG_INTERVAL_S
        self.log_due_at[name] = now + REPEAT_LOG_INTERVAL_S
        self.log_wait(waiting[name], usable, now)

    def log_wait(self, step: Step, usable: list[WorkerNode], now: float) -> None:
        """Logs the workers, permissions and room that one step has."""
        service = step.job.queue.service
        nodes = [node for node in usable if node.entry.service == service]
        permitted = self.owner.planning.permission_lookup(nodes)(step)
        has_valid_ticket = self.owner.planning.ticket_check(now)
        advice = self.owner.advice_book.steps.get(step.name)
        allowed = [node for node in nodes if permitted and node.id in permitted]
        room_for = 0
        for node in allowed:
            room_for += fitting_count(step.room, node.free(), step.spec.tasks)
        logger.info(
            Event.STEP_WAITS,
            step=step.name,
            age_s=round(now - step.due_at, 3),
            tasks=step.waiting_count(),
            runs=len(step.active_runs()),
            together=step.spec.all_at_once,
            workers=len(nodes),
            asked=0 if advice is None else len(advice.asked),
            asking=advice is not None and advice.pending.total() > 0,
            permitted=len(allowed),
            tickets=sum(has_valid_ticket(step, node) for node in allowed),
            room_for=room_for,
            full=round(self.owner.fleet.core_utilisation(), 2),
        )
