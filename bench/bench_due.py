"""Ways to schedule jobs that are due later: timers, a heap, or periodic scans."""

from __future__ import annotations

import heapq
import random
import time
import tracemalloc
from abc import ABC, abstractmethod
from typing import ClassVar

import anyio

from bench.base import Benchmark, Figure
from lacewinghold.testing.clock import run_paused

JOBS = 20_000
JOBS_QUICK = 500
SPAN_S = 3_600.0
TICK_S = 1.0
WINDOW_S = 60.0
BYTES_PER_KB = 1_000


class DueWork(ABC):
    """A strategy to detect when jobs become due."""

    name: ClassVar[str]

    def __init__(self) -> None:
        self.fired = 0

    @abstractmethod
    async def run(self, due: list[float]) -> None:
        """Schedules all jobs and returns once all of them were due.

        :param due: Due times on the event loop's clock.
        """


class TimerEach(DueWork):
    """One sleeping async task for each job."""

    name = "timer each"

    async def run(self, due: list[float]) -> None:
        async with anyio.create_task_group() as tasks:
            for moment in due:
                tasks.start_soon(self.wait_until, moment)

    async def wait_until(self, moment: float) -> None:
        """Waits until one job is due."""
        await anyio.sleep_until(moment)
        self.fired += 1


class Heap(DueWork):
    """One sleeping async task and a heap of all jobs."""

    name = "heap"

    async def run(self, due: list[float]) -> None:
        waiting = list(enumerate(due))
        heap = [(moment, index) for index, moment in waiting]
        heapq.heapify(heap)
        while heap:
            await anyio.sleep_until(heap[0][0])
            while heap and heap[0][0] <= anyio.current_time():
                heapq.heappop(heap)
                self.fired += 1


class LookAhead(DueWork):
    """Scans all jobs each minute, and sorts those that are due within it."""

    name = "look-ahead scan"

    async def run(self, due: list[float]) -> None:
        later = list(due)
        while later:
            horizon = anyio.current_time() + WINDOW_S
            next_due = sorted(moment for moment in later if moment <= horizon)
            later = [moment for moment in later if moment > horizon]
            for moment in next_due:
                await anyio.sleep_until(moment)
                self.fired += 1
            await anyio.sleep_until(horizon)


class TickScan(DueWork):
    """Scans all jobs at each tick."""

    name = "scan each second"

    async def run(self, due: list[float]) -> None:
        later = list(due)
        while later:
            now = anyio.current_time()
            remaining = [moment for moment in later if moment > now]
            self.fired += len(later) - len(remaining)
            later = remaining
            await anyio.sleep(TICK_S)


class DueBenchmark(Benchmark):
    """Compares CPU time and memory for the jobs that become due in an hour."""

    name = "due"

    def run(self, *, quick: bool) -> list[Figure]:
        jobs = JOBS_QUICK if quick else JOBS
        figures = []
        for kind in (Heap, TimerEach, LookAhead, TickScan):
            elapsed_s = self.measure(kind(), jobs)
            tracemalloc.start()
            self.measure(kind(), jobs)
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            name = f"{kind.name}, {jobs} jobs due within an hour"
            figures.append(Figure(f"{name}, processor time", elapsed_s, "s"))
            figures.append(Figure(f"{name}, peak memory", peak / BYTES_PER_KB, "KB"))
        return figures

    def measure(self, strategy: DueWork, jobs: int) -> float:
        """Returns the CPU time to detect all jobs, in seconds."""
        rng = random.Random(1)
        started = time.process_time()

        async def find() -> None:
            now = anyio.current_time()
            await strategy.run([now + rng.uniform(1.0, SPAN_S) for _ in range(jobs)])

        run_paused(find, seed=1)
        assert strategy.fired == jobs
        return time.process_time() - started
