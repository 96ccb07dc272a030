"""Caps in a whole cell: work beyond a cap waits, and goes on as room becomes free."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.ids import OrganisationId
from lacewinghold.scheduler.admission import BacklogMonitor
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import Organisation, Queue, Resources
from lacewinghold.testing.step_cell import HOST, MANIFEST_KEY, StoredManifest, advised
from tests.test_scheduler.support import run_cell, step


def test_step_wider_than_its_cap_goes_in_waves_also_with_advice():
    """Guards against a capped step that never asks for permissions (LOST)."""
    queue = advised(Queue("fast", HOST, "/fast/", "service", 0, 2, 2.0, 1), 0.02, 2.5)
    name = OrganisationId("a")
    cap = Resources(cpu_millis=2500)
    cap_of_all = Resources(cpu_millis=2500, memory_mb=10**6)

    async def program(cell):
        organisation = Organisation(name, cap=cap)
        manifest = StoredManifest(2, [queue], {name: organisation})
        await cell.put(MANIFEST_KEY, msgspec.json.encode(manifest))
        record = cell.make_job("j", [step(9)])
        record.organisation = name
        assert (await cell.members[0].instance.front.submit(record)).is_ok()
        usage = cell.owner().instance.owner.caps.usage
        with anyio.fail_after(20):
            while await cell.state_of("j") is not JobState.COMPLETED:
                assert usage.used.get(name, Resources()).within(cap_of_all)
                await anyio.sleep(0.05)
        assert not usage.used

    run_cell(program, queues=[queue])


@pytest.mark.parametrize(
    "wide", [step(3, all_at_once=True), step(1, cpu=3500)], ids=["together", "large"]
)
def test_small_tasks_do_not_keep_wide_work_below_the_cap_from_starting(wide):
    """Guards against a step for which the cap never has room at once (LOST)."""
    queue = Queue("fast", HOST, "/fast/", "service", 0, 2, 2.0, 1)
    name = OrganisationId("a")

    async def program(cell):
        organisation = Organisation(name, cap=Resources(cpu_millis=3000))
        manifest = StoredManifest(2, [queue], {name: organisation})
        await cell.put(MANIFEST_KEY, msgspec.json.encode(manifest))
        front = cell.members[0].instance.front
        for number in range(60):
            steps = [wide] if number == 3 else [step()]
            record = cell.make_job(f"j{number}", steps)
            record.organisation = name
            assert (await front.submit(record)).is_ok()
            await anyio.sleep(0.4)
        assert await cell.state_of("j3") is JobState.COMPLETED
        assert await cell.wait_for("j59", JobState.COMPLETED, 20)

    run_cell(program, queues=[queue], limit_s=120)


def test_work_that_waits_for_its_cap_is_not_ahead_of_other_organisations():
    """Guards against refusals of others for the backlog of a capped organisation."""
    queue = Queue("fast", HOST, "/fast/", "service", 0, 2, 20.0, 1)
    name = OrganisationId("a")

    async def program(cell):
        organisation = Organisation(name, cap=Resources(cpu_millis=2000))
        manifest = StoredManifest(2, [queue], {name: organisation})
        await cell.put(MANIFEST_KEY, msgspec.json.encode(manifest))
        for number in range(20):
            record = cell.make_job(f"j{number}", [step(4)])
            record.organisation = name
            assert (await cell.members[0].instance.front.submit(record)).is_ok()
        await anyio.sleep(0.5)
        instance = cell.owner().instance
        monitor = BacklogMonitor(instance, instance.owner)
        monitor.record_check()
        assert not monitor.pools["service"].work_ahead(0).cpu_milli_s

    run_cell(program, queues=[queue], limit_s=60)
