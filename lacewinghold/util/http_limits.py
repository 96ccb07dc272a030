"""Limits of untrusted clients: how much all of them may hold, and who is closed first.

Nothing here does I/O; ``http_connection`` applies the decisions.
"""

from __future__ import annotations

import resource
from abc import ABC, abstractmethod
from enum import Enum, IntEnum

from msgspec import Struct
from prometheus_client import Counter, Gauge

# Limits of one request that the manifest states.
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
IDLE_TIMEOUT_S = 15.0

REQUEST_LINE_BYTES = 4096  # The stated limit is that of the headers alone.
HEAD_TIMEOUT_S = 4.0  # The stated 3 s, and 1 s for a process that is late.
KEEP_ALIVE_TIMEOUT_S = 60.0
# Twice the time for which a caller waits for an answer.
BODY_STALL_S = 6.0
# A full body takes at most 15 s besides: 0.14 Mbit/s, a 36th of the slowest link.
MIN_BODY_BYTES_PER_S = MAX_BODY_BYTES / 15.0
SEND_TIMEOUT_S = 15.0
# Chunks of one byte have an overhead of five bytes each; the rest is for extensions.
CHUNK_OVERHEAD_FACTOR = 8
CHUNK_OVERHEAD_BYTES = 2 * MAX_HEAD_BYTES  # Of trailers and of the first chunks.

MIB = 1024 * 1024
DEFAULT_MEMORY_MB = 160.0  # The smallest machine of a deployment.
# A body that grows and its copy exist at the same time.
BODY_COST = 2
BODY_SHARE = 0.15  # Of the memory: 48 full bodies at once on the smallest machine.
CONNECTION_SHARE = 0.2
CONNECTION_BYTES = 48 * 1024  # Task, parser and buffers of an open connection.
DESCRIPTOR_SHARE = 0.5  # The rest is for store, workers, peers and files.
OWN_DESCRIPTORS = 128  # What they take at least: the store's connections and files.
UNLIMITED_DESCRIPTORS = 65_536  # Assumed where the system states no limit.
MIN_CONNECTIONS = 16
# A cell of 100 instances opens one connection for each, and again after a silence.
PEER_DESCRIPTOR_SHARE = 0.25
MIN_PEER_CONNECTIONS = 64
# Of the memory, for messages of peers: the largest message on the smallest machine.
PEER_SHARE = 0.1
# Received bytes that the kernel holds for a connection; it allows twice this value
# including its own overhead. At a round trip of 50 ms, this still fills 5 Mbit/s.
RECEIVE_BUFFER_BYTES = 32 * 1024

CLOSED_CONNECTIONS = Counter(
    "lacewinghold_client_connections_closed",
    "Connections of clients that met a limit, by the limit.",
    ["reason"],
    registry=None,
)
OPEN_CONNECTIONS = Gauge(
    "lacewinghold_client_connections",
    "Open connections of clients at all HTTP listeners.",
    registry=None,
)
HELD_BYTES = Gauge(
    "lacewinghold_client_held_bytes",
    "Memory charged for requests that are being received or served.",
    registry=None,
)
CLIENT_COLLECTORS = (CLOSED_CONNECTIONS, OPEN_CONNECTIONS, HELD_BYTES)


class Phase(IntEnum):
    """What a connection is doing."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    SERVING = 3
    LINGERING = 4


class Reason(Enum):
    """Why a connection is closed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_TIME = "head time"
    BODY_RATE = "body rate"
    CHUNK_OVERHEAD = "chunk overhead"
    PROTOCOL = "protocol"
    SEND_TIME = "send time"


class Client(ABC):
    """One connection as the limits see it.

    :param opened_at: When it was opened, in seconds of the event loop's clock.
    """

    def __init__(self, opened_at: float) -> None:
        self.phase = Phase.IDLE
        self.phase_since = opened_at
        self.charged = 0
        self.requests = 0
        self.cut: Reason | None = None

    @abstractmethod
    def close_for(self, reason: Reason) -> None:
        """Stops reading; the connection answers 503 if it can, and closes."""

    def enter(self, phase: Phase, now: float) -> None:
        """Changes the phase."""
        self.phase = phase
        self.phase_since = now


class BodyProgress:
    """Decides whether a body is sent fast enough and with little overhead.

    :param started_at: When the head was complete.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.last_at = started_at
        self.content = 0
        self.wire = 0

    def receive(self, wire: int, now: float) -> None:
        """Takes note of received bytes, with the framing of chunks."""
        self.wire += wire
        self.last_at = now

    def deadline(self) -> float:
        """Returns when the next bytes must have been received."""
        earned = self.wire / MIN_BODY_BYTES_PER_S
        return min(self.last_at, self.started_at + earned) + BODY_STALL_S

    def excuse(self, seconds: float) -> None:
        """Allows more time, since the process itself was late."""
        self.started_at += seconds
        self.last_at += seconds

    def within_overhead(self, buffered: int) -> bool:
        """Returns whether the framing is in proportion to the content.

        :param buffered: Received bytes that have not been decoded.
        """
        overhead = self.wire - self.content - buffered
        allowed = CHUNK_OVERHEAD_BYTES + CHUNK_OVERHEAD_FACTOR * self.content
        return overhead <= allowed


class Capacity(Struct, frozen=True):
    """What all clients may use together.

    :param held_bytes: Memory for requests that are received or served.
    :param connections: Number of open connections.
    :param peer_connections: Number of open connections at the peers' listener.
    :param peer_bytes: Memory for received messages of peers.
    """

    held_bytes: int
    connections: int
    peer_connections: int = MIN_PEER_CONNECTIONS
    peer_bytes: int = int(DEFAULT_MEMORY_MB * MIB * PEER_SHARE)


def derive_capacity(memory_mb: float, max_descriptors: int) -> Capacity:
    """Returns the capacity for a machine; 0 stands for an unknown figure."""
    memory = (memory_mb or DEFAULT_MEMORY_MB) * MIB
    descriptors = max_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        descriptors = UNLIMITED_DESCRIPTORS
    connections = min(
        int(descriptors * DESCRIPTOR_SHARE),
        descriptors - OWN_DESCRIPTORS,
        int(memory * CONNECTION_SHARE / CONNECTION_BYTES),
    )
    held = max(int(memory * BODY_SHARE), 2 * BODY_COST * MAX_BODY_BYTES)
    peers = max(int(descriptors * PEER_DESCRIPTOR_SHARE), MIN_PEER_CONNECTIONS)
    peer_bytes = int(memory * PEER_SHARE)
    return Capacity(held, max(connections, MIN_CONNECTIONS), peers, peer_bytes)


class ClientLimits:
    """Keeps all connections of a process within a capacity.

    :param capacity: The limits over all connections.
    """

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.clients: set[Client] = set()
        self.held = 0

    def admit(self, client: Client, now: float) -> bool:
        """Adds a connection; at the limit, closes another one for it.

        :returns: Whether the connection may stay.
        """
        if self.open_connections() >= self.capacity.connections:
            victim = self.first_to_disconnect(now)
            if victim is None:
                CLOSED_CONNECTIONS.labels(Reason.CONNECTIONS.value).inc()
                return False
            self.close(victim, Reason.CONNECTIONS)
        self.clients.add(client)
        OPEN_CONNECTIONS.set(len(self.clients))
        return True

    def open_connections(self) -> int:
        """Returns the number of connections that are not being closed for a limit."""
        return sum(client.cut is not Reason.CONNECTIONS for client in self.clients)

    def remove(self, client: Client) -> None:
        """Removes a closed connection."""
        self.release(client)
        self.clients.discard(client)
        OPEN_CONNECTIONS.set(len(self.clients))

    def charge(self, client: Client, size: int, now: float) -> bool:
        """Charges memory to a connection; closes others while the limit is exceeded.

        :returns: Whether the connection itself may go on.
        """
        if client.cut is not None:
            return False
        client.charged += size
        self.held += size
        while self.held > self.capacity.held_bytes:
            victim = self.first_to_refuse(now)
            if victim is None:
                victim = client
            self.close(victim, Reason.MEMORY)
            if victim is client:
                return False
        HELD_BYTES.set(self.held)
        return True

    def release(self, client: Client) -> None:
        """Returns what was charged to a connection."""
        self.held -= client.charged
        client.charged = 0
        HELD_BYTES.set(self.held)

    def close(self, client: Client, reason: Reason) -> None:
        """Closes a connection; its task frees the memory when it runs next."""
        self.release(client)
        client.cut = reason
        CLOSED_CONNECTIONS.labels(reason.value).inc()
        client.close_for(reason)

    def first_to_refuse(self, now: float) -> Client | None:
        """Returns the unfinished request that has held most memory for longest.

        Bytes times seconds keep small requests and new ones; requests that are being
        served are never interrupted, since a job of theirs may be stored.
        """
        found = None
        most = -1.0
        for client in self.clients:
            if client.cut is not None or client.phase is not Phase.BODY:
                continue
            held = client.charged * (now - client.phase_since)
            if client.charged and held > most:
                found, most = client, held
        return found

    def first_to_disconnect(self, now: float) -> Client | None:
        """Returns the connection whose loss costs least.

        In this order, and the longest in its phase first: answered ones that only
        wait for the client to close; idle beyond the stated time; unfinished requests
        and connections without any request; idle ones.
        """
        found = None
        best = (-1, -1.0)
        for client in self.clients:
            if client.phase is Phase.SERVING or client.cut is Reason.CONNECTIONS:
                continue
            age = now - client.phase_since
            rank = 0
            if client.phase is Phase.LINGERING:
                rank = 3
            elif client.phase is Phase.IDLE and age > IDLE_TIMEOUT_S:
                rank = 2
            elif client.phase is not Phase.IDLE or not client.requests:
                rank = 1
            if (rank, age) > best:
                found, best = client, (rank, age)
        return found
