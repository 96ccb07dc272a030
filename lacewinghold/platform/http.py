"""JSON calls over HTTP/1.1 to one address."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.platform.http_connections import (
    MAX_RESPONSE_BYTES,
    ConnectionPool,
    ConnectTimeoutError,
    HttpReply,
    NoResponseError,
    NotSentError,
    ResponseTooLargeError,
    Timeouts,
)
from lacewinghold.util.lag import LagMonitor
from lacewinghold.util.transfer import TransferLimits, required_rate

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lacewinghold.platform.http_connections import ConnectionCheck
    from lacewinghold.util.turns import TurnGate

CONNECT_TIMEOUT_S = 0.5  # Several round trips between regions.
STALL_TIMEOUT_S = 0.8  # As long as a call to the store may be silent.


class JsonClient:
    """Client of one address with a pool of persistent connections.

    :param address: IP address and port.
    :param max_connections: Maximum number of open connections.
    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.
    :param gate: Limits how fast connections are opened; ``None`` sets no limit.
    :param link_mbps: Bandwidth of this machine's link in Mbit/s, ``None`` if unknown.

    ``on_progress`` is called whenever a part of a response arrives.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        lag: LagMonitor | None = None,
        gate: TurnGate | None = None,
        link_mbps: float | None = None,
    ) -> None:
        self.address = address
        self.max_connections = max_connections
        self.lag = lag or LagMonitor()
        self.gate = gate
        self.required_rate = required_rate(link_mbps)
        self.on_progress: Callable[[], object] = lambda: None
        self.pool = ConnectionPool(address, max_connections, gate)

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        check: ConnectionCheck | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Result[HttpReply, Failure]:
        """Makes one call.

        :param timeout_s: Time-out in seconds, extended while this process lags. After
            it, a response may go on to arrive: see ``Transfer``.
        :param check: Check that the connection must have passed; a failed check counts
            as ``UNREACHABLE``.
        :param max_bytes: Maximum size of the response's body.
        :returns: The response, or a failure: ``UNREACHABLE`` if the request certainly
            was not sent, ``TOO_LARGE`` if the response exceeds a ``max_bytes`` that the
            caller has set, ``OUTCOME_UNKNOWN`` if no complete response arrived.
        """
        started_at = anyio.current_time()
        content = b"" if body is None else msgspec.json.encode(body)
        request = self.encode(method, path, content, headers or {})
        timeouts = partial(self.timeouts, timeout_s, len(content))
        try:
            try:
                return Ok(await self.send(request, timeouts(), check, max_bytes))
            except ConnectTimeoutError:
                # Connecting takes several turns of the event loop, so that lag of this
                # process can cause the time-out; the call is retried once.
                if not self.lag.lagged_since(started_at):
                    raise
                return Ok(await self.send(request, timeouts(), check, max_bytes))
        except NotSentError as error:
            detail = f"{self.address}: {error}"
            return Err(Failure(ErrorKind.UNREACHABLE, detail))
        except NoResponseError as error:
            detail = f"{self.address}: {error}"
            limited = max_bytes < MAX_RESPONSE_BYTES
            if limited and isinstance(error, ResponseTooLargeError):
                return Err(Failure(ErrorKind.TOO_LARGE, detail))
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))

    def encode(
        self, method: str, path: str, content: bytes, headers: Mapping[str, str]
    ) -> bytes:
        """Returns the bytes of a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.address}",
            f"Content-Length: {len(content)}",
        ]
        if content:
            lines.append("Content-Type: application/json")
        for name, value in headers.items():
            lines.append(f"{name}: {value}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + content

    async def send(
        self,
        request: bytes,
        timeouts: Timeouts,
        check: ConnectionCheck | None,
        max_bytes: int,
    ) -> HttpReply:
        """Sends one request; errors of the connections are raised unchanged."""
        return await self.pool.request(
            request, timeouts, check, self.on_progress, max_bytes
        )

    def timeouts(self, timeout_s: float, size: int = 0) -> Timeouts:
        """Returns the time limits of a call that starts now.

        :param size: Size of the body in bytes; its transfer over a slow link is
            allowed for.
        """
        allowance_s = self.lag.allowance_s()
        return Timeouts(
            connect_s=min(CONNECT_TIMEOUT_S, timeout_s) + allowance_s,
            exchange_s=timeout_s + allowance_s + size / self.required_rate,
            transfer=TransferLimits(
                min(timeout_s, STALL_TIMEOUT_S) + allowance_s, self.required_rate
            ),
        )

    def set_address(self, address: str) -> None:
        """Directs later calls to another address.

        Connections to the old address close once their calls are complete.
        """
        if address == self.address:
            return
        self.address = address
        self.pool.retire()
        self.pool = ConnectionPool(address, self.max_connections, self.gate)

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.pool.close()
