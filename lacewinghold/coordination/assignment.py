"""Assignment of shards to entry instances."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from lacewinghold.ids import InstanceId, ShardId


def affinity(shard: ShardId, instance: InstanceId) -> int:
    """Returns the rendezvous hash of a shard and an instance."""
    digest = hashlib.blake2b(f"{shard}\0{instance}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def assign(
    shards: Collection[ShardId], instances: Collection[InstanceId]
) -> dict[ShardId, InstanceId]:
    """Distributes shards over instances; no instance gets more than its even share.

    Uses rendezvous hashing with bounded load: adding or removing an instance moves
    few shards besides its own, and all instances compute the same result.

    :returns: The owner of each shard; empty if there is no instance.
    """
    if not instances:
        return {}
    bound = -(-len(shards) // len(instances))
    load: Counter[InstanceId] = Counter()
    owners = {}
    for shard in sorted(shards):
        ranked = sorted(instances, key=lambda instance: affinity(shard, instance))
        for instance in reversed(ranked):
            if load[instance] >= bound:
                continue
            load[instance] += 1
            owners[shard] = instance
            break
    return owners
