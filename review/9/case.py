"""A cancel that was answered with 410 does not keep the job from running: the write that
stores the job is executed late, as the pages allow, and nobody recorded the cancel."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from standins import (CANCEL_S, CONTACT_S, CannotRun, KILL_GRACE_S, Site, main,  # noqa: E402
                      new_job, step)

LATE_S = 5.0  # "late (done 1 to 6 s later)"
DISRUPTION_S = 4.5  # `platform_lost`, for_s = 4.5 in the site file
FIRST_STEP_S = 7.0
MAX_SHARE = 0.35  # `platform_lost`, x = 0.35 in the site file


async def load(site):
    """Ordinary small jobs at all machines."""
    while True:
        for machine in site.machines:
            asyncio.create_task(site.submit(machine, new_job(), "0.2", [step(cpu=100)], quiet=True))
            await asyncio.sleep(0.1)


async def case(record, trouble):
    async with Site(record) as site:
        await site.ready()
        site.background.append(asyncio.create_task(load(site)))
        await asyncio.sleep(3.0)
        owner = site.owner()
        receiver = next(one for one in site.machines if one is not owner)
        job = new_job()
        key = f"cell/job/{job}"
        site.record("the job", job=job, receiver=receiver.name,
                    owner=owner.name if owner else None)
        writes, lost = site.store.writes, site.store.lost_writes
        window = [site.record.now(), site.record.now() + DISRUPTION_S]

        def fault(_machine, call, arguments):
            if (call == "kv-txn" and site.record.now() < window[1] and
                    any(put["key"] == key for put in arguments.get("puts", []))):
                return ("late", LATE_S)
            return None
        if trouble:
            site.store.fault = fault
        status = await site.submit(receiver, job, f"{FIRST_STEP_S},3", [step(), step(after=[0])])
        cancelled, _ = await site.client.call(receiver, "DELETE", job)
        acknowledged = site.record.now()
        await asyncio.sleep(max(0.0, window[1] - site.record.now()))
        site.store.fault = lambda *_: None
        share = (site.store.lost_writes - lost) / max(1, site.store.writes - writes)
        site.record("lost writes", lost=site.store.lost_writes - lost,
                    of=site.store.writes - writes, share=f"{share:.2f}")
        await asyncio.sleep(LATE_S + FIRST_STEP_S + 5.0)
        await site.client.call(receiver, "GET", job)
        breaches = []
        if share > MAX_SHARE:
            raise CannotRun("more writes were lost than the pages allow")
        if cancelled not in (200, 410):
            site.record("the cancel was not acknowledged", status=cancelled)
            return []
        calm_from = site.store.executed_late_at + CONTACT_S
        for run in site.runs(job):
            late = run["begin"] - acknowledged
            limit = CANCEL_S
            if late > limit:
                breaches.append(
                    f"UNASKED: task {run['task']} run {run['run']} began {late:.1f} s after the "
                    f"cancel was answered with {cancelled} (POST: {status}); the core was "
                    f"{'stable' if run['begin'] > calm_from else 'not stable'} then")
            elif (run["end"] or site.record.now()) > acknowledged + limit + KILL_GRACE_S + 0.1:
                breaches.append(f"UNASKED: task {run['task']} runs on after the cancel")
        return breaches


main(case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0")
