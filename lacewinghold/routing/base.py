"""Interface to backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

from msgspec import Struct

if TYPE_CHECKING:
    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.ids import RequestId, ServiceId
    from lacewinghold.schema.generated.worker import WorkerRecord


class BackendRequest(Struct, frozen=True):
    """One request as a backend server gets it."""

    request: RequestId
    service: ServiceId
    method: str
    path: str
    body: bytes
    repeatable: bool


class BackendAnswer(Struct, frozen=True):
    """A whole answer, with the id of the request that it belongs to."""

    request: RequestId
    status: int
    body: bytes


class BackendLinks(ABC):
    """Sends requests to backend servers."""

    name: ClassVar[str]

    @abstractmethod
    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[BackendAnswer, Failure]:
        """Sends a request and waits for the whole answer.

        :returns: The answer, or a failure: ``NOT_RUN`` if the request surely did
            not reach the backend server, else ``OUTCOME_UNKNOWN``.
        """
