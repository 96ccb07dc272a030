"""Stand-ins of the platform for the scripts of the second review.

They follow the pages of the platform: the metadata store, workers, and a client of the
entry instances. Everything runs in one event loop; the entry instances are processes
of their own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 12000, 30000
CALLER_HOST = "orders.example"
SERVICE = "press"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.05
SILENCE_S = 600.0
LASTS_S = 100_000.0  # Tasks of so much work last.


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Writes one line with its time."""
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)


class HttpServer:
    """A small HTTP/1.1 server; subclasses answer in ``handle``."""

    def __init__(self) -> None:
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Returns IP address and port."""
        return f"{HOST}:{self.port}"

    async def open(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def reset(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                content = json.loads(body) if body else {}
                status, reply = await self.handle(
                    method, url.path, query, headers, content
                )
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, method: str, path: str, query: dict, headers: dict, body: dict
    ) -> tuple[int, dict]:
        """Answers one request."""
        raise NotImplementedError


class Store(HttpServer):
    """The metadata store.

    ``late_txn`` may be set to a function that returns for a transaction how many
    seconds late it is carried out, without a response, or ``None``.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        self.late_txn = lambda body: None
        self.tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        await super().open()
        self.spawn(self.expire_leases())

    def spawn(self, work) -> None:
        """Starts a task and keeps it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def expire_leases(self) -> None:
        """Ends leases in time."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until <= now:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.change({}, keys)

    def change(self, puts: dict[str, tuple[str, int]], removes: list[str]) -> None:
        """Applies changes as one revision."""
        self.revision += 1
        for key, (value, lease) in puts.items():
            known = self.items.get(key)
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {"key": key, "revision": self.revision, "deleted": True}
                )
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Writes a key on behalf of the operator or of a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.change({key: (text, 0)}, [])

    def remove(self, key: str) -> None:
        """Removes a key on behalf of the operator or of a worker."""
        if key in self.items:
            self.change({}, [key])

    def read(self, key: str) -> dict | None:
        """Returns the decoded value of a key."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def handle(self, method, path, query, headers, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "at": self.revision}
        if path == "/kv-range":
            prefix, after = query["pathPrefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500,
                "at": self.revision,
            }
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            delay = self.late_txn(body)
            if delay is not None:
                self.spawn(self.apply_late(body, delay))
                await asyncio.sleep(SILENCE_S)  # The channel returns nothing further.
            return self.apply(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = max(1.0, body["ttlMs"] / 1000)
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.last_lease, "ttlMs": ttl * 1000}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease][1] = time.monotonic() + ttl
        return 200, {"lease": lease, "ttlMs": ttl * 1000}

    async def watch(self, query: dict) -> tuple[int, dict]:
        """Answers a watch as soon as there is an event."""
        prefix, after = query["pathPrefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def apply_late(self, body: dict, delay: float) -> None:
        """Carries out a transaction late."""
        await asyncio.sleep(delay)
        status, _ = self.apply(body)
        keys = [put["key"] for put in body["puts"]]
        self.record.write(f"store carries out a late write of {keys}: {status}")

    def apply(self, body: dict) -> tuple[int, dict]:
        """Carries out a transaction."""
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        self.change(
            {put["key"]: (put["value"], put["lease"]) for put in body["puts"]},
            body["remove"],
        )
        return 200, {"revision": self.revision}


class Run:
    """A run on a worker."""

    def __init__(self, task: str, number: int, work_s: float) -> None:
        self.task = task
        self.number = number
        self.work_s = work_s
        self.began = time.monotonic()

    def percent(self) -> int:
        """Returns the progress; a task that lasts is at work at once."""
        if self.work_s >= LASTS_S:
            return 100
        return min(99, int(100 * (time.monotonic() - self.began) / self.work_s))


class Worker(HttpServer):
    """One worker. The text of a job is the time that each of its tasks takes."""

    def __init__(self, store: Store, record: Record, name: str, cpu: int) -> None:
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.cpu = cpu
        self.state = "ready"
        self.service = SERVICE
        self.started: list[tuple[str, float]] = []
        self.life = 0
        self.up = False
        self.clear()

    def clear(self) -> None:
        """Forgets all of the life before."""
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.fence = 0
        self.until_ms = 0.0
        self.seq = 0
        self.number = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list] = []
        self.highest: dict[str, int] = {}
        self.ended_event = asyncio.Event()

    def clock_ms(self) -> int:
        """Returns the worker's clock."""
        return int((time.monotonic() - self.boot) * 1000)

    async def start(self) -> None:
        """Starts the worker under its id, knowing nothing of before."""
        self.clear()
        self.life += 1
        self.up = True
        await self.open()
        self.store.spawn(self.live(self.life))
        self.record.write(f"{self.name} starts, life {self.life}")

    def crash(self) -> None:
        """Crashes the worker; it says nothing."""
        self.up = False
        lost = [f"{run.task} run {run.number}" for run in self.running.values()]
        self.record.write(f"{self.name} crashes with {', '.join(lost) or 'nothing'}")
        self.running = {}
        self.reset()

    async def live(self, life: int) -> None:
        """Registers, and ends runs in time, during one life."""
        next_beat = 0.0
        while self.up and self.life == life:
            now = time.monotonic()
            if now >= next_beat:
                next_beat = now + HEARTBEAT_S
                self.beat()
            if self.running and self.clock_ms() > self.until_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                if now >= run.began + run.work_s:
                    self.end(run, "done")
            await asyncio.sleep(0.01)

    def beat(self) -> None:
        """Writes the worker's entry."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "seqNo": self.seq,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpus": 0},
            "labels": ["kind-a", "r1"],
        }
        self.store.put(f"servers/{self.name}", entry)

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        self.running.pop(run.task, None)
        self.number += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.number, run.task, run.number, how, ""])
        self.record.write(f"{self.name} ends {run.task} run {run.number}: {how}")
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        expected = headers.get("lacewinghold-expect-instance", self.name)
        if expected != self.name:
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        if method == "GET":
            return 200, {}
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return await self.run_stop(body)
        return 404, {}

    def refuse(self, reason: str) -> tuple[int, dict]:
        """Refuses an order."""
        return 409, {"clockMs": self.clock_ms(), "reason": reason, "born": self.born}

    def extend(self, until_ms: float) -> None:
        """Extends the lease; it never shortens."""
        until_ms = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        self.until_ms = max(self.until_ms, until_ms)

    async def hold(self, body: dict) -> tuple[int, dict]:
        """Answers a hold."""
        seen = body.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.record.write(
                    f"{self.name} is told: the end of {end[1]} run {end[2]} is noted"
                )
        self.ended = [end for end in self.ended if end[0] > seen]
        if "untilMs" in body:
            self.extend(body["untilMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.ended_event.wait(), wait_s)
        running = [
            [run.task, run.number, "", run.percent(), 0]
            for run in self.running.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }

    def run_start(self, body: dict) -> tuple[int, dict]:
        """Starts a run."""
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {"clockMs": self.clock_ms(), "born": self.born}
        if number <= self.highest.get(task, 0) or known is not None:
            self.extend(body["untilMs"])
            return self.refuse("old")
        if body["untilMs"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(body["untilMs"])
        self.running[task] = Run(task, number, float(body["spec"]))
        self.started.append((task, self.record.now()))
        self.record.write(
            f"{self.name} starts {task} run {number} for fence {body['fencingToken']}"
        )
        return 200, {"clockMs": self.clock_ms(), "born": self.born}

    async def run_stop(self, body: dict) -> tuple[int, dict]:
        """Stops a run, or makes sure that it does not start."""
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            await asyncio.sleep(STOP_S)
            if self.running.get(task) is run:
                self.end(run, "stopped")
        return 200, {"clockMs": self.clock_ms(), "born": self.born}


class Entry:
    """One entry instance: a process of the project's own program."""

    def __init__(self, folder: Path, store: Store, name: str) -> None:
        self.name = name
        self.folder = folder
        self.callers, self.ready_port = free_port(), free_port()
        self.peer, self.metrics = free_port(), free_port()
        self.store = store
        self.process: asyncio.subprocess.Process | None = None
        self.settings = folder / f"{name}.json"

    def write_settings(self, advice: str = "") -> None:
        """Writes the settings as ``deploy/entry.json.in`` renders them."""
        settings = {
            "instance": self.name,
            "region": "r",
            "data_centre": "a",
            "listen": {
                "callers": f"{HOST}:{self.callers}",
                "ready": f"{HOST}:{self.ready_port}",
                "peer": f"{HOST}:{self.peer}",
                "metrics": f"{HOST}:{self.metrics}",
            },
            "store": {"address": self.store.address},
            "advice": advice,
            "machine": {"processor_share": 0.537, "speed": 2, "link_mbps": 1000.0},
            "bounds": {
                "max_hold_ms": MAX_HOLD_MS,
                "stop_ms": 900,
                "grace_s": 6.0,
                "status_s": 120,
                "remote_factor": 2,
            },
        }
        self.settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self.write_settings()
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                *("-m", "lacewinghold", "serve", "--settings", str(self.settings)),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT / "target" / "deps")},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kills the process."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            self.signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()

    async def call(
        self, method: str, path: str, body: object = None, limit_s: float = 3.0
    ) -> tuple[int, dict]:
        """Sends one request of a client over a connection of its own.

        :returns: Status and body; status 0 if there was no complete response.
        """
        try:
            return await asyncio.wait_for(
                self.exchange(method, path, body, limit_s), limit_s
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0, {}

    async def exchange(
        self, method: str, path: str, body: object, limit_s: float
    ) -> tuple[int, dict]:
        """Sends one request and reads its response."""
        reader, writer = await asyncio.open_connection(HOST, self.callers)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
                f"Lacewinghold-Deadline-Ms: {int(limit_s * 1000)}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            size = 0
            for line in head.split("\r\n"):
                if line.startswith("content-length:"):
                    size = int(line.partition(":")[2])
            content = await reader.readexactly(size)
            return int(head.split(" ")[1]), json.loads(content) if content else {}
        finally:
            writer.close()

    async def wait_until_ready(self) -> None:
        """Waits until the instance serves the manifest."""
        while (await self.call("GET", "/none/"))[0] != 404:
            await asyncio.sleep(0.1)


def free_port() -> int:
    """Returns a free port below those that the system gives to connections."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as found, suppress(OSError):
            found.bind((HOST, port))
            return port


def manifest(version: int, routes: list[dict]) -> dict:
    """Returns a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "enforcesCapacity": False}],
        "limits": {},
    }


def route(name: str, **changes: object) -> dict:
    """Returns a route, whose prefix is its name."""
    return {
        "name": name,
        "host": CALLER_HOST,
        "pathPrefix": f"/{name}/",
        "service": SERVICE,
        "priority": 1,
        "maxAttempts": 4,
        "stretch": 2.0,
        "targetLatencyMs": 1000,
        **changes,
    }


def job(work_s: float, *steps: dict) -> dict:
    """Returns a job whose tasks take some time each."""
    return {"spec": str(work_s), "steps": list(steps)}


def step(count: int, cpu: int, work_s: float, **more: object) -> dict:
    """Returns a step of a job."""
    return {
        "count": count,
        "cpu": cpu,
        "memMb": 256,
        "estRuntimeMs": int(work_s * 1000),
        **more,
    }


def run_case(main) -> None:
    """Runs a case and ends with its verdict: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble), 110))
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
