"""Starts hawthornbeamd or hawthornd with lowered limits, and measures the process."""

import json
import os
import pathlib
import random
import resource
import shutil
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "sessions"))

from cluster import (Cluster, NO_ANSWER, TOOLS, end_with_parent, free_port,  # noqa: E402
                     request, wait_for)
from platform_standin import Runner, Store  # noqa: E402

MIB = 1 << 20
# docs/design.md, section 1: memory that a process may use for control.
CONTROL_MEMORY_BYTES = 32 * MIB
# Instrumented programs use memory of their own, so their peak says nothing.
MEMORY_IS_CHECKED = os.environ.get("HAWTHORNBEAM_SANITIZED") != "ON"
IP = "127.0.0.1"
QUEUE_HOST = "queue.example"
QUEUE_PREFIX = "/q0/"
SERVICE = "service-a"

SETTINGS = """node-name = "front-1"
role = "scheduler"
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
port-range = [{peer_port},{peer_port}]
bootstrap = true
advice = ""
[listen]
front = "{client}"
ready = "{ready}"
[limits]
cpu-share = 1.0
memory-mb = 260
max-fds = {descriptors}
request-memory-bytes = {request_memory}
[parameters]
drain-ms = 2000
grace-s = 6
hold-max-ms = 6000
[platform]
address = "{store}"
"""


class Daemon:
    """What the daemons have in common: their process and its measures."""

    process = None

    def is_alive(self):
        return self.process.poll() is None

    def peak_memory_bytes(self):
        for line in self.proc("status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the kernel reports no peak of the memory")

    def descriptors(self):
        return len(os.listdir(self.proc("fd")))

    def proc(self, name):
        return pathlib.Path("/proc", str(self.process.pid), name)


class Hawthornbeamd(Daemon):
    """One instance with a store and a runner. `descriptors`: limit on open files."""

    def __init__(self, body_bytes=16 << 10, request_memory_bytes=MIB, descriptors=4100):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hawthornbeam-clients-"))
        self.addresses = {name: f"{IP}:{free_port()}" for name in ("client", "ready", "metrics")}
        self.descriptor_limit = descriptors
        self.store = Store(IP)
        self.store.put("op/config", {
            "version": 7, "services": [{"name": SERVICE}],
            "limits": {"body-bytes": body_bytes},
            "routes": [{"name": "queue-0", "host": QUEUE_HOST, "prefix": QUEUE_PREFIX,
                        "type": "unsafe", "timeout-ms": 3000, "slo-ms": 1000, "priority": 0,
                        "service": SERVICE, "attempts": 4, "stretch": 2.0}]})
        self.runner = Runner(IP, self.store, SERVICE)
        (self.folder / "node.toml").write_text(SETTINGS.format(
            peer_port=free_port(), store=self.store.address, descriptors=descriptors,
            request_memory=request_memory_bytes, **self.addresses))

    def __enter__(self):
        metrics_port = self.addresses["metrics"].split(":")[1]
        with open(self.folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [os.path.join(TOOLS, "hawthornbeamd"), f"--settings={self.folder}/node.toml",
                 f"--metrics_port={metrics_port}"],
                stdout=log, stderr=subprocess.STDOUT, preexec_fn=self.prepare,
                env={**os.environ, "GSETTINGS_BACKEND": "memory"})
        try:
            wait_for("the queue is served", self.serves)
        except BaseException:
            self.__exit__()
            raise
        return self

    def prepare(self):
        end_with_parent()
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptor_limit,) * 2)

    def serves(self):
        if not self.is_alive():
            raise AssertionError("the process ended: " + (self.folder / "log").read_text()[-2000:])
        try:
            return self.call("GET", QUEUE_PREFIX)[0] == 200
        except NO_ANSWER:
            return False

    def call(self, method, path, body=None):
        return request(self.addresses["client"], method, path, body, {"Host": QUEUE_HOST}, 5)

    def run_ordinary_job(self):
        """Submits a job of two tasks as a client does, with retries, until it is done."""
        job = QUEUE_PREFIX + f"{random.randrange(16 ** 16):016x}"
        work = {"spec": "work", "steps": [{"count": 2, "cpu": 100, "mem-mb": 10}]}
        wait_for("the ordinary job is accepted", lambda: self.status("POST", job, work) == 200)
        wait_for("the ordinary job is done", lambda: self.state(job) == "done")

    def status(self, method, path, body=None):
        try:
            return self.call(method, path, body)[0]
        except NO_ANSWER:
            return None

    def state(self, job):
        try:
            status, _, body = self.call("GET", job)
        except NO_ANSWER:
            return None
        return json.loads(body)["state"] if status == 200 else None

    def is_ready(self):
        try:
            return request(self.addresses["ready"], "GET", "/hawthornbeam/ready",
                           timeout=5)[0] == 200
        except NO_ANSWER:
            return False

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Hawthornd(Daemon):
    """One instance with the product's own stand-in of the platform."""

    descriptor_limit = 4100

    def __init__(self, body_bytes=16 << 10, descriptors=4100):
        self.descriptor_limit = descriptors
        self.cluster = Cluster(instances=1, workers=2)
        self.body_bytes = body_bytes

    def __enter__(self):
        self.cluster.__enter__()
        try:
            self.restart_with_limits()
        except BaseException:
            self.cluster.close()
            raise
        return self

    def restart_with_limits(self):
        instance = self.cluster.instances[0]
        instance.process.kill()
        instance.process.wait()
        with open(instance.settings, "a", encoding="utf-8") as settings:
            settings.write(f"most_body_bytes = {self.body_bytes}\n")
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptor_limit, limits[1]))
        instance.start()
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        self.process = instance.process
        self.addresses = {"client": instance.address}
        self.cluster.wait_ready()
        self.cluster.put_table([{"partner": "andes", "kind": "web", "workload": "request",
                                 "urgency": 0}], 0)
        self.cluster.wait_table(1)

    def run_ordinary_job(self):
        wait_for("the ordinary request is answered", self.answers_request)

    def answers_request(self):
        work = {"partner": "andes", "kind": "web", "request_id": f"r-{time.monotonic_ns()}",
                "processors": 1, "memory": MIB, "synchronous": True, "deadline_ms": 5000,
                "payload": "hello"}
        try:
            return request(self.addresses["client"], "POST", "/v1/jobs", work)[0] == 200
        except NO_ANSWER:
            return False

    def is_ready(self):
        return self.cluster.instances[0].is_ready()

    def __exit__(self, *exception):
        self.cluster.__exit__(*exception)
