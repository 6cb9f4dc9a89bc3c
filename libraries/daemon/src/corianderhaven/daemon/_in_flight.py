"""Counts requests in flight, so that a drain can wait for them."""

import threading

from corianderhaven.common import MS_PER_S


class InFlight:
    """Thread-safe count of the requests that callers wait for.

    Attributes
    ----------
    accepting : bool
        False once a drain rejects new requests.
    """

    def __init__(self):
        self.count = 0
        self.accepting = True
        self.changed = threading.Condition()

    def enter(self):
        """Count a new request; returns False if no more are accepted."""
        with self.changed:
            if not self.accepting:
                return False
            self.count += 1
            return True

    def leave(self):
        """Stop counting a request that has ended."""
        with self.changed:
            self.count -= 1
            self.changed.notify_all()

    def wait_idle(self, timeout_ms):
        """Wait until no request is in flight; returns False if the timeout passes first."""
        with self.changed:
            return self.changed.wait_for(lambda: self.count == 0, timeout_ms / MS_PER_S)
