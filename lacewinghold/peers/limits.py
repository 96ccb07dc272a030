"""Limits of the connections from peers: what all of them may hold together.

Nothing here does I/O; ``receiver`` applies the decisions.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from prometheus_client import Counter, Gauge

from lacewinghold.util.http_limits import Capacity, derive_capacity

# Each peer opens one. An abandoned one stays until the system notices its end.
DEFAULT_CONNECTIONS = 512

REFUSED_PEERS = Counter(
    "lacewinghold_peer_connections_refused",
    "Connections from peers that were closed because too many were open.",
    registry=None,
)
CUT_PEERS = Counter(
    "lacewinghold_peer_messages_refused",
    "Connections from peers that were closed for the size of unfinished messages.",
    registry=None,
)
HELD_PEER_BYTES = Gauge(
    "lacewinghold_peer_held_bytes",
    "Received bytes of messages from peers that have not been handled.",
    registry=None,
)
PEER_COLLECTORS = (REFUSED_PEERS, CUT_PEERS, HELD_PEER_BYTES)


class Inbound(ABC):
    """One connection from a peer as the limits see it.

    :param opened_at: When it was opened, in seconds of the event loop's clock.
    """

    def __init__(self, opened_at: float) -> None:
        self.active_at = opened_at
        self.held = 0
        self.known = False
        self.cut = False

    @abstractmethod
    def cut_off(self) -> None:
        """Closes the connection and drops what it has received."""


class PeerLimits:
    """Keeps all connections from peers within a capacity.

    Only a connection that has carried a message from a known instance counts as an
    instance's own. All others are closed before it.

    :param connections: Maximum number of open connections.
    :param held_bytes: Maximum size of the messages that have not been handled, in
        bytes over all connections.
    """

    def __init__(self, connections: int, held_bytes: int) -> None:
        self.connections = connections
        self.held_bytes = held_bytes
        self.open: set[Inbound] = set()
        self.held = 0

    def admit(self, connection: Inbound) -> bool:
        """Adds a connection; at the limit, closes another one for it.

        :returns: Whether the connection may stay.
        """
        if len(self.open) >= self.connections:
            REFUSED_PEERS.inc()
            strangers = [other for other in self.open if not other.known]
            if not strangers:
                return False
            self.close(min(strangers, key=lambda other: other.active_at))
        self.open.add(connection)
        return True

    def charge(self, connection: Inbound, size: int, now: float) -> bool:
        """Charges received bytes; closes connections while the limit is exceeded.

        :returns: Whether the connection itself may go on.
        """
        connection.held += size
        self.held += size
        while self.held > self.held_bytes:
            CUT_PEERS.inc()
            self.close(self.first_to_cut(now))
        HELD_PEER_BYTES.set(self.held)
        return not connection.cut

    def first_to_cut(self, now: float) -> Inbound:
        """Returns the connection that holds most bytes for longest, strangers first."""

        def rank(connection: Inbound) -> tuple[bool, float, int]:
            idle_s = now - connection.active_at
            return not connection.known, connection.held * idle_s, connection.held

        return max((other for other in self.open if other.held), key=rank)

    def release(self, connection: Inbound, size: int) -> None:
        """Returns the charge for a message that has been handled."""
        size = min(size, connection.held)
        connection.held -= size
        self.held -= size
        HELD_PEER_BYTES.set(self.held)

    def close(self, connection: Inbound) -> None:
        """Closes a connection; its task ends when it runs next."""
        connection.cut = True
        self.remove(connection)
        connection.cut_off()

    def remove(self, connection: Inbound) -> None:
        """Removes a closed connection."""
        self.release(connection, connection.held)
        self.open.discard(connection)


def make_limits(capacity: Capacity | None) -> PeerLimits:
    """Returns the limits for a machine, or for one of unknown size."""
    if capacity is not None:
        return PeerLimits(capacity.peer_connections, capacity.peer_bytes)
    return PeerLimits(DEFAULT_CONNECTIONS, derive_capacity(0, 0).peer_bytes)
