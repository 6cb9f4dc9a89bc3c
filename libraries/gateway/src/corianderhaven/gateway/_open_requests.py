"""Requests that are being handled, and the time by which all of them have to be answered."""

import asyncio
import contextlib
import math

from corianderhaven.common import MS_PER_S


class OpenRequests:
    """Handles each request until its deadline, or until the end of a drain.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    contexts : set of RequestContext
    end_ms : float
        Time by which all requests have to end; infinite unless the daemon drains.
    cut_count : int
        Requests that a drain has ended before their own deadlines.
    """

    def __init__(self, clock):
        self.clock = clock
        self.contexts = set()
        self.end_ms = math.inf
        self.cut_count = 0

    @contextlib.asynccontextmanager
    async def open(self, context):
        """Keep a request open for the body of the context; raises TimeoutError at its deadline."""
        context.limit_deadline(self.end_ms)
        async with asyncio.timeout_at(self._loop_time(context.deadline_ms)) as timeout:
            context.timeout = timeout
            self.contexts.add(context)
            try:
                yield
            finally:
                self.contexts.discard(context)

    def end_by(self, end_ms):
        """Lower the deadlines of all requests, also of those to come, to `end_ms`."""
        self.end_ms = end_ms
        for context in self.contexts:
            context.limit_deadline(end_ms)
            if not context.timeout.expired():
                context.timeout.reschedule(self._loop_time(context.deadline_ms))

    def _loop_time(self, time_ms):
        """Return the event loop's time in s for a time of the clock in ms, at the earliest now."""
        remaining_ms = max(0.0, time_ms - self.clock.now_ms())
        return asyncio.get_running_loop().time() + remaining_ms / MS_PER_S
