"""Finds links between entry instances that have gone silent, also one way."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId, RequestId

CHECK_INTERVAL_S = 0.5
SILENCE_LIMIT_S = 4.0
MAX_MISSING_REPORTS = 2


class Forward(Struct, eq=False):
    """A request that was forwarded and has no reply yet.

    :param missing: How many messages of the owner in a row did not name it.
    """

    instance: InstanceId
    sent_at: float
    last_report_at: float
    missing: int = 0
    lost: anyio.Event = field(default_factory=anyio.Event)


class Forwards:
    """Forwarded requests, and what the owners say that they have of them."""

    def __init__(self) -> None:
        self.sent: dict[RequestId, Forward] = {}
        self.served_for: defaultdict[InstanceId, set[RequestId]]
        self.served_for = defaultdict(set)

    def begin(self, request: RequestId, instance: InstanceId) -> Forward:
        """Notes a request that is about to be forwarded."""
        now = anyio.current_time()
        forward = Forward(instance, now, now)
        self.sent[request] = forward
        return forward

    def end(self, request: RequestId) -> None:
        """Forgets a request whose forwarding is over."""
        self.sent.pop(request, None)

    def record_report(self, instance: InstanceId, serving: list[RequestId]) -> None:
        """Takes what another instance says that it does for this one."""
        now = anyio.current_time()
        known = set(serving)
        for request, forward in self.sent.items():
            if forward.instance != instance:
                continue
            forward.last_report_at = now
            forward.missing = 0 if request in known else forward.missing + 1
            if forward.missing > MAX_MISSING_REPORTS:
                forward.lost.set()

    async def wait_until_lost(self, forward: Forward) -> None:
        """Returns once a forwarded request or its reply surely was lost."""
        while not forward.lost.is_set():
            if anyio.current_time() - forward.last_report_at > SILENCE_LIMIT_S:
                return
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await forward.lost.wait()
