"""Goodput under overload, and the cost of a request compared to a direct call."""

from __future__ import annotations

import itertools
import json
import random
import signal
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import httpx
import structlog
from msgspec import Struct
from result import Ok

from bench.base import Benchmark, Figure
from lacewinghold.ids import DataCentreId, RegionId, ServiceId, TeamId
from lacewinghold.routing.http import (
    EPOCH_HEADER,
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
)
from lacewinghold.schema.generated.jobs import Resources
from lacewinghold.testing.cell import Cell, CellShape
from lacewinghold.testing.clock import run_paused

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lacewinghold.peers.links import PeerLinks

    Send = Callable[[], Awaitable[bool]]

TEAM = TeamId("operators")
SERVICE = ServiceId("booking")
WORKERS = 4
SLOTS = 8
SERVICE_TIME_S = 0.2
TIMEOUT_S = 1.0
CAPACITY_PER_S = WORKERS * SLOTS / SERVICE_TIME_S
LOADS = (0.5, 0.9, 1.0, 2.0, 5.0, 10.0)
GOODPUT_SHARE = 0.95
WARM_UP_S = 2.0
EXAMPLE = Path("examples/terrasvuur")
ENTRIES = ("gent-a-1", "gent-a-2", "gent-a-3")
AUTH_HEADERS = {"Authorization": "Bearer operators-demo-key"}
STRAIGHT_EPOCH = 10**12
START_LIMIT_S = 20.0
IDLE_S = 5.0


class RoundRobin:
    """Baseline: backend servers in rotation, each with its own queue.

    A server also runs requests whose callers have timed out.
    """

    def __init__(self) -> None:
        self.servers = itertools.cycle([anyio.Semaphore(SLOTS) for _ in range(WORKERS)])

    async def send(self) -> bool:
        """Sends one request; returns whether it was answered in time."""
        server = next(self.servers)
        sent_at = anyio.current_time()
        async with server:
            await anyio.sleep(SERVICE_TIME_S)
        return anyio.current_time() - sent_at <= TIMEOUT_S


async def measure_goodput(send: Send, load: float, seconds: float, seed: int) -> float:
    """Sends requests at a rate, as a multiple of the capacity.

    :returns: The share of what could be answered in time that was, after a
        warm-up.
    """
    rng = random.Random(seed)
    answered = 0
    offered = 0
    started_at = anyio.current_time()

    async def send_one() -> None:
        nonlocal answered, offered
        warmed_up = anyio.current_time() - started_at >= WARM_UP_S
        offered += warmed_up
        in_time = await send()
        answered += in_time and warmed_up

    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < started_at + seconds:
            tasks.start_soon(send_one)
            await anyio.sleep(rng.expovariate(load * CAPACITY_PER_S))
        await anyio.sleep(TIMEOUT_S)
        tasks.cancel_scope.cancel()
    possible = min(offered, (seconds - WARM_UP_S) * CAPACITY_PER_S)
    return answered / possible


async def baseline_goodput(load: float, seconds: float) -> float:
    """Returns the goodput of the baseline."""
    return await measure_goodput(RoundRobin().send, load, seconds, seed=1)


async def routed_goodput(load: float, seconds: float) -> float:
    """Returns the goodput of three entry instances with as many servers."""
    centre, region = DataCentreId("gent-a"), RegionId("vlaanderen")
    need = Resources(cores=16, memory_mb=32768)
    shape = CellShape({centre: region}, need, 3, WORKERS)
    async with anyio.create_task_group() as tasks:
        cell = Cell(shape, tasks, seed=1)
        cell.backend_links.default_time_s = SERVICE_TIME_S
        await cell.start()
        await cell.wait_ready(2)
        await anyio.sleep(1)
        await cell.start_service(SERVICE, need)
        await anyio.sleep(2)

        async def send() -> bool:
            result = await cell.any_instance().requests.request(
                TEAM, SERVICE, "GET", "/", b"x", TIMEOUT_S, True
            )
            return isinstance(result, Ok)

        goodput = await measure_goodput(send, load, seconds, seed=1)
        tasks.cancel_scope.cancel()
    return goodput


class OverloadBenchmark(Benchmark):
    """Goodput by offered load compared to round robin, in simulated time."""

    name = "routing-goodput"

    def run(self, *, quick: bool) -> list[Figure]:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        figures = []
        seconds = 4.0 if quick else 8.0
        for load in LOADS[::2] if quick else LOADS:
            goodput = run_paused(routed_goodput, load, seconds, seed=1)
            plain = run_paused(baseline_goodput, load, seconds, seed=1)
            figures.append(
                Figure(
                    f"goodput at {load:g} times capacity, share of the possible",
                    goodput,
                    "",
                    GOODPUT_SHARE,
                    at_most=False,
                    baseline=plain,
                )
            )
        return figures


async def control_bytes(seconds: float) -> list[Figure]:
    """Counts bytes and store calls of seven entry instances, idle and with requests."""
    region, other = RegionId("vlaanderen"), RegionId("wallonie")
    data_centres = {
        DataCentreId("gent-a"): region,
        DataCentreId("antwerpen-b"): region,
        DataCentreId("namur-a"): other,
    }
    need = Resources(cores=16, memory_mb=32768)
    async with anyio.create_task_group() as tasks:
        cell = Cell(CellShape(data_centres, need, 7, 8), tasks, seed=1)
        await cell.start()
        await cell.wait_ready(6)
        await anyio.sleep(1)
        await cell.start_service(SERVICE, need)
        await anyio.sleep(2)
        links = [running.instance.peers for running in cell.instances.values()]
        before = count_bytes(links)
        cross_region_bytes = sum(cell.network.bytes_between_regions.values())
        await anyio.sleep(seconds)
        idle = (count_bytes(links) - before) / seconds
        cross_region_bytes = (
            sum(cell.network.bytes_between_regions.values()) - cross_region_bytes
        )
        before = count_bytes(links)
        writes = sum(sum(r.store.calls.values()) for r in cell.instances.values())
        begun_at = anyio.current_time()

        async def send(index: int) -> None:
            await cell.any_instance().requests.request(
                TEAM, SERVICE, "POST", "/", b"x" * 100, 5.0, False, f"k{index}"
            )

        async with anyio.create_task_group() as senders:
            for index in range(500):
                senders.start_soon(send, index)
                await anyio.sleep(0.01)
        spent_s = anyio.current_time() - begun_at
        calls = sum(sum(r.store.calls.values()) for r in cell.instances.values())
        forwarded = count_bytes(links) - before - idle * spent_s
        tasks.cancel_scope.cancel()
    per_instance = idle / 7
    return [
        Figure("bytes of loads sent by an instance", per_instance, "B/s", 8000),
        Figure("bytes of loads between regions", cross_region_bytes / seconds, "B/s"),
        Figure("bytes for requests of 100 bytes", forwarded / 500, "B/request"),
        Figure(
            "store calls while 100 claims a second", (calls - writes) / spent_s, "/s"
        ),
    ]


def count_bytes(links: list[PeerLinks]) -> int:
    """Returns the bytes that instances have sent each other."""
    return sum(sum(peers.bytes_sent.values()) for peers in links)


class ControlBenchmark(Benchmark):
    """Bytes between seven entry instances and store calls, in simulated time."""

    name = "routing-control"

    def run(self, *, quick: bool) -> list[Figure]:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        return run_paused(control_bytes, 5.0 if quick else 30.0, seed=1)


class CallSamples(Struct):
    """Latency and CPU time of one route to the backend server.

    :param pid: Process of the entry instance, or 0 for the direct call.
    :param idle_share: Share of a core that the process uses without requests.
    """

    name: str
    url: str
    headers: dict[str, str]
    pid: int = 0
    seconds: list[float] = []
    processor_s: float = 0.0
    idle_share: float = 0.0


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def start(*arguments: str) -> subprocess.Popen[bytes]:
    """Starts one command of the program."""
    return subprocess.Popen(
        [sys.executable, "-m", "lacewinghold", *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def count_served_shards(client: httpx.Client, url: str) -> int:
    """Returns how many shards an entry instance serves."""
    try:
        status = client.get(f"{url}/status").json()
    except httpx.HTTPError:
        return 0
    return sum(shard["ready"] for shard in status["shards"].values())


def wait_owned(client: httpx.Client, urls: list[str]) -> None:
    """Waits until both shards of the data centre are served."""
    deadline = time.monotonic() + START_LIMIT_S
    while sum(count_served_shards(client, url) for url in urls) < 2:
        if time.monotonic() > deadline:
            raise SystemExit("the entry instances did not become ready")
        time.sleep(0.2)
    time.sleep(2)


def start_service(client: httpx.Client, url: str) -> None:
    """Starts the service on the workers of the data centre."""
    spec = json.loads((EXAMPLE / "job-service.json").read_text())
    spec["tasks"] = 8
    for index in range(4):
        client.post(
            f"{url}/v1/jobs",
            json=spec,
            headers={**AUTH_HEADERS, "Idempotency-Key": f"s{index}"},
        ).raise_for_status()
    time.sleep(3)


def measure(client: httpx.Client, routes: list[CallSamples], count: int) -> None:
    """Sends requests over all routes in turn, one at a time."""
    measure_idle(routes)
    started_at = time.monotonic()
    used = {route.name: processor_s(route.pid) for route in routes if route.pid}
    for number in range(count):
        for route in routes:
            headers = {**route.headers, REQUEST_ID_HEADER: f"b{number}.{route.name}"}
            sent_at = time.perf_counter()
            client.post(
                route.url, content=b"deposit", headers=headers
            ).raise_for_status()
            route.seconds.append(time.perf_counter() - sent_at)
    for route in routes:
        if route.pid:
            idle_s = route.idle_share * (time.monotonic() - started_at)
            route.processor_s = (
                processor_s(route.pid) - used[route.name] - idle_s
            ) / count


def measure_idle(routes: list[CallSamples]) -> None:
    """Measures the CPU use of the processes without requests."""
    used = {route.name: processor_s(route.pid) for route in routes if route.pid}
    time.sleep(IDLE_S)
    for route in routes:
        if route.pid:
            route.idle_share = (processor_s(route.pid) - used[route.name]) / IDLE_S


def make_routes(
    client: httpx.Client, urls: list[str], pids: list[int], straight: str
) -> list[CallSamples]:
    """Returns the direct route, one through an owner and one through a non-owner."""
    headers = {EPOCH_HEADER: str(STRAIGHT_EPOCH), INCARNATION_HEADER: "1"}
    found = [CallSamples("straight", straight, headers, seconds=[])]
    for url, pid in zip(urls, pids, strict=True):
        name = "owner" if count_served_shards(client, url) else "forwarded"
        if any(route.name == name for route in found):
            continue
        path = f"{url}/v1/services/{SERVICE}/x"
        found.append(CallSamples(name, path, AUTH_HEADERS, pid, []))
    return found


class CostBenchmark(Benchmark):
    """Added latency and CPU time of a request on loopback."""

    name = "routing-cost"

    def run(self, *, quick: bool) -> list[Figure]:
        listen = json.loads((EXAMPLE / "stand-in.json").read_text())["listen"]
        processes = [start("stand-in", "--settings", str(EXAMPLE / "stand-in.json"))]
        urls = []
        try:
            for name in ENTRIES:
                file = EXAMPLE / f"{name}.json"
                urls.append(f"http://{json.loads(file.read_text())['listen']['http']}")
                processes.append(start("serve", "--settings", str(file)))
            with httpx.Client(trust_env=False, timeout=10.0) as client:
                wait_owned(client, urls)
                start_service(client, urls[0])
                worker = client.get(f"http://{listen}/serving/{SERVICE}").json()[0]
                straight = f"http://{listen}/workers/{worker}/services/{SERVICE}/x"
                pids = [process.pid for process in processes[1:]]
                routes = make_routes(client, urls, pids, straight)
                measure(client, routes, 20 if quick else 300)
            return to_figures(routes)
        finally:
            for process in reversed(processes):
                process.send_signal(signal.SIGTERM)
            for process in reversed(processes):
                process.wait(30)


def to_figures(routes: list[CallSamples]) -> list[Figure]:
    """Returns the figures of all routes compared to the direct call."""
    straight = routes[0]
    figures = []
    for route in routes[1:]:
        for percent in (50, 99):
            figures.append(
                Figure(
                    f"latency {route.name}, p{percent}",
                    1000 * quantile(route.seconds, percent),
                    "ms",
                    baseline=1000 * quantile(straight.seconds, percent),
                )
            )
        figures.append(
            Figure(
                f"processor time of the entry instance, {route.name}",
                1000 * route.processor_s,
                "ms/request",
            )
        )
        figures.append(
            Figure(
                f"processor time without requests, {route.name}",
                100 * route.idle_share,
                "% of a core",
            )
        )
    return figures


def quantile(values: list[float], percent: int) -> float:
    """Returns a percentile."""
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
