"""An owner that is late itself: what its log and its metrics tell."""

from __future__ import annotations

import anyio
from structlog.testing import capture_logs

from lacewinghold.events import Event
from lacewinghold.scheduler.model import JobState
from tests.test_scheduler.support import run_cell, step


def sample(member, name, **labels):
    registry = member.instance.metrics.registry
    return registry.get_sample_value(f"lacewinghold_{name}", labels)


def test_lapsed_ownership_tells_when_it_was_renewed_last():
    async def program(cell):
        owner = cell.owner()
        owner.gate_store.close()
        await anyio.sleep(4.0)
        owner.gate_store.open()
        await anyio.sleep(2.0)

    with capture_logs() as lines:
        run_cell(program, instances=1)
    lapsed = [line for line in lines if line["event"] is Event.OWNERSHIP_LAPSED]
    assert lapsed
    assert 3.5 < lapsed[0]["renewed_ago_s"] < 5.0
    assert lapsed[0]["lag_s"] == 0.0


def test_metrics_tell_of_renewals_loading_and_plans():
    async def program(cell):
        await cell.submit("one", [step()])
        assert await cell.wait_for("one", JobState.COMPLETED, 10)
        owner = cell.owner()
        owner.instance.render_metrics()
        assert sample(owner, "renewal_seconds_count") >= 3
        assert sample(owner, "renewal_margin_seconds_bucket", le="0.5") == 0
        assert sample(owner, "load_seconds_count") == 1
        assert sample(owner, "loaded_jobs_sum") == 0
        assert sample(owner, "plan_seconds_count") > 0
        assert sample(owner, "late_seconds_bucket", le="0.002") > 20
        assert sample(owner, "lag_seconds") == 0

    run_cell(program)
