"""Periodic tasks on a background thread."""

import threading

from loguru import logger

from ._clock import MS_PER_S

JOIN_TIMEOUT_S = 5.0


class PeriodicThread:
    """Thread that calls a function repeatedly until it is closed.

    Parameters
    ----------
    name : str
        Thread name, also used in log messages.
    function : callable
        Called without arguments; exceptions are logged and don't stop the thread.
    period_ms : float
        Time between the end of one call and the start of the next.
    """

    def __init__(self, name, function, period_ms):
        self.name = name
        self.function = function
        self.period_ms = period_ms
        self.stopping = threading.Event()
        self.thread = None

    def start(self):
        """Start the thread."""
        self.thread = threading.Thread(target=self._run, name=self.name, daemon=True)
        self.thread.start()
        return self

    def close(self):
        """Stop the thread and wait up to `JOIN_TIMEOUT_S` for a running call to finish."""
        self.stopping.set()
        if self.thread is not None and self.thread is not threading.current_thread():
            self.thread.join(JOIN_TIMEOUT_S)

    def _run(self):
        while not self.stopping.is_set():
            try:
                self.function()
            except Exception:
                logger.exception("periodic task failed: {}", self.name)
            self.stopping.wait(self.period_ms / MS_PER_S)
