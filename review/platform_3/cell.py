"""Runs entry instances as processes against the stand-ins, and keeps a record."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

from platform_3.http import Client
from platform_3.store import Store
from platform_3.workers import Fleet

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
READY_TIMEOUT_S = 20.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Raised if a case cannot be judged."""


def free_ports(count):
    """Returns ports on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind(("127.0.0.1", 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


class Instance:
    """One entry instance, started with the command of the deploy file."""

    def __init__(self, cell, name, zone, store, link_mbps):
        self.cell = cell
        self.name = name
        callers, ready, peer, metrics = (f"127.0.0.1:{port}" for port in free_ports(4))
        self.callers, self.ready_address = callers, ready
        settings = {
            "instance": name,
            "region": "region-a",
            "data_centre": zone,
            "listen": {
                "callers": callers,
                "ready": ready,
                "peer": peer,
                "metrics": metrics,
            },
            "store": {"address": store},
            "advice": "",
            "state_wait_ms": 250,
            "machine": {
                "processor_share": 0.537,
                "speed": 2,
                "link_mbps": link_mbps,
                "memory_mb": 300,
                "max_descriptors": 4100,
            },
            "bounds": {
                "max_hold_ms": 6000,
                "stop_ms": 200,
                "grace_s": 6,
                "status_s": 120,
                "remote_factor": 1.5,
            },
        }
        self.path = cell.folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.process = None

    def start(self):
        """Starts the process."""
        command = f"python3 -m lacewinghold serve --settings {self.path}".split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.cell.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.cell.record("instance starts", instance=self.name)

    def send(self, number):
        """Sends a signal to the process."""
        text = signal.Signals(number).name
        self.cell.record("signal", instance=self.name, signal=text)
        self.process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self):
        """Waits until the balancer would send requests to the instance."""
        client = Client(self.ready_address)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            status, _ = await client.call("GET", "/ready", HOST, timeout_s=1.0)
            if status == 200:
                client.close()
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")


class Cell:
    """Store, workers and entry instances of one script."""

    def __init__(self, record_path):
        self.began = time.monotonic()
        self.lines = []
        self.record_path = record_path
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = Store()
        self.instances = []
        self.fleet = None

    def record(self, what, **fields):
        """Adds a line to the record."""
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{at:8.3f} {what} {text}".rstrip())

    def write_manifest(self, version, routes, service, **more):
        """Writes a manifest; it is confirmed on return."""
        manifest = {
            "version": version,
            "routes": routes,
            "services": [{"name": service, "enforcesCapacity": False}],
            "limits": {},
            **more,
        }
        self.store.put("op/config", json.dumps(manifest).encode())
        self.record("manifest", version=version)

    async def start(self, behaviour, gangs, routes, service, count):
        """Starts the stand-ins and the entry instances."""
        await self.store.start()
        self.write_manifest(1, routes, service)
        self.fleet = Fleet(self.store, self.record, behaviour, gangs)
        self.ticking = asyncio.create_task(self.fleet.run())
        for number in range(count):
            self.add_instance(f"front-{number + 1}").start()
        for instance in self.instances:
            await instance.wait_until_ready()

    def add_instance(self, name, zone="zone-a", store=None, link_mbps=1000.0):
        """Returns a further entry instance, which is not started yet.

        :param store: Address at which it reaches the store, if not the store's own.
        """
        store = store or self.store.server.address
        instance = Instance(self, name, zone, store, link_mbps)
        self.instances.append(instance)
        return instance

    async def submit(self, prefix, job, steps, instance=0, **more):
        """Submits a job until it is accepted."""
        client = Client(self.instances[instance].callers)
        body = {"spec": f"work of {job}", "steps": steps, **more}
        deadline = time.monotonic() + 15.0
        while time.monotonic() < deadline:
            status, _ = await client.call("POST", prefix + job, HOST, body)
            self.record("submitted", job=job, status=status)
            if 200 <= status < 300:
                client.close()
                return
            await asyncio.sleep(0.5)
        raise CannotRunError(f"job {job} was not accepted")

    async def state(self, prefix, job, instance=0):
        """Returns the state of a job as a caller sees it, or the status."""
        client = Client(self.instances[instance].callers)
        status, value = await client.call("GET", prefix + job, HOST)
        client.close()
        found = value["state"] if status == 200 else status
        self.record("state", job=job, answer=found)
        return found

    async def wait_for(self, condition, limit_s):
        """Waits until a condition holds.

        :returns: Whether it did in time.
        """
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False

    def close(self, verdict):
        """Ends all processes and writes the record."""
        for instance in self.instances:
            instance.kill()
        if os.environ.get("KEEP_LOGS"):
            for instance in self.instances:
                log = (self.folder / f"{instance.name}.log").read_text()
                Path(os.environ["KEEP_LOGS"], f"{instance.name}.log").write_text(log)
        self.temporary.cleanup()
        self.lines.append(verdict)
        self.record_path.write_text("\n".join(self.lines) + "\n")


def run_case(case, folder):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, else 2.

    :param case: Called with a cell and whether to cause the disruption; returns what
        broke the rule, or ``None``.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        cell = Cell(folder / "record.txt")
        result, verdict = COULD_NOT_RUN, "could not run"
        try:
            async with asyncio.timeout(110):
                broken = await case(cell, trouble)
            result = HELD if broken is None else BROKEN
            verdict = "the rule held" if broken is None else f"BROKEN: {broken}"
        except (CannotRunError, TimeoutError) as error:
            verdict = f"could not run: {error}"
        except Exception:
            verdict = "could not run: " + traceback.format_exc()
        finally:
            cell.close(verdict)
        print(verdict)
        return result

    sys.exit(asyncio.run(run()))
