"""Workers that are added while work waits take their share of it soon.

The load: a full cell with a queue of short tasks, as when empty workers are added on a
heavy day.
"""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.ports import Queue
from lacewinghold.testing.step_cell import HOST, advised
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

FIRST_START_WITHIN_S = 1.0
SHARE_WITHIN_S = 3.0
MAX_SHARE_DIFFERENCE = 0.1
OLD_WORKERS = 8
NEW_WORKERS = 4
TASK_S = 1.5
QUEUE = Queue("fast", HOST, "/fast/", "service", 0, 2, 10.0, 60)
ADVISED = advised(QUEUE, 0.14, 2.5, 0.002)


def used_share(workers):
    """Returns the used share of the workers' cores."""
    used = total = 0
    for worker in workers:
        total += worker.entry.capacity.cpu_millis
        used += sum(run.room.cpu_millis for run in worker.runs.values())
    return used / total


async def play(cell, together):
    """Fills the cell, adds workers, and returns what they take.

    :returns: The seconds until the first start on each new worker, and how far their
        used share is below that of the others, after ``SHARE_WITHIN_S``.
    """
    for number in range(40):
        cell.behaviours[f"j{number}"] = Behaviour(TASK_S)
        steps = [step(12, cpu=2000, all_at_once=together and number % 2 == 0)]
        await cell.submit(f"j{number}", steps)
    await anyio.sleep(2.5)
    old = list(cell.world.workers.values())
    assert used_share(old) > 0.8
    added_at = anyio.current_time()
    new = [await cell.add_worker(f"new{number}") for number in range(NEW_WORKERS)]
    first = {}
    while anyio.current_time() < added_at + SHARE_WITHIN_S:
        for worker in new:
            if worker.runs:
                first.setdefault(worker.id, anyio.current_time() - added_at)
        await anyio.sleep(0.02)
    behind = []
    for _ in range(10):
        behind.append(used_share(old) - used_share(new))
        await anyio.sleep(0.05)
    return first, sum(behind) / len(behind)


@pytest.mark.parametrize("queue", [QUEUE, ADVISED], ids=["free", "advised"])
@pytest.mark.parametrize("together", [False, True], ids=["single", "together"])
def test_new_workers_take_their_share_while_work_waits(queue, together):
    async def program(cell):
        return await play(cell, together)

    first, behind = run_cell(program, workers=OLD_WORKERS, queues=[queue], limit_s=60)
    assert len(first) == NEW_WORKERS
    assert max(first.values()) <= FIRST_START_WITHIN_S
    assert behind <= MAX_SHARE_DIFFERENCE
