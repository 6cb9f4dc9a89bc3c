"""Requests that are being handled, and the time by which all of them have to be answered."""

import asyncio
import contextlib
import math

from corianderhaven.common import MS_PER_S

OBSERVATION_WEIGHT = 0.1  # of one request in the moving average, which spans about ten
SINGLE_RUN_FACTOR = 2.0  # of the expected time, where a cut request can't be made again
END_SLACK_MS = 100.0  # for answers that take a little longer than usual


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
    typical_ms : dict of str to (float, float)
        Mean time of the latest complete answers, and its mean deviation, by the name of the route.
    """

    def __init__(self, clock):
        self.clock = clock
        self.contexts = set()
        self.end_ms = math.inf
        self.cut_count = 0
        self.typical_ms = {}

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
                if context.outcome == "complete":
                    self._record_duration(context)

    def has_time(self, context, answer_ms):
        """Return whether an answer to a new request can be expected before its deadline.

        Parameters
        ----------
        answer_ms : float
            Time that an answer takes by what is declared.
        """
        expected_ms = max(answer_ms, sum(self.typical_ms.get(context.route.name, ())))
        if not context.route.retryable:
            expected_ms *= SINGLE_RUN_FACTOR
        return self.clock.now_ms() + expected_ms + END_SLACK_MS <= context.deadline_ms

    def keep_routes(self, names):
        """Forget the times of all routes but those with these names."""
        self.typical_ms = {n: t for n, t in self.typical_ms.items() if n in names}

    def _record_duration(self, context):
        duration_ms = self.clock.now_ms() - context.started_ms
        mean_ms, deviation_ms = self.typical_ms.get(context.route.name, (duration_ms, 0.0))
        difference_ms = duration_ms - mean_ms
        mean_ms += OBSERVATION_WEIGHT * difference_ms
        deviation_ms += OBSERVATION_WEIGHT * (abs(difference_ms) - deviation_ms)
        self.typical_ms[context.route.name] = (mean_ms, deviation_ms)

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
