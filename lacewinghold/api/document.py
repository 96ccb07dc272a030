"""Handlers of the operators' document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.api.common import Handlers, unwrap
from lacewinghold.api.problems import json_response
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import Revision, SectionName, TeamId
from lacewinghold.schema.generated.document import SectionKind  # noqa: TC001
from lacewinghold.util.codec import parse_json

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.routing import Route


MAX_EDIT_BYTES = 2 * 1024 * 1024


class SectionEdit(Struct, forbid_unknown_fields=True):
    """The body of an edit of a section."""

    kind: SectionKind
    body: Any
    owner: TeamId | None = None
    comment: str = ""


class Accepted(Struct):
    """The answer to an accepted change of the document."""

    section: SectionName
    revision: Revision


class DocumentHandlers(Handlers):
    """The document and its audit trail."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route("/v1/document", self.document, "GET"),
            route("/v1/document/{section}", self.get_section, "GET"),
            route("/v1/document/{section}", self.edit_section, "PUT"),
            route("/v1/audit", self.audit, "GET"),
        ]

    async def document(self, request: Request) -> Response:
        """Returns all sections."""
        self.identify(request)
        return json_response(self.instance.document.sections())

    async def get_section(self, request: Request) -> Response:
        """Returns one section with its revision as ETag."""
        self.identify(request)
        name = SectionName(request.path_params["section"])
        section = self.instance.document.section(name)
        if section is None:
            detail = f"no section {name}"
            raise FailureError(Failure(ErrorKind.NOT_FOUND, detail))
        return json_response(section, headers={"ETag": f'"{section.revision}"'})

    async def edit_section(self, request: Request) -> Response:
        """Replaces a section at the revision named by If-Match."""
        caller = self.identify(request)
        name = SectionName(request.path_params["section"])
        expected = unwrap(parse_if_match(request.headers.get("if-match")))
        data = await self.body(request, MAX_EDIT_BYTES)
        edit = unwrap(parse_json(data, SectionEdit))
        section = self.instance.document.section(name)
        owner = section.owner if section is not None else edit.owner or caller.team
        self.require_team(caller, owner)
        revision = unwrap(
            await self.instance.editor.edit(
                name, edit.kind, owner, edit.body, expected, caller.team, edit.comment
            )
        )
        return json_response(
            Accepted(name, revision), headers={"ETag": f'"{revision}"'}
        )

    async def audit(self, request: Request) -> Response:
        """Returns the audit trail."""
        self.identify(request)
        return json_response(unwrap(await self.instance.editor.audit()))


def parse_if_match(text: str | None) -> Result[Revision, Failure]:
    """Returns the revision in an If-Match header; 0 for a new section."""
    if text is None:
        detail = 'send If-Match with the ETag you saw, or "0" for a new section'
        return Err(Failure(ErrorKind.PRECONDITION_REQUIRED, detail, "If-Match"))
    digits = text.strip().strip('"')
    if not digits.isdecimal():
        detail = f"{text!r} is not an ETag of this document"
        return Err(Failure(ErrorKind.INVALID, detail, "If-Match"))
    return Ok(Revision(int(digits)))
