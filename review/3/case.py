"""More than 500 ends wait for their note on one runner while the store is down."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))

from scenario import TROUBLE, main, twice

ROOM = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
TASKS = 700  # 640 of them fill a runner.
OUTAGE_S = 4.5


def plan(task, run):
    index = int(task.rsplit(".", 1)[1])
    return 2.5 + 3.5 * (index % 640) / 640, "done"


async def play(scenario):
    await scenario.open(
        [(f"i-runner{n}", ROOM, ["a", f"r1-{n}"], plan) for n in range(3)], [{}])
    job = scenario.job_id()
    status = await scenario.submit(job, {"spec": "small tasks", "steps": [
        {"count": TASKS, "cpu": 25, "mem-mb": 40, "estimate-ms": 4000}]})
    submitted = scenario.now()
    await scenario.sleep_until(submitted + 2.0)
    if TROUBLE:
        scenario.record("the store is down")
        scenario.store.down = True
        await scenario.sleep_until(submitted + 2.0 + OUTAGE_S)
        scenario.store.down = False
        scenario.record("the store is up")
    for _ in range(15):
        await asyncio.sleep(1)
        if await scenario.state(job) == "done":
            break
    await asyncio.sleep(2)
    return [f"TWICE {task}: {why}: run {a['number']} on {a['runner']} from {a['began']} to "
            f"{a['ended']} {a['how']}, noted {a['noted']}; run {b['number']} on {b['runner']} "
            f"from {b['began']}" for task, why, a, b in twice(scenario.events)]


main(__file__, play)
