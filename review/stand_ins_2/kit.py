"""Stand-ins for the review's scripts: the list of engines, engines, the operator and consumers.

They speak what PROTOCOL.md says, on loopback addresses, and use the standard library alone.
"""

import asyncio
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/release/wisteriawheel-platform"
SECRET = "one-secret-for-each-installation"
NOT_RUN = {"X-Wisteriawheel-Not-Executed": "1"}


def now():
    return time.monotonic()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, line, headers):
        self.line, self.headers = line, headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; None if the channel ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a body; raises EOFError if it is cut."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("cut")
        size = int(line.split(b";")[0].strip() or b"0", 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as error:
            raise EOFError("cut") from error
        yield data[:-2]


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding", "").lower():
        return b"".join([chunk async for chunk in read_chunks(reader)])
    size = int(head.get("content-length", "0") or 0)
    try:
        return await reader.readexactly(size) if size else b""
    except asyncio.IncompleteReadError as error:
        raise EOFError("cut") from error


def encode(line, headers, body=b"", length=True):
    text = [line] + [f"{name}: {value}" for name, value in headers.items()]
    if length:
        text.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(text) + "\r\n\r\n").encode("latin-1") + body


def answer(status, headers=None, body=b""):
    return encode(f"HTTP/1.1 {status} X", headers or {}, body)


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.began, self.lines, self.path = now(), [], path

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{now() - self.began:9.3f} {kind} {text}")

    def save(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Server:
    """An HTTP/1.1 server at one address."""

    def __init__(self, ip, port=0):
        self.ip, self.port, self.server, self.channels = ip, port, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 17)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self, reset=False):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.channels):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    return
        except (ConnectionError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer):
        raise NotImplementedError


class Cloud(Server):
    """The infrastructure's list of engines, which lags."""

    def __init__(self, ip, lag_s=0.8):
        super().__init__(ip)
        self.lag_s, self.history, self.fetches = lag_s, [], 0

    def publish(self, entries, extra=()):
        """Shows `entries`, and the JSON texts `extra`, after the lag."""
        texts = [json.dumps(entry) for entry in entries] + list(extra)
        self.history.append((now() + self.lag_s, "[" + ",".join(texts) + "]"))

    def shown(self):
        visible = [text for at, text in self.history if at <= now()]
        return visible[-1] if visible else "[]"

    async def handle(self, head, body, reader, writer):
        page = '{"instances":' + self.shown() + ',"nextToken":null}'
        self.fetches += 1
        kind = {"Content-Type": "application/json"}
        writer.write(answer(200, kind, page.encode("utf-8", "surrogateescape")))
        await writer.drain()
        return True


class Engine(Server):
    """A sound engine: model engine if `models` is a list, else a plain one."""

    def __init__(self, fleet, name, service, zone, ip, slots, models=None):
        super().__init__(ip)
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.slots, self.models, self.active, self.queued = slots, models, 0, 0
        self.state, self.born, self.sequence, self.busy = "ready", 0, 0, False
        self.adapters, self.work_ms, self.events, self.step_ms = set(), (20, 40), (8, 14), 20
        self.drops_closed, self.hook = True, None

    async def start(self):
        await super().start()
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)

    def entry(self):
        fields = {
            "id": self.name, "service": self.service, "address": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "coldRemainingMs": 0, "born": self.born,
        }
        if self.models is not None:
            fields |= {"phase": "combined", "models": self.held()}
        return fields

    def held(self):
        return [
            {"name": model, "version": 1,
             "adapters": [a for m, a in sorted(self.adapters) if m == model]}
            for model in self.models
        ]

    def sign(self, attempt):
        return {"X-Wisteriawheel-Attempt-Id": attempt,
                "X-Wisteriawheel-Response-Signature": f"{self.name}.{attempt}"}

    async def handle(self, head, body, reader, writer):
        method, path, _ = head.line.split(" ", 2)
        if path == "/health":
            writer.write(answer(200 if self.state == "ready" else 503,
                                {"X-Wisteriawheel-Instance-Id": self.name}))
            return True
        target = head.get("x-wisteriawheel-target-instance")
        own = {"X-Wisteriawheel-Instance-Id": self.name}
        if target is not None and target != self.name:
            attempt = head.get("x-wisteriawheel-attempt-id", "")
            writer.write(answer(421, own | NOT_RUN | {"X-Wisteriawheel-Attempt-Id": attempt}))
            return True
        if path == "/api/report":
            writer.write(answer(200, {"Content-Type": "application/json"}, self.report()))
            return True
        if path == "/api/order":
            status = self.order(json.loads(body))
            writer.write(answer(status))
            return True
        attempt = head.get("x-wisteriawheel-attempt-id")
        if not attempt:
            writer.write(answer(400, NOT_RUN))
            return True
        echo = {"X-Wisteriawheel-Attempt-Id": attempt}
        model = head.get("x-wisteriawheel-model")
        if self.models is not None and (model or "").split("/")[0] not in self.models:
            writer.write(answer(421, own | NOT_RUN | echo))
            return True
        if self.active + self.queued >= self.slots * 2:
            writer.write(answer(503, NOT_RUN | echo))
            return True
        self.queued += 1
        waited = asyncio.ensure_future(self.free.acquire())
        gone = asyncio.ensure_future(reader.read(1)) if self.drops_closed else None
        try:
            if gone:
                await asyncio.wait({waited, gone}, return_when=asyncio.FIRST_COMPLETED)
                if gone.done() and not waited.done():
                    return False
            else:
                await waited
        finally:
            self.queued -= 1
            if not waited.done():
                waited.cancel()
        self.active += 1
        run = self.fleet.run_begins(self, head, body)
        task = asyncio.ensure_future(self.work(run, head, writer))
        try:
            if gone:
                await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    task.cancel()
                    run["end"] = "dropped"
                    return False
            return await task
        finally:
            if gone and not gone.done():
                gone.cancel()
                try:
                    await gone
                except (asyncio.CancelledError, ConnectionError):
                    pass
            run["ended"] = now()
            self.active -= 1
            self.free.release()

    async def work(self, run, head, writer):
        attempt = run["id"]
        if self.hook:
            kept = await self.hook(self, run, head, writer)
            if kept is not None:
                return kept
        if self.models is None:
            await asyncio.sleep(random.uniform(*self.work_ms) / 1000)
            body = f"{attempt}:{self.name}:".encode() + b"x" * random.randrange(400, 1600)
            run["body"] = body
            writer.write(answer(200, self.sign(attempt), body))
            await writer.drain()
            run["end"] = "whole"
            return True
        await asyncio.sleep(random.uniform(*self.work_ms) / 1000)
        first = int(head.get("last-event-id", "0") or 0)
        last = 10 + int(attempt, 16) % 6
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(encode("HTTP/1.1 200 OK", self.sign(attempt) | kind, length=False))
        for number in range(first + 1, last + 1):
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.step_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["end"] = "whole"
        return True

    def report(self):
        return json.dumps({
            "phase": "combined", "models": self.held() if self.models is not None else [],
            "busy": self.busy, "sequence": self.sequence, "queued": self.queued,
            "active": self.active, "kvUsed": 0, "kvTotal": 244162, "handles": 0,
            "born": self.born, "state": self.state, "pending": [],
            "available": {"inMemory": [], "onDisk": list(self.models or [])},
        }).encode()

    def order(self, order):
        self.fleet.order_came(self, order)
        if not order.get("holder") or order.get("fencingToken") is None or self.models is None:
            return 400
        if order.get("expect", self.sequence) != self.sequence or self.busy:
            return 409
        model, adapter = order["model"], order.get("adapter")
        load = order["operation"] == "load"
        if adapter:
            self.sequence += 1
            (self.adapters.add if load else self.adapters.discard)((model, adapter))
            return 202 if load else 200
        if load == (model in self.models):
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().call_later(0.4 if load else 0.02, self.finish, load, model)
        return 202

    def finish(self, load, model):
        self.busy = False
        if load:
            self.models.append(model)
        elif model in self.models:
            self.models.remove(model)
            self.adapters = {pair for pair in self.adapters if pair[0] != model}


class Machine:
    """A process of the system, with the command of the deploy file."""

    def __init__(self, fleet, name, ip, zone, serves):
        self.fleet, self.name, self.ip, self.zone, self.serves = fleet, name, ip, zone, serves
        self.process, self.bootstrap = None, True
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(self.folder)

    def settings(self):
        fleet, is_core = self.fleet, self.serves == "control_plane"
        listen = (f'controlPlane = "{self.ip}:{fleet.port}"' if is_core else
                  f'frontend = "{self.ip}:{fleet.port}"\n'
                  f'readinessEndpoint = "{self.ip}:{fleet.port + 1}"')
        seeds = ",".join(f'"{core.ip}:{fleet.port}"' for core in fleet.cores[:3])
        data = f'dataDir = "{self.folder}/data"\n' if is_core else ""
        bounds = "\n".join(f"{name} = {value}" for name, value in fleet.bounds.items())
        zones = "\n".join(f'{zone} = "{fleet.region}"' for zone in fleet.zones)
        memory = 256 if is_core else 260
        return (
            f'nodeName = "{self.name}"\nrole = "x"\n'
            f'machineClass = "{"core" if is_core else "frontend"}"\nserves = ["{self.serves}"]\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "{fleet.region}"\n'
            f"internalPorts = [{fleet.port + 2},{fleet.port + 15}]\nseedNodes = [{seeds}]\n"
            f"bootstrap = {str(self.bootstrap).lower()}\n"
            f"faultCounted = {str(is_core).lower()}\n{data}"
            'discovery = "cloud_api"\nentry = "virtual_ip"\nheartbeatMs = 1200\n'
            f"contracts = {json.dumps(fleet.contracts)}\n"
            f'configMode = "highest"\n[zones]\n{zones}\n[listen]\n{listen}\n'
            f"[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n"
            f"linkMbps = 1000.0\ndiskMb = {128 if is_core else 0}\n"
            f"[faultTolerance]\nmachines = {fleet.tolerance}\nzones = 1\nregions = 0\n"
            f"[bounds]\n{bounds}\n"
            f'[cloudApi]\naddress = "{fleet.cloud.ip}:{fleet.cloud.port}"\n'
            "ratePerS = 42.0\nduties = []\nlagMs = 800\n"
        )

    def start(self):
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        if self.serves == "control_plane":
            os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env |= {"WISTERIAWHEEL_SETTINGS": path, "WISTERIAWHEEL_FLEET_SECRET": SECRET}
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen([PROGRAM, "--metrics-port", "9464"], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.record.add("start", machine=self.name, pid=self.process.pid)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.fleet.record.add("signal", machine=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def log(self):
        with open(os.path.join(self.folder, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    """A small deployment with its stand-ins."""

    contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"]
    zones = ["braga", "porto", "guimaraes"]
    region, tolerance = "pt-norte", 1

    def __init__(self, record, fronts=6, cores=3, **bounds):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="wheel-review-")
        # Drawn apart from the script's seed, so that scripts may run side by side.
        drawn = random.SystemRandom()
        self.net = f"127.{drawn.randrange(10, 250)}.{drawn.randrange(1, 250)}"
        self.port = drawn.randrange(20_000, 28_000) // 20 * 20
        self.cloud = Cloud(f"{self.net}.200")
        self.bounds = dict(
            seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=3000,
            graceS=8, lossSlackMs=200, configApplyMs=2000, downgradeSlackMs=250, maxSkewMs=5000,
            retryBudgetRatio=0.2, budgetWindowS=10, budgetExtraRetries=52, recoverS=12, passMs=120,
            retryAfterS=0, fencingEnforced="false", leaseMs=3000, thawMs=300, ceilingWindowS=5,
            loadBurstFactor=1.1) | bounds
        make = lambda kind, index, serves, base: Machine(
            self, f"{kind}-{self.zones[index % 3]}-{index // 3 + 1}", f"{self.net}.{base + index}",
            self.zones[index % 3], serves)
        self.cores = [make("core", index, "control_plane", 1) for index in range(cores)]
        self.fronts = [make("frontend", index, "frontend", 21) for index in range(fronts)]
        self.engines, self.runs, self.orders = [], [], []
        self.runs_of = collections.defaultdict(list)

    def machines(self):
        return self.cores + self.fronts

    def engine(self, name, service, zone, slots, models=None):
        ip = f"{self.net}.{60 + len(self.engines)}"
        engine = Engine(self, name, service, zone, ip, slots, models)
        self.engines.append(engine)
        return engine

    def run_begins(self, engine, head, body):
        run = {"id": head.get("x-wisteriawheel-attempt-id"), "engine": engine.name,
               "service": engine.service, "line": head.line, "body_in": body, "at": now(),
               "headers": head.headers, "end": "open"}
        self.runs.append(run)
        self.runs_of[run["id"]].append(run)
        self.record.add("run", id=run["id"], engine=engine.name)
        return run

    def order_came(self, engine, order):
        self.orders.append((now(), engine.name, order))
        self.record.add("order", engine=engine.name, order=json.dumps(order).replace(" ", ""))

    def publish(self, extra=(), without=()):
        self.cloud.publish([e.entry() for e in self.engines if e.server and e not in without], extra)

    async def start(self):
        await self.cloud.start()
        for engine in self.engines:
            await engine.start()
        self.cloud.lag_s, lag = 0.0, self.cloud.lag_s
        self.publish()
        self.cloud.lag_s = lag
        for machine in self.machines():
            machine.start()

    def end(self):
        for machine in self.machines():
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines():
            if machine.process:
                machine.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, ip, method, path, body=b"", timeout=1.5, port=None):
        """One call of the operator or the infrastructure; the status and the body, or None."""
        async def exchange():
            reader, writer = await asyncio.open_connection(ip, port or self.port)
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1",
                                    {"Host": "control", "Content-Type": "application/json"}, body))
                head = await read_head(reader)
                if head is None:
                    return None
                return int(head.line.split()[1]), await read_body(reader, head)
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None

    async def put(self, config, cores=None, limit_s=20.0, timeout=1.5):
        """Sends a configuration until it is acknowledged; when that was, or None."""
        body, end, turn = json.dumps(config).encode(), now() + limit_s, 0
        cores = cores or self.cores
        while now() < end:
            found = await self.call(cores[turn % len(cores)].ip, "PUT", "/api/configuration", body, timeout)
            turn += 1
            if found and found[0] in (200, 400, 409, 413, 422):
                self.record.add("config", version=config["version"], status=found[0])
                return now() if found[0] == 200 else None
            await asyncio.sleep(0.1)
        self.record.add("config", version=config["version"], status="none")
        return None

    async def is_ready(self, front):
        found = await self.call(front.ip, "GET", "/api/readiness", timeout=1.0, port=self.port + 1)
        return found is not None and found[0] == 200

    async def wait_ready(self, fronts=None, limit_s=20.0):
        end = now() + limit_s
        for front in fronts or self.fronts:
            while not await self.is_ready(front):
                if now() > end:
                    return False
                await asyncio.sleep(0.1)
        return True


class Request:
    """One attempt of a consumer, with its outcome."""

    def __init__(self, route, front, method, path, headers, body, stream):
        self.id = f"{random.getrandbits(64):016x}"
        self.route, self.front, self.method, self.path = route, front, method, path
        self.headers, self.body, self.stream = headers, body, stream
        self.sent = self.ended = self.status = self.signature = None
        self.events, self.data, self.whole, self.note = [], b"", False, ""


class Channels:
    """The channels that consumers keep open to front machines."""

    def __init__(self, fleet):
        self.fleet, self.idle = fleet, collections.defaultdict(list)

    async def take(self, front, fresh):
        while self.idle[front.ip] and not fresh:
            reader, writer, since = self.idle[front.ip].pop()
            if now() - since < 10 and not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.wait_for(
            asyncio.open_connection(front.ip, self.fleet.port, limit=1 << 17), 1.0)

    async def send(self, request, deadline_s=5.0, fresh=False, leave_after=None):
        """Sends a request and reads its answer."""
        request.sent = now()
        try:
            limit = deadline_s if leave_after is None else leave_after
            await asyncio.wait_for(self.exchange(request, deadline_s, fresh), limit)
        except asyncio.TimeoutError:
            request.note = "left"
        except (OSError, EOFError) as error:
            request.note = f"cut {type(error).__name__}"
        request.ended = now()
        self.fleet.record.add(
            "request", id=request.id, route=request.route, front=request.front.name,
            sent=f"{request.sent - self.fleet.record.began:.3f}", status=request.status,
            whole=request.whole, note=request.note or "-")
        return request

    async def exchange(self, request, deadline_s, fresh):
        reader, writer = await self.take(request.front, fresh)
        keeps = False
        try:
            headers = {"Host": "site.example", "X-Wisteriawheel-Attempt-Id": request.id,
                       "X-Wisteriawheel-Deadline-Ms": str(int(deadline_s * 1000))}
            line = f"{request.method} {request.path} HTTP/1.1"
            writer.write(encode(line, headers | request.headers, request.body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                request.note = "no answer"
                return
            request.status = int(head.line.split()[1])
            request.signature = head.get("x-wisteriawheel-response-signature")
            request.answer_id = head.get("x-wisteriawheel-attempt-id")
            request.reason = ""
            if "chunked" in head.get("transfer-encoding", "").lower():
                async for chunk in read_chunks(reader):
                    request.data += chunk
            elif "content-length" in head.headers:
                request.data = await read_body(reader, head)
            else:
                request.data = await reader.read()
            request.whole = True
            keeps = head.get("connection", "").lower() != "close"
        finally:
            if keeps:
                self.idle[request.front.ip].append((reader, writer, now()))
            else:
                writer.close()


def events_of(data):
    """The data of the events in a stream."""
    found = []
    for event in data.decode("latin-1").split("\n\n"):
        for line in event.split("\n"):
            if line.startswith("data: "):
                found.append(line[6:])
    return found


def base_config(version=1, **more):
    """Routes and services like those of rota-biblio, with a few models."""
    route = lambda name, prefix, kind, timeout, aim, rank, service, attempts, **fields: {
        "name": name, "host": "site.example", "pathPrefix": prefix, "routeType": kind,
        "timeoutMs": timeout, "targetLatencyMs": aim, "priority": rank, "service": service,
        "maxAttempts": attempts} | fields
    models = [{"name": f"m{index}", "weightsMb": 65100.0, "loadS": 6.0, "adapters": 8,
               "adapterMb": 12.0, "warmS": 0.38, "diskS": 1.0} for index in range(6)]
    return {
        "version": version,
        "routes": [
            route("desk-query", "/desk/", "streaming", 5000, 250, 0, "lm-rota", 2, sticky=True,
                  resumable=True, targetGapMs=250),
            route("patron-notice", "/notice/", "streaming", 17000, 6000, 2, "lm-rota", 1,
                  sticky=True, resumable=False, targetGapMs=250),
            route("hold-place", "/hold/", "non_idempotent", 1200, 150, 2, "circ-app", 1),
            route("catalogue-read", "/read/", "idempotent", 1200, 150, 2, "circ-app", 2),
        ],
        "services": [
            {"name": "lm-rota", "healthPath": "/health", "maxConnections": 360, "protocol": "h1",
             "tls": False, "engine": {
                 "slots": 64, "kvCacheTokens": 244162, "kvBytes": 163840, "linkMbps": 1100000.0,
                 "moves": True, "backups": True, "stride": 5, "maxCount": 12, "hostMb": 150000.0,
                 "diskMb": 1300000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                 "models": models, "weightsMb": 220000.0, "adapterSlots": 8, "loadsPerS": 3.5}},
            {"name": "circ-app", "healthPath": "/health", "maxConnections": 96, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    } | more


def make_request(route, front, headers=None, model=None, usage=None):
    """A request of one kind."""
    headers = dict(headers or {})
    stream = route in ("desk-query", "patron-notice")
    if stream:
        model = model or f"m{random.randrange(3)}"
        prompt = random.randrange(200, 900)
        usage = usage or (prompt, 80)
        headers |= {"X-Wisteriawheel-Model": model,
                    "X-Wisteriawheel-Token-Usage": f"{usage[0]},{usage[1]}",
                    "X-Wisteriawheel-Prompt-Prefix": f"a1:90,b{random.randrange(50)}:60,"
                                                     f"{random.getrandbits(40):x}:{usage[0]}"}
    prefix = {"desk-query": "/desk/", "patron-notice": "/notice/", "hold-place": "/hold/",
              "catalogue-read": "/read/"}[route]
    method = "GET" if route == "catalogue-read" else "POST"
    body = b"" if method == "GET" else os.urandom(150).hex().encode()
    return Request(route, front, method, f"{prefix}{random.randrange(9)}?q={random.randrange(99)}",
                   headers, body, stream)


DEADLINES = {"desk-query": 5.0, "patron-notice": 17.0, "hold-place": 2.5, "catalogue-read": 2.5}
REPEATABLE = {"desk-query", "catalogue-read"}


LIMIT_S = 117.0


def run_case(main):
    """Runs a case; 2 if it takes too long or fails itself."""
    async def limited():
        try:
            return await asyncio.wait_for(main(), LIMIT_S)
        except asyncio.TimeoutError:
            print("no verdict in time")
            return 2
        except Exception as error:  # A script that fails has shown nothing.
            print(f"no verdict: {error!r}")
            return 2
    return asyncio.run(limited())
