"""Crowds of clients that keep to no limit must not end an entry process.

Each crowd meets one entry process with little memory and few descriptors. Only what
does not depend on the machine's speed is checked.
"""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from review import standin
from tests.test_clients.crowd import (
    ANSWER_LIMIT_S,
    JOB,
    LEGAL_BODY,
    MIB,
    Client,
    ask,
    head,
    play,
)

CROWD = 80
MANY = 200  # More than the descriptors that the settings state.
TAIL = 40
PIECE = 4096
PAUSE_S = 0.01
PIPELINED = 320
PIPELINED_AT_ONCE = 40
ENDLESS_BYTES = 8 * 1024 * 1024  # What one client sends where it meets no limit.
BODY = b" " * (LEGAL_BODY - TAIL)
CHUNKED = "Transfer-Encoding: chunked"
SIZED = f"Content-Length: {LEGAL_BODY}"


def chunks(size):
    """Returns a chunked body without its end, in chunks of a size."""
    chunk = f"{size:x}\r\n".encode() + b" " * size + b"\r\n"
    return chunk * (len(BODY) // size)


def endless(line, first):
    """Returns a request that is followed by lines without end."""
    block = line * (65536 // len(line))
    return [first, *itertools.repeat(block, ENDLESS_BYTES // len(block))]


def pieces():
    """Returns a body without its end, in pieces with pauses between them."""
    yield head(SIZED)
    for at in range(0, len(BODY), PIECE):
        yield BODY[at : at + PIECE]
        yield PAUSE_S


def oversized():
    """Returns requests whose headers exceed the limit by far, in one piece."""
    return [head(*(f"X-{number}: {'a' * 1000}" for number in range(64)))]


KINDS = {
    "whole bodies": lambda: [head(SIZED) + BODY],
    "piecewise bodies": pieces,
    "large chunks": lambda: [head(CHUNKED) + chunks(65_000)],
    "small chunks": lambda: [head(CHUNKED) + chunks(1)],
    "endless trailers": lambda: endless(
        b"A: b\r\n", head(CHUNKED) + b"1\r\n \r\n0\r\n"
    ),
    "endless extension": lambda: endless(b"a" * 64, head(CHUNKED) + b"1;"),
    "endless headers": lambda: endless(b"A: b\r\n", head()[:-2]),
    "oversized headers": oversized,
    "half-closed": lambda: [head(SIZED) + BODY, b"EOF"],
    "pipelined bodies": lambda: [head("Content-Length: 2") + b"{}", pipeline_bodies()],
}


PUSH_GREETING = b"\0SP\0\0\x50\0\0"  # Of a peer: protocol SP, socket type push.
PEER_MESSAGE = MIB


def cut_message():
    """Returns a peer's message without its last byte."""
    size = PEER_MESSAGE.to_bytes(8, "big")
    return [PUSH_GREETING, size + b" " * (PEER_MESSAGE - 1)]


KINDS["peers"] = lambda: [PUSH_GREETING, PAUSE_S]
KINDS["cut messages of peers"] = cut_message


def pipeline_bodies():
    """Returns whole requests in a row."""
    return (head(SIZED) + b" " * LEGAL_BODY) * 4


def send_crowd(kind, listener="front", clients=CROWD):
    """Returns what lets a crowd of one kind loose on a listener."""

    async def send(entry):
        address = getattr(entry, listener)
        calls = [Client(address).run(KINDS[kind]()) for _ in range(clients)]
        await asyncio.gather(*calls)

    return send


def check(folder, send):
    _, faults = asyncio.run(play(folder, send))
    assert not faults


@pytest.mark.parametrize("kind", ["whole bodies", "piecewise bodies"])
def test_unfinished_bodies_stay_within_the_memory(tmp_path, kind):
    """Guards against a process that holds every unfinished body of legal size."""
    check(tmp_path, send_crowd(kind))


def test_half_closed_bodies_stay_within_the_memory(tmp_path):
    """Guards against bodies that are held after the client has closed its half."""
    check(tmp_path, send_crowd("half-closed"))


@pytest.mark.parametrize("kind", ["large chunks", "pipelined bodies"])
def test_unfinished_chunks_stay_within_the_memory(tmp_path, kind):
    """Guards against held chunked bodies, and bytes behind a request in progress."""
    check(tmp_path, send_crowd(kind))


def test_small_chunks_stay_within_the_memory(tmp_path):
    """Guards against the overhead of a body in chunks of one byte."""
    check(tmp_path, send_crowd("small chunks"))


@pytest.mark.parametrize("kind", ["endless trailers", "endless extension"])
def test_endless_trailers_stay_within_the_memory(tmp_path, kind):
    """Guards against a buffer that grows behind the last chunk of a body."""
    check(tmp_path, send_crowd(kind))


@pytest.mark.parametrize("kind", ["endless headers", "oversized headers"])
def test_headers_beyond_the_limit_stay_within_the_memory(tmp_path, kind):
    """Guards against a buffer that grows with a request's headers."""
    check(tmp_path, send_crowd(kind))


@pytest.mark.parametrize(
    ("listener", "kind"),
    [("ready", "whole bodies"), ("ready", "large chunks"), ("metrics", "whole bodies")],
)
def test_bodies_at_other_listeners_stay_within_the_memory(tmp_path, listener, kind):
    """Guards against limits that hold for the callers' listener only."""
    check(tmp_path, send_crowd(kind, listener))


def test_endless_trailers_at_the_metrics_end_only_their_connection(tmp_path):
    """Guards against an error behind a response that does not wait for the body."""
    check(tmp_path, send_crowd("endless trailers", "metrics"))


@pytest.mark.parametrize(
    ("listener", "kind"), [("ready", "endless trailers"), ("metrics", "large chunks")]
)
def test_other_listeners_stay_within_the_memory(tmp_path, listener, kind):
    """Guards against limits that hold for the callers' listener only."""
    check(tmp_path, send_crowd(kind, listener))


def test_connections_stay_below_the_descriptors(tmp_path):
    """Guards against idle connections that take the descriptors of all other work."""

    async def send(entry):
        first = head(method="GET")
        calls = [Client(entry.front).run([first, PAUSE_S]) for _ in range(MANY)]
        await asyncio.gather(*calls)

    check(tmp_path, send)


@pytest.mark.parametrize("kind", ["whole bodies", "oversized headers"])
def test_other_protocols_at_the_peers_listener(tmp_path, kind):
    """Guards against a process that ends or holds what is no message of a peer."""
    check(tmp_path, send_crowd(kind, "peer"))


def test_connections_of_peers_stay_below_the_descriptors(tmp_path):
    """Guards against connections at the peers' listener that take all descriptors."""
    check(tmp_path, send_crowd("peers", "peer", MANY))


def test_unfinished_messages_of_peers_stay_within_the_memory(tmp_path):
    """Guards against messages that are held while their last byte is missing."""
    check(tmp_path, send_crowd("cut messages of peers", "peer"))


def send_broken_off(listener):
    """Returns what pipelines requests that break off in the second one's body."""
    rng = random.Random(1)
    job = standin.json.dumps(JOB).encode()

    async def one(entry, numbers):
        for number in numbers:
            path = f"{standin.PREFIX}{number + 16:016x}"
            first = head(f"Content-Length: {len(job)}", path=path) + job
            second = head("Content-Length: 200", path=path) + job[:20]
            garbage = rng.randbytes(40) if number % 2 else b""
            client = Client(getattr(entry, listener))
            await client.run([first + second + garbage, b"EOF"], reset=True)

    async def send(entry):
        starts = range(PIPELINED_AT_ONCE)
        share = [range(start, PIPELINED, PIPELINED_AT_ONCE) for start in starts]
        await asyncio.gather(*(one(entry, numbers) for numbers in share))

    return send


@pytest.mark.parametrize("listener", ["front", "ready"])
def test_broken_off_pipelined_requests_end_only_their_connection(tmp_path, listener):
    """Guards against the error of one connection that ends the process.

    The error response to the second request coincides with the response to the first.
    """
    check(tmp_path, send_broken_off(listener))


def test_broken_off_pipelined_requests_at_the_metrics(tmp_path):
    """Guards against the same error where responses are sent at once."""
    check(tmp_path, send_broken_off("metrics"))


def test_reset_connections_end_only_themselves(tmp_path):
    """Guards against resets in headers, in a body and behind a whole request."""

    async def send(entry):
        for sent in (head()[:20], head(SIZED) + b"abc", head(CHUNKED) + chunks(9)[:99]):
            for listener in (entry.front, entry.ready, entry.metrics):
                calls = [
                    Client(listener).run([sent], reset=True) for _ in range(CROWD // 2)
                ]
                await asyncio.gather(*calls)

    check(tmp_path, send)


def test_one_request_at_the_limits_is_served(tmp_path):
    """Guards against a limit that a client inside the pages' limits meets."""
    job = standin.json.dumps(JOB).encode()
    found = []

    async def send(entry):
        for number, body in enumerate((chunked_job(job), sized_job(job))):
            path = f"{standin.PREFIX}{number + 16:016x}"
            client = Client(entry.front)
            filler = "x" * (16_384 - 250)
            lines = (body[0], "Connection: close", f"X-Filler: {filler}")
            request = head(*lines, path=path) + body[1]
            await client.run([request], ANSWER_LIMIT_S)
            found.append(client.received.partition(b"\r\n")[0])

    check(tmp_path, send)
    assert [b" 200" in line for line in found] == [True, True], found


def test_refused_jobs_never_run(tmp_path):
    """Guards against a refusal for pressure of a job that has been accepted.

    Whole jobs of legal size arrive at once beside bodies that stop short of their end.
    """
    whole = standin.json.dumps(JOB).encode().ljust(LEGAL_BODY)
    paths = [f"{standin.PREFIX}{number + 16:016x}" for number in range(CROWD)]
    wrong = []

    async def send(entry):
        clients = [Client(entry.front) for _ in paths]
        calls = [
            client.run([head(SIZED, path=path) + whole])
            for client, path in zip(clients, paths, strict=True)
        ]
        await asyncio.gather(*calls, send_crowd("whole bodies")(entry))
        for client, path in zip(clients, paths, strict=True):
            status = client.received[9:12]
            state = (await ask(entry, "GET", path))[0]
            if (status, state) not in ((b"200", 200), (b"503", 410), (b"429", 410)):
                wrong.append((status, state))

    check(tmp_path, send)
    # A connection may be closed instead; nothing is promised then.
    assert not [found for found in wrong if found[0]]


def sized_job(job):
    """Returns header and body of a job that is as large as allowed."""
    return SIZED, job.ljust(LEGAL_BODY)


def chunked_job(job):
    """Returns header and body of a job in chunks of one byte, as large as allowed."""
    body = job.ljust(LEGAL_BODY)
    return CHUNKED, b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
