"""A runner that takes no more channels loses an answer; see claim.txt."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fleet2"))
import fleet as f  # noqa: E402

FOR_S = 5.5  # of the impairment
EVERY = 34  # of the runs that begin at the runner meanwhile, at most one in this many loses its answer
OVERLAP_S = 0.4
WARM_UP_S = 11  # an entry that has just started sends nothing again
CALLERS = 36
f.Runner.streams_out = 160  # pieces: 8 s


class Engine(f.Runner):
    """Replicates and copies memory. While its queue is long, it resets channels beyond those that are open."""

    def __init__(self, *words):
        super().__init__(*words)
        self.replicas = {}
        self.limit = None
        self.waiting = 0
        self.answers = 0
        self.to_lose = 0
        self.channels = 0

    def report(self):
        return dict(super().report(), queued=self.waiting)

    async def serve(self, reader, writer):
        self.channels += 1
        self.writers.add(writer)
        await self.update_listener()
        try:
            while True:
                line, headers = await f.read_head(reader)
                method, path, _ = line.split(" ")
                body = await f.read_body(reader, headers)
                self.answers += 1
                if path == "/-/report":
                    writer.write(f.json_answer(200, self.report()))
                elif path == "/-/kv-move":
                    writer.write(await self.move(json.loads(body)))
                elif path.startswith("/-/"):
                    writer.write(f.json_answer(404, {}))
                elif headers.get("x-expect-instance") != self.id:
                    writer.write(f.answer(421, "Misdirected Request", [("X-Instance-Id", self.id)]))
                else:
                    await self.run(reader, writer, method, path, headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.channels -= 1
            self.writers.discard(writer)
            writer.close()
            await self.update_listener()

    async def update_listener(self):
        """While it takes no more channels, it has no listener, so that new ones are reset."""
        full = self.limit is not None and self.channels >= self.limit
        if full and self.server.is_serving():
            self.record(self.name, "takes no more channels:", self.channels)
            self.server.close()
        elif not full and not self.server.is_serving():
            self.record(self.name, "takes channels again:", self.channels)
            self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def run(self, reader, writer, method, path, headers, body):
        request, source = headers["x-request-id"], headers.get("kv-from", "")
        if source and self.replicas.pop(source.partition("/")[2], None) is None:
            writer.write(f.answer(503, "Service Unavailable", [("X-Request-Id", request), ("X-Not-Executed", "1")]))
            return
        run = self.begin(headers, path)
        run.lost = False
        replica = next((other for other in self.fleet.runners if other.address == headers.get("x-kv-backup")), None)
        await asyncio.sleep(self.prompt_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                "X-Weight-Versions: 1", f"X-Request-Id: {request}", f"X-Response-Stamp: {self.id}.{request}"]
        await self.deliver(run, writer, ("\r\n".join(head) + "\r\n\r\n").encode())
        while run.event < self.streams_out and not run.stopped:
            if self.to_lose and run.event > 4 and replica:
                self.to_lose -= 1
                run.lost = True
                self.record("answer lost", request, "at", self.name, "after piece", run.event, "while it runs on")
            run.event += 1
            if replica and run.event % 4 == 0:
                replica.replicas[request] = run.event
            piece = f"id: {run.event}\ndata: {request} piece {run.event}\n\n".encode()
            if not await self.deliver(run, writer, f"{len(piece):x}\r\n".encode() + piece + b"\r\n"):
                self.end(run, "dropped")
                raise ConnectionError
            await asyncio.sleep(self.event_s)
        self.end(run, "stopped by kv-move" if run.stopped else "complete")
        if run.stopped or run.lost:
            raise ConnectionError
        await super().deliver(run, writer, b"0\r\n\r\n")

    async def deliver(self, run, writer, data):
        return True if run.lost else await super().deliver(run, writer, data)


def overlaps(fleet):
    found = []
    runs = [(runner, run) for runner in fleet.runners for run in runner.runs]
    for runner, run in runs:
        for other, later in runs:
            if other is runner or later.request != run.request or later.began <= run.began or later.after == 0:
                continue
            worked = (run.ended or time.monotonic()) - later.began
            if worked > OVERLAP_S:
                found.append((run.request, runner.name, other.name, later.after, worked))
    return found


async def caller(fleet, number, ends):
    client = f.Client(fleet, fleet.entries[number % len(fleet.entries)])
    while time.monotonic() < ends:
        extra = [("X-Model", "m"), ("X-Token-Count", "1460,640"), ("X-Prefix-Hash", f"5c1e07a2:800,{number:x}:660")]
        await client.call("/card/2f", body=b"card", budget_ms=39000, extra=extra)
        await asyncio.sleep(0.2)
    client.close()


async def case(folder):
    fleet = f.Fleet(folder, runner=Engine)
    try:
        await fleet.start()
        now = time.monotonic()
        callers = [asyncio.create_task(caller(fleet, number, now + WARM_UP_S + FOR_S)) for number in range(CALLERS)]
        await asyncio.sleep(WARM_UP_S)
        impaired = max(fleet.runners, key=lambda runner: len(runner.active()))
        impaired.limit, impaired.waiting = impaired.channels, 12
        await impaired.update_listener()
        answers = impaired.answers
        if f.TROUBLE:
            impaired.to_lose = 1
        await asyncio.sleep(FOR_S)
        answers = impaired.answers - answers
        fleet.record(1 - impaired.to_lose if f.TROUBLE else 0, "of", answers, "answers of", impaired.name, "were lost")
        impaired.limit, impaired.waiting = None, 0
        await impaired.update_listener()
        await asyncio.gather(*callers)
        if answers < EVERY:
            raise f.CannotRun(f"only {answers} answers")
        found = overlaps(fleet)
        for request, first, second, after, worked in found:
            fleet.record("TWICE: request", request, "went on at", second, "after piece", after, "while", first,
                         f"worked on it for {worked * 1000:.0f} ms more")
        fleet.record("verdict:", "broken" if found else "held", len(found))
        return 1 if found else 0
    finally:
        fleet.stop()


f.main(os.path.dirname(os.path.abspath(__file__)), case)
