"""Stand-ins for the platform, the engines, the operator and the consumers, and a small deployment.

Only the standard library is used. All addresses are loopback addresses. The stand-ins do what
PROTOCOL.md describes; a case changes single behaviours of them.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "wisteriawheel-platform")
# The command of both roles in deploy/system.toml.
ARGUMENTS = ["--metrics-port", "9464"]
SECRET = "one-secret-for-each-installation"
ZONES = ["braga", "porto", "guimaraes"]
LIST_LAG_S = 0.8

ATTEMPT = "x-wisteriawheel-attempt-id"
SIGNATURE = "x-wisteriawheel-response-signature"
TARGET = "x-wisteriawheel-target-instance"
INSTANCE = "x-wisteriawheel-instance-id"
NOT_EXECUTED = "x-wisteriawheel-not-executed"
DEADLINE = "x-wisteriawheel-deadline-ms"
MODEL = "x-wisteriawheel-model"

# All processes that this one has started.
started = []
with_trouble = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't run; its exit status is 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds from the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return next((value for key, value in self.headers if key == name), default)


async def read_head(reader):
    """Reads a head; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head, is_answer=False):
    """Reads a body of known length or in chunks; raises if it is cut."""
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            body += piece[:-2]
            if size == 0:
                return body
    if head.get("content-length") is not None:
        return await reader.readexactly(int(head.get("content-length")))
    if is_answer:
        return await reader.read(-1)
    return b""


def free_network():
    """A part of 127.0.0.0/8 of its own, and ports that are free there."""
    for _ in range(200):
        network = f"127.{random.randint(16, 200)}.{random.randint(1, 250)}"
        sockets = []
        try:
            for host in range(1, 13):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((f"{network}.{host}", 9464))
            return network
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free addresses")


def free_port(ip, taken):
    while True:
        probe = socket.socket()
        probe.bind((ip, 0))
        port = probe.getsockname()[1]
        probe.close()
        if port not in taken and port != 9464:
            taken.add(port)
            return port


class Machine:
    """A machine with one process of the system."""

    def __init__(self, name, role, ip, zone):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.process = None
        self.settings = None


class Deployment:
    """Three core machines and some front machines, as on the sheet of rota-biblio."""

    def __init__(self, record, fronts, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = free_network()
        taken = set()
        ip = f"{self.network}.1"
        self.peer_port = free_port(ip, taken)
        self.control_port = free_port(ip, taken)
        self.front_port = free_port(ip, taken)
        self.ready_port = free_port(ip, taken)
        self.list_address = None
        self.bounds = {
            "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
            "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
            "downgradeSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2,
            "budgetWindowS": 10, "budgetExtraRetries": 52, "recoverS": 12, "passMs": 120,
            "retryAfterS": 0, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5,
            "loadBurstFactor": 1.1, **(bounds or {}),
        }
        self.cores = [
            Machine(f"core-{zone}-1", "core", f"{self.network}.{1 + i}", zone)
            for i, zone in enumerate(ZONES)
        ]
        self.fronts = [
            Machine(f"frontend-{ZONES[i % 3]}-{1 + i // 3}", "front", f"{self.network}.{4 + i}",
                    ZONES[i % 3])
            for i in range(fronts)
        ]

    def machines(self):
        return self.cores + self.fronts

    def write_settings(self, machine, bootstrap):
        seeds = ",".join(f'"{core.ip}:{self.control_port}"' for core in self.cores)
        data = os.path.join(self.folder, "data-" + machine.name)
        is_core = machine.role == "core"
        if is_core:
            os.makedirs(data, exist_ok=True)
            listen = f'controlPlane = "{machine.ip}:{self.control_port}"'
        else:
            listen = (f'frontend = "{machine.ip}:{self.front_port}"\n'
                      f'readinessEndpoint = "{machine.ip}:{self.ready_port}"')
        bounds = "\n".join(f"{key} = {value}" for key, value in self.bounds.items())
        zones = "\n".join(f'{zone} = "pt-norte"' for zone in ZONES)
        serves = "control_plane" if is_core else "frontend"
        first = f'dataDir = "{data}"\n' if is_core else ""
        text = f"""nodeName = "{machine.name}"
role = "{'control' if is_core else 'entry'}"
machineClass = "{'core' if is_core else 'frontend'}"
serves = ["{serves}"]
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "pt-norte"
internalPorts = [{self.peer_port},{self.peer_port + 15}]
seedNodes = [{seeds}]
bootstrap = {str(bootstrap).lower()}
faultCounted = {str(is_core).lower()}
discovery = "cloud_api"
entry = "virtual_ip"
heartbeatMs = 1200
configMode = "highest"
{first}[zones]
{zones}
[listen]
{listen}
[limits]
memoryMb = 260
maxFds = 4100
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
fencingEnforced = false
[cloudApi]
address = "{self.list_address}"
ratePerS = 42.0
duties = []
lagMs = 800
"""
        machine.settings = os.path.join(self.folder, machine.name + ".toml")
        with open(machine.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self, machine, bootstrap=False):
        self.write_settings(machine, bootstrap)
        log = open(os.path.join(self.folder, machine.name + ".log"), "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "WISTERIAWHEEL_SETTINGS": machine.settings, "WISTERIAWHEEL_FLEET_SECRET": SECRET,
        }
        machine.process = await asyncio.create_subprocess_exec(
            PROGRAM, *ARGUMENTS, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        started.append(machine.process)
        log.close()
        self.record.line(f"process {machine.name} started at {machine.ip}")

    async def start_all(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/wisteriawheel-platform isn't built")
        for machine in self.machines():
            await self.start(machine, bootstrap=True)

    def signal(self, machine, number):
        self.record.line(f"process {machine.name} gets signal {signal.Signals(number).name}")
        machine.process.send_signal(number)

    def own_ends(self):
        """Machines whose process has ended."""
        return [m.name for m in self.machines() if m.process and m.process.returncode is not None]

    def log_tail(self, name, lines=5):
        try:
            with open(os.path.join(self.folder, name + ".log"), encoding="utf-8") as file:
                return file.read().splitlines()[-lines:]
        except OSError:
            return []

    def log_lines(self, word):
        found = []
        for machine in self.machines():
            try:
                with open(os.path.join(self.folder, machine.name + ".log"), encoding="utf-8",
                          errors="replace") as file:
                    found += [f"{machine.name}: {line.strip()}" for line in file if word in line]
            except OSError:
                pass
        return found

    async def stop_all(self):
        for machine in self.machines():
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines():
            if machine.process:
                await asyncio.wait([asyncio.ensure_future(machine.process.wait())], timeout=5)
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """The list of engines, which shows each change LIST_LAG_S later."""

    def __init__(self, record, ip):
        self.record, self.ip = record, ip
        self.engines = []
        self.states = {}
        self.shown = []
        self.extra = b""
        self.calls = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def entry(self, engine):
        return {
            "id": engine.id, "service": engine.service, "address": engine.address,
            "zone": engine.zone, "version": "v1", "slots": engine.slots,
            "state": "draining" if engine.is_draining else "ready", "coldRemainingMs": 0,
            "born": engine.born, "phase": "combined",
            "models": [{"name": name, "version": 1, "adapters": []} for name in engine.models],
        }

    def show(self, extra=None):
        """Shows the engines as they are now, LIST_LAG_S later. `extra` is a further entry, as bytes."""
        entries = [json.dumps(self.entry(engine)).encode() for engine in self.engines]
        if extra is not None:
            self.extra = extra
        if self.extra:
            entries.insert(1, self.extra)
        body = b'{"instances":[' + b",".join(entries) + b'],"nextToken":null}'
        self.shown.append((time.monotonic() + LIST_LAG_S, body))

    def body(self):
        due = [body for at, body in self.shown if at <= time.monotonic()]
        return due[-1] if due else b'{"instances":[],"nextToken":null}'

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                self.calls += 1
                body = self.body()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Engine:
    """An engine, or a plain server if it holds no models."""

    def __init__(self, record, ip, name, service, zone, slots, models=(), memory_mb=220000):
        self.record, self.ip, self.id = record, ip, name
        self.service, self.zone, self.slots = service, zone, slots
        self.models, self.memory_mb = list(models), memory_mb
        self.born = int(time.time() * 1000)
        self.is_draining = False
        self.is_gone = False
        self.sequence = 0
        self.active = 0
        self.work_s = 0.03
        self.events, self.gap_s = 14, 0.03
        # Times and ids of requests that reached this engine, and of those that it ran.
        self.arrivals, self.runs, self.ended = [], [], []
        self.writers = set()
        self.on_event = None
        self.on_report = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"

    def leave(self):
        """The engine's process ends."""
        self.is_gone = True
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if not await self.answer(reader, writer, head, body):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, head, body):
        method, path, _ = head.first.split(" ")
        path = path.split("?")[0]
        target = head.get(TARGET)
        if path == "/health":
            return await self.plain(writer, 503 if self.is_draining else 200, b"", [])
        if target is not None and target != self.id:
            headers = [(NOT_EXECUTED, "1"), (INSTANCE, self.id)]
            if head.get(ATTEMPT):
                headers.append((ATTEMPT, head.get(ATTEMPT)))
            return await self.plain(writer, 421, b"", headers)
        if path == "/api/report":
            return await self.json(writer, 200, self.report())
        if path == "/api/order":
            return await self.json(writer, self.order(json.loads(body)), {})
        return await self.run(reader, writer, method, path, head, body)

    def report(self):
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        return {
            "phase": "combined", "models": models, "busy": False, "sequence": self.sequence,
            "queued": 0, "active": self.active, "kvUsed": 0, "kvTotal": 244162, "handles": 0,
            "born": self.born, "state": "draining" if self.is_draining else "ready",
            "available": {"inMemory": list(self.models), "onDisk": list(self.models)},
        }

    def order(self, order):
        self.record.line(f"engine {self.id} gets order {json.dumps(order)}")
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if order["operation"] == "load" and order["model"] not in self.models:
            self.models.append(order["model"])
        if order["operation"] == "unload" and order["model"] in self.models:
            self.models.remove(order["model"])
        return 202

    async def run(self, reader, writer, method, path, head, body):
        attempt = head.get(ATTEMPT)
        self.arrivals.append((time.monotonic(), attempt))
        if attempt is None:
            return await self.plain(writer, 400, b"", [(NOT_EXECUTED, "1")])
        model = (head.get(MODEL) or "").split("/")[0]
        if model and model not in self.models:
            self.record.line(f"engine {self.id} lacks {model} for {attempt}")
            return await self.plain(writer, 421, b"", [(NOT_EXECUTED, "1"), (ATTEMPT, attempt),
                                                       (INSTANCE, self.id)])
        self.runs.append((time.monotonic(), attempt))
        self.record.line(f"engine {self.id} runs {attempt} {method} {path}"
                         + (" (draining)" if self.is_draining else ""))
        self.active += 1
        try:
            if model:
                return await self.stream(reader, writer, head, attempt)
            await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
            body = f"{attempt} done by {self.id}\n".encode().ljust(800, b".")
            is_kept = await self.plain(writer, 200, body, [(ATTEMPT, attempt),
                                                           (SIGNATURE, self.sign(attempt))])
            self.ended.append(attempt)
            return is_kept
        finally:
            self.active -= 1

    def sign(self, attempt):
        return f"{self.id}.{attempt}"

    async def stream(self, reader, writer, head, attempt):
        """Sends events after Last-Event-Id, until the consumer's time is over."""
        last = int(head.get("last-event-id") or 0)
        headers = [("content-type", "text/event-stream"), ("transfer-encoding", "chunked"),
                   (ATTEMPT, attempt), (SIGNATURE, self.sign(attempt))]
        if self.is_draining:
            headers.append(("connection", "close"))
        writer.write(head_bytes(200, headers))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            for number in range(last + 1, self.events + 1):
                await asyncio.wait({closed}, timeout=self.gap_s)
                if closed.done() or writer.is_closing():
                    self.record.line(f"engine {self.id} sees {attempt} closed at event {number}")
                    return False
                if self.on_event is not None and self.on_event(self, attempt, number):
                    self.record.line(f"engine {self.id} breaks {attempt} off at event {number}")
                    abort(writer)
                    return False
                piece = f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.ended.append(attempt)
            return False
        finally:
            if not closed.done():
                closed.cancel()
            elif not closed.cancelled():
                closed.exception()

    async def json(self, writer, status, value):
        return await self.plain(writer, status, json.dumps(value).encode(),
                                [("content-type", "application/json")])

    async def plain(self, writer, status, body, headers):
        headers = headers + [("content-length", str(len(body)))]
        if self.is_draining:
            headers.append(("connection", "close"))
        writer.write(head_bytes(status, headers) + body)
        await writer.drain()
        return not self.is_draining


def abort(writer):
    """Resets a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


def head_bytes(status, headers):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()


class Answer:
    """What a consumer or operator got. `end` is whole, cut or none."""

    def __init__(self, status=0, head=None, body=b"", end="none"):
        self.status, self.head, self.body, self.end = status, head, body, end


async def exchange(ip, port, request, limit_s):
    """Sends one request over a channel of its own and reads the answer."""
    writer = None
    answer = Answer()

    async def call():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
        writer.write(request)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return
        answer.status, answer.head = int(head.first.split(" ")[1]), head
        answer.end = "cut"
        answer.body = await read_body(reader, head, is_answer=True)
        answer.end = "whole"

    try:
        await asyncio.wait_for(call(), limit_s)
    except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Operator:
    """Sends configurations as the pages say: again, to the next machine, until there is an answer."""

    def __init__(self, record, deployment):
        self.record, self.deployment = record, deployment

    async def put(self, config, limit_s=30.0):
        body = config if isinstance(config, bytes) else json.dumps(config).encode()
        end = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < end:
            core = self.deployment.cores[turn % 3]
            turn += 1
            answer = await self.put_at(core, body)
            if answer.status == 200 or 400 <= answer.status < 500:
                return answer.status
            await asyncio.sleep(0.2)
        return 0

    async def put_at(self, core, body):
        request = (f"PUT /api/configuration HTTP/1.1\r\nHost: {core.ip}\r\n"
                   f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                   "Connection: close\r\n\r\n").encode() + body
        answer = await exchange(core.ip, self.deployment.control_port, request, 3.0)
        self.record.line(f"operator puts {len(body)} bytes at {core.name}: {answer.status}")
        return answer

    async def get_at(self, core):
        request = (f"GET /api/configuration HTTP/1.1\r\nHost: {core.ip}\r\n"
                   "Connection: close\r\n\r\n").encode()
        return await exchange(core.ip, self.deployment.control_port, request, 3.0)


class Consumers:
    """Consumers that open a channel for each request. Retries are left to the case."""

    def __init__(self, record, deployment):
        self.record, self.deployment = record, deployment
        self.sent, self.answers = {}, {}

    async def request(self, front, host, path, budget_ms, method="POST", headers=(), body=b"x" * 600):
        attempt = f"{random.getrandbits(64):016x}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Wisteriawheel-Attempt-Id: {attempt}",
                 f"X-Wisteriawheel-Deadline-Ms: {budget_ms}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        request = "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if method != "GET" else b"")
        self.sent[attempt] = time.monotonic()
        self.record.line(f"consumer sends {attempt} {method} {path} to {front.name}")
        answer = await exchange(front.ip, self.deployment.front_port, request, budget_ms / 1000 + 0.5)
        self.answers[attempt] = (time.monotonic(), answer)
        self.record.line(f"consumer gets {attempt}: {answer.status} {answer.end} {len(answer.body)} bytes")
        return attempt, answer


async def until_ready(record, deployment, limit_s=20.0):
    """Waits until every front machine says that it is ready."""
    end = time.monotonic() + limit_s
    waiting = list(deployment.fronts)
    while waiting and time.monotonic() < end:
        front = waiting[0]
        request = (f"GET /api/readiness HTTP/1.1\r\nHost: {front.ip}\r\nConnection: close\r\n\r\n").encode()
        answer = await exchange(front.ip, deployment.ready_port, request, 1.0)
        if answer.status == 200:
            waiting.pop(0)
            continue
        await asyncio.sleep(0.2)
    if waiting:
        raise CannotRun(f"{waiting[0].name} isn't ready")
    record.line("all front machines are ready")


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts, priority=0, resumable=False,
          gap_ms=None):
    entry = {"name": name, "host": "lib.example", "pathPrefix": prefix, "routeType": kind,
             "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": priority,
             "service": service, "maxAttempts": attempts}
    if kind == "streaming":
        entry.update({"sticky": True, "resumable": resumable, "targetGapMs": gap_ms})
    return entry


def configuration(version, models=("m0",)):
    """The routes and services of the sheet of rota-biblio."""
    engine = {
        "slots": 64, "kvCacheTokens": 244162, "kvBytes": 163840, "linkMbps": 1100000.0,
        "moves": True, "backups": True, "stride": 5, "maxCount": 12, "hostMb": 150000.0,
        "diskMb": 1300000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
        "models": [{"name": name, "weightsMb": 65100.0, "loadS": 6.0, "adapters": 0,
                    "adapterMb": 12.0, "warmS": 0.38, "diskS": 1.0} for name in models],
        "weightsMb": 220000.0, "adapterSlots": 8, "loadsPerS": 3.5,
    }
    return {
        "version": version,
        "routes": [
            route("desk", "/desk/", "streaming", "lm-rota", 5000, 250, 2, 0, True, 250),
            route("notice", "/notice/", "streaming", "lm-rota", 17000, 6000, 1, 2, False, 250),
            route("hold", "/hold/", "non_idempotent", "circ-app", 1200, 150, 1, 2),
            route("read", "/read/", "idempotent", "circ-app", 1200, 150, 2, 2),
        ],
        "services": [
            {"name": "lm-rota", "healthPath": "/health", "maxConnections": 360, "protocol": "h1",
             "tls": False, "engine": engine},
            {"name": "circ-app", "healthPath": "/health", "maxConnections": 96, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


async def poisson(rate, seconds, act):
    """Calls `act` at random times, `rate` times a second on average; waits for the last calls."""
    tasks, end = [], time.monotonic() + seconds
    due = time.monotonic()
    while True:
        due += random.expovariate(rate)
        if due >= end:
            break
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.ensure_future(act()))
    await asyncio.gather(*tasks)


def main(folder, case):
    """Runs a case: `case(record)` returns the sentence on a broken rule, or None."""
    record = Record(folder)
    record.line("with the disruption" if with_trouble else "without the disruption")

    def finish(code, verdict):
        """Ends at once, without waiting for what the stand-ins still do."""
        record.line(verdict)
        record.close()
        print(verdict, flush=True)
        os._exit(code)

    def give_up():
        for process in started:
            if process.returncode is None:
                process.kill()
        finish(2, "couldn't run: the case didn't end")

    async def run():
        task = asyncio.ensure_future(asyncio.wait_for(case(record), 114))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await task
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            finish(2, f"couldn't run: {error!r}")
        except Exception as error:  # A fault of the stand-ins.
            traceback.print_exc()
            finish(2, f"couldn't run: {error!r}")
        finish(1 if broken else 0, f"RULE BROKEN: {broken}" if broken else "the rule held")

    watchdog = threading.Timer(118, give_up)
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run())


class System:
    """A deployment with its platform and engines, started and configured."""

    def __init__(self, record, fronts=3, engines=12, apps=3, models=("m0",)):
        self.record = record
        self.deployment = Deployment(record, fronts)
        ip = f"{self.deployment.network}.20"
        self.platform = Platform(record, ip)
        self.engines = [
            Engine(record, ip, f"i-lm{i:02}{random.getrandbits(16):04x}", "lm-rota", ZONES[i % 3], 64, models)
            for i in range(engines)
        ]
        self.apps = [
            Engine(record, ip, f"i-app{i}{random.getrandbits(16):04x}", "circ-app", ZONES[i % 3], 6)
            for i in range(apps)
        ]
        self.config = configuration(7, models)
        self.operator = Operator(record, self.deployment)
        self.consumers = Consumers(record, self.deployment)

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.deployment.stop_all()
            raise
        return self

    async def start(self):
        await self.platform.start()
        self.platform.engines = self.engines + self.apps
        for engine in self.platform.engines:
            await engine.start()
        self.platform.show()
        self.deployment.list_address = self.platform.address
        await self.deployment.start_all()
        if await self.operator.put(self.config) != 200:
            raise CannotRun("the first configuration has no ack")
        await until_ready(self.record, self.deployment)
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(max(0.0, 10.0 - self.record.now()))

    async def __aexit__(self, *_):
        ended = self.deployment.own_ends()
        if ended:
            self.record.line(f"ended by themselves: {ended}")
        await self.deployment.stop_all()
