"""The channel of an answer without a length is closed while its run goes on; see claim.txt."""

import asyncio
import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fleet2"))
import fleet as f  # noqa: E402

FOR_S = 5.5  # of the impairment
IMPAIRED = 3  # runners of six
EVERY = 34  # of the runs that begin at these runners meanwhile, one in this many loses its answer
LOST_AFTER = 5  # pieces
CALLERS = 110
f.Runner.streams_out = 80  # pieces: 4 s


class Unframed(f.Runner):
    """Its answers have neither a length nor chunks, and end with their channels."""

    until = 0.0
    begun = EVERY // 2
    impaired = False

    async def run(self, reader, writer, method, path, headers, body):
        run = self.begin(headers, path)
        run.loses_answer = False
        if self.impaired and time.monotonic() < Unframed.until:
            Unframed.begun += 1
            run.loses_answer = Unframed.begun % EVERY == 0
        await asyncio.sleep(self.prompt_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close", "X-Weight-Versions: 1",
                f"X-Request-Id: {run.request}", f"X-Response-Stamp: {self.id}.{run.request}"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        while run.event < self.streams_out and not run.stopped:
            run.event += 1
            if not (run.loses_answer and run.event > LOST_AFTER):
                piece = f"id: {run.event}\ndata: {run.request} piece {run.event}\n\n".encode()
                if not await self.deliver(run, writer, piece):
                    self.end(run, "dropped")
                    raise ConnectionError
            elif run.event == LOST_AFTER + 1:
                self.record("answer lost", run.request, "at", self.name, "which runs it to its end")
                writer.close()
            await asyncio.sleep(self.event_s)
        self.end(run, "stopped by kv-move" if run.stopped else "complete")
        raise ConnectionError


async def caller(fleet, number, starts, found):
    await asyncio.sleep(max(0, starts - time.monotonic()))
    client = f.Client(fleet, fleet.entries[number % len(fleet.entries)])
    extra = [("X-Model", "m"), ("X-Token-Count", "1460,320"), ("X-Prefix-Hash", f"5c1e07a2:800,{number:x}:660")]
    request, status, _, received, whole = await client.call("/card/2f", body=b"card", budget_ms=39000, extra=extra)
    client.close()
    pieces = [int(piece) for piece in re.findall(rb"^id: (\d+)$", received, re.M)]
    runs = [run for runner in fleet.runners for run in runner.runs if run.request == request]
    if status == 200 and whole and pieces != list(range(1, f.Runner.streams_out + 1)):
        found.append((request, len(pieces), len(runs)))
        fleet.record("ORDER: the stream of", request, "ended as complete after", len(pieces), "of",
                     f.Runner.streams_out, "pieces")


async def case(folder):
    fleet = f.Fleet(folder, runner=Unframed)
    for runner in fleet.runners[:IMPAIRED]:
        runner.impaired = True
    try:
        await fleet.start()
        now = time.monotonic()
        if f.TROUBLE:
            Unframed.until = now + FOR_S
            fleet.record("answers are lost at", IMPAIRED, "runners for", FOR_S, "s")
        found = []
        await asyncio.gather(*(caller(fleet, number, now + number * 5.0 / CALLERS, found) for number in range(CALLERS)))
        served = sum(run.ended is not None for runner in fleet.runners for run in runner.runs)
        if served < CALLERS / 2:
            raise f.CannotRun(f"only {served} runs")
        fleet.record("verdict:", "broken" if found else "held", len(found), "of", served, "runs")
        return 1 if found else 0
    finally:
        fleet.stop()


f.main(os.path.dirname(os.path.abspath(__file__)), case)
