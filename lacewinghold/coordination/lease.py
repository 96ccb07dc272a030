"""The store lease under which an entry instance acts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.ids import LeaseId, Revision
from lacewinghold.store.base import Delete, Put, Transaction
from lacewinghold.util.backoff import Backoff
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    import random

    from lacewinghold.coordination.keys import Keys
    from lacewinghold.schema.generated.records import InstanceRecord
    from lacewinghold.schema.generated.settings import LeaseSettings
    from lacewinghold.store.base import Store

logger = structlog.get_logger(__name__)
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 2.0


class InstanceLease:
    """Maintains a store lease and the instance's record under it.

    The lease is timed on the runtime's clock from before the call that renewed it,
    so that it ends here before it ends in the store.

    :param record: The record to write whenever a lease is opened.
    :param rng: Source of jitter.
    :ivar expires_at: End of the lease on the runtime's clock, less the margin.
    :ivar revision: Store revision of the record under the current lease.
    :ivar registered: The same revision; 0 once the lease is closed.
    :ivar generation: Number of leases opened so far.
    :ivar unsettled: A lease under which a write of the record may still take effect.
    """

    def __init__(
        self,
        store: Store,
        keys: Keys,
        settings: LeaseSettings,
        record: InstanceRecord,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.keys = keys
        self.settings = settings
        self.record = record
        self.lease: LeaseId | None = None
        self.unsettled: LeaseId | None = None
        self.expires_at = 0.0
        self.revision = Revision(0)
        self.registered = Revision(0)
        self.generation = 0
        self.last_contact = 0.0
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, rng)

    def valid(self) -> bool:
        """Returns whether the lease is certainly still valid."""
        return self.lease is not None and anyio.current_time() < self.expires_at

    def check(self) -> Result[None, Failure]:
        """Returns a failure if the lease has lapsed."""
        if self.valid():
            return Ok(None)
        return Err(Failure(ErrorKind.LEASE_LAPSED, "the store lease has lapsed"))

    async def run(self) -> None:
        """Opens and renews the lease until cancelled."""
        while True:
            renewed = await (self.open() if self.lease is None else self.renew())
            if renewed:
                self.backoff.reset()
                await anyio.sleep(self.next_renewal_s())
                continue
            await anyio.sleep(self.backoff.next_delay_s())

    def next_renewal_s(self) -> float:
        """Returns the seconds until the next renewal.

        A slow store leaves less of the lease and so makes the wait shorter.
        """
        remaining_s = max(0.0, self.expires_at - anyio.current_time())
        return min(self.settings.renew_s, remaining_s / 2)

    async def open(self) -> bool:
        """Opens a lease and writes the instance's record under it.

        :returns: Whether both succeeded.
        """
        if self.unsettled is not None and not await self.settle(self.unsettled):
            return False
        started = anyio.current_time()
        granted = await self.store.grant_lease(self.settings.ttl_s)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        instance, data = self.record.instance, to_json(self.record)
        puts: list[Put | Delete] = [
            Put(self.keys.instance(instance), data, lease),
            Put(self.keys.roster(instance), data),
        ]
        written = await self.store.commit(Transaction([], puts))
        if isinstance(written, Err):
            self.unsettled = lease
            return False
        self.registered = Revision(written.ok_value.revision)
        self.lease = lease
        self.revision = Revision(written.ok_value.revision)
        self.extend(started, self.settings.ttl_s)
        self.generation += 1
        logger.info(Event.LEASE_OPENED, lease=lease, generation=self.generation)
        return True

    async def settle(self, lease: LeaseId) -> bool:
        """Ends a lease, so that no late write can tie the record to it any more.

        :returns: Whether it has certainly ended.
        """
        if isinstance(await self.store.revoke_lease(lease), Err):
            remaining = await self.store.renew_lease(lease)
            if isinstance(remaining, Err) or remaining.ok_value > 0:
                return False
        self.unsettled = None
        return True

    async def renew(self) -> bool:
        """Renews the lease, or clears it if it has lapsed in the store.

        :returns: Whether the lease was renewed.
        """
        assert self.lease is not None
        started = anyio.current_time()
        renewed = await self.store.renew_lease(self.lease)
        if isinstance(renewed, Err):
            return False
        if renewed.ok_value <= 0:
            logger.warning(Event.LEASE_LAPSED, lease=self.lease)
            self.lease = None
            return False
        self.extend(started, renewed.ok_value)
        return True

    def extend(self, started: float, ttl_s: float) -> None:
        """Sets the end of the lease.

        :param started: Runtime's clock before the call that granted or renewed it.
        """
        self.last_contact = started
        self.expires_at = started + ttl_s - self.settings.margin_s

    async def close(self) -> None:
        """Revokes the lease, so that other instances need not wait for it to lapse."""
        if self.lease is None:
            return
        lease, self.lease = self.lease, None
        self.expires_at = 0.0
        self.registered = Revision(0)
        deletion = Delete(self.keys.roster(self.record.instance))
        await self.store.commit(Transaction([], [deletion]))
        await self.store.revoke_lease(lease)
