"""CPU cost of a plan by the number of waiting steps and workers."""

from __future__ import annotations

import time
from statistics import median

import anyio
import structlog

from bench.base import Benchmark, Figure
from bench.plan_cell import Scenario, make_scenario
from lacewinghold.scheduler.policy import Planner

WAITING = (50, 200, 800)
WORKERS = (24, 176, 760)
REPEATS = 5
# Allows 12 plans per second at twice this cost within a quarter of the owner's core.
PLAN_TARGET_S = 0.010


def planner_time_s(scenario: Scenario, waiting: int, workers: int) -> float:
    """Returns the median time of a plan by the planner alone, in seconds.

    The planner may request advice at once, as if no lane were busy.
    """
    cell = make_scenario(scenario, waiting, workers)
    steps = list(cell.table.open_steps.values())
    valid = scenario is Scenario.NO_ROOM
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


def plan_time_s(scenario: Scenario, waiting: int, workers: int) -> float:
    """Returns the median time of a complete plan with busy lanes, in seconds."""
    cell = make_scenario(scenario, waiting, workers)
    times = []
    for _ in range(REPEATS):
        if scenario is Scenario.ALL_START:
            cell = make_scenario(scenario, waiting, workers)
        began = time.perf_counter()
        cell.planning.plan()
        times.append(time.perf_counter() - began)
    return median(times)


async def measure(sizes: list[tuple[int, int]]) -> list[Figure]:
    """Returns the figures for pairs of workers and waiting steps."""
    figures = []
    for scenario in Scenario:
        for workers, waiting in sizes:
            size = f"{workers} workers, {waiting} steps: {scenario.value}"
            if scenario in (Scenario.NO_ROOM, Scenario.NO_TICKET):
                planner_s = planner_time_s(scenario, waiting, workers)
                figures.append(Figure(f"planner, {size}", planner_s * 1000, "ms"))
            plan_s = plan_time_s(scenario, waiting, workers)
            figures.append(
                Figure(
                    f"plan, {size}",
                    plan_s * 1000,
                    "ms",
                    target=PLAN_TARGET_S * 1000,
                )
            )
    return figures


class OwnerCostBenchmark(Benchmark):
    """Plans in all scenarios, mostly ones in which no task can start."""

    name = "owner_cost"

    def run(self, *, quick: bool) -> list[Figure]:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        workers = WORKERS[:1] if quick else WORKERS
        waiting = WAITING[:2] if quick else WAITING
        sizes = [(count, steps) for count in workers for steps in waiting]
        return anyio.run(measure, sizes, backend="trio")
