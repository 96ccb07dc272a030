"""Limits of the connections from peers: what is closed first, and who may listen."""

from __future__ import annotations

import contextlib
import socket
import ssl

import anyio
import pytest
from result import Ok

from lacewinghold.ids import InstanceId
from lacewinghold.peers.limits import Inbound, PeerLimits
from lacewinghold.peers.links import PeerLinks
from lacewinghold.peers.nng import NngTransport
from lacewinghold.peers.receiver import PUSH_GREETING
from lacewinghold.schema.generated.messages import MessageKind
from lacewinghold.schema.generated.settings import Tls
from tests.test_peers.test_links import CERTIFICATES, ask, echo, free_address


class FakeInbound(Inbound):
    def cut_off(self):
        assert self.cut


def make_limits(*connections, size=2, held=1000):
    limits = PeerLimits(size, held)
    for connection in connections:
        assert limits.admit(connection)
    return limits


def make_known(opened_at=0.0):
    connection = FakeInbound(opened_at)
    connection.known = True
    return connection


def test_a_new_connection_takes_the_place_of_the_stranger_silent_for_longest():
    """Guards against connections that show nothing and keep instances out."""
    silent, active, known = FakeInbound(1.0), FakeInbound(2.0), make_known()
    limits = make_limits(silent, active, known, size=3)
    assert limits.admit(FakeInbound(3.0))
    assert [c.cut for c in (silent, active, known)] == [True, False, False]


def test_a_known_instance_is_not_closed_for_a_new_connection():
    known = [make_known(), make_known()]
    limits = make_limits(*known)
    assert not limits.admit(FakeInbound(9.0))
    assert limits.open == set(known)


def test_bytes_of_strangers_are_dropped_before_those_of_known_instances():
    stranger, known = FakeInbound(8.0), make_known()
    limits = make_limits(stranger, known)
    assert limits.charge(stranger, 100, 9.0)
    assert limits.charge(known, 950, 9.0)
    assert stranger.cut
    assert (limits.held, known.cut) == (950, False)
    limits.release(known, 950)
    assert limits.held == 0


def test_a_message_beyond_the_limit_ends_its_own_connection():
    known = make_known()
    limits = make_limits(known)
    assert not limits.charge(known, 1001, 1.0)
    assert (limits.held, limits.open) == (0, set())


def ask_beside(strangers, limits):
    """Returns the reply of a peer whose listener strangers use.

    :param strangers: What each stranger sends.
    """
    book = {"a": free_address(), "b": free_address()}

    async def session():
        async with anyio.create_task_group() as tasks:
            pair = []
            for name, address in book.items():
                transport = NngTransport(address, limits=limits[name])
                links = PeerLinks(InstanceId(name), transport, book.get)
                links.on(MessageKind.JOB_LIST, echo)
                tasks.start_soon(links.run)
                pair.append(links)
            await anyio.sleep(0.2)
            host, _, port = book["b"].rpartition(":")
            opened = []
            for sent in strangers:
                opened.append(await anyio.connect_tcp(host, int(port)))
                await opened[-1].send(sent)
            await anyio.sleep(0.2)
            found = await ask(pair[0], "b", 20.0)
            for stream in opened:
                await anyio.aclose_forcefully(stream)
            tasks.cancel_scope.cancel()
        return found

    return anyio.run(session, backend="trio")


@pytest.mark.parametrize("sent", [b"\0", PUSH_GREETING + bytes([0] * 6 + [16, 0, 1])])
def test_an_instance_is_heard_beside_strangers_that_use_all_connections(sent):
    limits = {"a": PeerLimits(4, 10_000), "b": PeerLimits(4, 10_000)}
    assert isinstance(ask_beside([sent] * 12, limits), Ok)


def test_a_peer_without_a_certificate_is_refused():
    """Guards against messages of a client that has no certificate of the authority."""
    address = free_address()
    tls = Tls(
        certificate=str(CERTIFICATES / "instance.pem"),
        key=str(CERTIFICATES / "instance.key"),
        authority=str(CERTIFICATES / "authority.pem"),
    )
    context = ssl.create_default_context(cafile=tls.authority)

    def connect():
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), 5.0) as plain:
            with context.wrap_socket(plain, server_hostname=host) as secure:
                with contextlib.suppress(OSError):
                    secure.sendall(PUSH_GREETING + (1).to_bytes(8, "big") + b"x")
                    return secure.recv(64)
        return b""

    async def session():
        transport = NngTransport(address, tls)
        received = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(transport.run)

            async def receive():
                received.append(await transport.receive())

            tasks.start_soon(receive)
            await anyio.sleep(0.2)
            assert await anyio.to_thread.run_sync(connect) == b""
            tasks.cancel_scope.cancel()
        return received

    assert anyio.run(session, backend="trio") == []
