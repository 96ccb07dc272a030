"""Crowds at the peers' listener of an entry process.

Whoever reaches the listener can claim to be a peer. The bounds are those of the
settings in ``crowd``.
"""

from __future__ import annotations

import asyncio
import random

import pytest
import zstandard

from lacewinghold.ids import InstanceId
from lacewinghold.schema.generated.messages import Envelope, MessageKind
from lacewinghold.util.codec import pack
from tests.test_clients.crowd import MIB, Client, play

CROWD = 40
MANY = 200
BLOCK = 65_536
PUSH_GREETING = b"\0SP\0\0\x50\0\0"
BOMB_BYTES = 200 * MIB


def message(content):
    """Returns a whole message of a peer."""
    return len(content).to_bytes(8, "big") + content


def envelope(kind, body, compressed=False):
    """Returns a message from an instance that no store lists."""
    sender = InstanceId("front-9.00000000")
    version = 2 if compressed else 1
    return message(
        pack(Envelope(version, kind, sender, 1, body, compressed=compressed))
    )


def claimed(size, sent):
    """Returns a message of a size of which some bytes are sent."""
    blocks = [bytes(BLOCK)] * (sent // BLOCK)
    return [PUSH_GREETING, size.to_bytes(8, "big"), *blocks]


def dripping():
    """Returns a message that goes on in small pieces."""
    yield from claimed(MIB, MIB // 2)
    while True:
        yield bytes(1000)
        yield 0.05


def changing():
    """Returns whole messages that are followed by an unfinished one."""
    small = envelope(MessageKind.CELL_WAITS, b"")
    return [PUSH_GREETING, *[small] * 50, *claimed(8 * MIB, 6 * MIB)[1:]]


def garbage():
    """Returns whole messages that are no envelopes."""
    content = random.Random(1).randbytes(MIB)
    return [PUSH_GREETING, *[message(content)] * 16]


def bombs():
    """Returns small messages that claim to be large when they are decompressed."""
    body = zstandard.compress(bytes(BOMB_BYTES))
    return [PUSH_GREETING, *[envelope(MessageKind.CELL_WAITS, body, True)] * 4]


def requests():
    """Returns whole requests of all kinds with large bodies."""
    kinds = [kind for kind in MessageKind if kind is not MessageKind.HEARTBEAT]
    return [PUSH_GREETING, *(envelope(kind, bytes(MIB // 4)) for kind in kinds)]


KINDS = {
    "no greeting": lambda: [b""],
    "half a greeting": lambda: [PUSH_GREETING[:4]],
    "other greeting": lambda: [b"\0SP\0\0\x10\0\0", *claimed(MIB, MIB)[1:]],
    "greeting": lambda: [PUSH_GREETING],
    "half a size": lambda: [PUSH_GREETING, bytes(4)],
    "small unfinished": lambda: claimed(MIB, MIB // 2),
    "large unfinished": lambda: claimed(15 * MIB, 8 * MIB),
    "larger than allowed": lambda: claimed(2**40, 8 * MIB),
    "dripping": dripping,
    "changing": changing,
    "garbage": garbage,
    "bombs": bombs,
    "requests": requests,
}


def check(folder, kind, clients=CROWD, **options):
    async def send(entry):
        calls = [
            Client(entry.peer).run(KINDS[kind](), **options) for _ in range(clients)
        ]
        await asyncio.gather(*calls)

    _, faults = asyncio.run(play(folder, send))
    assert not faults


@pytest.mark.parametrize(
    "kind", ["small unfinished", "large unfinished", "dripping", "changing"]
)
def test_unfinished_messages_stay_within_the_memory(tmp_path, kind):
    """Guards against bytes that are kept without a limit over the connections."""
    check(tmp_path, kind)


@pytest.mark.parametrize("kind", ["larger than allowed", "other greeting"])
def test_what_is_no_message_is_not_kept(tmp_path, kind):
    """Guards against a size or a protocol that is taken on trust."""
    check(tmp_path, kind)


@pytest.mark.parametrize("kind", ["garbage", "requests", "bombs"])
def test_whole_messages_of_strangers_stay_within_the_memory(tmp_path, kind):
    """Guards against what a message takes while and after it is decoded."""
    check(tmp_path, kind)


@pytest.mark.parametrize(
    "kind", ["no greeting", "half a greeting", "greeting", "half a size"]
)
def test_waiting_connections_stay_below_the_descriptors(tmp_path, kind):
    """Guards against connections that take descriptors and show nothing."""
    check(tmp_path, kind, MANY)


def test_reset_connections_end_only_themselves(tmp_path):
    """Guards against the error of one connection that ends the process."""
    check(tmp_path, "changing", reset=True)
