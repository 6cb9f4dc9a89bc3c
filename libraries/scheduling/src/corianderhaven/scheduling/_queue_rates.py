"""Recent rates of an admission queue: what arrives, and what can be served; performs no I/O.

Tells bursts that exceed the capacity of the open replicas from random variation.
"""

from collections import deque

RATE_WINDOW_MS = 3_000.0  # for the rates of arrivals and dispatches; holds about ten of each
OVERLOAD_RATIO = 1.25  # of arrivals to throughput; exceeds random variation of ten arrivals
MIN_SPARE_RATIO = 0.1  # of the throughput, left to late requests unless overloaded
CAPACITY_CACHE_MS = 20.0  # less than the interval of checks


class QueueRates:
    """Recent rates of arrivals and dispatches.

    Parameters
    ----------
    clock : Clock
    capacity_per_ms : callable
        Returns how many requests per ms the replicas can accept from this daemon.
    """

    def __init__(self, clock, capacity_per_ms):
        self.clock = clock
        self.capacity_per_ms = capacity_per_ms
        self.started_ms = clock.now_ms()
        self.arrivals = deque()
        self.dispatches = deque()
        self.capacity = 0.0
        self.capacity_from_ms = -1e12

    def record_arrival(self):
        """Count a request that arrived."""
        self._record(self.arrivals)

    def record_dispatch(self):
        """Count a request that was given an endpoint."""
        self._record(self.dispatches)

    def forget_throughput(self):
        """Work out the throughput anew, as the endpoints that earlier requests got are others."""
        self.dispatches.clear()
        self.capacity_from_ms = -1e12

    def arrivals_per_ms(self):
        """Return the recent rate of arrivals."""
        return self._count(self.arrivals) / self._window_ms()

    def throughput_per_ms(self):
        """Return the recent rate of dispatches, or the replicas' capacity if higher."""
        recent = max(1, self._count(self.dispatches)) / self._window_ms()
        return max(recent, self._recent_capacity_per_ms())

    def _recent_capacity_per_ms(self):
        """Return the replicas' capacity, which takes a walk over all heads to work out."""
        now = self.clock.now_ms()
        if now - self.capacity_from_ms >= CAPACITY_CACHE_MS:
            self.capacity, self.capacity_from_ms = self.capacity_per_ms(), now
        return self.capacity

    def spare_throughput_per_ms(self):
        """Return the throughput that arrivals leave to late requests; 0.0 in overload."""
        arrivals = self.arrivals_per_ms()
        throughput = self.throughput_per_ms()
        if arrivals > OVERLOAD_RATIO * throughput:
            return 0.0
        return max(throughput - arrivals, MIN_SPARE_RATIO * throughput)

    def _window_ms(self):
        age_ms = self.clock.now_ms() - self.started_ms
        return min(RATE_WINDOW_MS, max(age_ms, RATE_WINDOW_MS / 3))

    def _record(self, times):
        times.append(self.clock.now_ms())
        self._count(times)  # drops the old ones, also where no rate is asked for

    def _count(self, times):
        since = self.clock.now_ms() - RATE_WINDOW_MS
        while times and times[0] < since:
            times.popleft()
        return len(times)
