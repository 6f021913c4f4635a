"""A model engine that batches its requests, with the figures of the sheet of rota-biblio."""

import asyncio

from kit import Engine, NOT_RUN, answer, encode, now

STEP_MS, SLOT_MS, TOKENS_PER_MS, CHUNK, STRIDE = 4.43, 0.0194, 38.1, 1024, 5


class ModelEngine(Engine):
    """Reads prompts in pieces between the tokens of other requests; `slow` stretches each step.

    `drops` tells whether it drops a request when its channel closes.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slow, self.drops = 1.0, True
        self.waiting, self.batch, self.kept = [], [], set()
        self.wake = asyncio.Event()
        self.stepping = None

    async def start(self):
        await super().start()
        self.stepping = asyncio.ensure_future(self.steps())

    async def stop(self, reset=False):
        if self.stepping:
            self.stepping.cancel()
        await super().stop(reset)

    async def handle(self, head, body, reader, writer):
        method, path, _ = head.line.split(" ", 2)
        attempt = head.get("x-wisteriawheel-attempt-id")
        target = head.get("x-wisteriawheel-target-instance")
        model = (head.get("x-wisteriawheel-model") or "").split("/")[0]
        echo = {"X-Wisteriawheel-Attempt-Id": attempt or ""}
        if path.startswith("/api/") or path == "/health" or not attempt or target != self.name:
            return await super().handle(head, body, reader, writer)
        if model not in self.models:
            own = {"X-Wisteriawheel-Instance-Id": self.name}
            writer.write(answer(421, own | NOT_RUN | echo))
            return True
        if len(self.waiting) >= 192:
            writer.write(answer(503, NOT_RUN | echo))
            return True
        parts = [part.split(":") for part in head.get("x-wisteriawheel-prompt-prefix").split(",")]
        unread, known = 0, True
        chain = model
        for name, tokens in parts:
            chain += "/" + name
            known = known and chain in self.kept
            unread += 0 if known else int(tokens)
        run = self.fleet.run_begins(self, head, body)
        run |= {"unread": unread, "chain": chain, "model": model, "parts": parts, "tokens": 0,
                "urgency": int(head.get("x-wisteriawheel-request-urgency", "5")),
                "first": int(head.get("last-event-id", "0") or 0),
                "last": int(head.get("x-review-events", "14")),
                "queue": asyncio.Queue(), "begun": None, "dropped": False}
        self.waiting.append(run)
        self.wake.set()
        return await self.stream(run, reader, writer)

    async def stream(self, run, reader, writer):
        closed = asyncio.ensure_future(reader.read(1))
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        has_head = False
        try:
            while True:
                taken = asyncio.ensure_future(run["queue"].get())
                await asyncio.wait({taken, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not taken.done():
                    taken.cancel()
                    run["closed"] = now()
                    run["dropped"] = self.drops
                    return False
                number = taken.result()
                if not has_head:
                    has_head = True
                    writer.write(encode("HTTP/1.1 200 OK", self.sign(run["id"]) | kind, length=False))
                if number is None:
                    writer.write(b"0\r\n\r\n")
                    await writer.drain()
                    return True
                event = f"id: {number}\ndata: {run['id']}-{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
        except ConnectionError:
            run["closed"] = now()
            run["dropped"] = self.drops
            return False
        finally:
            if not closed.done():
                closed.cancel()
            try:
                await closed
            except (asyncio.CancelledError, ConnectionError):
                pass

    def end(self, run, how):
        run["ended"], run["end"] = now(), how
        self.batch.remove(run)

    async def steps(self):
        while True:
            for run in [run for run in self.batch if run["dropped"]]:
                self.end(run, "dropped")
            for run in [run for run in self.waiting if run["dropped"]]:
                self.waiting.remove(run)
                run["ended"], run["end"] = now(), "dropped"
            self.waiting.sort(key=lambda run: (run["urgency"], run["at"]))
            while self.waiting and len(self.batch) < self.slots:
                run = self.waiting.pop(0)
                self.batch.append(run)
            self.active = len(self.batch)
            if not self.batch:
                self.wake.clear()
                await self.wake.wait()
                continue
            budget, read = CHUNK, []
            for run in sorted(self.batch, key=lambda run: (run["urgency"], run["at"])):
                part = min(budget, run["unread"])
                if part:
                    read.append((run, part))
                    budget -= part
                    run["begun"] = run["begun"] or now()
            writes = [run for run in self.batch if not run["unread"]]
            for run in writes:
                run["begun"] = run["begun"] or now()
            ms = STEP_MS + SLOT_MS * len(self.batch) + (CHUNK - budget) / TOKENS_PER_MS
            await asyncio.sleep(ms * self.slow / 1000)
            for run, part in read:
                run["unread"] -= part
                if not run["unread"]:
                    chain = run["model"]
                    for name, _ in run["parts"]:
                        chain += "/" + name
                        self.kept.add(chain)
                    writes.append(run)
            for run in writes:
                run["tokens"] += 1
                number, rest = divmod(run["tokens"], STRIDE)
                if rest:
                    continue
                event = run["first"] + number
                if event <= run["last"]:
                    run["queue"].put_nowait(event)
                if event >= run["last"]:
                    run["queue"].put_nowait(None)
                    self.end(run, "whole")
