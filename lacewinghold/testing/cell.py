"""A whole cell in one process: entry instances on in-memory fakes."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field

from lacewinghold.application import EntryInstance, Ports
from lacewinghold.coordination.keys import Keys
from lacewinghold.document.sections import hash_key
from lacewinghold.ids import (
    DataCentreId,
    InstanceId,
    RackId,
    RegionId,
    SectionName,
    TeamId,
    WorkerId,
)
from lacewinghold.invariants import Invariant, require
from lacewinghold.schema.generated.document import (
    CellSection,
    Key,
    Role,
    SectionKind,
    Team,
)
from lacewinghold.schema.generated.jobs import Resources
from lacewinghold.schema.generated.records import SectionRecord
from lacewinghold.schema.generated.settings import Listen, Settings, StoreSettings
from lacewinghold.schema.generated.worker import WorkerRecord
from lacewinghold.store.base import Put, Transaction
from lacewinghold.testing.backend import MemoryBackendLinks
from lacewinghold.testing.gate import Gate
from lacewinghold.testing.peers import MemoryNetwork, MemoryTransport
from lacewinghold.testing.store import MemoryStore, StoreState
from lacewinghold.testing.worker import (
    FakeWorker,
    InstanceListClient,
    MemoryInstanceList,
    MemoryWorkerLinks,
)
from lacewinghold.util.clock import WallClock
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import TaskId
    from lacewinghold.schema.generated.worker import Start

SAME_DATA_CENTRE_S = 0.0005
BETWEEN_DATA_CENTRES_S = 0.001
BETWEEN_REGIONS_S = 0.03
WALL_START = 1_800_000_000.0
WORKERS_PER_RACK = 8


class CellShape(Struct, frozen=True):
    """The size of a cell.

    :param data_centres: Region of each data centre.
    """

    data_centres: dict[DataCentreId, RegionId]
    capacity: Resources
    instances: int = 7
    workers_per_data_centre: int = 8
    hold_s: float = 60.0


TERRASVUUR = CellShape(
    {
        DataCentreId("gent-a"): RegionId("vlaanderen"),
        DataCentreId("antwerpen-b"): RegionId("vlaanderen"),
        DataCentreId("namur-a"): RegionId("wallonie"),
    },
    capacity=Resources(cores=16, memory_mb=32768),
)
TANJUNG_KOMPAS = CellShape(
    {
        DataCentreId("bandung-a"): RegionId("jawa-barat"),
        DataCentreId("bogor-a"): RegionId("jawa-barat"),
        DataCentreId("malang-a"): RegionId("jawa-timur"),
    },
    capacity=Resources(cores=64, memory_mb=262144),
)


class RunningInstance(Struct):
    """An entry instance and the handles by which a test disturbs it.

    :param calls: Callers' calls in progress, which die with the instance.
    """

    instance: EntryInstance
    store: MemoryStore
    scope: anyio.CancelScope
    gate: Gate
    instance_list: InstanceListClient
    worker_links: MemoryWorkerLinks
    calls: list[anyio.CancelScope] = field(default_factory=list)


class Cell:
    """A cell whose parts a test can kill, cut and replace.

    :param tasks: Task group in which everything runs.
    :param teams: Bearer keys by team; the first team is the operators'.
    """

    def __init__(
        self,
        shape: CellShape,
        tasks: TaskGroup,
        seed: int,
        teams: dict[TeamId, str] | None = None,
        run_time: Callable[[Start], float] | None = None,
    ) -> None:
        self.shape = shape
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.clock = WallClock(WALL_START)
        self.state = StoreState()
        self.keys = Keys("/lacewinghold")
        self.teams = teams or {TeamId("operators"): "operators-key"}
        self.run_time = run_time
        self.workers: dict[WorkerId, FakeWorker] = {}
        self.running_in: Counter[TaskId] = Counter()
        self.starts: Counter[TaskId] = Counter()
        self.instances: dict[InstanceId, RunningInstance] = {}
        self.network = MemoryNetwork(self.latency_s)
        self.instance_list = MemoryInstanceList(self.workers)
        self.worker_links = MemoryWorkerLinks(self.workers)
        self.backend_links = MemoryBackendLinks(self.workers)
        self.observers: list[Callable[[WorkerId, TaskId, int], None]] = []
        self.boots = 0
        self.make_workers()

    def latency_s(self, sender: InstanceId, receiver: InstanceId) -> float:
        """Returns the one-way latency between two instances."""
        first = self.network.regions[sender]
        second = self.network.regions[receiver]
        return BETWEEN_DATA_CENTRES_S if first == second else BETWEEN_REGIONS_S

    def make_workers(self) -> None:
        """Makes the workers of all data centres."""
        for data_centre, region in self.shape.data_centres.items():
            for index in range(self.shape.workers_per_data_centre):
                rack = index // WORKERS_PER_RACK
                record = WorkerRecord(
                    worker=WorkerId(f"{data_centre}-w{index}"),
                    region=region,
                    data_centre=data_centre,
                    rack=RackId(f"{data_centre}-r{rack}"),
                    position=index % WORKERS_PER_RACK,
                    capacity=self.shape.capacity,
                    url="memory",
                )
                self.workers[record.worker] = FakeWorker(
                    record, self.tasks, self.run_time, self.observe
                )

    def observe(self, worker: WorkerId, task: TaskId, change: int) -> None:
        """Checks from outside that a task runs in one place."""
        self.running_in[task] += change
        if change > 0:
            self.starts[task] += 1
        for observer in self.observers:
            observer(worker, task, change)
        require(Invariant.ONE_PLACE, self.running_in[task] <= 1, f"{task} on {worker}")

    async def load_document(self) -> None:
        """Writes the section that names the teams."""
        teams: dict[str, Team] = {}
        for index, (team, key) in enumerate(self.teams.items()):
            role = Role.TEAM if index else Role.OPERATOR
            teams[team] = Team(role=role, keys=[Key(sha256=hash_key(key))])
        operators = next(iter(self.teams))
        record = SectionRecord(
            kind=SectionKind.CELL, owner=operators, body=CellSection(teams=teams)
        )
        put = Put(self.keys.section(SectionName("cell")), to_json(record))
        self.state.apply(Transaction([], [put]))

    async def start(self) -> None:
        """Loads the document and starts all entry instances."""
        await self.load_document()
        places = list(self.shape.data_centres)
        for index in range(self.shape.instances):
            self.start_instance(places[index % len(places)], f"entry-{index}")

    def start_instance(self, data_centre: DataCentreId, name: str) -> InstanceId:
        """Starts one entry instance."""
        self.boots += 1
        region = self.shape.data_centres[data_centre]
        settings = Settings(
            instance=InstanceId(name),
            region=region,
            data_centre=data_centre,
            listen=Listen(http="127.0.0.1:1", peer="127.0.0.1:1"),
            store=StoreSettings(endpoints=["http://memory"]),
            instance_list_url="http://memory",
            hold_s=self.shape.hold_s,
            plaintext=True,
        )
        gate = Gate()
        store = MemoryStore(self.state, gate)
        instance_list = InstanceListClient(self.instance_list, gate)
        worker_links = MemoryWorkerLinks(self.workers, gate, self.worker_links.cut)
        boot = f"boot{self.boots}"
        instance_id = InstanceId(f"{name}.{boot}")
        ports = Ports(
            store,
            MemoryTransport(self.network, instance_id, region, gate),
            instance_list,
            worker_links,
            self.backend_links,
            self.clock,
        )
        rng = random.Random(self.rng.random())
        instance = EntryInstance(settings, ports, boot, rng)
        running = RunningInstance(
            instance, store, anyio.CancelScope(), gate, instance_list, worker_links
        )
        self.instances[instance_id] = running
        self.tasks.start_soon(self.run_instance, running)
        return instance_id

    async def run_instance(self, running: RunningInstance) -> None:
        """Runs one entry instance until it is killed."""
        with running.scope:
            await running.instance.run()

    def kill(self, instance_id: InstanceId) -> None:
        """Kills an entry instance at once, without a word to anybody."""
        running = self.instances.pop(instance_id)
        running.scope.cancel()
        for call in running.calls:
            call.cancel()
        self.network.nodes.pop(instance_id, None)

    async def shut_down(self, instance_id: InstanceId) -> None:
        """Shuts an entry instance down gracefully."""
        running = self.instances.pop(instance_id)
        await running.instance.shut_down()
        running.scope.cancel()
        self.network.nodes.pop(instance_id, None)

    def any_instance(self) -> EntryInstance:
        """Returns a running entry instance, as a balancer would."""
        chosen = self.rng.choice(sorted(self.instances))
        return self.instances[chosen].instance

    async def wait_ready(self, shards: int) -> None:
        """Waits until a number of shards have an owner that is ready."""
        while True:
            ready = 0
            for running in self.instances.values():
                for owner in running.instance.manager.owners.values():
                    ready += owner.ready.is_set()
            if ready >= shards:
                return
            await anyio.sleep(0.05)
