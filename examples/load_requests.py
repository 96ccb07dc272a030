"""Sends requests to real processes on the loopback addresses, under faults.

Usage: python examples/load_requests.py examples/terrasvuur [SECONDS [SEED [graceful]]]
Starts the stand-in and seven entry instances, and runs the service on all workers.
Sends repeatable and non-repeatable requests while entry instances are killed and
replaced, and compares the responses with the requests that ran.
"""

from __future__ import annotations

import json
import random
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import anyio
import httpx

START_LIMIT_S = 60.0  # Seven interpreters may start slowly on a busy machine.
STOP_LIMIT_S = 30.0
SENDER_COUNT = 24
REPLACE_INTERVAL_S = 4.0
SHARD_COUNT = 6
SLOT_LIMIT = 8
CONNECTION_LIMIT = 64
Signals = list[signal.Signals]
AUTH_HEADERS = {"Authorization": "Bearer operators-demo-key"}


class Process:
    """One process of the program."""

    def __init__(self, *arguments: str) -> None:
        self.arguments = arguments
        self.start()

    def start(self) -> None:
        """Starts the process."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lacewinghold", *self.arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def stop(self, signal_number: signal.Signals) -> None:
        """Stops the process with a signal and waits for its end."""
        self.process.send_signal(signal_number)
        self.process.wait(STOP_LIMIT_S)


class Load:
    """Sends requests and records the responses.

    :param urls: The entry instances.
    """

    def __init__(self, urls: list[str], service: str, seed: int) -> None:
        self.urls = urls
        self.service = service
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.not_run: set[str] = set()
        self.possibly_run: set[str] = set()
        self.next_number = 0

    async def send_all(self, client: httpx.AsyncClient, until: float) -> None:
        """Sends requests one after the other until a time."""
        while anyio.current_time() < until:
            self.next_number += 1
            at_most_once = self.rng.random() < 0.5
            body = f"{'o' if at_most_once else 'r'}{self.next_number}"
            repeats = 2 if at_most_once and self.rng.random() < 0.2 else 1
            for _ in range(repeats):
                await self.send(client, body, at_most_once)

    async def send(
        self, client: httpx.AsyncClient, body: str, at_most_once: bool
    ) -> None:
        """Sends one request to a random entry instance."""
        headers = {**AUTH_HEADERS, "Lacewinghold-Timeout": "5"}
        if at_most_once:
            headers |= {"Lacewinghold-Repeatable": "no", "Idempotency-Key": body}
        url = self.rng.choice(self.urls)
        self.counts["sent"] += 1
        try:
            response = await client.post(
                f"{url}/v1/services/{self.service}/x", content=body, headers=headers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            self.counts["balancer had no instance"] += 1
            return
        except httpx.HTTPError:
            self.counts["entry instance died"] += 1
            self.possibly_run.add(body)
            return
        self.record_response(body, response)

    def record_response(self, body: str, response: httpx.Response) -> None:
        """Counts a response by its outcome."""
        if response.status_code == 200:
            self.counts["answered"] += 1
            self.counts["wrong answer"] += response.text != body
            self.possibly_run.add(body)
        elif response.json().get("type", "").endswith("outcome_unknown"):
            self.counts["unknown"] += 1
            self.possibly_run.add(body)
        elif response.json().get("may_repeat"):
            self.counts["not run"] += 1
            self.not_run.add(body)
        else:
            self.counts[f"status {response.status_code}"] += 1

    def check(self, stand_in_counts: dict[str, object]) -> bool:
        """Compares the responses with the requests that ran.

        :param stand_in_counts: Runs by request body, and the highest concurrency.
        :returns: Whether no guarantee was violated.
        """
        runs = stand_in_counts["runs"]
        assert isinstance(runs, dict)
        self.counts["doubled"] = sum(
            count > 1 for body, count in runs.items() if body.startswith("o")
        )
        must_not_run = self.not_run - self.possibly_run
        self.counts["not run that ran"] = sum(body in runs for body in must_not_run)
        self.counts["over capacity"] = int(stand_in_counts["most_running"] > SLOT_LIMIT)
        self.counts["over connections"] = int(
            stand_in_counts["most_connections"] > CONNECTION_LIMIT
        )
        faults = ("doubled", "not run that ran", "over capacity", "over connections")
        return not any(self.counts[name] for name in (*faults, "wrong answer"))


async def wait_until_owned(client: httpx.AsyncClient, urls: list[str]) -> None:
    """Waits until all entry instances answer and together serve all shards."""
    with anyio.fail_after(START_LIMIT_S):
        while True:
            ready = answered = 0
            for url in urls:
                try:
                    status = (await client.get(f"{url}/status")).json()
                except httpx.HTTPError:
                    continue
                answered += 1
                ready += sum(shard["ready"] for shard in status["shards"].values())
            if answered == len(urls) and ready >= SHARD_COUNT:
                return
            await anyio.sleep(0.2)


async def submit_service(
    client: httpx.AsyncClient, urls: list[str], folder: Path
) -> str:
    """Starts the service in every data centre."""
    spec = json.loads((folder / "job-service.json").read_text())
    spec["tasks"] = 8
    for index, url in enumerate(urls):
        response = await client.post(
            f"{url}/v1/jobs",
            json=spec,
            headers={**AUTH_HEADERS, "Idempotency-Key": f"s{index}"},
        )
        response.raise_for_status()
    service: str = spec["service"]
    return service


async def replace_instances(
    entries: list[Process], rng: random.Random, until: float, signals: Signals
) -> None:
    """Periodically stops an entry instance with a signal and starts it again."""
    while anyio.current_time() < until - REPLACE_INTERVAL_S:
        await anyio.sleep(REPLACE_INTERVAL_S)
        entry = rng.choice(entries)
        signal_number = rng.choice(signals)
        await anyio.to_thread.run_sync(entry.stop, signal_number)
        entry.start()


async def run(folder: Path, seconds: float, seed: int, signals: Signals) -> int:
    """Runs the load.

    :returns: The exit code.
    """
    stand_in = json.loads((folder / "stand-in.json").read_text())
    processes = [Process("stand-in", "--settings", str(folder / "stand-in.json"))]
    urls = []
    try:
        for file in sorted(folder.glob("*-[0-9].json")):
            urls.append("http://" + json.loads(file.read_text())["listen"]["http"])
            processes.append(Process("serve", "--settings", str(file)))
        limits = httpx.Limits(max_keepalive_connections=0)
        async with httpx.AsyncClient(
            trust_env=False, timeout=10.0, limits=limits
        ) as client:
            await wait_until_owned(client, urls)
            service = await submit_service(client, urls, folder)
            await anyio.sleep(2)
            load = Load(urls, service, seed)
            until = anyio.current_time() + seconds
            async with anyio.create_task_group() as tasks:
                rng = random.Random(seed)
                tasks.start_soon(replace_instances, processes[1:], rng, until, signals)
                for _ in range(SENDER_COUNT):
                    tasks.start_soon(load.send_all, client, until)
            await anyio.sleep(1)
            counts_response = await client.get(f"http://{stand_in['listen']}/counts")
            passed = load.check(counts_response.json())
            print(
                "most running on one backend server:",
                counts_response.json()["most_running"],
            )
            print(
                "most connections to one:", counts_response.json()["most_connections"]
            )
            print(dict(sorted(load.counts.items())))
            return 0 if passed else 1
    finally:
        for process in reversed(processes):
            process.process.send_signal(signal.SIGTERM)
        for process in reversed(processes):
            process.process.wait(STOP_LIMIT_S)


def main() -> int:
    """Parses the command line and runs the load."""
    folder = Path(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    signals = [signal.SIGTERM]
    if "graceful" not in sys.argv:
        signals.append(signal.SIGKILL)
    return anyio.run(run, folder, seconds, seed, signals, backend="trio")


if __name__ == "__main__":
    sys.exit(main())
