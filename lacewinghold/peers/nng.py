"""Transport over pynng: a push socket for each peer, and a receiver with limits."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pynng
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.peers.base import PeerTransport
from lacewinghold.peers.limits import PeerLimits, make_limits
from lacewinghold.peers.receiver import PeerReceiver, max_message_bytes

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId
    from lacewinghold.schema.generated.settings import Tls

logger = structlog.get_logger(__name__)
SEND_TIMEOUT_MS = 500
RECONNECT_FIRST_MS = 100
RECONNECT_LIMIT_MS = 2000
SEND_BUFFER_MESSAGES = 64


def client_tls_config(tls: Tls, host: str) -> pynng.TLSConfig:
    """Returns nng's TLS settings; both ends must present a certificate.

    :param host: IP address that the other end's certificate must be valid for.
    """
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=host,
        ca_string=Path(tls.authority).read_text(),
        own_key_string=Path(tls.key).read_text(),
        own_cert_string=Path(tls.certificate).read_text(),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


class NngTransport(PeerTransport):
    """Carries messages in nng's format over TCP, with TLS unless plaintext is allowed.

    Messages are sent without blocking where possible. An asynchronous operation of nng
    ends in a thread of nng, which then waits for the interpreter: on a machine with
    little CPU, messages would be late although the event loop is not.

    :param listen: IP address and port to listen on.
    :param tls: Certificate files, or ``None`` for plaintext.
    :param limits: Limits of the connections from peers.
    """

    name = "nng"

    def __init__(
        self, listen: str, tls: Tls | None = None, limits: PeerLimits | None = None
    ) -> None:
        self.scheme = "tcp" if tls is None else "tls+tcp"
        self.tls = tls
        limits = limits or make_limits(None)
        self.max_message_bytes = max_message_bytes(limits)
        self.receiver = PeerReceiver(listen, tls, limits)
        self.outbound: dict[InstanceId, pynng.Push0] = {}

    async def run(self) -> None:
        try:
            await self.receiver.run()
        finally:
            for socket in self.outbound.values():
                socket.close()

    async def receive(self) -> bytes | bytearray:
        return await self.receiver.receive()

    def confirm_sender(self) -> None:
        self.receiver.confirm_sender()

    def open(self, address: str) -> pynng.Push0:
        """Opens a socket to an address; it connects in the background."""
        socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_FIRST_MS,
            reconnect_time_max=RECONNECT_LIMIT_MS,
        )
        if self.tls is not None:
            host = address.rpartition(":")[0]
            socket.tls_config = client_tls_config(self.tls, host)
        socket.dial(f"{self.scheme}://{address}", block=False)
        return socket

    async def send(
        self, peer: InstanceId, address: str, message: bytes
    ) -> Result[None, Failure]:
        socket = self.outbound.get(peer)
        if socket is None:
            socket = self.open(address)
            self.outbound[peer] = socket
        try:
            try:
                socket.send(message, block=False)
            except pynng.TryAgain:
                await socket.asend(message)
        except pynng.NNGException as error:
            return Err(Failure(ErrorKind.UNREACHABLE, f"{peer}: {error}"))
        return Ok(None)

    async def close(self, peer: InstanceId) -> None:
        socket = self.outbound.pop(peer, None)
        if socket is not None:
            socket.close()
