"""A stand-in advice service that issues tickets with a limited validity."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.scheduler.ports import AdviceCalls, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lacewinghold.ids import Incarnation, WorkerId
    from lacewinghold.scheduler.ports import AdviceRules

MAX_WORKERS_PER_CALL = 100
MAX_WAITING_CALLS = 32  # Per instance.


class IssuedTicket(Struct, frozen=True):
    """What an issued ticket permits."""

    step: str
    worker: WorkerId
    incarnation: Incarnation
    valid_until: float


class AdviceService(Struct):
    """The service that instances ask for tickets and workers check them against.

    :param rules_of: Returns the rules of a step's queue, ``None`` without advice.
    :param incarnation_of: Returns the present incarnation of a worker.
    :param permitted_share: Share of the workers that may run a step, 0 to 1.
    :param silent: Whether no call is answered.
    """

    rules_of: Callable[[str], AdviceRules | None]
    incarnation_of: Callable[[WorkerId], Incarnation]
    permitted_share: float = 1.0
    silent: bool = False
    issued: dict[str, IssuedTicket] = field(default_factory=dict)
    calls: int = 0

    def permits(self, step: str, worker: WorkerId) -> bool:
        """Returns whether a worker may run a step; constant for each pair."""
        return random.Random(f"{step}/{worker}").random() < self.permitted_share

    def issue(self, step: str, worker: WorkerId, valid_s: float) -> Ticket:
        """Returns a new ticket."""
        text = f"{step}/{worker}/{len(self.issued)}"
        valid_until = anyio.current_time() + valid_s
        incarnation = self.incarnation_of(worker)
        self.issued[text] = IssuedTicket(step, worker, incarnation, valid_until)
        return Ticket(worker, text)

    def accepts_ticket(self, step: str, worker: WorkerId, text: str) -> bool:
        """Returns whether a ticket is valid for a start of a step on a worker."""
        if self.rules_of(step) is None:
            return True
        found = self.issued.get(text)
        if found is None or found.step != step or found.worker != worker:
            return False
        if found.incarnation != self.incarnation_of(worker):
            return False
        return anyio.current_time() <= found.valid_until


class MemoryAdvice(AdviceCalls):
    """Advice calls of one instance; the service handles one call at a time."""

    name = "memory"

    def __init__(self, service: AdviceService) -> None:
        self.service = service
        self.call_lock = anyio.Lock()

    async def ask(
        self, step: str, workers: Sequence[WorkerId], timeout_s: float
    ) -> Result[list[Ticket], Failure]:
        if self.call_lock.statistics().tasks_waiting >= MAX_WAITING_CALLS:
            return Err(Failure(ErrorKind.OVERLOADED, "too many calls are waiting"))
        rules = self.service.rules_of(step)
        if rules is None:
            return Err(Failure(ErrorKind.INVALID, "the queue asks for no advice"))
        if len(workers) > MAX_WORKERS_PER_CALL:
            return Err(Failure(ErrorKind.INVALID, "too many workers are named"))
        self.service.calls += 1
        with anyio.move_on_after(timeout_s):
            async with self.call_lock:
                if self.service.silent:
                    await anyio.sleep_forever()
                await anyio.sleep(rules.decide_s + rules.per_worker_s * len(workers))
            tickets = []
            for worker in workers:
                if self.service.permits(step, worker):
                    tickets.append(self.service.issue(step, worker, rules.valid_s))
            return Ok(tickets)
        return Err(Failure(ErrorKind.UNREACHABLE, "no answer in time"))
