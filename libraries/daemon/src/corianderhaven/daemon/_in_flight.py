"""Counts requests in flight, so that a drain cuts off none."""

import threading

from corianderhaven.common import MS_PER_S


class InFlight:
    """Number of requests that callers wait for.

    Attributes
    ----------
    accepting : bool
        False once a drain refuses new requests.
    """

    def __init__(self):
        self.count = 0
        self.accepting = True
        self.changed = threading.Condition()

    def enter(self):
        """Count a request in; returns False when no more are accepted."""
        with self.changed:
            if not self.accepting:
                return False
            self.count += 1
            return True

    def leave(self):
        """Count a request out."""
        with self.changed:
            self.count -= 1
            self.changed.notify_all()

    def wait_idle(self, timeout_ms):
        """Wait until nothing is in flight; returns whether that was reached."""
        with self.changed:
            return self.changed.wait_for(lambda: self.count == 0, timeout_ms / MS_PER_S)
