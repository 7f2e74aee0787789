"""A resumable stream pauses at a runner that works on; see claim.txt."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fleet2"))
import fleet as f  # noqa: E402

FOR_S = 6.5  # of the impairment
SHARE = 0.42  # of the requests at the one impaired runner of six
OVERLAP_S = 0.4
WARM_UP_S = 9


f.Runner.streams_out = 90  # 4.5 s


class Impaired(f.Runner):
    """Works on each request to its end. While it is impaired, a share of its runs deliver nothing after some pieces."""

    muted_until = 0.0

    async def deliver(self, run, writer, data):
        if not hasattr(run, "muted"):
            run.muted = time.monotonic() < self.muted_until and self.fleet.random.random() < SHARE
        if run.muted and run.event > 5:
            if run.event == 6:
                self.record("muted", run.request, "at", self.name)
            return True
        return await super().deliver(run, writer, data)


def overlaps(fleet):
    found = []
    runs = [(runner, run) for runner in fleet.runners for run in runner.runs]
    for runner, run in runs:
        for other, later in runs:
            if other is runner or later.request != run.request or later.began <= run.began or later.first == 1:
                continue
            worked = (run.ended or time.monotonic()) - later.began
            if worked > OVERLAP_S:
                found.append((run.request, runner.name, other.name, later.first - 1, worked))
    return found


async def caller(fleet, number, ends):
    client = f.Client(fleet, fleet.entries[number % len(fleet.entries)])
    while time.monotonic() < ends:
        extra = [("X-Model", "m"), ("X-Token-Count", "1460,240"), ("X-Prefix-Hash", f"5c1e07a2:800,{number:x}:660")]
        await client.call("/note/2f", body=b"note", budget_ms=6000, extra=extra)
        await asyncio.sleep(0.2)
    client.close()


async def case(folder):
    fleet = f.Fleet(folder)
    impaired = Impaired(fleet, "llm-0", "llm", "suva-a", f"{fleet.net}100", 8745, True)
    fleet.runners[0] = impaired
    begin = f.Runner.begin

    def begin_and_keep_first(self, headers, path):
        run = begin(self, headers, path)
        run.first = run.event + 1
        return run

    f.Runner.begin = begin_and_keep_first
    try:
        await fleet.start()
        # An entry that has just started sends nothing again.
        await asyncio.gather(*(caller(fleet, number, time.monotonic() + WARM_UP_S) for number in range(6)))
        if f.TROUBLE:
            impaired.muted_until = time.monotonic() + FOR_S
            fleet.record("impairment of", impaired.name, "for", FOR_S, "s")
        await asyncio.gather(*(caller(fleet, number, time.monotonic() + FOR_S) for number in range(12)))
        await asyncio.sleep(1)
        served = sum(run.ended is not None for runner in fleet.runners for run in runner.runs)
        if served < 20:
            raise f.CannotRun(f"only {served} runs")
        found = overlaps(fleet)
        for request, first, second, after, worked in found:
            fleet.record("TWICE: request", request, "went on at", second, "after event", after, "while", first,
                         f"worked on it for {worked * 1000:.0f} ms more")
        fleet.record("verdict:", "broken" if found else "held", len(found), "of", served, "runs")
        return 1 if found else 0
    finally:
        fleet.stop()


f.main(os.path.dirname(os.path.abspath(__file__)), case)
