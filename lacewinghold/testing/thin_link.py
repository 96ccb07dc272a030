"""A link of low bandwidth to an HTTP server, in place of sockets."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import anyio
import msgspec

from lacewinghold.platform.http_connections import Connection
from lacewinghold.util.transfer import BYTES_PER_MEGABIT

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from lacewinghold.platform.http import JsonClient

CHUNK_BYTES = 4096


class ThinLink:
    """A link that all connections over it share.

    :param answer: Returns the body of the response to a call, by its path.
    :param mbps: Bandwidth in Mbit/s.
    :param parts: Seconds of silence before each part of a response, and the part's
        bytes; after the last one the server is silent. ``None`` sends all responses as
        fast as the link carries them.
    """

    def __init__(
        self,
        answer: Callable[[str], Awaitable[object]],
        mbps: float = math.inf,
        parts: Sequence[tuple[float, int]] | None = None,
    ) -> None:
        self.answer = answer
        self.mbps = mbps
        self.bytes_per_s = mbps * BYTES_PER_MEGABIT
        self.parts = parts
        self.free_at = 0.0
        self.carried = 0

    def attach(self, client: JsonClient) -> None:
        """Directs the calls of a client over this link."""

        async def connect(host: str, port: int) -> Connection:
            return Connection(ThinStream(self))  # type: ignore[arg-type]

        client.pool.connect = connect  # type: ignore[method-assign]

    async def send(self, data: bytes) -> AsyncIterator[bytes]:
        """Yields the bytes of a response when they arrive."""
        if self.parts is not None:
            for silence_s, size in self.parts:
                await anyio.sleep(silence_s)
                yield data[:size]
                data = data[size:]
            await anyio.sleep(math.inf)
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            began_at = max(self.free_at, anyio.current_time())
            self.free_at = began_at + len(chunk) / self.bytes_per_s
            self.carried += len(chunk)
            await anyio.sleep_until(self.free_at)
            yield chunk


class ThinStream:
    """One connection over a thin link."""

    def __init__(self, link: ThinLink) -> None:
        self.link = link
        self.socket = socket.socket()
        self.response: AsyncIterator[bytes] | None = None

    def extra(self, attribute: object) -> socket.socket:
        """Returns a socket, of which the connection needs a descriptor."""
        return self.socket

    async def send(self, request: bytes) -> None:
        """Accepts a request."""
        self.response = self.respond(request.split()[1].decode())

    async def respond(self, path: str) -> AsyncIterator[bytes]:
        """Yields the response to a call in parts."""
        body = msgspec.json.encode(await self.link.answer(path))
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        async for chunk in self.link.send(head + body):
            yield chunk

    async def receive(self, size: int) -> bytes:
        """Returns the next part of the response."""
        assert self.response is not None
        return await anext(self.response)

    async def aclose(self) -> None:
        """Closes the connection; the rest of a response does not use the link."""
        self.socket.close()
