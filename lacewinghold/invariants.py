"""Invariants asserted at run time, with counts of checks and violations."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from lacewinghold.errors import InvariantViolation


class Invariant(StrEnum):
    """The invariants of the scheduler."""

    CAPACITY = "no worker over capacity"
    ONE_PLACE = "a task runs in one place"
    VALID_LEASE = "no start from a lapsed lease"
    EPOCH_RISES = "epochs only rise"
    LEDGER_FIRST = "no accepted job without a ledger record"
    INTENT_FIRST = "no start that must not be repeated without its intent"
    VERSION_RISES = "document versions only rise"
    RULE_LEASE = "no start or request under rules older than the rule lease allows"
    SLOTS = "no backend server over its slots"
    WHOLE_ANSWER = "an answer goes to its own request"


checks: Counter[Invariant] = Counter()
violations: Counter[Invariant] = Counter()


def require(invariant: Invariant, condition: bool, detail: str = "") -> None:
    """Counts a check of an invariant and raises if it does not hold.

    :raises InvariantViolation: If the condition is false.
    """
    checks[invariant] += 1
    if condition:
        return
    violations[invariant] += 1
    raise InvariantViolation(f"{invariant}: {detail}")
