"""Runs a cell of real processes under random faults and checks what callers see.

Usage: ``python -m tests.processes.soak [--seed N] [--seeds COUNT] [--seconds S]``
(``make soak SEED=N``). The seed decides the size of the cell, the faults and their
times; they overlap and come in series. Faults are signals, restarts, frozen processes,
crashed workers, a store that restarts, changes of manifest and settings, and crowds of
clients that keep to no limit. Ordinary callers keep their connections open until the
process at the other end is gone. In some runs the manifest is large and one entry
reaches the store over a link of low bandwidth. In some, gangs run: through the faults,
and afterwards one whose workers crash in turn, and one with a member that crashes its
workers.

A run says what it does and in which time it ends. It fails if a task runs twice, an
accepted job does not complete, a running job is said to be completed, a confirmed route
stays unknown, a process ends by itself, does not end at SIGTERM,
exceeds the memory or the descriptors of its settings, an ordinary request is not
answered in the end, a job fails under none of whose tasks two workers crashed, or a
task that crashes its workers is started more than twice after three crashes. The exit
code is 1 then. Settings, logs and the record of each run stay in ``--folder``.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from review import standin
from review.platform_3.link import Link
from tests.processes import gangs
from tests.test_clients import crowd, test_peers_listener, test_untrusted

SECONDS = 25.0
END_LIMIT_S = 40.0
CALM_S = 3.0
TERM_LIMIT_S = 20.0  # The settings allow 6 s; the process may be stopped as long.
START_LIMIT_S = 40.0
ENTRIES = (2, 5)
MANY_ENTRIES = 24
MANY_EVERY = 10  # Seeds that are a multiple of it use many processes.
THIN_EVERY = 4  # One in so many seeds uses a large manifest and a thin link.
THIN_MBPS = 5.0
LARGE_ROUTES = 1500
GANGS_EVERY = 5  # Seeds that are a multiple of it run gangs.
GANG_STEP = {"cpu": 7000, "memMb": 64, "estRuntimeMs": 2000, "gang": True}
GANG_SIZES = (3, 8)  # Two members fit on a worker.
GANG_JOB = 0xA0000000
GANG_INTERVAL_S = 4.0
GANG_LIMIT_S = 60.0
CRASHES_IN_TURN = 4
CRASH_GAP_S = 2.5
ROUTE_LIMIT_S = 9.0  # `configApplyMs` and `contactMs` of the sheets.
LASTING_MS = 600_000
WORKERS = 6
CALLERS = 6
JOB_INTERVAL_S = 0.8
FAULT_GAP_S = (0.2, 2.0)
CROWD = 20
MEMORY_MB = 160
MAX_DESCRIPTORS = 512
ZONES = ("zone-a", "zone-b", "zone-c")
LISTENERS = ("front", "ready", "metrics")


class Entry(crowd.Entry):
    """An entry process that is started again unless it has ended by itself."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def __init__(self, cell, name, zone, folder):
        super().__init__(cell, folder, name, zone)
        self.busy = asyncio.Lock()
        self.faults = []

    async def supervise(self):
        process = self.process
        code = await process.wait()
        if self.wanted:
            self.faults.append(f"{self.name} ended by itself, exit code {code}")

    async def start(self):
        await super().start()
        self.watching = asyncio.create_task(self.watch())

    async def terminate(self, signals):
        """Ends the process by SIGTERM, by SIGKILL if it does not follow.

        :param signals: Signals that are sent shortly afterwards.
        """
        self.wanted = False
        self.process.terminate()
        try:
            for number in signals:
                await asyncio.sleep(0.1)
                with contextlib.suppress(ProcessLookupError):
                    self.process.send_signal(number)
            async with asyncio.timeout(TERM_LIMIT_S):
                await self.process.wait()
        except TimeoutError:
            self.faults.append(f"{self.name} did not end at SIGTERM")
            await self.kill()


class Caller:
    """Hands jobs in and asks for them over a connection that it keeps open."""

    def __init__(self, run, number):
        self.run = run
        self.rng = random.Random(f"{run.seed}-caller-{number}")
        self.number = number
        self.accepted = []
        self.lasting_job = f"ffff{number:012x}"
        self.lasts = False

    async def work(self):
        """Makes requests until cancelled."""
        for count in itertools.count():
            entry = self.rng.choice(self.run.cell.entries)
            with contextlib.suppress(OSError, ValueError, TimeoutError, EOFError):
                await self.use_connection(entry, count)
            await asyncio.sleep(0.2)

    async def use_connection(self, entry, count):
        """Makes requests on one connection until it is closed."""
        ip, _, port = entry.front.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            for turn in itertools.count():
                await self.ask_lasting(reader, writer)
                job = f"{self.number:04x}{count:06x}{turn:06x}"
                body = self.draw_job()
                status, _ = await self.request(reader, writer, "POST", job, body)
                if status == 200:
                    self.accepted.append(job)
                    await self.request(reader, writer, "GET", job)
                await asyncio.sleep(self.rng.uniform(0, 2 * JOB_INTERVAL_S))
        finally:
            writer.close()

    async def ask_lasting(self, reader, writer):
        """Asks for a job that runs longer than the soak; submits it first."""
        if not self.lasts:
            body = {"spec": json.dumps({"ms": LASTING_MS}), "steps": [crowd.STEP]}
            job = self.lasting_job
            status, _ = await self.request(reader, writer, "POST", job, body)
            self.lasts = status == 200
            return
        status, answer = await self.request(reader, writer, "GET", self.lasting_job)
        if status == 200 and json.loads(answer)["state"] == "completed":
            self.run.wrong.append(f"running job {self.lasting_job} is completed")

    async def request(self, reader, writer, method, job, body=None):
        """Makes one request and returns its status and body."""
        content = b"" if body is None else json.dumps(body).encode()
        path = standin.PREFIX + job
        line = f"Content-Length: {len(content)}"
        writer.write(crowd.head(line, method=method, path=path) + content)
        async with asyncio.timeout(6.0):
            message = await standin.read_message(reader)
        if message is None:
            raise EOFError
        return int(message[0].split(" ")[1]), message[2]

    def draw_job(self):
        """Returns a job of one or two steps."""
        step = {"cpu": 500, "memMb": 64, "estRuntimeMs": 500}
        steps = [{**step, "count": self.rng.randint(1, 3)}]
        if self.rng.random() < 0.3:
            steps.append({**step, "count": 1, "after": [0]})
        return {"spec": json.dumps({"ms": self.rng.randint(20, 1200)}), "steps": steps}


class Run:
    """One run of a seed.

    :param seconds: How long faults are made.
    """

    def __init__(self, seed, seconds, folder):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.cell = standin.Cell(folder)
        self.folder = folder
        self.began = time.monotonic()
        self.version = 3
        self.wrong = []
        self.gang_rng = random.Random(f"{seed}-gangs")
        self.gang_jobs = []
        self.thin = seed % THIN_EVERY == THIN_EVERY - 1
        self.store_busy = asyncio.Lock()
        self.faults = {
            "sigterm": self.restart,
            "sigkill": self.crash,
            "sighup": self.change_settings,
            "freeze": self.freeze,
            "worker": self.crash_worker,
            "store": self.restart_store,
            "manifest": self.change_manifest,
            "crowd": self.send_crowd,
            "peers crowd": self.send_peers_crowd,
        }

    def say(self, text):
        """Prints a line with the time in the run."""
        took_s = time.monotonic() - self.began
        print(f"seed {self.seed} {took_s:5.1f} s  {text}", flush=True)

    async def start(self):
        """Starts the cell."""
        many = self.seed % MANY_EVERY == 0
        count = MANY_ENTRIES if many else self.rng.randint(*ENTRIES)
        await self.cell.store.start()
        self.cell.store.put("op/config", self.manifest())
        for number in range(WORKERS):
            worker = gangs.Worker(self.cell, number + 1, ZONES[number % 3])
            self.cell.workers.append(worker)
            await worker.start()
        for number in range(count):
            name = f"front-{number + 1}"
            entry = Entry(self.cell, name, ZONES[number % 3], self.folder)
            self.cell.entries.append(entry)
            if self.thin and number == count - 1:
                await self.use_thin_link(entry)
            await entry.start()
        await self.cell.wait_until_ready()
        self.say(f"{count} entries and {WORKERS} workers are ready")

    async def use_thin_link(self, entry):
        """Puts a link of low bandwidth between an entry and the store."""
        link = Link(self.cell.store.server.address, THIN_MBPS)
        await link.start()
        settings = json.loads(entry.settings.read_text())
        settings["store"]["address"] = link.address
        settings["machine"]["link_mbps"] = THIN_MBPS
        entry.settings.write_text(json.dumps(settings))
        self.say(f"{entry.name} has {THIN_MBPS} Mbit/s to the store")

    def manifest(self, *more):
        """Returns the manifest of the present version.

        :param more: Names of further routes.
        """
        latency_ms = 3000 + self.version
        routes = [{**crowd.ROUTE, "targetLatencyMs": latency_ms}]
        names = [f"large-{number}" for number in range(LARGE_ROUTES * self.thin)]
        for name in (*names, *more):
            routes.append({**routes[0], "name": name, "pathPrefix": f"/{name}/"})
        return {**crowd.MANIFEST, "version": self.version, "routes": routes}

    async def check_added_route(self):
        """Returns the entries that do not know a route in time."""
        self.version += 1
        self.cell.store.put("op/config", self.manifest("added"))
        await asyncio.sleep(ROUTE_LIMIT_S)
        found = []
        for entry in self.cell.entries:
            status, _ = await crowd.ask(entry, "GET", "/added/")
            if status != 200:
                found.append(f"{entry.name} answers {status} for a new route")
        return found

    async def play(self):
        """Plays the run and returns what went wrong."""
        try:
            await self.start()
            callers = [Caller(self, number) for number in range(CALLERS)]
            calling = [asyncio.create_task(caller.work()) for caller in callers]
            if self.seed % GANGS_EVERY == 0:
                calling.append(asyncio.create_task(self.send_gangs()))
            await self.make_faults()
            await asyncio.sleep(CALM_S)
            for task in calling:
                task.cancel()
            jobs = [job for caller in callers for job in caller.accepted]
            found = await self.check(jobs)
            if self.seed % GANGS_EVERY == 0:
                # Their slow progress makes workers look slow, so that runs are moved.
                for caller in callers:
                    entry = self.rng.choice(self.cell.entries)
                    await self.cell.cancel(entry, caller.lasting_job)
                found += await self.check_gangs()
            return found
        finally:
            await self.cell.stop()

    async def make_faults(self):
        """Makes faults that overlap, and waits until each has ended."""
        ends = time.monotonic() + self.seconds
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < ends:
                kind = self.rng.choice(list(self.faults))
                for _ in range(self.rng.choice((1, 1, 3))):
                    tasks.create_task(self.faults[kind]())
                    await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))

    async def check(self, jobs):
        """Returns what went wrong."""
        left = set(jobs)
        found = [*self.cell.twice, *self.wrong, *await self.check_added_route()]
        ends = time.monotonic() + END_LIMIT_S
        while left and time.monotonic() < ends:
            for job in sorted(left):
                entry = self.rng.choice(self.cell.entries)
                if await self.cell.state(entry, job) == "completed":
                    left.discard(job)
            await asyncio.sleep(0.5)
        if left:
            found.append(f"{len(left)} jobs have not completed, among them {min(left)}")
        for number, entry in enumerate(self.cell.entries):
            path = f"{standin.PREFIX}{number + 1:016x}"
            status, _ = await crowd.ask(entry, "POST", path, crowd.JOB)
            if status != 200:
                found.append(f"{entry.name} answers {status}")
            found += entry.faults
            if entry.peak_mb > MEMORY_MB:
                found.append(f"{entry.name} used {entry.peak_mb:.0f} MB")
            if entry.most_descriptors > MAX_DESCRIPTORS:
                found.append(f"{entry.name} used {entry.most_descriptors} descriptors")
        peak_mb = max(entry.peak_mb for entry in self.cell.entries)
        self.say(f"{len(jobs)} jobs accepted, {peak_mb:.0f} MB at most, {found=}")
        return found

    # Gangs

    async def submit_gang(self, size, ms, **spec):
        """Submits a gang; returns its job once it has been accepted."""
        while True:
            job = f"{GANG_JOB + self.gang_rng.randrange(1 << 28):016x}"
            body = {"ms": ms, "gang": size, **spec}
            entry = self.gang_rng.choice(self.cell.entries)
            step = {**GANG_STEP, "count": size}
            if await self.cell.submit(entry, job, body, [step]) == 200:
                return job
            await asyncio.sleep(0.5)

    async def send_gangs(self):
        """Submits gangs until cancelled."""
        while True:
            size = self.gang_rng.randint(*GANG_SIZES)
            self.gang_jobs.append(await self.submit_gang(size, 2000))
            await asyncio.sleep(GANG_INTERVAL_S)

    async def wait_for_end(self, job):
        """Returns the state in which a job has ended, the last one after a while."""
        ends = time.monotonic() + GANG_LIMIT_S
        while True:
            state = await self.cell.state(self.gang_rng.choice(self.cell.entries), job)
            if state in ("completed", "failed") or time.monotonic() > ends:
                return state
            await asyncio.sleep(0.5)

    async def check_gangs(self):
        """Returns what went wrong with the gangs of the run, and with two more."""
        found = []
        for job in self.gang_jobs:
            state = await self.wait_for_end(job)
            if state == "failed":
                found += gangs.judge_failed(self.cell, job)
            elif state != "completed":
                found.append(f"gang {job} is {state}")
        in_turn = await self.crash_in_turn()
        deadly = await self.submit_gang(3, 5000, deadly=self.gang_rng.randint(50, 1500))
        found += in_turn
        found += gangs.judge_deadly(self.cell, deadly, await self.wait_for_end(deadly))
        self.say(f"{len(self.gang_jobs)} gangs, {found=}")
        return found

    async def crash_in_turn(self):
        """Crashes workers under different members of a gang; it must complete."""
        size = len(self.cell.workers) - 1
        job = await self.submit_gang(size, 6000)
        met = set()
        for _ in range(CRASHES_IN_TURN):
            await asyncio.sleep(CRASH_GAP_S)
            for worker in self.cell.workers:
                tasks = {task for task, _ in worker.running if task.startswith(job)}
                if worker.up and tasks and not tasks & met:
                    met |= tasks
                    self.say(f"crash of worker {worker.id} under {sorted(tasks)}")
                    await worker.crash_and_return()
                    break
        state = await self.wait_for_end(job)
        return [] if state == "completed" else [f"gang {job} is {state}"]

    # Faults

    async def restart(self):
        """Ends an entry by SIGTERM and starts it again."""
        entry = self.rng.choice(self.cell.entries)
        async with entry.busy:
            self.say(f"SIGTERM to {entry.name}")
            signals = (signal.SIGHUP, signal.SIGTERM)
            await entry.terminate(self.rng.choice((signals, ())))
            await entry.start()

    async def crash(self):
        """Ends an entry by SIGKILL and starts it again."""
        entry = self.rng.choice(self.cell.entries)
        async with entry.busy:
            self.say(f"SIGKILL to {entry.name}")
            await entry.kill()
            await entry.start()

    async def change_settings(self):
        """Changes the settings file of an entry, and mostly tells it by SIGHUP."""
        entry = self.rng.choice(self.cell.entries)
        settings = json.loads(entry.settings.read_text())
        settings["bounds"]["remote_factor"] = self.rng.choice((2, 3))
        entry.settings.write_text(json.dumps(settings))
        self.say(f"changed settings of {entry.name}")
        if not entry.busy.locked() and self.rng.random() < 0.8:
            with contextlib.suppress(ProcessLookupError):
                entry.process.send_signal(signal.SIGHUP)

    async def freeze(self):
        """Stops an entry for a moment."""
        entry = self.rng.choice(self.cell.entries)
        process = entry.process
        seconds = self.rng.uniform(0.3, 6.0)
        self.say(f"SIGSTOP to {entry.name} for {seconds:.1f} s")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def crash_worker(self):
        """Crashes a worker, which comes back."""
        worker = self.rng.choice(self.cell.workers)
        if not worker.up:
            return
        self.say(f"crash of worker {worker.id}")
        await worker.crash_and_return(self.rng.uniform(0.1, 3.0))

    async def restart_store(self):
        """Resets all connections to the store, which is away for a moment."""
        self.say("the store restarts")
        server = self.cell.store.server
        async with self.store_busy:
            await server.stop()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            await server.start()

    async def change_manifest(self):
        """Puts another manifest into force."""
        self.version += 1
        self.say(f"manifest {self.version}")
        self.cell.store.put("op/config", self.manifest())

    async def send_crowd(self):
        """Lets clients loose on an HTTP listener."""
        kinds = sorted(set(test_untrusted.KINDS) - {"peers", "cut messages of peers"})
        kind = self.rng.choice(kinds)
        listener = self.rng.choice(LISTENERS)
        await self.release(kind, listener, test_untrusted.KINDS[kind])

    async def send_peers_crowd(self):
        """Lets clients loose on the peers' listener."""
        kind = self.rng.choice(sorted(test_peers_listener.KINDS))
        await self.release(kind, "peer", test_peers_listener.KINDS[kind])

    async def release(self, kind, listener, make_parts):
        """Lets a crowd loose on a listener of an entry."""
        entry = self.rng.choice(self.cell.entries)
        self.say(f"crowd '{kind}' at the listener {listener} of {entry.name}")
        address = getattr(entry, listener)
        clients = [crowd.Client(address) for _ in range(CROWD)]
        await asyncio.gather(*(client.run(make_parts()) for client in clients))


def run_seed(seed, seconds=SECONDS, folder=None):
    """Runs one seed and returns what went wrong."""
    folder = Path(folder or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    limit_s = START_LIMIT_S + seconds + ROUTE_LIMIT_S + 2 * END_LIMIT_S
    if seed % GANGS_EVERY == 0:
        limit_s += 3 * GANG_LIMIT_S
    print(f"seed {seed}: {seconds:.0f} s of faults, ends within {limit_s:.0f} s")
    print(f"seed {seed}: files in {folder}", flush=True)

    async def play():
        async with asyncio.timeout(limit_s):
            return await Run(seed, seconds, folder).play()

    try:
        return asyncio.run(play())
    except TimeoutError:
        return [f"not at its end after {limit_s:.0f} s"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, one by one")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--folder", type=Path)
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        found = run_seed(seed, options.seconds, options.folder)
        if found:
            failed.append(seed)
        print(f"seed {seed}: {'; '.join(found) or 'held'}", flush=True)
    print(f"{options.seeds} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
