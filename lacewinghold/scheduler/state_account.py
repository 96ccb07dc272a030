"""How much memory the owner's jobs take, and whose further jobs are refused for it.

The module does no input or output. The limit follows from the smallest machine in the
cell, so that any instance can load what another one has accepted.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lacewinghold.util.http_limits import DEFAULT_MEMORY_MB, MIB

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lacewinghold.scheduler.ended_jobs import EndedJob
    from lacewinghold.schema.generated.cell import CellJob

STATE_SHARE = 0.2  # Of the memory of a machine.
# Approximate sizes, with the entries of the tables that hold them.
JOB_BYTES = 2500
STEP_BYTES = 1300
ENDED_BYTES = 500
LARGE_SHARE = 1 / 64  # Of the limit; a job beyond it is a large one.
LARGE_LIMIT_SHARE = 0.5
FREED_WEIGHT = 0.2  # Of the latest check in the mean of what is freed.
MIN_WAIT_S = 1.0
MAX_WAIT_S = 10.0  # Nothing is known of what is freed later.


def group_of(record: CellJob) -> str:
    """Returns the organisation of a job, or its queue if it has none."""
    return record.organisation or record.queue


def job_bytes(record: CellJob) -> int:
    """Returns the approximate memory of an accepted job, in bytes.

    Of a scheduled job, one occurrence is built at first.
    """
    return record_bytes(record) + STEP_BYTES * len(record.steps)


def record_bytes(record: CellJob) -> int:
    """Returns the approximate memory of a job without its steps, in bytes."""
    return JOB_BYTES + len(record.program)


class StateAccount:
    """The memory of the jobs that the owner holds, by organisation or queue.

    :ivar held: Approximate memory by group, in bytes.
    :ivar freed_per_s: Recent mean of the memory that is freed, in bytes per second.
    """

    def __init__(self) -> None:
        self.held: Counter[str] = Counter()
        self.total = 0
        self.limit = int(STATE_SHARE * DEFAULT_MEMORY_MB * MIB)
        self.freed = 0
        self.freed_per_s = 0.0

    def set_limit(self, memories_mb: Iterable[float]) -> None:
        """Derives the limit from the machines of the cell, 0 for an unknown one."""
        smallest = min(memory or DEFAULT_MEMORY_MB for memory in memories_mb)
        self.limit = int(STATE_SHARE * smallest * MIB)

    def add_job(self, record: CellJob) -> None:
        """Adds an open job without its steps."""
        self.add(group_of(record), record_bytes(record))

    def remove_job(self, record: CellJob) -> None:
        """Removes a job without its steps."""
        self.add(group_of(record), -record_bytes(record))

    def add_steps(self, record: CellJob, count: int) -> None:
        """Adds steps of a job that have been built; a negative number removes some."""
        self.add(group_of(record), STEP_BYTES * count)

    def add_ended(self, ended: EndedJob) -> None:
        """Adds the outcome of a job."""
        self.add(ended.group, ENDED_BYTES)

    def remove_ended(self, ended: EndedJob) -> None:
        """Removes the outcome of a job."""
        self.add(ended.group, -ENDED_BYTES)

    def add(self, group: str, size: int) -> None:
        """Adds to the memory of a group."""
        self.held[group] += size
        self.total += size
        self.freed -= min(0, size)
        if self.held[group] <= 0:
            del self.held[group]

    def update(self, elapsed_s: float) -> dict[str, float]:
        """Updates the rate at which memory is freed.

        :param elapsed_s: Seconds since the last update.
        :returns: The groups whose jobs to refuse, with the seconds until there is room.
        """
        rate = self.freed / max(elapsed_s, MIN_WAIT_S)
        self.freed_per_s += FREED_WEIGHT * (rate - self.freed_per_s)
        self.freed = 0
        wait_s = self.wait_s()
        return {group: wait_s for group in self.held if group and self.is_full(group)}

    def is_full(self, group: str, size: int = 0) -> bool:
        """Returns whether further jobs of a group are refused.

        Of several groups, those are refused that hold as much as the mean or more. Jobs
        that ended under an earlier owner count for none.

        :param size: Size of the job; large ones may use a part of the memory only, so
            that they leave room for small ones.
        """
        large = size > LARGE_SHARE * self.limit
        limit = self.limit * LARGE_LIMIT_SHARE if large else self.limit
        if self.total < limit or group not in self.held:
            return False
        others = [size for name, size in self.held.items() if name]
        return self.held[group] * len(others) >= sum(others)

    def wait_s(self) -> float:
        """Returns the expected seconds until there is room."""
        beyond = self.total - self.limit
        if beyond <= 0 or self.freed_per_s <= 0:
            return MIN_WAIT_S if beyond <= 0 else MAX_WAIT_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, beyond / self.freed_per_s))
