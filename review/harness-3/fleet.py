"""A small deployment on loopback addresses: stand-ins of the users' platform in
one asyncio loop, and real gateways as processes of their own.

Only Python's standard library is used. The store, the backend servers and the
clients do what PROTOCOL.md says and nothing else; a script changes them through
the hooks that are named in each class.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "nony24.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "kaje80"
SERVICE = "huvo11a"


class Journal:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._path = path
        self._began = time.monotonic()
        self._lines = []

    def note(self, *words):
        at = time.monotonic() - self._began
        self._lines.append(f"{at:8.3f} " + " ".join(str(w) for w in words))

    def save(self):
        with open(self._path, "w", encoding="utf-8") as out:
            out.write("\n".join(self._lines) + "\n")


async def read_message(stream):
    """Returns the first line, the headers in lower case, and the body."""
    head = (await stream.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await stream.readline(), 16)
            body += (await stream.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await stream.readexactly(int(headers["content-length"]))
    elif first.startswith("HTTP/"):
        body = await stream.read()
    return first, headers, body


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


def response(status, headers=None, body=b""):
    fields = dict(headers or {})
    fields["Content-Length"] = len(body)
    return message(f"HTTP/1.1 {status} Status", fields, body)


class Listener:
    """Accepts connections; `answer(request, writer)` returns False to close."""

    def __init__(self, answer):
        self._answer = answer
        self._server = None
        self._writers = set()

    async def open(self, ip, port=0):
        self._server = await asyncio.start_server(
            self._converse, ip, port, backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    async def _converse(self, reader, writer):
        self._writers.add(writer)
        try:
            keep = True
            while keep:
                request = await read_message(reader)
                keep = await self._answer(request, writer) is not False
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class MetadataStore:
    """The platform's store. `before(method, kind, name)` may be set to an async
    function that returns a status with which the call is turned away, "lose" to
    carry it out without an answer, a number of seconds as a float to carry it
    out so much later without an answer, or None."""

    def __init__(self):
        self._listener = Listener(self._answer)
        self._revision = 1
        self._objects = {}
        self._events = {}
        self._signals = {}
        self.before = None
        self.address = None

    async def open(self, ip):
        self.address = f"{ip}:{await self._listener.open(ip)}"

    def close(self):
        self._listener.close()

    def names(self, kind):
        return sorted(self._objects.get(kind, {}))

    def get(self, kind, name):
        return self._objects.get(kind, {}).get(name)

    def write(self, kind, name, spec=None, status=None):
        """Creates or changes an object, as its owner does."""
        known = self._objects.setdefault(kind, {}).get(name)
        new = {"metadata": {"name": name, "finalizers": [], "deleting": False},
               "spec": known["spec"] if known and spec is None else spec,
               "status": known["status"] if known and status is None else status}
        if known and (known["spec"], known["status"]) == (new["spec"],
                                                          new["status"]):
            return known
        self._revision += 1
        new["metadata"]["revision"] = self._revision
        new["metadata"]["created"] = (known["metadata"]["created"] if known
                                      else self._revision)
        self._objects[kind][name] = new
        self._publish(kind, new, False)
        return new

    def delete(self, kind, name):
        gone = json.loads(json.dumps(self._objects[kind].pop(name)))
        self._revision += 1
        gone["metadata"]["revision"] = self._revision
        self._publish(kind, gone, True)

    def _publish(self, kind, value, removed):
        self._events.setdefault(kind, []).append(
            (self._revision, {"object": value, "removed": removed}))
        waiting = self._signals.pop(kind, None)
        if waiting is not None:
            waiting.set()

    async def _answer(self, request, writer):
        line, _, body = request
        method, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        _, _, kind, *name = [unquote(p) for p in parts.path.split("/")]
        fate = None
        if self.before is not None:
            fate = await self.before(method, kind, name[0] if name else None)
        if isinstance(fate, int):
            writer.write(response(fate))
            return True
        if isinstance(fate, float):
            asyncio.get_running_loop().call_later(
                fate, self._change, method, kind, name, query,
                json.loads(body) if body else {})
            writer.transport.abort()
            return False
        if method == "GET" and "watch" in query:
            status, value = await self._watch(kind, query)
        elif method == "GET":
            status, value = self._read(kind, name, query)
        else:
            status, value = self._change(method, kind, name, query,
                                         json.loads(body) if body else {})
        if fate == "lose":
            writer.transport.abort()
            return False
        writer.write(response(status, {"Content-Type": "application/json"},
                              json.dumps(value).encode()))
        return True

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [event for revision, event in self._events.get(kind, [])
                      if revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self._revision}
            changed = self._signals.setdefault(kind, asyncio.Event())
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _read(self, kind, name, query):
        if name:
            found = self.get(kind, name[0])
            return (404, {}) if found is None else (200, found)
        after = query.get("after", "")
        names = [n for n in self.names(kind) if n > after]
        return 200, {"items": [self.get(kind, n) for n in names[:500]],
                     "has_more": len(names) > 500, "as_of": self._revision}

    def _change(self, method, kind, name, query, body):
        metadata = body.get("metadata", {})
        target = name[0] if name else metadata["name"]
        known = self.get(kind, target)
        if method == "POST":
            if known is not None:
                return 409, known
            return 200, self.write(kind, target, body["spec"])
        if known is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and (int(expected) !=
                                     known["metadata"]["revision"]):
            return 409, known
        if method == "DELETE":
            self.delete(kind, target)
            return 200, {}
        if name[1:] == ["status"]:
            return 200, self.write(kind, target, status=body["status"])
        return 200, self.write(kind, target, body["spec"])


class ModelRunner:
    """A backend server that streams numbered events. `special(run, writer)` may
    be set to an async function that answers a request itself and returns
    whether to keep the channel, or None to leave it to the runner."""

    def __init__(self, store, journal, name, slots=8, events=6, pause=0.01):
        self._listener = Listener(self._answer)
        self._store = store
        self._journal = journal
        self.name = name
        self.slots = slots
        self.events = events
        self.pause = pause
        self.running = 0
        self.runs = []
        self.special = None
        self.born = int(time.time() * 1000)
        self.address = None

    async def open(self, ip):
        self.address = f"{ip}:{await self._listener.open(ip)}"
        self.register()

    def close(self):
        self._listener.close()

    def register(self, state="ready"):
        self._store.write("servers", self.name, {
            "service": SERVICE, "address": self.address, "zone": "kr-south-a",
            "version": "v1", "slots": self.slots, "state": state,
            "cold_remaining_ms": 0, "stage": "both", "sequence": 1,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born})

    async def _answer(self, request, writer):
        line, headers, body = request
        method, target, _ = line.split(" ")
        if (method, target) == ("GET", "/report"):
            report = {"stage": "both", "busy": False, "sequence": 1,
                      "waiting": 0, "running": self.running, "kv_used": 0,
                      "kv_total": 147261, "handles": 0, "born": self.born,
                      "models": [{"name": "m", "version": 1, "adapters": []}]}
            writer.write(response(200, {"Content-Type": "application/json"},
                                  json.dumps(report).encode()))
            return True
        attempt = headers.get("attempt-id", "")
        if not attempt:
            self._journal.note("asked", self.name, "without an id:", line)
            writer.write(response(400, {"Not-Executed": 1}))
            return True
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(response(421, {"Instance-Id": self.name,
                                        "Attempt-Id": attempt}))
            return True
        if self.running >= self.slots:
            writer.write(response(503, {"Not-Executed": 1,
                                        "Attempt-Id": attempt}))
            return True
        run = {"at": time.monotonic(), "id": attempt, "runner": self.name,
               "tenant": headers.get("tenant"), "target": target,
               "after": int(headers.get("last-event-id", 0)), "body": body}
        self.runs.append(run)
        self._journal.note("ran", attempt, "at", self.name, "for",
                           run["tenant"], "after event", run["after"])
        self.running += 1
        try:
            kept = None
            if self.special is not None:
                kept = await self.special(run, writer)
            return await self.stream(run, writer) if kept is None else kept
        finally:
            self.running -= 1

    def event(self, attempt, number):
        return f"id: {number}\ndata: {attempt}.{number}\n\n".encode()

    async def stream(self, run, writer, events=None, pause=None):
        events = self.events if events is None else events
        pause = self.pause if pause is None else pause
        attempt = run["id"]
        writer.write(message("HTTP/1.1 200 OK", {
            "Attempt-Id": attempt, "Response-Signature": f"sig.{attempt}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(run["after"] + 1, events + 1):
            await asyncio.sleep(pause)
            if writer.transport.is_closing():
                return False
            event = self.event(attempt, number)
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        return True


class Gateway:
    """A process of the system with the command of deploy/system.toml."""

    def __init__(self, folder, journal, name, ip, store, zone):
        self._journal = journal
        self.name = name
        self.ip = ip
        self.process = None
        self._file = os.path.join(folder, name + ".conf")
        self.log_path = os.path.join(folder, name + ".log")
        settings = f"""node_name={name}
role=entry
machine_class=edge
serves=edge
ip={ip}
zone={zone}
region=kr-south
zones.kr-south-a=kr-south
zones.kr-south-b=kr-south
zones.kr-south-c=kr-south
listen.front={ip}:8689
listen.ready={ip}:8687
internal_ports=7360,7375
bootstrap=true
loss_counted=false
limits.cpu_share=0.19
limits.cpu_cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4.6
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.quota_window_s=5
bounds.quota_overage=0.1
bounds.quota_slack=20
bounds.recover_s=12
bounds.pass_ms=120
bounds.finish_s=18
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
platform.address={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""
        with open(self._file, "w", encoding="utf-8") as out:
            out.write(settings)

    def start(self):
        self._journal.note("start", self.name)
        program = os.environ.get("COWSLIP_GATEWAY",
                                 "target/bin/cowslip-gateway")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [program, "entry"], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", ""),
                     "COWSLIPHOLLOW_NODE_FILE": self._file})

    def signal(self, number):
        self._journal.note(signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self, within=20.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            answer = await ask(self.ip, 8687, "GET", "/ready", {}, within=1.0)
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.01)
        return False

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as lines:
            return [json.loads(line) for line in lines
                    if line.startswith("{") and line.endswith("}\n")]


class Answer:
    """A whole answer, as a client has read it."""

    def __init__(self, first, headers, body):
        self.status = int(first.split(" ")[1])
        self.headers = headers
        self.body = body


async def ask(ip, port, method, target, headers, body=b"", within=5.0):
    """One call on a channel of its own; None without a whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), 1.0)
        fields = {"Host": HOST, **headers}
        if method != "GET":
            fields["Content-Length"] = len(body)
        writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
        return Answer(*await asyncio.wait_for(read_message(reader), within))
    except (OSError, ValueError, asyncio.IncompleteReadError,
            asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def stream_call(attempt, key=KEY, deadline_ms=5000):
    return {"Attempt-Id": attempt, "Model": "m", "Token-Usage": "450,80",
            "Prompt-Prefix": f"5c1e07a2:200,{new_id()[:8]}:250",
            "Deadline-Ms": deadline_ms, "Key": key}


def stream_route(name="r-jcda9rg", prefix="/lohu930/", **more):
    return {"name": name, "host": HOST, "path_prefix": prefix,
            "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300,
            "priority": 0, "service": SERVICE, "max_attempts": 2,
            "public": False, "sticky": True, "resumable": True,
            "gap_target_ms": 400, **more}


def batch_route(name="r-lot", prefix="/pule252/", **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "batch",
            "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2,
            "service": SERVICE, "max_attempts": 3, "public": False,
            "sticky": True, "resumable": True, "gap_target_ms": 400,
            "completion_target_ms": 18000, "retention_s": 60, **more}


def configuration(version, routes, tenants=None):
    return {"version": version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/health",
                          "max_connections": 370, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": TENANT, "api_keys": [KEY],
                                    "priority": 1, "rate_per_s": 0,
                                    "burst": 0}]}


def lot(items, tokens=850):
    """The body of a batch job with items of these ids."""
    return json.dumps({"items": [
        {"id": item, "path": f"/pule252/3/{item}", "body": "q83vEjRWeJA=",
         "headers": {"Model": "m", "Token-Usage": "450,400",
                     "Prompt-Prefix": f"9c2e41:100,{item[:8]}:250"},
         "tokens": tokens} for item in items]}).encode()


class Fleet:
    """Gateways, backend servers and the store, on loopback addresses of one
    prefix that is free."""

    def __init__(self, journal, gateways, runners, **of_runners):
        self.journal = journal
        self._folder = tempfile.TemporaryDirectory()
        self.prefix = self._free_prefix(gateways)
        self.store = MetadataStore()
        self.runners = [ModelRunner(self.store, journal, f"i-7f3a91{n:02x}",
                                    **of_runners) for n in range(runners)]
        self._gateways = gateways
        self.gateways = []

    @staticmethod
    def _free_prefix(gateways):
        """Looks for loopback addresses on which the gateways' ports are free."""
        while True:
            prefix = f"127.{random.randrange(20, 220)}." \
                     f"{random.randrange(1, 250)}"
            try:
                for n in range(gateways):
                    for port in (7360, 7375, 8687, 8689):
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{10 + n}", port))
                return prefix
            except OSError:
                continue

    async def open(self, first_configuration):
        await self.store.open(f"{self.prefix}.1")
        for n, runner in enumerate(self.runners):
            await runner.open(f"{self.prefix}.{100 + n}")
        self.store.write("config", "main", first_configuration)
        for n in range(self._gateways):
            zone = "kr-south-" + "abc"[n % 3]
            self.gateways.append(Gateway(
                self._folder.name, self.journal, f"edge-{zone}-{n // 3 + 1}",
                f"{self.prefix}.{10 + n}", self.store.address, zone))
            self.gateways[-1].start()
        return all([await gateway.ready() for gateway in self.gateways])

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        for runner in self.runners:
            runner.close()
        self.store.close()
        self._folder.cleanup()


def run(script):
    """Runs `script(journal, trouble)`, which returns whether the rule was
    broken, or None if that can't be told. Exits with 1, 0 or 2."""
    journal = Journal(os.path.abspath(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    journal.note("trouble" if trouble else "no trouble")
    broken = None
    try:
        broken = asyncio.run(asyncio.wait_for(script(journal, trouble), 110))
    except Exception as error:  # pylint: disable=broad-except
        journal.note("could not run:", repr(error))
    status = 2 if broken is None else int(broken)
    journal.note("exit", status)
    journal.save()
    raise SystemExit(status)
