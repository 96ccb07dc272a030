"""Guards against jobs that are declared impossible (422) before all workers are known.

The view of the shards' owners and the instance list lag behind while instances start.
"""

from __future__ import annotations

import anyio
import pytest
from msgspec.structs import replace

from lacewinghold.schema.generated.jobs import JobKind, Resources
from lacewinghold.schema.generated.worker import InstanceList, WorkerState
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.chaos import TEAM
from lacewinghold.testing.clock import run_paused
from tests.test_shards.test_whole_path import SHARDS, make_spec

WORKERS = 24
LARGE = Resources(cores=32, memory_mb=1024)


def set_workers(instance, records):
    """Replaces the instance list that an instance has read; no other follows."""
    instance.manager.apply_list = lambda listed: None
    listed = None if records is None else InstanceList(workers=records)
    instance.manager.instance_list = listed


def forget_owners(instance, kept):
    """Lets the view of an instance lack the owners of all but some shards."""
    keys = [key for key in instance.view.items if key.startswith(instance.keys.owners)]
    for key in sorted(keys)[kept:]:
        del instance.view.items[key]


def add_large_worker(instance):
    """Lists a large worker in a shard without a known owner."""
    forget_owners(instance, 2)
    records = instance.manager.instance_list.workers
    set_workers(instance, [*records[:-1], replace(records[-1], capacity=LARGE)])


def lose_workers(instance):
    """Lists all workers but one as gone."""
    first, *others = instance.manager.instance_list.workers
    gone = [replace(found, state=WorkerState.GONE) for found in others]
    set_workers(instance, [first, *gone])


def forget_list(instance):
    """Lets the instance list be read only a little later."""
    instance.manager.instance_list = None


def all_at_once(tasks):
    whole_worker = Resources(cores=16, memory_mb=1024)
    return make_spec(kind=JobKind.ALL_AT_ONCE, tasks=tasks, resources=whole_worker)


@pytest.mark.parametrize(
    ("spec", "prepare", "expected"),
    [
        (all_at_once(WORKERS), lambda instance: None, None),
        (all_at_once(4), forget_list, None),
        (all_at_once(WORKERS), lambda found: forget_owners(found, 1), "not_run"),
        (all_at_once(2), lambda found: set_workers(found, None), "not_run"),
        (all_at_once(2), lambda found: set_workers(found, []), "not_run"),
        (make_spec(resources=LARGE), add_large_worker, "not_run"),
        (make_spec(resources=LARGE), forget_list, "cannot_fit"),
        (all_at_once(WORKERS + 1), lambda instance: None, "cannot_fit"),
        (all_at_once(2), lose_workers, "cannot_fit"),
    ],
)
def test_job_is_impossible_only_if_no_listed_workers_can_hold_it(
    spec, prepare, expected
):
    results = []

    async def run():
        async with anyio.create_task_group() as tasks:
            cell = Cell(TERRASVUUR, tasks, 1)
            await cell.start()
            await cell.wait_ready(SHARDS)
            await anyio.sleep(1.0)
            instance = cell.any_instance()
            prepare(instance)
            results.append(await instance.jobs.submit(TEAM, spec, ""))
            tasks.cancel_scope.cancel()

    run_paused(run, seed=1)
    assert (results[0].err_value.kind if results[0].is_err() else None) == expected
