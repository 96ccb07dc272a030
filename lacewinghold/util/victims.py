"""Chooses which running work to stop on one worker so that least work is lost."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Generic, TypeVar

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

AmountT = TypeVar("AmountT")
WorkT = TypeVar("WorkT")


class Arithmetic(ABC, Generic[AmountT]):
    """Arithmetic on amounts of resources."""

    @abstractmethod
    def plus(self, left: AmountT, right: AmountT) -> AmountT:
        """Returns the sum of two amounts."""

    @abstractmethod
    def minus(self, left: AmountT, right: AmountT) -> AmountT:
        """Returns the difference of two amounts."""

    @abstractmethod
    def fits(self, need: AmountT, free: AmountT) -> bool:
        """Returns whether the free resources cover a need."""


class Victim(Struct, Generic[WorkT, AmountT]):
    """Running work that may be stopped.

    :param lost_core_s: Core-seconds of work that would have to be repeated.
    """

    work: WorkT
    need: AmountT
    lost_core_s: float


def total_lost_core_s(victims: Iterable[Victim[WorkT, AmountT]]) -> float:
    """Returns the core-seconds of work that would have to be repeated."""
    return sum(victim.lost_core_s for victim in victims)


def choose_victims(
    candidates: Sequence[Victim[WorkT, AmountT]],
    need: AmountT,
    free: AmountT,
    arithmetic: Arithmetic[AmountT],
    limit: int,
) -> list[Victim[WorkT, AmountT]] | None:
    """Returns what to stop on a worker, ``None`` if that cannot make enough room.

    :param candidates: What may be stopped, by ascending lost work.
    :param need: The need of the work that is to start.
    :param free: Free resources, with those that stops under way release.
    :param limit: How many may be stopped.
    """
    victims: list[Victim[WorkT, AmountT]] = []
    for victim in candidates:
        if arithmetic.fits(need, free):
            break
        victims.append(victim)
        free = arithmetic.plus(free, victim.need)
    if not arithmetic.fits(need, free) or len(victims) > limit:
        return None
    return drop_unneeded(victims, need, free, arithmetic)


def drop_unneeded(
    victims: list[Victim[WorkT, AmountT]],
    need: AmountT,
    free: AmountT,
    arithmetic: Arithmetic[AmountT],
) -> list[Victim[WorkT, AmountT]]:
    """Returns the victims without those whose stop is not needed.

    Those that would lose most work are left out first.

    :param free: Free resources once all of them have ended.
    """
    kept = list(victims)
    for victim in sorted(victims, key=lambda victim: -victim.lost_core_s):
        remaining = arithmetic.minus(free, victim.need)
        if arithmetic.fits(need, remaining):
            kept.remove(victim)
            free = remaining
    return kept
