"""Ranking, policies and holds of the placement engine."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewinghold.placement.capacity import add, fits
from lacewinghold.schema.generated.document import PlacementSection
from lacewinghold.schema.generated.jobs import JobKind, Priority, Resources
from tests.test_placement.builders import (
    CAPACITY,
    make_engine,
    make_work,
    make_worker,
    names,
    run_round,
)


def test_least_slack_starts_first_with_learned_run_times():
    engine = make_engine([make_worker()])
    for _ in range(20):
        engine.run_times.observe("slow", JobKind.BATCH, 10.0, 80.0)
    for name, team, deadline in (
        ("loose", "team", 500.0),
        ("slow", "slow", 815.0),
        ("tight", "team", 120.0),
    ):
        engine.add(make_work(name, team=team, run_s=100.0, deadline=deadline), 0.0)
    assert names(run_round(engine)) == ["slow", "tight", "loose"]


def test_work_that_cannot_meet_its_deadline_is_ranked_behind_work_that_can():
    engine = make_engine([make_worker()])
    engine.add(make_work("lost", cores=16.0, run_s=600.0, deadline=50.0), 0.0)
    engine.add(make_work("saved", cores=16.0, run_s=10.0, deadline=300.0), 0.0)
    assert names(run_round(engine, 1.0)) == ["saved"]


def test_old_work_of_low_priority_goes_before_new_work_of_high_priority():
    engine = make_engine([make_worker()])
    engine.add(make_work("old", priority=Priority.LOW), 0.0)
    engine.add(make_work("new", priority=Priority.HIGH, queued_at=30_000.0), 30_000.0)
    assert names(run_round(engine, 30_000.0)) == ["old", "new"]


def test_delayed_work_waits_for_its_time():
    engine = make_engine([make_worker()])
    engine.add(make_work("later", not_before=10.0), 0.0)
    assert not run_round(engine, 9.0)
    assert engine.queue.next_due() == 10.0
    assert names(run_round(engine, 10.0)) == ["later"]


def test_service_is_spread_over_racks_then_workers():
    workers = [make_worker(f"w{n}", f"r{n % 3}") for n in range(6)]
    engine = make_engine(workers)
    for index in range(12):
        work = make_work(f"s/{index}", job="s", kind=JobKind.SERVICE)
        engine.add(work, 0.0)
    used = [placement.workers[0].record for placement in run_round(engine)]
    assert len({record.rack for record in used[:3]}) == 3
    assert len({record.worker for record in used[:6]}) == 6
    assert set(Counter(record.worker for record in used).values()) == {2}


def test_work_without_accelerators_prefers_workers_without_them():
    plain = make_worker("plain")
    capacity = Resources(cores=16, memory_mb=32_768, accelerators=4)
    accelerated = make_worker("accelerated", capacity=capacity)
    engine = make_engine([accelerated, plain])
    for index in range(16):
        engine.add(make_work(f"c{index}"), 0.0)
    used = {p.workers[0].record.worker for p in run_round(engine)}
    assert used == {"plain"}


def test_large_work_starts_in_spite_of_a_flood_of_small_work():
    engine = make_engine([make_worker("w0"), make_worker("w1")])
    running = {}
    started_at = None
    for second in range(6000):
        now = float(second)
        for ends_at, placement in [e for e in running.values() if e[0] <= now]:
            del running[placement.work.id]
            for task, worker in zip(
                placement.work.tasks, placement.workers, strict=True
            ):
                engine.release(placement.work.job, task, worker)
            assert ends_at <= now
        for number in range(2):
            work = make_work(f"f{second}-{number}", queued_at=now, run_s=20.0)
            engine.add(work, now)
        if second == 10:
            engine.add(make_work("large", cores=16.0, queued_at=now), now)
            engine.add(make_work("gang", cores=8.0, tasks=4, queued_at=now), now)
        for placement in run_round(engine, now):
            running[placement.work.id] = (now + 20.0, placement)
            if placement.work.id in ("large", "gang"):
                started_at = {**(started_at or {}), placement.work.id: now}
    assert set(started_at) == {"large", "gang"}
    assert max(started_at.values()) < 10.0 + 3 * 1800.0


def test_changed_weights_of_the_document_reorder_waiting_work():
    engine = make_engine([make_worker()], weights=PlacementSection(waiting_weight=1.0))
    engine.add(make_work("large", cores=8.0, run_s=900.0), 0.0)
    engine.add(make_work("short", cores=0.5, run_s=10.0), 0.0)
    assert engine.queue.peek_best(0.0)[1].id == "short"
    engine.set_weights(PlacementSection(waiting_weight=0.0, packing_weight=1.0))
    assert names(run_round(engine)) == ["large", "short"]


class EngineMachine(RuleBasedStateMachine):
    """Random work: no worker exceeds its capacity, and no gang starts partly."""

    def __init__(self):
        super().__init__()
        self.workers = [make_worker(f"w{n}", f"r{n % 2}") for n in range(4)]
        self.engine = make_engine(self.workers)
        self.now = 0.0
        self.number = 0
        self.waiting = {}
        self.running = {}

    @rule(
        cores=st.sampled_from([0.5, 1.0, 3.0, 8.0, 16.0]),
        tasks=st.integers(1, 9),
        deadline=st.sampled_from([None, 30.0, 3000.0]),
        delay=st.sampled_from([0.0, 5.0]),
        kind=st.sampled_from(list(JobKind)),
    )
    def submit(self, cores, tasks, deadline, delay, kind):
        self.number += 1
        tasks = tasks if kind is JobKind.ALL_AT_ONCE else 1
        if deadline is not None:
            deadline += self.now
        work = make_work(
            f"j{self.number}",
            cores=cores,
            tasks=tasks,
            kind=kind,
            deadline=deadline,
            queued_at=self.now,
            not_before=self.now + delay,
        )
        self.waiting[work.id] = work
        self.engine.add(work, self.now)

    @rule(seconds=st.sampled_from([0.1, 10.0, 2000.0]))
    def advance(self, seconds):
        self.now += seconds
        for placement in run_round(self.engine, self.now):
            work = self.waiting.pop(placement.work.id)
            assert len(placement.workers) == len(work.tasks)
            assert self.now >= work.not_before
            self.running[work.id] = placement
        hold = self.engine.hold
        for work in self.waiting.values():
            if work.kind is JobKind.ALL_AT_ONCE or work.not_before > self.now:
                continue
            room = [
                worker
                for worker in self.workers
                if worker.usable and fits(work.need, worker.free)
            ]
            mask = sum(self.engine.index.mask_of(w.record.worker) for w in room)
            assert not mask & ~hold.held_workers

    @rule(data=st.data())
    def end(self, data):
        if self.running:
            ident = data.draw(st.sampled_from(sorted(self.running)))
            placement = self.running.pop(ident)
            for task, worker in zip(
                placement.work.tasks, placement.workers, strict=True
            ):
                self.engine.release(placement.work.job, task, worker)

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            ident = data.draw(st.sampled_from(sorted(self.waiting)))
            del self.waiting[ident]
            assert self.engine.remove(ident) is not None

    @rule(data=st.data())
    def toggle(self, data):
        worker = data.draw(st.sampled_from(self.workers))
        worker.usable = not worker.usable

    @invariant()
    def within_capacity(self):
        assert set(self.engine.queue.waiting) == set(self.waiting)
        for worker in self.workers:
            booked = Resources()
            for need in worker.bookings.values():
                booked = add(booked, need)
            assert fits(booked, CAPACITY)


EngineMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestEngine = EngineMachine.TestCase
