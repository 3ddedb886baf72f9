"""Stand-ins for the scripts of the second review: the platform's store, plain
workers and engines, raw clients, and the start of the project's own instances
as the deploy file says. Only loopback addresses, the standard library and the
real clock."""
import asyncio
import base64
import json
import os
import re
import signal
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def now_ms():
    return time.monotonic() * 1000


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now_ms()

    def __call__(self, *words):
        text = " ".join(str(each) for each in words)
        self.file.write(f"{now_ms() - self.start:9.1f} ms  {text}\n")
        self.file.flush()


# --- HTTP, as far as the stand-ins need it -----------------------------------


class Asked:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(
            each.split("=", 1) for each in query.split("&") if "=" in each)

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return lines[0], headers


async def read_request(reader):
    """None where the connection has ended."""
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        asked = Asked(method, target, headers, b"")
        length = int(asked.header("Content-Length", "0"))
        if length:
            asked.body = await reader.readexactly(length)
        return asked
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def answer(status, headers, body, reason="X"):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# --- the platform's store ------------------------------------------------------


class Store:
    """The keyed topics of PROTOCOL.md, one partition each."""

    def __init__(self, latency_s=0.004):
        self.latency_s = latency_s
        self.topics = {}
        self.changed = asyncio.Event()
        self.era = 0
        self.appends = []

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        if value is not None and not isinstance(value, (str, bytes)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        self.records(topic).append((key.encode(), value))
        self.wake()

    def wake(self):
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    async def serve(self, reader, writer):
        try:
            while (asked := await read_request(reader)) is not None:
                await asyncio.sleep(self.latency_s)
                status, kind, body = await self.call(asked)
                writer.write(answer(status, [("Content-Type", kind),
                                             ("Store-Era", self.era)], body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def call(self, asked):
        topic = asked.query.get("topic", "")
        if asked.path == "/api/log-newest":
            return self.newest(topic, asked.query.get("after", ""))
        if asked.path == "/api/log-read":
            return await self.read(topic, int(asked.query["from"]),
                                   int(asked.query.get("wait_ms", "0")))
        if asked.path == "/api/log-append":
            return self.append(topic, asked)
        return 404, "text/plain", ""

    def newest(self, topic, after):
        last = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            last[key] = (offset, value)
        items = [{"key": key.decode(), "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in sorted(last.items())
                 if value is not None and key.decode() > after]
        body = {"items": items[:500], "has_more": len(items) > 500,
                "end": len(self.records(topic))}
        return 200, "application/json", json.dumps(body)

    async def read(self, topic, start, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        if start > len(self.records(topic)):
            return 410, "application/json", json.dumps({"first": 0})
        while start >= len(self.records(topic)):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(self.records(topic)), 0)
        for key, value in self.records(topic)[start:start + 1024]:
            content = bytes([len(key)]) + key + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, "application/octet-stream", body

    def append(self, topic, asked):
        end = len(self.records(topic))
        if "at" in asked.query and int(asked.query["at"]) != end:
            return 412, "application/json", json.dumps({"end": end})
        body, added = asked.body, []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key = content[1:1 + content[0]]
            added.append((key, content[1 + content[0]:] or None))
        self.records(topic).extend(added)
        self.appends.append((now_ms(), topic))
        self.wake()
        return 200, "application/json", json.dumps(
            {"offset": end, "end": end + len(added)})


class LosingLink:
    """A way to a store that turns this machine away in silence for a while:
    what it would answer meanwhile is lost, and a connection on which an answer
    was lost, or on which something was asked meanwhile, returns nothing
    further."""

    def __init__(self, port):
        self.to_port = port
        self.away = False
        self.lost = 0
        # Set when this machine begins to wait for changes of the operator's.
        self.long_poll = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        state = {"dead": self.away}
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, far_writer, state, False),
                             self.pump(far_reader, writer, state, True))

    async def pump(self, source, target, state, answers):
        try:
            while data := await source.read(65536):
                if (not answers and b"topic=keyed.op" in data and
                        b"wait_ms=12000" in data):
                    self.long_poll.set()
                if self.away:
                    state["dead"] = True
                    self.lost += 1 if answers else 0
                if state["dead"]:
                    continue
                target.write(data)
                await target.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            target.close()


# --- workers -------------------------------------------------------------------


class Worker:
    """A sound worker: runs what it gets and signs its answers. `run` may be
    replaced; it gets the request and the streams and writes the answer."""

    def __init__(self, store, service, record, zone="riga-a", slots=64,
                 extra=None):
        self.store, self.service, self.record = store, service, record
        self.zone, self.slots, self.extra = zone, slots, extra or {}
        self.id = "w-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.counter = 0

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=8 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.tell()
            await asyncio.sleep(1.2)

    def tell(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.id, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0, "born": self.born,
            "sequence": self.sequence, **self.extra})

    async def serve(self, reader, writer):
        try:
            while (asked := await read_request(reader)) is not None:
                if not await self.handle(asked, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, asked, reader, writer):
        if asked.header("X-Expect-Instance", self.id) != self.id:
            writer.write(answer(421, [("X-Request-Id",
                                       asked.header("X-Request-Id"))], ""))
            await writer.drain()
            return True
        self.runs.append((asked.header("X-Request-Id"), now_ms()))
        self.record("worker", self.id, "runs", asked.method, asked.target,
                    asked.header("X-Request-Id"))
        return await self.run(asked, reader, writer)

    def signature(self):
        self.counter += 1
        return f"{self.id}.{self.counter}.{os.urandom(3).hex()}"

    async def run(self, asked, reader, writer):
        body = f"answer to {asked.header('X-Request-Id')}\n"
        writer.write(answer(200, [
            ("X-Request-Id", asked.header("X-Request-Id")),
            ("X-Response-Signature", self.signature())], body))
        await writer.drain()
        return True


class Desk(Worker):
    """Runs each request for `work_s`; can leave by the removal of its entry,
    and exits without finishing what it runs."""

    work_s = 0.3

    async def serve(self, reader, writer):
        self.__dict__.setdefault("connections", set()).add(writer)
        await super().serve(reader, writer)

    async def run(self, asked, reader, writer):
        await asyncio.sleep(self.work_s)
        return await super().run(asked, reader, writer)

    def leave(self):
        """The platform removes the entry."""
        self.beats.cancel()
        self.store.put("keyed.servers", self.id, None)

    def exit(self):
        self.server.close()
        for each in self.__dict__.get("connections", ()):
            each.transport.abort()


# --- the project's instances ---------------------------------------------------


def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        if value is not None:
            return value
    return None


def render(text, scopes):
    """The placeholders of DEPLOY.md that our template uses."""
    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(scopes, match.group(1))
        if not value:
            return ""
        return render(match.group(2), scopes)

    text = section.sub(expand, text)

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(scopes, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


def deploy_command():
    """The command and the template of the deploy file's role."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    run = re.search(r'^run = "([^"]+)"', text, re.M).group(1)
    template = re.search(r'^template = "([^"]+)"', text, re.M).group(1)
    return run.split(" "), os.path.join(ROOT, template)


class Instance:
    """One entry instance, with the settings of a small deployment."""

    def __init__(self, index, store, folder, zone="riga-a", **changed):
        self.name = f"frontend-{zone}-{index}"
        self.folder = os.path.join(folder, f"instance-{index}")
        os.makedirs(self.folder, exist_ok=True)
        pid = os.getpid()
        self.ip = f"127.{1 + (pid >> 7) % 120}.{1 + pid % 120}.{1 + index}"
        self.callers = (self.ip, 8221)
        self.readiness = (self.ip, 8224)
        bounds = {
            "config_apply_ms": 2000, "quota_window_s": 8, "grace_s": 8,
            "retry_budget_ratio": 0.2, "retry_budget_extra": 56,
            "budget_window_s": 10, "lease_ms": 3000}
        bounds.update(changed)
        fields = {
            "node_name": self.name, "zone": zone,
            "ip": self.ip, "region": "lv-riga",
            "listen": {"frontend": "%s:%d" % self.callers,
                       "readiness": "%s:%d" % self.readiness},
            "port_range": [7600, 7615],
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "link_mbps": 1000.0},
            "bounds": bounds,
            "platform": {"address": f"127.0.0.1:{store.port}"}}
        command, template = deploy_command()
        self.command = [os.path.join(ROOT, command[0])] + command[1:]
        if "KCH_REVIEW_BINARY" in os.environ:
            self.command[0] = os.environ["KCH_REVIEW_BINARY"]
        self.settings = os.path.join(self.folder, "settings.json")
        with open(self.settings, "w") as file:
            file.write(render(open(template).read(), [fields]))
        self.log = os.path.join(self.folder, "log.txt")

    async def start(self, stdout=None):
        env = {"PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/"),
               "LANG": os.environ.get("LANG", "C"),
               "KINGCUPHUB_SETTINGS": self.settings}
        for name in ("ASAN_OPTIONS", "UBSAN_OPTIONS"):
            if name in os.environ:
                env[name] = os.environ[name]
        out = stdout if stdout is not None else open(self.log, "a")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=env, stdout=out,
            stderr=open(self.log + ".err", "a"))

    async def ready(self, within_s=15):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                return False
            try:
                status, _, _ = await call(self.readiness, "GET",
                                          "/api/readyz", [], b"", 1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.send_signal(signal.SIGCONT)
            await self.process.wait()


async def call(address, method, target, headers, body, within_s):
    """A request on a connection of its own: status, headers and body."""

    async def whole():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(method, target, headers, body))
            first, got = await read_head(reader)
            status = int(first.split(" ")[1])
            names = {name.lower(): value for name, value in got}
            length = names.get("content-length")
            data = (await reader.readexactly(int(length))
                    if length is not None else await reader.read())
            return status, names, data
        finally:
            writer.close()

    return await asyncio.wait_for(whole(), within_s)


def request_bytes(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def manifest(version=1, routes=None, services=None, **more):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            **more}


def route(name, kind, service, **more):
    return {"name": name, "host": "case.example", "path_prefix": f"/{name}/",
            "type": kind, "service": service, "max_attempts": 2,
            "public": True, "timeout_ms": 12000, "target_latency_ms": 300,
            "priority": 1, **more}


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_conns": 110,
            "cold_start_s": 0.0, "cold_per_s": 0.0, **more}


def main(case, scenario):
    """Runs `scenario(record, folder)`, which returns one of the three codes;
    ends within 110 s."""
    record = Record(case)

    async def bounded(folder):
        return await asyncio.wait_for(scenario(record, folder), 110)

    with tempfile.TemporaryDirectory(prefix="kch-review-") as folder:
        try:
            code = asyncio.run(bounded(folder))
        except Exception as failure:  # the case could not run
            record("could not run:", repr(failure))
            import traceback
            traceback.print_exc()
            code = CANNOT_RUN
        if "KCH_REVIEW_KEEP" in os.environ:
            import shutil
            shutil.copytree(folder, os.environ["KCH_REVIEW_KEEP"],
                            dirs_exist_ok=True)
    record("result:", {HELD: "the rule held", BROKEN: "the rule was broken",
                       CANNOT_RUN: "the case could not run"}[code])
    sys.exit(code)
