"""Messages of peers that are for another process or answer another one's call."""

from __future__ import annotations

from functools import partial

import anyio
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import InstanceId
from lacewinghold.peers.pending import PendingCalls
from lacewinghold.schema.generated.messages import (
    Envelope,
    Heartbeat,
    JobList,
    MessageKind,
    Views,
)
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.peers import MemoryNetwork
from lacewinghold.util.codec import pack

OWNER, EARLIER, LATER, STRANGER = map(InstanceId, ("o.1", "x.1", "x.2", "y.1"))
REQUESTS = sorted(
    set(MessageKind) - {MessageKind.HEARTBEAT, MessageKind.REPLY, MessageKind.FAILURE}
)


def run_network(program):
    """Runs a program with a network, and with a function that starts a process."""

    async def session():
        network = MemoryNetwork(lambda sender, receiver: 0.01)
        async with anyio.create_task_group() as tasks:
            start = partial(network.start, tasks=tasks)
            result = await program(network, start)
            tasks.cancel_scope.cancel()
        return result

    return run_paused(session, seed=1)


async def call(links, peer, kind, timeout_s=3.0):
    return await links.call(peer, kind, JobList("t"), timeout_s)


async def ask(links, results):
    results.append(await call(links, OWNER, MessageKind.CELL_STATE))


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
        start(OWNER).on(kind, answer)
        earlier = start(EARLIER)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, earlier, OWNER, kind)
            await anyio.sleep(0.1)
            network.replace(EARLIER, LATER)
            return await call(start(LATER), OWNER, kind)

    result = run_network(program)
    own = Failure(ErrorKind.NOT_FOUND, LATER)
    expected = Err(own) if failing else Ok(pack(Views([LATER.encode()])))
    assert result == expected


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
        start(later).on(kind, serve)
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
            tasks.start_soon(ask, links, results)
            await anyio.sleep(0.1)
            number = links.calls.last_number + offset
            body = pack(Views([]))
            reply = Envelope(1, MessageKind.REPLY, sender, number, body)
            reply.recipient = recipient
            network.deliver(LATER, reply)
        return results[0]

    assert isinstance(run_network(program), Ok) is taken


def test_processes_share_no_numbers():
    numbers = set()
    for boot in range(50):
        calls = PendingCalls(InstanceId(f"x.{boot:08x}"))
        numbers.update(calls.next_number() for _ in range(1000))
    assert len(numbers) == 50_000
    assert max(numbers) < 2**63


# Guards against a silent link that seems sound by the echoes of an earlier process.
def test_echoes_of_an_earlier_process_are_ignored():
    async def program(network, start):
        links = start(LATER)
        await call(links, OWNER, MessageKind.JOB_LIST, timeout_s=0.1)
        before = links.links[OWNER].echoed_number
        for echo in (1, 2**62):
            body = pack(Heartbeat(0, echo, 0, leaving=False))
            network.deliver(LATER, Envelope(1, MessageKind.HEARTBEAT, OWNER, 0, body))
        await anyio.sleep(0.1)
        return links.links[OWNER].echoed_number == before

    assert run_network(program)
