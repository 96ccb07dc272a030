"""Placement: decision cost, packing, deadline misses and waiting."""

from __future__ import annotations

from statistics import fmean, quantiles
from time import perf_counter
from typing import TYPE_CHECKING

from bench.base import Benchmark, Figure
from bench.deciders import DECIDERS, BestFit, EngineDecider, FirstFit, RandomFit
from bench.drive import Driver
from bench.profiles import (
    TANJUNG_KOMPAS,
    TERRASVUUR,
    TWO_YEAR,
    Generator,
    Profile,
    make_workers,
)
from lacewinghold.schema.generated.jobs import JobKind
from lacewinghold.testing.clock import run_paused

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.deciders import Decider
    from bench.drive import Outcome

SEED = 1
DECISION_P99_MS = 2.0
PLACEMENTS_PER_S = 3000.0
PACKING_SHARE = 0.95
MISS_RATIO = 0.1
LOAD = 0.85
SATURATED_LOAD = 1.6
RUNNING = 20_000


def percentile(values: Sequence[float], percent: int) -> float:
    """Returns a percentile, or zero if there are no values."""
    if len(values) < 2:
        return sum(values)
    return quantiles(values, n=1000, method="inclusive")[percent * 10 - 1]


def run_driver(
    profile: Profile,
    decider: type[Decider],
    load: float,
    duration_s: float,
    *,
    faults: bool,
) -> Outcome:
    """Runs one decider on one workload in simulated time."""

    async def session() -> Outcome:
        return await Driver(profile, decider, load, SEED).run(duration_s, faults=faults)

    return run_paused(session, seed=SEED)


class DecisionCost:
    """Cost of decisions in a cell of the size planned in two years."""

    def __init__(self, decider: type[Decider], placements: int, running: int) -> None:
        self.workers = make_workers(TWO_YEAR)
        self.decider = decider(self.workers, TWO_YEAR.weights)
        self.generator = Generator(TWO_YEAR, LOAD, SEED)
        self.booked: list[tuple[str, str, int]] = []
        self.decisions_s: list[float] = []
        self.total_s = 0.0
        self.fill(running)
        self.replace(placements)

    def fill(self, running: int) -> None:
        """Places tasks until the given number runs."""
        placed = 0
        self.running = []
        for arrival in self.generator.batch(float("inf")):
            work = arrival.work
            if work.kind is not JobKind.BATCH:
                continue
            self.decider.add(work, 0.0)
            self.decider.begin_round(0.0)
            placement = self.decider.place_next(0.0)
            if placement is None:
                continue
            self.running.append((work, placement.workers[0]))
            placed += 1
            if placed == running:
                return

    def replace(self, placements: int) -> None:
        """Repeatedly ends a running task and places another."""
        self.generator.rng.shuffle(self.running)
        arrivals = self.generator.batch(float("inf"))
        for number in range(placements):
            work, worker = self.running[number % len(self.running)]
            arrival = next(arrivals).work
            while arrival.kind is not JobKind.BATCH:
                arrival = next(arrivals).work
            before = perf_counter()
            self.decider.release(work.job, work.tasks[0], worker)
            self.decider.add(arrival, 0.0)
            middle = perf_counter()
            self.decider.begin_round(0.0)
            placement = self.decider.place_next(0.0)
            after = perf_counter()
            self.decisions_s.append(after - middle)
            self.total_s += after - before
            if placement is not None:
                replacement = (placement.work, placement.workers[0])
                self.running[number % len(self.running)] = replacement


class PlacementBenchmark(Benchmark):
    """Compares the placement engine with simple baselines."""

    name = "placement"

    def run(self, *, quick: bool) -> list[Figure]:
        figures = self.cost_figures(quick=quick)
        figures += self.packing_figures(quick=quick)
        for profile in (TERRASVUUR, TANJUNG_KOMPAS):
            figures += self.deadline_figures(
                profile, 7200.0 if quick else profile.day_s
            )
        if not quick:
            figures += self.deadline_figures(TWO_YEAR, TWO_YEAR.day_s)
        return figures

    def cost_figures(self, *, quick: bool) -> list[Figure]:
        """Measures the cost of a decision."""
        placements = 1000 if quick else 20_000
        running = 2000 if quick else RUNNING
        real = DecisionCost(EngineDecider, placements, running)
        plain = DecisionCost(BestFit, min(placements, 2000), running)
        return [
            Figure(
                f"decision p99, {len(real.running)} running",
                percentile(real.decisions_s, 99) * 1000,
                "ms",
                DECISION_P99_MS,
                baseline=percentile(plain.decisions_s, 99) * 1000,
            ),
            Figure(
                "placements, queueing and release included",
                len(real.decisions_s) / real.total_s,
                "1/s",
                PLACEMENTS_PER_S,
                at_most=False,
                baseline=len(plain.decisions_s) / plain.total_s,
            ),
        ]

    def packing_figures(self, *, quick: bool) -> list[Figure]:
        """Measures packing when more work is offered than fits.

        The upper bound is full use of the bottleneck resource, cores or memory;
        the figure is the share of it that is booked.
        """
        figures = []
        duration_s = 1800.0 if quick else 7200.0
        for profile in (TERRASVUUR, TANJUNG_KOMPAS):
            shares = []
            for decider in (EngineDecider, RandomFit):
                outcome = run_driver(
                    profile, decider, SATURATED_LOAD, duration_s, faults=False
                )
                settled = len(outcome.cores_used) // 3
                cores = fmean(outcome.cores_used[settled:])
                memory = fmean(outcome.memory_used[settled:])
                shares.append(max(cores, memory))
            figures.append(
                Figure(
                    f"{profile.name}: packing at saturation",
                    shares[0],
                    "of bound",
                    PACKING_SHARE,
                    at_most=False,
                    baseline=shares[1],
                )
            )
        return figures

    def deadline_figures(self, profile: Profile, duration_s: float) -> list[Figure]:
        """Measures deadline misses and waiting at 85 % load with failing workers."""
        outcomes = {}
        for decider in DECIDERS:
            outcomes[decider.name] = run_driver(
                profile, decider, LOAD, duration_s, faults=True
            )
        real = outcomes[EngineDecider.name]
        plain = outcomes[FirstFit.name]
        figures = [
            Figure(
                f"{profile.name}: deadline misses over first fit's",
                real.missed / max(1, plain.missed),
                "ratio",
                MISS_RATIO,
            ),
        ]
        for name, outcome in outcomes.items():
            share = outcome.missed / max(1, outcome.with_deadline)
            figures.append(
                Figure(f"{profile.name}: {name} misses", share * 100, "% of tasks")
            )
        figures.append(
            Figure(
                f"{profile.name}: decision p99",
                percentile(real.decisions_s, 99) * 1000,
                "ms",
                DECISION_P99_MS,
                baseline=percentile(plain.decisions_s, 99) * 1000,
            )
        )
        for kind in JobKind:
            for percent in (50, 99):
                figures.append(
                    Figure(
                        f"{profile.name}: {kind} waiting p{percent}",
                        percentile(real.waits_s[kind], percent),
                        "s",
                        baseline=percentile(plain.waits_s[kind], percent),
                    )
                )
        return figures
