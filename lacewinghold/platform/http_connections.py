"""HTTP/1.1 connections to one address, and the pool that reuses them."""

from __future__ import annotations

import select
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio
import httptools
from anyio.abc import SocketAttribute
from msgspec import Struct

from lacewinghold.util.transfer import DISCARDED_BYTES, Transfer, TransferLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from lacewinghold.util.turns import TurnGate

KEEPALIVE_EXPIRY_S = 14.0  # Shorter than the platform's idle time-out of 15 s.
READ_SIZE_BYTES = 65536
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
LENGTH_HEADER = b"content-length"
FRAMING_HEADERS = (LENGTH_HEADER, b"transfer-encoding")


class NotSentError(Exception):
    """Raised if a request certainly was not sent."""


class ConnectTimeoutError(NotSentError):
    """Raised if no connection could be opened in time."""


class NoResponseError(Exception):
    """Raised if a request may have been sent and no complete response arrived."""


class ResponseTooLargeError(NoResponseError):
    """Raised if a response is larger than the caller allows."""


class Timeouts(Struct, frozen=True):
    """Time limits of one call.

    :param connect_s: For opening a connection, in seconds.
    :param exchange_s: For sending the request and receiving its response, in seconds;
        ``transfer`` extends it while a large response arrives.
    """

    connect_s: float
    exchange_s: float
    transfer: TransferLimits


class HttpReply(Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes


class ResponseParser:
    """Collects one response; its methods are the callbacks of ``httptools``.

    :param max_bytes: Maximum size of the body.
    """

    def __init__(self, max_bytes: int = MAX_RESPONSE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.stated_bytes = 0
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        self.headers_complete = False
        self.ends_with_connection = True
        self.keep_alive = False
        self.surplus = False

    def on_message_begin(self) -> None:
        """Records that the connection carries a response that nobody asked for."""
        self.surplus = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records whether the length of the body is known from the headers."""
        if name.lower() in FRAMING_HEADERS:
            self.ends_with_connection = False
        if name.lower() == LENGTH_HEADER:
            self.stated_bytes = int(value)  # The parser has checked it.

    def on_headers_complete(self) -> None:
        """Records the end of the headers."""
        self.headers_complete = True

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Records the end of the response, and whether the connection stays open."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parses received bytes; none at the end of the connection.

        :raises NoResponseError: If the response is malformed, too large or cut off.
        """
        if not data:
            self.complete = self.headers_complete and self.ends_with_connection
            if not self.complete:
                raise NoResponseError("connection closed before the response")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise NoResponseError(f"malformed response: {error}") from error
        if self.surplus:
            raise NoResponseError("more than one response to a request")
        size = max(self.stated_bytes, len(self.body))
        if size > self.max_bytes:
            raise ResponseTooLargeError(
                f"response of {size} bytes or more, at most {self.max_bytes} allowed"
            )

    def reply(self) -> HttpReply:
        """Returns the complete response."""
        return HttpReply(self.parser.get_status_code(), bytes(self.body))


class ConnectionCheck(ABC):
    """Finds out over a new connection whether the intended peer has accepted it.

    A peer that restarts loses its connections, so that whatever is sent over a checked
    one reaches the intended peer or nobody, however late it is sent.
    """

    @abstractmethod
    def request(self) -> bytes:
        """Returns the request to send before any other."""

    @abstractmethod
    def accepts(self, reply: HttpReply) -> bool:
        """Returns whether the response is that of the intended peer."""


class Connection:
    """One connection; it carries one request at a time.

    :param used_at: When the last response was complete, on the runtime's clock.
    :param checked: Whether the intended peer is known to be at the other end.
    """

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.descriptor: int = stream.extra(SocketAttribute.raw_socket).fileno()
        self.used_at = anyio.current_time()
        self.reusable = False
        self.checked = False

    async def exchange(
        self,
        request: bytes,
        transfer: Transfer | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpReply:
        """Sends a request and receives its response.

        :param transfer: Records the progress of the response.
        :param max_bytes: Maximum size of the response's body.
        :raises NoResponseError: If the response does not arrive completely.
        """
        self.reusable = False
        parser = ResponseParser(max_bytes)
        try:
            await self.stream.send(request)
            while not parser.complete:
                try:
                    data = await self.stream.receive(READ_SIZE_BYTES)
                except anyio.EndOfStream:
                    data = b""
                if transfer is not None:
                    transfer.record(len(data))
                parser.feed(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise NoResponseError(type(error).__name__) from error
        self.reusable = parser.keep_alive
        self.used_at = anyio.current_time()
        return parser.reply()

    async def check(self, check: ConnectionCheck) -> None:
        """Checks the connection.

        :raises NotSentError: If the check fails; the connection must not be used again.
        """
        try:
            reply = await self.exchange(check.request())
        except NoResponseError as error:
            raise NotSentError(f"no response to the check: {error}") from error
        self.checked = self.reusable and check.accepts(reply)
        if not self.checked:
            self.reusable = False
            raise NotSentError("the check of the connection failed")

    def is_alive(self) -> bool:
        """Returns whether an idle connection may be used again.

        A readable idle connection was closed by the other end, or it has received
        bytes that no request has asked for.
        """
        if anyio.current_time() > self.used_at + KEEPALIVE_EXPIRY_S:
            return False
        poll = select.poll()
        poll.register(self.descriptor, select.POLLIN)
        return not poll.poll(0)

    def close_now(self) -> None:
        """Closes the socket of an idle connection without yielding to other tasks."""
        self.stream.extra(SocketAttribute.raw_socket).close()

    async def close(self) -> None:
        """Closes the connection at once."""
        await anyio.aclose_forcefully(self.stream)


class ConnectionPool:
    """Connections to one address, the most recently used ones first.

    :param address: IP address and port.
    :param gate: Limits how fast connections are opened; ``None`` sets no limit.
    """

    def __init__(
        self, address: str, max_connections: int, gate: TurnGate | None = None
    ) -> None:
        self.address = address
        self.gate = gate
        self.slots = anyio.Semaphore(max_connections)
        self.idle: list[Connection] = []
        self.retired = False

    async def request(
        self,
        request: bytes,
        timeouts: Timeouts,
        check: ConnectionCheck | None = None,
        on_progress: Callable[[], object] = lambda: None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpReply:
        """Sends a request over an idle or new connection.

        A connection whose response is late or lost is closed, so that a delayed
        response cannot be matched to a later request.

        :param timeouts: The wait at the gate does not count towards ``connect_s``;
            ``exchange_s`` also limits the wait for a free connection.
        :param check: Check that the connection must have passed, ``None`` if any
            connection will do.
        :param on_progress: Called whenever a part of the response arrives.
        :param max_bytes: Maximum size of the response's body.
        :raises NotSentError: If no connection was free, could be opened or passed the
            check.
        :raises NoResponseError: If no complete response arrived in time.
        """
        try:
            with anyio.fail_after(timeouts.exchange_s):
                await self.slots.acquire()
        except TimeoutError as error:
            raise NotSentError("all connections are in use") from error
        try:
            connection = await self.take_idle() or await self.open(timeouts.connect_s)
            checked = check is None or connection.checked
            transfer: Transfer | None = None
            complete = False
            try:
                with anyio.fail_after(timeouts.exchange_s) as scope:
                    if check is not None and not checked:
                        await connection.check(check)
                        checked = True
                    transfer = Transfer(scope, timeouts.transfer, on_progress)
                    reply = await connection.exchange(request, transfer, max_bytes)
                    complete = True
                    return reply
            except TimeoutError as error:
                if transfer is None:
                    raise NotSentError("no response to the check") from error
                detail = f"no response before the timeout: {transfer.describe()}"
                raise NoResponseError(detail) from error
            finally:
                if transfer is not None and not complete:
                    DISCARDED_BYTES.inc(transfer.received)
                if connection.reusable and not self.retired:
                    self.idle.append(connection)
                else:
                    await connection.close()
        finally:
            self.slots.release()

    async def take_idle(self) -> Connection | None:
        """Returns a live idle connection, and closes those found dead."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_alive():
                return connection
            await connection.close()
        return None

    async def open(self, timeout_s: float) -> Connection:
        """Opens a connection.

        :raises ConnectTimeoutError: If it is not open in time.
        :raises NotSentError: If it is refused, or the address is unusable.
        """
        if self.gate is not None:
            await self.gate.enter()
        host, _, port = self.address.rpartition(":")
        try:
            with anyio.fail_after(timeout_s):
                return await self.connect(host, int(port))
        except TimeoutError as error:
            raise ConnectTimeoutError("no connection before the timeout") from error
        except (OSError, ValueError) as error:
            raise NotSentError(f"no connection: {error}") from error

    async def connect(self, host: str, port: int) -> Connection:
        """Opens a connection without a timeout."""
        return Connection(await anyio.connect_tcp(host, port))

    def retire(self) -> None:
        """Closes the idle connections, and each other one after its request."""
        self.retired = True
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close_now()

    async def close(self) -> None:
        """Closes the idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            await connection.close()
