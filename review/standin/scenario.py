"""Runs hawthornbeamd as separate processes against the stand-ins of the platform, and keeps
the record of a case. A case exits with 1 if its rule was broken, 0 if it held and 2 if it
could not run."""

import asyncio
import base64
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

from http11 import call
from runner import Runner
from store import Store

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/tools/hawthornbeamd"  # `run` of the deploy file
HOST = "queue.example"
SERVICE = "service-a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """node-name = "{name}"
role = "scheduler"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
port-range = [{first_port},{last_port}]
seeds = []
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control-mode = "call"
advice = "{advice}"
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
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
drain-ms = 2000
grace-s = 6
converge-ms = 2000
hold-max-ms = {hold_max_ms}
kill-grace-ms = {kill_grace_ms}
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease-ms = 3000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
retention-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class CannotRun(Exception):
    pass


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Host:
    """One machine of the system, with its process."""

    def __init__(self, scenario, number):
        self.scenario, self.name = scenario, f"front-{number}"
        self.ip = f"{scenario.network}.{number}"
        self.front_port, self.ready_port, peer_port = free_ports(self.ip, 3)
        self.settings = scenario.folder / f"{self.name}.toml"
        self.settings.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, front_port=self.front_port, ready_port=self.ready_port,
            first_port=peer_port, last_port=peer_port + 1, store=scenario.store.address,
            advice=scenario.advice_address, hold_max_ms=scenario.hold_max_ms,
            kill_grace_ms=scenario.kill_grace_ms))
        self.process = None

    def start(self):
        self.log_file = open(self.scenario.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(REPOSITORY / PROGRAM)], cwd=REPOSITORY, stdout=self.log_file,
            stderr=subprocess.STDOUT, start_new_session=True,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": str(self.scenario.folder),
                 "LANG": "C.UTF-8", "GSETTINGS_BACKEND": "memory",
                 "HAWTHORNBEAM_CONFIG": str(self.settings)})
        self.scenario.record("host", self.name, "started")

    def signal(self, number):
        self.scenario.record("host", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def ended_by_itself(self):
        return self.process is not None and self.process.poll() is not None

    async def call(self, method, path, body=None, timeout=3.0):
        return await call(self.ip, self.front_port, method, path, HOST, body, timeout)

    async def leave(self):
        """SIGTERM, the end of the process, and its start anew."""
        self.signal(signal.SIGTERM)
        while self.process.poll() is None:
            await asyncio.sleep(0.1)
        self.start()


class Scenario:
    def __init__(self, case_file, hosts=3, hold_max_ms=6000, kill_grace_ms=400):
        self.case = pathlib.Path(case_file).resolve().parent
        self.record_file = open(self.case / "record.txt", "w")
        self.began = time.monotonic()
        self.events = []
        self.host_count, self.hold_max_ms, self.kill_grace_ms = hosts, hold_max_ms, kill_grace_ms
        # An address range of loopback for each run, so that runs don't meet.
        self.network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.advice_address = f"{self.network}.250:9"
        self.runners = {}
        self.hosts = []
        self.seed = random.randrange(16 ** 8)
        self.jobs = 0

    def now(self):
        return time.monotonic() - self.began

    def record(self, *words):
        event = (round(self.now(), 3),) + words
        self.events.append(event)
        print(" ".join(str(word) for word in event), file=self.record_file)

    async def open(self, runners, queues):
        """`runners`: (name, room, labels, plan). `queues`: fields of routes beside the usual."""
        if not (REPOSITORY / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hawthornbeam-review-"))
        self.store = await Store(self.record).open(f"{self.network}.200")
        for name, room, labels, plan in runners:
            runner = Runner(name, f"{self.network}.210", self.store, SERVICE, room, labels, plan,
                            self.record, self.hold_max_ms / 1000, self.kill_grace_ms / 1000)
            self.runners[name] = await runner.open()
        await self.configure(7, queues)
        self.hosts = [Host(self, number + 1) for number in range(self.host_count)]
        for host in self.hosts:
            host.start()
        await self.wait_until_serving()

    async def configure(self, version, queues):
        """Writes a configuration, as the operator does."""
        routes = [{"name": f"queue-{n}", "host": HOST, "prefix": f"/q{n}/", "type": "unsafe",
                   "timeout-ms": 3000, "slo-ms": 1000, "priority": 0, "service": SERVICE,
                   "attempts": 4, "stretch": 2.0, **fields} for n, fields in enumerate(queues)]
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": routes, "services": [{"name": SERVICE}],
             "limits": {"body-bytes": 262144}}).encode())
        self.record("operator writes version", version, "with", len(queues), "queues")

    async def wait_until_serving(self, limit=15):
        end = self.now() + limit
        while self.now() < end:
            answers = [(await host.call("GET", "/q0/", timeout=1))[0] for host in self.hosts]
            if answers == [200] * len(self.hosts):
                self.record("all hosts serve; owner", self.owner().name)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the hosts do not serve")

    def owner(self):
        """The host that holds the claim in the store; None if nobody does."""
        item = self.store.items.get("cell/owner")
        value = base64.b64decode(item["value"]) if item else b""
        return next((host for host in self.hosts if host.name.encode() + b"." in value), None)

    def job_id(self):
        self.jobs += 1
        return f"{self.seed:08x}{self.jobs:08x}"

    async def submit(self, job, body, queue=0, hosts=None):
        """Hands a job in as a client does: without an answer, or after a 502 or 504, again
        with the same id; after a refusal again too. Returns the last status."""
        hosts = hosts or self.hosts
        status = None
        for attempt in range(5):
            host = hosts[attempt % len(hosts)]
            self.record("client POST", job, "at", host.name)
            status, reason = await host.call("POST", f"/q{queue}/{job}", body)
            self.record("client POST", job, "answered", status, reason or "")
            if status is not None and status < 500 and status != 429:
                break
            await asyncio.sleep(1 if status in (503, 429) else 0.2)
        return status

    async def state(self, job, queue=0, hosts=None, timeout=3.0):
        for host in hosts or self.hosts:
            status, body = await host.call("GET", f"/q{queue}/{job}", timeout=timeout)
            self.record("client GET", job, "at", host.name, "answered", status, body or "")
            if status == 200:
                return body["state"]
            if status == 410:
                return "gone"
        return None

    async def cancel(self, job, queue=0, hosts=None):
        for host in hosts or self.hosts:
            self.record("client DELETE", job, "at", host.name)
            status, _ = await host.call("DELETE", f"/q{queue}/{job}")
            self.record("client DELETE", job, "answered", status)
            if status in (200, 410):
                return status
        return None

    async def sleep_until(self, at):
        await asyncio.sleep(max(0.0, at - self.now()))

    def close(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_LOGS") and self.hosts:
            print("logs:", self.folder)
        elif self.hosts:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.flush()


def runs_of(events):
    """Runs by task, from the record: dicts with number, runner, began, ended, how, noted."""
    runs = {}
    for event in events:
        kind = event[1]
        if kind == "started":
            runs.setdefault(event[3], []).append(
                {"number": event[4], "runner": event[2], "began": event[0], "ended": None,
                 "how": None, "noted": None})
        elif kind in ("ended", "noted"):
            for run in runs.get(event[3], []):
                if run["runner"] == event[2] and run["number"] == event[4]:
                    if kind == "ended":
                        run["ended"], run["how"] = event[0], event[5]
                    else:
                        run["noted"] = event[0]
        elif kind == "runner" and str(event[3]).startswith("crashed"):
            for listed in runs.values():
                for run in listed:
                    if run["runner"] == event[2] and run["ended"] is None:
                        run["ended"], run["how"] = event[0], "lost"
    return runs


def twice(events):
    """Tasks that break TWICE: two runs at the same time, or a start after a run has ended
    `done`, if that end is taken note of then or later."""
    broken = []
    for task, runs in runs_of(events).items():
        for later in runs:
            for earlier in runs:
                if earlier is later or earlier["began"] > later["began"]:
                    continue
                if earlier["ended"] is None or earlier["ended"] > later["began"]:
                    broken.append((task, "two runs at the same time", earlier, later))
                elif earlier["how"] == "done" and earlier["noted"] is not None:
                    broken.append((task, "started after an end `done`", earlier, later))
    return broken


def end(scenario, code):
    scenario.close()
    sys.stdout.flush()
    # Without the shutdown of asyncio, which would report the open connections.
    os._exit(code)


def main(case_file, play, limit=110, **options):
    """Plays `play(scenario)`, which returns a list of lines on what was broken."""
    scenario = Scenario(case_file, **options)
    signal.signal(signal.SIGTERM, lambda *_: end(scenario, NOT_RUN))

    # Not asyncio.run(), which would wait for the connections that are open at the end.
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        broken = loop.run_until_complete(asyncio.wait_for(play(scenario), limit))
    except BaseException as fault:
        scenario.record("could not run:", type(fault).__name__, fault)
        traceback.print_exc()
        end(scenario, NOT_RUN)
    for line in broken[:20]:
        scenario.record("BROKEN", line)
        print("BROKEN", line)
    scenario.record("trouble" if TROUBLE else "no trouble", "-",
                    f"{len(broken)} times broken" if broken else "held")
    print("broken" if broken else "held")
    end(scenario, BROKEN if broken else HELD)
