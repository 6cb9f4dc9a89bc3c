"""Clocks with millisecond units."""

import threading
import time

MS_PER_S = 1000.0


class Clock:
    """Monotonic, boot and wall-clock time in milliseconds."""

    def now_ms(self):
        """Return the monotonic time in ms; only comparable within this process."""
        return time.monotonic() * MS_PER_S

    def boot_ms(self):
        """Return the time since boot in ms, including time in which the VM was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self):
        """Return the wall-clock time in ms since the Unix epoch."""
        return int(time.time() * MS_PER_S)

    def sleep_ms(self, duration_ms):
        """Block the calling thread for `duration_ms`."""
        time.sleep(max(0.0, duration_ms) / MS_PER_S)


class ManualClock(Clock):
    """Clock for tests whose monotonic and wall-clock time advance only on request.

    The boot time is not simulated.

    Parameters
    ----------
    start_ms : float
        Initial value of the monotonic and the wall clock, in ms.
    """

    def __init__(self, start_ms=1_000_000.0):
        self.start_ms = start_ms
        self.current_ms = start_ms
        self.lock = threading.Lock()

    def now_ms(self):
        """Return the current simulated time in ms."""
        return self.current_ms

    def wall_ms(self):
        """Return the current simulated time in whole ms."""
        return int(self.current_ms)

    def sleep_ms(self, duration_ms):
        """Advance the clock by `duration_ms` instead of blocking."""
        self.advance_ms(duration_ms)

    def advance_ms(self, duration_ms):
        """Advance the clock by `duration_ms`."""
        with self.lock:
            self.current_ms += duration_ms
