"""Handlers of the operators' document."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from msgspec import UNSET, Struct, UnsetType
from result import Err, Ok, Result

from lacewinghold.api.common import Caller, Handlers, unwrap
from lacewinghold.api.problems import json_response
from lacewinghold.document.editor import Edit
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import Revision, SectionName, TeamId
from lacewinghold.schema.generated.document import SectionKind
from lacewinghold.util.codec import parse_json

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.routing import Route

    from lacewinghold.schema.generated.document import Section
    from lacewinghold.schema.generated.records import Change


MAX_EDIT_BYTES = 2 * 1024 * 1024


class SectionEdit(Struct, forbid_unknown_fields=True):
    """The request body of an edit of a section."""

    kind: SectionKind
    body: Any
    owner: TeamId | None = None
    comment: str = ""


class SectionRevert(Struct, forbid_unknown_fields=True):
    """The request body of a revert.

    :param revision: The revision whose section body is restored.
    """

    revision: Revision
    comment: str = ""


class HistoryEntry(Struct):
    """One change in the history of a section.

    :param body: The section's body after the change, if one change was requested.
    """

    revision: Revision
    number: int
    author: TeamId
    at: float
    action: str
    comment: str
    body: Any | UnsetType = UNSET


class DocumentHandlers(Handlers):
    """Handlers of the document's sections and of the audit trail."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        section = "/v1/document/{section}"
        return [
            route("/v1/document", self.document, "GET"),
            route(section, self.get_section, "GET"),
            route(section, self.edit_section, "PUT"),
            route(f"{section}/diff", self.diff, "GET"),
            route(f"{section}/history", self.history, "GET"),
            route(f"{section}/status", self.status, "GET"),
            route(f"{section}/revert", self.revert, "POST"),
            route("/v1/audit", self.audit, "GET"),
        ]

    async def document(self, request: Request) -> Response:
        """Returns the sections of the caller's team, or all for an operator."""
        caller = self.identify(request)
        sections = self.instance.document.sections()
        if not caller.operator:
            sections = [section for section in sections if section.owner == caller.team]
        return json_response(sections)

    def authorised_section(self, request: Request) -> Section:
        """Returns the section named in the path.

        :raises FailureError: If it does not exist or belongs to another team.
        """
        caller = self.identify(request)
        name = SectionName(request.path_params["section"])
        section = self.instance.document.section(name)
        if section is None:
            detail = f"no section {name}"
            raise FailureError(Failure(ErrorKind.NOT_FOUND, detail, "section"))
        self.require_team(caller, section.owner)
        return section

    async def get_section(self, request: Request) -> Response:
        """Returns one section, with its revision as the ETag."""
        section = self.authorised_section(request)
        return json_response(section, headers={"ETag": f'"{section.revision}"'})

    async def edit_section(self, request: Request) -> Response:
        """Replaces a section at the revision named by If-Match.

        With ``dry_run=true``, returns the differences without making the change.
        """
        caller = self.identify(request)
        expected = unwrap(parse_if_match(request.headers.get("if-match")))
        data = await self.body(request, MAX_EDIT_BYTES)
        sent = unwrap(parse_json(data, SectionEdit))
        edit = Edit(
            SectionName(request.path_params["section"]),
            sent.kind,
            sent.body,
            expected,
            caller.team,
            caller.operator,
            sent.owner,
            sent.comment,
            write_id(request, caller),
        )
        return await self.apply(request, edit)

    async def revert(self, request: Request) -> Response:
        """Restores an earlier body as a new change."""
        caller = self.identify(request)
        name = SectionName(request.path_params["section"])
        expected = unwrap(parse_if_match(request.headers.get("if-match")))
        data = await self.body(request, MAX_EDIT_BYTES)
        sent = unwrap(parse_json(data, SectionRevert))
        change = await self.find_change(name, sent.revision)
        record = unwrap(await self.instance.editor.log.body(name, change))
        edit = Edit(
            name,
            SectionKind(record.kind),
            record.body,
            expected,
            caller.team,
            caller.operator,
            None,
            sent.comment or f"back to revision {sent.revision}",
            write_id(request, caller),
            "revert",
        )
        return await self.apply(request, edit)

    async def apply(self, request: Request, edit: Edit) -> Response:
        """Makes a change, or only previews it with ``dry_run=true``."""
        editor = self.instance.editor
        if request.query_params.get("dry_run") == "true":
            return json_response(unwrap(await editor.preview(edit)))
        accepted = unwrap(await editor.edit(edit))
        return json_response(accepted, headers={"ETag": f'"{accepted.revision}"'})

    async def find_change(self, name: SectionName, revision: Revision) -> Change:
        """Returns the change that created a revision.

        :raises FailureError: If the change is no longer in the change log.
        """
        known = unwrap(await self.instance.editor.log.read(name))
        change = known.by_revision(revision)
        if change is None:
            detail = f"revision {revision} is not in the history of {name}"
            raise FailureError(Failure(ErrorKind.NOT_FOUND, detail))
        return change

    async def diff(self, request: Request) -> Response:
        """Returns the differences between two revisions of a section."""
        name = self.authorised_section(request).name
        before = await self.find_change(name, parse_revision(request, "from"))
        after = await self.find_change(name, parse_revision(request, "to"))
        compared = await self.instance.editor.compare(name, before, after)
        return json_response(unwrap(compared))

    async def history(self, request: Request) -> Response:
        """Returns the latest changes, or one change with the body it made."""
        name = self.authorised_section(request).name
        log = self.instance.editor.log
        if "revision" in request.query_params:
            change = await self.find_change(name, parse_revision(request, "revision"))
            entry = to_entry(change)
            entry.body = unwrap(await log.body(name, change)).body
            return json_response(entry)
        known = unwrap(await log.read(name))
        return json_response([to_entry(change) for change in known.changes])

    async def status(self, request: Request) -> Response:
        """Returns where a revision, by default the latest one, is in force."""
        name = self.authorised_section(request).name
        revision = None
        if "revision" in request.query_params:
            revision = parse_revision(request, "revision")
        return json_response(unwrap(await self.instance.force.status(name, revision)))

    async def audit(self, request: Request) -> Response:
        """Returns the audit trail; for a team, only its own actions."""
        caller = self.identify(request)
        records = unwrap(await self.instance.editor.audit())
        if not caller.operator:
            records = [
                record for record in records if caller.team in record.actor.split()
            ]
        return json_response(records)


def to_entry(change: Change) -> HistoryEntry:
    """Converts a change to a history entry without a body."""
    return HistoryEntry(
        change.revision,
        change.number,
        change.author,
        change.at,
        change.action,
        change.comment,
    )


def write_id(request: Request, caller: Caller) -> str:
    """Returns a write id derived from the Idempotency-Key; empty without one."""
    key = request.headers.get("idempotency-key", "")
    if not key:
        return ""
    return hashlib.sha256(f"{caller.team}\0{key}".encode()).hexdigest()[:32]


def parse_revision(request: Request, name: str) -> Revision:
    """Returns a revision from a query parameter.

    :raises FailureError: If it is missing or not a number.
    """
    text = request.query_params.get(name, "")
    if not text.isdecimal():
        detail = f"give a revision as {name}=NUMBER"
        raise FailureError(Failure(ErrorKind.INVALID, detail, name))
    return Revision(int(text))


def parse_if_match(text: str | None) -> Result[Revision, Failure]:
    """Returns the revision in an If-Match header; 0 for a new section."""
    if text is None:
        detail = 'send If-Match with the ETag of the section, or "0" for a new one'
        return Err(Failure(ErrorKind.PRECONDITION_REQUIRED, detail, "If-Match"))
    digits = text.strip().strip('"')
    if not digits.isdecimal():
        detail = f"{text!r} is not an ETag of this document"
        return Err(Failure(ErrorKind.INVALID, detail, "If-Match"))
    return Ok(Revision(int(digits)))
