"""Runners lose power for a moment while short jobs come. Writes record.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))

from scenario import TROUBLE, main, twice

ROOM = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
RUNNERS = 8  # One of them is 0.125; the site's troubles crash a share of 0.14.
DOWN_S = 0.5
CRASHES, PAUSE_S = 20, 3.0
JOB_EVERY_S = 0.04
JOB = {"spec": "work", "steps": [{"count": 6, "cpu": 300, "mem-mb": 200, "estimate-ms": 1000}]}


async def play(scenario):
    await scenario.open([(f"i-runner{n:02}", ROOM, ["a", f"r1-{n}"], lambda task, run: (1.0, "done"))
                         for n in range(RUNNERS)], [{}])
    await asyncio.sleep(1)

    async def send_jobs():
        while True:
            sending.append(asyncio.create_task(scenario.submit(scenario.job_id(), JOB)))
            await asyncio.sleep(JOB_EVERY_S)

    sending = []
    traffic = asyncio.create_task(send_jobs())
    await asyncio.sleep(2)
    for _ in range(CRASHES):
        if TROUBLE:
            # The busiest one with room for a job, since work goes to the fullest that has room.
            victim = max((each for each in scenario.runners.values() if len(each.running) <= 41),
                         key=lambda each: len(each.running))
            await victim.lose_power(DOWN_S)
        await asyncio.sleep(PAUSE_S)
    traffic.cancel()
    await asyncio.sleep(8)
    return [f"TWICE {task}: {why}: run {a['number']} on {a['runner']} from {a['began']} to "
            f"{a['ended']} {a['how']}, noted {a['noted']}; run {b['number']} on {b['runner']} "
            f"from {b['began']}" for task, why, a, b in twice(scenario.events)]


main(__file__, play)
