"""Reservations of workers for all-at-once steps (gang scheduling).

A reserved worker starts no less urgent work, so that it becomes free for the step. The
load that this answers: a full cell, in which the room that single tasks leave is never
enough for all tasks of such a step. A reservation may be in vain, since the work on a
worker may go on for longer than expected. It therefore ends after a bounded time and
pauses for as long, sooner while there is free capacity beside it. The module does no
input or output.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.scheduler.room import fitting_count

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Resources

MAX_RESERVING_STEPS = 2  # All-at-once steps that may reserve workers in one plan.
MAX_RESERVED_SHARE = 0.6  # Of the workers.
# An accepted job must not stand still for 3 s beside free capacity. The last second is
# for the permissions and start orders of what waited.
MAX_RESERVATION_S = 2.0
# In a busy cell, a worker becomes free only after the runs on it, which take seconds.
MAX_BUSY_RESERVATION_S = 8.0
BUSY_SHARE = 0.7  # Used share of the cell's CPU from which it is busy.


class Reservations:
    """Which workers are reserved for which steps, from plan to plan.

    A step may have reserved workers for ``limit_s`` from the first one on, and then for
    as long not. The same holds for each worker: otherwise several steps
    could reserve it in turn. An interruption does not extend the time, so that a step
    whose permissions are refused does not begin anew.

    :param workers: Workers that the last plan reserved, by the steps' names.
    :param now: Time of that plan on the runtime's clock, in seconds.
    """

    def __init__(
        self,
        workers: Mapping[str, Sequence[WorkerId]] | None = None,
        now: float = 0.0,
    ) -> None:
        self.now = now
        self.limit_s = MAX_RESERVATION_S
        self.workers: Mapping[str, Sequence[WorkerId]] = {}
        self.step_since: dict[str, float] = {}
        self.worker_since: dict[WorkerId, float] = {}
        self.update(workers or {})

    def begin_plan(
        self, now: float, *, busy: bool = False
    ) -> dict[str, Sequence[WorkerId]]:
        """Ends what has been reserved for too long.

        :param busy: Whether there is no free capacity beside the reservations.
        :returns: The ended reservations by the steps' names.
        """
        self.now = now
        self.limit_s = MAX_BUSY_RESERVATION_S if busy else MAX_RESERVATION_S
        oldest = now - 2 * self.limit_s
        self.step_since = {
            name: since for name, since in self.step_since.items() if since > oldest
        }
        self.worker_since = {
            worker: since
            for worker, since in self.worker_since.items()
            if since > oldest
        }
        ended = {}
        for name, workers in self.workers.items():
            if not self.may_reserve_for(name):
                ended[name] = workers
        self.workers = {
            name: workers for name, workers in self.workers.items() if name not in ended
        }
        return ended

    def update(self, workers: Mapping[str, Sequence[WorkerId]]) -> None:
        """Takes over what the plan has reserved, by the steps' names."""
        self.workers = workers
        for name, reserved in workers.items():
            self.step_since.setdefault(name, self.now)
            for worker in reserved:
                self.worker_since.setdefault(worker, self.now)

    def may_reserve_for(self, step: str) -> bool:
        """Returns whether a step may have reserved workers now."""
        return self.now - self.step_since.get(step, self.now) < self.limit_s

    def may_reserve(self, worker: WorkerId) -> bool:
        """Returns whether a worker may be reserved now."""
        return self.now - self.worker_since.get(worker, self.now) < self.limit_s

    def reserved_s(self, worker: WorkerId) -> float:
        """Returns for how long a worker has been reserved, in seconds."""
        return self.now - self.worker_since.get(worker, self.now)

    def seconds_until_end(self, now: float) -> float:
        """Returns when the first worker's reservation ends.

        :returns: Seconds from now; ``limit_s`` if nothing is reserved.
        """
        wait_s = self.limit_s
        for name, workers in self.workers.items():
            since = [self.worker_since[worker] for worker in workers]
            first = min([self.step_since[name], *since])
            wait_s = min(wait_s, first + self.limit_s - now)
        return max(0.0, wait_s)


class PlanReservations:
    """The reservations of one plan.

    :param earlier: What the last plans have reserved.
    :param max_workers: How many workers may be reserved.
    """

    def __init__(self, earlier: Reservations, max_workers: float) -> None:
        self.earlier = earlier
        self.max_workers = max_workers
        self.urgency: dict[WorkerId, int] = {}
        self.reserved: dict[str, list[WorkerId]] = {}

    def keeps_out(self, worker: WorkerId, step: Step) -> bool:
        """Returns whether a worker is reserved for a more urgent step than this one.

        Long-running tasks must be restarted soon, however busy the cell is.
        """
        urgency = step.job.queue.urgency
        if not self.urgency or self.urgency.get(worker, urgency) >= urgency:
            return False
        if not step.spec.long_running:
            return True
        return self.earlier.reserved_s(worker) < MAX_RESERVATION_S

    def may_reserve(self, step: Step) -> bool:
        """Returns whether workers may be reserved for a step now."""
        if len(self.reserved) >= MAX_RESERVING_STEPS:
            return False
        return self.earlier.may_reserve_for(step.name)

    def reserve(
        self, step: Step, nodes: list[WorkerNode], free: Mapping[WorkerId, Resources]
    ) -> None:
        """Reserves enough workers for all tasks of a step against less urgent work.

        Workers that the last plan reserved are preferred: they become free only if the
        reservation stays on the same workers.

        :param nodes: The workers that may run the step.
        :param free: Free resources by worker.
        """
        nodes = [node for node in nodes if self.earlier.may_reserve(node.id)]
        if not fits_without_others(step, nodes):
            return
        needed = step.spec.tasks
        last_reserved = frozenset(self.earlier.workers.get(step.name, ()))
        by_preference = sorted(
            nodes,
            key=lambda node: (
                node.id not in last_reserved,
                -free[node.id].cpu_millis,
            ),
        )
        reserved = self.reserved.setdefault(step.name, [])
        for node in by_preference:
            if needed <= 0 or len(self.urgency) >= self.max_workers:
                return
            count = final_count(step, node, needed)
            if count == 0:
                continue
            needed -= count
            reserved.append(node.id)
            urgency = step.job.queue.urgency
            self.urgency[node.id] = min(self.urgency.get(node.id, urgency), urgency)


def final_count(step: Step, node: WorkerNode, limit: int) -> int:
    """Returns how many tasks of a step fit on a worker once other runs have ended.

    Long-running tasks do not end.

    :param limit: The most to return.
    """
    limit = min(limit, step.spec.max_per_worker or limit)
    return fitting_count(step.room, node.entry.capacity.minus(node.lasting), limit)


def fits_without_others(step: Step, nodes: Iterable[WorkerNode]) -> bool:
    """Returns whether all tasks fit once the other runs on the workers have ended."""
    count = 0
    for node in nodes:
        count += final_count(step, node, step.spec.tasks)
    return count >= step.spec.tasks
