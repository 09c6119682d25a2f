"""Waiting jobs of many steps take the memory of each owner in turn (KNOWN-RED.txt,
many_jobs); the platform kills a process that exceeds it."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "common-2"))

from standins import Site, main, new_job, step  # noqa: E402

MACHINES = 8
MEMORY_MB = 260  # `memory-mb` of the settings
RESTART_S = 0.5
JOBS = int(os.environ.get("JOBS", "300"))
STEPS = 1000
CHECK_S = 0.05
TRAFFIC_S = 40.0
FINISH_S = 14.0


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def guard(site, ends, peaks):
    """Kills processes over their memory, and starts those that have ended."""
    while True:
        await asyncio.sleep(CHECK_S)
        for machine in site.machines:
            if machine.process.poll() is not None:
                continue
            used = resident_mb(machine.process.pid)
            peaks[machine.name] = max(peaks[machine.name], int(used))
            if used > MEMORY_MB:
                site.record("memory over the limit", machine=machine.name, mb=int(used))
                ends[machine.name] += 1
                machine.kill()
                asyncio.get_running_loop().call_later(RESTART_S, machine.start)


async def case(record, trouble):
    async with Site(record, machines=MACHINES, runners=2) as site:
        await site.ready()
        ends = {machine.name: 0 for machine in site.machines}
        peaks = dict(ends)
        site.background.append(asyncio.create_task(guard(site, ends, peaks)))
        # The first step waits for a label that no runner has, so that the jobs wait.
        steps = [step(cpu=100, mem_mb=1, requires="gone")] + [
            {"count": 1, "cpu": 100} for _ in range(STEPS - 1)]
        accepted = 0
        if trouble:
            for number in range(JOBS):
                machine = site.machines[number % MACHINES]
                accepted += await site.submit(machine, new_job(), "w", steps, quiet=True) == 200
        site.record("jobs of many steps", accepted=accepted)
        ordinary = []
        began = site.record.now()
        number = 0
        while site.record.now() - began < TRAFFIC_S:
            job = new_job()
            number += 1
            if await site.submit(site.machines[number % MACHINES], job, "0.5", [step()]) == 200:
                ordinary.append(job)
            await asyncio.sleep(1.0)
        await asyncio.sleep(FINISH_S)
        answers = await asyncio.gather(*(
            site.client.call(machine, "GET", job, quiet=True)
            for job in ordinary for machine in site.machines))
        done = {job for index, job in enumerate(ordinary)
                for status, content in answers[index * MACHINES:(index + 1) * MACHINES]
                if status == 200 and content["state"] == "done"}
        site.record("outcome", ends=ends, peaks_mb=peaks, ordinary=len(ordinary), done=len(done))
        breaches = []
        if sum(count >= 3 for count in ends.values()) >= 2:
            breaches.append(f"FAULT: processes end over their memory: {ends}")
        if len(done) < len(ordinary):
            breaches.append(f"LOST: {len(ordinary) - len(done)} of {len(ordinary)} accepted "
                            f"ordinary jobs are not done {FINISH_S:.0f} s after the traffic "
                            f"(ends over memory: {ends}, peaks in MB: {peaks})")
        return breaches


main(case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
