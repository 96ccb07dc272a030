"""The ledger under lost replies, outages, newer owners, and long histories."""

from __future__ import annotations

import random

import anyio
import pytest
from result import Err, Ok

from lacewinghold.coordination import ledger_state
from lacewinghold.coordination.compaction import MIN_COMPACTION_BATCHES
from lacewinghold.coordination.keys import Keys
from lacewinghold.coordination.ledger import Ledger
from lacewinghold.errors import ErrorKind
from lacewinghold.ids import Epoch, InstanceId, JobId, ShardId, TeamId, make_task_id
from lacewinghold.schema.generated.jobs import JobKind, JobSpec, Resources, TaskState
from lacewinghold.schema.generated.records import EntryKind, JobRecord, LogEntry
from lacewinghold.store.base import CallKind, Put, Transaction
from lacewinghold.testing.clock import run_paused
from lacewinghold.testing.store import MemoryStore, Outage, StoreFault, StoreState

KEYS = Keys("/cell")
SHARD = ShardId("rack.0")
HOUR_S = 3600.0


class Bench:
    """A store and ledgers of one shard, each under an epoch of its own."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.state = StoreState()

    async def ledger(self, writer="first", run=True):
        put = Put(KEYS.owner(SHARD), b"{}")
        epoch = Epoch(self.state.apply(Transaction([], [put])).revision)
        store = MemoryStore(self.state)
        instance = InstanceId(writer)
        ledger = Ledger(store, KEYS, SHARD, epoch, instance, random.Random(1))
        assert await ledger.load() == Ok(None)
        if run:
            self.tasks.start_soon(ledger.run)
        return ledger

    def batches(self):
        return [key for key in self.state.keys if key.startswith(KEYS.log(SHARD))]


def run_scenario(scenario, seed=1):
    async def run():
        async with anyio.create_task_group() as tasks:
            await scenario(Bench(tasks))
            tasks.cancel_scope.cancel()

    run_paused(run, seed=seed)


def accepted(name, at=0.0, tasks=1, digest="", text=""):
    spec = JobSpec(
        kind=JobKind.BATCH,
        team=TeamId("team"),
        resources=Resources(),
        tasks=tasks,
        arguments={str(i): text[i : i + 4_000] for i in range(0, len(text), 4_000)},
    )
    record = JobRecord(
        job=JobId(f"{SHARD}~{name}"),
        spec=spec,
        accepted_at=at,
        idempotency_digest=digest,
    )
    return LogEntry(kind=EntryKind.JOB_ACCEPTED, at=at, job=record)


def ended(name, index=0, at=0.0):
    task_id = make_task_id(JobId(f"{SHARD}~{name}"), index)
    state = TaskState.SUCCEEDED
    return LogEntry(kind=EntryKind.TASK_ENDED, at=at, task_id=task_id, state=state)


@pytest.mark.parametrize("fault", list(StoreFault))
def test_write_with_a_fault_lands_once_or_is_refused(fault):
    async def scenario(bench):
        ledger = await bench.ledger()
        ledger.store.faults.append(fault)
        entry = accepted("a")
        result = await ledger.append([entry], "digest", entry.job.job)
        if fault is StoreFault.UNAVAILABLE:
            assert result.err_value.kind is ErrorKind.STORE_UNAVAILABLE
            assert bench.batches() == []
            return
        assert result == Ok(entry.job.job)
        await anyio.sleep(10.0)
        await ledger.append([accepted("b")])
        again = await bench.ledger("second")
        assert list(again.state.jobs) == list(ledger.state.jobs)
        assert len(again.state.jobs) == 2

    run_scenario(scenario)


def test_repeat_gets_the_job_of_its_first_submission():
    async def scenario(bench):
        ledger = await bench.ledger()
        first, second = accepted("a"), accepted("b")
        await ledger.append([first], "digest", first.job.job)
        again = await ledger.append([second], "digest", second.job.job)
        assert again == Ok(first.job.job)
        assert len(ledger.state.jobs) == 1

    run_scenario(scenario)


def test_concurrent_repeats_create_one_job():
    async def scenario(bench):
        ledger = await bench.ledger()
        results = []

        async def submit(entry):
            job = entry.job.job
            results.append(await ledger.append([entry], "digest", job))

        for n in range(5):
            bench.tasks.start_soon(submit, accepted(f"{n}"))
        await anyio.sleep(1.0)
        assert len(results) == 5
        assert len({result.ok_value for result in results}) == 1
        assert len(ledger.state.jobs) == 1

    run_scenario(scenario)


def test_superseded_owner_is_refused_with_not_owner():
    async def scenario(bench):
        old = await bench.ledger()
        new = await bench.ledger("second")
        result = await old.append([accepted("a")])
        assert result.err_value.kind is ErrorKind.NOT_OWNER
        assert (await new.append([accepted("b")])).is_ok()
        assert [job.rpartition("~")[2] for job in new.state.jobs] == ["b"]

    run_scenario(scenario)


def test_lost_reply_before_a_takeover_is_not_reported_as_a_refusal():
    async def scenario(bench):
        old = await bench.ledger()
        old.store.faults.append(StoreFault.REPLY_LOST)
        results = []

        async def submit():
            results.append(await old.append([accepted("a")]))

        bench.tasks.start_soon(submit)
        await anyio.sleep(0.0015)
        new = await bench.ledger("second")
        assert len(new.state.jobs) == 1
        for n in range(MIN_COMPACTION_BATCHES):
            await new.append([accepted(f"b{n}", text="x" * 100)])
        await anyio.sleep(5.0)
        assert results[0].is_ok() or (
            results[0].err_value.kind is ErrorKind.OUTCOME_UNKNOWN
        )

    run_scenario(scenario)


@pytest.mark.parametrize("outage", [Outage.DOWN, Outage.ERRORS])
def test_store_outage_of_an_hour(outage):
    async def scenario(bench):
        ledger = await bench.ledger()
        await ledger.append([accepted("before")])
        bench.state.outage = outage
        kinds = []
        for n in range(60):
            result = await ledger.append([accepted(f"during{n}")], timeout_s=4.0)
            kinds.append(result.err_value.kind)
            await anyio.sleep(HOUR_S / 60)
        bench.state.outage = Outage.NONE
        await anyio.sleep(5.0)
        assert (await ledger.append([accepted("after")])).is_ok()
        unknown = kinds.count(ErrorKind.OUTCOME_UNKNOWN)
        assert unknown == (1 if outage is Outage.ERRORS else 0)
        refused = {ErrorKind.NOT_RUN, ErrorKind.STORE_UNAVAILABLE}
        assert set(kinds) <= refused | {ErrorKind.OUTCOME_UNKNOWN}
        names = {job.rpartition("~")[2] for job in ledger.state.jobs}
        assert names - {"during0"} == {"before", "after"}

    run_scenario(scenario)


def test_cancelled_caller_withdraws_entries_that_are_not_being_written():
    async def scenario(bench):
        ledger = await bench.ledger(run=False)
        with anyio.move_on_after(1.0):
            await ledger.append([accepted("a")])
        bench.tasks.start_soon(ledger.run)
        assert (await ledger.append([accepted("b")])).is_ok()
        assert [job.rpartition("~")[2] for job in ledger.state.jobs] == ["b"]

    run_scenario(scenario)


def test_stopped_owner_fails_waiting_appends():
    async def scenario(bench):
        ledger = await bench.ledger(run=False)
        bench.state.outage = Outage.ERRORS
        results = {}

        async def submit(name):
            results[name] = await ledger.append([accepted(name)])

        with anyio.move_on_after(2.0):
            async with anyio.create_task_group() as tasks:
                bench.tasks.start_soon(submit, "written")
                tasks.start_soon(ledger.run)
                await anyio.sleep(1.0)
                bench.tasks.start_soon(submit, "waiting")
        await anyio.sleep(0.1)
        assert results["waiting"].err_value.kind is ErrorKind.NOT_OWNER
        assert results["written"].err_value.kind is ErrorKind.OUTCOME_UNKNOWN

    run_scenario(scenario)


def test_large_batches_stay_below_the_limit():
    async def scenario(bench):
        ledger = await bench.ledger()
        results = []

        async def submit(n):
            results.append(await ledger.append([accepted(f"{n}", text="x" * 50_000)]))

        for n in range(60):
            bench.tasks.start_soon(submit, n)
        await anyio.sleep(2.0)
        assert all(result.is_ok() for result in results)
        entries = [accepted(f"huge{n}", text="x" * 200_000) for n in range(10)]
        huge = await ledger.append(entries)
        assert huge.err_value.kind is ErrorKind.TOO_LARGE
        again = await bench.ledger("second")
        assert len(again.state.jobs) == 60

    run_scenario(scenario)


def test_snapshot_above_the_limit_is_split_and_read_back():
    async def scenario(bench):
        ledger = await bench.ledger()
        for n in range(MIN_COMPACTION_BATCHES + 1):
            entries = [accepted(f"{n}", tasks=500, text="x" * 2_000)]
            await ledger.append(entries + [ended(f"{n}", i, 5.0) for i in range(500)])
        await anyio.sleep(1.0)
        assert ledger.compactor.part_keys
        assert len(bench.batches()) < MIN_COMPACTION_BATCHES
        again = await bench.ledger("second")
        assert again.state == ledger.state
        assert again.next_number == ledger.next_number

    run_scenario(scenario)


def test_many_logs_are_removed_in_bounded_writes():
    async def scenario(bench):
        ledger = await bench.ledger()
        ledger.compactor.snapshot_bytes = 60_000
        for n in range(400):
            await ledger.append([accepted(f"{n}")])
        await anyio.sleep(1.0)
        assert ledger.compactor.snapshot_through > 200
        assert len(bench.batches()) == 400 - ledger.compactor.snapshot_through
        again = await bench.ledger("second")
        assert again.state == ledger.state

    run_scenario(scenario)


def test_failed_compaction_loses_nothing():
    async def scenario(bench):
        ledger = await bench.ledger()
        for n in range(3 * MIN_COMPACTION_BATCHES):
            if n % 7 == 0:
                fault = list(StoreFault)[n // 7 % 3]
                if fault is not StoreFault.UNAVAILABLE:
                    ledger.store.faults += [fault, fault]
            await ledger.append([accepted(f"{n}")])
        await anyio.sleep(10.0)
        again = await bench.ledger("second")
        assert again.state == ledger.state

    run_scenario(scenario)


def test_finished_jobs_and_their_keys_are_kept_for_a_bounded_time(monkeypatch):
    monkeypatch.setattr(ledger_state, "MAX_FINISHED_JOBS", 20)

    async def scenario(bench):
        ledger = await bench.ledger()
        dropped = []
        ledger.on_pruned = dropped.append
        for n in range(100):
            entry = accepted(f"{n}", at=float(n), digest=f"d{n}")
            await ledger.append([entry], f"d{n}", entry.job.job)
            await ledger.append([ended(f"{n}", at=float(n))])
        await ledger.append([accepted("open", at=100.0)])
        late = 100.0 + ledger_state.FINISHED_JOB_RETENTION_S
        for n in range(2 * MIN_COMPACTION_BATCHES):
            await ledger.append([accepted(f"late{n}", at=late)])
        await anyio.sleep(1.0)
        names = {job.rpartition("~")[2] for job in ledger.state.jobs}
        assert "open" in names
        assert not any(name.isdigit() for name in names)
        assert len(dropped) == 100
        assert not [key for key in bench.state.keys if "/idempotency/" in key]

    run_scenario(scenario)


def test_group_commit_batches_concurrent_appends():
    async def scenario(bench):
        ledger = await bench.ledger()
        async with anyio.create_task_group() as tasks:
            for n in range(500):
                tasks.start_soon(ledger.append, [accepted(f"{n}")])
        assert ledger.store.calls[CallKind.WRITE] <= 8
        assert len(ledger.state.jobs) == 500

    run_scenario(scenario)


def test_closed_ledger_refuses():
    async def scenario(bench):
        old = await bench.ledger()
        await bench.ledger("second")
        await old.append([accepted("a")])
        assert isinstance(await old.append([accepted("b")]), Err)

    run_scenario(scenario)
