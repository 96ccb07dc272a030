"""Keeps what each organisation has running below its cap.

The load that this answers: organisations whose demand exceeds what they may use at a
time. What runs is counted from the decision to start a run until its end is certain,
so that unanswered, late and refused orders and runs that are being stopped count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from lacewinghold.organisations.cap_holds import CapHolds
from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lacewinghold.scheduler.model import Run, Step
    from lacewinghold.scheduler.ports import Manifest
    from lacewinghold.schema.generated.cell import StepSpec

K = TypeVar("K")


def task_demand(spec: StepSpec) -> Resources:
    """Returns what a task of a step counts against the cap of its organisation.

    Unlike the room on a worker, this includes the CPU of filler tasks.
    """
    return Resources(spec.cpu_millis, spec.memory_mb, spec.accelerators)


def tasks_below(cap: Resources, used: Resources, demand: Resources) -> int | None:
    """Returns how many more tasks stay below a cap, ``None`` if it limits none.

    :param demand: What each task takes.
    """
    counts = []
    for limit, taken, size in (
        (cap.cpu_millis, used.cpu_millis, demand.cpu_millis),
        (cap.memory_mb, used.memory_mb, demand.memory_mb),
        (cap.accelerators, used.accelerators, demand.accelerators),
    ):
        if limit > 0 and size > 0:
            counts.append(max(0, (limit - taken) // size))
    return min(counts, default=None)


def exceeds_cap(spec: StepSpec, cap: Resources) -> bool:
    """Returns whether an all-at-once step can never run below a cap."""
    if not spec.all_at_once:
        return False
    count = tasks_below(cap, Resources(), task_demand(spec))
    return count is not None and count < spec.tasks


def add_to(account: dict[K, Resources], key: K, amount: Resources) -> None:
    """Adds an amount to an entry of an account; entries of nothing are removed."""
    total = account.get(key, Resources()).plus(amount)
    if total == Resources():
        account.pop(key, None)
    else:
        account[key] = total


class UsageAccount:
    """What each organisation has running, by the runs that are booked on workers.

    :ivar used: Over all workers, by organisation.
    :ivar used_by_service: The same by service and organisation. The service is that in
        force when the job was accepted, which a later manifest does not change.
    """

    def __init__(self) -> None:
        self.used: dict[str, Resources] = {}
        self.used_by_service: dict[tuple[str, str], Resources] = {}

    def add(self, run: Run) -> None:
        """Adds a run that is booked on a worker."""
        self.change(run, 1)

    def remove(self, run: Run) -> None:
        """Removes a run that has certainly ended."""
        self.change(run, -1)

    def change(self, run: Run, count: int) -> None:
        """Adds the demand of a run, ``count`` times."""
        record = run.task.step.job.record
        if not record.organisation:
            return
        demand = task_demand(run.task.step.spec).times(count)
        add_to(self.used, record.organisation, demand)
        competitor = (record.rules.service, record.organisation)
        add_to(self.used_by_service, competitor, demand)


class CapBudget:
    """What each organisation may still start within one plan.

    :param caps: The caps by organisation; others have none.
    :param used: What the organisations have running.
    :param holds: Which blocked steps hold the room of their organisation.
    """

    def __init__(
        self,
        caps: Mapping[str, Resources] | None = None,
        used: Mapping[str, Resources] | None = None,
        holds: CapHolds | None = None,
    ) -> None:
        self.caps = caps or {}
        self.holds = holds or CapHolds()
        self.held_by: dict[str, str] = {}
        self.used = {name: (used or {}).get(name, Resources()) for name in self.caps}

    def limit(self, step: Step, count: int) -> int:
        """Returns how many of a number of tasks of a step may start.

        One that exceeds the cap by itself may start while nothing else of its
        organisation runs; otherwise it would wait for ever.
        """
        organisation = step.job.record.organisation
        cap = self.caps.get(organisation)
        if cap is None:
            return count
        if self.held_by.get(organisation, step.name) != step.name:
            return 0
        used = self.used[organisation]
        below = tasks_below(cap, used, task_demand(step.spec))
        if below is None:
            return count
        if below == 0 and used == Resources() and not step.spec.all_at_once:
            return min(1, count)
        return min(below, count)

    def record_blocked(self, step: Step) -> None:
        """Records that no task of a step may start.

        If it needs more room at once than becomes free by itself, it may hold the room
        of its organisation against the steps that are planned after it.
        """
        organisation = step.job.record.organisation
        cap = self.caps.get(organisation)
        if cap is None or exceeds_cap(step.spec, cap):
            return
        alone = tasks_below(cap, Resources(), task_demand(step.spec)) == 0
        if not step.spec.all_at_once and not alone:
            return
        if self.holds.may_hold(step.name):
            self.held_by.setdefault(organisation, step.name)

    def take(self, step: Step, count: int) -> None:
        """Counts tasks of a step as running; a negative count returns them."""
        organisation = step.job.record.organisation
        if organisation in self.caps:
            demand = task_demand(step.spec).times(count)
            self.used[organisation] = self.used[organisation].plus(demand)


class CapPolicy:
    """Makes the budgets of plans from the manifest and the runs on workers."""

    def __init__(self) -> None:
        self.usage = UsageAccount()
        self.holds = CapHolds()
        self.caps: dict[str, Resources] = {}
        self.version: int | None = None

    def update(self, manifest: Manifest) -> None:
        """Applies the caps of a manifest.

        The cap of an organisation that a manifest does not name any more stays, since
        its jobs go on.
        """
        if manifest.version == self.version:
            return
        self.version = manifest.version
        for organisation in (manifest.organisations or {}).values():
            self.caps[organisation.name] = organisation.cap
        unlimited = {name for name, cap in self.caps.items() if cap == Resources()}
        for name in unlimited:
            del self.caps[name]

    def make_full_budget(self) -> CapBudget:
        """Returns a budget in which no organisation with a cap may start anything."""
        return CapBudget(self.caps, self.caps)

    def make_budget(
        self,
        possible: Iterable[Step] = (),
        remaining: Mapping[str, Resources] | None = None,
    ) -> CapBudget:
        """Returns the budget of a plan.

        :param possible: Steps whose waiting tasks an earlier owner may have started.
        :param remaining: What runs of jobs that have ended under an earlier owner may
            use, by organisation.
        """
        budget = CapBudget(self.caps, self.usage.used, self.holds)
        if self.caps:
            for step in possible:
                budget.take(step, step.waiting_count())
        for organisation, used in (remaining or {}).items():
            if organisation in budget.used:
                budget.used[organisation] = budget.used[organisation].plus(used)
        return budget
