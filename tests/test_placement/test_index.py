"""The capacity index finds the same workers as a scan over all workers."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewinghold.ids import TaskId
from lacewinghold.placement.capacity import fits
from lacewinghold.placement.index import CapacityIndex, level_of
from lacewinghold.schema.generated.jobs import Resources
from tests.test_placement.builders import make_worker

SIZES = st.builds(
    Resources,
    cores=st.sampled_from([0.0, 0.1, 0.3, 1.0, 1.3, 4.0, 15.9, 16.0]),
    memory_mb=st.integers(0, 33_000),
    accelerators=st.integers(0, 2),
)


class IndexMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.index = CapacityIndex()
        self.workers = []
        self.tasks = 0

    @rule(accelerators=st.integers(0, 2))
    def add(self, accelerators):
        capacity = Resources(cores=16, memory_mb=32_768, accelerators=accelerators)
        self.tasks += 1
        worker = make_worker(f"w{self.tasks}", capacity=capacity)
        self.index.add(worker)
        self.workers.append(worker)

    @rule(data=st.data())
    def remove(self, data):
        if self.workers:
            worker = data.draw(st.sampled_from(self.workers))
            self.workers.remove(worker)
            self.index.remove(worker)

    @rule(data=st.data(), need=SIZES)
    def book(self, data, need):
        fitting = [worker for worker in self.workers if fits(need, worker.free)]
        if fitting:
            self.tasks += 1
            worker = data.draw(st.sampled_from(fitting))
            worker.book(TaskId(f"t{self.tasks}"), need)

    @rule(data=st.data())
    def release(self, data):
        booked = [worker for worker in self.workers if worker.bookings]
        if booked:
            worker = data.draw(st.sampled_from(booked))
            worker.release(data.draw(st.sampled_from(sorted(worker.bookings))))

    @rule(data=st.data())
    def toggle(self, data):
        if self.workers:
            worker = data.draw(st.sampled_from(self.workers))
            worker.usable = not worker.usable

    @rule(need=SIZES)
    def query(self, need):
        expected = {
            worker.record.worker
            for worker in self.workers
            if worker.usable and fits(need, worker.free)
        }
        mask = self.index.candidates(need)
        for order in (
            self.index.tightest_first,
            self.index.loosest_first,
            self.index.iter_fitting,
        ):
            found = [worker.record.worker for worker in order(mask, need)]
            assert sorted(found) == sorted(expected)

    @invariant()
    def counts_agree(self):
        assert len(self.index.positions) == len(self.workers)


IndexMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestIndex = IndexMachine.TestCase


def test_levels_never_fall_as_the_amount_rises():
    levels = [level_of(units / 7) for units in range(20_000)]
    assert levels == sorted(levels)
