"""The session that ``demo`` plays: all kinds of work through a replacement."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from lacewinghold.errors import ErrorKind as Kind
from lacewinghold.errors import Failure, FailureError
from lacewinghold.ids import JobId, SectionName, TeamId, job_shard
from lacewinghold.invariants import checks, violations
from lacewinghold.schema.generated.jobs import JobState, JobView
from lacewinghold.testing.caller import FakeCaller
from lacewinghold.testing.cell import TERRASVUUR, Cell
from lacewinghold.testing.report import Event, SessionReport, fill, packing
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    import httpx

    from lacewinghold.ids import InstanceId
    from lacewinghold.schema.generated.jobs import JobSpec
    from lacewinghold.testing.deployment import Deployment

SHARDS_PER_RACK = 2
STEP_S = 0.1
WAIT_LIMIT_S = 60.0
IN_FORCE_LIMIT_S = 7.0
REQUEST_INTERVAL_S = 0.05
REQUESTS = 60
SAMPLE_INTERVAL_S = 0.1
BATCH_RUN_S = 6.0
NOT_REPEATED_KEY = "deposit-1"
OPERATORS = TeamId("operators")
ENDED = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.UNKNOWN})


class Session:
    """One session on one deployment.

    :param show: Called with each event as it happens.
    """

    def __init__(
        self,
        deployment: Deployment,
        cell: Cell,
        seed: int,
        show: Callable[[Event], None],
    ) -> None:
        self.deployment = deployment
        self.cell = cell
        self.show = show
        self.report = SessionReport(
            deployment=deployment.name,
            seed=seed,
            invariant_checks=checks.total(),
            violations=violations.total(),
        )
        self.began = anyio.current_time()
        self.samples: list[float] = []
        self.operators = self.caller(OPERATORS)

    def caller(self, team: TeamId) -> FakeCaller:
        """Returns a caller of a team, with the example document's key."""
        latency_s = self.deployment.stand_in.latency.to_callers_ms / 1000
        return FakeCaller(self.cell, team, f"{team}-demo-key", latency_s)

    def note(self, text: str) -> None:
        """Notes and shows a step."""
        event = Event(round(anyio.current_time() - self.began, 1), text)
        self.report.events.append(event)
        self.show(event)

    async def play(self) -> SessionReport:
        """Plays the session.

        :raises FailureError: If something that must happen does not.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.sample_packing)
            await self.start()
            service, batch, together = self.deployment.jobs
            service_job = await self.submit(service)
            await self.wait_state(service_job, {JobState.RUNNING})
            batch.expected_run_s = BATCH_RUN_S
            jobs = [await self.submit(batch), await self.submit(together)]
            async with anyio.create_task_group() as work:
                work.start_soon(self.send_requests, service)
                await self.edit_section(service.team)
                await self.replace_owner(service_job)
            await self.send_once(service)
            for job in jobs:
                await self.wait_state(job, ENDED)
            await self.finish()
            tasks.cancel_scope.cancel()
        return self.report

    async def start(self) -> None:
        """Starts the entry instances and waits until all shards are served."""
        await self.cell.start()
        shards = SHARDS_PER_RACK * len(self.deployment.stand_in.racks)
        with anyio.fail_after(WAIT_LIMIT_S):
            await self.cell.wait_ready(shards)
        count = len(self.cell.instances)
        self.note(
            f"{count} entry instances serve {shards} shards with "
            f"{len(self.cell.workers)} workers"
        )

    async def submit(self, spec: JobSpec) -> JobId:
        """Submits a job twice with one key, as after a lost answer."""
        caller = self.caller(spec.team)
        jobs = []
        for _ in range(2):
            headers = {"Idempotency-Key": f"demo-{spec.kind}"}
            answer = await caller.send("POST", "/v1/jobs", to_json(spec), headers)
            jobs.append(require_ok(answer).json()["job"])
        expect(jobs[0] == jobs[1], "a repeated submission made a second job")
        self.note(f"{spec.team} submitted a {spec.kind} job with {spec.tasks} tasks")
        return JobId(jobs[0])

    async def view(self, job: JobId) -> JobView | None:
        """Returns a job, or ``None`` while its shard has no owner."""
        answer = await self.operators.send("GET", f"/v1/jobs/{job}")
        return from_json(answer.content, JobView) if answer.is_success else None

    async def wait_state(
        self, job: JobId, states: set[JobState] | frozenset[JobState]
    ) -> None:
        """Waits until a job is in one of some states.

        :raises TimeoutError: If it is not in time.
        """
        with anyio.fail_after(WAIT_LIMIT_S):
            while True:
                view = await self.view(job)
                if view is not None and view.state in states:
                    self.note(f"the {view.kind} job of {view.team} is {view.state}")
                    return
                await anyio.sleep(STEP_S)

    async def send_requests(self, spec: JobSpec) -> None:
        """Sends requests to the service at an interval."""
        async with anyio.create_task_group() as tasks:
            for number in range(REQUESTS):
                tasks.start_soon(self.request, spec, f"request {number}", {})
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def request(
        self, spec: JobSpec, text: str, headers: dict[str, str]
    ) -> httpx.Response:
        """Sends one request and counts its outcome."""
        caller = self.caller(spec.team)
        answer = await caller.send_until_run(
            "POST", f"/v1/services/{spec.service}/echo", text.encode(), headers
        )
        self.report.refusals_repeated += caller.repeated
        outcome = "answered"
        if answer.is_error:
            outcome = answer.json()["type"].rpartition(":")[2]
        else:
            expect(answer.text == text, f"{text} got {answer.text}")
        self.report.requests[outcome] = self.report.requests.get(outcome, 0) + 1
        return answer

    async def send_once(self, spec: JobSpec) -> None:
        """Sends a request that must not be repeated, and sends it again."""
        headers = {
            "Lacewinghold-Repeatable": "no",
            "Idempotency-Key": NOT_REPEATED_KEY,
        }
        runs_before = self.cell.backend_links.runs.total()
        first = await self.request(spec, "deposit", headers)
        again = await self.request(spec, "deposit", headers)
        runs = self.cell.backend_links.runs.total() - runs_before
        expect(runs <= 1, f"a request not to be repeated ran {runs} times")
        self.note(
            f"a request not to be repeated was sent twice: status "
            f"{first.status_code}, then {again.status_code}, and ran {runs} times"
        )

    async def edit_section(self, team: TeamId) -> None:
        """Changes a team's section and waits until it is in force everywhere."""
        name = SectionName(f"team-{team}")
        caller = self.caller(team)
        found = require_ok(await caller.send("GET", f"/v1/document/{name}"))
        section = found.json()
        for rule in section["body"]["services"].values():
            rule["timeout_s"] = 8
        edit = to_json({"kind": section["kind"], "body": section["body"]})
        headers = {"If-Match": found.headers["ETag"]}
        answer = await caller.send("PUT", f"/v1/document/{name}", edit, headers)
        revision = require_ok(answer).json()["revision"]
        with anyio.fail_after(IN_FORCE_LIMIT_S):
            while not self.in_force(revision):
                await anyio.sleep(STEP_S / 10)
        self.note(f"{team} changed {name}, and it is in force everywhere")

    def in_force(self, revision: int) -> bool:
        """Returns whether every entry instance has applied a revision."""
        running = self.cell.instances.values()
        return all(one.instance.view.revision >= revision for one in running)

    async def replace_owner(self, job: JobId) -> None:
        """Kills the entry instance that owns a job's shard and starts another."""
        victim = self.owner_of(job)
        settings = self.cell.instances[victim].instance.settings
        self.cell.kill(victim)
        self.note(f"killed the entry instance {settings.instance}")
        replacement = self.cell.run_settings(settings)
        with anyio.fail_after(WAIT_LIMIT_S):
            while await self.view(job) is None:
                await anyio.sleep(STEP_S)
            while not self.cell.instances[replacement].instance.lease.valid():
                await anyio.sleep(STEP_S)
        self.note(f"{settings.instance} was replaced, and its shards have an owner")

    def owner_of(self, job: JobId) -> InstanceId:
        """Returns the entry instance that owns a job's shard."""
        for instance, running in sorted(self.cell.instances.items()):
            if job_shard(job) in running.instance.manager.owners:
                return instance
        raise FailureError(Failure(Kind.NOT_OWNER, f"{job} has no owner"))

    async def sample_packing(self) -> None:
        """Samples how full the workers are that run anything."""
        while True:
            sample = packing(self.cell)
            if sample is not None:
                self.samples.append(sample)
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def finish(self) -> None:
        """Gathers the report."""
        answer = require_ok(await self.operators.send("GET", "/v1/jobs"))
        views = msgspec.json.decode(answer.content, type=list[JobView])
        fill(self.report, self.cell, views)
        if self.samples:
            self.report.packing = round(sum(self.samples) / len(self.samples), 3)


async def play_session(
    deployment: Deployment, seed: int, show: Callable[[Event], None]
) -> SessionReport:
    """Plays a whole session in this process."""
    async with anyio.create_task_group() as tasks:
        cell = Cell(TERRASVUUR, tasks, seed, deployment=deployment)
        report = await Session(deployment, cell, seed, show).play()
        tasks.cancel_scope.cancel()
    return report


def expect(condition: bool, detail: str) -> None:
    """Ends the session if something did not come out as promised.

    :raises FailureError: If the condition is false.
    """
    if not condition:
        raise FailureError(Failure(Kind.INVARIANT_VIOLATED, detail))


def require_ok(answer: httpx.Response) -> httpx.Response:
    """Returns an answer that must be a success.

    :raises FailureError: If it is a problem.
    """
    expect(answer.is_success, f"{answer.request.url.path}: {answer.text}")
    return answer
