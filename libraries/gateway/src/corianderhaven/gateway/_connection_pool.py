"""Idle connections to endpoints, kept for requests that may be repeated.

Answers the load pattern of many short requests to a few heads, where a new connection for each
would take a share of the endpoints' time and of each first event. An endpoint may drop an idle
connection without notice, so a request that must not run twice never uses one.
"""

from collections import defaultdict
from dataclasses import dataclass

from corianderhaven.common import MS_PER_S

MAX_IDLE_PER_ENDPOINT = 6
MAX_IDLE_MS = 8_000.0
INITIAL_IDLE_MS = 1_000.0  # endpoints with a shorter timeout don't declare it
MIN_IDLE_MS = 200.0  # a connection lost earlier was lost with its endpoint
KEEP_ALIVE_MARGIN_MS = 500.0  # before the declared timeout, for a request under way
IDLE_GROWTH = 1.1  # of the limit, for each connection that was good near the limit
IDLE_CUT = 0.8  # of the rest time of a connection that had been dropped


@dataclass
class IdleConnection:
    """Connection at rest, with the time from which it may have been dropped."""

    connection: object
    since_ms: float
    until_ms: float


class IdleLimit:
    """Longest rest after which connections to a service were still good.

    Falls when a connection turns out to have been dropped, and rises again with use.
    """

    def __init__(self):
        self.limit_ms = INITIAL_IDLE_MS

    def record_good(self, rest_ms):
        """Raise the limit after a connection was used that had rested nearly as long."""
        if rest_ms > self.limit_ms / 2:
            self.limit_ms = min(MAX_IDLE_MS, self.limit_ms * IDLE_GROWTH)

    def record_dropped(self, rest_ms):
        """Lower the limit below the rest of a connection that had been dropped."""
        if rest_ms < MIN_IDLE_MS:
            return
        self.limit_ms = max(MIN_IDLE_MS, min(self.limit_ms, rest_ms * IDLE_CUT))


class ConnectionPool:
    """Idle connections by endpoint and incarnation.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.idle = defaultdict(list)
        self.limits = defaultdict(IdleLimit)

    def take(self, endpoint):
        """Return the most recently used `IdleConnection` that is still good, or None."""
        now = self.clock.now_ms()
        idle = self.idle.get(_key(endpoint))
        while idle:
            kept = idle.pop()
            limit_ms = self.limits[endpoint.service].limit_ms
            if kept.connection.usable and now < min(kept.until_ms, kept.since_ms + limit_ms):
                return kept
            kept.connection.close()
        return None

    def has_idle(self, endpoint):
        """Return whether `take` may return a connection to an endpoint."""
        now = self.clock.now_ms()
        limit_ms = self.limits[endpoint.service].limit_ms
        return any(
            c.connection.usable and now < min(c.until_ms, c.since_ms + limit_ms)
            for c in self.idle.get(_key(endpoint), ())
        )

    def give_back(self, endpoint, connection, head):
        """Keep a connection whose answer was read completely, or close it.

        Parameters
        ----------
        head : ResponseHead
            Head of that answer, which may declare how long the endpoint keeps the connection.
        """
        idle = self.idle[_key(endpoint)]
        wanted = not endpoint.leaving and len(idle) < MAX_IDLE_PER_ENDPOINT
        if wanted and connection.prepare_for_reuse():
            now = self.clock.now_ms()
            idle.append(IdleConnection(connection, now, now + declared_idle_ms(head)))
        else:
            connection.close()

    def record_good(self, endpoint, kept):
        """Record that a request on a kept connection was answered."""
        self.limits[endpoint.service].record_good(self.clock.now_ms() - kept.since_ms)

    def record_dropped(self, endpoint, kept):
        """Record that a kept connection gave no answer; others that rested as long are closed."""
        self.limits[endpoint.service].record_dropped(self.clock.now_ms() - kept.since_ms)

    def prune(self):
        """Close connections that have rested for too long."""
        now = self.clock.now_ms()
        for key in list(self.idle):
            kept = [c for c in self.idle[key] if c.connection.usable and now < c.until_ms]
            for dropped in [c for c in self.idle[key] if c not in kept]:
                dropped.connection.close()
            self.idle[key] = kept
            if not kept:
                del self.idle[key]

    def close(self):
        """Close all idle connections."""
        for idle in self.idle.values():
            for kept in idle:
                kept.connection.close()
        self.idle.clear()


def declared_idle_ms(head):
    """Return how long an endpoint keeps an idle connection, as its ``Keep-Alive`` declares."""
    for parameter in (head.header("keep-alive") or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return max(0.0, min(MAX_IDLE_MS, float(value) * MS_PER_S - KEEP_ALIVE_MARGIN_MS))
    return MAX_IDLE_MS


def _key(endpoint):
    return (endpoint.id, endpoint.address, endpoint.started_ms)
