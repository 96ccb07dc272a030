"""A client of the platform with scripted responses."""

from __future__ import annotations

import msgspec
from result import Err, Ok

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Incarnation, WorkerId
from lacewinghold.platform.http_connections import HttpReply
from lacewinghold.scheduler.ports import Resources, ServerState, WorkerEntry

LOST = Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "no answer"))
UNREACHABLE = Err(Failure(ErrorKind.UNREACHABLE, "no connection"))


def reply(status, body=None):
    """Returns a response with a JSON body."""
    content = b"" if body is None else msgspec.json.encode(body)
    return Ok(HttpReply(status, content))


class ScriptedClient:
    """Returns scripted responses in order and records the calls."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    async def call(
        self, method, path, timeout_s, body=None, headers=None, check=None, max_bytes=0
    ):
        """Records a call and returns the next response."""
        self.calls.append((method, path, body, headers))
        return self.replies.pop(0)

    async def close(self):
        """Does nothing; there are no connections."""


def make_entry(name):
    """Returns the entry of a worker."""
    return WorkerEntry(
        worker=WorkerId(name),
        incarnation=Incarnation(1),
        service="service",
        address=f"{name}:1",
        data_centre="dc",
        state=ServerState.READY,
        capacity=Resources(),
        labels=frozenset(),
    )
