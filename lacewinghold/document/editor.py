"""Edits of sections of the operators' document."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING, Any

import anyio
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.document.changes import ChangeList, ChangeLog, audit_record_name
from lacewinghold.document.checks import check_section, references
from lacewinghold.document.difference import Difference, differences, format_differences
from lacewinghold.document.rules import (
    CLOCK_MARGIN_S,
    longest_rule_lease_s,
    when_cut_off,
)
from lacewinghold.document.sections import CELL_SECTION, SECTION_NAME, check_body
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Revision, SectionName, TeamId
from lacewinghold.schema.generated.document import (
    CutOff,
    Section,
    SectionKind,
    TimingSection,
)
from lacewinghold.schema.generated.records import (
    AuditRecord,
    Change,
    RuleLeaseRecord,
    SectionRecord,
    WriteMarker,
)
from lacewinghold.store.base import Compare, CompareTarget, Delete, Put, Transaction
from lacewinghold.util.backoff import Backoff
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    import random

    from lacewinghold.coordination.keys import Keys
    from lacewinghold.document.sections import Document
    from lacewinghold.store.base import Store
    from lacewinghold.util.clock import WallClock

MAX_ATTEMPTS = 8
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
MAX_COMMENT_CHARS = 1000
RETRIED_KINDS = frozenset(
    {ErrorKind.NOT_RUN, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE}
)


class Edit(Struct, frozen=True):
    """A change requested by an author.

    :param expected: The revision that the change is based on; 0 for a new section.
    :param operator: Whether the author may change sections of other teams.
    :param owner: The owning team, or ``None`` to keep the present one.
    :param write: Idempotency id: a repeat with the same id has no effect.
    :param action: Name of the action in the audit trail.
    """

    section: SectionName
    kind: SectionKind
    body: Any
    expected: Revision
    author: TeamId
    operator: bool = False
    owner: TeamId | None = None
    comment: str = ""
    write: str = ""
    action: str = "edit"

    def digest(self) -> str:
        """Returns a hash that differs between distinct changes under one write id."""
        hashed = [self.kind, self.body, self.expected, self.owner, self.action]
        return hashlib.sha256(to_json(hashed)).hexdigest()[:32]


class Accepted(Struct, frozen=True):
    """The result of an accepted change.

    :param repeated: Whether an earlier call already made the change.
    """

    section: SectionName
    revision: Revision
    number: int
    repeated: bool = False


class Preview(Struct, frozen=True):
    """The effect of a change, computed without making it."""

    section: SectionName
    differences: list[Difference]


class Editor:
    """Writes sections by compare-and-swap, each with its audit record.

    A change, its audit record and its entry in the section's change index are
    written in one transaction. After a lost reply, the index therefore shows
    whether the change was made, even if the section has been changed again.

    :param document: This instance's latest copy of the document.
    """

    def __init__(
        self,
        store: Store,
        keys: Keys,
        clock: WallClock,
        document: Document,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.keys = keys
        self.clock = clock
        self.document = document
        self.rng = rng
        self.log = ChangeLog(store, keys)

    async def edit(self, edit: Edit) -> Result[Accepted, Failure]:
        """Replaces a section's body.

        :returns: ``PRECONDITION_FAILED`` with the differences if another author
            changed the section; ``OUTCOME_UNKNOWN`` only if the store could not
            be read again in time. Repeating the edit with the same write id is
            safe and resolves the outcome.
        """
        if not edit.write:
            # The id identifies the write in the change index after a lost reply.
            fields = {name: getattr(edit, name) for name in edit.__struct_fields__}
            edit = Edit(**{**fields, "write": secrets.token_hex(16)})
        backoff = Backoff(RETRY_FIRST_S, RETRY_LIMIT_S, self.rng)
        unknown: Failure | None = None
        failure = Failure(ErrorKind.INTERNAL, "no attempt")
        for _ in range(MAX_ATTEMPTS):
            result = await self.attempt(edit)
            if isinstance(result, Ok):
                return result
            failure = result.err_value
            if failure.kind not in RETRIED_KINDS:
                return result
            if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
                unknown = failure
            await anyio.sleep(backoff.next_delay_s())
        return Err(unknown or failure)

    async def preview(self, edit: Edit) -> Result[Preview, Failure]:
        """Checks a change and returns its effect, without making it."""
        read = await self.log.read(edit.section)
        if isinstance(read, Err):
            return Err(read.err_value)
        checked = await self.check(edit, read.ok_value)
        if isinstance(checked, Err):
            return Err(checked.err_value)
        old = self.document.section(edit.section)
        before = {} if old is None else old.body
        return Ok(Preview(edit.section, differences(before, edit.body)))

    async def attempt(self, edit: Edit) -> Result[Accepted, Failure]:
        """Makes one attempt; a later attempt takes effect only if this one did not."""
        read = await self.log.read(edit.section)
        if isinstance(read, Err):
            return Err(read.err_value)
        known = read.ok_value
        seen = self.document.view.highest_revision()
        if known.read_revision < seen or self.document.view.regressed:
            detail = (
                f"the store is at an older revision than {seen}, which it had reached"
            )
            return Err(Failure(ErrorKind.STORE_REGRESSED, detail))
        earlier = known.by_write(edit.write)
        if earlier is not None:
            return self.repeat(edit, earlier)
        checked = await self.check(edit, known)
        if isinstance(checked, Err):
            return Err(checked.err_value)
        transaction, change = self.prepare(edit, checked.ok_value, known)
        written = await self.store.commit(transaction)
        if isinstance(written, Err):
            return Err(written.err_value)
        if not written.ok_value.succeeded:
            return Err(
                Failure(ErrorKind.NOT_RUN, "the document was changed concurrently")
            )
        revision = Revision(written.ok_value.revision)
        return Ok(Accepted(edit.section, revision, change.number))

    def repeat(self, edit: Edit, earlier: Change) -> Result[Accepted, Failure]:
        """Returns the result of a write that an earlier call made.

        :returns: ``CONFLICT`` if the earlier write was a different change.
        """
        if earlier.digest != edit.digest():
            detail = "another change was made under this Idempotency-Key"
            return Err(Failure(ErrorKind.CONFLICT, detail, "Idempotency-Key"))
        return Ok(Accepted(edit.section, earlier.revision, earlier.number, True))

    async def check(self, edit: Edit, known: ChangeList) -> Result[Section, Failure]:
        """Checks an edit's author, expected revision and body.

        :returns: The new state of the section.
        """
        if len(edit.comment) > MAX_COMMENT_CHARS:
            detail = f"at most {MAX_COMMENT_CHARS} characters"
            return Err(Failure(ErrorKind.INVALID, detail, "$.comment"))
        if SECTION_NAME.fullmatch(edit.section) is None:
            detail = f"a section's name has the form {SECTION_NAME.pattern}"
            return Err(Failure(ErrorKind.INVALID, detail, "$.name"))
        if not self.document.view.loaded.is_set():
            detail = "the document is not loaded yet"
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        old = self.document.section(edit.section)
        seen = Revision(0) if old is None else old.revision
        if max(seen, known.revision) > edit.expected:
            return Err(await self.describe_conflict(edit, known))
        if seen < edit.expected:
            detail = (
                f"revision {edit.expected} of {edit.section} has not arrived here yet"
            )
            return Err(Failure(ErrorKind.NOT_RUN, detail))
        if old is not None and not edit.operator and old.owner != edit.author:
            detail = f"section {edit.section} belongs to {old.owner}"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        owner = edit.owner or (edit.author if old is None else old.owner)
        if owner != edit.author and not edit.operator:
            detail = f"only an operator can name {owner} as owner"
            return Err(Failure(ErrorKind.FORBIDDEN, detail, "$.owner"))
        body_checked = check_body(edit.kind, edit.body)
        if isinstance(body_checked, Err):
            return Err(body_checked.err_value)
        section = Section(
            name=edit.section,
            kind=edit.kind,
            owner=owner,
            revision=edit.expected,
            body=edit.body,
        )
        others = [s for s in self.document.sections() if s.name != edit.section]
        checked = check_section(section, others)
        if isinstance(checked, Err):
            return Err(checked.err_value)
        return Ok(section)

    def prepare(
        self, edit: Edit, section: Section, known: ChangeList
    ) -> tuple[Transaction, Change]:
        """Returns the transaction that makes a checked change."""
        now = self.clock.now()
        old = self.document.section(edit.section)
        operations: list[Put | Delete] = []
        if not known.changes and old is not None:
            known = self.start_history(old, known, operations)
        number = known.changes[-1].number + 1 if known.changes else 1
        change = Change(
            number=number,
            write=edit.write,
            digest=edit.digest(),
            author=edit.author,
            at=now,
            action=edit.action,
            comment=edit.comment,
            refuses=when_cut_off(edit.body) is CutOff.REFUSE,
        )
        record = SectionRecord(
            kind=section.kind,
            owner=section.owner,
            body=section.body,
            author=edit.author,
            comment=edit.comment,
            write=edit.write,
            at=now,
            number=number,
        )
        audit = AuditRecord(
            at=now,
            actor=edit.author,
            action=edit.action,
            subject=edit.section,
            detail=edit.comment,
        )
        key = self.keys.section(edit.section)
        operations += [
            Put(key, to_json(record)),
            Put(self.keys.audit(audit_record_name(change)), to_json(audit)),
            *self.log.extend(edit.section, known, change, record),
        ]
        marker = to_json(WriteMarker(write=edit.write))
        operations.append(Put(self.keys.version, marker))
        if old is None or references(old) != references(section):
            operations.append(Put(self.keys.references, marker))
        if section.kind is SectionKind.TIMING:
            operations.append(self.put_rule_lease(section, now))
        compares = [
            Compare(key, CompareTarget.MOD_REVISION, edit.expected),
            self.log.unchanged_condition(edit.section, known),
            self.reference_condition(section),
        ]
        return Transaction(compares, operations), change

    def put_rule_lease(self, section: Section, now: float) -> Put:
        """Returns the operation that records the longest rule lease in use.

        Instances that have not received a shortened rule lease yet still rely on
        the longer one.
        """
        new_lease_s = from_json(to_json(section.body), TimingSection).rule_lease_s
        longest_s = max(new_lease_s, longest_rule_lease_s(self.document, now))
        record = RuleLeaseRecord(
            longest_s=longest_s, until=now + longest_s + CLOCK_MARGIN_S
        )
        return Put(self.keys.rule_lease, to_json(record))

    def start_history(
        self, old: Section, known: ChangeList, operations: list[Put | Delete]
    ) -> ChangeList:
        """Adds the first history entry of a section that has no history yet."""
        record = SectionRecord(kind=old.kind, owner=old.owner, body=old.body)
        operations.append(self.log.put_body(old.name, 0, record))
        first = Change(
            number=0,
            write="",
            digest="",
            author=old.owner,
            at=0.0,
            revision=old.revision,
            action="load",
            refuses=when_cut_off(old.body) is CutOff.REFUSE,
        )
        return ChangeList(known.mod_revision, [first])

    def reference_condition(self, section: Section) -> Compare:
        """Returns the condition that the sections checked against are unchanged."""
        if section.name == CELL_SECTION:
            key = self.keys.references
        else:
            key = self.keys.section(CELL_SECTION)
        item = self.document.view.items.get(key)
        revision = 0 if item is None else item.mod_revision
        return Compare(key, CompareTarget.MOD_REVISION, revision)

    async def describe_conflict(self, edit: Edit, known: ChangeList) -> Failure:
        """Returns a ``PRECONDITION_FAILED`` failure that describes the newer change."""
        name = edit.section
        text = f"section {name} is no longer at revision {edit.expected}"
        if not known.changes:
            return Failure(ErrorKind.PRECONDITION_FAILED, text)
        last = known.changes[-1]
        text += f"; {last.author} made revision {last.revision}"
        if last.comment:
            text += f" ({last.comment})"
        seen = known.by_revision(edit.expected)
        if seen is not None:
            compared = await self.compare(name, seen, last)
            if isinstance(compared, Ok):
                text += f": {format_differences(compared.ok_value)}"
        return Failure(ErrorKind.PRECONDITION_FAILED, text)

    async def compare(
        self, section: SectionName, before: Change, after: Change
    ) -> Result[list[Difference], Failure]:
        """Returns the differences between a section's bodies after two changes."""
        old = await self.log.body(section, before)
        if isinstance(old, Err):
            return Err(old.err_value)
        new = await self.log.body(section, after)
        if isinstance(new, Err):
            return Err(new.err_value)
        return Ok(differences(old.ok_value.body, new.ok_value.body))

    async def audit(self) -> Result[list[AuditRecord], Failure]:
        """Returns the audit trail, oldest first."""
        reply = await self.store.range(self.keys.audits, prefix=True)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        items = reply.ok_value.items
        records = [from_json(item.value, AuditRecord) for item in items]
        return Ok(sorted(records, key=lambda record: record.at))
