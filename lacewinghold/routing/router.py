"""Hands requests to backend servers from the owner of their shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import TaskId
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.base import BackendRequest
from lacewinghold.routing.slots import SlotTable
from lacewinghold.schema.generated.messages import ServiceAnswer
from lacewinghold.schema.generated.records import EntryKind, LogEntry

if TYPE_CHECKING:
    from lacewinghold.ids import RequestId, WorkerId
    from lacewinghold.routing.base import BackendLinks
    from lacewinghold.schema.generated.messages import ServiceRequest
    from lacewinghold.schema.generated.worker import WorkerRecord
    from lacewinghold.shards.owner import ShardOwner

MAX_ATTEMPTS = 3


class ShardRouter:
    """Serves the requests to the backend servers of one shard."""

    def __init__(self, owner: ShardOwner, backends: BackendLinks) -> None:
        self.owner = owner
        self.backends = backends
        self.slots = SlotTable(owner)

    async def serve(self, message: ServiceRequest) -> Result[ServiceAnswer, Failure]:
        """Runs one request.

        :returns: The whole answer; ``NOT_RUN`` or ``OVERLOADED`` only if it
            surely did not run; else ``OUTCOME_UNKNOWN``.
        """
        if not message.repeatable:
            recorded = await self.record_intent(message)
            if isinstance(recorded, Err):
                return Err(recorded.err_value)
        with anyio.move_on_after(message.timeout_s):
            return await self.try_backends(message)
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "no answer in time"))

    async def record_intent(self, message: ServiceRequest) -> Result[None, Failure]:
        """Writes the intent of a request that must not be repeated.

        :returns: ``NOT_RUN`` if it cannot be written, ``CONFLICT`` if the request
            was sent before.
        """
        ident = TaskId(f"request:{message.idempotency_digest or message.request}")
        if ident in self.owner.ledger.state.intents:
            detail = "a request with this key was sent before; its outcome is unknown"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        entry = LogEntry(
            kind=EntryKind.TASK_INTENT, at=self.owner.clock.now(), task_id=ident
        )
        written = await self.owner.ledger.append([entry])
        if isinstance(written, Err):
            return Err(Failure(ErrorKind.NOT_RUN, written.err_value.detail))
        return Ok(None)

    async def try_backends(
        self, message: ServiceRequest
    ) -> Result[ServiceAnswer, Failure]:
        """Tries backend servers as long as nothing surely ran."""
        request = BackendRequest(
            message.request,
            message.service,
            message.method,
            message.path,
            message.body,
            message.repeatable,
        )
        tried: frozenset[WorkerId] = frozenset()
        failure = Failure(ErrorKind.NOT_RUN, f"{message.service} runs nowhere here")
        for _ in range(MAX_ATTEMPTS):
            worker = await self.wait_slot(message, tried)
            if worker is None:
                return Err(failure)
            reply = await self.exchange(worker, request)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if failure.kind is not ErrorKind.NOT_RUN and not message.repeatable:
                return Err(failure)
            tried |= {worker.worker}
        return Err(failure)

    async def wait_slot(
        self, message: ServiceRequest, tried: frozenset[WorkerId]
    ) -> WorkerRecord | None:
        """Waits for a free slot; ``None`` if there is no untried backend server."""
        while True:
            worker = self.slots.take(message.service, tried)
            if worker is not None:
                return worker
            known = {record.worker for record in self.slots.backends(message.service)}
            if known <= tried:
                return None
            freed = self.slots.freed
            with anyio.move_on_after(0.1):
                await freed.wait()

    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[ServiceAnswer, Failure]:
        """Sends a request while its slot is held."""
        try:
            reply = await self.backends.exchange(worker, request)
        finally:
            self.slots.release(request.service, worker.worker)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        answer = reply.ok_value
        same: RequestId = answer.request
        require(Invariant.WHOLE_ANSWER, same == request.request, request.request)
        return Ok(
            ServiceAnswer(request.request, answer.status, answer.body, worker.worker)
        )
