"""The operators make the route of batch jobs public."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "harness-3"))
import fleet  # noqa: E402

# RULES.md: settle_ms, config_apply_ms and finish_s.
SETTLE = 1.0
CONFIG_APPLY = 2.0
FINISH = 18.0
# How many answers of 404 are noted.
ASKED_AGAIN = 10


async def script(journal, trouble):
    deployment = fleet.Fleet(journal, gateways=2, runners=3, slots=8, events=20,
                             pause=0.02)
    key = {"Key": fleet.KEY}

    async def submit(job, items):
        for gateway in deployment.gateways:
            answer = await fleet.ask(gateway.ip, 8689, "POST", f"/pule252/{job}",
                                     {"Attempt-Id": job, **key},
                                     fleet.lot(items))
            journal.note("POST", job, "at", gateway.name,
                         "none" if answer is None else answer.status)
            if answer is not None and answer.status == 202:
                return True
        return False

    async def can_be_read(job, items):
        """Whether all results are listed in time, and no gateway answers 404."""
        end = time.monotonic() + FINISH
        results = []
        missing = 0
        while (len(results) < len(items) and missing < ASKED_AGAIN and
               time.monotonic() < end):
            await asyncio.sleep(0.5)
            for gateway in deployment.gateways:
                answer = await fleet.ask(
                    gateway.ip, 8689, "GET",
                    f"/lots/{job}?after={len(results)}", key)
                status = "none" if answer is None else answer.status
                journal.note("GET", job, "at", gateway.name, status)
                if status == 404:
                    missing += 1
                if status == 200:
                    results += json.loads(answer.body)["results"]
        journal.note(len(results), "results of", job)
        return missing == 0 and len(results) == len(items)

    try:
        routes = [fleet.stream_route(), fleet.batch_route()]
        if not await deployment.open(fleet.configuration(1, routes)):
            return None
        before = [fleet.new_id() for _ in range(5)]
        first = fleet.new_id()
        if not await submit(first, before) or not await can_be_read(first,
                                                                    before):
            return None
        # Both versions change the route; only one of them makes it public.
        change = {"public": True} if trouble else {"timeout_ms": 14000}
        journal.note("configuration 2 changes the route of batch jobs:", change)
        deployment.store.write("config", "main", fleet.configuration(
            2, [fleet.stream_route(), fleet.batch_route(**change)]))
        await asyncio.sleep(CONFIG_APPLY)
        after = [fleet.new_id() for _ in range(5)]
        second = fleet.new_id()
        if not await submit(second, after):
            return None
        await asyncio.sleep(SETTLE)
        if await can_be_read(second, after):
            return False
        tenants = {run["tenant"] for runner in deployment.runners
                   for run in runner.runs if run["id"] in after}
        journal.note("BROKEN: an accepted batch job can't be read; its items "
                     "ran for the tenant", tenants)
        return True
    finally:
        deployment.close()


fleet.run(script)
