"""Ordered collection of the requests that wait for a model; performs no I/O.

Answers a burst in which hundreds of requests wait in one daemon: adding, removing, finding the
next one and counting those ahead of a request take logarithmic time.
"""

import itertools
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList, SortedList

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
    """

    def __init__(self):
        self.groups = {}
        self.positions = {}
        self.late_arrivals = SortedList()
        self.numbers = itertools.count()

    def __len__(self):
        return len(self.positions)

    def __contains__(self, queued):
        return queued in self.positions

    def add(self, queued, now_ms):
        """Add a request behind equal ones."""
        number = next(self.numbers)
        if now_ms > queued.goal_cutoff_ms:
            self._insert(queued, True, number)
        else:
            self._insert(queued, False, number)

    def remove(self, queued):
        """Remove a request."""
        position = self.positions.pop(queued)
        group = self.groups[position.group]
        requests = group.late if position.late else group.on_time
        requests.remove((position.key, queued))
        if position.late:
            self.late_arrivals.remove((queued.arrived_ms, position.key[1]))

    def advance(self, now_ms):
        """Move the requests that have become late."""
        for group in self.groups.values():
            while group.on_time and group.on_time[0][1].goal_cutoff_ms < now_ms:
                (_, number), queued = group.on_time.pop(0)
                self._insert(queued, True, number)

    def in_order(self):
        """Yield the requests in order; the collection may change once a request was yielded."""
        for name in sorted(self.groups):
            group = self.groups[name]
            for requests in (group.on_time, group.late):
                key = None
                while True:
                    index = 0 if key is None else requests.bisect_key_right(key)
                    if index >= len(requests):
                        break
                    key, queued = requests[index]
                    yield queued

    def late(self):
        """Return the late requests, in order."""
        groups = (self.groups[name].late for name in sorted(self.groups))
        return [queued for requests in groups for _, queued in requests]

    def ahead_of(self, queued, now_ms):
        """Return how many other requests precede one that may or may not be waiting."""
        name = _group_name(queued)
        late = now_ms > queued.goal_cutoff_ms
        before = [group for other, group in self.groups.items() if other < name]
        count = sum(len(group.on_time) + len(group.late) for group in before)
        group = self.groups.get(name)
        if group is None:
            return count
        requests = group.late if late else group.on_time
        count += len(group.on_time) if late else 0
        return count + requests.bisect_key_left((_cutoff_ms(queued, late), BEFORE_ALL))

    def late_ahead_of(self, queued):
        """Return how many other late requests arrived no later than a request."""
        position = self.positions.get(queued)
        count = self.late_arrivals.bisect_right((queued.arrived_ms, float("inf")))
        return count - (position is not None and position.late)

    def _insert(self, queued, late, number):
        name = _group_name(queued)
        group = self.groups.setdefault(name, Group())
        key = (_cutoff_ms(queued, late), number)
        (group.late if late else group.on_time).add((key, queued))
        if late:
            self.late_arrivals.add((queued.arrived_ms, number))
        self.positions[queued] = Position(name, late, key)


def _group_name(queued):
    return (not queued.resumed, queued.priority)


def _cutoff_ms(queued, late):
    return queued.deadline_cutoff_ms if late else queued.goal_cutoff_ms
