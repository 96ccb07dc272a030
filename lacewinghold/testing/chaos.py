"""Drives a cell through faults and callers' work, step by step from one seed."""

from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from result import Err

from lacewinghold.ids import DataCentreId, RegionId, TeamId
from lacewinghold.schema.generated.jobs import (
    JobKind,
    JobSpec,
    Resources,
    RetryRule,
)
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.cell import Cell, CellShape, RunningInstance
from lacewinghold.testing.chaos_script import Action, ChaosRun
from lacewinghold.testing.recorder import Recorder, Submission
from lacewinghold.testing.store import Outage, StoreFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import InstanceId, JobId, WorkerId

TEAM = TeamId("operators")
HOLD_S = 20.0
SMALL = CellShape(
    {
        DataCentreId("gent-a"): RegionId("vlaanderen"),
        DataCentreId("namur-a"): RegionId("wallonie"),
    },
    capacity=Resources(cores=8, memory_mb=8192),
    instances=4,
    workers_per_data_centre=4,
    hold_s=HOLD_S,
)
STEP_S = (0.001, 0.005, 0.02, 0.1, 0.5, 2.0)
STEP_WEIGHTS = (20, 30, 30, 30, 10, 2)
HEAL_S = (0.05, 0.5, 2.0, 6.0, 15.0, 40.0)
HEAL_WEIGHTS = (3, 6, 6, 6, 3, 1)
SETTLE_S = 300.0
SETTLE_CHECK_S = 5.0
CALLER_PATIENCE_S = 8.0
MAX_OPEN_JOBS = 25
CLOCK_DRIFT = 0.0009


class Healing(Struct):
    """The end of a fault."""

    due: float
    act: Callable[[], None]


class Chaos:
    """One cell under faults.

    :param tasks: Task group in which everything runs.
    """

    def __init__(self, tasks: TaskGroup, seed: int) -> None:
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.cell = Cell(SMALL, tasks, seed)
        self.recorder = Recorder(self.cell)
        self.recorder.attach()
        self.run = ChaosRun()
        self.healings: list[Healing] = []
        self.next_name = 1
        for worker in self.cell.workers.values():
            drift = self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            worker.clock_rate = 1.0 + drift

    async def start(self) -> None:
        """Starts the cell."""
        await self.cell.start()
        await anyio.sleep(self.rng.uniform(0.0, 3.0))

    async def step(self, action: Action) -> None:
        """Performs one action and lets some time pass."""
        self.heal()
        self.run.steps += 1
        self.run.actions[action] += 1
        handler: Callable[[], None] = getattr(self, action.name.lower())
        handler()
        await anyio.sleep(self.rng.choices(STEP_S, STEP_WEIGHTS)[0])

    def heal(self, *, everything: bool = False) -> None:
        """Ends the faults that are due."""
        now = anyio.current_time()
        for healing in list(self.healings):
            if everything or healing.due <= now:
                self.healings.remove(healing)
                healing.act()

    def heal_later(self, act: Callable[[], None]) -> None:
        """Plans the end of a fault."""
        after_s = self.rng.choices(HEAL_S, HEAL_WEIGHTS)[0]
        self.healings.append(Healing(anyio.current_time() + after_s, act))

    async def settle(self) -> None:
        """Heals everything, lets the work end and checks the history."""
        self.heal(everything=True)
        for worker in self.cell.workers.values():
            worker.fails_everything = False
        waited_s = 0.0
        while waited_s < SETTLE_S and self.open_jobs():
            await anyio.sleep(SETTLE_CHECK_S)
            waited_s += SETTLE_CHECK_S
        self.recorder.check_end()
        self.run.violations = self.recorder.violations
        self.run.starts = sum(self.recorder.starts.values())
        self.run.recoveries = self.recoveries()
        self.run.simulated_s = anyio.current_time()

    def recoveries(self) -> int:
        """Returns how often a shard got a further owner."""
        found = 0
        for batch in self.cell.state.history:
            for item in batch.puts:
                if item.key.startswith(self.cell.keys.owners):
                    found += item.create_revision != item.mod_revision
        return found

    def open_jobs(self) -> list[JobId]:
        """Returns the jobs that have not ended."""
        found = []
        for job, record in self.recorder.jobs.items():
            names = (f"{job}/{index}" for index in range(record.spec.tasks))
            if any(name not in self.recorder.outcomes for name in names):
                found.append(job)
        return found

    def instance(self) -> RunningInstance | None:
        """Returns an entry instance that is not paused."""
        able = [
            running
            for _, running in sorted(self.cell.instances.items())
            if not running.gate.closed
        ]
        return self.rng.choice(able) if able else None

    def any_running(self) -> RunningInstance | None:
        """Returns any entry instance."""
        found = sorted(self.cell.instances)
        return self.cell.instances[self.rng.choice(found)] if found else None

    def any_worker(self) -> WorkerId:
        """Returns any worker."""
        return self.rng.choice(sorted(self.cell.workers))

    def wait(self) -> None:
        """Only lets time pass."""

    def make_spec(self, **changes: object) -> JobSpec:
        """Returns a small job with a name of its own."""
        name = f"job-{self.next_name}"
        self.next_name += 1
        fields: dict[str, object] = {
            "kind": JobKind.BATCH,
            "team": TEAM,
            "name": name,
            "tasks": self.rng.choice((1, 1, 2, 4)),
            "resources": Resources(
                cores=self.rng.choice((1, 2, 4)), memory_mb=self.rng.choice((64, 1024))
            ),
            "expected_run_s": self.rng.choice((0.01, 0.1, 1.0, 5.0, 30.0)),
            "retry": RetryRule(attempts=100, backoff_s=0.1),
        }
        return JobSpec(**{**fields, **changes})  # type: ignore[arg-type]

    def submit(self) -> None:
        """Submits a repeatable job."""
        self.start_submit(self.make_spec())

    def submit_once(self) -> None:
        """Submits a job that must not be repeated."""
        self.start_submit(self.make_spec(repeatable=False))

    def submit_together(self) -> None:
        """Submits a job whose tasks start together."""
        self.start_submit(self.make_spec(kind=JobKind.ALL_AT_ONCE, tasks=3))

    def submit_later(self) -> None:
        """Submits a job that is due later."""
        moment = datetime.fromtimestamp(self.cell.clock.now(), UTC)
        due = moment + timedelta(seconds=self.rng.uniform(1.0, 60.0))
        self.start_submit(self.make_spec(start_after=due))

    def repeat_submit(self) -> None:
        """Submits an earlier job again with the same idempotency key."""
        if not self.recorder.submissions:
            return
        name = self.rng.choice(list(self.recorder.submissions))
        self.start_submit(self.recorder.submissions[name].spec)

    def start_submit(self, spec: JobSpec) -> None:
        """Submits through any instance, in the background."""
        running = self.instance()
        if running is None or len(self.open_jobs()) > MAX_OPEN_JOBS:
            return
        self.tasks.start_soon(self.call_submit, running, spec)

    async def call_submit(self, running: RunningInstance, spec: JobSpec) -> None:
        """Submits a job and notes what the caller was told."""
        known = self.recorder.submissions.setdefault(spec.name, Submission(spec))
        known.attempts += 1
        patience_s = self.rng.choice((0.01, 0.5, CALLER_PATIENCE_S))
        with anyio.move_on_after(patience_s) as scope:
            running.calls.add(scope)
            reply = await running.instance.jobs.submit(TEAM, spec, spec.name)
            if isinstance(reply, Err):
                known.refused += reply.err_value.answer.may_repeat
                return
            self.recorder.note_accepted(spec, reply.ok_value)

    def cancel(self) -> None:
        """Cancels any job."""
        running = self.instance()
        if running is None or not self.recorder.jobs:
            return
        job = self.rng.choice(list(self.recorder.jobs))
        self.tasks.start_soon(self.call_cancel, running, job)

    async def call_cancel(self, running: RunningInstance, job: JobId) -> None:
        """Cancels a job as an impatient caller."""
        with anyio.move_on_after(CALLER_PATIENCE_S) as scope:
            running.calls.add(scope)
            await running.instance.jobs.cancel(job, "chaos")

    def kill(self) -> None:
        """Kills an entry instance; a new one comes later."""
        running = self.any_running()
        if running is None:
            return
        settings = running.instance.settings
        instance = running.instance.instance
        self.cell.kill(instance)
        if self.rng.random() < 0.5:
            self.cell.instance_list.removed_instances.append(instance)
        place, name = settings.data_centre, settings.instance
        self.heal_later(lambda: self.start_again(place, name))

    def start_again(self, data_centre: DataCentreId, name: str) -> None:
        """Starts an entry instance in place of one that is gone."""
        self.cell.start_instance(data_centre, name)

    def replace(self) -> None:
        """Shuts an instance down gracefully while another takes its place."""
        running = self.instance()
        if running is None:
            return
        settings = running.instance.settings
        self.start_again(settings.data_centre, settings.instance)
        self.tasks.start_soon(self.shut_down, running.instance.instance)

    async def shut_down(self, instance: InstanceId) -> None:
        """Shuts an instance down for as long as the platform allows."""
        running = self.cell.instances.get(instance)
        if running is None:
            return
        with anyio.move_on_after(10.0):
            await running.instance.shut_down()
        if self.cell.instances.get(instance) is running:
            self.cell.kill(instance)

    def pause(self) -> None:
        """Pauses an entry instance."""
        running = self.any_running()
        if running is not None:
            running.gate.close()
            self.heal_later(running.gate.open)

    def lose_store_reply(self) -> None:
        """Loses the reply of an instance's next store call."""
        running = self.any_running()
        if running is not None:
            running.store.faults.append(StoreFault.REPLY_LOST)

    def delay_store_write(self) -> None:
        """Lets an instance's next store call take effect long after."""
        running = self.any_running()
        if running is not None:
            running.store.faults.append(StoreFault.DELAYED)

    def store_down(self) -> None:
        """Takes the store down."""
        self.cell.state.outage = Outage.DOWN
        self.heal_later(self.mend_store)

    def store_errors(self) -> None:
        """Lets the store answer with errors."""
        self.cell.state.outage = Outage.ERRORS
        self.heal_later(self.mend_store)

    def mend_store(self) -> None:
        """Brings the store back."""
        self.cell.state.outage = Outage.NONE

    def store_slow(self) -> None:
        """Makes the store slow."""
        normal = 0.002
        self.cell.state.latency_s = 0.8

        def mend() -> None:
            self.cell.state.latency_s = normal

        self.heal_later(mend)

    def cut_platform(self) -> None:
        """Cuts an instance off from the store and the instance list."""
        running = self.any_running()
        if running is not None:
            self.cut_from_platform(running)

    def cut_from_platform(self, running: RunningInstance) -> None:
        """Cuts one instance off and plans the end of it."""
        running.store.reachable = False
        running.instance_list.reachable = False

        def mend() -> None:
            running.store.reachable = True
            running.instance_list.reachable = True

        self.heal_later(mend)

    def cut_data_centre(self) -> None:
        """Cuts all instances of a data centre off from the platform."""
        place = self.rng.choice(list(SMALL.data_centres))
        for running in list(self.cell.instances.values()):
            if running.instance.settings.data_centre == place:
                self.cut_from_platform(running)

    def cut_peers(self) -> None:
        """Cuts the data centres off from each other."""
        self.cut_pairs(both=True)

    def cut_one_way(self) -> None:
        """Cuts one direction between the data centres."""
        self.cut_pairs(both=False)

    def cut_pairs(self, *, both: bool) -> None:
        """Cuts the links between instances of different data centres."""
        cut = set()
        for first, one in self.cell.instances.items():
            for second, two in self.cell.instances.items():
                places = (
                    one.instance.settings.data_centre,
                    two.instance.settings.data_centre,
                )
                if places[0] != places[1] and (both or places[0] < places[1]):
                    cut.add((first, second))
        self.cell.network.cut |= cut
        self.heal_later(lambda: self.cell.network.cut.difference_update(cut))

    def cut_worker(self) -> None:
        """Cuts a worker off from one instance or from all."""
        worker = self.any_worker()
        running = self.any_running()
        if running is None or self.rng.random() < 0.5:
            cut = self.cell.worker_links.cut
        else:
            cut = running.worker_links.cut
        cut.add(worker)
        self.heal_later(lambda: cut.discard(worker))

    def cut_worker_replies(self) -> None:
        """Cuts the way back from a worker to one instance."""
        running = self.any_running()
        if running is None:
            return
        worker = self.any_worker()
        cut = running.worker_links.cut_replies
        cut.add(worker)
        self.heal_later(lambda: cut.discard(worker))

    def delay_command(self) -> None:
        """Delivers the next command to a worker after its sender gave up."""
        running = self.any_running()
        if running is not None:
            delay_s = self.rng.choice((0.5, 3.0, 9.0, 25.0))
            running.worker_links.delays[self.any_worker()] = delay_s

    def restart_worker(self) -> None:
        """Restarts a worker."""
        self.cell.workers[self.any_worker()].restart()

    def fail_everything(self) -> None:
        """Makes a worker fail all that it runs."""
        worker = self.cell.workers[self.any_worker()]
        worker.fails_everything = True

        def mend() -> None:
            worker.fails_everything = False

        self.heal_later(mend)

    def list_lags(self) -> None:
        """Leaves a worker out of the instance list, though it runs on."""
        worker = self.any_worker()
        self.cell.instance_list.missing.add(worker)
        self.heal_later(lambda: self.cell.instance_list.missing.discard(worker))

    def list_down(self) -> None:
        """Makes the instance list fail."""
        self.cell.instance_list.reachable = False

        def mend() -> None:
            self.cell.instance_list.reachable = True

        self.heal_later(mend)

    def worker_leaves(self) -> None:
        """Marks a worker as leaving for a while."""
        worker = self.cell.workers[self.any_worker()]
        worker.record.state = WorkerState.LEAVING

        def mend() -> None:
            worker.record.state = WorkerState.LIVE

        self.heal_later(mend)


async def run_script(seed: int, script: list[Action]) -> ChaosRun:
    """Runs a cell through the given actions.

    :returns: What was done; empty violations mean that everything held.
    """
    async with anyio.create_task_group() as tasks:
        chaos = Chaos(tasks, seed)
        await chaos.start()
        for action in script:
            await chaos.step(action)
        await chaos.settle()
        tasks.cancel_scope.cancel()
    return chaos.run
