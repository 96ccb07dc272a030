"""Requests of callers to any entry instance: submit, query, cancel and count jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import OrganisationId
from lacewinghold.organisations.authentication import (
    UNCHECKED,
    Caller,
    bound_organisation,
    check_access,
)
from lacewinghold.organisations.caps import exceeds_cap
from lacewinghold.organisations.excess import excess_failure
from lacewinghold.scheduler.job_checks import check_job
from lacewinghold.scheduler.job_store import StoredJob, is_outcome_unknown
from lacewinghold.scheduler.model import JobState

if TYPE_CHECKING:
    from lacewinghold.ids import JobId
    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.ports import Queue
    from lacewinghold.schema.generated.cell import CellJob

logger = structlog.get_logger(__name__)
ACCEPT_RETRY_DELAY_S = 0.1
MAX_RETRY_AFTER_S = 10.0  # A backlog forecast is seldom valid for longer.
MIN_RETRY_AFTER_S = 1.0  # A store outage or a takeover seldom takes less.
REPLY_MARGIN_S = 0.25  # Part of a caller's deadline reserved for sending the reply.
DEFAULT_DEADLINE_S = 3.0
FORWARD_ROUND_TRIP_S = 0.15  # Round trip to the owner in another region.
MAX_CANCEL_ATTEMPTS = 3
# Failures of the owner that the caller gets unchanged; others count as not accepted.
FINAL_SUBMISSION_ERRORS = (
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.NOT_RUN,
    ErrorKind.NOT_FOUND,
    ErrorKind.FORBIDDEN,
)


class JobFront:
    """Answers callers from the store, or from memory if this instance is the owner.

    :param instance: The entry instance.
    """

    def __init__(self, instance: CellInstance) -> None:
        self.instance = instance

    def find_queue(self, host: str, path: str) -> Result[Queue, Failure]:
        """Returns the queue of a host and path by the manifest in force."""
        manifest = self.instance.state.manifest
        if manifest is None:
            detail = "the operators' manifest is not loaded yet"
            return Err(
                Failure(ErrorKind.NOT_RUN, detail, retry_after_s=MIN_RETRY_AFTER_S)
            )
        queue = manifest.find(host, path)
        if queue is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no queue for {host}{path}"))
        return Ok(queue)

    def find_job(self, queue: Queue, path: str) -> Result[JobId, Failure]:
        """Returns the id of the job that a path of a queue names.

        A path of any other form, such as that of a queue which was removed and whose
        prefix lay within this one's, names nothing that exists.
        """
        job = self.instance.jobs.ids.parse(path.removeprefix(queue.prefix))
        if job is None:
            detail = f"no job id after the prefix {queue.prefix}"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        return Ok(job)

    async def submit(
        self, record: CellJob, deadline_s: float | None = None
    ) -> Result[None, Failure]:
        """Accepts a job once it is stored; submission is idempotent by job id.

        :param deadline_s: How long the caller waits for the answer, in seconds.
        :returns: ``NOT_RUN`` if the job is certainly not stored, ``OVERLOADED`` if that
            is because its organisation exceeds its rate, ``OUTCOME_UNKNOWN`` if it may
            be stored, ``NOT_FOUND`` if it was cancelled before it was stored.
        """
        checked = check_job(record)
        if isinstance(checked, Err):
            return checked
        started = anyio.current_time()
        limit_s = (deadline_s or DEFAULT_DEADLINE_S) - REPLY_MARGIN_S
        capped = self.check_caps(record)
        if isinstance(capped, Err) and await self.is_confirmed_absent(
            record.job, limit_s
        ):
            return capped
        if self.instance.store.down and self.instance.owner is None:
            result = await self.submit_via_owner(record, limit_s)
        else:
            result = await self.store_job(record, limit_s)
        took_s = anyio.current_time() - started
        self.log_submission(record, result, took_s)
        return result

    def check_caps(self, record: CellJob) -> Result[None, Failure]:
        """Refuses a job with an all-at-once step that is wider than its cap.

        A later manifest may raise the cap, so that the caller may come back.
        """
        manifest = self.instance.state.manifest
        organisations = (manifest and manifest.organisations) or {}
        organisation = organisations.get(OrganisationId(record.organisation))
        if organisation is None:
            return Ok(None)
        for number, spec in enumerate(record.steps):
            if exceeds_cap(spec, organisation.cap):
                detail = f"not accepted: step {number} exceeds the organisation's cap"
                return Err(
                    Failure(ErrorKind.NOT_RUN, detail, retry_after_s=MIN_RETRY_AFTER_S)
                )
        return Ok(None)

    async def submit_via_owner(
        self, record: CellJob, limit_s: float
    ) -> Result[None, Failure]:
        """Submits a job through the owner while this instance cannot reach the store.

        :param limit_s: Time limit in seconds.
        """
        if limit_s <= FORWARD_ROUND_TRIP_S:
            return Err(self.out_of_time_failure())
        reply = await self.instance.peer_calls.submit(
            record, limit_s - FORWARD_ROUND_TRIP_S
        )
        if isinstance(reply, Ok):
            return reply
        failure = reply.err_value
        if is_final_submission_failure(failure):
            return Err(failure)
        detail = f"not accepted: {failure.detail}"
        return Err(Failure(ErrorKind.NOT_RUN, detail, retry_after_s=MIN_RETRY_AFTER_S))

    def out_of_time_failure(self) -> Failure:
        """Returns the failure of a submission that had no time for a call."""
        detail = "not accepted: no time is left to store it"
        return Failure(ErrorKind.NOT_RUN, detail, retry_after_s=MIN_RETRY_AFTER_S)

    def backlog_failure(self, excess_s: float) -> Failure:
        """Returns the failure of a job that the backlog would make start too late.

        :param excess_s: Seconds by which its forecast start is too late.
        """
        detail = "not accepted: the backlog is too long for it to start in time"
        retry_after_s = min(max(MIN_RETRY_AFTER_S, excess_s), MAX_RETRY_AFTER_S)
        return Failure(ErrorKind.NOT_RUN, detail, retry_after_s=retry_after_s)

    def find_refusal(self, record: CellJob) -> Failure | None:
        """Returns the failure of a job that must not be stored now, if it is not yet.

        Each submission is checked once, by the instance that would store it: a member
        that relays it to the owner leaves the decision to the owner.
        """
        if self.instance.admission.is_excess(record):
            return excess_failure(self.instance.rng)
        full_s = self.instance.admission.full_wait_s(record)
        if full_s > 0:
            detail = (
                "not accepted: too many jobs are kept for its organisation or queue"
            )
            return Failure(ErrorKind.NOT_RUN, detail, retry_after_s=full_s)
        excess_s = self.instance.admission.excess_wait_s(record)
        return self.backlog_failure(excess_s) if excess_s > 0 else None

    async def is_confirmed_absent(self, job: str, limit_s: float) -> bool:
        """Returns whether the store has confirmed that it does not hold a job.

        A job that is stored already, or will never be, is not refused for a backlog or
        for the rate of its organisation, or for a cap that was lowered since.

        :param limit_s: Time limit in seconds; half of it is used at most.
        """
        with anyio.move_on_after(limit_s / 2):
            reply = await self.instance.jobs.read(job)
            if isinstance(reply, Err):
                return False
            found = reply.ok_value
            return not found.exists() and not found.tombstone
        return False

    async def store_job(self, record: CellJob, limit_s: float) -> Result[None, Failure]:
        """Stores a job by calls to the store from this instance.

        A write without a reply is retried. It is conditional, so that it takes effect
        at most once, and the reply to the retry gives the outcome of both. A job that
        this instance knows is stored already, and needs no call.

        :param limit_s: Time limit in seconds.
        """
        owner = self.instance.organisation_of(record.job)
        if owner is not None:
            denied = check_access(owner, Caller(record.organisation))
            return Ok(None) if denied is None else Err(denied)
        if limit_s <= 0:
            return Err(self.out_of_time_failure())
        give_up_at = anyio.current_time() + limit_s
        refusal = self.find_refusal(record)
        if refusal and await self.is_confirmed_absent(record.job, limit_s):
            if refusal.kind is ErrorKind.OVERLOADED:
                self.instance.metrics.excess_refusals.inc()
            return Err(refusal)
        with self.instance.admission.storing(record) as has_room:
            if has_room or not await self.is_confirmed_absent(record.job, limit_s):
                return await self.write_job(record, give_up_at)
        detail = "not accepted: too many large jobs are being stored"
        return Err(Failure(ErrorKind.NOT_RUN, detail, retry_after_s=MIN_RETRY_AFTER_S))

    async def write_job(
        self, record: CellJob, give_up_at: float
    ) -> Result[None, Failure]:
        """Writes a job to the store until the outcome is known.

        :param give_up_at: When to stop, on the runtime's clock in seconds.
        """
        sent = False
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, "the store is unavailable")
        while sent or not self.instance.store.down:
            scope = anyio.move_on_at(give_up_at)
            with scope:
                reply = await self.instance.jobs.accept(
                    record, self.instance.known_epoch()
                )
                if isinstance(reply, Ok):
                    self.instance.apply_accepted_job(reply.ok_value)
                    await self.instance.peer_calls.notify_accepted(reply.ok_value)
                    return Ok(None)
                failure = reply.err_value
                if failure.kind in (ErrorKind.NOT_FOUND, ErrorKind.FORBIDDEN):
                    return Err(failure)
                sent = sent or is_outcome_unknown(failure)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            if scope.cancelled_caught or anyio.current_time() >= give_up_at:
                sent = sent or scope.cancelled_caught
                break
        if sent:
            detail = "the store did not reply; the job may be stored"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        detail = f"not accepted: {failure.detail}"
        return Err(Failure(ErrorKind.NOT_RUN, detail, retry_after_s=MIN_RETRY_AFTER_S))

    def log_submission(
        self, record: CellJob, result: Result[None, Failure], took_s: float
    ) -> None:
        """Logs and counts the outcome of a submission."""
        self.instance.metrics.submission_seconds.observe(took_s)
        if isinstance(result, Ok):
            self.instance.metrics.submissions.labels("accepted").inc()
            logger.info(
                Event.JOB_ACCEPTED,
                job=record.job,
                queue=record.queue,
                took_s=round(took_s, 3),
            )
            return
        self.instance.metrics.submissions.labels(result.err_value.kind.value).inc()
        logger.info(
            Event.JOB_NOT_ACCEPTED,
            job=record.job,
            queue=record.queue,
            kind=result.err_value.kind.value,
            detail=result.err_value.detail,
            retry_after_s=result.err_value.retry_after_s,
            took_s=round(took_s, 3),
        )

    async def state(
        self, job: str, caller: Caller = UNCHECKED
    ) -> Result[JobState, Failure]:
        """Returns a job's state; a final state only once it is stored."""
        denied = check_access(self.instance.organisation_of(job) or "", caller)
        if denied is not None:
            return Err(denied)
        await self.instance.wait_for_end(job)
        known = self.instance.owned_state(job)
        if known is None:
            known = await self.instance.peer_calls.fetch_state(job, caller)
        if known is not None:
            logger.info(Event.STATE_ANSWERED, job=job, state=known.value, by="owner")
            return Ok(known)
        reply = await self.instance.jobs.read(job)
        if isinstance(reply, Err):
            return Err(self.store_unavailable(reply.err_value))
        stored = reply.ok_value
        if not stored.exists():
            return Err(self.unknown_job_failure(job))
        denied = check_access(self.organisation_of(stored), caller)
        if denied is not None:
            return Err(denied)
        state = self.state_from_store(stored)
        logger.info(Event.STATE_ANSWERED, job=job, state=state.value, by="store")
        return Ok(state)

    def organisation_of(self, stored: StoredJob) -> str:
        """Returns the organisation to which a stored job is bound, empty if to none."""
        if stored.record is None:
            return stored.organisation()
        return bound_organisation(stored.record, self.instance.state.manifest)

    def state_from_store(self, stored: StoredJob) -> JobState:
        """Returns the state of a stored job, without the owner's knowledge."""
        if stored.outcome is not None:
            return JobState(stored.outcome.state)
        return JobState.CANCELLED if stored.cancelled else JobState.QUEUED

    def store_unavailable(self, failure: Failure) -> Failure:
        """Returns the failure of a request that needed the store or the owner."""
        return Failure(
            ErrorKind.STORE_UNAVAILABLE, failure.detail, retry_after_s=MIN_RETRY_AFTER_S
        )

    async def cancel(
        self, job: str, caller: Caller = UNCHECKED
    ) -> Result[None, Failure]:
        """Cancels a job; the cancellation is stored before this returns.

        :returns: ``NOT_FOUND`` if no such job is stored; none will be.
        """
        if self.instance.store.down:
            forwarded = await self.instance.peer_calls.cancel(job, caller)
            if isinstance(forwarded, Ok) or is_final_refusal(forwarded.err_value):
                return forwarded
        return await self.cancel_in_store(job, caller)

    async def cancel_in_store(
        self, job: str, caller: Caller = UNCHECKED
    ) -> Result[None, Failure]:
        """Cancels a job by calls to the store from this instance.

        A write without a reply is followed by a read, which tells its outcome unless
        it takes effect later. The write is conditional, so that it may be made again.
        """
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, "the job keeps changing")
        for _ in range(MAX_CANCEL_ATTEMPTS):
            reply = await self.instance.jobs.read(job)
            if isinstance(reply, Err):
                return Err(self.store_unavailable(reply.err_value))
            stored = reply.ok_value
            if stored.tombstone:
                return Err(self.unknown_job_failure(job))
            denied = check_access(self.organisation_of(stored), caller)
            if denied is not None:
                return Err(denied)
            if stored.exists():
                written = await self.cancel_stored(job, stored)
            else:
                written = await self.cancel_unstored(job)
            if isinstance(written, Ok) or not may_repeat_cancellation(
                written.err_value
            ):
                return written
            failure = written.err_value
        return Err(self.store_unavailable(failure))

    async def cancel_stored(self, job: str, stored: StoredJob) -> Result[None, Failure]:
        """Cancels a job as the store holds it, unless it has ended."""
        if stored.outcome is None and not stored.cancelled:
            written = await self.instance.jobs.cancel(job, stored)
            if isinstance(written, Err):
                return Err(written.err_value)
            self.instance.apply_cancelled_job(job)
            await self.instance.peer_calls.notify_cancelled(job)
        logger.info(Event.JOB_CANCELLED, job=job)
        return Ok(None)

    async def cancel_unstored(self, job: str) -> Result[None, Failure]:
        """Keeps a job that is not stored from being stored later.

        :returns: ``NOT_FOUND`` if it is kept so, ``CONFLICT`` if it is stored by now.
        """
        tombstones = self.instance.metrics.tombstones
        budget = self.instance.tombstone_budget
        if not budget.try_spend():
            tombstones.labels("refused").inc()
            detail = "not cancelled: too many jobs that do not exist are cancelled"
            retry_after_s = budget.seconds_until_token()
            return Err(
                Failure(ErrorKind.OVERLOADED, detail, retry_after_s=retry_after_s)
            )
        written = await self.instance.jobs.put_tombstone(
            job, self.instance.ports.clock.now()
        )
        if isinstance(written, Err):
            return Err(written.err_value)
        if not written.ok_value:
            return Err(Failure(ErrorKind.CONFLICT, "the job was stored meanwhile"))
        tombstones.labels("stored").inc()
        logger.info(Event.UNSTORED_JOB_CANCELLED, job=job)
        return Err(self.unknown_job_failure(job))

    def unknown_job_failure(self, job: str) -> Failure:
        """Returns the failure of a request for a job that does not exist."""
        return Failure(ErrorKind.NOT_FOUND, f"no job {job}", "job")

    async def count_waiting(self, queue: Queue) -> Result[int, Failure]:
        """Returns the number of accepted jobs of a queue that have not started.

        Only the owner knows it. Counting the jobs in the store instead would fill the
        link between regions and delay the owner's replies as well.
        """
        count = self.instance.owned_waiting(queue.name)
        if count is None:
            count = await self.instance.peer_calls.fetch_waiting_count(queue.name)
        if count is not None:
            return Ok(count)
        detail = "the owner of the cell is not reachable"
        failure = Failure(ErrorKind.UNREACHABLE, detail)
        return Err(self.store_unavailable(failure))


def is_final_submission_failure(failure: Failure) -> bool:
    """Returns whether the caller gets a failure of a relayed submission unchanged.

    The links between instances report ``OVERLOADED`` as well, without a time to retry;
    only the owner's refusal for the rate of an organisation has one.
    """
    if failure.kind is ErrorKind.OVERLOADED:
        return failure.retry_after_s is not None
    return failure.kind in FINAL_SUBMISSION_ERRORS


def is_final_refusal(failure: Failure) -> bool:
    """Returns whether an instance knows that a job does not exist, or is another's."""
    if failure.kind is ErrorKind.FORBIDDEN:
        return True
    return failure.kind is ErrorKind.NOT_FOUND and failure.field == "job"


def may_repeat_cancellation(failure: Failure) -> bool:
    """Returns whether a cancellation has to read the store again."""
    return failure.kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.CONFLICT)
