"""Stand-ins of the platform, engines, callers and operators, and the processes of a small system.

Everything listens on loopback addresses of its own (127.x.y.z) and runs on the real clock.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/wisteriawheel-platform"
SIGNATURE = "X-Wisteriawheel-Response-Signature"
ATTEMPT = "X-Wisteriawheel-Attempt-Id"
NOT_EXECUTED = "X-Wisteriawheel-Not-Executed"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 421: "Misdirected Request", 503: "Service Unavailable"}

SETTINGS = """nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPorts = [{peer},{peer_end}]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
faultCounted = {counted}
{data_dir}discovery = "cloud_api"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine"{contracts}]
configMode = "highest"
[zones]
za = "r"
zb = "r"
zc = "r"
[listen]
{listen}
[limits]
cpuShare = 0.3
cpuCores = 1
memoryMb = {memory}
maxFds = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 52
recoverS = 12
passMs = 120
retryAfterS = 0
fencingEnforced = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
loadBurstFactor = 1.1
{bounds}[cloudApi]
address = "{cloud}"
ratePerS = 40.0
duties = []
lagMs = 800
"""


class Record:
    """The lines of record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file, flush=True)


def free_ports(count, addresses):
    """Ports below the range of outgoing connections that are free at all addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(12_000, 30_000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [line.split(":", 1) for line in lines[1:] if ":" in line]
    return lines[0], [(name.strip().lower(), value.strip()) for name, value in headers]


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        body += piece[:-2]
        if size == 0:
            return body


async def read_body(reader, headers):
    values = dict(headers)
    if "chunked" in values.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(values.get("content-length", 0)))


class Request:
    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers, self.body = dict(headers), body
        self.all_headers = headers
        self.id = self.headers.get(ATTEMPT.lower())


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Engine:
    """A sound engine of a plain service, or of models if `models` are given. `behave` may answer in
    its place: it gets the engine, the request and the writer, and returns True if it has."""

    def __init__(self, record, service, name, address, zone="za", slots=16, models=None, behave=None, work=0.0):
        self.record, self.service, self.name, self.address = record, service, name, address
        self.zone, self.slots, self.behave = zone, slots, behave
        self.models, self.work = models, work
        self.state, self.born = "ready", int(time.time() * 1000)
        self.runs, self.arrivals, self.orders, self.sequence = [], [], [], 0
        self.server, self.writers = None, set()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        return self

    def entry(self):
        entry = {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "id": self.name, "born": self.born,
        }
        if self.models is not None:
            entry |= {"phase": "combined", "models": self.held()}
        return entry

    def held(self):
        return [{"name": model, "version": 1, "adapters": []} for model in self.models]

    def report(self):
        return {
            "phase": "combined", "models": self.held(), "busy": False, "sequence": self.sequence,
            "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90_000, "handles": 0, "born": self.born,
            "available": {"inMemory": [], "onDisk": []},
        }

    def end(self):
        """Ends as a process that is killed: what is in progress breaks off."""
        self.record(f"{self.name} ends")
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                request = Request(*head, await read_body(reader, head[1]))
                if not await self.handle(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        if request.path == "/api/report":
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps(self.report()).encode()))
            return True
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(answer(status, [("X-Wisteriawheel-Instance-Id", self.name)]))
            return True
        own = [(ATTEMPT, request.id)]
        target = request.headers.get("x-wisteriawheel-target-instance")
        if target not in (None, self.name):
            writer.write(answer(421, own + [(NOT_EXECUTED, "1")]))
            return True
        if request.path == "/api/order":
            return self.take_order(request, writer)
        self.arrivals.append((time.monotonic(), request))
        self.record(f"{self.name} gets {request.method} {request.path} id {request.id}")
        if self.behave and (done := await self.behave(self, request, writer)) is not None:
            return done
        self.run(request)
        await asyncio.sleep(self.work)
        writer.write(answer(200, own + [(SIGNATURE, f"{self.name}.{request.id}")], b"answer to " + request.id.encode()))
        return True

    def run(self, request):
        self.runs.append((time.monotonic(), request))
        self.record(f"{self.name} runs id {request.id}")

    def take_order(self, request, writer):
        order = json.loads(request.body)
        self.record(f"{self.name} gets the order {order}")
        self.orders.append((time.monotonic(), order))
        if order.get("expect", self.sequence) != self.sequence:
            writer.write(answer(409))
            return True
        self.sequence += 1
        model = order["model"]
        if order["operation"] == "load" and model not in self.models:
            self.models.append(model)
        if order["operation"] == "unload" and model in self.models:
            self.models.remove(model)
        writer.write(answer(202))
        return True


class Cloud:
    """The platform's list of instances."""

    def __init__(self, address):
        self.address, self.engines, self.extra = address, [], []
        self.raw = None

    async def start(self):
        await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    def page(self):
        if self.raw is not None:
            return self.raw(self)
        entries = [json.dumps(engine.entry()) for engine in self.engines] + self.extra
        return ('{"instances":[' + ",".join(entries) + '],"nextToken":null}').encode()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                writer.write(answer(200, [("Content-Type", "application/json")], self.page()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class System:
    """Three control instances and some ingress instances, as separate processes."""

    def __init__(self, record, ingress=2, contracts=(), bounds="", memory=256):
        self.record, self.count = record, 3 + ingress
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ips = [f"{self.net}.{10 + index}" for index in range(self.count)]
        self.cloud_ip, self.engine_ip = f"{self.net}.100", f"{self.net}.110"
        everywhere = self.ips + [self.cloud_ip, self.engine_ip]
        ports = free_ports(24, everywhere)
        self.peer, self.operator, self.frontend, self.readiness, cloud = ports[:5]
        self.engine_ports = ports[5:]
        self.cloud = Cloud((self.cloud_ip, cloud))
        self.contracts, self.bounds, self.memory = contracts, bounds, memory
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wheel-case-"))
        self.processes = [None] * self.count
        self.version = 0

    def engine_address(self):
        return (self.engine_ip, self.engine_ports.pop())

    def write_settings(self, index, bootstrap):
        is_control = index < 3
        ip = self.ips[index]
        if is_control:
            listen = f'controlPlane = "{ip}:{self.operator}"'
        else:
            listen = f'frontend = "{ip}:{self.frontend}"\nreadinessEndpoint = "{ip}:{self.readiness}"'
        data = self.folder / f"data-{index}"
        data.mkdir(exist_ok=True)
        text = SETTINGS.format(
            name=f"{'core' if is_control else 'frontend'}-{index}",
            role="control" if is_control else "entry",
            machine_class="core" if is_control else "frontend",
            serves="control_plane" if is_control else "frontend",
            ip=ip, zone="z" + "abc"[index % 3], peer=self.peer, peer_end=self.peer + 15,
            seeds=",".join(f'"{seed}:{self.operator}"' for seed in self.ips[:3]),
            bootstrap=str(bootstrap).lower(), counted=str(is_control).lower(),
            data_dir=f'dataDir = "{data}"\n' if is_control else "",
            contracts="".join(f',"{name}"' for name in self.contracts),
            listen=listen, memory=self.memory, bounds=self.bounds,
            cloud="%s:%d" % self.cloud.address,
        )
        path = self.folder / f"settings-{index}.toml"
        path.write_text(text)
        return path

    def spawn(self, index, bootstrap=False):
        path = self.write_settings(index, bootstrap)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"WISTERIAWHEEL_SETTINGS": str(path), "WISTERIAWHEEL_FLEET_SECRET": "one-secret-for-each-installation"}
        log = open(self.folder / f"log-{index}.txt", "ab")
        self.processes[index] = subprocess.Popen(
            [str(PROGRAM), "--metrics-port", "9464"], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        self.record(f"starts process {index}")

    async def start(self):
        await self.cloud.start()
        for index in range(self.count):
            self.spawn(index, bootstrap=True)

    def signal(self, index, number):
        self.record(f"sends {signal.Signals(number).name} to process {index}")
        self.processes[index].send_signal(number)

    def log(self, index):
        return (self.folder / f"log-{index}.txt").read_text(errors="replace")

    def end(self):
        for process in filter(None, self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put_to(self, index, document, limit=1.0):
        """Sends a configuration to one control instance; its status, 0 without an answer."""
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        result = await call((self.ips[index], self.operator), "PUT", "/api/configuration",
                            [("Content-Type", "application/json")], body, limit)
        return result.status

    async def put(self, document, limit=20.0):
        """Sends a configuration to the control instances in turn until one acknowledges it."""
        end, index = time.monotonic() + limit, 0
        while time.monotonic() < end:
            if await self.put_to(index % 3, document, 2.6) == 200:
                self.record(f"version {document['version']} is acknowledged")
                return time.monotonic()
            index += 1
            await asyncio.sleep(0.1)
        raise RuntimeError("no configuration was acknowledged")

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        for index in range(3, self.count):
            while (await call((self.ips[index], self.readiness), "GET", "/api/readiness", [], b"", 1.0)).status != 200:
                if time.monotonic() > end:
                    raise RuntimeError("an ingress instance isn't ready")
                await asyncio.sleep(0.1)

    def ingress(self, index=0):
        return (self.ips[3 + index], self.frontend)


class Result:
    def __init__(self, status=0, headers=(), body=b"", complete=False):
        self.status, self.headers, self.body, self.complete = status, dict(headers), body, complete


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    """Reads one answer as RFC 9112 frames it."""
    head = await read_head(reader)
    if head is None:
        return Result()
    line, headers = head
    parts = line.split(" ")
    if not line.startswith("HTTP/1.") or len(parts) < 2 or not parts[1].isdigit():
        return Result(-1, headers, line.encode())
    status, values = int(parts[1]), dict(headers)
    try:
        if "chunked" in values.get("transfer-encoding", ""):
            return Result(status, headers, await read_chunks(reader), True)
        if "content-length" in values:
            return Result(status, headers, await reader.readexactly(int(values["content-length"])), True)
        return Result(status, headers, await reader.read(), True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        return Result(status, headers, getattr(error, "partial", b""), False)


async def call(address, method, path, headers, body=b"", limit=5.0):
    """One request on a connection of its own."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            writer.write(request_bytes(method, path, [("Host", "h.example"), *headers], body))
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (asyncio.TimeoutError, OSError):
        return Result()


def route(name, service, kind="idempotent", **more):
    return {
        "name": name, "host": "h.example", "pathPrefix": f"/{name}/", "routeType": kind,
        "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 0, "service": service, "maxAttempts": 2,
        "sticky": False, "resumable": False,
    } | more


def config(version, routes, services, **more):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    } | more


def service(name, **more):
    return {"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False} | more


class Callers:
    """Sends one request after another at an even pace, to the ingress instances in turn."""

    def __init__(self, record, system, path, pace=0.05):
        self.record, self.system, self.path, self.pace = record, system, path, pace
        self.sent, self.statuses, self.tasks = 0, {}, set()

    async def ask(self, number):
        headers = [(ATTEMPT, f"attempt-{number}"), ("X-Wisteriawheel-Deadline-Ms", "2000")]
        address = self.system.ingress(number % (self.system.count - 3))
        result = await call(address, "POST", self.path, headers, b"hold", 3.0)
        self.record(f"attempt-{number} is answered {result.status}")
        self.statuses[f"attempt-{number}"] = result.status

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.sent += 1
            self.record(f"attempt-{self.sent} is sent")
            task = asyncio.create_task(self.ask(self.sent))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.pace)

    async def finish(self):
        await asyncio.gather(*self.tasks)


def run_case(case):
    """Runs `case(record, has_trouble)`, which returns whether the rule held, as the exit status."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except BaseException as error:  # the case couldn't run, whatever the reason
        record(f"could not run: {error!r}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
