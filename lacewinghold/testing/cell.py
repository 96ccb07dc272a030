"""A whole cell in one process: entry instances on in-memory fakes."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, TypeVar

import anyio
from msgspec import Struct, field

from lacewinghold.application import EntryInstance, Ports
from lacewinghold.coordination.keys import Keys
from lacewinghold.ids import (
    DataCentreId,
    InstanceId,
    RackId,
    RegionId,
    SectionName,
    ServiceId,
    TeamId,
    WorkerId,
)
from lacewinghold.invariants import Invariant, require
from lacewinghold.schema.generated.document import (
    CellSection,
    Key,
    Role,
    SectionKind,
    Service,
    ServiceRule,
    Team,
    TeamSection,
)
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources
from lacewinghold.schema.generated.records import SectionRecord
from lacewinghold.schema.generated.settings import (
    LeaseSettings,
    Listen,
    Settings,
    StoreSettings,
)
from lacewinghold.schema.generated.worker import WorkerRecord
from lacewinghold.store.base import Put, Transaction
from lacewinghold.testing.backend import MemoryBackendLinks
from lacewinghold.testing.deployment import document_transaction, worker_records
from lacewinghold.testing.gate import Gate
from lacewinghold.testing.peers import MemoryNetwork, MemoryTransport
from lacewinghold.testing.store import MemoryStore, StoreState
from lacewinghold.testing.worker import (
    FakeWorker,
    InstanceListClient,
    MemoryInstanceList,
    MemoryWorkerLinks,
)
from lacewinghold.util.bearer import hash_key
from lacewinghold.util.clock import WallClock
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import TaskId
    from lacewinghold.schema.generated.worker import Start
    from lacewinghold.testing.deployment import Deployment

T = TypeVar("T")
SAME_DATA_CENTRE_S = 0.0005
BETWEEN_DATA_CENTRES_S = 0.001
BETWEEN_REGIONS_S = 0.03
WALL_START = 1_800_000_000.0
WORKERS_PER_RACK = 8
FIRST_PORT = 7000


class CellShape(Struct, frozen=True):
    """The size of a cell.

    :param data_centres: Region of each data centre.
    """

    data_centres: dict[DataCentreId, RegionId]
    capacity: Resources
    instances: int = 7
    workers_per_data_centre: int = 8
    hold_s: float = 60.0
    lease: LeaseSettings = field(default_factory=LeaseSettings)


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
    """An entry instance and the handles that tests use to inject faults.

    :param calls: Callers' calls in progress, which die with the instance.
    """

    instance: EntryInstance
    store: MemoryStore
    scope: anyio.CancelScope
    gate: Gate
    instance_list: InstanceListClient
    worker_links: MemoryWorkerLinks
    calls: set[anyio.CancelScope] = field(default_factory=set)

    async def call(self, operation: Callable[[], Awaitable[T]]) -> T | None:
        """Calls the instance as a caller over a connection does.

        :returns: ``None`` if the instance was killed meanwhile.
        """
        with anyio.CancelScope() as scope:
            self.calls.add(scope)
            try:
                return await operation()
            finally:
                self.calls.discard(scope)
        return None


class Cell:
    """A cell whose parts a test can kill, cut off and replace.

    :param tasks: Task group in which everything runs.
    :param teams: Bearer keys by team; the first team is the operators'.
    :param deployment: Example whose settings, workers and document to use in
        place of the shape's.
    """

    def __init__(
        self,
        shape: CellShape,
        tasks: TaskGroup,
        seed: int,
        teams: dict[TeamId, str] | None = None,
        run_time: Callable[[Start], float] | None = None,
        deployment: Deployment | None = None,
    ) -> None:
        self.shape = shape
        self.deployment = deployment
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.clock = WallClock(WALL_START)
        self.state = StoreState()
        self.keys = Keys("/lacewinghold")
        self.teams = teams or {TeamId("operators"): "operators-key"}
        self.run_time = run_time
        self.rules = {"booking": ServiceRule(cross_region=True)}
        self.workers: dict[WorkerId, FakeWorker] = {}
        self.run_counts: Counter[TaskId] = Counter()
        self.starts: Counter[TaskId] = Counter()
        self.first_started: dict[TaskId, float] = {}
        self.stores: dict[InstanceId, MemoryStore] = {}
        self.instances: dict[InstanceId, RunningInstance] = {}
        self.network = MemoryNetwork(self.latency_s)
        self.instance_list = MemoryInstanceList(self.workers)
        self.worker_links = MemoryWorkerLinks(self.workers)
        self.backend_links = MemoryBackendLinks(self.workers, tasks)
        self.observers: list[Callable[[WorkerId, TaskId, int], None]] = []
        self.boots = 0
        self.make_workers()

    def latency_s(self, sender: InstanceId, receiver: InstanceId) -> float:
        """Returns the one-way latency between two instances."""
        first = self.network.regions[sender]
        second = self.network.regions[receiver]
        if self.deployment is not None:
            latency = self.deployment.stand_in.latency
            same_ms = latency.between_data_centres_ms
            return (same_ms if first == second else latency.between_regions_ms) / 1000
        return BETWEEN_DATA_CENTRES_S if first == second else BETWEEN_REGIONS_S

    def store_latency_s(self, region: RegionId) -> float:
        """Returns the time that a store call from a region takes."""
        if self.deployment is None:
            return self.state.latency_s
        latency = self.deployment.stand_in.latency
        if region == self.deployment.stand_in.store_region:
            return 2 * latency.between_data_centres_ms / 1000
        return 2 * latency.between_regions_ms / 1000

    def remote_store_bytes(self) -> int:
        """Returns the bytes of keys and values that crossed to the store's region."""
        assert self.deployment is not None
        total = 0
        for instance, store in self.stores.items():
            if self.network.regions[instance] != self.deployment.stand_in.store_region:
                total += store.bytes_moved
        return total

    def make_workers(self) -> None:
        """Makes the workers of all data centres."""
        if self.deployment is not None:
            for listed in self.deployment.stand_in.racks:
                for record in worker_records(listed, "memory:/"):
                    self.add_worker(record)
            return
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
                self.add_worker(record)

    def add_worker(self, record: WorkerRecord) -> None:
        """Makes one worker."""
        self.workers[record.worker] = FakeWorker(
            record, self.tasks, self.run_time, self.observe
        )

    def observe(self, worker: WorkerId, task: TaskId, change: int) -> None:
        """Counts starts and checks that a task runs on at most one worker."""
        self.run_counts[task] += change
        if change > 0:
            self.starts[task] += 1
            self.first_started.setdefault(task, self.clock.now())
        for observer in self.observers:
            observer(worker, task, change)
        require(Invariant.ONE_PLACE, self.run_counts[task] <= 1, f"{task} on {worker}")

    async def load_document(self) -> None:
        """Writes the sections of teams and services, or the example's document."""
        if self.deployment is not None:
            self.state.apply(document_transaction(self.keys, self.deployment.sections))
            return
        teams: dict[str, Team] = {}
        for index, (team, key) in enumerate(self.teams.items()):
            role = Role.TEAM if index else Role.OPERATOR
            teams[team] = Team(role=role, keys=[Key(sha256=hash_key(key))])
        operators = next(iter(self.teams))
        record = SectionRecord(
            kind=SectionKind.CELL,
            owner=operators,
            body=CellSection(
                teams=teams,
                services={name: Service(team=operators) for name in self.rules},
            ),
        )
        services = SectionRecord(
            kind=SectionKind.TEAM,
            owner=operators,
            body=TeamSection(services=self.rules),
        )
        puts = [
            Put(self.keys.section(SectionName("cell")), to_json(record)),
            Put(self.keys.section(SectionName("services")), to_json(services)),
        ]
        self.state.apply(Transaction([], [*puts]))

    async def start(self) -> None:
        """Loads the document and starts all entry instances."""
        await self.load_document()
        if self.deployment is not None:
            for settings in self.deployment.instances:
                self.run_settings(settings)
            return
        places = list(self.shape.data_centres)
        for index in range(self.shape.instances):
            self.start_instance(places[index % len(places)], f"entry-{index}")

    def start_instance(
        self,
        data_centre: DataCentreId,
        name: str,
        peers: list[str] | None = None,
        *,
        store_reachable: bool = True,
    ) -> InstanceId:
        """Starts one entry instance in a data centre.

        :param peers: Peer addresses in its settings.
        """
        address = f"127.0.0.1:{FIRST_PORT + self.boots}"
        region = self.shape.data_centres[data_centre]
        settings = Settings(
            instance=InstanceId(name),
            region=region,
            data_centre=data_centre,
            listen=Listen(http="127.0.0.1:1", peer=address),
            store=StoreSettings(endpoints=["http://memory"]),
            instance_list_url="http://memory",
            hold_s=self.shape.hold_s,
            lease=self.shape.lease,
            plaintext=True,
            peers=peers or [],
        )
        return self.run_settings(settings, store_reachable=store_reachable)

    def run_settings(
        self, settings: Settings, *, store_reachable: bool = True
    ) -> InstanceId:
        """Starts one entry instance with its settings."""
        self.boots += 1
        gate = Gate()
        store = MemoryStore(self.state, gate, self.store_latency_s(settings.region))
        instance_list = InstanceListClient(self.instance_list, gate)
        worker_links = MemoryWorkerLinks(self.workers, gate, self.worker_links.cut)
        boot = f"boot{self.boots}"
        instance_id = InstanceId(f"{settings.instance}.{boot}")
        store.reachable = store_reachable
        self.stores[instance_id] = store
        self.network.addresses[settings.listen.peer] = instance_id
        ports = Ports(
            store,
            MemoryTransport(self.network, instance_id, settings.region, gate),
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
        """Kills an entry instance at once, without a shutdown."""
        running = self.instances.pop(instance_id)
        running.scope.cancel()
        for scope in list(running.calls):
            scope.cancel()
        self.network.nodes.pop(instance_id, None)

    async def shut_down(self, instance_id: InstanceId) -> None:
        """Shuts an entry instance down gracefully."""
        running = self.instances.pop(instance_id)
        await running.instance.shut_down()
        running.scope.cancel()
        self.network.nodes.pop(instance_id, None)

    def cut_off(self, instance_id: InstanceId, *, cut: bool) -> None:
        """Cuts an entry instance off from the store and all peers, or ends it."""
        self.instances[instance_id].store.reachable = not cut
        pairs = set()
        for other in self.network.nodes:
            pairs |= {(instance_id, other), (other, instance_id)}
        if cut:
            self.network.cut |= pairs
        else:
            self.network.cut -= pairs

    def any_instance(self) -> EntryInstance:
        """Returns a running entry instance, as a balancer would."""
        chosen = self.rng.choice(sorted(self.instances))
        return self.instances[chosen].instance

    async def start_service(self, service: ServiceId, need: Resources) -> None:
        """Submits a service with as many tasks as there are workers."""
        for running in self.instances.values():
            for owner in running.instance.manager.owners.values():
                spec = JobSpec(
                    kind=JobKind.SERVICE,
                    team=next(iter(self.teams)),
                    tasks=len(owner.workers),
                    resources=need,
                    service=service,
                )
                (await owner.accept(spec, "")).unwrap()

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
