"""The store goes down while a gateway claims the jobs of one that was killed."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "harness-2"))
import stand_ins as s  # noqa: E402

GATEWAYS = 4
KEY = "i9n73hh2b9wu3fexd9dn"
JOBS = 6
ITEMS = 8
IN_FLIGHT = 0.02             # calls so shortly before are not answered
OUTAGE = 4.5                 # platform_down (busy): for_s = 4.5
FINISH = 18.0                # finish_s
CALM = 5.0


async def body(record, trouble):
    rng = random.Random()
    deployment = s.Deployment(record, GATEWAYS, 4, events=40, pause=0.05)
    jobs = {}
    outage = {"from": None, "killed": None}

    async def store_fault(method, kind, name):
        """Down from the first claim on; calls in flight aren't answered."""
        if not trouble or outage["killed"] is None:
            return None
        if outage["from"] is None:
            if method != "PUT" or kind != "cowslip-jobs":
                return None
            outage["from"] = s.now()
            record.write("the store goes down")
        since = s.now() - outage["from"]
        if since < IN_FLIGHT:
            if method != "GET":
                record.write(f"store    {method} {kind}/{name}: done, "
                             "not answered")
                return "lose"
            return 503
        return 503 if since < OUTAGE else None

    deployment.store.fault = store_fault
    try:
        if not await deployment.start(s.configuration(
                2, [{"name": "kaje80", "api_keys": [KEY]}],
                [s.batch_route()])):
            return None
        await asyncio.sleep(3)
        first = deployment.gateways[0]
        for _ in range(JOBS):
            job = s.attempt_id(rng)
            items = [s.attempt_id(rng) for _ in range(ITEMS)]
            status = await s.submit(first, job, KEY, s.job_body(items))
            record.write(f"job      {job} with {ITEMS} items: {status}")
            if status == 202:
                jobs[job] = items
        await asyncio.sleep(0.5)
        first.kill()
        outage["killed"] = s.now()
        await asyncio.sleep(0.5)
        first.start()
        await first.wait_ready()
        # The traffic has ended; the outage is over after a few seconds.
        await asyncio.sleep(OUTAGE + 2)
        end = s.now() + FINISH + CALM
        listed = {}
        while s.now() < end:
            for job in jobs:
                read = await s.read_all(deployment.gateways[1], job, KEY, 3)
                listed[job] = read[1] if read else []
            if sum(map(len, listed.values())) == JOBS * ITEMS:
                break
            await asyncio.sleep(0.5)
        now = s.now()
    finally:
        await deployment.stop()
    runs = deployment.runs()
    last = max((run["at"] for run in runs), default=0)
    left = {job: len(items) - len(listed[job]) for job, items in jobs.items()
            if len(listed[job]) < len(items)}
    for job, count in left.items():
        record.write(f"LEFT     {count} items of job {job}")
    text = (f"{sum(left.values())} items of {len(left)} jobs out of "
            f"{len(jobs)} are not listed; no runner has begun an item for "
            f"{now - last:.1f} s")
    record.write(text)
    print(text)
    return bool(left) and now - last > CALM


s.main(body)
