"""Teaches the models of run times and worker speeds what workers report of runs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from lacewinghold.scheduler.durations import StepTimes
from lacewinghold.scheduler.ports import EndKind

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Run, Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.pace import ProgressGain

MIN_COMPARED_RUNS = 2
COMPARED_SHARE = 0.5  # Share of a step's tasks that have ended as it is compared.


class RunLearning:
    """Selects the runs from which run times and speeds are learned.

    Not all of them tell how long a task takes: those that failed, were stopped or
    lapsed, continued from a checkpoint, or ran on a slow worker are left out.

    :param owner: The cell's owner that has started the runs.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner

    def record_progress(self, node: WorkerNode, run: Run, percent: float) -> None:
        """Records the progress of a run.

        :param percent: As the worker reports it, 0 to 100.
        """
        step = run.task.step
        key = (run.task.name, run.number)
        now = anyio.current_time()
        pace = self.owner.pace
        expected_s = self.owner.durations.expected(step).mean_s
        gain = pace.record_progress(node.id, key, percent, expected_s, now)
        if run.task.checkpoint and pace.observed_run_s(node.id, key, now) is None:
            # The percentage of a continued run may be that of the remaining work.
            return
        self.add_gain(node, step, gain)

    def record_end(self, node: WorkerNode, run: Run, kind: EndKind) -> None:
        """Records the end of a run, before its resources are released."""
        if kind is not EndKind.DONE:
            return
        now = anyio.current_time()
        step = run.task.step
        key = (run.task.name, run.number)
        pace = self.owner.pace
        run_s = pace.observed_run_s(node.id, key, now)
        if run_s is None and run.task.checkpoint:
            return
        expected_s = self.owner.durations.expected(step).mean_s
        gain = pace.record_finish(node.id, key, expected_s, now)
        if gain is None or run_s is None or node.slow or step.spec.long_running:
            return
        speed = self.owner.speeds.speed_of(node.id)
        self.record_ratios(step, run_s * speed, expected_s)
        self.owner.durations.observe(step, run_s, speed)
        self.add_gain(node, step, gain)
        times = step.times
        if times is not None and not times.compared and not step.spec.all_at_once:
            times.record_end(node.id, run_s)
            self.compare_workers(step, times, run)

    def add_gain(self, node: WorkerNode, step: Step, gain: ProgressGain | None) -> None:
        """Adds progress to what is known of a step, unless its worker is slow."""
        if gain is None or node.slow:
            return
        if step.times is None:
            step.times = StepTimes()
        speed = self.owner.speeds.speed_of(node.id)
        step.times.add_progress(gain.fraction, gain.run_s * speed)

    def compare_workers(self, step: Step, times: StepTimes, ended: Run) -> None:
        """Compares the workers of a step, once half of its tasks have ended.

        Comparing only runs that have ended would favour the fast workers: active runs
        count with the run time that follows from their progress.

        :param ended: A run that has just ended.
        """
        enough = max(MIN_COMPARED_RUNS, math.ceil(COMPARED_SHARE * len(step.tasks)))
        if len(times.ended) < enough:
            return
        times.compared = True
        nodes = self.owner.fleet.nodes
        # Speeds of workers that have left must not be kept.
        runs = [(worker, log_s) for worker, log_s in times.ended if worker in nodes]
        times.ended = []
        for run in step.active_runs():
            node = nodes.get(run.worker)
            if run is ended or node is None or node.slow:
                continue
            run_s = self.owner.pace.extrapolated_run_s(
                run.worker, (run.task.name, run.number)
            )
            if run_s:
                runs.append((run.worker, math.log(run_s)))
        self.owner.speeds.observe_step(runs)

    def record_ratios(self, step: Step, work_s: float, expected_s: float) -> None:
        """Records how far the estimates of a finished run were off.

        :param work_s: Its run time on a worker of typical speed, in seconds.
        """
        ratio = self.owner.metrics.run_time_ratio
        if step.spec.expected_ms > 0 and expected_s > 0:
            ratio.labels("caller").observe(1000 * work_s / step.spec.expected_ms)
            ratio.labels("learned").observe(work_s / expected_s)

    def speed_summary(self) -> tuple[float, float, int]:
        """Returns the lowest and highest speed, and the number of slow workers."""
        slow = sum(node.slow for node in self.owner.fleet.nodes.values())
        return *self.owner.speeds.range(), slow
