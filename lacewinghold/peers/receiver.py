"""Receives messages from peers, in the wire format of nng's pull socket.

nng keeps the unfinished messages of all senders, without a limit over its connections.
Here all connections share the limits of ``PeerLimits``. Format: "TCP Mapping for
Scalability Protocols" (https://nanomsg.org/rfcs/sp-tcp-v1.html).
"""

from __future__ import annotations

import contextlib
import socket
import ssl
from typing import TYPE_CHECKING

import structlog
import trio

from lacewinghold.events import Event
from lacewinghold.peers.base import MAX_MESSAGE_BYTES
from lacewinghold.peers.limits import Inbound, PeerLimits
from lacewinghold.util.containment import contained
from lacewinghold.util.tls import make_server_context

if TYPE_CHECKING:
    from lacewinghold.schema.generated.settings import Tls

logger = structlog.get_logger(__name__)
PUSH_GREETING = b"\0SP\0\0\x50\0\0"
PULL_GREETING = b"\0SP\0\0\x51\0\0"
SIZE_BYTES = 8
READ_BYTES = 64 * 1024
# Received bytes that the kernel holds; it allows twice this value.
STRANGER_BUFFER_BYTES = 64 * 1024
# A process that is late must not block its peers' sending at once.
KNOWN_BUFFER_BYTES = 1024 * 1024
GREETING_TIMEOUT_S = 10.0
# A link in use sends a heartbeat each 2 s.
SILENCE_TIMEOUT_S = 60.0
ACCEPT_RETRY_S = 0.1  # After an error such as a lack of descriptors.
WORK = "connection of a peer"
GONE_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class ProtocolError(Exception):
    """Raised when a connection carries something else than messages of a peer."""


def make_peer_context(tls: Tls) -> ssl.SSLContext:
    """Returns a TLS context for a listener that requires certificates."""
    context = make_server_context(tls)
    context.load_verify_locations(tls.authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def max_message_bytes(limits: PeerLimits) -> int:
    """Returns the size of the largest message within the limits."""
    return min(MAX_MESSAGE_BYTES, limits.held_bytes - SIZE_BYTES)


class PeerConnection(Inbound):
    """One connection from a peer, which only receives.

    :param plain: The accepted socket.
    """

    def __init__(self, plain: trio.socket.SocketType, limits: PeerLimits) -> None:
        super().__init__(trio.current_time())
        self.plain = plain
        self.limits = limits
        self.buffer = bytearray()
        self.scope = trio.CancelScope()
        self.stream: trio.SocketStream | trio.SSLStream[trio.SocketStream] | None = None

    def cut_off(self) -> None:
        self.plain.close()
        self.buffer = bytearray()
        self.scope.cancel()

    def set_buffer(self, size: int) -> None:
        """Sets the size of the kernel's buffer, unless the connection is closed."""
        with contextlib.suppress(OSError):
            self.plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    async def run(
        self,
        context: ssl.SSLContext | None,
        messages: trio.MemorySendChannel[tuple[PeerConnection, bytearray]],
    ) -> None:
        """Passes messages on until the connection ends."""
        with self.scope:
            try:
                await self.receive_messages(context, messages)
            except ProtocolError as error:
                logger.info(Event.PEER_REFUSED, detail=str(error))
            except GONE_ERRORS:
                pass
            except trio.TooSlowError:
                pass
        self.limits.remove(self)
        self.plain.close()

    async def receive_messages(
        self,
        context: ssl.SSLContext | None,
        messages: trio.MemorySendChannel[tuple[PeerConnection, bytearray]],
    ) -> None:
        """Exchanges greetings, then passes messages on.

        :raises ProtocolError: If the other end is no peer.
        :raises trio.TooSlowError: If it sends nothing for too long.
        """
        stream = trio.SocketStream(self.plain)
        self.stream = stream
        if context is not None:
            self.stream = trio.SSLStream(
                stream, context, server_side=True, https_compatible=True
            )
        with trio.fail_after(GREETING_TIMEOUT_S):
            await self.stream.send_all(PULL_GREETING)
            await self.read_until(len(PUSH_GREETING))
        if self.take(len(PUSH_GREETING)) != PUSH_GREETING:
            raise ProtocolError("no greeting of a peer")
        while True:
            await self.read_until(SIZE_BYTES)
            size = int.from_bytes(self.buffer[:SIZE_BYTES])
            if size > max_message_bytes(self.limits):
                raise ProtocolError(f"a message of {size} bytes")
            self.take(SIZE_BYTES)
            await self.read_until(size)
            if len(self.buffer) == size:
                message, self.buffer = self.buffer, bytearray()
            else:
                message = self.buffer[:size]
                del self.buffer[:size]
            await messages.send((self, message))
            del message

    def take(self, count: int) -> bytearray:
        """Removes received bytes that need no handling, and returns them."""
        taken = self.buffer[:count]
        del self.buffer[:count]
        self.limits.release(self, count)
        return taken

    async def read_until(self, count: int) -> None:
        """Reads until a number of bytes is in the buffer.

        :raises ProtocolError: If the connection ends.
        :raises trio.TooSlowError: If nothing is received for too long.
        """
        assert self.stream is not None
        while len(self.buffer) < count:
            most = min(READ_BYTES, max(count - len(self.buffer), 4096))
            with trio.fail_after(SILENCE_TIMEOUT_S):
                data = await self.stream.receive_some(most)
            if not data:
                raise trio.BrokenResourceError
            self.buffer += data
            if not self.limits.charge(self, len(data), trio.current_time()):
                raise trio.ClosedResourceError
            self.active_at = trio.current_time()


class PeerReceiver:
    """Accepts the connections of peers and receives their messages.

    :param listen: IP address and port to listen on.
    :param tls: Certificate files, or ``None`` for plaintext.
    """

    def __init__(self, listen: str, tls: Tls | None, limits: PeerLimits) -> None:
        self.listen = listen
        self.context = None if tls is None else make_peer_context(tls)
        self.limits = limits
        self.sender, self.messages = trio.open_memory_channel[
            tuple[PeerConnection, bytearray]
        ](0)
        self.last: tuple[PeerConnection, int] | None = None

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        host, _, port = self.listen.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"))
        listening = listeners[0].socket
        try:
            async with trio.open_nursery() as connections:
                while True:
                    await self.accept(listening, connections)
        finally:
            listening.close()

    async def accept(
        self, listening: trio.socket.SocketType, connections: trio.Nursery
    ) -> None:
        """Accepts one connection, if the limits allow it."""
        try:
            plain, _ = await listening.accept()
        except OSError as error:
            logger.warning(Event.PEER_REFUSED, detail=str(error))
            await trio.sleep(ACCEPT_RETRY_S)
            return
        connection = PeerConnection(plain, self.limits)
        if not self.limits.admit(connection):
            plain.close()
            return
        connection.set_buffer(STRANGER_BUFFER_BYTES)
        connections.start_soon(self.serve, connection)

    async def serve(self, connection: PeerConnection) -> None:
        """Serves one connection; an error ends this connection only."""
        try:
            with contained(WORK):
                await connection.run(self.context, self.sender)
        finally:
            self.limits.remove(connection)
            connection.plain.close()

    async def receive(self) -> bytearray:
        """Returns the next message; the one before has been handled then."""
        if self.last is not None:
            connection, size = self.last
            self.last = None
            self.limits.release(connection, size)
        connection, message = await self.messages.receive()
        self.last = connection, len(message)
        return message

    def confirm_sender(self) -> None:
        """Records that the last message came from a known instance."""
        if self.last is not None and not self.last[0].known:
            self.last[0].known = True
            self.last[0].set_buffer(KNOWN_BUFFER_BYTES)
