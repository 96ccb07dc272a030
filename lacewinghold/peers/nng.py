"""Transport over pynng: one pull socket, one push socket for each peer."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import pynng
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.peers.base import PeerTransport
from lacewinghold.util.http_limits import REFUSED_PEERS

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId
    from lacewinghold.schema.generated.settings import Tls

logger = structlog.get_logger(__name__)
SEND_TIMEOUT_MS = 500
RECONNECT_FIRST_MS = 100
RECONNECT_LIMIT_MS = 2000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
SEND_BUFFER_MESSAGES = 64
# Each peer opens one. An abandoned one stays until the system notices its end.
MAX_PEER_CONNECTIONS = 512
MAX_MESSAGES_PER_TURN = 16  # Keeps a turn of the event loop to a few milliseconds.


def tls_config(tls: Tls, mode: int, host: str | None = None) -> pynng.TLSConfig:
    """Returns nng's TLS settings; both ends must present a certificate.

    :param host: IP address that the other end's certificate must be valid for.
    """
    return pynng.TLSConfig(
        mode,
        server_name=host,
        ca_string=Path(tls.authority).read_text(),
        own_key_string=Path(tls.key).read_text(),
        own_cert_string=Path(tls.certificate).read_text(),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


class NngTransport(PeerTransport):
    """Carries messages with nng over TCP, with TLS unless plaintext is allowed.

    Messages are sent and received without blocking where possible. An asynchronous
    operation of nng ends in a thread of nng, which then waits for the interpreter: on
    a machine with little CPU, messages would be late although the event loop is not.

    :param listen: IP address and port to listen on.
    :param tls: Certificate files, or ``None`` for plaintext.
    :param max_connections: Maximum number of connections from peers; further ones are
        closed.
    """

    name = "nng"

    def __init__(
        self,
        listen: str,
        tls: Tls | None = None,
        max_connections: int = MAX_PEER_CONNECTIONS,
    ) -> None:
        self.listen = listen
        self.scheme = "tcp" if tls is None else "tls+tcp"
        self.tls = tls
        self.inbound = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        self.max_connections = max_connections
        self.inbound.add_pre_pipe_connect_cb(self.check_connection)
        self.messages_in_turn = 0
        self.outbound: dict[InstanceId, pynng.Push0] = {}
        if tls is not None:
            self.inbound.tls_config = tls_config(tls, pynng.TLSConfig.MODE_SERVER)

    def check_connection(self, pipe: pynng.Pipe) -> None:
        """Closes a new connection beyond the limit; called in a thread of nng."""
        if len(self.inbound.pipes) >= self.max_connections:
            REFUSED_PEERS.inc()
            pipe.close()

    async def run(self) -> None:
        self.inbound.listen(f"{self.scheme}://{self.listen}")
        try:
            await anyio.sleep_forever()
        finally:
            self.inbound.close()
            for socket in self.outbound.values():
                socket.close()

    async def receive(self) -> bytes:
        while True:
            if self.messages_in_turn >= MAX_MESSAGES_PER_TURN:
                self.messages_in_turn = 0
                await anyio.sleep(0)
            try:
                try:
                    message = bytes(self.inbound.recv(block=False))
                except pynng.TryAgain:
                    self.messages_in_turn = 0
                    await anyio.wait_readable(self.inbound.recv_fd)
                    continue
            except pynng.Closed:
                # The transport is being closed; its receiver is cancelled next.
                await anyio.sleep_forever()
            self.messages_in_turn += 1
            return message

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
            socket.tls_config = tls_config(self.tls, pynng.TLSConfig.MODE_CLIENT, host)
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
