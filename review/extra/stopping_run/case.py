"""Jobs are cancelled, the owner is stopped, and runners crash half a second later. Exits with 1
if a process of the system ended by itself. Writes record.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from scenario import TROUBLE, main

ROOM = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
ROUNDS, JOBS, RUNNERS, CRASHED = 6, 6, 14, 2
JOB = {"spec": "work", "steps": [{"count": 6, "cpu": 1000, "mem-mb": 10, "estimate-ms": 60000}]}
SIGTERM_AFTER_S, CRASH_AFTER_S, DOWN_S = 0.06, 0.6, 1.0


async def play(scenario):
    await scenario.open([(f"i-runner{n:02}", ROOM, ["a", f"r1-{n // 8}"], lambda task, run: (60.0, "done"))
                         for n in range(RUNNERS)], [{}])
    ended = []
    for _ in range(ROUNDS):
        jobs = [scenario.job_id() for _ in range(JOBS)]
        for job in jobs:
            await scenario.submit(job, JOB)
        await asyncio.sleep(3)
        owner = scenario.owner()
        others = [host for host in scenario.hosts if host is not owner]
        await asyncio.gather(*(scenario.cancel(job, hosts=others) for job in jobs))
        cancelled = scenario.now()
        await scenario.sleep_until(cancelled + SIGTERM_AFTER_S)
        stopping = asyncio.create_task(owner.leave())
        await scenario.sleep_until(cancelled + CRASH_AFTER_S)
        crashed = [each for each in scenario.runners.values() if each.running][:CRASHED]
        if TROUBLE:
            for runner in crashed:
                runner.crash()
            await asyncio.sleep(DOWN_S)
            for runner in crashed:
                await runner.open()
        await stopping
        await asyncio.sleep(2)
        for host in others:
            if host.ended_by_itself():
                ended.append(f"Fault {host.name}: ended by itself with status {host.process.poll()}")
                scenario.record(ended[-1])
                host.start()
        await asyncio.sleep(3)
    return ended


main(__file__, play, kill_grace_ms=900)
