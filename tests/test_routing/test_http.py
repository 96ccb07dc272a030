"""The HTTP interface for requests: headers, asking later, a caller who leaves."""

from __future__ import annotations

import anyio
import httpx
import pytest
from support import ONE_CENTRE, make_shape, serving_cell

from lacewinghold.api.app import make_app
from lacewinghold.api.services import parse_priority
from lacewinghold.testing.clock import run_paused

KEY = {"Authorization": "Bearer operators-key"}
ONCE = {**KEY, "Lacewinghold-Repeatable": "no", "Idempotency-Key": "deposit-7"}
URL = "http://entry/v1/services/booking/deposits"


async def ask_later():
    async with serving_cell(81, make_shape(ONE_CENTRE, 2, 2)) as cell:
        first, second = (
            httpx.AsyncClient(
                transport=httpx.ASGITransport(make_app(running.instance)),
                timeout=None,
            )
            for running in cell.instances.values()
        )
        cell.backend_links.default_time_s = 3.0
        late = await first.post(
            URL, content=b"5", headers={**ONCE, "Lacewinghold-Timeout": "1"}
        )
        waiting = await second.get("http://entry/v1/requests/deposit-7", headers=KEY)
        await anyio.sleep(4)
        found = await second.get("http://entry/v1/requests/deposit-7", headers=KEY)
        again = await second.post(URL, content=b"5", headers=ONCE)
        other = await second.post(URL, content=b"6", headers=ONCE)
        missing = await second.get("http://entry/v1/requests/none", headers=KEY)
        wrong = await first.post(
            URL, content=b"5", headers={**KEY, "Lacewinghold-Timeout": "601"}
        )
        runs = sum(cell.backend_links.runs.values())
        return late, waiting, found, again, other, missing, wrong, runs


def test_late_answer_is_found_by_key_at_another_instance():
    late, waiting, found, again, other, missing, wrong, runs = run_paused(
        ask_later, seed=81
    )
    assert late.status_code == 504
    assert late.json()["type"].endswith("outcome_unknown")
    assert waiting.json()["state"] in ("intent", "unknown")
    assert found.json()["state"] == "answered"
    assert (again.status_code, again.content) == (200, b"5")
    assert other.status_code == 409
    assert missing.status_code == 404
    assert wrong.status_code == 422
    assert runs == 1


@pytest.mark.parametrize(
    ("header", "priority"),
    [("", 1), ("u=0", 2), ("u=1, i", 2), ("i, u=3", 1), ("u=7", 0), ("u=9", 1)],
)
def test_priority_header(header, priority):
    assert parse_priority(header) == priority
