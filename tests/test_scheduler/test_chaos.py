"""Random faults; the simulated workers check the guarantees."""

from __future__ import annotations

import anyio
import pytest

from lacewinghold.scheduler.model import JobState
from lacewinghold.testing.step_worker import Behaviour, OrderFault
from lacewinghold.testing.store import Outage, StoreFault
from tests.test_scheduler.support import run_cell, step

FAULTS = 12
JOBS = 30


async def inject_fault(cell):
    """Injects one random fault."""
    rng = cell.rng
    member = rng.choice(cell.members)
    owner = cell.owner() or member
    worker = rng.choice(list(cell.world.workers.values()))
    kind = rng.randrange(9)
    if kind == 0:
        cell.kill(owner)
        cell.add_member()
    elif kind == 1:
        owner.gate.close()
        await anyio.sleep(rng.uniform(0.5, 5))
        owner.gate.open()
    elif kind == 2:
        owner.store.reachable = False
        await anyio.sleep(rng.uniform(0.5, 8))
        owner.store.reachable = True
    elif kind == 3:
        worker.silent = True
        await anyio.sleep(rng.uniform(0.5, 8))
        worker.silent = False
    elif kind == 4:
        await cell.restart_worker(worker)
    elif kind == 5:
        worker.faults += [rng.choice(list(OrderFault)) for _ in range(4)]
    elif kind == 6:
        cell.state.outage = rng.choice([Outage.DOWN, Outage.ERRORS])
        await anyio.sleep(rng.uniform(0.5, 5))
        cell.state.outage = Outage.NONE
    elif kind == 7:
        member.store.faults += [rng.choice(list(StoreFault)) for _ in range(3)]
    else:
        other = rng.choice(cell.members)
        pair = (member.instance.instance, other.instance.instance)
        cell.network.cut |= {pair, pair[::-1]}
        await anyio.sleep(rng.uniform(0.5, 5))
        cell.network.cut -= {pair, pair[::-1]}


@pytest.mark.parametrize("seed", range(25))
def test_guarantees_hold_under_random_faults(seed):
    accepted = []

    async def submit_all(cell):
        for number in range(JOBS):
            job = f"j{number}"
            seconds = cell.rng.choice([0.3, 1.0, 3.0])
            cell.behaviours[job] = Behaviour(seconds)
            width = cell.rng.randint(1, 4)
            together = cell.rng.random() < 0.3
            steps = [step(width, all_at_once=together)]
            if cell.rng.random() < 0.4:
                steps.append(step(2, after=[0]))
            if (await cell.submit(job, steps)).is_ok():
                accepted.append(job)
            await anyio.sleep(cell.rng.uniform(0.1, 0.8))

    async def inject_all(cell):
        for _ in range(FAULTS):
            await anyio.sleep(cell.rng.uniform(0.2, 2.0))
            await inject_fault(cell)

    async def program(cell):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit_all, cell)
            tasks.start_soon(inject_all, cell)
        for job in accepted:
            assert await cell.wait_for(job, JobState.COMPLETED, 40), job

    run_cell(program, seed=seed, workers=6)
