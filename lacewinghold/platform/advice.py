"""Calls to the platform's advice service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import WorkerId
from lacewinghold.platform.http import JsonClient
from lacewinghold.scheduler.ports import AdviceCalls, Ticket
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lacewinghold.util.lag import LagMonitor

MAX_CONNECTIONS = 4


class WireAdvice(Struct):
    """Pairs of worker and ticket, one for each worker that may run the step."""

    good: list[tuple[str, str]]


class PlatformAdvice(AdviceCalls):
    """Client of the advice service.

    :param address: IP address and port.
    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.
    :param link_mbps: Bandwidth of this machine's link in Mbit/s, ``None`` if unknown.
    """

    name = "platform"

    def __init__(
        self,
        address: str,
        lag: LagMonitor | None = None,
        link_mbps: float | None = None,
    ) -> None:
        self.client = JsonClient(address, MAX_CONNECTIONS, lag, link_mbps=link_mbps)

    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        body = {"step": step, "workers": list(workers)}
        reply = await self.client.call("POST", "/advise", timeout_s, body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if reply.ok_value.status != 200:
            detail = f"advice service returned status {reply.ok_value.status}"
            return Err(Failure(ErrorKind.OVERLOADED, detail))
        try:
            wire = from_json(reply.ok_value.body, WireAdvice)
        except msgspec.DecodeError as error:
            return Err(Failure(ErrorKind.INVALID, str(error)))
        return Ok([Ticket(WorkerId(worker), text) for worker, text in wire.good])
