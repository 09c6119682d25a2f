#!/usr/bin/env python3
"""Golden-file tests of whole sessions: requests and responses of callers, worker events
and keys of the key-value service. `golden.py` compares a run with the files in this
directory; `golden.py --update` rewrites them. The output is independent of timing: the
sessions wait for states, values in no fixed order are sorted, and times, addresses and
other varying values are replaced by a word in capitals."""

import difflib
import json
import os
import re
import signal
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "sessions"))

from cluster import Cluster, end_on_signals, request, wait_for  # noqa: E402
from tables import mixed_rows  # noqa: E402

SHOWN_HEADERS = ["Content-Type", "ETag", "Location", "Retry-After", "X-Request-Id"]
# Outcomes of non-idempotent tasks are acknowledged 60 s after their end.
acknowledge_limit = 90.0
REPLACED = {"change": "CHANGE", "accepted_ms": "TIME"}


def normalised(value):
    """Replaces values that differ between runs. A task of an accepted job may be waiting
    or running when the response is written, so the two counts are added."""
    if isinstance(value, list):
        return [normalised(one) for one in value]
    if not isinstance(value, dict):
        return value
    shown = {key: REPLACED.get(key, normalised(one)) for key, one in value.items()}
    if shown.get("verdict") == "accepted":
        shown["waiting or running"] = shown.pop("waiting") + shown.pop("running")
        shown["reason"] = "REASON"
    return shown


def body_lines(text):
    try:
        shown = json.dumps(normalised(json.loads(text)), indent=1, sort_keys=True)
    except ValueError:
        shown = text
    return re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", shown).splitlines()


class Session:
    """Collects the lines of one golden file."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.lines = []
        self.places = []

    def note(self, text):
        self.lines.append("# " + text)

    def record(self, method, path, body, headers, answer):
        self.lines.append(f"> {method} {path}")
        self.lines += [f"> {name}: {value}" for name, value in (headers or {}).items()]
        if body is not None:
            sent = body if isinstance(body, str) else json.dumps(body)
            self.lines += ["> " + line for line in body_lines(sent)]
        status, received, text = answer
        self.lines.append(f"< {status}")
        self.lines += [f"< {name}: {received[name]}" for name in SHOWN_HEADERS
                       if name in received]
        self.lines += ["< " + line for line in body_lines(text)]
        self.lines.append("")

    def call(self, method, path, body=None, headers=None, instance=0):
        answer = request(self.cluster.instances[instance].address, method, path, body,
                         headers)
        self.record(method, path, body, headers, answer)
        return json.loads(answer[2]) if answer[2].startswith(("{", "[")) else None

    def job(self, job_id, instance=0):
        status, _, text = request(self.cluster.instances[instance].address, "GET",
                                  "/v1/jobs/" + job_id)
        return json.loads(text) if status == 200 else {}

    def find(self, partner, kind, request_id):
        """Returns the job with this request id, or None if the queried instance does not
        list it."""
        text = request(self.cluster.instances[1].address, "GET",
                       f"/v1/jobs?partner={partner}&kind={kind}")[2]
        return next((one["id"] for one in json.loads(text)["jobs"]
                     if one["request_id"] == request_id), None)

    def wait_until_ended(self, job_id, instance=0):
        wait_for(f"job {job_id} has ended",
                 lambda: self.job(job_id, instance).get("verdict", "accepted") !=
                 "accepted")

    def events_of(self, job_id):
        return [one for one in self.cluster.history() if
                one["subject"].startswith(job_id)]

    def wait_until_started(self, job_id, tasks=1):
        wait_for(f"job {job_id} has started",
                 lambda: sum(one["event"] == "start" for one in self.events_of(job_id)) ==
                 tasks)

    def show_workers(self, job_id):
        """Reserves lines for the worker events of a job. Workers receive the
        acknowledgement 10 s after the end of a task, or 60 s if it is not idempotent, so
        fill_in_workers() replaces these lines after the last session."""
        self.note("workers:")
        self.places.append((len(self.lines), job_id))
        self.lines += ["", ""]

    def fill_in_workers(self):
        for place, job_id in self.places:
            self.lines[place] = "\n".join(self.worker_lines(job_id))

    def worker_lines(self, job_id):
        """Yields one line per task of a job, with the events of the task in order."""
        def all_acknowledged():
            events = [one["event"] for one in self.events_of(job_id)]
            return events.count("acknowledge") == events.count("start")

        wait_for(f"the outcomes of job {job_id} are acknowledged", all_acknowledged,
                 acknowledge_limit)
        events = self.events_of(job_id)
        for subject in sorted({one["subject"] for one in events}):
            steps = [" ".join(filter(None, [one["event"], one["detail"]]))
                     for one in events if one["subject"] == subject]
            yield f"  task {subject}: {', '.join(steps)}"

    def show_keys(self, prefix):
        kv = self.cluster.addresses["kv"].removeprefix("http://")
        entries = json.loads(request(kv, "GET", "/kv?prefix=" + prefix)[2])["entries"]
        self.note(f"keys of the key-value service under {prefix}:")
        self.lines += ["  " + one["key"] for one in sorted(entries,
                                                           key=lambda one: one["key"])]
        self.lines.append("")


def job(kind, name, **members):
    partner = "savanna" if kind in ("batch", "gang") else "andes"
    return {"partner": partner, "kind": kind, "request_id": name, "processors": 1,
            "memory": 1048576, **members}


def table_session(session):
    rows = mixed_rows()
    session.note("the first table, then two edits that race for the next version")
    session.call("PUT", "/v1/table", {"rows": rows}, {"If-Match": '"0"'})
    session.cluster.wait_table(1)
    session.call("PATCH", "/v1/table/rows/andes/web", {"weight": 2}, {"If-Match": '"1"'},
                 instance=1)
    session.cluster.wait_table(2)
    session.call("PATCH", "/v1/table/rows/andes/web", {"weight": 3}, {"If-Match": '"1"'},
                 instance=2)
    session.note("an edit without If-Match and one with several faults")
    session.call("PATCH", "/v1/table/rows/andes/web", {"weight": 3})
    session.call("PUT", "/v1/table",
                 {"rows": [{**rows[0], "weight": -1}, {**rows[1], "urgency": 10}]},
                 {"If-Match": '"2"'})
    session.call("GET", "/v1/table")
    session.show_keys("table")


def synchronous_session(session):
    session.call("POST", "/v1/jobs", job("web", "sync-1", synchronous=True,
                                         deadline_ms=5000, run_time_ms=20,
                                         payload="sleep=20;hello"),
                 {"X-Request-Id": "trace-1"})
    session.note("a task that fails")
    session.call("POST", "/v1/jobs", job("web", "sync-2", synchronous=True,
                                         deadline_ms=5000, payload="fail;no"))


def queued_session(session):
    wanted = job("batch", "queued-1", tasks=3, idempotent=True, run_time_ms=20,
                 payload="sleep=20;part")
    job_id = session.call("POST", "/v1/jobs", wanted)["id"]
    session.wait_until_ended(job_id)
    session.call("GET", "/v1/jobs/" + job_id, instance=1)
    session.note("the same submission again, then the same id with other contents")
    session.call("POST", "/v1/jobs", wanted, instance=2)
    session.call("POST", "/v1/jobs", {**wanted, "tasks": 4}, instance=2)
    session.call("GET", "/v1/jobs?partner=savanna&kind=batch")
    session.show_workers(job_id)


def gang_session(session):
    job_id = session.call("POST", "/v1/jobs",
                          job("gang", "gang-1", tasks=4, idempotent=True,
                              run_time_ms=1000, payload="sleep=1000;together"))["id"]
    session.wait_until_ended(job_id)
    session.call("GET", "/v1/jobs/" + job_id)
    session.show_workers(job_id)
    order = [one["event"] for one in session.events_of(job_id)
             if one["event"] in ("start", "end")]
    session.note(f"all tasks started before any ended: {order[:4] == ['start'] * 4}")


def cancel_session(session):
    job_id = session.call("POST", "/v1/jobs",
                          job("service", "cancel-1", idempotent=True,
                              payload="service;serve"))["id"]
    session.wait_until_started(job_id)
    wait_for("the job is shown as running",
             lambda: session.job(job_id).get("running") == 1)
    session.call("DELETE", "/v1/jobs/" + job_id, instance=1)
    session.wait_until_ended(job_id)
    session.call("GET", "/v1/jobs/" + job_id)
    session.show_workers(job_id)
    session.note("cancelling again")
    session.call("DELETE", "/v1/jobs/" + job_id)


def refused_session(session):
    session.note("unknown row")
    session.call("POST", "/v1/jobs", {**job("web", "refused-1"), "kind": "nothing"})
    session.note("larger than any worker")
    session.call("POST", "/v1/jobs", {**job("batch", "refused-2"), "processors": 1000})
    session.note("malformed: no JSON, then several faults at once")
    session.call("POST", "/v1/jobs", '{"partner":')
    session.call("POST", "/v1/jobs", {"partner": "andes", "kind": 3, "processors": -1,
                                      "tasks": 0, "memory": 1, "surprise": True})
    session.note("no such job, no such path, no such method")
    session.call("GET", "/v1/jobs/00000000000000000000000000000000")
    session.call("GET", "/v1/nothing")
    session.call("PUT", "/v1/jobs", {})
    starts = [one for one in session.cluster.history()
              if one["event"] == "start" and one["size"]["millicores"] >= 1000000]
    session.note(f"starts of the refused work: {len(starts)}")


def stop_session(session):
    """Sends SIGTERM to an instance that has an open request and a queued job."""
    stopped = session.cluster.instances[0]
    queued = session.call("POST", "/v1/jobs",
                          job("batch", "stop-queued", run_time_ms=3000,
                              payload="sleep=3000;slow"))["id"]
    body = job("web", "stop-sync", synchronous=True, deadline_ms=20000, run_time_ms=2000,
               payload="sleep=2000;in progress")
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(request(stopped.address, "POST", "/v1/jobs", body)))
    caller.start()
    sync_id = wait_for("the request is known", lambda: session.find("andes", "web",
                                                                   "stop-sync"))
    session.wait_until_started(sync_id)
    session.wait_until_started(queued)
    session.note("SIGTERM while a request is open and a queued job runs")
    stopped.signal(signal.SIGTERM)
    code = stopped.wait_until_ended()
    caller.join()
    session.record("POST", "/v1/jobs", body, None, answers[0])
    session.note(f"exit code of the instance: {code}")
    session.wait_until_ended(queued, instance=1)
    session.call("GET", "/v1/jobs/" + queued, instance=1)
    session.show_workers(sync_id)
    session.show_workers(queued)


SESSIONS = [("table", table_session), ("synchronous", synchronous_session),
            ("queued", queued_session), ("gang", gang_session),
            ("cancel", cancel_session), ("refused", refused_session),
            ("stop", stop_session)]


def run_sessions():
    """Runs all sessions and returns the text of each golden file by its name."""
    sessions = {}
    with Cluster(workers=6) as cluster:
        for name, run in SESSIONS:
            sessions[name] = Session(cluster)
            run(sessions[name])
        for session in sessions.values():
            session.fill_in_workers()
    return {name: "\n".join(session.lines).rstrip() + "\n"
            for name, session in sessions.items()}


def compare(texts):
    different = 0
    for name, text in texts.items():
        path = os.path.join(HERE, name + ".txt")
        wanted = open(path, encoding="utf-8").read() if os.path.exists(path) else ""
        if text == wanted:
            continue
        different += 1
        sys.stdout.writelines(difflib.unified_diff(
            wanted.splitlines(True), text.splitlines(True), name + ".txt", "this run"))
    print(f"{len(texts)} sessions, {different} differ")
    return 1 if different else 0


def main():
    end_on_signals()
    texts = run_sessions()
    if sys.argv[1:] != ["--update"]:
        return compare(texts)
    for name, text in texts.items():
        with open(os.path.join(HERE, name + ".txt"), "w", encoding="utf-8") as out:
            out.write(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
