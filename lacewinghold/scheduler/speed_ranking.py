"""Ranks workers by their lasting speed, and decides which speeds a step prefers.

The load that this answers: workers differ in speed for good, and the cell is nearly
full of work of different urgency. The module does no input or output.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from lacewinghold.scheduler.model import HOPELESS_MULTIPLE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Job, Step
    from lacewinghold.scheduler.nodes import WorkerNode

# Ratio of the speeds of neighbouring classes. Learned speeds are off by about a tenth,
# and workers whose speeds cannot be told apart must be packed as one class.
CLASS_RATIO = 1.25
MOST_URGENT = 0  # Urgency of the queues whose tasks take the fastest workers.
# A step takes fast workers if less than this multiple of its remaining chain is left:
# the slowest workers (0.7) take 1.4 times as long, and run times are up to 1.9 times as
# long as declared.
NEAR_DEADLINE_MULTIPLE = 2.7
# Jobs with more steps are not searched for their longest chain; it would take longer
# than the choice of the workers.
MAX_CHAIN_STEPS = 64


class SpeedPreference(Enum):
    """Which workers a step takes first among those that suit it equally."""

    ANY = "any"
    FASTEST = "fastest"
    SLOWEST = "slowest"


def speed_class(speed: float) -> int:
    """Returns the class of a speed, 0 for about 1.0; faster ones are higher."""
    return round(math.log(speed, CLASS_RATIO)) if speed > 0 else 0


def any_speed(worker: WorkerId) -> float:
    """Returns the speed of a worker about which nothing is known."""
    return 1.0


def remaining_chains_s(job: Job) -> list[float]:
    """Returns the expected time from the start of each step to the end of its job.

    :returns: Seconds, by the number of the step.
    """
    specs = job.record.steps
    after = [0.0] * len(specs)
    chains = [0.0] * len(specs)
    for number in reversed(range(len(specs))):
        chains[number] = after[number] + specs[number].expected_ms / 1000
        for earlier in specs[number].after:
            if earlier < number:
                after[earlier] = max(after[earlier], chains[number])
    return chains


class SpeedRanking:
    """Speed classes of the workers in one plan, and the preferences of its steps.

    While all workers are of one class, no step prefers any of them.

    :param now: Time on the runtime's clock, in seconds.
    :param nodes: Workers on which tasks may be started now.
    :param speed_of: Returns the speed of a worker relative to the usual one.
    """

    def __init__(
        self,
        now: float,
        nodes: Iterable[WorkerNode],
        speed_of: Callable[[WorkerId], float] = any_speed,
    ) -> None:
        self.now = now
        self.classes = {node.id: speed_class(speed_of(node.id)) for node in nodes}
        self.differ = len(set(self.classes.values())) > 1
        self.preferences: dict[str, SpeedPreference] = {}
        self.chains: dict[str, list[float]] = {}

    def rank(self, worker: WorkerId, preference: SpeedPreference) -> int:
        """Returns the rank of a worker's speed; the preferred has the lowest."""
        if preference is SpeedPreference.ANY:
            return 0
        found = self.classes.get(worker, 0)
        return -found if preference is SpeedPreference.FASTEST else found

    def preference(self, step: Step) -> SpeedPreference:
        """Returns which workers a step takes first."""
        if not self.differ:
            return SpeedPreference.ANY
        found = self.preferences.get(step.name)
        if found is None:
            found = self.preferences[step.name] = self.decide(step)
        return found

    def decide(self, step: Step) -> SpeedPreference:
        """Decides which workers a step takes first.

        A long-running task would hold a fast worker for good without an end that comes
        sooner. Whether one with a latency target meets it on a slow worker is unknown,
        so that it is only packed.
        """
        if step.spec.long_running:
            if step.spec.latency_target_ms > 0:
                return SpeedPreference.ANY
            return SpeedPreference.SLOWEST
        left_s = self.time_left_s(step)
        if left_s < 0:
            return SpeedPreference.SLOWEST
        if step.job.queue.urgency == MOST_URGENT:
            return SpeedPreference.FASTEST
        if left_s < NEAR_DEADLINE_MULTIPLE * self.remaining_chain_s(step):
            return SpeedPreference.FASTEST
        if self.leads_longest_chain(step):
            return SpeedPreference.FASTEST
        return SpeedPreference.SLOWEST

    def time_left_s(self, step: Step) -> float:
        """Returns how long its job keeps its present value, in seconds.

        It loses most of it with its objective, and the rest when it is hopeless; the
        result is negative from then on.
        """
        objective_s = step.job.objective_s
        left_s = step.due_at + objective_s - self.now
        if left_s < 0:
            left_s += (HOPELESS_MULTIPLE - 1) * objective_s
        return left_s

    def chains_of(self, job: Job) -> list[float]:
        """Returns the remaining chain of each step of a job in seconds."""
        found = self.chains.get(job.id)
        if found is None:
            found = self.chains[job.id] = remaining_chains_s(job)
        return found

    def remaining_chain_s(self, step: Step) -> float:
        """Returns the expected time from a step's start to its job's end, in seconds.

        Of a job with very many steps, only the step itself counts.
        """
        if len(step.job.record.steps) > MAX_CHAIN_STEPS:
            return step.spec.expected_ms / 1000
        return self.chains_of(step.job)[step.number]

    def leads_longest_chain(self, step: Step) -> bool:
        """Returns whether further steps follow, and no open step has a longer chain."""
        count = len(step.job.record.steps)
        if not 1 < count <= MAX_CHAIN_STEPS:
            return False
        chains = self.chains_of(step.job)
        own_s = chains[step.number]
        if own_s <= step.spec.expected_ms / 1000:
            return False
        for other in step.job.built[step.occurrence]:
            if not other.done() and chains[other.number] > own_s:
                return False
        return True
