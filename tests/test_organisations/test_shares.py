"""Fair sharing of a full cell while one organisation submits six times its weight."""

from __future__ import annotations

import random

import anyio
import msgspec
import pytest

from bench.planner_day import make_nodes
from lacewinghold.organisations.excess import ExcessEstimator
from lacewinghold.organisations.rates import RateAccount
from lacewinghold.organisations.shares import WeightedShares
from lacewinghold.scheduler.admission import BacklogMonitor
from lacewinghold.scheduler.metrics import CellMetrics
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Manifest, Organisation, Queue, Resources
from lacewinghold.testing.step_cell import HOST
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.util.bearer import hash_key
from tests.test_organisations.test_keys import call, put_manifest
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_policy import make_step

FLOOD = 6
WIRE_STEP = {"count": 1, "cpu": 1000, "memMb": 100, "estRuntimeMs": 8000}
JOB = {"spec": "work", "steps": [WIRE_STEP]}
NODE = Resources(1000, 1000)


def organisations(weight):
    """Returns two organisations; the key of each is its name."""
    names = ("calm", "flood")
    return [Organisation(name, frozenset({hash_key(name)}), weight) for name in names]


def test_work_within_the_rate_is_placed_before_the_more_urgent_excess_of_a_flood():
    rates, steps = RateAccount(), []
    for number in range(300):
        for urgency, found in enumerate(reversed(organisations(10.0))):
            if urgency and number % 7:
                continue
            queue = Queue("q", "h", "/q/", "s", urgency, 2, 2.0, 100.0)
            made = make_step(f"{found.name}{number}", queue, 1, 1000)
            made.job.excess = rates.record_job(found, "s", number / (FLOOD * 10))
            assert found.name == "flood" or not made.job.excess
            steps.append(made)
    nodes = make_nodes(12)
    ids = frozenset(node.id for node in nodes)
    planner = Planner(5.0, nodes, lambda _: ids, lambda *_: True)
    placed = [placement.step for placement in planner.make_plan(steps).placements]
    within = {made.name for made in steps if not made.job.excess}
    assert len(within) == pytest.approx(43 + 60, abs=2)
    assert {made.name for made in placed[: len(within)]} == within
    assert len(placed) > len(within)


def test_organisation_above_its_weighted_dominant_share_is_behind():
    """Guards against an organisation that uses much of one resource only."""
    used = {("s", "wide"): Resources(100, 600), ("s", "calm"): Resources(200, 200)}
    used["other", "calm"] = Resources(900, 900)
    weights = {"wide": 1.0, "calm": 1.0, "idle": 4.0, "none": 0.0}
    names = ["wide", "calm", "", "none"]
    for waiting, expected in (
        (names, ["wide", "", "none"]),
        ([*names, "idle"], ["wide", "calm", "", "none"]),
    ):
        keys = [("s", name) for name in waiting]
        shares = WeightedShares(weights, used, {"s": NODE}, keys)
        assert [name for name in waiting if shares.is_above("s", name)] == expected


@pytest.mark.parametrize("weight", [0.5, 2.0, 43.0])
def test_excess_share_follows_a_flood_and_spares_random_arrivals_below_the_rate(weight):
    """Guards against refusing callers inside their rate for chance alone."""
    rng, estimator, shares = random.Random(1), ExcessEstimator(CellMetrics()), []
    manifest = Manifest(1, [], {found.name: found for found in organisations(weight)})
    for second in range(600):
        calm = sum(rng.random() < 0.009 for _ in range(int(weight * 100)))
        passed = 1 - estimator.shares.get("flood", 0.0)
        flood = round(FLOOD * weight * passed) if second < 300 else 0
        accepted = {("s", "calm"): calm, ("s", "flood"): flood}
        estimator.update(1.0, accepted, manifest, {"s"})
        assert "calm" not in estimator.shares
        shares.append(estimator.shares.get("flood", 0.0))
    if weight > 1:
        assert shares[20:300] == pytest.approx([5 / 6] * 280, abs=0.15)
    assert shares[310:] == [0.0] * 290
    estimator.update(1.0, {("s", "flood"): 1000}, manifest, {"other"})
    assert estimator.shares == {}


@pytest.mark.parametrize("relayed", [False, True])
def test_flood_is_refused_and_callers_inside_their_rate_are_not(relayed):
    """Guards, too, against a relayed refusal that turns into another answer."""
    queues = [Queue("keyed", HOST, "/fast/", "service", 0, 2, 1.0, 0.5)]
    answers = {}

    async def submit(cell, name, job, number):
        cell.behaviours[job] = Behaviour(2.0)
        cell.make_job(job, [step()])
        answers[job] = await call(cell, "POST", f"/fast/{job}", name, JOB, number)

    async def program(cell):
        await put_manifest(cell, 2, *organisations(4.0))
        member = next(m for m in cell.members if m is not cell.owner())
        number = cell.members.index(member)
        member.store.reachable = not relayed
        await anyio.sleep(3.0)
        instance = cell.owner().instance
        monitor = BacklogMonitor(instance, instance.owner)
        async with anyio.create_task_group() as tasks:
            for tick in range(30 * 24):
                if tick == 96:
                    monitor.record_check()
                    ahead = monitor.pools["service"].work_ahead(0)
                    assert ahead.cpu_milli_s < 50_000  # 145,000 with the excess.
                tasks.start_soon(submit, cell, "flood", f"f{tick}", number)
                if tick % 7 == 0:
                    tasks.start_soon(submit, cell, "calm", f"c{tick}", number)
                await anyio.sleep(1 / 24)
        assert {answers[job][0] for job in answers if job.startswith("c")} == {200}
        refused = [job for job in answers if answers[job][0] == 429]
        assert len(refused) > 100
        assert {int(answers[job][1][b"retry-after"]) for job in refused} == {1, 2, 3, 4}
        deciding = cell.members.index(cell.owner())
        for job in refused:
            found = await call(cell, "GET", f"/fast/{job}", "flood", None, deciding)
            assert found[0] == 410
        for _ in range(20):
            again = await call(cell, "POST", "/fast/f0", "flood", JOB, number)
            assert again[0] == 200
        assert any(job.excess for job in instance.owner.table.jobs.values())
        count = "lacewinghold_excess_refusals_total"
        registries = [each.instance.metrics.registry for each in cell.members]
        assert sum(each.get_sample_value(count) for each in registries) == len(refused)
        record = msgspec.structs.replace(cell.jobs["f0"], organisation="flood")
        assert any(instance.admission.is_excess(record) for _ in range(50))
        cell.kill(cell.owner())
        found = (await cell.wait_for_owner()).instance.owner.table.jobs.values()
        assert {job.excess for job in found} == {False}
        member = cell.members[-1].instance
        assert not any(member.admission.is_excess(record) for _ in range(50))

    run_cell(program, queues=queues)
