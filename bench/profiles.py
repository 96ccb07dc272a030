"""Seeded workloads of the two deployments and of the size planned in two years."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from msgspec import Struct

from lacewinghold.ids import (
    DataCentreId,
    JobId,
    RackId,
    RegionId,
    TeamId,
    WorkerId,
    make_task_id,
)
from lacewinghold.placement.capacity import WorkerCapacity
from lacewinghold.placement.work import Work
from lacewinghold.schema.generated.document import PlacementSection
from lacewinghold.schema.generated.jobs import JobKind, Priority, Resources
from lacewinghold.schema.generated.worker import WorkerRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

WORKERS_PER_RACK = 8
LOAD_SWING_SHARE = 0.25
RUN_FACTOR_SPREAD = 0.35
MIN_RUN_FACTOR = 0.2
MAX_RUN_FACTOR = 10.0
DEADLINE_SHARE = 0.7
SLACK_SHARES = (1 / 48, 1 / 12, 1 / 3)
GANG_SHARE = 0.05
MAX_GANG_SHARE = 0.125
SERVICE_TASKS = 24


class Profile(Struct, frozen=True):
    """One workload.

    :param capacities: Worker sizes, assigned in rotation.
    :param sizes: Task sizes, in cores and megabytes.
    :param service_share: Share of the cores that services use.
    :param run_s: Mean declared run time of a batch task.
    :param tasks: Mean number of tasks of a job.
    :param day_s: Period of the load; deadlines lie up to a third of it away.
    """

    name: str
    workers: int
    capacities: list[Resources]
    sizes: list[tuple[float, int]]
    weights: PlacementSection
    teams: int
    service_share: float
    run_s: float
    tasks: int
    day_s: float


SIZES = [(0.5, 1024), (1.0, 1024), (1.0, 3072), (2.0, 2048), (2.0, 6144), (4.0, 8192)]
WAITING_FIRST = PlacementSection(waiting_weight=0.8, packing_weight=0.2)
PACKING_FIRST = PlacementSection(waiting_weight=0.2, packing_weight=0.8)
SMALL_WORKER = Resources(cores=16, memory_mb=32_768)
LARGE_WORKER = Resources(cores=64, memory_mb=262_144)
ACCELERATED_WORKER = Resources(cores=64, memory_mb=262_144, accelerators=4)

TERRASVUUR = Profile(
    "terrasvuur", 24, [SMALL_WORKER], SIZES, WAITING_FIRST, 12, 0.2, 300.0, 12, 86_400.0
)
TANJUNG_KOMPAS = Profile(
    "tanjung-kompas",
    24,
    [LARGE_WORKER],
    SIZES,
    PACKING_FIRST,
    12,
    0.2,
    300.0,
    24,
    86_400.0,
)
TWO_YEAR = Profile(
    "two-year",
    760,
    [SMALL_WORKER, LARGE_WORKER, SMALL_WORKER, ACCELERATED_WORKER],
    [(0.5, 1024), (1.0, 1024), (1.0, 2048), (1.0, 4096), (2.0, 4096), (2.0, 8192)],
    WAITING_FIRST,
    200,
    0.2,
    200.0,
    60,
    3600.0,
)


class Arrival(Struct):
    """Work that arrives, with the real run time of each of its tasks."""

    at: float
    work: Work
    run_s: float


def make_workers(profile: Profile) -> list[WorkerCapacity]:
    """Returns the empty workers of a profile."""
    workers = []
    for number in range(profile.workers):
        record = WorkerRecord(
            worker=WorkerId(f"w{number}"),
            region=RegionId("r"),
            data_centre=DataCentreId("d"),
            rack=RackId(f"rack{number // WORKERS_PER_RACK}"),
            position=number % WORKERS_PER_RACK,
            capacity=profile.capacities[number % len(profile.capacities)],
            url="memory",
        )
        worker = WorkerCapacity(record)
        worker.usable = True
        workers.append(worker)
    return workers


def total_cores(profile: Profile) -> float:
    """Returns the cores of all workers."""
    return sum(worker.record.capacity.cores for worker in make_workers(profile))


class Generator:
    """Generates the work of a profile in order of arrival.

    :param load: Offered cores as a share of all cores, services included.
    """

    def __init__(self, profile: Profile, load: float, seed: int) -> None:
        self.profile = profile
        self.load = load
        self.rng = random.Random(seed)
        self.team_factors = [
            math.exp(self.rng.gauss(0.0, 0.6)) for _ in range(profile.teams)
        ]
        self.cores = total_cores(profile)
        self.job_count = 0

    def make_arrival(self, kind: JobKind, at: float, tasks: int) -> Arrival:
        """Returns a job as one unit of work with all its tasks."""
        rng = self.rng
        self.job_count += 1
        team = rng.randrange(self.profile.teams)
        cores, memory_mb = rng.choice(self.profile.sizes)
        declared_s = max(1.0, rng.expovariate(1 / self.profile.run_s))
        factor = self.team_factors[team] * math.exp(rng.gauss(0.0, RUN_FACTOR_SPREAD))
        run_s = declared_s * min(MAX_RUN_FACTOR, max(MIN_RUN_FACTOR, factor))
        deadline = None
        if kind is JobKind.SERVICE:
            run_s = math.inf
        elif rng.random() < DEADLINE_SHARE:
            deadline = at + run_s + self.profile.day_s * rng.choice(SLACK_SHARES)
        job = JobId(f"s~{self.job_count}")
        priority = rng.choices(
            [Priority.LOW, Priority.NORMAL, Priority.HIGH], [2, 7, 1]
        )[0]
        work = Work(
            id=job,
            job=job,
            team=TeamId(f"t{team}"),
            kind=kind,
            need=Resources(cores=cores, memory_mb=memory_mb),
            tasks=[make_task_id(job, index) for index in range(tasks)],
            queued_at=at,
            run_s=declared_s,
            priority=priority,
            deadline=deadline,
        )
        return Arrival(at, work, run_s)

    def services(self) -> Iterator[Arrival]:
        """Yields services until they use their share of the cores."""
        booked = 0.0
        while booked < self.profile.service_share * self.cores:
            arrival = self.make_arrival(JobKind.SERVICE, 0.0, SERVICE_TASKS)
            missing = self.profile.service_share * self.cores - booked
            fitting = math.ceil(missing / arrival.work.need.cores)
            arrival.work.tasks = arrival.work.tasks[:fitting]
            booked += arrival.work.need.cores * len(arrival.work.tasks)
            yield from split(arrival)

    def batch(self, duration_s: float) -> Iterator[Arrival]:
        """Yields batch and all-at-once work at the offered load.

        The load varies by ``LOAD_SWING_SHARE`` around its mean once a day.
        """
        target = (self.load - self.profile.service_share) * self.cores
        at = 0.0
        while at < duration_s:
            tasks = 1 + int(self.rng.expovariate(1 / self.profile.tasks))
            kind = JobKind.BATCH
            if self.rng.random() < GANG_SHARE:
                kind = JobKind.ALL_AT_ONCE
            arrival = self.make_arrival(kind, at, tasks)
            if kind is JobKind.ALL_AT_ONCE:
                limit = int(MAX_GANG_SHARE * self.cores / arrival.work.need.cores)
                tasks = min(tasks, limit)
                arrival.work.tasks = arrival.work.tasks[:tasks]
            yield from split(arrival)
            swing = 1 + LOAD_SWING_SHARE * math.sin(
                2 * math.pi * at / self.profile.day_s
            )
            offered = arrival.work.need.cores * tasks * arrival.run_s
            at += offered / (target * swing)


def split(arrival: Arrival) -> Iterator[Arrival]:
    """Yields the units that are placed: single tasks, or a whole gang."""
    work = arrival.work
    if work.kind is JobKind.ALL_AT_ONCE:
        yield arrival
        return
    for task in work.tasks:
        piece = Work(
            id=task,
            job=work.job,
            team=work.team,
            kind=work.kind,
            need=work.need,
            tasks=[task],
            queued_at=work.queued_at,
            run_s=work.run_s,
            priority=work.priority,
            deadline=work.deadline,
        )
        yield Arrival(arrival.at, piece, arrival.run_s)
