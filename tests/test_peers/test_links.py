"""Links between entry instances: silence, bounds, versions, compression, TLS."""

from __future__ import annotations

import random
import socket
from pathlib import Path

import anyio
import pynng
import pytest
import trio
from msgspec import Struct
from result import Err, Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.ids import InstanceId, RegionId
from lacewinghold.peers.link import (
    HEARTBEAT_INTERVAL_S,
    IDLE_TIMEOUT_S,
    MAX_QUEUED_MESSAGES,
    SILENCE_TIMEOUT_S,
)
from lacewinghold.peers.links import MESSAGE_VERSION, PeerLinks
from lacewinghold.peers.nng import NngTransport
from lacewinghold.schema.generated.messages import JobList, MessageKind, Views
from lacewinghold.schema.generated.settings import Tls
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.peers import MemoryNetwork, MemoryTransport
from lacewinghold.util.codec import pack, unpack
from lacewinghold.util.lag import LagMonitor, LagPeriod

CERTIFICATES = Path(__file__).parent / "certificates"
REPLACED_WITHIN_S = SILENCE_TIMEOUT_S + 2 * HEARTBEAT_INTERVAL_S
MAX_MESSAGES_PER_TURN = 16


class EnvelopeV1(Struct, array_like=True):
    """The envelope of message version 1."""

    version: int
    kind: str
    sender: str
    correlation: int
    body: bytes


async def echo(sender, body):
    return Ok(Views([body] * 40))


def make(network, name, region="r1"):
    instance = InstanceId(name)
    transport = MemoryTransport(network, instance, RegionId(region))
    known = network.nodes

    def paid(peer):
        return network.regions[peer] != RegionId(region)

    links = PeerLinks(
        instance,
        transport,
        lambda peer: "memory" if peer in known else None,
        paid,
        random.Random(1),
        LagMonitor(),
    )
    links.on(MessageKind.JOB_LIST, echo)
    return links


def run_pair(program, region="r2"):
    async def session():
        network = MemoryNetwork(lambda sender, receiver: 0.03)
        async with anyio.create_task_group() as tasks:
            pair = make(network, "a"), make(network, "b", region)
            for links in pair:
                tasks.start_soon(links.run)
            await anyio.sleep(0.1)
            result = await program(network, *pair)
            tasks.cancel_scope.cancel()
        return result

    return run_paused(session, seed=1)


async def ask(links, peer, timeout_s=1.0):
    return await links.call(peer, MessageKind.JOB_LIST, JobList("t" * 99), timeout_s)


@pytest.mark.parametrize("direction", [("a", "b"), ("b", "a")])
def test_silent_connection_is_detected_and_replaced(direction):
    async def program(network, a, b):
        assert isinstance(await ask(a, "b"), Ok)
        reconnected = []
        a.on_reconnect = b.on_reconnect = reconnected.append
        network.lossy_links.add(direction)
        lost = await ask(a, "b")
        assert lost.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
        await anyio.sleep(REPLACED_WITHIN_S)
        assert not network.lossy_links
        assert isinstance(await ask(a, "b"), Ok)
        await anyio.sleep(2 * HEARTBEAT_INTERVAL_S)
        return reconnected

    assert direction[1] in run_pair(program)


def test_own_lag_is_not_reported_as_a_silent_peer():
    async def program(network, a, b):
        assert isinstance(await ask(a, "b"), Ok)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(a.lag.run)
            for _ in range(10):
                link = a.links["b"]
                while link.heartbeat_number == link.echoed_number:
                    await anyio.sleep(0.01)
                # A heartbeat is in flight; the process stalls.
                trio.lowlevel.current_clock().jump(SILENCE_TIMEOUT_S + 1.0)
                await anyio.sleep(0.5)
                link.last_used_at = anyio.current_time()
            tasks.cancel_scope.cancel()
        return link.replacements

    assert run_pair(program) == 0


def test_own_lag_extends_the_wait_for_a_reply():
    async def program(network, a, b):
        async def answer_late(sender, body):
            await anyio.sleep(1.2)
            return Ok(Views([]))

        async def cause_lag():
            await anyio.sleep(0.9)
            now = anyio.current_time()
            a.lag.record_period(LagPeriod(now - 0.5, now))

        b.on(MessageKind.JOB_LIST, answer_late)
        assert isinstance(await ask(a, "b"), Err)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cause_lag)
            assert isinstance(await ask(a, "b"), Ok)
            a.lag.periods.clear()
        assert isinstance(await ask(a, "b"), Err)

    run_pair(program)


def test_silent_connection_is_replaced_despite_own_lag():
    async def program(network, a, b):
        assert isinstance(await ask(a, "b"), Ok)
        network.lossy_links.add(("a", "b"))
        now = anyio.current_time()
        a.lag.record_period(LagPeriod(now - 0.5, now))
        await ask(a, "b")
        await anyio.sleep(REPLACED_WITHIN_S + HEARTBEAT_INTERVAL_S)
        assert not network.lossy_links

    run_pair(program)


def test_healthy_quiet_link_is_kept_and_idle_link_is_closed():
    async def program(network, a, b):
        await ask(a, "b")
        await anyio.sleep(IDLE_TIMEOUT_S - HEARTBEAT_INTERVAL_S)
        replaced = a.links["b"].replacements + b.links["a"].replacements
        await anyio.sleep(3 * HEARTBEAT_INTERVAL_S)
        return replaced, list(a.links), list(b.links)

    assert run_pair(program) == (0, [], [])


def test_link_to_a_departed_peer_is_closed_and_calls_fail():
    async def program(network, a, b):
        await ask(a, "b")
        del network.nodes["b"]
        await anyio.sleep(2 * HEARTBEAT_INTERVAL_S)
        refused = await ask(a, "b")
        return list(a.links), list(a.versions), refused.err_value.kind

    assert run_pair(program) == ([], [], ErrorKind.UNREACHABLE)


def test_queue_to_a_blocked_peer_is_bounded():
    async def program(network, a, b):
        a.transport.gate.close()
        kinds = set()
        for _ in range(MAX_QUEUED_MESSAGES + 50):
            sent = await a.notify("b", MessageKind.JOB_LIST, JobList("t"))
            if isinstance(sent, Err):
                kinds.add(sent.err_value.kind)
        return len(a.links["b"].queue), kinds

    assert run_pair(program) == (MAX_QUEUED_MESSAGES, {ErrorKind.OVERLOADED})


@pytest.mark.parametrize("region", ["r1", "r2"])
def test_large_bodies_are_compressed_on_paid_links_only(region):
    async def program(network, a, b):
        reply = await ask(a, "b")
        assert len(unpack(reply.ok_value, Views).views) == 40
        paid = b.paid_bytes_sent[MessageKind.REPLY]
        assert b.links["a"].bytes_sent == b.bytes_sent
        return b.bytes_sent[MessageKind.REPLY], paid

    sent, paid = run_pair(program, region)
    if region == "r1":
        assert (sent > 4000, paid) == (True, 0)
    else:
        assert sent < 400
        assert paid == sent


@pytest.mark.parametrize("narrow", ["a", "b"])
def test_large_bodies_are_compressed_if_either_end_has_a_thin_link(narrow):
    async def program(network, a, b):
        for links in (a, b):
            links.narrow = links.instance == narrow
        await ask(b, "a")
        before = b.bytes_sent[MessageKind.REPLY]
        reply = await ask(a, "b")
        assert len(unpack(reply.ok_value, Views).views) == 40
        return b.bytes_sent[MessageKind.REPLY] - before

    assert run_pair(program, "r1") < 400


def test_previous_message_version_is_supported():
    async def program(network, a, b):
        old = MemoryTransport(network, InstanceId("old"), RegionId("r2"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(old.run)

            async def receive(kind):
                while True:
                    message = unpack(await old.receive(), EnvelopeV1)
                    assert message.version == 1
                    if message.kind == kind:
                        return message

            sent = EnvelopeV1(1, "job_list", "old", 7, pack(JobList("t" * 99)))
            await old.send("a", "memory", pack(sent))
            reply = await receive("reply")
            assert reply.correlation == 7
            assert len(unpack(reply.body, Views).views) == 40
            results = []

            async def call():
                results.append(await ask(a, "old"))

            tasks.start_soon(call)
            request = await receive("job_list")
            body = pack(Views([]))
            answer = EnvelopeV1(1, "reply", "old", request.correlation, body)
            await old.send("a", "memory", pack(answer))
            await anyio.sleep(0.5)
            assert isinstance(results[0], Ok)
            unknown = EnvelopeV1(MESSAGE_VERSION + 1, "job_list", "old", 8, b"\x90")
            await old.send("a", "memory", pack(unknown))
            refused = await receive("failure")
            tasks.cancel_scope.cancel()
        return refused.correlation

    assert run_pair(program) == 8


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.mark.parametrize("secure", [False, True])
def test_messages_cross_real_sockets(secure):
    tls = None
    if secure:
        tls = Tls(
            certificate=str(CERTIFICATES / "instance.pem"),
            key=str(CERTIFICATES / "instance.key"),
            authority=str(CERTIFICATES / "authority.pem"),
        )
    book = {"a": free_address(), "b": free_address()}

    async def session():
        async with anyio.create_task_group() as tasks:
            pair = []
            for name, address in book.items():
                transport = NngTransport(address, tls)
                assert transport.scheme == ("tls+tcp" if secure else "tcp")
                links = PeerLinks(InstanceId(name), transport, book.get)
                links.on(MessageKind.JOB_LIST, echo)
                tasks.start_soon(links.run)
                pair.append(links)
            replies = []
            for _ in range(3):
                replies.append(await ask(pair[0], "b", 20.0))
                await pair[0].transport.close("b")
            tasks.cancel_scope.cancel()
        return replies

    replies = anyio.run(session, backend="trio")
    assert all(isinstance(reply, Ok) for reply in replies)


def test_messages_need_no_thread_of_the_message_library(monkeypatch):
    """A completion in a library thread waits for the interpreter of a busy process.

    Instances with 0.12 of a core lost all links that way while their event loop was on
    time.
    """
    completions = 0
    make_helper = pynng._aio.AIOHelper

    def count_helper(*args):
        nonlocal completions
        completions += 1
        return make_helper(*args)

    monkeypatch.setattr(pynng._aio, "AIOHelper", count_helper)
    book = {"a": free_address(), "b": free_address()}

    async def session():
        async with anyio.create_task_group() as tasks:
            pair = []
            for name, address in book.items():
                links = PeerLinks(InstanceId(name), NngTransport(address), book.get)
                links.on(MessageKind.JOB_LIST, echo)
                tasks.start_soon(links.run)
                pair.append(links)
            replies = [await ask(pair[0], "b", 20.0) for _ in range(50)]
            tasks.cancel_scope.cancel()
        return replies

    replies = anyio.run(session, backend="trio")
    assert all(isinstance(reply, Ok) for reply in replies)
    assert completions == 0


def test_a_flood_of_messages_leaves_turns_to_other_tasks():
    address = free_address()
    turns = 0

    async def session():
        nonlocal turns
        receiver, sender = NngTransport(address), NngTransport(free_address())

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await anyio.sleep(0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receiver.run)
            for _ in range(60):
                await sender.send(InstanceId("r"), address, b"x")
            await receiver.receive()
            await anyio.sleep(0.2)
            tasks.start_soon(count_turns)
            await anyio.sleep(0)
            turns = 0
            for _ in range(59):
                await receiver.receive()
            # The runtime draws the order of the tasks within a turn, so that the turn
            # of the last pause may come only now.
            await anyio.sleep(0)
            tasks.cancel_scope.cancel()

    anyio.run(session, backend="trio")
    assert turns >= 59 // MAX_MESSAGES_PER_TURN


def test_round_trips_of_heartbeats_include_the_wait_before_they_are_handled():
    delay_s = 0.4

    async def session():
        times = []
        network = MemoryNetwork(lambda one, other: 0.01)
        async with anyio.create_task_group() as tasks:
            pair = []
            for name in ("a", "b"):
                transport = MemoryTransport(network, InstanceId(name), RegionId("r"))
                links = PeerLinks(InstanceId(name), transport, lambda peer: peer)
                links.on(MessageKind.JOB_LIST, echo)
                tasks.start_soon(links.run)
                pair.append(links)
            pair[0].on_round_trip = times.append
            await ask(pair[0], "b", 20.0)
            await anyio.sleep(2 * HEARTBEAT_INTERVAL_S)
            prompt = list(times)
            receive = pair[0].transport.receive

            async def receive_late():
                message = await receive()
                await anyio.sleep(delay_s)
                return message

            pair[0].transport.receive = receive_late
            await ask(pair[0], "b", 20.0)
            times.clear()
            await anyio.sleep(4 * HEARTBEAT_INTERVAL_S)
            tasks.cancel_scope.cancel()
        return prompt, times

    prompt, late = run_paused(session, seed=1)
    assert prompt
    assert max(prompt) < 0.1
    assert late
    assert min(late) >= delay_s
