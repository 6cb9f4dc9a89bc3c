"""Writes log lines from a thread of its own, so that a slow reader blocks nobody."""

import os
import sys
import threading
import time
from collections import deque

from ._clock import MS_PER_S

MOST_WAITING_BYTES = 2 << 20  # some 8,000 lines; more are dropped and counted
FLUSH_MS = 100.0  # bounds what a kill loses, at ten wake-ups a second


class LogWriter:
    """A bounded queue of lines in front of a file descriptor.

    Parameters
    ----------
    descriptor : int or None
        By default standard output's.
    """

    def __init__(self, descriptor=None):
        self.descriptor = descriptor
        self.lines = deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.lock = threading.Lock()
        self.closed = False
        self.thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self):
        """Begin to write."""
        if self.descriptor is None:
            self.descriptor = sys.stdout.fileno()
        self.thread.start()
        return self

    def close(self):
        """Write what waits, then stop."""
        self.closed = True
        self.thread.join(1.0)

    def write(self, line):
        """Take over a line (bytes, with its end), or drop it when too much waits."""
        with self.lock:
            if self.waiting_bytes + len(line) > MOST_WAITING_BYTES:
                self.dropped += 1
                return
            self.lines.append(line)
            self.waiting_bytes += len(line)

    def _run(self):
        while not self.closed:
            time.sleep(FLUSH_MS / MS_PER_S)
            self.flush()

    def flush(self):
        """Write all lines that wait."""
        with self.lock:
            data = b"".join(self.lines)
            self.lines.clear()
            self.waiting_bytes = 0
            dropped, self.dropped = self.dropped, 0
        if dropped:
            data += b'{"event":"log_lines_dropped","count":%d}\n' % dropped
        view = memoryview(data)
        while view:
            try:
                view = view[os.write(self.descriptor, view) :]
            except OSError:
                return  # nobody reads the log any more, and there is nowhere else to say so
