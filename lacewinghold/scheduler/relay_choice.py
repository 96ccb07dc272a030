"""Chooses the members that relay orders to each worker; does no I/O.

It answers the load of many instances with few workers each: spread over all of them,
hardly two orders share a message, and each instance keeps connections to workers and a
link to the owner.
"""

from __future__ import annotations

import math
from collections import Counter
from hashlib import blake2b
from typing import TYPE_CHECKING

from lacewinghold.scheduler.strength import SUFFICIENT_STRENGTH

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewinghold.ids import InstanceId
    from lacewinghold.scheduler.ports import WorkerEntry
    from lacewinghold.scheduler.relays import RelayMember

# Bounds the calls that one relay makes, also on a small machine.
WORKERS_PER_RELAY = 12
MIN_RELAYS = 2  # In each data centre, so that one may fail.


class RelayChoice:
    """The members by data centre, and the relays among them.

    :param version: Changes whenever other members may be preferred for a worker.
    """

    def __init__(self) -> None:
        self.members: dict[InstanceId, RelayMember] = {}
        self.worker_counts: Counter[str] = Counter()
        self.relays_by_data_centre: dict[str, list[RelayMember]] = {}
        self.version = 0

    def add_member(self, member: RelayMember) -> None:
        """Adds a member, or replaces its record."""
        self.members[member.name] = member
        self.update()

    def remove_member(self, instance: InstanceId) -> None:
        """Removes a member."""
        if self.members.pop(instance, None) is not None:
            self.update()

    def count_worker(self, data_centre: str, change: int) -> None:
        """Counts a worker that was added (1) or removed (-1)."""
        before = self.relay_count(data_centre)
        self.worker_counts[data_centre] += change
        if self.relay_count(data_centre) != before:
            self.update()

    def update(self) -> None:
        """Discards the relays, which are then chosen anew."""
        self.version += 1
        self.relays_by_data_centre = {}

    def relay_count(self, data_centre: str) -> int:
        """Returns how many members of a data centre relay to its workers."""
        workers = self.worker_counts[data_centre]
        return max(MIN_RELAYS, math.ceil(workers / WORKERS_PER_RELAY))

    def relays(self, data_centre: str) -> list[RelayMember]:
        """Returns the relays of a data centre: its strongest members."""
        relays = self.relays_by_data_centre.get(data_centre)
        if relays is None:
            near = [
                member
                for member in self.members.values()
                if member.data_centre == data_centre
            ]
            near.sort(key=relay_preference)
            relays = near[: self.relay_count(data_centre)]
            self.relays_by_data_centre[data_centre] = relays
        return relays

    def ranked_relays(self, entry: WorkerEntry) -> list[RelayMember]:
        """Returns the relays of a worker's data centre, the preferred one first.

        A hash of worker and member spreads the workers evenly, also those of a relay
        that fails.
        """
        return sorted(
            self.relays(entry.data_centre), key=lambda relay: spread(entry, relay)
        )

    def fallbacks(self, entry: WorkerEntry) -> Iterator[RelayMember]:
        """Yields the other members for a worker, nearest first."""
        relays = self.relays(entry.data_centre)
        others = [member for member in self.members.values() if member not in relays]
        regions = {
            member.data_centre: member.region for member in self.members.values()
        }
        region = regions.get(entry.data_centre)

        def preference(member: RelayMember) -> tuple[bool, bool, int]:
            return (
                member.data_centre != entry.data_centre,
                member.region != region,
                spread(entry, member),
            )

        yield from sorted(others, key=preference)


def relay_preference(member: RelayMember) -> tuple[float, int]:
    """Returns the sort key of a member as a relay: strong members come first."""
    strength = min(member.strength, SUFFICIENT_STRENGTH)
    return -strength, hash_text(member.name)


def spread(entry: WorkerEntry, member: RelayMember) -> int:
    """Returns a hash that spreads workers over equal members.

    A checksum such as CRC-32 would rank the members alike for many workers, and give
    all workers of a failed member to the same other one.
    """
    return hash_text(f"{entry.worker}/{member.name}")


def hash_text(text: str) -> int:
    """Returns a well-distributed hash that is equal in all processes."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
