"""Owners with half a core and a slow link that schedule for many workers."""

from __future__ import annotations

import anyio
import pytest
from structlog.testing import capture_logs

from lacewinghold.events import Event
from lacewinghold.scheduler.model import JobState
from lacewinghold.schema.generated.cell import CellOwnerRecord, JobOutcome
from lacewinghold.testing.machine import Machine, charged_work
from lacewinghold.testing.step_worker import Behaviour
from lacewinghold.util.codec import from_json, to_json
from tests.test_scheduler.support import run_cell, step

PREFIX = "lacewinghold/"
LEASE_MS = 1000
SPEC_BYTES = 1000
LIMIT_S = 60  # Timeout of a program, on the paused clock.


def weak():
    """Returns a machine with little processor time and a slow link."""
    return Machine(cores=0.5, link_mbps=5)


def strong():
    """Returns a machine with enough processor time and bandwidth."""
    return Machine(cores=2, link_mbps=100)


def run_on(make_machine, program, **shape):
    """Runs a program on a cell of equal machines.

    :returns: What the program returns, and the log lines.
    """
    with charged_work(), capture_logs() as lines:
        result = run_cell(
            program,
            make_machine=make_machine,
            lease_ms=LEASE_MS,
            limit_s=LIMIT_S,
            **shape,
        )
    return result, lines


def stored_jobs(open_jobs, ended_jobs):
    """Returns a ``prepare`` function that stores accepted jobs.

    :param open_jobs: Number of jobs that have not ended.
    :param ended_jobs: Number of jobs that have ended.
    """

    async def prepare(cell):
        for number in range(open_jobs + ended_jobs):
            job = f"j{number}"
            record = cell.make_job(job, [step(2)])
            record.program = "x" * SPEC_BYTES
            await cell.put(f"{PREFIX}j/{job}/a", to_json(record))
            if number < open_jobs:
                continue
            outcome = JobOutcome(state="completed", at=cell.clock.now(), reason="")
            await cell.put(f"{PREFIX}j/{job}/e", to_json(outcome))

    return prepare


def terms(cell):
    """Returns the number of terms of ownership so far."""
    return from_json(cell.state.keys[f"{PREFIX}term"].value, CellOwnerRecord).term


def count(lines, event):
    """Returns how often an event was logged."""
    return sum(line["event"] == event for line in lines)


async def wait_for_done(cell, tasks, limit_s):
    """Returns whether a number of tasks are done within a time limit."""
    with anyio.move_on_after(limit_s):
        while len(cell.world.done) < tasks:
            await anyio.sleep(0.1)
        return True
    return False


def test_weak_owners_of_many_accepted_jobs_do_not_lose_term_after_term():
    async def program(cell):
        assert await wait_for_done(cell, 100, 10)
        assert terms(cell) == 1

    jobs = stored_jobs(400, 400)
    run_on(weak, program, instances=4, workers=300, prepare=jobs)


def test_a_weak_instance_alone_is_not_stuck_with_many_workers():
    async def program(cell):
        assert await wait_for_done(cell, 20, 10)
        assert terms(cell) == 1

    jobs = stored_jobs(400, 400)
    run_on(weak, program, instances=1, workers=300, prepare=jobs)


def test_a_late_owner_does_not_hold_answering_workers_to_be_silent():
    async def program(cell):
        await anyio.sleep(6)

    _, lines = run_on(weak, program, workers=176, prepare=stored_jobs(400, 400))
    assert not count(lines, Event.WORKER_SILENT)


@pytest.mark.parametrize("make_machine", [weak, strong])
def test_a_calm_load_is_served(make_machine):
    async def program(cell):
        for number in range(40):
            job = f"j{number}"
            cell.behaviours[job] = Behaviour(0.5)
            assert (await cell.submit(job, [step(4)])).is_ok()
            await anyio.sleep(0.1)
        assert await wait_for_done(cell, 160, 5)
        assert await cell.wait_for("j39", JobState.COMPLETED, 2)
        assert terms(cell) == 1

    _, lines = run_on(make_machine, program, instances=4, workers=176)
    assert not count(lines, Event.WORKER_SILENT)


def test_a_strong_owner_of_many_accepted_jobs_runs_them_at_once():
    async def program(cell):
        assert await wait_for_done(cell, 800, 10)
        assert terms(cell) == 1

    jobs = stored_jobs(400, 400)
    run_on(strong, program, instances=4, workers=300, prepare=jobs)
