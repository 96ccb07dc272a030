"""Leaving backend servers, graceful shutdown and connections that fall silent."""

from __future__ import annotations

import anyio
import pytest
from result import Ok
from support import (
    GENT,
    ONE_CENTRE,
    THREE_CENTRES,
    make_shape,
    send_request,
    serving_cell,
)

from lacewinghold.errors import ErrorKind
from lacewinghold.invariants import violations
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.testing.backend import BackendFault
from lacewinghold.testing.clock import run_paused

LAST_REQUEST_WITHIN_S = 3.0
SILENCE_DETECTED_WITHIN_S = 4.0
SILENT_LINK_DETECTED_WITHIN_S = 6.0


async def send_steadily(cell, results, seconds, every_s=0.02, **options):
    """Sends requests at a constant rate.

    :param every_s: Interval between requests, in seconds.
    """

    async def send():
        results.append(await send_request(cell, **options))

    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end:
            tasks.start_soon(send)
            await anyio.sleep(every_s)


async def serve_while_leaving(evidence):
    async with serving_cell(61, make_shape(ONE_CENTRE, 4, 3)) as cell:
        links = cell.backend_links
        links.default_time_s = 0.3
        worker = next(iter(cell.workers))
        results = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_steadily, cell, results, 10)
            await anyio.sleep(2)
            left_at = anyio.current_time()
            if evidence == "list":
                links.backend(worker).reads_instance_list = False
                cell.workers[worker].record.state = WorkerState.LEAVING
            else:
                cell.instance_list.reachable = False
                links.backend(worker).leaving = True
        return links.last_arrival[worker] - left_at, results


@pytest.mark.parametrize("evidence", ["list", "the server's own answer"])
def test_leaving_server_gets_no_new_work(evidence):
    last_s, results = run_paused(serve_while_leaving, evidence, seed=61)
    assert last_s <= LAST_REQUEST_WITHIN_S
    assert all(isinstance(result, Ok) for result in results)


async def shut_down_all_in_turn():
    shape = make_shape(THREE_CENTRES, 4, 7)
    async with serving_cell(62, shape) as cell:
        cell.backend_links.default_time_s = 2.0
        results = []
        async with anyio.create_task_group() as tasks:
            for repeatable in (True, False):
                tasks.start_soon(
                    lambda repeatable=repeatable: send_steadily(
                        cell, results, 30, 0.1, repeatable=repeatable, timeout_s=8.0
                    )
                )
            for name in sorted(cell.instances):
                await anyio.sleep(3)
                running = cell.instances.pop(name)
                centre = running.instance.settings.data_centre
                cell.start_instance(centre, f"next-{name.partition('.')[0]}")
                await running.instance.shut_down()
                idle = not running.calls
                assert idle, "a caller was still waiting"
                running.scope.cancel()
                cell.network.nodes.pop(name, None)
        return results


def test_graceful_shutdown_cuts_off_no_request():
    results = run_paused(shut_down_all_in_turn, seed=62)
    assert len(results) >= 500
    assert [result for result in results if not isinstance(result, Ok)] == []
    assert not violations


async def send_over_silent_connection(fault, repeatable):
    async with serving_cell(63, make_shape(ONE_CENTRE, 4, 3)) as cell:
        links = cell.backend_links
        links.faults = [fault]
        sent_at = anyio.current_time()
        result = await send_request(cell, repeatable=repeatable, timeout_s=60.0)
        return result, anyio.current_time() - sent_at


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize(
    "fault", [BackendFault.SILENT_REQUEST, BackendFault.SILENT_ANSWER]
)
def test_connection_silent_in_one_direction_is_detected(fault, repeatable):
    result, waited_s = run_paused(
        send_over_silent_connection, fault, repeatable, seed=63
    )
    assert waited_s <= SILENCE_DETECTED_WITHIN_S
    may_have_run = fault is BackendFault.SILENT_ANSWER and not repeatable
    assert isinstance(result, Ok) != may_have_run


async def send_with_unreachable_server():
    async with serving_cell(64, make_shape(ONE_CENTRE, 4, 3)) as cell:
        links = cell.backend_links
        worker = next(iter(cell.workers))
        links.unreachable.add(worker)
        await anyio.sleep(SILENCE_DETECTED_WITHIN_S)
        results = []
        await send_steadily(cell, results, 3, timeout_s=2.0)
        links.unreachable.clear()
        await anyio.sleep(3)
        before = links.arrivals[worker]
        await send_steadily(cell, results, 3, timeout_s=2.0)
        return results, links.arrivals[worker] - before


def test_unreachable_server_gets_no_requests_until_it_answers():
    results, after = run_paused(send_with_unreachable_server, seed=64)
    assert all(isinstance(result, Ok) for result in results)
    assert after > 0


async def cut_off_centre():
    shape = make_shape(THREE_CENTRES, 4, 7)
    async with serving_cell(65, shape) as cell:
        inside = {
            name: running
            for name, running in cell.instances.items()
            if running.instance.settings.data_centre == GENT
        }
        for name, running in inside.items():
            running.store.reachable = False
            for other in set(cell.instances) - set(inside):
                cell.network.cut |= {(name, other), (other, name)}
        results = []
        for _ in range(30):
            for running in inside.values():
                results.append(await send_request(cell, at=running))
            await anyio.sleep(1)
        once = await send_request(cell, at=running, repeatable=False)
        outside = [r for n, r in cell.instances.items() if n not in inside]
        others = [await send_request(cell, at=running) for running in outside]
        return results, once, others, cell.network.bytes_between_regions


def test_cut_off_data_centre_serves_its_callers_under_the_last_rules():
    results, once, others, _ = run_paused(cut_off_centre, seed=65)
    assert all(isinstance(result, Ok) for result in [*results, *others])
    assert {result.ok_value.worker[:6] for result in results} == {"gent-a"}
    assert once.err_value.answer.may_repeat


async def send_over_cut_links(cuts):
    """Cuts the links between an instance without shards and the shard owners."""
    async with serving_cell(66, make_shape(ONE_CENTRE, 4, 4)) as cell:
        owners = {n for n, r in cell.instances.items() if r.instance.manager.owners}
        name, entry = next((n, r) for n, r in cell.instances.items() if n not in owners)
        cell.backend_links.default_time_s = 1.0
        sent_at = anyio.current_time()
        results = []

        async def send():
            results.append(
                await send_request(cell, at=entry, timeout_s=60.0, repeatable=False)
            )

        async with anyio.create_task_group() as tasks:
            if "there" in cuts:
                cell.network.cut |= {(name, owner) for owner in owners}
            tasks.start_soon(send)
            await anyio.sleep(0.5)
            if "back" in cuts:
                cell.network.cut |= {(owner, name) for owner in owners}
        return results[0], anyio.current_time() - sent_at


@pytest.mark.parametrize("cuts", ["there", "back", "there and back"])
def test_silent_link_between_instances_is_detected(cuts):
    result, waited_s = run_paused(send_over_cut_links, cuts, seed=66)
    assert result.err_value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert waited_s <= SILENT_LINK_DETECTED_WITHIN_S
