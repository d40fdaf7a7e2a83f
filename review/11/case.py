"""A gateway is stopped as planned while a client uses one channel for two
requests, one after the other."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "harness-3"))
import fleet  # noqa: E402

GRACE = 8.0
# When SIGTERM comes, after the first request was sent.
TERM_AT = 0.6
# Both requests take this many events at this pace: 4.0 s, less than the 5 s of
# their time budget and of their routes.
LONG_EVENTS = 40
LONG_PAUSE = 0.1


class Channel:
    """A channel that a client keeps open for several requests."""

    def __init__(self, journal):
        self._journal = journal
        self._reader = None
        self._writer = None

    async def open(self, ip):
        self._reader, self._writer = await asyncio.open_connection(ip, 8689)

    async def send(self, target):
        """Returns the answer, or None if the channel ended before its end."""
        attempt = fleet.new_id()
        self._journal.note("sent", attempt, target)
        self._writer.write(fleet.message(
            f"POST {target} HTTP/1.1",
            {"Host": fleet.HOST, **fleet.stream_call(attempt),
             "Content-Length": 6}, b"prompt"))
        try:
            answer = fleet.Answer(*await fleet.read_message(self._reader))
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            self._journal.note("no whole answer", attempt, type(error).__name__)
            return None
        self._journal.note("answered", attempt, answer.status,
                           len(answer.body), "bytes, connection:",
                           answer.headers.get("connection", "-"))
        return answer

    def close(self):
        self._writer.close()


async def script(journal, trouble):
    deployment = fleet.Fleet(journal, gateways=2, runners=2, events=6,
                             pause=0.02)

    def set_pace(runner):
        async def special(run, writer):
            if "/long" in run["target"]:
                return await runner.stream(run, writer, LONG_EVENTS, LONG_PAUSE)
            return None
        runner.special = special

    for runner in deployment.runners:
        set_pace(runner)
    routes = [fleet.stream_route("r-jcda9rg", "/lohu930/"),
              fleet.stream_route("r-y35ieis", "/pufi791/", resumable=False,
                                 max_attempts=1)]
    channel = Channel(journal)
    try:
        if not await deployment.open(fleet.configuration(1, routes)):
            return None
        stopped = deployment.gateways[0]
        await channel.open(stopped.ip)
        for _ in range(5):
            if await channel.send("/pufi791/2f") is None:
                return None
        began = time.monotonic()
        first = asyncio.create_task(channel.send("/lohu930/long"))
        await asyncio.sleep(TERM_AT)
        term = time.monotonic()
        if trouble:
            stopped.signal(signal.SIGTERM)
        answer = await first
        if answer is None or answer.status != 200:
            journal.note("the first request was not served")
            return None
        if answer.headers.get("connection") == "close":
            journal.note("the channel may not be used again")
            return False
        sent_after = time.monotonic() - term
        second = await channel.send("/pufi791/long")
        ended_after = time.monotonic() - term
        journal.note(f"the second request was sent {sent_after:.2f} s after "
                     f"SIGTERM and ended {ended_after:.2f} s after it; "
                     f"{time.monotonic() - began:.2f} s in all")
        if sent_after <= 3 or ended_after >= GRACE + 1:
            return None
        runs = [run for runner in deployment.runners for run in runner.runs
                if run["target"] == "/pufi791/long"]
        if second is None and runs:
            journal.note("BROKEN: passed on to a runner, and the channel ended "
                         "without a complete answer")
            return True
        return False
    finally:
        channel.close()
        deployment.close()


fleet.run(script)
