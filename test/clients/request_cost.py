#!/usr/bin/env python3
"""Prints the time to the response and the processor time of requests to one hawthornbeamd,
for comparing two builds: `HAWTHORNBEAM_BUILD=build request_cost.py`. It is not a test."""

import http.client
import os
import statistics
import time

from clients_test import JOB_PATH
from daemons import Hawthornbeamd, QUEUE_HOST, QUEUE_PREFIX

REQUESTS = 2000
JOB = b'{"spec":"work","steps":[{"count":1,"cpu":100,"mem-mb":10}]}'


def processor_time_s(daemon):
    fields = daemon.proc("stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def connect(daemon):
    return http.client.HTTPConnection(daemon.addresses["client"], timeout=10)


def ask(connection, method, path, body=None):
    connection.request(method, path, body, {"Host": QUEUE_HOST})
    connection.getresponse().read()


def measure(name, daemon, send):
    began_s, times_s = processor_time_s(daemon), []
    for number in range(REQUESTS):
        sent_s = time.monotonic()
        send(number)
        times_s.append(time.monotonic() - sent_s)
    cost_s = (processor_time_s(daemon) - began_s) / REQUESTS
    print(f"{name}: median {statistics.median(times_s) * 1e3:.2f} ms, "
          f"processor time {cost_s * 1e6:.0f} us", flush=True)


def main():
    with Hawthornbeamd(body_bytes=256 << 10) as daemon:
        kept = connect(daemon)
        measure("kept connection", daemon, lambda _: ask(kept, "GET", QUEUE_PREFIX))
        measure("new connection", daemon, lambda _: ask(connect(daemon), "GET", QUEUE_PREFIX))
        measure("job", daemon, lambda number: ask(
            kept, "POST", f"{JOB_PATH[:-8]}{number:08x}", JOB))


if __name__ == "__main__":
    main()
