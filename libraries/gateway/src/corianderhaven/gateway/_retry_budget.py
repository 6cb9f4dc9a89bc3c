"""Bounds how much repeated sends may add to a service's load."""

from collections import defaultdict, deque

# Each daemon may use this part of the slack that all share; twice as many daemons as
# today's four could each use theirs in the same window.
SLACK_PART = 8


class RetryBudget:
    """Counts requests and repeated sends of each service over a sliding window.

    Parameters
    ----------
    clock : Clock
    settings : NodeSettings
    """

    def __init__(self, clock, settings):
        self.clock = clock
        self.requests = defaultdict(deque)
        self.repeats = defaultdict(deque)
        self.use(settings)

    def use(self, settings):
        """Take over the bounds in `settings`."""
        self.ratio = settings.retry_ratio
        self.slack = settings.retry_slack / SLACK_PART
        self.window_ms = settings.retry_window_ms

    def note_request(self, service):
        """Count a caller's request."""
        self.requests[service].append(self.clock.now_ms())

    def left(self, service):
        """Return how many repeated sends are allowed now."""
        requests = self._count(self.requests[service])
        return self.ratio * requests + self.slack - self._count(self.repeats[service])

    def take(self, service):
        """Use one repeated send; returns whether it is allowed."""
        if self.left(service) < 1.0:
            return False
        self.repeats[service].append(self.clock.now_ms())
        return True

    def _count(self, times):
        since = self.clock.now_ms() - self.window_ms
        while times and times[0] < since:
            times.popleft()
        return len(times)
