"""Periodic work on a thread with explicit start and close."""

import threading

from loguru import logger

from ._clock import MS_PER_S

JOIN_TIMEOUT_S = 5.0


class PeriodicThread:
    """Calls a function at a fixed period until closed.

    Parameters
    ----------
    name : str
        Thread name, shown in logs.
    function : callable
        Called without arguments; an exception is logged and the period goes on.
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
        """Stop the thread and wait for the call in hand."""
        self.stopping.set()
        if self.thread is not None and self.thread is not threading.current_thread():
            self.thread.join(JOIN_TIMEOUT_S)

    def _run(self):
        while not self.stopping.is_set():
            try:
                self.function()
            except Exception:
                logger.exception("periodic work failed: {}", self.name)
            self.stopping.wait(self.period_ms / MS_PER_S)
