"""The owner's jobs: loaded from the store, opened step by step and ended."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import OrganisationId
from lacewinghold.organisations.authentication import bound_organisation
from lacewinghold.scheduler.job_store import JobKey
from lacewinghold.scheduler.model import (
    Job,
    JobState,
    Step,
    Task,
    TaskState,
    is_ready,
    make_job,
)
from lacewinghold.scheduler.ports import Resources, stored_queue
from lacewinghold.scheduler.remaining_usage import remaining_usage
from lacewinghold.scheduler.state_account import group_of
from lacewinghold.scheduler.turn_budget import RECORD_WORK, TurnBudget
from lacewinghold.scheduler.verdicts import (
    CANCELLATION,
    COMPLETION,
    Verdict,
    judge_attempts,
)
from lacewinghold.schema.generated.cell import JobOutcome

if TYPE_CHECKING:
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import Queue
    from lacewinghold.schema.generated.cell import (
        CellJob,
        TaskEndEntry,
    )
    from lacewinghold.store.base import KeyValue

logger = structlog.get_logger(__name__)
MAX_ORDER_DELAY_S = 10.0  # An unanswered start may still be carried out until then.


class JobTable:
    """The jobs in the store, and the steps that may run now.

    :param owner: The cell's owner that runs the jobs.
    """

    def __init__(self, owner: CellOwner) -> None:
        self.owner = owner
        self.jobs: dict[str, Job] = {}
        self.steps: dict[str, Step] = {}
        self.open_steps: dict[str, Step] = {}
        self.jobs_due_later: dict[str, Job] = {}
        self.next_due = math.inf
        self.unread_records: dict[str, KeyValue] = {}
        self.unread_cancellations: set[str] = set()

    def apply_job_key(self, item: KeyValue) -> None:
        """Applies a job's key that was read from the store."""
        parsed = self.owner.job_store.parse_key(item.key)
        if parsed is None:
            return
        job_id, kind = parsed
        if kind is JobKey.OUTCOME:
            self.apply_old_outcome(job_id, item)
        elif not self.owner.loaded:
            self.defer_job_key(job_id, kind, item)
        elif kind is JobKey.ACCEPTED:
            ended = self.owner.ended.jobs.get(job_id)
            if ended is not None and not ended.legacy:
                # Instances of the previous version may store an ended job again.
                self.owner.log.remove_with_next_write([item.key])
            record = self.read_record(job_id, item)
            if record is not None:
                self.accept(record, item.mod_revision)
        elif job_id in self.jobs:
            self.cancel(self.jobs[job_id])
        else:
            logger.error(Event.KEY_OF_AN_UNKNOWN_JOB, key=item.key)

    def apply_old_outcome(self, job_id: str, item: KeyValue) -> None:
        """Applies an outcome that an earlier version has stored beside the record."""
        outcome = self.owner.job_store.read_outcome(item)
        if outcome is not None:
            state = JobState(outcome.state)
            self.owner.ended.record(job_id, state, outcome.at, legacy=True)

    def defer_job_key(self, job_id: str, kind: JobKey, item: KeyValue) -> None:
        """Defers a key until all keys are loaded.

        Ended jobs are known by then, and only the records of open jobs are decoded.
        """
        if kind is JobKey.ACCEPTED:
            self.unread_records[job_id] = item
        else:
            self.unread_cancellations.add(job_id)

    def read_record(self, job_id: str, item: KeyValue) -> CellJob | None:
        """Returns the decoded record of an accepted job, ``None`` if it is damaged."""
        try:
            return self.owner.job_store.decode_record(item.value, job_id)
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, key=item.key, detail=str(error))
            return None

    async def build(self, ends: list[TaskEndEntry]) -> None:
        """Builds the open jobs in the state in which earlier owners left them.

        Yields to the event loop regularly: without renewals the ownership would lapse.

        :param ends: Ends of tasks that earlier owners have stored, oldest first.
        """
        turn = TurnBudget()
        for job_id, item in self.unread_records.items():
            record = (
                None
                if self.owner.ended.has_ended(job_id)
                else self.read_record(job_id, item)
            )
            if record is None:
                continue
            self.accept(record)
            await turn.spend(RECORD_WORK + len(record.steps))
        self.unread_records = {}
        for entry in ends:
            self.replay(entry)
            await turn.spend(1)
        for evidence in self.owner.log.earlier_evidence:
            self.owner.crashes.replay(evidence)
            await turn.spend(1)
        for job in list(self.jobs.values()):
            if job.id in self.unread_cancellations:
                self.end_cancelled(job)
            self.end_if_exhausted(job)
            self.refresh_job(job)
            await turn.spend(len(job.steps))
        self.unread_cancellations = set()
        for task in list(self.owner.suspects.tasks.values()):
            self.owner.crashes.give_up_if_proved(task)

    def apply_record_removal(self, key: str) -> None:
        """Applies the removal of a job's record, and drops the job if it is open.

        The write that stores a job's outcome removes its record as well.
        """
        parsed = self.owner.job_store.parse_key(key)
        if parsed is None or parsed[1] is not JobKey.ACCEPTED:
            return
        job = self.jobs.get(parsed[0])
        if job is None:
            return
        job.record_removed = True
        if not job.ended():
            self.drop_job(job)

    def drop_job(self, job: Job) -> None:
        """Removes a job with its steps and tasks."""
        del self.jobs[job.id]
        self.owner.state_account.remove_job(job.record)
        self.owner.state_account.add_steps(job.record, -len(job.steps))
        self.owner.end_waits.wake(job.id)
        for step in job.steps:
            self.steps.pop(step.name, None)
            self.open_steps.pop(step.name, None)
            self.owner.advice_book.forget(step)

    def accept(self, record: CellJob, revision: int = 0) -> None:
        """Adds an accepted job, unless it is known already.

        :param revision: Store revision of the record, 0 if a member's notice brought
            it.
        """
        known = self.jobs.get(record.job)
        if known is not None:
            self.owner.confirmations.confirm_by_record(known, record)
        if known is not None or self.owner.ended.has_ended(record.job):
            return
        queue = self.find_queue(record)
        age = max(0.0, self.owner.clock.now() - record.accepted_at)
        accepted_at = anyio.current_time() - age
        run_times_s = self.owner.durations.expected_path_s(record)
        offset_s = self.owner.clock.offset_s
        job = make_job(record, queue, accepted_at, offset_s, run_times_s)
        # An earlier owner has started a job that a worker listed before it was known.
        listed_before = record.job in self.owner.unknown_jobs.pending
        job.from_earlier_owner = not self.owner.loaded or listed_before
        # Nothing starts before a roster is stored under this owner's record, which
        # confirms all that was loaded.
        job.confirmed = not self.owner.loaded
        self.owner.confirmations.request(job)
        self.jobs[job.id] = job
        self.owner.state_account.add_job(record)
        if not job.from_earlier_owner:
            self.count_against_rate(job)
        self.register(job.steps)
        if self.owner.loaded:
            logger.info(
                Event.JOB_TAKEN,
                job=job.id,
                queue=queue.name,
                steps=len(record.steps) * job.occurrence_count(),
                revision=revision,
                excess=job.excess,
                epoch=self.owner.epoch,
            )
            if listed_before:
                self.owner.fleet.apply_withheld_reports()
            self.refresh_job(job)

    def register(self, steps: list[Step]) -> None:
        """Makes new steps of a job known by their names."""
        for step in steps:
            self.steps[step.name] = step
        if steps:
            self.owner.state_account.add_steps(steps[0].job.record, len(steps))

    def count_against_rate(self, job: Job) -> None:
        """Counts a new job against its organisation's rate; marks it if in excess."""
        manifest = self.owner.state.manifest
        organisations = (manifest and manifest.organisations) or {}
        organisation = organisations.get(OrganisationId(job.record.organisation))
        job.excess = self.owner.rates.record_job(
            organisation, job.queue.service, job.accepted_at
        )
        if job.excess:
            self.owner.metrics.excess_jobs.inc()

    def find_queue(self, record: CellJob) -> Queue:
        """Returns a job's queue from the manifest, or else as stored at acceptance.

        A path whose queue was removed may lie within the prefix of another queue.
        """
        manifest = self.owner.state.manifest
        found = None if manifest is None else manifest.find(record.host, record.path)
        if found is None or not found.is_job_path(record.path, record.job):
            return stored_queue(record)
        return found

    def update_queues(self) -> None:
        """Applies a new manifest to the jobs that have not ended."""
        for job in self.jobs.values():
            if not job.ended():
                job.queue = self.find_queue(job.record)
        self.owner.planning.wake()

    def refresh_job(self, job: Job) -> None:
        """Opens the steps that are ready, or completes the job if all are done."""
        if job.ended():
            return
        now = anyio.current_time()
        if job.is_scheduled():
            self.register(job.build_due(now))
        if all(step.done() for step in job.steps):
            self.end_job(job, COMPLETION)
            return
        if now < job.next_due_at() < math.inf:
            self.jobs_due_later[job.id] = job
            self.next_due = min(self.next_due, job.next_due_at())
        for step in job.steps:
            if step.done() or step.name in self.open_steps:
                continue
            if is_ready(step, now):
                self.open_steps[step.name] = step
            elif now < step.due_at and job.is_scheduled():
                self.jobs_due_later.setdefault(step.job.id, step.job)
                self.next_due = min(self.next_due, step.due_at)
        self.owner.planning.wake()

    def open_due_steps(self) -> None:
        """Opens the steps of occurrences that have become due."""
        if self.seconds_until_due() > 0:
            return
        self.next_due = math.inf
        for job in list(self.jobs_due_later.values()):
            del self.jobs_due_later[job.id]
            self.refresh_job(job)

    def seconds_until_due(self) -> float:
        """Returns the seconds until an occurrence is due, infinite if there is none."""
        return max(0.0, self.next_due - anyio.current_time())

    def end_job(self, job: Job, verdict: Verdict) -> None:
        """Ends a job; callers see the outcome once it is durable."""
        state, reason = verdict.state, verdict.reason
        job.state = state
        if state is JobState.FAILED:
            self.owner.metrics.jobs_given_up.labels(verdict.ground.value).inc()
        age_s = anyio.current_time() - job.accepted_at
        self.owner.metrics.job_seconds.labels(state.value).observe(age_s)
        outcome = JobOutcome(
            state=state.value,
            at=self.owner.clock.now(),
            reason=reason,
            organisation=self.bound_organisation(job),
        )
        running = remaining_usage(job, recovered=self.owner.recovered)
        if running != Resources():
            outcome.running_of = job.record.organisation
            outcome.running_cpu_millis = running.cpu_millis
            outcome.running_memory_mb = running.memory_mb
            outcome.running_accelerators = running.accelerators
        self.owner.log.append_outcome(job.id, outcome, lambda: self.mark_reported(job))
        logger.info(
            Event.JOB_ENDED,
            job=job.id,
            queue=job.queue.name,
            state=state.value,
            ground=verdict.ground.value,
            reason=reason,
            crashes=[crash.describe() for crash in verdict.crashes],
            age_s=round(age_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        self.close_job(job)

    def mark_reported(self, job: Job) -> None:
        """Makes a job's final state visible to callers."""
        job.reported_state = job.state
        self.owner.ended.record(
            job.id,
            job.state,
            self.owner.clock.now(),
            organisation=self.bound_organisation(job),
            group=group_of(job.record),
        )
        self.owner.end_waits.wake(job.id)

    def bound_organisation(self, job: Job) -> str:
        """Returns the organisation whose callers alone may name a job, or empty."""
        return bound_organisation(job.record, self.owner.state.manifest)

    def forget_ended(self, before: float) -> None:
        """Removes jobs that ended before a wall time and hold no resources."""
        self.drop_closed_jobs(self.owner.fleet.jobs_with_runs())
        gone = []
        for job_id, ended in self.owner.ended.jobs.items():
            if ended.at >= before or ended.removal_pending or job_id in self.jobs:
                continue
            ended.removal_pending = True
            gone.append(job_id)
            self.owner.log.remove(
                self.owner.job_store.ended_job_keys(job_id, ended.legacy)
            )
        if gone:
            self.owner.log.call_when_stored(lambda: self.drop_ended_jobs(gone))

    def drop_closed_jobs(self, busy: set[str]) -> None:
        """Removes the steps and tasks of ended jobs.

        The store may deliver a job's acceptance long after this owner has learned of
        the job. The job is kept until the store has also delivered the removal of its
        record; otherwise it would run again.

        :param busy: Jobs with runs that may still be active.
        """
        before = self.owner.clock.now() - MAX_ORDER_DELAY_S
        for job in list(self.jobs.values()):
            ended = self.owner.ended.jobs.get(job.id)
            if ended is None or ended.at >= before or not job.record_removed:
                continue
            if job.id not in busy:
                self.drop_job(job)

    def drop_ended_jobs(self, gone: list[str]) -> None:
        """Removes the outcomes of jobs whose retention period has passed."""
        for job_id in gone:
            self.owner.ended.forget(job_id)

    def close_job(self, job: Job) -> None:
        """Closes the steps of a job that has ended, and stops its remaining runs."""
        for step in job.steps:
            self.open_steps.pop(step.name, None)
            self.owner.advice_book.forget(step)
            for run in step.active_runs():
                if run.task.state is not TaskState.DONE:
                    self.owner.fleet.stop_run(run)

    def cancel(self, job: Job) -> None:
        """Cancels a job, unless it has ended."""
        if self.owner.loaded:
            self.end_cancelled(job)

    def end_cancelled(self, job: Job) -> None:
        """Ends a job whose cancellation is stored, unless it has ended."""
        if not job.ended():
            self.end_job(job, CANCELLATION)

    def complete(self, task: Task) -> None:
        """Marks a task as done.

        The tasks of an all-at-once step are marked together.
        """
        step = task.step
        done = step.tasks if step.spec.all_at_once else [task]
        for member in done:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                step.remaining -= 1
            step.tasks.retire(member)
        if step.done():
            self.open_steps.pop(step.name, None)
            self.owner.advice_book.forget(step)
            self.drop_occurrence(step)

    def drop_occurrence(self, step: Step) -> None:
        """Drops the steps of a step's occurrence if nothing of it is left to do."""
        dropped = step.job.drop_occurrence(step)
        for found in dropped:
            self.steps.pop(found.name, None)
        self.owner.state_account.add_steps(step.job.record, -len(dropped))

    def count_failure(self, task: Task, run: int) -> int:
        """Counts a failed attempt; repeated reports of the same run count once.

        :returns: The number of failed attempts.
        """
        if task.step.spec.all_at_once:
            task.step.failed_runs |= {run}
            return len(task.step.failed_runs)
        task.failed_runs.add(run)
        return len(task.failed_runs)

    def replay(self, entry: TaskEndEntry) -> None:
        """Applies the end of a task that an earlier owner has stored."""
        task = self.find_task(entry.task)
        if task is None or task.state is TaskState.DONE:
            return
        task.last_run_number = max(task.last_run_number, entry.run)
        if entry.done:
            self.complete(task)
        else:
            self.count_failure(task, entry.run)

    def end_if_exhausted(self, job: Job) -> None:
        """Ends a job whose attempts were used up under earlier owners."""
        for step in job.steps:
            verdict = judge_attempts(step, step.tasks.objects())
            if verdict is not None and not job.ended():
                self.end_job(job, verdict)

    def find_task(self, name: str) -> Task | None:
        """Returns a task by its name."""
        if self.owner.job_store.ids.job_of_task(name) is None:
            return None
        step_name, _, index = name.rpartition(".")
        step = self.steps.get(step_name) or self.find_step(step_name)
        if step is None or int(index) >= len(step.tasks):
            return None
        return step.tasks[int(index)]

    def find_step(self, name: str) -> Step | None:
        """Returns a step of a scheduled job that has not been built, or was dropped."""
        job_id, occurrence, number = name.rsplit(".", 2)
        job = self.jobs.get(job_id)
        if job is None or not job.is_scheduled():
            return None
        self.register(job.build_occurrence(int(occurrence)))
        return job.find_step(int(occurrence), int(number))

    def count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue wait for their first start."""
        count = 0
        for job in self.jobs.values():
            if job.queue.name != queue or job.started:
                continue
            if job.ended() or job.is_scheduled():
                continue
            count += 1
        return count
