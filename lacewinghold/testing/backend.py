"""Fake backend servers that count what ran."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.routing.base import BackendAnswer, BackendLinks

if TYPE_CHECKING:
    from lacewinghold.ids import RequestId, WorkerId
    from lacewinghold.routing.base import BackendRequest
    from lacewinghold.schema.generated.worker import WorkerRecord
    from lacewinghold.testing.worker import FakeWorker

SERVICE_TIME_S = 0.02


class MemoryBackendLinks(BackendLinks):
    """Backend servers on the fake workers of the same process.

    :param workers: The fakes by id.
    """

    name = "memory"

    def __init__(self, workers: dict[WorkerId, FakeWorker]) -> None:
        self.workers = workers
        self.runs: Counter[RequestId] = Counter()
        self.busy: Counter[WorkerId] = Counter()
        self.most_busy: Counter[WorkerId] = Counter()

    def serves(self, worker: FakeWorker, request: BackendRequest) -> bool:
        """Returns whether the service runs on a worker."""
        return worker.alive and any(
            execution.view.service == request.service
            for execution in worker.running.values()
        )

    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[BackendAnswer, Failure]:
        fake = self.workers[worker.worker]
        if not self.serves(fake, request):
            return Err(Failure(ErrorKind.NOT_RUN, "connection refused"))
        self.runs[request.request] += 1
        self.busy[worker.worker] += 1
        self.most_busy[worker.worker] = max(
            self.most_busy[worker.worker], self.busy[worker.worker]
        )
        try:
            await anyio.sleep(SERVICE_TIME_S)
        finally:
            self.busy[worker.worker] -= 1
        if not fake.alive:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "connection reset"))
        return Ok(BackendAnswer(request.request, 200, request.body))
