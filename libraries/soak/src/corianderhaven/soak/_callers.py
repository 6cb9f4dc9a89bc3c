"""Callers that keep their connections open until the process behind them is gone."""

import asyncio
import itertools
import random

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from ._daemons import now_ms
from ._promises import Attempt

CONNECT_MS = 1_000.0  # as callers of the platform allow
DEADLINE_MS = 3_000.0  # below the routes' own timeout
ANSWER_S = 4.5  # the deadline and what a stopped process may add; then the caller leaves
PAUSE_S = 0.15  # between two requests of one caller, on average
VERSIONS_BACK = [0, 0, 3]  # a version is three above the one before it
LEAVES = 0.04  # part of the requests whose caller leaves before the answer
KIND_WEIGHTS = {"draft": 5, "issue": 3, "status": 2, "version": 1}

_numbers = itertools.count(1)


class Caller:
    """Sends requests to one daemon, one after the other.

    Parameters
    ----------
    daemon : SoakDaemon
    site : HostingSite
    promises : Promises
    source : random.Random
    attempts : list of Attempt
        Filled with what was sent.
    """

    def __init__(self, daemon, site, promises, seed, attempts):
        self.daemon = daemon
        self.site = site
        self.promises = promises
        self.source = random.Random(seed)
        self.attempts = attempts
        self.connection = None

    async def run(self):
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.source.expovariate(1.0 / PAUSE_S))
            kind = self.source.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
            leaves = self.source.random() < LEAVES
            await self.send(kind, self.source.uniform(0.0, 0.1) if leaves else ANSWER_S)

    async def send(self, kind, patience_s=ANSWER_S, newest=False):
        """Send one request and judge what comes of it; returns the `Attempt`."""
        attempt = Attempt(f"soak-{next(_numbers)}", kind, self.daemon.name, now_ms())
        if kind == "version":
            # One older than the newest must not be served once the newest was.
            back = 0 if newest else self.source.choice(VERSIONS_BACK)
            attempt.version = self.site.config_version - back
        self.attempts.append(attempt)
        self.promises.note_sent(attempt)
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(attempt)
        except (ConnectionLostError, TimeoutError) as error:
            attempt.error = str(error) or type(error).__name__
            self._drop_connection()
        attempt.ended_ms = now_ms()
        self.promises.judge(attempt)
        return attempt

    def close(self):
        """Close the connection."""
        self._drop_connection()

    async def _exchange(self, attempt):
        if self.connection is None:
            address = self.daemon.caller_link.address
            self.connection = await ClientConnection.open(address, CONNECT_MS)
        connection = self.connection
        method = "GET" if attempt.kind in ("status", "version") else "POST"
        body = b"{}" if method == "POST" else b""
        await connection.send(method, self._path(attempt), self._headers(attempt, body), body)
        head = await connection.read_head()
        attempt.status = head.status
        attempt.request_id = head.header("corianderhaven-attempt-id")
        attempt.stamp = head.header("corianderhaven-server-stamp")
        try:
            while (part := await connection.read_chunk()) is not None:
                attempt.body += part
            attempt.complete = True
        finally:
            lines = attempt.body.decode(errors="replace").split("\n\n")[:-1]
            attempt.event_ids = [int(e.split("\n")[0][4:]) for e in lines if e.startswith("id: ")]
        if not connection.prepare_for_reuse():
            self._drop_connection()

    def _path(self, attempt):
        if attempt.kind == "version":
            return f"/version-{attempt.version}/x"
        return f"/{attempt.kind}/{attempt.id}"

    def _headers(self, attempt, body):
        headers = [
            ("host", "site.example"),
            ("corianderhaven-attempt-id", attempt.id),
            ("corianderhaven-deadline-ms", f"{DEADLINE_MS:.0f}"),
            ("authorization", "Bearer key-a"),
        ]
        if body:
            headers.append(("content-length", str(len(body))))
        if attempt.kind == "draft":
            headers += [
                ("corianderhaven-model", self.source.choice(["small", "large"])),
                ("corianderhaven-token-count", "100,40"),
            ]
        return headers

    def _drop_connection(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def answer_s(attempts):
    """Return the times to the end of all complete answers, in seconds, sorted."""
    times = [(a.ended_ms - a.sent_ms) / MS_PER_S for a in attempts if a.complete]
    return sorted(times)
