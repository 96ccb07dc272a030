"""The lag monitor: what it notes when this process itself is late."""

from __future__ import annotations

import anyio
import pytest
from prometheus_client import CollectorRegistry, Histogram
from structlog.testing import capture_logs

from lacewinghold.events import Event
from lacewinghold.testing.clock import run_paused
from lacewinghold.util.lag import (
    INTERVAL_S,
    MAX_ALLOWANCE_S,
    MAX_PAUSE_S,
    RECENT_S,
    LagMonitor,
)


class LateClock:
    """The runtime's clock, and the seconds in which the process was held up."""

    def __init__(self):
        self.lost_s = 0.0

    def __call__(self):
        return anyio.current_time() + self.lost_s


def watch(program, **options):
    """Runs a program beside a monitor whose clock it can hold up."""

    async def session():
        clock = LateClock()
        lag = LagMonitor(clock, **options)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lag.run)
            await anyio.sleep(1.0)
            result = await program(lag, clock)
            tasks.cancel_scope.cancel()
        return result

    return run_paused(session, seed=1)


def events(lines):
    return [
        line
        for line in lines
        if line["event"] in (Event.PROCESS_LATE, Event.PROCESS_ON_TIME_AGAIN)
    ]


def test_a_process_on_time_has_no_lag():
    async def program(lag, clock):
        began = clock()
        await anyio.sleep(30)
        assert lag.lag_s == lag.late_s() == lag.lost_s(began) == 0.0
        assert lag.allowance_s() == 0.0
        assert lag.pause_s(0.2) == 0.2
        assert not lag.excused(began)
        assert lag.deadline(began, 0.6) == began + 0.6

    with capture_logs() as lines:
        watch(program)
    assert not events(lines)


def test_lag_is_seen_at_once_by_a_task_that_runs_before_the_monitor():
    async def program(lag, clock):
        began = clock()
        clock.lost_s += 2.0
        assert lag.lag_s > 1.9
        assert lag.excused(began)
        assert lag.lost_s(began) > 1.9
        assert lag.allowance_s() == MAX_ALLOWANCE_S
        assert lag.pause_s(0.2) == 0.2 + MAX_PAUSE_S

    watch(program)


def test_lag_decays_and_is_forgotten():
    async def program(lag, clock):
        clock.lost_s += 0.5
        await anyio.sleep(INTERVAL_S)
        assert lag.lag_s == pytest.approx(0.5, abs=INTERVAL_S)
        assert lag.late_s() == pytest.approx(0.5, abs=INTERVAL_S)
        await anyio.sleep(1.0)
        assert 0.1 < lag.lag_s < 0.25
        assert lag.late_s() == pytest.approx(0.5, abs=INTERVAL_S)
        await anyio.sleep(RECENT_S)
        assert lag.lag_s < 0.02
        assert lag.late_s() == lag.allowance_s() == 0.0

    watch(program)


def test_only_lateness_during_a_wait_excuses_it():
    async def program(lag, clock):
        clock.lost_s += 0.5
        await anyio.sleep(2 * INTERVAL_S)
        began = clock()
        await anyio.sleep(1.0)
        assert not lag.excused(began)
        assert lag.deadline(began, 0.6) == began + 0.6
        for _ in range(3):
            clock.lost_s += 0.4
            await anyio.sleep(2 * INTERVAL_S)
        assert lag.excused(began)
        assert lag.deadline(began, 0.6) == pytest.approx(began + 1.8, abs=0.15)

    watch(program)


def test_a_late_process_says_so_once_a_second_and_when_it_is_over():
    async def program(lag, clock):
        for _ in range(40):
            clock.lost_s += 0.25
            await anyio.sleep(INTERVAL_S)
        await anyio.sleep(20.0)

    with capture_logs() as lines:
        watch(program, details=lambda: {"term": 3})
    lines = events(lines)
    late, over = lines[:-1], lines[-1]
    # Ten seconds by the monitor's clock.
    assert 8 <= len(late) <= 13
    for line in late:
        assert line["event"] is Event.PROCESS_LATE
        assert line["term"] == 3
        assert 0.1 < line["lag_s"] < 0.6
        assert line["worst_s"] < 0.6
    assert late[0]["worst_s"] > 0.2
    assert over["event"] is Event.PROCESS_ON_TIME_AGAIN


def test_every_waking_is_observed():
    registry = CollectorRegistry()
    lags = Histogram("lags", "Lags.", buckets=(0.1, 1.0), registry=registry)

    async def program(lag, clock):
        clock.lost_s += 0.5
        await anyio.sleep(1.0)

    watch(program, lags=lags)
    on_time = registry.get_sample_value("lags_bucket", {"le": "0.1"})
    late = registry.get_sample_value("lags_bucket", {"le": "1.0"})
    assert late - on_time == 1
    assert on_time > 30
