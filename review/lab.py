"""Stand-ins for the platform's store, workers and clients, and the start of
instances as the deploy file says. Python's standard library only; loopback
addresses only."""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """The case could not be run."""


def address(index):
    """An address in 127.0.0.0/8 that other runs beside this one don't use."""
    pid = os.getpid()
    return f"127.{10 + (pid >> 7) % 100}.{1 + pid % 120}.{1 + index}"


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


# --- HTTP ------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers, b"")


async def read_request(reader):
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.get("Content-Length", "0") or 0)
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return message


def response(status, body=b"", headers=(), reason="X"):
    if isinstance(body, str):
        body = body.encode()
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(host, handler, port=0):
    """handler(message, writer) for each request; keeps connections open."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_request(reader)
                if message is None:
                    break
                if await handler(message, writer, reader) is False:
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    server = await asyncio.start_server(on_connection, host, port, limit=1 << 20)
    server.port = server.sockets[0].getsockname()[1]
    return server


# --- The platform's store --------------------------------------------------


class Store:
    """The log of PROTOCOL.md as far as the instances use it: keyed topics of
    one partition, long polls, and appends on condition of the end."""

    def __init__(self, record=None):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.record = record
        self.calls = []

    async def start(self, host):
        self.server = await serve(host, self.handle)
        self.host, self.port = host, self.server.port

    async def put(self, topic, key, value):
        """A record without a value drops the key."""
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def newest(self, topic):
        last = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            last[key] = (offset, value)
        return {k: v for k, v in last.items() if v[1] is not None}

    async def handle(self, message, writer, _reader):
        method, target, _ = message.first.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get("topic", "")
        peer = writer.get_extra_info("peername")
        self.calls.append((time.monotonic(), peer, method, target))
        await asyncio.sleep(0.002)
        if url.path == "/api/log-newest":
            out = self.answer_newest(topic, query)
        elif url.path == "/api/log-read":
            out = await self.answer_read(topic, query)
        elif url.path == "/api/log-append":
            out = await self.answer_append(topic, query, message.body)
        else:
            out = response(404)
        writer.write(out)
        await writer.drain()

    def answer_newest(self, topic, query):
        items = sorted(self.newest(topic).items())
        after = query.get("after")
        if after:
            items = [each for each in items if each[0] > after]
        more = len(items) > 500
        body = {
            "items": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in items[:500]
            ],
            "has_more": more,
            "end": len(self.topics.get(topic, [])),
        }
        return response(200, json.dumps(body), [("Content-Type", "application/json")])

    async def answer_read(self, topic, query):
        start = int(query["from"])
        wait = int(query.get("wait_ms", "0")) / 1000
        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait_for(
                        lambda: len(self.topics.get(topic, [])) > start
                    ),
                    wait or 0.0001,
                )
        records = self.topics.get(topic, [])
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            out += struct.pack(">I", len(content)) + content
        return response(200, out)

    async def answer_append(self, topic, query, body):
        end = len(self.topics.get(topic, []))
        if topic in ("keyed.op", "keyed.servers"):
            return response(403)
        if "at" in query and int(query["at"]) != end:
            return response(412, json.dumps({"end": end}))
        left = body
        while len(left) > 4:
            (size,) = struct.unpack(">I", left[:4])
            content, left = left[4 : 4 + size], left[4 + size :]
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            await self.put(topic, key, value or None)
        now = len(self.topics.get(topic, []))
        return response(200, json.dumps({"offset": end, "end": now}))


# --- Workers ---------------------------------------------------------------


class Worker:
    """A worker that registers itself and beats; `run` answers a request."""

    def __init__(self, store, record, name, service, zone, slots=6, models=None):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.slots = name, service, zone, slots
        self.models = models
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.state = "ready"
        self.extra = {}
        self.runs = {}
        self.orders = []
        self.revision = 0
        self.running = 0
        self.listed = True

    async def start(self, host):
        self.server = await serve(host, self.handle)
        self.host, self.port = host, self.server.port
        self.beater = asyncio.create_task(self.beat())

    def entry(self):
        self.beats += 1
        out = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        if self.models is not None:
            out["stage"] = "mixed"
            out["models"] = self.models_json()
        out.update(self.extra)
        return out

    def models_json(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in sorted(self.models.items())
        ]

    async def beat(self):
        while True:
            if self.listed:
                await self.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(1.2)

    async def handle(self, message, writer, reader):
        method, target, _ = message.first.split(" ", 2)
        if message.get("X-Expect-Instance") not in ("", self.id):
            writer.write(response(421, b"", [("X-Not-Executed", "1")]))
            return await writer.drain()
        if target.startswith("/api/report"):
            body = {
                "stage": "mixed",
                "models": self.models_json(),
                "busy": False,
                "sequence": self.revision,
                "queued": 0,
                "active": self.running,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
            }
            writer.write(response(200, json.dumps(body)))
            return await writer.drain()
        if target.startswith("/api/order"):
            return await self.order(message, writer)
        request = message.get("X-Request-Id")
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record(f"{self.id} begins to run {request}")
        self.running += 1
        try:
            return await self.run(message, writer, reader, request)
        finally:
            self.running -= 1

    async def order(self, message, writer):
        what = json.loads(message.body)
        self.orders.append((time.monotonic(), what))
        self.record(f"{self.id} is ordered {json.dumps(what)}")
        writer.write(response(200))
        await writer.drain()

    def head(self, request, extra=()):
        return [
            ("X-Request-Id", request),
            ("X-Response-Signature", f"{self.id}.{request}"),
            ("X-Instance-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", "timeout=10"),
        ] + list(extra)

    async def run(self, _message, writer, _reader, request):
        await asyncio.sleep(0.03)
        writer.write(response(200, b"x" * 800, self.head(request)))
        await writer.drain()


# --- A link that can fail --------------------------------------------------


class Proxy:
    """Forwards TCP connections; those that are open can be made silent: from
    then on they carry nothing, while new ones work."""

    def __init__(self, to_host, to_port):
        self.to = (to_host, to_port)
        self.open = []

    async def start(self, host):
        self.server = await asyncio.start_server(self.on_connection, host, 0)
        self.host, self.port = host, self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader, writer):
        try:
            there, back = await asyncio.open_connection(*self.to)
        except OSError:
            writer.close()
            return
        link = {"silent": False}
        self.open.append(link)

        async def pump(source, sink):
            with contextlib.suppress(ConnectionError, OSError):
                while True:
                    data = await source.read(65536)
                    if link["silent"]:
                        # Reads on, so that the sender's bytes are taken.
                        if not data:
                            return
                        continue
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            if not link["silent"]:
                sink.close()

        try:
            await asyncio.gather(pump(reader, back), pump(there, writer))
        finally:
            if link in self.open:
                self.open.remove(link)
            with contextlib.suppress(Exception):
                writer.close()
                back.close()

    def silence(self):
        """Makes all open connections silent; returns how many."""
        for each in self.open:
            each["silent"] = True
        return len(self.open)


# --- Instances -------------------------------------------------------------

SETTINGS = {
    "role": "instance",
    "machine_class": "frontend",
    "serves": ["frontend"],
    "region": "lv-riga",
    "port_range": [7600, 7615],
    "bootstrap": True,
    "limits": {
        "cpu_share": 0.25,
        "cores": 1,
        "memory_mb": 260,
        "max_fds": 4100,
        "link_mbps": 1000.0,
        "disk_mb": 0,
    },
    "heartbeat_ms": 1200,
    "bounds": {
        "seed_lag_s": 3,
        "reuse_after_s": 2,
        "stable_window_ms": 3000,
        "ack_ms": 4000,
        "catch_up_s": 4,
        "drain_ms": 2000,
        "grace_s": 8,
        "loss_slack_ms": 200,
        "config_apply_ms": 2000,
        "rollback_slack_ms": 250,
        "max_stretch_ms": 5000,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "retry_budget_extra": 56,
        "quota_window_s": 8,
        "quota_overshoot": 0.1,
        "quota_slack": 7400,
        "cold_overshoot": 1.5,
        "cold_slack": 5,
        "evacuate_ms": 5000,
        "recover_s": 12,
        "lease_ms": 3000,
        "thaw_ms": 300,
    },
    "platform": {"form": "log", "writes_per_s": 400, "reads_per_s": 2000},
}


def deploy_file():
    """`run` and `template` of the deploy file's only role."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    find = lambda name: re.search(rf'^{name}\s*=\s*"([^"]*)"', text, re.M).group(1)
    return find("run").split(), find("template")


def fill(template, fields):
    def value(match):
        out = fields
        for part in match.group(1).strip().split("."):
            out = out[int(part)] if isinstance(out, list) else out[part]
        return str(out)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Instance:
    def __init__(self, folder, index, zone, store):
        self.run, template = deploy_file()
        self.name = f"frontend-{zone}-{index}"
        self.host = address(100 + index)
        self.zone = zone
        self.callers, self.readiness = 8221, 8224
        fields = dict(SETTINGS, node_name=self.name, zone=zone, ip=self.host)
        fields["listen"] = {
            "frontend": f"{self.host}:{self.callers}",
            "readiness": f"{self.host}:{self.readiness}",
        }
        fields["platform"] = dict(SETTINGS["platform"], address=store)
        text = fill(open(os.path.join(ROOT, template)).read(), fields)
        self.settings = os.path.join(folder, f"{self.name}.json")
        open(self.settings, "w").write(text)
        self.log = os.path.join(folder, f"{self.name}.log")
        self.process = None

    def start(self):
        if not os.path.exists(os.path.join(ROOT, self.run[0])):
            raise NotRun(f"{self.run[0]} is not built")
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["KINGCUPHUB_SETTINGS"] = self.settings
        self.process = subprocess.Popen(
            self.run,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self.log, "ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def lines(self, *events):
        """The log's lines of these events."""
        out = []
        with open(self.log, errors="replace") as file:
            for line in file:
                try:
                    each = json.loads(line)
                except ValueError:
                    continue
                if each.get("event") in events:
                    out.append(each)
        return out

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200" in head.first
        except (asyncio.TimeoutError, OSError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} is not ready after {limit} s")


# --- Clients ---------------------------------------------------------------


def request_bytes(method, path, host, request, key, deadline, extra=(), body=b""):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request}\r\n"
        f"X-Deadline-Ms: {deadline}\r\n"
    )
    if key:
        head += f"Authorization: Token {key}\r\n"
    for name, value in extra:
        head += f"{name}: {value}\r\n"
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


async def exchange(host, port, data, limit=15):
    """Sends one request on a connection of its own; the status, or None."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return None
    try:
        writer.write(data)
        head = await asyncio.wait_for(read_head(reader), limit)
        if head is None:
            return None
        status = int(head.first.split(" ")[1])
        length = int(head.get("Content-Length", "0") or 0)
        await asyncio.wait_for(reader.readexactly(length), limit)
        return status
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
        return None
    finally:
        writer.close()


def request_id():
    return "%016x" % random.getrandbits(64)


def main(case):
    """Runs a case: case(folder of the case, temporary folder, cleanup)."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def whole():
        # Connections that are still open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with tempfile.TemporaryDirectory() as scratch:
            started = []
            try:
                return await asyncio.wait_for(case(folder, scratch, started), 110)
            finally:
                for each in started:
                    each.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for each in started:
                        os.system(f"cp {each.log} {keep}/")

    try:
        code = asyncio.run(whole())
    except Exception as failure:
        print(f"not run: {failure!r}")
        code = NOT_RUN
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "not run"}[code], flush=True)
    # At once: what Python would tidy up has been ended above.
    os._exit(code)
