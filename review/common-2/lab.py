"""Shared parts of the review's scripts: daemons as processes, a platform stand-in and clients."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from corianderhaven.standins import _hosting_site
from corianderhaven.standins._hosting_engine import HostedModel
from corianderhaven.standins._local_site import free_address

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
# As the pages have it: entries every 1.2 s, removed after three intervals of silence.
_hosting_site.HEARTBEAT_MS = 1_200.0
_hosting_site.ENTRY_LIFETIME_MS = 3_600.0

SETTINGS = """\
node_name = "{name}"
role = "corianderhavend"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "dakar"
port_range = [{port}, {port}]
seeds = []
bootstrap = {bootstrap}
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
  "platform", "gangs"]
[zones]
plateau = "dakar"
pikine = "dakar"
rufisque = "dakar"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.817
cores = 2
memory_mb = 430
max_fds = 6300
link_mbps = 1500.0
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


def trouble():
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the folder of the case."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.started_s = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def line(self, *words):
        """Write one line with the time."""
        text = " ".join(str(word) for word in words)
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


class Daemon:
    """One process of the deploy file's role, with its own settings file."""

    def __init__(self, name, zone, store, folder):
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.front, self.ready, self.peers = (free_address() for _ in range(3))
        self.starts = 0
        self.process = None

    def start(self, bootstrap):
        """Start the process."""
        self.starts += 1
        path = Path(self.folder) / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                port=self.peers.rpartition(":")[2],
                bootstrap=str(bootstrap).lower(),
                front=self.front,
                ready=self.ready,
                store=self.store,
            )
        )
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": "target/deps",
            "CORIANDERHAVEN_NODE_FILE": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (Path(self.folder) / f"{self.name}-{self.starts}.log").open("wb")
        self.process = subprocess.Popen(
            ["python3", "-m", "corianderhaven.daemon"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        return self

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        """End the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def events(self, *names):
        """Return the log records with these names, of all starts."""
        found = []
        for path in sorted(Path(self.folder).glob(f"{self.name}-*.log")):
            for text in path.read_text(errors="replace").splitlines():
                try:
                    entry = json.loads(text)
                except ValueError:
                    continue
                if entry.get("event") in names:
                    found.append(entry)
        return found

    async def is_ready(self):
        """Return whether the platform would send new connections."""
        try:
            answer = await exchange(
                self.ready, b"GET /api/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", 2.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.startswith(b"HTTP/1.1 200")


async def exchange(address, data, timeout_s):
    """Send bytes and return what comes first."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            await writer.drain()
            return await reader.read(65_536)
        finally:
            writer.close()


async def wait_for(condition, timeout_s):
    """Wait until a condition, a function or coroutine function, holds; return whether it does."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.05)
    return False


def request_bytes(request_id, path, deadline_ms, body=b"{}", headers=(), key="key-a"):
    """Return a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: site.example",
        f"Corianderhaven-Attempt-Id: {request_id}",
        f"Corianderhaven-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """What a client got: the status, or None, and whether the answer is whole."""

    def __init__(self):
        self.status = None
        self.whole = False
        self.events = []
        self.closes = False
        self.sent_s = self.ended_s = 0.0


async def read_answer(reader, answer):
    """Read one answer with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    answer.closes = fields.get("connection", "") == "close"
    if "chunked" not in fields.get("transfer-encoding", ""):
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        answer.whole = True
        return body
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.whole = True
            return body
        body += data[:-2]
        answer.events = [
            int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")
        ]


async def call(record, address, request_id, data, timeout_s):
    """Send one request on a new connection and return the `Answer`."""
    answer = Answer()
    answer.sent_s = record.now()
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    answer.ended_s = record.now()
    record.line(
        f"request {request_id} sent {answer.sent_s:.3f} status {answer.status}",
        f"events {len(answer.events)} {'whole' if answer.whole else 'CUT'}",
    )
    return answer


class Lab:
    """A platform stand-in in this process and daemons as processes of their own."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.site = None
        self.daemons = []

    async def start(self, site, zones):
        """Start the site and one daemon in each of `zones`; return whether all get ready."""
        self.site = await site.start()
        self._record_orders(site.engines)
        store = site.store_server.address
        self.daemons = [
            Daemon(f"edge-{zone}-{number}", zone, store, self.folder).start(True)
            for number, zone in enumerate(zones, 1)
        ]
        for daemon in self.daemons:
            if not await wait_for(daemon.is_ready, 20.0):
                return False
        return True

    def _record_orders(self, engines):
        """Record what the daemons order the engines to do."""
        carry_out = engines.order

        def order(engine, body):
            status = carry_out(engine, body)
            words = (body.get("operation"), engine.id, body.get("group", body.get("model")))
            self.record.line("order", *words, "answered", status)
            return status

        engines.order = order

    def close(self):
        """End all processes, record what was run and drop the temporary folder."""
        for daemon in self.daemons:
            daemon.kill()
        if self.site is not None:
            self.site.close()
            for ran in self.site.runs:
                self.record.line("ran", ran.request_id, "at", ran.worker, "after event", ran.after)
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder, file=sys.stderr)


def run(case, folder):
    """Run a case's coroutine with a `Lab`, and exit with its result."""

    async def guarded():
        record = Record(folder)
        lab = Lab(record)
        # A script that is stopped ends its processes too.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115.0):
                result = await case(lab, record)
        except (TimeoutError, asyncio.CancelledError):
            record.line("the case was stopped or took too long")
            result = NOT_RUN
        finally:
            lab.close()
        record.line("result", {BROKEN: "rule broken", HELD: "rule held"}.get(result, "not run"))
        return result

    sys.exit(asyncio.run(guarded()))


__all__ = ["BROKEN", "HELD", "NOT_RUN", "HostedModel", "Lab", "call", "request_bytes", "run"]
