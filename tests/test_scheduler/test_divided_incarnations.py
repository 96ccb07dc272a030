"""A cut while an owner holds a worker's incarnation to be unknown."""

from __future__ import annotations

import anyio
from msgspec.structs import replace

from lacewinghold.ids import ANY_INCARNATION, Incarnation
from lacewinghold.testing.step_worker import Behaviour, OrderFault
from tests.test_scheduler.support import run_cell, step
from tests.test_scheduler.test_divided_cell import (
    divide,
    move_across_the_cut,
    outlast_the_hold_and_heal,
)

TASKS = 4


def crash_unregistered(worker):
    """Crashes a worker, which is back at once and has not registered yet."""
    worker.crash()
    incarnation = Incarnation(worker.incarnation + 1)
    worker.entry = replace(worker.entry, incarnation=incarnation)


def test_a_list_after_a_second_restart_ends_no_run():
    restart_twice_across_the_cut(binds_orders=False)


def test_a_list_after_a_second_restart_ends_no_run_of_bound_orders():
    restart_twice_across_the_cut(binds_orders=True)


def restart_twice_across_the_cut(*, binds_orders):
    """The next owner acknowledges ends of the second incarnation; the third has none.

    The second one is known to the earlier owner by its answers only.
    """

    async def program(cell):
        cell.world.binds_orders = binds_orders
        cell.behaviours["a"] = Behaviour(1.0)
        for other in cell.world.workers.values():
            other.faults = [OrderFault.CARRIED_OUT_LATE] * TASKS
        await cell.submit("a", [step(TASKS)])
        first = cell.owner()
        while not cell.world.starts:
            await anyio.sleep(0.001)
        await anyio.sleep(0.02)
        (name,) = {start.worker for start in cell.world.starts}
        worker = cell.world.workers[name]
        crash_unregistered(worker)
        nodes = first.instance.owner.fleet.nodes
        while nodes[name].entry.incarnation != ANY_INCARNATION:
            await anyio.sleep(0.001)
        divide(cell, first, cell.world.workers.keys() - {name})
        while cell.owner() in (None, first):
            await anyio.sleep(0.01)
        # The late starts are carried out and their ends are acknowledged.
        await anyio.sleep(2.0)
        move_across_the_cut(cell, first, name)
        crash_unregistered(worker)
        await cell.add_worker(str(name), worker.incarnation)
        await outlast_the_hold_and_heal(cell)

    run_cell(program, workers=6, limit_s=120)
