"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

from http11 import Server

MAX_ENTRIES = 32
MAX_ITEMS = 500


class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> dict(key, value, rev, created, lease); value in base64
        self.history = []  # events in the order of their revisions
        self.revision = 100
        self.leases = {}  # id -> [ttl in s, end]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = None
        self.down = False  # While down, each call is answered 503 and nothing is done.
        self.turned_away = set()  # Source addresses that get 503 while others are served.
        self.writes = 0

    async def open(self, ip):
        self.server = await Server(ip, 0, self.handle).open()
        self.ticker = asyncio.create_task(self.end_leases())
        return self

    @property
    def address(self):
        return f"{self.server.ip}:{self.server.port}"

    def change(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes `value` (bytes) as the operator or a runner does."""
        self.revision += 1
        self.apply_put(key, base64.b64encode(value).decode(), lease, self.revision)

    def apply_put(self, key, value, lease, revision):
        created = self.items[key]["created"] if key in self.items else revision
        item = {"key": key, "value": value, "rev": revision, "created": created, "lease": lease}
        self.items[key] = item
        self.change(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.apply_remove(key, self.revision)

    def apply_remove(self, key, revision):
        if self.items.pop(key, None) is not None:
            self.change({"key": key, "rev": revision, "deleted": True})

    async def end_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                # Leases pause while the store is down.
                for lease in self.leases.values():
                    lease[1] += 0.02
                continue
            now = time.monotonic()
            for lease in [each for each, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [each for each, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, None
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.removeprefix("/hawthornbeam/")
        if name == "kv-key":
            item = self.items.get(args["key"])
            return (404, None) if item is None else (200, {**item, "store-revision": self.revision})
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(args["prefix"]) and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:MAX_ITEMS]],
                         "truncated": len(keys) > MAX_ITEMS, "store-revision": self.revision}
        if name == "kv-watch":
            return await self.watch(args)
        self.writes += 1
        if name == "kv-txn":
            return self.transact(json.loads(body))
        if name == "kv-lease":
            ttl = max(1000, json.loads(body)["ttl-ms"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl-ms": ttl}
        if name.startswith("kv-keep/"):
            lease = self.leases.get(int(name.split("/")[1]))
            if lease is None:
                return 404, None
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl-ms": int(lease[0] * 1000)}
        if name.startswith("kv-lease-end/"):
            self.end_lease(int(name.split("/")[1]))
            return 200, {}
        return 404, None

    async def watch(self, args):
        after, end = int(args["after"]), time.monotonic() + int(args["wait-ms"]) / 1000
        while True:
            events = []
            for event in reversed(self.history):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(args["prefix"]):
                    events.append(event)
            events.reverse()
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.down:
                return 503, None

    def transact(self, body):
        expected, puts, removals = body["expect-rev"], body["puts"], body["remove"]
        if len(expected) + len(puts) + len(removals) > MAX_ENTRIES:
            return 400, {"error": "too many entries"}
        current = [self.items.get(e["key"], {"key": e["key"], "rev": 0}) for e in expected]
        if any(item["rev"] != e["rev"] for item, e in zip(current, expected)):
            return 412, {"items": current}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, None
        self.revision += 1
        revision = self.revision
        for p in puts:
            self.apply_put(p["key"], p["value"], p.get("lease", 0), revision)
        for key in removals:
            self.apply_remove(key, revision)
        return 200, {"rev": revision}
