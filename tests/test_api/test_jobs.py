"""Idempotency, team isolation, drains and the audit trail over HTTP."""

from __future__ import annotations

import json
from collections import Counter

import anyio

from lacewinghold.coordination.audit import OWNERSHIP_RING_SIZE
from lacewinghold.testing.store import StoreFault

BATCH = {
    "kind": "batch",
    "team": "routes",
    "tasks": 2,
    "resources": {"cores": 1, "memory_mb": 256},
    "expected_run_s": 600,
}


async def submit(caller, key="", **changes):
    headers = {"Idempotency-Key": key} if key else {}
    body = json.dumps({**BATCH, **changes}).encode()
    return await caller.send("POST", "/v1/jobs", body, headers)


def test_same_key_gives_same_job_everywhere(play):
    async def program(cell):
        routes = cell.caller("routes")
        answers = [await submit(routes, "plan-7") for _ in range(12)]
        assert {answer.status_code for answer in answers} == {201}
        assert len({answer.json()["job"] for answer in answers}) == 1
        assert len((await routes.send("GET", "/v1/jobs")).json()) == 1
        other = await submit(routes, "plan-7", tasks=3)
        assert other.status_code == 409
        assert other.json()["field"] == "Idempotency-Key"
        settlements = cell.caller("settlements")
        other_team = await submit(settlements, "plan-7", team="settlements")
        assert other_team.status_code == 201
        assert other_team.json()["job"] != answers[0].json()["job"]

    play(program)


def test_same_key_gives_same_job_after_lost_answers(play):
    async def program(cell):
        routes = cell.caller("routes")
        jobs = set()
        for attempt in range(8):
            for running in cell.cell.instances.values():
                running.store.faults = [StoreFault.REPLY_LOST] * (attempt % 3)
            answer = await submit(routes, "plan-8")
            if answer.is_success:
                jobs.add(answer.json()["job"])
        assert len(jobs) == 1
        assert len((await routes.send("GET", "/v1/jobs")).json()) == 1

    play(program)


def test_same_key_gives_same_job_when_its_shard_moves(play):
    async def program(cell):
        routes = cell.caller("routes")
        first = (await submit(routes, "plan-9")).json()["job"]
        for instance, running in list(cell.cell.instances.items()):
            if any(first.startswith(f"{s}~") for s in running.instance.manager.owners):
                cell.cell.kill(instance)
        again = await submit(routes, "plan-9")
        assert again.json()["job"] == first

    play(program)


def test_a_team_reads_and_changes_only_its_own_jobs_and_sections(play):
    async def program(cell):
        routes, counters = cell.caller("routes"), cell.caller("counters")
        job = (await submit(routes)).json()["job"]
        for method, path in (
            ("GET", f"/v1/jobs/{job}"),
            ("POST", f"/v1/jobs/{job}/cancel"),
            ("PUT", "/v1/workers/gent-a-r1-w0/drain"),
            ("GET", "/v1/document/cell"),
            ("GET", "/v1/document/team-routes"),
            ("GET", "/v1/document/team-routes/history"),
        ):
            answer = await counters.send(method, path)
            assert answer.status_code == 403, (method, path, answer.text)
        assert (await counters.send("GET", "/v1/jobs")).json() == []
        sections = (await counters.send("GET", "/v1/document")).json()
        assert [section["name"] for section in sections] == ["team-counters"]
        assert (await counters.send("GET", "/v1/audit")).json() == []
        await routes.send("POST", f"/v1/jobs/{job}/cancel")
        (seen,) = (await routes.send("GET", "/v1/audit")).json()
        assert (seen["actor"], seen["action"]) == ("routes", "cancel")
        other_team = await submit(counters)
        assert other_team.status_code == 403
        assert other_team.json()["field"] == "$.team"
        assert len((await cell.caller().send("GET", "/v1/jobs")).json()) == 1

    play(program)


async def workers_in_use(cell):
    views = (await cell.caller().send("GET", "/v1/jobs")).json()
    return {task["worker"] for view in views for task in view["tasks"]} - {None}


def test_a_drained_worker_gets_no_new_work(play):
    async def program(cell):
        operators, routes = cell.caller(), cell.caller("routes")
        workers = (await operators.send("GET", "/v1/workers")).json()
        assert len(workers) == 24
        drained = {w["worker"] for w in workers if w["data_centre"] == "gent-a"}
        for worker in sorted(drained):
            path = f"/v1/workers/{worker}/drain?comment=new+fans"
            assert (await operators.send("PUT", path)).is_success
            assert (await operators.send("PUT", path)).is_success
        await anyio.sleep(1)
        here = {"data_centre": "gent-a"}
        await submit(routes, where=here)
        await anyio.sleep(5)
        assert await workers_in_use(cell) == set()
        views = (await operators.send("GET", "/v1/workers")).json()
        assert {w["worker"] for w in views if w["drained"]} == drained
        for worker in sorted(drained):
            path = f"/v1/workers/{worker}/drain"
            assert (await operators.send("DELETE", path)).is_success
        await anyio.sleep(5)
        assert await workers_in_use(cell) <= drained
        assert len(await workers_in_use(cell)) > 0
        trail = (await operators.send("GET", "/v1/audit")).json()
        actions = Counter(record["action"] for record in trail)
        assert actions["drain"] == actions["undrain"] == len(drained)
        assert {r["detail"] for r in trail if r["action"] == "drain"} == {"new fans"}

    play(program)


def test_cancels_and_owners_are_audited_in_bounds(play):
    async def program(cell):
        operators, routes = cell.caller(), cell.caller("routes")
        job = (await submit(routes)).json()["job"]
        await routes.send("POST", f"/v1/jobs/{job}/cancel")
        for _ in range(OWNERSHIP_RING_SIZE):
            instance = sorted(cell.cell.instances)[0]
            settings = cell.cell.instances[instance].instance.settings
            await cell.cell.shut_down(instance)
            cell.cell.run_settings(settings)
            await anyio.sleep(5)
        trail = (await operators.send("GET", "/v1/audit")).json()
        assert trail == sorted(trail, key=lambda record: record["at"])
        (cancel,) = [record for record in trail if record["action"] == "cancel"]
        assert (cancel["actor"], cancel["subject"]) == ("routes", job)
        changes = Counter(r["subject"] for r in trail if "shard" in r["action"])
        assert len(changes) == 6
        assert max(changes.values()) == OWNERSHIP_RING_SIZE

    play(program)
