"""Stand-ins for the scripts of this review: a store, workers and callers on
loopback, and real kingcuphub-instance processes between them. Python's
standard library only.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD = 0
BROKEN = 1
CANNOT_RUN = 2

# The bounds of the small deployments (zer-core and soyapath-kl on SYSTEM.md).
BOUNDS = {
    "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
    "stable_window_ms": 3000, "loss_slack_ms": 200,
    "retry_budget_ratio": 0.2, "retry_budget_extra": 56, "budget_window_s": 10,
    "quota_window_s": 8, "lease_ms": 3000,
}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def note(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.begun, text))
        self.file.flush()


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class CannotRun(Exception):
    pass


# --- HTTP ---------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = dict(
            part.partition("=")[::2] for part in query.split("&") if part)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def response(status, headers, body):
    lines = ["HTTP/1.1 %d Status" % status]
    lines += ["%s: %s" % each for each in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, value):
    return response(status, [("Content-Type", "application/json")],
                    json.dumps(value).encode())


async def serve(handler, address="127.0.0.1", port=0):
    """Serves requests one after another on each connection. The handler
    returns the bytes of an answer, or None to close the connection."""

    async def connection(reader, writer):
        try:
            while True:
                asked = await read_request(reader)
                answer = await handler(asked, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port)


def port_of(server):
    return server.sockets[0].getsockname()[1]


# --- The store ----------------------------------------------------------


class Store:
    """Keyed topics of one partition; nothing that it has acknowledged is lost
    and all of its answers come at once."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve(self.handle)
        self.address = "127.0.0.1:%d" % port_of(self.server)

    async def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + (value or b"")
        self.topics.setdefault(topic, []).append(record)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, asked, _):
        topic = asked.query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if asked.path == "/api/log-newest":
            return self.newest(records)
        if asked.path == "/api/log-read":
            return await self.read(records, asked)
        if asked.path == "/api/log-append":
            return await self.append(topic, records, asked)
        return response(404, [], b"")

    @staticmethod
    def newest(records):
        last = {}
        for offset, record in enumerate(records):
            size = record[0]
            last[record[1:1 + size].decode()] = (offset, record[1 + size:])
        items = [{"key": key, "value": base64.b64encode(value).decode(),
                  "offset": offset}
                 for key, (offset, value) in sorted(last.items()) if value]
        return json_response(
            200, {"items": items, "has_more": False, "end": len(records)})

    async def read(self, records, asked):
        start = int(asked.query.get("from", "0"))
        wait = int(asked.query.get("wait_ms", "0")) / 1000
        if len(records) <= start and wait > 0:
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(records) > start),
                        wait)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            body += struct.pack(">I", len(record)) + record
        return response(200, [], body)

    async def append(self, topic, records, asked):
        end = {"offset": len(records), "end": len(records)}
        if "at" in asked.query and int(asked.query["at"]) != len(records):
            return json_response(412, end)
        left = asked.body
        while left:
            (size,) = struct.unpack(">I", left[:4])
            records.append(left[4:4 + size])
            left = left[4 + size:]
        async with self.changed:
            self.changed.notify_all()
        end["end"] = len(records)
        return json_response(200, end)


# --- Workers ------------------------------------------------------------


class Worker:
    """A sound worker of a service without models. It registers itself, and
    runs each request with the given answer."""

    def __init__(self, store, record, identity, service, answer, slots=64,
                 notes_runs=True):
        self.store = store
        self.record = record
        self.identity = identity
        self.service = service
        self.answer = answer
        self.slots = slots
        self.notes_runs = notes_runs
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.state = "ready"

    async def start(self):
        self.server = await serve(self.handle)
        self.address = "127.0.0.1:%d" % port_of(self.server)
        await self.register()
        self.beat = asyncio.ensure_future(self.keep_registered())

    async def register(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.identity, json.dumps({
            "service": self.service, "address": self.address,
            "zone": "zone-a", "version": 1, "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born}).encode())

    async def keep_registered(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def handle(self, asked, writer):
        expected = asked.headers.get("x-expect-instance")
        own = [("X-Request-Id", asked.headers.get("x-request-id", "")),
               ("X-Instance-Load",
                "%d,0,%d" % (self.running, self.slots))]
        if expected is not None and expected != self.identity:
            return response(421, own, b"")
        if asked.path == "/healthz":
            return response(200, [("X-Instance-Id", self.identity)], b"")
        self.runs.append(asked.headers.get("x-request-id", ""))
        if self.notes_runs:
            self.record.note("%s runs %s %s %s" % (
                self.identity, asked.headers.get("x-request-id"),
                asked.method, asked.target))
        self.running += 1
        try:
            return await self.answer(asked, own, writer)
        finally:
            self.running -= 1


def signed(own, body):
    return response(200, own + [("X-Response-Signature", "lab." + own[0][1])],
                    body)


# --- Instances ----------------------------------------------------------


def filled_in(template, fields):
    """The template of the deploy file with its places filled in (DEPLOY.md),
    as far as deploy/settings.json uses them."""

    def value_of(path):
        at = fields
        for part in path.split("."):
            if isinstance(at, list):
                at = at[int(part)] if int(part) < len(at) else None
            else:
                at = at.get(part) if isinstance(at, dict) else None
        return at

    def section(match):
        return match.group(2) if value_of(match.group(1)) else ""

    def place(match):
        path, _, form = match.group(1).partition("|")
        value = value_of(path)
        if value is None:
            return ""
        return json.dumps(value) if form == "json" else str(value)

    before = None
    while before != template:
        before = template
        template = re.sub(r"\{\{#([\w.]+)\}\}((?:(?!\{\{#).)*?)\{\{/\1\}\}",
                          section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", place, template)


class Instance:
    """A kingcuphub-instance, started by the command of the deploy file."""

    def __init__(self, index, store, record, folder):
        self.name = "instance-%d" % index
        self.record = record
        # Of this process, so that scripts beside it have other addresses.
        own = os.getpid()
        self.address = "127.%d.%d.%d" % (1 + (own >> 7 & 127),
                                         1 + (own & 127), 1 + index)
        self.folder = os.path.join(folder, self.name)
        os.makedirs(self.folder)
        self.callers = free_port(self.address)
        self.readiness = free_port(self.address)
        fields = {
            "node_name": self.name, "zone": "zone-a", "ip": self.address,
            "listen": {
                "frontend": "%s:%d" % (self.address, self.callers),
                "readiness": "%s:%d" % (self.address, self.readiness)},
            "port_range": [free_port(self.address)],
            "platform": {"address": store.address},
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0,
                       "memory_mb": 260},
            "heartbeat_ms": 1200, "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "settings.json"),
                  encoding="utf-8") as source:
            text = filled_in(source.read(), fields)
        self.settings = os.path.join(self.folder, "settings.json")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        self.process = None
        self.log = None

    def start(self):
        binary = os.path.join(ROOT, "target", "kingcuphub-instance")
        if not os.access(binary, os.X_OK):
            raise CannotRun("no target/kingcuphub-instance")
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["KINGCUPHUB_SETTINGS"] = self.settings
        if self.log is None:
            self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            [binary], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.record.note("%s started at %s" % (self.name, self.address))

    def ended(self):
        """The way in which the process has ended, if it has."""
        if self.process is None:
            return None
        return self.process.poll()

    def last_words(self):
        """What the process has told last besides its structured lines."""
        with open(self.log.name, encoding="utf-8", errors="replace") as lines:
            told = [line.strip() for line in lines if line[:1] not in "{\n"]
        return "; ".join(told[-2:])

    def signal(self, number):
        self.process.send_signal(number)
        self.record.note("%s gets %s" % (self.name,
                                         signal.Signals(number).name))

    async def ready(self, within=20):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun("%s ended with %d" % (
                    self.name, self.process.returncode))
            try:
                reader, writer = await asyncio.open_connection(
                    self.address, self.readiness)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    self.record.note("%s is ready" % self.name)
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("%s is not ready" % self.name)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# --- Callers ------------------------------------------------------------


class Caller:
    """Sends one request after another on a kept connection."""

    def __init__(self, record, instance, name, notes_answers=True):
        self.record = record
        self.instance = instance
        self.name = name
        self.notes_answers = notes_answers
        self.key = None
        self.sent = 0
        self.stream = None

    def close(self):
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None

    async def ask(self, method, path, deadline_ms):
        """The status of the answer and how it ended. Without a connection
        there is nothing to judge: None."""
        try:
            if self.stream is None:
                self.stream = await asyncio.open_connection(
                    self.instance.address, self.instance.callers)
        except OSError:
            return None
        reader, writer = self.stream
        self.sent += 1
        # Of 16 hexadecimal digits, like those of the pages.
        identity = "%08x%08x" % (zlib.crc32(self.name.encode()), self.sent)
        key = "Authorization: Token %s\r\n" % self.key if self.key else ""
        begun = time.monotonic()
        try:
            writer.write((
                "%s %s HTTP/1.1\r\nHost: review.example\r\n"
                "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s"
                "Content-Length: 0\r\n\r\n" % (
                    method, path, identity, deadline_ms, key)).encode())
            first, headers = await asyncio.wait_for(
                read_head(reader), deadline_ms / 1000 + 1)
            body = await reader.readexactly(
                int(headers.get("content-length", "0")))
            status = int(first.split(" ")[1])
            if self.notes_answers:
                self.record.note("%s %s: %d after %.3f s, %s" % (
                    identity, path, status, time.monotonic() - begun,
                    body[:24].decode("latin-1").strip()))
            if headers.get("connection", "").lower() == "close":
                self.close()
            return Answer(identity, status, time.monotonic() - begun, headers)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as why:
            self.close()
            self.record.note("%s %s: no answer after %.3f s, %s" % (
                identity, path, time.monotonic() - begun,
                type(why).__name__))
            return Answer(identity, None, time.monotonic() - begun, {})


class Answer:
    def __init__(self, identity, status, seconds, headers):
        self.identity = identity
        self.status = status
        self.seconds = seconds
        self.headers = headers


# --- A run --------------------------------------------------------------


class Lab:
    def __init__(self, case):
        self.case = case
        self.record = Record(os.path.join(case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="kch-review-")
        self.instances = []
        self.record.note("TROUBLE=%d" % TROUBLE)

    async def start_store(self):
        self.store = Store()
        await self.store.start()

    async def put_manifest(self, manifest):
        await self.store.put("keyed.op", "config",
                             json.dumps(manifest).encode())
        self.record.note("manifest %d is acknowledged: limits %s" % (
            manifest["version"], json.dumps(manifest["limits"])))

    async def start_instances(self, count):
        for index in range(count):
            self.instances.append(
                Instance(index, self.store, self.record, self.folder))
        for each in self.instances:
            each.start()
        for each in self.instances:
            await each.ready()

    def close(self):
        for each in self.instances:
            each.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case_file, scenario):
    """Runs a scenario; it returns whether the rule held."""
    lab = Lab(os.path.dirname(os.path.abspath(case_file)))

    async def whole():
        return await asyncio.wait_for(scenario(lab), 110)

    def end(code):
        lab.close()
        lab.record.note("exit %d" % code)
        sys.stdout.flush()
        # The tasks of the stand-ins need no orderly end.
        os._exit(code)

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end, CANNOT_RUN)
    try:
        code = HELD if loop.run_until_complete(whole()) else BROKEN
    except Exception as why:
        lab.record.note("could not run: %r" % why)
        code = CANNOT_RUN
    end(code)
