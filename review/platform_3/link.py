"""A proxy that carries bytes no faster than a machine's link does."""

from __future__ import annotations

import asyncio
import time

CHUNK_BYTES = 4096


class Pace:
    """One direction of a link, which all channels share.

    :param mbps: Megabits per second.
    """

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    async def carry(self, size):
        """Waits until the link has carried some bytes."""
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


class Link:
    """Forwards channels from a port of its own to an address."""

    def __init__(self, address, mbps):
        self.host, _, port = address.rpartition(":")
        self.target_port = int(port)
        self.up, self.down = Pace(mbps), Pace(mbps)
        self.port = 0
        self.tasks = set()

    @property
    def address(self):
        """Returns the address that the instance calls."""
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Begins to listen."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Forwards one channel until one end closes it."""
        try:
            found = await asyncio.open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        target_reader, target_writer = found
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, self.up),
                self.forward(target_reader, writer, self.down),
                return_exceptions=True,
            )
        except asyncio.CancelledError:
            pass  # The script ends.

    async def forward(self, reader, writer, pace):
        """Forwards one direction of a channel."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await pace.carry(len(data))
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()
