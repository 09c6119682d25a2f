"""Large jobs that come at once: the system orders all starts at once, and all of its
processes hang."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from standins import RunnerHosts, Site, main, new_job, step  # noqa: E402

MACHINES = 8
RUNNERS = 48
RUNNER_CPU = 64000
HOSTS = 3  # Processes that run the runners.
JOBS = int(os.environ.get("JOBS", "10"))
TASKS = int(os.environ.get("TASKS", "600"))
TASK_CPU = 250
TRAFFIC_S = 30.0
FINISH_S = 14.0
CLIENT_S = 3.0


async def watch_ready(site, misses):
    """Asks each machine whether it is ready, as the platform does."""
    while True:
        for machine in site.machines:
            status, _ = await site.client.ready(machine)
            if status != 200:
                misses[machine.name] += 1
        await asyncio.sleep(1.0)


async def play(site, hosts, trouble):
    await site.ready()
    await site.limit_processors()
    misses = {machine.name: 0 for machine in site.machines}
    site.background.append(asyncio.create_task(watch_ready(site, misses)))
    accepted = []
    if trouble:
        for number in range(JOBS):
            large = new_job()
            machine = site.machines[number % len(site.machines)]
            if await site.submit(machine, large, "2",
                                 [step(count=TASKS, cpu=TASK_CPU, estimate_ms=2000)]) == 200:
                accepted.append(large)
    began = site.record.now()
    number = 0
    while site.record.now() - began < TRAFFIC_S:
        machine = site.machines[number % len(site.machines)]
        number += 1
        job = new_job()
        if await site.submit(machine, job, "0.5", [step()], CLIENT_S) == 200:
            accepted.append(job)
        site.record("runners", running=sum(hosts.running.values()),
                    starts=sum(hosts.starts.values()), ready_misses=misses)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    unknown, waiting = [], []
    answers = await asyncio.gather(*(
        site.client.call(machine, "GET", job, timeout=CLIENT_S)
        for job in accepted for machine in site.machines))
    for index, job in enumerate(accepted):
        first = index * len(site.machines)
        shown = [content["state"] for status, content in
                 answers[first:first + len(site.machines)] if status == 200]
        if not shown:
            unknown.append(job)
        elif "done" not in shown and job not in hosts.begun:
            waiting.append(job)
    in_use = sum(hosts.running.values()) * TASK_CPU / 1000
    site.record("outcome", accepted=len(accepted), unknown=len(unknown), waiting=len(waiting),
                cores_in_use=in_use, ready_misses=misses)
    breaches = []
    if unknown:
        breaches.append(f"LOST: {len(unknown)} of {len(accepted)} accepted jobs get no "
                        f"answer of any machine {FINISH_S:.0f} s after the end of the traffic "
                        f"(missed ready checks: {misses})")
    if waiting and in_use < RUNNERS * RUNNER_CPU / 1000 / 2:
        breaches.append(f"LOST: {len(waiting)} of {len(accepted)} accepted jobs have "
                        f"nothing running {FINISH_S:.0f} s after the end of the traffic, with "
                        f"{in_use:.0f} of {RUNNERS * RUNNER_CPU // 1000} cores in use")
    return breaches


async def case(record, trouble):
    async with Site(record, machines=MACHINES, runners=0) as site:
        hosts = RunnerHosts(site.record, HOSTS, RUNNERS // HOSTS, RUNNER_CPU)
        try:
            await hosts.start(site.store)
            return await play(site, hosts, trouble)
        finally:
            await hosts.stop()


main(case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
