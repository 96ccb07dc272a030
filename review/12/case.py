"""A restarted instance gives a caller the answer to another caller's query."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_3.cell import HOST, CannotRunError, run_case  # noqa: E402
from platform_3.http import Client  # noqa: E402
from platform_3.workers import Worker  # noqa: E402

SERVICE = "map-render"
PREFIX = "/overlays/"
ROUTE = {
    "name": "overlays",
    "host": HOST,
    "pathPrefix": PREFIX,
    "service": SERVICE,
    "priority": 0,
    "maxAttempts": 4,
    "stretch": 1.5,
    "targetLatencyMs": 600,
}
WORKERS = 8
ROUNDS = 3
CALLERS = 24  # Of short jobs, and as many of long ones.
SHORT_S = 1.0
LONG_S = 100.0
DEADLINE_S = 3.0
QUERYING_S = 3.5
PAUSE_S = (0.2, 1.2)  # Between two queries of a caller.
STEP = {"count": 1, "cpu": 500, "memMb": 256, "estRuntimeMs": 1000}


class Callers:
    """Callers that ask for the state of their own job, again after no answer."""

    def __init__(self, cell, instance):
        self.cell = cell
        self.instance = instance
        self.draw = random.Random(1)
        self.wrong = None

    def done(self, job):
        """Returns whether the job's task has ended done at a worker."""
        ends = self.cell.fleet.ends
        return any(task.startswith(job) and how == "done" for task, _, how, _ in ends)

    async def ask(self, job, until):
        """Asks until the job is completed, or until a time."""
        client = Client(self.instance.callers)
        while time.monotonic() < until:
            status, value = await client.call(
                "GET", PREFIX + job, HOST, timeout_s=DEADLINE_S
            )
            if status == 200 and value["state"] == "completed":
                done = self.done(job)
                self.cell.record("answered completed", job=job, done=done)
                if not done:
                    self.wrong = job
                break
            await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        client.close()


async def case(cell, trouble):
    """Kills an instance while callers wait for its answers."""

    def behaviour(task, worker):
        return (LONG_S if task.startswith("aaaa") else SHORT_S), "done"

    await cell.start(behaviour, {}, [ROUTE], SERVICE, count=1)
    front = cell.add_instance("front-2", "zone-b")
    front.start()
    await front.wait_until_ready()
    capacity = {"cpu": 64000, "memMb": 262144, "gpus": 0}
    for number in range(WORKERS):
        worker = Worker(cell.fleet, f"w-{number}", capacity, ["a", "r1-1"], SERVICE)
        await cell.fleet.add(worker)
    await asyncio.sleep(2.0)
    long_jobs = [f"aaaa{number:012x}" for number in range(CALLERS)]
    for job in long_jobs:
        await cell.submit(PREFIX, job, [STEP])
    for number in range(ROUNDS):
        wrong = await play_round(cell, front, number, long_jobs, trouble)
        if wrong is not None:
            return (
                f"round {number + 1}: a caller was told that job {wrong} is completed, "
                "while its only task still runs"
            )
    return None


async def play_round(cell, front, number, long_jobs, trouble):
    """Lets callers ask just before short jobs end, and kills the instance then.

    :returns: A job that was shown as completed although it is not.
    """
    cell.record("round", number=number + 1)
    if number:
        front.kill()
        front.start()
        await front.wait_until_ready()
        await asyncio.sleep(1.0)
    short_jobs = [f"bbbb{number:04x}{index:08x}" for index in range(CALLERS)]
    await asyncio.gather(*(cell.submit(PREFIX, job, [STEP]) for job in short_jobs))
    began = await cell.wait_for(
        lambda: all(cell.fleet.running(job) for job in short_jobs), 5.0
    )
    if not began:
        raise CannotRunError("the short jobs have not started")
    await asyncio.sleep(SHORT_S - 0.15)
    callers = Callers(cell, front)
    until = time.monotonic() + QUERYING_S
    jobs = [job for pair in zip(short_jobs, long_jobs, strict=True) for job in pair]
    asking = [asyncio.create_task(callers.ask(job, until)) for job in jobs]
    await asyncio.sleep(0.08)
    if trouble:
        front.kill()
        cell.record("killed", instance=front.name)
        front.start()
    await asyncio.gather(*asking)
    return callers.wrong


if __name__ == "__main__":
    os.chdir(FOLDER.parents[1])
    run_case(case, FOLDER)
