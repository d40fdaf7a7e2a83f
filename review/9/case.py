"""All gateways are killed at once while a request is held back."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "harness-2"))
import stand_ins as s  # noqa: E402

GATEWAYS = 4
RUNNERS = 6
KEY = "i9n73hh2b9wu3fexd9dn"
CRASHING = "/lohu930/crash"
CONTACT = 3.0
ALLOWED = 3                  # retries after the third crash
BACK = 2.0                   # how long a crashed server is away
DOWN = 0.5                   # how long the killed processes are


async def body(record, trouble):
    rng = random.Random()
    deployment = s.Deployment(record, GATEWAYS, 0)
    processes = [s.RunnerProcess(deployment, n, "crashing_runner.py", CRASHING)
                 for n in range(RUNNERS)]
    routes = [s.route("match-short", "/lohu930/", "streaming", max_attempts=1,
                      resumable=False)]
    tasks = set()
    disrupted = []

    async def request(path, payload):
        attempt = s.attempt_id(rng)
        gateway = rng.choice(deployment.gateways)
        headers = s.stream_headers(attempt, KEY)
        headers["Prompt-Prefix"] = f"{attempt[:8]}:250"
        record.write(f"sent     {attempt} {path} to {gateway.name}")
        answer = await s.call(gateway.ip, 8689, "POST", path, headers, payload,
                              5.0)
        record.write(f"answer   {attempt} "
                     f"{answer['status'] if answer else 'broken off'}")

    def send(path, payload):
        task = asyncio.create_task(request(path, payload))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def keep_running(process):
        while True:
            if process.process.poll() is not None:
                crashed.append(s.now())
                record.write(f"crashed  {process.id}")
                gone = process.id
                await asyncio.sleep(BACK)
                await process.start()
                deployment.store.remove("servers", gone)
            await asyncio.sleep(0.01)

    crashed = []
    keepers = []
    try:
        await deployment.store.start(f"{deployment.base}.1")
        for process in processes:
            await process.start()
        if not await deployment.start_gateways(s.configuration(
                2, [{"name": "kaje80", "api_keys": [KEY]}], routes)):
            return None
        keepers = [asyncio.create_task(keep_running(process))
                   for process in processes]
        await asyncio.sleep(2)

        async def traffic(seconds):
            end = s.now() + seconds
            while s.now() < end:
                send("/lohu930/2f", b"{}")
                if rng.random() < 0.5:
                    send(CRASHING, b'{"same":"body"}')
                await asyncio.sleep(0.5)

        await traffic(12)
        if trouble:
            for gateway in deployment.gateways:
                gateway.kill()
            disrupted.append(s.now())
            await asyncio.sleep(DOWN)
            for gateway in deployment.gateways:
                gateway.start()
            disrupted.append(s.now())
            for gateway in deployment.gateways:
                await gateway.wait_ready()
            await asyncio.sleep(CONTACT)
        await traffic(25)
        await asyncio.gather(*tasks)
    finally:
        for keeper in keepers:
            keeper.cancel()
        for process in processes:
            process.end()
            process.write_runs()
        await deployment.stop()
    if len(crashed) < 3:
        record.write("the request did not crash three servers")
        return None
    third = sorted(crashed)[2]
    runs = [at for at, text in record.lines
            if text.startswith("run ") and text.endswith("which it crashes")]
    late = [at for at in runs if at > third + CONTACT and
            all(not d <= at <= d + CONTACT for d in disrupted)]
    text = (f"the request crashed {len(crashed)} servers; it reached servers "
            f"{len(late)} times from machines in touch, later than contact_ms "
            f"after the third crash; allowed {ALLOWED}")
    record.write(text)
    print(text)
    return len(late) > ALLOWED


s.main(body)
