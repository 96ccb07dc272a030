"""The bounded log of a section's latest changes in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import zstandard
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Revision, SectionName
from lacewinghold.schema.generated.records import (
    Change,
    ChangeIndex,
    SectionRecord,
)
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.keys import Keys
    from lacewinghold.store.base import Store

MAX_CHANGES = 100
MAX_BODIES = 20
COMPRESSION_LEVEL = 3
MAX_BODY_BYTES = 4 * 1024 * 1024


def audit_record_name(change: Change) -> str:
    """Returns the name of the audit record of a change."""
    return f"{change.at:017.6f}-{change.write}"


class ChangeList(Struct, frozen=True):
    """The latest changes of a section, as of one read from the store.

    :param mod_revision: Store revision of the index; 0 if there is none.
    :param read_revision: Store revision of the read.
    :param changes: Oldest first.
    """

    mod_revision: int
    changes: list[Change]
    read_revision: int = 0

    @property
    def revision(self) -> Revision:
        """Returns the section's revision after the latest change."""
        return Revision(self.mod_revision)

    def by_write(self, write: str) -> Change | None:
        """Returns the change with a write id, or ``None`` if it is not in the log."""
        for change in self.changes:
            if change.write == write:
                return change
        return None

    def by_revision(self, revision: Revision) -> Change | None:
        """Returns the change that created a revision, or ``None`` if not in the log."""
        for change in self.changes:
            if change.revision == revision:
                return change
        return None


class ChangeLog:
    """Reads and extends the change logs of sections."""

    def __init__(self, store: Store, keys: Keys) -> None:
        self.store = store
        self.keys = keys

    async def read(self, section: SectionName) -> Result[ChangeList, Failure]:
        """Reads the latest changes of a section from the store."""
        reply = await self.store.range(self.keys.changes(section))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if not reply.ok_value.items:
            return Ok(ChangeList(0, [], reply.ok_value.revision))
        item = reply.ok_value.items[0]
        changes = from_json(item.value, ChangeIndex).changes
        changes[-1].revision = Revision(item.mod_revision)
        return Ok(ChangeList(item.mod_revision, changes, reply.ok_value.revision))

    async def body(
        self, section: SectionName, change: Change
    ) -> Result[SectionRecord, Failure]:
        """Reads the state of a section after a change."""
        reply = await self.store.range(self.keys.history(section, change.number))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if not reply.ok_value.items:
            detail = f"only the last {MAX_BODIES} bodies of {section} are kept"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        return Ok(unpack_record(reply.ok_value.items[0].value))

    def unchanged_condition(self, section: SectionName, known: ChangeList) -> Compare:
        """Returns the condition that the section has not changed since the read."""
        key = self.keys.changes(section)
        return Compare(key, CompareTarget.MOD_REVISION, known.mod_revision)

    def extend(
        self,
        section: SectionName,
        known: ChangeList,
        change: Change,
        record: SectionRecord,
    ) -> list[Put | Delete]:
        """Returns the operations that add a change and delete the oldest ones."""
        changes = [*known.changes, change]
        operations: list[Put | Delete] = [
            self.put_body(section, change.number, record),
        ]
        for dropped in changes[:-MAX_CHANGES]:
            operations.append(Delete(self.keys.audit(audit_record_name(dropped))))
        oldest = change.number - MAX_BODIES
        if oldest >= 0:
            operations.append(Delete(self.keys.history(section, oldest)))
        index = ChangeIndex(changes=changes[-MAX_CHANGES:])
        operations.append(Put(self.keys.changes(section), to_json(index)))
        return operations

    def put_body(self, section: SectionName, number: int, record: SectionRecord) -> Put:
        """Returns the operation that stores a section's body, compressed."""
        packed = zstandard.compress(to_json(record), COMPRESSION_LEVEL)
        return Put(self.keys.history(section, number), packed)


def unpack_record(data: bytes) -> SectionRecord:
    """Decompresses and decodes a section record."""
    text = zstandard.ZstdDecompressor().decompress(data, MAX_BODY_BYTES)
    return from_json(text, SectionRecord)
