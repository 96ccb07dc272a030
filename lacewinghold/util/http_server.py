"""Serves an ASGI application inside the process."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import trio
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import repr_socket_addr, wrap_app

from lacewinghold.util.containment import contained
from lacewinghold.util.http_connection import WORK, HttpConnection
from lacewinghold.util.http_limits import RECEIVE_BUFFER_BYTES
from lacewinghold.util.tls import CertificateReloader, make_server_context

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from lacewinghold.schema.generated.settings import Tls
    from lacewinghold.util.http_limits import ClientLimits

KEEP_ALIVE_TIMEOUT_S = 60.0


class ServerConfig(Config):
    """Server configuration with a reloadable TLS context.

    :param context: TLS context, or ``None`` for plain HTTP.
    """

    def __init__(
        self, listen: list[str], grace_s: float, context: ssl.SSLContext | None
    ):
        super().__init__()
        self.context = context
        self.bind = listen
        self.graceful_timeout = grace_s
        self.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        self.accesslog = None
        self.errorlog = None

    @property
    def ssl_enabled(self) -> bool:
        """Returns whether the server uses TLS."""
        return self.context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Returns the context into which ``CertificateReloader`` loads certificates."""
        if self.context is not None:
            self.context.set_alpn_protocols(self.alpn_protocols)
        return self.context


class Server(ABC):
    """Serves the connections of listeners; an error ends its connection only.

    :param config: Addresses, grace period and TLS context.
    """

    def __init__(self, config: ServerConfig) -> None:
        self.config = config
        self.stopping = False

    @abstractmethod
    async def handle(self, stream: Any) -> None:
        """Serves one connection until it is closed."""

    @abstractmethod
    async def stop_idle(self) -> None:
        """Closes the connections without a request; ``stopping`` is set."""

    def make_listeners(self) -> list[trio.abc.Listener[Any]]:
        """Returns listeners on the configured addresses."""
        sockets = self.config.create_sockets()
        context = self.config.create_ssl_context()
        listeners: list[trio.abc.Listener[Any]] = []
        for plain in sockets.insecure_sockets:
            listeners.append(self.listen(plain))
        for secure in sockets.secure_sockets:
            if context is None:
                continue
            listener = self.listen(secure)
            listeners.append(trio.SSLListener(listener, context, https_compatible=True))
        return listeners

    def listen(self, bound: socket.socket) -> trio.SocketListener:
        """Returns a listener on a bound socket."""
        bound.listen(self.config.backlog)
        return trio.SocketListener(trio.socket.from_stdlib_socket(bound))

    async def handle_contained(self, stream: Any) -> None:
        """Serves one connection; logs and counts an unexpected error.

        An error may be raised together with the cancellation of the server, which
        has to go on.
        """
        with contained(WORK):
            try:
                await self.handle(stream)
            except BaseExceptionGroup as group:
                cancelled, errors = group.split(trio.Cancelled)
                if errors is not None:
                    with contained(WORK):
                        raise errors
                if cancelled is not None:
                    raise cancelled from None

    async def run(
        self,
        shutdown: Callable[[], Awaitable[None]],
        started: Callable[[list[str]], None] | None,
    ) -> None:
        """Serves until ``shutdown`` returns, then completes requests in progress."""
        listeners = self.make_listeners()
        scheme = "https" if self.config.ssl_enabled else "http"
        if started is not None:
            started([f"{scheme}://{address_of(listener)}" for listener in listeners])
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        self.handle_contained,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                await shutdown()
                accepting.cancel_scope.cancel()
            self.stopping = True
            await self.stop_idle()
            connections.cancel_scope.deadline = (
                trio.current_time() + self.config.graceful_timeout
            )


class TrustedServer(Server):
    """Serves HTTP/1.1 and HTTP/2 with hypercorn, without limits over connections."""

    def __init__(self, app: Any, config: ServerConfig) -> None:
        super().__init__(config)
        self.app = wrap_app(app, config.wsgi_max_body_size, None)
        self.context = WorkerContext(None)

    async def handle(self, stream: Any) -> None:
        state = ConnectionState({})
        await TCPServer(self.app, self.config, self.context, state, stream)

    async def stop_idle(self) -> None:
        await self.context.terminated.set()


class LimitedServer(Server):
    """Serves HTTP/1.1 to clients that may keep to no limit.

    :param limits: Limits over the connections of all servers that share them.
    """

    def __init__(self, app: Any, config: ServerConfig, limits: ClientLimits) -> None:
        super().__init__(config)
        self.app = app
        self.limits = limits
        self.costly_bodies = trio.Lock()
        self.connections: set[HttpConnection] = set()

    def listen(self, bound: socket.socket) -> trio.SocketListener:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return super().listen(bound)

    async def handle(self, stream: Any) -> None:
        connection = HttpConnection(
            self.app, stream, self.limits, self.costly_bodies, lambda: self.stopping
        )
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    async def stop_idle(self) -> None:
        for connection in self.connections:
            connection.stop_idle()


def address_of(listener: Any) -> str:
    """Returns the address on which a listener accepts connections."""
    inner = getattr(listener, "transport_listener", listener)
    return repr_socket_addr(inner.socket.family, inner.socket.getsockname())


async def serve_http(
    app: Any,
    listen: str | list[str],
    shutdown: Callable[[], Awaitable[None]],
    grace_s: float,
    tls: Tls | None = None,
    started: Callable[[list[str]], None] | None = None,
    limits: ClientLimits | None = None,
) -> None:
    """Serves until ``shutdown`` returns, then completes the requests in progress.

    :param listen: IP address and port, or several.
    :param grace_s: Maximum time in seconds to complete requests in progress.
    :param started: Called with the addresses once they accept connections.
    :param limits: Limits of untrusted clients, for HTTP/1.1 without TLS.
    """
    context = None if tls is None else make_server_context(tls)
    addresses = [listen] if isinstance(listen, str) else listen
    config = ServerConfig(addresses, grace_s, context)
    server: Server = TrustedServer(app, config)
    if limits is not None:
        server = LimitedServer(app, config, limits)
    async with anyio.create_task_group() as tasks:
        if tls is not None and context is not None:
            tasks.start_soon(CertificateReloader(tls, context).run)
        await server.run(shutdown, started)
        tasks.cancel_scope.cancel()
