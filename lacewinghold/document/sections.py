"""Reading and checking sections of the operators' document."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import Revision, SectionName, TeamId
from lacewinghold.schema.generated.document import (
    CellSection,
    PlacementSection,
    Role,
    Section,
    SectionKind,
    TeamSection,
    TimingSection,
)
from lacewinghold.schema.generated.records import SectionRecord
from lacewinghold.util.bearer import hash_key
from lacewinghold.util.codec import from_json, parse_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.view import LiveView
    from lacewinghold.store.base import KeyValue

BODY_TYPES: dict[SectionKind, Any] = {
    SectionKind.CELL: CellSection,
    SectionKind.TEAM: TeamSection,
    SectionKind.TIMING: TimingSection,
    SectionKind.PLACEMENT: PlacementSection,
}
CELL_SECTION = SectionName("cell")
TIMING_SECTION = SectionName("timing")
PLACEMENT_SECTION = SectionName("placement")
MAX_SECTION_BYTES = 1_000_000
MAX_CACHED_BYTES = 64 * 1024
SECTION_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


def check_body(kind: SectionKind, body: Any) -> Result[None, Failure]:
    """Checks a section's body against the schema of its kind.

    :returns: ``Ok``, or a failure whose field is the JSON path of the invalid value.
    """
    data = to_json(body)
    if len(data) > MAX_SECTION_BYTES:
        detail = f"the section has {len(data)} bytes; at most {MAX_SECTION_BYTES}"
        return Err(Failure(ErrorKind.TOO_LARGE, detail, "$.body"))
    parsed = parse_json(data, BODY_TYPES[kind], "$.body")
    if isinstance(parsed, Err):
        return Err(parsed.err_value)
    return Ok(None)


class Document:
    """This instance's latest copy of the document.

    :param view: The watched live keys of the store.
    """

    def __init__(self, view: LiveView) -> None:
        self.view = view
        self.parsed: dict[str, Section] = {}
        self.cell_revision = Revision(0)
        self.cell_body = CellSection(teams={})
        self.timing_revision = Revision(0)
        self.timing_body = TimingSection()
        self.placement_revision = Revision(0)
        self.placement_body = PlacementSection()

    def section(self, name: SectionName) -> Section | None:
        """Returns a section, or ``None`` if it does not exist."""
        item = self.view.items.get(self.view.keys.section(name))
        return None if item is None else self.to_section(item)

    def sections(self) -> list[Section]:
        """Returns all sections, sorted by name."""
        prefix = self.view.keys.sections
        found = []
        for key in sorted(self.view.items):
            if key.startswith(prefix):
                found.append(self.to_section(self.view.items[key]))
        return found

    def to_section(self, item: KeyValue) -> Section:
        """Returns the section in a store item, from the cache if possible."""
        cached = self.parsed.get(item.key)
        if cached is not None and cached.revision == item.mod_revision:
            return cached
        section = self.parse(item)
        if len(item.value) <= MAX_CACHED_BYTES:
            self.parsed[item.key] = section
        return section

    def parse(self, item: KeyValue) -> Section:
        """Decodes a stored section."""
        record = from_json(item.value, SectionRecord)
        return Section(
            name=SectionName(item.key.removeprefix(self.view.keys.sections)),
            kind=SectionKind(record.kind),
            owner=record.owner,
            revision=Revision(item.mod_revision),
            body=record.body,
        )

    def cell(self) -> CellSection:
        """Returns the cell section; one without teams if it does not exist."""
        section = self.section(CELL_SECTION)
        if section is None:
            return CellSection(teams={})
        if self.cell_revision != section.revision:
            self.cell_revision = section.revision
            self.cell_body = from_json(to_json(section.body), CellSection)
        return self.cell_body

    def timing(self) -> TimingSection:
        """Returns the timing section; defaults if it does not exist."""
        section = self.section(TIMING_SECTION)
        if section is None:
            return self.timing_body
        if self.timing_revision != section.revision:
            self.timing_revision = section.revision
            self.timing_body = from_json(to_json(section.body), TimingSection)
        return self.timing_body

    def placement(self) -> PlacementSection:
        """Returns the placement section; defaults if it does not exist."""
        section = self.section(PLACEMENT_SECTION)
        if section is None or section.kind is not SectionKind.PLACEMENT:
            return PlacementSection()
        if self.placement_revision != section.revision:
            self.placement_revision = section.revision
            self.placement_body = from_json(to_json(section.body), PlacementSection)
        return self.placement_body

    def team_of_key(self, key: str) -> tuple[TeamId, Role] | None:
        """Returns the team of a bearer key and its role, or ``None`` if unknown."""
        digest = hash_key(key)
        for team_id, team in self.cell().teams.items():
            if any(known.sha256 == digest for known in team.keys):
                return TeamId(team_id), team.role
        return None
