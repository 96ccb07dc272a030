"""Interfaces of the scheduler to the platform, as types of its own."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, ClassVar

from msgspec import Struct, field

# msgspec needs these types at run time to decode entries.
from lacewinghold.ids import ANY_INCARNATION, Incarnation, OrganisationId, WorkerId
from lacewinghold.schema.generated.cell import QueueRules
from lacewinghold.util.codec import MAX_INTEGER

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.ids import Epoch
    from lacewinghold.schema.generated.cell import CellJob

MAX_LISTED_ENDS = 500  # Of one report; acknowledged ends make room for the next.


class Resources(Struct, frozen=True):
    """An amount of each resource of a worker."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Returns the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Returns this amount multiplied by a count."""
        return Resources(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )

    def within(self, other: Resources) -> bool:
        """Returns whether no resource exceeds that of another amount."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


class AdviceRules(Struct, frozen=True):
    """Timing of the advice service of a queue.

    :param decide_s: Fixed time of a call in seconds.
    :param per_worker_s: Additional time for each worker in the call, in seconds.
    :param valid_s: How long a ticket is valid, in seconds.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


class Queue(Struct, frozen=True):
    """A queue as the operators' manifest describes it.

    :param urgency: Priority; 0 is the most urgent.
    :param stretch: Target for a job's total time as a multiple of its critical path.
    :param slack_s: Seconds that the target allows in addition.
    :param requires_key: Whether its callers must send the key of an organisation.
    """

    name: str
    host: str
    prefix: str
    service: str
    urgency: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 0.0
    advice: AdviceRules | None = None
    requires_key: bool = False

    def is_job_path(self, path: str, job: str) -> bool:
        """Returns whether a path names a job of this queue."""
        return path == self.prefix + job

    def to_rules(self) -> QueueRules:
        """Returns the rules as they are stored with a job."""
        rules = QueueRules(
            service=self.service,
            urgency=self.urgency,
            max_attempts=self.max_attempts,
            stretch=self.stretch,
            slack_s=self.slack_s,
        )
        if self.advice is not None:
            rules.advice_decide_s = self.advice.decide_s
            rules.advice_per_worker_s = self.advice.per_worker_s
            rules.advice_valid_s = self.advice.valid_s
        return rules


def stored_queue(record: CellJob) -> Queue:
    """Returns the queue of a job, with the rules in force when it was accepted."""
    rules = record.rules
    advice = None
    if rules.advice_decide_s >= 0:
        advice = AdviceRules(
            rules.advice_decide_s, rules.advice_per_worker_s, rules.advice_valid_s
        )
    return Queue(
        name=record.queue,
        host=record.host,
        prefix=record.path,
        service=rules.service,
        urgency=rules.urgency,
        max_attempts=rules.max_attempts,
        stretch=rules.stretch,
        slack_s=rules.slack_s,
        advice=advice,
    )


class Organisation(Struct, frozen=True):
    """An organisation that shares the cell with others.

    :param key_hashes: Hashes of the keys that its callers send.
    :param weight: Its share of a full cell relative to the others, and the number of
        jobs per second that it may submit.
    :param cap: What its tasks may use at a time, over all workers; 0 is unlimited.
    """

    name: OrganisationId
    key_hashes: frozenset[str] = frozenset()
    weight: float = 0.0
    cap: Resources = Resources()


class Manifest(Struct, frozen=True):
    """One version of the operators' manifest.

    :param organisations: The organisations by name; ``None`` if callers need no keys.
    """

    version: int
    queues: list[Queue]
    organisations: dict[OrganisationId, Organisation] | None = None

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host with the longest matching path prefix."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


def is_addressable(worker: str, incarnation: int) -> bool:
    """Returns whether orders to an incarnation of a worker can be encoded.

    Messages carry its number, and headers its id.
    """
    if not worker or not worker.isascii() or not worker.isprintable() or " " in worker:
        return False
    return ANY_INCARNATION <= incarnation <= MAX_INTEGER


class ServerState(StrEnum):
    """State that a worker reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(Struct, frozen=True):
    """A worker's own entry in the platform's store.

    :param remaining_s: Guaranteed time until a draining worker leaves, in seconds.
    """

    worker: WorkerId
    incarnation: Incarnation
    service: str
    address: str
    data_centre: str
    state: ServerState
    capacity: Resources
    labels: frozenset[str]
    rack: str = ""
    remaining_s: float | None = None


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(Struct, frozen=True):
    """A run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: float


class EndReport(Struct, frozen=True):
    """An end that a worker lists until it is acknowledged."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


class WorkerReport(Struct, frozen=True):
    """A worker's reply to a poll: its clock, runs and unacknowledged ends.

    It lists at most ``MAX_LISTED_ENDS`` ends, those with the lowest numbers.
    """

    clock_ms: float
    runs: list[RunReport] = field(default_factory=list)
    ends: list[EndReport] = field(default_factory=list)


class OrderOutcome(StrEnum):
    """Outcome of an order to a worker."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_incarnation"
    UNHEALTHY = "unhealthy"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class OrderReply(Struct, frozen=True):
    """A worker's reply to an order.

    :param clock_ms: The worker's clock; ``None`` if the reply has none.
    """

    outcome: OrderOutcome
    clock_ms: float | None = None


class StartOrder(Struct, frozen=True):
    """An order to start one task.

    :param lease_until_ms: End of the lease on the worker, on the worker's clock. The
        lease covers all runs there.
    :param epoch: Fencing token; workers refuse an older one than they have seen.
    """

    task: str
    run: int
    program: str
    lease_until_ms: float
    epoch: Epoch
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(Struct, frozen=True):
    """An order to stop one run."""

    task: str
    run: int
    epoch: Epoch


class PollOrder(Struct, frozen=True):
    """A poll of a worker, which renews the lease and acknowledges ends.

    :param acknowledged: Number of the last end that the owner has processed.
    :param wait_s: Long polling: how long the reply may wait for an end, in seconds.
    """

    epoch: Epoch
    acknowledged: int
    lease_until_ms: float | None = None
    wait_s: float = 0.0


class WorkerCalls(ABC):
    """Calls to one incarnation of a worker.

    However late a call is sent, no other incarnation carries out its start, or counts
    its acknowledgement or lease as its own.
    """

    name: ClassVar[str]

    @abstractmethod
    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        """Starts a task; idempotent for the same run."""

    @abstractmethod
    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        """Stops a run; if it has not started yet, the worker will refuse its start."""

    @abstractmethod
    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        """Renews the lease and returns the runs and the unacknowledged ends."""

    @abstractmethod
    async def close(self) -> None:
        """Closes the connections."""


class WorkerDialer(ABC):
    """Opens calls to workers."""

    name: ClassVar[str]

    @abstractmethod
    def open(self, entry: WorkerEntry) -> WorkerCalls:
        """Returns the calls to one incarnation of a worker."""


class Ticket(Struct, frozen=True):
    """Permission to run the tasks of a step on a worker."""

    worker: WorkerId
    text: str


class AdviceCalls(ABC):
    """Calls to the service that knows which workers may run a step."""

    name: ClassVar[str]

    @abstractmethod
    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        """Returns a ticket for each of the workers that may run the step."""
