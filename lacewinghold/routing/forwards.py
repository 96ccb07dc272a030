"""Detects requests lost between entry instances.

Shard owners regularly report the forwarded requests that they are serving. A request
counts as lost if the reports stop or no longer list it, so a link that fails in only
one direction is detected too.
"""

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


class ForwardedRequest(Struct, eq=False):
    """A forwarded request without a reply.

    :param instance: The entry instance that owns the shard.
    :param sent_at: When it was forwarded, in seconds on the event loop's clock.
    :param last_report_at: When the owner's last report arrived, in seconds.
    :param missing: Number of consecutive reports that did not list the request.
    :param lost: Set when the request or its reply is lost.
    """

    instance: InstanceId
    sent_at: float
    last_report_at: float
    missing: int = 0
    lost: anyio.Event = field(default_factory=anyio.Event)


class ForwardTracker:
    """Tracks forwarded requests by the reports of the shard owners.

    :ivar served_for: Requests served here, by the instance that forwarded them.
    """

    def __init__(self) -> None:
        self.sent: dict[RequestId, ForwardedRequest] = {}
        self.served_for: defaultdict[InstanceId, set[RequestId]]
        self.served_for = defaultdict(set)

    def begin(self, request: RequestId, instance: InstanceId) -> ForwardedRequest:
        """Starts tracking a request that is about to be forwarded."""
        now = anyio.current_time()
        forward = ForwardedRequest(instance, now, now)
        self.sent[request] = forward
        return forward

    def end(self, request: RequestId) -> None:
        """Stops tracking a request."""
        self.sent.pop(request, None)

    def record_report(self, instance: InstanceId, serving: list[RequestId]) -> None:
        """Records a report of the requests that an instance serves for this one."""
        now = anyio.current_time()
        known = set(serving)
        for request, forward in self.sent.items():
            if forward.instance != instance:
                continue
            forward.last_report_at = now
            forward.missing = 0 if request in known else forward.missing + 1
            if forward.missing > MAX_MISSING_REPORTS:
                forward.lost.set()

    async def wait_until_lost(self, forward: ForwardedRequest) -> None:
        """Returns once a request or its reply is lost, or no reports arrive."""
        while not forward.lost.is_set():
            if anyio.current_time() - forward.last_report_at > SILENCE_LIMIT_S:
                return
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await forward.lost.wait()
