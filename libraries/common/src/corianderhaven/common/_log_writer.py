"""Log writer on a background thread, so that a slow log reader can't block a request."""

import os
import sys
import threading
import time
from collections import deque

from ._clock import MS_PER_S

MAX_QUEUED_BYTES = 2 << 20  # about 8,000 lines; further lines are dropped and counted
FLUSH_MS = 100.0  # bounds the log time lost on SIGKILL, at ten wake-ups a second


class LogWriter:
    """Bounded queue of log lines that a background thread writes to a file descriptor.

    Parameters
    ----------
    descriptor : int or None
        File descriptor; by default that of standard output.
    """

    def __init__(self, descriptor=None):
        self.descriptor = descriptor
        self.lines = deque()
        self.queued_bytes = 0
        self.dropped = 0
        self.lock = threading.Lock()
        self.closed = False
        self.thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self):
        """Start the writer thread."""
        if self.descriptor is None:
            self.descriptor = sys.stdout.fileno()
        self.thread.start()
        return self

    def close(self):
        """Write the queued lines and stop the thread, waiting at most 1 s."""
        self.closed = True
        self.thread.join(1.0)

    def write(self, line):
        """Queue a line (bytes with a newline), or drop and count it when the queue is full."""
        with self.lock:
            if self.queued_bytes + len(line) > MAX_QUEUED_BYTES:
                self.dropped += 1
                return
            self.lines.append(line)
            self.queued_bytes += len(line)

    def _run(self):
        while not self.closed:
            time.sleep(FLUSH_MS / MS_PER_S)
            self.flush()

    def flush(self):
        """Write all queued lines, and a count of dropped ones if there are any."""
        with self.lock:
            data = b"".join(self.lines)
            self.lines.clear()
            self.queued_bytes = 0
            dropped, self.dropped = self.dropped, 0
        if dropped:
            data += b'{"event":"log_lines_dropped","count":%d}\n' % dropped
        view = memoryview(data)
        while view:
            try:
                view = view[os.write(self.descriptor, view) :]
            except OSError:
                return  # the log reader has closed, and the error can't be logged anywhere else
