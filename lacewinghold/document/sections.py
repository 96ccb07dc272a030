"""Reading and checking sections of the operators' document."""

from __future__ import annotations

import hashlib
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
PLACEMENT_SECTION = SectionName("placement")
MAX_SECTION_BYTES = 1_000_000


def check_body(kind: SectionKind, body: Any) -> Result[None, Failure]:
    """Checks a section's body against the schema of its kind.

    :returns: A failure whose field is the JSON path at fault.
    """
    data = to_json(body)
    if len(data) > MAX_SECTION_BYTES:
        detail = f"{len(data)} bytes; at most {MAX_SECTION_BYTES}"
        return Err(Failure(ErrorKind.TOO_LARGE, detail, "$.body"))
    parsed = parse_json(data, BODY_TYPES[kind], "$.body")
    if isinstance(parsed, Err):
        return Err(parsed.err_value)
    return Ok(None)


def hash_key(text: str) -> str:
    """Returns the hash under which a bearer key stands in the document."""
    return hashlib.sha256(text.encode()).hexdigest()


class Document:
    """The document as this instance last saw it.

    :param view: The watched live keys.
    """

    def __init__(self, view: LiveView) -> None:
        self.view = view

    def section(self, name: SectionName) -> Section | None:
        """Returns a section, or ``None`` if there is none of that name."""
        item = self.view.items.get(self.view.keys.section(name))
        return None if item is None else self.to_section(item)

    def sections(self) -> list[Section]:
        """Returns all sections by name."""
        prefix = self.view.keys.sections
        found = []
        for key in sorted(self.view.items):
            if key.startswith(prefix):
                found.append(self.to_section(self.view.items[key]))
        return found

    def to_section(self, item: KeyValue) -> Section:
        """Returns the section that a stored item holds."""
        record = from_json(item.value, SectionRecord)
        return Section(
            name=SectionName(item.key.removeprefix(self.view.keys.sections)),
            kind=SectionKind(record.kind),
            owner=record.owner,
            revision=Revision(item.mod_revision),
            body=record.body,
        )

    def cell(self) -> CellSection:
        """Returns the section that names the teams; empty if there is none."""
        section = self.section(CELL_SECTION)
        if section is None:
            return CellSection(teams={})
        return from_json(to_json(section.body), CellSection)

    def placement(self) -> PlacementSection:
        """Returns the section with the weights; defaults if there is none."""
        section = self.section(PLACEMENT_SECTION)
        if section is None or section.kind is not SectionKind.PLACEMENT:
            return PlacementSection()
        return from_json(to_json(section.body), PlacementSection)

    def team_of_key(self, key: str) -> tuple[TeamId, Role] | None:
        """Returns the team that a bearer key belongs to, and its role."""
        digest = hash_key(key)
        for team_id, team in self.cell().teams.items():
            if any(known.sha256 == digest for known in team.keys):
                return TeamId(team_id), team.role
        return None
