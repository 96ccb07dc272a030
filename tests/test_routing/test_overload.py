"""Overload: bounded queues, fair shares, recovery and slow or failing servers."""

from __future__ import annotations

import random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct
from result import Err, Ok
from support import ONE_CENTRE, make_shape, send_request, serving_cell

from lacewinghold.errors import ErrorKind
from lacewinghold.ids import RequestId, ServiceId, ShardId, TeamId
from lacewinghold.invariants import violations
from lacewinghold.routing.budget import RETRY_BURST, RETRY_SHARE
from lacewinghold.routing.queue import FairQueue, PendingRequest
from lacewinghold.schema.generated.messages import ServiceRequest
from lacewinghold.testing.backend import BackendFault
from lacewinghold.testing.clock import run_paused

COUNTERS, ROUTES = TeamId("counters"), TeamId("routes")
WORKERS = 4
SERVICE_TIME_S = 0.5
CAPACITY_PER_S = WORKERS * 8 / SERVICE_TIME_S


class Sample(Struct):
    """The result of a request and when it arrived."""

    at: float
    team: TeamId
    result: object


async def send_at_rate(cell, samples, rate, seconds, team=COUNTERS, timeout_s=2.0):
    """Sends requests at a rate per second without waiting for their results."""
    rng = random.Random(rate)

    async def send():
        result = await send_request(cell, team=team, timeout_s=timeout_s)
        samples.append(Sample(anyio.current_time(), team, result))

    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end:
            tasks.start_soon(send)
            await anyio.sleep(rng.expovariate(rate))


def queues(cell):
    return [
        queue
        for running in cell.instances.values()
        for router in running.instance.requests.routers.values()
        for queue in router.queues.values()
    ]


async def burst_then_capacity():
    async with serving_cell(51, make_shape(ONE_CENTRE, WORKERS, 3)) as cell:
        cell.backend_links.default_time_s = SERVICE_TIME_S
        samples = []
        lengths = []

        async def watch():
            while True:
                lengths.extend(len(queue) for queue in queues(cell))
                await anyio.sleep(0.1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            await send_at_rate(cell, samples, 10 * CAPACITY_PER_S, 4)
            tasks.cancel_scope.cancel()
        longest = max(lengths)
        ended_at = anyio.current_time()
        samples.clear()
        await send_at_rate(cell, samples, CAPACITY_PER_S * 1.3, 12)
        answered = sum(
            isinstance(sample.result, Ok) and 3 <= sample.at - ended_at < 11
            for sample in samples
        )
        return answered / 8, longest


def test_throughput_recovers_within_seconds_of_a_tenfold_burst():
    per_s, longest = run_paused(burst_then_capacity, seed=51)
    assert per_s >= 0.95 * CAPACITY_PER_S
    assert 0 < longest <= 200
    assert not violations


async def two_teams():
    async with serving_cell(52, make_shape(ONE_CENTRE, WORKERS, 3)) as cell:
        cell.backend_links.default_time_s = SERVICE_TIME_S
        samples = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_at_rate, cell, samples, 5 * CAPACITY_PER_S, 6, ROUTES)
            tasks.start_soon(
                send_at_rate, cell, samples, 0.2 * CAPACITY_PER_S, 6, COUNTERS
            )
        return samples


def test_overloading_team_does_not_reduce_another_teams_share():
    samples = run_paused(two_teams, seed=52)
    light = [sample.result for sample in samples if sample.team == COUNTERS]
    heavy = [sample.result for sample in samples if sample.team == ROUTES]
    answered = sum(isinstance(result, Ok) for result in light)
    assert answered >= 0.95 * len(light)
    shed = [result.err_value for result in heavy if isinstance(result, Err)]
    assert shed
    overloaded = [f for f in shed if f.kind is ErrorKind.OVERLOADED]
    assert len(overloaded) > 0.9 * len(shed)
    assert all(failure.retry_after_s >= 1 for failure in overloaded)


async def serve_with_slow_server():
    async with serving_cell(53, make_shape(ONE_CENTRE, WORKERS, 3)) as cell:
        links = cell.backend_links
        links.default_time_s = 0.1
        slow = next(iter(cell.workers))
        links.service_time_s[slow] = 1.5
        samples = []
        await send_at_rate(cell, samples, 40, 10)
        return links.arrivals, slow, samples


def test_slow_server_gets_fewer_requests():
    arrivals, slow, samples = run_paused(serve_with_slow_server, seed=53)
    others = [count for worker, count in arrivals.items() if worker != slow]
    assert arrivals[slow] < 0.3 * sum(others) / len(others)
    assert all(isinstance(sample.result, Ok) for sample in samples)


async def all_fail():
    async with serving_cell(54, make_shape(ONE_CENTRE, WORKERS, 3)) as cell:
        links = cell.backend_links
        links.faults = [BackendFault.RESET_RUNNING] * 5000
        before = len(links.faults)
        samples = []
        await send_at_rate(cell, samples, 50, 10)
        candidates = [
            len(router.candidates(ServiceId("booking")))
            for running in cell.instances.values()
            for router in running.instance.requests.routers.values()
        ]
        return before - len(links.faults), len(samples), candidates


def test_retries_stay_within_the_budget_and_ejection_is_capped():
    attempts, requests, candidates = run_paused(all_fail, seed=54)
    # Two shard owners and three entry instances have a retry budget each.
    assert attempts <= requests * (1 + RETRY_SHARE) ** 2 + 5 * RETRY_BURST
    assert all(count >= 1 for count in candidates)


def make_pending(team, priority, number):
    message = ServiceRequest(
        ServiceId("booking"),
        ShardId("s"),
        RequestId(str(number)),
        team,
        "GET",
        "/",
        b"",
        1.0,
        True,
        "",
        priority,
    )
    return PendingRequest(message, 0.0, set(), lambda answer: None)


@given(
    st.lists(
        st.tuples(
            st.sampled_from([COUNTERS, ROUTES, TeamId("third")]), st.integers(0, 2)
        ),
        min_size=1,
        max_size=40,
    )
)
def test_queue_takes_turns_between_teams_and_priority_within(pushed):
    async def build():
        queue = FairQueue()
        for number, (team, priority) in enumerate(pushed):
            queue.push(make_pending(team, priority, number))
        order = []
        while len(queue):
            pending = queue.next_by_team()[0]
            queue.mark_served(pending)
            order.append(pending.message)
        return order

    order = anyio.run(build, backend="trio")
    assert len(order) == len(pushed)
    for team in {team for team, _ in pushed}:
        own = [m for m in order if m.team == team]
        assert own == sorted(own, key=lambda m: (-m.priority, int(m.request)))
        turns = [index for index, m in enumerate(order) if m.team == team]
        # Until its queue is empty, a team waits for at most one turn of each other.
        assert all(b - a <= 3 for a, b in zip(turns, turns[1:], strict=False))


@pytest.mark.parametrize("priority", [0, 1])
def test_full_queue_sheds_the_lower_priority_or_larger_team(priority):
    async def build():
        queue = FairQueue()
        for number in range(4):
            queue.push(make_pending(ROUTES, 1, number))
        queue.push(make_pending(COUNTERS, 1, 9))
        return (
            queue.choose_victim(COUNTERS, priority),
            queue.choose_victim(ROUTES, 2),
            queue.choose_victim(ROUTES, 1),
        )

    for_other_team, for_urgent, for_equal = anyio.run(build, backend="trio")
    assert for_other_team.message.team == ROUTES
    assert for_urgent.message.request == "3"
    assert for_equal is None
