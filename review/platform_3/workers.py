"""Stand-in of the platform's workers (PROTOCOL.md, "Running tasks").

All workers of a script live in its process, so that members of a gang see each other.
"""

from __future__ import annotations

import asyncio
import json
import time

from platform_3.http import Server

MAX_HOLD_S = 6.0
GANG_TIMEOUT_S = 3.0
STOP_S = 0.05
PING_S = 1.5
TICK_S = 0.02


class Run:
    """One run of a task on a worker.

    :param work_s: How long it works; ``None`` until it is stopped.
    :param gang: Number of tasks of an all-at-once step, 0 for any other.
    """

    def __init__(self, task, number, work_s, gang):
        self.task = task
        self.number = number
        self.work_s = work_s
        self.gang = gang
        self.since = time.monotonic()
        self.working_since = None if gang else self.since
        self.stop_at = None

    @property
    def step(self):
        """Returns the step's name."""
        return self.task.rpartition(".")[0]


class Fleet:
    """All workers, with what they have run.

    :param behaviour: Returns, for a task's name and a worker, how long a run works and
        how it ends.
    :param gangs: Number of tasks of each all-at-once step, by the step's name.
    """

    def __init__(self, store, record, behaviour, gangs=None):
        self.store = store
        self.record = record
        self.behaviour = behaviour
        self.gangs = gangs or {}
        self.workers = {}
        self.ends = []

    async def add(self, worker):
        """Starts a worker."""
        self.workers[worker.id] = worker
        await worker.start()

    async def run(self):
        """Lets runs go on until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick(time.monotonic())

    def tick(self, now):
        """Ends what has ended by now."""
        live = [w for w in self.workers.values() if w.up]
        for worker in live:
            if worker.runs and now >= worker.lease_until:
                for run in list(worker.runs.values()):
                    worker.end(run, "lapsed")
            for run in list(worker.runs.values()):
                if run.stop_at is not None and now >= run.stop_at:
                    worker.end(run, "stopped")
        self.tick_gangs(live, now)
        for worker in live:
            for run in list(worker.runs.values()):
                if run.work_s is None or run.working_since is None:
                    continue
                if now >= run.working_since + run.work_s and not run.gang:
                    worker.end(run, self.behaviour(run.task, worker)[1])

    def tick_gangs(self, live, now):
        """Begins, breaks and ends the runs of all-at-once steps."""
        groups = {}
        for worker in live:
            for run in worker.runs.values():
                if run.gang:
                    key = run.step, run.number
                    groups.setdefault(key, []).append((worker, run))
        for members in groups.values():
            size = members[0][1].gang
            began = any(run.working_since is not None for _, run in members)
            if began and len(members) < size:
                for worker, run in members:
                    worker.end(run, "broken")
                continue
            if not began and len(members) == size:
                for _, run in members:
                    run.working_since = now
            for worker, run in members:
                if run.working_since is None:
                    if now >= run.since + GANG_TIMEOUT_S:
                        worker.end(run, "alone")
                elif now >= run.working_since + run.work_s:
                    worker.end(run, "done")

    def running(self, job):
        """Returns the runs of a job on workers that are up."""
        found = []
        for worker in self.workers.values():
            for run in worker.runs.values() if worker.up else ():
                if run.task.startswith(job + "."):
                    found.append((worker.id, run.task, run.number))
        return found


class Worker:
    """One worker; it may crash and start again under its id."""

    def __init__(self, fleet, worker_id, capacity, labels, service, zone="zone-a"):
        self.fleet = fleet
        self.id = worker_id
        self.capacity = capacity
        self.labels = labels
        self.service = service
        self.zone = zone
        self.up = False
        self.server = Server(self.handle)
        self.state = "ready"

    async def start(self):
        """Starts a new life, which runs nothing and has seen no fence number."""
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.runs = {}
        self.last_runs = {}
        self.ended = []
        self.end_count = 0
        self.lease_until = 0.0
        self.end_seen = asyncio.Event()
        await self.server.start()
        self.up = True
        self.register()

    def register(self):
        """Writes the worker's entry into the store."""
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "seqNo": 1,
            "born": self.born,
            "capacity": self.capacity,
            "labels": self.labels,
        }
        self.fleet.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def crash(self):
        """Ends this life at once; nothing is sent."""
        lost = [f"{run.task}/{run.number}" for run in self.runs.values()]
        self.fleet.record("worker crashes", worker=self.id, runs=lost)
        self.up = False
        self.runs = {}
        self.server.abort()

    def clock_ms(self):
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self.began) * 1000)

    def end(self, run, how):
        """Ends a run and lists the end."""
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        last = self.last_runs.get(run.task, 0)
        self.last_runs[run.task] = max(last, run.number)
        self.fleet.ends.append((run.task, run.number, how, self.id))
        self.fleet.record(
            "run ends", worker=self.id, task=run.task, run=run.number, how=how
        )
        self.end_seen.set()
        self.end_seen = asyncio.Event()

    def extend(self, until_ms):
        """Extends the lease; it is never shortened."""
        until = self.began + until_ms / 1000
        until = min(until, time.monotonic() + MAX_HOLD_S)
        self.lease_until = max(self.lease_until, until)

    async def handle(self, request):
        """Answers one call."""
        expected = request.headers.get("lacewinghold-expect-instance", self.id)
        if expected != self.id:
            return 421, self.answer({})
        body = request.json()
        if body.get("fencingToken", 0) < self.fence:
            return 409, self.answer({"reason": "fence"})
        self.fence = max(self.fence, body.get("fencingToken", 0))
        if request.path == "/run-start":
            return self.order_start(body)
        if request.path == "/run-stop":
            return self.order_stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return 200, self.answer({})

    def answer(self, value):
        """Returns a body with the worker's clock and birth."""
        return {"clockMs": self.clock_ms(), "born": self.born, **value}

    def order_start(self, body):
        """Begins a run, unless it is late or old."""
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms():
            return 409, self.answer({"reason": "late"})
        self.extend(body["untilMs"])
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, self.answer({})
        if known is not None or number <= self.last_runs.get(task, 0):
            return 409, self.answer({"reason": "old"})
        work_s, _ = self.fleet.behaviour(task, self)
        gang = self.fleet.gangs.get(task.rpartition(".")[0], 0)
        self.runs[task] = Run(task, number, work_s, gang)
        self.fleet.record("run begins", worker=self.id, task=task, run=number)
        return 200, self.answer({})

    def order_stop(self, body):
        """Stops a run; a later start of it is refused."""
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stop_at = time.monotonic() + STOP_S
        else:
            self.last_runs[task] = max(self.last_runs.get(task, 0), number)
        return 200, self.answer({})

    async def hold(self, body):
        """Renews the lease and lists runs and ends."""
        self.ended = [row for row in self.ended if row[0] > body.get("lastSeen", 0)]
        if "untilMs" in body:
            self.extend(body["untilMs"])
        if body.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.end_seen.wait(), body["waitMs"] / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            percent = 100
            if run.working_since is None:
                percent = 0
            elif run.work_s is not None:
                percent = min(99, int(100 * (now - run.working_since) / run.work_s))
            running.append([run.task, run.number, "", percent, 1])
        return 200, self.answer({"running": running, "ended": self.ended[:500]})
