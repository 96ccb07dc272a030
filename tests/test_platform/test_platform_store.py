"""The platform's store client: outcomes, paging, order of changes."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.errors import ErrorKind, FailureError
from lacewinghold.ids import LeaseId
from lacewinghold.platform.store import PlatformStore
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.testing.clock import run_paused
from tests.test_platform.support import LOST, UNREACHABLE, ScriptedClient, reply

WRITE = Transaction(
    [Compare("p/a", CompareTarget.MOD_REVISION, 4)],
    [Put("p/a", b"one", 7), Delete("p/b")],
)


def use(program, *replies):
    """Runs a program on a store client with scripted responses."""

    async def session():
        store = PlatformStore("10.0.0.1:1")
        store.client = store.lease_client = ScriptedClient(*replies)
        return await program(store), store.client.calls

    return run_paused(session, seed=1)


def test_write_sends_conditions_values_and_removals():
    result, calls = use(lambda s: s.commit(WRITE), reply(200, {"revision": 9}))
    assert result.ok_value.succeeded
    assert result.ok_value.revision == 9
    assert calls == [
        (
            "POST",
            "/kv-txn",
            {
                "expect": [{"key": "p/a", "revision": 4}],
                "puts": [{"key": "p/a", "value": "b25l", "lease": 7}],
                "remove": ["p/b"],
            },
            None,
        )
    ]


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (reply(429), ErrorKind.STORE_UNAVAILABLE),
        (reply(503), ErrorKind.STORE_UNAVAILABLE),
        (UNREACHABLE, ErrorKind.STORE_UNAVAILABLE),
        (LOST, ErrorKind.OUTCOME_UNKNOWN),
        (reply(200, ["?"]), ErrorKind.OUTCOME_UNKNOWN),
        (reply(404), ErrorKind.INVALID),
    ],
)
def test_outcomes_of_a_write(answer, kind):
    result, _ = use(lambda s: s.commit(WRITE), answer)
    assert result.err_value.kind is kind


def test_failed_condition_is_not_an_error():
    result, _ = use(lambda s: s.commit(WRITE), reply(412, {"items": []}))
    assert not result.ok_value.succeeded


def test_all_pages_are_read_and_the_first_revision_is_returned():
    first = {
        "items": [{"key": "p/a", "value": "b25l", "revision": 3, "created": 2}],
        "hasMore": True,
        "at": 10,
    }
    second = {
        "items": [{"key": "p/b", "value": "?", "revision": 4, "created": 4}],
        "hasMore": False,
        "at": 12,
    }
    result, calls = use(
        lambda s: s.range("p/", prefix=True), reply(200, first), reply(200, second)
    )
    found = result.ok_value
    assert found.revision == 10
    assert [(item.key, item.value) for item in found.items] == [
        ("p/a", b"one"),
        ("p/b", b""),
    ]
    assert calls[1][1] == "/kv-range?pathPrefix=p%2F&after=p%2Fa"


class ExhaustedClient(ScriptedClient):
    """A client whose connection pool is exhausted."""

    async def call(self, method, path, timeout_s, *others, **limits):
        """Times out waiting for a connection."""
        await anyio.sleep(timeout_s)
        return UNREACHABLE


def test_renewal_does_not_wait_for_connections_of_reads_and_writes():
    async def session():
        store = PlatformStore("10.0.0.1:1")
        store.client = ExhaustedClient()
        store.lease_client = ScriptedClient(reply(200, {"ttlMs": 1000}))
        with anyio.fail_after(0.1):
            renewed = await store.renew_lease(LeaseId(7))
        assert renewed.ok_value == 1

    run_paused(session, seed=1)


def test_missing_key_gives_an_empty_result():
    result, _ = use(lambda s: s.range("p/a"), reply(404))
    assert result.ok_value.items == []


def test_order_of_changes_is_kept_when_a_key_is_deleted_and_recreated():
    async def follow(store):
        seen = []
        with anyio.CancelScope() as scope:
            async with store.watch("p/", 1) as batches:
                async for batch in batches:
                    seen += [("put", item.key) for item in batch.puts]
                    seen += [("gone", key) for key in batch.deletes]
                    if len(seen) == 3:
                        scope.cancel()
                        break
        return seen

    events = [
        {"key": "p/a", "value": "b25l", "revision": 2, "created": 2},
        {"key": "p/a", "revision": 3, "deleted": True},
        {"key": "p/a", "value": "b25l", "revision": 4, "created": 4},
    ]
    seen, _ = use(follow, reply(200, {"events": events, "at": 4}))
    assert seen == [("put", "p/a"), ("gone", "p/a"), ("put", "p/a")]


def test_changes_of_different_keys_share_a_batch():
    """Guards against a new batch at each put that follows a deletion.

    A watcher pauses after each batch, so that it fell behind when keys were created
    and deleted often.
    """

    async def follow(store):
        async with store.watch("p/", 1) as batches:
            async for batch in batches:
                return [item.key for item in batch.puts], batch.deletes
        return None

    events = [
        {"key": "p/a", "value": "b25l", "revision": 2, "created": 2},
        {"key": "p/a", "revision": 3, "deleted": True},
        {"key": "p/b", "value": "b25l", "revision": 4, "created": 4},
        {"key": "p/c", "revision": 5, "deleted": True},
        {"key": "p/d", "value": "b25l", "revision": 6, "created": 6},
    ]
    found, _ = use(follow, reply(200, {"events": events, "at": 6}))
    assert found == (["p/a", "p/b", "p/d"], ["p/a", "p/c"])


def test_compacted_history_raises_history_gone():
    async def follow(store):
        async with store.watch("p/", 1) as batches:
            async for _ in batches:
                pass

    with pytest.raises(FailureError) as caught:
        use(follow, reply(410))
    assert caught.value.failure.kind is ErrorKind.HISTORY_GONE


def test_renewing_an_expired_lease_grants_no_time():
    result, calls = use(lambda s: s.renew_lease(5), reply(404))
    assert result.ok_value == 0
    assert calls[0][:2] == ("POST", "/kv-keep/5")
