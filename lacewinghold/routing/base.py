"""The interface for sending requests to backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

from msgspec import Struct

if TYPE_CHECKING:
    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.ids import AttemptId, Epoch, Incarnation, ServiceId
    from lacewinghold.routing.outcomes import AttemptFailure
    from lacewinghold.schema.generated.worker import Probe, ProbeReply, WorkerRecord


class BackendRequest(Struct, frozen=True):
    """One attempt of a request, as sent to a backend server.

    :param epoch: Epoch of the sending owner; the server refuses an epoch lower than
        the highest it has seen.
    :param incarnation: Incarnation of the server that accepted this epoch; after a
        restart, the server refuses it.
    :param timeout_s: Time left until the caller's deadline, in seconds.
    """

    attempt: AttemptId
    service: ServiceId
    method: str
    path: str
    body: bytes
    epoch: Epoch
    incarnation: Incarnation
    timeout_s: float
    content_type: str = ""
    traceparent: str = ""


class BackendAnswer(Struct, frozen=True):
    """A complete answer of a backend server.

    :param attempt: The attempt that is answered, as echoed by the server.
    :param leaving: Whether the server is about to stop and takes no new requests.
    """

    attempt: AttemptId
    status: int
    body: bytes
    leaving: bool = False
    content_type: str = ""


class BackendLinks(ABC):
    """Sends requests to backend servers."""

    name: ClassVar[str]

    @abstractmethod
    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[BackendAnswer, AttemptFailure]:
        """Sends an attempt and returns the complete answer."""

    @abstractmethod
    async def probe(
        self, worker: WorkerRecord, probe: Probe
    ) -> Result[ProbeReply, Failure]:
        """Fences a backend server and returns the attempts that it runs."""

    async def close(self, worker: WorkerRecord) -> None:
        """Closes the connections to a backend server."""
        del worker
