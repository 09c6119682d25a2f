"""A queue is added and removed again while the owner stands still. Writes record.txt."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standin"))

from scenario import TROUBLE, main, runs_of

ROOM = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
FREEZE_S = 4.0
CHANGE_GAP_S = 0.33
FINISH_S = 14.0


async def play(scenario):
    await scenario.open([(f"i-runner{n}", ROOM, ["a", f"r1-{n}"], lambda task, run: (1.0, "done"))
                         for n in range(6)], [{}])
    await asyncio.sleep(2)
    owner = scenario.owner()
    others = [host for host in scenario.hosts if host is not owner]
    began = scenario.now()
    if TROUBLE:
        owner.signal(signal.SIGSTOP)
    await scenario.configure(8, [{}, {}])
    await asyncio.sleep(0.15)
    job = scenario.job_id()
    status = await scenario.submit(job, {"spec": "work", "steps": [
        {"count": 2, "cpu": 500, "mem-mb": 100, "estimate-ms": 1000}]}, queue=1, hosts=others)
    await scenario.sleep_until(began + CHANGE_GAP_S)
    await scenario.configure(9, [{}])
    if status != 200:
        return []
    if TROUBLE:
        await scenario.sleep_until(began + FREEZE_S)
        owner.signal(signal.SIGCONT)
    await asyncio.sleep(FINISH_S + 3)
    if any(task.startswith(job) for task in runs_of(scenario.events)):
        return []
    return [f"LOST {job}: accepted, but nothing of it has run {FINISH_S + 3} s later; the runners "
            "are idle"]


main(__file__, play)
