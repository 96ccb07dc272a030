"""Routes and handlers of the HTTP interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from msgspec import Struct
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from lacewinghold.api.problems import json_response, problem_response
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import JobId, Revision, SectionName, ServiceId, TeamId
from lacewinghold.invariants import checks, violations
from lacewinghold.schema.generated.document import Role, SectionKind
from lacewinghold.schema.generated.jobs import JobSpec
from lacewinghold.util.codec import parse_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from lacewinghold.application import EntryInstance

    Endpoint = Callable[[Request], Awaitable[Response]]

T = TypeVar("T")
MAX_JOB_BYTES = 256 * 1024
MAX_REQUEST_BYTES = 8 * 1024 * 1024
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 600.0


class Caller(Struct, frozen=True):
    """Who sent a request."""

    team: TeamId
    operator: bool


class SectionEdit(Struct, forbid_unknown_fields=True):
    """The body of an edit of a section."""

    kind: SectionKind
    body: Any
    owner: TeamId | None = None
    comment: str = ""


class SubmittedJob(Struct):
    """The answer to an accepted job."""

    job: JobId


class Accepted(Struct):
    """The answer to an accepted change of the document."""

    section: SectionName
    revision: Revision


class Api:
    """Handlers over one entry instance."""

    def __init__(self, instance: EntryInstance) -> None:
        self.instance = instance

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        route = self.route
        return Starlette(
            routes=[
                route("/live", self.live, "GET"),
                route("/ready", self.ready, "GET"),
                route("/status", self.status, "GET"),
                route("/v1/jobs", self.submit, "POST"),
                route("/v1/jobs", self.list_jobs, "GET"),
                route("/v1/jobs/{job}", self.get_job, "GET"),
                route("/v1/jobs/{job}/cancel", self.cancel_job, "POST"),
                route("/v1/workers", self.workers, "GET"),
                route("/v1/document", self.document, "GET"),
                route("/v1/document/{section}", self.get_section, "GET"),
                route("/v1/document/{section}", self.edit_section, "PUT"),
                route("/v1/audit", self.audit, "GET"),
                route(
                    "/v1/services/{service}/{path:path}",
                    self.request_service,
                    *("GET", "POST", "PUT", "DELETE", "PATCH"),
                ),
            ]
        )

    def route(self, path: str, endpoint: Endpoint, *methods: str) -> Route:
        """Returns a route whose failures become problem answers."""

        async def guarded(request: Request) -> Response:
            try:
                return await endpoint(request)
            except FailureError as error:
                return problem_response(error.failure)

        return Route(path, guarded, methods=list(methods))

    def identify(self, request: Request) -> Caller:
        """Returns the caller of a request by its bearer key.

        :raises FailureError: If the key is missing or unknown.
        """
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        found = None
        if scheme.lower() == "bearer":
            found = self.instance.document.team_of_key(key.strip())
        if found is None:
            detail = "send a known key as 'Authorization: Bearer KEY'"
            raise FailureError(Failure(ErrorKind.UNAUTHENTICATED, detail))
        return Caller(found[0], found[1] is Role.OPERATOR)

    async def body(self, request: Request, limit: int) -> bytes:
        """Returns a request's body.

        :raises FailureError: If it is larger than ``limit`` bytes.
        """
        data = bytearray()
        async for chunk in request.stream():
            data += chunk
            if len(data) > limit:
                detail = f"the body is larger than {limit} bytes"
                raise FailureError(Failure(ErrorKind.TOO_LARGE, detail, "$"))
        return bytes(data)

    async def live(self, request: Request) -> Response:
        """Answers as long as the process runs."""
        return json_response({"live": True})

    async def ready(self, request: Request) -> Response:
        """Answers whether this instance should get requests."""
        ready = self.instance.view.loaded.is_set() and not self.instance.manager.leaving
        return json_response({"ready": ready}, 200 if ready else 503)

    async def status(self, request: Request) -> Response:
        """Describes the instance's lease, shards and invariant checks."""
        instance = self.instance
        shards = {
            shard: {
                "epoch": owner.ownership.epoch,
                "ready": owner.ready.is_set(),
                "jobs": len(owner.jobs),
                "workers": len(owner.workers),
            }
            for shard, owner in instance.manager.owners.items()
        }
        return json_response(
            {
                "instance": instance.instance,
                "data_centre": instance.settings.data_centre,
                "lease_valid": instance.lease.valid(),
                "store_revision": instance.view.revision,
                "shards": shards,
                "invariant_checks": sum(checks.values()),
                "invariant_violations": sum(violations.values()),
            }
        )

    async def submit(self, request: Request) -> Response:
        """Accepts a job."""
        caller = self.identify(request)
        data = await self.body(request, MAX_JOB_BYTES)
        spec = unwrap(parse_json(data, JobSpec))
        unwrap(self.check_job(caller, spec))
        key = request.headers.get("idempotency-key", "")
        job = unwrap(await self.instance.submit(spec.team, spec, key))
        return json_response(SubmittedJob(job), 201, {"Location": f"/v1/jobs/{job}"})

    def check_job(self, caller: Caller, spec: JobSpec) -> Result[None, Failure]:
        """Checks what the schema of a job cannot say."""
        if spec.team not in self.instance.document.cell().teams:
            detail = f"unknown team {spec.team!r}"
            return Err(Failure(ErrorKind.INVALID, detail, "$.team"))
        if not caller.operator and spec.team != caller.team:
            detail = f"the key belongs to {caller.team}, not to {spec.team}"
            return Err(Failure(ErrorKind.FORBIDDEN, detail, "$.team"))
        return Ok(None)

    async def list_jobs(self, request: Request) -> Response:
        """Lists the jobs of the caller's team; all jobs for an operator."""
        caller = self.identify(request)
        team = "" if caller.operator else caller.team
        return json_response(unwrap(await self.instance.jobs(team)))

    async def get_job(self, request: Request) -> Response:
        """Returns one job."""
        caller = self.identify(request)
        job_id = JobId(request.path_params["job"])
        view = unwrap(await self.instance.job(job_id))
        self.require_team(caller, view.team)
        return json_response(view)

    async def cancel_job(self, request: Request) -> Response:
        """Cancels one job."""
        caller = self.identify(request)
        job_id = JobId(request.path_params["job"])
        view = unwrap(await self.instance.job(job_id))
        self.require_team(caller, view.team)
        return json_response(unwrap(await self.instance.cancel(job_id, caller.team)))

    def require_team(self, caller: Caller, team: TeamId) -> None:
        """Refuses callers of another team.

        :raises FailureError: If the caller may not act for the team.
        """
        if caller.operator or caller.team == team:
            return
        detail = f"the key belongs to {caller.team}"
        raise FailureError(Failure(ErrorKind.FORBIDDEN, detail))

    async def workers(self, request: Request) -> Response:
        """Lists the workers of the shards owned here."""
        self.identify(request)
        found = []
        for shard, owner in sorted(self.instance.manager.owners.items()):
            for worker_id, worker in sorted(owner.workers.items()):
                found.append(
                    {
                        "worker": worker_id,
                        "shard": shard,
                        "state": worker.record.state,
                        "usable": worker.capacity.usable,
                        "tasks": len(worker.capacity.bookings),
                        "free": worker.capacity.free,
                    }
                )
        return json_response(found)

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
        data = await self.body(request, MAX_REQUEST_BYTES)
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

    async def request_service(self, request: Request) -> Response:
        """Passes a request to a standing service."""
        caller = self.identify(request)
        data = await self.body(request, MAX_REQUEST_BYTES)
        timeout_s = unwrap(parse_timeout(request.headers.get("lacewinghold-timeout")))
        repeatable = request.headers.get("lacewinghold-repeatable", "yes") != "no"
        answer = unwrap(
            await self.instance.request(
                caller.team,
                ServiceId(request.path_params["service"]),
                request.method,
                request.path_params["path"],
                data,
                timeout_s,
                repeatable,
                request.headers.get("idempotency-key", ""),
            )
        )
        return Response(answer.body, answer.status, {"X-Worker": answer.worker})


def unwrap(result: Result[T, Failure]) -> T:
    """Returns the value of a result.

    :raises FailureError: If it is a failure.
    """
    if isinstance(result, Err):
        raise FailureError(result.err_value)
    return result.ok_value


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


def parse_timeout(text: str | None) -> Result[float, Failure]:
    """Returns the caller's timeout in seconds."""
    if text is None:
        return Ok(DEFAULT_TIMEOUT_S)
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= MAX_TIMEOUT_S:
        detail = f"{text!r} is not between 0 and {MAX_TIMEOUT_S:g} seconds"
        return Err(Failure(ErrorKind.INVALID, detail, "Lacewinghold-Timeout"))
    return Ok(value)
