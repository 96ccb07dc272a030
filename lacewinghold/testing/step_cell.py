"""A cell of entry instances on stand-ins, for tests of the scheduler."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import msgspec
from msgspec import Struct
from result import Err, Result

from lacewinghold.ids import (
    Incarnation,
    InstanceId,
    OrganisationId,
    RegionId,
    WorkerId,
)
from lacewinghold.scheduler.cell import CellInstance, CellPorts, OperatorKeys
from lacewinghold.scheduler.job_ids import JobIds
from lacewinghold.scheduler.model import JobState, task_room
from lacewinghold.scheduler.ports import (
    AdviceRules,
    Manifest,
    Organisation,
    Queue,
    Resources,
    ServerState,
    WorkerEntry,
)
from lacewinghold.schema.generated.cell import CellJob, StepSpec
from lacewinghold.schema.generated.entry import (
    EntryBounds,
    EntryListen,
    EntryMachine,
    EntrySettings,
    PlatformStore,
)
from lacewinghold.store.base import Put, Transaction
from lacewinghold.testing.gate import Gate
from lacewinghold.testing.machine import RUNNING_ON, SEND_S, Machine, put_on_machine
from lacewinghold.testing.peers import MemoryNetwork, MemoryTransport
from lacewinghold.testing.step_advice import AdviceService, MemoryAdvice
from lacewinghold.testing.step_worker import (
    Behaviour,
    MemoryWorkerDialer,
    StepWorker,
    World,
)
from lacewinghold.testing.store import MemoryStore, StoreState
from lacewinghold.util.clock import WallClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.errors import Failure

REGION = RegionId("region-a")
HOST = "jobs.example"
MANIFEST_KEY = "operators/manifest"
WORKERS_PREFIX = "workers/"
LEASE_MS = 1500
CAPACITY = Resources(cpu_millis=4000, memory_mb=8000)
SETTLE_S = 1.0
CRASHED_S = 3.0  # How long a worker is down after a crash.
POLL_S = 0.05
JOB_IDS = JobIds("[0-9A-Za-z-]{1,40}")
STORE_OPERATIONS = 31  # The platform's store takes 32 entries with the condition.


class StoredManifest(Struct):
    """A manifest as the stand-in operators write it."""

    version: int
    queues: list[Queue]
    organisations: dict[OrganisationId, Organisation] | None = None


def read_manifest(value: bytes) -> Manifest | None:
    """Decodes a stand-in manifest, ``None`` if it is damaged."""
    try:
        stored = msgspec.json.decode(value, type=StoredManifest)
    except msgspec.DecodeError:
        return None
    return Manifest(stored.version, stored.queues, stored.organisations)


def read_worker(key: str, value: bytes) -> WorkerEntry | None:
    """Decodes the entry of a stand-in worker."""
    try:
        return msgspec.json.decode(value, type=WorkerEntry)
    except msgspec.DecodeError:
        return None


class PairedGate(Gate):
    """A gate that also waits for another gate.

    :param instance_gate: The gate of the whole instance.
    """

    def __init__(self, instance_gate: Gate) -> None:
        super().__init__()
        self.instance_gate = instance_gate

    async def pass_through(self) -> None:
        """Waits while either gate is closed."""
        await super().pass_through()
        await self.instance_gate.pass_through()


class Member(Struct):
    """One process of the cell.

    :param gate: Pauses the process.
    :param store_gate: Delays its calls to the store and their answers.
    :param dialer: Its calls to workers.
    :param machine: Simulated machine, ``None`` if nothing uses processor time.
    """

    instance: CellInstance
    store: MemoryStore
    gate: Gate
    store_gate: Gate
    dialer: MemoryWorkerDialer
    scope: anyio.CancelScope
    machine: Machine | None = None

    async def charge_caller_request(self) -> None:
        """Waits for the processor time of a caller's request."""
        if self.machine is not None:
            await self.machine.compute(2 * SEND_S)


class StepCell:
    """Entry instances over one store, one network and some workers.

    :param queues: Queues of the manifest; one without advice if none are given.
    :param make_machine: Returns the machine of a new member; none by default.
    :param lease_ms: Duration of the owner's lease in milliseconds.
    :param job_ids: Format of the jobs' ids; short names by default.
    :param state_wait_ms: How long queries wait for the end of a job, in milliseconds.
    :param revoke_ms: Limit of strict revocation in milliseconds; 0 is none.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        seed: int = 1,
        queues: list[Queue] | None = None,
        make_machine: Callable[[], Machine] | None = None,
        lease_ms: int = LEASE_MS,
        job_ids: JobIds = JOB_IDS,
        revoke_ms: float = 0,
        state_wait_ms: float = 0,
    ) -> None:
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.state = StoreState(coalesces_changes=True)
        self.state.max_operations = STORE_OPERATIONS
        self.network = MemoryNetwork(lambda one, other: 0.001)
        self.queues = queues or [Queue("fast", HOST, "/fast/", "service", 0, 2, 2.0, 1)]
        self.behaviours: dict[str, Behaviour] = {}
        self.jobs: dict[str, CellJob] = {}
        self.advice = AdviceService(self.advice_rules, self.incarnation_of)
        self.world = World(
            self.behaviour_of,
            self.room_of,
            self.is_long_running,
            self.gang_size,
            self.advice.accepts_ticket,
            self.crash_worker,
        )
        self.members: list[Member] = []
        self.make_machine = make_machine
        self.lease_ms = lease_ms
        self.job_ids = job_ids
        self.revoke_ms = revoke_ms
        self.state_wait_ms = state_wait_ms
        self.operator = MemoryStore(self.state)
        self.clock = WallClock(start=1_700_000_000.0)
        self.starts = 0

    def behaviour_of(self, task: str, run: int) -> Behaviour:
        """Returns what a run does: by its task, its job, or a second of work."""
        job = task.partition(".")[0]
        return (
            self.behaviours.get(f"{task}#{run}")
            or self.behaviours.get(task)
            or self.behaviours.get(job)
            or Behaviour(1.0)
        )

    def room_of(self, task: str) -> Resources:
        """Returns the resources that a task uses."""
        return task_room(self.spec_of(task))

    def is_long_running(self, task: str) -> bool:
        """Returns whether a task runs until its job is cancelled."""
        return self.spec_of(task).long_running

    def gang_size(self, task: str) -> int:
        """Returns the number of tasks that must run all at once, 0 if by itself."""
        spec = self.spec_of(task)
        return spec.tasks if spec.all_at_once else 0

    def advice_rules(self, step: str) -> AdviceRules | None:
        """Returns the advice rules of a step's queue."""
        queue = self.jobs[step.partition(".")[0]].queue
        for rules in self.queues:
            if rules.name == queue:
                return rules.advice
        return None

    def incarnation_of(self, worker: WorkerId) -> Incarnation:
        """Returns the present incarnation of a worker."""
        return self.world.workers[worker].incarnation

    def spec_of(self, task: str) -> StepSpec:
        """Returns the step of a task."""
        job, _, step, _ = task.split(".")
        return self.jobs[job].steps[int(step)]

    async def start(self, instances: int = 3, workers: int = 4) -> None:
        """Starts the cell and waits until it has an owner."""
        await self.put(
            MANIFEST_KEY, msgspec.json.encode(StoredManifest(1, self.queues))
        )
        for number in range(workers):
            await self.add_worker(f"w{number}")
        for _ in range(instances):
            self.add_member()
        await self.wait_for_owner()
        await anyio.sleep(SETTLE_S)

    async def put(self, key: str, value: bytes) -> None:
        """Writes a key as the operators or a worker would."""
        await self.operator.commit(Transaction([], [Put(key, value)]))

    async def add_worker(
        self,
        name: str,
        incarnation: int = 1,
        capacity: Resources = CAPACITY,
        labels: frozenset[str] = frozenset(),
    ) -> StepWorker:
        """Adds a worker, or the next incarnation of one."""
        entry = WorkerEntry(
            worker=WorkerId(name),
            incarnation=Incarnation(incarnation),
            service="service",
            address=name,
            data_centre="dc",
            state=ServerState.READY,
            capacity=capacity,
            labels=labels,
        )
        worker = self.world.workers.get(entry.worker)
        if worker is None:
            rate = self.rng.choice([0.98, 1.0, 1.0])
            worker = StepWorker(self.world, entry, self.tasks, rate)
        worker.entry = entry
        await self.put(WORKERS_PREFIX + name, msgspec.json.encode(entry))
        return worker

    async def change_capacity(self, worker: StepWorker, capacity: Resources) -> None:
        """Changes the capacity of a worker that goes on running."""
        worker.change_capacity(capacity)
        await self.put(WORKERS_PREFIX + worker.id, msgspec.json.encode(worker.entry))

    async def restart_worker(self, worker: StepWorker) -> None:
        """Crashes a worker and adds it again as the next incarnation."""
        worker.crash()
        await self.add_worker(str(worker.id), worker.incarnation + 1)

    async def crash_worker(self, worker: StepWorker) -> None:
        """Crashes a worker, which is back as the next incarnation some time later."""
        if worker.silent:
            return
        worker.silent = True
        worker.crash()
        await anyio.sleep(CRASHED_S)
        worker.silent = False
        await self.add_worker(str(worker.id), worker.incarnation + 1)

    def add_member(
        self,
        machine: Machine | None = None,
        *,
        described: EntryMachine | None = None,
        region: RegionId = REGION,
    ) -> Member:
        """Starts an entry instance, on a new machine unless one is given.

        :param described: The machine in its settings.
        """
        self.starts += 1
        name = InstanceId(f"entry-{self.starts}")
        gate = Gate()
        store_gate = PairedGate(gate)
        store = MemoryStore(self.state, store_gate)
        settings = EntrySettings(
            instance=name,
            region=region,
            data_centre="dc",
            listen=EntryListen(callers="c", ready="r", peer=name),
            store=PlatformStore(address="s", lease_ms=self.lease_ms),
            bounds=EntryBounds(
                max_hold_ms=6000,
                stop_ms=200,
                grace_s=6,
                status_s=120,
                remote_factor=1,
                strict_revocation=self.revoke_ms > 0,
                revoke_ms=self.revoke_ms or 5000,
            ),
            machine=described,
            state_wait_ms=self.state_wait_ms,
        )
        dialer = MemoryWorkerDialer(self.world, gate)
        ports = CellPorts(
            store=store,
            transport=MemoryTransport(self.network, name, region, gate),
            dialer=dialer,
            advice=MemoryAdvice(self.advice),
            keys=OperatorKeys(MANIFEST_KEY, WORKERS_PREFIX, read_manifest, read_worker),
            clock=self.clock,
            job_ids=self.job_ids,
        )
        if machine is None and self.make_machine is not None:
            machine = self.make_machine()
        if machine is not None:
            put_on_machine(ports, machine)
        instance = CellInstance(settings, ports, name, self.rng)
        scope = anyio.CancelScope()
        member = Member(instance, store, gate, store_gate, dialer, scope, machine)
        self.members.append(member)
        self.tasks.start_soon(self.run_member, member)
        return member

    async def run_member(self, member: Member) -> None:
        """Runs an entry instance until it is killed."""
        RUNNING_ON.set(member.machine)
        with member.scope:
            await member.instance.run()

    def kill(self, member: Member) -> None:
        """Kills an entry instance at once, without a shutdown."""
        self.members.remove(member)
        self.network.nodes.pop(member.instance.instance, None)
        member.scope.cancel()

    def owner(self) -> Member | None:
        """Returns the member with active ownership, ``None`` without one."""
        for member in self.members:
            if member.instance.active_owner() is not None:
                return member
        return None

    async def wait_for_owner(self) -> Member:
        """Waits until a member has active ownership."""
        while True:
            owner = self.owner()
            if owner is not None:
                return owner
            await anyio.sleep(POLL_S)

    def make_job(self, job: str, steps: list[StepSpec], queue: int = 0) -> CellJob:
        """Returns a job's record."""
        rules = self.queues[queue]
        record = CellJob(
            job=job,
            queue=rules.name,
            host=rules.host,
            path=rules.prefix + job,
            program="work",
            steps=steps,
            accepted_at=self.clock.now(),
            rules=rules.to_rules(),
        )
        self.jobs[job] = record
        return record

    async def submit(
        self, job: str, steps: list[StepSpec], queue: int = 0
    ) -> Result[None, Failure]:
        """Submits a job to any member."""
        member = self.rng.choice(self.members)
        record = self.make_job(job, steps, queue)
        await member.charge_caller_request()
        return await member.instance.front.submit(record)

    async def state_of(self, job: str) -> JobState | None:
        """Returns a job's state by any member, ``None`` without an answer."""
        member = self.rng.choice(self.members)
        await member.charge_caller_request()
        found = await member.instance.front.state(job)
        return None if isinstance(found, Err) else found.ok_value

    async def wait_for(self, job: str, state: JobState, limit_s: float) -> bool:
        """Waits for a job's state.

        :returns: Whether it was reached in time.
        """
        with anyio.move_on_after(limit_s):
            while await self.state_of(job) is not state:
                await anyio.sleep(POLL_S)
            return True
        return False


def advised(
    queue: Queue, call_s: float, valid_s: float, per_worker_s: float = 0.0
) -> Queue:
    """Returns a queue that asks for advice."""
    rules = AdviceRules(call_s, per_worker_s, valid_s)
    return msgspec.structs.replace(queue, advice=rules)
