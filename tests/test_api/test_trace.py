"""The traceparent header is forwarded from the caller to the backend server."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import httpx

from lacewinghold.routing.base import BackendRequest
from lacewinghold.routing.http import HttpBackendLinks
from lacewinghold.testing.deployment import EXAMPLES

TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
SERVICE = (EXAMPLES / "terrasvuur" / "job-service.json").read_bytes()


def test_traceparent_is_forwarded_from_any_instance_to_the_backend(play):
    async def program(cell):
        counters = cell.caller("counters")
        assert (await counters.send("POST", "/v1/jobs", SERVICE)).status_code == 201
        await anyio.sleep(3)
        links, seen = cell.cell.backend_links, []
        exchange = links.exchange

        async def watch(worker, request):
            seen.append(request.traceparent)
            return await exchange(worker, request)

        links.exchange = watch
        for trace in [TRACE] * 10 + ["00-bad"]:
            answer = await counters.send_until_run(
                "POST", "/v1/services/booking/x", b"", {"traceparent": trace}
            )
            assert answer.is_success, answer.text
        assert seen == [TRACE] * 10 + [""]

    play(program)


def test_traceparent_is_sent_as_a_header_to_the_backend():
    sent = []

    def answer(request):
        sent.append(request.headers.get("traceparent"))
        name = "x-request-id"
        return httpx.Response(200, headers={name: request.headers[name]})

    async def program():
        transport = httpx.MockTransport(answer)
        links = HttpBackendLinks(lambda limits: httpx.AsyncClient(transport=transport))
        fields = {"worker": "w", "url": "http://w", "slots": 8, "connections": 64}
        record = SimpleNamespace(**fields)
        for trace in (TRACE, ""):
            request = BackendRequest("a", "s", "GET", "", b"", 1, 1, 1.0, "", trace)
            await links.exchange(record, request)

    anyio.run(program)
    assert sent == [TRACE, None]
