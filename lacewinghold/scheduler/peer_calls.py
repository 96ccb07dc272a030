"""Calls between the entry instances of a cell, over their links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.organisations.authentication import UNCHECKED, Caller, check_access
from lacewinghold.scheduler.election import Invitation
from lacewinghold.scheduler.members import advise_for_peer
from lacewinghold.scheduler.model import JobState
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
from lacewinghold.util.codec import to_json, unpack
from lacewinghold.util.containment import contained

if TYPE_CHECKING:
    from lacewinghold.ids import JobId
    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.schema.generated.cell import CellJob, CellOwnerRecord

logger = structlog.get_logger(__name__)
YIELD_RETRY_S = 0.05
FORWARD_TIMEOUT_S = 1.5  # The owner calls the store twice before it answers.
# Several round trips between regions; callers then read the store instead.
OWNER_TIMEOUT_S = 0.4


class PeerCalls:
    """Client and server side of the calls between members.

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
        """Returns the owner, ``None`` if it is unknown or this instance.

        The store's record names it. While the store does not serve this instance, a
        newer owner that has asked it to yield takes precedence over the record.
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
        """Notifies the owner of a stored job, so that it need not wait for the store.

        The owner finds the job in the store as well. Over a link of low bandwidth no
        notice is sent, since the job would then cross the link twice.
        """
        owner = self.remote_owner()
        if owner is not None and owner not in self.links.narrow_peers:
            message = CellAccepted(to_json(record))
            await self.links.notify(owner, MessageKind.CELL_ACCEPTED, message)

    async def notify_cancelled(self, job: str) -> None:
        """Notifies the owner of a stored cancellation and waits for its answer.

        Without the wait, a later query of the job's state could overtake the notice.
        """
        owner = self.remote_owner()
        if owner is not None:
            await self.links.call(
                owner, MessageKind.CELL_CANCELLED, CellJobCall(job), OWNER_TIMEOUT_S
            )

    async def fetch_state(
        self, job: str, caller: Caller = UNCHECKED
    ) -> JobState | None:
        """Returns a job's state from the owner.

        :returns: ``None`` if the owner has none, or the caller may not see it.
        """
        owner = self.remote_owner()
        if owner is None:
            return None
        request = CellJobCall(job, caller.organisation, caller.anonymous)
        limit_s = OWNER_TIMEOUT_S + self.instance.settings.state_wait_ms / 1000
        reply = await self.links.call(owner, MessageKind.CELL_STATE, request, limit_s)
        if isinstance(reply, Err):
            return None
        try:
            return JobState(unpack(reply.ok_value, CellJobState).state)
        except ValueError as error:
            logger.warning(Event.DAMAGED_MESSAGE, peer=owner, detail=str(error))
            return None

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
        """Has the owner store a job, since the store does not serve this instance.

        :param limit_s: Time limit of the write to the store, in seconds.
        """
        owner = self.remote_owner()
        if owner is None:
            return Err(
                Failure(
                    ErrorKind.UNREACHABLE, "no other instance is known to own the cell"
                )
            )
        request = CellSubmitCall(to_json(record), limit_s)
        reply = await self.links.call(
            owner, MessageKind.CELL_SUBMIT, request, limit_s + OWNER_TIMEOUT_S
        )
        return Err(reply.err_value) if isinstance(reply, Err) else Ok(None)

    async def cancel(
        self, job: str, caller: Caller = UNCHECKED
    ) -> Result[None, Failure]:
        """Has the owner cancel a job for a caller."""
        owner = self.remote_owner()
        if owner is None:
            return Err(
                Failure(
                    ErrorKind.UNREACHABLE, "no other instance is known to own the cell"
                )
            )
        request = CellJobCall(job, caller.organisation, caller.anonymous)
        reply = await self.links.call(
            owner, MessageKind.CELL_CANCEL, request, FORWARD_TIMEOUT_S
        )
        return Err(reply.err_value) if isinstance(reply, Err) else Ok(None)

    async def stop_earlier_owner(
        self, owner: CellOwner, earlier: CellOwnerRecord
    ) -> None:
        """Asks the earlier owner to yield, again and again until it answers.

        A restarted process of that instance may answer in its place: the earlier
        owner has then stopped as well.
        """
        peer = InstanceId(earlier.instance)
        while not owner.predecessor_stopped.is_set():
            reply = await self.links.call(
                peer,
                MessageKind.CELL_YIELD,
                CellYieldCall(owner.ownership.term),
                OWNER_TIMEOUT_S,
            )
            if isinstance(reply, Ok):
                with contained("answer of the earlier owner", peer=peer):
                    answer = unpack(reply.ok_value, CellYielded)
                    logger.info(
                        Event.EARLIER_OWNER_STOPPED,
                        asked=peer,
                        by=answer.instance,
                        after_s=round(anyio.current_time() - owner.acquired_at, 3),
                    )
                    owner.record_predecessor_stopped(earlier)
                    return
            await anyio.sleep(YIELD_RETRY_S)

    async def request_takeover(
        self, member: InstanceId, term: int, *, late: bool
    ) -> bool:
        """Asks a member to take over the cell from this owner.

        :param late: Whether this owner hands over because its event loop lags.
        :returns: Whether the member has agreed to claim the ownership.
        """
        request = CellTakeOverCall(term, late)
        reply = await self.links.call(
            member, MessageKind.CELL_TAKE_OVER, request, OWNER_TIMEOUT_S
        )
        return isinstance(reply, Ok)

    async def broadcast_waits(
        self,
        term: int,
        waits_s: dict[str, float],
        excess: dict[str, float],
        full_s: dict[str, float],
    ) -> None:
        """Sends all members the backlog.

        :param waits_s: Expected waits of new jobs in seconds, by queue.
        :param excess: Shares of submissions to refuse, 0 to 1, by organisation.
        :param full_s: Seconds until there is room in memory, by organisation or queue.
        """
        message = CellWaits(term, waits_s, excess, full_s)
        for member in list(self.instance.members.members):
            if member != self.instance.instance:
                await self.links.notify(member, MessageKind.CELL_WAITS, message)

    # Calls of peers

    def read_job_id(self, body: bytes) -> Result[JobId, Failure]:
        """Decodes a call that names a job; refuses what is no job's id."""
        job = self.instance.jobs.ids.parse(unpack(body, CellJobCall).job)
        if job is None:
            return Err(Failure(ErrorKind.INVALID, "the call names no job", "job"))
        return Ok(job)

    def read_caller(self, body: bytes) -> Caller:
        """Returns the caller of a call that names a job."""
        request = unpack(body, CellJobCall)
        return Caller(request.organisation, request.anonymous)

    def read_record(self, peer: InstanceId, value: bytes) -> Result[CellJob, Failure]:
        """Decodes the record of a job that a peer has sent."""
        try:
            return Ok(self.instance.jobs.decode_record(value))
        except msgspec.DecodeError as error:
            logger.error(Event.DAMAGED_RECORD, peer=peer, detail=str(error))
            return Err(Failure(ErrorKind.INVALID, str(error)))

    async def serve_yield(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellYielded, Failure]:
        """Gives up the ownership to a newer owner, and answers once it has ended."""
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
        """Agrees to take over from an owner, if this instance is able to."""
        request = unpack(body, CellTakeOverCall)
        invitation = Invitation(request.term, request.late, anyio.current_time())
        can_decide = self.instance.ready() and not self.instance.store.down
        if not can_decide or not self.instance.election.accept_invitation(invitation):
            return Err(
                Failure(ErrorKind.OVERLOADED, "not able to take over the cell now")
            )
        return Ok(CellReady(self.instance.instance))

    async def serve_waits(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellReady, Failure]:
        """Applies the waits of the owner's backlog."""
        message = unpack(body, CellWaits)
        self.instance.admission.update_backlog(
            message.term, message.waits_s, message.excess, message.full_s
        )
        return Ok(CellReady(self.instance.instance))

    async def serve_advise(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellAdvice, Failure]:
        """Calls the advice service for the owner."""
        return await advise_for_peer(self.instance.ports.advice, body)

    async def serve_accepted(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Applies a member's notice of a job that it has stored."""
        record = self.read_record(peer, unpack(body, CellAccepted).record)
        if isinstance(record, Err):
            return record
        self.instance.apply_accepted_job(record.ok_value)
        return Ok(CellJobState(JobState.QUEUED.value))

    async def serve_cancelled(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Applies a member's notice of a cancellation that it has stored."""
        job = self.read_job_id(body)
        if isinstance(job, Err):
            return job
        self.instance.apply_cancelled_job(job.ok_value)
        return Ok(CellJobState(JobState.CANCELLED.value))

    async def serve_submit(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Stores a job for a member that the store does not serve."""
        request = unpack(body, CellSubmitCall)
        record = self.read_record(peer, request.record)
        if isinstance(record, Err):
            return record
        stored = await self.instance.front.store_job(record.ok_value, request.limit_s)
        if isinstance(stored, Err):
            return Err(stored.err_value)
        return Ok(CellJobState(JobState.QUEUED.value))

    async def serve_cancel(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Cancels a job for a member that the store does not serve."""
        job = self.read_job_id(body)
        if isinstance(job, Err):
            return job
        cancelled = await self.instance.front.cancel_in_store(
            job.ok_value, self.read_caller(body)
        )
        if isinstance(cancelled, Err):
            return Err(cancelled.err_value)
        return Ok(CellJobState(JobState.CANCELLED.value))

    async def serve_state(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellJobState, Failure]:
        """Answers with a job's state, if this instance is certain to own the cell."""
        job = self.read_job_id(body)
        if isinstance(job, Err):
            return job
        owner = self.instance.organisation_of(job.ok_value) or ""
        denied = check_access(owner, self.read_caller(body))
        if denied is not None:
            return Err(denied)
        await self.instance.wait_for_end(job.ok_value)
        state = self.instance.owned_state(job.ok_value)
        if state is None:
            return Err(
                Failure(ErrorKind.NOT_OWNER, "this instance does not decide on the job")
            )
        return Ok(CellJobState(state.value))

    async def serve_waiting(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellWaiting, Failure]:
        """Answers with the number of a queue's waiting jobs, if this is the owner."""
        count = self.instance.owned_waiting(unpack(body, CellWaitingCall).queue)
        if count is None:
            return Err(
                Failure(ErrorKind.NOT_OWNER, "this instance does not own the cell")
            )
        return Ok(CellWaiting(count))

    async def serve_order_replies(
        self, peer: InstanceId, body: bytes
    ) -> Result[CellYielded, Failure]:
        """Applies a member's replies to the orders that it relays."""
        if self.instance.relays is not None:
            self.instance.relays.apply_replies(peer, body)
        return Ok(CellYielded(self.instance.instance))
