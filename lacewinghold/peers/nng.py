"""Transport over pynng: one pull socket, one push socket for each peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pynng
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.peers.base import PeerTransport

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId

logger = structlog.get_logger(__name__)
SEND_TIMEOUT_MS = 500
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
SEND_BUFFER_MESSAGES = 64


class NngTransport(PeerTransport):
    """Messages over TCP by nng.

    :param listen: IP address and port to listen on.
    """

    name = "nng"

    def __init__(self, listen: str) -> None:
        self.listen = listen
        self.inbound = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        self.outbound: dict[InstanceId, pynng.Push0] = {}

    async def run(self) -> None:
        self.inbound.listen(f"tcp://{self.listen}")
        try:
            await anyio.sleep_forever()
        finally:
            self.inbound.close()
            for socket in self.outbound.values():
                socket.close()

    async def receive(self) -> bytes:
        while True:
            try:
                return bytes(await self.inbound.arecv())
            except pynng.Timeout:
                continue

    async def send(
        self, peer: InstanceId, address: str, message: bytes
    ) -> Result[None, Failure]:
        socket = self.outbound.get(peer)
        if socket is None:
            socket = pynng.Push0(
                send_timeout=SEND_TIMEOUT_MS, send_buffer_size=SEND_BUFFER_MESSAGES
            )
            socket.dial(f"tcp://{address}", block=False)
            self.outbound[peer] = socket
        try:
            await socket.asend(message)
        except pynng.NNGException as error:
            return Err(Failure(ErrorKind.UNREACHABLE, f"{peer}: {error}"))
        return Ok(None)
