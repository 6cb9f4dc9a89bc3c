"""Counts and logs what is refused to bound memory and connections.

Load: thousands of refusals a second from a crowd of clients, each of which would be a log line.
"""

from collections import Counter

from . import _metrics

LOG_INTERVAL_MS = 10_000.0  # between two lines of a cause


class RefusalLog:
    """Counts refusals by cause, and logs at most one line of each cause in `LOG_INTERVAL_MS`.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, clock, decisions):
        self.clock = clock
        self.decisions = decisions
        self.unlogged = Counter()
        self.logged_ms = {}

    def record(self, cause):
        """Count a refusal; the next line of its cause gives the number since the last one."""
        _metrics.REFUSALS.labels(cause).inc()
        self.unlogged[cause] += 1
        now = self.clock.now_ms()
        if now - self.logged_ms.get(cause, -LOG_INTERVAL_MS) >= LOG_INTERVAL_MS:
            self.logged_ms[cause] = now
            self.decisions.record("connections_refused", cause=cause, count=self.unlogged[cause])
            del self.unlogged[cause]
