"""Stand-ins for the platform's store, the replicas and the clients, and a runner for gateways as the deploy file
starts them. Everything uses loopback addresses, free ports and the real clock."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The words of `run` in deploy/system.toml.
PROGRAM = ["target/sequoiausher/cli/sequoiausher", "gateway", "--config"]
START = time.monotonic()
# The requests that a replica queues beyond its slots.
QUEUE = 24


def now():
    """Milliseconds since the script began."""
    return (time.monotonic() - START) * 1000


class Record:
    """Writes record.txt: what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")

    def note(self, what, /, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():9.1f} {what} {text}\n")

    def close(self):
        self.file.close()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def common_port(addresses, taken):
    """A port that is free at all addresses."""
    while True:
        port = random.randint(20000, 30000)
        if port in taken:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
        except OSError:
            continue
        taken.add(port)
        return port


async def read_head(reader):
    """The first line and the headers of a message, names in lower case; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's metadata store: kv-key, kv-range and kv-watch; it only reads for the gateways."""

    def __init__(self, record, address="127.0.0.1"):
        self.record = record
        self.address = f"{address}:{free_port(address)}"
        self.items = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def put(self, key, value):
        """Writes an item; the return is the acknowledgement."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        made = self.items[key]["create_revision"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "create_revision": made, "lease": 0}
        self.items[key] = item
        self.tell(item)

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.tell({"key": key, "revision": self.revision, "removed": True})

    def tell(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (read := await read_head(reader)) is not None:
                status, body = await self.answer(read[0].split(" ")[1])
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        prefix = query.get("path_prefix", "")
        if parts.path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "current_rev": self.revision}
        if parts.path == "/v1/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Replica:
    """A replica of a plain service. It registers itself, runs what it gets, and can leave as planned."""

    def __init__(self, store, record, service, zone, work_ms, slots=6, address="127.0.0.1", beat_s=1.2):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.work_ms, self.slots, self.beat_s = work_ms, slots, beat_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.address = f"{address}:{free_port(address)}"
        self.state, self.sequence, self.running, self.waiting = "ready", 0, 0, 0
        self.free = asyncio.Semaphore(slots)
        self.draining_at = None
        self.connections = set()
        self.runs = []
        self.arrivals = []

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.write()
        self.beats = asyncio.create_task(self.beat())

    def write(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence_number": self.sequence})

    async def beat(self):
        while True:
            await asyncio.sleep(self.beat_s)
            self.write()

    async def leave(self, serve_ms):
        """Reports draining, serves on for serve_ms after the store accepted that, and exits."""
        self.state = "draining"
        self.write()
        self.draining_at = now()
        self.record.note("draining", server=self.id)
        await asyncio.sleep(serve_ms / 1000)
        self.beats.cancel()
        self.store.remove(f"servers/{self.id}")
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.note("exited", server=self.id, cut=self.running)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (read := await read_head(reader)) is not None:
                line, headers = read
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                await self.answer(line, headers, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, line, headers, writer):
        attempt = headers.get("request-attempt-id", "")
        arrived = now()
        self.arrivals.append((attempt, arrived))
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        echo = f"Request-Attempt-Id: {attempt}\r\n"
        if self.waiting >= QUEUE:
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{echo}Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.record.note("runs", request=attempt, server=self.id, tenant=headers.get("tenant-name", "-"),
                         state=self.state)
        self.runs.append((attempt, now()))
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
            self.free.release()
        body = f"answer of {self.id} to {attempt}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Response-Signature: {self.id}.{attempt}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class Gateway:
    """One gateway, started with the command of the deploy file and settings as the template makes them."""

    def __init__(self, number, fleet, store, folder, bounds):
        self.ip = fleet.ips[number]
        self.name = f"frontend-{number + 1}"
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.front = f"{self.ip}:{fleet.ports['front']}"
        self.ready = f"{self.ip}:{fleet.ports['ready']}"
        self.file = os.path.join(folder, self.name + ".ini")
        with open(self.file, "w") as out:
            out.write(self.settings(fleet, store, bounds))
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None

    def settings(self, fleet, store, bounds):
        """platform/gateway.ini.template, filled in."""
        import re
        with open(os.path.join(ROOT, "platform/gateway.ini.template")) as template:
            text = template.read()
        text = re.sub(r"{{#zones}}.*{{/zones}}", ",".join(f"{zone}:r" for zone in fleet.zones), text)
        values = {"node_name": self.name, "zone": self.zone, "listen_addresses.frontend": self.front,
                  "listen_addresses.ready": self.ready,
                  "listen_addresses.control_plane": f"{self.ip}:{fleet.ports['control']}",
                  "internal_port_range.0": fleet.ports["tunnel"], "ip_address": self.ip,
                  "limits.cpu_share": 0.25, "limits.link_mbps": 1000.0, "limits.file_descriptors": 4100,
                  "platform.address": store.address, "seed_nodes": ",".join(fleet.seeds)}
        values.update({f"bounds.{key}": value for key, value in bounds.items()})
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        return text.replace(":9100", f":{fleet.ports['metrics']}")

    def start(self):
        self.process = subprocess.Popen(PROGRAM + [self.file], cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C",
                                             "SEQUOIAUSHER_CONFIG": self.file})

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            read = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return read is not None and " 200 " in read[0]
        except (OSError, asyncio.TimeoutError):
            return False


# Bounds as on the sheet of the smallest deployments.
BOUNDS = {"revocation_ms": 5000, "drain_timeout_ms": 2000, "retry_budget_ratio": 0.2, "retry_budget_slack": 54,
          "budget_window_s": 10, "grace_period_s": 8}


class Fleet:
    def __init__(self, count, store, folder, bounds=None, zones=("hall-a", "hall-b", "hall-r", "hall-u")):
        block = random.randint(10, 250)
        self.ips = [f"127.{block}.{number // 200}.{10 + number % 200}" for number in range(count)]
        self.zones = list(zones)
        taken = set()
        self.ports = {name: common_port(self.ips, taken)
                      for name in ("front", "ready", "control", "tunnel", "metrics")}
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in self.ips[:3]]
        self.gateways = [Gateway(number, self, store, folder, {**BOUNDS, **(bounds or {})})
                         for number in range(count)]

    def start(self):
        for gateway in self.gateways:
            gateway.start()

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    def kill(self):
        for gateway in self.gateways:
            gateway.kill()


class Link:
    """Passes on so many bytes a second, shared evenly by all who send over it."""

    CHUNK = 16384

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0
        self.turn = asyncio.Lock()

    async def write(self, writer, data):
        for start in range(0, len(data), self.CHUNK):
            chunk = data[start:start + self.CHUNK]
            async with self.turn:
                wait = self.free_at - time.monotonic()
                if wait > 0.002:
                    await asyncio.sleep(wait)
                self.free_at = max(self.free_at, time.monotonic() - 0.01) + len(chunk) / self.bytes_per_s
            writer.write(chunk)
            await writer.drain()


class Client:
    """Sends requests over a kept connection, each with an id of its own, and notes what becomes of each."""

    count = 0

    def __init__(self, front, record, link=None):
        self.front, self.record, self.link = front, record, link
        self.stream = None

    async def call(self, host, path, key=None, deadline_ms=2500, body=b"order"):
        """Returns status (0: the connection ended without a complete answer), headers, body and the id."""
        Client.count += 1
        attempt = f"{random.getrandbits(48):012x}{Client.count:04x}"
        head = (f"POST {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Attempt-Id: {attempt}\r\n"
                f"Deadline-Remaining-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n")
        if key:
            head += f"Api-Key: {key}\r\n"
        sent_at = now()
        self.record.note("sent", request=attempt, to=self.front, key=key or "-")
        status, headers, data = 0, {}, b""
        try:
            status, headers, data = await asyncio.wait_for(self.exchange(head.encode() + b"\r\n" + body),
                                                           deadline_ms / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.drop()
        self.record.note("answered", request=attempt, status=status, ms=f"{now() - sent_at:.0f}")
        return status, headers, data, attempt, sent_at

    async def exchange(self, data):
        if self.stream is None:
            ip, port = self.front.split(":")
            self.stream = await asyncio.open_connection(ip, int(port))
        reader, writer = self.stream
        if self.link:
            await self.link.write(writer, data)
        else:
            writer.write(data)
        read = await read_head(reader)
        if read is None:
            raise ConnectionResetError
        line, headers = read
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.drop()
        return int(line.split(" ")[1]), headers, body

    def drop(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None


def plain_configuration(version, tenants, **changes):
    """One service of replicas without prompts, one route that must not be repeated."""
    route = {"name": "ticket", "hostname": "desk.example", "path_prefix": "/ticket/", "service": "desk",
             "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "max_attempts": 1, "priority": 2,
             "public_access": False}
    return {"version": version, "routes": [route], "tenants": tenants,
            "services": [{"name": "desk", "health_check_path": "/health", "connection_limit": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}, **changes}


# Below the 120 seconds that a script may take.
LIMIT_S = 110


async def guarded(work):
    """Ends the work at the time limit, and at a SIGTERM or SIGINT, as an error does, so that its processes end too."""
    task = asyncio.ensure_future(work)
    for one in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(one, task.cancel)
    asyncio.get_running_loop().call_later(LIMIT_S, task.cancel)
    return await task


def run(main, folder):
    """Runs main(record, temporary folder, trouble); exits with its result, or 2 where the case could not run.
    TROUBLE=0 leaves the disruption out and nothing else."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.note("begin", trouble=int(trouble))
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = loop.run_until_complete(guarded(main(record, temporary, trouble)))
        except (Exception, asyncio.CancelledError) as error:  # The case could not run.
            import traceback
            traceback.print_exc()
            record.note("error", what=repr(error))
            result = 2
    record.note("result", exit=result)
    record.close()
    sys.stdout.flush()
    sys.stderr.flush()
    # Clients and servers that still wait for something must not keep the script from ending.
    os._exit(result)
