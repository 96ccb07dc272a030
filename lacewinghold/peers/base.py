"""Interface of the transport between entry instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.ids import InstanceId


MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class PeerTransport(ABC):
    """Carries complete messages between entry instances; messages may be lost."""

    name: ClassVar[str]
    max_message_bytes = MAX_MESSAGE_BYTES  # Also of a decompressed one.

    @abstractmethod
    async def run(self) -> None:
        """Receives messages until cancelled."""

    @abstractmethod
    async def receive(self) -> bytes | bytearray:
        """Returns the next message for this instance.

        The message before has been handled by then.
        """

    @abstractmethod
    def confirm_sender(self) -> None:
        """Records that the last received message came from a known instance."""

    @abstractmethod
    async def send(
        self, peer: InstanceId, address: str, message: bytes
    ) -> Result[None, Failure]:
        """Sends a message; ``Ok`` does not mean that it arrived.

        :param address: IP address and port of the peer.
        """

    @abstractmethod
    async def close(self, peer: InstanceId) -> None:
        """Closes the connection to a peer; the next message opens a new one."""
