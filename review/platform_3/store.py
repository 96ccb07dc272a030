"""Stand-in of the platform's metadata store (PROTOCOL.md)."""

from __future__ import annotations

import asyncio
import base64
import time

from platform_3.http import Server

PAGE_ITEMS = 500
ANSWER_S = 0.004


class Store:
    """A linearizable store with one revision counter, watches and leases."""

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        """Begins to serve."""
        await self.server.start()
        self.sweeper = asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        """Removes the keys of leases that have ended."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    self.end_lease(lease)

    def end_lease(self, lease):
        """Ends a lease and removes its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.change([], gone)
        return True

    def change(self, puts, removals):
        """Applies writes under one new revision."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("created", self.revision)
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append((self.revision, dict(item)))
        for key in removals:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """Writes as the operator or a worker does."""
        self.change([(key, base64.b64encode(value).decode(), 0)], [])

    def remove(self, key):
        """Removes a key as the platform does."""
        self.change([], [key])

    async def handle(self, request):
        """Answers one call."""
        await asyncio.sleep(ANSWER_S)
        path = request.path
        if path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (404, {}) if item is None else (200, {**item, "at": self.revision})
        if path == "/kv-range":
            return self.range(request.query)
        if path == "/kv-watch":
            return await self.watch(request.query)
        if path == "/kv-txn":
            return self.commit(request.json())
        return self.lease(request)

    def range(self, query):
        """Returns one page."""
        prefix, after = query["pathPrefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "hasMore": more, "at": self.revision}

    async def watch(self, query):
        """Returns the events after a revision, as soon as there is one."""
        prefix, after = query["pathPrefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            found = []
            for revision, event in reversed(self.events):
                if revision <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found[::-1], "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def commit(self, body):
        """Applies a transaction."""
        expect, puts = body.get("expect", []), body.get("puts", [])
        removals = body.get("remove", [])
        if len(expect) + len(puts) + len(removals) > 32:
            return 400, {}
        for row in expect:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                found = [self.items[r["key"]] for r in expect if r["key"] in self.items]
                return 412, {"items": found}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        rows = [(row["key"], row["value"], row.get("lease", 0)) for row in puts]
        return 200, {"revision": self.change(rows, removals)}

    def lease(self, request):
        """Opens, renews or ends a lease."""
        _, name, *rest = request.path.split("/")
        if name == "kv-lease":
            ttl_ms = request.json()["ttlMs"]
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(rest[0])
        if name == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        return (200, {}) if self.end_lease(lease) else (404, {})
