"""Serves an ASGI application inside the process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.config import Config
from hypercorn.trio import serve

from lacewinghold.util.tls import CertificateReloader, make_server_context

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from lacewinghold.schema.generated.settings import Tls

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


async def serve_http(
    app: Any,
    listen: str | list[str],
    shutdown: Callable[[], Awaitable[None]],
    grace_s: float,
    tls: Tls | None = None,
    started: Callable[[list[str]], None] | None = None,
) -> None:
    """Serves until ``shutdown`` returns, then completes the requests in progress.

    :param listen: IP address and port, or several.
    :param grace_s: Maximum time in seconds to complete requests in progress.
    :param started: Called with the addresses once they accept connections.
    """
    context = None if tls is None else make_server_context(tls)
    addresses = [listen] if isinstance(listen, str) else listen
    config = ServerConfig(addresses, grace_s, context)
    async with anyio.create_task_group() as tasks:
        if tls is not None and context is not None:
            tasks.start_soon(CertificateReloader(tls, context).run)
        async with anyio.create_task_group() as serving:
            addresses = await serving.start(
                partial(serve, app, config, shutdown_trigger=shutdown)
            )
            if started is not None:
                started(addresses)
        tasks.cancel_scope.cancel()
