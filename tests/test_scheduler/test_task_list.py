"""Tasks and occurrences of a job that exist only while something is known of them."""

from __future__ import annotations

import pytest

from lacewinghold.scheduler.model import (
    MAX_WAITING_STEPS,
    TaskState,
    make_job,
)
from lacewinghold.scheduler.ports import stored_queue
from tests.test_scheduler.support import step
from tests.test_scheduler.test_state_account import make_record


def make(tasks=1, occurrences=0, interval_ms=1000):
    record = make_record()
    record.steps = [step(tasks)]
    record.occurrences, record.interval_ms = occurrences, interval_ms
    return make_job(record, stored_queue(record), 0.0, 0.0)


def end(task):
    task.state = TaskState.DONE
    task.step.remaining -= 1
    task.step.tasks.retire(task)


def test_a_task_has_an_object_only_while_it_differs_from_others():
    (found,) = make(9000).steps
    first, second = found.waiting_tasks(2)
    second.state = TaskState.PLACED
    end(first)
    assert found.waiting_count() == 8998
    assert set(found.tasks.known) == {1}
    assert found.tasks[0].state is TaskState.DONE
    assert [task.index for task in found.waiting_tasks(2)] == [2, 3]


def test_an_index_beyond_the_tasks_names_none():
    (found,) = make(3).steps
    with pytest.raises(IndexError):
        found.tasks[3]


def test_an_occurrence_is_built_when_it_is_due_and_dropped_once_done():
    job = make(occurrences=9000)
    assert len(job.steps) == 1
    assert len(job.build_due(2.5)) == 2
    assert job.next_due_at() == 3.0
    (third,) = job.built[2]
    end(third.tasks[0])
    assert job.drop_occurrence(third) == [third]
    assert job.build_occurrence(2) == []
    assert job.find_step(2, 0).done()
    assert job.find_step(2, 0).tasks[0].state is TaskState.DONE
    assert job.find_step(2, 1) is None


def test_of_many_due_occurrences_a_part_is_built_at_a_time():
    job = make(occurrences=9000, interval_ms=0)
    assert len(job.steps) == MAX_WAITING_STEPS
    job.steps[0].tasks[0].state = TaskState.PLACED
    assert len(job.build_due(0.0)) == 1
    assert len(job.unbuilt_steps(0.0)) == 9000 - MAX_WAITING_STEPS - 1


def test_an_occurrence_that_a_report_names_is_built_once():
    job = make(occurrences=10)
    (named,) = job.build_occurrence(4)
    assert job.find_step(4, 0) is named
    assert [found.occurrence for found in job.build_due(100.0)] == [
        *range(1, 4),
        *range(5, 10),
    ]
