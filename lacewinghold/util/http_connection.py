"""Serves HTTP/1.1 on one connection of a client that may keep to no limit."""

from __future__ import annotations

from email.utils import formatdate
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import h11
import structlog
import trio

from lacewinghold.events import Event
from lacewinghold.util.containment import contained
from lacewinghold.util.http_limits import (
    BODY_COST,
    CLOSED_CONNECTIONS,
    HEAD_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    MAX_HEAD_BYTES,
    RECEIVE_BUFFER_BYTES,
    REQUEST_LINE_BYTES,
    SEND_TIMEOUT_S,
    BodyProgress,
    Client,
    ClientLimits,
    Phase,
    Reason,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

logger = structlog.get_logger(__name__)
READ_BYTES = 16_384
EVENTS_PER_TURN = 64  # Keeps a turn of the event loop to about a millisecond.
# A body of many steps takes 0.06 s to decode at the limit of a body, a part of it here.
LARGE_BODY_BYTES = 32_768
# Closing a connection with unread bytes resets it, which could destroy the response.
LINGER_S = 1.0
RETRY_AFTER_S = 1
WORK = "connection"
TARGET_ENCODING = "ascii"
LATE_S = 0.5  # A deadline noticed later than this says nothing about the client.


class RefusedError(Exception):
    """Raised through the application when its request is not read any further.

    :param status: Status of the response, if none has been started.
    """

    def __init__(self, reason: Reason, status: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.status = status


class ClosedError(Exception):
    """Raised when the client has closed the connection."""


GONE_ERRORS = (ClosedError, trio.BrokenResourceError, trio.ClosedResourceError)
CONNECTION_ERRORS = (RefusedError, h11.RemoteProtocolError, *GONE_ERRORS)


class HttpConnection(Client):
    """Runs an application for each request, in the task that reads and writes.

    With a single task, a response never coincides with an error response.

    :param app: An ASGI application.
    :param stopping: Returns whether the server is shutting down.
    :param costly_bodies: Lock for a turn of the event loop in which many small chunks
        or a large body are decoded, so that all of them together delay others no more
        than one does.
    """

    def __init__(
        self,
        app: Any,
        stream: trio.SocketStream,
        limits: ClientLimits,
        costly_bodies: trio.Lock,
        stopping: Callable[[], bool],
    ) -> None:
        super().__init__(trio.current_time())
        self.app = app
        self.stream = stream
        self.limits = limits
        self.costly_bodies = costly_bodies
        self.stopping = stopping
        self.reading = trio.CancelScope()
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES + REQUEST_LINE_BYTES
        )
        self.progress = BodyProgress(0.0)
        self.whole = False
        self.ended = False
        self.continuing = False
        self.without_content = False

    def close_for(self, reason: Reason) -> None:
        self.reading.cancel()

    def stop_idle(self) -> None:
        """Closes the connection if it has no request."""
        if self.phase is Phase.IDLE:
            self.reading.cancel()

    async def run(self) -> None:
        """Serves requests until the connection is closed."""
        if not self.limits.admit(self, trio.current_time()):
            await trio.aclose_forcefully(self.stream)
            return
        try:
            with contained(WORK):
                await self.serve_requests()
        finally:
            self.limits.remove(self)
            await trio.aclose_forcefully(self.stream)

    async def serve_requests(self) -> None:
        """Serves requests; what ends the connection is told to the client."""
        try:
            while await self.serve_request():
                pass
            return
        except GONE_ERRORS:
            return
        except h11.RemoteProtocolError as error:
            refusal = RefusedError(Reason.PROTOCOL, error.error_status_hint)
            CLOSED_CONNECTIONS.labels(refusal.reason.value).inc()
        except RefusedError as error:
            # The error itself refers to the frames that hold the body.
            refusal = RefusedError(error.reason, error.status)
            if error.reason is not self.cut:  # Else the limits have counted it.
                CLOSED_CONNECTIONS.labels(error.reason.value).inc()
        self.limits.release(self)
        logger.info(Event.CLIENT_REFUSED, reason=refusal.reason.value)
        try:
            await self.refuse(refusal)
        except GONE_ERRORS:
            return

    async def refuse(self, refusal: RefusedError) -> None:
        """Sends the response to a request that is not served."""
        if refusal.reason in (Reason.CONNECTIONS, Reason.SEND_TIME):
            return  # The descriptor is needed at once, or nobody reads the response.
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            if refusal.status == HTTPStatus.SERVICE_UNAVAILABLE:
                headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
            await self.send_events(self.response(refusal.status, headers))
        await self.linger()

    async def linger(self) -> None:
        """Discards what the client still sends, for a bounded time."""
        self.enter(Phase.LINGERING, trio.current_time())
        self.limits.release(self)
        with trio.move_on_after(LINGER_S) as self.reading:
            await self.stream.send_eof()
            while self.cut is not Reason.CONNECTIONS and await self.stream.receive_some(
                READ_BYTES
            ):
                pass

    async def serve_request(self) -> bool:
        """Serves one request.

        :returns: Whether the connection may serve another one.
        """
        request = await self.read_head()
        if request is None:
            return False
        now = trio.current_time()
        self.enter(Phase.BODY, now)
        self.progress = BodyProgress(now)
        self.continuing = self.parser.they_are_waiting_for_100_continue
        self.without_content = request.method == b"HEAD"
        self.whole = False
        self.ended = False
        if not has_body(request):
            self.parser.next_event()
            self.whole = True
            self.enter(Phase.SERVING, now)
        await self.call_app(request)
        if self.parser.our_state not in (h11.DONE, h11.MUST_CLOSE):
            if self.parser.our_state is h11.SEND_RESPONSE:
                headers = [(b"content-length", b"0"), (b"connection", b"close")]
                status = HTTPStatus.INTERNAL_SERVER_ERROR
                await self.send_events(self.response(status, headers))
            return False
        self.requests += 1
        self.limits.release(self)
        states = (self.parser.our_state, self.parser.their_state)
        if states != (h11.DONE, h11.DONE) or self.stopping():
            await self.linger()
            return False
        self.parser.start_next_cycle()
        self.enter(Phase.IDLE, trio.current_time())
        return self.cut is None

    async def call_app(self, request: h11.Request) -> None:
        """Calls the application; an error of its own ends with this request."""
        try:
            await self.app(make_scope(request), self.receive, self.send)
        except CONNECTION_ERRORS:
            raise
        except Exception:
            with contained(WORK):
                raise

    async def read_head(self) -> h11.Request | None:
        """Reads the head of the next request.

        :returns: The request, or ``None`` if there is none.
        """
        started: float | None = None
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            now = trio.current_time()
            if started is None and self.parser.trailing_data[0]:
                started = now
                self.enter(Phase.HEAD, now)
            if started is None:
                if self.stopping():
                    return None
                data = await self.read(now + KEEP_ALIVE_TIMEOUT_S)
                if data is None:
                    return None
            else:
                deadline = started + HEAD_TIMEOUT_S
                data = await self.read(deadline)
                if data is None:
                    started += self.lateness(deadline, Reason.HEAD_TIME)
                    continue
            self.parser.receive_data(data)

    async def read(self, deadline: float) -> bytes | None:
        """Returns received bytes, or ``None`` at the deadline or a shutdown."""
        data: bytes | None = None
        with trio.CancelScope(deadline=deadline) as self.reading:
            if self.cut is None:
                data = bytes(await self.stream.receive_some(READ_BYTES))
        self.check_cut()
        return data

    def lateness(self, deadline: float, reason: Reason) -> float:
        """Returns by how much this process noticed a deadline late, in seconds.

        A client whose bytes waited in the socket meanwhile is not at fault; if the
        process was on time, an error is raised.
        """
        late = trio.current_time() - deadline
        if late < LATE_S:
            raise RefusedError(reason, HTTPStatus.REQUEST_TIMEOUT)
        return late

    def check_cut(self) -> None:
        """Raises an error if the limits have closed this connection."""
        if self.cut is not None:
            raise RefusedError(self.cut, HTTPStatus.SERVICE_UNAVAILABLE)

    def charge(self, size: int) -> None:
        """Charges memory to this connection; raises an error if there is none left."""
        if not self.limits.charge(self, size, trio.current_time()):
            reason = self.cut or Reason.MEMORY
            raise RefusedError(reason, HTTPStatus.SERVICE_UNAVAILABLE)

    def finish_body(self) -> None:
        """Takes note that the request is complete.

        While it is served, the socket is not read and its buffer may fill up.
        """
        self.whole = True
        self.enter(Phase.SERVING, trio.current_time())
        self.charge(RECEIVE_BUFFER_BYTES)

    async def receive(self) -> dict[str, Any]:
        """Returns the next part of the body, as ASGI's ``receive``."""
        if self.whole:
            message_type = "http.disconnect" if self.ended else "http.request"
            self.ended = True
            return {"type": message_type, "body": b"", "more_body": False}
        if self.continuing and self.parser.our_state is h11.SEND_RESPONSE:
            self.continuing = False
            event = h11.InformationalResponse(status_code=100, headers=[])
            await self.send_events([event])
        while True:
            content = await self.decode()
            if content or self.whole:
                self.ended = self.whole
                return {
                    "type": "http.request",
                    "body": content,
                    "more_body": not self.whole,
                }
            deadline = self.progress.deadline()
            data = await self.read(deadline)
            if data is None:
                self.progress.excuse(self.lateness(deadline, Reason.BODY_RATE))
                continue
            self.progress.receive(len(data), trio.current_time())
            self.parser.receive_data(data)

    async def decode(self) -> bytes:
        """Returns the content that has been received, up to a bounded work."""
        content = bytearray()
        events = 0
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.EndOfMessage):
                self.progress.content += len(content)
                self.charge(BODY_COST * len(content))
                if self.progress.content > LARGE_BODY_BYTES:
                    await self.take_turn()
                self.finish_body()
                return bytes(content)
            if not isinstance(event, h11.Data):
                raise ClosedError
            content += event.data
            events += 1
            if events == EVENTS_PER_TURN:
                await self.take_turn()
                break
        self.progress.content += len(content)
        if not self.progress.within_overhead(len(self.parser.trailing_data[0])):
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise RefusedError(Reason.CHUNK_OVERHEAD, status)
        self.charge(BODY_COST * len(content))
        return bytes(content)

    async def take_turn(self) -> None:
        """Waits for the turn of this connection among those with costly bodies."""
        async with self.costly_bodies:
            await trio.lowlevel.checkpoint()
        self.check_cut()

    async def send(self, message: dict[str, Any]) -> None:
        """Sends a part of the response, as ASGI's ``send``."""
        if message["type"] == "http.response.start":
            headers = list(message.get("headers", []))
            if self.stopping():
                headers.append((b"connection", b"close"))
            await self.send_events(self.response(message["status"], headers)[:1])
            return
        events: list[Any] = []
        if message.get("body") and not self.without_content:
            if len(message["body"]) > READ_BYTES:
                self.charge(BODY_COST * len(message["body"]))
            events.append(h11.Data(data=message["body"]))
        if not message.get("more_body", False):
            events.append(h11.EndOfMessage())
        await self.send_events(events)

    def response(self, status: int, headers: list[tuple[bytes, bytes]]) -> list[Any]:
        """Returns the events of a response without content."""
        dated = [*headers, (b"date", formatdate(usegmt=True).encode())]
        return [h11.Response(status_code=status, headers=dated), h11.EndOfMessage()]

    async def send_events(self, events: Iterable[Any]) -> None:
        """Sends events of the protocol to the client."""
        data = b"".join(self.parser.send(event) or b"" for event in events)
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self.stream.send_all(data)
        if scope.cancelled_caught:
            raise RefusedError(Reason.SEND_TIME, 0)


def has_body(request: h11.Request) -> bool:
    """Returns whether a request is followed by a body."""
    for name, value in request.headers:
        if name == b"transfer-encoding":
            return True
        if name == b"content-length" and value != b"0":
            return True
    return False


def make_scope(request: h11.Request) -> dict[str, Any]:
    """Returns the ASGI scope of a request."""
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": request.http_version.decode(TARGET_ENCODING),
        "method": request.method.decode(TARGET_ENCODING).upper(),
        "scheme": "http",
        "path": unquote(path.decode(TARGET_ENCODING)),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": list(request.headers),
        "extensions": {},
    }
