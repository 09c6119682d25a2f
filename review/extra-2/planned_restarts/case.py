"""A runner leaves as planned, with a task still at work, and two machines are restarted
gracefully, one after the other. All other jobs then start nothing for seconds, though
nothing of them ever ran on the runner that left."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "common-2"))

from standins import Site, main, new_job, step  # noqa: E402

MACHINES = 4
RUNNERS = 6
JOBS = 12
FIRST_STEP_S = 9.0
DRAIN_S = 2.5  # `drain-ms` (2,000) "and a little longer"
GRACE_S = 6.0
CALM_S = 4.0  # LOST: "if the 3 s and the 4 s before them are calm"
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"
PLAY_S = 20.0


async def leave(site, runner):
    """The planned shutdown of a runner."""
    runner.state = "draining"
    runner.publish()
    site.record("runner drains", name=runner.name)
    await asyncio.sleep(DRAIN_S)
    await runner.crash()  # "everything that runs on it terminates"
    site.store.delete(f"servers/{runner.name}")
    site.record("runner has left", name=runner.name)


async def restart(site, machine):
    """SIGTERM, as the platform does, and a start after the end."""
    machine.signal(signal.SIGTERM)
    for _ in range(int(GRACE_S / 0.02)):
        if machine.process.poll() is not None:
            break
        await asyncio.sleep(0.02)
    machine.kill()
    site.record("process has ended", machine=machine.name)
    machine.start()


async def case(record, trouble):
    async with Site(record, machines=MACHINES, runners=RUNNERS) as site:
        await site.ready()
        jobs = [new_job() for _ in range(JOBS)]
        for number, job in enumerate(jobs):
            # Two tasks of the first steps fill a runner, so that they spread.
            await site.submit(site.machines[number % MACHINES], job, f"{FIRST_STEP_S},1",
                              [step(cpu=7000, estimate_ms=9000),
                               step(cpu=1000, after=[0])])
        await asyncio.sleep(2.0)
        left = site.runners[-1]
        began = site.record.now()
        if trouble:
            await leave(site, left)
            owner = site.owner()
            other = next(one for one in site.machines if one is not owner)
            await restart(site, other)
            await restart(site, owner)
        calm_from = site.record.now()
        await asyncio.sleep(PLAY_S)
        breaches = []
        for job in jobs:
            runs = site.runs(job)
            if any(run["runner"] == left.name for run in runs):
                continue
            done = [run["end"] for run in runs
                    if run["task"].endswith(".0.0") and run["how"] == "done"]
            second = min((run["begin"] for run in runs if run["task"].endswith(".1.0")),
                         default=site.record.now())
            if not done:
                continue
            idle = second - max(done[0], calm_from + CALM_S)
            site.record("job", job=job, first_step_done=f"{done[0] - began:.2f}",
                        second_step_begun=f"{second - began:.2f}",
                        calm_from=f"{calm_from - began:.2f}")
            if idle >= IDLE_S:
                breaches.append(
                    f"LOST: job {job} has nothing running from {done[0] - began:.1f} s to "
                    f"{second - began:.1f} s after the runner began to drain, {idle:.1f} s of it "
                    f"after {CALM_S:.0f} s of calm, on free runners")
        return breaches


main(case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
