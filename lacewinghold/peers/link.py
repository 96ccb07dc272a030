"""The sending side of a link: a queue, heartbeats and silence detection."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.schema.generated.messages import Heartbeat, MessageKind
from lacewinghold.util.backoff import Backoff
from lacewinghold.util.codec import pack

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId
    from lacewinghold.peers.links import PeerLinks

logger = structlog.get_logger(__name__)
MAX_QUEUED_MESSAGES = 1024
MAX_QUEUED_BYTES = 32 * 1024 * 1024
HEARTBEAT_INTERVAL_S = 2.0
SILENCE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 30.0
REPLACE_FIRST_DELAY_S = 0.2
REPLACE_MAX_DELAY_S = 10.0


class OutgoingMessage(Struct, frozen=True):
    """A queued message.

    :param correlation: Correlation number of the request to fail if the message
        cannot be sent, or 0 for none.
    """

    kind: MessageKind
    message: bytes
    correlation: int = 0


class PeerLink:
    """The sending side of the link to one peer.

    A link in use sends numbered heartbeats, which the peer echoes. If no echo arrives
    for ``SILENCE_TIMEOUT_S``, the connection is replaced: a half-open connection may
    lose every message although a new one would work. Time that this process lost
    to its own lag does not count, since echoes may have arrived during it.
    """

    def __init__(self, links: PeerLinks, peer: InstanceId) -> None:
        self.links = links
        self.peer = peer
        self.queue: deque[OutgoingMessage] = deque()
        self.queued_bytes = 0
        self.wake_event = anyio.Event()
        self.heartbeat_number = links.calls.last_number
        self.echoed_number = self.heartbeat_number
        self.silent_since = anyio.current_time()
        self.last_used_at = anyio.current_time()
        self.last_heartbeat_at = anyio.current_time()
        self.replacements = 0
        self.next_replacement_at = 0.0
        self.bytes_sent: Counter[MessageKind] = Counter()
        self.backoff = Backoff(REPLACE_FIRST_DELAY_S, REPLACE_MAX_DELAY_S, links.rng)

    def enqueue(self, outgoing: OutgoingMessage) -> Result[None, Failure]:
        """Queues a message, or returns ``OVERLOADED`` if the queue is full."""
        full = len(self.queue) >= MAX_QUEUED_MESSAGES
        if full or self.queued_bytes + len(outgoing.message) > MAX_QUEUED_BYTES:
            detail = f"send queue to {self.peer} is full"
            return Err(Failure(ErrorKind.OVERLOADED, detail))
        self.queue.append(outgoing)
        self.queued_bytes += len(outgoing.message)
        if outgoing.kind is not MessageKind.HEARTBEAT:
            self.last_used_at = anyio.current_time()
        self.wake_event.set()
        return Ok(None)

    async def run(self) -> None:
        """Sends messages and heartbeats until the peer leaves or the link is idle."""
        try:
            while self.is_needed():
                self.wake_event = anyio.Event()
                await self.send_queued()
                await self.check_liveness()
                with anyio.move_on_after(self.until_heartbeat_s()):
                    await self.wake_event.wait()
        finally:
            self.links.close_link(self)

    def is_needed(self) -> bool:
        """Returns whether the link must stay open."""
        if self.queue:
            return True
        if anyio.current_time() - self.last_used_at > IDLE_TIMEOUT_S:
            return False
        return self.links.address(self.peer) is not None

    def until_heartbeat_s(self) -> float:
        """Returns the seconds until the next heartbeat."""
        return max(
            0.0, self.last_heartbeat_at + HEARTBEAT_INTERVAL_S - anyio.current_time()
        )

    async def send_queued(self) -> None:
        """Sends the queued messages in order."""
        while self.queue:
            outgoing = self.queue.popleft()
            self.queued_bytes -= len(outgoing.message)
            sent = await self.send(outgoing)
            if isinstance(sent, Err) and outgoing.correlation:
                self.links.calls.fail(outgoing.correlation, sent.err_value)

    async def send(self, outgoing: OutgoingMessage) -> Result[None, Failure]:
        """Sends one message and counts its bytes."""
        address = self.links.address(self.peer)
        if address is None:
            return Err(
                Failure(ErrorKind.UNREACHABLE, f"no known address for {self.peer}")
            )
        size = len(outgoing.message)
        self.bytes_sent[outgoing.kind] += size
        self.links.count_bytes(self.peer, outgoing.kind, size)
        return await self.links.transport.send(self.peer, address, outgoing.message)

    async def check_liveness(self) -> None:
        """Sends a heartbeat when one is due, and replaces a silent connection."""
        if self.until_heartbeat_s() > 0:
            return
        now = anyio.current_time()
        waiting = self.heartbeat_number > self.echoed_number
        silent = now > self.links.lag.deadline(self.silent_since, SILENCE_TIMEOUT_S)
        if waiting and silent and now >= self.next_replacement_at:
            self.replacements += 1
            self.next_replacement_at = (
                now + self.backoff.next_delay_s() + SILENCE_TIMEOUT_S
            )
            logger.info(
                Event.SILENT_LINK_REPLACED, peer=self.peer, count=self.replacements
            )
            await self.links.transport.close(self.peer)
        if not waiting:
            self.silent_since = now
        self.last_heartbeat_at = now
        self.heartbeat_number = self.links.calls.next_number()
        self.links.send_heartbeat(self.peer, number=self.heartbeat_number, echo=0)

    def record_echo(self, echo: int) -> None:
        """Records that the peer has echoed a heartbeat of this link.

        Echoes of the heartbeats of an earlier process at this address are ignored.
        """
        if not self.echoed_number < echo <= self.heartbeat_number:
            return
        silent = self.replacements and self.backoff.attempt
        self.echoed_number = echo
        self.silent_since = anyio.current_time()
        if echo == self.heartbeat_number:
            self.links.on_round_trip(self.silent_since - self.last_heartbeat_at)
        self.backoff.reset()
        if silent:
            self.links.on_reconnect(self.peer)

    def drop_queue(self) -> None:
        """Fails the queued requests, which were never sent."""
        while self.queue:
            outgoing = self.queue.popleft()
            if outgoing.correlation:
                detail = f"link to {self.peer} closed before the request was sent"
                failure = Failure(ErrorKind.UNREACHABLE, detail)
                self.links.calls.fail(outgoing.correlation, failure)


def pack_heartbeat(number: int, echo: int, revision: int, *, leaving: bool) -> bytes:
    """Returns the encoded body of a heartbeat.

    :param number: Number for the peer to echo; 0 if this is only an echo.
    :param echo: Number of the peer's heartbeat that this echoes, or 0.
    :param revision: Revision of the document at this instance.
    :param leaving: Whether this instance is shutting down.
    """
    return pack(Heartbeat(number, echo, revision, leaving))
