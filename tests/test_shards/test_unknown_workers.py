"""Submissions while an instance does not know all workers or their shards' owners.

Guards against jobs that are declared impossible (422) because the view of the shards'
owners, or the platform's instance list, lags behind.
"""

from __future__ import annotations

import anyio
import msgspec
import pytest
from result import Err, Ok

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.jobs import JobKind, Resources
from lacewinghold.schema.generated.worker import InstanceList, WorkerState
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.chaos import TEAM
from lacewinghold.testing.clock import run_paused
from lacewinghold.workers.base import InstanceListSource
from tests.test_shards.test_whole_path import SHARDS, make_spec

WHOLE_WORKER = Resources(cores=16, memory_mb=1024)
WORKERS = 24


def submit(spec, prepare):
    """Submits a job at one instance after ``prepare`` has changed what it knows.

    :returns: The kind of the failure, ``None`` for an accepted job.
    """
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
    return None if results[0].is_ok() else results[0].err_value.kind


def forget_owners(instance, kept):
    """Lets the view of an instance lack the owners of all but some shards."""
    keys = [key for key in instance.view.items if key.startswith(instance.keys.owners)]
    for key in sorted(keys)[kept:]:
        del instance.view.items[key]


class FixedList(InstanceListSource):
    """An instance list that does not answer, or names some workers.

    :param workers: ``None`` if it does not answer.
    """

    def __init__(self, workers):
        self.workers = workers

    async def fetch(self):
        if self.workers is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "no answer"))
        return Ok(InstanceList(workers=self.workers))


def set_workers(instance, records):
    """Replaces the instance list that an instance has read and reads."""
    instance.manager.source = FixedList(records)
    listed = None if records is None else InstanceList(workers=records)
    instance.manager.instance_list = listed


def all_at_once(tasks):
    return make_spec(kind=JobKind.ALL_AT_ONCE, tasks=tasks, resources=WHOLE_WORKER)


def test_job_that_fits_workers_of_shards_without_a_known_owner_is_not_impossible():
    spec = all_at_once(WORKERS)
    found = submit(spec, lambda instance: forget_owners(instance, 1))
    assert found is ErrorKind.NOT_RUN
    assert submit(spec, lambda instance: None) is None


@pytest.mark.parametrize("listed", [None, []])
def test_job_is_not_impossible_before_the_workers_are_listed(listed):
    spec = all_at_once(2)
    found = submit(spec, lambda instance: set_workers(instance, listed))
    assert found is ErrorKind.NOT_RUN


def test_job_waits_for_an_instance_list_that_is_read_a_little_later():
    """Guards the examples, which submit as soon as all shards have owners."""

    def prepare(instance):
        instance.manager.instance_list = None

    assert submit(all_at_once(4), prepare) is None


def test_large_task_is_not_impossible_while_the_owner_of_its_shard_is_unknown():
    """The shards with owners have answered that none of their workers is large."""
    spec = make_spec(resources=Resources(cores=32, memory_mb=1024))

    def prepare(instance):
        forget_owners(instance, 2)
        records = instance.manager.instance_list.workers
        large = Resources(cores=64, memory_mb=65536)
        records = [*records[:-1], msgspec.structs.replace(records[-1], capacity=large)]
        set_workers(instance, records)

    assert submit(spec, prepare) is ErrorKind.NOT_RUN


def leave(instance):
    """Marks all listed workers but one as gone."""
    first, *others = instance.manager.instance_list.workers
    gone = [msgspec.structs.replace(found, state=WorkerState.GONE) for found in others]
    set_workers(instance, [first, *gone])


def test_job_larger_than_all_listed_workers_stays_impossible():
    """Guards against callers that repeat a job which can never run."""
    large = Resources(cores=17, memory_mb=1024)
    for spec, prepare in (
        (all_at_once(WORKERS + 1), lambda instance: None),
        (all_at_once(2), leave),
        (make_spec(resources=large), lambda instance: forget_owners(instance, 2)),
    ):
        assert submit(spec, prepare) is ErrorKind.CANNOT_FIT
