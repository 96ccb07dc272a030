"""A small HTTP/1.1 server and client on asyncio, for loopback addresses."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed"}


class Request:
    """One request."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves one address; ``handle`` returns a status and a JSON value.

    A handler that returns ``None`` gives no answer: the channel hangs.
    """

    def __init__(self, handle, port=0, host="127.0.0.1"):
        self.handle = handle
        self.host = host
        self.port = port
        self.listener = None
        self.connections = set()

    @property
    def address(self):
        """Returns the address and port."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Begins to listen; a later start uses the same port."""
        self.listener = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def abort(self):
        """Closes the listener and resets all channels, as the end of a process does."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for task, writer in list(self.connections):
            writer.transport.abort()
            task.cancel()
        self.connections.clear()

    async def serve(self, reader, writer):
        """Serves one channel."""
        entry = (asyncio.current_task(), writer)
        self.connections.add(entry)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                content = b"" if value is None else json.dumps(value).encode()
                reason = REASONS.get(status, "Status")
                head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(content)}"
                if content:
                    head += "\r\nContent-Type: application/json"
                writer.write(head.encode() + b"\r\n\r\n" + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(entry)
            writer.close()


class Client:
    """Calls over one channel at a time; a new one after an error."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.stream = None

    async def call(self, method, path, host, body=None, timeout_s=3.0, headers=()):
        """Returns the status and the decoded body; status 0 without an answer."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.exchange(method, path, host, body, headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return 0, None

    async def exchange(self, method, path, host, body, headers):
        """Makes one call."""
        if self.stream is None:
            self.stream = await asyncio.open_connection(self.host, self.port)
        reader, writer = self.stream
        content = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines.append(f"Content-Length: {len(content)}")
        if content:
            lines.append("Content-Type: application/json")
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join([*lines, "", ""]).encode() + content)
        await writer.drain()
        first, found, answer = await read_message(reader)
        if found.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(answer) if answer else None

    def close(self):
        """Closes the channel."""
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None
