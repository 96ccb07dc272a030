"""Edits of the document: concurrent edits, checks, lost replies, history."""

from __future__ import annotations

import json
from pathlib import Path

import anyio
import httpx
import msgspec
import pytest
from result import Err, Ok

from lacewinghold.api.app import make_app
from lacewinghold.document.changes import MAX_BODIES, MAX_CHANGES
from lacewinghold.document.checks import check_section
from lacewinghold.document.editor import Edit
from lacewinghold.errors import ErrorKind
from lacewinghold.schema.generated.document import Section, SectionKind
from lacewinghold.store.base import CallKind, Delete, Transaction
from lacewinghold.testing.paused import run_session
from lacewinghold.testing.store import StoreFault
from lacewinghold.util.bearer import hash_key

TEAMS = {"operators": "operators-key", "counters": "c-key", "routes": "r-key"}
TIMING = {"kind": SectionKind.TIMING, "author": "operators", "operator": True}


def timing(expected, hold_s, write=""):
    return Edit(
        section="timing",
        body={"hold_s": hold_s},
        expected=expected,
        write=write,
        comment=f"hold {hold_s}",
        **TIMING,
    )


async def accepted(instance, edit):
    result = await instance.editor.edit(edit)
    assert isinstance(result, Ok), result
    return result.ok_value


def timing_changes(cell):
    return sum(
        item.key == cell.keys.section("timing")
        for batch in cell.state.history
        for item in batch.puts
    )


def test_racing_edits_of_one_section_have_one_winner_and_a_diff():
    async def program(cell, instances):
        first = await accepted(instances[0], timing(0, 10))
        await anyio.sleep(0.1)
        outcomes = []

        async def race(index):
            edit = timing(first.revision, 100 + index)
            outcomes.append(await instances[index % 3].editor.edit(edit))

        async with anyio.create_task_group() as tasks:
            for index in range(50):
                tasks.start_soon(race, index)
        return outcomes

    for seed in range(3):
        outcomes = run_session(program, TEAMS, seed=seed)
        assert sum(isinstance(outcome, Ok) for outcome in outcomes) == 1
        for outcome in outcomes:
            if isinstance(outcome, Ok):
                continue
            assert outcome.err_value.kind is ErrorKind.PRECONDITION_FAILED
            assert "$.body.hold_s: 10 -> 1" in outcome.err_value.detail


def test_burst_of_edits_of_different_sections_all_succeed():
    async def program(cell, instances):
        async def one(index):
            edit = Edit(f"t{index}", SectionKind.TEAM, {}, 0, "counters")
            await accepted(instances[index % 3], edit)

        async with anyio.create_task_group() as tasks:
            for index in range(50):
                tasks.start_soon(one, index)
        await anyio.sleep(1)
        return [len(instance.document.sections()) for instance in instances]

    assert run_session(program, TEAMS) == [52, 52, 52]


@pytest.mark.parametrize("later", [False, True])
def test_lost_reply_is_accepted_and_a_repeat_changes_nothing(later):
    async def program(cell, instances):
        first = await accepted(instances[0], timing(0, 10))
        await anyio.sleep(0.1)
        lossy = next(iter(cell.instances.values())).store
        edit = timing(first.revision, 20, "write-1")
        results = []

        async def author():
            results.append(await instances[0].editor.edit(edit))

        async def somebody_else():
            while timing_changes(cell) < 2:
                await anyio.sleep(0.0005)
            revision = cell.state.revision
            await anyio.sleep(0.01)
            await accepted(instances[1], timing(revision, 30))

        lossy.faults.append(StoreFault.REPLY_LOST)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(author)
            if later:
                tasks.start_soon(somebody_else)
        await anyio.sleep(0.1)
        again = await accepted(instances[2], edit)
        assert results[0].ok_value.revision == again.revision
        assert again.repeated
        other = await instances[2].editor.edit(timing(first.revision, 21, "write-1"))
        assert other.err_value.kind is ErrorKind.CONFLICT
        return timing_changes(cell)

    assert run_session(program, TEAMS) == (3 if later else 2)


def cell_body(**changes):
    teams = {
        name: {"role": "team", "keys": [{"sha256": hash_key(key)}], "share": 0.3}
        for name, key in TEAMS.items()
    }
    teams["operators"]["role"] = "operator"
    body = {"teams": teams, "services": {"booking": {"team": "counters"}}}
    return {**body, **changes}


def test_refused_edits_name_the_json_path():
    async def program(cell, instances):
        revision = instances[0].document.section("cell").revision
        found = []

        async def refused(kind, section, body, expected, author="operators"):
            edit = Edit(section, kind, body, expected, author, author == "operators")
            result = await instances[0].editor.edit(edit)
            assert isinstance(result, Err), result
            found.append((result.err_value.kind, result.err_value.field))

        async def refused_cell(body):
            await refused(SectionKind.CELL, "cell", body, revision)

        base = cell_body()
        edit = Edit("cell", SectionKind.CELL, base, revision, "operators", True)
        revision = (await accepted(instances[0], edit)).revision
        await anyio.sleep(0.1)
        body = {"services": {"booking": {"attempts": 3}}}
        edit = Edit("rules", SectionKind.TEAM, body, 0, "counters")
        await accepted(instances[0], edit)
        await anyio.sleep(0.1)
        locked = cell_body()
        locked["teams"]["operators"]["keys"] = []
        await refused_cell(locked)
        await refused_cell(cell_body(services={}))
        await refused_cell(cell_body(services={"booking": {"team": "nobody"}}))
        shares = cell_body()
        shares["teams"]["routes"]["share"] = 0.9
        await refused_cell(shares)
        gone = cell_body()
        del gone["teams"]["counters"]
        gone["services"]["booking"]["team"] = "routes"
        await refused_cell(gone)
        kind = SectionKind.TEAM
        await refused(kind, "r2", {"services": {"proofs": {}}}, 0, "routes")
        await refused(kind, "r2", body, 0, "routes")
        await refused(kind, "r2", {"services": {"a": {"attempts": 0}}}, 0)
        owned = instances[0].document.section("rules").revision
        await refused(kind, "rules", {}, owned, "routes")
        return found

    kinds_and_paths = run_session(program, TEAMS)
    assert kinds_and_paths == [
        (ErrorKind.INVALID, "$.body.teams.operators"),
        (ErrorKind.INVALID, "$.body.services"),
        (ErrorKind.INVALID, "$.body.services.booking.team"),
        (ErrorKind.INVALID, "$.body.teams"),
        (ErrorKind.INVALID, "$.body.teams"),
        (ErrorKind.INVALID, "$.body.services.proofs"),
        (ErrorKind.INVALID, "$.body.services.booking"),
        (ErrorKind.INVALID, "$.body.services[...].attempts"),
        (ErrorKind.FORBIDDEN, ""),
    ]


def test_only_one_of_two_contradicting_concurrent_edits_succeeds():
    async def program(cell, instances):
        revision = instances[0].document.section("cell").revision
        base = cell_body()
        edit = Edit("cell", SectionKind.CELL, base, revision, "operators", True)
        revision = (await accepted(instances[0], edit)).revision
        await anyio.sleep(0.1)
        results = []

        async def race(instance, edit):
            results.append(await instance.editor.edit(edit))

        removal = cell_body(services={})
        edits = [
            Edit("cell", SectionKind.CELL, removal, revision, "operators", True),
            Edit("r", SectionKind.TEAM, {"services": {"booking": {}}}, 0, "counters"),
        ]
        async with anyio.create_task_group() as tasks:
            for index, edit in enumerate(edits):
                tasks.start_soon(race, instances[index], edit)
        return [result.is_ok() for result in results]

    for seed in range(8):
        assert sum(run_session(program, TEAMS, seed=seed)) == 1


def test_history_and_audit_are_bounded_and_in_the_same_transaction():
    async def program(cell, instances):
        revision = 0
        for index in range(MAX_CHANGES + 20):
            edit = timing(revision, index)
            revision = (await accepted(instances[0], edit)).revision
            await anyio.sleep(0.01)
        keys = list(cell.state.keys)
        bodies = sum(key.startswith("/lacewinghold/history/") for key in keys)
        audits = sum(key.startswith(cell.keys.audits) for key in keys)
        for batch in cell.state.history:
            written = {item.key for item in batch.puts}
            if cell.keys.section("timing") in written:
                assert any(key.startswith(cell.keys.audits) for key in written)
        writes = instances[0].ports.store.calls[CallKind.WRITE]
        return bodies, audits, writes

    bodies, audits, writes = run_session(program, TEAMS)
    assert bodies == MAX_BODIES
    assert audits == MAX_CHANGES
    assert writes <= MAX_CHANGES + 20 + 3


def test_large_value_is_refused_or_kept_whole():
    async def program(cell, instances):
        services = {f"s{i}": {"team": "counters"} for i in range(30_000)}
        revision = instances[0].document.section("cell").revision
        body = cell_body(services=services)
        edit = Edit("cell", SectionKind.CELL, body, revision, "operators", True)
        await accepted(instances[0], edit)
        size = len(cell.state.keys[cell.keys.section("cell")].value)
        services |= {f"t{i}": {"team": "counters"} for i in range(30_000)}
        body = cell_body(services=services)
        edit = msgspec.structs.replace(edit, body=body, expected=cell.state.revision)
        await anyio.sleep(0.1)
        refused = await instances[0].editor.edit(edit)
        return size, refused.err_value.kind

    size, kind = run_session(program, TEAMS)
    assert 800_000 < size < 1_000_000
    assert kind is ErrorKind.TOO_LARGE


def test_interface_from_dry_run_to_revert():
    async def program(cell, instances):
        transport = httpx.ASGITransport(make_app(instances[0]))
        headers = {"Authorization": "Bearer operators-key"}
        base = "http://memory/v1/document"
        async with httpx.AsyncClient(transport=transport, headers=headers) as client:

            async def put(hold_s, revision, query="", **more):
                await anyio.sleep(0.1)
                body = {"kind": "timing", "body": {"hold_s": hold_s}, "comment": "c"}
                sent = {"If-Match": f'"{revision}"', **more}
                return await client.put(
                    f"{base}/timing{query}", json=body, headers=sent
                )

            dry = await put(5, 0, "?dry_run=true")
            assert dry.json()["differences"][0]["path"] == "$.body.hold_s"
            assert (await client.get(f"{base}/timing")).status_code == 404
            first = (await put(5, 0)).json()["revision"]
            keyed = {"Idempotency-Key": "k"}
            second = (await put(6, first, **keyed)).json()
            repeat = (await put(6, first, **keyed)).json()
            assert (repeat["revision"], repeat["repeated"]) == (
                second["revision"],
                True,
            )
            stale = await put(7, first)
            assert stale.status_code == 412
            assert "$.body.hold_s: 5 -> 6" in stale.json()["detail"]
            query = f"from={first}&to={second['revision']}"
            diff = (await client.get(f"{base}/timing/diff?{query}")).json()
            assert diff == [{"path": "$.body.hold_s", "before": "5", "after": "6"}]
            match = {"If-Match": f'"{second["revision"]}"'}
            back = await client.post(
                f"{base}/timing/revert", json={"revision": first}, headers=match
            )
            assert back.status_code == 200, back.text
            await anyio.sleep(0.1)
            assert (await client.get(f"{base}/timing")).json()["body"] == {"hold_s": 5}
            history = (await client.get(f"{base}/timing/history")).json()
            return [entry["action"] for entry in history]

    assert run_session(program, TEAMS) == ["edit", "edit", "revert"]


def test_example_documents_pass_the_section_checks():
    for path in Path("examples").glob("*/document.json"):
        sections = [
            msgspec.convert(item, Section) for item in json.loads(path.read_text())
        ]
        for section in sections:
            others = [other for other in sections if other is not section]
            assert isinstance(check_section(section, others), Ok), section.name


def test_a_section_without_history_gets_one_at_its_first_change():
    async def program(cell, instances):
        cell.state.apply(Transaction([], [Delete(cell.keys.changes("cell"))]))
        section = instances[0].document.section("cell")
        edit = Edit(
            "cell", SectionKind.CELL, cell_body(), section.revision, "operators", True
        )
        await accepted(instances[0], edit)
        await anyio.sleep(0.1)
        late = await instances[1].editor.edit(edit)
        return late.err_value.detail

    assert "$.body.services.booking: (absent)" in run_session(program, TEAMS)
