"""Tasks that are suspected of crashing their workers, and where they may start.

The module does no input or output. A task that crashes its workers does so at about the
same age of its runs. A task that was lost twice in this way starts on a worker on which
nothing else runs, so that a further crash proves its guilt and costs no other run.
"""

from __future__ import annotations

import math
from collections import Counter
from copy import copy
from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.scheduler.model import TaskState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Resources

AGE_TOLERANCE_S = 2.0  # Polls tell the age of a run at a crash to about a second.
ISOLATION_CRASHES = 2  # After so many, a task starts on an idle worker.
PROOF_CRASHES = 3  # So many prove a task's guilt if it was alone in one of them.
MAX_CONFIRMED_CRASHES = 4  # So many prove it in any case.
MAX_CRASHES = 5  # Also those under runs that the worker may not have started.
ISOLATION_WAIT_S = 2.5  # Then a task starts where it costs the fewest runs.
LAST_ISOLATION_WAIT_S = 6.0  # The same if the next crash proves its guilt.
MAX_ISOLATED_SHARE = 0.25  # Of a service's workers.


class WorkerCrash(Struct, frozen=True):
    """A crash of a worker under a run of a task.

    :param task: Name of the task.
    :param run: Number of the run.
    :param age_s: How long the run had been ordered when the worker was last heard from.
    :param alone: Whether it was confirmed, and nothing else ran on the worker.
    :param confirmed: Whether the worker had answered that it started the run.
    """

    run: int
    worker: str
    age_s: float
    alone: bool
    confirmed: bool
    task: str = ""

    def describe(self) -> str:
        """Returns the crash as it is logged."""
        return f"{self.task} run {self.run} on {self.worker} at {self.age_s} s"


def crashes_of(task: Task) -> list[WorkerCrash]:
    """Returns the crashes under a task; tasks of an all-at-once step share theirs."""
    return task.step.crashes if task.step.spec.all_at_once else task.crashes


def add_crash(crashes: list[WorkerCrash], crash: WorkerCrash) -> bool:
    """Adds a crash to those under a task and drops those at another age.

    :returns: Whether it is new; a crash that is seen twice counts once.
    """
    if any(known.run == crash.run for known in crashes):
        return False
    crashes.append(crash)
    crashes[:] = [
        known for known in crashes if abs(known.age_s - crash.age_s) <= AGE_TOLERANCE_S
    ]
    return True


def is_guilty(crashes: list[WorkerCrash], *, from_earlier_owner: bool = False) -> bool:
    """Returns whether the crashes under a task prove that it causes them.

    A run that its worker has not confirmed may have been ordered after the crash.

    :param from_earlier_owner: Whether earlier owners may have started the task. They
        may have ended before they saw a further crash.
    """
    alone = any(crash.alone for crash in crashes)
    confirmed = sum(crash.confirmed for crash in crashes)
    if from_earlier_owner and confirmed >= PROOF_CRASHES - 1:
        return len(crashes) >= PROOF_CRASHES
    proof = PROOF_CRASHES if alone else MAX_CONFIRMED_CRASHES
    return confirmed >= proof or len(crashes) >= MAX_CRASHES


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


def outlives(crashes: list[WorkerCrash], age_s: float) -> bool:
    """Returns whether a run has worked well beyond the age at which it was lost."""
    return age_s > AGE_TOLERANCE_S + max(crash.age_s for crash in crashes)


def isolates(task: Task) -> bool:
    """Returns whether nothing may start beside a task."""
    return len(crashes_of(task)) >= ISOLATION_CRASHES


def isolation_wait_s(task: Task) -> float:
    """Returns for how long a task waits for an idle worker, in seconds."""
    if len(crashes_of(task)) >= PROOF_CRASHES:
        return LAST_ISOLATION_WAIT_S
    return ISOLATION_WAIT_S


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
        members = task.step.tasks if task.step.spec.all_at_once else [task]
        self.tasks.update((member.name, member) for member in members)
        return add_crash(crashes_of(task), crash)

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
        if not crashes_of(task):
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
            if not crashes_of(task) or step.job.ended() or task.state is TaskState.DONE:
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
