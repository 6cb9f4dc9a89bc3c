"""Bounds on what all connections of a process buffer together.

Load: many clients that leave large bodies unfinished, send bodies in tiny chunks or don't read
their answers, and endpoints or peers whose answers don't end. Each stays within the limits of one
connection; together they exhaust the memory of a small VM.
"""

import math
from collections import Counter

BYTES_PER_MB = 1 << 20
PROCESS_MB = 64  # of a daemon with its directory, without buffers; 42 measured after the start
BUDGET_FRACTION = 1 / 3  # of the remaining memory; the last third is for copies and streams
MIN_REQUEST_BYTES = 8 << 20  # room for one body of 4 MiB and its copy
MIN_ANSWER_BYTES = 17 << 20  # room for one answer of 16 MiB
SMALL_BODY_BYTES = 1 << 16  # ordinary requests are far below, bodies that exhaust memory above
MAX_HANDLED_FRACTION = 0.75  # the rest stays free for requests that arrive
MAX_LARGE_FRACTION = 0.5  # large bodies leave room for small ones
# A body in one-byte chunks costs seconds of parsing, so few are parsed at a time.
MAX_FRAGMENTED_BODIES = 2


class BufferBudget:
    """Bytes that a number of holders may buffer together; the largest holder gives way first.

    Parameters
    ----------
    limit_bytes : float

    Attributes
    ----------
    held : dict
        Bytes that can be discarded, by holder; a holder has a method ``discard(budget)``.
    handled : dict
        Bytes of requests that are being handled, which can't be discarded, by holder.
    """

    def __init__(self, limit_bytes=math.inf):
        self.limit_bytes = limit_bytes
        self.held = {}
        self.handled = {}
        self.held_bytes = 0
        self.handled_bytes = 0
        self.large_bytes = 0

    def record(self, holder, held_bytes):
        """Record what `holder` buffers now; discard the largest buffers above the limit."""
        self.held_bytes += held_bytes - self.held.get(holder, 0)
        if held_bytes:
            self.held[holder] = held_bytes
            if self.held_bytes + self.handled_bytes > self.limit_bytes:
                self._reclaim()
        else:
            self.held.pop(holder, None)

    def begin_handling(self, holder, size):
        """Count a complete request until `end_handling`; return False if it has no room."""
        large = size > SMALL_BODY_BYTES
        if large and self.large_bytes + size > self.limit_bytes * MAX_LARGE_FRACTION:
            # A single request within the configuration's limits is served on any VM.
            if self.large_bytes:
                return False
        elif self.handled_bytes + size > self.limit_bytes * MAX_HANDLED_FRACTION:
            return False
        self.handled[holder] = size
        self.handled_bytes += size
        self.large_bytes += size if large else 0
        if self.held_bytes + self.handled_bytes > self.limit_bytes:
            self._reclaim()
        return True

    def end_handling(self, holder):
        """Release what `begin_handling` has counted."""
        size = self.handled.pop(holder, 0)
        self.handled_bytes -= size
        self.large_bytes -= size if size > SMALL_BODY_BYTES else 0

    def _reclaim(self):
        if len(self.held) == 1 and not self.handled:
            return  # a single message within the limits of its connection passes
        for holder in sorted(self.held, key=self.held.get, reverse=True):
            if self.held_bytes + self.handled_bytes <= self.limit_bytes:
                break
            self.record(holder, 0)
            holder.discard(self)


class ConnectionBudgets:
    """Budgets of a process, and its refusals by cause.

    Attributes
    ----------
    requests : BufferBudget
        What clients have sent.
    answers : BufferBudget
        What endpoints and peers have sent of whole answers, and what callers don't read.
    fragmented : set
        Connections that receive a body in tiny chunks.
    refusals : Counter
    listeners : list of callable
        Called with the cause of each refusal.
    """

    def __init__(self):
        self.requests = BufferBudget()
        self.answers = BufferBudget()
        self.fragmented = set()
        self.refusals = Counter()
        self.listeners = []

    def set_memory(self, memory_mb):
        """Derive the budgets from the memory of the VM."""
        share = BUDGET_FRACTION * max(0.0, memory_mb - PROCESS_MB) * BYTES_PER_MB
        self.requests.limit_bytes = max(MIN_REQUEST_BYTES, share)
        self.answers.limit_bytes = max(MIN_ANSWER_BYTES, share)

    def begin_fragmented(self, connection):
        """Return whether a connection may go on with a body in tiny chunks."""
        if connection not in self.fragmented and len(self.fragmented) >= MAX_FRAGMENTED_BODIES:
            return False
        self.fragmented.add(connection)
        return True

    def note_refusal(self, cause):
        """Count a refusal and tell the listeners."""
        self.refusals[cause] += 1
        for listener in self.listeners:
            listener(cause)


connection_budgets = ConnectionBudgets()  # of this process, as memory and time are shared in it
