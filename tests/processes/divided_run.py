"""Divides a cell of real processes and checks that no task runs twice.

Usage: ``python -m tests.processes.divided_run FOLDER [--case C] [--seed N]``.
The owner and half of the workers are cut off from the store, the other workers and all
other entries for 9 s. The cases differ in what else happens:

- ``silence``: nothing.
- ``restart``: 3 s after the cut, some workers beyond it restart on the owner's side.
- ``claim``: the cut begins just after the owner's claim, and the owner has not reached
  the workers beyond it before.

Processes are those of the checkout, or of ``--root CHECKOUT``; store and workers are
stand-ins on loopback addresses. The record goes to ``record.txt`` in the folder, the
logs beside it. The exit code is 1 if a task ran twice or a job did not complete, and 2
if the run could not be made.

Each entry reaches the store at an address of its own, and is shown addresses of workers
and peers that no other entry is shown. So a caller is known by the address it calls.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import socket
import sys
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

from review import standin

CHECKOUT = Path(__file__).resolve().parents[2]
ENTRIES = 5
WORKERS = 10
CASES = ("silence", "restart", "claim")
ZONES = ("zone-a", "zone-b", "zone-c")
JOB_INTERVAL_S = 0.6
TASK_MS = (1000, 6000)
BEFORE_S = 8.0
CUT_S = 9.0
RESTART_AFTER_S = 3.0
RESTARTED = 3
UNREACHED_S = 1.0
CLAIM_LIMIT_S = 10.0
CUT_AFTER_CLAIM_S = 0.3
AFTER_S = 3.0
COMPLETION_LIMIT_S = 30.0
START_LIMIT_S = 30.0
PORTS_OF_A_RUN = 100
FIRST_PORT = 10000 + os.getpid() % 200 * PORTS_OF_A_RUN
PORTS_LEFT = iter(range(FIRST_PORT, FIRST_PORT + PORTS_OF_A_RUN))

Answer = tuple[int, Any]
Handler = Callable[..., Awaitable[Answer | None]]


class Cut:
    """A cut that divides the cell: both sides are silent to each other."""

    def __init__(self) -> None:
        self.side: set[str] = set()
        self.lost: set[tuple[str, str]] = set()
        self.healed = asyncio.Event()
        self.healed.set()

    def begin(self, side: Iterable[str]) -> None:
        """Cuts these off from all others."""
        self.side = set(side)
        self.lost = set()
        self.healed.clear()

    def lose(self, callers: Iterable[str], callees: Iterable[str]) -> None:
        """Loses the calls between some only, until a cut begins."""
        self.lost = set(itertools.product(callers, callees))
        self.healed.clear()

    def heal(self) -> None:
        """Ends the cut."""
        self.side = set()
        self.lost = set()
        self.healed.set()

    def parts(self, one: str, other: str) -> bool:
        """Returns whether the calls of one to another are lost."""
        if (one, other) in self.lost:
            return True
        return (one in self.side) != (other in self.side)


class CutServer(standin.HttpServer):
    """A server for one caller; its calls are lost while the cut parts the two."""

    def __init__(self, cut: Cut, caller: str, callee: str, handle: Handler) -> None:
        super().__init__(self.handle_unless_cut)
        self.cut = cut
        self.caller = caller
        self.callee = callee
        self.handle_call = handle

    async def handle_unless_cut(self, *call: Any) -> Answer | None:
        """Answers a call, or resets the connection once the cut has healed."""
        if not self.cut.parts(self.caller, self.callee):
            answer = await self.handle_call(*call)
            if not self.cut.parts(self.caller, self.callee):
                return answer
        await self.cut.healed.wait()
        return None


class Forwarder:
    """Carries the connections of one entry to another; bytes wait for the end of a cut.

    :param target: The entry's name; ``find`` returns its address.
    """

    def __init__(
        self, cut: Cut, source: str, target: str, find: Callable[[str], str]
    ) -> None:
        self.cut = cut
        self.source = source
        self.target = target
        self.find = find
        self.tasks: set[asyncio.Task[Any] | None] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Ends all connections."""
        self.server.close()
        for task in list(self.tasks):
            if task is not None:
                task.cancel()

    async def wait_for_link(self) -> None:
        """Waits while the cut parts the two."""
        while self.cut.parts(self.source, self.target):
            await self.cut.healed.wait()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one connection."""
        self.tasks.add(asyncio.current_task())
        try:
            await self.wait_for_link()
            ip, _, port = self.find(self.target).rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            await asyncio.gather(
                self.carry(reader, far_writer), self.carry(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries the bytes of one direction."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.wait_for_link()
                writer.write(data)
                await writer.drain()
        await self.wait_for_link()
        writer.close()


class View:
    """The store as one entry sees it."""

    def __init__(self, store: standin.Store) -> None:
        self.store = store
        self.shown: dict[str, str] = {}
        self.real: dict[str, str] = {}

    def show(self, real: str, shown: str) -> None:
        """Shows an address instead of the real one."""
        self.shown[real] = shown
        self.real[shown] = real

    async def handle(
        self, method: str, path: str, query: Any, headers: Any, body: Any
    ) -> Answer:
        """Answers a call of this entry."""
        if path == "/kv-txn":
            puts = [self.translate(put, self.real) for put in body.get("puts", [])]
            body = {**body, "puts": puts}
        status, found = await self.store.handle(method, path, query, headers, body)
        found = self.translate(found, self.shown)
        for name in ("items", "events"):
            if name in found:
                rows = [self.translate(row, self.shown) for row in found[name]]
                found = {**found, name: rows}
        return status, found

    def translate(
        self, row: dict[str, Any], addresses: dict[str, str]
    ) -> dict[str, Any]:
        """Returns an item with other addresses in its value."""
        if "value" not in row:
            return row
        value = base64.b64decode(row["value"])
        for old, new in addresses.items():
            value = value.replace(old.encode(), new.encode())
        return {**row, "value": base64.b64encode(value).decode()}


class Worker(standin.Worker):
    """A worker with an address for each entry; it counts the lapses of its lease."""

    def __init__(self, cell: DividedCell, number: int, zone: str) -> None:
        super().__init__(cell, number, zone)
        self.lapses = 0
        self.servers = {
            name: CutServer(cell.cut, name, self.id, self.handle) for name in cell.names
        }

    async def start(self) -> None:
        for server in self.servers.values():
            await server.start()
        await super().start()

    async def crash(self) -> None:
        for server in self.servers.values():
            await server.stop()
        await super().crash()

    def extend(self, body: Any) -> None:
        if self.clock_ms() > self.lease_until:
            self.lapses += 1
        super().extend(body)

    def finish(self, key: tuple[str, int], how: str) -> None:
        super().finish(key, how)
        if how == "done":
            now = self.cell.record.now()
            done = {"at": now, "run": key[1], "worker": self, "lapses": self.lapses}
            self.cell.done.setdefault(key[0], []).append(done)

    async def hold(self, body: Any) -> Answer:
        self.extend(body)
        seen = body.get("lastSeen", 0)
        for end in self.ends:
            if end[0] <= seen and end[3] == "done":
                self.cell.acknowledge(self, end[1], end[2])
        answer: Answer = await super().hold(body)
        return answer


def find_ports(count: int) -> list[int]:
    """Returns free ports that the system gives to no outgoing connection.

    Runs side by side look in different parts of the range.
    """
    found: list[int] = []
    for port in PORTS_LEFT:
        with socket.socket() as trial:
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise standin.CannotRunError("too few free ports")


class Entry(standin.Entry):
    """An entry that reaches the store at an address of its own."""

    def __init__(self, cell: DividedCell, name: str, zone: str, store: str) -> None:
        super().__init__(cell, name, zone, cell.folder)
        settings = json.loads(self.settings.read_text())
        settings["store"]["address"] = store
        self.settings.write_text(json.dumps(settings))

    async def shut_down(self) -> None:
        """Asks the process to end for good."""
        self.wanted = False
        process: Any = self.process
        process.terminate()


class DividedCell(standin.Cell):
    """A cell that can be divided."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.folder.rmdir()  # The logs stay, so that they are beside the record.
        self.folder = folder
        self.cut = Cut()
        self.names = [f"front-{number + 1}" for number in range(ENTRIES)]
        self.done: dict[str, list[dict[str, Any]]] = {}
        self.all_starts: list[tuple[float, str, int, str]] = []
        self.helpers: list[Forwarder | CutServer] = []

    async def start_divisible(self) -> None:
        """Starts everything and waits until the cell serves."""
        await self.store.start()
        self.put_manifest()
        for number in range(WORKERS):
            worker = Worker(self, number + 1, ZONES[number % len(ZONES)])
            self.workers.append(worker)
            await worker.start()
        forwarders = [
            Forwarder(self.cut, source, target, self.peer_of)
            for source in self.names
            for target in self.names
            if source != target
        ]
        views = {name: View(self.store) for name in self.names}
        doors = {
            name: CutServer(self.cut, name, "store", view.handle)
            for name, view in views.items()
        }
        self.helpers = [*forwarders, *doors.values()]
        for helper in self.helpers:
            await helper.start()
        for number, name in enumerate(self.names):
            zone = ZONES[number % len(ZONES)]
            door = doors[name].address
            self.entries.append(Entry(self, name, zone, door))
        for worker in self.workers:
            for name, server in worker.servers.items():
                views[name].show(worker.server.address, server.address)
        for forwarder in forwarders:
            real = self.peer_of(forwarder.target)
            views[forwarder.source].show(real, forwarder.address)
        for entry in self.entries:
            await entry.start()
        async with asyncio.timeout(START_LIMIT_S):
            await self.wait_until_ready()

    def put_manifest(self) -> None:
        """Writes the manifest with one queue and one service."""
        route = {
            "name": "r-1",
            "host": standin.HOST,
            "pathPrefix": standin.PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 3000,
            "priority": 1,
            "service": standin.SERVICE,
            "maxAttempts": 4,
            "stretch": 4.0,
        }
        service = {"name": standin.SERVICE, "healthPath": "/health", "maxConns": 64}
        manifest = {"version": 3, "routes": [route], "services": [service]}
        self.store.put("op/config", {**manifest, "limits": {}})

    def peer_of(self, name: str) -> str:
        """Returns the address at which an entry listens for its peers."""
        peer: str = self.entries[self.names.index(name)].peer
        return peer

    def acknowledge(self, worker: Worker, task: str, run: int) -> None:
        """Takes note of an end, unless the worker's lease lapsed since."""
        for done in self.done.get(task, []):
            if done["run"] != run or done["worker"] is not worker or "noted" in done:
                continue
            done["noted"] = worker.lapses == done["lapses"]
            how = "" if done["noted"] else ", its lease lapsed before"
            self.record.write(f"NOTED {task}#{run} on {worker.id}{how}")

    def check_start(self, task: str, number: int, worker: Worker) -> None:
        """Records a start beside another run; those after an end are judged later."""
        self.all_starts.append((self.record.now(), task, number, worker.id))
        for other in self.workers:
            for name, run in other.running:
                if name == task and (run != number or other is not worker):
                    self.report(f"{task}#{number} on {worker.id} beside run {run}")

    def judge_starts(self) -> None:
        """Records the starts after an end that is taken note of at any time."""
        for at, task, number, worker in self.all_starts:
            for done in self.done.get(task, []):
                if done["at"] < at and done.get("noted"):
                    text = f"{task}#{number} on {worker} at {at:.3f} after run"
                    self.report(f"{text} {done['run']} ended done at {done['at']:.3f}")

    def report(self, text: str) -> None:
        """Records a violation."""
        self.twice.append(text)
        self.record.write(f"TWICE {text}")

    async def stop_all(self) -> None:
        """Ends all processes and stand-ins; the logs stay."""
        self.cut.heal()
        for entry in self.entries:
            await entry.kill()
            entry.log.close()
        servers = [s for worker in self.workers for s in worker.servers.values()]
        for helper in [*self.helpers, *servers]:
            await helper.stop()
        for worker in self.workers:
            if worker.up:
                worker.lease_task.cancel()
                await worker.server.stop()
        await self.store.server.stop()


async def submit_all(
    cell: DividedCell, rng: random.Random, accepted: list[str]
) -> None:
    """Submits jobs of two steps at entries beyond the cut."""
    number = 0
    while True:
        entry = rng.choice(
            [e for e in cell.entries if e.wanted and e.name not in cell.cut.side]
        )
        job = f"{number:016x}"
        number += 1
        milliseconds = rng.randint(*TASK_MS)
        step = {"cpu": 2000, "memMb": 256, "estRuntimeMs": milliseconds}
        steps = [{"count": 4, **step}, {"count": 2, **step}]
        status = await cell.submit(entry, job, {"ms": milliseconds}, steps)
        if status in (200, 201, 202):
            accepted.append(job)
        await asyncio.sleep(JOB_INTERVAL_S)


async def wait_for_jobs(cell: DividedCell, jobs: list[str]) -> list[str]:
    """Waits until jobs are completed.

    :returns: The jobs that are not.
    """
    ends = cell.record.now() + COMPLETION_LIMIT_S
    left = list(jobs)
    while left and cell.record.now() < ends:
        job = left.pop(0)
        entry = next(entry for entry in cell.entries if entry.wanted)
        if await cell.state(entry, job) != "completed":
            left.append(job)
            await asyncio.sleep(0.1)
    return left


async def replace_owner(cell: DividedCell, far: list[Worker]) -> None:
    """Shuts the owner down when nobody else reaches some workers.

    Returns just after the next owner's claim.
    """
    first = cell.owner()
    others = [name for name in cell.names if name != first.name]
    cell.record.write(f"{first.name} alone reaches {' '.join(w.id for w in far)}")
    cell.cut.lose(others, [worker.id for worker in far])
    await asyncio.sleep(UNREACHED_S)
    cell.record.write(f"SHUT DOWN {first.name}")
    await first.shut_down()
    async with asyncio.timeout(CLAIM_LIMIT_S):
        while cell.owner() in (None, first):
            await asyncio.sleep(0.001)
    await asyncio.sleep(CUT_AFTER_CLAIM_S)


async def play(cell: DividedCell, seed: int, case: str) -> list[str]:
    """Divides the cell once.

    :returns: The accepted jobs that were not completed.
    """
    rng = random.Random(seed)
    await cell.start_divisible()
    accepted: list[str] = []
    submitting = asyncio.create_task(submit_all(cell, rng, accepted))
    await asyncio.sleep(BEFORE_S + rng.random())
    near = rng.sample(cell.workers, WORKERS // 2)
    far = [worker for worker in cell.workers if worker not in near]
    if case == "claim":
        await replace_owner(cell, far)
    owner = cell.owner()
    side = [owner.name, *(worker.id for worker in near)]
    cell.record.write(f"CUT {' '.join(side)}")
    cell.cut.begin(side)
    heals_at = cell.record.now() + CUT_S
    if case == "restart":
        await asyncio.sleep(RESTART_AFTER_S)
        for worker in far[:RESTARTED]:
            await worker.crash()
            cell.cut.side.add(worker.id)
            await worker.start()
    await asyncio.sleep(heals_at - cell.record.now())
    successor = cell.owner()
    cell.record.write(f"HEAL, the owner is {successor.name if successor else 'none'}")
    cell.cut.heal()
    await asyncio.sleep(AFTER_S)
    submitting.cancel()
    left = await wait_for_jobs(cell, accepted)
    cell.judge_starts()
    restarts = sum(entry.ended_by_itself for entry in cell.entries)
    print(
        f"{case}  seed {seed}  jobs {len(accepted)}  starts {len(cell.all_starts)}"
        f"  twice {len(cell.twice)}  not completed {len(left)}"
        f"  owner replaced {'yes' if successor not in (None, owner) else 'no'}"
        f"  exits {restarts}",
        flush=True,
    )
    return left


async def run(folder: Path, seed: int, case: str) -> int:
    """Plays once and returns the exit code."""
    cell = DividedCell(folder)
    try:
        left = await play(cell, seed, case)
    except (standin.CannotRunError, TimeoutError) as error:
        print(f"seed {seed} could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        await cell.stop_all()
    return 1 if cell.twice or left else 0


def main() -> int:
    """Reads the arguments and plays."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--case", choices=CASES, default=CASES[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--root", type=Path, default=CHECKOUT)
    arguments = parser.parse_args()
    standin.free_ports = find_ports
    standin.ROOT = arguments.root.resolve()
    folder = arguments.folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(run(folder, arguments.seed, arguments.case))


if __name__ == "__main__":
    sys.exit(main())
