"""The lag monitor: measurement and reports of this process's lag."""

from __future__ import annotations

import anyio
import pytest
from prometheus_client import CollectorRegistry, Histogram
from structlog.testing import capture_logs

from lacewinghold.events import Event
from lacewinghold.testing.clock import run_paused
from lacewinghold.util.lag import (
    MAX_EXTRA_PAUSE_S,
    MAX_TIMEOUT_EXTENSION_S,
    RECENT_WINDOW_S,
    SAMPLE_INTERVAL_S,
    LagMonitor,
)


class LaggingClock:
    """The runtime's clock plus the simulated lag in seconds."""

    def __init__(self):
        self.lost_s = 0.0

    def __call__(self):
        return anyio.current_time() + self.lost_s


def run_with_monitor(program, **options):
    """Runs a program with a monitor on whose clock it can simulate lag."""

    async def session():
        clock = LaggingClock()
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


def test_process_without_lag_reports_none():
    async def program(lag, clock):
        started_at = clock()
        await anyio.sleep(30)
        assert lag.lag_s == lag.recent_max_s() == lag.lost_s(started_at) == 0.0
        assert lag.allowance_s() == 0.0
        assert lag.pause_s(0.2) == 0.2
        assert not lag.lagged_since(started_at)
        assert lag.deadline(started_at, 0.6) == started_at + 0.6

    with capture_logs() as lines:
        run_with_monitor(program)
    assert not events(lines)


def test_lag_is_visible_before_the_monitor_wakes_up():
    async def program(lag, clock):
        started_at = clock()
        clock.lost_s += 2.0
        assert lag.lag_s > 1.9
        assert lag.lagged_since(started_at)
        assert lag.lost_s(started_at) > 1.9
        assert lag.allowance_s() == MAX_TIMEOUT_EXTENSION_S
        assert lag.pause_s(0.2) == 0.2 + MAX_EXTRA_PAUSE_S

    run_with_monitor(program)


def test_lag_decays_and_expires():
    async def program(lag, clock):
        clock.lost_s += 0.5
        await anyio.sleep(SAMPLE_INTERVAL_S)
        assert lag.lag_s == pytest.approx(0.5, abs=SAMPLE_INTERVAL_S)
        assert lag.recent_max_s() == pytest.approx(0.5, abs=SAMPLE_INTERVAL_S)
        await anyio.sleep(1.0)
        assert 0.1 < lag.lag_s < 0.25
        assert lag.recent_max_s() == pytest.approx(0.5, abs=SAMPLE_INTERVAL_S)
        await anyio.sleep(RECENT_WINDOW_S)
        assert lag.lag_s < 0.02
        assert lag.recent_max_s() == lag.allowance_s() == 0.0

    run_with_monitor(program)


def test_only_lag_during_a_wait_extends_its_deadline():
    async def program(lag, clock):
        clock.lost_s += 0.5
        await anyio.sleep(2 * SAMPLE_INTERVAL_S)
        started_at = clock()
        await anyio.sleep(1.0)
        assert not lag.lagged_since(started_at)
        assert lag.deadline(started_at, 0.6) == started_at + 0.6
        for _ in range(3):
            clock.lost_s += 0.4
            await anyio.sleep(2 * SAMPLE_INTERVAL_S)
        assert lag.lagged_since(started_at)
        assert lag.deadline(started_at, 0.6) == pytest.approx(
            started_at + 1.8, abs=0.15
        )

    run_with_monitor(program)


def test_lag_is_logged_once_a_second_and_when_it_ends():
    async def program(lag, clock):
        for _ in range(40):
            clock.lost_s += 0.25
            await anyio.sleep(SAMPLE_INTERVAL_S)
        await anyio.sleep(20.0)

    with capture_logs() as lines:
        run_with_monitor(program, details=lambda: {"term": 3})
    lines = events(lines)
    late, recovered = lines[:-1], lines[-1]
    # The lag lasts ten seconds of the monitor's clock.
    assert 8 <= len(late) <= 13
    for line in late:
        assert line["event"] is Event.PROCESS_LATE
        assert line["term"] == 3
        assert 0.1 < line["lag_s"] < 0.6
        assert line["worst_s"] < 0.6
    assert late[0]["worst_s"] > 0.2
    assert recovered["event"] is Event.PROCESS_ON_TIME_AGAIN


def test_every_wakeup_is_observed():
    registry = CollectorRegistry()
    lags = Histogram("lags", "Lags.", buckets=(0.1, 1.0), registry=registry)

    async def program(lag, clock):
        clock.lost_s += 0.5
        await anyio.sleep(1.0)

    run_with_monitor(program, lags=lags)
    on_time = registry.get_sample_value("lags_bucket", {"le": "0.1"})
    late = registry.get_sample_value("lags_bucket", {"le": "1.0"})
    assert late - on_time == 1
    assert on_time > 30
