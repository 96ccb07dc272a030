"""Decisions of the limits of untrusted clients, without any connection."""

from __future__ import annotations

import pytest

from lacewinghold.util.http_limits import (
    BODY_STALL_S,
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    BodyProgress,
    Capacity,
    Client,
    ClientLimits,
    Phase,
    Reason,
    derive_capacity,
)

MIB = 1024 * 1024


class FakeClient(Client):
    def __init__(self, phase=Phase.BODY, since=0.0, requests=0):
        super().__init__(since)
        self.enter(phase, since)
        self.requests = requests

    def close_for(self, reason):
        assert self.cut is reason


def make_limits(*clients, held=1000, connections=3):
    limits = ClientLimits(Capacity(held, connections))
    for client in clients:
        assert limits.admit(client, 0.0)
    return limits


def test_memory_is_taken_from_the_request_that_held_most_for_longest():
    """Guards against a refusal that falls on small or new requests."""
    large, new, small = FakeClient(), FakeClient(since=9.0), FakeClient()
    limits = make_limits(large, new, small)
    assert limits.charge(large, 500, 0.0)
    assert limits.charge(small, 10, 1.0)
    assert limits.charge(new, 490, 10.0)
    assert limits.charge(small, 10, 10.0)
    assert [c.cut for c in (large, new, small)] == [Reason.MEMORY, None, None]
    assert limits.held == 510


def test_requests_that_are_served_are_never_interrupted():
    """Guards against a refusal of a job that may be stored already."""
    served, late = FakeClient(Phase.SERVING), FakeClient(Phase.SERVING)
    limits = make_limits(served, late)
    assert limits.charge(served, 900, 0.0)
    assert not limits.charge(late, 200, 5.0)
    assert served.cut is None
    assert late.cut is Reason.MEMORY
    assert not limits.charge(late, 1, 5.0)
    limits.remove(served)
    limits.remove(late)
    assert limits.held == 0


@pytest.mark.parametrize(
    ("victim", "other"),
    [
        (FakeClient(Phase.LINGERING, 99.0), FakeClient(Phase.IDLE, 0.0, 1)),
        (FakeClient(Phase.IDLE, 99 - IDLE_TIMEOUT_S, 1), FakeClient(Phase.BODY, 98.0)),
        (FakeClient(Phase.HEAD, 99.0), FakeClient(Phase.IDLE, 90.0, 1)),
        (FakeClient(Phase.IDLE, 99.0), FakeClient(Phase.IDLE, 90.0, 1)),
        (FakeClient(Phase.IDLE, 90.0, 1), FakeClient(Phase.IDLE, 91.0, 1)),
        (FakeClient(Phase.BODY, 99.0), FakeClient(Phase.SERVING, 0.0)),
    ],
)
def test_connection_whose_loss_costs_least_is_closed_first(victim, other):
    """Guards against attackers that displace the connections of ordinary clients."""
    limits = make_limits(other, victim, connections=2)
    assert limits.admit(FakeClient(Phase.IDLE, 100.0), 100.0)
    assert victim.cut is Reason.CONNECTIONS
    assert other.cut is None


def test_connection_is_refused_if_all_others_are_being_served():
    """Guards against an interrupted request, and against a limit that is exceeded."""
    limits = make_limits(FakeClient(Phase.SERVING), connections=1)
    assert not limits.admit(FakeClient(Phase.IDLE), 1.0)


def test_slowest_allowed_body():
    """Guards against a body that keeps its memory by a byte now and then."""
    slow = BodyProgress(0.0)
    assert slow.deadline() == BODY_STALL_S
    slow.receive(1, 5.0)
    assert slow.deadline() < BODY_STALL_S + 0.001
    legal = BodyProgress(0.0)
    for second in range(15):  # A full body within the pages' idle time.
        assert second < legal.deadline()
        legal.receive(MAX_BODY_BYTES // 14, float(second))
    stalled_at = legal.last_at
    assert legal.deadline() == stalled_at + BODY_STALL_S
    legal.excuse(10.0)
    assert legal.deadline() == stalled_at + BODY_STALL_S + 10.0


def test_overhead_of_chunks():
    """Guards against framing without content; chunks of one byte are legal."""
    body = BodyProgress(0.0)
    body.content = MAX_BODY_BYTES
    body.receive(MAX_BODY_BYTES * 6, 1.0)
    assert body.within_overhead(0)
    framing = BodyProgress(0.0)
    framing.receive(64 * 1024, 1.0)
    assert not framing.within_overhead(0)
    assert framing.within_overhead(64 * 1024)


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "connections"),
    [(160, 1638, 682), (200, 4100, 853), (552, 1638, 819), (64, 160, 32), (64, 64, 16)],
)
def test_capacity_follows_from_the_machine(memory_mb, descriptors, connections):
    """Guards against limits that do not fit into the machine."""
    capacity = derive_capacity(memory_mb, descriptors)
    assert capacity.connections == connections
    assert capacity.held_bytes == int(memory_mb * MIB * 0.15)


def test_unknown_machine_counts_as_the_smallest():
    """Guards against a process without limits where none are stated."""
    assert derive_capacity(0, 1638) == derive_capacity(160, 1638)
    assert derive_capacity(0, 0).connections >= 16
