"""Crowds that send requests ahead and do not read, or change what they send."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from review import standin
from tests.test_clients.crowd import ENDLESS_HOLD_S, JOB, UnreadingClient, head, play
from tests.test_clients.test_untrusted import BODY, CHUNKED, SIZED, endless

CROWD = 60
REQUESTS = 3000
KNOWN_JOB = standin.PREFIX + f"{1:016x}"  # Handed in by ``play``.
PATHS = {"front": KNOWN_JOB, "ready": KNOWN_JOB, "metrics": "/metrics"}


def queries(listener):
    """Returns requests for a job's state, or for the long page of the metrics."""
    block = head(method="GET", path=PATHS[listener]) * 10
    return itertools.repeat(block, REQUESTS // 10)


def odd_heads(listener):
    """Returns requests with methods and paths that nothing serves."""
    block = b""
    for number, method in enumerate(("PUT", "OPTIONS", "BREW", "GET", "DELETE")):
        path = f"/{'x' * 800}/{number}"
        block += head(f"X-Filler: {'y' * 800}", method=method, path=path)
    return itertools.repeat(block, REQUESTS // 50)


def large_bodies(listener):
    """Returns whole requests with bodies of 200 KB."""
    body = b" " * 200_000
    first = head(f"Content-Length: {len(body)}", path=PATHS[listener])
    return itertools.repeat(first + body, 20)


def changing(listener):
    """Returns jobs and queries, then an unfinished body, or trailers without end."""
    job = standin.json.dumps(JOB).encode()
    sized = head(f"Content-Length: {len(job)}", path=PATHS[listener]) + job
    yield from [sized + next(queries(listener))] * 20
    if next(TURNS) % 2:
        yield head(SIZED) + BODY
    else:
        yield from endless(b"A: b\r\n", head(CHUNKED) + b"1\r\n \r\n0\r\n")


TURNS = itertools.count()
FORMS = (queries, odd_heads, large_bodies, changing)


@pytest.mark.parametrize("listener", PATHS)
@pytest.mark.parametrize("form", FORMS)
def test_unread_answers_stay_within_the_memory(tmp_path, form, listener):
    """Guards against answers and requests that pile up behind a client."""

    async def send(entry):
        address = getattr(entry, listener)
        clients = [UnreadingClient(address) for _ in range(CROWD)]
        calls = [client.run(form(listener), ENDLESS_HOLD_S) for client in clients]
        await asyncio.gather(*calls)

    _, faults = asyncio.run(play(tmp_path, send))
    assert not faults
