"""What deciding costs the owner, by what waits and how many workers there are."""

from __future__ import annotations

import time
from statistics import median

import anyio
import structlog

from bench.base import Benchmark, Figure
from bench.plan_cell import Scene, make_scene
from lacewinghold.scheduler.policy import Planner

WAITING = (50, 200, 800)
WORKERS = (24, 176, 760)
REPEATS = 5
# A quarter of an owner's core carries a dozen such plans a second at twice the cost.
PLAN_TARGET_S = 0.010


def plan_alone_s(scene: Scene, waiting: int, workers: int) -> float:
    """Returns the seconds of one plan by the planner alone, which may ask at once."""
    cell = make_scene(scene, waiting, workers)
    steps = list(cell.table.open_steps.values())
    valid = scene is Scene.NO_ROOM
    permitted = {step.name: cell.advice_book.permitted(step) for step in steps}
    times = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        planner = Planner(
            anyio.current_time(),
            cell.nodes,
            lambda step: permitted[step.name],
            lambda step, node: valid,
        )
        planner.make_plan(steps)
        times.append(time.perf_counter() - began)
    return median(times)


def whole_plan_s(scene: Scene, waiting: int, workers: int) -> float:
    """Returns the seconds of one whole plan of an owner whose lanes are busy."""
    cell = make_scene(scene, waiting, workers)
    times = []
    for _ in range(REPEATS):
        if scene is Scene.ALL_START:
            cell = make_scene(scene, waiting, workers)
        began = time.perf_counter()
        cell.planning.plan()
        times.append(time.perf_counter() - began)
    return median(times)


async def measure(sizes: list[tuple[int, int]]) -> list[Figure]:
    """Returns the figures for pairs of workers and waiting steps."""
    figures = []
    for scene in Scene:
        for workers, waiting in sizes:
            size = f"{workers} workers, {waiting} steps: {scene.value}"
            if scene in (Scene.NO_ROOM, Scene.NO_TICKET):
                alone_s = plan_alone_s(scene, waiting, workers)
                figures.append(Figure(f"planner, {size}", alone_s * 1000, "ms"))
            whole_s = whole_plan_s(scene, waiting, workers)
            figures.append(
                Figure(
                    f"plan, {size}",
                    whole_s * 1000,
                    "ms",
                    target=PLAN_TARGET_S * 1000,
                )
            )
    return figures


class OwnerCostBenchmark(Benchmark):
    """Plans that can start nothing, which an owner makes all the time, and others."""

    name = "owner_cost"

    def run(self, *, quick: bool) -> list[Figure]:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        workers = WORKERS[:1] if quick else WORKERS
        waiting = WAITING[:2] if quick else WAITING
        sizes = [(count, steps) for count in workers for steps in waiting]
        return anyio.run(measure, sizes, backend="trio")
