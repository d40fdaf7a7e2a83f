"""A backend server of numbered events, as a process of its own.

    stream_runner.py ADDRESS PORT ID BORN LONG_PREFIXES

Requests whose path begins with one of LONG_PREFIXES (comma-separated) get 100
events without a length: the answer ends with its connection. All others get 4
events in chunks, and the connection is kept.
"""

import asyncio
import json
import sys

sys.path.insert(0, __file__.rsplit("/", 1)[0])
import stand_ins as s  # noqa: E402

ADDRESS, PORT, ID, BORN, LONG = sys.argv[1:6]
LONG_EVENTS = 100
SHORT_EVENTS = 4
PAUSE = 0.03


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
    last = int(headers.get("last-event-id", "0"))
    print("run", s.now(), f"run      {attempt} at {ID} from {last + 1}",
          flush=True)
    is_long = target.startswith(tuple(LONG.split(",")))
    answer = {"Attempt-Id": attempt, "Content-Type": "text/event-stream",
              "Response-Signature": f"s.{attempt}"}
    answer.update({"Connection": "close"} if is_long else
                  {"Transfer-Encoding": "chunked"})
    writer.write(s.head_bytes(200, answer))
    for number in range(last + 1,
                        (LONG_EVENTS if is_long else SHORT_EVENTS) + 1):
        event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
        writer.write(event if is_long else
                     b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(PAUSE)
    if is_long:
        return False
    writer.write(b"0\r\n\r\n")
    return True


async def main():
    server = s.Server(handle)
    await server.start(ADDRESS, int(PORT))
    await asyncio.Event().wait()


asyncio.run(main())
