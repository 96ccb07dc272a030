"""Handlers of jobs."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.api.common import Caller, Handlers, unwrap
from lacewinghold.api.job_checks import check_job
from lacewinghold.api.problems import json_response
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import JobId, job_shard
from lacewinghold.schema.generated.jobs import JobSpec
from lacewinghold.util.codec import parse_json

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.routing import Route


MAX_JOB_BYTES = 256 * 1024
JOB_ID = re.compile(r"[A-Za-z0-9._-]{1,128}~[0-9a-f]{16}")


class SubmittedJob(Struct):
    """The response to an accepted job."""

    job: JobId


class JobHandlers(Handlers):
    """Handlers that submit, list and cancel jobs."""

    def routes(self) -> list[Route]:
        """Returns the routes."""
        route = self.route
        return [
            route("/v1/jobs", self.submit, "POST"),
            route("/v1/jobs", self.list_jobs, "GET"),
            route("/v1/jobs/{job}", self.get_job, "GET"),
            route("/v1/jobs/{job}/cancel", self.cancel_job, "POST"),
        ]

    async def submit(self, request: Request) -> Response:
        """Checks and submits a job."""
        caller = self.identify(request)
        data = await self.body(request, MAX_JOB_BYTES)
        spec = unwrap(parse_json(data, JobSpec))
        unwrap(self.check_team(caller, spec))
        now = self.instance.ports.clock.now()
        unwrap(check_job(spec, now, self.instance.manager.instance_list))
        key = self.idempotency_key(request)
        job = unwrap(await self.instance.jobs.submit(spec.team, spec, key))
        return json_response(SubmittedJob(job), 201, {"Location": f"/v1/jobs/{job}"})

    def check_team(self, caller: Caller, spec: JobSpec) -> Result[None, Failure]:
        """Checks that the caller may submit for the team."""
        if spec.team not in self.instance.document.cell().teams:
            detail = f"unknown team {spec.team!r}"
            return Err(Failure(ErrorKind.INVALID, detail, "$.team"))
        if not caller.operator and spec.team != caller.team:
            detail = f"the key belongs to {caller.team}, not to {spec.team}"
            return Err(Failure(ErrorKind.FORBIDDEN, detail, "$.team"))
        return Ok(None)

    def job_id(self, request: Request) -> JobId:
        """Returns the job id in the path.

        :raises FailureError: If it is malformed or its shard never had an owner.
        """
        job_id = JobId(request.path_params["job"])
        if JOB_ID.fullmatch(job_id) is None:
            detail = f"a job's id has the form {JOB_ID.pattern}"
            raise FailureError(Failure(ErrorKind.INVALID, detail, "job"))
        if self.instance.view.owner(job_shard(job_id)) is None:
            detail = f"there is no shard {job_shard(job_id)!r}"
            raise FailureError(Failure(ErrorKind.NOT_FOUND, detail, "job"))
        return job_id

    async def list_jobs(self, request: Request) -> Response:
        """Lists the jobs of the caller's team; all jobs for an operator."""
        caller = self.identify(request)
        team = "" if caller.operator else caller.team
        return json_response(unwrap(await self.instance.jobs.jobs(team)))

    async def get_job(self, request: Request) -> Response:
        """Returns one job."""
        caller = self.identify(request)
        job_id = self.job_id(request)
        view = unwrap(await self.instance.jobs.job(job_id))
        self.require_team(caller, view.team)
        return json_response(view)

    async def cancel_job(self, request: Request) -> Response:
        """Cancels one job."""
        caller = self.identify(request)
        job_id = self.job_id(request)
        view = unwrap(await self.instance.jobs.job(job_id))
        self.require_team(caller, view.team)
        return json_response(
            unwrap(await self.instance.jobs.cancel(job_id, caller.team))
        )
