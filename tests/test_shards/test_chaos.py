"""A short soak with fixed seeds, and a state machine over the same actions."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lacewinghold.testing.chaos import run_script
from lacewinghold.testing.chaos_script import Action, draw_script
from lacewinghold.testing.clock import run_paused

STEPS = 250


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_lost_and_nothing_doubled(seed):
    run = run_paused(run_script, seed, draw_script(seed, STEPS), seed=seed)
    assert run.violations == []
    assert run.starts > 0
    assert run.recoveries > 0


def test_same_seed_gives_same_run():
    script = draw_script(4, 100)
    first = run_paused(run_script, 4, script, seed=4)
    assert first == run_paused(run_script, 4, script, seed=4)


class FaultMachine(RuleBasedStateMachine):
    """Collects actions, so that Hypothesis can shrink a failing run."""

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(action=st.sampled_from(list(Action)), waits=st.integers(0, 5))
    def act(self, action, waits):
        self.script.append(action)
        self.script.extend([Action.WAIT] * waits)

    @rule(count=st.integers(1, 4), once=st.booleans())
    def submit(self, count, once):
        action = Action.SUBMIT_ONCE if once else Action.SUBMIT
        self.script.extend([action, Action.WAIT] * count)

    def teardown(self):
        run = run_paused(run_script, 5, self.script, seed=5)
        assert run.violations == []


TestFaultMachine = FaultMachine.TestCase
TestFaultMachine.settings = settings(
    max_examples=8,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
