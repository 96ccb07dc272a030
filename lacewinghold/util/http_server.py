"""Serves an ASGI application inside the process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lacewinghold.schema.generated.settings import Tls


async def serve_http(
    app: Any,
    listen: str,
    shutdown: Callable[[], Awaitable[None]],
    grace_s: float,
    tls: Tls | None = None,
) -> None:
    """Serves until ``shutdown`` returns, then finishes what is in progress.

    :param listen: IP address and port.
    :param grace_s: Longest time in seconds for requests in progress.
    """
    config = Config()
    config.bind = [listen]
    config.graceful_timeout = grace_s
    config.accesslog = None
    config.errorlog = None
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.key
    await serve(app, config, shutdown_trigger=shutdown)
