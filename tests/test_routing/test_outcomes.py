"""The table of outcomes: each row on its own, then on a running cell."""

from __future__ import annotations

import anyio
import pytest
from result import Err, Ok
from support import TEAM, send_request, serving_cell

from lacewinghold.errors import ErrorKind
from lacewinghold.invariants import violations
from lacewinghold.routing.outcomes import OUTCOME_RULES, Observation, decide, to_failure
from lacewinghold.schema.generated.records import RequestState
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.backend import BackendFault
from lacewinghold.testing.clock import run_paused

TABLE = """
connection refused                                 | retry           | retry
no connection in time                              | retry           | retry
connection reset before the first byte was sent    | retry           | retry
connection reset after the first byte was sent     | retry           | outcome unknown
connection closed within the answer                | retry           | outcome unknown
answer for another request                         | retry           | outcome unknown
answer over the size limit                         | outcome unknown | outcome unknown
connection silent after the request                | retry           | outcome unknown
connection silent and the request refused from now on | retry        | retry
backend server leaving                             | retry           | retry
backend server refused a stale epoch or incarnation | retry          | retry
backend server removed by the platform             | retry           | outcome unknown
no backend server left to try                      | not run         | not run
time out in the queue                              | not run         | not run
time out after the request was sent                | outcome unknown | outcome unknown
caller left while the request was queued           | not run         | not run
caller left after the request was sent             | outcome unknown | outcome unknown
entry instance unreachable                         | retry           | retry
entry instance died after the request was forwarded | retry          | outcome unknown
shard without an owner that may send               | retry           | retry
queue too long                                     | not run         | not run
intent not written                                 | not run         | not run
"""
ROWS = [[cell.strip() for cell in row.split("|")] for row in TABLE.split("\n") if row]


def test_table_has_a_row_for_each_observation():
    assert [row[0] for row in ROWS] == [str(name) for name in Observation]
    assert set(OUTCOME_RULES) == set(Observation)


@pytest.mark.parametrize(("name", "repeatable", "non_repeatable"), ROWS)
def test_verdicts_and_failure_of_an_observation(name, repeatable, non_repeatable):
    observation = Observation(name)
    assert decide(observation, repeatable=True) == repeatable
    assert decide(observation, repeatable=False) == non_repeatable
    failure = to_failure(observation)
    may_have_run = "unknown" in non_repeatable
    assert (failure.kind is ErrorKind.OUTCOME_UNKNOWN) == may_have_run
    assert failure.answer.may_repeat != may_have_run
    after_an_earlier_run = to_failure(observation, may_have_run=True)
    assert after_an_earlier_run.kind is ErrorKind.OUTCOME_UNKNOWN


# Final state of a request that must not be repeated, and how often it ran.
NON_REPEATABLE = {
    BackendFault.REFUSED: ("answered", 1),
    BackendFault.RESET_BEFORE_SEND: ("answered", 1),
    BackendFault.RESET_UNREAD: ("unknown", 0),
    BackendFault.RESET_RUNNING: ("unknown", 1),
    BackendFault.RESET_DELAYED: ("unknown", 0),
    BackendFault.HALF_ANSWER: ("unknown", 1),
    BackendFault.WRONG_ANSWER: ("unknown", 1),
    BackendFault.SILENT_REQUEST: ("answered", 1),
    BackendFault.SILENT_ANSWER: ("unknown", 1),
    BackendFault.SLOW: ("unknown", 1),
}


async def send_under_each_fault(repeatable):
    """Sends a request under each fault; if not repeatable, a repeat by its key."""
    results = {}
    async with serving_cell(3) as cell:
        links = cell.backend_links
        for fault in BackendFault:
            links.faults = [fault]
            timeout_s = 3.9 if fault is BackendFault.SLOW else 20.0
            body, key = fault.name.encode(), fault.name
            first = await send_request(
                cell, body, repeatable=repeatable, key=key, timeout_s=timeout_s
            )
            after_first = links.bodies[body]
            await anyio.sleep(3)
            repeat = None
            if not repeatable:
                repeat = await send_request(cell, body, repeatable=False, key=key)
            found = await cell.any_instance().requests.at_most_once.lookup(TEAM, key)
            results[fault] = (first, after_first, repeat, links.bodies[body], found)
    return results


def test_non_repeatable_request_under_each_fault():
    results = run_paused(send_under_each_fault, False, seed=3)
    for fault, (first, _, repeat, runs, found) in results.items():
        body = fault.name.encode()
        state, expected_runs = NON_REPEATABLE[fault]
        assert runs == expected_runs, fault
        if state == "answered":
            assert first.ok_value.body == body, fault
        else:
            assert first.err_value.kind is ErrorKind.OUTCOME_UNKNOWN, fault
        if fault is BackendFault.SLOW:
            # The late answer was recorded and is returned to the repeat.
            state = "answered"
        assert found.ok_value.state == RequestState(state), fault
        assert isinstance(repeat, Ok) == (state == "answered"), fault
        if isinstance(repeat, Ok):
            assert repeat.ok_value.body == body, fault
    assert not violations


def test_repeatable_request_under_each_fault():
    results = run_paused(send_under_each_fault, True, seed=4)
    for fault, (first, runs, *_) in results.items():
        if fault is BackendFault.SLOW:
            assert first.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
            continue
        assert first.ok_value.body == fault.name.encode(), fault
        assert 1 <= runs <= 2, fault


async def time_out_in_queue():
    async with serving_cell(5) as cell:
        cell.backend_links.default_time_s = 30.0
        late = []
        async with anyio.create_task_group() as tasks:
            for _ in range(48):
                tasks.start_soon(send_request, cell)
            await anyio.sleep(0.5)
            busy = sum(b.max_running for b in cell.backend_links.backends.values())
            queued = await send_request(cell, repeatable=False, key="q", timeout_s=2.0)
            late.append(
                await cell.any_instance().requests.at_most_once.lookup(TEAM, "q")
            )
        await anyio.sleep(60)
        cell.backend_links.default_time_s = 0.02
        return (
            busy,
            queued,
            late[0],
            await send_request(cell, repeatable=False, key="q"),
        )


def test_time_out_in_queue_is_not_run_and_may_be_repeated_with_its_key():
    busy, queued, found, repeat = run_paused(time_out_in_queue, seed=5)
    assert busy == 32
    assert queued.err_value.answer.may_repeat
    assert found.ok_value.state is RequestState.NOT_RUN
    assert isinstance(repeat, Ok)


async def occupy_slot(cell):
    await send_request(cell, timeout_s=2.9)


async def caller_disconnects(repeatable):
    async with serving_cell(6) as cell:
        links = cell.backend_links
        links.default_time_s = 3.0
        async with anyio.create_task_group() as tasks:
            for _ in range(48):
                tasks.start_soon(occupy_slot, cell)
            await anyio.sleep(0.5)
            with anyio.move_on_after(0.5):
                await send_request(cell, repeatable=repeatable, key="left")
        await anyio.sleep(5)
        queued = sum(
            len(queue)
            for running in cell.instances.values()
            for router in running.instance.requests.routers.values()
            for queue in router.queues.values()
        )
        found = await cell.any_instance().requests.at_most_once.lookup(TEAM, "left")
        return queued, sum(links.runs.values()), found


@pytest.mark.parametrize("repeatable", [True, False])
def test_queued_request_of_a_disconnected_caller_is_cancelled(repeatable):
    queued, runs, found = run_paused(caller_disconnects, repeatable, seed=6)
    assert (queued, runs) == (0, 32)
    if not repeatable:
        assert found.ok_value.state is RequestState.NOT_RUN


async def leaving_backends():
    async with serving_cell(7) as cell:
        *leaving, stays = cell.workers
        for worker in leaving:
            # Only the server itself reports it: the instance list is never updated.
            cell.backend_links.backend(worker).leaving = True
        answers = [await send_request(cell, repeatable=False) for _ in range(30)]
        return answers, cell.backend_links.arrivals, stays


def test_leaving_backend_refuses_and_another_serves():
    answers, arrivals, stays = run_paused(leaving_backends, seed=7)
    assert all(isinstance(answer, Ok) for answer in answers)
    assert dict(arrivals) == {stays: 30}


async def store_down():
    async with serving_cell(8) as cell:
        entry = next(iter(cell.instances.values()))
        entry.store.reachable = False
        refused = await send_request(cell, at=entry, repeatable=False, key="k")
        served = await send_request(cell, at=entry)
        ran = sum(cell.backend_links.runs.values())
        entry.store.reachable = True
        return refused, served, ran, await send_request(cell, repeatable=False, key="k")


def test_store_down_is_not_run_and_repeatable_requests_go_on():
    refused, served, ran, repeat = run_paused(store_down, seed=8)
    assert refused.err_value.kind is ErrorKind.NOT_RUN
    assert isinstance(served, Ok)
    assert ran == 1
    assert isinstance(repeat, Ok)


async def claiming_instance_dies(seed):
    async with serving_cell(seed) as cell:
        links = cell.backend_links
        links.default_time_s = 2.0
        name, entry = next(iter(cell.instances.items()))
        outcomes = []

        async def send():
            outcomes.append(
                await send_request(cell, at=entry, repeatable=False, key="k")
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.5)
            cell.kill(name)
            await anyio.sleep(8)
            repeat = await send_request(cell, repeatable=False, key="k")
            tasks.cancel_scope.cancel()
        found = await cell.any_instance().requests.at_most_once.lookup(TEAM, "k")
        return repeat, sum(links.runs.values()), found


def test_death_of_the_claiming_instance_is_unknown_and_runs_once():
    repeat, runs, found = run_paused(claiming_instance_dies, 9, seed=9)
    assert isinstance(repeat, Err)
    assert repeat.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert runs == 1
    assert found.ok_value.state is RequestState.UNKNOWN


async def repeats_at_once():
    async with serving_cell(10) as cell:
        answers = []

        async def send(running):
            answers.append(
                await send_request(cell, at=running, repeatable=False, key="k")
            )

        async with anyio.create_task_group() as tasks:
            for running in list(cell.instances.values()) * 3:
                tasks.start_soon(send, running)
        other = await send_request(cell, b"another", repeatable=False, key="k")
        return answers, cell.backend_links.runs, other


def test_repeats_at_all_instances_at_once_get_one_answer():
    answers, runs, other = run_paused(repeats_at_once, seed=10)
    assert {answer.ok_value.body for answer in answers} == {b"x"}
    assert len({answer.ok_value.request for answer in answers}) == 1
    assert list(runs.values()) == [1]
    assert other.err_value.kind is ErrorKind.CONFLICT


async def removed_by_the_platform():
    async with serving_cell(11) as cell:
        cell.backend_links.default_time_s = 6.0
        outcomes = []

        async def send():
            outcomes.append(await send_request(cell, repeatable=False, timeout_s=30.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.5)
            (busy,) = (w for w, n in cell.backend_links.arrivals.items() if n)
            cell.workers[busy].record.state = WorkerState.GONE
        return outcomes[0]


def test_removed_backend_leaves_the_outcome_unknown():
    outcome = run_paused(removed_by_the_platform, seed=11)
    assert outcome.err_value.kind is ErrorKind.OUTCOME_UNKNOWN


async def restart_after_lost_answer():
    """Loses the answer of a request that ran, then restarts its server."""
    async with serving_cell(12) as cell:
        links = cell.backend_links
        links.faults = [BackendFault.SILENT_ANSWER]
        outcomes = []

        async def send():
            outcomes.append(await send_request(cell, repeatable=False, timeout_s=30.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.5)
            (busy,) = links.arrivals
            cell.workers[busy].restart()
        return outcomes[0], links.bodies[b"x"]


def test_restarted_server_does_not_prove_that_a_request_did_not_run():
    outcome, runs = run_paused(restart_after_lost_answer, seed=12)
    assert runs == 1
    assert outcome.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
