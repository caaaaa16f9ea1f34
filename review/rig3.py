"""Rig of the cases 11 to 15: a small deployment on loopback addresses.

The entry processes are the project's own program, started with the command of
the deploy file and settings that are filled in from its template. The store,
the platform's API and the servers are small stand-ins of this file, which run
on the event loop of the script.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

TOP = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of a small deployment, as its pages and settings state them.
BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "budgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 54, "quotaWindowS": 8, "quotaOver": 0.1,
    "quotaSlack": 140000, "leaseMs": 3000, "usageWindowS": 5,
    "usageLateS": 10, "exposeShare": 0.1, "exposeSlack": 50,
}


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.write("trouble", TROUBLE)

    def write(self, *words):
        at = time.monotonic() - self.started
        self.file.write(f"{at:8.3f} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


def free_port(addresses):
    """A port that is free on all of the addresses."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
            return port
        except OSError:
            continue


def header(fields, name):
    for key, value in fields:
        if key.lower() == name:
            return value
    return None


async def read_head(reader):
    """First line and fields of a message; raises IncompleteReadError."""
    text = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin1")
    lines = text.split("\r\n")
    fields = []
    for line in lines[1:]:
        key, _, value = line.partition(":")
        fields.append((key, value.strip()))
    return lines[0], fields


async def read_body(reader, fields):
    if (header(fields, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(header(fields, "content-length") or 0))


class Listener:
    """Serves HTTP/1.1, one request at a time on a connection."""

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.connection, address, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{address}:{self.port}"

    async def connection(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.answer(line.split(" ")[0], line.split(" ")[1],
                                  fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


def reply(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for key, value in fields:
        head += f"{key}: {value}\r\n"
    return (head + "\r\n").encode() + body


class Store(Listener):
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self.topics = {}  # name -> list of (key, value)
        self.era = 1
        self.news = asyncio.Event()

    def put(self, topic, key, value):
        """What the operator and the servers write."""
        self.topics.setdefault(topic, []).append(
            (key.encode(), json.dumps(value).encode()))
        self.wake()

    def wake(self):
        self.news.set()
        self.news = asyncio.Event()

    async def answer(self, method, target, fields, body, writer):
        path, _, query = target.partition("?")
        words = dict(urllib.parse.parse_qsl(query))
        records = self.topics.setdefault(words.get("topic", ""), [])
        era = [("Store-Era", self.era)]
        if path == "/-/log-append":
            if "at" in words and int(words["at"]) != len(records):
                out = json.dumps({"end": len(records)}).encode()
                writer.write(reply(412, out, era))
                return
            first = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                records.append((content[1:1 + content[0]],
                                content[1 + content[0]:]))
            out = json.dumps({"offset": first, "end": len(records)}).encode()
            writer.write(reply(200, out, era))
            self.wake()
        elif path == "/-/log-read":
            start = int(words["from"])
            if start > len(records):
                writer.write(reply(410, json.dumps({"first": 0}).encode(), era))
                return
            end = time.monotonic() + int(words.get("waitMs", 0)) / 1000
            while len(records) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.news.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + value
                out += struct.pack(">I", len(content)) + content
            writer.write(reply(200, out, era))
        elif path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [{"key": key.decode("latin1"), "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in sorted(newest.items())
                     if value]
            out = json.dumps({"items": items, "hasMore": False,
                              "end": len(records)}).encode()
            writer.write(reply(200, out, era))
        else:
            writer.write(reply(404, b"", era))


class Cloud(Listener):
    """The platform's API: accepts usage reports and orders."""

    async def answer(self, method, target, fields, body, writer):
        writer.write(reply(200))


class Server(Listener):
    """A sound server of a service: runs each request and proves it."""

    def __init__(self, name, record, work=0.02):
        self.name, self.record, self.work = name, record, work
        self.runs = []  # (request id, method, path, tenant)

    async def answer(self, method, target, fields, body, writer):
        request = header(fields, "request-id")
        same = [("Request-Id", request)]
        if header(fields, "expect-instance") != self.name:
            writer.write(reply(421, b"", same + [("Instance-Id", self.name)]))
            return
        self.runs.append((request, method, target, header(fields, "tenant")))
        self.record.write("run", self.name, request, method, target,
                          "tenant", header(fields, "tenant"))
        await asyncio.sleep(self.work)
        text = b"" if method == "HEAD" else f"done {request}".encode()
        out = reply(200, text, same + [("Server-Seal",
                                        f"seal.{self.name}.{request}")])
        self.record.write("server answers", self.name, request)
        writer.write(out)


def fill_template(text, values):
    """Fills in what the deploy file's template uses of the placeholders."""
    zones = ",".join(f"{k}:{v}" for k, v in values["zones"].items())
    text = text.replace("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", zones)
    while "{{" in text:
        before, _, rest = text.partition("{{")
        name, _, after = rest.partition("}}")
        value = values
        for part in name.split("."):
            value = (value[int(part)] if isinstance(value, list)
                     else value.get(part, ""))
        if isinstance(value, list):
            value = ",".join(str(v) for v in value)
        text = before + str(value) + after
    return text


class Deployment:
    """Entry processes on addresses of their own, with the same ports."""

    def __init__(self, record, entries=2):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.ips = [f"127.0.0.{11 + i}" for i in range(entries)]
        self.front, self.ready, self.control, self.peer, self.relay = (
            free_port(self.ips) for _ in range(5))
        self.store, self.cloud = Store(), Cloud()
        self.processes = [None] * entries
        self.bounds = [dict(BOUNDS) for _ in range(entries)]
        self.version = 0
        self.deploy = tomllib.loads((TOP / "deploy/system.toml").read_text())

    async def start(self):
        await self.store.start()
        await self.cloud.start()

    def add_server(self, server, service="desk", zone="a"):
        self.store.put("keyed.servers", server.name, {
            "service": service, "address": server.address, "zone": zone,
            "version": "v1", "slots": 6, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1,
            "born": int(time.time() * 1000)})

    def remove_server(self, name):
        """The entry of a server that is silent is removed."""
        self.store.topics["keyed.servers"].append((name.encode(), b""))
        self.store.wake()

    def write_config(self, keys, routes):
        """Publishes a configuration. keys: of the one tenant."""
        self.version += 1
        self.record.write("configuration", self.version, "keys", keys)
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "desk", "healthPath": "/health",
                          "maxConns": 100, "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "shop", "apiKeys": keys, "priority": 1,
                         "unit": "tokens", "plainTokens": 200,
                         "ratePerS": 0, "burst": 0}]})

    def write_settings(self, i):
        """Fills in the template as the platform does.

        Returns the path of the settings file.
        """
        role = self.deploy["roles"]["entry"]
        values = {
            "node": f"front-{'abc'[i]}-1", "zone": "abc"[i],
            "zones": {zone: "home" for zone in "abc"}, "ip": self.ips[i],
            "listen": {"front": f"{self.ips[i]}:{self.front}",
                       "ready": f"{self.ips[i]}:{self.ready}"},
            "internalPorts": [self.peer, self.relay],
            "seeds": [f"{ip}:{self.control}" for ip in self.ips],
            "limits": {"memoryMb": 390, "maxFds": 6150},
            "bounds": self.bounds[i],
            "platform": {"address": self.store.address},
            "cloud": {"address": self.cloud.address}}
        path = pathlib.Path(self.folder.name) / f"entry-{i}.ini"
        path.write_text(fill_template((TOP / role["template"]).read_text(),
                                      values))
        return path

    def start_entry(self, i):
        """Starts a process with the settings in effect at this moment."""
        path = self.write_settings(i)
        role = self.deploy["roles"]["entry"]
        command = role["run"].split(" ")
        command = [f"--settings={path}" if word.startswith("--settings=")
                   else word for word in command]
        log = open(pathlib.Path(self.folder.name) / f"entry-{i}.log", "a")
        self.processes[i] = subprocess.Popen(command, cwd=TOP, stdout=log,
                                             stderr=subprocess.STDOUT)

    async def is_ready(self, i):
        try:
            reader, writer = await asyncio.open_connection(self.ips[i],
                                                           self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, i, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready(i):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("an entry process does not become ready")

    def end(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            if process is not None:
                process.wait()
        self.folder.cleanup()


def route(name, prefix, kind, attempts):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 1500, "goalMs": 300, "priority": 2,
            "service": "desk", "attempts": attempts, "public": False}


def run_case(folder, case, entries=2):
    """Runs a case and exits as the review's rules say."""
    record = Record(folder)

    async def play():
        deployment = Deployment(record, entries)
        try:
            await deployment.start()
            return await case(deployment, record)
        finally:
            deployment.end()

    async def bounded():
        return await asyncio.wait_for(play(), 110)

    try:
        result = asyncio.run(bounded())
    except Exception as reason:  # the case could not run
        record.write("could not run:", repr(reason))
        print("could not run:", repr(reason))
        sys.exit(NOT_RUN)
    record.write("result", result)
    print("rule broken" if result == BROKEN else "rule held")
    sys.exit(result)
