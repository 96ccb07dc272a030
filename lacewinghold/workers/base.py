"""Interfaces to workers and to the platform's instance list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.schema.generated.worker import (
        Command,
        InstanceList,
        Report,
        WorkerRecord,
    )


class WorkerLink(ABC):
    """A connection to one worker."""

    name: ClassVar[str]

    @abstractmethod
    async def send(self, command: Command) -> Result[Report, Failure]:
        """Sends a batch of commands.

        :returns: The worker's state afterwards, or a failure: ``UNREACHABLE`` if the
            worker certainly did not receive the batch, else ``OUTCOME_UNKNOWN``.
        """

    @abstractmethod
    async def poll(self, after: int, wait_s: float) -> Result[Report, Failure]:
        """Waits for a report with a number above ``after``.

        :param wait_s: Maximum wait in seconds, after which the current report is
            returned.
        """

    async def close(self) -> None:  # noqa: B027
        """Closes the connection; the link must not be used afterwards."""


class WorkerLinks(ABC):
    """Opens links to workers."""

    name: ClassVar[str]

    @abstractmethod
    def open(self, record: WorkerRecord) -> WorkerLink:
        """Returns a link to a worker."""


class InstanceListSource(ABC):
    """The platform's list of live and leaving instances, which may be out of date."""

    name: ClassVar[str]

    @abstractmethod
    async def fetch(self) -> Result[InstanceList, Failure]:
        """Returns the current list."""
