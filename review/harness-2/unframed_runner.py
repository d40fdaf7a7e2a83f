"""A backend server, as a process of its own, whose answers have no length.

    unframed_runner.py ADDRESS PORT ID BORN PIECES PAUSE_S

Each answer is a whole number of pieces and ends with its connection, as
PROTOCOL.md allows. Writes one line for each request that it begins to run.
"""

import asyncio
import json
import sys

sys.path.insert(0, __file__.rsplit("/", 1)[0])
import stand_ins as s  # noqa: E402

ADDRESS, PORT, ID, BORN, PIECES, PAUSE = sys.argv[1:7]


def piece(attempt, number):
    return f"{attempt} piece {number}\n".encode()


async def handle(method, target, headers, body, writer):
    if target == "/report":
        value = json.dumps({"born": int(BORN), "running": 0, "waiting": 0,
                            "stage": "both", "models": []}).encode()
        writer.write(s.head_bytes(200, {"Content-Type": "application/json",
                                        "Content-Length": len(value)}) + value)
        return True
    if target == "/health":
        writer.write(s.head_bytes(200, {"Instance-Id": ID,
                                        "Content-Length": 0}))
        return True
    attempt = headers.get("attempt-id", "")
    if headers.get("expect-instance", ID) != ID:
        writer.write(s.head_bytes(421, {"Attempt-Id": attempt,
                                        "Not-Executed": "1",
                                        "Content-Length": 0}))
        return True
    print("run", s.now(), f"run      {attempt} at {ID}", flush=True)
    writer.write(s.head_bytes(200, {
        "Attempt-Id": attempt, "Content-Type": "text/plain",
        "Response-Signature": f"s.{attempt}", "Connection": "close"}))
    for number in range(int(PIECES)):
        writer.write(piece(attempt, number))
        await writer.drain()
        await asyncio.sleep(float(PAUSE))
    return False


async def main():
    server = s.Server(handle)
    await server.start(ADDRESS, int(PORT))
    await asyncio.Event().wait()


asyncio.run(main())
