"""Starts are carried out late, by the next incarnation of a runner too. Writes record.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from scenario import TROUBLE, main, twice

ROOM = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
RUNNERS = 8
LATE_SHARE, LATE_FOR_S = 0.055, 5.5
DOWN_S = 1.5
JOB_EVERY_S = 0.04
JOB = {"spec": "work", "steps": [{"count": 6, "cpu": 300, "mem-mb": 200, "estimate-ms": 1000}]}


async def play(scenario):
    await scenario.open([(f"i-runner{n:02}", ROOM, ["a", f"r1-{n}"], lambda task, run: (1.0, "done"))
                         for n in range(RUNNERS)], [{}])
    runners = list(scenario.runners.values())
    await asyncio.sleep(1)

    async def send_jobs():
        while True:
            sending.append(asyncio.create_task(scenario.submit(scenario.job_id(), JOB)))
            await asyncio.sleep(JOB_EVERY_S)

    sending = []
    traffic = asyncio.create_task(send_jobs())
    for victim in runners:
        if TROUBLE:
            for each in runners:
                each.late_share = LATE_SHARE
        await asyncio.sleep(LATE_FOR_S - DOWN_S)
        if TROUBLE:
            victim.crash()
            await asyncio.sleep(DOWN_S)
            for each in runners:
                each.late_share = 0.0
            await victim.open()
        await asyncio.sleep(3.5)
    traffic.cancel()
    await asyncio.sleep(8)
    return [f"TWICE {task}: {why}: run {a['number']} on {a['runner']} from {a['began']} to "
            f"{a['ended']} {a['how']}, noted {a['noted']}; run {b['number']} on {b['runner']} "
            f"from {b['began']}" for task, why, a, b in twice(scenario.events)]


main(__file__, play)
