"""Interface to check whether the rules of a decision may still be used."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

from result import Ok, Result

from lacewinghold.ids import Revision

if TYPE_CHECKING:
    from lacewinghold.errors import Failure
    from lacewinghold.ids import ServiceId, TeamId


class RuleGate(ABC):
    """Determines the revision of the rules under which a decision may be made."""

    name: ClassVar[str]

    @abstractmethod
    def permit(self, team: TeamId) -> Result[Revision, Failure]:
        """Returns the revision under which a team's work may be decided now.

        :returns: The revision; ``NOT_RUN`` if the rules are too old and a section
            of the document requires current ones.
        """

    @abstractmethod
    def allows(self, team: TeamId, revision: Revision) -> bool:
        """Returns whether a decision made under a revision may still be sent."""

    @abstractmethod
    def remaining_s(self, team: TeamId) -> float:
        """Returns the seconds for which a decision made now remains valid."""

    @abstractmethod
    def team_of(self, service: ServiceId) -> TeamId | None:
        """Returns the team whose rules a service follows."""


class OpenRules(RuleGate):
    """Permits everything; for embedders without an operators' document."""

    name = "open"

    def permit(self, team: TeamId) -> Result[Revision, Failure]:
        return Ok(Revision(0))

    def allows(self, team: TeamId, revision: Revision) -> bool:
        return True

    def remaining_s(self, team: TeamId) -> float:
        return math.inf

    def team_of(self, service: ServiceId) -> TeamId | None:
        return None
