"""Fake backend servers that count requests and inject faults."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import AttemptId, Epoch, Incarnation, RequestId
from lacewinghold.invariants import Invariant, require
from lacewinghold.routing.base import BackendAnswer, BackendLinks
from lacewinghold.routing.http import OBSERVATION_BY_REFUSAL
from lacewinghold.routing.outcomes import AttemptFailure, Observation
from lacewinghold.schema.generated.worker import ProbeReply, WorkerState

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lacewinghold.ids import WorkerId
    from lacewinghold.routing.base import BackendRequest
    from lacewinghold.schema.generated.worker import Probe, WorkerRecord
    from lacewinghold.testing.worker import FakeWorker

SERVICE_TIME_S = 0.02
LATENCY_S = 0.001
DELAY_S = 0.7


class BackendFault(StrEnum):
    """Fault injected into an attempt."""

    REFUSED = "refused"
    RESET_BEFORE_SEND = "reset before the first byte was sent"
    RESET_UNREAD = "reset after sending, the request was never read"
    RESET_RUNNING = "reset after sending, the request runs"
    RESET_DELAYED = "reset after sending, the request arrives later"
    HALF_ANSWER = "half an answer"
    WRONG_ANSWER = "answer for another request"
    SILENT_REQUEST = "the request never arrives"
    SILENT_ANSWER = "the answer never arrives"
    SLOW = "the answer takes long"


SLOW_S = 4.0
OBSERVATION_BY_FAULT: dict[BackendFault, Observation] = {
    BackendFault.RESET_RUNNING: Observation.RESET_AFTER_SEND,
    BackendFault.HALF_ANSWER: Observation.HALF_ANSWER,
    BackendFault.WRONG_ANSWER: Observation.WRONG_ANSWER,
}


def request_of(attempt: AttemptId) -> RequestId:
    """Returns the request that an attempt belongs to."""
    return RequestId(attempt.partition(".")[0])


class FakeBackend(Struct):
    """State of a fake backend server."""

    worker: FakeWorker
    epoch: Epoch = Epoch(0)
    incarnation: Incarnation = Incarnation(0)
    running: set[AttemptId] = field(default_factory=set)
    seen: set[AttemptId] = field(default_factory=set)
    settled: set[AttemptId] = field(default_factory=set)
    max_running: int = 0
    leaving: bool = False
    reads_instance_list: bool = True

    def refresh(self) -> None:
        """Resets the state if the worker was restarted."""
        if self.incarnation == self.worker.incarnation:
            return
        self.incarnation = self.worker.incarnation
        self.epoch = Epoch(0)
        for known in (self.running, self.seen, self.settled):
            known.clear()

    def is_leaving(self) -> bool:
        """Returns whether the server refuses new work because it is leaving."""
        listed = self.worker.record.state is WorkerState.LEAVING
        return self.leaving or (self.reads_instance_list and listed)

    def refusal(
        self, attempt: AttemptId, service: str, epoch: int, incarnation: int
    ) -> str:
        """Returns why an attempt is refused, or the empty string."""
        self.refresh()
        services = {run.view.service for run in self.worker.running.values()}
        if service not in services:
            return "absent"
        if self.is_leaving():
            return "leaving"
        if incarnation != self.incarnation:
            return "incarnation"
        if epoch < self.epoch:
            return "epoch"
        return "settled" if attempt in self.settled | self.seen else ""

    def start_attempt(self, attempt: AttemptId) -> None:
        """Starts an attempt and checks the slot limit."""
        self.seen.add(attempt)
        self.running.add(attempt)
        self.max_running = max(self.max_running, len(self.running))
        within_slots = len(self.running) <= self.worker.record.slots
        require(Invariant.SLOTS, within_slots, self.worker.record.worker)

    def end_attempt(self, attempt: AttemptId) -> None:
        """Ends an attempt."""
        self.running.discard(attempt)

    def probe(self, probe: Probe) -> ProbeReply:
        """Fences older epochs, settles attempts and returns those that run."""
        self.refresh()
        accepted = probe.epoch >= self.epoch
        unseen = []
        if accepted:
            self.epoch = probe.epoch
            for attempt in probe.settle:
                self.settled.add(attempt)
                if attempt not in self.seen:
                    unseen.append(attempt)
        return ProbeReply(
            accepted=accepted,
            incarnation=self.incarnation,
            running=sorted(self.running),
            unseen=unseen,
            leaving=self.is_leaving(),
        )


class MemoryBackendLinks(BackendLinks):
    """Backend servers on the fake workers of the same process.

    :param workers: The fakes by id.
    :param tasks: Task group in which requests run, even if their sender is gone.
    """

    name = "memory"

    def __init__(self, workers: dict[WorkerId, FakeWorker], tasks: TaskGroup) -> None:
        self.workers = workers
        self.tasks = tasks
        self.backends: dict[WorkerId, FakeBackend] = {}
        self.faults: list[BackendFault] = []
        self.service_time_s: dict[WorkerId, float] = {}
        self.default_time_s = SERVICE_TIME_S
        self.unreachable: set[WorkerId] = set()
        self.runs: Counter[RequestId] = Counter()
        self.bodies: Counter[bytes] = Counter()
        self.arrivals: Counter[WorkerId] = Counter()
        self.last_arrival: dict[WorkerId, float] = {}

    def backend(self, worker: WorkerId) -> FakeBackend:
        """Returns the server on a worker."""
        if worker not in self.backends:
            self.backends[worker] = FakeBackend(self.workers[worker])
        return self.backends[worker]

    async def exchange(
        self, worker: WorkerRecord, request: BackendRequest
    ) -> Result[BackendAnswer, AttemptFailure]:
        fault = self.faults.pop() if self.faults else None
        fake = self.workers[worker.worker]
        if fault is BackendFault.REFUSED or not fake.alive:
            return Err(AttemptFailure(Observation.REFUSED))
        if fault is BackendFault.RESET_BEFORE_SEND:
            return Err(AttemptFailure(Observation.RESET_BEFORE_SEND))
        await anyio.sleep(LATENCY_S)
        if fault is BackendFault.RESET_UNREAD:
            return Err(AttemptFailure(Observation.RESET_AFTER_SEND))
        if fault is BackendFault.RESET_DELAYED:
            self.tasks.start_soon(self.arrive, worker, request, None, DELAY_S)
            return Err(AttemptFailure(Observation.RESET_AFTER_SEND))
        if fault is BackendFault.SILENT_REQUEST or worker.worker in self.unreachable:
            await anyio.sleep_forever()
        started = self.start(worker, request, fault)
        if isinstance(started, AttemptFailure):
            return Err(started)
        if fault is BackendFault.RESET_RUNNING:
            return Err(AttemptFailure(Observation.RESET_AFTER_SEND))
        await started.wait()
        await anyio.sleep(LATENCY_S)
        if fault is BackendFault.SILENT_ANSWER or worker.worker in self.unreachable:
            await anyio.sleep_forever()
        if fault in OBSERVATION_BY_FAULT:
            return Err(AttemptFailure(OBSERVATION_BY_FAULT[fault]))
        if not fake.alive:
            return Err(AttemptFailure(Observation.RESET_AFTER_SEND))
        return Ok(BackendAnswer(request.attempt, 200, request.body))

    def start(
        self, worker: WorkerRecord, request: BackendRequest, fault: BackendFault | None
    ) -> anyio.Event | AttemptFailure:
        """Starts an attempt, which runs in the background."""
        backend = self.backend(worker.worker)
        refusal = backend.refusal(
            request.attempt, request.service, request.epoch, request.incarnation
        )
        if refusal:
            return AttemptFailure(OBSERVATION_BY_REFUSAL[refusal], refusal)
        backend.start_attempt(request.attempt)
        self.runs[request_of(request.attempt)] += 1
        self.bodies[request.body] += 1
        self.arrivals[worker.worker] += 1
        self.last_arrival[worker.worker] = anyio.current_time()
        run_s = self.service_time_s.get(worker.worker, self.default_time_s)
        if fault is BackendFault.SLOW:
            run_s = SLOW_S
        ended = anyio.Event()
        self.tasks.start_soon(self.run, backend, request.attempt, run_s, ended)
        return ended

    async def run(
        self, backend: FakeBackend, attempt: AttemptId, run_s: float, ended: anyio.Event
    ) -> None:
        """Runs an attempt."""
        await anyio.sleep(run_s)
        backend.end_attempt(attempt)
        ended.set()

    async def arrive(
        self,
        worker: WorkerRecord,
        request: BackendRequest,
        fault: BackendFault | None,
        delay_s: float,
    ) -> None:
        """Delivers an attempt late."""
        await anyio.sleep(delay_s)
        self.start(worker, request, fault)

    async def probe(
        self, worker: WorkerRecord, probe: Probe
    ) -> Result[ProbeReply, Failure]:
        await anyio.sleep(LATENCY_S)
        if worker.worker in self.unreachable:
            await anyio.sleep_forever()
        if not self.workers[worker.worker].alive:
            return Err(Failure(ErrorKind.UNREACHABLE, "connection refused"))
        reply = self.backend(worker.worker).probe(probe)
        await anyio.sleep(LATENCY_S)
        return Ok(reply)
