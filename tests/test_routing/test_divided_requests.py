"""Owners on both sides of a cut, each of which reaches some backend servers."""

from __future__ import annotations

import anyio
from result import Err, Ok
from support import ONE_CENTRE, make_shape, send_request, serving_cell

from lacewinghold.invariants import violations
from lacewinghold.routing.base import BackendLinks
from lacewinghold.testing.clock import run_paused

SLOTS = 8
SERVICE_S = 3.0  # Longer than a takeover, so that slots stay in use beyond it.


class DividedLinks(BackendLinks):
    """One instance's links, which do not reach some backend servers.

    :ivar cut: Workers that are not reached; attempts and probes stay silent.
    """

    name = "divided"

    def __init__(self, links):
        self.links = links
        self.cut = set()

    async def silence(self, worker):
        if worker.worker in self.cut:
            await anyio.sleep_forever()

    async def exchange(self, worker, request):
        await self.silence(worker)
        result = await self.links.exchange(worker, request)
        await self.silence(worker)
        return result

    async def probe(self, worker, probe):
        await self.silence(worker)
        reply = await self.links.probe(worker, probe)
        await self.silence(worker)
        return reply


def divided_links(running):
    """Returns the links of an instance, which can be cut from now on."""
    front = running.instance.requests
    if not isinstance(front.links, DividedLinks):
        front.links = DividedLinks(front.links)
    for router in front.routers.values():
        router.links = front.links
        for backend in router.backends.values():
            backend.links = front.links
    return front.links


def divide(cell, old, far):
    """Cuts an instance off from the store, all instances and some workers.

    All other instances are cut off from the other workers.
    """
    cell.cut_off(old.instance.instance, cut=True)
    for running in cell.instances.values():
        unreached = far if running is old else cell.workers.keys() - far
        divided_links(running).cut |= unreached
        running.worker_links.cut |= unreached


def heal(cell, old):
    """Ends the cut."""
    cell.cut_off(old.instance.instance, cut=False)
    for running in cell.instances.values():
        divided_links(running).cut.clear()
        running.worker_links.cut.clear()


async def serve_on_both_sides(seed, repeatable):
    """Sends requests at an owner that is cut off and at the others.

    :returns: The largest use of a server, how often each request ran, and results.
    """
    async with serving_cell(seed, make_shape(ONE_CENTRE, 4, 3)) as cell:
        links = cell.backend_links
        links.default_time_s = SERVICE_S
        old = max(cell.instances.values(), key=lambda r: len(r.instance.manager.owners))
        results = []
        bodies = []

        async def send(at):
            body = str(len(bodies)).encode()
            bodies.append(body)
            result = await send_request(
                cell, body, at=at, timeout_s=8.0, repeatable=repeatable
            )
            results.append((body, at is old, result))

        async with anyio.create_task_group() as tasks:
            for second in range(30):
                if second == 3:
                    far = set(sorted(cell.workers)[:2])
                    divide(cell, old, far)
                if second == 18:
                    heal(cell, old)
                for _ in range(8):
                    for running in list(cell.instances.values()):
                        tasks.start_soon(send, running)
                    await anyio.sleep(0.125)
        most = max(backend.max_running for backend in links.backends.values())
        return most, dict(links.bodies), results


def check(most, runs, results, repeatable):
    assert not violations
    assert most <= SLOTS
    for body, _, result in results:
        if isinstance(result, Ok):
            assert runs.get(body, 0) >= 1
        elif isinstance(result, Err) and result.err_value.answer.may_repeat:
            assert runs.get(body, 0) == 0
    if not repeatable:
        assert max(runs.values()) == 1
    assert sum(isinstance(result, Ok) for _, _, result in results) > 100


def test_repeatable_requests_on_both_sides_stay_within_the_slots():
    most, runs, results = run_paused(serve_on_both_sides, 31, True, seed=31)
    check(most, runs, results, True)
    assert most == SLOTS
    at_old = sum(isinstance(result, Ok) and old for _, old, result in results)
    assert at_old > 10


def test_requests_on_both_sides_that_must_not_be_repeated_run_at_most_once():
    most, runs, results = run_paused(serve_on_both_sides, 32, False, seed=32)
    check(most, runs, results, False)
