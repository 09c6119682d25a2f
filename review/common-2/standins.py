"""Stand-ins of the users' platform for the cases of this review: the store, runners,
clients, and the processes under test. All run in one asyncio loop, on loopback.

The stand-ins follow PROTOCOL.md. Faults are set from the cases through the attributes
and hooks that say so."""

import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/tools/hawthornbeamd"  # `run` of deploy/system.toml
QUEUE_HOST = "queue.example"
SERVICE = "service-a"
NO_ANSWER = object()  # A handler returns it to leave a call without an answer.
RESET = object()      # A handler returns it to reset the connection.

# Bounds of the small deployments (sites/quintero-tickets.toml, [timing] and [bounds]).
CONTACT_S = 3.0
CANCEL_S = 3.0
KILL_GRACE_S = 0.9
HOLD_MAX_S = 10.0
LIMIT_S = 116.0  # A script may take 120 s.
CPU_SHARE = 0.25  # `cpu-share` of the settings.


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **fields):
        line = f"{self.now():8.3f} {what}" + "".join(f" {k}={v}" for k, v in fields.items())
        self.file.write(line + "\n")
        self.file.flush()


def free_ip():
    """A loopback address of its own for one machine."""
    return f"127.{random.randint(20, 220)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class HttpServer:
    """Serves `handle(method, path, query, headers, body)`, a coroutine that returns
    (status, dict or None), NO_ANSWER or RESET."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.address = None

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=256)
        sockname = self.server.sockets[0].getsockname()
        self.address = f"{sockname[0]}:{sockname[1]}"
        return self

    async def close(self, reset=False):
        """Stops to listen, and ends all connections."""
        self.server.close()
        for writer in list(self.writers):
            self.end(writer, reset)

    @staticmethod
    def end(writer, reset):
        if reset:
            writer.transport.abort()
        else:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode("latin1").split(" ", 2)
                headers = {}
                while True:
                    line = await reader.readline()
                    if line in (b"\r\n", b"\n", b""):
                        break
                    name, _, value = line.decode("latin1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                answer = await self.handle(
                    method, path, dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
                    headers, body)
                if answer is RESET:
                    writer.transport.abort()
                    break
                if answer is NO_ANSWER:
                    # "A connection on which a response is lost returns nothing further."
                    await reader.read()
                    break
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store. Each machine calls it at an address of its own, so
    that a case can treat machines differently."""

    LATENCY_S = 0.004

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.writes = 0
        self.lost_writes = 0
        self.executed_late_at = 0.0  # Seconds of the record.
        # fault(machine, call, arguments) -> None, ("late", seconds), "lost", "busy", "silent"
        self.fault = lambda machine, call, arguments: None
        self.addresses = {}

    async def open(self, machine):
        async def handle(method, path, query, headers, body):
            return await self.serve(machine, path, query, body)
        self.addresses[machine] = (await HttpServer(handle).open("127.0.0.1")).address
        return self.addresses[machine]

    async def open_for_runners(self):
        """Where runners of other processes write their entries."""
        async def handle(method, path, query, headers, body):
            fields = json.loads(body)
            self.put(fields["key"], fields["content"])
            return 200, {}
        return (await HttpServer(handle).open("127.0.0.1")).address

    async def serve(self, machine, path, query, body):
        call, _, number = path.removeprefix("/hawthornbeam/").partition("/")
        arguments = dict(query)
        if body:
            arguments.update(json.loads(body))
        if number:
            arguments["lease-id"] = int(number)
        await asyncio.sleep(self.LATENCY_S / 2)
        if call == "kv-txn":
            self.writes += 1
        fault = self.fault(machine, call, arguments)
        if fault is not None:
            self.record("store fault", machine=machine, call=call, fault=fault,
                        keys=[put["key"] for put in arguments.get("puts", [])])
        if fault == "silent":
            return NO_ANSWER
        if fault == "busy":
            return 503, None
        if fault == "lost" or (isinstance(fault, tuple) and fault[0] == "late"):
            self.lost_writes += 1
            if fault == "lost":
                self.apply(call, arguments)
            else:
                asyncio.get_running_loop().call_later(
                    fault[1], lambda: self.apply_late(machine, call, arguments))
            return NO_ANSWER
        if call == "kv-watch":
            return await self.watch(arguments)
        answer = self.apply(call, arguments)
        await asyncio.sleep(self.LATENCY_S / 2)
        return answer

    def apply_late(self, machine, call, arguments):
        status = self.apply(call, arguments)[0]
        self.executed_late_at = self.record.now()
        self.record("store executes late", machine=machine, call=call, status=status,
                    keys=[put["key"] for put in arguments.get("puts", [])])

    def apply(self, call, arguments):
        self.expire()
        return {"kv-key": self.key, "kv-range": self.range, "kv-txn": self.transact,
                "kv-lease": self.lease, "kv-keep": self.keep,
                "kv-lease-end": self.end_lease}[call](arguments)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "rev": self.revision,
                           "created": created, "lease": lease}
        self.history.append(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "rev": self.revision, "deleted": True})

    def put(self, key, content, lease=0):
        self.revision += 1
        self.write(key, base64.b64encode(json.dumps(content).encode()).decode(), lease)
        self.notify()

    def delete(self, key):
        self.revision += 1
        self.remove(key)
        self.notify()

    def expire(self):
        now = time.monotonic()
        for number in [one for one, (_, end) in self.leases.items() if end <= now]:
            self.drop(number)

    def drop(self, number):
        self.leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item["lease"] == number]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.notify()

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    def key(self, arguments):
        item = self.items.get(arguments["key"])
        return (404, None) if item is None else (200, {**item, "store-revision": self.revision})

    def range(self, arguments):
        keys = sorted(key for key in self.items if key.startswith(arguments["prefix"])
                      and key > arguments.get("after", ""))
        return 200, {"items": [self.items[key] for key in keys[:500]],
                     "truncated": len(keys) > 500, "store-revision": self.revision}

    async def watch(self, arguments):
        after, prefix = int(arguments["after"]), arguments["prefix"]
        end = time.monotonic() + int(arguments["wait-ms"]) / 1000
        while True:
            events = []
            for event in reversed(self.history):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, arguments):
        expected = arguments.get("expect-rev", [])
        current = [self.items.get(one["key"], {"key": one["key"], "rev": 0})
                   for one in expected]
        if any(item["rev"] != one["rev"] for item, one in zip(current, expected)):
            return 412, {"items": current}
        puts = arguments.get("puts", [])
        if any(one.get("lease", 0) and one["lease"] not in self.leases for one in puts):
            return 404, None
        self.revision += 1
        for one in puts:
            self.write(one["key"], one["value"], one.get("lease", 0))
        for key in arguments.get("remove", []):
            self.remove(key)
        self.notify()
        return 200, {"rev": self.revision}

    def lease(self, arguments):
        ttl = max(1.0, arguments["ttl-ms"] / 1000)
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
        return 200, {"lease": self.next_lease, "ttl-ms": int(ttl * 1000)}

    def keep(self, arguments):
        lease = self.leases.get(arguments["lease-id"])
        if lease is None:
            return 404, None
        self.leases[arguments["lease-id"]] = (lease[0], time.monotonic() + lease[0])
        return 200, {"ttl-ms": int(lease[0] * 1000)}

    def end_lease(self, arguments):
        self.drop(arguments["lease-id"])
        return 200, {}


class Runner:
    """One runner. The duration of a task in seconds is the text of its `spec`, or that
    of its step: "5,3" gives 5 s to the tasks of step 0 and 3 s to those of step 1. Tasks
    fail after the time if "f" stands before it.
    The bookkeeping of `runs` outlives incarnations, for the checks."""

    HEARTBEAT_S = 1.5

    def __init__(self, record, store, name, rack="r1-0", cpu=16000, mem_mb=32768):
        self.record, self.store, self.name, self.rack = record, store, name, rack
        self.cpu, self.mem_mb = cpu, mem_mb
        self.log = []  # dicts: task, run, begin, end, how
        self.state = "ready"
        self.sequence = 0
        self.server = None
        self.up = False
        self.cut = False  # No writes to the store.
        # fault(call, fields) -> None, or ("late", s), "silent", "mute" (done, no answer),
        # "done-reset" (done, then the connection is reset), "power" (done, then power is lost)
        self.fault = lambda call, fields: None
        self.tasks = []
        self.crashes = []

    def reset_state(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.clock_start = 1000  # It starts anew in each life.
        self.running = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.token = 0
        self.unnoted = []  # Entries of this life whose ends are not taken note of.
        self.lease_end = None
        self.sequence = 0
        self.wake = asyncio.Event()

    async def start(self, port=0):
        self.reset_state()
        self.server = await HttpServer(self.handle).open("127.0.0.1", port)
        self.address = self.server.address
        self.up = True
        self.record("runner up", name=self.name, born=self.born, address=self.address)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def crash(self):
        """Ends at once with all that runs."""
        self.lose_power()
        await self.server.close(reset=True)

    def lose_power(self):
        """Ends at once with all that runs, and sends nothing, also no reset."""
        self.up = False
        for one in self.tasks:
            one.cancel()
        for task in list(self.running):
            self.finish_log(task, "crashed")
        self.running = {}
        self.crashes.append(self.record.now())
        self.record("runner crashed", name=self.name)

    async def power_on(self):
        """A new incarnation under the same id and address; old connections are reset."""
        await self.server.close(reset=True)
        await self.restart()

    async def restart(self):
        """A new incarnation under the same id and address."""
        await self.start(int(self.address.rpartition(":")[2]))

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + self.clock_start

    def publish(self):
        self.sequence += 1
        self.store.put(f"servers/{self.name}", {
            "service": SERVICE, "address": self.address, "zone": "zone-a", "version": "v1",
            "capacity": 8, "state": self.state, "warmup-ms": 0,
            "room": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            "labels": ["a", self.rack], "clock-ms": self.clock_ms(), "seq": self.sequence,
            "born": self.born})

    async def beat(self):
        while True:
            if not self.cut:
                self.publish()
            await asyncio.sleep(self.HEARTBEAT_S)

    def finish_log(self, task, how):
        entry = self.running[task]["entry"]
        entry["end"], entry["how"] = self.record.now(), how
        self.record("run ended", runner=self.name, task=task, run=entry["run"], how=how)

    def end(self, task, how):
        self.finish_log(task, how)
        entry = self.running[task]["entry"]
        run = self.running.pop(task)["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        entry["number"] = self.next_end
        self.unnoted.append(entry)
        self.next_end += 1
        self.wake.set()
        self.wake = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.lease_end is not None and self.clock_ms() > self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, one in list(self.running.items()):
                if now - one["began"] >= one["work_s"]:
                    self.end(task, one["how"])

    def percent(self, one):
        return min(100, int(100 * (time.monotonic() - one["began"]) / one["work_s"]))

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return NO_ANSWER
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        call = path.removeprefix("/hawthornbeam/")
        fields = json.loads(body or b"{}")
        fault = self.fault(call, fields)
        if fault is not None:
            self.record("runner fault", runner=self.name, call=call, fault=fault,
                        task=fields.get("task"))
        if fault == "silent":
            return NO_ANSWER
        if isinstance(fault, tuple) and fault[0] == "late":
            asyncio.get_running_loop().call_later(
                fault[1], lambda: self.execute_late(call, fields))
            return NO_ANSWER
        answer = await self.execute(call, fields)
        if fault == "power":
            self.lose_power()
        if fault == "mute" or not self.up:
            return NO_ANSWER
        if fault == "done-reset":
            return RESET
        return answer

    def execute_late(self, call, fields):
        if not self.up:
            return
        status, content = self.execute_now(call, fields)
        self.record("runner executes late", runner=self.name, call=call, status=status,
                    reason=content.get("reason"), task=fields.get("task"))

    async def execute(self, call, fields):
        if call != "hold":
            return self.execute_now(call, fields)
        if fields.get("fence-token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = max(self.token, fields.get("fence-token", 0))
        self.extend(fields)
        self.take_note(fields.get("last-seen", 0))
        self.ended = [one for one in self.ended if one[0] > fields.get("last-seen", 0)]
        until = time.monotonic() + min(fields.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return self.answer(200, ended=self.ended[:500], running=[
            [task, one["run"], "", self.percent(one), 0] for task, one in self.running.items()])

    def take_note(self, last_seen):
        """Marks the entries whose ends `last-seen` has reached."""
        for entry in [one for one in self.unnoted if one["number"] <= last_seen]:
            entry["noted"] = round(self.record.now(), 3)
            self.unnoted.remove(entry)

    def extend(self, fields):
        if "deadline-ms" not in fields:
            return
        asked = min(fields["deadline-ms"], self.clock_ms() + int(HOLD_MAX_S * 1000))
        self.lease_end = max(self.lease_end or 0, asked)

    def execute_now(self, call, fields):
        if fields.get("fence-token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = max(self.token, fields.get("fence-token", 0))
        task, run = fields["task"], fields["run"]
        if call == "run-stop":
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                self.end(task, "stopped")
            return self.answer(200)
        if task in self.running and self.running[task]["run"] == run:
            return self.answer(200)
        if run <= self.highest.get(task, 0) or task in self.running:
            self.extend(fields)
            return self.answer(409, reason="old")
        if self.clock_ms() > fields["deadline-ms"]:
            return self.answer(409, reason="late")
        self.extend(fields)
        durations = fields["spec"].split(",")
        step = int(task.split(".")[2])
        duration = durations[min(step, len(durations) - 1)]
        work_s = float(duration.removeprefix("f"))
        entry = {"task": task, "run": run, "begin": self.record.now(), "end": None,
                 "how": None, "runner": self.name, "spec": fields["spec"]}
        self.log.append(entry)
        self.running[task] = {"run": run, "began": time.monotonic(), "work_s": work_s,
                              "entry": entry,
                              "how": "failed" if duration.startswith("f") else "done"}
        self.record("run begins", runner=self.name, task=task, run=run,
                    token=fields.get("fence-token"))
        return self.answer(200)

    def answer(self, status, **content):
        return status, {"clock-ms": self.clock_ms(), "born": self.born, **content}


SETTINGS = """node-name = "{name}"
role = "scheduler"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
port-range = [7720,7735]
seeds = []
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control-mode = "call"
advice = ""
[zones]
zone-a = "region-a"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-budget]
machines = 2
zones = 0
regions = 0
[parameters]
contact-ms = 3000
ack-ms = 4000
grace-s = 6.0
drain-ms = 2000
hold-max-ms = 10000
kill-grace-ms = 900
gang-ms = 3000
cancel_ms = 3000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
retention-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def end_with_parent():
    """Lets a process end with the process that started it."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Machine:
    """One machine of the system with its process."""

    def __init__(self, record, store, name, folder):
        self.record, self.store, self.name, self.folder = record, store, name, folder
        self.ip = free_ip()
        self.process = None

    async def prepare(self):
        self.store_address = await self.store.open(self.name)
        self.front = f"{self.ip}:8161"
        self.ready = f"{self.ip}:8167"
        self.settings = self.folder / f"{self.name}.toml"
        self.settings.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, front=self.front, ready=self.ready,
            store=self.store_address))

    def start(self):
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(ROOT / PROGRAM)], cwd=ROOT, preexec_fn=end_with_parent, stdout=self.log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder),
                 "LANG": "C.UTF-8", "GSETTINGS_BACKEND": "memory",
                 "HAWTHORNBEAM_CONFIG": str(self.settings)})
        self.record("process started", machine=self.name, pid=self.process.pid)

    def signal(self, number):
        self.record("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class RunnerHosts:
    """Runners in processes of their own; see runner_host.py."""

    def __init__(self, record, hosts, runners_each, cpu):
        self.record, self.hosts, self.each, self.cpu = record, hosts, runners_each, cpu
        self.processes = []
        self.running = {}
        self.starts = {}
        self.begun = set()  # Jobs of which a task has begun.
        self.begun_tasks = set()

    async def start(self, store):
        address = await store.open_for_runners()
        for number in range(self.hosts):
            process = await asyncio.create_subprocess_exec(
                sys.executable, str(pathlib.Path(__file__).with_name("runner_host.py")),
                address, str(number * self.each), str(self.each), str(self.cpu),
                stdout=asyncio.subprocess.PIPE, limit=1 << 24, preexec_fn=end_with_parent)
            self.processes.append(process)
            asyncio.create_task(self.read(number, process))

    async def read(self, number, process):
        while line := await process.stdout.readline():
            shown = json.loads(line)
            self.running[number] = shown["running"]
            self.starts[number] = shown["starts"]
            self.begun.update(task.split(".")[0] for task in shown["new"])
            self.begun_tasks.update(shown["new"])

    async def stop(self):
        for process in self.processes:
            process.kill()
            await process.wait()


class Client:
    """Calls the machines as clients do."""

    def __init__(self, record, prefix):
        self.record, self.prefix = record, prefix

    async def call(self, machine, method, path, body=None, timeout=3.0, quiet=False):
        """Returns (status, content); status None: no answer."""
        began = self.record.now()
        status, content = None, None
        try:
            status, content = await asyncio.wait_for(
                self.exchange(machine.front, method, self.prefix + path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                IndexError):
            pass
        if not quiet:
            self.record("client", method=method, path=path, machine=machine.name,
                        status=status, content=content, sent_at=f"{began:.3f}")
        return status, content

    async def ready(self, machine, timeout=1.0):
        """Asks whether the machine is ready, as the platform does."""
        try:
            return await asyncio.wait_for(
                self.exchange(machine.ready, "GET", "/hawthornbeam/ready", None), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                IndexError):
            return None, None

    async def exchange(self, address, method, path, body):
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
                         f"Content-Type: application/json\r\nDeadline-Ms: 3000\r\n"
                         f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                         + data)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode("latin1").partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            text = await reader.readexactly(length)
            return status, json.loads(text) if text else None
        finally:
            writer.close()


class Site:
    """A small deployment: the store, runners, machines and clients."""

    PREFIX = "/q0/"

    def __init__(self, record, machines=3, runners=2, cpu=16000):
        self.record = Record(record)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = Store(self.record)
        self.runners = [Runner(self.record, self.store, f"i-{n:04x}", f"r1-{n // 8}", cpu)
                        for n in range(runners)]
        self.machines = [Machine(self.record, self.store, f"front-{n}", self.temporary)
                         for n in range(machines)]
        self.client = Client(self.record, self.PREFIX)
        self.background = []
        self.quota = None

    async def __aenter__(self):
        self.background.append(asyncio.create_task(self.store.run()))
        self.store.put("op/config", {
            "version": 7, "services": [{"name": SERVICE, "rejects-overload": False}],
            "limits": {"body-bytes": 262144},
            "routes": [{"name": "queue-0", "host": QUEUE_HOST, "prefix": self.PREFIX,
                        "type": "unsafe", "timeout-ms": 3000, "slo-ms": 3000,
                        "priority": 0, "service": SERVICE, "attempts": 4, "stretch": 2.0}]})
        for runner in self.runners:
            await runner.start()
        for machine in self.machines:
            await machine.prepare()
            machine.start()
        return self

    async def __aexit__(self, *_):
        if self.quota:
            self.quota.kill()
            await self.quota.wait()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
            machine.kill()
        for one in self.background:
            one.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temporary, file=sys.stderr)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    async def limit_processors(self):
        """Gives each process the share of a core that its settings name."""
        self.quota = await asyncio.create_subprocess_exec(
            sys.executable, str(pathlib.Path(__file__).with_name("quota.py")),
            str(CPU_SHARE), *(str(machine.process.pid) for machine in self.machines),
            preexec_fn=end_with_parent)

    async def submit(self, machine, job, spec, steps, timeout=3.0, quiet=False):
        return (await self.client.call(machine, "POST", job, {"spec": spec, "steps": steps},
                                       timeout, quiet))[0]

    async def until(self, what, condition, limit):
        """Waits for a condition of the set-up; raises CannotRun after `limit` s."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(what)

    async def ready(self):
        """Waits until each machine has served a job."""
        for machine in self.machines:
            job = new_job()

            async def accepted(machine=machine, job=job):
                return await self.submit(machine, job, "0.1", [step()], quiet=True) == 200

            async def done(machine=machine, job=job):
                status, content = await self.client.call(machine, "GET", job, quiet=True)
                return status == 200 and content["state"] == "done"
            await self.until(f"{machine.name} accepts a job", accepted, 20)
            await self.until(f"{machine.name} shows a job as done", done, 20)
        self.record("deployment is ready")

    def owner(self):
        """The machine whose claim stands in the store, by the address in the record."""
        item = self.store.items.get("cell/owner")
        value = base64.b64decode(item["value"]) if item else b""
        for machine in self.machines:
            if machine.ip.encode() + b":" in value:
                return machine
        return None

    def runs(self, job=None):
        return [entry for runner in self.runners for entry in runner.log
                if job is None or entry["task"].startswith(job + ".")]


class CannotRun(Exception):
    pass


def new_job():
    return f"{random.randrange(16 ** 16):016x}"


def step(count=1, cpu=1000, mem_mb=256, estimate_ms=1000, **more):
    return {"count": count, "cpu": cpu, "mem-mb": mem_mb, "estimate-ms": estimate_ms, **more}


def main(case, record, trouble):
    """Runs the coroutine `case(record, trouble)`, which returns a list of breaches, and
    exits. `record` is the path of the case's record, `trouble` whether the disruption is
    played."""
    try:
        breaches = asyncio.run(asyncio.wait_for(case(record, trouble), LIMIT_S))
    except Exception as reason:  # Only a broken rule exits with 1.
        traceback.print_exc()
        print("the case could not run:", repr(reason))
        sys.exit(2)
    with open(record, "a", encoding="utf-8") as written:
        for line in breaches or ["the rule held"]:
            written.write(line + "\n")
            print(line)
    sys.exit(1 if breaches else 0)
