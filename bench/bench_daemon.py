"""Memory and CPU use of one daemon, run as a real process on loopback."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx
from msgspec import Struct

from bench.base import Benchmark, Figure
from lacewinghold.testing.deployment import EXAMPLES

if TYPE_CHECKING:
    from collections.abc import Iterator

STAND_IN = "127.0.0.90:9000"
HTTP = "127.0.0.91:8080"
PEER = "127.0.0.91:7080"
AUTH_HEADERS = {"Authorization": "Bearer operators-demo-key"}
RACKS = 14
WORKERS_PER_RACK = 8
SHARDS_PER_RACK = 2
RUNNING_TASKS = 3000
TASKS_PER_JOB = 50
STARTS_PER_S = 12
RUN_S = 5.0
SETTLE_S = 5.0
READY_LIMIT_S = 60.0
MEMORY_TARGET_MB = 64.0
CPU_TARGET_PERCENT = 1.8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Sample(Struct):
    """Processor time and memory of a process at one moment."""

    at: float
    cpu_s: float
    memory_mb: float


def sample(pid: int) -> Sample:
    """Reads a process's processor time and resident memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return Sample(time.monotonic(), cpu_s, int(line.split()[1]) / 1024)
    return Sample(time.monotonic(), cpu_s, 0.0)


def core_percent(first: Sample, last: Sample) -> float:
    """Returns the processor share between two samples in percent of a core."""
    return 100 * (last.cpu_s - first.cpu_s) / (last.at - first.at)


def write_settings(folder: Path) -> None:
    """Writes the settings of one daemon that manages all workers of a data centre."""
    example = EXAMPLES / "terrasvuur"
    (folder / "document.json").write_bytes((example / "document.json").read_bytes())
    rack = {
        "region": "vlaanderen",
        "data_centre": "gent-a",
        "workers": WORKERS_PER_RACK,
        "cores": 64,
        "memory_mb": 262144,
    }
    racks = [{**rack, "rack": f"gent-a-r{number}"} for number in range(RACKS)]
    stand_in = {"listen": STAND_IN, "document": "document.json", "racks": racks}
    (folder / "stand-in.json").write_text(json.dumps(stand_in))
    settings = json.loads((example / "gent-a-1.json").read_text())
    settings |= {
        "listen": {"http": HTTP, "peer": PEER},
        "store": {"endpoints": [f"http://{STAND_IN}"]},
        "instance_list_url": f"http://{STAND_IN}/instances",
        "shards_per_rack": SHARDS_PER_RACK,
        "log_level": "warning",
    }
    (folder / "instance.json").write_text(json.dumps(settings))


@contextmanager
def run_process(command: str, file: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Runs one command of the program until the context ends."""
    started = subprocess.Popen(
        [sys.executable, "-m", "lacewinghold", command, "--settings", str(file)]
    )
    try:
        yield started
    finally:
        started.send_signal(signal.SIGTERM)
        try:
            started.wait(READY_LIMIT_S)
        except subprocess.TimeoutExpired:
            started.kill()


class Daemon:
    """A client of one running daemon."""

    def __init__(self, pid: int, client: httpx.Client) -> None:
        self.pid = pid
        self.client = client

    def status(self) -> dict[str, Any]:
        """Returns the status, without shards if the daemon does not respond."""
        try:
            found: dict[str, Any] = self.client.get("/status").json()
        except httpx.HTTPError:
            return {"shards": {}}
        return found

    def wait_owned(self) -> None:
        """Waits until the daemon serves all shards."""
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            shards = self.status()["shards"].values()
            if sum(shard["ready"] for shard in shards) == RACKS * SHARDS_PER_RACK:
                return
            time.sleep(0.5)
        raise RuntimeError("the daemon does not serve all shards")

    def submit(self, tasks: int, run_s: float) -> None:
        """Submits one batch job."""
        job = {
            "kind": "batch",
            "team": "operators",
            "tasks": tasks,
            "resources": {"cores": 0.5, "memory_mb": 512},
            "expected_run_s": run_s,
        }
        self.client.post("/v1/jobs", json=job, headers=AUTH_HEADERS).raise_for_status()

    def count_running(self) -> int:
        """Returns the number of tasks that run on workers."""
        workers = self.client.get("/v1/workers", headers=AUTH_HEADERS).json()
        return sum(worker["tasks"] for worker in workers)

    def measure(self, seconds: float) -> tuple[Sample, Sample]:
        """Samples the daemon at the start and the end of a period without calls."""
        first = sample(self.pid)
        time.sleep(seconds)
        return first, sample(self.pid)

    def start_tasks(self, seconds: float) -> tuple[Sample, Sample]:
        """Samples the daemon while jobs are submitted at a steady rate."""
        first = sample(self.pid)
        for number in range(int(seconds)):
            time.sleep(max(0.0, first.at + number - time.monotonic()))
            self.submit(STARTS_PER_S, RUN_S)
        return first, sample(self.pid)


def memory_figure(name: str, found: Sample) -> Figure:
    """Returns a figure of resident memory."""
    return Figure(name, found.memory_mb, "MB", target=MEMORY_TARGET_MB)


def processor_figure(name: str, found: tuple[Sample, Sample]) -> Figure:
    """Returns a figure of a processor share."""
    return Figure(name, core_percent(*found), "% of core", target=CPU_TARGET_PERCENT)


class DaemonBenchmark(Benchmark):
    """One daemon with 112 workers: idle, with 3,000 tasks, at 12 starts/s."""

    name = "daemon"

    def run(self, *, quick: bool) -> list[Figure]:
        seconds = 5.0 if quick else 20.0
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            write_settings(folder)
            stack.enter_context(run_process("stand-in", folder / "stand-in.json"))
            daemon_process = stack.enter_context(
                run_process("serve", folder / "instance.json")
            )
            client = stack.enter_context(
                httpx.Client(base_url=f"http://{HTTP}", trust_env=False, timeout=30)
            )
            return self.measure(Daemon(daemon_process.pid, client), seconds)

    def measure(self, daemon: Daemon, seconds: float) -> list[Figure]:
        """Measures one daemon in three states."""
        daemon.wait_owned()
        time.sleep(SETTLE_S)
        idle = daemon.measure(seconds)
        for _ in range(RUNNING_TASKS // TASKS_PER_JOB):
            daemon.submit(TASKS_PER_JOB, 3600)
        time.sleep(SETTLE_S)
        running = daemon.count_running()
        busy = daemon.measure(seconds)
        daemon.start_tasks(RUN_S + 1)
        starting = daemon.start_tasks(seconds)
        return [
            memory_figure("resident memory, idle", idle[1]),
            processor_figure("processor share, idle", idle),
            Figure("tasks running", running, "tasks", RUNNING_TASKS, at_most=False),
            memory_figure("resident memory, 3,000 tasks running", busy[1]),
            processor_figure("processor share, 3,000 tasks running", busy),
            processor_figure("processor share, 12 task starts a second", starting),
            memory_figure("resident memory, after the starts", starting[1]),
        ]
