"""Admission control: refuses jobs that the cell cannot start in time."""

from __future__ import annotations

import math
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field

from lacewinghold.organisations.excess import ExcessEstimator
from lacewinghold.scheduler.election import LATE_THRESHOLD_S
from lacewinghold.scheduler.model import HOPELESS_MULTIPLE, critical_path_s
from lacewinghold.scheduler.ports import Resources
from lacewinghold.scheduler.room import fitting_count
from lacewinghold.scheduler.state_account import STATE_SHARE, group_of, job_bytes
from lacewinghold.util.http_limits import DEFAULT_MEMORY_MB, MIB

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lacewinghold.scheduler.cell import CellInstance
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.owner import CellOwner
    from lacewinghold.scheduler.ports import Queue
    from lacewinghold.schema.generated.cell import CellJob

BACKLOG_CHECK_INTERVAL_S = 1.0
# One or two notices may be lost; the notice of a dead owner expires soon.
BACKLOG_VALID_S = 2.5
MIN_CONSECUTIVE_CHECKS = 3  # A burst fills the cell for a shorter time.
RATE_WINDOW_CHECKS = 5  # Checks over which the rate of starts is computed.
FULL_POOL_SHARE = 0.8  # Large tasks do not fit into the remaining capacity.
STORING_SHARE = 0.5  # Of the memory for jobs, for those that are being stored.
MAX_EXPECTED_WAIT_S = 60.0  # Longer waits cannot be predicted.


class Backlog(Struct):
    """The owner's backlog, as last received by an instance.

    :param term: Ownership term of the owner that sent it.
    :param received_at: When it was received, on the runtime's clock.
    :param waits_s: Expected seconds until a new job would start, by queue; only
        queues with a long wait are listed.
    :param excess: Share of the submissions to refuse, 0 to 1, by organisation.
    :param full_s: Seconds until the owner has room in memory, by organisation or queue;
        only those without room are listed.
    """

    term: int = 0
    received_at: float = -math.inf
    waits_s: dict[str, float] = {}
    excess: dict[str, float] = {}
    full_s: dict[str, float] = {}


class Admission:
    """Predicts from the owner's backlog whether a new job would start too late."""

    def __init__(self, instance: CellInstance) -> None:
        self.instance = instance
        self.backlog = Backlog()
        memory_mb = instance.memory_mb or DEFAULT_MEMORY_MB
        self.storing_limit = int(STORING_SHARE * STATE_SHARE * memory_mb * MIB)
        self.storing_bytes = 0

    def update_backlog(
        self,
        term: int,
        waits_s: dict[str, float],
        excess: dict[str, float] | None = None,
        full_s: dict[str, float] | None = None,
    ) -> None:
        """Records the backlog that an owner has sent, unless its term is outdated."""
        if term >= self.backlog.term:
            now = anyio.current_time()
            self.backlog = Backlog(term, now, waits_s, excess or {}, full_s or {})

    def has_valid_backlog(self) -> bool:
        """Returns whether the backlog is recent and of the owner in office."""
        owner = self.instance.election.owner
        if owner is None or owner.term != self.backlog.term:
            return False
        return anyio.current_time() - self.backlog.received_at <= BACKLOG_VALID_S

    @contextmanager
    def storing(self, record: CellJob) -> Iterator[bool]:
        """Counts the memory of a job that is being stored.

        :returns: Whether there is room; a single job always has it.
        """
        size = job_bytes(record)
        if self.storing_bytes and self.storing_bytes + size > self.storing_limit:
            yield False
            return
        self.storing_bytes += size
        try:
            yield True
        finally:
            self.storing_bytes -= size

    def full_wait_s(self, record: CellJob) -> float:
        """Returns the seconds until the owner has room for a job, 0 if it has now."""
        group = group_of(record)
        active = self.instance.active_owner()
        if active is not None:
            account = active.state_account
            full = account.is_full(group, job_bytes(record))
            return account.wait_s() if full else 0.0
        if group not in self.backlog.full_s or not self.has_valid_backlog():
            return 0.0
        return self.backlog.full_s[group]

    def is_excess(self, record: CellJob) -> bool:
        """Returns whether a submission is in the share to refuse.

        Each submission is drawn at random: a caller that returns is not refused for
        ever, and cannot choose a job id that is always accepted.
        """
        share = self.backlog.excess.get(record.organisation, 0.0)
        if share <= 0 or not self.has_valid_backlog():
            return False
        return self.instance.rng.random() < share

    def excess_wait_s(self, record: CellJob) -> float:
        """Returns by how many seconds a job would start too late for its caller."""
        if not self.backlog.waits_s:
            return 0.0
        if not self.has_valid_backlog():
            return 0.0
        if record.occurrences or any(step.long_running for step in record.steps):
            return 0.0
        rules = record.rules
        # Only the owner learns run times; other instances use the caller's estimates.
        active = self.instance.active_owner()
        run_times_s = active.durations.expected_path_s(record) if active else ()
        work_s = critical_path_s(record.steps, run_times_s)
        objective_s = rules.stretch * work_s + rules.slack_s
        bound_s = max(0.0, HOPELESS_MULTIPLE * objective_s - work_s)
        return max(0.0, self.backlog.waits_s.get(record.queue, 0.0) - bound_s)


class WaitingWork(Struct):
    """Tasks that wait to be started, and the resources that they need.

    :param tasks: Number of tasks for which workers have room now.
    :param cpu_milli_s: Needed CPU in thousandths of a core times seconds of run time,
        of all waiting tasks.
    :param memory_mb_s: Needed memory in MB times seconds of run time.
    :param accelerator_s: Needed accelerators times seconds of run time.
    """

    tasks: int = 0
    cpu_milli_s: float = 0.0
    memory_mb_s: float = 0.0
    accelerator_s: float = 0.0

    def add(self, step: Step, count: int, run_s: float, *, has_room: bool) -> None:
        """Adds waiting tasks of a step.

        :param count: Number of the tasks.
        :param run_s: Expected run time of each task in seconds.
        :param has_room: Whether workers have room, so that the tasks only wait for
            the owner to start them.
        """
        total_s = count * run_s
        self.tasks += count if has_room else 0
        if step.spec.long_running:
            return
        self.cpu_milli_s += total_s * step.room.cpu_millis
        self.memory_mb_s += total_s * step.room.memory_mb
        self.accelerator_s += total_s * step.room.accelerators

    def min_duration_s(self, capacity: Resources) -> float:
        """Returns the minimum seconds that workers of a capacity need for it."""
        duration_s = 0.0
        for demand, amount in (
            (self.cpu_milli_s, capacity.cpu_millis),
            (self.memory_mb_s, capacity.memory_mb),
            (self.accelerator_s, capacity.accelerators),
        ):
            if demand and amount:
                duration_s = max(duration_s, demand / amount)
        return duration_s


class WorkerPool(Struct):
    """The usable workers of one service.

    :param waiting: Waiting work by urgency. Work that has already missed its
        objective or is in excess is left out, since it is started after new jobs.
    :param consecutive_full_checks: Number of latest consecutive checks in which the
        pool was full.
    """

    waiting: dict[int, WaitingWork] = field(default_factory=dict)
    consecutive_full_checks: int = 0

    def work_ahead(self, urgency: int) -> WaitingWork:
        """Returns the work that is started before a new job of an urgency."""
        total = WaitingWork()
        for found, work in self.waiting.items():
            if found > urgency:
                continue
            total.tasks += work.tasks
            total.cpu_milli_s += work.cpu_milli_s
            total.memory_mb_s += work.memory_mb_s
            total.accelerator_s += work.accelerator_s
        return total


class BacklogMonitor:
    """Measures the owner's backlog and notifies the members of long waits."""

    def __init__(self, instance: CellInstance, owner: CellOwner) -> None:
        self.instance = instance
        self.owner = owner
        self.pools: dict[str, WorkerPool] = {}
        self.start_counts: deque[float] = deque(maxlen=RATE_WINDOW_CHECKS + 1)
        self.consecutive_late_checks = 0
        self.excess = ExcessEstimator(instance.metrics)
        self.excess_updated_at = anyio.current_time()
        self.state_updated_at = anyio.current_time()

    async def run(self) -> None:
        """Checks the backlog until cancelled.

        Members are notified only while there is a long wait or a share to refuse.
        """
        try:
            await self.check_repeatedly()
        finally:
            self.excess.replace({})

    async def check_repeatedly(self) -> None:
        """Checks the backlog once a second."""
        while True:
            await anyio.sleep(BACKLOG_CHECK_INTERVAL_S)
            if not self.owner.loaded or not self.owner.may_send_orders():
                continue
            self.record_check()
            waits_s = self.excessive_waits_s()
            excess = self.update_excess()
            full_s = self.update_state()
            if waits_s or excess or full_s:
                found = (self.owner.ownership.term, waits_s, excess, full_s)
                self.instance.admission.update_backlog(*found)
                await self.instance.peer_calls.broadcast_waits(*found)

    def update_state(self) -> dict[str, float]:
        """Returns the seconds until there is room in memory, by full group."""
        now = anyio.current_time()
        account = self.owner.state_account
        members = self.instance.members.members.values()
        account.set_limit(
            [self.instance.memory_mb, *(member.memory_mb for member in members)]
        )
        full_s = account.update(now - self.state_updated_at)
        self.state_updated_at = now
        metrics = self.instance.metrics
        metrics.state_bytes.set(account.total)
        metrics.state_limit_bytes.set(account.limit)
        return full_s

    def update_excess(self) -> dict[str, float]:
        """Returns which share of each organisation's submissions to refuse."""
        now = anyio.current_time()
        full_services = set()
        for service, pool in self.pools.items():
            if pool.consecutive_full_checks >= MIN_CONSECUTIVE_CHECKS:
                full_services.add(service)
        self.excess.update(
            now - self.excess_updated_at,
            self.owner.rates.take_counts(),
            self.owner.state.manifest,
            full_services,
        )
        self.excess_updated_at = now
        return {str(name): share for name, share in self.excess.shares.items()}

    def record_check(self) -> None:
        """Records the waiting work, the pools' use and the number of started tasks."""
        now = anyio.current_time()
        late = self.instance.lag.lag_s > LATE_THRESHOLD_S
        for pool in self.pools.values():
            pool.waiting.clear()
        budget = self.owner.caps.make_budget()
        for step in self.owner.table.open_steps.values():
            job = step.job
            if now - step.due_at > job.objective_s:
                continue
            pool = self.pools.setdefault(job.queue.service, WorkerPool())
            if job.excess:
                continue
            # What waits for its organisation's cap delays no other organisation.
            count = budget.limit(step, step.waiting_count())
            budget.take(step, count)
            if not count:
                continue
            work = pool.waiting.setdefault(job.queue.urgency, WaitingWork())
            run_s = self.owner.durations.expected(step).mean_s
            has_room = late and self.has_room(step, now)
            work.add(step, count, run_s, has_room=has_room)
        for service, pool in self.pools.items():
            full = self.used_share(service, now) >= FULL_POOL_SHARE
            pool.consecutive_full_checks = (
                pool.consecutive_full_checks + 1 if full else 0
            )
        self.consecutive_late_checks = self.consecutive_late_checks + 1 if late else 0
        self.start_counts.append(self.owner.metrics.completed_starts())

    def has_room(self, step: Step, now: float) -> bool:
        """Returns whether the workers have room for a step now."""
        needed = step.spec.tasks if step.spec.all_at_once else 1
        for node in self.owner.fleet.nodes.values():
            if node.entry.service != step.job.queue.service or not node.usable(now):
                continue
            needed -= fitting_count(step.room, node.free(), needed)
            if needed <= 0:
                return True
        return False

    def capacity(self, service: str, now: float) -> tuple[Resources, Resources]:
        """Returns the total and the used capacity of a service's usable workers."""
        capacity, used = Resources(), Resources()
        for node in self.owner.fleet.nodes.values():
            if node.entry.service == service and node.usable(now):
                capacity = capacity.plus(node.entry.capacity)
                used = used.plus(node.used)
        return capacity, used

    def used_share(self, service: str, now: float) -> float:
        """Returns the used share of a service's scarcest resource."""
        capacity, used = self.capacity(service, now)
        share = 0.0
        for taken, amount in (
            (used.cpu_millis, capacity.cpu_millis),
            (used.memory_mb, capacity.memory_mb),
            (used.accelerators, capacity.accelerators),
        ):
            if amount:
                share = max(share, taken / amount)
        return share

    def excessive_waits_s(self) -> dict[str, float]:
        """Returns the waits, by queue, that are too long even for the shortest job."""
        manifest = self.owner.state.manifest
        waits_s = {}
        for queue in manifest.queues if manifest else []:
            wait_s = min(MAX_EXPECTED_WAIT_S, self.expected_wait_s(queue))
            if wait_s > HOPELESS_MULTIPLE * queue.slack_s:
                waits_s[queue.name] = wait_s
        return waits_s

    def expected_wait_s(self, queue: Queue) -> float:
        """Returns the minimum seconds until a new job of a queue would start.

        While workers have room, jobs only wait if the owner itself lags: tasks are
        then expected to start at the rate of the latest checks.
        """
        wait_s = 0.0
        pool = self.pools.get(queue.service)
        if pool is not None and pool.consecutive_full_checks >= MIN_CONSECUTIVE_CHECKS:
            capacity, _ = self.capacity(queue.service, anyio.current_time())
            wait_s = pool.work_ahead(queue.urgency).min_duration_s(capacity)
        if (
            self.consecutive_late_checks < MIN_CONSECUTIVE_CHECKS
            or len(self.start_counts) <= RATE_WINDOW_CHECKS
        ):
            return wait_s
        if not self.owner.recovered:
            # Jobs may wait for the leases of runs of the previous owner to expire.
            return wait_s
        tasks = sum(
            pool.work_ahead(queue.urgency).tasks for pool in self.pools.values()
        )
        if not tasks:
            return wait_s
        rate = (self.start_counts[-1] - self.start_counts[0]) / (
            RATE_WINDOW_CHECKS * BACKLOG_CHECK_INTERVAL_S
        )
        return max(wait_s, tasks / rate if rate else MAX_EXPECTED_WAIT_S)
