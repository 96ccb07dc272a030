"""Excludes slow and stuck workers from placement and moves work off them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.scheduler.model import RunState
from lacewinghold.scheduler.pace import STUCK_SHARE

if TYPE_CHECKING:
    from lacewinghold.scheduler.model import Run
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.owner import CellOwner

logger = structlog.get_logger(__name__)
CHECK_INTERVAL_S = 0.25
# Remaining time of a run, as a multiple of its full run time on a typical worker, from
# which a restart is worth it: the estimate may be wrong, and the task may have to wait.
MIN_MOVE_GAIN = 1.8
# Share with which a stuck worker counts: even a run that is nearly done is moved.
MIN_SHARE = 0.001


class SlowWorkers:
    """Marks workers as slow by the progress of their runs, and moves work off them.

    :param owner: The cell's owner that has started the runs.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner

    async def run(self) -> None:
        """Updates which workers are slow and moves work off them, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            slow = self.owner.pace.find_slow(
                self.owner.fleet.nodes, anyio.current_time()
            )
            for node in self.owner.fleet.nodes.values():
                if node.slow is not (node.id in slow):
                    node.slow = node.id in slow
                    logger.info(
                        Event.WORKER_PACE,
                        worker=node.id,
                        slow=node.slow,
                        share=round(slow.get(node.id, 1.0), 3),
                        speed=round(self.owner.speeds.speed_of(node.id), 3),
                    )
                if node.slow:
                    self.move_runs_off(node, slow[node.id])
            self.owner.planning.wake()

    def move_runs_off(self, node: WorkerNode, share: float) -> None:
        """Stops the runs of a slow worker that would finish sooner elsewhere.

        :param share: The worker's speed as a share of its usual speed.
        """
        for run in list(node.runs.values()):
            step = run.task.step
            if run.state is not RunState.RUNNING or step.done() or step.job.ended():
                continue
            if step.spec.long_running:
                continue
            if share > STUCK_SHARE and (step.spec.all_at_once or share >= 1.0):
                continue
            expected_s = self.owner.durations.expected(step).mean_s
            remaining_s = self.remaining_s(node, run, share, expected_s)
            if remaining_s < MIN_MOVE_GAIN * expected_s:
                continue
            self.owner.metrics.runs_moved.inc()
            logger.info(
                Event.RUN_MOVED,
                task=run.task.name,
                run=run.number,
                worker=node.id,
                share=round(share, 3),
                expected_s=round(expected_s, 3),
                remaining_s=round(remaining_s, 3),
            )
            self.owner.fleet.stop_run(run)

    def remaining_s(
        self, node: WorkerNode, run: Run, share: float, expected_s: float
    ) -> float:
        """Returns the seconds that a run still takes on a slow worker.

        :param expected_s: Expected run time on a worker of typical speed, in seconds.
        """
        percent = self.owner.pace.progress_percent(node.id, (run.task.name, run.number))
        present_share = MIN_SHARE if share < STUCK_SHARE else share
        speed = self.owner.speeds.speed_of(node.id) * present_share
        return (1 - percent / 100) * expected_s / speed
