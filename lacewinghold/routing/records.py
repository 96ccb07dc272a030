"""Stores the records of requests that must not be repeated, by group commit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from msgspec import Struct, field
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import LeaseId, Revision
from lacewinghold.schema.generated.records import RequestRecord, RequestState
from lacewinghold.store.base import Compare, CompareTarget, Put, Transaction
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.keys import Keys
    from lacewinghold.store.base import Store

MAX_GROUP_WRITES = 50
MAX_GROUP_BYTES = 500_000
RETENTION_S = 900.0
RETRY_DELAY_S = 0.1
OUTCOME_DELAY_S = 0.25


class StoredRecord(Struct, frozen=True):
    """A record and its revision in the store."""

    record: RequestRecord
    revision: Revision


class PendingWrite(Struct, eq=False):
    """A record that waits to be written.

    :param data: The encoded record.
    :param expected_revision: Revision that the key must have, zero if it must be
        absent.
    """

    key: str
    record: RequestRecord
    data: bytes
    expected_revision: Revision
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Result[Revision, Failure] | None = None

    def complete(self, result: Result[Revision, Failure]) -> None:
        """Sets the result and wakes the writer."""
        self.result = result
        self.done.set()


class RequestRecords:
    """Reads and writes the records of requests, one store key for each request.

    Each write is conditional on the revision that it replaces, so that only one entry
    instance can claim a request. The keys are attached to a lease, on whose expiry the
    platform removes them.
    """

    def __init__(self, store: Store, keys: Keys) -> None:
        self.store = store
        self.keys = keys
        self.pending: list[PendingWrite] = []
        self.write_requested = anyio.Event()
        self.intent_requested = anyio.Event()
        self.lease = LeaseId(0)
        self.lease_opened_at = 0.0

    async def read(self, digest: str) -> Result[StoredRecord | None, Failure]:
        """Returns the record of a request, or ``None`` if there is none."""
        reply = await self.store.range(self.keys.request(digest))
        if isinstance(reply, Err):
            return Err(reply.err_value)
        for item in reply.ok_value.items:
            record = from_json(item.value, RequestRecord)
            return Ok(StoredRecord(record, Revision(item.mod_revision)))
        return Ok(None)

    async def write(
        self, digest: str, record: RequestRecord, expected_revision: Revision
    ) -> Result[Revision, Failure]:
        """Writes a record if the key has the expected revision.

        :param expected_revision: Revision to replace, zero if the key must be absent.
        :returns: The new revision; ``CONFLICT`` if the key has another revision,
            ``STORE_UNAVAILABLE`` if nothing was written, ``OUTCOME_UNKNOWN`` if it
            may have been.
        """
        is_intent = record.state is RequestState.INTENT
        key = self.keys.request(digest)
        pending = PendingWrite(key, record, to_json(record), expected_revision)
        self.pending.append(pending)
        self.write_requested.set()
        if is_intent:
            self.intent_requested.set()
        try:
            await pending.done.wait()
        finally:
            if pending in self.pending:
                self.pending.remove(pending)
        assert pending.result is not None
        return pending.result

    async def run(self) -> None:
        """Writes the pending records, one transaction at a time."""
        while True:
            await self.wait_until_due()
            group = self.pop_group()
            lease = await self.ensure_lease()
            if isinstance(lease, Err):
                for pending in group:
                    pending.complete(Err(lease.err_value))
                continue
            await self.write_group(group)

    async def wait_until_due(self) -> None:
        """Waits until a write is due.

        Intents are due at once and outcomes after ``OUTCOME_DELAY_S``, so that
        outcomes can share a transaction with later intents.
        """
        if not self.pending:
            self.write_requested = anyio.Event()
            await self.write_requested.wait()
        if any(p.record.state is RequestState.INTENT for p in self.pending):
            return
        self.intent_requested = anyio.Event()
        with anyio.move_on_after(OUTCOME_DELAY_S):
            await self.intent_requested.wait()

    def pop_group(self) -> list[PendingWrite]:
        """Removes and returns the next pending writes, at most one for each key."""
        group: list[PendingWrite] = []
        keys: set[str] = set()
        size = 0
        for pending in list(self.pending):
            if len(group) >= MAX_GROUP_WRITES or size >= MAX_GROUP_BYTES:
                break
            if pending.key in keys:
                continue
            keys.add(pending.key)
            size += len(pending.data)
            group.append(pending)
            self.pending.remove(pending)
        return group

    async def ensure_lease(self) -> Result[None, Failure]:
        """Opens a new lease for the records if the current one is too old.

        A lease is used for ``RETENTION_S`` and lasts twice as long, so that each
        record is kept for at least ``RETENTION_S``.
        """
        now = anyio.current_time()
        if self.lease and now - self.lease_opened_at < RETENTION_S:
            return Ok(None)
        granted = await self.store.grant_lease(2 * RETENTION_S)
        if isinstance(granted, Err):
            detail = granted.err_value.detail
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        self.lease = granted.ok_value
        self.lease_opened_at = now
        return Ok(None)

    async def write_group(self, group: list[PendingWrite]) -> None:
        """Writes a group in one transaction; if a condition fails, one by one."""
        compares = []
        operations = []
        for pending in group:
            compares.append(
                Compare(
                    pending.key, CompareTarget.MOD_REVISION, pending.expected_revision
                )
            )
            operations.append(Put(pending.key, pending.data, self.lease))
        written = await self.store.commit(Transaction(compares, [*operations]))
        if isinstance(written, Ok) and written.ok_value.succeeded:
            for pending in group:
                pending.complete(Ok(Revision(written.ok_value.revision)))
            return
        if isinstance(written, Ok) and len(group) > 1:
            for pending in group:
                await self.write_group([pending])
            return
        if isinstance(written, Err):
            kind = written.err_value.kind
            if kind is ErrorKind.LEASE_LAPSED:
                self.lease = LeaseId(0)
            if kind is not ErrorKind.OUTCOME_UNKNOWN:
                for pending in group:
                    detail = written.err_value.detail
                    failure = Failure(ErrorKind.STORE_UNAVAILABLE, detail)
                    pending.complete(Err(failure))
                return
            await anyio.sleep(RETRY_DELAY_S)
        for pending in group:
            await self.read_back(pending)

    async def read_back(self, pending: PendingWrite) -> None:
        """Checks whether a write took effect, and queues it again if it did not."""
        reply = await self.store.range(pending.key)
        if isinstance(reply, Err):
            detail = reply.err_value.detail
            pending.complete(Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail)))
            return
        revision = Revision(0)
        for item in reply.ok_value.items:
            revision = Revision(item.mod_revision)
            if item.value == pending.data:
                pending.complete(Ok(revision))
                return
        if revision == pending.expected_revision:
            self.pending.append(pending)
            return
        pending.complete(
            Err(Failure(ErrorKind.CONFLICT, "the key has another revision"))
        )
