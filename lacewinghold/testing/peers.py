"""An in-memory network between entry instances, with cuts and latency."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import RegionId
from lacewinghold.peers.base import PeerTransport
from lacewinghold.peers.links import PeerLinks
from lacewinghold.testing.gate import Gate
from lacewinghold.util.codec import pack

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from lacewinghold.ids import InstanceId
    from lacewinghold.schema.generated.messages import Envelope

INBOX_MESSAGES = 10_000


class InFlightMessage(Struct, frozen=True):
    """A message in flight."""

    due: float
    peer: InstanceId
    message: bytes


class MemoryNetwork(Struct):
    """The network that all transports of a test share.

    :param latency_s: Returns the one-link latency between two instances.
    :param lossy_links: Ordered pairs whose current connection loses all messages.
    :param cut: Ordered pairs that cannot send to each other.
    """

    latency_s: Callable[[InstanceId, InstanceId], float]
    nodes: dict[InstanceId, MemoryTransport] = field(default_factory=dict)
    addresses: dict[str, InstanceId] = field(default_factory=dict)
    lossy_links: set[tuple[InstanceId, InstanceId]] = field(default_factory=set)
    cut: set[tuple[InstanceId, InstanceId]] = field(default_factory=set)
    regions: dict[InstanceId, RegionId] = field(default_factory=dict)
    bytes_between_regions: Counter[tuple[RegionId, RegionId]] = field(
        default_factory=Counter
    )

    def replace(self, earlier: InstanceId, later: InstanceId) -> None:
        """Gives the address of a process that has ended to another one."""
        del self.nodes[earlier]
        self.addresses[earlier] = later

    def start(self, process: InstanceId, tasks: TaskGroup) -> PeerLinks:
        """Starts the links of a process, which takes every name for a peer's."""
        transport = MemoryTransport(self, process, RegionId("r1"))
        links = PeerLinks(process, transport, lambda peer: "memory")
        tasks.start_soon(links.run)
        return links

    def deliver(self, process: InstanceId, envelope: Envelope) -> None:
        """Delivers a message at once, as it is."""
        self.nodes[process].sender.send_nowait(pack(envelope))

    def count(self, sender: InstanceId, receiver: InstanceId, size: int) -> None:
        """Counts the bytes that cross between regions."""
        pair = (self.regions[sender], self.regions[receiver])
        if pair[0] != pair[1]:
            self.bytes_between_regions[pair] += size


class MemoryTransport(PeerTransport):
    """One instance's end of the network."""

    name = "memory"

    def __init__(
        self,
        network: MemoryNetwork,
        instance: InstanceId,
        region: RegionId,
        gate: Gate | None = None,
    ) -> None:
        self.network = network
        self.gate = gate or Gate()
        self.instance = instance
        self.sender, self.inbox = anyio.create_memory_object_stream[bytes](
            INBOX_MESSAGES
        )
        self.outbox_sender, self.outbox = anyio.create_memory_object_stream[
            InFlightMessage
        ](INBOX_MESSAGES)
        network.nodes[instance] = self
        network.regions[instance] = region

    async def run(self) -> None:
        """Delivers what this instance sent, each message after its latency."""
        async with anyio.create_task_group() as tasks:
            async for in_flight in self.outbox:
                tasks.start_soon(self.deliver, in_flight)

    async def deliver(self, in_flight: InFlightMessage) -> None:
        """Delivers a message unless the link is cut or lossy on arrival."""
        await anyio.sleep_until(in_flight.due)
        peer = in_flight.peer
        target = self.network.nodes.get(peer)
        link = (self.instance, peer)
        if target is None or link in self.network.cut | self.network.lossy_links:
            return
        self.network.count(self.instance, peer, len(in_flight.message))
        try:
            target.sender.send_nowait(in_flight.message)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            return

    async def receive(self) -> bytes:
        message = await self.inbox.receive()
        await self.gate.pass_through()
        return message

    def confirm_sender(self) -> None:
        """Does nothing: this transport has no strangers."""

    async def send(
        self, peer: InstanceId, address: str, message: bytes
    ) -> Result[None, Failure]:
        del address
        # A peer whose id is not known yet is named by its address.
        peer = self.network.addresses.get(peer, peer)
        await self.gate.pass_through()
        if peer not in self.network.nodes:
            return Err(Failure(ErrorKind.UNREACHABLE, f"{peer} is down"))
        latency_s = self.network.latency_s(self.instance, peer)
        due = anyio.current_time() + latency_s
        self.outbox_sender.send_nowait(InFlightMessage(due, peer, message))
        return Ok(None)

    async def close(self, peer: InstanceId) -> None:
        self.network.lossy_links.discard((self.instance, peer))
