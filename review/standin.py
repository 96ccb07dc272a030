"""Stand-ins for the platform's store, workers and callers, and the cell's processes.

They follow PROTOCOL.md as far as the cases need it, on loopback addresses and the real
clock. Nothing but the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "printing"
STORE_CALL_S = 0.004  # The store's usual time for an answer.
STOP_STEP_S = 0.05  # A stop takes one to ten of these; 0.9 s at most is allowed.
LASTING_START_S = 0.3
MAX_HOLD_MS = 6000
GANG_TIMEOUT_S = 3.0
RESTART_S = 0.5  # Until a process that has ended by itself is started again.


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Writes one line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers and the body of a message, or ``None``."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """A small HTTP/1.1 server with persistent connections.

    :param handle: Returns status and body of the answer to a request; ``None`` resets
        the connection.
    """

    def __init__(self, handle, port: int = 0) -> None:
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self) -> str:
        """Returns address and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Starts to listen; a port that was used before is used again."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, backlog=256
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops at once: all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                data = json.loads(body) if body else {}
                answer = await self.handle(method, parts.path, query, headers, data)
                if answer is None:
                    writer.transport.abort()
                    return
                status, found = answer
                content = b"" if found is None else json.dumps(found).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()


async def request(address, method, path, body=None, timeout_s=3.0, host=None):
    """Makes one call.

    :returns: Status and decoded body; ``(0, None)`` without an answer.
    """
    ip, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
    head += f"Content-Length: {len(content)}\r\nConnection: close\r\n"
    if content:
        head += "Content-Type: application/json\r\n"
    head += f"Lacewinghold-Deadline-Ms: {round(timeout_s * 1000)}\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + b"\r\n" + content)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    line, _, data = message
    status = int(line.split(" ")[1])
    try:
        return status, json.loads(data) if data else None
    except ValueError:
        return status, None


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items = {}
        self.revision = 5
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start()
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self) -> None:
        """Ends leases that are not renewed."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (_, at) in self.leases.items() if at <= now]:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        if self.leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, removals) -> int:
        """Applies a change and wakes the watches."""
        self.revision += 1
        for put in puts:
            known = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.history.append((self.revision, item))
        for key in removals:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append((self.revision, gone))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key: str, value: object) -> None:
        """Writes a value as JSON, as the operator and the workers do."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([{"key": key, "value": text}], [])

    def remove(self, key: str) -> None:
        """Removes a key."""
        if key in self.items:
            self.apply([], [key])

    def read(self, key: str) -> object:
        """Returns a decoded value, ``None`` if there is no such key."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def handle(self, method, path, query, headers, body):
        """Answers one call."""
        await asyncio.sleep(STORE_CALL_S)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            found = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": found, "hasMore": more, "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = body["ttlMs"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rpartition("/")[2])
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"lease": lease, "ttlMs": ttl}

    async def watch(self, query):
        """Waits for changes of keys with a prefix."""
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        ends = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [
                item
                for revision, item in self.history
                if revision > after and item["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def commit(self, body):
        """Carries out a conditional write."""
        expected = body.get("expect", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [
                    self.items[r["key"]] for r in expected if r["key"] in self.items
                ]
                return 412, {"items": rows}
        puts = body.get("puts", [])
        for put in puts:
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        return 200, {"revision": self.apply(puts, body.get("remove", []))}


class Worker:
    """One worker; it crashes and starts again under its id and address.

    A task's ``spec`` is JSON: ``ms`` is its run time, ``fails`` ends it ``failed``, and
    with ``lasts`` it runs until it is stopped.

    :param cell: The script's cell, which records starts and ends.
    """

    def __init__(self, cell, number: int, zone: str, cpu: int = 16000) -> None:
        self.cell = cell
        self.id = f"i-{number:08x}"
        self.zone = zone
        self.cpu = cpu
        self.rack = f"r1-{number // 8}"
        self.server = HttpServer(self.handle)
        self.up = False
        self.begin_life()

    def begin_life(self) -> None:
        """Forgets everything, as a new boot does."""
        self.born = round(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.highest = {}
        self.changed = asyncio.Event()

    def clock_ms(self) -> float:
        """Returns this life's own clock."""
        return round((time.monotonic() - self.started) * 1000 + 1000)

    async def start(self) -> None:
        """Starts a life and registers."""
        self.begin_life()
        await self.server.start()
        self.up = True
        self.register("ready")
        self.lease_task = asyncio.create_task(self.expire())

    def register(self, state: str) -> None:
        """Writes this worker's entry."""
        entry = {
            "service": SERVICE,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "seqNo": 1,
            "capacity": {"cpu": self.cpu, "memMb": 32768, "gpus": 0},
            "labels": ["a", self.rack],
            "born": self.born,
        }
        self.cell.store.put(f"servers/{self.id}", entry)

    async def crash(self) -> None:
        """Crashes: everything on it ends, and it says nothing."""
        self.up = False
        self.lease_task.cancel()
        for run in self.running.values():
            run["timer"].cancel()
        names = [f"{task}#{run}" for task, run in self.running]
        self.cell.record.write(f"CRASH {self.id} with {' '.join(names) or 'nothing'}")
        self.running = {}
        await self.server.stop()

    async def expire(self) -> None:
        """Kills everything that runs once the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self.lease_until:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how: str) -> None:
        """Ends a run and lists the end."""
        run = self.running.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        task, number = key
        self.ends.append([self.next_end, task, number, how, ""])
        self.next_end += 1
        self.cell.record.write(f"END {task}#{number} on {self.id}: {how}")
        self.cell.ended.append((task, number, how, self.id))
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, body) -> None:
        """Extends the lease, which never gets shorter."""
        until = body.get("untilMs")
        if until is not None:
            longest = self.clock_ms() + MAX_HOLD_MS
            self.lease_until = max(self.lease_until, min(until, longest))

    def answer(self, status: int, **fields):
        """Returns an answer with the clock."""
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, method, path, query, headers, body):
        """Answers one call."""
        expected = headers.get("lacewinghold-expect-instance", self.id)
        if expected != self.id:
            return self.answer(421)
        if path == "/health":
            return 200, {}
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self.answer(409, reason="fence")
        self.fence = token
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return await self.hold(body)
        return self.answer(400)

    def run_start(self, body):
        """Starts a run."""
        task, number = body["task"], body["run"]
        key = (task, number)
        self.extend(body)
        if key in self.running:
            return self.answer(200)
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if body["untilMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        spec = json.loads(body["spec"])
        loop = asyncio.get_running_loop()
        how = "failed" if spec.get("fails") else "done"
        seconds = spec["ms"] / 1000
        if spec.get("lasts"):
            seconds = LASTING_START_S  # It is at work then, and never ends by itself.
            timer = loop.call_later(seconds, self.record_at_work, key)
        else:
            timer = loop.call_later(seconds, self.finish, key, how)
        self.running[key] = {"timer": timer, "began": time.monotonic(), "s": seconds}
        self.cell.record.write(f"START {task}#{number} on {self.id}")
        self.cell.check_start(task, number, self)
        self.cell.started.append((self.cell.record.now(), task, number, self.id))
        return self.answer(200)

    def record_at_work(self, key) -> None:
        """Records that a lasting task is at work."""
        self.cell.record.write(f"AT WORK {key[0]}#{key[1]} on {self.id}")

    def finish(self, key, how: str) -> None:
        """Ends a run by itself."""
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.end(key, how)

    def run_stop(self, body):
        """Stops a run; one that is not there yet will be refused."""
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if (task, number) in self.running:
            loop = asyncio.get_running_loop()
            seconds = STOP_STEP_S * (1 + crc32(task.encode()) % 10)
            loop.call_later(seconds, self.end, (task, number), "stopped")
        return self.answer(200)

    async def hold(self, body):
        """Renews the lease and lists runs and ends."""
        self.extend(body)
        seen = body.get("lastSeen", 0)
        for end in self.ends:
            if end[0] <= seen and end[3] == "done":
                self.cell.noted.setdefault(end[1], (self.cell.record.now(), end[2]))
        self.ends = [end for end in self.ends if end[0] > seen]
        if body.get("waitMs") and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
        now = time.monotonic()
        rows = []
        for (task, number), run in self.running.items():
            percent = min(100, round(100 * (now - run["began"]) / run["s"]))
            rows.append([task, number, "", percent, 0])
        return self.answer(200, running=rows, ended=self.ends[:500])


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind(("127.0.0.1", 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


class Entry:
    """One machine with an entry instance, started as the deploy file says."""

    def __init__(self, cell, name: str, zone: str, folder: Path) -> None:
        self.cell = cell
        self.name = name
        self.zone = zone
        ports = free_ports(4)
        self.front, self.ready, self.peer, metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        settings = {
            "instance": name,
            "region": "region-1",
            "data_centre": zone,
            "listen": {
                "callers": self.front,
                "ready": self.ready,
                "peer": self.peer,
                "metrics": metrics,
            },
            "store": {"address": cell.store.server.address},
            "advice": "",
            "machine": {"processor_share": 0.537, "speed": 2, "link_mbps": 1000.0},
            "bounds": {
                "max_hold_ms": 6000,
                "stop_ms": 900,
                "grace_s": 6,
                "status_s": 120,
                "remote_factor": 2,
            },
        }
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = (folder / f"{name}.log").open("wb")
        self.process = None
        self.wanted = False
        self.ended_by_itself = 0

    async def start(self) -> None:
        """Starts the process, and again whenever it ends by itself."""
        self.wanted = True
        await self.spawn()
        self.supervisor = asyncio.create_task(self.supervise())

    async def spawn(self) -> None:
        """Starts the process once."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LACEWINGHOLD_SETTINGS"] = str(self.settings)
        command = ("-m", "lacewinghold", "serve", "--settings", str(self.settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )

    async def supervise(self) -> None:
        """Starts the process again after it has ended by itself."""
        while True:
            process = self.process
            code = await process.wait()
            if not self.wanted:
                return
            self.ended_by_itself += 1
            self.cell.record.write(f"EXIT {self.name} by itself, code {code}")
            await asyncio.sleep(RESTART_S)
            if self.wanted:
                await self.spawn()

    async def kill(self) -> None:
        """Kills the process for good."""
        self.wanted = False
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether it reports itself ready."""
        status, _ = await request(self.ready, "GET", "/ready", timeout_s=1.0)
        return status == 200


class Cell:
    """All processes and stand-ins of one script."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.workers = []
        self.entries = []
        self.started = []
        self.ended = []
        self.noted = {}
        self.twice = []

    async def start(self, entries: int, workers: int, **route) -> None:
        """Starts everything and waits until the cell serves."""
        await self.store.start()
        fields = {
            "name": "r-1",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 3000,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 4.0,
            **route,
        }
        service = {"name": SERVICE, "healthPath": "/health", "maxConns": 64}
        manifest = {"version": 3, "routes": [fields], "services": [service]}
        self.store.put("op/config", {**manifest, "limits": {}})
        zones = ("zone-a", "zone-b", "zone-c")
        for number in range(workers):
            worker = Worker(self, number + 1, zones[number % 3])
            self.workers.append(worker)
            await worker.start()
        for number in range(entries):
            name = f"front-{number + 1}"
            entry = Entry(self, name, zones[number % 3], self.folder)
            self.entries.append(entry)
            await entry.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Waits until all instances are ready and one owns the cell."""
        for _ in range(200):
            ready = [await entry.is_ready() for entry in self.entries]
            if all(ready) and self.owner() is not None:
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the cell did not become ready")

    def owner(self):
        """Returns the entry instance that owns the cell, as the store tells."""
        record = self.store.read("lacewinghold/owner")
        for entry in self.entries:
            if record is not None and record["address"] == entry.peer:
                return entry
        return None

    async def submit(self, entry, job: str, spec, steps, **fields) -> int:
        """Submits a job once and returns the status."""
        body = {"spec": json.dumps(spec), "steps": steps, **fields}
        status, _ = await request(
            entry.front, "POST", PREFIX + job, body, 3.0, host=HOST
        )
        self.record.write(f"POST {job} at {entry.name}: {status or 'no answer'}")
        return status

    async def state(self, entry, job: str) -> str:
        """Asks for a job's state."""
        status, body = await request(entry.front, "GET", PREFIX + job, host=HOST)
        found = body["state"] if status == 200 else str(status or "no answer")
        self.record.write(f"GET {job} at {entry.name}: {found}")
        return found

    async def cancel(self, entry, job: str) -> int:
        """Cancels a job and returns the status."""
        status, _ = await request(entry.front, "DELETE", PREFIX + job, host=HOST)
        self.record.write(f"DELETE {job} at {entry.name}: {status or 'no answer'}")
        return status

    def check_start(self, task: str, number: int, worker) -> None:
        """Records a start that rule TWICE forbids for steps without copies."""
        found = ""
        if task in self.noted:
            at, run = self.noted[task]
            found = f"though run {run} ended done, taken note of at {at:.3f}"
        for other in self.workers:
            for name, run in other.running:
                if name == task and (run != number or other is not worker):
                    found = f"beside run {run} on {other.id}"
        if found:
            self.twice.append(f"{task}#{number} starts on {worker.id} {found}")
            self.record.write(f"TWICE {self.twice[-1]}")

    def runs_of(self, task: str):
        """Returns the workers that run a task now."""
        found = []
        for worker in self.workers:
            for key in worker.running:
                if key[0] == task:
                    found.append((worker, key[1]))
        return found

    async def stop(self) -> None:
        """Ends all processes and stand-ins, and removes the temporary folder."""
        for entry in self.entries:
            await entry.kill()
            entry.log.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        for worker in self.workers:
            if worker.up:
                worker.lease_task.cancel()
                await worker.server.stop()
        if self.store.server.server is not None:
            await self.store.server.stop()


class CannotRunError(Exception):
    """Raised if the case could not be played."""


def trouble(name: str) -> bool:
    """Returns whether a disruption is to be made.

    ``TROUBLE=0`` makes none, ``TROUBLE=NAME`` makes one of several alone.
    """
    return os.environ.get("TROUBLE", "1") in ("1", name)


def run_case(folder: Path, play) -> int:
    """Plays a case.

    :param play: Takes the cell and returns a sentence that tells how the rule was
        broken, or ``None``.
    :returns: The exit code: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """

    async def main() -> int:
        cell = Cell(folder)
        try:
            async with asyncio.timeout(110):
                broken = await play(cell)
        except Exception as error:  # Nothing but the rule decides on the exit code 1.
            cell.record.write(f"CANNOT RUN {type(error).__name__} {error}")
            return 2
        finally:
            await cell.stop()
            await asyncio.sleep(0.1)
        cell.record.write(f"BROKEN {broken}" if broken else "HELD")
        return 1 if broken else 0

    return asyncio.run(main())
