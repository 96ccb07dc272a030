"""Serves operators on the metrics listener: metrics, and explanations of placements."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import anyio
from result import Err, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.organisations.authentication import Caller
from lacewinghold.platform.front import Call, PlatformFront, WireJob, to_record
from lacewinghold.scheduler.placement_query import JobExplanation, PlacementQuery
from lacewinghold.util.codec import parse_json
from lacewinghold.util.metrics_http import MetricsApp

if TYPE_CHECKING:
    from lacewinghold.scheduler.cell import CellInstance

EXPLAIN_PATH = "/explain"
BODY_TIMEOUT_S = 3.0


class OperatorsApp:
    """An ASGI application that explains placements, and returns the metrics otherwise.

    Its listener is the operators' only; it knows no keys. Nothing that it does changes
    the cell.

    :param instance: The entry instance that serves the requests.
    """

    def __init__(self, instance: CellInstance) -> None:
        self.instance = instance
        self.front = PlatformFront(instance)
        self.metrics = MetricsApp(instance.render_metrics)
        self.query = PlacementQuery(instance)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serves one HTTP request or the ASGI lifespan protocol."""
        if scope["type"] != "http" or scope["path"] != EXPLAIN_PATH:
            await self.metrics(scope, receive, send)
            return
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        if scope["method"] == "GET":
            result = self.query.explain_open(query.get("job", ""))
        elif scope["method"] == "POST":
            result = await self.explain_new(query, receive)
        else:
            failure = Failure(ErrorKind.METHOD_NOT_ALLOWED, "expected GET or POST")
            result = Err(failure)
        await self.front.send_result(send, result)

    async def explain_new(
        self, query: dict[str, str], receive: Any
    ) -> Result[JobExplanation, Failure]:
        """Explains a job that is not submitted.

        :param query: Has the ``host`` and ``path`` to which the job would be submitted,
            and optionally the caller's ``organisation``.
        """
        caller = Caller(query.get("organisation", ""))
        call = Call("POST", query.get("host", ""), query.get("path", ""), caller=caller)
        queue = self.instance.front.find_queue(call.host, call.path)
        if isinstance(queue, Err):
            return Err(queue.err_value)
        job = self.instance.front.find_job(queue.ok_value, call.path)
        if isinstance(job, Err):
            return Err(job.err_value)
        with anyio.move_on_after(BODY_TIMEOUT_S) as wait:
            body = await self.front.read_body(receive)
        if wait.cancelled_caught:
            return Err(Failure(ErrorKind.INVALID, "the body did not arrive in time"))
        if isinstance(body, Err):
            return Err(body.err_value)
        wire = parse_json(body.ok_value, WireJob)
        if isinstance(wire, Err):
            return Err(wire.err_value)
        now = self.instance.ports.clock.now()
        record = to_record(wire.ok_value, call, queue.ok_value, job.ok_value, now)
        return self.query.explain_new(record)
