"""Fair sharing of a full cell while one organisation submits six times its weight."""

from __future__ import annotations

import random

import anyio
import pytest

from bench.planner_day import make_nodes
from lacewinghold.organisations.excess import ExcessEstimator
from lacewinghold.organisations.rates import RateAccount
from lacewinghold.organisations.shares import WeightedShares
from lacewinghold.scheduler.metrics import CellMetrics
from lacewinghold.scheduler.policy import Planner
from lacewinghold.scheduler.ports import Manifest, Organisation, Queue, Resources
from lacewinghold.testing.step_cell import HOST
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.util.bearer import hash_key
from tests.test_organisations.test_keys import call, put_manifest
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_policy import make_step

WEIGHT = 10.0
FLOOD = 6
JOB = {"spec": "work", "steps": [{"count": 1, "cpu": 1000, "memMb": 100}]}


def organisations(weight=WEIGHT):
    """Returns two organisations; the key of each is its name."""
    names = ("calm", "flood")
    return [Organisation(name, frozenset({hash_key(name)}), weight) for name in names]


def test_work_within_the_rate_is_placed_before_the_excess_of_a_flood():
    rates = RateAccount()
    calm, flood = organisations()
    steps = []
    for number in range(300):
        at = number / (FLOOD * WEIGHT)
        for organisation in (flood, calm) if number % 7 == 0 else (flood,):
            urgency = 0 if organisation is flood else 1
            queue = Queue("q", "h", "/q/", "s", urgency, 2, 2.0, 100.0)
            made = make_step(f"{organisation.name}{number}", queue, 1, 1000)
            made.job.record.organisation = organisation.name
            made.job.excess = rates.record_job(organisation, "s", at)
            assert not (organisation is calm and made.job.excess)
            steps.append(made)
    assert sum(made.job.excess for made in steps) == pytest.approx(240, abs=2)
    nodes = make_nodes(12)
    ids = frozenset(node.id for node in nodes)
    planner = Planner(5.0, nodes, lambda step: ids, lambda step, node: True)
    placed = [placement.step for placement in planner.make_plan(steps).placements]
    within = [made for made in steps if not made.job.excess]
    names = {made.name for made in placed[: len(within)]}
    assert names == {made.name for made in within}
    assert len(placed) > len(within)


def test_organisation_above_its_weighted_dominant_share_is_behind():
    """Guards against one organisation that uses much memory and little CPU."""
    used = {
        ("s", "wide"): Resources(100, 600),
        ("s", "calm"): Resources(200, 200),
        ("other", "calm"): Resources(900, 900),
    }
    weights = {"wide": 1.0, "calm": 1.0, "idle": 2.0, "none": 0.0}
    waiting = [("s", "wide"), ("s", "calm"), ("s", ""), ("s", "none")]
    shares = WeightedShares(weights, used, {"s": Resources(1000, 1000)}, waiting)
    assert shares.is_above("s", "wide")
    assert not shares.is_above("s", "calm")
    assert shares.is_above("s", "none")
    assert shares.is_above("s", "")
    busier = WeightedShares(
        weights, used, {"s": Resources(1000, 1000)}, [*waiting, ("s", "idle")] * 2
    )
    assert not busier.is_above("s", "calm")
    assert not busier.is_above("s", "idle")


@pytest.mark.parametrize("weight", [0.5, 2.0, 43.0])
def test_excess_share_follows_a_flood_and_spares_random_arrivals_below_the_rate(weight):
    """Guards against refusing callers inside their rate for chance alone."""
    rng = random.Random(1)
    estimator = ExcessEstimator(CellMetrics())
    named = {found.name: found for found in organisations(weight)}
    shares = []
    for second in range(600):
        last = estimator.shares.get("flood", 0.0)
        calm = sum(rng.random() < 0.009 for _ in range(int(weight * 100)))
        flood = round(FLOOD * weight * (1 - last)) if second < 300 else 0
        accepted = {("s", "calm"): calm, ("s", "flood"): flood}
        estimator.update(1.0, accepted, Manifest(1, [], named), {"s"})
        assert "calm" not in estimator.shares
        shares.append(estimator.shares.get("flood", 0.0))
    if weight > 1:
        assert shares[20:300] == pytest.approx([5 / 6] * 280, abs=0.15)
    assert shares[310:] == [0.0] * 290
    estimator.update(1.0, {("s", "flood"): 1000}, Manifest(1, [], named), {"other"})
    assert estimator.shares == {}


@pytest.mark.parametrize("relayed", [False, True])
def test_flood_is_refused_and_callers_inside_their_rate_are_not(relayed):
    """Guards, too, against a relayed refusal that turns into another answer."""
    queues = [Queue("keyed", HOST, "/fast/", "service", 0, 2, 1.0, 0.5)]
    answers = {"calm": [], "flood": []}

    async def submit(cell, name, job, number):
        cell.behaviours[job] = Behaviour(2.0)
        cell.make_job(job, [step()])
        answer = await call(cell, "POST", f"/fast/{job}", name, JOB, number)
        answers[name].append((job, *answer))

    async def program(cell):
        await put_manifest(cell, 2, *organisations(4.0))
        member = next(m for m in cell.members if m is not cell.owner())
        number = cell.members.index(member)
        member.store.reachable = not relayed
        await anyio.sleep(3.0)
        for tick in range(30 * 24):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(submit, cell, "flood", f"f{tick}", number)
                if tick % 7 == 0:
                    tasks.start_soon(submit, cell, "calm", f"c{tick}", number)
            await anyio.sleep(1 / 24)
        assert {status for _, status, *_ in answers["calm"]} == {200}
        refused = [found for found in answers["flood"] if found[1] == 429]
        assert len(refused) > 100
        after_s = {int(headers[b"retry-after"]) for _, _, headers, _ in refused}
        assert after_s == {1, 2, 3, 4}
        stored = {key.rsplit("/", 1)[-1] for key in cell.state.keys}
        assert not any(job in key for job, *_ in refused for key in stored)
        accepted = next(job for job, status, *_ in answers["flood"] if status == 200)
        for _ in range(20):
            again = await call(cell, "POST", f"/fast/{accepted}", "flood", JOB, number)
            assert again[0] == 200
        owner = cell.owner()
        assert any(job.excess for job in owner.instance.owner.table.jobs.values())
        cell.kill(owner)
        await cell.wait_for_owner()
        found = cell.owner().instance.owner.table.jobs.values()
        assert found
        assert not any(job.excess for job in found)

    run_cell(program, queues=queues)
