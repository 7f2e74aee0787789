"""A small deployment on loopback: the daemons of deploy/system.toml as separate processes, and stand-ins for the
platform's store, the runners and the clients, as the users' pages describe them. Python's standard library only."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up. The script exits with 2."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------------


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, reason, headers=(), body=b""):
    head = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends the channel with a reset."""
    linger_zero = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_zero)
    writer.transport.abort()


def json_answer(status, value):
    return answer(status, "OK" if status == 200 else "Error", [("Content-Type", "application/json")],
                  json.dumps(value).encode())


# --- The platform's store ---------------------------------------------------------------------------------------


class Store:
    history_s = 20
    answer_s = 0.004

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.reads = 0
        self.writers = set()
        self.forgotten = 0

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["createRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "createRev": created, "lease": 0}
        self.items[key] = item
        self._publish(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "tombstone": True})

    def _publish(self, event):
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                self.reads += 1
                path, _, text = line.split(" ")[1].partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                writer.write(await self.reply(path, query))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def events(self, prefix, after):
        """Returns None if the history after the revision is no longer available."""
        oldest = time.monotonic() - self.history_s
        while self.history and self.history[0][0] < oldest:
            self.forgotten = self.history.pop(0)[1]["revision"]
        if after < self.forgotten:
            return None
        return [event for _, event in self.history if event["revision"] > after and event["key"].startswith(prefix)]

    async def reply(self, path, query):
        await asyncio.sleep(self.answer_s)
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return json_answer(200, {"items": [self.items[key] for key in keys[:500]],
                                     "truncated": len(keys) > 500, "asOf": self.revision})
        if path == "/-/kv-watch":
            after = int(query["after"])
            ends = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = self.events(query["prefix"], after)
                if events is None:
                    self.record("store: history after", after, "is no longer available")
                    return json_answer(410, {})
                left = ends - time.monotonic()
                if events or left <= 0:
                    return json_answer(200, {"events": events, "asOf": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-key" and query.get("key") in self.items:
            return json_answer(200, dict(self.items[query["key"]], asOf=self.revision))
        return json_answer(404, {})


# --- Runners ----------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, request, first):
        self.request = request
        self.event = self.after = first - 1
        self.began = time.monotonic()
        self.ended = None
        self.stopped = False


class Runner:
    """A runner of a model service, or of a plain one. Sound unless a case overrides a method."""

    event_s = 0.05
    prompt_s = 0.2
    work_s = 0.03
    streams_out = 60

    def __init__(self, fleet, name, service, zone, ip, port, engine):
        self.fleet, self.name, self.service, self.zone, self.ip, self.port = fleet, name, service, zone, ip, port
        self.engine = engine
        self.record = fleet.record
        self.id = "i-" + name
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.runs = []
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.announce()

    def announce(self):
        self.seq += 1
        self.fleet.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 24,
            "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]})

    def active(self):
        return [run for run in self.runs if run.ended is None]

    def report(self):
        running = self.active()
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                "seq": self.seq, "queued": 0, "active": len(running), "kvUsed": 1000 * len(running),
                "kvTotal": 90000, "handles": 0, "state": self.state, "born": self.born, "nextToken": 0,
                "pinned": 0, "held": 0,
                "runs": [[run.request, 1000, run.event, 5] for run in running if run.event > 0]}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                if path == "/-/report":
                    writer.write(json_answer(200, self.report()))
                elif path == "/healthz":
                    writer.write(answer(200, "OK", [("X-Instance-Id", self.id)]))
                elif path == "/-/kv-move":
                    writer.write(await self.move(json.loads(body)))
                elif path.startswith("/-/"):
                    writer.write(json_answer(404, {}))
                elif headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(answer(421, "Misdirected Request", [("X-Instance-Id", self.id)]))
                else:
                    await self.run(reader, writer, method, path, headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def begin(self, headers, path):
        request = headers.get("x-request-id", "")
        run = Run(request, int(headers.get("last-event-id", "0")) + 1)
        self.runs.append(run)
        self.record("run", request, "at", self.name, path, "after event", headers.get("last-event-id", "-"),
                    "from", headers.get("kv-from", "-"), "tenant", headers.get("x-tenant", "-"))
        return run

    def end(self, run, how):
        run.ended = time.monotonic()
        self.record("end", run.request, "at", self.name, how, "events up to", run.event)

    async def run(self, reader, writer, method, path, headers, body):
        run = self.begin(headers, path)
        stamp = [("X-Request-Id", run.request), ("X-Response-Stamp", f"{self.id}.{run.request}")]
        if not self.engine:
            await asyncio.sleep(self.work_s)
            self.end(run, "complete")
            writer.write(answer(200, "OK", stamp, f"{self.id} {run.request}\n".encode()))
            return
        await asyncio.sleep(self.prompt_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                "X-Weight-Versions: 1"] + [f"{name}: {value}" for name, value in stamp]
        await self.deliver(run, writer, ("\r\n".join(head) + "\r\n\r\n").encode())
        while run.event < self.streams_out and not run.stopped:
            run.event += 1
            data = f"id: {run.event}\ndata: {run.request} piece {run.event}\n\n".encode()
            if not await self.deliver(run, writer, f"{len(data):x}\r\n".encode() + data + b"\r\n"):
                self.end(run, "dropped")
                raise ConnectionError
            await asyncio.sleep(self.event_s)
        if run.stopped:
            self.end(run, "stopped by kv-move")
            raise ConnectionError
        await self.deliver(run, writer, b"0\r\n\r\n")
        self.end(run, "complete")

    async def deliver(self, run, writer, data):
        """Returns whether the run goes on. A sound runner drops a request when its channel closes."""
        if writer.is_closing() or writer.transport.is_closing():
            return False
        try:
            writer.write(data)
            await writer.drain()
        except ConnectionError:
            return False
        return True

    async def move(self, command):
        for run in self.active():
            if run.request == command.get("id"):
                if command.get("last"):
                    run.stopped = True
                self.record("kv-move", run.request, "at", self.name, "to", command.get("to"),
                            "last" if command.get("last") else "copy")
                return json_answer(503, {"handle": f"h-{run.request}", "createRev": run.event}
                                   if command.get("last") else {})
        self.record("kv-move", command.get("id"), "at", self.name, "no such run")
        return json_answer(404, {})


# --- The fleet --------------------------------------------------------------------------------------------------


def render(template, fields):
    """The part of the platform's template language that the deploy folder uses."""

    def look_up(path, scope):
        for level in reversed(scope):
            value = level
            try:
                for part in path.split("."):
                    value = value[int(part)] if isinstance(value, list) else value[part]
                return value
            except (KeyError, IndexError, TypeError, ValueError):
                continue
        return None

    def expand(text, scope):
        found = re.search(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", text, re.S)
        if found:
            value = look_up(found.group(1), scope)
            items = list(value.items()) if isinstance(value, dict) else list(enumerate(value or []))
            parts = []
            for position, (key, entry) in enumerate(items):
                inner = found.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(entry))
                inner = inner.replace("{{,}}", "," if position + 1 < len(items) else "")
                parts.append(inner)
            return expand(text[:found.start()], scope) + "".join(parts) + expand(text[found.end():], scope)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda name: str(look_up(name.group(1), scope) or 0), text)

    return expand(template, [fields])


class Daemon:
    def __init__(self, fleet, role, fields):
        self.fleet, self.role, self.fields, self.name = fleet, role, fields, fields["nodeName"]
        self.process = None
        self.path = os.path.join(fleet.folder, self.name + ".yaml")

    def write_settings(self):
        definition = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, definition["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.fields)
        with open(self.path, "w", encoding="utf-8") as settings:
            settings.write(text)
        return definition

    def start(self):
        definition = self.write_settings()
        words = [self.path if word == "/etc/cyclamenledge/node.toml" else word for word in definition["run"].split()]
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise CannotRun(f"{words[0]} is not built")
        if os.environ.get("DAEMON"):
            words[0] = os.environ["DAEMON"]
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.fleet.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.fleet.record("signal", number, "to", self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    zones = {"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-group"}
    bounds = {"graceS": 8, "budgetRatio": 0.2, "budgetSlack": 54, "budgetWindowS": 10}

    def __init__(self, folder, entries=3, engines=6, plain=3, runner=Runner, plain_runner=Runner):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            self.deploy = tomllib.load(deploy)
        self.random = random.Random(1)
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
        self.store = Store(self.record)
        self.store_address = (self.net + "1", 8742)
        self.servers = []
        names = list(self.zones)
        self.seeds = [f"{self.net}{10 + index}:8748" for index in range(min(3, entries))]
        self.entries = [Daemon(self, "entry", self.fields("front", index, names[index % 3]))
                        for index in range(entries)]
        self.runners = [runner(self, f"llm-{index}", "llm", names[index % 3], f"{self.net}{100 + index}", 8745, True)
                        for index in range(engines)]
        self.plain = [plain_runner(self, f"app-{index}", "app", names[index % 3], f"{self.net}{200 + index}", 8745,
                                   False) for index in range(plain)]
        self.agents = [Daemon(self, "agent", self.fields("side", index, names[index % 3]))
                       for index in range(engines)]
        self.config_version = 7

    def fields(self, kind, index, zone):
        ip = f"{self.net}{(10 if kind == 'front' else 100) + index}"
        return {"nodeName": f"{kind}-{index}", "zone": zone, "region": self.zones[zone], "ip": ip,
                "zones": self.zones, "portRange": [7200, 7215], "bounds": self.bounds, "seeds": self.seeds,
                "provider": {"address": f"{self.store_address[0]}:{self.store_address[1]}"},
                "listen": {"front": ip + ":8740", "ready": ip + ":8749", "control": ip + ":8748"},
                "app": ip + ":8745"}

    def routes(self):
        engine = {"service": "llm", "routeKind": "streaming", "targetLatencyMs": 1500, "gapAimMs": 180,
                  "public": False, "sticky": True, "homeRegions": [], "hostname": "kiosk.example"}
        plain = {"service": "app", "targetLatencyMs": 250, "timeoutMs": 2500, "public": False, "priority": 2,
                 "homeRegions": [], "hostname": "kiosk.example"}
        return [dict(engine, name="card", prefix="/card/", timeoutMs=39000, priority=1, maxAttempts=1,
                     resumable=False),
                dict(engine, name="note", prefix="/note/", timeoutMs=6000, priority=0, maxAttempts=2,
                     resumable=True),
                dict(plain, name="order", prefix="/order/", routeKind="non_idempotent", maxAttempts=1),
                dict(plain, name="read", prefix="/read/", routeKind="idempotent", maxAttempts=2)]

    def configuration(self):
        return {"version": self.config_version, "routes": self.routes(),
                "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 222, "coldS": 1.0,
                              "coldPerS": 38.0,
                              "engine": {"slots": 24, "kvCapacity": 90000, "kvTokenBytes": 163840,
                                         "linkMbps": 24000.0, "moves": True, "backups": True, "stride": 4,
                                         "handleS": 5.0, "models": [{"name": "m"}]}},
                             {"name": "app", "healthPath": "/healthz", "maxConns": 100, "coldS": 0.0,
                              "coldPerS": 0.0}],
                "limits": {"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000},
                "tenants": [{"name": "lights", "apiKeys": ["key-one", "key-two"], "priority": 1,
                             "homeRegions": []}]}

    async def start(self):
        try:
            self.servers.append(await asyncio.start_server(self.store.serve, *self.store_address))
            self.store.put("op/config", self.configuration())
            for runner in self.runners + self.plain:
                await runner.start()
        except OSError as failure:
            raise CannotRun(str(failure))
        for daemon in self.entries + self.agents:
            daemon.start()
        ends = time.monotonic() + 20
        for daemon in self.entries:
            while not await self.ready(daemon):
                if time.monotonic() > ends:
                    raise CannotRun(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def ready(self, daemon):
        try:
            host, port = daemon.fields["listen"]["ready"].split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def stop(self):
        for daemon in self.entries + self.agents:
            daemon.end()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One channel of a client to an entry."""

    def __init__(self, fleet, entry):
        self.fleet, self.entry, self.record = fleet, entry, fleet.record
        self.reader = self.writer = None

    async def open(self):
        host, port = self.entry.fields["listen"]["front"].split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, path, method="POST", body=b"", budget_ms=2500, request=None, key="key-one", extra=(),
                   on_bytes=None):
        """Sends one request and returns (id, status or None, headers, body, whole)."""
        request = request or f"{random.getrandbits(64):016x}"
        if self.writer is None:
            await self.open()
        head = [f"{method} {path} HTTP/1.1", "Host: kiosk.example", f"X-Request-Id: {request}",
                f"X-Deadline-Ms: {budget_ms}", f"Authorization: Bearer {key}", f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in extra]
        self.record("send", request, method, path, "to", self.entry.name, "bytes", len(body))
        status, headers, received, whole = None, {}, b"", False
        try:
            self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            line, headers = await asyncio.wait_for(read_head(self.reader), budget_ms / 1000 + 2)
            status = int(line.split(" ")[1])
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await asyncio.wait_for(self.reader.readline(), budget_ms / 1000)).split(b";")[0], 16)
                    part = await self.reader.readexactly(size + 2)
                    if size == 0:
                        whole = True
                        break
                    received += part[:-2]
                    if on_bytes:
                        on_bytes(received)
            else:
                received = await read_body(self.reader, headers)
                whole = True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as failure:
            self.record("broken", request, type(failure).__name__)
        if not whole or headers.get("connection", "").lower() == "close":
            self.close()
        pieces = len(re.findall(rb"^id: ", received, re.M))
        self.record("answer", request, "status", status, "whole" if whole else "cut", "bytes", len(received),
                    "pieces", pieces)
        return request, status, headers, received, whole


def main(folder, case):
    """Runs the coroutine case(record folder) and ends with its status."""
    try:
        status = asyncio.run(asyncio.wait_for(case(folder), 115))
    except (CannotRun, asyncio.TimeoutError) as failure:
        print("could not run:", failure or "time is over")
        status = 2
    sys.exit(status)
