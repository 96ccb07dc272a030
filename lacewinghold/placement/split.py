"""Splits jobs that are too large for one shard into parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.placement.capacity import fitting_copies
from lacewinghold.schema.generated.jobs import JobKind
from lacewinghold.schema.generated.records import PartRecord

if TYPE_CHECKING:
    from lacewinghold.ids import ShardId
    from lacewinghold.schema.generated.jobs import JobSpec, Resources


class ShardCapacity(Struct):
    """The total capacities of a shard's workers."""

    shard: ShardId
    workers: list[Resources]


def plan_parts(
    spec: JobSpec, shards: list[ShardCapacity]
) -> Result[list[PartRecord], Failure]:
    """Returns the parts of a job, none if the first shard can run it alone.

    A service is split if the first shard has fewer suitable workers than the service
    has tasks, other work if its tasks cannot all run in that shard at once.

    :param shards: The shards that may be used, the nearest first.
    :returns: ``CANNOT_FIT`` if an all-at-once job would not fit even if all workers
        were idle.
    """
    copies = [count_copies(spec.resources, shard.workers) for shard in shards]
    if spec.kind is JobKind.ALL_AT_ONCE and sum(copies) < spec.tasks:
        detail = f"{spec.tasks} tasks at once; there is room for {sum(copies)}"
        return Err(Failure(ErrorKind.CANNOT_FIT, detail, "$.tasks"))
    limits = copies
    if spec.kind is JobKind.SERVICE:
        large_enough = [count_workers(spec.resources, shard) for shard in shards]
        limits = large_enough if sum(large_enough) >= spec.tasks else copies
    if not limits or limits[0] >= spec.tasks:
        return Ok([])
    chosen_limits: list[int] = []
    for limit in limits:
        chosen_limits.append(limit)
        if sum(chosen_limits) >= spec.tasks:
            break
    shares = divide(spec.tasks, chosen_limits)
    parts = []
    for shard, tasks in zip(shards, shares, strict=False):
        if tasks:
            parts.append(PartRecord(shard=shard.shard, tasks=tasks))
    return Ok(parts if len(parts) > 1 else [])


def count_copies(need: Resources, workers: list[Resources]) -> int:
    """Returns how many tasks of equal need fit on workers of some capacities."""
    return sum(fitting_copies(need, worker) for worker in workers)


def count_workers(need: Resources, shard: ShardCapacity) -> int:
    """Returns how many workers of a shard are large enough for one task."""
    return sum(fitting_copies(need, worker) > 0 for worker in shard.workers)


def divide(total: int, weights: list[int]) -> list[int]:
    """Divides a number in proportion to weights, by largest remainders.

    No share exceeds its weight unless the number exceeds the sum of the weights.
    """
    total_weight = sum(weights)
    if not total_weight:
        return [0 for _ in weights]
    shares = [total * weight // total_weight for weight in weights]
    remainders = [-(total * weight % total_weight) for weight in weights]
    order = sorted(range(len(weights)), key=lambda index: remainders[index])
    for index in order[: total - sum(shares)]:
        shares[index] += 1
    return shares
