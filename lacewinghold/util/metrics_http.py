"""Serves metrics as text over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricsApp:
    """An ASGI application that returns the metrics for every GET request.

    :param render: Returns the metrics as text.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self.render = render

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serves one HTTP request or the ASGI lifespan protocol."""
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": message["type"] + ".complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        if scope["type"] != "http":
            return
        body = self.render() if scope["method"] == "GET" else b""
        headers = [
            (b"content-type", CONTENT_TYPE),
            (b"content-length", str(len(body)).encode()),
        ]
        status = 200 if scope["method"] == "GET" else 405
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body})
