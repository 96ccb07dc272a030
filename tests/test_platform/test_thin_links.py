"""Large responses over links of low bandwidth, and peers that stall."""

from __future__ import annotations

import base64
import math

import anyio
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind
from lacewinghold.ids import Epoch, LeaseId, Revision
from lacewinghold.platform.advice import PlatformAdvice
from lacewinghold.platform.store import CALL_TIMEOUT_S, PlatformStore
from lacewinghold.platform.workers import PlatformWorkerDialer
from lacewinghold.scheduler.ports import PollOrder, WorkerReport
from lacewinghold.store.health import HealthCheckedStore
from lacewinghold.store.mirror import Mirror
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.thin_link import ThinLink
from tests.test_platform.support import make_entry

ADDRESS = "10.0.0.1:1"
MAX_VALUE_BYTES = 1_048_576  # `valueBytes` of the settings.
SLOWEST_MBPS = (5.0, 2.0)  # Of the sheets, and of their small machines.
RUN = ["0123456789abcdef.0.0.0", 1, "", 0]


class Platform:
    """Answers over a thin link; its store has one key of the largest size."""

    def __init__(self, mbps=math.inf, parts=None):
        self.link = ThinLink(self.answer, mbps, parts)
        self.revision = 1
        self.changed = anyio.Event()
        self.answers = {"/kv-keep/4": {"ttlMs": 1000}}

    def open_store(self):
        store = PlatformStore(ADDRESS, link_mbps=self.link.mbps)
        self.link.attach(store.client)
        self.link.attach(store.lease_client)
        return store

    def put(self):
        self.revision += 1
        self.changed.set()
        self.changed = anyio.Event()

    def item(self, revision):
        value = b"%07d" % revision + bytes(MAX_VALUE_BYTES - 7)
        text = base64.b64encode(value).decode()
        return {"key": "large", "revision": revision, "value": text}

    async def answer(self, path):
        call, _, query = path.partition("?")
        newest = self.item(self.revision)
        if call == "/kv-range":
            return {"items": [newest], "at": self.revision}
        if call == "/kv-key":
            return {**newest, "at": self.revision}
        if call != "/kv-watch":
            return self.answers[call]
        after = int(query.partition("after=")[2].partition("&")[0])
        if self.revision <= after:
            with anyio.move_on_after(2.0):
                await self.changed.wait()
        events = [self.item(n) for n in range(after + 1, self.revision + 1)]
        return {"events": events, "at": self.revision}


async def next_batch(platform):
    async with platform.open_store().watch("large", Revision(0)) as batches:
        return Ok(await anext(batches))


async def poll_worker(platform):
    listed = {"clockMs": 1, "running": [RUN] * 30_000, "ended": []}
    platform.answers["/hold"] = listed
    dialer = PlatformWorkerDialer(link_mbps=platform.link.mbps)
    calls = dialer.open(make_entry("w"))
    platform.link.attach(calls.client)
    report = await calls.poll(PollOrder(Epoch(1), 0, None, 0.0), CALL_TIMEOUT_S)
    return Ok(report) if isinstance(report, WorkerReport) else Err(report)


async def ask_advice(platform):
    platform.answers["/advise"] = {"good": [["w" * 20, "t" * 20]] * 20_000}
    advice = PlatformAdvice(ADDRESS, link_mbps=platform.link.mbps)
    platform.link.attach(advice.client)
    return await advice.ask("s", [], CALL_TIMEOUT_S)


CALLS = {
    "key": lambda platform: platform.open_store().range("large"),
    "prefix": lambda platform: platform.open_store().range("large", prefix=True),
    "watch": next_batch,
    "worker": poll_worker,
    "advice": ask_advice,
}


# Guards against large answers that never arrive, as their time-out ignores their size.
@pytest.mark.parametrize("mbps", SLOWEST_MBPS)
@pytest.mark.parametrize("kind", CALLS)
def test_large_answers_arrive_over_the_slowest_links(kind, mbps):
    async def session():
        result = await CALLS[kind](Platform(mbps))
        return isinstance(result, Ok), anyio.current_time()

    arrived, took_s = run_paused(session, seed=1)
    assert arrived
    assert took_s > CALL_TIMEOUT_S


@pytest.mark.parametrize(
    ("parts", "limit_s"),
    [
        ([], CALL_TIMEOUT_S),
        ([(0.7, 100)], CALL_TIMEOUT_S),
        ([(0.1, 80_000)] * 12, 1.2 + CALL_TIMEOUT_S),
        ([(0.3, 1)] * 1_000, CALL_TIMEOUT_S),  # A byte now and then.
        ([(0.7, 5_000)] * 1_000, CALL_TIMEOUT_S),
    ],
)
def test_a_stalled_answer_is_given_up_as_soon_as_before(parts, limit_s):
    async def session():
        result = await Platform(parts=parts).open_store().range("large", prefix=True)
        return result.err_value, anyio.current_time()

    failure, took_s = run_paused(session, seed=1)
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
    assert took_s == pytest.approx(limit_s, abs=0.1)
    assert "bytes received in" in failure.detail


# Guards against a storm of changes after which a thin link carries each version.
@pytest.mark.parametrize("mbps", SLOWEST_MBPS)
def test_the_largest_manifest_comes_into_force_at_a_start_and_after_a_storm(mbps):
    async def session():
        platform = Platform(mbps)
        link = platform.link
        transfer_s = MAX_VALUE_BYTES * 4 / 3 / link.bytes_per_s
        store = HealthCheckedStore(platform.open_store())
        seen = []

        def record(item):
            seen.append((int(item.value[:7]), anyio.current_time()))

        mirror = Mirror(store, "large", record, seen.append, newest_only=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(mirror.run)
            while not seen:
                assert (await store.renew_lease(LeaseId(4))).is_ok()
                await anyio.sleep(0.7)
                assert not store.down
                assert anyio.current_time() < 2 * transfer_s
            assert seen[0][1] <= 1.1 * transfer_s
            for _ in range(24):
                platform.put()
                await anyio.sleep(0.33)
            ended_at = anyio.current_time()
            await anyio.sleep(2.5 * transfer_s)
            assert seen[-1][0] == platform.revision
            assert seen[-1][1] <= ended_at + 2.2 * transfer_s
            used_s = anyio.current_time()
            await anyio.sleep(60.0)
            assert link.carried <= used_s * link.bytes_per_s
            tasks.cancel_scope.cancel()

    run_paused(session, seed=1)
