"""Helpers that run a cell with a booking service and send requests to it."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio

from lacewinghold.ids import DataCentreId, RegionId, ServiceId, TeamId
from lacewinghold.schema.generated.jobs import Resources
from lacewinghold.testing.cell import Cell, CellShape

TEAM = TeamId("operators")
BOOKING = ServiceId("booking")
GENT, ANTWERPEN, NAMUR = (
    DataCentreId(name) for name in ("gent-a", "antwerpen-b", "namur-a")
)
VLAANDEREN, WALLONIE = RegionId("vlaanderen"), RegionId("wallonie")
ONE_CENTRE = {GENT: VLAANDEREN}
THREE_CENTRES = {GENT: VLAANDEREN, ANTWERPEN: VLAANDEREN, NAMUR: WALLONIE}
BIG = Resources(cores=16, memory_mb=32768)


def make_shape(centres=ONE_CENTRE, workers=4, instances=3):
    return CellShape(centres, BIG, instances=instances, workers_per_data_centre=workers)


@asynccontextmanager
async def serving_cell(seed, shape=None):
    shape = shape or make_shape()
    async with anyio.create_task_group() as tasks:
        cell = Cell(shape, tasks, seed)
        await cell.start()
        await cell.wait_ready(2 * len(shape.data_centres))
        await anyio.sleep(1)
        await cell.start_service(BOOKING, BIG)
        await anyio.sleep(2)
        yield cell
        tasks.cancel_scope.cancel()


async def send_request(
    cell, body=b"x", *, at=None, timeout_s=5.0, repeatable=True, key="", team=TEAM
):
    """Sends a request to a random entry instance or to a given one.

    :returns: The result, or ``None`` if the entry instance was killed meanwhile.
    """
    running = at or cell.instances[cell.rng.choice(sorted(cell.instances))]
    requests = running.instance.requests
    return await running.call(
        lambda: requests.request(
            team, BOOKING, "POST", "/deposits", body, timeout_s, repeatable, key
        )
    )
