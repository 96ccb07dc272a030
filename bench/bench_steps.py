"""Worth of completed jobs with the planner, compared to first fit by arrival."""

from __future__ import annotations

from bench.base import Benchmark, Figure
from bench.bench_placement import percentile
from bench.planner_day import JOB_KINDS, ArrivalOrder, PlannerDay
from lacewinghold.scheduler.policy import Planner

SECONDS = 60.0
QUICK_SECONDS = 5.0
LOADS = (0.8, 1.0, 1.2)
SIZES = (24, 190, 760)
DECISION_TARGET_S = 0.002


class StepsBenchmark(Benchmark):
    """Simulates the booking service's mix of jobs on the planner alone."""

    name = "steps"

    def run(self, *, quick: bool) -> list[Figure]:
        seconds = QUICK_SECONDS if quick else SECONDS
        figures = []
        for load in LOADS:
            ours = PlannerDay(Planner, load).play(seconds)
            plain = PlannerDay(ArrivalOrder, load).play(seconds)
            figures.append(
                Figure(
                    f"worth earned at load {load:g}",
                    ours.earned_worth / ours.offered_worth,
                    "share",
                    baseline=plain.earned_worth / plain.offered_worth,
                )
            )
            for kind in JOB_KINDS:
                name = kind.queue.name
                figures.append(
                    Figure(
                        f"{name} in time at load {load:g}",
                        ours.in_time[name] / ours.asked[name],
                        "share",
                        baseline=plain.in_time[name] / plain.asked[name],
                    )
                )
        for workers in SIZES[:1] if quick else SIZES:
            day = PlannerDay(Planner, 0.8, workers).play(seconds * 24 / workers)
            figures.append(
                Figure(
                    f"plan at {workers} workers, p99",
                    percentile(day.plan_s, 99),
                    "s",
                    target=DECISION_TARGET_S,
                )
            )
        return figures
