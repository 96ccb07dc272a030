"""Operations: series of manifests, drains and planned stops."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lacewinghold.errors import ErrorKind
from lacewinghold.scheduler.model import JobState
from lacewinghold.scheduler.ports import Queue, ServerState
from lacewinghold.testing.step_cell import (
    HOST,
    MANIFEST_KEY,
    WORKERS_PREFIX,
    StoredManifest,
)
from lacewinghold.testing.step_worker import Behaviour
from tests.test_scheduler.support import run_cell, step

IN_FORCE_S = 1.0  # A third of the platform's time limit for applying a manifest.
DRAIN_APPLIED_S = 1.0
STORM_GAP_S = 0.08  # Shortest interval of writes by the platform's operators.
FAST = Queue("fast", HOST, "/fast/", "service", 0, 2, 2.0, 1)


def queues(count):
    """Returns the fast queue and a number of others."""
    found = [FAST]
    for number in range(count):
        found.append(Queue(f"q{number}", HOST, f"/q{number}/", "service", 1, 2, 2.0, 1))
    return found


async def put_manifest(cell, version, found):
    """Writes a manifest as operators do."""
    content = msgspec.json.encode(StoredManifest(version, found))
    await cell.put(MANIFEST_KEY, content)


def versions(cell):
    """Returns the versions in force."""
    return {member.instance.state.manifest.version for member in cell.members}


def test_manifests_in_quick_succession_end_with_the_newest():
    async def program(cell):
        for version in (2, 5, 9, 14, 30):
            await put_manifest(cell, version, queues(version))
            await anyio.sleep(0.05)
        await anyio.sleep(IN_FORCE_S)
        assert versions(cell) == {30}
        cell.queues = queues(30)
        assert (await cell.submit("a", [step()], queue=30)).is_ok()
        assert await cell.wait_for("a", JobState.COMPLETED, 3)

    run_cell(program)


def test_a_storm_of_manifests_leaves_no_instance_behind():
    """Instances must skip to the newest version: applying the history version by
    version would make them fall behind.
    """

    async def program(cell):
        cell.state.coalesces_changes = False
        for version in range(2, 80):
            await put_manifest(cell, version, queues(3))
            await anyio.sleep(STORM_GAP_S)
            for member in cell.members:
                in_force = member.instance.state.manifest.version
                assert version - in_force <= IN_FORCE_S / STORM_GAP_S
        await anyio.sleep(IN_FORCE_S)
        assert versions(cell) == {79}

    run_cell(program)


def test_an_older_or_unreadable_manifest_changes_nothing():
    async def program(cell):
        await put_manifest(cell, 7, queues(2))
        await anyio.sleep(IN_FORCE_S)
        await put_manifest(cell, 6, queues(0))
        await anyio.sleep(IN_FORCE_S)
        assert versions(cell) == {7}
        await cell.put(MANIFEST_KEY, b"\x80")
        await anyio.sleep(IN_FORCE_S)
        assert versions(cell) == {7}
        assert len(cell.members[0].instance.state.manifest.queues) == 3

    run_cell(program)


def test_jobs_of_a_queue_that_is_removed_are_still_done():
    async def program(cell):
        cell.queues = queues(1)
        await put_manifest(cell, 2, cell.queues)
        await anyio.sleep(IN_FORCE_S)
        cell.behaviours["a"] = Behaviour(3)
        assert (await cell.submit("a", [step(2), step(after=[0])], queue=1)).is_ok()
        await put_manifest(cell, 3, [FAST])
        await anyio.sleep(IN_FORCE_S)
        assert await cell.wait_for("a", JobState.COMPLETED, 8)

    run_cell(program)


def test_a_draining_worker_gets_no_new_work_and_finishes_its_own():
    async def program(cell):
        cell.behaviours["old"] = Behaviour(4)
        await cell.submit("old", [step(8)])
        await anyio.sleep(0.5)
        worker = cell.world.workers[cell.world.starts[0].worker]
        before = len(worker.runs)
        assert before
        entry = msgspec.structs.replace(worker.entry, state=ServerState.DRAINING)
        await cell.put(WORKERS_PREFIX + str(worker.id), msgspec.json.encode(entry))
        await anyio.sleep(DRAIN_APPLIED_S)
        drained_at = anyio.current_time()
        for number in range(16):
            await cell.submit(f"new{number}", [step()])
        for number in range(16):
            assert await cell.wait_for(f"new{number}", JobState.COMPLETED, 8)
        assert await cell.wait_for("old", JobState.COMPLETED, 8)
        late = [s for s in cell.world.starts if s.worker == worker.id]
        assert all(start.at < drained_at for start in late)
        assert len(late) == before

    run_cell(program)


@pytest.mark.parametrize("seed", range(5))
def test_work_goes_on_at_once_when_the_owner_is_stopped(seed):
    async def program(cell):
        owner = cell.owner()
        stopped_at = anyio.current_time()
        await owner.instance.shut_down()
        assert not owner.instance.ready()
        with anyio.fail_after(1):
            while cell.owner() in (None, owner):
                await anyio.sleep(0.01)
        await cell.submit("a", [step()])
        with anyio.fail_after(1):
            while not cell.world.starts:
                await anyio.sleep(0.01)
        # The goal is 0.2 s on the platform; stand-ins answer in a few milliseconds.
        assert cell.world.starts[0].at - stopped_at <= 0.2

    run_cell(program, seed=seed)


def test_a_stopped_instance_still_answers_until_it_ends():
    async def program(cell):
        await cell.submit("a", [step()])
        owner = cell.owner()
        await owner.instance.shut_down()
        await cell.wait_for_owner()
        found = await owner.instance.front.state("a")
        assert found.is_ok()
        record = cell.make_job("b", [step()])
        answer = await owner.instance.front.submit(record)
        assert answer.is_ok() or answer.err_value.kind is ErrorKind.NOT_RUN

    run_cell(program)
