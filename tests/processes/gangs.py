"""Stand-in workers that run gangs, with members that crash their worker."""

from __future__ import annotations

import asyncio
import json
import math
import time

from review import standin

JOIN_LIMIT_S = 3.0
DOWN_S = 0.8
MAX_STARTS_AFTER_PROOF = 2
CRASHES_OF_PROOF = 3
MIN_CRASHES = 2


class Gang:
    """One run of the tasks of a gang."""

    def __init__(self, size):
        self.size = size
        self.members = {}
        self.working_since = math.inf
        self.finished = set()
        self.ended = False

    def join(self, worker, key):
        """Adds a member; all begin to work once all are there."""
        self.members[key] = worker
        if len(self.members) == self.size:
            self.working_since = time.monotonic()
            for member, worker in self.members.items():
                worker.begin_work(member)

    def end(self, how):
        """Ends all members in the same way."""
        if not self.ended:
            self.ended = True
            for key, worker in list(self.members.items()):
                worker.end(key, how)


class Worker(standin.Worker):
    """A worker that runs gangs as well.

    With ``gang`` in a task's ``spec`` all of so many tasks have to run at once. With
    ``deadly`` the first of them crashes its worker after so many milliseconds of work.

    :ivar crashes: When a worker crashed under a task at work, by the task's name.
    """

    def __init__(self, cell, number, zone):
        super().__init__(cell, number, zone)
        if not hasattr(cell, "gangs"):
            cell.gangs = {}
            cell.crashes = {}
        self.restarts = set()

    def run_start(self, body):
        """Starts a run; one of a gang begins its work later."""
        key = (body["task"], body["run"])
        known = key in self.running
        answer = super().run_start(body)
        spec = json.loads(body["spec"])
        if known or key not in self.running or "gang" not in spec:
            return answer
        run = self.running[key]
        run["timer"].cancel()
        run["spec"] = spec
        run["s"] = math.inf
        name = (key[0].rpartition(".")[0], key[1])
        run["gang"] = self.cell.gangs.setdefault(name, Gang(spec["gang"]))
        loop = asyncio.get_running_loop()
        run["timer"] = loop.call_later(JOIN_LIMIT_S, self.end, key, "alone")
        run["gang"].join(self, key)
        return answer

    def begin_work(self, key):
        """Begins the work of a member of a gang."""
        run = self.running[key]
        run["timer"].cancel()
        run["began"] = time.monotonic()
        run["s"] = run["spec"]["ms"] / 1000
        loop = asyncio.get_running_loop()
        if "deadly" in run["spec"] and key[0].endswith(".0"):
            run["timer"] = loop.call_later(run["spec"]["deadly"] / 1000, self.die)
        else:
            run["timer"] = loop.call_later(run["s"], self.finish_member, key)

    def finish_member(self, key):
        """Finishes the work of a member; the last one ends the gang."""
        gang = self.running[key]["gang"]
        gang.finished.add(key)
        if len(gang.finished) == gang.size:
            gang.end("done")

    def end(self, key, how):
        """Ends a run, and those of the rest of its gang."""
        run = self.running.get(key)
        super().end(key, how)
        gang = run.get("gang") if run is not None else None
        if gang is not None:
            gang.members.pop(key, None)
            if how != "done":
                gang.end("broken")

    async def crash(self):
        """Crashes, and notes under which tasks."""
        lost = dict(self.running)
        for key, run in lost.items():
            gang = run.get("gang")
            if gang is None or gang.working_since < math.inf:
                times = self.cell.crashes.setdefault(key[0], [])
                times.append(self.cell.record.now())
        await super().crash()
        for key, run in lost.items():
            gang = run.get("gang")
            if gang is not None:
                gang.members.pop(key, None)
                gang.end("broken")

    def die(self):
        """Crashes by itself and comes back."""
        task = asyncio.create_task(self.crash_and_return())
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def crash_and_return(self, down_s=DOWN_S):
        """Crashes and comes back."""
        if self.up:
            await self.crash()
            await asyncio.sleep(down_s)
            await self.start()


def worst_task(cell, job):
    """Returns the times of the crashes under the task of a job that met the most."""
    found = [
        times for task, times in cell.crashes.items() if task.startswith(f"{job}.")
    ]
    return max(found, key=len, default=[])


def judge_failed(cell, job):
    """Returns why a job may not be shown as failed, or nothing."""
    if len(worst_task(cell, job)) < MIN_CRASHES:
        return [f"{job} has failed, and two workers crashed under none of its tasks"]
    return []


def judge_deadly(cell, job, state):
    """Returns what went wrong with a gang of which one member crashes its workers."""
    found = []
    if state != "failed":
        found.append(f"deadly {job} is {state}")
    for task, times in cell.crashes.items():
        if not task.startswith(f"{job}.") or len(times) < CRASHES_OF_PROOF:
            continue
        proved_at = times[CRASHES_OF_PROOF - 1]
        starts = sum(at > proved_at and name == task for at, name, _, _ in cell.started)
        if starts > MAX_STARTS_AFTER_PROOF:
            found.append(f"{task} was started {starts} times after three crashes")
    return found
