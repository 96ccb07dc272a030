"""Keys of organisations: who is served, and how soon a removed key stops working."""

from __future__ import annotations

import anyio
import msgspec
import pytest
import structlog

from lacewinghold.ids import OrganisationId
from lacewinghold.platform.front import PlatformFront
from lacewinghold.platform.manifest import read_manifest
from lacewinghold.scheduler.ports import Organisation, Queue
from lacewinghold.testing.step_cell import HOST, MANIFEST_KEY, StoredManifest
from lacewinghold.testing.store import Outage
from lacewinghold.util.bearer import hash_key
from tests.test_scheduler.support import run_cell, step

JOB = {"spec": "work", "steps": [{"count": 1, "cpu": 500, "memMb": 10}]}
REVOKE_S = 5.0


def organisation(name, *keys):
    """Returns an organisation with some keys."""
    hashes = frozenset(hash_key(key) for key in keys)
    return Organisation(OrganisationId(name), hashes, weight=100)


def queues():
    """Returns a queue that requires a key, and one that does not."""
    return [
        Queue("keyed", HOST, "/fast/", "service", 0, 2, 2.0, 1, requires_key=True),
        Queue("open", HOST, "/open/", "service", 0, 2, 2.0, 1),
    ]


async def put_manifest(cell, version, *organisations):
    """Writes a manifest with some organisations."""
    named = {found.name: found for found in organisations}
    manifest = StoredManifest(version, queues(), named)
    await cell.put(MANIFEST_KEY, msgspec.json.encode(manifest))
    await anyio.sleep(1.0)


async def call(cell, method, path, key=None, body=None, member=0, receive=None):
    """Sends one request to a member.

    :returns: Status, headers and decoded body.
    """
    headers = [(b"host", HOST.encode())]
    if key is not None:
        headers.append((b"authorization", b"Bearer " + key.encode()))
    raw = path.encode()
    scope = {"type": "http", "method": method, "path": path, "raw_path": raw}
    content = b"" if body is None else msgspec.json.encode(body)
    sent = []

    async def receive_body():
        return {"type": "http.request", "body": content}

    async def send(message):
        sent.append(message)

    front = PlatformFront(cell.members[member].instance)
    await front({**scope, "headers": headers}, receive or receive_body, send)
    found = b"".join(message.get("body", b"") for message in sent)
    return sent[0]["status"], dict(sent[0]["headers"]), msgspec.json.decode(found)


def run_with_keys(program, **shape):
    """Runs a program on a cell whose manifest names two organisations."""

    async def prepared(cell):
        await put_manifest(cell, 2, organisation("a", "key-a"), organisation("b", "kb"))
        return await program(cell)

    return run_cell(
        prepared,
        queues=queues(),
        workers=2,
        revoke_ms=REVOKE_S * 1000,
        limit_s=60,
        **shape,
    )


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize("key", [None, "", "wrong", "key-a-", "key-a\xff", "x" * 5000])
def test_missing_or_unknown_key_is_refused_before_the_body(method, key):
    """Guards against work for callers without a key (ROUTE), and against reading it."""

    async def never():
        await anyio.sleep(3600)

    async def program(cell):
        status, headers, _ = await call(
            cell, method, "/fast/j1", key, JOB, receive=never
        )
        assert status == 401
        assert headers[b"www-authenticate"] == b"Bearer"

    run_with_keys(program)


def test_queue_without_keys_serves_anonymous_callers_and_refuses_unknown_keys():
    async def program(cell):
        cell.make_job("j1", [step()], 1)
        assert (await call(cell, "POST", "/open/j1", None, JOB))[0] == 200
        assert (await call(cell, "GET", "/open/j1"))[0] == 200
        assert (await call(cell, "POST", "/open/j2", "wrong", JOB))[0] == 401

    run_with_keys(program)


def test_manifest_without_organisations_needs_no_keys():
    """Guards the deployments whose callers have no keys."""

    async def program(cell):
        cell.make_job("j1", [step()])
        assert (await call(cell, "POST", "/fast/j1", "anything", JOB))[0] == 200
        assert (await call(cell, "GET", "/fast/j1"))[0] == 200

    run_cell(program, workers=2)


@pytest.mark.parametrize("member", [0, 1, 2])
@pytest.mark.parametrize("ended", [False, True])
def test_job_of_another_organisation_is_neither_shown_nor_changed(member, ended):
    """Guards against one organisation reading or cancelling another's work."""

    async def program(cell):
        cell.make_job("j1", [step()])
        assert (await call(cell, "POST", "/fast/j1", "key-a", JOB))[0] == 200
        await anyio.sleep(3.0 if ended else 0.3)
        for method, body in (("GET", None), ("DELETE", None), ("POST", JOB)):
            found = await call(cell, method, "/fast/j1", "kb", body, member)
            assert found[0] == 403, method
        shown = await call(cell, "GET", "/fast/j1", "key-a", None, member)
        assert shown[2] == {"state": "completed" if ended else "running"}
        repeated = await call(cell, "POST", "/fast/j1", "key-a", JOB, member)
        assert repeated[0] == 200

    run_with_keys(program)


def test_added_key_works_and_removed_key_stops():
    async def program(cell):
        await put_manifest(cell, 3, organisation("a", "new"))
        for member in range(3):
            new = await call(cell, "GET", "/fast/none", "new", None, member)
            assert new[0] == 410
            old = await call(cell, "GET", "/fast/none", "key-a", None, member)
            assert old[0] == 401

    run_with_keys(program)


@pytest.mark.parametrize("cut", ["unreachable", "silent", "errors"])
def test_cut_off_instance_serves_no_key_that_may_have_been_removed(cut):
    """Guards the revocation bound (CONFIG), however the store fails an instance."""

    async def program(cell):
        member = cell.members[0]
        assert (await call(cell, "GET", "/fast/none", "key-a"))[0] == 410
        if cut == "silent":
            member.store_gate.close()
        elif cut == "unreachable":
            member.store.reachable = False
        else:
            cell.state.outage = Outage.ERRORS
        await anyio.sleep(REVOKE_S + 0.1)
        found = await call(cell, "GET", "/fast/none", "key-a")
        assert found[0] == 503
        assert int(found[1][b"retry-after"]) >= 1
        assert not member.instance.ready()
        member.store_gate.open()
        member.store.reachable = True
        cell.state.outage = Outage.NONE
        await anyio.sleep(3.0)
        assert member.instance.ready()
        assert (await call(cell, "GET", "/fast/none", "key-a"))[0] == 410

    run_with_keys(program)


def test_unreadable_manifest_does_not_confirm_the_one_in_force():
    """Guards against serving keys that a manifest of an unknown form has removed."""

    async def program(cell):
        await cell.put(MANIFEST_KEY, b"{")
        await anyio.sleep(REVOKE_S + 1)
        assert (await call(cell, "GET", "/fast/none", "key-a"))[0] == 503

    run_with_keys(program)


def test_no_key_reaches_a_log_line_a_record_or_an_error():
    async def program(cell):
        cell.make_job("j1", [step()])
        answers = [await call(cell, "POST", "/fast/j1", "key-a", JOB)]
        answers.append(await call(cell, "POST", "/fast/j2", "secret-x", JOB))
        await anyio.sleep(3)
        stored = b"".join(
            item.value for key, item in cell.state.keys.items() if key != MANIFEST_KEY
        )
        return str(answers) + stored.decode("latin-1")

    with structlog.testing.capture_logs() as lines:
        text = run_with_keys(program)
    for key in ("key-a", "secret-x"):
        assert key not in text
        assert key not in str(lines)


def test_manifest_with_organisations_is_decoded():
    route = {"name": "r", "host": "h", "pathPrefix": "/p/", "service": "s"}
    tenant = {
        "name": "t",
        "apiKeys": ["k1", "k2"],
        "weight": 43,
        "cap": {"cpu": 10, "memMb": 20, "gpus": 0},
    }
    open_route = {**route, "name": "o", "pathPrefix": "/o/", "allowAnonymous": True}
    value = {"version": 1, "routes": [route, open_route], "tenants": [tenant]}
    manifest = read_manifest(msgspec.json.encode(value))
    found = manifest.organisations["t"]
    assert found.key_hashes == {hash_key("k1"), hash_key("k2")}
    assert (found.weight, found.cap.cpu_millis, found.cap.memory_mb) == (43, 10, 20)
    assert manifest.find("h", "/p/x").requires_key
    assert not manifest.find("h", "/o/x").requires_key
    plain = read_manifest(msgspec.json.encode({"version": 1, "routes": [route]}))
    assert plain.organisations is None
    assert not plain.find("h", "/p/x").requires_key
