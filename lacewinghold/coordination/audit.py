"""Audit records in ring buffers, which bound the trail without a clean-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.schema.generated.records import AuditRecord, EntryKind
from lacewinghold.store.base import Put
from lacewinghold.util.codec import to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.keys import Keys
    from lacewinghold.ids import ShardId
    from lacewinghold.schema.generated.records import LogEntry

OWNERSHIP_RING_SIZE = 8
CANCEL_RING_SIZE = 64
DRAIN_RING_SIZE = 16
MAX_LISTED_SUBJECTS = 20


def ring_put(keys: Keys, ring: str, number: int, kept: int, record: AuditRecord) -> Put:
    """Returns a write that replaces the oldest record of a ring.

    :param number: Sequence number of the record in the ring.
    :param kept: Number of records that the ring keeps.
    """
    return Put(keys.audit(f"{ring}-{number % kept}"), to_json(record))


def ownership_put(
    keys: Keys, shard: ShardId, number: int, actor: str, action: str, at: float
) -> Put:
    """Returns the write of an audit record for a change of a shard's owner."""
    record = AuditRecord(at=at, actor=actor, action=action, subject=shard)
    return ring_put(keys, f"owner-{shard}", number, OWNERSHIP_RING_SIZE, record)


def cancel_puts(
    keys: Keys, shard: ShardId, number: int, entries: list[LogEntry]
) -> list[Put]:
    """Returns the write of an audit record for the cancellations in one batch.

    All cancellations in the batch share one record.

    :param number: Number of the batch.
    :returns: One write, or none if the batch contains no cancellation.
    """
    found = [entry for entry in entries if entry.kind is EntryKind.JOB_CANCELLED]
    if not found:
        return []
    actors = sorted({entry.detail or "unknown" for entry in found})
    subjects = " ".join(entry.job_id for entry in found[:MAX_LISTED_SUBJECTS])
    record = AuditRecord(
        at=found[0].at,
        actor=" ".join(actors),
        action="cancel",
        subject=subjects,
        detail=f"{len(found)} jobs" if len(found) > 1 else "",
    )
    return [ring_put(keys, f"cancel-{shard}", number, CANCEL_RING_SIZE, record)]
