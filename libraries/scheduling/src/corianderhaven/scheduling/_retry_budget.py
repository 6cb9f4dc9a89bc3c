"""Limit on the load that retries may add to a service."""

from collections import defaultdict, deque

# The slack is shared by all daemons, each of which uses an equal share. The minimum number of
# shares allows for daemons that are not known yet. The factor allows for daemons that restarted
# within a window and so lost the count of the slack that they had used.
MIN_SHARES = 8
SHARES_PER_DAEMON = 1.25


class RetryBudget:
    """Counts requests and retries of each service over a sliding window.

    Parameters
    ----------
    clock : Clock
    settings : NodeSettings
    daemon_count : callable
        Returns the number of known daemons, including this one.
    """

    def __init__(self, clock, settings, daemon_count=lambda: 1):
        self.clock = clock
        self.daemon_count = daemon_count
        self.requests = defaultdict(deque)
        self.retries = defaultdict(deque)
        self.update_settings(settings)

    def update_settings(self, settings):
        """Apply the retry limits in `settings`."""
        self.ratio = settings.retry_ratio
        self.slack = settings.retry_slack
        self.window_ms = settings.retry_window_ms

    def record_request(self, service):
        """Count a caller's request."""
        self.requests[service].append(self.clock.now_ms())

    def remaining(self, service):
        """Return how many retries are allowed now."""
        requests = self._count(self.requests[service])
        slack = self.slack / max(MIN_SHARES, SHARES_PER_DAEMON * self.daemon_count())
        return self.ratio * requests + slack - self._count(self.retries[service])

    def try_spend(self, service):
        """Spend one retry; returns whether it is allowed."""
        if self.remaining(service) < 1.0:
            return False
        self.retries[service].append(self.clock.now_ms())
        return True

    def _count(self, times):
        since = self.clock.now_ms() - self.window_ms
        while times and times[0] < since:
            times.popleft()
        return len(times)
