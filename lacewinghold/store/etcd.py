"""Implements the store interface with etcd's v3 JSON gateway."""

from __future__ import annotations

import base64
import json
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import httpx
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import LeaseId, Revision
from lacewinghold.store.base import (
    CallKind,
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeReply,
    Store,
    Transaction,
    TransactionReply,
    WatchBatch,
    prefix_end,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
LEASE_NOT_FOUND_CODE = 5
WATCH_READ_TIMEOUT_S = 30.0


def to_base64(text: str | bytes) -> str:
    """Returns text or bytes in base64, as the gateway expects."""
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def from_base64(text: str) -> bytes:
    """Returns the bytes of a base64 text."""
    return base64.b64decode(text)


def to_key_value(item: dict[str, Any]) -> KeyValue:
    """Returns a key and its value, decoded from the gateway's JSON."""
    return KeyValue(
        key=from_base64(item["key"]).decode(),
        value=from_base64(item.get("value", "")),
        create_revision=int(item.get("create_revision", 0)),
        mod_revision=int(item.get("mod_revision", 0)),
        lease=int(item.get("lease", 0)),
    )


def to_compare(compare: Compare) -> dict[str, Any]:
    """Returns a condition as the gateway's JSON."""
    field = f"{compare.target.value.lower()}_revision"
    return {
        "key": to_base64(compare.key),
        "target": compare.target.value,
        "result": "EQUAL",
        field: str(compare.revision),
    }


def to_operation(operation: Put | Delete) -> dict[str, Any]:
    """Returns an operation as the gateway's JSON."""
    if isinstance(operation, Delete):
        return {"request_delete_range": {"key": to_base64(operation.key)}}
    put: dict[str, Any] = {
        "key": to_base64(operation.key),
        "value": to_base64(operation.value),
    }
    if operation.lease:
        put["lease"] = str(operation.lease)
    return {"request_put": put}


class EtcdStore(Store):
    """A client of etcd.

    When an endpoint is unreachable, the next one is tried. A call is repeated only
    if it certainly was not sent.

    :param endpoints: Base addresses of the gateway.
    :param timeout_s: Time-out of a response in seconds.
    """

    name = "etcd"

    def __init__(
        self, client: httpx.AsyncClient, endpoints: Sequence[str], timeout_s: float
    ) -> None:
        super().__init__()
        self.client = client
        self.endpoints = list(endpoints)
        self.timeout_s = timeout_s

    async def post(
        self, kind: CallKind, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        """Makes one call to the first reachable endpoint."""
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, "no endpoint")
        for endpoint in list(self.endpoints):
            self.calls[kind] += 1
            try:
                response = await self.client.post(
                    f"{endpoint}/v3/{path}", json=body, timeout=self.timeout_s
                )
            except NOT_SENT_ERRORS as error:
                failure = Failure(ErrorKind.STORE_UNAVAILABLE, repr(error))
                self.endpoints.append(self.endpoints.pop(0))
                continue
            except httpx.HTTPError as error:
                return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, repr(error)))
            return to_reply(response)
        return Err(failure)

    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        body = {"key": to_base64(key)}
        if prefix:
            body["range_end"] = to_base64(prefix_end(key))
        reply = await self.post(CallKind.READ, "kv/range", body)
        if isinstance(reply, Err):
            failure = reply.err_value
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail))
        found = reply.ok_value
        items = [to_key_value(item) for item in found.get("kvs", [])]
        return Ok(RangeReply(int(found["header"]["revision"]), items))

    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        body = {
            "compare": [to_compare(compare) for compare in transaction.compares],
            "success": [to_operation(op) for op in transaction.operations],
        }
        reply = await self.post(CallKind.WRITE, "kv/txn", body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        found = reply.ok_value
        revision = int(found["header"]["revision"])
        return Ok(TransactionReply(bool(found.get("succeeded", False)), revision))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        body = {"TTL": str(math.ceil(ttl_s))}
        reply = await self.post(CallKind.LEASE, "lease/grant", body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(LeaseId(int(reply.ok_value["ID"])))

    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        body = {"ID": str(lease)}
        reply = await self.post(CallKind.LEASE, "lease/keepalive", body)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        return Ok(float(reply.ok_value.get("result", {}).get("TTL", 0)))

    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        reply = await self.post(CallKind.LEASE, "lease/revoke", {"ID": str(lease)})
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
        self.calls[CallKind.WATCH] += 1
        body = {
            "create_request": {
                "key": to_base64(prefix),
                "range_end": to_base64(prefix_end(prefix)),
                "start_revision": str(after + 1),
                "progress_notify": True,
            }
        }
        timeout = httpx.Timeout(self.timeout_s, read=WATCH_READ_TIMEOUT_S)
        request = self.client.build_request(
            "POST", f"{self.endpoints[0]}/v3/watch", json=body, timeout=timeout
        )
        try:
            response = await self.client.send(request, stream=True)
        except httpx.HTTPError as error:
            raise FailureError(Failure(ErrorKind.STORE_UNAVAILABLE, repr(error)))
        try:
            yield batches(response)
        finally:
            await response.aclose()


async def batches(response: httpx.Response) -> AsyncIterator[WatchBatch]:
    """Yields the batches of a watch, one for each line of the response."""
    try:
        async for line in response.aiter_lines():
            result = json.loads(line).get("result", {})
            if result.get("canceled"):
                detail = f"the watch was cancelled: {result.get('cancel_reason', '')}"
                raise FailureError(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
            yield to_batch(result)
    except (httpx.HTTPError, ValueError) as error:
        raise FailureError(Failure(ErrorKind.STORE_UNAVAILABLE, repr(error)))


def to_batch(result: dict[str, Any]) -> WatchBatch:
    """Returns the changes in one message of a watch."""
    puts = []
    deletes = []
    for event in result.get("events", []):
        if event.get("type") == "DELETE":
            deletes.append(from_base64(event["kv"]["key"]).decode())
            continue
        puts.append(to_key_value(event["kv"]))
    return WatchBatch(int(result["header"]["revision"]), puts, deletes)


def to_reply(response: httpx.Response) -> Result[dict[str, Any], Failure]:
    """Returns the body of a response, or its error as the outcome of a write."""
    try:
        body = response.json()
    except ValueError:
        body = {}
    if response.status_code == httpx.codes.OK and isinstance(body, dict):
        return Ok(body)
    detail = f"status {response.status_code}: {body.get('message', '')}"
    if body.get("code") == LEASE_NOT_FOUND_CODE:
        return Err(Failure(ErrorKind.LEASE_LAPSED, detail))
    if response.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
        return Err(Failure(ErrorKind.INVALID, detail))
    return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
