"""Makes plans when something has changed, and carries them out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.invariants import Invariant, require
from lacewinghold.scheduler.advice import MAX_WORKERS_A_CALL, Purpose
from lacewinghold.scheduler.claims import Claim, ClaimBook
from lacewinghold.scheduler.model import Run, TaskState
from lacewinghold.scheduler.policy import Planner, fitting_count, fullness, has_label
from lacewinghold.scheduler.waiting import ChoiceLog, WaitLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Job, Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.policy import Renewal

logger = structlog.get_logger(__name__)
RUNS_PER_TERM = 1000  # Run numbers of a term; a task starts far less often.
PLAN_PAUSE_S = 0.008  # Events that come together are planned together.
CLAIM_SLACK_S = 0.5  # An answer that takes longer than this has no room kept for it.
PLAN_INTERVAL_S = 0.5  # Plans are made this often even without an event.


class PlanLoop:
    """Places the tasks of open steps.

    :param owner: The owner that decides.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.wanted = anyio.Event()
        self.waits = WaitLog(owner)
        self.choices = ChoiceLog(owner)
        self.claims = ClaimBook()
        self.renewals: dict[str, Renewal] = {}
        self.reserved: dict[str, list[WorkerId]] = {}

    def wake(self) -> None:
        """Has a plan made soon."""
        self.wanted.set()

    def may_start(self, job: Job, now: float) -> bool:
        """Returns whether nobody else can have started tasks of a job.

        Jobs of earlier owners wait until their runs are found or have lapsed. An
        owner whose lease has ended starts nothing that it learned of since: a newer
        one may have taken that.
        """
        if job.earlier and not self.owner.certain:
            return False
        valid_until = self.owner.ownership.valid_until
        return now < valid_until or job.known_at < valid_until

    async def run(self) -> None:
        """Makes plans whenever something has changed."""
        while True:
            with anyio.move_on_after(PLAN_INTERVAL_S):
                await self.wanted.wait()
            await anyio.sleep(PLAN_PAUSE_S)
            self.wanted = anyio.Event()
            if self.owner.may_order() and self.owner.state.manifest is not None:
                with self.owner.planning_share.measure():
                    self.plan()

    def plan(self) -> None:
        """Makes one plan and carries it out."""
        now = anyio.current_time()
        self.owner.fleet.write_due_roster()
        self.owner.table.open_due()
        usable = [node for node in self.owner.fleet.nodes.values() if node.usable(now)]
        usable = [node for node in usable if not node.slow] or usable
        steps = []
        for step in list(self.owner.table.open_steps.values()):
            if not self.may_start(step.job, now):
                continue
            if not step.waiting():
                del self.owner.table.open_steps[step.name]
                continue
            steps.append(step)
        self.claims.keep_only(steps)
        settled = self.claims.settled(now, self.owner.book.renewing)
        # A step that waits for an answer keeps its choice until then.
        held = self.claims.claims.keys() - {claim.step.name for claim in settled}
        planner = Planner(
            now,
            usable,
            self.permitted_by(usable),
            self.ticket_valid_at(now),
            self.claims.claims,
            lambda renewal: self.may_ask(renewal, now),
            self.reserved,
            held,
        )
        plan = planner.make(steps)
        self.reserved = plan.reserved
        self.make_way(steps)
        self.renewals = {renewal.step.name: renewal for renewal in plan.renewals}
        self.owner.book.keep_renewals(self.renewals.keys() | held)
        for renewal in plan.renewals:
            self.renew(renewal, now)
        self.claims.drop(settled)
        for placement in plan.placements:
            self.start(placement.step, placement.tasks, now)
        for step in steps:
            self.search(step, usable, now)
        self.waits.note(steps, usable, now)
        self.choices.forget_others(step.name for step in steps)

    def may_ask(self, renewal: Renewal, now: float) -> bool:
        """Returns whether a call for lacking permissions can be made at once."""
        return self.owner.book.may_ask(renewal.step, len(renewal.chosen), now)

    def renew(self, renewal: Renewal, now: float) -> None:
        """Asks again about workers on which a step would start.

        A step that starts all at once needs all permissions in one instant: those
        that expire before the answer comes are asked for as well.
        """
        step = renewal.step
        book = self.owner.book
        due = book.answer_due(step, len(renewal.chosen), now)
        nodes = []
        for worker in renewal.chosen:
            node = self.owner.fleet.nodes[worker]
            if worker in renewal.lacking or book.ticket(step, node, due) is None:
                nodes.append(node)
        book.want(step, nodes, now, Purpose.RENEW)

    def claim(self, step: Step) -> None:
        """Keeps the room of a step's last choice while it is asked about."""
        renewal = self.renewals.get(step.name)
        if renewal is None:
            return
        self.choices.note(renewal)
        if self.owner.book.failing(step):
            return
        now = anyio.current_time()
        due = self.owner.book.answer_due(step, len(renewal.chosen), now)
        self.claims.add(Claim(step, renewal.chosen, due + CLAIM_SLACK_S))

    def make_way(self, steps: list[Step]) -> None:
        """Stops work that fills where it keeps work that serves from starting."""
        for step in steps:
            if step.spec.latency_target_ms <= 0 or not step.waiting():
                continue
            for node in self.owner.fleet.nodes.values():
                if not node.filling or not step.room.within(node.free()):
                    continue
                for run in list(node.runs.values()):
                    if run.task.step.spec.fills:
                        self.owner.fleet.halt(run)
                break

    def search(self, step: Step, usable: list[WorkerNode], now: float) -> None:
        """Asks about more workers for a step that has not found enough.

        One call at a time, those with the most room first: most steps need no more.
        """
        book = self.owner.book
        if step.job.queue.advice is None or book.searching(step):
            return
        found = self.renewals.get(step.name) or self.claims.claims.get(step.name)
        lacking = len(step.waiting())
        if found is not None:
            lacking -= found.task_count()
        if lacking <= 0:
            return
        service = step.job.queue.service
        nodes = [
            node
            for node in usable
            if node.entry.service == service and has_label(step, node)
        ]
        unasked = book.unasked(step, nodes)
        unasked = sorted(
            unasked, key=lambda node: -fitting_count(step.room, node.free(), lacking)
        )
        book.want(step, unasked[:MAX_WORKERS_A_CALL], now, Purpose.SEARCH)

    def permitted_by(
        self, usable: list[WorkerNode]
    ) -> Callable[[Step], frozenset[WorkerId] | None]:
        """Returns the lookup of the workers that may run a step."""
        everyone = frozenset(node.id for node in usable)

        def permitted(step: Step) -> frozenset[WorkerId] | None:
            if step.job.queue.advice is None:
                return everyone
            return self.owner.book.permitted(step)

        return permitted

    def ticket_valid_at(self, now: float) -> Callable[[Step, WorkerNode], bool]:
        """Returns the check for a valid ticket."""

        def valid(step: Step, node: WorkerNode) -> bool:
            if step.job.queue.advice is None:
                return True
            return self.owner.book.ticket(step, node, now) is not None

        return valid

    def start(
        self, step: Step, tasks: list[tuple[Task, WorkerNode]], now: float
    ) -> None:
        """Starts tasks of a step on the workers chosen."""
        floor = (self.owner.ownership.term - 1) * RUNS_PER_TERM
        number = 0
        for task, _ in tasks:
            number = max(number, task.last_run + 1, floor + 1)
        for task, node in tasks:
            require(Invariant.ONE_PLACE, task.run is None, task.name)
            if not step.spec.all_at_once:
                number = max(task.last_run + 1, floor + 1)
            run = Run(task, number, node.id, step.room, now)
            task.run = run
            task.last_run = number
            task.state = TaskState.PLACED
            node.add(run)
            node.check_capacity()
            if not task.checkpoint:
                self.owner.pace.start(node.id, (task.name, number), now)
            ticket = self.owner.book.ticket(step, node, now) or ""
            logger.info(
                Event.TASK_PLACED,
                task=task.name,
                run=number,
                worker=node.id,
                waited_s=round(now - step.job.accepted_at, 3),
                epoch=self.owner.epoch,
                full=round(fullness(node.free(), node.entry.capacity), 2),
            )
            self.owner.fleet.drivers[node.id].begin(run, ticket)
