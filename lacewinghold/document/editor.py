"""Changes to sections of the operators' document."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from lacewinghold.document.sections import check_body
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Revision
from lacewinghold.schema.generated.records import AuditRecord, SectionRecord
from lacewinghold.store.base import Compare, CompareTarget, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.keys import Keys
    from lacewinghold.ids import SectionName, TeamId
    from lacewinghold.schema.generated.document import SectionKind
    from lacewinghold.store.base import Store
    from lacewinghold.util.clock import WallClock


class Editor:
    """Writes sections by compare-and-swap, each with its audit record."""

    def __init__(self, store: Store, keys: Keys, clock: WallClock) -> None:
        self.store = store
        self.keys = keys
        self.clock = clock

    async def edit(
        self,
        name: SectionName,
        kind: SectionKind,
        owner: TeamId,
        body: Any,
        expected: Revision,
        author: TeamId,
        comment: str = "",
    ) -> Result[Revision, Failure]:
        """Replaces a section's body.

        :param expected: The revision that the author saw; 0 for a new section.
        :returns: The new revision; ``PRECONDITION_FAILED`` if somebody else
            changed the section meanwhile.
        """
        checked = check_body(kind, body)
        if isinstance(checked, Err):
            return Err(checked.err_value)
        write = secrets.token_hex(8)
        at = self.clock.now()
        record = SectionRecord(
            kind=kind,
            owner=owner,
            body=body,
            author=author,
            comment=comment,
            write=write,
            at=at,
        )
        audit = AuditRecord(
            at=at, actor=author, action="edit", subject=name, detail=comment
        )
        key = self.keys.section(name)
        transaction = Transaction(
            [Compare(key, CompareTarget.MOD_REVISION, expected)],
            [
                Put(key, to_json(record)),
                Put(self.keys.audit(f"{at:017.6f}-{write}"), to_json(audit)),
            ],
        )
        written = await self.store.commit(transaction)
        if isinstance(written, Err):
            return await self.settle(key, write, written.err_value)
        if not written.ok_value.succeeded:
            detail = f"section {name} is no longer at revision {expected}"
            return Err(Failure(ErrorKind.PRECONDITION_FAILED, detail))
        return Ok(Revision(written.ok_value.revision))

    async def settle(
        self, key: str, write: str, failure: Failure
    ) -> Result[Revision, Failure]:
        """Reads back whether a write with a lost reply took effect."""
        if failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
            return Err(failure)
        reply = await self.store.range(key)
        if isinstance(reply, Err):
            return Err(failure)
        for item in reply.ok_value.items:
            if from_json(item.value, SectionRecord).write == write:
                return Ok(Revision(item.mod_revision))
        return Err(failure)

    async def audit(self) -> Result[list[AuditRecord], Failure]:
        """Returns the audit trail, oldest first."""
        reply = await self.store.range(self.keys.audits, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        items = reply.ok_value.items
        records = [from_json(item.value, AuditRecord) for item in items]
        return Ok(sorted(records, key=lambda record: record.at))
