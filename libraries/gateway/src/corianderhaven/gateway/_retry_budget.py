"""Bounds how much repeated sends may add to a service's load."""

from collections import defaultdict, deque

# The slack is for all daemons together. Each uses an equal part of it, the fewest parts being
# for daemons that are not known yet, and the factor for those that started anew in a window
# and so forgot what they had used.
FEWEST_PARTS = 8
PARTS_PER_DAEMON = 1.25


class RetryBudget:
    """Counts requests and repeated sends of each service over a sliding window.

    Parameters
    ----------
    clock : Clock
    settings : NodeSettings
    daemons : callable
        Returns how many daemons are known, this one included.
    """

    def __init__(self, clock, settings, daemons=lambda: 1):
        self.clock = clock
        self.daemons = daemons
        self.requests = defaultdict(deque)
        self.repeats = defaultdict(deque)
        self.update_settings(settings)

    def update_settings(self, settings):
        """Take over the bounds in `settings`."""
        self.ratio = settings.retry_ratio
        self.slack = settings.retry_slack
        self.window_ms = settings.retry_window_ms

    def note_request(self, service):
        """Count a caller's request."""
        self.requests[service].append(self.clock.now_ms())

    def remaining(self, service):
        """Return how many repeated sends are allowed now."""
        requests = self._count(self.requests[service])
        slack = self.slack / max(FEWEST_PARTS, PARTS_PER_DAEMON * self.daemons())
        return self.ratio * requests + slack - self._count(self.repeats[service])

    def take(self, service):
        """Use one repeated send; returns whether it is allowed."""
        if self.remaining(service) < 1.0:
            return False
        self.repeats[service].append(self.clock.now_ms())
        return True

    def _count(self, times):
        since = self.clock.now_ms() - self.window_ms
        while times and times[0] < since:
            times.popleft()
        return len(times)
