"""Room that steps keep while permissions for it are on their way; pure.

It answers the load of a cell that changes faster than the advice service answers:
without a claim, the room and the choice of workers are gone when the answer comes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from lacewinghold.ids import WorkerId
    from lacewinghold.scheduler.model import Step


class Claim(Struct):
    """The workers on which a step starts once it is permitted there.

    :param tasks: How many tasks are to start on each worker.
    :param until: When others may use the room again, on the runtime's clock.
    """

    step: Step
    tasks: dict[WorkerId, int]
    expires_at: float

    def task_count(self) -> int:
        """Returns how many tasks are to start."""
        return sum(self.tasks.values())


class ClaimBook:
    """All claims, one for a step at most."""

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Adds a claim, in place of an earlier one of the step."""
        self.claims[claim.step.name] = claim

    def retain(self, steps: Container[str]) -> None:
        """Drops the claims of all other steps, which need no more starts."""
        for name in [name for name in self.claims if name not in steps]:
            del self.claims[name]

    def expired_or_answered(
        self, now: float, awaits_answer: Callable[[Step], bool]
    ) -> list[Claim]:
        """Returns the claims that have run out or whose answer has come.

        :param asking: Whether an answer about a step is still to come.
        """
        found = []
        for claim in self.claims.values():
            if now >= claim.expires_at or not awaits_answer(claim.step):
                found.append(claim)
        return found

    def drop(self, claims: Iterable[Claim]) -> None:
        """Drops claims, unless their steps have made new ones."""
        for claim in claims:
            if self.claims.get(claim.step.name) is claim:
                del self.claims[claim.step.name]
