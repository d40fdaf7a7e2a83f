"""Stand-ins of the users' platform, for the scripts of this review.

All of them run in one asyncio loop: the metadata store, the backend servers
and the clients. The gateways are separate processes, started with the command
of deploy/system.toml. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.abspath(
    os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "nony24.example"


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.path = path
        self.start = now()
        self.lines = []

    def write(self, text, at=None):
        self.lines.append((now() if at is None else at, text))

    def close(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at - self.start:9.3f}  {text}\n")


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """An HTTP/1.1 server; `handle` writes the whole answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, address, port=0):
        self.server = await asyncio.start_server(self.serve, address, port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                keep = await self.handle(method, target, headers, body, writer)
                await writer.drain()
                if keep is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store (PROTOCOL.md), in memory."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = {}
        self.changed = {}
        self.server = Server(self.handle)
        self.calls = 0
        # async function (method, kind, name) -> None, "lose", "late" or a
        # status; called before a call is carried out.
        self.fault = None

    async def start(self, address):
        self.port = await self.server.start(address)
        self.address = f"{address}:{self.port}"

    def kind(self, kind):
        return self.objects.setdefault(kind, {})

    def wake(self, kind):
        event = self.changed.pop(kind, None)
        if event is not None:
            event.set()

    def log(self, kind, value, removed):
        self.history.setdefault(kind, []).append(
            (self.revision, json.loads(json.dumps(value)), removed))
        self.wake(kind)

    def put(self, kind, name, spec):
        """The operator's or a backend server's write."""
        known = self.kind(kind).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        status = known["status"] if known else None
        value = {"metadata": {"name": name, "revision": self.revision,
                              "created": created, "finalizers": [],
                              "deleting": False},
                 "spec": spec, "status": status}
        self.kind(kind)[name] = value
        self.log(kind, value, False)
        return value

    def set_status(self, kind, name, status):
        known = self.kind(kind)[name]
        if known["status"] == status:
            return known
        self.revision += 1
        value = json.loads(json.dumps(known))
        value["status"] = status
        value["metadata"]["revision"] = self.revision
        self.kind(kind)[name] = value
        self.log(kind, value, False)
        return value

    def remove(self, kind, name):
        value = self.kind(kind).pop(name)
        self.revision += 1
        value = json.loads(json.dumps(value))
        value["metadata"]["revision"] = self.revision
        self.log(kind, value, True)

    async def reply(self, writer, status, value):
        body = json.dumps(value).encode()
        writer.write(head_bytes(status, {
            "Content-Type": "application/json",
            "Content-Length": len(body)}) + body)

    async def handle(self, method, target, headers, body, writer):
        self.calls += 1
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[2:]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        is_status = len(parts) > 2 and parts[2] == "status"
        verdict = None
        if self.fault is not None:
            verdict = await self.fault(method, kind, name)
        if isinstance(verdict, int):
            await self.reply(writer, verdict, {})
            return True
        if method == "GET" and "watch" in query:
            status, value = await self.watch(kind, query)
        else:
            status, value = self.carry_out(method, kind, name, is_status,
                                           query, body)
        if verdict == "lose":
            writer.transport.abort()
            return False
        await self.reply(writer, status, value)
        return True

    def carry_out(self, method, kind, name, is_status, query, body):
        objects = self.kind(kind)
        if method == "GET":
            if name is not None:
                return (200, objects[name]) if name in objects else (404, {})
            names = sorted(n for n in objects if n > query.get("after", ""))
            page = names[:500]
            return 200, {"items": [objects[n] for n in page],
                         "has_more": len(names) > len(page),
                         "as_of": self.revision}
        content = json.loads(body) if body else {}
        metadata = content.get("metadata", {})
        if method == "POST":
            if metadata["name"] in objects:
                return 409, objects[metadata["name"]]
            return 200, self.put(kind, metadata["name"], content["spec"])
        if name not in objects:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        known = objects[name]
        if (expected is not None and
                int(expected) != known["metadata"]["revision"]):
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if is_status:
            return 200, self.set_status(kind, name, content["status"])
        return 200, self.put(kind, name, content["spec"])

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [{"object": value, "removed": removed}
                      for revision, value, removed in
                      self.history.get(kind, []) if revision > since]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            event = self.changed.setdefault(kind, asyncio.Event())
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(event.wait(), left)


class Runner:
    """A backend server: numbered events, resumption, signatures, slots."""

    def __init__(self, store, record, name, service="grain-llm", slots=8,
                 events=8, pause=0.01, zone="kr-south-a", version="v1"):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.events = events
        self.pause = pause
        self.zone = zone
        self.version = version
        self.running = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.server = Server(self.handle)
        # async function (headers, writer) -> True when it has dealt with the
        # request itself; may be set by a script.
        self.misbehave = None

    async def start(self, address):
        port = await self.server.start(address)
        self.address = f"{address}:{port}"
        self.register()

    def register(self):
        self.store.put("servers", self.name, self.entry())

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": state, "cold_remaining_ms": 0,
                "sequence": 1, "born": self.born}

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def refuse(self, writer, status, attempt):
        writer.write(head_bytes(status, {
            "Attempt-Id": attempt, "Not-Executed": "1",
            "Server-Load": self.load(), "Content-Length": 0}))
        return True

    async def handle(self, method, target, headers, body, writer):
        if method == "GET" and target == "/report":
            value = json.dumps({
                "stage": "both", "busy": False, "sequence": 1, "waiting": 0,
                "running": self.running, "kv_used": 0, "kv_total": 90000,
                "handles": 0, "born": self.born,
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }).encode()
            writer.write(head_bytes(200, {
                "Content-Type": "application/json",
                "Content-Length": len(value)}) + value)
            return True
        if method == "GET" and target == "/health":
            writer.write(head_bytes(200, {
                "Instance-Id": self.name, "Server-Load": self.load(),
                "Content-Length": 0}))
            return True
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            return await self.refuse(writer, 421, attempt)
        if self.running >= self.slots:
            return await self.refuse(writer, 503, attempt)
        run = {"at": now(), "attempt": attempt, "server": self.name,
               "tenant": headers.get("tenant", ""), "target": target,
               "last_event": int(headers.get("last-event-id", "0")),
               "sent": 0, "end": "open"}
        if self.misbehave is not None:
            if await self.misbehave(run, headers, writer):
                return False
        self.runs.append(run)
        self.record.write(f"run      {attempt} at {self.name} for "
                          f"{run['tenant']} from {run['last_event'] + 1}")
        self.running += 1
        try:
            return await self.stream(run, attempt, writer)
        finally:
            self.running -= 1

    def event_bytes(self, attempt, number):
        return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()

    async def stream(self, run, attempt, writer):
        writer.write(head_bytes(200, {
            "Attempt-Id": attempt, "Content-Type": "text/event-stream",
            "Response-Signature": f"s.{attempt}", "Server-Load": self.load(),
            "Transfer-Encoding": "chunked"}))
        for number in range(run["last_event"] + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            if writer.transport.is_closing():
                run["end"] = "sender left"
                return False
            data = self.event_bytes(attempt, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            run["sent"] = number
        writer.write(b"0\r\n\r\n")
        run["end"] = "whole"
        return True

    def whole_body(self, attempt, first=1):
        return b"".join(self.event_bytes(attempt, n)
                        for n in range(first, self.events + 1))


class Gateway:
    """A process of the system, started as deploy/system.toml says."""

    def __init__(self, folder, record, name, ip, store_address, zone,
                 bounds=None, role="entry"):
        self.record = record
        self.name = name
        self.ip = ip
        self.role = role
        self.process = None
        self.settings = os.path.join(folder, name + ".conf")
        self.log_path = os.path.join(folder, name + ".log")
        values = {
            "node_name": name, "role": role, "machine_class": "edge",
            "serves": "edge", "ip": ip, "zone": zone, "region": "kr-south",
            "zones.kr-south-a": "kr-south", "zones.kr-south-b": "kr-south",
            "zones.kr-south-c": "kr-south",
            "listen.front": f"{ip}:8689", "listen.ready": f"{ip}:8687",
            "internal_ports": "7360,7375", "seeds": "", "bootstrap": "true",
            "loss_counted": "false", "limits.cpu_share": "0.19",
            "limits.cpu_cores": "1", "limits.memory_mb": "260",
            "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0", "discovery": "platform", "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,batch,stream,engine,"
                         "tenants,quota,platform",
            "fault_tolerance.machines": "1", "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0", "bounds.contact_ms": "3000",
            "bounds.ack_ms": "4000", "bounds.drain_ms": "2000",
            "bounds.grace_s": "8", "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.rollback_slack_ms": "250", "bounds.quota_window_s": "5",
            "bounds.quota_overage": "0.1", "bounds.quota_slack": "20",
            "bounds.recover_s": "12", "bounds.finish_s": "18",
            "bounds.status_s": "120", "bounds.cancel_ms": "3000",
            "bounds.settle_ms": "1000", "platform.address": store_address,
            "platform.form": "objects", "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000", "platform.history_s": "20",
            "platform.value_bytes": "1048576", "platform.ttl_min_ms": "1000",
        }
        values.update(bounds or {})
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{k}={v}\n" for k, v in values.items())

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""),
                       "COWSLIPHOLLOW_NODE_FILE": self.settings}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["target/bin/cowslip-gateway", self.role], cwd=REPOSITORY,
                env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.record.write(f"start    {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.record.write(f"signal   {self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        answer = await call(self.ip, 8687, "GET", "/ready", {}, b"", 1.0)
        return answer is not None and answer["status"] == 200

    async def wait_ready(self, limit=20):
        end = now() + limit
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.02)
        return False

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                if line.startswith("{"):
                    with contextlib.suppress(ValueError):
                        yield json.loads(line)


async def call(ip, port, method, target, headers, body, limit):
    """One HTTP call on a new connection; None without a whole answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            lines = dict({"Host": HOST}, **headers)
            if body or method != "GET":
                lines["Content-Length"] = len(body)
            text = f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{k}: {v}\r\n" for k, v in lines.items()) + "\r\n"
            writer.write(text.encode("latin-1") + body)
            line, answer = await read_head(reader)
            data = await read_body(reader, answer, to_end=True)
            return {"status": int(line.split(" ")[1]), "headers": answer,
                    "body": data}
        return await asyncio.wait_for(exchange(), limit)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError, OSError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def stream_headers(attempt, key, deadline_ms=5000):
    return {"Attempt-Id": attempt, "Key": key, "Model": "m",
            "Token-Usage": "450,80", "Deadline-Ms": deadline_ms,
            "Prompt-Prefix": f"5c1e07a2:100,{attempt[:8]}:250"}


def attempt_id(rng):
    return f"{rng.getrandbits(64):016x}"


def route(name, prefix, kind, **more):
    value = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
             "service": "grain-llm", "timeout_ms": 5000,
             "target_latency_ms": 300, "gap_target_ms": 400, "priority": 0,
             "max_attempts": 2, "public": False, "sticky": True}
    value.update(more)
    return value


def configuration(version, tenants, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": "grain-llm", "max_connections": 370,
                          "health_path": "/health"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": tenants}


def batch_route(**more):
    value = route("flitch-spec", "/pule252/", "batch", timeout_ms=15000,
                  max_attempts=3, completion_target_ms=18000, retention_s=60,
                  target_latency_ms=400, priority=2)
    value.update(more)
    return value


def job_body(items):
    """`items` lists the ids."""
    return json.dumps({"items": [
        {"id": item, "path": f"/pule252/3/{item}",
         "headers": {"Model": "m", "Token-Usage": "450,400",
                     "Prompt-Prefix": f"9c2e41:100,{item[:8]}:250"},
         "body": "q83vEjRWeJA=", "tokens": 850} for item in items]}).encode()


async def submit(gateway, job, key, body, limit=4.0):
    answer = await call(gateway.ip, 8689, "POST", f"/pule252/{job}",
                        {"Attempt-Id": job, "Key": key,
                         "Content-Type": "application/json",
                         "Deadline-Ms": int(limit * 1000)}, body, limit)
    return answer["status"] if answer else None


async def read_job(gateway, job, key, after=0, wait_ms=None, limit=3.0):
    """One page of results, as (status, page)."""
    headers = {"Key": key}
    if wait_ms is not None:
        headers["Wait-Ms"] = wait_ms
    answer = await call(gateway.ip, 8689, "GET", f"/lots/{job}?after={after}",
                        headers, b"", limit)
    if answer is None:
        return None, None
    page = json.loads(answer["body"]) if answer["status"] == 200 else None
    return answer["status"], page


async def read_all(gateway, job, key, limit=10.0):
    """All results that are listed, as (total, results); None if unreadable."""
    end = now() + limit
    results = []
    while now() < end:
        status, page = await read_job(gateway, job, key, len(results))
        if status != 200:
            await asyncio.sleep(0.2)
            continue
        results += page["results"]
        if not page["results"]:
            return page["total"], results
    return None


class Deployment:
    """A small deployment: a store, backend servers and gateways."""

    def __init__(self, record, gateways, runners, **runner_options):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.base = self.free_base(gateways)
        self.store = Store()
        self.runners = [Runner(self.store, record, f"i-{n:08x}",
                               **runner_options) for n in range(runners)]
        self.count = gateways
        self.gateways = []

    @staticmethod
    def free_base(count):
        """A loopback prefix on which the ports are free."""
        rng = random.Random()
        while True:
            base = f"127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}"
            try:
                for n in range(count):
                    for port in (8689, 8687, 7360, 7375):
                        with socket.socket() as probe:
                            probe.bind((f"{base}.{10 + n}", port))
                return base
            except OSError:
                continue

    async def start(self, first_configuration):
        await self.store.start(f"{self.base}.1")
        for n, runner in enumerate(self.runners):
            await runner.start(f"{self.base}.{100 + n}")
        return await self.start_gateways(first_configuration)

    async def start_gateways(self, first_configuration):
        self.store.put("config", "main", first_configuration)
        for n in range(self.count):
            zone = "kr-south-" + "abc"[n % 3]
            self.gateways.append(Gateway(
                self.folder.name, self.record, f"edge-{zone}-{n + 1}",
                f"{self.base}.{10 + n}", self.store.address, zone))
            self.gateways[-1].start()
        ready = [await gateway.wait_ready() for gateway in self.gateways]
        return all(ready)

    async def stop(self):
        for gateway in self.gateways:
            gateway.end()
        for runner in self.runners:
            await runner.server.stop()
        await self.store.server.stop()
        self.folder.cleanup()

    def runs(self):
        return sorted((run for runner in self.runners for run in runner.runs),
                      key=lambda run: run["at"])


class RunnerProcess:
    """A backend server as a process of its own, which can be killed.

    `program` is a file of this folder. Its arguments are the address, the port,
    the id, the time of the start and `arguments`. It writes `run MONOTONIC TEXT`
    for each request that it begins to run.
    """

    PORT = 9001

    def __init__(self, deployment, number, program, *arguments):
        self.deployment = deployment
        self.number = number
        self.program = program
        self.arguments = arguments
        self.address = f"{deployment.base}.{100 + number}"
        self.starts = 0
        self.process = None
        self.id = ""
        self.log_path = os.path.join(deployment.folder.name,
                                     f"runner-{number}.log")

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.number:04x}{self.starts:04x}"
        born = int(time.time() * 1000)
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                               self.program)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", program, self.address, str(self.PORT),
                 self.id, str(born), *self.arguments],
                stdin=subprocess.DEVNULL, stdout=log)
        end = now() + 10
        while await call(self.address, self.PORT, "GET", "/report", {}, b"",
                         1.0) is None:
            if now() > end:
                raise RuntimeError(f"{self.id} does not start")
            await asyncio.sleep(0.02)
        self.deployment.record.write(f"start    {self.id}")
        self.deployment.store.put("servers", self.id, {
            "service": "grain-llm", "address": f"{self.address}:{self.PORT}",
            "zone": "kr-south-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": born})

    def kill(self):
        self.deployment.record.write(f"SIGKILL  {self.id}")
        self.process.kill()
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def write_runs(self):
        """Adds what this server ran to the record."""
        record = self.deployment.record
        with open(self.log_path, encoding="utf-8") as log:
            for line in log:
                word, at, text = line.rstrip("\n").split(" ", 2)
                if word == "run":
                    record.write(text, float(at))


def main(body):
    """Runs `body(record, trouble)`; exits with 1 if it returns True.

    The argument is the path of the record. TROUBLE=0 asks for a run without the
    disruption.
    """
    record = Record(os.path.abspath(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(body(record, trouble), 115))
        if broken is not None:
            code = 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    record.write(f"exit {code}")
    record.close()
    raise SystemExit(code)
