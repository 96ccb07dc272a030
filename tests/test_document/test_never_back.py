"""No instance ever returns to an older version of the document."""

from __future__ import annotations

import anyio
from result import Err, Ok

from lacewinghold.document.editor import Edit
from lacewinghold.errors import ErrorKind
from lacewinghold.ids import DataCentreId
from lacewinghold.schema.generated.document import SectionKind
from lacewinghold.schema.generated.messages import (
    DocumentSections,
    DocumentState,
    MessageKind,
)
from lacewinghold.testing.paused import run_session

TEAMS = {"operators": "operators-key", "counters": "c-key", "routes": "r-key"}


async def edit_rules(instance, refuse):
    section = instance.document.section("rules")
    revision = section.revision if section else 0
    body = {"when_cut_off": "refuse" if refuse else "go_on"}
    edit = Edit("rules", SectionKind.TEAM, body, revision, "operators", True)
    result = await instance.editor.edit(edit)
    await anyio.sleep(0.2)
    return result


def is_refusing(instance):
    return instance.document.section("rules").body["when_cut_off"] == "refuse"


def use_store(cell, state):
    for running in cell.instances.values():
        running.store.state = state


def test_store_restored_from_an_older_backup_is_refused():
    async def program(cell, instances):
        await edit_rules(instances[0], False)
        backup = cell.state.copy()
        await edit_rules(instances[0], True)
        use_store(cell, backup)
        for instance in instances:
            instance.view.reload()
        await anyio.sleep(10)
        refused = await edit_rules(instances[1], False)
        assert refused.err_value.kind is ErrorKind.STORE_REGRESSED
        assert all(instance.view.regressed for instance in instances)
        assert all(is_refusing(instance) for instance in instances)
        use_store(cell, cell.state)
        await anyio.sleep(10)
        assert not any(instance.view.regressed for instance in instances)
        return isinstance(await edit_rules(instances[1], False), Ok)

    assert run_session(program, TEAMS)


def test_older_store_with_the_same_sections_is_refused():
    async def program(cell, instances):
        await edit_rules(instances[0], True)
        backup = cell.state.copy()
        peer = cell.start_instance(DataCentreId("gent-a"), "mate")
        await anyio.sleep(1)
        store = cell.instances[instances[2].instance].store
        store.state = backup
        instances[2].view.reload()
        await anyio.sleep(0.5)
        return instances[2].view.regressed, peer in instances[2].view.roster()

    assert run_session(program, TEAMS) == (True, True)


def test_older_store_with_a_higher_revision_counter_is_refused():
    async def program(cell, instances):
        await edit_rules(instances[0], False)
        backup = cell.state.copy()
        await edit_rules(instances[0], True)
        backup.revision = cell.state.revision + 100
        use_store(cell, backup)
        instances[0].view.reload()
        await anyio.sleep(10)
        assert all(instance.view.regressed for instance in instances)
        return all(is_refusing(instance) for instance in instances)

    assert run_session(program, TEAMS)


def test_stale_read_is_refused_and_retried():
    async def program(cell, instances):
        await edit_rules(instances[0], False)
        stale = cell.state.copy()
        await edit_rules(instances[0], True)
        store = cell.instances[instances[2].instance].store
        store.state = stale
        instances[2].view.reload()
        await anyio.sleep(1)
        assert instances[2].view.regressed
        assert is_refusing(instances[2])
        store.state = cell.state
        await anyio.sleep(5)
        return instances[2].view.regressed, is_refusing(instances[2])

    assert run_session(program, TEAMS) == (False, True)


def test_slow_peer_is_refused():
    async def program(cell, instances):
        await edit_rules(instances[0], False)
        [old] = [i for i in instances[1].view.items.values() if i.key.endswith("rules")]
        revision = instances[1].view.document_revision
        await edit_rules(instances[0], True)
        slow, victim = instances[1], instances[2]
        sections = await slow.spread.on_pull(victim.instance, b"\x92\xa0\x90")
        older = DocumentSections(revision, 0.0, sections.ok_value.sections, revision)

        async def answer_state(sender, body):
            return Ok(DocumentState(revision, 0.0))

        async def answer_pull(sender, body):
            return Ok(older)

        slow.peers.on(MessageKind.DOCUMENT_STATE, answer_state)
        slow.peers.on(MessageKind.DOCUMENT_PULL, answer_pull)
        before = victim.rules.confirmed_at
        assert not await victim.spread.pull(slow.instance)
        await victim.spread.confirm_with_peers()
        assert victim.rules.confirmed_at == before
        victim.view.apply_peer_items([old], revision)
        return is_refusing(victim)

    assert run_session(program, TEAMS)


def test_new_instance_without_the_store_gets_the_document_from_its_data_centre():
    async def program(cell, instances):
        await edit_rules(instances[0], True)
        backup = cell.state.copy()
        await edit_rules(instances[0], False)
        place = DataCentreId("gent-a")
        seed = instances[0].settings.listen.peer
        name = cell.start_instance(place, "late", [seed], store_reachable=False)
        late = cell.instances[name]
        await anyio.sleep(5)
        document = late.instance.document
        assert not is_refusing(late.instance)
        assert document.team_of_key("operators-key")[0] == "operators"
        assert late.instance.rules.can_identify_callers()
        assert isinstance(late.instance.rules.permit("operators"), Err)
        assert late.instance.directory.shard_owners().keys() == set()
        cell.network.cut |= {(name, instances[0].instance)}
        await anyio.sleep(8)
        assert not late.instance.rules.can_identify_callers()
        late.store.state = backup
        late.store.reachable = True
        await anyio.sleep(5)
        assert late.instance.view.regressed
        assert not is_refusing(late.instance)
        late.store.state = cell.state
        await anyio.sleep(5)
        return isinstance(late.instance.rules.permit("operators"), Ok)

    assert run_session(program, TEAMS)


def test_status_waits_for_an_instance_that_follows_a_peer():
    async def program(cell, instances):
        await edit_rules(instances[0], True)
        seed = instances[0].settings.listen.peer
        place = DataCentreId("gent-a")
        name = cell.start_instance(place, "late", [seed], store_reachable=False)
        late = cell.instances[name].instance
        await anyio.sleep(7)
        found = []
        for index in range(80):
            if index == 5:
                await edit_rules(instances[0], False)
            status = (await instances[1].force.status("rules")).ok_value
            if status.everywhere and late.rules.can_identify_callers():
                assert late.view.document_revision >= status.revision
            found.append(status.everywhere)
            await anyio.sleep(0.1)
        return found[-1]

    assert run_session(program, TEAMS)


def test_instance_without_the_store_follows_peers_of_its_data_centre():
    async def program(cell, instances):
        peer = cell.start_instance(DataCentreId("namur-a"), "mate")
        await anyio.sleep(1)
        cell.instances[peer].store.reachable = False
        await anyio.sleep(10)
        await edit_rules(instances[0], True)
        await anyio.sleep(4)
        late = cell.instances[peer].instance
        assert late.rules.unconfirmed_s() < 5
        return is_refusing(late)

    assert run_session(program, TEAMS)
