"""Builders of workers, work and engines for the placement tests."""

from __future__ import annotations

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
from lacewinghold.placement.engine import PlacementEngine
from lacewinghold.placement.work import Work
from lacewinghold.schema.generated.jobs import JobKind, Resources
from lacewinghold.schema.generated.worker import WorkerRecord

CAPACITY = Resources(cores=16, memory_mb=32_768)


def make_worker(name="w0", rack="r0", capacity=CAPACITY):
    record = WorkerRecord(
        worker=WorkerId(name),
        region=RegionId("r"),
        data_centre=DataCentreId("d"),
        rack=RackId(rack),
        position=0,
        capacity=capacity,
        url="memory",
    )
    worker = WorkerCapacity(record)
    worker.usable = True
    return worker


def make_engine(workers, **options):
    engine = PlacementEngine(**options)
    for worker in workers:
        engine.index.add(worker)
    return engine


def make_work(name, cores=1.0, tasks=1, **changes):
    job = JobId(changes.pop("job", f"s~{name}"))
    fields = {
        "id": JobId(name),
        "job": job,
        "team": TeamId("team"),
        "kind": JobKind.BATCH if tasks == 1 else JobKind.ALL_AT_ONCE,
        "need": Resources(cores=cores, memory_mb=int(cores * 1024)),
        "tasks": [make_task_id(JobId(name), index) for index in range(tasks)],
        "queued_at": 0.0,
        "run_s": 60.0,
    }
    return Work(**{**fields, **changes})


def run_round(engine, now=0.0):
    engine.begin_round(now)
    placed = []
    while (placement := engine.place_next(now)) is not None:
        placed.append(placement)
    return placed


def names(placements):
    return [placement.work.id for placement in placements]
