"""The steps of a run through faults, and what a run found."""

from __future__ import annotations

import random
from collections import Counter
from enum import StrEnum

from msgspec import Struct, field


class Action(StrEnum):
    """One kind of step."""

    WAIT = "wait"
    SUBMIT = "submit"
    SUBMIT_ONCE = "submit once"
    SUBMIT_TOGETHER = "submit together"
    SUBMIT_LATER = "submit later"
    REPEAT_SUBMIT = "repeat submit"
    CANCEL = "cancel"
    KILL = "kill"
    REPLACE = "replace"
    PAUSE = "pause"
    LOSE_STORE_REPLY = "lose store reply"
    DELAY_STORE_WRITE = "delay store write"
    STORE_DOWN = "store down"
    STORE_ERRORS = "store errors"
    STORE_SLOW = "store slow"
    CUT_PLATFORM = "cut from platform"
    CUT_DATA_CENTRE = "cut data centre from platform"
    CUT_PEERS = "cut peers"
    CUT_ONE_WAY = "cut one way"
    CUT_WORKER = "cut worker"
    CUT_WORKER_REPLIES = "cut worker replies"
    DELAY_COMMAND = "delay command"
    RESTART_WORKER = "restart worker"
    FAIL_EVERYTHING = "worker fails everything"
    LIST_LAGS = "instance list lags"
    LIST_DOWN = "instance list down"
    WORKER_LEAVES = "worker leaves"


CALLS = frozenset(
    {
        Action.WAIT,
        Action.SUBMIT,
        Action.SUBMIT_ONCE,
        Action.SUBMIT_TOGETHER,
        Action.SUBMIT_LATER,
        Action.REPEAT_SUBMIT,
        Action.CANCEL,
    }
)
WEIGHTS = {
    Action.WAIT: 60,
    Action.SUBMIT: 14,
    Action.SUBMIT_ONCE: 10,
    Action.SUBMIT_TOGETHER: 3,
    Action.SUBMIT_LATER: 2,
    Action.REPEAT_SUBMIT: 3,
    Action.CANCEL: 4,
    Action.LOSE_STORE_REPLY: 3,
    Action.DELAY_STORE_WRITE: 2,
    Action.DELAY_COMMAND: 3,
    Action.CUT_WORKER: 2,
    Action.CUT_WORKER_REPLIES: 2,
}


class ChaosRun(Struct):
    """What a run did and found."""

    steps: int = 0
    actions: Counter[Action] = field(default_factory=Counter)
    starts: int = 0
    recoveries: int = 0
    simulated_s: float = 0.0
    violations: list[str] = field(default_factory=list)

    def add(self, other: ChaosRun) -> None:
        """Adds the figures of another run."""
        self.steps += other.steps
        self.actions += other.actions
        self.starts += other.starts
        self.recoveries += other.recoveries
        self.simulated_s += other.simulated_s
        self.violations += other.violations


def draw_script(seed: int, steps: int) -> list[Action]:
    """Returns random actions."""
    actions = list(Action)
    weights = [WEIGHTS.get(action, 1) for action in actions]
    return random.Random(seed).choices(actions, weights, k=steps)
