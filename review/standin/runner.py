"""Stand-in of a runner, as PROTOCOL.md describes it. Keeps its room only if asked to."""

import asyncio
import json
import random
import time

from http11 import Server

MAX_LISTED_ENDS = 500
LATE_S = (2.0, 12.0)


class Run:
    def __init__(self, number, spec, saved):
        self.number, self.spec, self.saved = number, spec, saved
        self.began = time.monotonic()
        self.timer = None
        self.stopping = False


class Runner:
    """`plan(task, run)` returns (seconds, how): how long the run takes and how it ends."""

    def __init__(self, name, ip, store, service, room, labels, plan, record,
                 hold_max_s=6.0, kill_grace_s=0.4):
        self.name, self.ip, self.store, self.service = name, ip, store, service
        self.room, self.labels, self.plan, self.record = room, labels, plan, record
        self.hold_max_s, self.kill_grace_s = hold_max_s, kill_grace_s
        self.server = None
        self.port = 0
        self.incarnation = 0
        self.late_share = 0.0  # Share of the orders that get no answer and are carried out late.

    async def open(self):
        """Starts an incarnation, which knows nothing of the former one."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.running, self.ended, self.highest = {}, [], {}
        self.next_end, self.token, self.lease_end = 1, 0, 0.0
        self.seq = 0
        self.news = asyncio.Event()
        self.server = await Server(self.ip, self.port, self.handle).open()
        self.port = self.server.port
        self.beats = asyncio.create_task(self.beat())
        self.guard = asyncio.create_task(self.watch_lease())
        return self

    def crash(self):
        """The process ends: nothing runs any more, and the port refuses connections."""
        self.record("runner", self.name, "crashed, with", sorted(self.running))
        self.beats.cancel()
        self.guard.cancel()
        for run in self.running.values():
            run.timer.cancel()
        self.running = {}
        self.incarnation += 1
        self.server.crash()

    async def lose_power(self, seconds):
        """The machine loses power and is up again after `seconds`, under the same id and address.
        Nothing is sent to those that are connected."""
        self.record("runner", self.name, "crashed, with", sorted(self.running))
        self.beats.cancel()
        self.guard.cancel()
        for run in self.running.values():
            run.timer.cancel()
        self.running = {}
        self.incarnation += 1
        former = self.server
        former.lose_power()
        await asyncio.sleep(seconds)
        former.server.close()
        await self.open()

    def cut(self):
        """From now on all connections to the runner are reset. What runs there goes on."""
        self.record("runner", self.name, "cut off, with", len(self.running), "runs")
        self.server.crash()

    async def heal(self):
        self.server = await Server(self.ip, self.port, self.handle).open()
        self.record("runner", self.name, "reachable again")

    def entry(self):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "zone-a",
                "version": "v1", "capacity": 8, "state": "ready", "warmup-ms": 0,
                "room": self.room, "labels": self.labels, "clock-ms": self.clock_ms(),
                "seq": self.seq, "born": self.born}

    async def beat(self):
        # Three intervals of silence remove the entry.
        lease = self.store.next_lease
        self.store.next_lease += 1
        while True:
            if self.server.server is not None:
                self.store.leases[lease] = [4.5, time.monotonic() + 4.5]
            if not self.store.down and self.server.server is not None:
                self.seq += 1
                self.store.put("servers/" + self.name, json.dumps(self.entry()).encode(), lease)
            await asyncio.sleep(1.5)

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run.timer.cancel()
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how, ""])
        self.record("ended", self.name, task, run.number, how, "number", self.next_end)
        self.next_end += 1
        self.news.set()
        self.news = asyncio.Event()

    def extend(self, deadline):
        if deadline is not None:
            limit = self.clock_ms() + int(self.hold_max_s * 1000)
            self.lease_end = max(self.lease_end, min(deadline, limit))

    def answer(self, status, content):
        return status, {"clock-ms": self.clock_ms(), "born": self.born, **content}

    async def handle(self, method, target, headers, body):
        incarnation = self.incarnation
        await asyncio.sleep(0.001)
        if self.incarnation != incarnation:
            return None
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        call = target.removeprefix("/hawthornbeam/")
        fields = json.loads(body)
        if fields.get("fence-token", 0) < self.token:
            return self.answer(409, {"reason": "fence"})
        self.token = fields.get("fence-token", 0)
        if call in ("run-start", "run-stop") and random.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                random.uniform(*LATE_S), self.carry_out_late, call, fields)
            self.record("gets late", self.name, fields["task"], fields["run"], call)
            return None
        answer = {"run-start": self.start, "run-stop": self.stop, "hold": self.hold}[call](fields)
        if asyncio.iscoroutine(answer):
            answer = await answer
        return None if self.incarnation != incarnation else answer

    def carry_out_late(self, call, fields):
        """Also in a later incarnation, which knows nothing of the fencing tokens of the former."""
        if self.server.server is None or fields["fence-token"] < self.token:
            return
        self.token = fields["fence-token"]
        answer = {"run-start": self.start, "run-stop": self.stop}[call](fields)
        self.record("carried out late", self.name, fields["task"], fields["run"], call, *answer)

    def start(self, fields):
        task, number, deadline = fields["task"], fields["run"], fields["deadline-ms"]
        if task in self.running and self.running[task].number == number:
            return self.answer(200, {})
        if number <= self.highest.get(task, 0) or task in self.running:
            self.extend(deadline)
            return self.answer(409, {"reason": "old"})
        if self.clock_ms() > deadline:
            return self.answer(409, {"reason": "late"})
        self.extend(deadline)
        run = Run(number, fields["spec"], fields.get("saved", ""))
        seconds, how = self.plan(task, number)
        run.timer = asyncio.get_running_loop().call_later(seconds, self.end, task, how)
        self.running[task] = run
        self.record("started", self.name, task, number, "token", fields["fence-token"])
        return self.answer(200, {})

    def stop(self, fields):
        task, number = fields["task"], fields["run"]
        self.record("stop", self.name, task, number)
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                self.kill_grace_s, self.end, task, "stopped")
        return self.answer(200, {})

    async def hold(self, fields):
        self.extend(fields.get("deadline-ms"))
        seen = fields.get("last-seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.record("noted", self.name, end[1], end[2], end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = min(fields.get("wait-ms", 0), 2000) / 1000
        if wait > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        return self.answer(200, {
            "running": [[task, run.number, run.saved, self.percent(task, run, now), 0]
                        for task, run in self.running.items()],
            "ended": self.ended[:MAX_LISTED_ENDS]})

    def percent(self, task, run, now):
        seconds, _ = self.plan(task, run.number)
        return min(100, int(100 * (now - run.began) / max(seconds, 0.001)))
