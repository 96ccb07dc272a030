"""Connections of the HTTP client over real sockets: reuse, framing, lost answers."""

from __future__ import annotations

import anyio
import pytest
from result import Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.platform.http import JsonClient

PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"
)


class ScriptedServer:
    """Answers the requests of each connection with the parts of a script.

    :param script: For each request, the bytes to send; ``None`` closes instead.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                answer = self.script.pop(0)
                if answer is None:
                    return
                parts = answer if isinstance(answer, tuple) else (answer,)
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(0.01)
                if b"close" in b"".join(parts):
                    return


def use(script, program, max_connections=4):
    """Runs a program with a client of a scripted server."""

    async def session():
        server = ScriptedServer(script)
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, server.serve)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = JsonClient(f"127.0.0.1:{port}", max_connections)
            result = await program(client, server)
            await client.close()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(session, backend="trio")


def body_of(reply):
    """Returns the body of a successful reply."""
    assert isinstance(reply, Ok), reply
    return reply.ok_value.body


@pytest.mark.parametrize(
    "answer",
    [
        PLAIN,
        CHUNKED,
        (PLAIN[:20], PLAIN[20:40], PLAIN[40:]),
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
    ],
)
def test_responses_of_all_framings_are_read(answer):
    async def program(client, server):
        return [await client.call("GET", "/", 2.0) for _ in range(2)]

    for reply in use([answer, answer], program):
        assert body_of(reply) == b"{}"


def test_a_connection_is_used_again():
    async def program(client, server):
        for number in range(5):
            reply = await client.call("POST", "/x", 2.0, {"n": number}, {"A": "b"})
            assert body_of(reply) == b"{}"
        return server

    server = use([PLAIN] * 5, program)
    assert server.connections == 1
    assert server.requests[4].startswith(b"POST /x HTTP/1.1\r\nHost: 127.0.0.1:")
    assert server.requests[4].endswith(b'\r\nA: b\r\n\r\n{"n":4}')


def test_an_idle_connection_that_the_other_end_has_closed_is_not_used():
    closing = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"close"'

    async def program(client, server):
        await client.call("GET", "/", 2.0)
        await anyio.sleep(0.1)
        return body_of(await client.call("GET", "/", 2.0)), server.connections

    assert use([closing, PLAIN], program) == (b"{}", 2)


@pytest.mark.parametrize(
    "answer",
    [
        None,
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nclose",
        b"nonsense\r\n",
        PLAIN + PLAIN,
    ],
)
def test_a_lost_or_malformed_response_leaves_the_outcome_unknown(answer):
    async def program(client, server):
        lost = await client.call("POST", "/", 0.5)
        return lost, await client.call("POST", "/", 2.0), server.connections

    lost, after, connections = use([answer, PLAIN], program)
    assert lost.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert body_of(after) == b"{}"
    assert connections == 2


def test_a_late_response_is_never_matched_to_a_later_request():
    late = (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",)

    async def program(client, server):
        lost = await client.call("POST", "/", 0.2)
        return lost, await client.call("POST", "/", 2.0)

    lost, after = use([late, PLAIN], program)
    assert lost.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert body_of(after) == b"{}"


def test_a_response_beyond_the_callers_limit_is_not_received():
    async def program(client, server):
        limited = await client.call("GET", "/", 2.0, max_bytes=1)
        return limited, await client.call("GET", "/", 2.0), server.connections

    limited, whole, connections = use([PLAIN] * 2, program)
    assert limited.err_value.kind is ErrorKind.TOO_LARGE
    assert body_of(whole) == b"{}"
    assert connections == 2


def test_a_response_beyond_the_general_limit_leaves_the_outcome_unknown(monkeypatch):
    monkeypatch.setattr("lacewinghold.platform.http.MAX_RESPONSE_BYTES", 1)
    reply = use(
        [PLAIN], lambda client, server: client.call("POST", "/", 2.0, max_bytes=1)
    )
    assert reply.err_value.kind is ErrorKind.OUTCOME_UNKNOWN


def test_a_refused_connection_was_certainly_not_used():
    async def session():
        return await JsonClient("127.0.0.1:1", 1).call("POST", "/", 1.0)

    assert anyio.run(session, backend="trio").err_value.kind is ErrorKind.UNREACHABLE


def test_a_call_without_a_free_connection_was_certainly_not_sent():
    async def blocked(client, server):
        first = client.call("POST", "/", 0.6)
        results = []

        async def record(call):
            results.append(await call)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record, first)
            await anyio.sleep(0.05)
            tasks.start_soon(record, client.call("POST", "/", 0.1))
        return results

    silent = (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",)
    refused, first = use([silent], blocked, max_connections=1)
    assert refused.err_value.kind is ErrorKind.UNREACHABLE
    assert first.err_value.kind is ErrorKind.OUTCOME_UNKNOWN


def test_calls_follow_a_changed_address_and_old_connections_close():
    async def program(client, server):
        await client.call("GET", "/", 2.0)
        old = client.pool
        client.set_address("127.0.0.1:1")
        assert not old.idle
        return await client.call("GET", "/", 0.3)

    reply = use([PLAIN], program)
    assert reply.err_value.kind is ErrorKind.UNREACHABLE


def test_a_cancelled_call_closes_its_connection():
    silent = (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",)

    async def program(client, server):
        with anyio.move_on_after(0.1):
            await client.call("POST", "/", 5.0)
        reply = await client.call("POST", "/", 2.0)
        return body_of(reply), server.connections

    assert use([silent, PLAIN], program) == (b"{}", 2)
