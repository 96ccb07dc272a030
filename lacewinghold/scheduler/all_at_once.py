"""Workers for the tasks of an all-at-once step, some of which may be suspects."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.scheduler.model import Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.policy import Planner
    from lacewinghold.scheduler.suspects import Suspects


def isolated_tasks(step: Step, suspects: Suspects) -> list[Task]:
    """Returns the tasks of a step that may start only on an idle worker each."""
    found = []
    for task in step.tasks.objects():
        if suspects.must_be_alone(task):
            found.append(task)
    return found


def choose_for_all(
    planner: Planner,
    step: Step,
    group: Iterable[WorkerNode],
    isolated: list[Task],
    idle: Iterable[WorkerNode],
) -> list[tuple[Task, WorkerNode]]:
    """Chooses workers for all tasks of a step, those that are isolated first.

    :param group: Workers for the tasks, the best first.
    :param isolated: Tasks that need an idle worker each.
    :param idle: Idle workers, the best first; those kept free for suspects are among
        them, but not in the group.
    :returns: Fewer pairs than the step has tasks if there is no room for all.
    """
    if not isolated:
        nodes = planner.choose_workers(step, step.spec.tasks, group)
        return list(zip(step.waiting_tasks(), nodes, strict=False))
    group = list(group)
    allowed = {node.id for node in group} | planner.suspects.closed
    hosts = [node for node in idle if node.id in allowed][: len(isolated)]
    if len(hosts) < len(isolated):
        return []
    taken = {node.id for node in hosts}
    names = {task.name for task in isolated}
    others = [task for task in step.waiting_tasks() if task.name not in names]
    rest = (node for node in group if node.id not in taken)
    nodes = planner.choose_workers(step, len(others), rest)
    chosen = list(zip(isolated, hosts, strict=True))
    return chosen + list(zip(others, nodes, strict=False))
