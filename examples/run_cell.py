"""Runs one deployment as plain processes on the loopback addresses.

Usage: python examples/run_cell.py examples/terrasvuur [SECONDS]
Starts the stand-in and seven entry instances, submits the example jobs, sends
requests, replaces an entry instance, and stops what it started.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import httpx

START_LIMIT_S = 20.0
STOP_LIMIT_S = 15.0
KEY = {"Authorization": "Bearer operators-demo-key"}


def start(*arguments: str) -> subprocess.Popen[bytes]:
    """Starts one command of the program."""
    return subprocess.Popen([sys.executable, "-m", "lacewinghold", *arguments])


def wait_until_owned(urls: list[str], shards: int) -> None:
    """Waits until the entry instances own a number of shards."""
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        if sum(owned(url) for url in urls) >= shards:
            return
        time.sleep(0.2)
    raise SystemExit("the entry instances did not become ready in time")


def owned(url: str) -> int:
    """Returns how many shards an entry instance serves."""
    try:
        status = httpx.get(f"{url}/status", trust_env=False).json()
    except httpx.HTTPError:
        return 0
    return sum(shard["ready"] for shard in status["shards"].values())


def submit(url: str, file: Path) -> str:
    """Submits a job and returns its id."""
    response = httpx.post(
        f"{url}/v1/jobs",
        content=file.read_bytes(),
        headers={**KEY, "Idempotency-Key": file.name},
        trust_env=False,
    )
    response.raise_for_status()
    job: str = response.json()["job"]
    return job


def work(folder: Path, urls: list[str], seconds: float) -> None:
    """Submits jobs, sends requests and shows what became of them."""
    jobs = {}
    for index, kind in enumerate(("service", "batch", "all-at-once")):
        file = folder / f"job-{kind}.json"
        jobs[kind] = submit(urls[index], file)
        if submit(urls[index + 1], file) != jobs[kind]:
            raise SystemExit("a repeated submission made a second job")
    service = json.loads((folder / "job-service.json").read_text())["service"]
    time.sleep(1.5)
    outcomes: dict[int, int] = {}
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        url = urls[sum(outcomes.values()) % len(urls)]
        response = httpx.post(
            f"{url}/v1/services/{service}/echo",
            content=b"deposit",
            headers=KEY,
            trust_env=False,
        )
        outcomes[response.status_code] = outcomes.get(response.status_code, 0) + 1
    print("requests by status:", outcomes)
    for kind, job in jobs.items():
        view = httpx.get(f"{urls[-1]}/v1/jobs/{job}", headers=KEY, trust_env=False)
        print(f"{kind}: {view.json()['state']}")


def main() -> int:
    """Runs the cell."""
    folder = Path(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 5.0
    processes = [start("stand-in", "--settings", str(folder / "stand-in.json"))]
    urls = []
    try:
        for file in sorted(folder.glob("*-[0-9].json")):
            urls.append("http://" + json.loads(file.read_text())["listen"]["http"])
            processes.append(start("serve", "--settings", str(file)))
        wait_until_owned(urls, shards=6)
        work(folder, urls, seconds)
    finally:
        for process in reversed(processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(processes):
            process.wait(STOP_LIMIT_S)
    return 0


if __name__ == "__main__":
    sys.exit(main())
