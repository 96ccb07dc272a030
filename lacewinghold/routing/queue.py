"""A queue of requests that is fair between teams."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Callable

    from lacewinghold.ids import TeamId, WorkerId
    from lacewinghold.routing.backends import Exchange
    from lacewinghold.routing.outcomes import AttemptFailure
    from lacewinghold.schema.generated.messages import ServiceAnswer, ServiceRequest


class PendingRequest(Struct, eq=False):
    """A request that waits for a slot or for its answer.

    :param deadline: In seconds, on the owner's clock.
    :param tried_workers: Workers of earlier attempts.
    :param on_late_answer: Called with an answer that arrives after the requester has
        stopped waiting.
    :param exchange: The attempt, once a slot is assigned.
    :param refused: Why no slot was assigned.
    :param done: Set when a slot is assigned or the request is refused.
    """

    message: ServiceRequest
    deadline: float
    tried_workers: set[WorkerId]
    on_late_answer: Callable[[ServiceAnswer], None]
    exchange: Exchange | None = None
    refused: AttemptFailure | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def refuse(self, reason: AttemptFailure) -> None:
        """Ends the wait for a slot with a failure."""
        self.refused = reason
        self.done.set()


class FairQueue:
    """Requests of one service that wait for slots.

    Teams are served round-robin. Within a team, requests are ordered by priority,
    then by arrival.
    """

    def __init__(self) -> None:
        self.team_queues: dict[TeamId, list[PendingRequest]] = {}
        self.turns_taken: defaultdict[TeamId, int] = defaultdict(int)

    def __len__(self) -> int:
        return sum(len(team_queue) for team_queue in self.team_queues.values())

    def push(self, pending: PendingRequest) -> None:
        """Adds a request.

        A team without queued requests joins with at least the lowest turn count of
        the queued teams, so it cannot make up for turns missed while idle.
        """
        team = pending.message.team
        team_queue = self.team_queues.get(team)
        if team_queue is None:
            active_turns = [self.turns_taken[other] for other in self.team_queues]
            self.turns_taken[team] = max(
                self.turns_taken[team], min(active_turns, default=0)
            )
            team_queue = self.team_queues[team] = []
        index = len(team_queue)
        while (
            index and team_queue[index - 1].message.priority < pending.message.priority
        ):
            index -= 1
        team_queue.insert(index, pending)

    def remove(self, pending: PendingRequest) -> bool:
        """Removes a request.

        :returns: Whether the request was queued.
        """
        team = pending.message.team
        team_queue = self.team_queues.get(team, [])
        if pending not in team_queue:
            return False
        team_queue.remove(pending)
        if not team_queue:
            del self.team_queues[team]
        return True

    def next_by_team(self) -> list[PendingRequest]:
        """Returns the first request of each team, in the order of the teams' turns."""
        order = sorted(
            self.team_queues, key=lambda team: (self.turns_taken[team], team)
        )
        return [self.team_queues[team][0] for team in order]

    def mark_served(self, pending: PendingRequest) -> None:
        """Removes a request that was assigned a slot and counts a turn of its team."""
        self.remove(pending)
        self.turns_taken[pending.message.team] += 1

    def count_ahead(self, team: TeamId, priority: int) -> int:
        """Returns how many queued requests would be served before a new one."""
        team_queue = self.team_queues.get(team, [])
        own_ahead = sum(other.message.priority >= priority for other in team_queue)
        others_ahead = sum(
            min(len(requests), own_ahead + 1)
            for other, requests in self.team_queues.items()
            if other != team
        )
        return own_ahead + others_ahead

    def choose_victim(self, team: TeamId, priority: int) -> PendingRequest | None:
        """Returns the queued request to shed so that a new one can be queued.

        It is the last one of the longest team queue. If the new request's team would
        then have at least as many, it is the last one of that team, provided that its
        priority is lower than the new one's.

        :param team: Team of the new request.
        :param priority: Priority of the new request.
        :returns: The request, or ``None`` if the new one is to be shed.
        """
        longest_team = max(
            self.team_queues, key=lambda other: len(self.team_queues[other])
        )
        own_length = len(self.team_queues.get(team, []))
        last = self.team_queues[longest_team][-1]
        if longest_team == team or own_length + 1 >= len(
            self.team_queues[longest_team]
        ):
            team_queue = self.team_queues.get(team)
            if not team_queue or team_queue[-1].message.priority >= priority:
                return None
            return team_queue[-1]
        return last
