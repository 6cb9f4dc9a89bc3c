"""Callers that send bodies in small chunks and leave at any byte, or while they are served.

Load: clients that give up, whose requests may be read in part only. A worker must see the whole
body or nothing.
"""

import asyncio
import itertools
import random
import socket
import struct
from enum import StrEnum

from corianderhaven.common import MS_PER_S

from ._daemons import now_ms
from ._invariants import Attempt

CONNECT_TIMEOUT_S = 1.0
MEAN_PAUSE_S = 0.1  # between two requests of one caller
MAX_CHUNKS = 150  # several turns of a daemon's reader
MAX_CHUNK_BYTES = 60
MAX_PIECES = 3  # in which the request is sent
PIECE_PAUSE_MS = 5.0  # at most, between two pieces
CUT_PROBABILITY = 0.4  # that the caller leaves before the end of its request
STAY_MS = 60.0  # at most, after the last byte; half of the time that a plain answer may take
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER

_request_numbers = itertools.count(1)


class Departure(StrEnum):
    """How a caller leaves."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"


class LeavingCaller:
    """Sends requests to one daemon, each on a connection of its own that it doesn't wait on.

    Parameters
    ----------
    daemon : SoakDaemon
    invariants : InvariantChecker
    seed : int
        Seed of the requests that are chosen.
    """

    def __init__(self, daemon, invariants, seed):
        self.daemon = daemon
        self.invariants = invariants
        self.rng = random.Random(seed)

    async def run(self):
        """Send requests with random pauses until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_PAUSE_S))
            await self.send()

    async def send(self):
        """Send one request, whole or in part, and leave."""
        attempt = Attempt(f"leaver-{next(_request_numbers)}", "issue", self.daemon.name, now_ms())
        chunks = [
            self.rng.randbytes(self.rng.randint(1, MAX_CHUNK_BYTES))
            for _ in range(self.rng.randint(1, MAX_CHUNKS))
        ]
        self.invariants.record_sent(attempt, b"".join(chunks))
        data = encode_request(attempt.id, chunks)
        if self.rng.random() < CUT_PROBABILITY:
            data = data[: self.rng.randrange(len(data))]
        host, _, port = self.daemon.process.front.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
            try:
                await self._write(writer, data)
                await self._leave(writer)
            finally:
                writer.transport.abort()
        except OSError:
            pass  # the daemon is being restarted, or has refused the request

    async def _write(self, writer, data):
        cuts = sorted(self.rng.randrange(len(data) + 1) for _ in range(MAX_PIECES - 1))
        for first, last in itertools.pairwise([0, *cuts, len(data)]):
            writer.write(data[first:last])
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(0.0, PIECE_PAUSE_MS) / MS_PER_S)

    async def _leave(self, writer):
        await asyncio.sleep(self.rng.uniform(0.0, STAY_MS) / MS_PER_S)
        departure = self.rng.choice(list(Departure))
        if departure is Departure.HALF_CLOSE:
            writer.write_eof()
            await asyncio.sleep(STAY_MS / MS_PER_S)
        elif departure is Departure.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def encode_request(request_id, chunks):
    """Return the bytes of a request that may run once, with its body in `chunks`."""
    head = (
        f"POST /issue/{request_id} HTTP/1.1\r\nhost: site.example\r\n"
        f"corianderhaven-attempt-id: {request_id}\r\ncorianderhaven-deadline-ms: 3000\r\n"
        "authorization: Bearer key-a\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head.encode() + body + b"0\r\n\r\n"
