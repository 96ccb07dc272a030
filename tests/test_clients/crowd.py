"""One entry process on loopback addresses and the crowds that are let loose on it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import math
import os
import socket
from pathlib import Path

from review import standin

MEMORY_MB = 64  # An entry process needs about 45 MB by itself.
MAX_DESCRIPTORS = 160
ANSWER_LIMIT_S = 30.0
HOLD_S = 4.0  # Unfinished requests stay open for this long.
ENDLESS_HOLD_S = 8.0  # So do connections on which requests are sent ahead.
SAMPLE_S = 0.02
LEGAL_BODY = 262_144
STEP = {"count": 1, "cpu": 100, "memMb": 16, "estRuntimeMs": 10}
ROUTE = {
    "name": "r-1",
    "host": standin.HOST,
    "pathPrefix": standin.PREFIX,
    "kind": "non_idempotent",
    "timeoutMs": 3000,
    "targetLatencyMs": 3000,
    "priority": 1,
    "service": standin.SERVICE,
    "maxAttempts": 4,
}
SERVICES = [{"name": standin.SERVICE, "healthPath": "/health", "maxConns": 64}]
MANIFEST = {"version": 3, "routes": [ROUTE], "services": SERVICES, "limits": {}}
JOB = {"spec": json.dumps({"ms": 10}), "steps": [STEP]}
MIB = 1024 * 1024
PORTS_OF_A_RUN = 120
FIRST_PORT = 20_000 + os.getpid() % 100 * PORTS_OF_A_RUN
PORTS = itertools.cycle(range(FIRST_PORT, FIRST_PORT + PORTS_OF_A_RUN))


def head(*lines, method="POST", path=standin.PREFIX + "00000000000000ff"):
    """Returns the head of a request."""
    first = f"{method} {path} HTTP/1.1\r\nHost: {standin.HOST}\r\n"
    return (first + "".join(line + "\r\n" for line in lines) + "\r\n").encode()


def find_ports(count):
    """Returns free ports that the system gives to no outgoing connection.

    With ports that it does, a process once failed to start: address already in use.
    """
    found = []
    for port in itertools.islice(PORTS, PORTS_OF_A_RUN):
        with socket.socket() as trial, contextlib.suppress(OSError):
            trial.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise standin.CannotRunError("too few free ports")


def socket_inodes(pid):
    """Returns the descriptors of a process, those of sockets as inodes."""
    found = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            found.append(str(link.readlink()).removeprefix("socket:[").rstrip("]"))
    return found


class Entry(standin.Entry):
    """An entry process whose memory and descriptors are watched.

    :param peak_mb: Highest resident memory with the unread bytes of its sockets, in MB.
    """

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def __init__(self, cell, folder, name="front-1", zone="zone-a"):
        standin.free_ports = find_ports
        super().__init__(cell, name, zone, folder)
        settings = json.loads(self.settings.read_text())
        settings["machine"]["memory_mb"] = self.memory_mb
        settings["machine"]["max_descriptors"] = self.max_descriptors
        self.settings.write_text(json.dumps(settings))
        self.metrics = settings["listen"]["metrics"]
        self.peak_mb = 0.0
        self.most_descriptors = 0

    async def supervise(self):
        """Leaves the process ended once it has ended."""

    def resident_mb(self, field="VmRSS"):
        """Returns a figure of /proc/PID/status in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition(f"{field}:")[2].split()[0]) / 1024

    def unread_mb(self, own):
        """Returns the received bytes that the process has not read, in MB."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in own:
                total += int(fields[4].partition(":")[2], 16)
        return total / MIB

    async def watch(self):
        """Samples memory and descriptors until the process ends."""
        with contextlib.suppress(OSError, IndexError):
            while True:
                own = socket_inodes(self.process.pid)
                self.most_descriptors = max(self.most_descriptors, len(own))
                found = self.resident_mb() + self.unread_mb(set(own))
                self.peak_mb = max(self.peak_mb, found, self.resident_mb("VmHWM"))
                await asyncio.sleep(SAMPLE_S)


class Client:
    """One client; it sends what it is given and then keeps its connection open."""

    def __init__(self, address):
        self.address = address
        self.received = b""

    async def run(self, parts, hold_s=HOLD_S, reset=False):
        """Sends parts until the other end closes, then waits for it to do so.

        :param parts: Bytes, or numbers of seconds to wait.
        """
        ip, _, port = self.address.rpartition(":")
        writer = None
        reading = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(hold_s):
                reader, writer = await asyncio.open_connection(ip, int(port))
                self.transport = writer.transport
                reading = asyncio.create_task(self.read(reader))
                for part in parts:
                    if isinstance(part, float):
                        await asyncio.sleep(part)
                    elif part == b"EOF":
                        writer.write_eof()
                    else:
                        writer.write(part)
                        await writer.drain()
                if not reset:
                    await reading
        if reading is not None:
            reading.cancel()
        if writer is not None:
            writer.transport.abort()

    async def read(self, reader):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                self.received += data


class UnreadingClient(Client):
    """A client that does not read what it receives."""

    async def read(self, reader):
        self.transport.pause_reading()
        await asyncio.sleep(math.inf)


async def ask(entry, method, path, body=None):
    """Makes an ordinary request until it is answered other than 429 or 503."""
    for _ in range(round(ANSWER_LIMIT_S)):
        status, found = await standin.request(
            entry.front, method, path, body, 3.0, standin.HOST
        )
        if status not in (0, 429, 503):
            return status, found
        await asyncio.sleep(1.0)
    return status, found


async def play(folder, send):
    """Starts a cell of one entry process and lets a crowd loose on it.

    :param send: Takes the entry and sends what the crowd sends.
    :returns: The entry, after its end, and what went wrong.
    """
    cell = standin.Cell(folder)
    watching = None
    faults = []
    await cell.store.start()
    cell.store.put("op/config", MANIFEST)
    entry = Entry(cell, folder)
    cell.entries.append(entry)
    try:
        worker = standin.Worker(cell, 1, "zone-a")
        cell.workers.append(worker)
        await worker.start()
        await entry.start()
        await cell.wait_until_ready()
        assert (await ask(entry, "POST", standin.PREFIX + f"{1:016x}", JOB))[0] == 200
        watching = asyncio.create_task(entry.watch())
        before = entry.resident_mb()
        await send(entry)
        code = entry.process.returncode
        if code is not None:
            faults.append(f"the process ended with exit code {code}")
        else:
            path = standin.PREFIX + f"{2:016x}"
            submitted = (await ask(entry, "POST", path, JOB))[0]
            state = await ask(entry, "GET", path)
            if submitted != 200 or state[0] != 200:
                code = entry.process.returncode
                faults.append(f"an ordinary job: {submitted}, then {state}, {code=}")
    finally:
        if watching is not None:
            watching.cancel()
        await cell.stop()
    if entry.peak_mb > MEMORY_MB:
        faults.append(f"memory {before:.0f} MB, then {entry.peak_mb:.1f} MB")
    if entry.most_descriptors > MAX_DESCRIPTORS:
        faults.append(f"{entry.most_descriptors} descriptors")
    print(f"memory {before:.1f} to {entry.peak_mb:.1f} MB,", end=" ")
    print(f"{entry.most_descriptors} descriptors, faults {faults}")
    return entry, faults
