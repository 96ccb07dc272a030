"""The HTTP server on real sockets, with a clock controlled by the test."""

from __future__ import annotations

import ssl
from pathlib import Path

import anyio
import httpx
import pytest
import trustme
from trio.testing import MockClock

from lacewinghold.schema.generated.settings import Tls
from lacewinghold.util.containment import UNEXPECTED_ERRORS
from lacewinghold.util.http_connection import WORK
from lacewinghold.util.http_limits import ClientLimits, derive_capacity
from lacewinghold.util.http_server import serve_http
from lacewinghold.util.tls import RELOAD_INTERVAL_S

GRACE_S = 20.0
MAX_ATTEMPTS = 200
BROKEN_OFF = 40
MANY_BYTES = 1_000_000  # More than the buffers of a connection.


class Server:
    """A served application whose slow responses wait until the test releases them."""

    def __init__(self):
        self.url = ""
        self.up = anyio.Event()
        self.stop = anyio.Event()
        self.down = anyio.Event()
        self.entered = anyio.Event()
        self.release = anyio.Event()

    async def app(self, scope, receive, send):
        if scope["type"] == "lifespan":
            raise NotImplementedError
        if scope["path"] == "/slow":
            self.entered.set()
            await self.release.wait()
        headers = [(b"content-length", b"5")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"whole"})

    def started(self, addresses):
        self.url = addresses[0]
        self.up.set()

    async def run(self, tls=None, limits=None):
        await serve_http(
            self.app, "127.0.0.1:0", self.stop.wait, GRACE_S, tls, self.started, limits
        )
        self.down.set()


def run(program, *arguments):
    """Runs a program on real sockets; the clock stands still unless it is advanced."""
    clock = MockClock()

    async def bounded():
        await program(clock, *arguments)

    anyio.run(bounded, backend="trio", backend_options={"clock": clock})


async def graceful(clock, limits):
    server = Server()
    answers = []

    async def ask(client):
        answers.append((await client.get(f"{server.url}/slow")).content)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, None, limits)
        await server.up.wait()
        async with httpx.AsyncClient() as client, httpx.AsyncClient() as idle:
            await idle.get(f"{server.url}/quick")
            tasks.start_soon(ask, client)
            await server.entered.wait()
            server.stop.set()
            for _ in range(MAX_ATTEMPTS):
                try:
                    async with httpx.AsyncClient() as late:
                        await late.get(f"{server.url}/quick")
                except httpx.HTTPError:
                    break
            else:
                pytest.fail("the server accepts connections while it shuts down")
            assert not answers
            assert not server.down.is_set()
            server.release.set()
            await server.down.wait()
    assert answers == [b"whole"]


@pytest.mark.parametrize("limits", [None, ClientLimits(derive_capacity(160, 1638))])
def test_shutdown_completes_requests_and_ignores_idle_connections(limits):
    """The clock stands still, so that the grace period cannot end the shutdown."""
    run(graceful, limits)


async def exchange(address, parts, answers):
    """Sends parts one after the other and collects the answers."""
    async with await anyio.connect_tcp("127.0.0.1", address) as stream:
        for part in parts:
            await stream.send(part)
            answers.append(await stream.receive())
            end = b"\r\n\r\n" if part.startswith(b"HEAD") else b"whole"
            while not answers[-1].endswith(end) and b" 500" not in answers[-1]:
                answers[-1] += await stream.receive()


async def keep_alive(clock):
    server = Server()
    answers = []
    parts = (
        b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
        b"HEAD /b HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /c HTTP/1.1\r\nHost: a\r\n\r\n",
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, None, ClientLimits(derive_capacity(160, 1638)))
        await server.up.wait()
        port = int(server.url.rpartition(":")[2])
        await exchange(port, parts, answers)
        server.stop.set()
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * 3


def test_limited_connection_is_kept_between_requests():
    """Guards against a connection that is closed after an answer."""
    run(keep_alive)


async def faulty(clock):
    server = Server()
    answers = []
    whole = server.app

    async def app(scope, receive, send):
        if scope["path"] == "/fault":
            raise ValueError("in the application")
        await whole(scope, receive, send)

    server.app = app
    before = UNEXPECTED_ERRORS.labels(WORK)._value.get()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, None, ClientLimits(derive_capacity(160, 1638)))
        await server.up.wait()
        port = int(server.url.rpartition(":")[2])
        await exchange(port, [b"GET /fault HTTP/1.1\r\nHost: a\r\n\r\n"], answers)
        await exchange(port, [b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"], answers)
        server.stop.set()
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 500", b"HTTP/1.1 200"]
    assert UNEXPECTED_ERRORS.labels(WORK)._value.get() == before + 1


def test_error_of_the_application_is_counted_and_ends_its_connection_only():
    """Guards against an application's error that ends the server."""
    run(faulty)


async def broken_off():
    server = Server()
    first = b"GET /whole HTTP/1.1\r\nHost: a\r\n\r\n"
    second = b"POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n{"
    answers = []

    async def app(scope, receive, send):
        if scope["type"] == "http":
            while (await receive()).get("more_body"):
                pass
            await send({"type": "http.response.start", "status": 200, "headers": []})
            for _ in range(8):
                part = {"type": "http.response.body", "body": b"a" * MANY_BYTES}
                await send({**part, "more_body": True})
            await send({"type": "http.response.body", "body": b"whole"})

    async def one(port):
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(first + second)
            await stream.send_eof()

    server.app = app
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await server.up.wait()
        port = int(server.url.rpartition(":")[2])
        async with anyio.create_task_group() as clients:
            for _ in range(BROKEN_OFF):
                clients.start_soon(one, port)
        async with httpx.AsyncClient() as client:
            answers.append((await client.get(server.url)).content[-5:])
        server.stop.set()
    assert answers == [b"whole"]


def test_error_of_a_connection_ends_only_it_with_hypercorn():
    """Guards against an error response that coincides with another task's send."""
    before = UNEXPECTED_ERRORS.labels(WORK)._value.get()
    anyio.run(broken_off, backend="trio")
    assert UNEXPECTED_ERRORS.labels(WORK)._value.get() > before


def write_files(folder, issued):
    issued.cert_chain_pems[0].write_to_path(folder / "certificate.pem")
    issued.private_key_pem.write_to_path(folder / "key.pem")


def serial(answer):
    stream = answer.extensions["network_stream"]
    return stream.get_extra_info("ssl_object").getpeercert()["serialNumber"]


async def reload(clock, folder):
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "authority.pem")
    write_files(folder, authority.issue_cert("127.0.0.1"))
    tls = Tls(
        certificate=str(folder / "certificate.pem"),
        key=str(folder / "key.pem"),
        authority=str(folder / "authority.pem"),
    )
    trusting = ssl.create_default_context(cafile=tls.authority)
    server = Server()

    async def new_connection():
        async with httpx.AsyncClient(verify=trusting) as client:
            return serial(await client.get(f"{server.url}/"))

    async def after_reload(old):
        clock.jump(RELOAD_INTERVAL_S)
        for _ in range(MAX_ATTEMPTS):
            found = await new_connection()
            if found != old:
                return found
        return old

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, tls)
        await server.up.wait()
        assert server.url.startswith("https://")
        async with httpx.AsyncClient(verify=trusting) as kept:
            first = serial(await kept.get(f"{server.url}/"))
            write_files(folder, authority.issue_cert("127.0.0.1"))
            second = await after_reload(first)
            assert second != first
            assert serial(await kept.get(f"{server.url}/")) == first
            Path(tls.key).write_bytes(b"half")
            clock.jump(RELOAD_INTERVAL_S)
            assert await new_connection() == second
            authority.issue_cert("127.0.0.1").private_key_pem.write_to_path(tls.key)
            clock.jump(RELOAD_INTERVAL_S)
            assert await new_connection() == second
        with pytest.raises(httpx.ConnectError):
            await httpx.AsyncClient().get(f"{server.url}/")
        server.stop.set()
        await server.down.wait()
    assert second != first


def test_changed_certificate_is_used_for_new_connections_only(tmp_path):
    run(reload, tmp_path)
