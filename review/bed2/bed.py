"""Stand-ins of the users' platform for the scripts of this review: the store, runners and clients on
loopback addresses, in one process, as PROTOCOL.md describes them; and the daemons, as the deploy
file starts them. Standard library only."""
import asyncio
import json
import base64
import os
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NO_RUN = 1, 0, 2
BOOT = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - BOOT


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{now():9.3f} {what} {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


# HTTP


async def read_head(reader):
    """Returns the first line and the headers, by lower-case name; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        if not field:
            return None
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, headers, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP/1.1 server; a subclass answers requests."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if not await self.handle(method, target, head[1], body, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        except asyncio.CancelledError:  # The script ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError

    def reset_all(self):
        """Resets all connections, as the end of a process does that has not read everything."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()


class Store(Server):
    """The platform's store: a log with topics; what it has acknowledged stays."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()
        self.era = 1

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def put_config(self, config):
        self.append("keyed.op", b"config", json.dumps(config).encode())

    def list_runner(self, name, entry):
        """Writes a runner's entry; None takes it away."""
        value = b"" if entry is None else json.dumps(entry).encode()
        self.append("keyed.servers", name.encode(), value)

    async def handle(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        era = {"Store-Era": str(self.era)}
        if parts.path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            after = unquote(query.get("after", "")).encode("latin-1")
            items = [
                {
                    "key": key.decode("latin-1"),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value and key > after
            ]
            page = {"items": items[:500], "more": len(items) > 500, "end": len(records)}
            writer.write(answer(200, era, json.dumps(page).encode()))
        elif parts.path == "/log-read":
            start = int(query.get("from", "0"))
            until = now() + int(query.get("wait-ms", "0")) / 1000
            while len(records) <= start and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            if start > len(records):
                writer.write(answer(410, era, json.dumps({"first": 0}).encode()))
                return True
            out = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            most = int(query.get("max_kb", "1024")) * 1024
            for key, value in records[start:]:
                content = value
                if topic.startswith("keyed."):
                    content = bytes([len(key)]) + key + value
                out += len(content).to_bytes(4, "big") + content
                if len(out) > most:
                    break
            writer.write(answer(200, era, out))
        elif parts.path == "/log-append":
            at = query.get("at")
            if at is not None and int(at) != len(records):
                writer.write(answer(412, era, json.dumps({"end": len(records)}).encode()))
                return True
            first = len(records)
            while body:
                size = int.from_bytes(body[:4], "big")
                content, body = body[4 : 4 + size], body[4 + size :]
                if topic.startswith("keyed."):
                    length = content[0]
                    self.append(topic, content[1 : 1 + length], content[1 + length :])
                else:
                    self.append(topic, b"", content)
            page = {"offset": first, "end": len(records)}
            writer.write(answer(200, era, json.dumps(page).encode()))
        else:
            writer.write(answer(404, era, b"{}"))
        return True


class Runner(Server):
    """A runner. `role` is "prefill" or "decode" for model engines, empty for a plain service."""

    def __init__(self, name, service, record, role="", zone="hall-a", version="v1", work_s=0.01):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.role = role
        self.zone = zone
        self.version = version
        self.work_s = work_s
        self.limit = None  # Server-Limit, in requests a second.
        self.arrivals = []  # (time, request id, host that sent it, headers)
        self.holds = 0
        self.generations = 0
        self.crash_if = None  # Function of headers and body: a run of it crashes this runner.
        self.down = False
        self.crashes = []  # (time, request id)
        self.refuse = None  # Function of the sender: headers of a 503 to it, or None.
        self.born = None

    def entry(self, state="ready"):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
        }
        if self.role:
            entry["stage"] = self.role
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def own(self, request):
        headers = {"X-Request-Id": request, "X-Server-Stamp": f"stamp.{self.name}"}
        if self.limit is not None:
            headers["Server-Limit"] = str(self.limit)
        return headers

    async def handle(self, method, target, headers, body, writer):
        request = headers.get("x-request-id", "")
        sender = SENT.get(request, "?")
        extra = {} if self.limit is None else {"Server-Limit": str(self.limit)}
        if target == "/hold-take":
            self.holds += 1
            writer.write(answer(200, extra, json.dumps({"hold": f"h{self.holds}"}).encode()))
            return True
        if target.startswith(("/hold-drop/", "/kv-handle/")):
            writer.write(answer(200, extra, b"{}"))
            return True
        if target == "/order":
            writer.write(answer(409, extra, b"{}"))
            return True
        if not request:
            writer.write(answer(200, {"X-Instance-Id": self.name}))
            return True
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(answer(421, {"X-Request-Id": request, "X-Not-Executed": "1"}))
            return True
        self.arrivals.append((now(), request, sender, headers))
        refusal = self.refuse(sender) if self.refuse is not None else None
        if refusal is not None:
            self.record.add("refuses", runner=self.name, request=request, sender=sender)
            writer.write(answer(503, {"X-Request-Id": request, "X-Not-Executed": "1", **refusal}))
            return True
        stage = headers.get("x-stage", "")
        self.record.add(
            "arrives", runner=self.name, request=request, sender=sender, stage=stage or "run"
        )
        if stage == "prefill":
            await asyncio.sleep(self.work_s)
            self.generations += 1
            handle = {"kv-handle": f"k{self.generations}", "tokens": 1, "version": 1}
            writer.write(answer(200, self.own(request), json.dumps(handle).encode()))
            return True
        if self.crash_if is not None and self.crash_if(headers, body):
            await asyncio.sleep(0.04)
            self.crash(request)
            return False
        if self.role == "decode":
            return await self.generate(request, headers, writer)
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, self.own(request), f"answer to {request}".encode()))
        return True

    async def generate(self, request, headers, writer, events=4, pause_s=0.03):
        head = "".join(f"{name}: {value}\r\n" for name, value in self.own(request).items())
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        last = headers.get("last-event-id")
        for number in range(0 if last is None else int(last) + 1, events):
            await asyncio.sleep(pause_s)
            event = f"id: {number}\ndata: {self.version} piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    def crash(self, request):
        """Ends this life: all connections are reset and the port refuses."""
        if self.down:
            return
        self.down = True
        self.crashes.append((now(), request))
        self.record.add("crashes", runner=self.name, request=request)
        self.server.close()
        self.reset_all()


# Daemons


def run_line():
    """The program and arguments with which the deploy file starts a daemon."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        deploy = tomllib.load(file)
    return shlex.split(deploy["roles"]["router"]["run"])


def free_base(hosts, count=12):
    """Finds a port from which `count` ports are free on all hosts, for TCP and UDP."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        try:
            for host in hosts:
                for port in list(range(base, base + count)) + [9464]:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Fleet:
    """Daemons on 127.x.y.1, 127.x.y.2 and so on, before one store."""

    def __init__(self, store, record, count):
        self.store = store
        self.record = record
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.hosts = [f"{net}.{number + 1}" for number in range(count)]
        self.gone = [f"{net}.{number + 201}" for number in range(3)]  # Nobody is there.
        self.base = free_base(self.hosts)
        self.folder = tempfile.TemporaryDirectory(prefix="dunehook-review-")
        self.processes = {}
        self.halls = ["duluth-hall", "toledo-hall", "erie-hall"]

    def front(self, number):
        return self.hosts[number], self.base + 8

    def settings(self, number, seeds, first_start):
        host, base = self.hosts[number], self.base
        listed = ", ".join(f'"{seed}:{base + 10}"' for seed in seeds)
        zone = self.halls[number % len(self.halls)]
        return f"""node-name = "front-{zone}-{number + 1}"
role = "router"
machine-class = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "great-lakes"
internal-ports = [{base},{base + 7}]
seeds = [{listed}]
bootstrap = {"true" if first_start else "false"}
count-in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
duluth-hall = "great-lakes"
toledo-hall = "great-lakes"
erie-hall = "great-lakes"
[listen]
front = "{host}:{base + 8}"
ready = "{host}:{base + 9}"
control = "{host}:{base + 10}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 110
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
skew-max-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 56
recovery-s = 12
transit-ms = 120
again_s = 3.3
enforce-fencing = true
lease-ms = 3000
thaw-ms = 300
[platform]
address = "{self.store.address}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""

    def start(self, number, seeds, first_start=False):
        path = os.path.join(self.folder.name, f"{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number, seeds, first_start))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["DUNEHOOK_BOOT"] = path
        log = open(os.path.join(self.folder.name, f"{number}.log"), "ab")
        with log:
            self.processes[number] = subprocess.Popen(
                run_line(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.add("daemon", host=self.hosts[number], seeds=",".join(seeds) or "none")

    async def ready(self, number, limit_s=10.0):
        """Waits until a daemon says that it is ready."""
        until = now() + limit_s
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(self.hosts[number], self.base + 9)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"daemon {number} is not ready")

    def log(self, number):
        path = os.path.join(self.folder.name, f"{number}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def running(self):
        return [number for number, process in self.processes.items() if process.poll() is None]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            os.system(f"cp -r {shlex.quote(self.folder.name)} {shlex.quote(keep)}")
        self.folder.cleanup()


def config(version=1, desk=2):
    """A manifest with a plain service and a service of model engines."""
    def route(prefix, kind, service, timeout, target, attempts, **more):
        return {
            "name": "r" + prefix.replace("/", "-"),
            "host": "a.example",
            "path-prefix": prefix,
            "service": service,
            "kind": kind,
            "timeout-ms": timeout,
            "target-latency-ms": target,
            "max-attempts": attempts,
            "priority": 1,
            **more,
        }

    stream = {"gap_aim_ms": 300, "sticky-sessions": True}
    return {
        "version": version,
        "routes": [
            route("/records/", "unsafe", "desk", 1500, 300, 1),
            route("/pages/", "safe", "desk", 1500, 300, 2),
            route("/turns/", "streaming", "tutor", 14000, 900, 1, resumable=False, **stream),
            route("/resumed/", "streaming", "tutor", 14000, 900, 2, resumable=True, **stream),
        ],
        "services": [
            {"name": "desk", "max-connections": 110, "health-path": "/healthz"},
            {
                "name": "tutor",
                "max-connections": 370,
                "health-path": "/healthz",
                "engine": {
                    "slots": 64,
                    "kv-tokens": 89659,
                    "stride": 64,
                    "handle-ttl-s": 0.5,
                    "stage-switch-s": 6.0,
                    "hold-ms": 2000.0,
                },
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": 1000,
            "idle-timeout-ms": 5000,
        },
    }


# Clients


class Answer:
    """What a client got: status 0 if the connection ended or the time was over."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole


_requests = 0
SENT = {}  # By request id: the machine that it was sent to.


def request_id():
    """A new id; each attempt has its own."""
    global _requests
    _requests += 1
    return f"{os.getpid():05x}{_requests:08x}"


async def call(at, method, target, headers=None, body=b"", limit_s=3.0, request=None, on=None):
    """Sends one request on a new connection and reads its answer."""
    request = request or request_id()
    SENT[request] = at[0]
    fields = {
        "Host": "a.example",
        "X-Request-Id": request,
        "X-Deadline-Ms": str(int(limit_s * 1000)),
        **(headers or {}),
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    got = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*at, limit=1 << 22)
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first = await read_head(reader)
            if first is not None:
                got.status = int(first[0].split(" ")[1])
                got.headers = first[1]
                if on is not None:
                    on(got)
                got.body = await read_body(reader, first[1])
                got.whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return got


def main(case, folder):
    """Runs a case: a coroutine of a record that returns BROKEN or HELD."""
    record = Record(folder)

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record), 115)

    try:
        outcome = asyncio.run(run())
    except Exception as error:  # Whatever kept the case from running.
        record.add("failed", error=repr(error))
        print(f"the case could not run: {error!r}")
        outcome = NO_RUN
    record.add("outcome", trouble=int(TROUBLE), exit=outcome)
    record.write()
    sys.exit(outcome)
