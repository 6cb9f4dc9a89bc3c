"""Ordered collection of the requests that wait for a model; performs no I/O.

Answers a burst in which hundreds of requests wait in one daemon: adding, removing, finding the
next one and counting those ahead of a request take logarithmic time.
"""

import itertools
import math
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList, SortedList

from ._fair_shares import AccountLines

BEFORE_ALL = -1  # sorts before the sequence number of any request


@dataclass(frozen=True)
class Position:
    """Place of a request: its class, and its sort key within the class."""

    group: tuple
    late: bool
    key: tuple


@dataclass
class Group:
    """Requests of one class, on time by goal and late by deadline."""

    on_time: SortedKeyList = field(default_factory=lambda: SortedKeyList(key=_sort_key))
    late: SortedKeyList = field(default_factory=lambda: SortedKeyList(key=_sort_key))


def _sort_key(item):
    return item[0]


class WaitingRequests:
    """Waiting requests in the order in which they are served.

    Resumed requests come first, then those of higher priority; among equals, those that can still
    meet their goal come before late ones, and each of both by the time left.

    Between accounts that share the queue, of the requests that can still meet their goal those that
    were promised a place come first, then those of the account that was served least.

    Attributes
    ----------
    lines : dict of int to AccountLines, or None
        By priority; None unless accounts share the queue.
    """

    def __init__(self):
        self.lines = None
        self.groups = {}
        self.positions = {}
        self.late_arrivals = SortedList()
        self.numbers = itertools.count()

    def __len__(self):
        return len(self.positions)

    def __contains__(self, queued):
        return queued in self.positions

    def share(self, shared):
        """Begin or end to order by account."""
        if shared == (self.lines is not None):
            return
        self.lines = {} if shared else None
        for queued, position in self.positions.items() if shared else ():
            if not position.late and _is_shared(queued):
                self._line(queued).add(position.key, queued)

    def charge(self, queued):
        """Count a request as served to its account; to be called before it is removed."""
        self._line(queued).charge(queued.account)

    def add(self, queued, now_ms):
        """Add a request behind equal ones."""
        self._insert(queued, now_ms > queued.on_time_until_ms, next(self.numbers))

    def remove(self, queued):
        """Remove a request."""
        position = self.positions.pop(queued)
        group = self.groups[position.group]
        requests = group.late if position.late else group.on_time
        requests.remove((position.key, queued))
        if not position.late and self.lines is not None and _is_shared(queued):
            self._line(queued).remove(position.key, queued)
        if position.late:
            self.late_arrivals.remove((queued.arrived_ms, position.key[1]))

    def advance(self, now_ms):
        """Move the requests that have become late."""
        for group in list(self.groups.values()):
            while group.on_time and group.on_time[0][0][0] < now_ms:
                (_, number), queued = group.on_time[0]
                self.remove(queued)
                self._insert(queued, True, number)

    def in_order(self):
        """Yield the requests in order; the collection may change once a request was yielded."""
        for name in sorted(self.groups):
            group = self.groups[name]
            lines = self._lines_of(name)
            yield from _walk(group.on_time) if lines is None else lines.in_order()
            yield from _walk(group.late)

    def late(self):
        """Return the late requests, in order."""
        groups = (self.groups[name].late for name in sorted(self.groups))
        return [queued for requests in groups for _, queued in requests]

    def ahead_of(self, queued, now_ms):
        """Return how many other requests precede one that may or may not be waiting."""
        late = now_ms > queued.on_time_until_ms
        name = _group_name(queued, late)
        before = [group for other, group in self.groups.items() if other < name]
        count = sum(len(group.on_time) + len(group.late) for group in before)
        group = self.groups.get(name)
        if group is None:
            return count
        lines = self._lines_of(name)
        if lines is not None and not late:
            position = self.positions.get(queued)
            key = (queued.on_time_until_ms, math.inf) if position is None else position.key
            return count + lines.ahead_of(key, queued.account)
        requests = group.late if late else group.on_time
        count += len(group.on_time) if late else 0
        return count + requests.bisect_key_left((_cutoff_ms(queued, late), BEFORE_ALL))

    def late_ahead_of(self, queued):
        """Return how many other late requests arrived no later than a request."""
        position = self.positions.get(queued)
        count = self.late_arrivals.bisect_right((queued.arrived_ms, float("inf")))
        return count - (position is not None and position.late)

    def late_before(self, queued):
        """Return how many other late requests precede one in order."""
        name = _group_name(queued, True)
        count = sum(len(group.late) for other, group in self.groups.items() if other < name)
        group = self.groups.get(name)
        if group is None:
            return count
        return count + group.late.bisect_key_left((_cutoff_ms(queued, True), BEFORE_ALL))

    def _line(self, queued):
        return self.lines.setdefault(queued.priority, AccountLines())

    def _lines_of(self, name):
        """Return the lines of a group's requests, or None if accounts don't matter there."""
        resumed, priority, promised = not name[0], name[1], not name[2]
        if self.lines is None or resumed or promised:
            return None
        return self.lines.get(priority)

    def _insert(self, queued, late, number):
        name = _group_name(queued, late)
        group = self.groups.setdefault(name, Group())
        key = (_cutoff_ms(queued, late), number)
        (group.late if late else group.on_time).add((key, queued))
        if not late and self.lines is not None and _is_shared(queued):
            self._line(queued).add(key, queued)
        if late:
            self.late_arrivals.add((queued.arrived_ms, number))
        self.positions[queued] = Position(name, late, key)


def _walk(requests):
    """Yield requests in order; they may change once a request was yielded."""
    key = None
    while True:
        index = 0 if key is None else requests.bisect_key_right(key)
        if index >= len(requests):
            return
        key, queued = requests[index]
        yield queued


def _is_shared(queued):
    """Return whether the order of a request that can be on time depends on its account."""
    return not queued.resumed and not queued.promised


def _group_name(queued, late):
    return (not queued.resumed, queued.priority, late or not queued.promised)


def _cutoff_ms(queued, late):
    return queued.deadline_cutoff_ms if late else queued.on_time_until_ms
