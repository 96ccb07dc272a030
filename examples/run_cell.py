"""Runs one deployment as processes on loopback addresses.

Usage: python examples/run_cell.py examples/terrasvuur [SECONDS]
Starts the stand-in and seven entry instances, submits the example jobs, sends
requests, replaces an entry instance, and stops all processes.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import httpx

START_LIMIT_S = 60.0  # Seven interpreters may start slowly on a busy machine.
STOP_LIMIT_S = 30.0
SHARD_COUNT = 6
CHECK_INTERVAL_S = 0.2
AUTH_HEADERS = {"Authorization": "Bearer operators-demo-key"}


def start(*arguments: str) -> subprocess.Popen[bytes]:
    """Starts one command of the program."""
    return subprocess.Popen([sys.executable, "-m", "lacewinghold", *arguments])


def wait_until_owned(client: httpx.Client, urls: list[str], shards: int) -> None:
    """Waits until all entry instances answer and together own a number of shards."""
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        served = [count_served_shards(client, url) for url in urls]
        if None not in served and sum(count or 0 for count in served) >= shards:
            return
        time.sleep(CHECK_INTERVAL_S)
    raise SystemExit("the entry instances did not become ready in time")


def count_served_shards(client: httpx.Client, url: str) -> int | None:
    """Returns how many shards an entry instance serves, ``None`` without an answer."""
    try:
        status = client.get(f"{url}/status").json()
    except httpx.HTTPError:
        return None
    return sum(shard["ready"] for shard in status["shards"].values())


def submit(client: httpx.Client, url: str, file: Path) -> str:
    """Submits a job and returns its id."""
    headers = {**AUTH_HEADERS, "Idempotency-Key": file.name}
    content = file.read_bytes()
    response = client.post(f"{url}/v1/jobs", content=content, headers=headers)
    response.raise_for_status()
    job: str = response.json()["job"]
    return job


def submit_all(client: httpx.Client, folder: Path, urls: list[str]) -> dict[str, str]:
    """Submits each example job at two entry instances with the same key."""
    jobs = {}
    for index, kind in enumerate(("service", "batch", "all-at-once")):
        file = folder / f"job-{kind}.json"
        jobs[kind] = submit(client, urls[index], file)
        if submit(client, urls[index + 1], file) != jobs[kind]:
            raise SystemExit("a repeated submission made a second job")
    return jobs


def send_requests(
    client: httpx.Client, service: str, urls: list[str], seconds: float
) -> dict[str, int]:
    """Sends requests one after the other for some seconds.

    :returns: The number of requests by status or error.
    """
    outcomes: dict[str, int] = {}
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        url = urls[sum(outcomes.values()) % len(urls)]
        try:
            response = client.post(
                f"{url}/v1/services/{service}/echo",
                content=b"deposit",
                headers=AUTH_HEADERS,
            )
            outcome = str(response.status_code)
        except httpx.HTTPError as error:
            outcome = type(error).__name__
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    return outcomes


class Cell:
    """The processes of one deployment.

    :param folder: The example folder of the deployment.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.stand_in = start("stand-in", "--settings", str(folder / "stand-in.json"))
        self.files = sorted(folder.glob("*-[0-9].json"))
        self.instances = [self.start_instance(file) for file in self.files]
        self.urls = [
            "http://" + json.loads(file.read_text())["listen"]["http"]
            for file in self.files
        ]

    def start_instance(self, file: Path) -> subprocess.Popen[bytes]:
        """Starts one entry instance."""
        return start("serve", "--settings", str(file))

    def replace_instance(self, index: int) -> None:
        """Kills an entry instance and starts another with the same settings."""
        self.instances[index].kill()
        self.instances[index].wait(STOP_LIMIT_S)
        self.instances[index] = self.start_instance(self.files[index])

    def stop(self) -> None:
        """Stops all processes, entry instances first."""
        for process in self.instances:
            process.send_signal(signal.SIGTERM)
        for process in self.instances:
            process.wait(STOP_LIMIT_S)
        self.stand_in.send_signal(signal.SIGTERM)
        self.stand_in.wait(STOP_LIMIT_S)


def exercise_cell(cell: Cell, client: httpx.Client, seconds: float) -> None:
    """Submits jobs, sends requests, replaces an instance and prints the outcomes."""
    wait_until_owned(client, cell.urls, SHARD_COUNT)
    jobs = submit_all(client, cell.folder, cell.urls)
    service = json.loads((cell.folder / "job-service.json").read_text())["service"]
    time.sleep(1.5)
    outcomes = send_requests(client, service, cell.urls, seconds)
    print("requests by status:", outcomes)
    cell.replace_instance(0)
    outcomes = send_requests(client, service, cell.urls, seconds)
    print("requests by status while an entry instance was replaced:", outcomes)
    wait_until_owned(client, cell.urls, SHARD_COUNT)
    for kind, job in jobs.items():
        view = client.get(f"{cell.urls[-1]}/v1/jobs/{job}", headers=AUTH_HEADERS)
        print(f"{kind}: {view.json()['state']}")


def main() -> int:
    """Runs the deployment."""
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 5.0
    cell = Cell(Path(sys.argv[1]))
    try:
        with httpx.Client(trust_env=False, timeout=STOP_LIMIT_S) as client:
            exercise_cell(cell, client, seconds)
    finally:
        cell.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
