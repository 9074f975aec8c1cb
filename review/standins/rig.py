"""Stand-ins for the review's scripts: the platform's store, replicas, and clients, around real gateway processes.

All of them speak what PROTOCOL.md says, on loopback addresses. One process and one event loop hold all stand-ins.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/sequoiausher/cli/sequoiausher")
TEMPLATE = os.path.join(ROOT, "platform/gateway.ini.template")

BOUNDS = {
    "revocation_ms": 5000, "drain_timeout_ms": 2000, "retry_budget_ratio": 0.2, "retry_budget_slack": 54,
    "budget_window_s": 10, "grace_period_s": 8,
}


class Record:
    """The record of what was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


def free_port(address):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Message:
    """A request or an answer."""

    def __init__(self, first, fields, body=b"", whole=True):
        self.first = first
        self.fields = fields
        self.body = body
        self.whole = whole

    def get(self, name, otherwise=""):
        for field, value in self.fields:
            if field.lower() == name.lower():
                return value
        return otherwise

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name, value.strip()))
    return Message(lines[0], fields)


async def read_chunked(reader, on_bytes=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        part = await reader.readexactly(size)
        await reader.readexactly(2)
        body += part
        if on_bytes:
            on_bytes(part)


async def read_request(reader):
    message = await read_head(reader)
    if "chunked" in message.get("Transfer-Encoding"):
        message.body = await read_chunked(reader)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length", "0")))
    return message


class Store:
    """The platform's store. Each gateway has an address of its own, so that it can be treated by itself."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.modes = {}
        self.servers = {}
        self.writers = {}
        self.delay = 0.004
        self.page = 500
        self.era = 1
        self.forgotten = 0

    async def listen(self, address, port=0):
        server = await asyncio.start_server(lambda r, w: self.serve(address, r, w), address, port)
        self.servers[address] = server
        port = server.sockets[0].getsockname()[1]
        return f"{address}:{port}"

    async def leave(self, address):
        """Ends the service at the address; open connections are closed."""
        self.servers[address].close()
        for writer in self.writers.pop(address, set()):
            writer.transport.abort()

    def write(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "create_revision": created, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.record(f"store: {key} written, revision {self.revision}")
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self.record(f"store: {key} removed, revision {self.revision}")
            self.wake()

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from a copy: what was written since is lost, and its revisions are given out again."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.history, self.forgotten = [], self.revision
        self.era += 1
        self.record(f"store: back from a copy, era {self.era}, revision {self.revision}")

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, address, reader, writer):
        self.writers.setdefault(address, set()).add(writer)
        try:
            while True:
                request = await read_request(reader)
                mode = self.modes.get(address, "up")
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "busy":
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                await asyncio.sleep(self.delay)
                status, body = await self.answer(request)
                if self.modes.get(address, "up") == "silent":
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.get(address, set()).discard(writer)
            writer.close()

    async def answer(self, request):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(request.first.split(" ")[1])
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return ("200", dict(item, current_rev=self.revision)) if item else ("404", {})
        if parts.path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("path_prefix", "")) and k > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                if len(page) >= self.page or (page and size > 1000000):
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return "200", {"items": page, "has_more": len(page) < len(keys), "current_rev": self.revision}
        if parts.path == "/v1/kv-watch":
            after = int(query["after"])
            if after > self.revision or after < self.forgotten:
                return "410", {}
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after
                          and e["key"].startswith(query.get("path_prefix", ""))]
                if events or time.monotonic() >= until:
                    return "200", {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        return "404", {}


class Run:
    def __init__(self, at, replica, request):
        self.at = at
        self.replica = replica
        self.request = request
        self.id = request.get("Request-Attempt-Id")
        self.ended = None
        self.left_at = None


class Replica:
    """One start of a replica. How it works off a request is said by play, a coroutine of (replica, run, reader, writer)."""

    def __init__(self, record, name, service, address="127.0.0.1", slots=6, zone="z1"):
        self.record = record
        self.name = name
        self.service = service
        self.host = address
        self.slots = slots
        self.zone = zone
        self.runs = []
        self.work = 0.03
        self.events = 10
        self.event_gap = 0.05
        self.play = None
        self.writers = set()
        self.arrivals = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port, limit=2 ** 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    def entry(self, state="ready", **more):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence_number": 1}
        entry.update(more)
        return entry

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                run = Run(self.record.now(), self, request)
                self.arrivals.append(run)
                if request.get("Expected-Instance") not in ("", self.name):
                    await self.read_body(reader, request)
                    self.record(f"replica {self.name}: {run.id} is misdirected")
                    writer.write(f"HTTP/1.1 421 X\r\nRequest-Attempt-Id: {run.id}\r\nInstance-Id: {self.name}\r\n"
                                 f"Content-Length: 0\r\n\r\n".encode())
                    continue
                if self.play:
                    if not await self.play(self, run, reader, writer):
                        return
                else:
                    await self.read_body(reader, request)
                    await self.run(run, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def read_body(reader, request):
        if "chunked" in request.get("Transfer-Encoding"):
            request.body = await read_chunked(reader)
        else:
            request.body = await reader.readexactly(int(request.get("Content-Length", "0")))

    def begin(self, run):
        run.at = self.record.now()
        self.runs.append(run)
        self.record(f"replica {self.name}: runs {run.id} {run.request.first} left "
                    f"{run.request.get('Deadline-Remaining-Ms')} after {run.request.get('Last-Event-Id', '-')}")

    def fields(self, run):
        return (f"Request-Attempt-Id: {run.id}\r\nResponse-Signature: {self.name}.{run.id}\r\n"
                f"Server-Load: 1,0,{self.slots}\r\n")

    async def wait(self, run, reader, seconds):
        """Waits, and notices when the caller leaves. Returns whether it stayed."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if reader.at_eof() or reader.exception():
                run.left_at = self.record.now()
                self.record(f"replica {self.name}: the caller of {run.id} has left")
                return False
            await asyncio.sleep(min(0.01, max(0, until - time.monotonic())))
        return True

    async def run(self, run, reader, writer):
        self.begin(run)
        if run.request.get("Model-Name"):
            return await self.run_stream(run, reader, writer)
        if not await self.wait(run, reader, self.work):
            raise ConnectionError
        body = f"answer to {run.id} by {self.name}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{self.fields(run)}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        run.ended = self.record.now()

    async def run_stream(self, run, reader, writer):
        if not await self.wait(run, reader, self.work):
            raise ConnectionError
        first = int(run.request.get("Last-Event-Id", "0") or 0) + 1
        writer.write(f"HTTP/1.1 200 OK\r\n{self.fields(run)}Content-Type: text/event-stream\r\n"
                     f"Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(first, self.events + 1):
            if not await self.wait(run, reader, self.event_gap):
                raise ConnectionError
            event = self.event(run, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        run.ended = self.record.now()

    @staticmethod
    def event(run, number):
        return f"id: {number}\ndata: piece {number} of {run.id}\n\n".encode()


class Gateway:
    """A gateway as the deploy file starts it, at an address of its own."""

    def __init__(self, rig, number, zone="z1"):
        self.rig = rig
        self.name = f"g{number}"
        self.ip = f"{rig.network}.{number}"
        self.zone = zone
        self.process = None
        self.extra = {}

    async def prepare(self, ports):
        self.front = f"{self.ip}:{ports['front']}"
        self.ready = f"{self.ip}:{ports['ready']}"
        self.peer = f"{self.ip}:{ports['peer']}"
        self.tunnel_port = ports["tunnel"]
        self.store = await self.rig.store.listen(self.ip)
        self.metrics_port = ports["metrics"]

    def settings(self, seeds):
        values = {
            "node_name": self.name, "zone": self.zone, "listen_addresses.frontend": self.front,
            "listen_addresses.ready": self.ready, "listen_addresses.control_plane": self.peer,
            "internal_port_range.0": self.tunnel_port, "ip_address": self.ip, "limits.cpu_share": 0.25,
            "limits.link_mbps": 1000.0, "limits.file_descriptors": 4100, "limits.memory_mb": 260,
            "platform.address": self.store, "seed_nodes": ",".join(seeds),
        }
        values.update({"bounds." + k: v for k, v in self.rig.bounds.items()})
        values.update(self.extra)
        text = open(TEMPLATE).read()
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", ", ".join(f"{z}:r1" for z in self.rig.zones), text)
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: str(values[m.group(1)]), text)
        return text.replace(":9100", f":{self.metrics_port}")

    def write_settings(self):
        self.config = os.path.join(self.rig.folder, self.name + ".yaml")
        with open(self.config, "w") as file:
            file.write(self.settings(self.rig.seeds))

    def start(self):
        self.write_settings()
        self.log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen([PROGRAM, "gateway", "--config", self.config], cwd=ROOT, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL, env=environment)
        self.rig.record(f"gateway {self.name} started as {self.process.pid}")

    def signal(self, number):
        self.rig.record(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def until_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Rig:
    """Store, replicas and gateways of one run, and what is left of them at the end."""

    def __init__(self, folder, gateways=3, record=None):
        self.record = record or Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.bounds = dict(BOUNDS)
        self.zones = ["z1", "z2"]
        # Of this run alone, so that several can run side by side.
        self.network = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
        self.gateways = [Gateway(self, i + 1, self.zones[i % 2]) for i in range(gateways)]
        self.replicas = []
        self.number = 0
        self.version = 1

    async def start(self, config):
        ports = {}
        for name in ("front", "ready", "peer", "tunnel", "metrics"):
            while True:
                port = free_port(f"{self.network}.1")
                if port not in ports.values():
                    break
            ports[name] = port
        for gateway in self.gateways:
            await gateway.prepare(ports)
        self.seeds = [g.peer for g in self.gateways[:3]]
        self.store.write("op/config", config)
        for replica in self.replicas:
            self.store.write("servers/" + replica.name, replica.entry())
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            if not await gateway.until_ready():
                raise RuntimeError(f"{gateway.name} is not ready")
        self.record("all gateways are ready")

    async def add_replica(self, name, service, **more):
        replica = Replica(self.record, name, service, **more)
        await replica.start()
        self.replicas.append(replica)
        return replica

    def next_id(self):
        self.number += 1
        return f"{self.number:016x}"

    def stop(self):
        for gateway in self.gateways:
            if gateway.process and gateway.alive():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    entry = {"name": name, "hostname": "site.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
             "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 1, "public_access": False,
             "session_affinity": False, "stream_resumption": False, "gap_aim_ms": 300}
    entry.update(more)
    return entry


def config(version, routes, services, tenants=None, **limits):
    caller_limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                     "idle_timeout_ms": 15000}
    caller_limits.update(limits)
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_check_path": "/health", "connection_limit": 100, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": caller_limits,
            "tenants": tenants if tenants is not None else [{"name": "acme", "api_keys": ["key-1", "key-2"], "priority": 1}]}


class Answer:
    def __init__(self):
        self.status = None
        self.fields = []
        self.body = b""
        self.whole = False
        self.problem = ""

    def get(self, name):
        return Message("", self.fields).get(name)


class Client:
    """One connection of a client."""

    def __init__(self, rig, gateway):
        self.rig = rig
        self.gateway = gateway

    async def open(self):
        host, port = self.gateway.front.split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=2 ** 22), 1)
        return self

    def head(self, method, path, request_id, left=1500, key="key-1", length=None, **fields):
        text = f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Attempt-Id: {request_id}\r\n" \
               f"Deadline-Remaining-Ms: {left}\r\nApi-Key: {key}\r\n"
        if length is not None:
            text += f"Content-Length: {length}\r\n"
        for name, value in fields.items():
            text += f"{name.replace('_', '-')}: {value}\r\n"
        return (text + "\r\n").encode()

    async def answer(self, seconds):
        """Reads one answer."""
        found = Answer()
        try:
            await asyncio.wait_for(self._read(found), seconds)
        except asyncio.TimeoutError:
            found.problem = "no whole answer in time"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            found.problem = f"the connection ended: {type(error).__name__}"
        except ValueError as error:
            found.problem = f"no answer in the protocol: {error}"
        return found

    async def _read(self, found):
        while True:
            head = await read_head(self.reader)
            if head.status >= 200:
                break
        found.status, found.fields = head.status, head.fields

        def grew(part):
            found.body += part
        if "chunked" in head.get("Transfer-Encoding"):
            await read_chunked(self.reader, grew)
        else:
            found.body = await self.reader.readexactly(int(head.get("Content-Length", "0")))
        found.whole = True

    async def ask(self, method, path, request_id=None, body=b"", seconds=None, left=1500, key="key-1", **fields):
        request_id = request_id or self.rig.next_id()
        self.rig.record(f"client: sends {request_id} {method} {path} to {self.gateway.name}")
        length = len(body) if method == "POST" else None
        self.writer.write(self.head(method, path, request_id, left, key, length, **fields) + body)
        found = await self.answer(seconds or left / 1000 + 1)
        found.id = request_id
        self.rig.record(f"client: {request_id} got {found.status} {'whole' if found.whole else found.problem} "
                        f"{len(found.body)} bytes")
        return found

    def close(self):
        self.writer.close()


async def ask_once(rig, gateway, method, path, **more):
    """One request on a connection of its own; none if no connection was to be had."""
    client = Client(rig, gateway)
    try:
        await client.open()
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        return await client.ask(method, path, **more)
    finally:
        client.close()


def main(scenario, folder):
    """Runs the scenario, a coroutine of the folder that returns a list of broken promises. Returns the exit status."""
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(folder), 115))
    except Exception as error:  # The case could not run, whatever the reason.
        print(f"could not run: {type(error).__name__}: {error}")
        if os.environ.get("KEEP"):
            raise
        return 2
    for line in broken:
        print("broken: " + line)
    if not broken:
        print("held")
    return 1 if broken else 0
