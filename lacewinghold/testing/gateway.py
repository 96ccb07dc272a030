"""A stand-in of etcd's v3 JSON gateway over the in-memory store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from result import Err
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import LeaseId, Revision
from lacewinghold.store.base import (
    Compare,
    CompareTarget,
    Delete,
    KeyValue,
    Put,
    Transaction,
    prefix_end,
)
from lacewinghold.store.etcd import from_base64, to_base64

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

    from lacewinghold.testing.store import MemoryStore

GRPC_CODES = {
    ErrorKind.LEASE_LAPSED: (404, 5),
    ErrorKind.STORE_UNAVAILABLE: (503, 14),
    ErrorKind.OUTCOME_UNKNOWN: (504, 4),
    ErrorKind.TOO_LARGE: (400, 3),
}


def key_value_json(item: KeyValue) -> dict[str, str]:
    """Returns a key and its value in the gateway's form."""
    return {
        "key": to_base64(item.key),
        "value": to_base64(item.value),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease),
    }


def header(revision: int) -> dict[str, str]:
    """Returns the header of an answer."""
    return {"revision": str(revision)}


def read_compare(body: dict[str, Any]) -> Compare:
    """Returns a condition from the gateway's form."""
    target = CompareTarget(body["target"])
    revision = int(body.get(f"{target.value.lower()}_revision", 0))
    return Compare(from_base64(body["key"]).decode(), target, revision)


def read_operation(body: dict[str, Any]) -> Put | Delete:
    """Returns an operation from the gateway's form."""
    if "request_delete_range" in body:
        return Delete(from_base64(body["request_delete_range"]["key"]).decode())
    put = body["request_put"]
    value = from_base64(put.get("value", ""))
    return Put(from_base64(put["key"]).decode(), value, int(put.get("lease", 0)))


def failure_response(failure: Failure) -> Response:
    """Returns a failure in the gateway's form."""
    status, code = GRPC_CODES.get(failure.kind, (500, 2))
    body = {"code": code, "message": failure.detail}
    return JSONResponse(body, status)


class Gateway:
    """Answers the calls of the store adapter.

    :param store: A client of the fake store, whose faults it passes on.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.store = store

    def routes(self) -> list[Route]:
        """Returns the routes of the gateway."""
        handlers = {
            "kv/range": self.range,
            "kv/txn": self.commit,
            "lease/grant": self.grant,
            "lease/keepalive": self.keepalive,
            "lease/revoke": self.revoke,
            "watch": self.watch,
        }
        return [
            Route(f"/v3/{path}", handler, methods=["POST"])
            for path, handler in handlers.items()
        ]

    async def range(self, request: Request) -> Response:
        """Reads keys."""
        body = await request.json()
        key = from_base64(body["key"]).decode()
        prefix = "range_end" in body
        if prefix and from_base64(body["range_end"]).decode() != prefix_end(key):
            return failure_response(Failure(ErrorKind.INVALID, "only prefixes"))
        reply = await self.store.range(key, prefix=prefix)
        if isinstance(reply, Err):
            return failure_response(reply.err_value)
        found = reply.ok_value
        items = [key_value_json(item) for item in found.items]
        return JSONResponse({"header": header(found.revision), "kvs": items})

    async def commit(self, request: Request) -> Response:
        """Writes under conditions."""
        body = await request.json()
        transaction = Transaction(
            [read_compare(item) for item in body.get("compare", [])],
            [read_operation(item) for item in body.get("success", [])],
        )
        reply = await self.store.commit(transaction)
        if isinstance(reply, Err):
            return failure_response(reply.err_value)
        answer: dict[str, Any] = {"header": header(reply.ok_value.revision)}
        if reply.ok_value.succeeded:
            answer["succeeded"] = True
        return JSONResponse(answer)

    async def grant(self, request: Request) -> Response:
        """Opens a lease."""
        body = await request.json()
        reply = await self.store.grant_lease(float(body["TTL"]))
        if isinstance(reply, Err):
            return failure_response(reply.err_value)
        return JSONResponse({"ID": str(reply.ok_value), "TTL": body["TTL"]})

    async def keepalive(self, request: Request) -> Response:
        """Renews a lease."""
        body = await request.json()
        reply = await self.store.renew_lease(LeaseId(int(body["ID"])))
        if isinstance(reply, Err):
            return failure_response(reply.err_value)
        result = {"ID": body["ID"]}
        if reply.ok_value > 0:
            result["TTL"] = str(int(reply.ok_value))
        return JSONResponse({"result": result})

    async def revoke(self, request: Request) -> Response:
        """Ends a lease."""
        body = await request.json()
        reply = await self.store.revoke_lease(LeaseId(int(body["ID"])))
        if isinstance(reply, Err):
            return failure_response(reply.err_value)
        return JSONResponse({})

    async def watch(self, request: Request) -> Response:
        """Streams changes."""
        create = (await request.json())["create_request"]
        prefix = from_base64(create["key"]).decode()
        after = Revision(int(create["start_revision"]) - 1)
        return StreamingResponse(
            self.stream(prefix, after), media_type="application/json"
        )

    async def stream(self, prefix: str, after: Revision) -> AsyncIterator[bytes]:
        """Yields one line for each batch."""
        created = {"header": header(after), "created": True}
        yield json.dumps({"result": created}).encode() + b"\n"
        try:
            async for batch in self.store.changes(prefix, after):
                events: list[dict[str, Any]] = [
                    {"type": "PUT", "kv": key_value_json(item)} for item in batch.puts
                ]
                for key in batch.deletes:
                    events.append({"type": "DELETE", "kv": {"key": to_base64(key)}})
                result = {"header": header(batch.revision), "events": events}
                yield json.dumps({"result": result}).encode() + b"\n"
        except FailureError:
            return
