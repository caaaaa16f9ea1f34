"""Stand-ins for the platform, servers and clients, on loopback addresses.

One Python process holds the platform's store and API, the servers and the
clients; the project's own program runs as separate processes, started with the
command of the deploy file. Everything that is sent, answered and run goes into
`Record`.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "endivewharf")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8
DRAIN_MS = 2000


class Record:
    """Lines with the time since the start, written to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


class Head:
    """Start line and headers of one message."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.fields = []
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=None):
        for key, value in self.fields:
            if key == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    return Head(raw[:-4])


async def read_chunked(reader, on_piece=None):
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while line != b"\r\n":
                line = await reader.readline()
                if not line:
                    raise asyncio.IncompleteReadError(line, None)
            return body
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        body += piece
        if on_piece:
            on_piece(piece)


async def read_request_body(head, reader):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        return await read_chunked(reader)
    return await reader.readexactly(int(head.get("content-length") or 0))


def answer(status, headers=(), body=b""):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return text.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def json_answer(status, value, headers=()):
    return answer(status, [("Content-Type", "application/json"), *headers],
                  json.dumps(value).encode())


class Store:
    """The platform's log, as PROTOCOL.md tells it."""

    def __init__(self, rig, port):
        self.rig = rig
        self.port = port
        self.topics = {}
        self.changed = asyncio.Condition()
        self.era = None
        self.appends = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, topic, key, value):
        data = b"" if value is None else (
            value if isinstance(value, bytes) else json.dumps(value).encode())
        self.topic(topic).append((key.encode(), data))
        async with self.changed:
            self.changed.notify_all()

    def headers(self):
        return [] if self.era is None else [("Store-Era", str(self.era))]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_request_body(head, reader)
                writer.write(await self.handle(head, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, head, body):
        method, target, _ = head.start.split(" ", 2)
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        records = self.topic(args.get("topic", ""))
        if path == "/-/log-append":
            self.appends += 1
            await asyncio.sleep(0.004)
            if "at" in args and int(args["at"]) != len(records):
                return json_answer(412, {"end": len(records)}, self.headers())
            first = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                records.append((content[1:1 + content[0]],
                                content[1 + content[0]:]))
            async with self.changed:
                self.changed.notify_all()
            return json_answer(200, {"offset": first, "end": len(records)},
                               self.headers())
        if path == "/-/log-read":
            start = int(args["from"])
            deadline = time.monotonic() + int(args.get("waitMs", 0)) / 1000
            era = self.era
            while start >= len(records) and era == self.era and time.monotonic() < deadline:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(),
                                               deadline - time.monotonic())
                    except (asyncio.TimeoutError, ValueError):
                        break
                records = self.topic(args.get("topic", ""))
            records = self.topic(args.get("topic", ""))
            if start > len(records):
                return json_answer(410, {"first": 0}, self.headers())
            page = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + value
                page += struct.pack(">I", len(content)) + content
            return answer(200, [("Content-Type", "application/octet-stream"),
                                *self.headers()], page)
        if path == "/-/log-newest":
            import base64
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [{"key": k.decode(),
                      "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (o, v) in sorted(newest.items()) if v]
            return json_answer(200, {"items": items, "hasMore": False,
                                     "end": len(records)}, self.headers())
        return json_answer(404, {})


class Cloud:
    """The platform's API: notes each call of a duty."""

    def __init__(self, rig, port):
        self.rig = rig
        self.port = port
        self.calls = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_request_body(head, reader)
                self.calls.append((self.rig.record.now(), head.start,
                                   head.get("duty-holder"),
                                   head.get("fencing-token"), body))
                self.rig.record.line("duty %s by %s token %s %s" % (
                    head.start.split(" ")[1], head.get("duty-holder"),
                    head.get("fencing-token"), body.decode()))
                writer.write(json_answer(200, {}))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Server:
    """One server of a service. `plan` says by Request-Id what it does."""

    def __init__(self, rig, name, service, slots=32):
        self.rig = rig
        self.name = name
        self.service = service
        self.slots = slots
        self.port = free_port("127.0.0.1")
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.down = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.beat_task = asyncio.create_task(self.beat())

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": "z0", "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            if not self.down:
                await self.rig.store.put("keyed.servers", self.name,
                                         self.entry())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                await self.rig.on_request(self, head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def free_port(ip):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((ip, 0))
        return s.getsockname()[1]


def render(template, fields):
    """Fills platform/settings.ini as DEPLOY.md tells it."""
    def lookup(path, here):
        value = here
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    def section(match):
        entries = lookup(match.group(1), fields) or {}
        out = ""
        for i, (key, value) in enumerate(entries.items()):
            part = match.group(2).replace("{{@}}", key)
            part = part.replace("{{.}}", text(value))
            out += part.replace("{{,}}", "," if i + 1 < len(entries) else "")
        return out

    out = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                 flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(lookup(m.group(1),
                                                            fields)), out)


class Rig:
    def __init__(self, folder, entries=3, seed=1):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.random = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="endivewharf-review-")
        self.store = Store(self, free_port("127.0.0.1"))
        self.cloud = Cloud(self, free_port("127.0.0.1"))
        self.servers = []
        self.processes = {}
        self.logs = {}
        self.entry_count = entries
        self.version = 0
        self.next_id = 0
        self.on_request = None
        # The same ports on all machines, each with an address of its own.
        base = 127 * (1 << 24) + (1 << 16) * self.random.randrange(20, 120)
        base += 256 * self.random.randrange(1, 250) + 10
        self.ips = []
        for i in range(entries):
            n = base + i
            self.ips.append("%d.%d.%d.%d" % (n >> 24, n >> 16 & 255,
                                             n >> 8 & 255, n & 255))
        self.ports = [free_port(self.ips[0]) for _ in range(5)]

    def fields(self, i):
        ip = self.ips[i]
        front, ready, control, first, second = self.ports
        return {
            "node": "front-z%d-%d" % (i, i), "zone": "z%d" % i, "ip": ip,
            "region": "r",
            "zones": {"z%d" % k: "r" for k in range(self.entry_count)},
            "listen": {"front": "%s:%d" % (ip, front),
                       "ready": "%s:%d" % (ip, ready),
                       "control": "%s:%d" % (ip, control)},
            "internalPorts": [first, second],
            "seeds": ["%s:%d" % (other, control) for other in self.ips[:3]],
            "limits": {"memoryMb": 390, "maxFds": 6150},
            "bounds": {"graceS": GRACE_S, "leaseMs": 3000, "budgetRatio": 0.2,
                       "budgetWindowS": 10, "budgetSlack": 54,
                       "quotaWindowS": 8, "quotaOver": 0.1,
                       "quotaSlack": 140000, "usageWindowS": 5,
                       "usageLateS": 10, "exposeShare": 0.1,
                       "exposeSlack": 50},
            "platform": {"address": "127.0.0.1:%d" % self.store.port},
            "cloud": {"address": "127.0.0.1:%d" % self.cloud.port}}

    async def start_entry(self, i):
        with open(os.path.join(ROOT, "platform", "settings.ini")) as f:
            settings = render(f.read(), self.fields(i))
        path = os.path.join(self.folder, "local-%d.json" % i)
        with open(path, "w") as f:
            f.write(settings)
        log = open(os.path.join(self.folder, "entry-%d.log" % i), "ab")
        self.processes[i] = await asyncio.create_subprocess_exec(
            PROGRAM, "serve", "--settings=" + path, cwd=ROOT, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                 "LANG": "C", "ENDIVEWHARF_SETTINGS": path})
        log.close()

    def signal(self, i, number):
        self.record.line("%s to machine %d" % (number.name, i))
        self.processes[i].send_signal(number)

    async def configure(self, routes, services, tenants):
        self.version += 3
        self.config = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants}
        await self.store.put("keyed.op", "config", self.config)

    async def start(self, services, routes, tenants, extra=None):
        """services: name -> (number of servers, slots)"""
        await self.store.start()
        await self.cloud.start()
        await self.configure(routes, [{"name": s, "healthPath": "/health",
                                       "maxConns": 230,
                                       **(extra or {}).get(s, {})}
                                      for s in services],
                             tenants)
        for service, (count, slots) in services.items():
            for k in range(count):
                server = Server(self, "i-%s-%d" % (service, k), service, slots)
                self.servers.append(server)
                await self.start_server(server)
        for i in range(self.entry_count):
            await self.start_entry(i)

    async def start_server(self, server):
        await server.start()

    async def ready(self, i, timeout=10.0):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(
                    self.ips[i], self.ports[1])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in head.start:
                    return True
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def new_id(self):
        self.next_id += 1
        return "%08x%08x" % (self.random.getrandbits(32), self.next_id)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout, goal, attempts=1,
          resumable=False, priority=0):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix,
            "kind": kind, "timeoutMs": timeout, "goalMs": goal,
            "priority": priority, "service": service, "attempts": attempts,
            "public": False, "sticky": False, "resumable": resumable,
            "gapAimMs": 600}


def request(method, path, request_id, key, deadline, body=b"", extra=()):
    text = "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n" % (
        method, path, request_id)
    text += "Deadline-Ms: %d\r\nAuthorization: Token %s\r\n" % (deadline, key)
    for name, value in extra:
        text += "%s: %s\r\n" % (name, value)
    if body or method == "POST":
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode() + b"\r\n" + body


class Path:
    """The path from one machine to one server: a proxy that can be cut.

    Modes: `open`; `reset`: a connection that is made is reset, and so are
    those that there are; `refuse`: those that there are are reset, and new
    ones are refused; `hang`: nothing passes any more.
    """

    def __init__(self, server):
        self.server = server
        self.mode = "open"
        self.writers = set()

    async def start(self):
        self.port = free_port("127.0.0.1")
        await self.listen()

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1",
                                                   self.port)

    async def set_mode(self, mode):
        if self.mode == "refuse" and mode != "refuse":
            await self.listen()
        self.mode = mode
        if mode == "refuse":
            self.listener.close()
        if mode in ("refuse", "reset"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.server.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, to_writer))

        async def pump(source, target):
            try:
                while True:
                    data = await source.read(65536)
                    while self.mode == "hang":
                        await asyncio.sleep(0.05)
                    if not data:
                        break
                    target.write(data)
                    await target.drain()
                if target.can_write_eof():
                    target.write_eof()
            except OSError:
                target.transport.abort()

        await asyncio.gather(pump(reader, to_writer), pump(to_reader, writer))
        self.writers.difference_update((writer, to_writer))
        writer.close()
        to_writer.close()


class StoreOfMachine(Store):
    """The store as one machine sees it: each server's address is that of the
    path from this machine to it. All else is that of the one store."""

    def __init__(self, rig, machine):
        super().__init__(rig, free_port("127.0.0.1"))
        self.machine = machine

    def topic(self, name):
        records = self.rig.store.topic(name)
        self.changed = self.rig.store.changed
        if name != "keyed.servers":
            return records
        changed = []
        for key, value in records:
            path = self.rig.paths.get((self.machine, key.decode()))
            if value and path:
                entry = json.loads(value)
                entry["address"] = "127.0.0.1:%d" % path.port
                value = json.dumps(entry).encode()
            changed.append((key, value))
        return changed


class CutRig(Rig):
    """A rig in which the paths from machines to servers can be cut."""

    async def start(self, services, routes, tenants, extra=None):
        self.paths = {}
        self.views = [StoreOfMachine(self, i) for i in range(self.entry_count)]
        for view in self.views:
            await view.start()
        await super().start(services, routes, tenants, extra)

    async def start_server(self, server):
        for i in range(self.entry_count):
            path = Path(server)
            await path.start()
            self.paths[(i, server.name)] = path
        await server.start()

    def fields(self, i):
        fields = super().fields(i)
        fields["platform"] = {"address": "127.0.0.1:%d" % self.views[i].port}
        return fields

    async def cut(self, machines, mode):
        self.record.line("machines %s to all servers: %s" % (machines, mode))
        for (machine, _), path in self.paths.items():
            if machine in machines:
                await path.set_mode(mode)
