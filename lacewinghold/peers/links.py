"""Requests and replies between entry instances."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import structlog
import zstandard
from msgspec import DecodeError
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.peers.link import OutgoingMessage, PeerLink, pack_heartbeat
from lacewinghold.peers.pending import PendingCall, PendingCalls
from lacewinghold.schema.generated.messages import (
    Envelope,
    FailureBody,
    Heartbeat,
    MessageKind,
)
from lacewinghold.util.codec import decompress, pack, unpack
from lacewinghold.util.containment import contained
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from lacewinghold.peers.base import PeerTransport
    from lacewinghold.schema.base import PackedStruct

    Handler = Callable[[InstanceId, bytes], Awaitable[Result[PackedStruct, Failure]]]
    AddressBook = Callable[[InstanceId], str | None]

logger = structlog.get_logger(__name__)
MESSAGE_VERSION = 2
PLAIN_VERSION = 1
COMPRESSED_VERSION = 2
NO_REPLY = 0
NO_RECIPIENT = InstanceId("")
REPLY_KINDS = (MessageKind.REPLY, MessageKind.FAILURE)
MIN_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 3
MAX_ACTIVE_REQUESTS = 4096


class PeerLinks:
    """Sends requests to other entry instances and handles theirs.

    A message is sent in the lowest version that can represent it, so that instances
    of the previous program version understand every message without newer features.

    :param instance: This instance.
    :param addresses: Returns the address of a peer, or ``None`` if it is unknown.
    :param paid: Returns whether traffic to a peer is charged for.
    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.

    ``on_round_trip`` is called with the seconds from a heartbeat to its echo. They
    include the time that messages wait at both ends before they are handled.
    """

    def __init__(
        self,
        instance: InstanceId,
        transport: PeerTransport,
        addresses: AddressBook,
        paid: Callable[[InstanceId], bool] = lambda peer: False,
        rng: random.Random | None = None,
        lag: LagMonitor | None = None,
    ) -> None:
        self.instance = instance
        self.transport = transport
        self.addresses = addresses
        self.paid = paid
        self.rng = rng or random.Random(0)
        self.lag = lag or LagMonitor()
        self.handlers: dict[MessageKind, Handler] = {}
        self.calls = PendingCalls(instance)
        self.links: dict[InstanceId, PeerLink] = {}
        self.versions: dict[InstanceId, int] = {}
        self.narrow = False
        self.narrow_peers: set[InstanceId] = set()
        self.active_requests = 0
        self.stopped = False
        self.leaving = False
        self.bytes_sent: Counter[MessageKind] = Counter()
        self.paid_bytes_sent: Counter[MessageKind] = Counter()
        self.learned_addresses: dict[InstanceId, str] = {}
        self.tasks: TaskGroup | None = None
        self.get_document_revision: Callable[[], int] = lambda: 0
        self.on_document_revision: Callable[[int], object] = lambda revision: None
        self.on_round_trip: Callable[[float], object] = lambda seconds: None
        self.on_reconnect: Callable[[InstanceId], object] = lambda peer: None

    def on(self, kind: MessageKind, handler: Handler) -> None:
        """Registers the handler of a message kind."""
        self.handlers[kind] = handler

    def address(self, peer: InstanceId) -> str | None:
        """Returns the address of a peer, or ``None`` if it is unknown."""
        return self.addresses(peer) or self.learned_addresses.get(peer)

    def process_at(self, peer: InstanceId) -> InstanceId | None:
        """Returns a peer's id, or ``None`` if the peer is only known by its address."""
        return None if self.address(peer) == peer else peer

    async def run(self) -> None:
        """Receives messages and serves requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.transport.run)
            for link in list(self.links.values()):
                tasks.start_soon(link.run)
            try:
                while True:
                    data = await self.transport.receive()
                    with contained("message of a peer"):
                        self.dispatch(data, tasks)
            finally:
                self.stopped = True

    def dispatch(self, data: bytes | bytearray, tasks: TaskGroup) -> None:
        """Decodes a message and passes it to its handler or to the waiting caller."""
        try:
            envelope = decode_envelope(data, self.transport.max_message_bytes)
            self.deliver(envelope, tasks)
        except (DecodeError, zstandard.ZstdError) as error:
            logger.warning(Event.DAMAGED_MESSAGE, detail=str(error))

    def deliver(self, envelope: Envelope, tasks: TaskGroup) -> None:
        """Passes a message to its handler or to the waiting caller.

        :raises DecodeError: If the body of a control message is malformed.
        """
        if self.address(envelope.sender) is not None:
            self.transport.confirm_sender()
            self.versions[envelope.sender] = envelope.highest
            if envelope.narrow:
                self.narrow_peers.add(envelope.sender)
        self.on_document_revision(envelope.document_revision)
        if not self.calls.check_recipient(envelope):
            self.refuse_request(envelope)
            return
        if envelope.kind is MessageKind.HEARTBEAT:
            self.handle_heartbeat(envelope)
            return
        if envelope.kind not in REPLY_KINDS:
            tasks.start_soon(self.serve_request, envelope)
            return
        self.calls.settle(envelope, to_result(envelope))

    def refuse_request(self, envelope: Envelope) -> None:
        """Answers a request that is for another process, which does not get it."""
        if envelope.kind in REPLY_KINDS or envelope.correlation == NO_REPLY:
            return
        detail = f"{envelope.recipient} is gone; {self.instance} has its address"
        self.reply(envelope, Err(Failure(ErrorKind.UNREACHABLE, detail)))

    def handle_heartbeat(self, envelope: Envelope) -> None:
        """Records the echo in a heartbeat, and echoes its number."""
        heartbeat = unpack(envelope.body, Heartbeat)
        link = self.links.get(envelope.sender)
        if heartbeat.echo and link is not None:
            link.record_echo(heartbeat.echo)
        if heartbeat.number and self.address(envelope.sender) is not None:
            self.send_heartbeat(envelope.sender, number=0, echo=heartbeat.number)

    def send_heartbeat(self, peer: InstanceId, number: int, echo: int) -> None:
        """Queues a heartbeat or an echo."""
        body = pack_heartbeat(
            number, echo, self.get_document_revision(), leaving=self.leaving
        )
        self.queue(peer, MessageKind.HEARTBEAT, NO_REPLY, body)

    async def serve_request(self, envelope: Envelope) -> None:
        """Runs the handler of a request and sends its reply."""
        self.active_requests += 1
        try:
            result = await self.run_handler(envelope)
        finally:
            self.active_requests -= 1
        if envelope.correlation != NO_REPLY:
            self.reply(envelope, result)

    def reply(self, envelope: Envelope, result: Result[PackedStruct, Failure]) -> None:
        """Queues the reply to a request."""
        if isinstance(result, Ok):
            kind, body = MessageKind.REPLY, pack(result.ok_value)
        else:
            failure = result.err_value
            kind = MessageKind.FAILURE
            body = pack(
                FailureBody(
                    failure.kind,
                    failure.detail,
                    failure.field,
                    failure.retry_after_s or 0.0,
                )
            )
        self.queue(envelope.sender, kind, envelope.correlation, body)

    async def run_handler(self, envelope: Envelope) -> Result[PackedStruct, Failure]:
        """Runs the handler of a request, if its version and kind are supported."""
        handler = self.handlers.get(envelope.kind)
        if envelope.version > MESSAGE_VERSION or handler is None:
            detail = f"version {envelope.version} {envelope.kind}"
            return Err(Failure(ErrorKind.UNSUPPORTED_VERSION, detail))
        if self.active_requests > MAX_ACTIVE_REQUESTS:
            return Err(
                Failure(ErrorKind.OVERLOADED, "too many concurrent requests from peers")
            )
        with contained("request of a peer", kind=envelope.kind, peer=envelope.sender):
            try:
                return await handler(envelope.sender, envelope.body)
            except DecodeError as error:
                logger.warning(Event.DAMAGED_MESSAGE, detail=str(error))
                detail = f"malformed body of {envelope.kind} message"
                return Err(Failure(ErrorKind.INVALID, detail))
        # The handler may have taken effect before it failed.
        detail = f"unexpected error while handling {envelope.kind} message"
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))

    def queue(
        self, peer: InstanceId, kind: MessageKind, correlation: int, body: bytes
    ) -> Result[None, Failure]:
        """Queues one message on the link to a peer."""
        if self.stopped or self.address(peer) is None:
            return Err(
                Failure(
                    ErrorKind.UNREACHABLE,
                    f"no known address for {peer}, or links stopped",
                )
            )
        envelope = Envelope(
            PLAIN_VERSION,
            kind,
            self.instance,
            correlation,
            body,
            self.get_document_revision(),
            False,
            MESSAGE_VERSION,
            self.narrow,
            self.process_at(peer) or NO_RECIPIENT,
        )
        self.compress(peer, envelope)
        request = kind not in REPLY_KINDS
        outgoing = OutgoingMessage(
            kind, pack(envelope), correlation if request else NO_REPLY
        )
        return self.link(peer).enqueue(outgoing)

    def compress(self, peer: InstanceId, envelope: Envelope) -> None:
        """Compresses a large body for a paid or slow link, if the peer supports it."""
        scarce = self.narrow or peer in self.narrow_peers or self.paid(peer)
        if len(envelope.body) < MIN_COMPRESSED_BYTES or not scarce:
            return
        if self.versions.get(peer, PLAIN_VERSION) < COMPRESSED_VERSION:
            return
        packed = zstandard.compress(envelope.body, COMPRESSION_LEVEL)
        if len(packed) >= len(envelope.body):
            return
        envelope.body = packed
        envelope.compressed = True
        envelope.version = COMPRESSED_VERSION

    def link(self, peer: InstanceId) -> PeerLink:
        """Returns the link to a peer, opening one if needed."""
        link = self.links.get(peer)
        if link is None:
            link = PeerLink(self, peer)
            self.links[peer] = link
            if self.tasks is not None:
                self.tasks.start_soon(link.run)
        return link

    def close_link(self, link: PeerLink) -> None:
        """Closes a link that is idle or whose peer has left."""
        link.drop_queue()
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
        if self.tasks is not None and not self.stopped:
            self.tasks.start_soon(self.transport.close, link.peer)
        if self.addresses(link.peer) is None:
            self.learned_addresses.pop(link.peer, None)
            self.versions.pop(link.peer, None)
            self.narrow_peers.discard(link.peer)

    def count_bytes(self, peer: InstanceId, kind: MessageKind, size: int) -> None:
        """Counts sent bytes by message kind, those of paid links also separately."""
        self.bytes_sent[kind] += size
        if self.paid(peer):
            self.paid_bytes_sent[kind] += size

    async def notify(
        self, peer: InstanceId, kind: MessageKind, body: PackedStruct
    ) -> Result[None, Failure]:
        """Sends a message without a reply; delivery is not guaranteed."""
        return self.queue(peer, kind, NO_REPLY, pack(body))

    async def call(
        self,
        peer: InstanceId,
        kind: MessageKind,
        body: PackedStruct,
        timeout_s: float = math.inf,
    ) -> Result[bytes, Failure]:
        """Sends a request and waits for its reply.

        :returns: The body of the reply, or a failure: ``UNREACHABLE`` or
            ``OVERLOADED`` if the request certainly was not sent,
            ``OUTCOME_UNKNOWN`` if no reply arrived in time, else the handler's
            failure.
        """
        call = self.calls.open(kind, self.process_at(peer))
        try:
            queued = self.queue(peer, kind, call.number, pack(body))
            if isinstance(queued, Err):
                return Err(queued.err_value)
            await self.wait_for_reply(call, timeout_s)
        finally:
            self.calls.close(call)
        if call.result is not None:
            return call.result
        return Err(
            Failure(
                ErrorKind.OUTCOME_UNKNOWN, f"no reply from {peer} before the time-out"
            )
        )

    async def wait_for_reply(self, call: PendingCall, timeout_s: float) -> None:
        """Waits for the reply to a call; own lag extends the time-out."""
        started_at = anyio.current_time()
        deadline = started_at + timeout_s
        while not call.settled.is_set() and anyio.current_time() < deadline:
            with anyio.CancelScope(deadline=deadline):
                await call.settled.wait()
            deadline = self.lag.deadline(started_at, timeout_s)


def decode_envelope(data: bytes | bytearray, max_body_bytes: int) -> Envelope:
    """Decodes a message and decompresses its body.

    :param max_body_bytes: Maximum size of the decompressed body.
    :raises DecodeError: If the message is malformed.
    :raises zstandard.ZstdError: If the body cannot be decompressed.
    """
    envelope = unpack(data, Envelope)
    if envelope.compressed:
        envelope.body = decompress(envelope.body, max_body_bytes)
    return envelope


def to_result(envelope: Envelope) -> Result[bytes, Failure]:
    """Returns the result that a reply carries."""
    if envelope.kind is MessageKind.REPLY:
        return Ok(envelope.body)
    body = unpack(envelope.body, FailureBody)
    return Err(
        Failure(
            ErrorKind(body.kind), body.detail, body.path, body.retry_after_s or None
        )
    )
