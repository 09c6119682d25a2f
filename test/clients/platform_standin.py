"""Stand-ins of the users' platform: its metadata store and one runner. Threads of the
calling process serve them; docs/on-the-platform.md has the protocol."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

MAX_ITEMS = 500
HEARTBEAT_S = 1.5
FIRST_REVISION = 100
RUNNER_CLOCK_START_MS = 1000


class JsonServer:
    """Serves `handle(method, target, headers, body)`, which returns (status, dict)."""

    def __init__(self, ip, handle):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def serve(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                status, content = handle(self.command, self.path, self.headers, body)
                data = b"" if content is None else json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = serve  # noqa: N815

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                """Clients may leave at any time."""

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class Store:
    """Metadata store with revisions, leases, watches and conditional transactions."""

    def __init__(self, ip):
        self.items = {}  # key -> item as on the wire
        self.history = []
        self.revision = FIRST_REVISION
        self.leases = {}  # id -> [time to live in s, end]
        self.changed = threading.Condition()
        self.answers = threading.Event()  # While it is cleared, transactions get no answer.
        self.answers.set()
        self.calls = {"kv-key": self.key, "kv-range": self.range, "kv-watch": self.watch,
                      "kv-txn": self.transact, "kv-lease": self.lease,
                      "kv-keep": self.keep, "kv-lease-end": self.end_lease}
        self.address = JsonServer(ip, self.handle).address
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def put(self, key, content, lease=0):
        """Writes `content` as JSON, as the operator and the runners do."""
        with self.changed:
            self.revision += 1
            self.write(key, base64.b64encode(json.dumps(content).encode()).decode(), lease)

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "rev": self.revision,
                           "created": created, "lease": lease}
        self.history.append(self.items[key])
        self.changed.notify_all()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()

    def expire_leases(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [one for one, (_, end) in self.leases.items() if end <= now]:
                    self.drop_lease(lease)

    def drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.revision += 1
            self.remove(key)

    def handle(self, _method, target, _headers, body):
        path, _, query = target.partition("?")
        name, _, lease = path.removeprefix("/hawthornbeam/").partition("/")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if body:
            arguments.update(json.loads(body))
        if lease:
            arguments["lease"] = int(lease)
        if name == "kv-txn":
            self.answers.wait()
        with self.changed:
            return self.calls[name](arguments) if name in self.calls else (404, None)

    def key(self, arguments):
        item = self.items.get(arguments["key"])
        if item is None:
            return 404, None
        return 200, {**item, "store-revision": self.revision}

    def range(self, arguments):
        keys = sorted(key for key in self.items if key.startswith(arguments["prefix"]) and
                      key > arguments.get("after", ""))
        return 200, {"items": [self.items[key] for key in keys[:MAX_ITEMS]],
                     "truncated": len(keys) > MAX_ITEMS, "store-revision": self.revision}

    def watch(self, arguments):
        after, prefix = int(arguments["after"]), arguments["prefix"]

        def events():
            return [event for event in self.history
                    if event["rev"] > after and event["key"].startswith(prefix)]

        self.changed.wait_for(events, int(arguments["wait-ms"]) / 1000)
        return 200, {"events": events(), "store-revision": self.revision}

    def transact(self, arguments):
        expected = arguments["expect-rev"]
        current = [self.items.get(one["key"], {"key": one["key"], "rev": 0})
                   for one in expected]
        if any(item["rev"] != one["rev"] for item, one in zip(current, expected)):
            return 412, {"items": current}
        if any(one.get("lease", 0) and one["lease"] not in self.leases
               for one in arguments["puts"]):
            return 404, None
        self.revision += 1
        for one in arguments["puts"]:
            self.write(one["key"], one["value"], one.get("lease", 0))
        for key in arguments["remove"]:
            self.remove(key)
        return 200, {"rev": self.revision}

    def lease(self, arguments):
        ttl_s = max(1.0, arguments["ttl-ms"] / 1000)
        number = len(self.history) + self.revision + len(self.leases) + 1
        while number in self.leases:
            number += 1
        self.leases[number] = [ttl_s, time.monotonic() + ttl_s]
        return 200, {"lease": number, "ttl-ms": int(ttl_s * 1000)}

    def keep(self, arguments):
        lease = self.leases.get(arguments["lease"])
        if lease is None:
            return 404, None
        lease[1] = time.monotonic() + lease[0]
        return 200, {"ttl-ms": int(lease[0] * 1000)}

    def end_lease(self, arguments):
        self.drop_lease(arguments["lease"])
        return 200, {}


class Runner:
    """Runs each task for `task_s` seconds, after which it ends as done."""

    def __init__(self, ip, store, service, name="i-runner", task_s=0.05):
        self.store, self.service, self.name, self.task_s = store, service, name, task_s
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.running = {}  # task -> (run, begin)
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.token = 0
        self.lock = threading.Lock()
        self.address = JsonServer(ip, self.handle).address
        threading.Thread(target=self.beat, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + RUNNER_CLOCK_START_MS

    def beat(self):
        sequence = 0
        while True:
            sequence += 1
            self.store.put(f"servers/{self.name}", {
                "service": self.service, "address": self.address, "zone": "zone-a",
                "version": "v1", "capacity": 8, "state": "ready", "warmup-ms": 0,
                "room": {"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "labels": ["a", "r1-0"],
                "clock-ms": self.clock_ms(), "seq": sequence, "born": self.born})
            time.sleep(HEARTBEAT_S)

    def handle(self, _method, target, headers, body):
        if headers.get("Expect-Instance", self.name) != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        fields = json.loads(body)
        with self.lock:
            if fields.get("fence-token", 0) < self.token:
                return self.answer(409, reason="fence")
            self.token = fields.get("fence-token", 0)
        call = target.removeprefix("/hawthornbeam/")
        return {"run-start": self.start, "run-stop": self.stop, "hold": self.hold}[call](fields)

    def answer(self, status, **content):
        return status, {"clock-ms": self.clock_ms(), "born": self.born, **content}

    def start(self, fields):
        task, number = fields["task"], fields["run"]
        with self.lock:
            if task in self.running and self.running[task][0] == number:
                return self.answer(200)
            if number <= self.highest.get(task, 0) or task in self.running:
                return self.answer(409, reason="old")
            if self.clock_ms() > fields["deadline-ms"]:
                return self.answer(409, reason="late")
            self.running[task] = (number, time.monotonic())
            return self.answer(200)

    def stop(self, fields):
        with self.lock:
            task, number = fields["task"], fields["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            if task in self.running and self.running[task][0] <= number:
                self.end(task, "stopped")
            return self.answer(200)

    def end(self, task, how):
        number, _ = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.ended.append([self.next_end, task, number, how, ""])
        self.next_end += 1

    def hold(self, fields):
        latest = time.monotonic() + min(fields.get("wait-ms", 0), 2000) / 1000
        with self.lock:
            self.ended = [end for end in self.ended if end[0] > fields.get("last-seen", 0)]
        while True:
            with self.lock:
                now = time.monotonic()
                for task, (_, begin) in list(self.running.items()):
                    if now - begin >= self.task_s:
                        self.end(task, "done")
                if self.ended or now >= latest:
                    return self.answer(200, ended=self.ended[:MAX_ITEMS], running=[
                        [task, number, "", 0, 0]
                        for task, (number, _) in self.running.items()])
            time.sleep(0.01)
