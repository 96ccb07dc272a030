"""Searches: ask the advice service about more workers for steps that need them."""

from __future__ import annotations

import math
from collections import Counter
from heapq import nsmallest
from typing import TYPE_CHECKING
from zlib import crc32

from lacewinghold.scheduler.advice import MAX_WORKERS_PER_CALL, Purpose
from lacewinghold.scheduler.room import fitting_count, has_label
from lacewinghold.scheduler.speed_ranking import SpeedPreference

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Mapping

    from lacewinghold.ids import Incarnation, WorkerId
    from lacewinghold.scheduler.advice import AdviceBook
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Resources
    from lacewinghold.scheduler.speed_ranking import SpeedRanking

MIN_QUEUED_SEARCHES = 8  # Per queue of jobs, also with fewer lanes.
RECHECK_INTERVAL_S = 0.5  # Until steps that asked about all workers are checked again.
MAX_COMPARED_TASKS = 1000  # Workers with room for more tasks rank as equal.


class WorkerSearches:
    """Requests calls about workers that the advice service was not asked about yet.

    A step has one such call at a time, about the workers with the most room; most
    steps need no further call. The work is bounded, however many steps wait: a queue
    of jobs has no more queued searches than the lanes, which make the calls, can take
    before the next plan. Steps that have a queued search or have asked about all
    workers are not checked again until the workers change or ``RECHECK_INTERVAL_S``
    has passed.

    :param book: The book that queues and makes the calls.
    """

    def __init__(self, book: AdviceBook) -> None:
        self.book = book
        self.known_workers: frozenset[tuple[WorkerId, Incarnation]] = frozenset()
        self.recheck_at = -math.inf
        self.fully_asked: set[str] = set()
        self.requested: set[str] = set()
        self.rooms: dict[tuple[str, str, Resources], dict[WorkerId, int]] = {}

    def request_searches(
        self,
        steps: list[Step],
        chosen_task_count: Callable[[Step], int],
        skipped: Container[str],
        usable: list[WorkerNode],
        speeds: SpeedRanking,
        task_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Requests calls for the most urgent steps that need more workers.

        :param steps: Steps with waiting tasks, most urgent first.
        :param chosen_task_count: Returns for how many tasks of a step workers have been
            chosen.
        :param skipped: Names of the steps for which the last plan chose no workers
            because its work is limited. They get a search only if they have not asked
            about any worker yet.
        :param usable: Workers on which tasks may be started now.
        :param speeds: The workers' speeds in the last plan, with its time.
        :param task_limits: How many tasks may start of steps that are limited.
        """
        limits = task_limits or {}
        self.reset_if_workers_changed(usable, speeds.now)
        self.rooms = {}
        max_queued = max(MIN_QUEUED_SEARCHES, len(self.book.lanes))
        counts: Counter[str] = Counter()
        for step in steps:
            queue = step.job.queue
            if queue.advice is None or counts[queue.name] >= max_queued:
                continue
            if step.name in self.fully_asked or self.book.search_pending(step):
                continue
            if step.name in skipped and self.book.has_answer(step):
                continue
            needed = step.waiting_count()
            if min(needed, limits.get(step.name, needed)) <= chosen_task_count(step):
                continue
            counts[queue.name] += self.request_search(step, usable, speeds)

    def reset_if_workers_changed(self, usable: list[WorkerNode], now: float) -> None:
        """Clears the remembered steps if workers changed or a recheck is due."""
        members = frozenset(
            (node.entry.worker, node.entry.incarnation) for node in usable
        )
        if members == self.known_workers and now < self.recheck_at:
            return
        self.known_workers = members
        self.recheck_at = now + RECHECK_INTERVAL_S
        self.fully_asked.clear()
        self.requested.clear()

    def request_search(
        self, step: Step, usable: list[WorkerNode], speeds: SpeedRanking
    ) -> bool:
        """Requests a call for one step.

        :returns: Whether the call waits for a lane now.
        """
        if self.book.search_queued(step) and step.name in self.requested:
            return True
        unasked = self.next_unasked(step, usable, speeds)
        if not unasked:
            self.fully_asked.add(step.name)
            return False
        self.book.queue_calls(step, unasked, speeds.now, Purpose.SEARCH)
        self.requested.add(step.name)
        return self.book.search_queued(step)

    def next_unasked(
        self, step: Step, usable: list[WorkerNode], speeds: SpeedRanking
    ) -> list[WorkerNode]:
        """Returns the workers to ask about next, those with the most room first.

        A step that takes the fastest workers asks first about the fastest with room.
        Others do not ask by speed, or their permissions would all be for workers that
        fill up with work like theirs.

        Among workers with equal room, each step begins with others. In a large cell
        that has room, all steps would otherwise get permissions for the same workers,
        which fill up while the others stay idle.
        """
        room_by_worker = self.room_by_worker(step, usable)
        unasked = self.book.unasked(
            step, [node for node in usable if node.id in room_by_worker]
        )
        step_hash = crc32(step.name.encode())

        wanted = speeds.preference(step)
        if wanted is SpeedPreference.SLOWEST:
            wanted = SpeedPreference.ANY

        def preference(node: WorkerNode) -> tuple[bool, int, int, int]:
            room = room_by_worker[node.id]
            rank = speeds.rank(node.id, wanted)
            return room == 0, rank, -room, node.id_hash ^ step_hash

        return nsmallest(MAX_WORKERS_PER_CALL, unasked, key=preference)

    def room_by_worker(
        self, step: Step, usable: list[WorkerNode]
    ) -> dict[WorkerId, int]:
        """Returns how many tasks of a step fit on each worker that may run it.

        Steps whose tasks have the same size share the result within one plan.
        """
        service, label = step.job.queue.service, step.spec.required_label
        key = service, label, step.room
        found = self.rooms.get(key)
        if found is None:
            found = {}
            for node in usable:
                if node.entry.service != service or not has_label(step, node):
                    continue
                found[node.id] = fitting_count(
                    step.room, node.free(), MAX_COMPARED_TASKS
                )
            self.rooms[key] = found
        return found
