"""A backend server in a process of its own, so that it can be killed.

    failing_runner.py IP PORT ID BORN STATUS

It answers each request with a failure of its own. The answer has no length and
ends with its channel; its two halves are written a second apart. A line `ran
ATTEMPT` is printed for each request.
"""

import asyncio
import json
import sys

import fleet

FIRST = b'{"error":"the model server gave up","tokens_made":118,'
SECOND = b'"retryable":false,"request_kept":false}\n'


async def answer(request, writer):
    _, _, runner, born, status = sys.argv[1:6]
    line, headers, _ = request
    if line.startswith("GET /report "):
        writer.write(fleet.response(
            200, {"Content-Type": "application/json"},
            json.dumps({"born": int(born), "running": 0}).encode()))
        return True
    attempt = headers.get("attempt-id", "")
    if headers.get("expect-instance", runner) != runner:
        writer.write(fleet.response(421, {"Attempt-Id": attempt}))
        return True
    print("ran", attempt, flush=True)
    writer.write(fleet.message(f"HTTP/1.1 {status} Status", {
        "Attempt-Id": attempt, "Response-Signature": f"sig.{attempt}",
        "Content-Type": "application/json", "Connection": "close"}, FIRST))
    await writer.drain()
    await asyncio.sleep(1)
    writer.write(SECOND)
    return False


async def main():
    listener = fleet.Listener(answer)
    await listener.open(sys.argv[1], int(sys.argv[2]))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
