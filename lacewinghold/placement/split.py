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
    """The workers of a shard, by what each has when it is empty."""

    shard: ShardId
    workers: list[Resources]


def plan_parts(
    spec: JobSpec, shards: list[ShardCapacity]
) -> Result[list[PartRecord], Failure]:
    """Returns the parts of a job, none if the first shard is large enough.

    A service is split as soon as a shard has fewer workers than the service has
    tasks, other work as soon as its tasks cannot all run in one shard.

    :param shards: The shards that may be used, the nearest first.
    :returns: ``CANNOT_FIT`` if the job could not even run on empty workers.
    """
    copies = [count_copies(spec.resources, shard) for shard in shards]
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


def count_copies(need: Resources, shard: ShardCapacity) -> int:
    """Returns how many tasks of a size fit a shard's empty workers."""
    return sum(fitting_copies(need, worker) for worker in shard.workers)


def count_workers(need: Resources, shard: ShardCapacity) -> int:
    """Returns how many workers of a shard are large enough for one task."""
    return sum(fitting_copies(need, worker) > 0 for worker in shard.workers)


def divide(total: int, weights: list[int]) -> list[int]:
    """Divides a number by weights; no share exceeds its weight if all can."""
    total_weight = sum(weights)
    if not total_weight:
        return [0 for _ in weights]
    shares = [total * weight // total_weight for weight in weights]
    remainders = [-(total * weight % total_weight) for weight in weights]
    order = sorted(range(len(weights)), key=lambda index: remainders[index])
    for index in order[: total - sum(shares)]:
        shares[index] += 1
    return shares
