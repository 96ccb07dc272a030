"""The HTTP interface for requests: headers and look-ups by idempotency key."""

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


async def look_up_late_answer():
    async with serving_cell(81, make_shape(ONE_CENTRE, 2, 2)) as cell:
        first, second = (
            httpx.AsyncClient(
                transport=httpx.ASGITransport(make_app(running.instance)),
                timeout=None,
            )
            for running in cell.instances.values()
        )
        cell.backend_links.default_time_s = 3.0
        timed_out = await first.post(
            URL, content=b"5", headers={**ONCE, "Lacewinghold-Timeout": "1"}
        )
        before_answer = await second.get(
            "http://entry/v1/requests/deposit-7", headers=KEY
        )
        await anyio.sleep(4)
        found = await second.get("http://entry/v1/requests/deposit-7", headers=KEY)
        repeat = await second.post(URL, content=b"5", headers=ONCE)
        key_conflict = await second.post(URL, content=b"6", headers=ONCE)
        missing = await second.get("http://entry/v1/requests/none", headers=KEY)
        too_long = await first.post(
            URL, content=b"5", headers={**KEY, "Lacewinghold-Timeout": "601"}
        )
        runs = sum(cell.backend_links.runs.values())
        return (
            timed_out,
            before_answer,
            found,
            repeat,
            key_conflict,
            missing,
            too_long,
            runs,
        )


def test_late_answer_is_found_by_key_at_another_instance():
    timed_out, before_answer, found, repeat, key_conflict, missing, too_long, runs = (
        run_paused(look_up_late_answer, seed=81)
    )
    assert timed_out.status_code == 504
    assert timed_out.json()["type"].endswith("outcome_unknown")
    assert before_answer.json()["state"] in ("intent", "unknown")
    assert found.json()["state"] == "answered"
    assert (repeat.status_code, repeat.content) == (200, b"5")
    assert key_conflict.status_code == 409
    assert missing.status_code == 404
    assert too_long.status_code == 422
    assert runs == 1


@pytest.mark.parametrize(
    ("header", "priority"),
    [("", 1), ("u=0", 2), ("u=1, i", 2), ("i, u=3", 1), ("u=7", 0), ("u=9", 1)],
)
def test_priority_header(header, priority):
    assert parse_priority(header) == priority
