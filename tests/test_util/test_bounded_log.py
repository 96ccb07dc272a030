"""Log output is bounded and never blocks."""

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
    """Returns the lines buffered in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return data.decode().splitlines()


def test_stalled_reader_does_not_block_the_writer(pipe):
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


def test_closed_reader_raises_no_error():
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor)
    os.close(reader)
    writer.msg("x")
    assert writer.dropped == 1
    os.close(descriptor)


def test_lines_beyond_the_limit_are_suppressed_and_counted():
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
