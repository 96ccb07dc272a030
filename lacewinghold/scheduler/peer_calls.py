"""What the entry instances of a cell ask of each other, over their links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.scheduler.election import Invitation
from lacewinghold.scheduler.members import advise_for_peer
from lacewinghold.scheduler.model import JobState
from lacewinghold.schema.generated.cell import CellJob
from lacewinghold.schema.generated.messages import (
    CellAccepted,
    CellAdvice,
    CellJobCall,
    CellJobState,
    CellReady,
    CellSubmitCall,
    CellTakeOverCall,
    CellWaiting,
    CellWaitingCall,
    CellWaits,
    CellYieldCall,
    CellYielded,
    MessageKind,
)
from lacewinghold.util.codec import from_json, to_json, unpack

if TYPE_CHECKING:
    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.schema.generated.cell import CellOwnerRecord

logger = structlog.get_logger(__name__)
YIELD_RETRY_S = 0.05
FORWARD_TIMEOUT_S = 1.5  # The owner makes two calls to the store for it.
OWNER_TIMEOUT_S = (
    0.4  # Several round trips between regions; the store answers after it.
)


class PeerCalls:
    """Both ends of the calls between members.

    :param instance: The entry instance.
    """

    def __init__(self, instance: CellInstance) -> None:
        self.instance = instance
        self.links = instance.peers
        self.newer_owner: tuple[int, InstanceId | None] = (0, None)
        self.links.on(MessageKind.CELL_ADVISE, self.serve_advise)
        self.links.on(MessageKind.CELL_ACCEPTED, self.serve_accepted)
        self.links.on(MessageKind.CELL_STATE, self.serve_state)
        self.links.on(MessageKind.CELL_CANCELLED, self.serve_cancelled)
        self.links.on(MessageKind.CELL_WAITING, self.serve_waiting)
        self.links.on(MessageKind.CELL_YIELD, self.serve_yield)
        self.links.on(MessageKind.CELL_SUBMIT, self.serve_submit)
        self.links.on(MessageKind.CELL_CANCEL, self.serve_cancel)
        self.links.on(MessageKind.CELL_ORDER_REPLIES, self.serve_order_replies)
        self.links.on(MessageKind.CELL_TAKE_OVER, self.serve_take_over)
        self.links.on(MessageKind.CELL_WAITS, self.serve_waits)

    def remote_owner(self) -> InstanceId | None:
        """Returns the owner, if it is another instance.

        The store tells it; an instance that the store refuses knows by the newer
        owner itself, which has told it to stop.
        """
        record = self.instance.election.owner
        newer_term, newer_instance = self.newer_owner
        outdated = record is None or record.term < newer_term
        if newer_instance is not None and outdated and self.instance.store.down:
            return newer_instance
        if record is None or record.instance == self.instance.instance:
            return None
        return InstanceId(record.instance)

    # Calls to the owner

    async def notify_accepted(self, record: CellJob) -> None:
        """Tells the owner of a stored job; it would find it in the store as well.

        Over a thin link the job would take the place of two.
        """
        owner = self.remote_owner()
        if owner is not None and owner not in self.links.narrow_peers:
            message = CellAccepted(to_json(record))
            await self.links.notify(owner, MessageKind.CELL_ACCEPTED, message)

    async def notify_cancelled(self, job: str) -> None:
        """Tells the owner of a stored cancellation.

        Waits for its answer: a question that follows would overtake the message.
        """
        owner = self.remote_owner()
        if owner is not None:
            await self.links.call(
                owner, MessageKind.CELL_CANCELLED, CellJobCall(job), OWNER_TIMEOUT_S
            )

    async def fetch_state(self, job: str) -> JobState | None:
        """Returns a job's state by the owner, ``None`` if it does not know it."""
        owner = self.remote_owner()
        if owner is None:
            return None
        reply = await self.links.call(
            owner, MessageKind.CELL_STATE, CellJobCall(job), OWNER_TIMEOUT_S
        )
        if isinstance(reply, Err):
            return None
        return JobState(unpack(reply.ok_value, CellJobState).state)

    async def fetch_waiting_count(self, queue: str) -> int | None:
        """Returns the owner's count of waiting jobs, ``None`` without an answer."""
        owner = self.remote_owner()
        if owner is None:
            return None
        reply = await self.links.call(
            owner, MessageKind.CELL_WAITING, CellWaitingCall(queue), OWNER_TIMEOUT_S
        )
        if isinstance(reply, Err):
            return None
        return unpack(reply.ok_value, CellWaiting).count

    async def submit(self, record: CellJob, limit_s: float) -> Result[None, Failure]:
        """Has the owner store a job, since the store does not serve this instance."""
        owner = self.remote_owner()
        if owner is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "no other owner is known"))
        request = CellSubmitCall(to_json(record), limit_s)
        reply = await self.links.call(
            owner, MessageKind.CELL_SUBMIT, request, limit_s + OWNER_TIMEOUT_S
        )
        return Err(reply.err_value) if isinstance(reply, Err) else Ok(None)

    async def cancel(self, job: str) -> Result[None, Failure]:
        """Has the owner cancel a job."""
        owner = self.remote_owner()
        if owner is None:
            return Err(Failure(ErrorKind.UNREACHABLE, "no other owner is known"))
        reply = await self.links.call(
            owner, MessageKind.CELL_CANCEL, CellJobCall(job), FORWARD_TIMEOUT_S
        )
        return Err(reply.err_value) if isinstance(reply, Err) else Ok(None)

    async def stop_earlier_owner(
        self, owner: CellOwner, earlier: CellOwnerRecord
    ) -> None:
        """Asks the earlier owner to stop until it, or its next start, has answered."""
        peer = InstanceId(earlier.instance)
        while not owner.predecessor_stopped.is_set():
            reply = await self.links.call(
                peer,
                MessageKind.CELL_YIELD,
                CellYieldCall(owner.ownership.term),
                OWNER_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                answer = unpack(reply.ok_value, CellYielded)
                logger.info(Event.EARLIER_OWNER_STOPPED, asked=peer, by=answer.instance)
                owner.record_predecessor_stopped(earlier)
                return
            await anyio.sleep(YIELD_RETRY_S)

    async def request_takeover(
        self, member: InstanceId, term: int, *, late: bool
    ) -> bool:
        """Asks a member to follow this owner; returns whether it will claim."""
        request = CellTakeOverCall(term, late)
        reply = await self.links.call(
            member, MessageKind.CELL_TAKE_OVER, request, OWNER_TIMEOUT_S
        )
        return isinstance(reply, Ok)

    async def broadcast_waits(self, term: int, waits_s: dict[str, float]) -> None:
        """Tells all members how long new jobs would wait."""
        message = CellWaits(term, waits_s)
        for member in list(self.instance.members.members):
            if member != self.instance.instance:
                await self.links.notify(member, MessageKind.CELL_WAITS, message)

    # Calls of peers

    async def serve_yield(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellYielded, Failure]:
        """Stops deciding for a newer owner."""
        term = unpack(body, CellYieldCall).term
        if term > self.newer_owner[0]:
            self.newer_owner = (term, peer)
        owner = self.instance.owner
        if owner is not None and owner.ownership.term < term:
            owner.ownership.lost.set()
            while self.instance.owner is owner:
                await anyio.sleep(YIELD_RETRY_S)
        return Ok(CellYielded(self.instance.instance))

    async def serve_take_over(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellReady, Failure]:
        """Promises to follow an owner, if this instance can decide."""
        request = unpack(body, CellTakeOverCall)
        invitation = Invitation(request.term, request.late, anyio.current_time())
        can_decide = self.instance.ready() and not self.instance.store.down
        if not can_decide or not self.instance.election.accept_invitation(invitation):
            return Err(Failure(ErrorKind.OVERLOADED, "not able to decide now"))
        return Ok(CellReady(self.instance.instance))

    async def serve_waits(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellReady, Failure]:
        """Takes what the owner tells of its backlog."""
        message = unpack(body, CellWaits)
        self.instance.admission.update_backlog(message.term, message.waits_s)
        return Ok(CellReady(self.instance.instance))

    async def serve_advise(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellAdvice, Failure]:
        """Calls the advice service for the owner."""
        return await advise_for_peer(self.instance.ports.advice, body)

    async def serve_accepted(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Takes a job that a member has stored."""
        try:
            record = from_json(unpack(body, CellAccepted).record, CellJob)
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, peer=peer, detail=str(error))
            return Err(Failure(ErrorKind.INVALID, str(error)))
        self.instance.apply_accepted_job(record)
        return Ok(CellJobState(JobState.QUEUED.value))

    async def serve_cancelled(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Takes a cancellation that a member has stored."""
        self.instance.apply_cancelled_job(unpack(body, CellJobCall).job)
        return Ok(CellJobState(JobState.CANCELLED.value))

    async def serve_submit(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Stores a job for a member that the store does not serve."""
        request = unpack(body, CellSubmitCall)
        record = from_json(request.record, CellJob)
        stored = await self.instance.front.store_job(record, request.limit_s)
        if isinstance(stored, Err):
            return Err(stored.err_value)
        return Ok(CellJobState(JobState.QUEUED.value))

    async def serve_cancel(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Cancels a job for a member that the store does not serve."""
        job = unpack(body, CellJobCall).job
        cancelled = await self.instance.front.cancel_in_store(job)
        if isinstance(cancelled, Err):
            return Err(cancelled.err_value)
        return Ok(CellJobState(JobState.CANCELLED.value))

    async def serve_state(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Tells a job's state if this instance surely decides about it."""
        state = self.instance.owned_state(unpack(body, CellJobCall).job)
        if state is None:
            return Err(Failure(ErrorKind.NOT_OWNER, "not decided here"))
        return Ok(CellJobState(state.value))

    async def serve_waiting(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellWaiting, Failure]:
        """Tells how many jobs of a queue wait, if this instance decides."""
        count = self.instance.owned_waiting(unpack(body, CellWaitingCall).queue)
        if count is None:
            return Err(Failure(ErrorKind.NOT_OWNER, "not decided here"))
        return Ok(CellWaiting(count))

    async def serve_order_replies(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellYielded, Failure]:
        """Takes what became of orders that a member carries out."""
        if self.instance.relays is not None:
            self.instance.relays.apply_replies(peer, body)
        return Ok(CellYielded(self.instance.instance))
