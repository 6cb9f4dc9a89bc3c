"""Callers that reuse their connection until it breaks, as keep-alive clients do."""

import asyncio
import itertools
import random

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from ._daemons import now_ms
from ._invariants import Attempt

CONNECT_TIMEOUT_MS = 1_000.0  # the same as for callers on the platform
DEADLINE_MS = 3_000.0  # below the timeout of the routes
RESPONSE_TIMEOUT_S = 4.5  # deadline and a margin for a suspended process, then disconnect
MEAN_PAUSE_S = 0.15  # between two requests of one caller
VERSION_LAGS = [0, 0, 3]  # consecutive configuration versions differ by 3
ABANDON_PROBABILITY = 0.04  # that a caller disconnects before the response
CRASHING_PROBABILITY = 0.1  # that a request crashes its workers while there is such a one
SHARED_PART = "5c1e07a2"
SOUND_PARTS = ["91bd3f06", "e4402b7d", "38f2c6aa"]
KIND_WEIGHTS = {"draft": 5, "issue": 3, "status": 2, "version": 1}

_request_numbers = itertools.count(1)


class Caller:
    """Sends requests to one daemon, one at a time.

    Parameters
    ----------
    daemon : SoakDaemon
    site : HostingSite
    invariants : InvariantChecker
    seed : int
        Seed of the requests that are chosen.
    attempts : list of Attempt
        Each request that is sent is appended.
    """

    def __init__(self, daemon, site, invariants, seed, attempts):
        self.daemon = daemon
        self.site = site
        self.invariants = invariants
        self.rng = random.Random(seed)
        self.attempts = attempts
        self.connection = None

    async def run(self):
        """Send requests with random pauses until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_PAUSE_S))
            kind = self.rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
            abandons = self.rng.random() < ABANDON_PROBABILITY
            await self.send(kind, self.rng.uniform(0.0, 0.1) if abandons else RESPONSE_TIMEOUT_S)

    async def send(self, kind, timeout_s=RESPONSE_TIMEOUT_S, newest=False):
        """Send one request and check its response; returns the `Attempt`."""
        attempt = Attempt(f"soak-{next(_request_numbers)}", kind, self.daemon.name, now_ms())
        attempt.deadline_ms = DEADLINE_MS
        if kind == "version":
            # Sometimes asks for the previous version, which must not be served after the newest.
            lag = 0 if newest else self.rng.choice(VERSION_LAGS)
            attempt.version = self.site.config_version - lag
        self.attempts.append(attempt)
        self.invariants.record_sent(attempt, _body_of(attempt))
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(attempt)
        except (ConnectionLostError, TimeoutError) as error:
            attempt.error = str(error) or type(error).__name__
            attempt.broken_off = isinstance(error, ConnectionLostError)
            self._drop_connection()
        attempt.ended_ms = now_ms()
        self.invariants.check_attempt(attempt)
        return attempt

    def close(self):
        """Close the connection."""
        self._drop_connection()

    async def _exchange(self, attempt):
        if self.connection is None:
            address = self.daemon.caller_link.address
            self.connection = await ClientConnection.open(address, CONNECT_TIMEOUT_MS)
        connection = self.connection
        body = _body_of(attempt)
        method = "POST" if body else "GET"
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
        crashing = sorted(
            t for t in self.site.crashing_targets if t.startswith(f"/{attempt.kind}/")
        )
        if crashing and self._should_crash(crashing):
            return self.rng.choice(crashing)
        return f"/{attempt.kind}/{attempt.id}"

    def _should_crash(self, crashing):
        """Return whether the next request ends its workers.

        The first one does, so that no fault passes without a worker that meets it.
        """
        drawn = self.rng.random() < CRASHING_PROBABILITY
        arrived = {arrival.part for arrival in self.site.arrivals_with_part}
        return drawn or not arrived.issuperset(crashing)

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
                ("corianderhaven-model", self.rng.choice(["small", "large"])),
                ("corianderhaven-token-count", "100,40"),
                ("corianderhaven-prompt-prefix", self._prompt_prefix(attempt)),
            ]
        return headers

    def _prompt_prefix(self, attempt):
        """Return parts of which other drafts share the first ones, and a last one of its own."""
        parts = SOUND_PARTS
        if self.site.crashing_parts and self._should_crash(self.site.crashing_parts):
            parts = sorted(self.site.crashing_parts)
        own = attempt.id.rpartition("-")[2]
        return f"{SHARED_PART}:40,{self.rng.choice(parts)}:40,{own}:20"

    def _drop_connection(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def _body_of(attempt):
    """Return the body of a request, none of those that only read."""
    return b"" if attempt.kind in ("status", "version") else b"{}"


def response_times_s(attempts):
    """Return the sorted times from send to end of all complete responses, in seconds."""
    times = [(a.ended_ms - a.sent_ms) / MS_PER_S for a in attempts if a.complete]
    return sorted(times)
