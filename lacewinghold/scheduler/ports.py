"""What the scheduler needs from the outside, in its own words."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, ClassVar

from msgspec import Struct, field

# Entries are decoded, for which their types are looked up at run time.
from lacewinghold.ids import Incarnation, WorkerId  # noqa: TC001
from lacewinghold.schema.generated.cell import QueueRules

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.ids import Epoch
    from lacewinghold.schema.generated.cell import CellJob


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
        """Returns the sum of so many equal amounts."""
        return Resources(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )

    def within(self, other: Resources) -> bool:
        """Returns whether no resource exceeds another amount."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


class AdviceRules(Struct, frozen=True):
    """How the advice service of a queue answers.

    :param decide_s: Fixed time of a call in seconds.
    :param per_worker_s: Time for each worker named, in seconds.
    :param valid_s: Life of a ticket in seconds.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


class Queue(Struct, frozen=True):
    """A queue as the operators' manifest describes it.

    :param urgency: Smaller is more urgent; 0 comes first.
    :param stretch: Objective as a multiple of a job's longest chain of work.
    :param slack_s: Seconds that the objective allows beyond that.
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
    """Returns the queue of a job as it was when the job was accepted."""
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


class Manifest(Struct, frozen=True):
    """One version of the operators' manifest."""

    version: int
    queues: list[Queue]

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host with the longest prefix of a path."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


class ServerState(StrEnum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(Struct, frozen=True):
    """A worker's own entry in the platform's store.

    :param remaining_s: Seconds that a draining worker surely stays.
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
    """A worker's answer to a look: its clock, runs and unacknowledged ends."""

    clock_ms: float
    runs: list[RunReport] = field(default_factory=list)
    ends: list[EndReport] = field(default_factory=list)


class OrderOutcome(StrEnum):
    """What became of an order to a worker."""

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
    """A worker's answer to an order; the clock is ``None`` if it told none."""

    outcome: OrderOutcome
    clock_ms: float | None = None


class StartOrder(Struct, frozen=True):
    """An order to start one task.

    :param lease_until_ms: On the worker's clock; for all that runs there.
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
    """A look at a worker, which renews the lease and acknowledges ends.

    :param wait_s: How long the answer may wait for an end, in seconds.
    """

    epoch: Epoch
    acknowledged: int
    lease_until_ms: float | None = None
    wait_s: float = 0.0


class WorkerCalls(ABC):
    """Calls to one incarnation of a worker."""

    name: ClassVar[str]

    @abstractmethod
    async def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        """Starts a task; the same run twice is one start."""

    @abstractmethod
    async def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        """Stops a run, or refuses it in advance if it is not there yet."""

    @abstractmethod
    async def poll(
        self, order: PollOrder, timeout_s: float
    ) -> WorkerReport | OrderOutcome:
        """Renews the lease and returns what runs and what ended."""

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
    """The service that knows which workers may run a step."""

    name: ClassVar[str]

    @abstractmethod
    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        """Returns a ticket for each of the workers that may run the step."""
