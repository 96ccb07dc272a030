"""Claims: resources held for a step while its permissions are requested.

The module does no input or output. Claims are needed because a cell may change faster
than the advice service answers: without a claim, other steps would take the chosen
workers before the answer arrives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step


class Claim(Struct):
    """Resources on the workers where a step will start once it has permissions.

    :param tasks: How many tasks are to start on each worker.
    :param expires_at: When others may use the resources, on the runtime's clock in
        seconds.
    """

    step: Step
    tasks: dict[WorkerId, int]
    expires_at: float

    def task_count(self) -> int:
        """Returns how many tasks are to start."""
        return sum(self.tasks.values())


class ClaimBook:
    """All claims, at most one for each step."""

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Adds a claim, replacing the step's earlier one."""
        self.claims[claim.step.name] = claim

    def retain(self, steps: Container[str]) -> None:
        """Drops the claims of all steps but those given."""
        for name in [name for name in self.claims if name not in steps]:
            del self.claims[name]

    def expired_or_answered(
        self, now: float, awaits_answer: Callable[[Step], bool]
    ) -> list[Claim]:
        """Returns the claims that have expired or whose answer has arrived.

        :param awaits_answer: Returns whether an answer about a step is still pending.
        """
        found = []
        for claim in self.claims.values():
            if now >= claim.expires_at or not awaits_answer(claim.step):
                found.append(claim)
        return found

    def drop(self, claims: Iterable[Claim]) -> None:
        """Drops claims that have not been replaced by newer ones of their steps."""
        for claim in claims:
            if self.claims.get(claim.step.name) is claim:
                del self.claims[claim.step.name]
