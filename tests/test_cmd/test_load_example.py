"""The example that sends requests to real processes."""

from __future__ import annotations

import runpy

import anyio
import httpx

from lacewinghold.testing.clock import run_paused
from tests.test_cmd.test_documented_commands import ROOT

URLS = ["http://one", "http://two"]
STARTS_AFTER_S = 3.0


def test_load_is_not_sent_before_every_instance_answers():
    """Guards against a refused connection to an instance that is still starting."""
    example = runpy.run_path(str(ROOT / "examples" / "load_requests.py"))

    async def program():
        began_at = anyio.current_time()

        def answer(request):
            late = request.url.host == "two"
            if late and anyio.current_time() < began_at + STARTS_AFTER_S:
                raise httpx.ConnectError("all attempts to connect failed")
            shards = 0 if late else example["SHARD_COUNT"]
            return httpx.Response(200, json={"shards": {"x": {"ready": shards}}})

        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport) as client:
            await example["wait_until_owned"](client, URLS)
        return anyio.current_time() - began_at

    assert run_paused(program, seed=1) >= STARTS_AFTER_S
