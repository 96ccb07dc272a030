"""A caller or operator who reaches entry instances through a balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import httpx

from lacewinghold.api.app import make_app

if TYPE_CHECKING:
    from lacewinghold.application import EntryInstance
    from lacewinghold.ids import TeamId
    from lacewinghold.testing.cell import Cell

BASE_URL = "http://cell"
REPEAT_LIMIT_S = 10.0
REPEAT_INTERVAL_S = 0.25


class FakeCaller:
    """Sends HTTP requests to entry instances of the same process.

    :param latency_s: One-way latency to the entry instances.
    """

    def __init__(self, cell: Cell, team: TeamId, key: str, latency_s: float) -> None:
        self.cell = cell
        self.team = team
        self.key = key
        self.latency_s = latency_s
        self.repeated = 0

    def choose(self) -> EntryInstance:
        """Returns a ready entry instance, as a balancer would."""
        running = [one.instance for one in self.cell.instances.values()]
        ready = [one for one in running if one.ready()] or running
        return self.cell.rng.choice(ready)

    async def send(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Sends one request and waits for its answer."""
        app: Any = make_app(self.choose())
        sent = {"Authorization": f"Bearer {self.key}", **(headers or {})}
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport, base_url=BASE_URL) as client:
            await anyio.sleep(self.latency_s)
            response = await client.request(method, path, content=content, headers=sent)
        await anyio.sleep(self.latency_s)
        return response

    async def send_until_run(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Sends a request, and again while it is refused as not run."""
        give_up_at = anyio.current_time() + REPEAT_LIMIT_S
        while True:
            response = await self.send(method, path, content, headers)
            if response.is_success or not response.json().get("may_repeat"):
                return response
            if anyio.current_time() >= give_up_at:
                return response
            self.repeated += 1
            await anyio.sleep(REPEAT_INTERVAL_S)
