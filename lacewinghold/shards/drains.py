"""Workers that operators have drained, which get no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.coordination.audit import DRAIN_RING_SIZE, ring_put
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import WorkerId
from lacewinghold.schema.generated.records import AuditRecord, DrainRecord
from lacewinghold.store.base import Compare, CompareTarget, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.view import LiveView
    from lacewinghold.store.base import Store
    from lacewinghold.util.clock import WallClock

MAX_ATTEMPTS = 4


class Drains:
    """Drained workers, recorded in the store and applied by every owner.

    :param view: The watched copy of the live keys.
    """

    def __init__(self, store: Store, view: LiveView, clock: WallClock) -> None:
        self.store = store
        self.view = view
        self.keys = view.keys
        self.clock = clock

    def changed_by(self, changed: set[str]) -> bool:
        """Returns whether changed keys include a drain record."""
        return any(key.startswith(self.keys.drains) for key in changed)

    def current(self) -> frozenset[WorkerId]:
        """Returns the drained workers."""
        found = []
        for key, item in self.view.items.items():
            if not key.startswith(self.keys.drains):
                continue
            if from_json(item.value, DrainRecord).drained:
                found.append(WorkerId(key.removeprefix(self.keys.drains)))
        return frozenset(found)

    async def change(
        self, worker: WorkerId, actor: str, *, drained: bool, comment: str = ""
    ) -> Result[DrainRecord, Failure]:
        """Drains a worker or makes it available again.

        The change is idempotent: after a lost reply, the next read of the record
        shows whether it was made.

        :param actor: The requester's name, for the audit trail.
        """
        key = self.keys.drain(worker)
        failure = Failure(
            ErrorKind.CONFLICT, f"{worker} is being changed by another request"
        )
        for _ in range(MAX_ATTEMPTS):
            reply = await self.store.range(key)
            if isinstance(reply, Err):
                return Err(reply.err_value)
            number = revision = 0
            for item in reply.ok_value.items:
                known = from_json(item.value, DrainRecord)
                if known.drained is drained:
                    return Ok(known)
                number, revision = known.change + 1, item.mod_revision
            record = DrainRecord(
                drained=drained,
                actor=actor,
                at=self.clock.now(),
                change=number,
                comment=comment,
            )
            written = await self.store.commit(self.write(worker, record, revision))
            if isinstance(written, Err):
                failure = written.err_value
                continue
            if written.ok_value.succeeded:
                return Ok(record)
        return Err(failure)

    def write(
        self, worker: WorkerId, record: DrainRecord, revision: int
    ) -> Transaction:
        """Returns the transaction that writes a drain and its audit record."""
        key = self.keys.drain(worker)
        audit = AuditRecord(
            at=record.at,
            actor=record.actor,
            action="drain" if record.drained else "undrain",
            subject=worker,
            detail=record.comment,
        )
        return Transaction(
            [Compare(key, CompareTarget.MOD_REVISION, revision)],
            [
                Put(key, to_json(record)),
                ring_put(
                    self.keys, f"drain-{worker}", record.change, DRAIN_RING_SIZE, audit
                ),
            ],
        )
