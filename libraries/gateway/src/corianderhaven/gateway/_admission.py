"""How requests for a model wait, in which order they go, and which are turned away.

Answers a burst above what the open replicas can serve, and moments with few replicas.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S

WAIT_WITHOUT_REPLICA_MS = 350.0  # a replica of staged VMs is formed in about this time
GRANT_WINDOW_MS = 2_000.0  # over which the line's speed is measured
OVERFILL = 1  # requests beyond the slots, so that a freed slot isn't idle for a round trip
LEAST_RETRY_AFTER_MS = 300.0
NO_REPLICA_RETRY_AFTER_MS = 1_000.0
LINE_CHECK_MS = 50.0


@dataclass(eq=False)
class Waiter:
    """A request that waits for a replica.

    Parameters
    ----------
    priority : int
        Rank of its account or route; 0 is first.
    on_time_ms : float
        When it must be sent to be answered within its goal.
    useful_ms : float
        When it must be sent to be answered at all.
    resumed : bool
        Whether its caller has had a part of the answer already.
    """

    priority: int
    arrived_ms: float
    on_time_ms: float
    useful_ms: float
    resumed: bool = False
    excluded: set = field(default_factory=set)
    granted: asyncio.Future | None = None


@dataclass(frozen=True)
class Refusal:
    """A request that is turned away, unsent."""

    reason: str
    retry_after_ms: float


def waiting_order(waiter, now_ms):
    """Return the sort key of a waiter: broken streams, then those that can be on time."""
    late = now_ms > waiter.on_time_ms
    due_ms = waiter.useful_ms if late else waiter.on_time_ms
    return (not waiter.resumed, waiter.priority, late, due_ms)


class WaitingLine:
    """The requests of one model that wait in this daemon.

    Parameters
    ----------
    clock : Clock
    pick : callable
        Takes a `Waiter`, returns a free endpoint or None.
    has_replica : callable
        Returns whether any replica of the model serves.
    """

    def __init__(self, clock, pick, has_replica):
        self.clock = clock
        self.pick = pick
        self.has_replica = has_replica
        self.waiting = []
        self.grants = deque()
        self.starved_since_ms = None

    def expected_wait_ms(self, position):
        """Return how long a request at `position` waits, at the line's recent speed."""
        now = self.clock.now_ms()
        while self.grants and self.grants[0] < now - GRANT_WINDOW_MS:
            self.grants.popleft()
        rate = max(1, len(self.grants)) / GRANT_WINDOW_MS
        return position / rate

    def refuse_on_arrival(self, waiter):
        """Return the `Refusal` of a request that can't be served, or None."""
        now = self.clock.now_ms()
        starved_ms = 0.0 if self.starved_since_ms is None else now - self.starved_since_ms
        if starved_ms > WAIT_WITHOUT_REPLICA_MS and not self.has_replica():
            return Refusal("no replica serves the model", NO_REPLICA_RETRY_AFTER_MS)
        key = waiting_order(waiter, now)
        ahead = sum(waiting_order(other, now) <= key for other in self.waiting)
        wait_ms = self.expected_wait_ms(ahead) if ahead else 0.0
        if now + wait_ms > waiter.useful_ms:
            return Refusal("can't be served in time", max(LEAST_RETRY_AFTER_MS, wait_ms / 2))
        return None

    async def acquire(self, waiter):
        """Return an endpoint for the request, or a `Refusal`."""
        endpoint = None if self.waiting else self.pick(waiter)
        if endpoint is not None:
            self._note_grant()
            return endpoint
        refusal = self.refuse_on_arrival(waiter)
        if refusal is not None:
            return refusal
        waiter.granted = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        self.pump()
        try:
            return await waiter.granted
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def pump(self):
        """Give free endpoints to waiters in order, and turn hopeless ones away."""
        now = self.clock.now_ms()
        self._note_starvation(now)
        for waiter in sorted(self.waiting, key=lambda w: waiting_order(w, now)):
            if waiter.granted.done():
                continue
            endpoint = self.pick(waiter)
            if endpoint is not None:
                self._note_grant()
                waiter.granted.set_result(endpoint)
            elif now > waiter.useful_ms:
                waiter.granted.set_result(Refusal("waited too long", LEAST_RETRY_AFTER_MS))
            elif self._starved_too_long(waiter, now):
                waiter.granted.set_result(
                    Refusal("no replica serves the model", NO_REPLICA_RETRY_AFTER_MS)
                )
            else:
                continue
            self.waiting.remove(waiter)

    def _note_grant(self):
        self.grants.append(self.clock.now_ms())

    def _note_starvation(self, now):
        if self.has_replica():
            self.starved_since_ms = None
        elif self.starved_since_ms is None:
            self.starved_since_ms = now

    def _starved_too_long(self, waiter, now):
        if self.starved_since_ms is None:
            return False
        return now - max(self.starved_since_ms, waiter.arrived_ms) > WAIT_WITHOUT_REPLICA_MS


async def pump_lines(lines, clock):
    """Look at all lines from time to time; time alone makes waiters hopeless."""
    while True:
        await asyncio.sleep(LINE_CHECK_MS / MS_PER_S)
        for line in list(lines.values()):
            if line.waiting:
                line.pump()
