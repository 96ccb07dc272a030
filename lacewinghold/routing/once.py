"""Requests that must not be repeated: claimed first, then run at most once."""

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
    may_claim,
    needs_writer,
    other_request,
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
STORED_ANSWER_BYTES = 16 * 1024
KEPT_ANSWERS_BYTES = 4 * 1024 * 1024
MAX_KEPT_RECORDS = 5_000
RECORD_RETRY_S = 1.0
QUERY_MARGIN_S = 0.5


class Running(Struct, eq=False):
    """A request that this instance claims or has claimed."""

    digest: str
    record: RequestRecord
    message: ServiceRequest
    revision: Revision = Revision(0)
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Result[ServiceAnswer, Failure] | None = None
    late: ServiceAnswer | None = None
    waiters: int = 0

    def finish(self, result: Result[ServiceAnswer, Failure]) -> None:
        """Gives everybody who waits the result."""
        self.result = result
        self.done.set()


class OnceRequests:
    """Runs requests at most once, whichever instances their repeats reach.

    The store's record of a request arbitrates between entry instances: who
    replaces it by its intent may send, and nobody else.
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
        self.running: dict[str, Running] = {}
        self.by_request: dict[RequestId, Running] = {}
        self.kept: OrderedDict[str, RequestRecord] = OrderedDict()
        self.kept_bytes = 0
        self.started = anyio.Event()
        self.stopped = False
        peers.on(MessageKind.REQUEST_QUERY, self.on_request_query)

    async def run(self) -> None:
        """Runs claimed requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks: TaskGroup = tasks
            self.started.set()
            try:
                await self.records.run()
            finally:
                self.stopped = True

    def busy(self) -> bool:
        """Returns whether any request is in progress or its outcome unwritten."""
        return bool(self.running)

    async def request(
        self, message: ServiceRequest, key: str
    ) -> Result[ServiceAnswer, Failure]:
        """Serves a request that must not be repeated.

        :param key: The caller's key, or the empty string.
        """
        await self.started.wait()
        digest = digest_of(message.team, key or message.request)
        fingerprint = fingerprint_of(message)
        running = self.running.get(digest)
        if running is None:
            record = RequestRecord(
                request=message.request,
                instance=self.instance,
                fingerprint=fingerprint,
                state=RequestState.INTENT,
                at=self.clock.now(),
            )
            running = Running(digest, record, message)
            self.running[digest] = running
            self.tasks.start_soon(self.serve, running)
        elif running.record.fingerprint != fingerprint:
            return Err(other_request())
        return await self.wait(running, message.timeout_s)

    async def wait(
        self, running: Running, timeout_s: float
    ) -> Result[ServiceAnswer, Failure]:
        """Waits for a running request's result; it goes on if nobody waits."""
        running.waiters += 1
        try:
            with anyio.move_on_after(timeout_s + QUERY_MARGIN_S):
                await running.done.wait()
        finally:
            running.waiters -= 1
            left = not running.waiters and not running.done.is_set()
            if left and not self.stopped:
                self.tasks.start_soon(self.front.drop, running.message)
        if running.result is None:
            return Err(to_failure(Observation.TIMEOUT_SENT, "ask again by its key"))
        return running.result

    async def serve(self, running: Running) -> None:
        """Claims a request, runs it and writes its outcome."""
        message = running.message
        deadline = anyio.current_time() + message.timeout_s
        try:
            claimed = await self.claim(running, message)
            if isinstance(claimed, Err):
                running.finish(Err(claimed.err_value))
                return
            if claimed.ok_value is not None:
                running.finish(await self.answer_repeat(running, message, claimed))
                return
            require(Invariant.INTENT_FIRST, running.revision > 0, message.request)
            message.timeout_s = max(0.001, deadline - anyio.current_time())
            self.expect_late(running)
            running.finish(await self.front.route(message, self.note_late))
            await self.write_outcome(running)
        finally:
            self.running.pop(running.digest, None)
            self.front.left.discard(message.request)

    def expect_late(self, running: Running) -> None:
        """Keeps a request known for late answers, within bounds."""
        self.by_request[running.record.request] = running
        while len(self.by_request) > MAX_KEPT_RECORDS:
            del self.by_request[next(iter(self.by_request))]

    async def claim(
        self, running: Running, message: ServiceRequest
    ) -> Result[StoredRecord | None, Failure]:
        """Writes the intent.

        :returns: ``None`` once this instance may send the request, or the record
            that another claim has written.
        """
        expected = Revision(0)
        settled = False
        with anyio.move_on_after(message.timeout_s):
            while True:
                settled = False
                written = await self.records.write(
                    running.digest, running.record, expected
                )
                if isinstance(written, Ok):
                    running.revision = written.ok_value
                    return Ok(None)
                settled = written.err_value.kind is not ErrorKind.OUTCOME_UNKNOWN
                if written.err_value.kind is not ErrorKind.CONFLICT:
                    break
                found = await self.records.read(running.digest)
                if isinstance(found, Err):
                    return Err(to_failure(Observation.TIMEOUT_SENT, "no store"))
                if found.ok_value is None:
                    expected = Revision(0)
                    continue
                if not may_claim(found.ok_value.record, running.record):
                    return Ok(found.ok_value)
                expected = found.ok_value.revision
        if not settled:
            self.tasks.start_soon(self.release_claim, running)
        return Err(to_failure(Observation.STORE_DOWN))

    async def release_claim(self, running: Running) -> None:
        """Marks a claim as not run whose write may have taken effect."""
        while True:
            found = await self.records.read(running.digest)
            if isinstance(found, Ok):
                break
            await anyio.sleep(RECORD_RETRY_S)
        stored = found.ok_value
        if stored is None or stored.record.request != running.record.request:
            return
        running.revision = stored.revision
        await self.write_outcome(running)

    async def answer_repeat(
        self,
        running: Running,
        message: ServiceRequest,
        claimed: Result[StoredRecord | None, Failure],
    ) -> Result[ServiceAnswer, Failure]:
        """Answers a repeat of a request that was claimed before."""
        stored = claimed.unwrap()
        assert stored is not None
        record = stored.record
        if record.fingerprint != running.record.fingerprint:
            return Err(other_request())
        if needs_writer(record):
            asked = await self.ask_writer(running.digest, record, message.timeout_s)
            record = asked or record
        return to_result(record)

    async def ask_writer(
        self, digest: str, record: RequestRecord, wait_s: float
    ) -> RequestRecord | None:
        """Asks the instance that claimed a request what became of it."""
        if record.instance == self.instance:
            return self.kept.get(digest)
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
        """Tells another entry instance what became of a request."""
        query = unpack(body, RequestQuery)
        running = self.running.get(query.digest)
        if running is not None:
            with anyio.move_on_after(query.wait_s):
                await running.done.wait()
            record = outcome_record(running)
        else:
            kept = self.kept.get(query.digest)
            if kept is None:
                return Err(Failure(ErrorKind.NOT_FOUND, "no such request here"))
            record = kept
        return Ok(RequestReply(to_json(record)))

    async def lookup(self, team: TeamId, key: str) -> Result[RequestRecord, Failure]:
        """Returns what became of a request.

        :param key: The caller's key, or the request's id.
        :returns: The record; ``NOT_FOUND`` if there is none or it is too old.
        """
        digest = digest_of(team, key)
        running = self.running.get(digest)
        if running is not None and running.revision:
            return Ok(outcome_record(running))
        if digest in self.kept:
            return Ok(self.kept[digest])
        found = await self.records.read(digest)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"no request {key}"))
        record = found.ok_value.record
        if needs_writer(record):
            asked = await self.ask_writer(digest, record, 0.0)
            if asked is not None:
                return Ok(asked)
            if record.state is RequestState.INTENT:
                return Ok(msgspec.structs.replace(record, state=RequestState.UNKNOWN))
        return Ok(record)

    def note_late(self, answer: ServiceAnswer) -> None:
        """Takes an answer that came after the request had timed out."""
        running = self.by_request.get(answer.request)
        if running is None:
            return
        running.late = answer
        if running.digest not in self.running:
            self.tasks.start_soon(self.write_outcome, running)

    async def write_outcome(self, running: Running) -> None:
        """Writes how a request ended, until the store has it."""
        while True:
            record = outcome_record(running)
            self.keep(running.digest, record)
            stored = record
            if record.body is not None and len(record.body) > STORED_ANSWER_BYTES:
                stored = msgspec.structs.replace(record, body=None)
            written = await self.records.write(running.digest, stored, running.revision)
            if isinstance(written, Ok):
                running.revision = written.ok_value
                if record.state is not RequestState.UNKNOWN:
                    self.by_request.pop(running.record.request, None)
                if outcome_record(running).state is record.state:
                    return
                continue
            if written.err_value.kind is ErrorKind.CONFLICT:
                logger.warning(Event.REQUEST_RECORD_LOST, digest=running.digest)
                return
            await anyio.sleep(RECORD_RETRY_S)

    def keep(self, digest: str, record: RequestRecord) -> None:
        """Keeps a record at hand within bounds, the latest ones."""
        self.forget(digest)
        self.kept[digest] = record
        self.kept_bytes += len(record.body or b"")
        while self.kept_bytes > KEPT_ANSWERS_BYTES or len(self.kept) > MAX_KEPT_RECORDS:
            self.forget(next(iter(self.kept)))

    def forget(self, digest: str) -> None:
        """Drops a kept record."""
        record = self.kept.pop(digest, None)
        if record is not None:
            self.kept_bytes -= len(record.body or b"")


def outcome_record(running: Running) -> RequestRecord:
    """Returns the record of a request as it stands now."""
    record = running.record
    result = running.result
    answer = running.late
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
