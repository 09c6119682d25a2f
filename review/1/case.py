"""Runners are cut off by resets and run on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))

from scenario import TROUBLE, main, twice

ROOM = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
RUNNERS, CUT_OFF = 14, 2  # A share of 0.143; the site's troubles cut off 0.17.
CUT_S = 5.5


def plan(task, run):
    return 10.0, "done"


async def play(scenario):
    await scenario.open(
        [(f"i-runner{n:02}", ROOM, ["a", f"r1-{n // 8}"], plan) for n in range(RUNNERS)], [{}])
    job = scenario.job_id()
    await scenario.submit(job, {"spec": "work", "steps": [
        {"count": 60, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 10000}]})
    await asyncio.sleep(2)
    if TROUBLE:
        busy = sorted(scenario.runners.values(), key=lambda runner: -len(runner.running))
        for runner in busy[:CUT_OFF]:
            runner.cut()
        await asyncio.sleep(CUT_S)
        for runner in busy[:CUT_OFF]:
            await runner.heal()
    for _ in range(30):
        await asyncio.sleep(1)
        if await scenario.state(job) == "done":
            break
    await asyncio.sleep(1)
    return [f"TWICE {task}: {why}: run {a['number']} on {a['runner']} from {a['began']} to "
            f"{a['ended']} {a['how']}; run {b['number']} on {b['runner']} from {b['began']}"
            for task, why, a, b in twice(scenario.events)]


main(__file__, play)
