"""What the cases of the review share: daemons as processes, a client, workers and a proxy."""

import asyncio
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from corianderhaven.common import AsyncHttpServer, ClientConnection, Clock, ConnectionLostError
from corianderhaven.standins._hosting_store import HostedStore
from corianderhaven.standins._hosting_store_api import HostedStoreApi

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 112.0
HEARTBEAT_S = 1.2
LOWEST_PORT, HIGHEST_PORT = 12_000, 32_000
ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-m", "corianderhaven.daemon"]  # as in deploy/system.toml
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

NODE_FILE = """
node_name = "{name}"
role = "corianderhavend"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "sofia"
port_range = [{port}, {port}]
seeds = []
bootstrap = {bootstrap}
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
[listen]
front = "{front}"
ready = "{ready}"
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
retry_slack = {retry_slack}
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = {stall_ms}
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


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        """Return the time in seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text):
        """Write one line."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        """Write one line, and print it."""
        self.note(text)
        print(text, flush=True)


def free_port(ip):
    """Return a port that is free at an address, outside the range of outgoing connections."""
    while True:
        port = random.randrange(LOWEST_PORT, HIGHEST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port


class Daemon:
    """One daemon process on its own loopback address, like an entry VM."""

    def __init__(self, folder, name, zone, ip, store, record, **bounds):
        self.name, self.zone, self.ip, self.record = name, zone, ip, record
        self.front, self.ready = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
        self.peer_port = free_port(ip)
        self.store, self.folder = store, Path(folder)
        self.bounds = {"stall_ms": 4000, "retry_slack": 107, **bounds}
        self.log_path = self.folder / f"{name}.log"
        self.process = None
        self.write_settings(True)

    def write_settings(self, bootstrap):
        """Write the settings file; return its path."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            NODE_FILE.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                port=self.peer_port,
                bootstrap=str(bootstrap).lower(),
                front=self.front,
                ready=self.ready,
                store=self.store,
                **self.bounds,
            ),
            encoding="utf-8",
        )
        return path

    def start(self):
        """Start the process."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CORIANDERHAVEN_NODE_FILE"] = str(self.folder / f"{self.name}.toml")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"start {self.name}")

    def signal(self, number):
        """Send a signal to the process."""
        self.record.note(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        """End the process, however it is."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def is_ready(self):
        """Return whether it answers 200 to the question of the balancer."""
        try:
            connection = await ClientConnection.open(self.ready, 500)
        except ConnectionLostError:
            return False
        try:
            async with asyncio.timeout(1.0):
                await connection.send("GET", "/api/readyz", [("host", "x")])
                return (await connection.read_head()).status == 200
        except (ConnectionLostError, TimeoutError):
            return False
        finally:
            connection.close()

    def logged(self, event):
        """Return the decoded log lines of an event."""
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            if b'"%s"' % event.encode() not in line:
                continue
            try:
                decoded = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            if decoded.get("event") == event:
                lines.append(decoded)
        return lines


class Answer:
    """What a client saw of one request; `status` is None if the head of no answer came."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.complete = False
        self.stamp = None
        self.body = b""
        self.sent = self.ended = 0.0
        self.error = ""

    def __str__(self):
        how = "complete" if self.complete else f"NOT COMPLETE ({self.error})"
        return (
            f"{self.request_id} sent at {self.sent:.3f}, after {self.ended - self.sent:.3f} s: "
            f"{self.status} {how}, {len(self.body)} bytes, stamp {self.stamp}"
        )


class Client:
    """A caller that keeps one connection to a daemon's front address."""

    numbers = itertools.count(1)

    def __init__(self, address, record, key="key-a", host="site.example"):
        self.address, self.record, self.key, self.host = address, record, key, host
        self.connection = None

    async def send(
        self, method, path, deadline_ms, body=b"", headers=(), patience_s=None, label="r"
    ):
        """Send one request; return the `Answer`."""
        answer = Answer(f"{label}-{next(self.numbers)}")
        sent = [
            ("host", self.host),
            ("corianderhaven-attempt-id", answer.request_id),
            ("corianderhaven-deadline-ms", str(deadline_ms)),
            ("authorization", f"Bearer {self.key}"),
            *([("content-length", str(len(body)))] if body else []),
            *headers,
        ]
        answer.sent = self.record.now()
        try:
            async with asyncio.timeout(patience_s or deadline_ms / 1000 + 3.0):
                if self.connection is None or not self.connection.usable:
                    self.connection = await ClientConnection.open(self.address, 1000)
                await self.connection.send(method, path, sent, body)
                head = await self.connection.read_head()
                answer.status = head.status
                answer.stamp = head.header("corianderhaven-server-stamp")
                while (chunk := await self.connection.read_chunk()) is not None:
                    answer.body += chunk
                answer.complete = True
                if (
                    head.header("connection") or ""
                ).lower() == "close" or not self.connection.prepare_for_reuse():
                    self.close()
        except (ConnectionLostError, TimeoutError) as error:
            answer.error = repr(error)
            self.close()
        answer.ended = self.record.now()
        self.record.note(f"answer {answer}")
        return answer

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class PlainWorker:
    """A worker of a service without an engine, with its entry in the store."""

    def __init__(self, site, worker_id, service, zone, ip="127.0.0.1", work_s=0.02):
        self.site, self.id, self.service, self.zone, self.ip = site, worker_id, service, zone, ip
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.listed = True
        self.arrivals = []  # (time, request id, source address)

    async def start(self):
        """Listen, and write the entry."""
        self.server = AsyncHttpServer(f"{self.ip}:0", self.answer, self.site.clock)
        await self.server.start()
        self.address = self.server.address
        self.publish()
        return self

    def publish(self):
        """Write the entry."""
        if not self.listed:
            return
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.site.store.put(f"servers/{self.id}", msgspec.json.encode(entry))

    def remove_entry(self):
        """Remove the entry without having reported `draining`; go on serving."""
        self.listed = False
        self.site.store.delete(f"servers/{self.id}")
        self.site.record.note(f"store has accepted the removal of the entry of {self.id}")

    async def answer(self, request, caller):
        """Run a request."""
        source = caller.transport.get_extra_info("peername")[0]
        request_id = request.header("corianderhaven-attempt-id") or ""
        if request.header("corianderhaven-expect-instance") not in (None, self.id):
            await caller.send_response(421, [], b"")
            return
        self.arrivals.append((self.site.record.now(), request_id, source))
        self.site.record.note(f"run {request_id} at {self.id} from {source}")
        await asyncio.sleep(self.work_s)
        headers = [
            (b"corianderhaven-attempt-id", request_id.encode()),
            (b"corianderhaven-server-stamp", f"{self.id}.{self.sequence}".encode()),
            (b"corianderhaven-instance-load", b"1,0,6"),
        ]
        await caller.send_response(200, headers, b"whole answer of " + self.id.encode())


class StoreProxy:
    """Carries one machine's connections to the store; `cut` drops all that comes, silently."""

    def __init__(self, target):
        self.target, self.is_cut = target, False

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self._connect, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _connect(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        back_reader, back_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(self._copy(reader, back_writer), self._copy(back_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for side in (writer, back_writer):
                side.transport.abort()

    async def _copy(self, reader, writer):
        dropped = False
        while data := await reader.read(65536):
            dropped = dropped or self.is_cut  # TCP delivers nothing after a gap
            if not dropped:
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class Site:
    """The platform's store with the operator's configuration, and workers."""

    def __init__(self, record):
        self.record, self.clock = record, Clock()
        self.store = HostedStore(self.clock)
        self.workers = {}
        self.version = 0
        self.task = None

    async def start(self):
        """Start the store."""
        self.server = AsyncHttpServer("127.0.0.1:0", HostedStoreApi(self.store).answer, self.clock)
        await self.server.start()
        self.address = self.server.address
        self.task = asyncio.create_task(self._heartbeats())
        return self

    async def add_worker(self, worker_id, service, zone, **fields):
        """Start a worker."""
        self.workers[worker_id] = await PlainWorker(
            self, worker_id, service, zone, **fields
        ).start()
        return self.workers[worker_id]

    def publish_config(self, routes, services, limits=None):
        """Write the next version of the configuration."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 20000,
                **(limits or {}),
            },
            "tenants": [{"name": "team-a", "api_keys": ["key-a"], "priority": 1}],
        }
        self.store.put("op/config", msgspec.json.encode(config))
        self.record.note(f"store has accepted configuration {self.version}")

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in list(self.workers.values()):
                worker.publish()


def route(name, kind, service, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": service,
        "timeout_ms": 1500,
        "goal_ms": 125,
        "priority": 2,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "anonymous": False,
        **fields,
    }


async def wait_for(condition, seconds, what):
    """Wait until a condition holds, or raise `CannotRunError`."""
    try:
        async with asyncio.timeout(seconds):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise CannotRunError(f"waited {seconds} s in vain: {what}") from None


async def all_ready(daemons):
    """Return whether all daemons are ready."""
    return all([await d.is_ready() for d in daemons])


# The machines of the site, one address each; the first zone has two.
MACHINES = (
    ("edge-sofia-a-1", "sofia-a", "127.0.0.11"),
    ("edge-sofia-a-2", "sofia-a", "127.0.0.12"),
    ("edge-sofia-b-1", "sofia-b", "127.0.0.21"),
    ("edge-sofia-c-1", "sofia-c", "127.0.0.31"),
)


class CannotRunError(Exception):
    """The case could not be brought about."""


def run_case(case, file):
    """Run `case(record, folder, daemons)`, end all daemons, and exit with the case's code."""
    record = Record(Path(file).parent)

    async def main():
        daemons = []
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(CASE_LIMIT_S):
                    return await case(record, folder, daemons)
            finally:
                for daemon in daemons:
                    daemon.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in Path(folder).glob("*.log"):
                        (Path(keep) / path.name).write_bytes(path.read_bytes())

    try:
        code = asyncio.run(main())
    except asyncio.CancelledError:
        record.say("ended from outside")
        code = COULD_NOT_RUN
    except CannotRunError as error:
        record.say(f"could not run: {error}")
        code = COULD_NOT_RUN
    except Exception as error:
        record.say(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was BROKEN"}.get(code, "no result"))
    sys.exit(code)
