"""Runs requests at most once, by claiming them in the store first."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import Revision
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.identity import (
    digest_of,
    fingerprint_of,
    key_conflict,
    may_claim,
    needs_claimant,
    to_result,
)
from lacewinghold.routing.outcomes import Observation, to_failure
from lacewinghold.schema.generated.messages import (
    MessageKind,
    RequestQuery,
    RequestReply,
    ServiceAnswer,
    ServiceRequest,
)
from lacewinghold.schema.generated.records import RequestRecord, RequestState
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.coordination.view import LiveView
    from lacewinghold.ids import InstanceId, RequestId, TeamId
    from lacewinghold.peers.links import PeerLinks
    from lacewinghold.routing.front import RequestFront
    from lacewinghold.routing.records import RequestRecords, StoredRecord
    from lacewinghold.schema.base import PackedStruct
    from lacewinghold.util.clock import WallClock

logger = structlog.get_logger(__name__)
MAX_STORED_ANSWER_BYTES = 16 * 1024
MAX_CACHED_ANSWERS_BYTES = 4 * 1024 * 1024
MAX_CACHED_RECORDS = 5_000
RECORD_RETRY_DELAY_S = 1.0
QUERY_MARGIN_S = 0.5


class ActiveRequest(Struct, eq=False):
    """A request that this instance claims or has claimed.

    :param digest: Identifies the request in the store.
    :param revision: Store revision of its record, zero before the intent is written.
    :param done: Set when ``result`` is known.
    :param late_answer: An answer that arrived after the request had timed out.
    :param waiters: Number of callers that wait for the result.
    """

    digest: str
    record: RequestRecord
    message: ServiceRequest
    revision: Revision = Revision(0)
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Result[ServiceAnswer, Failure] | None = None
    late_answer: ServiceAnswer | None = None
    waiters: int = 0

    def finish(self, result: Result[ServiceAnswer, Failure]) -> None:
        """Sets the result and wakes the waiting callers."""
        self.result = result
        self.done.set()


class AtMostOnceRequests:
    """Runs requests at most once, even if repeats reach other entry instances.

    Before an instance sends a request, it writes an intent to the request's record in
    the store by compare-and-set. Only the instance that succeeds may send the request.

    :ivar active: Requests in progress, by digest.
    :ivar by_request_id: Requests for which a late answer is accepted, oldest first.
    :ivar cached_records: Latest records written here, oldest first.
    """

    front: RequestFront

    def __init__(
        self,
        instance: InstanceId,
        records: RequestRecords,
        view: LiveView,
        peers: PeerLinks,
        clock: WallClock,
    ) -> None:
        self.instance = instance
        self.records = records
        self.view = view
        self.peers = peers
        self.clock = clock
        self.active: dict[str, ActiveRequest] = {}
        self.by_request_id: dict[RequestId, ActiveRequest] = {}
        self.cached_records: OrderedDict[str, RequestRecord] = OrderedDict()
        self.cached_bytes = 0
        self.started = anyio.Event()
        self.stopped = False
        peers.on(MessageKind.REQUEST_QUERY, self.on_request_query)

    async def run(self) -> None:
        """Writes records and runs requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks: TaskGroup = tasks
            self.started.set()
            try:
                await self.records.run()
            finally:
                self.stopped = True

    def busy(self) -> bool:
        """Returns whether any request is in progress or its outcome not written."""
        return bool(self.active)

    async def request(
        self, message: ServiceRequest, key: str
    ) -> Result[ServiceAnswer, Failure]:
        """Serves a request that must not be repeated.

        :param key: The caller's key, or the empty string.
        """
        await self.started.wait()
        digest = digest_of(message.team, key or message.request)
        fingerprint = fingerprint_of(message)
        active = self.active.get(digest)
        if active is None:
            record = RequestRecord(
                request=message.request,
                instance=self.instance,
                fingerprint=fingerprint,
                state=RequestState.INTENT,
                at=self.clock.now(),
            )
            active = ActiveRequest(digest, record, message)
            self.active[digest] = active
            self.tasks.start_soon(self.serve, active)
        elif active.record.fingerprint != fingerprint:
            return Err(key_conflict())
        return await self.wait_for_result(active, message.timeout_s)

    async def wait_for_result(
        self, active: ActiveRequest, timeout_s: float
    ) -> Result[ServiceAnswer, Failure]:
        """Returns the result of a request in progress.

        If the last caller stops waiting, the request is cancelled if still queued;
        otherwise it continues.
        """
        active.waiters += 1
        try:
            with anyio.move_on_after(timeout_s + QUERY_MARGIN_S):
                await active.done.wait()
        finally:
            active.waiters -= 1
            abandoned = not active.waiters and not active.done.is_set()
            if abandoned and not self.stopped:
                self.tasks.start_soon(self.front.cancel_if_queued, active.message)
        if active.result is None:
            return Err(
                to_failure(Observation.TIMEOUT_SENT, "look up the outcome by its key")
            )
        return active.result

    async def serve(self, active: ActiveRequest) -> None:
        """Claims a request, runs it and writes its outcome."""
        message = active.message
        deadline = anyio.current_time() + message.timeout_s
        try:
            claimed = await self.claim(active, message)
            if isinstance(claimed, Err):
                active.finish(Err(claimed.err_value))
                return
            if claimed.ok_value is not None:
                active.finish(await self.answer_repeat(active, message, claimed))
                return
            require(Invariant.INTENT_FIRST, active.revision > 0, message.request)
            message.timeout_s = max(0.001, deadline - anyio.current_time())
            self.expect_late_answer(active)
            active.finish(await self.front.route(message, self.record_late_answer))
            await self.write_outcome(active)
        finally:
            self.active.pop(active.digest, None)
            self.front.abandoned_requests.discard(message.request)

    def expect_late_answer(self, active: ActiveRequest) -> None:
        """Accepts late answers to a request; the oldest entries are evicted."""
        self.by_request_id[active.record.request] = active
        while len(self.by_request_id) > MAX_CACHED_RECORDS:
            del self.by_request_id[next(iter(self.by_request_id))]

    async def claim(
        self, active: ActiveRequest, message: ServiceRequest
    ) -> Result[StoredRecord | None, Failure]:
        """Writes the intent to the request's record.

        :returns: ``None`` if this instance may send the request, otherwise the record
            of an earlier claim.
        """
        expected_revision = Revision(0)
        outcome_known = False
        with anyio.move_on_after(message.timeout_s):
            while True:
                outcome_known = False
                written = await self.records.write(
                    active.digest, active.record, expected_revision
                )
                if isinstance(written, Ok):
                    active.revision = written.ok_value
                    return Ok(None)
                outcome_known = written.err_value.kind is not ErrorKind.OUTCOME_UNKNOWN
                if written.err_value.kind is not ErrorKind.CONFLICT:
                    break
                found = await self.records.read(active.digest)
                if isinstance(found, Err):
                    return Err(
                        to_failure(Observation.TIMEOUT_SENT, "store unavailable")
                    )
                if found.ok_value is None:
                    expected_revision = Revision(0)
                    continue
                if not may_claim(found.ok_value.record, active.record):
                    return Ok(found.ok_value)
                expected_revision = found.ok_value.revision
        if not outcome_known:
            self.tasks.start_soon(self.release_claim, active)
        return Err(to_failure(Observation.STORE_DOWN))

    async def release_claim(self, active: ActiveRequest) -> None:
        """Records a request as not run if its intent was written after all.

        Used when the write of the intent ended with an unknown outcome.
        """
        while True:
            found = await self.records.read(active.digest)
            if isinstance(found, Ok):
                break
            await anyio.sleep(RECORD_RETRY_DELAY_S)
        stored = found.ok_value
        if stored is None or stored.record.request != active.record.request:
            return
        active.revision = stored.revision
        await self.write_outcome(active)

    async def answer_repeat(
        self,
        active: ActiveRequest,
        message: ServiceRequest,
        claimed: Result[StoredRecord | None, Failure],
    ) -> Result[ServiceAnswer, Failure]:
        """Returns the result for a repeat of a request that was claimed before."""
        stored = claimed.unwrap()
        assert stored is not None
        record = stored.record
        if record.fingerprint != active.record.fingerprint:
            return Err(key_conflict())
        if needs_claimant(record):
            reported_record = await self.query_claimant(
                active.digest, record, message.timeout_s
            )
            record = reported_record or record
        return to_result(record)

    async def query_claimant(
        self, digest: str, record: RequestRecord, wait_s: float
    ) -> RequestRecord | None:
        """Returns the record from the instance that claimed a request.

        :param wait_s: How long that instance waits for the result, in seconds.
        :returns: The record, or ``None`` if the instance cannot be reached or does
            not know the request.
        """
        if record.instance == self.instance:
            return self.cached_records.get(digest)
        if record.instance not in self.view.instances():
            return None
        reply = await self.peers.call(
            record.instance,
            MessageKind.REQUEST_QUERY,
            RequestQuery(digest, wait_s),
            wait_s + QUERY_MARGIN_S,
        )
        if isinstance(reply, Err):
            return None
        return from_json(unpack(reply.ok_value, RequestReply).record, RequestRecord)

    async def on_request_query(
        self, sender: InstanceId, body: bytes
    ) -> Result[PackedStruct, Failure]:
        """Returns the record of a request to another entry instance."""
        query = unpack(body, RequestQuery)
        active = self.active.get(query.digest)
        if active is not None:
            with anyio.move_on_after(query.wait_s):
                await active.done.wait()
            record = outcome_record(active)
        else:
            cached = self.cached_records.get(query.digest)
            if cached is None:
                return Err(
                    Failure(ErrorKind.NOT_FOUND, "request not known to this instance")
                )
            record = cached
        return Ok(RequestReply(to_json(record)))

    async def lookup(self, team: TeamId, key: str) -> Result[RequestRecord, Failure]:
        """Returns the record of a request.

        :param key: The idempotency key or the request's id.
        :returns: The record; ``NOT_FOUND`` if there is none or it has expired.
        """
        digest = digest_of(team, key)
        active = self.active.get(digest)
        if active is not None and active.revision:
            return Ok(outcome_record(active))
        if digest in self.cached_records:
            return Ok(self.cached_records[digest])
        found = await self.records.read(digest)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no request {key}"))
        record = found.ok_value.record
        if needs_claimant(record):
            reported_record = await self.query_claimant(digest, record, 0.0)
            if reported_record is not None:
                return Ok(reported_record)
            if record.state is RequestState.INTENT:
                return Ok(msgspec.structs.replace(record, state=RequestState.UNKNOWN))
        return Ok(record)

    def record_late_answer(self, answer: ServiceAnswer) -> None:
        """Records an answer that arrived after the request had timed out."""
        active = self.by_request_id.get(answer.request)
        if active is None:
            return
        active.late_answer = answer
        if active.digest not in self.active:
            self.tasks.start_soon(self.write_outcome, active)

    async def write_outcome(self, active: ActiveRequest) -> None:
        """Writes the outcome of a request to the store, with retries."""
        while True:
            record = outcome_record(active)
            self.cache_record(active.digest, record)
            stored = record
            if record.body is not None and len(record.body) > MAX_STORED_ANSWER_BYTES:
                stored = msgspec.structs.replace(record, body=None)
            written = await self.records.write(active.digest, stored, active.revision)
            if isinstance(written, Ok):
                active.revision = written.ok_value
                if record.state is not RequestState.UNKNOWN:
                    self.by_request_id.pop(active.record.request, None)
                if outcome_record(active).state is record.state:
                    return
                continue
            if written.err_value.kind is ErrorKind.CONFLICT:
                logger.warning(Event.REQUEST_RECORD_LOST, digest=active.digest)
                return
            await anyio.sleep(RECORD_RETRY_DELAY_S)

    def cache_record(self, digest: str, record: RequestRecord) -> None:
        """Adds a record to the cache and evicts the oldest ones above the limits."""
        self.evict_record(digest)
        self.cached_records[digest] = record
        self.cached_bytes += len(record.body or b"")
        while (
            self.cached_bytes > MAX_CACHED_ANSWERS_BYTES
            or len(self.cached_records) > MAX_CACHED_RECORDS
        ):
            self.evict_record(next(iter(self.cached_records)))

    def evict_record(self, digest: str) -> None:
        """Removes a record from the cache."""
        record = self.cached_records.pop(digest, None)
        if record is not None:
            self.cached_bytes -= len(record.body or b"")


def outcome_record(active: ActiveRequest) -> RequestRecord:
    """Returns the record of a request with its outcome so far."""
    record = active.record
    result = active.result
    answer = active.late_answer
    if isinstance(result, Ok):
        answer = result.ok_value
    if answer is not None:
        return msgspec.structs.replace(
            record,
            state=RequestState.ANSWERED,
            status=answer.status,
            worker=answer.worker,
            body=answer.body,
            content_type=answer.content_type,
        )
    if not isinstance(result, Err):
        return record
    failure = result.err_value
    state = RequestState.UNKNOWN
    if failure.answer.may_repeat:
        state = RequestState.NOT_RUN
    return msgspec.structs.replace(record, state=state, detail=failure.detail)
