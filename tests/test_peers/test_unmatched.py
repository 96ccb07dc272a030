"""Messages of peers that are for another process or answer another one's call."""

from __future__ import annotations

import anyio
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId, RegionId
from lacewinghold.peers.links import PeerLinks
from lacewinghold.schema.generated.messages import (
    Envelope,
    Heartbeat,
    JobList,
    MessageKind,
    Views,
)
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.peers import MemoryNetwork, MemoryTransport
from lacewinghold.util.codec import pack, unpack

OWNER, EARLIER, LATER, STRANGER = map(InstanceId, ("o.1", "x.1", "x.2", "y.1"))
REQUESTS = sorted(
    set(MessageKind) - {MessageKind.HEARTBEAT, MessageKind.REPLY, MessageKind.FAILURE}
)


def run_network(program):
    """Runs a program with a network, and with a function that starts a process."""

    async def session():
        network = MemoryNetwork(lambda sender, receiver: 0.01)
        async with anyio.create_task_group() as tasks:

            def start(process, kind=MessageKind.JOB_LIST, handler=None):
                transport = MemoryTransport(network, process, RegionId("r1"))
                links = PeerLinks(process, transport, lambda peer: "memory")
                if handler is not None:
                    links.on(kind, handler)
                tasks.start_soon(links.run)
                return links

            result = await program(network, start)
            tasks.cancel_scope.cancel()
        return result

    return run_paused(session, seed=1)


async def call(links, peer, kind, timeout_s=3.0):
    return await links.call(peer, kind, JobList("t"), timeout_s)


def deliver(network, kind, sender, number, body, recipient=""):
    """Delivers a message as a peer of some program version would send it."""
    envelope = Envelope(1, kind, sender, number, pack(body), recipient=recipient)
    network.nodes[LATER].sender.send_nowait(pack(envelope))


# Guards against a restarted instance that takes the reply to an earlier process's call.
@pytest.mark.parametrize("failing", [False, True])
@pytest.mark.parametrize("kind", REQUESTS)
def test_replies_to_an_earlier_process_are_not_taken(kind, failing):
    async def answer(sender, body):
        await anyio.sleep(0.5 if sender == EARLIER else 1.0)
        if failing:
            return Err(Failure(ErrorKind.NOT_FOUND, sender))
        return Ok(Views([sender.encode()]))

    async def program(network, start):
        start(OWNER, kind, answer)
        earlier = start(EARLIER)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, earlier, OWNER, kind)
            await anyio.sleep(0.1)
            network.replace(EARLIER, LATER)
            return await call(start(LATER), OWNER, kind)

    result = run_network(program)
    if failing:
        assert result.err_value == Failure(ErrorKind.NOT_FOUND, LATER)
    else:
        assert unpack(result.ok_value, Views).views == [LATER.encode()]


# Guards against a process that acts on requests for one that had its address before.
@pytest.mark.parametrize("later", [LATER, STRANGER])
@pytest.mark.parametrize("kind", REQUESTS)
def test_requests_for_an_earlier_process_are_refused_at_once(kind, later):
    served = []

    async def serve(sender, body):
        served.append(sender)
        return Ok(Views([]))

    async def program(network, start):
        owner = start(OWNER)
        start(EARLIER)
        network.replace(EARLIER, later)
        start(later, kind, serve)
        await owner.notify(EARLIER, kind, JobList("t"))
        return await call(owner, EARLIER, kind, timeout_s=0.5)

    result = run_network(program)
    if later == LATER and kind is MessageKind.CELL_YIELD:
        # The answer of a later process shows that the earlier owner has ended.
        assert isinstance(result, Ok)
        return
    assert not served
    refused = ErrorKind.UNREACHABLE if later == LATER else ErrorKind.OUTCOME_UNKNOWN
    assert result.err_value.kind is refused


# Guards against replies that match by their number alone.
@pytest.mark.parametrize(
    ("sender", "offset", "recipient", "taken"),
    [
        (OWNER, 0, LATER, True),
        (OWNER, 0, "", True),  # A peer of the previous program version.
        (OWNER, 1, LATER, False),
        (STRANGER, 0, LATER, False),
        (STRANGER, 0, "", False),
        (OWNER, 0, EARLIER, False),
    ],
)
def test_a_reply_proves_sender_recipient_and_call(sender, offset, recipient, taken):
    async def program(network, start):
        start(OWNER)
        links = start(LATER)
        network.cut.add((LATER, OWNER))
        async with anyio.create_task_group() as tasks:
            results = []

            async def ask():
                results.append(await call(links, OWNER, MessageKind.CELL_STATE))

            tasks.start_soon(ask)
            await anyio.sleep(0.1)
            number = links.calls.last_number + offset
            reply = MessageKind.REPLY
            deliver(network, reply, sender, number, Views([]), recipient)
        return results[0]

    assert isinstance(run_network(program), Ok) is taken


def test_processes_share_no_numbers():
    numbers = set()
    for boot in range(50):
        links = PeerLinks(InstanceId(f"x.{boot:08x}"), None, lambda peer: None)
        numbers.update(links.calls.next_number() for _ in range(1000))
    assert len(numbers) == 50_000
    assert max(numbers) < 2**63


# Guards against a silent link that seems sound by the echoes of an earlier process.
def test_echoes_of_an_earlier_process_are_ignored():
    async def program(network, start):
        links = start(LATER)
        await call(links, OWNER, MessageKind.JOB_LIST, timeout_s=0.1)
        before = links.links[OWNER].echoed_number
        for echo in (1, 2**62):
            body = Heartbeat(0, echo, 0, leaving=False)
            deliver(network, MessageKind.HEARTBEAT, OWNER, 0, body)
        await anyio.sleep(0.1)
        return links.links[OWNER].echoed_number == before

    assert run_network(program)
