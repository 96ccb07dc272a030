"""Splits jobs that are too large for one shard into parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.placement.capacity import copies
from lacewinghold.schema.generated.jobs import JobKind
from lacewinghold.schema.generated.records import PartRecord

if TYPE_CHECKING:
    from lacewinghold.ids import ShardId
    from lacewinghold.schema.generated.jobs import JobSpec, Resources


class ShardRoom(Struct):
    """The workers of a shard, by what each has when it is empty."""

    shard: ShardId
    workers: list[Resources]


def plan_parts(
    spec: JobSpec, rooms: list[ShardRoom]
) -> Result[list[PartRecord], Failure]:
    """Returns the parts of a job, none if the first shard is large enough.

    A service is split as soon as a shard has fewer workers than the service has
    tasks, other work as soon as its tasks cannot all run in one shard.

    :param rooms: The shards that may be used, the nearest first.
    :returns: ``CANNOT_FIT`` if the job could not even run on empty workers.
    """
    room = [count_copies(spec.resources, shard) for shard in rooms]
    if spec.kind is JobKind.ALL_AT_ONCE and sum(room) < spec.tasks:
        detail = f"{spec.tasks} tasks at once; there is room for {sum(room)}"
        return Err(Failure(ErrorKind.CANNOT_FIT, detail, "$.tasks"))
    limits = room
    if spec.kind is JobKind.SERVICE:
        spread = [count_workers(spec.resources, shard) for shard in rooms]
        limits = spread if sum(spread) >= spec.tasks else room
    if not limits or limits[0] >= spec.tasks:
        return Ok([])
    chosen: list[int] = []
    for limit in limits:
        chosen.append(limit)
        if sum(chosen) >= spec.tasks:
            break
    shares = divide(spec.tasks, chosen)
    parts = []
    for shard, tasks in zip(rooms, shares, strict=False):
        if tasks:
            parts.append(PartRecord(shard=shard.shard, tasks=tasks))
    return Ok(parts if len(parts) > 1 else [])


def count_copies(need: Resources, room: ShardRoom) -> int:
    """Returns how many tasks of a size fit a shard's empty workers."""
    return sum(copies(need, worker) for worker in room.workers)


def count_workers(need: Resources, room: ShardRoom) -> int:
    """Returns how many workers of a shard are large enough for one task."""
    return sum(copies(need, worker) > 0 for worker in room.workers)


def divide(total: int, weights: list[int]) -> list[int]:
    """Divides a number by weights; no share exceeds its weight if all can."""
    whole = sum(weights)
    if not whole:
        return [0 for _ in weights]
    shares = [total * weight // whole for weight in weights]
    remainders = [-(total * weight % whole) for weight in weights]
    order = sorted(range(len(weights)), key=lambda index: remainders[index])
    for index in order[: total - sum(shares)]:
        shares[index] += 1
    return shares
