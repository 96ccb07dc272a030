"""Searches for workers spread over a large cell, also while many steps search at once.

The load: 30 all-at-once steps in a cell of 270 workers that has room, each of which
may ask about 100 workers in a call.
"""

from __future__ import annotations

from collections import Counter

import anyio

from bench.plan_cell import ADVICE, PlanCell, make_ready_step
from lacewinghold.scheduler.advice import MAX_WORKERS_PER_CALL, Purpose
from lacewinghold.scheduler.ports import Queue, Resources
from lacewinghold.scheduler.room import fitting_count
from lacewinghold.schema.generated.cell import StepSpec
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.step_cell import HOST, advised
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

WORKERS = 270
STEPS = 30
MAX_RATIO_TO_MEAN = 2.0
GANGS = 20
GANG_WORKERS = 200
GANG_LIMIT_S = 6.0
GANG_START_WITHIN_S = 2.0  # Two searches of 100 workers, one after the other.
QUEUE = Queue("plans", "h", "/p/", "s", 1, 2, 2.0, 1, ADVICE)
SPEC = StepSpec(
    tasks=13, cpu_millis=4500, memory_mb=6500, expected_ms=6200, all_at_once=True
)


def search(fill):
    """Plans the steps once and returns the cell and the searches that wait for a lane.

    :param fill: Called with the workers' nodes before the plan.
    """

    async def program():
        cell = PlanCell(WORKERS)
        fill(cell.nodes)
        for number in range(STEPS):
            step = make_ready_step(f"j{number}", QUEUE, SPEC)
            cell.table.open_steps[step.name] = step
        cell.planning.plan()
        return cell, cell.advice_book.queued[Purpose.SEARCH]

    return run_paused(program, seed=1)


def test_searches_of_many_steps_cover_all_workers_evenly():
    _, queued = search(lambda nodes: None)
    asked = Counter()
    for calls in queued.values():
        asked.update(node.id for call in calls for node in call.nodes)
    assert len(queued) >= 8
    mean = len(queued) * MAX_WORKERS_PER_CALL / WORKERS
    assert len(asked) >= 0.95 * WORKERS
    assert max(asked.values()) <= MAX_RATIO_TO_MEAN * mean + 2


def test_workers_with_more_room_are_asked_about_first():
    def fill(nodes):
        for number, node in enumerate(nodes):
            if number % 2:
                node.used = Resources(node.entry.capacity.cpu_millis - 5000, 0)

    cell, queued = search(fill)
    room = SPEC.cpu_millis, SPEC.memory_mb
    for calls in queued.values():
        for call in calls:
            fits = [
                fitting_count(Resources(*room), node.free(), 99) for node in call.nodes
            ]
            assert min(fits) > 1


def test_all_at_once_steps_start_soon_in_a_large_cell_with_room():
    """Callers get starts within a search or two, also when many come at once."""
    queue = advised(
        Queue("fast", HOST, "/fast/", "service", 1, 2, 2.0, 1), 0.39, 2.5, 0.0056
    )

    async def program(cell):
        cell.advice.permitted_share = 0.35
        submitted_at = anyio.current_time()
        for number in range(GANGS):
            cell.behaviours[f"g{number}"] = Behaviour(8.0)
            await cell.submit(f"g{number}", [step(8, cpu=1900, all_at_once=True)])
        await anyio.sleep(GANG_LIMIT_S)
        first_starts = {}
        for start in cell.world.starts:
            job = start.task.partition(".")[0]
            first_starts.setdefault(job, start.at - submitted_at)
        return sorted(first_starts.values())

    times = run_cell(program, workers=GANG_WORKERS, queues=[queue], instances=12)
    assert len(times) == GANGS
    assert times[GANGS * 9 // 10] <= GANG_START_WITHIN_S
