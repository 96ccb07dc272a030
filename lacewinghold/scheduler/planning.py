"""The plan loop: makes a plan whenever the cell has changed, and carries it out."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.invariants import Invariant, require
from lacewinghold.organisations.shares import weigh_shares
from lacewinghold.scheduler.advice import Purpose
from lacewinghold.scheduler.claims import Claim, ClaimBook
from lacewinghold.scheduler.model import JobState, Run, TaskState
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.preemption import Preemptor
from lacewinghold.scheduler.reservations import BUSY_SHARE, Reservations
from lacewinghold.scheduler.room import fullness
from lacewinghold.scheduler.searches import WorkerSearches
from lacewinghold.scheduler.speed_ranking import any_speed
from lacewinghold.scheduler.waiting import ChoiceLog, WaitLog

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from lacewinghold.ids import WorkerId
    from lacewinghold.organisations.caps import CapBudget
    from lacewinghold.scheduler.model import Job, Step, Task
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ordering import PlanPosition
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.pace import ProgressMark
    from lacewinghold.scheduler.plan import Renewal
    from lacewinghold.scheduler.suspects import Suspects

AnyPlanner = TypeVar("AnyPlanner", bound=Planner)

logger = structlog.get_logger(__name__)
RUNS_PER_TERM = 1000  # Run numbers per term; a task starts far less often.
EVENT_BATCHING_S = 0.008  # Events that arrive within this time share one plan.
CLAIM_SLACK_S = 0.5  # A claim expires if the answer is later than due by this much.
PLAN_INTERVAL_S = 0.5  # Longest time between plans, also without an event.
MAX_PLANNING_SHARE = 0.25  # Renewals, polls and answers need the rest of the time.
# Caps the pause after a plan: if a plan seems to take very long, the process was
# stopped meanwhile.
MAX_PAUSE_S = PLAN_INTERVAL_S


class PlanLoop:
    """Places the tasks of open steps.

    :param owner: The owner that decides.
    :param timer: Clock in seconds that measures how long a plan takes.
    :param speed_of: Returns the lasting speed of a worker relative to the usual one.
    """

    def __init__(
        self,
        owner: CellOwner,
        timer: Callable[[], float] = anyio.current_time,
        speed_of: Callable[[WorkerId], float] = any_speed,
    ) -> None:
        self.owner = owner
        self.timer = timer
        self.speed_of = speed_of
        self.wake_event = anyio.Event()
        self.wait_log = WaitLog(owner)
        self.choice_log = ChoiceLog(owner)
        self.claims = ClaimBook()
        self.renewals: dict[str, Renewal] = {}
        self.reservations = Reservations()
        self.preemptor = Preemptor(lambda step: owner.durations.expected(step).mean_s)
        self.resume_at: PlanPosition | None = None
        self.pending_steps: set[str] = set()
        self.searches = WorkerSearches(owner.advice_book)

    def wake(self) -> None:
        """Requests a plan; returns at once."""
        self.wake_event.set()

    def may_start(self, job: Job) -> bool:
        """Returns whether no other owner can have started tasks of a job.

        Jobs of earlier owners wait until their runs are found or their leases have
        ended. Other jobs wait until the store has confirmed that they precede every
        later owner's claim: that owner counts them among those of earlier owners.
        """
        if job.from_earlier_owner and not self.owner.recovered:
            return False
        return job.confirmed

    async def run(self) -> None:
        """Makes plans until cancelled.

        After a change, plans follow each other until each deferred step has been
        considered once.
        """
        while True:
            changed = not self.pending_steps or self.wake_event.is_set()
            if not self.pending_steps:
                await self.wait_for_change()
            await anyio.sleep(EVENT_BATCHING_S)
            changed = changed or self.wake_event.is_set()
            self.wake_event = anyio.Event()
            if not self.owner.may_send_orders() or self.owner.state.manifest is None:
                self.pending_steps = set()
                continue
            pause_s, deferred = self.timed_plan()
            self.pending_steps = deferred if changed else self.pending_steps & deferred
            await anyio.sleep(pause_s)

    async def wait_for_change(self) -> None:
        """Waits for an event, a due step, the end of a reservation or a while.

        The while is ``PLAN_INTERVAL_S``.
        """
        wait_s = min(
            PLAN_INTERVAL_S,
            self.owner.table.seconds_until_due(),
            self.reservations.seconds_until_end(anyio.current_time()),
        )
        with anyio.move_on_after(wait_s):
            await self.wake_event.wait()

    def timed_plan(self) -> tuple[float, set[str]]:
        """Makes one plan and measures its time.

        :returns: How many seconds to pause before the next plan, so that planning stays
            within ``MAX_PLANNING_SHARE``, and the deferred steps.
        """
        began = self.timer()
        with self.owner.planning_share.measure():
            deferred = self.plan()
        took_s = self.timer() - began
        return min(MAX_PAUSE_S, took_s * (1 / MAX_PLANNING_SHARE - 1)), deferred

    def plan(self) -> set[str]:
        """Makes one plan and carries it out.

        :returns: The deferred steps.
        """
        now = anyio.current_time()
        self.owner.fleet.write_roster_if_due()
        self.owner.table.open_due_steps()
        usable = self.usable_workers(now)
        steps = self.waiting_steps()
        self.claims.retain(steps)
        finished = self.claims.expired_or_answered(
            now, self.owner.advice_book.renewal_pending
        )
        # The other claims, and the choices of their steps, stay until the answer.
        awaiting_answer = self.claims.claims.keys() - {
            claim.step.name for claim in finished
        }
        permitted = self.permission_lookup(usable)
        suspects = self.owner.suspects
        suspects.prepare(now, steps, usable, permitted)
        self.end_reservations(usable, now)
        self.owner.caps.holds.begin_plan(steps, now)
        planner = self.make_planner(
            Planner, now, usable, steps.values(), permitted, awaiting_answer, suspects
        )
        plan = planner.make_plan(steps.values())
        self.reservations.update(plan.reserved)
        self.resume_at = plan.resume_at
        # Filler runs are not stopped for steps that wait for their organisation's cap.
        self.preempt_filling_runs(
            step for step in steps.values() if planner.caps.limit(step, 1)
        )
        self.renewals = self.merge_renewals(planner)
        self.owner.advice_book.retain_renewals(self.renewals.keys() | awaiting_answer)
        for renewal in plan.renewals:
            self.request_renewal(renewal, now)
        self.claims.drop(finished)
        for placement in plan.placements:
            self.start_tasks(placement.step, placement.tasks, now)
            if not placement.step.has_waiting_tasks():
                del steps[placement.step.name]
        in_order = [step for step in planner.order if step.name in steps]
        self.searches.request_searches(
            in_order,
            self.chosen_task_count,
            plan.skipped,
            usable,
            planner.speeds,
            plan.task_limits,
        )
        self.preempt_runs(planner, in_order)
        self.wait_log.log_longest_overdue(steps, usable, now)
        self.choice_log.retain(steps)
        return plan.deferred

    def usable_workers(self, now: float) -> list[WorkerNode]:
        """Returns the workers on which tasks may be started.

        Slow workers are among them only if all of them are slow.
        """
        usable = [node for node in self.owner.fleet.nodes.values() if node.usable(now)]
        return [node for node in usable if not node.slow] or usable

    def make_planner(
        self,
        kind: type[AnyPlanner],
        now: float,
        usable: list[WorkerNode],
        steps: Iterable[Step],
        permitted: Callable[[Step], frozenset[WorkerId] | None],
        awaiting_answer: Collection[str],
        suspects: Suspects,
    ) -> AnyPlanner:
        """Returns a planner over the present state of the cell.

        :param kind: Class of the planner.
        :param steps: Steps with tasks that may be started.
        :param awaiting_answer: Steps whose claims wait for an answer.
        """
        return kind(
            now,
            usable,
            permitted,
            self.ticket_check(now),
            self.claims.claims,
            lambda renewal: self.may_ask(renewal, now),
            self.reservations,
            awaiting_answer,
            self.ticket_availability_check(now),
            self.resume_at,
            suspects=suspects,
            caps=self.make_cap_budget(now),
            shares=weigh_shares(
                self.owner.state.manifest, self.owner.caps.usage, usable, steps
            ),
            speed_of=self.speed_of,
        )

    def end_reservations(self, usable: list[WorkerNode], now: float) -> None:
        """Ends the reservations that have lasted too long without a start."""
        used = sum(node.used.cpu_millis for node in usable)
        capacity = sum(node.entry.capacity.cpu_millis for node in usable)
        busy = used > BUSY_SHARE * capacity
        for name, workers in self.reservations.begin_plan(now, busy=busy).items():
            self.owner.metrics.reservations_ended.inc()
            logger.info(Event.RESERVATION_ENDED, step=name, workers=len(workers))

    def make_cap_budget(self, now: float) -> CapBudget:
        """Returns what the organisations may start in one plan.

        Before the owner has recovered, any task of an earlier job may be running: its
        worker has not been heard yet, or the end of its predecessors was not stored.
        That includes jobs which have been cancelled or have failed since, or shortly
        before the takeover; no cap has room until these are loaded.
        """
        caps = self.owner.caps
        if self.owner.state.manifest is not None:
            caps.update(self.owner.state.manifest)
        if self.owner.recovered or not caps.caps:
            return caps.make_budget()
        if not self.owner.ended.loaded:
            return caps.make_full_budget()
        possible = []
        for job in self.owner.table.jobs.values():
            if job.from_earlier_owner and job.state is not JobState.COMPLETED:
                possible += [step for step in job.steps if step.due_at <= now]
                possible += job.unbuilt_steps(now)
        return caps.make_budget(possible, self.owner.ended.running)

    def waiting_steps(self) -> dict[str, Step]:
        """Returns the open steps with tasks that may be started, by their names."""
        steps = {}
        for name, step in list(self.owner.table.open_steps.items()):
            if not self.may_start(step.job):
                continue
            if not step.has_waiting_tasks():
                del self.owner.table.open_steps[name]
                if step.job.next_due_at() <= anyio.current_time():
                    self.owner.table.refresh_job(step.job)
                continue
            steps[name] = step
        return steps

    def merge_renewals(self, planner: Planner) -> dict[str, Renewal]:
        """Returns the renewals of the plan and those of skipped steps.

        A step that the plan skipped keeps its last choice of workers, provided that
        there is still room for it.
        """
        renewals = {}
        for name in planner.plan.skipped & self.renewals.keys():
            if planner.has_room_for(self.renewals[name]):
                renewals[name] = self.renewals[name]
        for renewal in planner.plan.renewals:
            renewals[renewal.step.name] = renewal
        return renewals

    def chosen_task_count(self, step: Step) -> int:
        """Returns for how many tasks of a step workers have been chosen."""
        found = self.renewals.get(step.name) or self.claims.claims.get(step.name)
        return 0 if found is None else found.task_count()

    def ticket_availability_check(self, now: float) -> Callable[[Step], bool]:
        """Returns the predicate for ``Planner.can_get_ticket``.

        It holds if a step may have a valid ticket, or one of the lanes, which make
        the calls to the advice service, can take a call about it at once.
        """
        book = self.owner.advice_book
        lane_free = bool(book.free_lanes(now))
        slow_call_allowed = lane_free and book.can_start_slow_call()

        def can_get_ticket(step: Step) -> bool:
            if step.job.queue.advice is None or slow_call_allowed:
                return True
            if lane_free and not book.is_slow(step, 1):
                return True
            return book.may_have_ticket(step, now)

        return can_get_ticket

    def may_ask(self, renewal: Renewal, now: float) -> bool:
        """Returns whether a call for the missing permissions can be made at once."""
        return self.owner.advice_book.can_ask(renewal.step, len(renewal.chosen), now)

    def request_renewal(self, renewal: Renewal, now: float) -> None:
        """Requests the permissions that a chosen start still needs.

        An all-at-once step needs all permissions to be valid at the same time, so those
        that would expire before the answer is due are requested again as well.
        """
        step = renewal.step
        book = self.owner.advice_book
        due = book.last_answer_due(step, len(renewal.chosen), now)
        nodes = []
        for worker in renewal.chosen:
            node = self.owner.fleet.nodes[worker]
            if worker in renewal.without_ticket or book.ticket(step, node, due) is None:
                nodes.append(node)
        book.queue_calls(step, nodes, now, Purpose.RENEW)

    def claim_room(self, step: Step) -> None:
        """Claims the chosen resources of a step as its permissions are requested.

        No claim is made if the last call about the step failed.
        """
        renewal = self.renewals.get(step.name)
        if renewal is None:
            return
        self.choice_log.log_choice(renewal)
        if self.owner.advice_book.failing(step):
            return
        now = anyio.current_time()
        due = self.owner.advice_book.last_answer_due(step, len(renewal.chosen), now)
        self.claims.add(Claim(step, renewal.chosen, due + CLAIM_SLACK_S))

    def preempt_runs(self, planner: Planner, steps: list[Step]) -> None:
        """Stops less urgent runs for urgent steps that have lacked room for too long.

        :param steps: Steps with waiting tasks that no cap blocks, most urgent first.
        """
        book = self.owner.advice_book
        marks = self.owner.pace.progress_marks

        def missing_tasks(step: Step) -> int:
            # A worker with room may be among those that it still asks about.
            asking = step.job.queue.advice is not None and book.search_pending(step)
            if asking or step.name in planner.plan.skipped:
                return 0
            return step.waiting_count() - self.chosen_task_count(step)

        def progress_of(run: Run) -> ProgressMark | None:
            return marks.get((run.worker, run.task.name, run.number))

        for stop in self.preemptor.choose(planner, steps, missing_tasks, progress_of):
            self.owner.metrics.preemptions.inc()
            logger.info(
                Event.STOPPED_FOR_URGENT_WORK,
                task=stop.run.task.name,
                run=stop.run.number,
                worker=stop.run.worker,
                step=stop.step.name,
                lost_core_s=round(stop.lost_core_s, 2),
            )
            self.owner.fleet.stop_run(stop.run)

    def preempt_filling_runs(self, steps: Iterable[Step]) -> None:
        """Stops filler runs where a waiting latency-sensitive step could start.

        For each task size, the fillers of one worker with room are stopped.
        """
        filling = [
            node for node in self.owner.fleet.nodes.values() if node.filling_runs
        ]
        if not filling:
            return
        rooms = set()
        for step in steps:
            if step.spec.latency_target_ms > 0 and step.has_waiting_tasks():
                rooms.add(step.room)
        for room in rooms:
            for node in filling:
                if not room.within(node.free()):
                    continue
                for run in list(node.runs.values()):
                    if run.task.step.spec.fills:
                        self.owner.fleet.stop_run(run)
                break

    def permission_lookup(
        self, usable: list[WorkerNode]
    ) -> Callable[[Step], frozenset[WorkerId] | None]:
        """Returns the lookup of the workers that may run a step.

        Queues without advice may use all usable workers.
        """
        all_workers = frozenset(node.id for node in usable)

        def permitted(step: Step) -> frozenset[WorkerId] | None:
            if step.job.queue.advice is None:
                return all_workers
            return self.owner.advice_book.permitted(step)

        return permitted

    def ticket_check(self, now: float) -> Callable[[Step, WorkerNode], bool]:
        """Returns the predicate that a step has a valid ticket for a worker."""

        def has_valid_ticket(step: Step, node: WorkerNode) -> bool:
            if step.job.queue.advice is None:
                return True
            return self.owner.advice_book.ticket(step, node, now) is not None

        return has_valid_ticket

    def start_tasks(
        self, step: Step, tasks: list[tuple[Task, WorkerNode]], now: float
    ) -> None:
        """Starts tasks of a step on the workers chosen.

        Tasks of an all-at-once step share a run number. Numbers begin above those of
        all earlier terms.
        """
        term_base = (self.owner.ownership.term - 1) * RUNS_PER_TERM
        number = 0
        for task, _ in tasks:
            number = max(number, task.last_run_number + 1, term_base + 1)
        for task, node in tasks:
            require(Invariant.ONE_PLACE, task.run is None, task.name)
            if not step.spec.all_at_once:
                number = max(task.last_run_number + 1, term_base + 1)
            run = Run(task, number, node.id, step.room, now)
            task.run = run
            task.last_run_number = number
            task.state = TaskState.PLACED
            node.add(run)
            node.check_capacity()
            if not task.checkpoint:
                self.owner.pace.record_start(node.id, (task.name, number), now)
            ticket = self.owner.advice_book.ticket(step, node, now) or ""
            logger.info(
                Event.TASK_PLACED,
                task=task.name,
                run=number,
                worker=node.id,
                waited_s=round(now - step.job.accepted_at, 3),
                epoch=self.owner.epoch,
                full=round(fullness(node.free(), node.entry.capacity), 2),
            )
            self.owner.fleet.drivers[node.id].start_run(run, ticket)
