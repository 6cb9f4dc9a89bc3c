"""How requests for a model wait, in which order they go, and which are turned away.

Answers a burst above what the open replicas can serve, and moments with few replicas.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S

WAIT_WITHOUT_REPLICA_MS = 350.0  # a replica of staged VMs is formed in about this time
RESUMED_WAIT_MS = 1_500.0  # callers give a stream up after a pause of two seconds
RATE_WINDOW_MS = 3_000.0  # over which arrivals and grants are counted: some ten of each
OVERLOAD = 1.25  # arrivals above the line's speed by more than chance of ten in a window
LEAST_LEFTOVER = 0.1  # part of the line's speed that late requests get below overload
LEAST_RETRY_AFTER_MS = 300.0
OVERLOAD_RETRY_AFTER_MS = 1_200.0  # most of a usual answer: slots are freed by then
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
        Whether it was sent to an endpoint that failed it, so that it may not be refused.
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


class LineRates:
    """How many requests come, and how many are sent on, lately.

    Parameters
    ----------
    clock : Clock
    capacity : callable
        Returns how many requests a ms the replicas can take from this daemon.
    """

    def __init__(self, clock, capacity):
        self.clock = clock
        self.capacity = capacity
        self.begun_ms = clock.now_ms()
        self.arrivals = deque()
        self.grants = deque()

    def note_arrival(self):
        """Count a request that came."""
        self.arrivals.append(self.clock.now_ms())

    def note_grant(self):
        """Count a request that was sent on."""
        self.grants.append(self.clock.now_ms())

    def speed_per_ms(self):
        """Return how fast the line moves: as lately, or as the replicas allow."""
        lately = max(1, self._count(self.grants)) / self._window_ms()
        return max(lately, self.capacity())

    def leftover_per_ms(self):
        """Return the speed that requests in time leave to late ones; 0.0 in overload."""
        arrivals = self._count(self.arrivals) / self._window_ms()
        speed = self.speed_per_ms()
        if arrivals > OVERLOAD * speed:
            return 0.0
        return max(speed - arrivals, LEAST_LEFTOVER * speed)

    def _window_ms(self):
        age_ms = self.clock.now_ms() - self.begun_ms
        return min(RATE_WINDOW_MS, max(age_ms, RATE_WINDOW_MS / 3))

    def _count(self, times):
        since = self.clock.now_ms() - RATE_WINDOW_MS
        while times and times[0] < since:
            times.popleft()
        return len(times)


class WaitingLine:
    """The requests of one model that wait in this daemon.

    Parameters
    ----------
    clock : Clock
    pick : callable
        Takes a `Waiter`, returns a free endpoint or None.
    has_replica : callable
        Returns whether any replica of the model serves.
    capacity : callable
        Returns how many requests a ms the replicas can take from this daemon.
    """

    def __init__(self, clock, pick, has_replica, capacity):
        self.clock = clock
        self.pick = pick
        self.has_replica = has_replica
        self.waiting = []
        self.rates = LineRates(clock, capacity)
        self.starved_since_ms = None

    def expected_wait_ms(self, waiter):
        """Return how long a request will wait, or None when it will not be served.

        Requests in time go before late ones, so a request that comes to be late gets only
        what those leave.
        """
        now = self.clock.now_ms()
        key = waiting_order(waiter, now)
        ahead = sum(
            other is not waiter and waiting_order(other, now) < key for other in self.waiting
        )
        wait_ms = ahead / self.rates.speed_per_ms()
        if now + wait_ms <= waiter.on_time_ms:
            return wait_ms
        leftover = self.rates.leftover_per_ms()
        late_ahead = sum(
            other is not waiter and other.arrived_ms <= waiter.arrived_ms
            for other in self.waiting
            if now > other.on_time_ms
        )
        if not leftover:
            return None
        return max(wait_ms, late_ahead / leftover)

    def refuse(self, waiter):
        """Return the `Refusal` of a request that can't be served, or None."""
        now = self.clock.now_ms()
        starved_ms = 0.0 if self.starved_since_ms is None else now - self.starved_since_ms
        if waiter.resumed:
            return None
        if starved_ms > WAIT_WITHOUT_REPLICA_MS and not self.has_replica():
            return Refusal("no replica serves the model", NO_REPLICA_RETRY_AFTER_MS)
        wait_ms = self.expected_wait_ms(waiter)
        if wait_ms is None:
            return Refusal("overloaded", OVERLOAD_RETRY_AFTER_MS)
        if now + wait_ms > waiter.useful_ms:
            return Refusal("can't be served in time", max(LEAST_RETRY_AFTER_MS, wait_ms / 2))
        return None

    async def acquire(self, waiter):
        """Return an endpoint for the request, or a `Refusal`."""
        self.rates.note_arrival()
        endpoint = None if self.waiting else self.pick(waiter)
        if endpoint is not None:
            self.rates.note_grant()
            return endpoint
        refusal = self.refuse(waiter)
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
                self.rates.note_grant()
            refusal = None if endpoint is not None else self._refuse_waiting(waiter, now)
            if endpoint is not None or refusal is not None:
                waiter.granted.set_result(endpoint or refusal)
                self.waiting.remove(waiter)

    def _refuse_waiting(self, waiter, now):
        if now > waiter.useful_ms:
            return Refusal("waited too long", LEAST_RETRY_AFTER_MS)
        if self._starved_too_long(waiter, now):
            return Refusal("no replica serves the model", NO_REPLICA_RETRY_AFTER_MS)
        if now > waiter.on_time_ms:
            return self.refuse(waiter)
        return None

    def _note_starvation(self, now):
        if self.has_replica():
            self.starved_since_ms = None
        elif self.starved_since_ms is None:
            self.starved_since_ms = now

    def _starved_too_long(self, waiter, now):
        if self.starved_since_ms is None:
            return False
        bound_ms = RESUMED_WAIT_MS if waiter.resumed else WAIT_WITHOUT_REPLICA_MS
        return now - max(self.starved_since_ms, waiter.arrived_ms) > bound_ms


async def pump_lines(lines, clock):
    """Look at all lines from time to time; time alone makes waiters hopeless."""
    while True:
        await asyncio.sleep(LINE_CHECK_MS / MS_PER_S)
        for line in list(lines.values()):
            if line.waiting:
                line.pump()
