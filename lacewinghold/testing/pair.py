"""Two entry instances and one shard of two workers, for scenarios step by step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lacewinghold.ids import DataCentreId, RegionId, ShardId, TaskId, TeamId
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources, RetryRule
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.cell import Cell, CellShape, RunningInstance
from lacewinghold.testing.recorder import Recorder, Submission

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import JobId, WorkerId
    from lacewinghold.shards.owner import ShardOwner
    from lacewinghold.testing.worker import FakeWorker

PLACE = DataCentreId("gent-a")
SHARD = ShardId("gent-a-r0.0")
TEAM = TeamId("operators")
CORES = 16
CHECK_S = 0.01


class Pair:
    """A cell in which the first instance owns the only shard with workers.

    :param hold_s: The hold of the instances in seconds.
    """

    def __init__(self, tasks: TaskGroup, hold_s: float = 30.0) -> None:
        shape = CellShape(
            {PLACE: RegionId("vlaanderen")},
            capacity=Resources(cores=CORES, memory_mb=32768),
            instances=0,
            workers_per_data_centre=3,
            hold_s=hold_s,
        )
        self.cell = Cell(shape, tasks, 1)
        for worker in list(self.cell.workers.values()):
            if worker.record.position % 2:
                del self.cell.workers[worker.record.worker]
        self.recorder = Recorder(self.cell)
        self.recorder.attach()

    async def start(self) -> None:
        """Starts the first instance, then the second, which owns nothing yet."""
        await self.cell.load_document()
        self.first = self.cell.instances[self.cell.start_instance(PLACE, "first")]
        await self.until(lambda: len(self.usable(self.first)) == 2)
        second = self.cell.start_instance(PLACE, "second")
        self.second = self.cell.instances[second]
        manager = self.first.instance.manager
        await self.until(lambda: second in manager.view.instances())
        if manager.desired_owners()[SHARD] == second:
            self.first, self.second = self.second, self.first
            await self.until(lambda: len(self.usable(self.first)) == 2)

    def owner(self, running: RunningInstance) -> ShardOwner | None:
        """Returns an instance's owner of the shard, if it has one that is ready."""
        owner = running.instance.manager.owners.get(SHARD)
        return owner if owner is not None and owner.ready.is_set() else None

    def usable(self, running: RunningInstance) -> list[WorkerId]:
        """Returns the workers on which an instance may place tasks."""
        owner = self.owner(running)
        if owner is None:
            return []
        return [w for w, task in owner.workers.items() if task.capacity.usable]

    async def until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> None:
        """Waits for a condition.

        :raises TimeoutError: If it does not hold in time.
        """
        with anyio.fail_after(limit_s):
            while not condition():
                await anyio.sleep(CHECK_S)

    async def submit(self, name: str, **changes: object) -> TaskId:
        """Submits a job of one task at the first instance."""
        fields: dict[str, object] = {
            "kind": JobKind.BATCH,
            "team": TEAM,
            "name": name,
            "resources": Resources(cores=CORES, memory_mb=1024),
            "expected_run_s": 60.0,
            "retry": RetryRule(attempts=100, backoff_s=0.0),
        }
        spec = JobSpec(**{**fields, **changes})  # type: ignore[arg-type]
        self.recorder.submissions[name] = Submission(spec, attempts=1)
        jobs = self.first.instance.jobs
        job: JobId = (await jobs.submit(TEAM, spec, name)).unwrap()
        self.recorder.note_accepted(spec, job)
        return TaskId(f"{job}/0")

    def place(self, task: TaskId) -> FakeWorker | None:
        """Returns the worker that runs a task."""
        for worker in self.cell.workers.values():
            if task in worker.running:
                return worker
        return None

    async def started(self, task: TaskId, times: int = 1) -> FakeWorker:
        """Waits until a task was started a number of times and runs."""
        await self.until(
            lambda: self.recorder.starts[task] >= times and self.place(task) is not None
        )
        worker = self.place(task)
        assert worker is not None
        return worker

    def other(self, worker: FakeWorker) -> FakeWorker:
        """Returns the other worker."""
        workers = self.cell.workers.values()
        return next(found for found in workers if found is not worker)

    def target(self, task: TaskId) -> FakeWorker:
        """Returns the worker for which the first instance has booked a task."""
        owner = self.owner(self.first)
        assert owner is not None
        worker = owner.tasks[task].worker
        assert worker is not None
        return self.cell.workers[worker]

    def cut_off(self) -> None:
        """Cuts the first instance off from the platform."""
        self.first.store.reachable = False
        self.first.instance_list.reachable = False

    def cut_worker(self, running: RunningInstance, worker: FakeWorker) -> None:
        """Cuts a worker off from one instance."""
        running.worker_links.cut.add(worker.record.worker)

    def leave(self, worker: FakeWorker) -> None:
        """Lets a worker take no new tasks."""
        worker.record.state = WorkerState.LEAVING

    def delay(self, running: RunningInstance, delay_s: float) -> None:
        """Delays an instance's next command to each worker."""
        for worker in self.cell.workers:
            running.worker_links.delays[worker] = delay_s

    async def taken_over(self) -> ShardOwner:
        """Waits until the second instance owns the shard."""
        await self.until(lambda: self.owner(self.second) is not None)
        owner = self.owner(self.second)
        assert owner is not None
        return owner
