"""Interface to backend servers."""

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
    """One attempt of a request as a backend server gets it.

    :param epoch: Epoch of the sending owner; a lower one than the server has
        seen is refused.
    :param incarnation: Incarnation of the server that the owner has fenced.
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
    """A whole answer, with the id of the attempt that it belongs to."""

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
        """Sends an attempt and waits for the whole answer."""

    @abstractmethod
    async def probe(
        self, worker: WorkerRecord, probe: Probe
    ) -> Result[ProbeReply, Failure]:
        """Fences a backend server and asks what runs there."""

    async def close(self, worker: WorkerRecord) -> None:
        """Closes the connections to a backend server."""
        del worker
