"""Stand-ins for the platform, and helpers that the scripts of this folder share.

Everything runs on loopback addresses: entry processes at 127.0.N.K, the store,
the cloud API and the servers at 127.0.0.1. The entry processes are the build of
the deploy file, started with its command.
"""
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lock = threading.Lock()
        self.file = open(self.path, "w")

    def __call__(self, text):
        with self.lock:
            self.file.write("%9.3f  %s\n" % (now(), text))
            self.file.flush()


def free_port(ip="127.0.0.1"):
    s = socket.socket()
    s.bind((ip, 0))
    port = s.getsockname()[1]
    s.close()
    return port


class Closed(Exception):
    pass


class Conn:
    """One HTTP connection, either side."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text.decode("latin-1")

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line()
        fields = {}
        while True:
            text = self.line()
            if not text:
                return first, fields
            name, value = text.split(":", 1)
            fields[name.strip().lower()] = value.strip()

    def chunks(self):
        while True:
            size = int(self.line().split(";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            yield self.take(size)
            self.take(2)

    def body(self, fields):
        if "chunked" in fields.get("transfer-encoding", ""):
            return b"".join(self.chunks())
        return self.take(int(fields.get("content-length", "0")))

    def send(self, data):
        self.sock.sendall(data)

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             struct.pack("ii", 1, 0))
        self.close()


def answer_bytes(status, fields, body):
    reason = "OK" if status < 300 else "Error"
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % item for item in fields]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Listener:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port))
        self.sock.listen(256)
        self.address = "%s:%d" % self.sock.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.sock.accept()
            threading.Thread(target=self.serve, args=(Conn(sock),),
                             daemon=True).start()

    def serve(self, conn):
        try:
            while True:
                first, fields = conn.head()
                method, target, _ = first.split(" ", 2)
                body = conn.body(fields)
                self.handle(conn, method, target, fields, body)
        except (Closed, OSError, ValueError):
            pass
        finally:
            conn.close()


def query_of(target):
    path, _, query = target.partition("?")
    return path, dict(p.split("=", 1) for p in query.split("&") if "=" in p)


class Store(Listener):
    """The platform's store: keyed topics with one partition. It loses what it
    has acknowledged only in a return from a copy."""

    def __init__(self, record):
        self.record = record
        self.cond = threading.Condition()
        self.topics = {}  # name -> list of (time, key, value)
        self.era = 1
        self.away = False
        super().__init__()

    # What the operator and the servers write.
    def put(self, topic, key, value):
        with self.cond:
            if self.away:
                return
            self.topics.setdefault(topic, []).append(
                (now(), key.encode(), json.dumps(value).encode()))
            self.cond.notify_all()

    def leave(self):
        """The store is away: it answers nothing and does nothing."""
        with self.cond:
            self.away = True
            self.cond.notify_all()
        self.record("store: away")

    def restore(self, time_of_copy):
        """It comes back from the copy of a time, with a new era."""
        with self.cond:
            lost = 0
            for name, records in self.topics.items():
                kept = [r for r in records if r[0] <= time_of_copy]
                lost += len(records) - len(kept)
                self.topics[name] = kept
            self.era += 1
            self.away = False
            self.cond.notify_all()
        self.record("store: back from a copy %.1f s old, era %d, %d records lost"
                    % (now() - time_of_copy, self.era, lost))

    def reply(self, conn, status, body, binary=False):
        if not binary:
            body = json.dumps(body).encode()
        conn.send(answer_bytes(status, [
            ("Content-Type", "application/octet-stream" if binary
             else "application/json"), ("Store-Era", str(self.era))], body))

    def handle(self, conn, method, target, fields, body):
        path, query = query_of(target)
        with self.cond:
            if self.away:
                raise Closed()
            topic = query.get("topic", "").replace("%2E", ".")
            if path == "/-/log-append":
                self.append(conn, topic, query, body)
            elif path == "/-/log-read":
                self.read(conn, topic, query)
            elif path == "/-/log-newest":
                self.newest(conn, topic, query)
            else:
                self.reply(conn, 404, {})

    def append(self, conn, topic, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return self.reply(conn, 403, {})
        records = self.topics.setdefault(topic, [])
        offset = len(records)
        if "at" in query and int(query["at"]) != offset:
            return self.reply(conn, 412, {"end": offset})
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            length = content[0]
            records.append((now(), content[1:1 + length], content[1 + length:]))
        self.cond.notify_all()
        self.reply(conn, 200, {"offset": offset, "end": len(records)})

    def read(self, conn, topic, query):
        start = int(query.get("from", "0"))
        limit = now() + min(30000, int(query.get("waitMs", "0"))) / 1000.0
        era = self.era
        while True:
            if self.away or self.era != era:
                raise Closed()
            records = self.topics.get(topic, [])
            if start > len(records):
                return self.reply(conn, 410, {"first": 0})
            left = limit - now()
            if start < len(records) or left <= 0:
                break
            self.cond.wait(left)
        data = struct.pack(">QQ", len(records), 0)
        for _, key, value in records[start:start + 2000]:
            content = bytes([len(key)]) + key + value
            data += struct.pack(">I", len(content)) + content
        self.reply(conn, 200, data, binary=True)

    def newest(self, conn, topic, query):
        records = self.topics.get(topic, [])
        newest = {}
        for offset, (_, key, value) in enumerate(records):
            newest[key] = (offset, value)
        after = query.get("after", "").encode()
        items = [{"key": key.decode(), "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in sorted(newest.items())
                 if value and key > after]
        self.reply(conn, 200, {"items": items[:500],
                               "hasMore": len(items) > 500,
                               "end": len(records)})


class Cloud(Listener):
    """The platform's API for duties; accepts every call and notes it."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.calls = []  # (time, path, holder, token, body)
        super().__init__()

    def handle(self, conn, method, target, fields, body):
        call = (now(), target, fields.get("duty-holder", ""),
                fields.get("fencing-token", ""), json.loads(body or b"{}"))
        with self.lock:
            self.calls.append(call)
        self.record("cloud: %s from %s, token %s: %s" % (
            target, call[2], call[3], json.dumps(call[4], sort_keys=True)))
        conn.send(answer_bytes(200, [("Content-Type", "application/json")],
                               b"{}"))


class Server(Listener):
    """A server of a service: plain requests, one at a time on a connection."""

    def __init__(self, rig, name, service, zone, slots=6, work_ms=60.0):
        self.rig = rig
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_ms = work_ms
        self.lock = threading.Lock()
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = {}  # request id -> times that it began to run
        self.answers = 0
        super().__init__()
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "1", "slots": self.slots,
                "state": "ready", "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    def beat(self):
        while True:
            self.sequence += 1
            self.rig.store.put("keyed.servers", self.name, self.entry())
            time.sleep(self.rig.heartbeat_s)

    def fields(self, request, not_run=False):
        out = [("Request-Id", request.get("request-id", "")),
               ("Content-Type", "text/plain")]
        if not_run:
            out.append(("Not-Executed", "1"))
        else:
            out.append(("Server-Seal", "seal.%s.%s" % (
                self.name, request.get("request-id", ""))))
        return out

    def is_full(self):
        return self.running >= self.slots

    def refusal(self, request):
        return answer_bytes(503, self.fields(request, True), b"full\n")

    def handle(self, conn, method, target, fields, body):
        request_id = fields.get("request-id", "")
        if fields.get("expect-instance", self.name) != self.name:
            conn.send(answer_bytes(421, self.fields(fields, True), b""))
            return
        if not self.begin(conn, fields, request_id):
            return
        self.run(conn, target, fields, body)

    def begin(self, conn, fields, request_id):
        with self.lock:
            self.answers += 1
            full = self.is_full()
            if not full:
                self.running += 1
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if full:
            self.rig.record("server %s: refuses %s (full, not run)"
                            % (self.name, request_id))
            conn.send(self.refusal(fields))
            return False
        self.rig.record("server %s: runs %s" % (self.name, request_id))
        return True

    def run(self, conn, target, fields, body):
        time.sleep(self.work_ms / 1000.0)
        with self.lock:
            self.running -= 1
        conn.send(answer_bytes(200, self.fields(fields),
                               b"done " + target.encode()))


class Answer:
    def __init__(self, status, fields=None, body=b"", detail=""):
        self.status = status  # 0: no answer
        self.fields = fields or {}
        self.body = body
        self.detail = detail


def render(template, values):
    """Fills a settings template as the platform does: `{{a.b}}` and lists
    joined by commas are all that platform/settings.ini uses."""
    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return ",".join(found) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8,
          "configApplyMs": 2000, "budgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 54, "quotaWindowS": 8, "quotaOver": 0.1,
          "quotaSlack": 140000, "leaseMs": 3000, "thawMs": 300,
          "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
          "exposeShare": 0.1, "exposeSlack": 50, "recoverS": 12}


class Entry:
    """One entry process: the command of the deploy file, its settings from the
    deploy file's template."""

    def __init__(self, rig, index, zone):
        self.rig = rig
        self.name = "front-%s-%d" % (zone, index)
        self.zone = zone
        self.ip = "127.0.%d.%d" % (1 + index, 10 + index)
        self.process = None
        self.log = open(os.path.join(rig.folder, self.name + ".log"), "ab")

    def settings(self):
        rig = self.rig
        with open(os.path.join(ROOT, "platform", "settings.ini")) as f:
            template = f.read()
        return render(template, {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": "%s:%d" % (self.ip, rig.front_port),
                       "ready": "%s:%d" % (self.ip, rig.ready_port)},
            "internalPorts": [rig.peer_port, rig.relay_port],
            "seeds": ["%s:%d" % (e.ip, rig.control_port)
                      for e in rig.entries[:3]],
            "platform": {"address": rig.store.address},
            "cloud": {"address": rig.cloud.address}, "bounds": BOUNDS})

    def start(self):
        path = os.path.join(self.rig.folder, self.name + ".ini")
        with open(path, "w") as f:
            f.write(self.settings())
        command = self.rig.command("entry")
        command[-1] = "--settings=" + path
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": self.rig.folder,
                 "ENDIVEWHARF_SETTINGS": path})
        self.rig.record("entry %s: started" % self.name)

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        self.rig.record("entry %s: signal %d" % (self.name, number))

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def is_ready(self):  # deploy/wire.toml names the path.
        try:
            conn = self.connect(self.rig.ready_port, 1)
            conn.send(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = conn.head()
            conn.close()
            return " 200 " in first + " "
        except (OSError, Closed):
            return False

    def connect(self, port=None, timeout=5.0):
        return Conn(socket.create_connection(
            (self.ip, port or self.rig.front_port), timeout))


class Rig:
    """A small deployment: 4 entry processes in 3 zones, as on the sheets."""

    started = []

    def __init__(self, folder, heartbeat_s=1.2):
        Rig.started.append(self)
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.heartbeat_s = heartbeat_s
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record("disruption: %s" % ("on" if self.trouble else "off"))
        self.store = Store(self.record)
        self.cloud = Cloud(self.record)
        self.servers = []
        self.entries = []
        self.front_port, self.ready_port, self.control_port = (
            free_port(), free_port(), free_port())
        self.peer_port, self.relay_port = free_port(), free_port()
        self.next_id = 0
        self.lock = threading.Lock()
        self.version = 0

    @staticmethod
    def command(role):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
            text = f.read()
        section = text.split("[roles.%s]" % role, 1)[1]
        return re.search(r'^run = "(.*)"$', section, re.M).group(1).split()

    def add_server(self, *args, kind=Server, **options):
        self.servers.append(kind(self, *args, **options))
        return self.servers[-1]

    def add_entries(self, zones=("a", "a", "b", "c")):
        for i, zone in enumerate(zones):
            self.entries.append(Entry(self, i, zone))

    def write_config(self, routes, services, tenants, version=None):
        if version is None:
            self.version += 1
        config = {"version": version or self.version, "routes": routes,
                  "services": services, "tenants": tenants,
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("keyed.op", "config", config)
        self.record("operator: config version %d" % config["version"])
        return config

    def start(self):
        for entry in self.entries:
            entry.start()

    def wait_ready(self, limit=25):
        end = now() + limit
        while now() < end:
            if all(e.is_ready() for e in self.entries):
                self.record("all entries are ready")
                return True
            time.sleep(0.1)
        return False

    def new_id(self):
        with self.lock:
            self.next_id += 1
            return "%016x" % (0x5eed000000000000 + self.next_id)

    def ask(self, entry, method, path, key, deadline_ms=1500, body=b"",
            fields=(), conn=None):
        """One client attempt. @return its id and answer"""
        request_id = self.new_id()
        own = conn is None
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: shop.example",
                 "Request-Id: " + request_id,
                 "Deadline-Ms: %d" % deadline_ms,
                 "Authorization: Token " + key]
        lines += ["%s: %s" % item for item in fields]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.record("client: %s %s %s to %s" % (request_id, method, path,
                                                entry.name))
        try:
            if own:
                conn = entry.connect(timeout=1.0)
            conn.sock.settimeout(deadline_ms / 1000.0 + 1.0)
            conn.send("\r\n".join(lines + ["", ""]).encode() + body)
            first, head = conn.head()
            answer = Answer(int(first.split(" ")[1]), head, conn.body(head))
        except (OSError, Closed) as error:
            answer = Answer(0, detail=repr(error))
        if own and conn is not None:
            conn.close()
        self.record("client: %s gets %s %s" % (
            request_id, answer.status or "no answer",
            "from a server" if "server-seal" in answer.fields else
            answer.detail or answer.body.decode("latin-1").strip()))
        return request_id, answer

    def close(self):
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def finish(rig, code, text):
    rig.record(text)
    rig.close()
    print(text, flush=True)
    os._exit(code)


def run(case):
    """Runs a case; whatever goes wrong, its processes end, and an error of the
    case itself is 2, not 1."""
    def stop(number, frame):
        raise SystemExit("signal %d" % number)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        case()
    except BaseException as error:  # finish() does not come back
        for rig in Rig.started:
            rig.close()
        print("could not run: %r" % error, flush=True)
        os._exit(2)
