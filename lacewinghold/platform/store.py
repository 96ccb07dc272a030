"""Implements the store interface with the platform's metadata store."""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Annotated, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import Meta, Struct, field
from msgspec.structs import replace
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import LeaseId, Revision
from lacewinghold.platform.http import JsonClient
from lacewinghold.platform.http_connections import MAX_RESPONSE_BYTES
from lacewinghold.store.base import (
    CallKind,
    Delete,
    KeyValue,
    Put,
    RangeReply,
    Store,
    Transaction,
    TransactionReply,
    WatchBatch,
)
from lacewinghold.util.clock import lease_time
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from lacewinghold.platform.http_connections import HttpReply
    from lacewinghold.util.lag import LagMonitor

T = TypeVar("T")
# A call to a store 60 times slower than usual takes about a third of this.
CALL_TIMEOUT_S = 0.8
# A silent connection is detected after this time plus CALL_TIMEOUT_S.
WATCH_WAIT_MS = 2000
MAX_CONNECTIONS = 64
# Enough for overlapping renewals of two leases, each taking up to CALL_TIMEOUT_S.
MAX_LEASE_CONNECTIONS = 8
MAX_PAGES = 10_000
BASE64_BYTES, BASE64_CHARACTERS = 3, 4  # So many bytes become so many characters.


class WireItem(Struct):
    """One key; ``deleted`` is set only in changes."""

    key: str
    revision: int
    value: str = ""
    created: int = 0
    lease: int = 0
    deleted: bool = False


class WirePage(Struct):
    """One page of keys."""

    items: list[WireItem]
    at: int
    has_more: bool = field(name="hasMore", default=False)


class WireKey(WireItem):
    """One key, with the store's revision at the read (``at``)."""

    at: int = 0


class WireChanges(Struct):
    """Changes after a revision."""

    events: list[WireItem]
    at: int


class WireRevision(Struct):
    """The revision that a write produced."""

    revision: int


class WireLease(Struct):
    """A lease that was opened or renewed."""

    ttl_ms: Annotated[float, Meta(ge=0)] = field(name="ttlMs")
    lease: int = 0


def to_key_value(item: WireItem) -> KeyValue:
    """Returns the project's representation of a key.

    A value that is not base64 was written by another program and decodes as empty.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return KeyValue(item.key, value, item.created, item.revision, item.lease)


class PlatformStore(Store):
    """Client of the metadata store, with the outcomes that ``Store`` defines.

    Lease calls use a separate connection pool, so that renewals never wait for
    reads and writes.

    :param address: IP address and port.
    :param lag: Measures this process's scheduling lag; ``None`` assumes no lag.
    :param link_mbps: Bandwidth of this machine's link in Mbit/s, ``None`` if unknown.
    """

    name = "platform"

    def __init__(
        self,
        address: str,
        lag: LagMonitor | None = None,
        link_mbps: float | None = None,
    ) -> None:
        super().__init__()
        self.client = JsonClient(address, MAX_CONNECTIONS, lag, link_mbps=link_mbps)
        self.client.on_progress = lambda: self.on_progress()
        self.lease_client = JsonClient(address, MAX_LEASE_CONNECTIONS, lag)

    def set_address(self, address: str) -> None:
        """Directs later calls to another address."""
        self.client.set_address(address)
        self.lease_client.set_address(address)

    async def call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Result[HttpReply, Failure]:
        """Makes one call.

        :param max_bytes: Maximum size of the response's body.
        :returns: The response, or a failure: ``STORE_UNAVAILABLE`` if the store refused
            the call or was unreachable, so that the call had no effect, ``TOO_LARGE``
            if the response is, else ``OUTCOME_UNKNOWN``.
        """
        self.calls[kind] += 1
        client = self.lease_client if kind is CallKind.LEASE else self.client
        reply = await client.call(method, path, timeout_s, body, max_bytes=max_bytes)
        if isinstance(reply, Err):
            failure = reply.err_value
            if failure.kind is ErrorKind.UNREACHABLE:
                return Err(Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail))
            return reply
        status = reply.ok_value.status
        if status in (429, 503):
            return Err(
                Failure(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"store refused the call with status {status}",
                )
            )
        return reply

    def decode(self, reply: HttpReply, kind: type[T]) -> Result[T, Failure]:
        """Decodes a response."""
        try:
            return Ok(from_json(reply.body, kind))
        except msgspec.DecodeError as error:
            detail = f"status {reply.status}: {error}"
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        if prefix:
            return await self.read_pages(key)
        path = "/kv-key?" + urlencode({"key": key})
        reply = await self.call(CallKind.READ, "GET", path)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if reply.ok_value.status == 404:
            return Ok(RangeReply(0, []))
        found = self.decode(reply.ok_value, WireKey)
        if isinstance(found, Err):
            return Err(found.err_value)
        item = found.ok_value
        return Ok(RangeReply(item.at, [to_key_value(item)]))

    async def read_pages(self, prefix: str) -> Result[RangeReply, Failure]:
        """Reads all keys with a prefix; the revision returned is the first page's."""
        items: list[KeyValue] = []
        revision: int | None = None
        query = {"pathPrefix": prefix}
        for _ in range(MAX_PAGES):
            reply = await self.call(
                CallKind.READ, "GET", "/kv-range?" + urlencode(query)
            )
            if isinstance(reply, Err):
                return Err(reply.err_value)
            page = self.decode(reply.ok_value, WirePage)
            if isinstance(page, Err):
                return Err(page.err_value)
            items += [to_key_value(item) for item in page.ok_value.items]
            if revision is None:
                revision = page.ok_value.at
            if not page.ok_value.has_more:
                break
            query["after"] = page.ok_value.items[-1].key
        return Ok(RangeReply(revision or 0, items))

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        body = {
            "expect": [
                {"key": compare.key, "revision": compare.revision}
                for compare in transaction.compares
            ],
            "puts": [
                {
                    "key": operation.key,
                    "value": base64.b64encode(operation.value).decode(),
                    "lease": operation.lease,
                }
                for operation in transaction.operations
                if isinstance(operation, Put)
            ],
            "remove": [
                operation.key
                for operation in transaction.operations
                if isinstance(operation, Delete)
            ],
        }
        reply = await self.call(CallKind.WRITE, "POST", "/kv-txn", body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        status = reply.ok_value.status
        if status == 412:
            return Ok(TransactionReply(False, 0))
        if status != 200:
            return Err(
                Failure(
                    ErrorKind.INVALID, f"store rejected the write with status {status}"
                )
            )
        written = self.decode(reply.ok_value, WireRevision)
        if isinstance(written, Err):
            return Err(written.err_value)
        return Ok(TransactionReply(True, written.ok_value.revision))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        body = {"ttlMs": round(ttl_s * 1000)}
        reply = await self.call(CallKind.LEASE, "POST", "/kv-lease", body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        lease = self.decode(reply.ok_value, WireLease)
        if isinstance(lease, Err):
            return Err(lease.err_value)
        return Ok(LeaseId(lease.ok_value.lease))

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        reply = await self.call(CallKind.LEASE, "POST", f"/kv-keep/{lease}")
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if reply.ok_value.status == 404:
            return Ok(0.0)
        renewed = self.decode(reply.ok_value, WireLease)
        if isinstance(renewed, Err):
            return Err(renewed.err_value)
        return Ok(renewed.ok_value.ttl_ms / 1000)

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        reply = await self.call(CallKind.LEASE, "DELETE", f"/kv-lease-end/{lease}")
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(None)

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: Revision,
        confirm_s: float | None = None,
        max_value_bytes: Callable[[], int] | None = None,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        wait_ms = WATCH_WAIT_MS if confirm_s is None else round(confirm_s * 1000)
        wait_ms = min(wait_ms, WATCH_WAIT_MS)
        yield self.changes(prefix, after, wait_ms, max_value_bytes)

    async def changes(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        max_value_bytes: Callable[[], int] | None,
    ) -> AsyncIterator[WatchBatch]:
        """Yields batches of changes by long polling.

        :param wait_ms: How long an answer without changes is held back.
        :param max_value_bytes: As for ``watch``.
        """
        max_bytes = MAX_RESPONSE_BYTES
        while True:
            if max_value_bytes is not None:
                max_bytes = max_value_bytes() * BASE64_CHARACTERS // BASE64_BYTES
            query = {"pathPrefix": prefix, "after": after, "waitMs": wait_ms}
            asked_at = lease_time()
            reply = await self.call(
                CallKind.WATCH,
                "GET",
                "/kv-watch?" + urlencode(query),
                timeout_s=wait_ms / 1000 + CALL_TIMEOUT_S,
                max_bytes=max_bytes,
            )
            if isinstance(reply, Err):
                raise FailureError(reply.err_value)
            if reply.ok_value.status == 410:
                detail = f"changes after revision {after} are no longer available"
                raise FailureError(Failure(ErrorKind.HISTORY_GONE, detail))
            found = self.decode(reply.ok_value, WireChanges)
            if isinstance(found, Err):
                raise FailureError(found.err_value)
            after = max(after, found.ok_value.at)
            batches = split_at_recreated_keys(found.ok_value.events, after)
            batches[-1] = replace(batches[-1], asked_at=asked_at)
            for batch in batches:
                yield batch


def split_at_recreated_keys(events: list[WireItem], revision: int) -> list[WatchBatch]:
    """Returns changes in batches, starting a new one where a deleted key reappears.

    Within a batch the puts are applied before the deletes. That order matters only
    for changes of the same key.

    :param revision: The store's revision after all changes.
    """
    batches = [WatchBatch(revision, [], [])]
    for item in events:
        last = batches[-1]
        if item.deleted:
            last.deletes.append(item.key)
            continue
        if item.key in last.deletes:
            last = WatchBatch(revision, [], [])
            batches.append(last)
        last.puts.append(to_key_value(item))
    return batches
