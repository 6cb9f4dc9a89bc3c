"""Stand-ins for scripts of the third review: the platform's store, plain workers, daemons, clients.

Standard library only. The store and the workers do what PROTOCOL.md says and nothing else.
"""

import asyncio
import base64
import collections
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HISTORY_S = 20.0
BEAT_S = 1.2
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def free_port(ip="127.0.0.1"):
    """Return a free TCP port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """Return (start line, headers, body) of an HTTP/1.1 message with a length or chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=(), body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in headers)]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's key-value store of PROTOCOL.md, with leases, watches and 20 s of history."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = collections.deque()
        self.compacted = 100
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Event()
        self.away_for = set()
        self.largest_watch = 0
        self.calls = collections.Counter()

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.task = asyncio.create_task(self._age())
        return self

    def close(self):
        """Stop listening."""
        self.task.cancel()
        self.server.close()

    def put(self, key, value, lease=0):
        """Write an item as the operator or a worker; the return is the acknowledgement."""
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self._record(self.items[key])
        return self.revision

    def delete(self, key):
        """Remove an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event):
        self.history.append((time.monotonic(), json.dumps(event), event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _age(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            while self.history and now - self.history[0][0] > HISTORY_S:
                self.compacted = self.history.popleft()[2]["revision"]
            self._end_leases()

    def _end_leases(self):
        now = time.monotonic()
        for lease in [i for i, (_, until) in self.leases.items() if now >= until]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        known = self.leases.pop(lease, None) is not None
        for key in [k for k, i in self.items.items() if i["lease_id"] == lease]:
            self.delete(key)
        return known

    async def _serve(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if source in self.away_for:
                    writer.write(response(503))
                else:
                    status, answer = await self._answer(method, target, body)
                    if source in self.away_for:
                        status, answer = 503, b""
                    writer.write(response(status, [("content-type", "application/json")], answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        name = url.path.removeprefix("/api/")
        self.calls[name.split("/")[0]] += 1
        self._end_leases()
        if name == "kv-watch":
            return await self._watch(query)
        status, answer = self._call(name, query, body)
        return status, json.dumps(answer).encode()

    def _call(self, name, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._page(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl_ms}
        operation, _, lease = name.partition("/")
        lease = int(lease)
        if operation == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        return (200, {}) if self._end_lease(lease) else (404, {})

    def _page(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return {"items": page, "has_more": len(page) < len(keys), "at": self.revision}

    def _transact(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in body["expected"] if r["key"] in self.items]
                return 412, {"items": rows}
        for write in body.get("writes", []):
            if write.get("lease_id") and write["lease_id"] not in self.leases:
                return 404, {}
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease_id", 0))
        for key in body.get("remove", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        end = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
        while True:
            if after < self.compacted:
                return 410, b"{}"
            events = [
                text
                for _, text, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                body = b'{"events":[%s],"at":%d}' % (",".join(events).encode(), self.revision)
                self.largest_watch = max(self.largest_watch, len(body))
                return 200, body
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Worker:
    """A worker of a plain service, with its entry in the store."""

    def __init__(self, worker_id, service, zone, store, slots=6, work_s=0.02):
        self.id, self.service, self.zone, self.store = worker_id, service, zone, store
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listed = True
        self.runs = []
        self.ends = {}
        self.bodies = {}

    async def start(self):
        """Listen on a free port and write the entry every beat."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 23)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.task = asyncio.create_task(self._beat())
        return self

    def close(self):
        """Stop listening."""
        self.task.cancel()
        self.server.close()

    def remove_entry(self):
        """Leave without reporting `draining`; return the time of the acknowledgement."""
        self.listed = False
        self.store.delete(f"servers/{self.id}")
        return time.monotonic()

    async def _beat(self):
        while True:
            if self.listed:
                self.sequence += 1
                entry = {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                }
                self.store.put(f"servers/{self.id}", json.dumps(entry).encode())
            await asyncio.sleep(BEAT_S)

    async def _work(self, reader, request):
        """Work on a request; return False if its connection was closed meanwhile."""
        end = time.monotonic() + self.work_s
        while time.monotonic() < end and not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(min(0.01, self.work_s))
        self.ends.setdefault(request, []).append(time.monotonic())
        return not reader.at_eof() and reader.exception() is None

    async def _serve(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers, body = await read_message(reader)
                request = headers.get("corianderhaven-attempt-id", "")
                common = [
                    ("corianderhaven-attempt-id", request),
                    ("corianderhaven-instance-id", self.id),
                ]
                if headers.get("corianderhaven-expect-instance", self.id) != self.id:
                    writer.write(response(421, common))
                else:
                    self.runs.append((time.monotonic(), request, source, headers, line))
                    self.bodies.setdefault(request, []).append(body)
                    if not await self._work(reader, request):
                        return
                    stamp = ("corianderhaven-server-stamp", f"{self.id}.{len(self.runs)}")
                    writer.write(response(200, [*common, stamp], f"{self.id} {request}".encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


CONTRACTS = [
    *("base", "drain", "config", "cost", "retry", "recover"),
    *("engine", "stream", "tenants", "platform", "gangs"),
]
NODE_FILE = """
node_name = "{name}"
role = "corianderhavend"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "dakar"
port_range = [{peer_port},{peer_port}]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = {contracts}
[zones]
plateau = "dakar"
pikine = "dakar"
rufisque = "dakar"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 103
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 4000
fencing = false
ceiling_window_s = 5
ceiling_overrun = 1.1
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Daemon:
    """A daemon of the deploy file as a separate process."""

    def __init__(self, name, zone, ip, store, folder):
        self.name, self.zone, self.ip, self.folder = name, zone, ip, Path(folder)
        self.store = store
        self.front_port, self.ready_port = free_port(ip), free_port(ip)
        self.peer_port = free_port(ip)
        self.process = None
        self.starts = 0

    def start(self, bootstrap=True):
        """Start the process as the platform does."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            NODE_FILE.format(
                bootstrap=str(bootstrap).lower(), contracts=json.dumps(CONTRACTS), **self.__dict__
            ),
            encoding="utf-8",
        )
        keep = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **keep,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CORIANDERHAVEN_NODE_FILE": str(path),
        }
        log = (self.folder / f"{self.name}-{self.starts}.log").open("wb")
        self.starts += 1
        self.process = subprocess.Popen(
            ["python3", "-m", "corianderhaven.daemon"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        return self

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether the daemon says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return " 200 " in line
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


def end_on_sigterm():
    """Have SIGTERM cancel the case like SIGINT, so that it ends its processes."""
    signal.signal(signal.SIGINT, signal.default_int_handler)  # a shell's background has it ignored
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))


async def wait_ready(daemons, timeout_s=20.0):
    """Wait until all daemons say that they are ready; raise TimeoutError if they don't."""
    async with asyncio.timeout(timeout_s):
        for daemon in daemons:
            while not await daemon.is_ready():
                await asyncio.sleep(0.1)


class Caller:
    """Clients that send GET requests with one key to one daemon, on kept connections.

    `sent` has the time of each request by its id, `answers` the status, 0 if there was none.
    """

    def __init__(self, daemon, host, path, key, name, clients=4, pause_s=(0.1, 0.3)):
        self.daemon, self.host, self.path, self.key, self.name = daemon, host, path, key, name
        self.pause_s = pause_s
        self.sent, self.answers = {}, {}
        self.tasks = [asyncio.create_task(self._client(n)) for n in range(clients)]

    def close(self):
        """Stop the clients."""
        for task in self.tasks:
            task.cancel()

    async def _client(self, number):
        reader = writer = None
        count = 0
        while True:
            await asyncio.sleep(random.uniform(*self.pause_s))
            count += 1
            request = f"{self.name}-{number}-{count:05d}"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(
                        self.daemon.ip, self.daemon.front_port
                    )
                self.sent[request] = time.monotonic()
                writer.write(
                    (
                        f"GET {self.path}{count} HTTP/1.1\r\nhost: {self.host}\r\n"
                        f"corianderhaven-attempt-id: {request}\r\n"
                        f"corianderhaven-deadline-ms: 600\r\n"
                        f"authorization: Bearer {self.key}\r\n\r\n"
                    ).encode()
                )
                line, headers, _ = await asyncio.wait_for(read_message(reader), 1.5)
                self.answers[request] = int(line.split()[1])
                if headers.get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.answers.setdefault(request, 0)
                if writer is not None:
                    writer.close()
                writer = None
