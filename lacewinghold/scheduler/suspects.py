"""Tasks that are suspected of crashing their workers, and where they may start.

The module does no input or output. A task that crashes its workers mostly does so at
about the same age of its runs. A task that was lost twice in this way starts on a
worker on which nothing else runs, so that a further crash proves its guilt and costs no
other run. The other tasks of an all-at-once step start wherever there is room.
"""

from __future__ import annotations

import math
from collections import Counter
from copy import copy
from typing import TYPE_CHECKING

from lacewinghold.scheduler.crash_evidence import MAX_CRASHES_ONCE_ALONE, PROOF_CRASHES
from lacewinghold.scheduler.model import TaskState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.crash_evidence import WorkerCrash
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Resources

ISOLATION_CRASHES = 2  # After so many, a task starts on an idle worker.
ISOLATION_WAIT_S = 2.5  # Then a task starts where it costs the fewest runs.
LAST_ISOLATION_WAIT_S = 6.0  # The same if the next crash proves its guilt.
MAX_ISOLATED_SHARE = 0.25  # Of a service's workers.


def suspects_first(step: Step) -> Iterator[Task]:
    """Yields the waiting tasks of a step, those that crashed workers first.

    A suspected task may use a worker that is closed to the others.
    """
    for task in step.tasks.objects():
        if task.state is TaskState.WAITING and task.crashes:
            yield task
    for task in step.tasks.waiting():
        if not task.crashes:
            yield task


def isolates(task: Task) -> bool:
    """Returns whether nothing may start beside a task."""
    if not task.crashes:
        return False
    return len(task.crashes) >= ISOLATION_CRASHES or is_near_proof(task)


def is_near_proof(task: Task) -> bool:
    """Returns whether the next crash may prove a task's guilt."""
    history = task.crash_history
    if history is None:
        return False
    total = len(history.total)
    return len(history.recent) >= PROOF_CRASHES or total >= MAX_CRASHES_ONCE_ALONE - 1


def isolation_wait_s(task: Task) -> float:
    """Returns for how long a task waits for an idle worker, in seconds."""
    return LAST_ISOLATION_WAIT_S if is_near_proof(task) else ISOLATION_WAIT_S


class Suspects:
    """The suspected tasks, and what they mean for the next plan.

    :param tasks: All suspected tasks by their names.
    :param hosts: Workers that run a suspected task; others go elsewhere if they can.
    :param closed: Workers on which no task may start, unless it has to be alone.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, Task] = {}
        self.waiting_since: dict[str, float] = {}
        self.kept: dict[str, WorkerId] = {}
        self.isolated: Counter[str] = Counter()
        self.max_isolated: dict[str, int] = {}
        self.overdue: set[str] = set()
        self.hosts: set[WorkerId] = set()
        self.closed: set[WorkerId] = set()
        self.keeps_apart = True

    def add(self, task: Task, crash: WorkerCrash) -> bool:
        """Adds a crash under a task.

        :returns: Whether it is new.
        """
        self.tasks[task.name] = task
        return task.add_crash(crash)

    def copy(self) -> Suspects:
        """Returns a copy in which a trial plan can record its placements."""
        found = copy(self)
        found.isolated = Counter(self.isolated)
        found.hosts = set(self.hosts)
        found.closed = set(self.closed)
        return found

    def must_be_alone(self, task: Task) -> bool:
        """Returns whether a task may start only on an idle worker."""
        return isolates(task) and task.name not in self.overdue

    def is_avoided(self, worker: WorkerId) -> bool:
        """Returns whether suspected tasks should rather start on another worker."""
        return self.keeps_apart and worker in self.hosts

    def may_isolate(self, service: str) -> bool:
        """Returns whether a further worker of a service may run a single task."""
        return self.isolated[service] < self.max_isolated.get(service, 0)

    def record_placement(self, task: Task, node: WorkerNode) -> None:
        """Records that the plan has chosen a worker for a suspected task."""
        if not task.crashes:
            return
        self.hosts.add(node.id)
        if isolates(task) and node.id not in self.closed:
            self.closed.add(node.id)
            self.isolated[node.entry.service] += 1

    def prepare(
        self,
        now: float,
        open_steps: Mapping[str, Step],
        usable: Iterable[WorkerNode],
        permitted: Callable[[Step], frozenset[WorkerId] | None],
    ) -> None:
        """Prepares the next plan.

        :param open_steps: Steps with tasks that may be started, by their names.
        :param usable: Workers on which tasks may be started.
        :param permitted: Returns the workers that may run a step.
        """
        self.hosts = set()
        self.closed = set()
        self.isolated = Counter()
        if not self.tasks:
            self.waiting_since = {}
            self.overdue = set()
            self.kept = {}
            return
        nodes = {node.id: node for node in usable}
        waiting = []
        for name, task in list(self.tasks.items()):
            step = task.step
            if not task.crashes or step.job.ended() or task.state is TaskState.DONE:
                del self.tasks[name]
                continue
            if task.run is not None and task.run.worker in nodes:
                self.record_placement(task, nodes[task.run.worker])
            elif task.state is TaskState.WAITING and step.name in open_steps:
                waiting.append(task)
        # Of many tasks that were lost at a time, most are innocent.
        self.keeps_apart = len(self.tasks) <= len(nodes)
        self.update_waits(now, [task for task in waiting if isolates(task)])
        self.keep_workers(nodes, permitted)

    def update_waits(self, now: float, waiting: list[Task]) -> None:
        """Updates since when tasks have waited for an idle worker."""
        names = {task.name for task in waiting}
        self.waiting_since = {
            name: self.waiting_since.get(name, now) for name in sorted(names)
        }
        self.overdue = {
            name
            for name, since in self.waiting_since.items()
            if now - since >= isolation_wait_s(self.tasks[name])
        }

    def keep_workers(
        self,
        nodes: Mapping[WorkerId, WorkerNode],
        permitted: Callable[[Step], frozenset[WorkerId] | None],
    ) -> None:
        """Keeps one worker of each service free for the task that waits longest."""
        counts = Counter(node.entry.service for node in nodes.values())
        self.max_isolated = {
            service: max(1, math.floor(MAX_ISOLATED_SHARE * count))
            for service, count in counts.items()
        }
        kept: dict[str, WorkerId] = {}
        for name in sorted(self.waiting_since, key=self.waiting_since.__getitem__):
            task = self.tasks[name]
            service = task.step.job.queue.service
            if name in self.overdue or service in kept or not self.may_isolate(service):
                continue
            node = self.choose_kept(task.step, nodes, permitted(task.step) or ())
            if node is not None:
                kept[service] = node.id
        self.kept = kept
        self.closed |= set(kept.values())

    def choose_kept(
        self,
        step: Step,
        nodes: Mapping[WorkerId, WorkerNode],
        permitted: Iterable[WorkerId],
    ) -> WorkerNode | None:
        """Returns the worker to keep free for a step, the one of the last plan first.

        :param permitted: Workers that may run the step.
        """
        service = step.job.queue.service
        label = step.spec.required_label
        best = None
        best_key = (True, True, 0)
        for worker in permitted:
            node = nodes.get(worker)
            if node is None or node.entry.service != service or worker in self.hosts:
                continue
            if label and label not in node.entry.labels:
                continue
            if not step.room.within(node.entry.capacity):
                continue
            lasting = any(run.task.step.spec.long_running for run in node.runs.values())
            key = (lasting, worker != self.kept.get(service), len(node.runs))
            if best is None or key < best_key:
                best, best_key = node, key
        return best


def is_idle(node: WorkerNode, free: Resources) -> bool:
    """Returns whether nothing runs on a worker, and nothing is about to.

    :param free: The resources that no run and no claim has taken.
    """
    return not node.runs and free == node.entry.capacity
