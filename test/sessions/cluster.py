"""Runs the platform stand-in and instances as processes on loopback, for the demo and the
process tests. Each process is terminated through its own handle, also on failure."""

import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("HAWTHORNBEAM_BUILD", os.path.join(ROOT, "build"))
TOOLS = os.path.join(BUILD, "tools")
TEST = os.path.join(BUILD, "test")

# Below the kernel's range of ephemeral ports, so that outgoing connections do not take
# the port of an instance while it restarts.
FIRST_PORT, LAST_PORT = 12000, 30000


_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Makes the kernel kill the calling child process when its parent dies."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def boot_time():
    """Returns seconds on the clock that the worker history uses."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


given_ports = set()


def free_port():
    """Returns a port that is free on loopback, and that was not returned before."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port in given_ports:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
             socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
                given_ports.add(port)
                return port
            except OSError:
                continue


def wait_for(what, condition, limit=30.0, period=0.05):
    """Polls until `condition` holds; raises AssertionError after `limit` seconds."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not reached within {limit} s: {what}")
        time.sleep(period)


def request(address, method, path, body=None, headers=None, timeout=30.0):
    """Sends an HTTP request and returns (status, headers, body text). Raises OSError or
    HTTPException."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        sent = body if isinstance(body, (str, bytes, type(None))) else json.dumps(body)
        connection.request(method, path, sent, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


NO_ANSWER = (OSError, http.client.HTTPException)


class Instance:
    def __init__(self, cluster, index):
        self.cluster = cluster
        self.name = f"entry-{index}"
        self.domain = f"domain-{index % cluster.domains}"
        self.http, self.peer, self.gossip = free_port(), free_port(), free_port()
        self.address = f"127.0.0.1:{self.http}"
        self.process = None
        self.settings = os.path.join(cluster.directory, self.name + ".toml")
        self.log = os.path.join(cluster.directory, self.name + ".log")

    def write_settings(self):
        seeds = [f"127.0.0.1:{other.gossip}" for other in self.cluster.instances
                 if other is not self]
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f'id = "{self.name}"\nregion = "demo"\n'
                      f'failure_domain = "{self.domain}"\nlisten_ip = "127.0.0.1"\n'
                      f"http_port = {self.http}\npeer_port = {self.peer}\n"
                      f"gossip_port = {self.gossip}\nseeds = {json.dumps(seeds)}\n"
                      f'kv_url = "{self.cluster.addresses["kv"]}"\n'
                      f'host_list_url = "{self.cluster.addresses["hosts"]}"\n')

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(TOOLS, "hawthornd"), "--settings=" + self.settings,
                 "--log_level=" + os.environ.get("HAWTHORNBEAM_LOG", "info")],
                stdout=subprocess.PIPE, stderr=log, text=True,
                preexec_fn=end_with_parent)
        if not self.process.stdout.readline():
            raise AssertionError(f"{self.name} did not start; see {self.log}")

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            return request(self.address, "GET", "/readyz", timeout=5)[0] == 200
        except NO_ANSWER:
            return False

    def table_version(self):
        """Returns the table version in force at this instance, or None if it does not
        respond or has no table."""
        try:
            status, _, body = request(self.address, "GET", "/v1/table", timeout=2)
        except NO_ANSWER:
            return None
        return json.loads(body)["version"] or None if status == 200 else None

    def wait_until_ended(self, limit=45.0):
        """Waits for the process to exit and returns its exit code."""
        try:
            return self.process.wait(limit)
        except subprocess.TimeoutExpired:
            raise AssertionError(f"{self.name} has not ended within {limit} s; "
                                 f"see {self.log}") from None


class Cluster:
    """Context manager that runs the platform stand-in and several instances."""

    def __init__(self, instances=3, workers=24, domains=3, cores=64, memory_mb=262144):
        self.directory = tempfile.mkdtemp(prefix="hawthornbeam-")
        self.keep = bool(os.environ.get("HAWTHORNBEAM_KEEP"))
        self.domains = domains
        self.observations = []
        self.lock = threading.Lock()
        self.watching = None
        self.others = []
        self.platform = None
        self.flags = [f"--workers={workers}", f"--failure_domains={domains}",
                      f"--cores={cores}", f"--memory_mb={memory_mb}"]
        self.instances = []
        self.count = instances

    def __enter__(self):
        try:
            self.platform = subprocess.Popen(
                [os.path.join(TEST, "standin_platform")] + self.flags,
                stdout=subprocess.PIPE, text=True, preexec_fn=end_with_parent)
            self.addresses = json.loads(self.platform.stdout.readline())
            self.control = self.addresses["control"].removeprefix("http://")
            self.note_capacities()
            self.instances = [Instance(self, i) for i in range(self.count)]
            for instance in self.instances:
                instance.write_settings()
                instance.start()
            self.wait_ready()
            return self
        except BaseException:
            self.close()
            raise

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.keep = True
        self.close()

    def close(self):
        self.stop_watching()
        running = [one.process for one in self.instances if one.process] + self.others
        for process in running + [self.platform]:
            if process and process.poll() is None:
                process.kill()
        for process in running + [self.platform]:
            if process:
                process.wait()
                if process.stdout:
                    process.stdout.close()
        if self.keep:
            print("logs and records are kept in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def note_capacities(self):
        hosts = self.addresses["hosts"].removeprefix("http://")
        for host in json.loads(request(hosts, "GET", "/hosts")[2])["hosts"]:
            self.observe({"capacity": {"worker": host["id"], "size": host["capacity"]}})

    def observe(self, line):
        with self.lock:
            self.observations.append(line)

    def addresses_text(self):
        return ",".join(one.address for one in self.instances)

    def wait_ready(self):
        """Waits until every slice and partition has an owner. The instances accept jobs
        only after the caller has put a table."""
        wait_for("all is owned", self.is_all_owned)

    def is_all_owned(self):
        """Returns True if the first instance lists all instances, all partitions are
        owned and the leases of all workers are held."""
        status, _, body = request(self.instances[0].address, "GET", "/v1/instances")
        if status != 200:
            return False
        instances = json.loads(body)["instances"]
        partitions = sum(len(one["partitions"]) for one in instances)
        workers = json.loads(request(self.instances[0].address, "GET",
                                     "/v1/workers")[2])["workers"]
        return (len(instances) == len(self.instances) and partitions == 64 and
                len(workers) == len(self.addresses["workers"]) and
                all(one["lease_held"] for one in workers))

    # Table operations.

    def put_table(self, rows, version, instance=0):
        """Replaces the table and records the time at which the edit was confirmed."""
        status, _, body = request(self.instances[instance].address, "PUT", "/v1/table",
                                  {"rows": rows}, {"If-Match": f'"{version}"'})
        if status != 200:
            raise AssertionError(f"the table was refused: {status} {body}")
        self.observe({"accepted": {"at_seconds": boot_time(), "version": version + 1}})

    def wait_table(self, version):
        wait_for(f"table {version} is in force",
                 lambda: all(one.table_version() == version for one in self.instances))
        for one in self.instances:
            wait_for(one.name + " is ready", one.is_ready)

    def watch_tables(self):
        """Starts a thread that records the table version in force at every instance
        twice a second."""
        stop = threading.Event()

        def watch():
            while not stop.wait(0.5):
                for one in self.instances:
                    asked = boot_time()
                    version = one.table_version()
                    if version is not None:
                        self.observe({"table": {"at_seconds": asked,
                                                "instance": one.name,
                                                "version": version}})

        thread = threading.Thread(target=watch, daemon=True)
        thread.start()
        self.watching = (stop, thread)

    def stop_watching(self):
        if self.watching:
            self.watching[0].set()
            self.watching[1].join()
            self.watching = None

    # Fault injection, load and the invariant checker.

    def fault(self, **members):
        status, _, body = request(self.control, "POST", "/faults", members)
        if status != 200:
            raise AssertionError(f"the fault was refused: {body}")

    def start_load(self, plan, name):
        """Starts hawthornload, which writes its job records to `name`.jsonl."""
        process = subprocess.Popen(
            [os.path.join(TOOLS, "hawthornload"), "--plan=" + plan, "--name=" + name,
             "--instances=" + self.addresses_text(), "--control=" + self.control,
             "--json=" + self.path(name + ".json"),
             "--records=" + self.path(name + ".jsonl"), "--require_end"],
            preexec_fn=end_with_parent)
        self.others.append(process)
        return process

    def path(self, name):
        return os.path.join(self.directory, name)

    def records(self, name):
        with open(self.path(name + ".jsonl"), encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]

    def history(self):
        """Returns the worker events as dictionaries and writes them to history.jsonl."""
        text = request(self.control, "GET", "/history", timeout=60)[2]
        with open(self.path("history.jsonl"), "w", encoding="utf-8") as out:
            out.write(text)
        return [json.loads(line) for line in text.splitlines()]

    def check(self, name):
        """Runs the invariant checker and returns True if it reports no violation."""
        self.history()
        self.stop_watching()
        with open(self.path("observations.jsonl"), "w", encoding="utf-8") as out:
            for line in self.observations:
                out.write(json.dumps(line) + "\n")
        checked = subprocess.run(
            [os.path.join(TEST, "check_history"),
             "--history=" + self.path("history.jsonl"),
             "--records=" + self.path(name + ".jsonl"),
             "--observations=" + self.path("observations.jsonl")], check=False)
        return checked.returncode == 0


def end_on_signals():
    """Raises SystemExit on SIGTERM so that the context manager ends the processes."""
    def end(number, frame):
        raise SystemExit(128 + number)
    signal.signal(signal.SIGTERM, end)
