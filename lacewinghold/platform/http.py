"""JSON calls over HTTP/1.1 to one address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.platform.http_connections import (
    ConnectionPool,
    ConnectTimeoutError,
    HttpReply,
    NoResponseError,
    NotSentError,
)
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lacewinghold.platform.http_connections import ConnectionCheck
    from lacewinghold.util.turns import TurnGate

CONNECT_TIMEOUT_S = 0.5  # Several round trips between regions.
MIN_LINK_BYTES_PER_S = 125_000  # A link of 1 Mbit/s.


class Timeouts(Struct, frozen=True):
    """Time limits of one call, in seconds.

    :param exchange_s: For sending the request and receiving its response.
    """

    connect_s: float
    exchange_s: float


class JsonClient:
    """Client of one address with a pool of persistent connections.

    :param address: IP address and port.
    :param max_connections: Maximum number of open connections.
    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.
    :param gate: Limits how fast connections are opened; ``None`` sets no limit.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        lag: LagMonitor | None = None,
        gate: TurnGate | None = None,
    ) -> None:
        self.address = address
        self.max_connections = max_connections
        self.lag = lag or LagMonitor()
        self.gate = gate
        self.pool = ConnectionPool(address, max_connections, gate)

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        check: ConnectionCheck | None = None,
    ) -> Result[HttpReply, Failure]:
        """Makes one call.

        :param timeout_s: Time-out in seconds, extended while this process lags.
        :param check: Check that the connection must have passed; a failed check counts
            as ``UNREACHABLE``.
        :returns: The response, or a failure: ``UNREACHABLE`` if the request certainly
            was not sent, ``OUTCOME_UNKNOWN`` if no complete response arrived.
        """
        started_at = anyio.current_time()
        content = b"" if body is None else msgspec.json.encode(body)
        request = self.encode(method, path, content, headers or {})
        try:
            try:
                return Ok(await self.send(request, timeout_s, len(content), check))
            except ConnectTimeoutError:
                # Connecting takes several turns of the event loop, so that lag of this
                # process can cause the time-out; the call is retried once.
                if not self.lag.lagged_since(started_at):
                    raise
                return Ok(await self.send(request, timeout_s, len(content), check))
        except NotSentError as error:
            detail = f"{self.address}: {error}"
            return Err(Failure(ErrorKind.UNREACHABLE, detail))
        except NoResponseError as error:
            detail = f"{self.address}: {error}"
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
        timeout_s: float,
        size: int,
        check: ConnectionCheck | None = None,
    ) -> HttpReply:
        """Sends one request; errors of the connections are raised unchanged."""
        limits = self.timeouts(timeout_s, size)
        return await self.pool.request(
            request, limits.connect_s, limits.exchange_s, check
        )

    def timeouts(self, timeout_s: float, size: int = 0) -> Timeouts:
        """Returns the time limits of a call that starts now.

        :param size: Size of the body in bytes; its transfer over a slow link is
            allowed for.
        """
        allowance_s = self.lag.allowance_s()
        return Timeouts(
            connect_s=min(CONNECT_TIMEOUT_S, timeout_s) + allowance_s,
            exchange_s=timeout_s + allowance_s + size / MIN_LINK_BYTES_PER_S,
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
