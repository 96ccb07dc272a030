"""Limits on slots and connections, also while entry instances are replaced."""

from __future__ import annotations

from collections import Counter

import anyio
import httpx
import pytest
from result import Ok
from support import (
    ONE_CENTRE,
    THREE_CENTRES,
    make_shape,
    send_request,
    serving_cell,
)

from lacewinghold.invariants import violations
from lacewinghold.routing.http import PROBE_CONNECTIONS, HttpBackendLinks
from lacewinghold.testing.backend import BackendFault
from lacewinghold.testing.clock import run_paused

SLOTS = 8
CONNECTIONS = 64
ENTRY_INSTANCES = 7


async def flood(cell, results, count, repeatable=True, timeout_s=6.0):
    """Sends more requests at once than there are slots."""

    async def send():
        results.append(
            await send_request(cell, repeatable=repeatable, timeout_s=timeout_s)
        )

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(send)
            await anyio.sleep(0.002)


def most_running(cell):
    return max(backend.max_running for backend in cell.backend_links.backends.values())


async def replace_under_load(seed, graceful):
    shape = make_shape(THREE_CENTRES, workers=4, instances=ENTRY_INSTANCES)
    async with serving_cell(seed, shape) as cell:
        links = cell.backend_links
        links.default_time_s = 1.5
        results = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flood, cell, results, 600)
            for victim in list(cell.instances)[:4]:
                await anyio.sleep(0.2)
                centre = cell.instances[victim].instance.settings.data_centre
                if graceful:
                    tasks.start_soon(cell.shut_down, victim)
                else:
                    cell.kill(victim)
                cell.start_instance(centre, f"next-{victim.partition('.')[0]}")
        await anyio.sleep(8)
        answered = sum(isinstance(result, Ok) for result in results)
        failures = Counter(
            result.err_value.kind
            for result in results
            if result is not None and not isinstance(result, Ok)
        )
        after = [await send_request(cell) for _ in range(20)]
        served_after = sum(isinstance(result, Ok) for result in after)
        return most_running(cell), answered, failures, served_after


@pytest.mark.parametrize("graceful", [False, True])
def test_no_backend_over_its_slots_while_owners_are_replaced(graceful):
    max_running, answered, failures, after = run_paused(
        replace_under_load, 21, graceful, seed=21
    )
    assert max_running == SLOTS
    assert answered > 0
    assert after == 20, failures
    assert not violations


async def replace_owner_with_full_slots():
    """Fills all slots, kills the owners and starts a new one."""
    async with serving_cell(22, make_shape(ONE_CENTRE, 2, 2)) as cell:
        links = cell.backend_links
        links.default_time_s = 20.0
        async with anyio.create_task_group() as tasks:
            for _ in range(24):
                tasks.start_soon(send_request, cell)
            await anyio.sleep(1)
            for victim in list(cell.instances):
                cell.kill(victim)
            cell.start_instance(next(iter(ONE_CENTRE)), "next")
            await cell.wait_ready(2)
            await anyio.sleep(3)
            links.default_time_s = 0.02
            while_old_runs = await send_request(cell, timeout_s=2.0)
            await anyio.sleep(20)
            after = await send_request(cell)
        return most_running(cell), while_old_runs, after


def test_new_owner_counts_slots_in_use_under_its_dead_predecessor():
    max_running, while_old_runs, after = run_paused(
        replace_owner_with_full_slots, seed=22
    )
    assert max_running == SLOTS
    assert while_old_runs.err_value.answer.may_repeat
    assert isinstance(after, Ok)


async def cut_off_owner():
    """Cuts the owner of most shards off from the store while requests continue.

    It may go on serving for a limited time, while another instance takes over.
    """
    async with serving_cell(23, make_shape(ONE_CENTRE, 2, 3)) as cell:
        links = cell.backend_links
        links.default_time_s = 0.5
        old = max(cell.instances.values(), key=lambda r: len(r.instance.manager.owners))
        old.store.reachable = False
        results = []
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(flood, cell, results, 30)
                await anyio.sleep(1)
        return most_running(cell), sum(isinstance(r, Ok) for r in results)


def test_cut_off_owner_and_its_successor_share_no_slot():
    max_running, answered = run_paused(cut_off_owner, seed=23)
    assert max_running <= SLOTS
    assert answered > 100
    assert not violations


async def lose_connections(fault):
    async with serving_cell(24, make_shape(ONE_CENTRE, 2, 2)) as cell:
        links = cell.backend_links
        links.default_time_s = 0.3
        results = []
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                links.faults.extend([fault] * 6)
                tasks.start_soon(flood, cell, results, 20)
                await anyio.sleep(0.3)
        await anyio.sleep(10)
        used = [
            backend.used_slots
            for running in cell.instances.values()
            for router in running.instance.requests.routers.values()
            for backend in router.backends.values()
        ]
        return most_running(cell), used


@pytest.mark.parametrize(
    "fault",
    [
        BackendFault.RESET_RUNNING,
        BackendFault.RESET_DELAYED,
        BackendFault.SILENT_ANSWER,
        BackendFault.SILENT_REQUEST,
    ],
)
def test_slots_of_lost_connections_are_freed(fault):
    max_running, used = run_paused(lose_connections, fault, seed=24)
    assert max_running <= SLOTS
    assert set(used) == {0}
    assert not violations


def test_pools_of_all_instances_stay_within_the_connections():
    pool_sizes = []

    def make_client(limits):
        pool_sizes.append(limits.max_connections)
        return httpx.AsyncClient(limits=limits)

    links = HttpBackendLinks(make_client)
    record = make_record()
    assert links.client(record) is links.client(record)
    assert pool_sizes == [SLOTS + PROBE_CONNECTIONS]
    assert pool_sizes[0] * ENTRY_INSTANCES <= CONNECTIONS


def make_record():
    async def build():
        async with serving_cell(25, make_shape(ONE_CENTRE, 2, 1)) as cell:
            return next(iter(cell.workers.values())).record

    return run_paused(build, seed=25)
