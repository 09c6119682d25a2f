"""Runners crash one at a time. The tasks of a service that were on them keep their runners
to themselves for good afterwards, and nothing else starts on any runner."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from standins import Site, main, new_job, step  # noqa: E402

RUNNERS = 7
ROUNDS = int(os.environ.get("ROUNDS", "2"))
SPACING_S = 3.0
FIRST_S = 28.0  # Age of the tasks of the service at the first crash.
DOWN_S = 1.0
CALM_S = 4.0  # LOST: "if the 3 s and the 4 s before them are calm"
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"
WATCH_S = 18.0


async def load(site, jobs):
    """Ordinary jobs of one small task at all machines; keeps when they were accepted."""
    while True:
        for machine in site.machines:
            job = new_job()
            if await site.submit(machine, job, "0.4", [step(cpu=500, estimate_ms=400)],
                                 quiet=True) == 200:
                jobs[job] = site.record.now()
            await asyncio.sleep(0.15)


async def case(record, trouble):
    async with Site(record, runners=RUNNERS) as site:
        await site.ready()
        service = new_job()
        await site.submit(site.machines[0], service, "1000000", [
            step(count=RUNNERS, cpu=1000, persistent=True, **{"anti-affinity": 1})])
        jobs = {}
        site.background.append(asyncio.create_task(load(site, jobs)))
        await asyncio.sleep(FIRST_S)
        for _ in range(ROUNDS):
            for runner in site.runners:
                if trouble:
                    await runner.crash()
                    await asyncio.sleep(DOWN_S)
                    await runner.restart()
                    await asyncio.sleep(SPACING_S - DOWN_S)
        calm_from = site.record.now()
        await asyncio.sleep(WATCH_S)
        now = site.record.now()
        began = {}
        for run in site.runs():
            job = run["task"].split(".")[0]
            began.setdefault(job, run["begin"])
        waits = [began.get(job, now) - max(accepted, calm_from + CALM_S)
                 for job, accepted in jobs.items()]
        idle = [wait for wait in waits if wait >= IDLE_S]
        used = sum(one["entry"]["task"].startswith(service) for runner in site.runners
                   for one in runner.running.values())
        site.record("outcome", accepted=len(jobs), not_begun=len([j for j in jobs if j not in began]),
                    idle=len(idle), service_tasks=used)
        status = await site.client.call(site.machines[0], "GET", service)
        site.record("the service", answer=status)
        if not idle:
            return []
        return [f"LOST: {len(idle)} accepted jobs have nothing running for {min(idle):.1f} to "
                f"{max(idle):.1f} s after {CALM_S:.0f} s of calm, while {used} tasks of a service "
                f"use {used} of {RUNNERS * 16} cores"]


main(case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
