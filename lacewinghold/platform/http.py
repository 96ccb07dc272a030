"""JSON calls over HTTP/1.1 to one address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpcore
import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.util.lag import LagMonitor

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lacewinghold.util.turns import TurnGate

CONNECT_TIMEOUT_S = 0.5  # Several round trips between regions.
MIN_LINK_BYTES_PER_S = 125_000  # A link of 1 Mbit/s.
KEEPALIVE_EXPIRY_S = 14.0  # Shorter than the platform's idle time-out of 15 s.
NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
OUTCOME_UNKNOWN_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class HttpReply(Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes


class RateLimitedBackend(httpcore.AsyncNetworkBackend):
    """Limits how many connections are opened in one turn of the event loop.

    The wait at the gate does not count towards the connect time-out.

    :param gate: Limits the connections that all clients sharing it open.
    """

    def __init__(
        self, gate: TurnGate, inner: httpcore.AsyncNetworkBackend | None = None
    ) -> None:
        self.gate = gate
        self.inner = inner or httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        await self.gate.enter()
        return await self.inner.connect_tcp(
            host,
            port,
            timeout=timeout,
            local_address=local_address,
            socket_options=socket_options,
        )

    async def sleep(self, seconds: float) -> None:
        await self.inner.sleep(seconds)


class JsonClient:
    """Client of one address with a pool of persistent connections.

    A connection whose response is late or lost is closed, so that a delayed
    response cannot be matched to a later call.

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
        self.lag = lag or LagMonitor()
        self.gate = gate
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            network_backend=RateLimitedBackend(gate) if gate else None,
        )

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, Failure]:
        """Makes one call.

        :param timeout_s: Time-out in seconds, extended while this process lags.
        :returns: The response, or a failure: ``UNREACHABLE`` if the request certainly
            was not sent, ``OUTCOME_UNKNOWN`` if no complete response arrived.
        """
        started_at = anyio.current_time()
        content = b"" if body is None else msgspec.json.encode(body)
        request_headers = [
            ("Host", self.address),
            ("Content-Length", str(len(content))),
        ]
        if content:
            request_headers.append(("Content-Type", "application/json"))
        request_headers += (headers or {}).items()
        try:
            try:
                return Ok(
                    await self.request(
                        method, path, timeout_s, content, request_headers
                    )
                )
            except httpcore.ConnectTimeout:
                # Connecting takes several turns of the event loop, so that lag of this
                # process can cause the time-out; the call is retried once.
                if not self.lag.lagged_since(started_at):
                    raise
                return Ok(
                    await self.request(
                        method, path, timeout_s, content, request_headers
                    )
                )
        except NOT_SENT_ERRORS as error:
            detail = f"{self.address}: {type(error).__name__}"
            return Err(Failure(ErrorKind.UNREACHABLE, detail))
        except OUTCOME_UNKNOWN_ERRORS as error:
            detail = f"{self.address}: {type(error).__name__}"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        content: bytes,
        headers: list[tuple[str, str]],
    ) -> HttpReply:
        """Sends one request; httpcore's exceptions are raised unchanged."""
        response = await self.pool.request(
            method,
            f"http://{self.address}{path}",
            headers=headers,
            content=content,
            extensions={"timeout": self.timeouts(timeout_s, len(content))},
        )
        return HttpReply(response.status, response.content)

    def timeouts(self, timeout_s: float, size: int = 0) -> dict[str, float]:
        """Returns httpcore's time-outs in seconds for a call that starts now.

        :param size: Size of the body in bytes; the write time-out allows for its
            transfer over a slow link.
        """
        allowance_s = self.lag.allowance_s()
        total_s = timeout_s + allowance_s
        return {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s) + allowance_s,
            "read": total_s,
            "write": total_s + size / MIN_LINK_BYTES_PER_S,
            "pool": total_s,
        }

    def set_address(self, address: str) -> None:
        """Directs later calls to another address; connections to the old one expire."""
        self.address = address

    async def close(self) -> None:
        """Closes all connections."""
        await self.pool.aclose()
