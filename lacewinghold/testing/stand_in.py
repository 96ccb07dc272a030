"""The platform, workers and backend servers as one HTTP application."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from lacewinghold.api.problems import json_response
from lacewinghold.ids import AttemptId, RequestId, ServiceId, WorkerId
from lacewinghold.routing.http import (
    EPOCH_HEADER,
    INCARNATION_HEADER,
    KEEPALIVE_EXPIRY_S,
    REFUSAL_HEADER,
    REQUEST_ID_HEADER,
)
from lacewinghold.schema.generated.document import Section
from lacewinghold.schema.generated.worker import Command, Probe
from lacewinghold.testing.backend import SERVICE_TIME_S, FakeBackend, request_of
from lacewinghold.testing.deployment import document_transaction, worker_records
from lacewinghold.testing.gateway import Gateway
from lacewinghold.testing.store import MemoryStore, StoreState
from lacewinghold.testing.worker import FakeWorker, MemoryInstanceList
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from starlette.requests import Request

    from lacewinghold.coordination.keys import Keys
    from lacewinghold.schema.generated.settings import StandInSettings


COUNTED_BODY_BYTES = 64


class StandIn:
    """Everything outside of the entry instances.

    :param settings: Checked settings.
    :param tasks: Task group in which tasks run.
    """

    def __init__(self, settings: StandInSettings, tasks: TaskGroup) -> None:
        self.settings = settings
        self.tasks = tasks
        self.state = StoreState()
        self.store = MemoryStore(self.state)
        self.workers: dict[WorkerId, FakeWorker] = {}
        self.instance_list = MemoryInstanceList(self.workers)
        self.backends: dict[WorkerId, FakeBackend] = {}
        self.runs: Counter[RequestId] = Counter()
        self.bodies: Counter[bytes] = Counter()
        self.clients: dict[WorkerId, dict[str, float]] = {}
        self.most_connections = 0
        self.make_workers()

    def make_workers(self) -> None:
        """Makes the workers of all racks."""
        url = f"http://{self.settings.listen}/workers"
        for rack in self.settings.racks:
            for record in worker_records(rack, url):
                self.workers[record.worker] = FakeWorker(record, self.tasks)

    def load_document(self, keys: Keys, data: bytes) -> None:
        """Writes the sections of an example document."""
        self.state.apply(document_transaction(keys, from_json(data, list[Section])))

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                *Gateway(self.store).routes(),
                Route("/instances", self.list_instances),
                Route("/workers/{worker}/commands", self.command, methods=["POST"]),
                Route("/workers/{worker}/reports", self.report),
                Route("/counts", self.counts),
                Route("/serving/{service}", self.serving),
                Route("/workers/{worker}/requests/probe", self.probe, methods=["POST"]),
                Route(
                    "/workers/{worker}/services/{service}/{path:path}",
                    self.serve,
                    methods=["GET", "POST", "PUT", "DELETE", "PATCH"],
                ),
            ]
        )

    async def list_instances(self, request: Request) -> Response:
        """Returns the instance list."""
        listed = await self.instance_list.fetch()
        return json_response(listed.unwrap())

    async def command(self, request: Request) -> Response:
        """Hands commands to a worker."""
        worker = self.workers[request.path_params["worker"]]
        command = from_json(await request.body(), Command)
        return json_response(worker.handle(command))

    async def report(self, request: Request) -> Response:
        """Returns a worker's next report."""
        worker = self.workers[request.path_params["worker"]]
        after = int(request.query_params["after"])
        wait_s = float(request.query_params["wait_s"])
        return json_response(await worker.wait_report(after, wait_s))

    def backend(self, request: Request) -> FakeBackend:
        """Returns the backend server that a request names."""
        worker = WorkerId(request.path_params["worker"])
        if worker not in self.backends:
            self.backends[worker] = FakeBackend(self.workers[worker])
        return self.backends[worker]

    async def probe(self, request: Request) -> Response:
        """Tells an owner what runs on a backend server."""
        probe = from_json(await request.body(), Probe)
        self.note_client(request)
        return json_response(self.backend(request).probe(probe))

    async def serve(self, request: Request) -> Response:
        """Answers as the backend server of a service."""
        backend = self.backend(request)
        body = await request.body()
        attempt = AttemptId(request.headers.get(REQUEST_ID_HEADER, ""))
        headers = {REQUEST_ID_HEADER: attempt}
        refusal = backend.refusal(
            attempt,
            ServiceId(request.path_params["service"]),
            int(request.headers.get(EPOCH_HEADER, "0")),
            int(request.headers.get(INCARNATION_HEADER, "0")),
        )
        if refusal:
            return Response(
                status_code=503, headers={**headers, REFUSAL_HEADER: refusal}
            )
        backend.start_attempt(attempt)
        self.runs[request_of(attempt)] += 1
        self.bodies[body[:COUNTED_BODY_BYTES]] += 1
        self.note_client(request)
        try:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(SERVICE_TIME_S)
        finally:
            backend.end_attempt(attempt)
        return Response(body, headers=headers)

    def note_client(self, request: Request) -> None:
        """Counts the connections that sent anything within their idle time."""
        now = anyio.current_time()
        worker = WorkerId(request.path_params["worker"])
        seen = self.clients.setdefault(worker, {})
        seen[str(request.client)] = now
        for client, at in list(seen.items()):
            if now - at > KEEPALIVE_EXPIRY_S:
                del seen[client]
        self.most_connections = max(self.most_connections, len(seen))

    async def serving(self, request: Request) -> Response:
        """Lists the workers on which a service runs."""
        service = request.path_params["service"]
        found = []
        for worker_id, worker in self.workers.items():
            if service in {run.view.service for run in worker.running.values()}:
                found.append(worker_id)
        return json_response(found)

    async def counts(self, request: Request) -> Response:
        """Tells what the backend servers have counted."""
        most = [backend.max_running for backend in self.backends.values()]
        return json_response(
            {
                "runs": {body.decode(): runs for body, runs in self.bodies.items()},
                "most_running": max(most, default=0),
                "most_connections": self.most_connections,
            }
        )
