"""Pairs the replies of peers with the calls of this process that they answer.

A reply must come from the process that was called. Call numbers are unique across
processes, so that a reply to an earlier process of this instance never matches, even if
its sender's program version does not state for whom it is.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import structlog
from msgspec import Struct
from prometheus_client import Counter
from result import Err, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.schema.generated.messages import MessageKind

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId
    from lacewinghold.schema.generated.messages import Envelope

logger = structlog.get_logger(__name__)
PROCESS_BYTES = 4
CALL_BITS = 31  # Together with the process they fit a signed 64-bit integer.
# A later process of the instance may serve these: its answer shows that the one that
# was called has ended.
SUCCESSOR_KINDS = frozenset({MessageKind.CELL_YIELD})


class Mismatch(StrEnum):
    """Why a message was not taken."""

    RECIPIENT = "recipient"
    SENDER = "sender"
    NO_CALL = "no_call"


UNMATCHED_MESSAGES = Counter(
    "lacewinghold_peer_messages_unmatched",
    "Messages of peers that were dropped because they are for another process"
    " (recipient), answer a call to another process (sender), or answer no open call"
    " (no_call).",
    ["reason"],
    registry=None,
)


def instance_name(process: InstanceId) -> str:
    """Returns the name that all processes of an instance share."""
    return process.rpartition(".")[0]


def is_successor(process: InstanceId, other: InstanceId) -> bool:
    """Returns whether two ids are of different processes of the same instance."""
    name = instance_name(process)
    return process != other and bool(name) and name == instance_name(other)


def first_number(process: InstanceId) -> int:
    """Returns the number below the call numbers of a process."""
    digest = hashlib.blake2b(process.encode(), digest_size=PROCESS_BYTES).digest()
    return int.from_bytes(digest) << CALL_BITS


class PendingCall(Struct, eq=False):
    """A call that waits for its reply.

    :param peer: The process that was called; ``None`` if its id is not known yet.
    """

    number: int
    kind: MessageKind
    peer: InstanceId | None
    settled: anyio.Event
    result: Result[bytes, Failure] | None = None  # Set before ``settled``.

    def may_be_answered_by(
        self, sender: InstanceId, result: Result[bytes, Failure]
    ) -> bool:
        """Returns whether a result is this call's, given who sent it.

        A later process of the instance may always say that the call has not reached
        the process that it was for.
        """
        if self.peer is None or sender == self.peer:
            return True
        if not is_successor(sender, self.peer):
            return False
        if self.kind in SUCCESSOR_KINDS:
            return True
        return (
            isinstance(result, Err) and result.err_value.kind is ErrorKind.UNREACHABLE
        )


class PendingCalls:
    """The calls of this process that wait for replies.

    :param instance: This process.
    """

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.last_number = first_number(instance)
        self.calls: dict[int, PendingCall] = {}
        self.logged: tuple[InstanceId, InstanceId, Mismatch] | None = None

    def next_number(self) -> int:
        """Returns a number that no other process uses."""
        self.last_number += 1
        return self.last_number

    def open(self, kind: MessageKind, peer: InstanceId | None) -> PendingCall:
        """Adds a call; it must be closed."""
        call = PendingCall(self.next_number(), kind, peer, anyio.Event())
        self.calls[call.number] = call
        return call

    def close(self, call: PendingCall) -> None:
        """Removes a call; replies to it are dropped from now on."""
        del self.calls[call.number]

    def settle(self, envelope: Envelope, result: Result[bytes, Failure]) -> None:
        """Passes a reply to the call that it answers, if there is one."""
        call = self.calls.get(envelope.correlation)
        if call is None:
            self.record_mismatch(envelope, Mismatch.NO_CALL)
            return
        if not call.may_be_answered_by(envelope.sender, result):
            self.record_mismatch(envelope, Mismatch.SENDER)
            return
        call.result = result
        call.settled.set()

    def fail(self, number: int, failure: Failure) -> None:
        """Fails a call that certainly was not sent."""
        call = self.calls.get(number)
        if call is not None:
            call.result = Err(failure)
            call.settled.set()

    def check_recipient(self, envelope: Envelope) -> bool:
        """Returns whether a message is for this process; records one that is not.

        Programs before this field name no recipient.
        """
        if envelope.recipient in ("", self.instance):
            return True
        if envelope.kind in SUCCESSOR_KINDS and is_successor(
            self.instance, envelope.recipient
        ):
            return True
        self.record_mismatch(envelope, Mismatch.RECIPIENT)
        return False

    def record_mismatch(self, envelope: Envelope, reason: Mismatch) -> None:
        """Counts a message that is dropped, and logs it unless it repeats the last.

        Not logged are replies that were late for their call, and the heartbeats of
        peers that have yet to learn of a restart.
        """
        UNMATCHED_MESSAGES.labels(reason).inc()
        described = (envelope.sender, envelope.recipient, reason)
        ordinary = envelope.kind is MessageKind.HEARTBEAT
        if ordinary or reason is Mismatch.NO_CALL or described == self.logged:
            return
        self.logged = described
        logger.warning(
            Event.UNMATCHED_MESSAGE,
            reason=reason.value,
            kind=envelope.kind.value,
            sender=envelope.sender,
            recipient=envelope.recipient,
            number=envelope.correlation,
        )
