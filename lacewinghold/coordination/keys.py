"""Names of the keys in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lacewinghold.ids import InstanceId, SectionName, ShardId, WorkerId

SEQUENCE_DIGITS = 12


class Keys:
    """Key names under one prefix.

    Keys that every entry instance watches are under ``live``. Ledgers, which only
    their owner reads, are outside it.

    :param prefix: The cell's prefix, without a trailing slash.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.live = f"{prefix}/live/"
        self.instances = f"{self.live}instances/"
        self.owners = f"{self.live}owners/"
        self.sections = f"{self.live}sections/"
        self.references = f"{self.live}references"
        self.version = f"{self.live}version"
        self.rule_lease = f"{self.live}rule-lease"
        self.rosters = f"{self.live}roster/"
        self.drains = f"{self.live}drains/"
        self.audits = f"{prefix}/audit/"

    def instance(self, instance: InstanceId) -> str:
        """Returns the key of an entry instance's record."""
        return f"{self.instances}{instance}"

    def roster(self, instance: InstanceId) -> str:
        """Returns the roster key, which exists while an entry instance may act."""
        return f"{self.rosters}{instance}"

    def owner(self, shard: ShardId) -> str:
        """Returns the key of a shard's ownership record."""
        return f"{self.owners}{shard}"

    def section(self, section: SectionName) -> str:
        """Returns the key of a document section."""
        return f"{self.sections}{section}"

    def changes(self, section: SectionName) -> str:
        """Returns the key of the index of a section's latest changes."""
        return f"{self.prefix}/changes/{section}"

    def history(self, section: SectionName, number: int) -> str:
        """Returns the key of a section's content after a change."""
        return f"{self.prefix}/history/{section}/{number:0{SEQUENCE_DIGITS}d}"

    def drain(self, worker: WorkerId) -> str:
        """Returns the key of a worker's drain record."""
        return f"{self.drains}{worker}"

    def log(self, shard: ShardId) -> str:
        """Returns the prefix of a shard's log."""
        return f"{self.prefix}/ledger/{shard}/log/"

    def log_batch(self, shard: ShardId, number: int) -> str:
        """Returns the key of one batch of a shard's log."""
        return f"{self.log(shard)}{number:0{SEQUENCE_DIGITS}d}"

    def snapshot(self, shard: ShardId) -> str:
        """Returns the key of a shard's snapshot."""
        return f"{self.prefix}/ledger/{shard}/snapshot"

    def snapshot_parts(self, shard: ShardId) -> str:
        """Returns the prefix of the further records of a shard's snapshots."""
        return f"{self.prefix}/ledger/{shard}/part/"

    def snapshot_part(self, shard: ShardId, through: int, index: int) -> str:
        """Returns the key of one further record of a snapshot."""
        number = f"{through:0{SEQUENCE_DIGITS}d}"
        return f"{self.snapshot_parts(shard)}{number}/{index:04d}"

    def idempotency(self, digest: str) -> str:
        """Returns the key that maps an idempotency digest to a job."""
        return f"{self.prefix}/idempotency/{digest}"

    def request(self, digest: str) -> str:
        """Returns the key of a request that must not be repeated."""
        return f"{self.prefix}/requests/{digest}"

    def audit(self, audit_id: str) -> str:
        """Returns the key of an audit record."""
        return f"{self.audits}{audit_id}"
