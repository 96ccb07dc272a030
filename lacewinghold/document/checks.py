"""Checks of one section against the rest of the document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from lacewinghold.document.sections import (
    CELL_SECTION,
    PLACEMENT_SECTION,
    TIMING_SECTION,
)
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.document import (
    CellSection,
    Role,
    Section,
    SectionKind,
    TeamSection,
)
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.ids import TeamId

SINGLE_SECTIONS = {
    SectionKind.CELL: CELL_SECTION,
    SectionKind.TIMING: TIMING_SECTION,
    SectionKind.PLACEMENT: PLACEMENT_SECTION,
}
MAX_SECTIONS = 1000
SHARE_TOLERANCE = 1e-9


def invalid(detail: str, path: str) -> Result[None, Failure]:
    """Returns an ``INVALID`` failure for a JSON path."""
    return Err(Failure(ErrorKind.INVALID, detail, path))


def to_cell(body: Any) -> CellSection:
    """Decodes the body of the cell section, which lists teams and services."""
    return from_json(to_json(body), CellSection)


def to_team(body: Any) -> TeamSection:
    """Decodes the body of a team's section."""
    return from_json(to_json(body), TeamSection)


def check_section(section: Section, others: list[Section]) -> Result[None, Failure]:
    """Checks the new state of a section against the rest of the document.

    :param others: All other sections of the document.
    :returns: ``Ok``, or a failure whose field is the JSON path of the invalid value.
    """
    for kind, name in SINGLE_SECTIONS.items():
        if (section.kind is kind) != (section.name == name):
            return invalid(f"only section {name} is of kind {kind}", "$.kind")
    if len(others) >= MAX_SECTIONS:
        return invalid(f"at most {MAX_SECTIONS} sections", "$")
    if section.kind is SectionKind.CELL:
        return check_cell(section, others)
    for other in others:
        if other.kind is SectionKind.CELL:
            return check_against_cell(section, to_cell(other.body))
    return invalid(f"write the section {CELL_SECTION} first", "$")


def check_cell(section: Section, others: list[Section]) -> Result[None, Failure]:
    """Checks teams, services and shares against all other sections."""
    cell = to_cell(section.body)
    owner = cell.teams.get(section.owner)
    if owner is None or owner.role is not Role.OPERATOR or not owner.keys:
        detail = (
            f"{section.owner} owns this section and must stay an operator with a key"
        )
        return invalid(detail, f"$.body.teams.{section.owner}")
    for name, service in cell.services.items():
        if service.team not in cell.teams:
            detail = f"there is no team {service.team}"
            return invalid(detail, f"$.body.services.{name}.team")
    shares = sum(team.share for team in cell.teams.values() if team.share < 1)
    if shares > cell.share_limit + SHARE_TOLERANCE:
        detail = f"the shares add up to {shares:g}; at most {cell.share_limit:g}"
        return invalid(detail, "$.body.teams")
    for other in others:
        checked = check_against_cell(other, cell)
        if isinstance(checked, Err):
            found = checked.err_value
            detail = f"section {other.name} would become invalid: {found.detail}"
            path = "$.body.teams" if found.field == "$.owner" else "$.body.services"
            return invalid(detail, path)
    return Ok(None)


def check_against_cell(section: Section, cell: CellSection) -> Result[None, Failure]:
    """Checks that the team and services that a section refers to exist."""
    if section.owner not in cell.teams:
        return invalid(f"there is no team {section.owner}", "$.owner")
    if section.kind is not SectionKind.TEAM:
        return Ok(None)
    for name in to_team(section.body).services:
        path = f"$.body.services.{name}"
        service = cell.services.get(name)
        if service is None:
            return invalid(f"there is no service {name}", path)
        if service.team != section.owner:
            return invalid(f"service {name} belongs to {service.team}", path)
    return Ok(None)


def references(section: Section) -> tuple[TeamId, tuple[str, ...]]:
    """Returns the team and services that a section depends on."""
    if section.kind is not SectionKind.TEAM:
        return section.owner, ()
    return section.owner, tuple(sorted(to_team(section.body).services))
