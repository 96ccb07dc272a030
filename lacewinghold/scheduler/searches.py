"""Asks the advice service about more workers for steps that lack some."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from lacewinghold.scheduler.advice import MAX_WORKERS_PER_CALL, Purpose
from lacewinghold.scheduler.policy import fitting_count, has_label

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from lacewinghold.ids import Incarnation, WorkerId
    from lacewinghold.scheduler.advice import AdviceBook
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Resources

MIN_SEARCHES = 8  # Steps of a queue that wait for a lane, even if there are fewer.
CROWD_S = 0.5  # Steps that have asked about everybody are checked again this often.
MANY_TASKS = 1000  # More of them than this say nothing of a worker's room.


class Searches:
    """Wants one call at a time for a step, about those with the most room first.

    Most steps need no more. No more steps of a queue wait for lanes than lanes can
    take before the next plan, and those that wait or have asked about everybody are
    left alone while the workers are the same: the work does not grow with the steps.

    :param book: Makes the calls.
    """

    def __init__(self, book: AdviceBook) -> None:
        self.book = book
        self.crowd: frozenset[tuple[WorkerId, Incarnation]] = frozenset()
        self.crowd_until = -math.inf
        self.all_asked: set[str] = set()
        self.sought: set[str] = set()
        self.by_room: dict[tuple[str, str, Resources], list[WorkerNode]] = {}

    def make(
        self,
        steps: list[Step],
        found: Callable[[Step], int],
        skipped: Container[str],
        usable: list[WorkerNode],
        now: float,
    ) -> None:
        """Wants calls for the most urgent steps that lack workers.

        :param steps: Steps with waiting tasks, most urgent first.
        :param found: For how many tasks of a step workers have been chosen.
        :param skipped: Steps whose choices are not known now.
        """
        self.note_crowd(usable, now)
        self.by_room = {}
        most = max(MIN_SEARCHES, len(self.book.lanes))
        counts: Counter[str] = Counter()
        for step in steps:
            queue = step.job.queue
            if queue.advice is None or counts[queue.name] >= most:
                continue
            if step.name in self.all_asked or self.book.search_pending(step):
                continue
            if step.name in skipped and self.book.has_answer(step):
                continue
            if len(step.waiting()) <= found(step):
                continue
            counts[queue.name] += self.search(step, usable, now)

    def note_crowd(self, usable: list[WorkerNode], now: float) -> None:
        """Notes which workers there are."""
        members = frozenset(
            (node.entry.worker, node.entry.incarnation) for node in usable
        )
        if members == self.crowd and now < self.crowd_until:
            return
        self.crowd = members
        self.crowd_until = now + CROWD_S
        self.all_asked.clear()
        self.sought.clear()

    def search(self, step: Step, usable: list[WorkerNode], now: float) -> bool:
        """Wants a call for one step.

        :returns: Whether it waits for a lane now.
        """
        if self.book.search_queued(step) and step.name in self.sought:
            return True
        unasked = self.unasked(step, usable)
        if not unasked:
            self.all_asked.add(step.name)
            return False
        self.book.queue_calls(step, unasked, now, Purpose.SEARCH)
        self.sought.add(step.name)
        return self.book.search_queued(step)

    def unasked(self, step: Step, usable: list[WorkerNode]) -> list[WorkerNode]:
        """Returns the workers to ask about next."""
        service, label = step.job.queue.service, step.spec.required_label
        key = service, label, step.room
        nodes = self.by_room.get(key)
        if nodes is None:
            nodes = [
                node
                for node in usable
                if node.entry.service == service and has_label(step, node)
            ]
            nodes.sort(
                key=lambda node: -fitting_count(step.room, node.free(), MANY_TASKS)
            )
            self.by_room[key] = nodes
        return self.book.unasked(step, nodes)[:MAX_WORKERS_PER_CALL]
