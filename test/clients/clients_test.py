#!/usr/bin/env python3
"""Tests with ill-behaved clients: `clients_test.py NAME`. Each case starts one daemon with
lowered limits, plays a small crowd against it, and checks that the process lives, that its
memory and its open descriptors stay bounded and that an ordinary request is answered. The
docstring of a scenario names the failure it guards against."""

import json
import os
import signal
import socket
import struct
import sys
import threading
from collections import Counter

import crowd
from crowd import PIECE, CHUNK, close_crowd, connect, head, open_crowd, send_to_all
from daemons import (CONTROL_MEMORY_BYTES, MEMORY_IS_CHECKED, MIB, QUEUE_HOST, QUEUE_PREFIX,
                     Hawthornbeamd, Hawthornd)
from cluster import end_on_signals, wait_for

JOB_PATH = QUEUE_PREFIX + "00000000000000aa"
BODY_LIMIT = 16 << 10
REQUEST_MEMORY = MIB

OVERSIZED = 48 * MIB
FRAMINGS = {
    "announced": (f"Content-Length: {OVERSIZED}", [PIECE] * (OVERSIZED // len(PIECE))),
    "chunked": ("Transfer-Encoding: chunked", [CHUNK] * (OVERSIZED // len(PIECE))),
}
# Port, method and path.
HAWTHORNBEAMD_TARGETS = [
    ("client", "POST", JOB_PATH), ("client", "GET", JOB_PATH), ("client", "DELETE", JOB_PATH),
    ("client", "PUT", "/unknown"), ("client", "POST", "/metrics"),
    ("ready", "GET", "/hawthornbeam/ready"), ("ready", "POST", JOB_PATH),
    ("metrics", "GET", "/metrics"),
]
HAWTHORND_TARGETS = [("client", "POST", "/v1/jobs"), ("client", "GET", "/readyz"),
                     ("client", "PUT", "/v1/table"), ("client", "POST", "/unknown")]

DESCRIPTOR_LIMIT = 100
# Descriptors that must stay free for the process's own calls and files.
FREE_DESCRIPTORS = 10
IDLE_CROWD = 110
UNFINISHED_REQUESTS = {
    "nothing": b"",
    "part of a request line": b"POST /q0",
    "part of a body": head("POST", JOB_PATH, QUEUE_HOST, "Content-Length: 100") + b"{",
    "a whole request": head("GET", QUEUE_PREFIX, QUEUE_HOST),
}

UNFINISHED_BODY = MIB
UNFINISHED_CROWD = 96
UNFINISHED_MEMORY = 4 * MIB
LABEL_BYTES = 2048

STOPPED_CROWD = 60

LARGE_CHUNK = b"ffffffffffffffff\r\n" + b"x" * 30000
MALFORMED_REQUESTS = [
    b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"GET /%00%ff HTTP/1.1\r\nHost: \xff\r\n\r\n",
    b"GET \x00 HTTP/1.1\r\n\r\n",
    b"\r\n" * 50,
    head("GET", "/", QUEUE_HOST, *["a: b"] * 3000),
    head("GET", QUEUE_PREFIX, QUEUE_HOST) * 300,
    head("POST", JOB_PATH, QUEUE_HOST, "Content-Length: -5") + b"x",
    head("POST", JOB_PATH, QUEUE_HOST, "Content-Length: 18446744073709551615") + b"x",
    head("POST", JOB_PATH, QUEUE_HOST, "Expect: 100-continue", "Content-Length: 5"),
    head("POST", JOB_PATH, QUEUE_HOST, "Transfer-Encoding: gzip") + b"x",
    head("POST", JOB_PATH, QUEUE_HOST, "Transfer-Encoding: chunked") + b"zz\r\n",
    head("POST", JOB_PATH, QUEUE_HOST, "Transfer-Encoding: chunked") + LARGE_CHUNK,
    head("POST", JOB_PATH, QUEUE_HOST, "Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 20000,
]

MACHINE_MEMORY_BYTES = 260 * MIB
TASKS_PER_STEP = 100000
STEPS = 30

LARGE_JOBS = 20
MOST_STEPS = 1000
TASKS_PER_SMALL_STEP = 100
WAITING_JOBS = 300


def check_process(daemon, memory_bound):
    if not daemon.is_alive():
        raise AssertionError(f"the process ended with {daemon.process.returncode}")
    if not MEMORY_IS_CHECKED:
        return
    peak = daemon.peak_memory_bytes()
    print(f"  peak memory {peak / MIB:.1f} MiB, bound {memory_bound / MIB:.1f} MiB", flush=True)
    if peak > memory_bound:
        raise AssertionError(f"peak memory of {peak} bytes, more than {memory_bound}")


def oversized_bodies(start, targets):
    """Guards against bodies far over the limit that are collected or read to their end."""
    failures = []
    for port, method, path in targets:
        for framing, (field, body) in FRAMINGS.items():
            name = f"{method} {path} at the {port} port, {framing}"
            print(name, flush=True)
            with start() as daemon:
                client = connect(daemon.addresses[port])
                request = [head(method, path, QUEUE_HOST, field), *body]
                [sent] = send_to_all([client], request)
                print(f"  {sent / MIB:.1f} MiB taken", flush=True)
                try:
                    check_process(daemon, CONTROL_MEMORY_BYTES + REQUEST_MEMORY)
                    if sent == sum(len(part) for part in request):
                        raise AssertionError("the whole body was read")
                    client.close()
                    daemon.run_ordinary_job()
                except AssertionError as failure:
                    failures.append(f"{name}: {failure}")
    return failures


def oversized_bodies_hawthornbeamd():
    """Guards against bodies far over the limit, at any port, method and path."""
    return oversized_bodies(lambda: Hawthornbeamd(BODY_LIMIT, REQUEST_MEMORY),
                            HAWTHORNBEAMD_TARGETS)


def oversized_bodies_hawthornd():
    """Guards against bodies far over the limit, at any method and path."""
    return oversized_bodies(lambda: Hawthornd(BODY_LIMIT), HAWTHORND_TARGETS)


def readable_refusal():
    """Guards against a refused body whose sender cannot read why, or is kept connected."""
    failures = []
    for start in (lambda: Hawthornbeamd(BODY_LIMIT, REQUEST_MEMORY),
                  lambda: Hawthornd(BODY_LIMIT)):
        with start() as daemon:
            for framing, (field, body) in FRAMINGS.items():
                client = connect(daemon.addresses["client"])
                send_to_all([client], [head("POST", JOB_PATH, QUEUE_HOST, field), body[0]])
                status = crowd.read_status(client)
                closed = crowd.wait_until_closed(client)
                client.close()
                print(f"{framing}: status {status}, closed {closed}", flush=True)
                if status != 413 or not closed:
                    failures.append(f"{type(daemon).__name__}, {framing}: status {status}, "
                                    f"closed {closed}")
            daemon.run_ordinary_job()
    return failures


def unfinished_bodies():
    """Guards against unfinished requests, each inside the limit, that exhaust the memory
    together."""
    failures = []
    framings = {
        "announced": (f"Content-Length: {UNFINISHED_BODY}",
                      [b"x" * (UNFINISHED_BODY - 1)]),
        "chunked": ("Transfer-Encoding: chunked",
                    [CHUNK] * (UNFINISHED_BODY // len(PIECE) - 1)),
    }
    for framing, (field, body) in framings.items():
        with Hawthornbeamd(UNFINISHED_BODY, UNFINISHED_MEMORY) as daemon:
            clients = open_crowd(daemon.addresses["client"], UNFINISHED_CROWD)
            send_to_all(clients, [head("POST", JOB_PATH, QUEUE_HOST, field), *body])
            print(framing, flush=True)
            try:
                daemon.run_ordinary_job()
                check_process(daemon, CONTROL_MEMORY_BYTES + UNFINISHED_MEMORY)
                close_crowd(clients)
                daemon.run_ordinary_job()
                check_process(daemon, CONTROL_MEMORY_BYTES + UNFINISHED_MEMORY)
            except AssertionError as failure:
                failures.append(f"{framing}: {failure}")
            finally:
                close_crowd(clients)
    return failures


def unanswered_jobs():
    """Guards against whole requests that exhaust the memory while the store is silent."""
    step = {"count": 1, "cpu": 100, "mem-mb": 10, "requires": "x" * LABEL_BYTES}
    job = json.dumps({"spec": "work", "steps": [step] * (UNFINISHED_BODY // LABEL_BYTES - 64)})
    with Hawthornbeamd(UNFINISHED_BODY, UNFINISHED_MEMORY) as daemon:
        daemon.store.answers.clear()
        clients = open_crowd(daemon.addresses["client"], UNFINISHED_CROWD)
        for number, client in enumerate(clients):
            request = head("POST", f"{QUEUE_PREFIX}{number:016x}", QUEUE_HOST,
                           f"Content-Length: {len(job)}") + job.encode()
            client.setblocking(True)
            client.settimeout(crowd.STALL_S)
            threading.Thread(target=send_quietly, args=(client, request), daemon=True).start()
        answered = [crowd.read_status(client) for client in clients]
        print("answers:", sorted(Counter(answered).items(), key=str), flush=True)
        close_crowd(clients)
        daemon.store.answers.set()
        daemon.run_ordinary_job()
        check_process(daemon, CONTROL_MEMORY_BYTES + UNFINISHED_MEMORY)
    return []


def send_quietly(client, request):
    try:
        client.sendall(request)
    except OSError:
        pass  # The server may refuse the request before it is sent.


def idle_connections(start, ports):
    """Guards against a crowd that takes all descriptors, so that nobody else is served
    while it stays or after it has gone."""
    failures = []
    for port in ports:
        for name, sent in UNFINISHED_REQUESTS.items():
            print(f"{port} port, {name}", flush=True)
            with start() as daemon:
                before = daemon.descriptors()
                clients = open_crowd(daemon.addresses[port], IDLE_CROWD)
                send_to_all(clients, [sent])
                try:
                    check_descriptors(daemon, before, lambda: close_crowd(clients))
                except AssertionError as failure:
                    failures.append(f"{port} port, {name}: {failure}")
                finally:
                    close_crowd(clients)
    return failures


def check_descriptors(daemon, before, end_crowd):
    wait_for("a readiness check is answered while the crowd stays", daemon.is_ready)
    daemon.run_ordinary_job()
    used = daemon.descriptors()
    end_crowd()
    wait_for("a readiness check is answered after the crowd", daemon.is_ready)
    daemon.run_ordinary_job()
    wait_for("the descriptors of the crowd are closed",
             lambda: daemon.descriptors() <= before + FREE_DESCRIPTORS)
    print(f"  descriptors: {before} before, {used} beside the crowd, "
          f"{daemon.descriptors()} after it", flush=True)
    check_process(daemon, CONTROL_MEMORY_BYTES + REQUEST_MEMORY)
    if used > DESCRIPTOR_LIMIT - FREE_DESCRIPTORS:
        raise AssertionError(f"{used} of {DESCRIPTOR_LIMIT} descriptors in use")


def idle_connections_hawthornbeamd():
    """Guards against a crowd that takes all descriptors of hawthornbeamd."""
    return idle_connections(
        lambda: Hawthornbeamd(BODY_LIMIT, REQUEST_MEMORY, descriptors=DESCRIPTOR_LIMIT),
        ["client", "ready", "metrics"])


def idle_connections_hawthornd():
    """Guards against a crowd that takes all descriptors of hawthornd."""
    return idle_connections(lambda: Hawthornd(BODY_LIMIT, DESCRIPTOR_LIMIT), ["client"])


def reconnecting_crowd():
    """Guards against a crowd whose connections are always too young to be closed, so that
    nobody else is served."""
    failures = []
    for port in ("client", "ready", "metrics"):
        for name, sent in UNFINISHED_REQUESTS.items():
            print(f"{port} port, {name}", flush=True)
            with Hawthornbeamd(BODY_LIMIT, REQUEST_MEMORY, DESCRIPTOR_LIMIT) as daemon:
                before = daemon.descriptors()
                clients = crowd.ReconnectingCrowd(daemon.addresses[port], IDLE_CROWD, sent)
                try:
                    wait_for("the crowd is complete", lambda: clients.opened >= 2 * IDLE_CROWD)
                    check_descriptors(daemon, before, clients.close)
                    print(f"  {clients.opened} connections", flush=True)
                except AssertionError as failure:
                    failures.append(f"{port} port, {name}: {failure}")
                finally:
                    clients.close()
    return failures


def listen_queue():
    """Guards against a queue of new connections so short that a crowd fills it."""
    failures = []
    for start in (Hawthornbeamd, Hawthornd):
        with start() as daemon:
            daemon.process.send_signal(signal.SIGSTOP)
            try:
                clients = open_crowd(daemon.addresses["client"], STOPPED_CROWD)
                sent = send_to_all(clients, [b"G"])
            finally:
                daemon.process.send_signal(signal.SIGCONT)
            close_crowd(clients)
            established = sum(sent)
            print(f"{type(daemon).__name__}: {established} of {STOPPED_CROWD} connections "
                  "were taken up", flush=True)
            if established != STOPPED_CROWD:
                failures.append(f"{type(daemon).__name__}: {established} connections")
            daemon.run_ordinary_job()
    return failures


def malformed_requests():
    """Guards against a request that ends the process, or that keeps its connection."""
    for start in (lambda: Hawthornbeamd(BODY_LIMIT), lambda: Hawthornd(BODY_LIMIT)):
        with start() as daemon:
            before = daemon.descriptors()
            for port in daemon.addresses:
                for sent in MALFORMED_REQUESTS:
                    for ending in ("closed", "half closed", "reset"):
                        send_and_leave(daemon.addresses[port], sent, ending)
            daemon.run_ordinary_job()
            wait_for("the descriptors of the clients are closed",
                     lambda: daemon.descriptors() <= before + FREE_DESCRIPTORS)
            check_process(daemon, CONTROL_MEMORY_BYTES + REQUEST_MEMORY)
    return []


def send_and_leave(address, sent, ending):
    client = connect(address)
    try:
        client.sendall(sent)
        if ending == "half closed":
            client.shutdown(socket.SHUT_WR)
            crowd.wait_until_closed(client)
        elif ending == "reset":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # The server may refuse what is sent before it is sent.
    finally:
        client.close()


def many_tasks():
    """Guards against a small job whose tasks exhaust the memory of the owner."""
    with Hawthornbeamd(body_bytes=256 << 10) as daemon:
        step = {"count": TASKS_PER_STEP, "cpu": 1000, "mem-mb": 100}
        status = daemon.status("POST", JOB_PATH, {"spec": "work", "steps": [step] * STEPS})
        print(f"the job was answered {status}", flush=True)
        daemon.run_ordinary_job()
        check_process(daemon, MACHINE_MEMORY_BYTES)
    return []


def large_jobs(count, tasks_per_step):
    with Hawthornbeamd(body_bytes=256 << 10) as daemon:
        step = {"count": tasks_per_step, "cpu": 1000, "mem-mb": 100}
        job = {"spec": "work", "steps": [step] * MOST_STEPS}
        answers = Counter(daemon.status("POST", f"{QUEUE_PREFIX}{number:016x}", job)
                          for number in range(count))
        print("answers:", sorted(answers.items(), key=str), flush=True)
        daemon.run_ordinary_job()
        check_process(daemon, MACHINE_MEMORY_BYTES)
    return []


def many_steps():
    """Guards against jobs whose steps take all processor time or memory of the owner."""
    return large_jobs(LARGE_JOBS, TASKS_PER_SMALL_STEP)


def many_jobs():
    """Guards against waiting jobs that exhaust the memory of the owner together."""
    return large_jobs(WAITING_JOBS, 1)


SCENARIOS = {one.__name__: one for one in (
    oversized_bodies_hawthornbeamd, oversized_bodies_hawthornd, readable_refusal,
    unfinished_bodies, unanswered_jobs, idle_connections_hawthornbeamd, idle_connections_hawthornd,
    reconnecting_crowd, listen_queue, malformed_requests, many_tasks,
    many_steps, many_jobs)}


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in SCENARIOS:
        sys.exit("usage: clients_test.py " + "|".join(SCENARIOS))
    end_on_signals()
    failures = SCENARIOS[sys.argv[1]]()
    for failure in failures:
        print("FAILED", failure)
    sys.stdout.flush()
    # Ends without waiting for the threads that serve the stand-ins.
    os._exit(1 if failures else 0)


if __name__ == "__main__":
    main()
