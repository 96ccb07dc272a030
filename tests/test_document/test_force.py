"""Where a change is in force, and decisions after the rule lease expired."""

from __future__ import annotations

import anyio
import msgspec
import pytest
from result import Err, Ok

from lacewinghold.document.editor import Edit
from lacewinghold.document.spread import CONFIRM_INTERVAL_S
from lacewinghold.errors import ErrorKind, InvariantViolation
from lacewinghold.ids import Revision
from lacewinghold.invariants import Invariant, violations
from lacewinghold.schema.generated.document import SectionKind
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources
from lacewinghold.schema.generated.messages import ServiceRequest
from lacewinghold.schema.generated.worker import Start
from lacewinghold.store.base import CallKind
from lacewinghold.testing.paused import SMALL, run_session

TEAMS = {"operators": "operators-key", "counters": "c-key", "routes": "r-key"}
RULE_LEASE_S = 20.0


async def edit(instance, section, kind, body):
    old = instance.document.section(section)
    revision = old.revision if old else 0
    result = await instance.editor.edit(
        Edit(section, kind, body, revision, "operators", True, "operators")
    )
    assert isinstance(result, Ok), result
    await anyio.sleep(0.2)
    return result.ok_value.revision


async def status(instance, section, revision=None):
    result = await instance.force.status(section, revision)
    assert isinstance(result, Ok), result
    return result.ok_value


async def shorten_rule_lease(instance):
    body = {"rule_lease_s": RULE_LEASE_S}
    return await edit(instance, "timing", SectionKind.TIMING, body)


@pytest.mark.parametrize("then", ["go_on", "refuse"])
def test_cut_off_instance_lags_until_it_refuses_or_reconnects(then):
    async def program(cell, instances):
        first, second, third = instances
        await shorten_rule_lease(first)
        await anyio.sleep(100)
        rule = {"when_cut_off": then}
        await edit(first, "rules", SectionKind.TEAM, rule)
        assert (await status(second, "rules")).everywhere
        cell.cut_off(third.instance, cut=True)
        body = {**rule, "services": {}}
        revision = await edit(first, "rules", SectionKind.TEAM, body)
        accepted_at = cell.clock.now()
        seen = await status(second, "rules")
        assert not seen.everywhere
        assert seen.in_force == ["antwerpen-b", "gent-a"]
        [laggard] = seen.lagging
        assert laggard.instance == third.instance
        assert abs(laggard.since - accepted_at) < 1
        assert isinstance(third.rules.permit("operators"), Ok)
        assert isinstance(third.rules.permit("counters"), Ok)
        await anyio.sleep(RULE_LEASE_S + 1)
        seen = await status(second, "rules", revision)
        [laggard] = seen.lagging
        assert laggard.rule_lease_over
        assert not laggard.live
        assert seen.everywhere is (then == "refuse")
        assert isinstance(third.rules.permit("operators"), Ok) is (then == "go_on")
        assert isinstance(third.rules.permit("counters"), Ok)
        cell.cut_off(third.instance, cut=False)
        await anyio.sleep(10)
        assert (await status(second, "rules", revision)).lagging == []
        return (await status(third, "rules")).everywhere

    assert run_session(program, TEAMS)


def test_change_is_not_everywhere_if_the_lagging_version_continues_when_cut_off():
    async def program(cell, instances):
        first, second, third = instances
        await shorten_rule_lease(first)
        await anyio.sleep(100)
        await edit(first, "rules", SectionKind.TEAM, {"when_cut_off": "go_on"})
        assert (await status(second, "rules")).everywhere
        cell.cut_off(third.instance, cut=True)
        await edit(first, "rules", SectionKind.TEAM, {"when_cut_off": "refuse"})
        await anyio.sleep(RULE_LEASE_S + 1)
        assert isinstance(third.rules.permit("operators"), Ok)
        return (await status(second, "rules")).everywhere

    assert not run_session(program, TEAMS)


def test_shortened_rule_lease_counts_only_once_the_longer_one_is_over():
    async def program(cell, instances):
        first, second, third = instances
        await edit(
            first, "rules", SectionKind.TEAM, {"when_cut_off": "refuse", "services": {}}
        )
        assert (await status(second, "rules")).everywhere
        cell.cut_off(third.instance, cut=True)
        await shorten_rule_lease(first)
        await edit(first, "rules", SectionKind.TEAM, {"when_cut_off": "refuse"})
        found = []
        for _ in range(3):
            await anyio.sleep(RULE_LEASE_S + 5)
            permitted = isinstance(third.rules.permit("operators"), Ok)
            found.append((permitted, (await status(second, "rules")).everywhere))
        return found

    assert run_session(program, TEAMS) == [(True, False), (True, False), (False, True)]


def test_dead_instance_lags_until_the_platform_says_that_it_is_gone():
    async def program(cell, instances):
        dead = instances[2].instance
        cell.kill(dead)
        await anyio.sleep(10)
        await edit(instances[0], "rules", SectionKind.TEAM, {})
        before = (await status(instances[0], "rules")).everywhere
        cell.instance_list.removed_instances.append(dead)
        await anyio.sleep(10)
        return before, (await status(instances[0], "rules")).everywhere

    assert run_session(program, TEAMS) == (False, True)


def test_change_does_not_wait_for_an_instance_that_shut_down():
    async def program(cell, instances):
        await cell.shut_down(instances[2].instance)
        await anyio.sleep(1)
        await edit(instances[0], "rules", SectionKind.TEAM, {})
        return (await status(instances[0], "rules")).everywhere

    assert run_session(program, TEAMS)


def test_start_under_older_rules_is_stopped_by_an_assertion():
    shape = msgspec.structs.replace(SMALL, workers_per_data_centre=1)

    async def program(cell, instances):
        await cell.wait_ready(3)
        await edit(instances[0], "rules", SectionKind.TEAM, {"when_cut_off": "refuse"})
        await anyio.sleep(1)
        owner = next(iter(instances[0].manager.owners.values()))
        spec = JobSpec(
            kind=JobKind.BATCH,
            team="operators",
            tasks=1,
            resources=Resources(cores=1, memory_mb=1),
            expected_run_s=1.0,
        )
        accepted = await owner.accept(spec, "")
        task = owner.jobs[accepted.ok_value].tasks[0]
        worker = next(iter(owner.workers.values()))
        start = Start(
            task=task.id,
            resources=spec.resources,
            incarnation=worker.incarnation,
            not_after=0.0,
            hold_until=0.0,
        )
        present = owner.rules.permit("operators").ok_value
        worker.limit_start(start, task, present)
        assert start.document_revision == present
        with pytest.raises(InvariantViolation):
            worker.limit_start(start, task, Revision(present - 1))
        stopped = violations.pop(Invariant.RULE_LEASE)
        instances[0].rules.confirmed_at = -1e9
        instances[0].view.read_at = -1e9
        with pytest.raises(InvariantViolation):
            worker.limit_start(start, task, present)
        engine = owner.placer.engine
        engine.add(owner.placer.make_work("s~waiting", [task]), owner.now())
        engine.begin_round(owner.now())
        assert engine.place_next(owner.now()) is None
        assert engine.remove("s~waiting") is not None
        request = ServiceRequest(
            "booking", owner.shard, "r", "operators", "GET", "/", b"", 1.0, True, ""
        )
        refused = await instances[0].requests.check_permit(owner, request)
        assert refused.err_value.kind is ErrorKind.NOT_RUN
        assert instances[0].rules.remaining_s("operators") == 0
        return stopped + violations.pop(Invariant.RULE_LEASE)

    assert run_session(program, TEAMS, shape=shape) == 2


def test_silent_watch_is_replaced():
    async def program(cell, instances):
        cell.instances[instances[2].instance].store.watch_silent = True
        revision = await edit(instances[0], "rules", SectionKind.TEAM, {})
        assert instances[2].view.document_revision < revision
        cell.instances[instances[2].instance].store.watch_silent = False
        await anyio.sleep(CONFIRM_INTERVAL_S + 2)
        return instances[2].view.document_revision == revision

    assert run_session(program, TEAMS)


def test_slow_but_progressing_watch_is_not_replaced():
    async def program(cell, instances):
        store = cell.instances[instances[2].instance].store
        plain = store.changes

        async def slow(prefix, after):
            async for batch in plain(prefix, after):
                await anyio.sleep(0.4)
                yield batch

        store.changes = slow
        instances[2].view.reload()
        await anyio.sleep(3)
        watches = store.calls[CallKind.WATCH]
        for index in range(30):
            then = "refuse" if index % 2 else "go_on"
            await edit(instances[0], "rules", SectionKind.TEAM, {"when_cut_off": then})
        await anyio.sleep(10)
        assert store.calls[CallKind.WATCH] == watches
        return instances[2].view.document_revision, instances[0].view.document_revision

    late, first = run_session(program, TEAMS)
    assert late == first


def test_instance_decides_only_after_applying_the_document_as_of_its_registration():
    async def program(cell, instances):
        first = instances[0]
        assert isinstance(first.rules.permit("operators"), Ok)
        first.lease.registered = Revision(first.view.revision + 1)
        return first.rules.permit("operators")

    assert isinstance(run_session(program, TEAMS), Err)


def test_status_of_an_unknown_revision_is_refused():
    async def program(cell, instances):
        return await instances[0].force.status("cell", 10**6)

    assert isinstance(run_session(program, TEAMS), Err)
