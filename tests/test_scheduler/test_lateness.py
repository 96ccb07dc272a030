"""Logs, metrics, calls and retries of an instance whose event loop lags."""

from __future__ import annotations

import anyio
from result import Err, Ok
from structlog.testing import capture_logs

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.scheduler.advice import Lane
from lacewinghold.scheduler.members import Membership
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import AdviceCalls, Queue
from lacewinghold.schema.generated.cell import CellMember
from lacewinghold.store.base import CallKind
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.step_cell import HOST, advised
from lacewinghold.testing.store import MemoryStore, Outage, StoreState
from lacewinghold.util.lag import LagMonitor, LagPeriod
from tests.test_scheduler.support import run_cell, step


def sample(member, name, **labels):
    registry = member.instance.metrics.registry
    return registry.get_sample_value(f"lacewinghold_{name}", labels)


def test_lapsed_ownership_logs_the_time_since_its_last_renewal():
    async def program(cell):
        owner = cell.owner()
        owner.store_gate.close()
        await anyio.sleep(4.0)
        owner.store_gate.open()
        await anyio.sleep(2.0)

    with capture_logs() as lines:
        run_cell(program, instances=1)
    lapsed = [line for line in lines if line["event"] is Event.OWNERSHIP_LAPSED]
    assert lapsed
    assert 3.5 < lapsed[0]["renewed_ago_s"] < 5.0
    assert lapsed[0]["lag_s"] == 0.0


def test_metrics_cover_renewals_loading_and_plans():
    async def program(cell):
        await cell.submit("one", [step()])
        assert await cell.wait_for("one", JobState.COMPLETED, 10)
        owner = cell.owner()
        owner.instance.render_metrics()
        assert sample(owner, "renewal_seconds_count") >= 3
        assert sample(owner, "renewal_margin_seconds_bucket", le="0.5") == 0
        assert sample(owner, "load_seconds_count") == 1
        assert sample(owner, "loaded_jobs_sum") == 0
        assert sample(owner, "plan_seconds_count") > 0
        assert sample(owner, "late_seconds_bucket", le="0.002") > 20
        assert sample(owner, "lag_seconds") == 0

    run_cell(program)


class ScriptedAdvice(AdviceCalls):
    """Returns the answers that a test has set, in their order."""

    name = "scripted"

    def __init__(self):
        self.answers = []
        self.calls = 0

    async def ask(self, step, workers, timeout_s):
        self.calls += 1
        return await self.answers.pop(0)()


async def no_answer():
    await anyio.sleep(0.5)
    return Err(Failure(ErrorKind.UNREACHABLE, "no answer in time"))


async def no_permission():
    await anyio.sleep(0.1)
    return Ok([])


def be_late(owner, seconds):
    now = anyio.current_time()
    owner.instance.lag.record_period(LagPeriod(now - seconds, now))


async def ask_over_two_lanes(cell, answers, late_s):
    """Makes one advice call about a step while the process lags.

    :param late_s: Seconds by which the process lags during the call.
    :returns: The owner's advice book, and the lane that was used.
    """
    owner = cell.owner()
    book = owner.instance.owner.advice_book
    lanes = [Lane(name, ScriptedAdvice()) for name in ("one", "two")]
    for lane in lanes:
        lane.calls.answers = list(answers)
    book.lanes[:] = lanes
    await cell.submit("a", [step()])
    while not any(lane.busy for lane in lanes):
        await anyio.sleep(0.01)
    asked = next(lane for lane in lanes if lane.busy)
    await anyio.sleep(0.4)
    if late_s:
        be_late(owner, late_s)
    while asked.busy:
        await anyio.sleep(0.005)
    return book, asked


ADVISED = [advised(Queue("fast", HOST, "/fast/", "service", 0, 2, 2.0, 1), 0.1, 2.0)]


def test_own_lag_does_not_block_a_lane():
    async def program(cell):
        answers = [no_answer, *[no_permission] * 50]
        book, asked = await ask_over_two_lanes(cell, answers, 0.3)
        assert book.lanes[0] is asked
        # The lane stays usable, but the lanes without a failure are preferred.
        free = book.free_lanes(anyio.current_time())
        assert sorted(lane.name for lane in free) == ["one", "two"]
        assert free[-1] is asked
        assert sample(cell.owner(), "excused_calls_total", kind="advice") == 1

    run_cell(program, instances=1, queues=ADVISED)


def test_a_failed_call_without_own_lag_blocks_the_lane():
    async def program(cell):
        answers = [no_answer, *[no_permission] * 50]
        book, asked = await ask_over_two_lanes(cell, answers, 0.0)
        free = book.free_lanes(anyio.current_time())
        assert free
        assert asked not in free
        assert sample(cell.owner(), "excused_calls_total", kind="advice") is None

    run_cell(program, instances=1, queues=ADVISED)


def test_advice_calls_are_retried_less_often_with_more_own_lag():
    async def count(cell, late_s):
        owner = cell.owner()
        book = owner.instance.owner.advice_book
        lane = Lane("one", ScriptedAdvice())
        lane.calls.answers = [no_answer] * 50
        book.lanes[:] = [lane]
        await cell.submit("a", [step()])
        for _ in range(10):
            be_late(owner, late_s)
            await anyio.sleep(1.0)
        return lane.calls.calls

    def calls(late_s):
        return run_cell(lambda cell: count(cell, late_s), instances=1, queues=ADVISED)

    assert calls(0.8) < 0.7 * calls(0.0)


def test_a_membership_is_retried_less_often_with_more_own_lag():
    async def count(late_s):
        state = StoreState()
        store, lag = MemoryStore(state), LagMonitor()
        member = CellMember(instance="one", address="a", region="r")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Membership(store, "p/", member, lag).run)
            await anyio.sleep(1.0)
            state.outage = Outage.DOWN
            before = store.calls[CallKind.LEASE]
            for _ in range(20):
                now = anyio.current_time()
                lag.record_period(LagPeriod(now - late_s, now))
                await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        return store.calls[CallKind.LEASE] - before

    on_time, late = (run_paused(count, late_s, seed=1) for late_s in (0.0, 0.6))
    assert 0 < late < 0.6 * on_time
