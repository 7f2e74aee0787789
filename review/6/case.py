"""A second answer to a call arrives late, when a stream is moved off a leaving runner; see claim.txt."""

import asyncio
import json
import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fleet2"))
import fleet as f  # noqa: E402

FOR_S = 5.0  # of the impairment
MOST_GARBLED = 0.03  # of the answers of the impaired runner
NOTICE_S = 2.1  # of a runner that is taken away
CALLERS = 16
f.Runner.streams_out = 160  # pieces: 8 s


class Memory:
    def __init__(self, request, event):
        self.request, self.event = request, event


class Engine(f.Runner):
    """Keeps, copies and replicates the memory of its runs as PROTOCOL.md says."""

    def __init__(self, *words):
        super().__init__(*words)
        self.kept = {}  # handle: memory of a run that was stopped here
        self.copies = {}  # source/handle: memory that was copied here
        self.replicas = {}  # request: memory
        self.handles = 0
        self.leaves_at = None
        self.answers = self.garbled = 0
        self.counts = False
        self.to_break = 0  # answers to break off
        self.to_repeat = 0  # calls whose answer comes a second time, late

    def report(self):
        report = super().report()
        if self.leaves_at:
            report["leaves_ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        return report

    async def serve(self, reader, writer):
        self.writers.add(writer)
        late = None
        try:
            while True:
                line, headers = await f.read_head(reader)
                method, path, _ = line.split(" ")
                body = await f.read_body(reader, headers)
                if late:
                    # "An extra response may arrive late, at the point where the next response is expected."
                    self.record("the second answer to", late[0], "comes late at", self.name, "before that to", path,
                                body.decode("latin-1"))
                    writer.write(late[1])
                    late = None
                if self.counts:
                    self.answers += 1
                if path == "/-/report":
                    writer.write(self.with_close(f.json_answer(200, self.report())))
                elif path == "/-/kv-move":
                    moved = await self.move(json.loads(body))
                    writer.write(self.with_close(moved))
                    if self.to_repeat:
                        self.to_repeat -= 1
                        self.garbled += 1
                        late = (body.decode("latin-1"), moved)
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
            self.writers.discard(writer)
            writer.close()

    def with_close(self, answer):
        return answer.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1) if self.leaves_at else answer

    def take_memory(self, source):
        address, _, name = source.partition("/")
        if address == self.address:
            return self.kept.pop(name, None) or self.replicas.pop(name, None)
        return self.copies.pop(source, None)

    async def run(self, reader, writer, method, path, headers, body):
        request, source = headers["x-request-id"], headers.get("kv-from")
        memory = self.take_memory(source) if source else None
        if (source and not memory) or (self.leaves_at and not source):
            self.record("not run:", request, "at", self.name, "from", source or "-")
            writer.write(f.answer(503, "Service Unavailable", [("X-Request-Id", request), ("X-Not-Executed", "1")]))
            return
        run = self.begin(headers, path)
        run.text = memory.request if memory else request
        if run.text != request:
            self.fleet.mixed.append((request, run.text, self.name))
            self.record("MIXED:", request, "goes on at", self.name, "from the memory of", run.text)
        self.fleet.entry_of.setdefault(request, None)
        replica = next((other for other in self.fleet.runners if other.address == headers.get("x-kv-backup")), None)
        await asyncio.sleep(self.prompt_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                "X-Weight-Versions: 1", f"X-Request-Id: {request}", f"X-Response-Stamp: {self.id}.{request}"]
        await self.deliver(run, writer, ("\r\n".join(head) + "\r\n\r\n").encode())
        while run.event < self.streams_out and not run.stopped:
            if run.event > 0 and self.to_break and self.shares_entry(run):
                self.to_break -= 1
                self.garbled += 1
                self.record("the answer to", request, "is broken off at", self.name, "after piece", run.event)
                writer.close()
                run.open = False
            run.event += 1
            piece = f"id: {run.event}\ndata: {run.text} piece {run.event}\n\n".encode()
            if replica and run.event % 4 == 0:
                replica.replicas[request] = Memory(run.text, run.event)
            if getattr(run, "open", True) and not await self.deliver(
                    run, writer, f"{len(piece):x}\r\n".encode() + piece + b"\r\n"):
                self.end(run, "dropped")
                raise ConnectionError
            await asyncio.sleep(self.event_s)
        if run.stopped:
            self.end(run, "stopped by kv-move")
            raise ConnectionError
        await self.deliver(run, writer, b"0\r\n\r\n")
        self.end(run, "complete")

    def shares_entry(self, run):
        """Whether the entry of the run has other streams here."""
        entry = self.fleet.entry_of.get(run.request)
        return sum(self.fleet.entry_of.get(other.request) == entry and other.event > 0 for other in self.active()) > 1

    async def move(self, command):
        run = next((run for run in self.active() if run.request == command["id"] and run.event > 0), None)
        if run is None:
            return f.json_answer(404, {})
        last = command.get("last", False)
        if last:
            run.stopped = True
        await asyncio.sleep(0.02)
        self.handles += 1
        handle, memory = f"h{self.handles}", Memory(run.text, run.event)
        if last:
            self.kept[handle] = memory
        destination = next((other for other in self.fleet.runners if other.address == command.get("to")), None)
        room = destination is not None and not destination.full
        self.record("kv-move", command["id"], "at", self.name, "to", command.get("to"), "last" if last else "copy",
                    "200" if room else "503", handle)
        if not room:
            return f.json_answer(503, {"handle": handle, "createRev": run.event} if last else {})
        destination.copies[f"{self.address}/{handle}"] = memory
        return f.json_answer(200, {"handle": handle, "createRev": run.event})

    full = False

    def leave(self):
        self.leaves_at = time.monotonic() + NOTICE_S
        self.state = "draining"
        self.record(self.name, "leaves in", NOTICE_S, "s")
        self.announce()


async def caller(fleet, number, ends, foreign):
    entry = fleet.entries[number % len(fleet.entries)]
    client = f.Client(fleet, entry)
    while time.monotonic() < ends:
        request = f"{f.random.getrandbits(64):016x}"
        fleet.entry_of[request] = entry.name
        extra = [("X-Model", "m"), ("X-Token-Count", "1460,640"), ("X-Prefix-Hash", f"5c1e07a2:800,{number:x}:660")]
        _, status, _, received, whole = await client.call("/card/2f", body=b"card", budget_ms=39000, extra=extra,
                                                          request=request)
        others = {name for name in re.findall(rb"^data: (\w+) ", received, re.M) if name.decode() != request}
        if others:
            foreign.append(request)
            fleet.record("MIXED: the client of", request, "got pieces of", b", ".join(others).decode())
        if status != 200:
            await asyncio.sleep(0.2)
    client.close()


async def case(folder):
    fleet = f.Fleet(folder, entries=2, engines=6, runner=Engine)
    fleet.mixed, fleet.entry_of = [], {}
    foreign = []
    try:
        await fleet.start()
        now = time.monotonic()
        callers = [asyncio.create_task(caller(fleet, number, now + 12, foreign)) for number in range(CALLERS)]
        await asyncio.sleep(2)
        # The runner at which one entry has most streams.
        impaired = max(fleet.runners, key=lambda runner: len(runner.active()))
        impaired.counts = True
        await asyncio.sleep(1)
        for other in fleet.runners:
            other.full = True
        if f.TROUBLE:
            fleet.record("impairment of", impaired.name, "for", FOR_S, "s, of which 1 s is over")
            impaired.to_break = impaired.to_repeat = 1
        await asyncio.sleep(0.3)
        for other in fleet.runners:
            other.full = False
        impaired.leave()
        await asyncio.sleep(FOR_S - 1.3)
        share = impaired.garbled / max(1, impaired.answers)
        fleet.record(impaired.garbled, "of", impaired.answers, "answers of", impaired.name, "were garbled")
        impaired.counts = False
        if share > MOST_GARBLED:
            raise f.CannotRun(f"{share:.3f} of the answers were garbled")
        await asyncio.gather(*callers)
        fleet.record("verdict:", "broken" if fleet.mixed or foreign else "held", len(fleet.mixed), "runs",
                     len(foreign), "answers")
        return 1 if fleet.mixed or foreign else 0
    finally:
        fleet.stop()


f.main(os.path.dirname(os.path.abspath(__file__)), case)
