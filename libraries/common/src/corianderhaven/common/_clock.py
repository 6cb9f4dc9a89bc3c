"""A clock in milliseconds."""

import threading
import time

MS_PER_S = 1000.0


class Clock:
    """Monotonic and wall-clock time in milliseconds."""

    def now_ms(self):
        """Return the monotonic time in ms, comparable within this process only."""
        return time.monotonic() * MS_PER_S

    def boot_ms(self):
        """Return a steady time in ms that counts the time of a suspended VM too."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self):
        """Return the wall-clock time in ms since the Unix epoch."""
        return int(time.time() * MS_PER_S)

    def sleep_ms(self, duration_ms):
        """Block the calling thread for `duration_ms`."""
        time.sleep(max(0.0, duration_ms) / MS_PER_S)


class ManualClock(Clock):
    """A clock that moves only when a test advances it.

    Parameters
    ----------
    start_ms : float
        First value of both the monotonic and the wall clock, in ms.
    """

    def __init__(self, start_ms=1_000_000.0):
        self.start_ms = start_ms
        self.current_ms = start_ms
        self.lock = threading.Lock()

    def now_ms(self):
        """Return the manually set time in ms."""
        return self.current_ms

    def wall_ms(self):
        """Return the manually set time in ms."""
        return int(self.current_ms)

    def sleep_ms(self, duration_ms):
        """Advance the clock by `duration_ms` and return at once."""
        self.advance_ms(duration_ms)

    def advance_ms(self, duration_ms):
        """Move the clock forward by `duration_ms`."""
        with self.lock:
            self.current_ms += duration_ms
