"""A daemon process with the limits of the smallest VM, and adversarial loads for it."""

import asyncio
import itertools
import socket
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.standins import HostedDaemonProcess, HostingSite, small_models

VM_MEMORY_MB = 112
MAX_MEMORY_MB = 100.0  # peak resident memory, the rest is left to the system
MAX_FDS = 256
BODY_LIMIT_BYTES = 4 << 20
HEADER_TIMEOUT_MS = 1_000
IDLE_TIMEOUT_MS = 3_000
STARTUP_TIMEOUT_S = 20.0
CROWD_TIMEOUT_S = 25.0  # for the crowd to send what it has; not asserted
CLIENT_TIMEOUT_S = 6.0
ORDINARY_ATTEMPTS = 3
NEVER_RUN = (503, 429, 408, 421)  # statuses that guarantee that a request has not run
LARGE_ANSWER_BYTES = 3_000_000
LONG_EVENT = b"data: " + b"e" * 32_000 + b"\n\n"
request_numbers = itertools.count(1)


class LongAnswersSite(HostingSite):
    """Site whose workers send large answers and endless streams at the targets that ask for them.

    A worker writes as fast as its caller reads, so a stream holds it until the caller has gone.
    """

    async def _answer_plain(self, worker, request, caller):
        if b"large" not in request.target:
            await super()._answer_plain(worker, request, caller)
            return
        body = b"a" * LARGE_ANSWER_BYTES
        await caller.send_response(200, self._response_headers(worker, request), body)

    async def _stream_events(self, worker, request, caller):
        if b"long" not in request.target:
            await super()._stream_events(worker, request, caller)
            return
        first = int(request.header("last-event-id") or 0) + 1
        kind = (b"content-type", b"text/event-stream")
        await caller.send_head(200, [*self._response_headers(worker, request), kind])
        for number in itertools.count(first):
            await caller.send_chunk(b"id: %d\n" % number + LONG_EVENT)
            await asyncio.sleep(0)


class Usage:
    """Peak use of memory and descriptors of a daemon process."""

    def __init__(self, process):
        self.folder = Path(f"/proc/{process.pid}")
        self.peak_fds = 0

    async def watch_fds(self):
        while True:
            self.peak_fds = max(self.peak_fds, len(list((self.folder / "fd").iterdir())))
            await asyncio.sleep(0.02)

    def peak_mb(self):
        lines = (self.folder / "status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


class Crowd:
    """Raw connections that send given bytes and stay open.

    Parameters
    ----------
    address : str
    reads : bool
        Whether answers are read.
    """

    def __init__(self, address, reads=True):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.reads = reads
        self.statuses = {}
        self.writers = []
        self.tasks = []

    async def _connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        if not self.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await asyncio.get_running_loop().sock_connect(sock, (self.host, self.port))
        return await asyncio.open_connection(sock=sock, limit=4_096)

    async def send(self, pieces, request_id="", pause_s=0.0):
        """Open a connection and send `pieces`; it stays open until the daemon closes it."""
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        self.writers.append(writer)
        if self.reads:
            reading = self._read(reader, request_id)
            self.tasks.append(asyncio.get_running_loop().create_task(reading))
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except OSError:
            pass  # closed by the daemon

    async def _read(self, reader, request_id):
        try:
            line = await reader.readline()
            if line:
                self.statuses[request_id] = int(line.split()[1])
            while await reader.read(65_536):
                pass
        except (OSError, ValueError):
            pass

    async def send_all(self, streams, pause_s=0.0):
        """Send each of `streams`, pairs of an ID and pieces, on a connection of its own."""
        sending = [
            asyncio.get_running_loop().create_task(self.send(pieces, request_id, pause_s))
            for request_id, pieces in streams
        ]
        self.tasks += sending
        await asyncio.wait(sending, timeout=CROWD_TIMEOUT_S)

    def close(self):
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()


class Trial:
    """A site, a daemon process on the smallest VM, and what it used."""

    def __init__(self, site, daemon):
        self.site = site
        self.daemon = daemon
        self.usage = Usage(daemon.process)
        self.crowds = []

    def crowd(self, address=None, reads=True):
        self.crowds.append(Crowd(address or self.daemon.front, reads))
        return self.crowds[-1]

    async def call(self, method, target, body=b"", headers=()):
        """Return the status and body of one request on a connection of its own."""
        connection = await ClientConnection.open(self.daemon.front, 2_000)
        try:
            head = head_of(f"ordinary-{next(request_numbers)}", len(body), headers)
            await connection.send(method, target, head, body)
            answer = await connection.read_head()
            return answer.status, await connection.read_body()
        finally:
            connection.close()

    async def ordinary_is_answered(self):
        """Return whether an ordinary stream is answered in one of a few attempts."""
        draft = [
            ("corianderhaven-model", "small"),
            ("corianderhaven-token-count", "100,40"),
            ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
        ]
        for _ in range(ORDINARY_ATTEMPTS):
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    status, body = await self.call("POST", "/draft/x", b"{}", draft)
                if status == 200 and b"id: 8\n" in body:
                    return True
            except (ConnectionLostError, TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return False

    async def check(self):
        """Check what has to hold after every adversarial load."""
        answered = await self.ordinary_is_answered()
        peak_mb = self.usage.peak_mb() if self.daemon.process.poll() is None else None
        print(f"peak {peak_mb} MB, {self.usage.peak_fds} descriptors, answered: {answered}")
        for crowd in self.crowds:
            print(f"answers {Counter(crowd.statuses.values())}")
        assert self.daemon.process.poll() is None
        assert peak_mb < MAX_MEMORY_MB
        assert self.usage.peak_fds <= MAX_FDS
        assert answered
        assert await self.daemon.is_ready()
        runs = self.site.run_counts()
        refused = [
            i for c in self.crowds for i, status in c.statuses.items() if status in NEVER_RUN
        ]
        assert not [request_id for request_id in refused if runs[request_id]]


def head_of(request_id, length=None, headers=()):
    """Return the headers of a request with a valid key."""
    return [
        ("host", "site.example"),
        ("corianderhaven-attempt-id", request_id),
        ("corianderhaven-deadline-ms", "4000"),
        ("authorization", "Bearer key-a"),
        *([("content-length", str(length))] if length is not None else []),
        *headers,
    ]


def head_bytes(request_id, target="/issue/x", headers=(("transfer-encoding", "chunked"),)):
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in head_of(request_id, None, headers)]
    return "\r\n".join([*lines, "", ""]).encode()


def chunked(size, chunk_bytes, extension=b""):
    """Return the chunks of a body of `size` bytes, all but the last byte of its end."""
    chunk = b"%x%b\r\n" % (chunk_bytes, extension) + b"c" * chunk_bytes + b"\r\n"
    return chunk * (size // chunk_bytes) + b"0\r\n\r"


def pieces_of(data, size=65_536):
    return [data[first : first + size] for first in range(0, len(data), size)]


def request_id():
    return f"crowd-{next(request_numbers)}"


@asynccontextmanager
async def trial(folder, site_class=LongAnswersSite, **limits):
    """Start a site and a daemon process, and yield their `Trial`."""
    site = site_class(["a"], 4, small_models(), 2)
    site.limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": BODY_LIMIT_BYTES,
        "header_timeout_ms": HEADER_TIMEOUT_MS,
        "idle_timeout_ms": IDLE_TIMEOUT_MS,
        **limits,
    }
    await site.start()
    vm = {"memory_mb": VM_MEMORY_MB, "max_fds": MAX_FDS}
    daemon = HostedDaemonProcess("d", "a", site.store_server.address, str(folder), limits=vm)
    current = Trial(site, daemon)
    watching = None
    try:
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while not await daemon.is_ready() or not await current.ordinary_is_answered():
                await asyncio.sleep(0.1)
        watching = asyncio.get_running_loop().create_task(current.usage.watch_fds())
        yield current
    finally:
        if watching is not None:
            watching.cancel()
        for crowd in current.crowds:
            crowd.close()
        daemon.kill()
        site.close()
