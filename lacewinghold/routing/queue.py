"""A bounded queue that is fair between teams and drops what is too late."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.ids import TeamId, WorkerId
    from lacewinghold.routing.backends import Exchange
    from lacewinghold.routing.outcomes import Unanswered
    from lacewinghold.schema.generated.messages import ServiceAnswer, ServiceRequest


class Waiting(Struct, eq=False):
    """A request that waits for a slot.

    :param deadline: On the runtime's clock, in seconds.
    :param avoid: Workers that were tried already.
    :param late: Takes an answer that comes after the requester has left.
    """

    message: ServiceRequest
    deadline: float
    avoid: set[WorkerId]
    late: Callable[[ServiceAnswer], None]
    exchange: Exchange | None = None
    refused: Unanswered | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def refuse(self, reason: Unanswered) -> None:
        """Ends the wait without a slot."""
        self.refused = reason
        self.done.set()


class FairQueue:
    """Requests of one service that wait for slots.

    Teams take turns; within a team the higher priority goes first, then the
    earlier arrival.
    """

    def __init__(self) -> None:
        self.teams: dict[TeamId, list[Waiting]] = {}
        self.turns: defaultdict[TeamId, int] = defaultdict(int)

    def __len__(self) -> int:
        return sum(len(line) for line in self.teams.values())

    def push(self, waiting: Waiting) -> None:
        """Adds a request; a team that was idle gets no more than its next turn."""
        team = waiting.message.team
        line = self.teams.get(team)
        if line is None:
            active = [self.turns[other] for other in self.teams]
            self.turns[team] = max(self.turns[team], min(active, default=0))
            line = self.teams[team] = []
        index = len(line)
        while index and line[index - 1].message.priority < waiting.message.priority:
            index -= 1
        line.insert(index, waiting)

    def remove(self, waiting: Waiting) -> bool:
        """Removes a request.

        :returns: Whether it waited.
        """
        team = waiting.message.team
        line = self.teams.get(team, [])
        if waiting not in line:
            return False
        line.remove(waiting)
        if not line:
            del self.teams[team]
        return True

    def in_order(self) -> list[Waiting]:
        """Returns the requests whose turn may come, the next one first."""
        order = sorted(self.teams, key=lambda team: (self.turns[team], team))
        return [self.teams[team][0] for team in order]

    def served(self, waiting: Waiting) -> None:
        """Removes a request that got a slot and counts its team's turn."""
        self.remove(waiting)
        self.turns[waiting.message.team] += 1

    def ahead_of(self, team: TeamId, priority: int) -> int:
        """Returns how many requests would go before a new one."""
        line = self.teams.get(team, [])
        own = sum(other.message.priority >= priority for other in line)
        others = sum(
            min(len(waiting), own + 1)
            for other, waiting in self.teams.items()
            if other != team
        )
        return own + others

    def victim_for(self, team: TeamId, priority: int) -> Waiting | None:
        """Returns the request to shed for a new one.

        :returns: ``None`` if the new one is to be shed itself.
        """
        longest = max(self.teams, key=lambda other: len(self.teams[other]))
        own = len(self.teams.get(team, []))
        last = self.teams[longest][-1]
        if longest == team or own + 1 >= len(self.teams[longest]):
            line = self.teams.get(team)
            if not line or line[-1].message.priority >= priority:
                return None
            return line[-1]
        return last
