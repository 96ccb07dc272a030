"""Logs stay in their bounds and never block."""

from __future__ import annotations

import json
import os

import pytest
import structlog

from lacewinghold.util.bounded_log import EventRateLimiter, NonBlockingWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(descriptor):
    """Returns the lines that wait in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return data.decode().splitlines()


def test_a_reader_that_stops_blocks_nothing(pipe):
    reader, descriptor = pipe
    writer = NonBlockingWriter(descriptor, limit=4096)
    for number in range(20_000):
        writer.msg(json.dumps({"event": "x", "number": number}))
    assert len(writer.buffer) <= 4096
    assert writer.dropped > 0
    lines = read_lines(reader)
    writer.msg(json.dumps({"event": "later"}))
    lines += read_lines(reader)
    decoded = [json.loads(line) for line in lines]
    notices = [line for line in decoded if line["event"] == "log lines dropped"]
    assert (
        sum(line["dropped_lines"] for line in notices) + len(decoded) - len(notices)
        == 20_001
    )
    assert decoded[-1]["event"] == "later"


def test_a_closed_reader_is_survived():
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor)
    os.close(reader)
    writer.msg("x")
    assert writer.dropped == 1
    os.close(descriptor)


def test_lines_beyond_the_budget_are_suppressed_and_said():
    now = [0.0]
    limiter = EventRateLimiter(limit=10, clock=lambda: now[0])
    passed = []
    for _ in range(25):
        try:
            passed.append(limiter(None, "info", {"event": "x"}))
        except structlog.DropEvent:
            continue
    assert len(passed) == 10
    assert limiter(None, "info", {"event": "other"}) == {"event": "other"}
    now[0] = 1.0
    assert limiter(None, "info", {"event": "x"}) == {"event": "x", "suppressed": 15}
