"""A backend server, as a process of its own, that one request crashes.

    crashing_runner.py ADDRESS PORT ID BORN TARGET

Requests for TARGET end the process soon after they have begun to run. All
others get 4 events.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, __file__.rsplit("/", 1)[0])
import stand_ins as s  # noqa: E402

ADDRESS, PORT, ID, BORN, TARGET = sys.argv[1:6]


async def handle(method, target, headers, body, writer):
    if target == "/report":
        value = json.dumps({"born": int(BORN), "running": 0, "waiting": 0,
                            "stage": "both", "models": []}).encode()
        writer.write(s.head_bytes(200, {"Content-Type": "application/json",
                                        "Content-Length": len(value)}) + value)
        return True
    attempt = headers.get("attempt-id", "")
    if headers.get("expect-instance", ID) != ID:
        writer.write(s.head_bytes(421, {"Attempt-Id": attempt,
                                        "Not-Executed": "1",
                                        "Content-Length": 0}))
        return True
    crashes = target == TARGET
    print("run", s.now(), f"run      {attempt} at {ID}"
          f"{' which it crashes' if crashes else ''}", flush=True)
    if crashes:
        await asyncio.sleep(0.05)
        os._exit(1)
    writer.write(s.head_bytes(200, {
        "Attempt-Id": attempt, "Content-Type": "text/event-stream",
        "Response-Signature": f"s.{attempt}",
        "Transfer-Encoding": "chunked"}))
    for number in range(1, 5):
        event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")
    return True


async def main():
    server = s.Server(handle)
    await server.start(ADDRESS, int(PORT))
    await asyncio.Event().wait()


asyncio.run(main())
