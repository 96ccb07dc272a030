"""A manifest that has grown never comes into force behind a thin link."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_3.cell import HOST, CannotRunError, run_case  # noqa: E402
from platform_3.http import Client  # noqa: E402
from platform_3.link import Link  # noqa: E402
from platform_3.workers import Worker  # noqa: E402

SERVICE = "petapress"
LINK_MBPS = 5.0  # The thinnest machines of the sheet have 5 Mbit/s.
GROWTHS = 5
ROUTES_EACH = 350  # `big_config` of the site file: 350 routes more; the days: 436.
PAUSE_S = 3.0
STORM_CHANGES = 6  # `config_storm` of the site file: 4 s with gaps of 0.33 s.
STORM_GAP_S = 0.33
CONFIG_APPLY_S = 4.0
CONTACT_S = 5.0
JUDGED_S = 20.0


def route(number):
    """Returns a route as the bench writes them, without an advice service."""
    return {
        "name": f"r-{number:07d}",
        "host": HOST,
        "pathPrefix": f"/pule{number:05d}/",
        "kind": "non_idempotent",
        "timeoutMs": 3019,
        "targetLatencyMs": 603,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 4,
        "stretch": 2.2,
        "advice": {"decideMs": 17.6, "perWorkerMs": 0.16, "validMs": 2000},
    }


async def ask(instance, prefix):
    """Asks for the number of waiting jobs of a queue; returns the status."""
    client = Client(instance.callers)
    status, _ = await client.call("GET", prefix, HOST)
    client.close()
    return status


async def case(cell, trouble):
    """Lets the manifest grow, then adds a route and asks for it."""
    routes = [route(0)]
    await cell.start(lambda task, worker: (1.0, "done"), {}, routes, SERVICE, count=1)
    link = Link(cell.store.server.address, LINK_MBPS)
    await link.start()
    thin = cell.add_instance("front-2", "zone-b", link.address, LINK_MBPS)
    thin.start()
    await thin.wait_until_ready()
    capacity = {"cpu": 64000, "memMb": 262144, "gpus": 0}
    for number in range(8):
        worker = Worker(cell.fleet, f"w-{number}", capacity, ["a", "r1-1"], SERVICE)
        await cell.fleet.add(worker)
    await asyncio.sleep(2.0)
    version = 1
    for _ in range(GROWTHS if trouble else 0):
        routes += [route(len(routes) + number) for number in range(ROUTES_EACH)]
        version += 3
        cell.write_manifest(version, routes, SERVICE)
        await asyncio.sleep(PAUSE_S)
    for _ in range(STORM_CHANGES if trouble else 0):
        version += 1
        cell.write_manifest(version, routes, SERVICE)
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(CONTACT_S)
    added = route(99_999)
    cell.write_manifest(version + 2, [*routes, added], SERVICE)
    cell.record("route added", routes=len(routes) + 1)
    confirmed = time.monotonic()
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    if await ask(cell.instances[0], added["pathPrefix"]) != 200:
        raise CannotRunError("the other instance does not know the route either")
    statuses = []
    while time.monotonic() < confirmed + JUDGED_S:
        statuses.append(await ask(thin, added["pathPrefix"]))
        cell.record("asked for the new queue", status=statuses[-1])
        await asyncio.sleep(0.5)
    if 404 not in statuses:
        return None
    return (
        f"{statuses.count(404)} of {len(statuses)} requests for a route that was "
        f"confirmed {CONFIG_APPLY_S + CONTACT_S:g} s before or longer got 404"
    )


if __name__ == "__main__":
    os.chdir(FOLDER.parents[1])
    run_case(case, FOLDER)
