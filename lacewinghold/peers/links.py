"""Requests and replies between entry instances."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import DecodeError
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.messages import (
    Envelope,
    FailureBody,
    MessageKind,
)
from lacewinghold.util.codec import pack, unpack

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import InstanceId
    from lacewinghold.peers.base import PeerTransport
    from lacewinghold.schema.base import PackedStruct

    Handler = Callable[[InstanceId, bytes], Awaitable[Result[PackedStruct, Failure]]]
    AddressBook = Callable[[InstanceId], str | None]

logger = structlog.get_logger(__name__)
MESSAGE_VERSION = 1
NO_REPLY = 0


class PeerLinks:
    """Calls handlers on other entry instances.

    :param instance: This instance.
    :param addresses: Finds the address of a peer.
    """

    def __init__(
        self, instance: InstanceId, transport: PeerTransport, addresses: AddressBook
    ) -> None:
        self.instance = instance
        self.transport = transport
        self.addresses = addresses
        self.handlers: dict[MessageKind, Handler] = {}
        self.next_correlation = 1
        self.replies: dict[int, Result[bytes, Failure]] = {}
        self.waiting: dict[int, anyio.Event] = {}
        self.bytes_sent: Counter[MessageKind] = Counter()

    def on(self, kind: MessageKind, handler: Handler) -> None:
        """Registers the handler of a kind of request."""
        self.handlers[kind] = handler

    async def run(self) -> None:
        """Receives and answers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.transport.run)
            while True:
                data = await self.transport.receive()
                self.dispatch(data, tasks)

    def dispatch(self, data: bytes, tasks: TaskGroup) -> None:
        """Hands a message to whoever waits for it or handles it."""
        try:
            envelope = unpack(data, Envelope)
        except DecodeError as error:
            logger.warning("damaged message", detail=str(error))
            return
        if envelope.kind not in (MessageKind.REPLY, MessageKind.FAILURE):
            tasks.start_soon(self.answer, envelope)
            return
        event = self.waiting.get(envelope.correlation)
        if event is None:
            return
        self.replies[envelope.correlation] = to_result(envelope)
        event.set()

    async def answer(self, envelope: Envelope) -> None:
        """Runs the handler of a request and sends its reply."""
        handler = self.handlers.get(envelope.kind)
        result: Result[PackedStruct, Failure]
        if envelope.version > MESSAGE_VERSION or handler is None:
            detail = f"version {envelope.version} {envelope.kind}"
            result = Err(Failure(ErrorKind.UNSUPPORTED_VERSION, detail))
        else:
            result = await handler(envelope.sender, envelope.body)
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
        if envelope.correlation != NO_REPLY:
            await self.send(envelope.sender, kind, envelope.correlation, body)

    async def send(
        self, peer: InstanceId, kind: MessageKind, correlation: int, body: bytes
    ) -> Result[None, Failure]:
        """Sends one message."""
        address = self.addresses(peer)
        if address is None:
            return Err(Failure(ErrorKind.UNREACHABLE, f"no address of {peer}"))
        envelope = Envelope(MESSAGE_VERSION, kind, self.instance, correlation, body)
        message = pack(envelope)
        self.bytes_sent[kind] += len(message)
        return await self.transport.send(peer, address, message)

    async def notify(
        self, peer: InstanceId, kind: MessageKind, body: PackedStruct
    ) -> Result[None, Failure]:
        """Sends a message that gets no reply; it may be lost."""
        return await self.send(peer, kind, NO_REPLY, pack(body))

    async def call(
        self,
        peer: InstanceId,
        kind: MessageKind,
        body: PackedStruct,
        timeout_s: float = math.inf,
    ) -> Result[bytes, Failure]:
        """Sends a request and waits for its reply.

        :returns: The body of the reply, or a failure: ``UNREACHABLE`` if the
            request surely was not sent, ``OUTCOME_UNKNOWN`` if no reply came in
            time, else what the handler failed with.
        """
        correlation = self.next_correlation
        self.next_correlation += 1
        event = anyio.Event()
        self.waiting[correlation] = event
        try:
            sent = await self.send(peer, kind, correlation, pack(body))
            if isinstance(sent, Err):
                return Err(sent.err_value)
            with anyio.move_on_after(timeout_s):
                await event.wait()
                return self.replies.pop(correlation)
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, f"no reply from {peer}"))
        finally:
            del self.waiting[correlation]
            self.replies.pop(correlation, None)


def to_result(envelope: Envelope) -> Result[bytes, Failure]:
    """Returns what a reply says."""
    if envelope.kind is MessageKind.REPLY:
        return Ok(envelope.body)
    body = unpack(envelope.body, FailureBody)
    return Err(
        Failure(
            ErrorKind(body.kind), body.detail, body.path, body.retry_after_s or None
        )
    )
